package fleet

import (
	"slices"
	"time"

	"parsleypulley/internal/config"
	"parsleypulley/internal/wire"
)

// Times of the planner.
const (
	// loadTimeout is the time after which an open order counts as failed.
	loadTimeout = 30 * time.Second
	// retryMin and retryMax bound the time before a failed order is given again.
	retryMin = time.Second
	retryMax = time.Minute
)

// PlannerInput is what the planner decides on.
type PlannerInput struct {
	Config *config.Compiled
	// Members are the backend servers in the order of their names. The slice
	// must not be modified afterwards.
	Members []*wire.Member
	// Open holds the open orders, oldest first.
	Open []*wire.Order
}

// target names a model at a backend server.
type target struct {
	backend string
	model   string
}

// failure is what is known of the failed orders of a target.
type failure struct {
	count   int
	retryAt time.Time
}

// Planner turns declared models into orders. It lives for one term of the
// leader and returns the changes to propose.
type Planner struct {
	term uint64
	// start is the time from which on the leader may give orders.
	start time.Time
	// seen holds the time at which each open order was first seen.
	seen     map[uint64]time.Time
	failures map[target]failure
	// results holds what agents reported since the last plan.
	results map[uint64]*wire.OrderResult
	// settled is the input for which there was nothing to do.
	settled PlannerInput
}

// NewPlanner returns the planner of the leader of term. It gives no order
// before oldLease is over: the lease of the leader before it, in which that
// one may still have given orders.
func NewPlanner(term uint64, now time.Time, oldLease time.Duration) *Planner {
	return &Planner{
		term:     term,
		start:    now.Add(oldLease),
		seen:     map[uint64]time.Time{},
		failures: map[target]failure{},
		results:  map[uint64]*wire.OrderResult{},
	}
}

// RecordResults takes the results that an agent reported.
func (p *Planner) RecordResults(results ...*wire.OrderResult) {
	for _, r := range results {
		p.results[r.GetId()] = r
	}
}

// Plan returns the change to propose, or nil. Propose one change at a time, and
// call Plan again once it is in the table.
func (p *Planner) Plan(now time.Time, in PlannerInput) *wire.FleetChange {
	if now.Before(p.start) || p.isSettled(in) {
		return nil
	}
	p.forget(now)
	change := &wire.FleetChange{Term: p.term}
	open := p.finish(now, in, change)
	f := newFleetView(in, open)
	for len(open) < MaxConcurrentLoads {
		order := p.next(now, f)
		if order == nil {
			break
		}
		open = append(open, order)
		change.Issue = append(change.Issue, order)
		f.take(order)
	}
	if len(change.Issue)+len(change.Finish) == 0 {
		p.settle(in)
		return nil
	}
	return change
}

// isSettled reports whether in is known to call for nothing. The parts of a
// view are immutable, so that the same ones have the same content.
func (p *Planner) isSettled(in PlannerInput) bool {
	s := p.settled
	return s.Config != nil && s.Config == in.Config && len(in.Open) == 0 &&
		len(s.Members) == len(in.Members) && (len(in.Members) == 0 || &s.Members[0] == &in.Members[0])
}

// settle notes that in calls for nothing, whatever the time.
func (p *Planner) settle(in PlannerInput) {
	if len(in.Open) == 0 && len(p.failures) == 0 {
		p.settled = in
	}
}

// finish closes the open orders that are over and returns the others.
func (p *Planner) finish(now time.Time, in PlannerInput, change *wire.FleetChange) []*wire.Order {
	var open []*wire.Order
	seen := map[uint64]time.Time{}
	for _, order := range in.Open {
		since, known := p.seen[order.GetId()]
		if !known {
			since = now
		}
		result := p.result(now.Sub(since), order, in)
		if result == nil {
			seen[order.GetId()] = since
			open = append(open, order)
			continue
		}
		p.note(now, order, result)
		change.Finish = append(change.Finish, result)
	}
	p.seen = seen
	for id := range p.results {
		if _, still := seen[id]; !still {
			delete(p.results, id)
		}
	}
	return open
}

// result returns the result of an order, or nil while it is under way. An order
// counts as done once the backend server announces what it asked for.
func (p *Planner) result(age time.Duration, order *wire.Order, in PlannerInput) *wire.OrderResult {
	member := find(in.Members, order.GetBackend())
	incarnation := member.GetBackend().GetAgentIncarnation()
	reported := p.results[order.GetId()]
	switch {
	case reported.GetError() != "":
		return reported
	case incarnation > order.GetAgentIncarnation():
		return &wire.OrderResult{Id: order.GetId(), Error: "the agent has restarted"}
	case incarnation == order.GetAgentIncarnation() && holds(member, order):
		return &wire.OrderResult{Id: order.GetId(), Done: true}
	case age >= loadTimeout:
		return &wire.OrderResult{Id: order.GetId(), Error: "no result in time"}
	}
	return nil
}

// note remembers how an order ended.
func (p *Planner) note(now time.Time, order *wire.Order, result *wire.OrderResult) {
	t := target{order.GetBackend(), order.GetModel()}
	if result.GetDone() {
		delete(p.failures, t)
		return
	}
	f := p.failures[t]
	f.retryAt = now.Add(min(retryMin<<min(f.count, 8), retryMax))
	f.count++
	p.failures[t] = f
}

// forget drops failures that no retry has followed for long, as those of
// backend servers that are gone.
func (p *Planner) forget(now time.Time) {
	for t, f := range p.failures {
		if now.Sub(f.retryAt) > retryMax {
			delete(p.failures, t)
		}
	}
}

// next returns the next order to give, or nil: first one that brings a model up
// to its ready count, then one that brings a backend server up to date. Where
// none can be spared for that, another engine is loaded first.
func (p *Planner) next(now time.Time, f *fleetView) *wire.Order {
	for _, model := range f.models {
		if f.ready[model.Name]+f.coming[model.Name] >= f.minReady[model.Name] {
			continue
		}
		if order := p.choose(now, f, model, f.freshCandidate); order != nil {
			return order
		}
	}
	for _, model := range f.models {
		if !f.anyStale(model) {
			continue
		}
		if order := p.choose(now, f, model, f.staleCandidate); order != nil {
			return order
		}
		if f.coming[model.Name] > 0 || f.ready[model.Name] > f.minReady[model.Name] {
			continue
		}
		if order := p.choose(now, f, model, f.freshCandidate); order != nil {
			return order
		}
	}
	return nil
}

// choose returns an order for the best backend server that candidate accepts.
func (p *Planner) choose(now time.Time, f *fleetView, model *config.Model, candidate func(*wire.Member, *config.Model) bool) *wire.Order {
	var best *wire.Member
	for _, member := range f.members {
		retryAt := p.failures[target{member.GetBackend().GetName(), model.Name}].retryAt
		if now.Before(retryAt) || !candidate(member, model) {
			continue
		}
		if best == nil || f.better(member, best) {
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
