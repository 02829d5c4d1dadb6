// Package fleet turns declared models into orders to engines. It contains the
// replicated table of open orders, the leader's planner, the rollout of new weights to
// engines without an agent, and the order admission at the agent, which refuses orders
// of earlier leaders.
package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// MaxConcurrentLoads is the maximum number of orders that load from the weight store
// at the same time, over all backend servers.
const MaxConcurrentLoads = 3

// State is the replicated table of open orders. It is deterministic. Orders that it
// returns are never modified afterwards.
type State struct {
	term uint64
	// lastID is the ID of the newest order.
	lastID uint64
	open   []*wire.Order
}

// NewState returns an empty table.
func NewState() *State { return &State{} }

// Term returns the newest leadership term.
func (s *State) Term() uint64 { return s.term }

// Open returns the open orders, oldest first.
func (s *State) Open() []*wire.Order { return slices.Clone(s.open) }

// StartTerm starts the term of a new leader and reports whether the term is newer
// than the present one. The new leader takes over the open orders: they keep their
// IDs and get its term as their fencing token.
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

// Apply applies a change proposed by the leader of change.Term. It refuses the whole
// change if its term is not the newest, or if there would be more than
// MaxConcurrentLoads open orders or two for one backend server.
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

// Restore replaces the table with the values that Term, LastID and Open returned
// earlier.
func (s *State) Restore(term, lastID uint64, open []*wire.Order) {
	*s = State{term: term, lastID: lastID, open: open}
}
