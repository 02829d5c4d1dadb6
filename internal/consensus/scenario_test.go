package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSettledSimulation returns a simulation whose hosts are all voters and have applied
// some commands, with host 0 as the leader.
func newSettledSimulation(t *testing.T, seed uint64, hosts int) *simulation {
	t.Helper()
	sim := newSimulation(seed, hosts)
	sim.run(time.Duration(hosts)*3*simElectionTimeout, sim.startRequests)
	if got := len(sim.hosts[0].replica.set.voters()); got != hosts {
		t.Fatalf("%d voters of %d", got, hosts)
	}
	return sim
}

// leader returns a running host that is a confirmed leader, or nil.
func (sim *simulation) leader() *host {
	for _, h := range sim.hosts {
		if h.down || sim.now.Before(h.busyUntil) {
			continue
		}
		if s := h.replica.Status(sim.now); s.Role == Leader && s.Confirmed {
			return h
		}
	}
	return nil
}

// runUntilLeader runs until there is a confirmed leader, for up to about limit, and
// returns the time taken.
func (sim *simulation) runUntilLeader(limit time.Duration) time.Duration {
	start := sim.now
	for sim.leader() == nil && sim.now.Sub(start) < limit {
		sim.run(simStep, func() {})
	}
	return sim.now.Sub(start)
}

func (sim *simulation) follower() *host {
	for _, h := range sim.hosts {
		if !h.down && h.replica.role != Leader && h.replica.set.isVoter(h.id) {
			return h
		}
	}
	return nil
}

// Each scenario injects one kind of fault. Afterwards the cluster must converge without
// a violated invariant and with all its voters. If sameTerm is set, the term must not
// have changed.
func TestFaultScenarios(t *testing.T) {
	const long = 50 * simElectionTimeout
	tests := map[string]struct {
		hosts int
		run   func(is *is.I, sim *simulation)
		// sameTerm is set if the fault must not cause a new term.
		sameTerm bool
	}{
		"leader killed": {3, func(is *is.I, sim *simulation) {
			old := sim.leader()
			sim.crash(old)
			sim.run(4*simElectionTimeout, sim.startRequests)
			is.True(sim.leader() != nil)
			sim.restart(old)
		}, false},
		"leader frozen and resumed": {3, func(is *is.I, sim *simulation) {
			old := sim.leader()
			old.busyUntil = sim.now.Add(long)
			sim.run(long, sim.startRequests)
			next := sim.leader()
			is.True(next != nil && next != old)
			sim.run(simStep, func() {})
			is.True(old.replica.role != Leader) // steps down before it serves a request
		}, false},
		"follower frozen and resumed": {3, func(is *is.I, sim *simulation) {
			sim.follower().busyUntil = sim.now.Add(long)
			sim.run(long+simElectionTimeout, sim.startRequests)
		}, true},
		"follower partitioned for a long time, then reconnected": {3, func(is *is.I, sim *simulation) {
			h := sim.follower()
			term := h.replica.term
			sim.isolate(h, true)
			sim.run(long, sim.startRequests)
			is.Equal(h.replica.term, term)
			is.True(!h.replica.Status(sim.now).Confirmed)
			sim.isolate(h, false)
			sim.run(3*simElectionTimeout, sim.startRequests)
			is.True(h.replica.Status(sim.now).Confirmed)
		}, true},
		"follower receives no messages, then reconnects": {3, func(is *is.I, sim *simulation) {
			h := sim.follower()
			for _, other := range sim.hosts {
				sim.blocked[[2]int{other.number, h.number}] = true
			}
			sim.run(long, sim.startRequests)
			clear(sim.blocked)
		}, true},
		"follower of an idle cluster receives no messages, then reconnects": {3, func(is *is.I, sim *simulation) {
			h := sim.follower()
			sim.run(simElectionTimeout, func() {})
			for _, other := range sim.hosts {
				sim.blocked[[2]int{other.number, h.number}] = true
			}
			sim.run(long, func() {})
			clear(sim.blocked)
		}, true},
		"follower's messages are lost, then it reconnects": {3, func(is *is.I, sim *simulation) {
			h := sim.follower()
			for _, other := range sim.hosts {
				sim.blocked[[2]int{h.number, other.number}] = true
			}
			sim.run(long, sim.startRequests)
			is.True(!h.replica.Status(sim.now).Confirmed)
			clear(sim.blocked)
		}, true},
		"leader partitioned for a long time, then reconnected": {3, func(is *is.I, sim *simulation) {
			old := sim.leader()
			sim.isolate(old, true)
			sim.run(2*simElectionTimeout, sim.startRequests)
			is.True(old.replica.role != Leader)
			is.True(!old.replica.Status(sim.now).Confirmed)
			_, ok := old.replica.Propose([]byte("lost"))
			is.True(!ok)
			sim.run(long, sim.startRequests)
			next := sim.leader()
			is.True(next != nil)
			term := next.replica.term
			sim.isolate(old, false)
			sim.run(long, sim.startRequests)
			is.Equal(sim.leader().replica.term, term) // its return causes no election
		}, false},
		"leader can send but not receive": {3, func(is *is.I, sim *simulation) {
			old := sim.leader()
			for _, other := range sim.hosts {
				sim.blocked[[2]int{other.number, old.number}] = true
			}
			sim.run(6*simElectionTimeout, sim.startRequests)
			is.True(old.replica.role != Leader)
			is.True(sim.leader() != nil)
			clear(sim.blocked)
		}, false},
		"leader and one follower partitioned from the majority": {5, func(is *is.I, sim *simulation) {
			old, follower := sim.leader(), sim.follower()
			for _, h := range sim.hosts {
				if h != old && h != follower {
					sim.isolate(h, true)
				}
			}
			for _, a := range sim.hosts {
				for _, b := range sim.hosts {
					if a != old && a != follower && b != old && b != follower {
						delete(sim.blocked, [2]int{a.number, b.number})
					}
				}
			}
			sim.run(simElectionTimeout, sim.startRequests)
			is.True(!old.replica.Status(sim.now).Confirmed)
			is.True(!follower.replica.Status(sim.now).Confirmed) // though the old leader reaches it
			sim.run(5*simElectionTimeout, sim.startRequests)
			is.True(sim.leader() != nil)
		}, false},
		"second VM lost right after the first was replaced": {3, func(is *is.I, sim *simulation) {
			h := sim.follower()
			sim.crash(h)
			sim.loseDisk(h)
			sim.run(long, sim.startRequests)
			sim.restart(h)
			for !sim.leader().replica.set.isVoter(h.id) {
				sim.run(simStep, sim.startRequests)
			}
			sim.run(2*simStep, func() {})
			second := sim.leader()
			sim.crash(second)
			sim.loseDisk(second)
			sim.run(8*simElectionTimeout, sim.startRequests)
			is.True(sim.leader() != nil)
			sim.restart(second)
		}, false},
		"all restarted at once": {5, func(is *is.I, sim *simulation) {
			for _, h := range sim.hosts {
				sim.crash(h)
			}
			for _, h := range sim.hosts {
				sim.restart(h)
			}
			is.True(sim.runUntilLeader(10*simElectionTimeout) < 10*simElectionTimeout)
		}, false},
		"follower restarts hundreds of entries behind": {3, func(is *is.I, sim *simulation) {
			h := sim.follower()
			sim.crash(h)
			before := len(sim.history)
			for len(sim.history) < before+500 {
				sim.run(simStep, sim.startRequests)
			}
			sim.restart(h)
			sim.run(5*simElectionTimeout, func() {})
			is.Equal(h.appliedCommands, len(sim.history))
		}, true},
		"disks lost on a minority": {5, func(is *is.I, sim *simulation) {
			for range 2 {
				h := sim.follower()
				sim.crash(h)
				sim.loseDisk(h)
			}
			sim.run(5*simElectionTimeout, sim.startRequests)
			for _, h := range sim.hosts {
				if h.down {
					sim.restart(h)
				}
			}
		}, true},
		"planned stop of the leader": {5, func(is *is.I, sim *simulation) {
			old := sim.leader()
			is.True(old.replica.TransferLeadership(sim.now))
			sim.run(simElectionTimeout/2, func() {})
			next := sim.leader()
			is.True(next != nil && next != old) // faster than the shortest election timeout
		}, false},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				sim := newSettledSimulation(t, seed, test.hosts)
				term := sim.leader().replica.term
				test.run(is, sim)
				sim.heal()
				sim.run(20*simElectionTimeout, sim.startRequests)
				sim.run(2*simElectionTimeout, func() {})
				sim.checkConvergence()
				is.Equal(sim.violations, nil)
				is.Equal(len(sim.leader().replica.set.voters()), test.hosts)
				is.True(sim.leader().replica.term == term || !test.sameTerm)
			}
		})
	}
}

// TestFailoverTime bounds the time from the crash of the leader until the next leader
// has committed the first entry of its term, with the default timings. With 4 replicas
// all others must grant their votes, so candidates that split the votes cost most.
func TestFailoverTime(t *testing.T) {
	const limit = 3 * time.Second
	const runs = 300
	for _, replicas := range []int{3, 4, 5} {
		var worst, sum time.Duration
		for seed := range uint64(runs) {
			sim := newSettledSimulation(t, seed, replicas)
			sim.crash(sim.leader())
			took := time.Duration(float64(sim.runUntilLeader(limit)) * float64(DefaultElectionTimeout) / float64(simElectionTimeout))
			worst = max(worst, took)
			sum += took
			if took >= limit {
				t.Errorf("%d replicas, seed %d: no leader after %v", replicas, seed, took)
			}
		}
		t.Logf("%d failovers of %d replicas: mean %v, longest %v", runs, replicas, sum/runs, worst)
	}
}
