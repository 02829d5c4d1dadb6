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

// ControlClient is what an Announcer needs of the control replicas. The implementation
// finds the leader.
type ControlClient interface {
	Announce(ctx context.Context, a *wire.Announce) (*wire.AnnounceReply, error)
}

// Timings and bounds of announcements.
const (
	DefaultAnnounceInterval = 500 * time.Millisecond
	announceTimeout         = time.Second
	// maxQueuedOrders bounds the orders that wait for the engine. Control sends an
	// order again until its result is reported, so that one over the limit is not
	// lost.
	maxQueuedOrders = 8
)

// Announcer announces a backend server and carries out the orders that come back.
//
// Without contact to control it goes on, and the agent goes on serving, also
// after its lease has run out: the lease only tells routers whom to choose. What
// must not run is refused by the gate from what the agent itself knows (engine
// life, weights, claims of its own life), a new claim needs a quorum of control,
// and the drain state is kept as last heard.
type Announcer struct {
	agent    *Agent
	control  ControlClient
	interval time.Duration
	orders   chan *wire.Order

	mu      sync.Mutex
	results []*wire.OrderResult
	silent  bool
}

// NewAnnouncer returns an announcer for agent; an interval of 0 takes
// DefaultAnnounceInterval.
func NewAnnouncer(agent *Agent, control ControlClient, interval time.Duration) *Announcer {
	if interval == 0 {
		interval = DefaultAnnounceInterval
	}
	return &Announcer{agent: agent, control: control, interval: interval, orders: make(chan *wire.Order, maxQueuedOrders)}
}

// Run announces until ctx ends: at each interval and whenever something changes.
func (n *Announcer) Run(ctx context.Context) error {
	var worker sync.WaitGroup
	worker.Go(func() { n.carryOut(ctx) })
	defer worker.Wait()
	ticker := time.NewTicker(n.interval)
	defer ticker.Stop()
	for {
		n.Announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.agent.kick:
		}
	}
}

// Announce announces once and takes over what control answers.
//
// Nothing is announced before the backend server has been seen up for the first
// time: routers would learn of one that serves nothing.
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
	n.reported(results)
	n.agent.SetDraining(reply.Draining)
	for _, o := range reply.Orders {
		n.take(o)
	}
}

// logContact logs the loss and the return of contact to control.
func (n *Announcer) logContact(err error) {
	n.mu.Lock()
	was := n.silent
	n.silent = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !was:
		event.ControlUnreachable(n.agent.config.Name, err)
	case err == nil && was:
		event.ControlReachable(n.agent.config.Name)
	}
}

// reported removes results that control has received.
func (n *Announcer) reported(sent []*wire.OrderResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results = slices.DeleteFunc(n.results, func(r *wire.OrderResult) bool { return slices.Contains(sent, r) })
}

// report queues a result for the next announcement, unless it is queued.
func (n *Announcer) report(r *wire.OrderResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.ContainsFunc(n.results, func(q *wire.OrderResult) bool { return q.Id == r.Id }) {
		n.results = append(n.results, r)
	}
}

// take admits an order and queues it.
func (n *Announcer) take(o *wire.Order) {
	if len(n.orders) == cap(n.orders) {
		return
	}
	n.agent.mu.Lock()
	run, result := n.agent.gate.AdmitOrder(o)
	n.agent.mu.Unlock()
	if result != nil {
		n.report(result)
	}
	if run {
		n.orders <- o
	}
}

// carryOut carries out one order after the other.
func (n *Announcer) carryOut(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-n.orders:
			n.report(n.agent.order(ctx, o))
			n.agent.TriggerAnnounce()
		}
	}
}

// order gives an admitted order to the engine.
func (a *Agent) order(ctx context.Context, o *wire.Order) *wire.OrderResult {
	err := a.tryOrder(ctx, o)
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

func (a *Agent) tryOrder(ctx context.Context, o *wire.Order) error {
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
