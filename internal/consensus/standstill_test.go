package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// busyLeaders lets each leader stand still again and again at the start of its term, as one whose process
// has other work to do. What arrived meanwhile is read only after its timers have run.
type busyLeaders struct {
	*simulation
	// workTime is how long this goes on in a term, shortest and longest are the limits of one time.
	workTime, shortest, longest time.Duration
	wasBusy                     map[*host]bool
	unread                      map[*host][]*wire.ConsensusMessage
}

func (s *busyLeaders) step() {
	s.startRequests()
	for _, h := range s.hosts {
		if h.down || s.now.Before(h.busyUntil) {
			continue
		}
		if s.wasBusy[h] {
			s.wasBusy[h] = false
			s.unread[h], h.inbox = h.inbox, nil
			continue
		}
		if unread := s.unread[h]; unread != nil {
			h.inbox = append(unread, h.inbox...)
			delete(s.unread, h)
			continue // reads them
		}
		if h.replica.role == Leader && s.now.Sub(s.electedAt) > simStep && s.now.Sub(s.electedAt) < s.workTime {
			h.busyUntil = s.now.Add(s.shortest + s.randomUpTo(s.longest-s.shortest))
			s.wasBusy[h] = true
		}
	}
}

// Guards against leaders that step down since they stood still themselves, when each of the voters
// that have their disks has to answer: the next leader begins the same work, and stands still too.
func TestLeaderThatStandsStillKeepsItsTerm(t *testing.T) {
	tooMany, most := 0, 0
	const seeds = 60
	for seed := range uint64(seeds) {
		s := newLossSchedule(t, seed, 6, 2)
		lost := s.present()[:2]
		s.losePowerWithout(lost)
		before := len(s.leaders)
		busy := &busyLeaders{simulation: s.simulation, workTime: 6 * simElectionTimeout, shortest: simElectionTimeout / 4, longest: simElectionTimeout,
			wasBusy: map[*host]bool{}, unread: map[*host][]*wire.ConsensusMessage{}}
		s.simulation.run(60*simElectionTimeout, busy.step)
		leaders := len(s.leaders) - before
		most = max(most, leaders)
		if leaders > 2 {
			tooMany++
		}
		if len(s.violations) > 0 {
			t.Errorf("seed %d: %v", seed, s.violations)
		}
	}
	t.Logf("more than 2 leaders in %d of %d runs, %d at most", tooMany, seeds, most)
	if tooMany > 0 {
		t.Errorf("more than 2 leaders in %d of %d runs", tooMany, seeds)
	}
}

// Guards against a leader that stands still and keeps its term for good although its quorum is gone.
func TestLeaderThatStandsStillNoticesLostQuorum(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(t, 5, 4)
	leader := sim.leader()
	for _, h := range sim.hosts {
		if h != leader {
			sim.crash(h)
		}
	}
	for range 12 { // each counts as a heartbeat interval, a quarter of an election timeout
		leader.busyUntil = sim.now.Add(simElectionTimeout)
		sim.run(simElectionTimeout+2*simStep, func() {})
		is.True(sim.leader() == nil) // it is not confirmed
	}
	is.True(leader.replica.role != Leader)
}

// Guards against a cluster that elects no leader where the timers of all replicas always run late.
func TestElectionWhereTimersAlwaysRunLate(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSettledSimulation(t, seed, 4)
		sim.crash(sim.leader())
		elected := false
		ran := map[*host]bool{}
		late := func() {
			sim.startRequests()
			for _, h := range sim.hosts {
				switch {
				case h.down || sim.now.Before(h.busyUntil):
				case !ran[h]:
					ran[h] = true // in this step
				default:
					ran[h] = false
					elected = elected || h.replica.role == Leader
					h.busyUntil = sim.now.Add(2 * simHeartbeatInterval)
				}
			}
		}
		sim.run(recoveryTime, late)
		if !elected {
			t.Errorf("seed %d: no leader in %v", seed, recoveryTime)
		}
	}
}

// Guards against a follower that stands still and stands for election before it reads what the leader sent
// meanwhile.
func TestFollowerThatStandsStillWaitsForItsMessages(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		sim := newSettledSimulation(t, seed, 4)
		sim.run(8*simElectionTimeout, sim.startRequests)
		term := sim.newestTerm
		h := sim.follower()
		for range 10 {
			h.busyUntil = sim.now.Add(2*simElectionTimeout + sim.randomUpTo(4*simElectionTimeout))
			for sim.now.Add(simStep).Before(h.busyUntil) {
				sim.run(simStep, sim.startRequests)
			}
			unread := slices.Clone(h.inbox)
			h.inbox = nil
			sim.run(simStep, sim.startRequests)
			is.True(h.replica.role == Follower)
			h.inbox = append(unread, h.inbox...)
			sim.run(4*simElectionTimeout, sim.startRequests)
		}
		is.Equal(sim.newestTerm, term)
	}
}

// Guards against logs that don't tell why nothing is committed although no leader changes: replicas whose disks are
// slow stand still at the same time.
func TestStandstillOfAReplicaIsLogged(t *testing.T) {
	is := is.New(t)
	logger := log.Log.(*log.Logger)
	before := logger.Handler
	stalled := make(chan log.Fields, 100)
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		if e.Message == "the replica stood still" {
			stalled <- e.Fields
		}
		return nil
	}))
	t.Cleanup(func() { log.SetHandler(before) })
	c := newTestCluster(t, 1, Config{ElectionTimeout: 200 * time.Millisecond})
	c.propose("first")
	disk := c.disks[address(0)]
	disk.delay.Store(int64(400 * time.Millisecond))
	c.propose("second")
	disk.delay.Store(0)
	c.waitFor("a line with the time at the disk", func() bool {
		select {
		case fields := <-stalled:
			t.Log(fields)
			disk, total := fields["disk_ms"].(int64), fields["stalled_ms"].(int64)
			is.True(total >= 200 && disk <= total) // others come from a busy machine
			return disk >= 400
		default:
			return false
		}
	})
}
