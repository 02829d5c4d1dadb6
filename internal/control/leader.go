package control

import (
	"context"
	"sync"
	"time"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/membership"
	"parsleypulley/internal/wire"
)

// Timings of a leader's work.
const (
	leaderTick     = 50 * time.Millisecond
	proposeTimeout = 2 * time.Second
)

// EngineClient carries the orders of the leader to engines without an agent.
type EngineClient interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, b *wire.Backend) (*fleet.EngineReport, error)
	// Order sends an order; nil means that the engine has accepted it.
	Order(ctx context.Context, order *fleet.LoadOrder) error
	// Events asks for the cache events from next on, and waits for some if there
	// are none.
	Events(ctx context.Context, source fleet.CacheSource, next uint64, wait time.Duration) (*fleet.CacheEvents, error)
}

// leader does what only the leading replica does: leases, orders to engines and
// the replicated clock.
type leader struct {
	node    *consensus.Node
	machine *Machine
	options Options
	board   *loadBoard

	mu sync.Mutex
	// term is the term of leadership in which the fields below hold; 0 is none.
	term    uint64
	leases  *membership.Leases
	planner *fleet.Planner
	rollout *fleet.Rollout
	clock   time.Time
}

func newLeader(node *consensus.Node, machine *Machine, options Options) *leader {
	return &leader{node: node, machine: machine, options: options, board: newLoadBoard()}
}

func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(leaderTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.tick(ctx)
	}
}

func (l *leader) tick(ctx context.Context) {
	status := l.node.Status()
	if status.Role != consensus.Leader || !status.Confirmed {
		l.resign()
		return
	}
	if l.leading() != status.Term && !l.begin(ctx, status.Term) {
		return
	}
	l.propose(ctx, l.due(time.Now()))
	l.rollOut(ctx, status.Term)
}

func (l *leader) leading() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

func (l *leader) resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = 0
	l.leases = nil
	l.planner = nil
	l.rollout = nil
}

// begin starts a term of leadership: its number becomes the fencing token, and
// every member gets a fresh lease.
func (l *leader) begin(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command := &wire.Command{Body: &wire.Command_LeaderStart{LeaderStart: &wire.LeaderStart{Term: term}}}
	if _, err := Propose(ctx, l.node, command); err != nil {
		event.LeaderTermStartFailed(term, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
	now := time.Now()
	l.leases = membership.NewLeases(l.options.Leases, now)
	l.planner = fleet.NewPlanner(term, now, consensus.DefaultElectionTimeout)
	l.rollout = fleet.NewRollout(term, now, l.options.PreviousOrderLease)
	l.clock = time.Time{}
	event.LeaderTermStarted(term)
	return true
}

// due returns the commands that the time calls for.
func (l *leader) due(now time.Time) []*wire.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return nil
	}
	snapshot := l.machine.Log().Snapshot()
	commands := backendCommands(l.leases.Tick(now, snapshot))
	input := fleet.PlannerInput{Config: snapshot.Config, Members: snapshot.Members(), Open: l.machine.OpenOrders()}
	if change := l.planner.Plan(now, input); change != nil {
		commands = append(commands, &wire.Command{Body: &wire.Command_Fleet{Fleet: change}})
	}
	if now.Sub(l.clock) >= ClockInterval {
		l.clock = now
		expire := &wire.OnceExpire{NowMs: now.UnixMilli()}
		commands = append(commands, &wire.Command{Body: &wire.Command_OnceExpire{OnceExpire: expire}})
	}
	return commands
}

func backendCommands(changes []*wire.BackendChange) []*wire.Command {
	var commands []*wire.Command
	for _, change := range changes {
		commands = append(commands, &wire.Command{Body: &wire.Command_Backend{Backend: change}})
	}
	return commands
}

// propose has the commands committed together.
func (l *leader) propose(ctx context.Context, commands []*wire.Command) {
	var wg sync.WaitGroup
	for _, command := range commands {
		wg.Go(func() { l.proposeOne(ctx, command) })
	}
	wg.Wait()
}

func (l *leader) proposeOne(ctx context.Context, command *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := Propose(ctx, l.node, command)
	if err != nil {
		event.CommandNotCommitted(err)
		return
	}
	change := command.GetBackend()
	if change == nil {
		return
	}
	if problem := result.GetBackend().GetProblem(); !result.GetBackend().GetAccepted() {
		l.refused(change)
		event.BackendChangeRefused(change.Name, change.Kind.String(), problem)
		return
	}
	event.BackendChanged(change.Name, change.Kind.String())
}

func (l *leader) refused(change *wire.BackendChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases != nil {
		l.leases.MarkRefused(time.Now(), change)
	}
}

// heartbeat renews the lease of a backend server.
func (l *leader) heartbeat(announce *wire.Announce) (*wire.AnnounceReply, error) {
	changes, reply, err := l.renew(announce)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return nil, l.notLeading()
	}
	l.planner.RecordResults(announce.GetOrderResults()...)
	reply.Orders = ordersFor(announce.GetBackend(), l.machine.OpenOrders())
	if len(changes) > 0 {
		go l.propose(context.Background(), backendCommands(changes))
	}
	return reply, nil
}

// ordersFor returns the open orders for one life of a backend server's agent.
func ordersFor(b *wire.Backend, open []*wire.Order) []*wire.Order {
	var orders []*wire.Order
	for _, o := range open {
		if o.Backend == b.GetName() && o.AgentIncarnation == b.GetAgentIncarnation() {
			orders = append(orders, o)
		}
	}
	return orders
}
