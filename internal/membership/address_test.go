package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// Guards against an index of addresses that misses members, or keeps some that are gone: a server would
// displace the wrong ones, or none. It must hold after any changes and after a restart.
func TestMembersAreFoundByTheirAddress(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(61, 1))
	s := NewState()
	displaced := 0
	for i := range 20000 {
		name, address := fmt.Sprint("server-", random.IntN(40)), fmt.Sprintf("10.0.0.%d:80", 1+random.IntN(20))
		backend := &wire.Backend{Name: name, Address: address, FailureDomain: "zone-1", AgentIncarnation: uint64(1 + random.IntN(1+i/50)), MaxRunning: 4}
		if member := s.Member(name); member != nil && random.IntN(2) == 0 {
			backend.AgentIncarnation = member.GetBackend().GetAgentIncarnation()
		}
		if random.IntN(8) == 0 {
			backend.Address, backend.AgentAddress = "", address
		}
		kinds := []wire.BackendChange_Kind{wire.BackendChange_KIND_JOIN, wire.BackendChange_KIND_JOIN, wire.BackendChange_KIND_UPDATE, wire.BackendChange_KIND_EXPIRE,
			wire.BackendChange_KIND_SUSPECT, wire.BackendChange_KIND_LOADED}
		kind := kinds[random.IntN(len(kinds))]
		var others []string
		for _, m := range s.Members() {
			if kind == wire.BackendChange_KIND_JOIN && backend.Address != "" && m.GetBackend().GetName() != name && m.GetBackend().GetAddress() == backend.Address {
				others = append(others, m.GetBackend().GetName())
			}
		}
		changed := s.Member(name).GetBackend().GetAgentIncarnation() != backend.AgentIncarnation
		outcome := s.Apply(&wire.BackendChange{Kind: kind, Name: name, AgentIncarnation: backend.AgentIncarnation, Backend: backend}, uint64(i+1))
		if outcome.Result.GetChanged() && kind == wire.BackendChange_KIND_JOIN && changed {
			is.True(slices.Equal(outcome.Displaced, others))
			displaced += len(others)
		}
		if i%1000 == 0 {
			restored := NewState()
			restored.Restore(s.Members(), nil, nil, nil)
			s = restored
		}
		indexed := 0
		for _, names := range s.atAddress {
			indexed += len(names)
		}
		for _, m := range s.Members() {
			if m.GetBackend().GetAddress() != "" {
				is.True(slices.Contains(s.atAddress[m.GetBackend().GetAddress()], m.GetBackend().GetName()))
				indexed--
			}
		}
		is.Equal(indexed, 0)
	}
	is.True(displaced > 100)
}

// Guards against a join that compares the server with all others: at a start of 3,000 servers that was most of
// the time in which each replica applied them.
func TestJoinCostsTheSameAmongManyMembers(t *testing.T) {
	join := func(s *State, from, n int) time.Duration {
		began := time.Now()
		for i := from; i < from+n; i++ {
			backend := &wire.Backend{Name: fmt.Sprint("server-", i), Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), FailureDomain: "zone-1", AgentIncarnation: 7, MaxRunning: 4}
			if out := s.Apply(&wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: backend.Name, AgentIncarnation: 7, Backend: backend}, uint64(i)); !out.Result.GetChanged() {
				t.Fatal(out.Result.GetProblem())
			}
		}
		return time.Since(began)
	}
	// The best of several runs, so that other work on the machine counts little.
	few, many := time.Hour, time.Hour
	for range 3 {
		s := NewState()
		few = min(few, join(s, 1, 1000))
		join(s, 1001, 7000)
		many = min(many, join(s, 8001, 1000))
	}
	t.Logf("1,000 servers join in %v at the start and in %v after 8,000", few, many)
	if many > 5*few {
		t.Errorf("the cost of a join grows with the members")
	}
}
