// Package fleet turns declared models into orders to engines: the replicated
// table of open orders, the leader's planner, and the gate at the agent that
// refuses orders of an earlier leader.
package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// MaxConcurrentLoads is the greatest number of orders that load from the weight store at
// once, over all backend servers.
const MaxConcurrentLoads = 3

// State is the replicated table of open orders. It is deterministic, and
// orders that it hands out are never modified afterwards.
type State struct {
	term uint64
	// lastID is the ID of the newest order.
	lastID uint64
	open   []*wire.Order
}

// NewState returns an empty table.
func NewState() *State { return &State{} }

// Term returns the newest term of a leader.
func (s *State) Term() uint64 { return s.term }

// Open returns the open orders, oldest first.
func (s *State) Open() []*wire.Order { return slices.Clone(s.open) }

// StartTerm notes a new leader, which takes over the open orders: they keep
// their IDs and carry its fencing token from now on.
func (s *State) StartTerm(term uint64) bool {
	if term <= s.term {
		return false
	}
	s.term = term
	for i, order := range s.open {
		taken := proto.CloneOf(order)
		taken.Fencing = term
		s.open[i] = taken
	}
	return true
}

// Apply applies a change of the leader of change.Term. A change of a term other
// than the newest, or one that would open more than MaxConcurrentLoads orders or two for
// one backend server, is refused whole.
func (s *State) Apply(change *wire.FleetChange) *wire.FleetResult {
	if change.GetTerm() != s.term || s.term == 0 {
		return &wire.FleetResult{}
	}
	open := slices.DeleteFunc(slices.Clone(s.open), func(order *wire.Order) bool {
		return slices.ContainsFunc(change.GetFinish(), func(r *wire.OrderResult) bool {
			return r.GetId() == order.GetId()
		})
	})
	next := s.lastID
	for _, issue := range change.GetIssue() {
		if len(open) >= MaxConcurrentLoads || hasOrder(open, issue.GetBackend()) {
			return &wire.FleetResult{}
		}
		next++
		order := proto.CloneOf(issue)
		order.Id = next
		order.Fencing = s.term
		open = append(open, order)
	}
	s.open, s.lastID = open, next
	return &wire.FleetResult{Accepted: true}
}

func hasOrder(orders []*wire.Order, backend string) bool {
	return slices.ContainsFunc(orders, func(order *wire.Order) bool {
		return order.GetBackend() == backend
	})
}

// LastID returns the ID of the newest order.
func (s *State) LastID() uint64 { return s.lastID }

// Restore replaces the table by the one that Term, LastID and Open gave.
func (s *State) Restore(term, lastID uint64, open []*wire.Order) {
	*s = State{term: term, lastID: lastID, open: open}
}
