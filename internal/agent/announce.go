package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/event"
	"parsleypulley/internal/wire"
)

// ControlClient sends announcements to the leader of the control replicas. The
// implementation finds the leader.
type ControlClient interface {
	Announce(ctx context.Context, a *wire.Announce) (*wire.AnnounceReply, error)
}

// Timings and limits of announcements.
const (
	DefaultAnnounceInterval = 500 * time.Millisecond
	announceTimeout         = time.Second
	// leaveTimeout limits the wait for the acknowledgement that the backend server
	// leaves. It allows a few announcements while another replica becomes the leader.
	leaveTimeout = 4 * time.Second
	// maxQueuedOrders limits the orders that wait for the engine. Further orders
	// are ignored. They are not lost, because control resends an order until its
	// result is reported.
	maxQueuedOrders = 8
)

// Announcer announces a backend server to the control replicas, in short control,
// and executes the orders in the replies.
//
// While control is unreachable, the announcer keeps trying and the agent keeps
// serving, even after the lease of the backend server has expired. This is safe:
// the lease only decides which backend servers the routers choose. The gate uses
// local state to refuse requests that must not run: the engine incarnation, the
// loaded weights and the claims of this agent incarnation. A new claim needs a
// quorum of the control replicas. The agent keeps the drain state of the last
// reply.
type Announcer struct {
	agent    *Agent
	control  ControlClient
	interval time.Duration
	// orders holds the admitted orders that have not been started.
	orders chan *wire.Order

	// leaveAcknowledged is closed when control has acknowledged that the backend
	// server leaves.
	leaveAcknowledged chan struct{}

	mu sync.Mutex
	// results holds the results that control has not received.
	results []*wire.OrderResult
	// controlLost is set if the last announcement failed.
	controlLost bool
}

// NewAnnouncer returns an announcer for agent. If interval is 0, it uses
// DefaultAnnounceInterval.
func NewAnnouncer(agent *Agent, control ControlClient, interval time.Duration) *Announcer {
	if interval == 0 {
		interval = DefaultAnnounceInterval
	}
	return &Announcer{agent: agent, control: control, interval: interval, orders: make(chan *wire.Order, maxQueuedOrders), leaveAcknowledged: make(chan struct{})}
}

// Run sends announcements until ctx ends: one per interval, and one after each
// call of TriggerAnnounce.
func (n *Announcer) Run(ctx context.Context) error {
	var worker sync.WaitGroup
	worker.Go(func() { n.runOrders(ctx) })
	defer worker.Wait()
	ticker := time.NewTicker(n.interval)
	defer ticker.Stop()
	for {
		n.Announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.agent.announceNow:
		}
	}
}

// Announce sends one announcement and applies the reply.
//
// It sends nothing before the first successful health check, so that routers do
// not choose a backend server that can't serve requests yet.
func (n *Announcer) Announce(ctx context.Context) {
	status := n.agent.Status()
	if status.Incarnation == 0 {
		return
	}
	n.mu.Lock()
	results := slices.Clone(n.results)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := n.control.Announce(ctx, &wire.Announce{
		Backend:      n.agent.Backend(),
		Load:         n.agent.loadReport(time.Now()),
		Leaving:      status.Leaving,
		OrderResults: results,
	})
	n.logContact(err)
	if err != nil {
		return
	}
	n.removeReported(results)
	if status.Leaving {
		n.acknowledgeLeave()
	}
	n.agent.SetDraining(reply.Draining)
	for _, o := range reply.Orders {
		n.queueOrder(o)
	}
}

func (n *Announcer) acknowledgeLeave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.leaveAcknowledged:
	default:
		close(n.leaveAcknowledged)
	}
}

// AwaitLeave waits until control has acknowledged that the backend server leaves, but
// no longer than leaveTimeout. Otherwise the routers would choose the backend server
// until its lease expires. Agent.Drain must have been called. AwaitLeave returns at
// once if the backend server was never announced.
func (n *Announcer) AwaitLeave(ctx context.Context) {
	if n.agent.Status().Incarnation == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	select {
	case <-n.leaveAcknowledged:
	case <-ctx.Done():
	}
}

// logContact logs when control becomes unreachable and when it is reachable again.
func (n *Announcer) logContact(err error) {
	n.mu.Lock()
	wasLost := n.controlLost
	n.controlLost = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !wasLost:
		event.ControlUnreachable(n.agent.config.Name, err)
	case err == nil && wasLost:
		event.ControlReachable(n.agent.config.Name)
	}
}

// removeReported removes the results that control has received.
func (n *Announcer) removeReported(sent []*wire.OrderResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results = slices.DeleteFunc(n.results, func(r *wire.OrderResult) bool { return slices.Contains(sent, r) })
}

// queueResult queues a result for the next announcement, unless it is queued
// already.
func (n *Announcer) queueResult(r *wire.OrderResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.ContainsFunc(n.results, func(q *wire.OrderResult) bool { return q.Id == r.Id }) {
		n.results = append(n.results, r)
	}
}

// queueOrder queues an order if the gate admits it. A full queue drops the order.
func (n *Announcer) queueOrder(o *wire.Order) {
	if len(n.orders) == cap(n.orders) {
		return
	}
	n.agent.mu.Lock()
	run, result := n.agent.gate.AdmitOrder(o)
	n.agent.mu.Unlock()
	if result != nil {
		n.queueResult(result)
	}
	if run {
		n.orders <- o
	}
}

// runOrders runs the queued orders one at a time.
func (n *Announcer) runOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-n.orders:
			n.queueResult(n.agent.runOrder(ctx, o))
			n.agent.TriggerAnnounce()
		}
	}
}

// runOrder sends an admitted order to the engine and records its result.
func (a *Agent) runOrder(ctx context.Context, o *wire.Order) *wire.OrderResult {
	err := a.applyOrder(ctx, o)
	r := &wire.OrderResult{Id: o.Id, Done: err == nil}
	if err != nil {
		r.Error = err.Error()
	}
	event.OrderFinished(event.Order{ID: o.Id, Backend: a.config.Name, Fencing: o.Fencing, Model: o.Model, Weights: o.WeightsVersion}, err)
	a.mu.Lock()
	a.gate.FinishOrder(r)
	a.mu.Unlock()
	return r
}

// applyOrder sends an order to the engine, unless its fencing token has become
// outdated. It then runs a health check, which updates the models in the gate.
func (a *Agent) applyOrder(ctx context.Context, o *wire.Order) error {
	a.mu.Lock()
	stale := a.gate.CheckFencing(o)
	a.mu.Unlock()
	if stale != nil {
		return stale
	}
	err := a.engine.Order(ctx, dialect.Order{
		Fencing: o.Fencing, Model: o.Model, WeightsVersion: o.WeightsVersion, Adapters: o.Adapters, Role: o.Role,
	})
	a.checkHealth(ctx)
	return err
}
