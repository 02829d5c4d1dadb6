package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// simSuccessorDelay is the time from the loss of a VM to the start of its successor.
	simSuccessorDelay = simElectionTimeout * 4 / 3
	// simRecovery is the time from the start of a VM until it no longer counts as lost.
	simRecovery = simElectionTimeout * 16 / 3
	// simLeaderLimit bounds the time until there is a leader after a loss that is to be
	// borne, as TestFailoverTime does.
	simLeaderLimit = 4 * simElectionTimeout
	// simPowerLossLimit bounds it after all hosts have lost power, as in the scenario
	// "all restarted at once" of TestFaultScenarios.
	simPowerLossLimit = 10 * simElectionTimeout
)

// declareLosses sets the number of losses that all replicas are told to bear.
func (sim *simulation) declareLosses(losses int) {
	sim.declaredLosses, sim.formingVoters = losses, min(len(sim.hosts), 2*losses+1)
	for _, h := range sim.hosts {
		h.replica.options.DeclaredLosses, h.replica.options.FormingVoters = losses, sim.formingVoters
	}
}

// removeHost stops a host for good.
func (sim *simulation) removeHost(h *host) {
	sim.crash(h)
	h.gone = true
}

// stopHost stops a host for good, as planned: it transfers its leadership and gives up its vote.
func (sim *simulation) stopHost(h *host) {
	for end := sim.now.Add(simElectionTimeout); sim.now.Before(end); sim.run(simStep, sim.startRequests) {
		if h.replica.role != Leader || h.ready == nil && !h.replica.TransferLeadership(sim.now) {
			break
		}
	}
	for end := sim.now.Add(simElectionTimeout); sim.now.Before(end); sim.run(simStep, sim.startRequests) {
		if h.ready == nil && !h.replica.Leave() {
			break
		}
	}
	sim.removeHost(h)
}

// addHost starts a new host with an empty disk, at an address of its own.
func (sim *simulation) addHost() *host {
	h := &host{number: len(sim.hosts)}
	sim.hosts = append(sim.hosts, h)
	sim.loseDisk(h)
	sim.restart(h)
	return h
}

// replaceHost stops a host for good and starts its successor.
func (sim *simulation) replaceHost(h *host) *host {
	sim.removeHost(h)
	sim.run(simSuccessorDelay, sim.startRequests)
	return sim.addHost()
}

// wipeDisk restarts the host with an empty disk.
func (sim *simulation) wipeDisk(h *host) {
	sim.crash(h)
	sim.loseDisk(h)
	sim.restart(h)
}

// losePower restarts all hosts, each with what is on its disk.
func (sim *simulation) losePower() {
	for _, h := range sim.hosts {
		if !h.gone {
			sim.crash(h)
			sim.restart(h)
		}
	}
}

// checkReplicaSets checks that each replica set in the log of a host differs from the
// one before by at most one voter, so that any majorities of the two share a voter.
func (sim *simulation) checkReplicaSets() {
	for _, h := range sim.hosts {
		if h.gone || h.down {
			continue
		}
		history := h.replica.set.history
		for i := 1; i < len(history); i++ {
			before := (&replicaSets{history: history[i-1 : i]}).voters()
			after := (&replicaSets{history: history[i : i+1]}).voters()
			changed := 0
			for _, id := range slices.Concat(before, after) {
				if !slices.Contains(before, id) || !slices.Contains(after, id) {
					changed++
				}
			}
			if changed > 1 {
				sim.addViolation("voters %v are followed by %v", before, after)
			}
		}
	}
}

// electedLeader returns the leader and fails the test if there is none.
func (sim *simulation) electedLeader(is *is.I) *host {
	is.Helper()
	return sim.leaderWithin(is, simLeaderLimit)
}

func (sim *simulation) leaderWithin(is *is.I, limit time.Duration) *host {
	is.Helper()
	is.True(sim.runUntilLeader(limit) < limit)
	return sim.leader()
}

// living returns a running host that is a voter and no leader, chosen by n.
func (sim *simulation) living(n int) *host {
	var hosts []*host
	for _, h := range sim.hosts {
		if !h.gone && !h.down && h.replica.role != Leader && h.replica.set.isVoter(h.id) {
			hosts = append(hosts, h)
		}
	}
	return hosts[n%len(hosts)]
}

// A cluster without a leader although all successors of the lost VMs run: voters that
// are gone for good still counted towards a majority.
func TestLeaderAfterVMsAreReplaced(t *testing.T) {
	tests := map[string]struct {
		hosts int
		run   func(is *is.I, sim *simulation)
	}{
		"one after another, then a disk is lost and all lose power": {4, func(is *is.I, sim *simulation) {
			for i := range 4 {
				sim.replaceHost(sim.hosts[i])
				sim.run(simRecovery, sim.startRequests)
				h := sim.living(i)
				sim.losePower()
				sim.wipeDisk(h)
				sim.leaderWithin(is, simPowerLossLimit)
				sim.run(simRecovery, sim.startRequests)
			}
		}},
		"leaders one after another, then the newest voter's disk is lost": {4, func(is *is.I, sim *simulation) {
			for range 4 {
				next := sim.replaceHost(sim.electedLeader(is))
				sim.run(simRecovery, sim.startRequests)
				is.True(sim.electedLeader(is).replica.set.isVoter(next.id))
				sim.wipeDisk(next)
				sim.electedLeader(is)
				sim.run(simRecovery, sim.startRequests)
			}
		}},
		"two at once": {5, func(is *is.I, sim *simulation) {
			for i := range 2 {
				for range 2 {
					sim.removeHost(sim.living(i))
				}
				sim.run(simSuccessorDelay, sim.startRequests)
				sim.addHost()
				sim.addHost()
				sim.run(simRecovery, sim.startRequests)
				h := sim.living(i)
				sim.removeHost(h)
				sim.electedLeader(is)
				sim.addHost()
				sim.run(simRecovery, sim.startRequests)
			}
		}},
		"while another one is cut off": {5, func(is *is.I, sim *simulation) {
			for range 4 {
				cut := sim.follower()
				sim.isolate(cut, true)
				sim.run(simElectionTimeout, sim.startRequests)
				sim.replaceHost(sim.electedLeader(is))
				sim.run(simRecovery, sim.startRequests)
				clear(sim.blocked)
				sim.run(simRecovery, sim.startRequests)
				is.True(cut.replica.Status(sim.now).Confirmed)
			}
			sim.losePower()
			sim.leaderWithin(is, simPowerLossLimit)
		}},
		"while another one stands still": {5, func(is *is.I, sim *simulation) {
			for range 4 {
				frozen := sim.follower()
				frozen.busyUntil = sim.now.Add(simRecovery)
				sim.replaceHost(sim.electedLeader(is))
				sim.run(2*simRecovery, sim.startRequests)
				is.True(frozen.replica.Status(sim.now).Confirmed)
			}
			sim.losePower()
			sim.leaderWithin(is, simPowerLossLimit)
		}},
		"while the others are stopped and started in turn": {5, func(is *is.I, sim *simulation) {
			for range 4 {
				sim.replaceHost(sim.electedLeader(is))
				for _, h := range slices.Clone(sim.hosts) {
					if h.gone {
						continue
					}
					sim.crash(h)
					sim.run(simElectionTimeout/2, sim.startRequests)
					sim.restart(h)
					sim.electedLeader(is)
					sim.run(simElectionTimeout, sim.startRequests)
				}
				sim.run(simRecovery, sim.startRequests)
			}
			sim.losePower()
			sim.leaderWithin(is, simPowerLossLimit)
		}},
		"while another one's disk takes no writes": {5, func(is *is.I, sim *simulation) {
			for i := range 4 {
				full := sim.follower()
				full.diskFull = true
				sim.replaceHost(sim.electedLeader(is))
				sim.run(2*simRecovery, sim.startRequests)
				sim.electedLeader(is)
				is.True(full.down) // it had to write
				if i%2 == 1 {      // restarted while it is full
					sim.restart(full)
					sim.run(simElectionTimeout, sim.startRequests)
					sim.electedLeader(is)
				}
				full.diskFull = false
				if full.down {
					sim.restart(full)
				}
				sim.run(2*simRecovery, sim.startRequests)
				is.True(full.replica.Status(sim.now).Confirmed)
			}
			sim.losePower()
			sim.leaderWithin(is, simPowerLossLimit)
		}},
		"all lose power at each step": {4, func(is *is.I, sim *simulation) {
			for i := range 4 {
				sim.removeHost(sim.hosts[i])
				sim.addHost()
				for range 12 {
					sim.run(sim.randomUpTo(simElectionTimeout), sim.startRequests)
					sim.losePower()
					sim.leaderWithin(is, simPowerLossLimit)
				}
				sim.run(simRecovery, sim.startRequests)
			}
		}},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				sim := newSettledSimulation(t, seed, test.hosts)
				losses := (test.hosts - 1) / 2
				sim.declareLosses(losses)
				test.run(is, sim)
				sim.heal()
				sim.run((goneTimeouts+10)*simElectionTimeout, sim.startRequests)
				sim.run(2*simElectionTimeout, func() {})
				sim.checkConvergence()
				sim.checkReplicaSets()
				is.Equal(sim.violations, nil)
				leader := sim.electedLeader(is).replica
				is.True(leader.bearableLosses(sim.now) >= losses)
				is.Equal(len(leader.set.current().Replicas), test.hosts) // none of them is gone
			}
		})
	}
}

// The event "no majority of votes" names the voters that are gone.
func TestLostElectionNamesSilentVoters(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(t, 1, 5)
	var gone []uint64
	for _, h := range sim.hosts[:3] {
		gone = append(gone, h.id)
		sim.removeHost(h)
	}
	sim.run(10*simElectionTimeout, func() {})
	is.Equal(sim.leader(), nil)
	h := sim.hosts[4]
	is.True(h.replica.lostElection != nil)
	is.Equal(h.replica.lostElection.silent, gone)
	is.Equal(h.replica.lostElection.refused, nil)
}
