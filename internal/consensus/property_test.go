package consensus

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Environment variables and defaults for the number and the first seed of the random
// schedules; see TestRandomSchedules.
const (
	schedulesEnv     = "CONSENSUS_SCHEDULES"
	seedEnv          = "CONSENSUS_SEED"
	defaultSchedules = 10_000
	defaultSeed      = 1
)

const (
	faultTime = 2500 * time.Millisecond
	// recoveryTime is how long the cluster has to recover once all faults have ended.
	recoveryTime = 2500 * time.Millisecond
)

// runSchedule injects random faults into five hosts, then ends all faults and checks
// that the cluster recovers.
func runSchedule(seed uint64) *simulation {
	sim := newSimulation(seed, 5)
	sim.declareLosses(1 + int(seed%2))
	sim.faults.delay = []time.Duration{simStep, 4 * simStep, simElectionTimeout}[sim.random.IntN(3)]
	sim.faults.drop = []float64{0, 0.02, 0.2}[sim.random.IntN(3)]
	sim.faults.duplicate = []float64{0, 0.1}[sim.random.IntN(2)]
	for _, h := range sim.hosts {
		h.syncDelay = []time.Duration{0, 2 * simStep, 10 * simStep}[sim.random.IntN(3)]
	}
	sim.run(500*time.Millisecond, sim.startRequests)
	sim.run(faultTime, func() {
		sim.startRequests()
		sim.injectFault()
	})
	sim.heal()
	sim.run(recoveryTime, sim.startRequests)
	sim.run(500*time.Millisecond, func() {})
	sim.checkConvergence()
	return sim
}

// startRequests starts writes and reads at random on each replica that is in role
// Leader, also if a newer leader exists.
func (sim *simulation) startRequests() {
	for _, h := range sim.hosts {
		if h.down || h.ready != nil || sim.now.Before(h.busyUntil) || h.replica.role != Leader {
			continue
		}
		if sim.chance(0.3) {
			sim.lastID++
			c := call{minPosition: sim.observedPosition, term: h.replica.term}
			if index, ok := h.replica.Propose(fmt.Appendf(nil, "command %d", sim.lastID)); ok {
				h.writes[index] = c
			}
		}
		if sim.chance(0.2) {
			sim.lastID++
			if h.replica.RequestRead(sim.now, sim.lastID) {
				h.reads[sim.lastID] = &call{minPosition: sim.observedPosition}
			}
		}
	}
}

// injectFault injects at most one random fault.
func (sim *simulation) injectFault() {
	if !sim.chance(0.06) {
		return
	}
	h := sim.hosts[sim.random.IntN(len(sim.hosts))]
	other := sim.random.IntN(len(sim.hosts))
	switch sim.random.IntN(12) {
	case 0, 1:
		sim.crash(h)
	case 2, 3:
		if h.down {
			sim.restart(h)
		}
	case 4:
		if !h.down {
			h.busyUntil = sim.now.Add(sim.randomUpTo(5 * simElectionTimeout))
		}
	case 5:
		sim.blocked[[2]int{h.number, other}] = true
	case 6:
		sim.isolate(h, true)
	case 7, 8:
		clear(sim.blocked)
	case 9:
		if sim.mayLoseDisk(h) {
			sim.crash(h)
			sim.loseDisk(h)
			sim.restart(h)
		}
	case 10:
		sim.transferLeadership()
	case 11:
		sim.removeReplica(sim.hosts[other])
	}
}

func (sim *simulation) isolate(h *host, isolated bool) {
	for _, other := range sim.hosts {
		if other != h {
			sim.blocked[[2]int{h.number, other.number}] = isolated
			sim.blocked[[2]int{other.number, h.number}] = isolated
		}
	}
}

// mayLoseDisk reports whether, without the disk of lost, every replica set in any
// replica's log would still have a majority of voters with intact disks. It returns
// false while any host is down.
func (sim *simulation) mayLoseDisk(lost *host) bool {
	intactDisks := map[uint64]bool{}
	for _, h := range sim.hosts {
		intactDisks[h.id] = h != lost
	}
	for _, h := range sim.hosts {
		if h.down {
			return false
		}
		for _, change := range h.replica.set.history {
			voters, intact := 0, 0
			for _, r := range change.set.Replicas {
				if !r.Learner {
					voters++
				}
				if !r.Learner && intactDisks[r.Id] {
					intact++
				}
			}
			if intact <= voters/2 {
				return false
			}
		}
	}
	return true
}

func (sim *simulation) transferLeadership() {
	for _, h := range sim.hosts {
		if !h.down && h.ready == nil {
			h.replica.TransferLeadership(sim.now)
		}
	}
}

// removeReplica removes a replica from the set through a leader, if that is safe. It
// joins again once it has missed the leader for some time.
func (sim *simulation) removeReplica(removed *host) {
	for _, h := range sim.hosts {
		if h.down || h.ready != nil || h.replica.role != Leader || h == removed {
			continue
		}
		if len(h.replica.set.voters()) > 3 && sim.quorumRemains(h, removed) && h.replica.RemoveReplica(sim.now, removed.id) == nil {
			return
		}
	}
}

// quorumRemains reports whether, after the removal, a majority of the remaining voters
// has intact disks. An operator wouldn't remove a working replica while other
// replicas are lost.
func (sim *simulation) quorumRemains(leader, removed *host) bool {
	intactDisks := map[uint64]bool{}
	for _, h := range sim.hosts {
		intactDisks[h.id] = h != removed
	}
	voters, intact := 0, 0
	for _, id := range leader.replica.set.voters() {
		if id != removed.id {
			voters++
		}
		if intactDisks[id] {
			intact++
		}
	}
	return intact > voters/2
}

// heal ends all faults and restarts the hosts that are down.
func (sim *simulation) heal() {
	clear(sim.blocked)
	sim.faults = networkFaults{delay: simStep}
	for _, h := range sim.hosts {
		h.syncDelay = 0
		if h.down && !h.gone {
			sim.restart(h)
		}
		if h.busyUntil.After(sim.now) && h.ready == nil {
			h.busyUntil = sim.now
		}
	}
}

// checkConvergence checks, after all faults have ended, that the cluster has a leader
// and at least 3 voters, and that all members follow this leader and have applied all
// commands.
func (sim *simulation) checkConvergence() {
	if len(sim.violations) > 0 {
		return
	}
	var leader *host
	for _, h := range sim.hosts {
		if !h.gone && h.replica.role == Leader {
			leader = h
		}
	}
	if leader == nil {
		sim.addViolation("no leader after the faults ended")
		return
	}
	for _, r := range leader.replica.set.current().Replicas {
		for _, h := range sim.hosts {
			if h.id == r.Id && !h.gone && (h.appliedCommands != len(sim.history) || h.replica.leader != leader.id) {
				sim.addViolation("replica %d applied %d of %d commands", h.id, h.appliedCommands, len(sim.history))
			}
		}
	}
	if len(leader.replica.set.voters()) < 3 {
		sim.addViolation("only %d voters after the faults ended", len(leader.replica.set.voters()))
	}
}

func uintFromEnv(t testing.TB, name string, value uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return value
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// TestRandomSchedules runs simulations with random crashes, message delays, drops,
// duplicates and reordering, one-way and two-way partitions, freezes, lost disks, slow
// disks and membership changes. It checks that each term has at most one leader, that
// no committed entry is lost or reordered, that reads and writes are linearizable,
// that no replica is confirmed wrongly, and that the cluster recovers once the
// faults end. To run more seeds:
//
//	CONSENSUS_SEED=20001 CONSENSUS_SCHEDULES=100000 go test -run RandomSchedules -timeout 1h ./internal/consensus
func TestRandomSchedules(t *testing.T) {
	// The schedules produce much garbage but have a small heap.
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	first := uintFromEnv(t, seedEnv, defaultSeed)
	count := uintFromEnv(t, schedulesEnv, defaultSchedules)
	var next, writes, reads, terms, failures atomic.Uint64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for n := next.Add(1); n <= count && failures.Load() < 5; n = next.Add(1) {
				seed := first + n - 1
				sim := runSchedule(seed)
				writes.Add(uint64(sim.writes))
				reads.Add(uint64(sim.reads))
				terms.Add(uint64(len(sim.leaders)))
				if len(sim.violations) > 0 {
					failures.Add(1)
					t.Errorf("%s=%d %s=1: %v", seedEnv, seed, schedulesEnv, sim.violations)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d schedules, %d writes, %d reads, %d terms with a leader", count, writes.Load(), reads.Load(), terms.Load())
	if writes.Load() < count || reads.Load() < count {
		t.Errorf("too few writes or reads to check linearizability")
	}
}

func TestScheduleIsDeterministic(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		a, b := runSchedule(seed), runSchedule(seed)
		is.Equal(a.scheduleHash, b.scheduleHash)
		is.Equal(a.sent, b.sent)
		is.Equal(a.history, b.history)
	}
}
