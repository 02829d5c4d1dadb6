package fleet

import (
	"slices"
	"time"

	"parsleypulley/internal/config"
	"parsleypulley/internal/wire"
)

// Timing of the planner.
const (
	// loadTimeout is the time after which an open order counts as failed.
	loadTimeout = 30 * time.Second
	// retryMin is the delay before the first retry of a failed order. The delay
	// doubles with each failure, up to retryMax.
	retryMin = time.Second
	retryMax = time.Minute
)

// PlannerInput is the state from which the planner derives orders.
type PlannerInput struct {
	Config *config.Compiled
	// Members holds the backend servers sorted by name. The slice must not be
	// modified afterwards.
	Members []*wire.Member
	// Open holds the open orders, oldest first.
	Open []*wire.Order
}

// placement identifies a model on a backend server.
type placement struct {
	backend string
	model   string
}

// failure records the consecutive failed orders of a placement.
type failure struct {
	count   int
	retryAt time.Time
}

// Planner turns declared models into orders. It is used for one leadership term and
// returns the changes to propose.
type Planner struct {
	term uint64
	// start is the time from which on the leader may issue orders.
	start time.Time
	// firstSeen holds the time at which each open order was first seen.
	firstSeen map[uint64]time.Time
	failures  map[placement]failure
	// results holds the results of open orders that agents have reported, by order ID.
	results map[uint64]*wire.OrderResult
	// idleInput is the last input for which there was nothing to do.
	idleInput PlannerInput
}

// NewPlanner returns the planner for the leader of term. It issues no order until
// previousLease has passed, because the previous leader may still issue orders during
// its lease.
func NewPlanner(term uint64, now time.Time, previousLease time.Duration) *Planner {
	return &Planner{
		term:      term,
		start:     now.Add(previousLease),
		firstSeen: map[uint64]time.Time{},
		failures:  map[placement]failure{},
		results:   map[uint64]*wire.OrderResult{},
	}
}

// RecordResults records order results reported by an agent.
func (p *Planner) RecordResults(results ...*wire.OrderResult) {
	for _, r := range results {
		p.results[r.GetId()] = r
	}
}

// Plan returns the change to propose, or nil. Only one change may be proposed at a
// time: Plan must be called again only after the change is in the table.
func (p *Planner) Plan(now time.Time, in PlannerInput) *wire.FleetChange {
	if now.Before(p.start) || p.isIdle(in) {
		return nil
	}
	p.dropOldFailures(now)
	change := &wire.FleetChange{Term: p.term}
	open := p.finishOrders(now, in, change)
	f := newFleetView(in, open)
	for len(open) < MaxConcurrentLoads {
		order := p.nextOrder(now, f)
		if order == nil {
			break
		}
		open = append(open, order)
		change.Issue = append(change.Issue, order)
		f.applyOrder(order)
	}
	if len(change.Issue)+len(change.Finish) == 0 {
		p.markIdle(in)
		return nil
	}
	return change
}

// isIdle reports whether in is the input for which Plan last found nothing to do. The
// parts of a view are immutable, so comparing their identity is sufficient.
func (p *Planner) isIdle(in PlannerInput) bool {
	s := p.idleInput
	return s.Config != nil && s.Config == in.Config && len(in.Open) == 0 &&
		len(s.Members) == len(in.Members) && (len(in.Members) == 0 || &s.Members[0] == &in.Members[0])
}

// markIdle records that there is nothing to do for in, unless open orders or pending
// retries may require a change later.
func (p *Planner) markIdle(in PlannerInput) {
	if len(in.Open) == 0 && len(p.failures) == 0 {
		p.idleInput = in
	}
}

// finishOrders adds the results of finished orders to change and returns the orders
// that are still open.
func (p *Planner) finishOrders(now time.Time, in PlannerInput, change *wire.FleetChange) []*wire.Order {
	var open []*wire.Order
	firstSeen := map[uint64]time.Time{}
	for _, order := range in.Open {
		since, known := p.firstSeen[order.GetId()]
		if !known {
			since = now
		}
		orderResult := p.orderResult(now.Sub(since), order, in)
		if orderResult == nil {
			firstSeen[order.GetId()] = since
			open = append(open, order)
			continue
		}
		p.recordOutcome(now, order, orderResult)
		change.Finish = append(change.Finish, orderResult)
	}
	p.firstSeen = firstSeen
	for id := range p.results {
		if _, still := firstSeen[id]; !still {
			delete(p.results, id)
		}
	}
	return open
}

// orderResult returns the result of an order, or nil while it is in progress. An order
// is done once the backend server announces the ordered model, version and adapters.
func (p *Planner) orderResult(age time.Duration, order *wire.Order, in PlannerInput) *wire.OrderResult {
	member := findMember(in.Members, order.GetBackend())
	incarnation := member.GetBackend().GetAgentIncarnation()
	reported := p.results[order.GetId()]
	switch {
	case reported.GetError() != "":
		return reported
	case incarnation > order.GetAgentIncarnation():
		return &wire.OrderResult{Id: order.GetId(), Error: "the agent has restarted"}
	case incarnation == order.GetAgentIncarnation() && fulfills(member, order):
		return &wire.OrderResult{Id: order.GetId(), Done: true}
	case age >= loadTimeout:
		return &wire.OrderResult{Id: order.GetId(), Error: "no result in time"}
	}
	return nil
}

// recordOutcome clears the failures of the order's placement if the order is done, or
// else schedules a retry with exponential backoff.
func (p *Planner) recordOutcome(now time.Time, order *wire.Order, result *wire.OrderResult) {
	t := placement{order.GetBackend(), order.GetModel()}
	if result.GetDone() {
		delete(p.failures, t)
		return
	}
	f := p.failures[t]
	f.retryAt = now.Add(min(retryMin<<min(f.count, 8), retryMax))
	f.count++
	p.failures[t] = f
}

// dropOldFailures drops failures that were not retried within retryMax after their retry
// time, such as those of backend servers that are gone.
func (p *Planner) dropOldFailures(now time.Time) {
	for t, f := range p.failures {
		if now.Sub(f.retryAt) > retryMax {
			delete(p.failures, t)
		}
	}
}

// nextOrder returns the next order to issue, or nil. Orders that bring a model up to
// its minimum ready count come first, then orders that update engines to the declared
// version and adapters. If no engine can be spared for an update, the model is first
// loaded on another engine.
func (p *Planner) nextOrder(now time.Time, f *fleetView) *wire.Order {
	for _, model := range f.models {
		if f.ready[model.Name]+f.pending[model.Name] >= f.minReady[model.Name] {
			continue
		}
		if order := p.chooseEngine(now, f, model, f.loadCandidate); order != nil {
			return order
		}
	}
	for _, model := range f.models {
		if !f.anyStale(model) {
			continue
		}
		if order := p.chooseEngine(now, f, model, f.updateCandidate); order != nil {
			return order
		}
		if f.pending[model.Name] > 0 || f.ready[model.Name] > f.minReady[model.Name] {
			continue
		}
		if order := p.chooseEngine(now, f, model, f.loadCandidate); order != nil {
			return order
		}
	}
	return nil
}

// chooseEngine returns an order for the preferred engine that candidate accepts, or
// nil.
func (p *Planner) chooseEngine(now time.Time, f *fleetView, model *config.Model, candidate func(*wire.Member, *config.Model) bool) *wire.Order {
	var best *wire.Member
	for _, member := range f.members {
		retryAt := p.failures[placement{member.GetBackend().GetName(), model.Name}].retryAt
		if now.Before(retryAt) || !candidate(member, model) {
			continue
		}
		if best == nil || f.preferred(member, best) {
			best = member
		}
	}
	if best == nil {
		return nil
	}
	return &wire.Order{
		Backend:          best.GetBackend().GetName(),
		AgentIncarnation: best.GetBackend().GetAgentIncarnation(),
		Fencing:          p.term,
		Model:            model.Name,
		WeightsVersion:   model.WeightsVersion,
		Adapters:         slices.Clone(model.Adapters),
	}
}
