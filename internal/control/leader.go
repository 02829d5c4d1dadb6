package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/membership"
	"parsleypulley/internal/pace"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/wire"
)

// Timing of the leader.
const (
	leaderTick     = 50 * time.Millisecond
	proposeTimeout = 2 * time.Second
)

// EngineClient calls engines without an agent, and stores of cached state, on behalf
// of the leader.
type EngineClient interface {
	// Report queries an engine for its state.
	Report(ctx context.Context, b *wire.Backend) (*fleet.EngineReport, error)
	// Order sends an order. A nil error means that the engine has accepted it, a
	// fault.Conflict that it carries out or has accepted another one. An error with the
	// outcome fault.NotRun means that it won't carry out the order; without it, it may.
	Order(ctx context.Context, order *fleet.LoadOrder) error
	// Events requests the cache events from position next on. If there are none, the
	// source waits for up to wait before it answers.
	Events(ctx context.Context, source fleet.CacheSource, next uint64, wait time.Duration) (*fleet.CacheEvents, error)
}

// leader performs the tasks of the leading replica: it runs the failure detector, issues
// orders to engines, collects load reports and advances the replicated clock.
type leader struct {
	node         *consensus.Node
	machine      *Machine
	options      Options
	tracker      *DigestTracker
	reachability *reachability
	// status returns the status of node.
	status func() consensus.Status

	mu sync.Mutex
	// term is the leadership term to which the fields below belong. It is 0 while this
	// replica does not lead.
	term    uint64
	leases  *membership.Leases
	planner *fleet.Planner
	// rollout belongs to the term rolloutTerm. It outlives a time in which the leadership of the term is not
	// confirmed: no other replica can have led meanwhile if the term is still the same, and to begin anew would stop
	// all orders for Options.PreviousOrderLease each time.
	rollout     *fleet.Rollout
	rolloutTerm uint64
	permits     *permit.Allocator
	quotas      *quotaGrants
	pace        *pace.Controller
	routers     *streamrecord.Registry
	speeds      *routing.SpeedTable
	// loggedSpeeds holds the speeds that were logged last, by engine.
	loggedSpeeds map[string]uint32
	// lastClockCommand is when the replicated clock was last advanced in this term.
	lastClockCommand time.Time
	// lastPace is when servers that start were last looked for, and pacedVersion the version of
	// the view then.
	lastPace     time.Time
	pacedVersion uint64

	// digestNumber is the number of the last load digest. It is drawn right before the digest is
	// stored, since a later number replaces an earlier one.
	digestNumber atomic.Uint64
}

func newLeader(node *consensus.Node, machine *Machine, options Options) *leader {
	l := &leader{node: node, machine: machine, options: options, tracker: NewDigestTracker(), status: node.Status}
	member := func(name string) *wire.Member { return machine.Log().Snapshot().Member(name) }
	l.reachability = newReachability(options.CheckDialer, member, l.proposeSuspicion)
	l.quotas = newQuotaGrants(options.Quotas, node.Status().Term)
	machine.onTermStarted(l.quotas.termStarted)
	shownLeader.Store(l)
	return l
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
		if !recovery.Run("leader", func() { l.tick(ctx) }) {
			l.stopLeading() // begins anew from the replicated state
			l.dropRollout()
		}
	}
}

// tick performs the tasks that are due if this replica leads and its leadership is
// confirmed by a quorum.
func (l *leader) tick(ctx context.Context) {
	status := l.status()
	if status.Role != consensus.Leader || !status.Confirmed {
		l.stopLeading()
		return
	}
	if l.leadingTerm() != status.Term && !l.startTerm(ctx, status.Term) {
		return
	}
	if l.options.Pace {
		l.sendPace(ctx, l.paceServers(time.Now()))
	}
	l.proposeAll(ctx, l.dueCommands(time.Now()))
	l.resumeQuotas(ctx, status.Term)
	l.logQuotas()
	l.planRollout(ctx, status.Term)
}

func (l *leader) leadingTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

func (l *leader) stopLeading() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = 0
	l.leases = nil
	l.planner = nil
	l.permits = nil
	l.pace = nil
	pacedServers.Set(0)
	l.routers = nil
	l.speeds = nil
}

func (l *leader) dropRollout() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rollout = nil
}

// startTerm starts a leadership term and reports whether that succeeded. The term
// becomes the fencing token, and every member gets a fresh lease.
func (l *leader) startTerm(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	recentTerms, _ := l.quotas.recentTerms(term)
	command := &wire.Command{Body: &wire.Command_LeaderStart{LeaderStart: &wire.LeaderStart{Term: term, QuotasWithheld: quota.Withholds(recentTerms)}}}
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
	if l.rollout == nil || l.rolloutTerm != term {
		l.rollout, l.rolloutTerm = fleet.NewRollout(term, steady.Now(), l.options.PreviousOrderLease, l.options.WeightsBound, l.machine.Log().Targets()), term
	}
	l.permits = permit.NewAllocator()
	recentTerms = l.quotas.startTerm(term, recentTerms)
	l.pace = pace.NewController()
	l.routers = streamrecord.NewRegistry()
	l.speeds = routing.NewSpeedTable()
	l.loggedSpeeds = map[string]uint32{}
	l.lastClockCommand = time.Time{}
	event.LeaderTermStarted(term, recentTerms)
	return true
}

// dueCommands returns the commands to propose at time now.
func (l *leader) dueCommands(now time.Time) []*wire.Command {
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
	if now.Sub(l.lastClockCommand) >= ClockInterval {
		l.lastClockCommand = now
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

// proposeAll proposes the commands concurrently and waits for their results.
func (l *leader) proposeAll(ctx context.Context, commands []*wire.Command) {
	var wg sync.WaitGroup
	for _, command := range commands {
		wg.Go(func() { recovery.Run("proposals", func() { l.proposeOne(ctx, command) }) })
	}
	wg.Wait()
}

// proposeOne proposes a command and waits for its result. If the command is a change of a
// backend server that is refused, the failure detector retries it only after a delay.
func (l *leader) proposeOne(ctx context.Context, command *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := Propose(ctx, l.node, command)
	if err != nil {
		event.CommandNotCommitted(err)
		return
	}
	if change := command.GetBackend(); change != nil {
		l.recordResult(change, result.GetBackend())
	}
}

// recordResult logs the result of a change of a backend server, unless it had no effect: the failure
// detector and a check of the server may propose the same change before either is committed.
func (l *leader) recordResult(change *wire.BackendChange, result *wire.BackendResult) {
	switch {
	case !result.GetAccepted():
		l.markRefused(change)
		event.BackendChangeRefused(change.Name, change.Kind.String(), result.GetProblem())
	case result.GetChanged():
		l.markRemoved(change.GetKind())
		event.BackendChanged(change.Name, change.Kind.String())
	}
}

func (l *leader) markRefused(change *wire.BackendChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases != nil {
		l.leases.MarkRefused(time.Now(), change)
	}
}

// markRemoved records a change of kind that has taken effect, if it removes a member.
func (l *leader) markRemoved(kind wire.BackendChange_Kind) {
	switch kind {
	case wire.BackendChange_KIND_EXPIRE, wire.BackendChange_KIND_LEAVE, wire.BackendChange_KIND_DEPART:
	default:
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases != nil {
		l.leases.MarkRemoved()
	}
}

// heartbeat renews the lease of a backend server with an agent and returns its open
// orders. The resulting changes are proposed in the background.
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
		go recovery.Run("proposals", func() { l.proposeAll(context.Background(), backendCommands(changes)) })
	}
	return reply, nil
}

// ordersFor returns the open orders for this incarnation of a backend server's agent.
func ordersFor(b *wire.Backend, open []*wire.Order) []*wire.Order {
	var orders []*wire.Order
	for _, o := range open {
		if o.Backend == b.GetName() && o.AgentIncarnation == b.GetAgentIncarnation() {
			orders = append(orders, o)
		}
	}
	return orders
}
