// Package membership decides which backend servers the system uses. It holds the
// replicated table of members and the leader's failure detector, which is based on
// leases.
package membership

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// maxRetainedNames bounds the number of drained names and the number of retired names.
const maxRetainedNames = 65536

// State is the replicated table of backend servers. It is deterministic: the same
// changes in the same order produce the same table. Members that it returns are
// never modified afterwards.
type State struct {
	members map[string]*wire.Member
	// atAddress holds the names of the members without an agent by their address, so that a server that
	// joins is not compared with all others. It follows from members and is not replicated.
	atAddress map[string][]string
	// drained holds the names drained by operators. They stay drained when leases
	// expire and incarnations change.
	drained nameSet
	// retired holds the names retired by operators. They too stay retired when leases
	// expire and incarnations change.
	retired nameSet
	// departed holds the incarnations that have left or have said that they leave.
	departed departedSet
}

// NewState returns an empty table.
func NewState() *State {
	return &State{members: map[string]*wire.Member{}, atAddress: map[string][]string{}}
}

// Outcome is the effect of one change.
type Outcome struct {
	// Result is returned to the proposer of the change.
	Result *wire.BackendResult
	// Member is the new value of the member that the change added or modified, or
	// nil.
	Member *wire.Member
	// Removed is the name of the member that the change removed, or empty.
	Removed string
	// Displaced holds the names of the members that were removed because the joining
	// backend server has taken over their address.
	Displaced []string
}

// Apply applies one committed change. nextVersion is the view version of the event
// that this change will emit.
func (s *State) Apply(change *wire.BackendChange, nextVersion uint64) Outcome {
	switch change.GetKind() {
	case wire.BackendChange_KIND_JOIN:
		return s.join(change.GetBackend(), nextVersion)
	case wire.BackendChange_KIND_DRAIN:
		return s.drain(change)
	case wire.BackendChange_KIND_UNDRAIN:
		return s.undrain(change)
	case wire.BackendChange_KIND_RETIRE:
		return s.retire(change)
	case wire.BackendChange_KIND_DEPART:
		return s.depart(change)
	}
	member, problem := s.lookup(change)
	if problem != "" {
		return refused(problem)
	}
	switch change.GetKind() {
	case wire.BackendChange_KIND_UPDATE:
		return s.update(member, change.GetBackend())
	case wire.BackendChange_KIND_SUSPECT:
		return s.transition(member, wire.BackendState_BACKEND_STATE_SUSPECTED, wire.BackendState_BACKEND_STATE_READY)
	case wire.BackendChange_KIND_RECOVER:
		return s.transition(member, wire.BackendState_BACKEND_STATE_READY,
			wire.BackendState_BACKEND_STATE_SUSPECTED, wire.BackendState_BACKEND_STATE_DAMPED)
	case wire.BackendChange_KIND_DAMP:
		return s.transition(member, wire.BackendState_BACKEND_STATE_DAMPED,
			wire.BackendState_BACKEND_STATE_READY, wire.BackendState_BACKEND_STATE_SUSPECTED)
	case wire.BackendChange_KIND_LOAD:
		return s.transition(member, wire.BackendState_BACKEND_STATE_LOADING, wire.BackendState_BACKEND_STATE_READY)
	case wire.BackendChange_KIND_LOADED:
		return s.finishLoading(member, change.GetBackend())
	case wire.BackendChange_KIND_LEAVE:
		s.departed.add(departedKeyOf(member.GetBackend()))
		return s.remove(member)
	case wire.BackendChange_KIND_EXPIRE:
		// The leader of a later term does not know that a draining backend server has said that it leaves.
		if member.GetState() == wire.BackendState_BACKEND_STATE_DRAINING && !s.drained.has(change.GetName()) && !member.GetRetired() {
			s.departed.add(departedKeyOf(member.GetBackend()))
		}
		return s.remove(member)
	}
	return refused(fmt.Sprintf("unknown kind of change %d", change.GetKind()))
}

// join adds a backend server, or replaces its earlier incarnation.
func (s *State) join(backend *wire.Backend, nextVersion uint64) Outcome {
	if problem := ValidateBackend(backend); problem != "" {
		return refused(problem)
	}
	name := backend.GetName()
	if s.retired.has(name) {
		return refused(fmt.Sprintf("backend server %q is retired; undrain it first", name))
	}
	old := s.members[name]
	if s.departed.has(backend) {
		return refused(fmt.Sprintf("this incarnation of backend server %q has left", name))
	}
	if old != nil && old.GetBackend().GetAgentIncarnation() > backend.GetAgentIncarnation() {
		return refused(fmt.Sprintf("backend server %q has joined with a later incarnation", name))
	}
	if old != nil && old.GetBackend().GetAgentIncarnation() == backend.GetAgentIncarnation() {
		return s.update(old, backend)
	}
	displaced, problem := s.othersAtAddress(backend)
	if problem != "" {
		return refused(problem)
	}
	for _, other := range displaced {
		s.deleteMember(other)
	}
	if old != nil {
		s.departed.add(departedKeyOf(old.GetBackend())) // it must not join once its successor has left
	}
	state := wire.BackendState_BACKEND_STATE_READY
	if old.GetState() == wire.BackendState_BACKEND_STATE_DAMPED {
		state = wire.BackendState_BACKEND_STATE_DAMPED
	}
	if s.drained.has(name) {
		state = wire.BackendState_BACKEND_STATE_DRAINING
	}
	outcome := s.put(&wire.Member{
		Backend:       proto.CloneOf(backend),
		State:         state,
		JoinedVersion: nextVersion,
	})
	outcome.Displaced = displaced
	return outcome
}

// othersAtAddress returns the names of the other members that have the same address
// as a backend server without an agent. Members that started earlier are taken to
// be gone. If one of them started later, the announcement is outdated, and
// othersAtAddress returns a problem.
func (s *State) othersAtAddress(backend *wire.Backend) (names []string, problem string) {
	if backend.GetAddress() == "" {
		return nil, ""
	}
	for _, name := range s.atAddress[backend.GetAddress()] {
		if name == backend.GetName() {
			continue
		}
		if s.members[name].GetBackend().GetAgentIncarnation() > backend.GetAgentIncarnation() {
			return nil, fmt.Sprintf("address %s belongs to %q, which started later", backend.GetAddress(), name)
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names, ""
}

// update replaces the announced properties of a member of the same incarnation.
func (s *State) update(member *wire.Member, backend *wire.Backend) Outcome {
	if problem := ValidateBackend(backend); problem != "" {
		return refused(problem)
	}
	if backend.GetAgentIncarnation() != member.GetBackend().GetAgentIncarnation() {
		return refused("update comes from another incarnation")
	}
	if proto.Equal(backend, member.GetBackend()) {
		return unchanged()
	}
	next := copyMember(member)
	next.Backend = proto.CloneOf(backend)
	return s.put(next)
}

// finishLoading ends the LOADING state and, unless backend is nil, records the
// models that the backend server now has loaded.
func (s *State) finishLoading(member *wire.Member, backend *wire.Backend) Outcome {
	next := copyMember(member)
	if next.State == wire.BackendState_BACKEND_STATE_LOADING {
		next.State = wire.BackendState_BACKEND_STATE_READY
	}
	if backend != nil {
		if problem := ValidateBackend(backend); problem != "" {
			return refused(problem)
		}
		next.Backend = proto.CloneOf(backend)
	}
	return s.put(next)
}

// drain stops new work for a backend server. A drain for one incarnation ends with
// that incarnation. A drain without an incarnation applies to the name until it is
// undrained.
func (s *State) drain(change *wire.BackendChange) Outcome {
	if change.GetAgentIncarnation() == 0 {
		if s.members[change.GetName()] == nil && !s.drained.has(change.GetName()) {
			return refused(fmt.Sprintf("backend server %q is not a member", change.GetName()))
		}
		s.drained.add(change.GetName())
	}
	member, problem := s.lookup(change)
	if problem != "" && change.GetAgentIncarnation() != 0 {
		return refused(problem)
	}
	if member == nil || member.GetState() == wire.BackendState_BACKEND_STATE_DRAINING {
		return unchanged()
	}
	return s.putState(member, wire.BackendState_BACKEND_STATE_DRAINING)
}

// undrain allows a drained or retired name to receive work again.
func (s *State) undrain(change *wire.BackendChange) Outcome {
	name := change.GetName()
	removed := s.drained.remove(name)
	removed = s.retired.remove(name) || removed
	member, problem := s.lookup(change)
	if problem != "" && !removed {
		return refused(problem)
	}
	if member == nil || member.GetState() != wire.BackendState_BACKEND_STATE_DRAINING {
		return unchanged()
	}
	next := copyMember(member)
	next.Retired = false
	if !s.departed.has(member.GetBackend()) {
		next.State = wire.BackendState_BACKEND_STATE_READY
	}
	return s.put(next)
}

// depart records that an incarnation gets no work from now on. Work for the name reaches the process that runs under
// it, whichever incarnation the member has:
//   - An earlier incarnation is over. It is drained, and recorded as departed too.
//   - A later one that was heard lately makes it unclear which of the two runs: the notice may be late, or come from a
//     start whose clock was set back. depart refuses it.
//   - A later one that is suspected is removed. If it runs after all, its next announcement joins.
//
// A change without an incarnation is meant for the known one.
func (s *State) depart(change *wire.BackendChange) Outcome {
	name := change.GetName()
	member := s.members[name]
	left := &wire.Backend{Name: name, AgentIncarnation: change.GetAgentIncarnation()}
	if left.AgentIncarnation == 0 {
		if member == nil {
			return refused(fmt.Sprintf("backend server %q is no member, and the notice does not name its start", name))
		}
		left.AgentIncarnation = member.GetBackend().GetAgentIncarnation()
	}
	switch {
	case s.departed.has(left):
		return unchanged()
	case name == "":
		return refused("the notice names no backend server")
	case member == nil:
		s.departed.add(departedKeyOf(left))
		return Outcome{Result: &wire.BackendResult{Accepted: true, Changed: true}}
	case member.GetBackend().GetAgentIncarnation() <= left.AgentIncarnation:
		s.departed.add(departedKeyOf(left))
		s.departed.add(departedKeyOf(member.GetBackend()))
		return s.putState(member, wire.BackendState_BACKEND_STATE_DRAINING)
	case member.GetState() == wire.BackendState_BACKEND_STATE_SUSPECTED:
		s.departed.add(departedKeyOf(left))
		return s.remove(member)
	}
	return refused(fmt.Sprintf("a later start of backend server %q is known and was heard lately", name))
}

// retire drains a backend server permanently: once it has left, the name can't join
// again until it is undrained.
func (s *State) retire(change *wire.BackendChange) Outcome {
	member, problem := s.lookup(change)
	if problem != "" && !s.drained.has(change.GetName()) && !s.retired.has(change.GetName()) {
		return refused(problem)
	}
	s.retired.add(change.GetName())
	if member == nil || member.GetRetired() {
		return unchanged()
	}
	next := copyMember(member)
	next.State = wire.BackendState_BACKEND_STATE_DRAINING
	next.Retired = true
	return s.put(next)
}

// lookup returns the member named by change. If there is none, or if the change is
// for another incarnation, it returns a description of the problem.
func (s *State) lookup(change *wire.BackendChange) (*wire.Member, string) {
	member := s.members[change.GetName()]
	if member == nil {
		return nil, fmt.Sprintf("backend server %q is not a member", change.GetName())
	}
	incarnation := change.GetAgentIncarnation()
	if incarnation != 0 && incarnation != member.GetBackend().GetAgentIncarnation() {
		return nil, "change is meant for another incarnation"
	}
	return member, ""
}

// transition sets a member's state to the state to, if it is now in one of the states
// from. Otherwise the change is accepted without effect.
func (s *State) transition(member *wire.Member, to wire.BackendState, from ...wire.BackendState) Outcome {
	if !slices.Contains(from, member.GetState()) {
		return unchanged()
	}
	return s.putState(member, to)
}

func (s *State) putState(member *wire.Member, state wire.BackendState) Outcome {
	next := copyMember(member)
	next.State = state
	return s.put(next)
}

func (s *State) put(member *wire.Member) Outcome {
	s.setMember(member)
	return Outcome{Result: &wire.BackendResult{Accepted: true, Changed: true}, Member: member}
}

func (s *State) remove(member *wire.Member) Outcome {
	name := member.GetBackend().GetName()
	s.deleteMember(name)
	return Outcome{Result: &wire.BackendResult{Accepted: true, Changed: true}, Removed: name}
}

// setMember adds a member, or replaces the one of its name.
func (s *State) setMember(member *wire.Member) {
	name, address := member.GetBackend().GetName(), member.GetBackend().GetAddress()
	if old := s.members[name]; old != nil && old.GetBackend().GetAddress() != address {
		s.deleteMember(name)
	}
	s.members[name] = member
	if address == "" {
		return // has an agent
	}
	if !slices.Contains(s.atAddress[address], name) {
		s.atAddress[address] = append(s.atAddress[address], name)
	}
}

func (s *State) deleteMember(name string) {
	address := s.members[name].GetBackend().GetAddress()
	delete(s.members, name)
	others := slices.DeleteFunc(s.atAddress[address], func(other string) bool { return other == name })
	if len(others) == 0 {
		delete(s.atAddress, address)
	} else {
		s.atAddress[address] = others
	}
}

// Member returns the member called name, or nil.
func (s *State) Member(name string) *wire.Member { return s.members[name] }

// Members returns all members in the order of their names.
func (s *State) Members() []*wire.Member {
	members := make([]*wire.Member, 0, len(s.members))
	for _, member := range s.members {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b *wire.Member) int {
		return strings.Compare(a.GetBackend().GetName(), b.GetBackend().GetName())
	})
	return members
}

// Drained returns the names that operators have drained, oldest first.
func (s *State) Drained() []string { return slices.Clone(s.drained.names) }

// Retired returns the names that operators have retired, oldest first.
func (s *State) Retired() []string { return slices.Clone(s.retired.names) }

// HasDeparted reports whether an incarnation has left or has said that it leaves.
func (s *State) HasDeparted(b *wire.Backend) bool { return s.departed.has(b) }

// Departed returns the incarnations that have left, oldest first.
func (s *State) Departed() []*wire.DepartedBackend { return s.departed.messages() }

// Restore replaces the table with the values that Members, Drained, Retired and
// Departed returned earlier.
func (s *State) Restore(members []*wire.Member, drained, retired []string, departed []*wire.DepartedBackend) {
	s.members, s.atAddress = make(map[string]*wire.Member, len(members)), make(map[string][]string, len(members))
	for _, member := range members {
		s.setMember(member)
	}
	s.drained = newNameSet(drained)
	s.retired = newNameSet(retired)
	s.departed = newDepartedSet(departed)
}

func copyMember(m *wire.Member) *wire.Member {
	return &wire.Member{
		Backend:       m.GetBackend(),
		State:         m.GetState(),
		JoinedVersion: m.GetJoinedVersion(),
		Retired:       m.GetRetired(),
	}
}

func refused(problem string) Outcome {
	return Outcome{Result: &wire.BackendResult{Problem: problem}}
}

func unchanged() Outcome {
	return Outcome{Result: &wire.BackendResult{Accepted: true}}
}
