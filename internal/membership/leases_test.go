package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// system simulates a leader and its members' agents on a manual clock.
type system struct {
	now    time.Time
	state  *State
	leases *Leases
	agents []*agent
	// sorted holds the members at the last tick.
	sorted []*wire.Member
	// dirty is set when sorted is outdated.
	dirty bool
	// counts holds the number of committed changes by kind.
	counts map[wire.BackendChange_Kind]int
}

// agent sends the heartbeats of a backend server while it is up.
type agent struct {
	backend      *wire.Backend
	up           bool
	leaving      bool
	lastAnnounce time.Time
	reply        *wire.AnnounceReply
}

// tick returns the time between two calls of Tick: half a heartbeat interval.
func (s *system) tick() time.Duration { return s.leases.Interval(len(s.sorted)) / 2 }

func (s *system) Member(name string) *wire.Member { return s.state.Member(name) }
func (s *system) Members() []*wire.Member         { return s.sorted }

// newSystem starts n agents, distributed round-robin over regions, and runs until
// they have joined.
func newSystem(n, regions int) *system {
	s := &system{now: time.Unix(1_000_000, 0), state: NewState()}
	for i := range n {
		b := backend(fmt.Sprintf("b%04d", i), 1)
		b.Region = fmt.Sprintf("region-%d", i%regions)
		s.agents = append(s.agents, &agent{backend: b, up: true})
	}
	s.newLeader()
	s.run(2 * time.Second)
	return s
}

func (s *system) newLeader() {
	s.leases = NewLeases(DefaultLeaseConfig(), s.now)
	s.counts = map[wire.BackendChange_Kind]int{}
}

func (s *system) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(s.tick())
		for _, a := range s.agents {
			s.announce(a)
		}
		s.sort()
		s.commit(s.leases.Tick(s.now, s))
		s.sort()
	}
}

func (s *system) sort() {
	if s.dirty {
		s.sorted = s.state.Members()
		s.dirty = false
	}
}

func (s *system) announce(a *agent) {
	if !a.up || s.now.Sub(a.lastAnnounce) < s.leases.Interval(len(s.sorted)) {
		return
	}
	a.lastAnnounce = s.now
	changes, reply := s.leases.Heartbeat(s.now, s, &wire.Announce{Backend: a.backend, Leaving: a.leaving})
	a.reply = reply
	s.commit(changes)
}

func (s *system) commit(changes []*wire.BackendChange) {
	for _, c := range changes {
		s.counts[c.GetKind()]++
		if outcome := s.state.Apply(c, 1); !outcome.Result.GetAccepted() {
			s.leases.MarkRefused(s.now, c)
		}
	}
	s.dirty = s.dirty || len(changes) > 0
}

func (a *agent) restart() {
	next := backend(a.backend.GetName(), a.backend.GetAgentIncarnation()+1)
	next.Region = a.backend.GetRegion()
	a.backend, a.up, a.leaving = next, true, false
}

func (s *system) countState(state wire.BackendState) int {
	n := 0
	for _, m := range s.sorted {
		if m.GetState() == state {
			n++
		}
	}
	return n
}

func TestSuspicionPrecedesExpiry(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	a := s.agents[3]
	name := a.backend.GetName()
	a.up = false
	s.run(time.Second)
	is.Equal(s.Member(name).GetState(), ready) // silent for less than suspectAfter
	s.run(time.Second)
	is.Equal(s.Member(name).GetState(), suspected)
	a.up = true
	s.run(time.Second)
	is.Equal(s.Member(name).GetState(), ready)
	a.up = false
	s.run(3500 * time.Millisecond)
	is.Equal(s.Member(name).GetState(), suspected)
	s.run(time.Second)
	is.True(s.Member(name) == nil) // the lease of 4 s has expired
	is.Equal(s.counts[expire], 1)
}

func TestNewLeaderGrantsFreshLeases(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	s.agents[0].up = false
	s.run(3 * time.Second)
	s.newLeader()
	s.run(3 * time.Second)
	is.Equal(len(s.sorted), 18) // no member expires within one lease of the start
	s.run(2 * time.Second)
	is.Equal(len(s.sorted), 17)
	is.Equal(s.counts[expire], 1)
}

func TestPausedLeaderExpiresNoMember(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSystem(18, 1)
			s.now = s.now.Add(pause)
			s.commit(s.leases.Tick(s.now, s))
			s.run(5 * time.Second)
			is.Equal(s.counts[suspect], 0)
			is.Equal(s.counts[expire], 0)
		})
	}
}

func TestHeartbeatsAfterLeaderPause(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	for range 5 {
		s.now = s.now.Add(10 * time.Second) // the leader is paused
		for _, a := range s.agents {
			s.announce(a)
		}
		s.run(time.Second)
	}
	is.Equal(s.counts[damp], 0) // the pause does not count as a return of the members
	s.agents[3].up = false
	s.run(5 * time.Second)
	is.Equal(len(s.sorted), 17) // leases are extended by the pause only
}

func TestCorrelatedSilence(t *testing.T) {
	for _, row := range []struct {
		name    string
		silent  func(i int) bool
		expired int
	}{
		{"rack", func(i int) bool { return i < 40 }, 40},
		{"a third of a region", func(i int) bool { return i%7 == 2 && i < 140 }, 20},
		{"partitioned region", func(i int) bool { return i%7 == 2 }, 0},
		{"all but one region", func(i int) bool { return i%7 != 2 }, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(420, 7)
			silent := 0
			for i, a := range s.agents {
				if row.silent(i) {
					a.up = false
					silent++
				}
			}
			s.run(5 * time.Second)
			is.Equal(s.countState(ready), 420-silent) // silent members get no new work
			s.run(5 * time.Minute)
			is.Equal(s.counts[expire], row.expired)
			for _, a := range s.agents {
				a.up = true
			}
			joined := s.counts[wire.BackendChange_KIND_JOIN]
			s.run(3 * time.Second)
			is.Equal(s.countState(ready), 420)
			is.Equal(s.counts[wire.BackendChange_KIND_JOIN]-joined, row.expired) // members with extended leases don't join again
		})
	}
}

func TestExtendedLeasesExpire(t *testing.T) {
	is := is.New(t)
	s := newSystem(70, 7)
	for i, a := range s.agents {
		a.up = i%7 != 2
	}
	s.run(DefaultLeaseConfig().CorrelatedLeaseExtension + 10*time.Second)
	is.Equal(s.counts[expire], 10)
}

func TestFlappingIsDampedAndReleased(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	a := s.agents[3]
	name := a.backend.GetName()
	for range 5 {
		a.up = false
		s.run(2 * time.Second)
		a.up = true
		s.run(2 * time.Second)
	}
	is.Equal(s.Member(name).GetState(), damped)
	is.Equal(s.counts[damp], 1)
	is.Equal(s.counts[recover], 3) // the fourth return leads to DAMPED, not READY
	s.run(3 * time.Minute)
	is.Equal(s.Member(name).GetState(), ready) // no flaps since
	changes := s.counts[damp] + s.counts[recover] + s.counts[suspect]
	is.True(changes <= 12) // for five absences
}

func TestCrashLoopIsDamped(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	a := s.agents[3]
	for range 5 {
		a.restart() // the silence is too short for a suspicion
		s.run(time.Second)
	}
	is.Equal(s.Member(a.backend.GetName()).GetState(), damped)
	is.Equal(s.counts[suspect], 0)
}

func TestTwoRestartsAreNotDamped(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	for range 2 {
		s.agents[3].up = false
		s.run(5 * time.Second)
		s.agents[3].restart()
		s.run(5 * time.Second)
	}
	is.Equal(s.counts[damp], 0)
	is.Equal(s.countState(ready), 18)
}

func TestDampedFractionIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSystem(20, 1)
	for range 8 {
		for _, a := range s.agents {
			a.up = false
		}
		s.run(2 * time.Second)
		for _, a := range s.agents {
			a.up = true
		}
		s.run(2 * time.Second)
	}
	is.Equal(s.countState(damped), 5) // a quarter
	is.Equal(s.countState(ready), 15)
}

func TestLeavingBackendDrainsThenLeaves(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	a := s.agents[3]
	name := a.backend.GetName()
	a.leaving = true
	s.run(time.Second)
	is.Equal(s.Member(name).GetState(), draining)
	is.True(a.reply.GetDraining())
	s.run(time.Minute)
	is.Equal(s.Member(name).GetState(), draining) // while it still sends heartbeats
	a.up = false
	s.run(2 * time.Second)
	is.True(s.Member(name) == nil)
	is.Equal(s.counts[leave], 1)
	is.Equal(s.counts[suspect]+s.counts[expire], 0)
	stale := &wire.Announce{Backend: a.backend}
	changes, _ := s.leases.Heartbeat(s.now, s, stale)
	is.Equal(len(changes), 0) // a delayed heartbeat has no effect
	a.restart()
	s.run(time.Second)
	is.Equal(s.Member(name).GetState(), ready)
}

func TestHeartbeatsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	old := s.agents[3].backend
	s.agents[3].restart()
	s.run(time.Second)
	s.agents[3].up = false
	s.agents = append(s.agents, &agent{backend: old, up: true})
	s.run(6 * time.Second)
	is.True(s.Member(old.GetName()) == nil) // heartbeats of the old incarnation renew no lease
}

func TestRetiredBackendJoinRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	a := s.agents[3]
	s.commit([]*wire.BackendChange{{Kind: retire, Name: a.backend.GetName()}})
	a.up = false
	s.run(6 * time.Second)
	a.restart()
	before := s.counts[wire.BackendChange_KIND_JOIN]
	s.run(time.Minute)
	is.True(s.Member(a.backend.GetName()) == nil)
	is.True(s.counts[wire.BackendChange_KIND_JOIN]-before <= 2)
}

func TestLostProposalsAreRetried(t *testing.T) {
	is := is.New(t)
	s := newSystem(18, 1)
	s.agents[3].up = false
	proposals := 0
	for range 24 {
		s.now = s.now.Add(s.tick())
		for _, a := range s.agents {
			s.announce(a)
		}
		proposals += len(s.leases.Tick(s.now, s)) // the proposals are dropped
	}
	is.True(proposals >= 3 && proposals <= 6) // about one a second
}

// TestDailyFailuresOf4000Members compresses the failures and restarts of one day with
// 4,000 backend servers into five minutes. Restarts must not cause damping, and the
// number of changes must stay small.
func TestDailyFailuresOf4000Members(t *testing.T) {
	is := is.New(t)
	const members, failures, restarts = 4000, 83, 1200
	s := newSystem(members, 7)
	random := rand.New(rand.NewPCG(4, 4000))
	order := random.Perm(members)
	start := s.now
	returns := map[*agent]time.Time{}
	failed := 0
	for step := 0; s.now.Sub(start) < 5*time.Minute; step++ {
		due := int(s.now.Sub(start) * (failures + restarts) / (5 * time.Minute))
		for ; failed < due; failed++ {
			a := s.agents[order[failed]]
			a.up = false
			if failed%(failures+restarts) >= failures {
				returns[a] = s.now.Add(time.Duration(2+random.IntN(28)) * time.Second)
			}
		}
		for a, at := range returns {
			if !s.now.Before(at) {
				a.restart()
				delete(returns, a)
			}
		}
		s.run(s.tick())
	}
	s.run(time.Minute)
	for a := range returns {
		a.restart()
	}
	s.run(10 * time.Second)
	is.Equal(s.countState(ready), members-failures)
	is.Equal(len(s.sorted), members-failures)
	is.Equal(s.counts[damp], 0)
	events := 0
	for kind, n := range s.counts {
		if kind != wire.BackendChange_KIND_JOIN {
			events += n
		}
	}
	joins := s.counts[wire.BackendChange_KIND_JOIN] - members
	t.Logf("changes: %d joins again, %d others, for %d failures and restarts", joins, events, failed)
	is.True(joins+events <= 3*failed) // at most suspect, expire and join for each
}

func BenchmarkTick4000(b *testing.B) {
	s := newSystem(4000, 7)
	b.ResetTimer()
	for b.Loop() {
		s.leases.lastScan = time.Time{}
		s.leases.Tick(s.now, s)
	}
}

func BenchmarkHeartbeat4000(b *testing.B) {
	s := newSystem(4000, 7)
	announce := &wire.Announce{Backend: s.agents[17].backend}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		s.leases.Heartbeat(s.now, s, announce)
	}
}
