package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// today is a deployment of today's size: three control replicas, four routers
// and an agent beside each of 26 backend servers.
func today(t *testing.T) *network {
	n := newNetwork(t, 3, 4, 26, largeView(8, 26))
	n.run(3 * time.Second)
	return n
}

func TestAChangeIsInForceEverywhere(t *testing.T) {
	cutOff := func(p *node) func(a, b *node) bool {
		return func(a, b *node) bool { return a == p || b == p }
	}
	for _, row := range []struct {
		name  string
		fault func(n *network)
		limit time.Duration
	}{
		{"all links up", func(*network) {}, 200 * time.Millisecond},
		{"control replica cut off from all", func(n *network) {
			n.nodes[0].quorum = false
			n.cut = cutOff(n.nodes[0])
		}, 1250 * time.Millisecond},
		{"control replica cut off from the others", func(n *network) {
			n.nodes[1].quorum = false
		}, 200 * time.Millisecond},
		{"control replica killed", func(n *network) { n.stop(n.nodes[2]) }, 2 * time.Second},
		{"router killed", func(n *network) { n.stop(n.byID["router-1"]) }, 2 * time.Second},
		{"router cut off from control", func(n *network) {
			n.cut = func(a, b *node) bool {
				return a.address == "router-1" && b.role == RoleControl || b.address == "router-1" && a.role == RoleControl
			}
		}, 2 * time.Second},
		{"agent cut off from routers", func(n *network) {
			n.cut = func(a, b *node) bool {
				return a.address == "agent-3" && b.role == RoleRouter || b.address == "agent-3" && a.role == RoleRouter
			}
		}, 2 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			var worst time.Duration
			for round := range 8 {
				n := today(t)
				n.run(time.Duration(round) * 70 * time.Millisecond)
				row.fault(n)
				n.run(time.Duration(round) * 130 * time.Millisecond)
				worst = max(worst, n.reach(n.accept(), row.limit))
			}
			t.Logf("in force everywhere within %v", worst)
		})
	}
}

func TestAChangeIsInForceWhileAProcessRestarts(t *testing.T) {
	for _, address := range []string{"control-1", "router-0", "agent-5"} {
		t.Run(address, func(t *testing.T) {
			n := today(t)
			n.nodes[0].quorum = false
			n.cut = func(a, b *node) bool { return a == n.nodes[0] || b == n.nodes[0] }
			p := n.byID[address]
			state := p.log.Snapshot().Message()
			n.stop(p)
			n.run(300 * time.Millisecond)
			n.start(p, state)
			version := n.accept()
			t.Logf("in force everywhere within %v", n.reach(version, 2*time.Second))
		})
	}
}

func TestNobodyIsConfirmedWithoutAQuorum(t *testing.T) {
	is := is.New(t)
	n := today(t)
	for _, p := range n.nodes[:3] {
		p.quorum = false
	}
	n.run(5 * time.Second)
	n.resetCounts()
	n.run(10 * time.Second)
	for _, p := range n.nodes {
		is.True(!n.freshness(p).Confirmed) // though they follow one another
		is.True(p.log.Version() > 0)       // and keep their views
	}
	for _, p := range n.nodes[:3] {
		t.Logf("%s was asked %d times in 10 s", p.address, p.asked)
		is.True(p.asked <= 80) // thirty followers try one source every second or two
		is.Equal(p.snapshots, 0)
	}
	for _, p := range n.nodes[:3] {
		p.quorum = true
	}
	t.Logf("in force everywhere within %v of the quorum's return", n.reach(n.accept(), 4*time.Second))
	n.run(3 * time.Second)
	for _, p := range n.nodes {
		is.True(n.freshness(p).Confirmed)
	}
}

func TestAnUnconfirmedControlReplicaHandsOutNothing(t *testing.T) {
	is := is.New(t)
	l := logAt(t, 9, DefaultLogLimits())
	for _, from := range []uint64{0, 4, 9} {
		update := BuildUpdate(l, from, Freshness{}, true)
		is.True(update.GetSnapshot() == nil && len(update.GetEvents()) == 0 && !update.GetConfirmed())
		w := NewWatchSession(l, from, true)
		first := w.Next(time.Unix(1, 0), Freshness{})
		is.True(first.GetSnapshot() == nil && len(first.GetEvents()) == 0)
		second := w.Next(time.Unix(1, 1), Freshness{Confirmed: true})
		is.Equal(second.GetSnapshot() != nil || len(second.GetEvents()) > 0, from < 9) // once it can confirm
	}
}

// restart stops and starts twenty routers at once and returns the slowest
// start and the network.
func restartHerd(t *testing.T, prepare func(n *network)) (*network, time.Duration) {
	n := newNetwork(t, 3, 20, 18, largeView(8, 18))
	n.run(4 * time.Second)
	prepare(n)
	n.resetCounts()
	for i := range 20 {
		n.stop(n.byID[fmt.Sprint("router-", i)])
	}
	for i := range 20 {
		n.start(n.byID[fmt.Sprint("router-", i)], nil)
	}
	n.run(500 * time.Millisecond)
	slowest := time.Duration(0)
	for i := range 20 {
		p := n.byID[fmt.Sprint("router-", i)]
		if p.firstAt == 0 {
			t.Fatalf("%s has no view after 500 ms", p.address)
		}
		if p.log.Version() < n.nodes[0].log.Version() {
			t.Fatalf("%s started with version %d, older than before", p.address, p.log.Version())
		}
		slowest = max(slowest, p.firstAt)
	}
	return n, slowest
}

func TestAHerdOfRoutersStartsAtOnce(t *testing.T) {
	noControl := func(a, b *node) bool { return a.role == RoleControl || b.role == RoleControl }
	for _, row := range []struct {
		name    string
		prepare func(n *network)
		limit   time.Duration
		// asked bounds the calls at any one process, and calls those of the
		// twenty routers together.
		asked, calls int
	}{
		{"all up", func(*network) {}, 50 * time.Millisecond, 20, 60},
		{"one control replica cut off", func(n *network) {
			n.nodes[0].quorum = false
			n.cut = func(a, b *node) bool { return a == n.nodes[0] || b == n.nodes[0] }
		}, 250 * time.Millisecond, 30, 100},
		{"control replicas killed", func(n *network) {
			for _, p := range n.nodes[:3] {
				n.stop(p)
			}
		}, 300 * time.Millisecond, 60, 400},
		{"control replicas cut off", func(n *network) { n.cut = noControl }, 300 * time.Millisecond, 60, 400},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			n, slowest := restartHerd(t, row.prepare)
			most, calls, snapshots := 0, 0, 0
			for _, p := range n.nodes {
				most = max(most, p.asked)
				calls += p.asked
				snapshots += p.snapshots
			}
			t.Logf("slowest start %v; %d calls, at most %d at one process; %d snapshots", slowest, calls, most, snapshots)
			is.True(slowest <= row.limit)
			is.True(most <= row.asked)
			is.True(calls <= row.calls)
		})
	}
}

func TestNewsFromAPeerIsFetched(t *testing.T) {
	is := is.New(t)
	n := today(t)
	router, peer := n.byID["router-0"], n.byID["agent-20"]
	n.cut = func(a, b *node) bool {
		return (a == router || b == router) && a != peer && b != peer
	}
	version := n.accept()
	n.run(4 * time.Second)
	is.True(router.log.Version() < version)
	router.follower.ObserveVersion(n.now, peer.address, peer.log.Version())
	n.run(time.Second)
	is.Equal(router.log.Version(), version)
	before := peer.asked
	for range 100 {
		router.follower.ObserveVersion(n.now, peer.address, version+1000) // a claim that is never kept
		n.run(20 * time.Millisecond)
	}
	is.True(peer.asked-before <= 5)
}

// following returns a follower that follows a confirmed source at version 9, and
// the call.
func following(t *testing.T, now time.Time) (*Follower, uint64) {
	f := NewFollower(FollowerConfig{Role: RoleRouter, Seed: 1, Log: logAt(t, 9, DefaultLogLimits())}, now)
	f.SetSources([]Source{{"control", RoleControl}, {"agent", RoleAgent}})
	watch := f.Tick(now)[0]
	f.Update(now, watch.Call, &wire.ViewUpdate{Version: 9, Confirmed: true})
	return f, watch.Call
}

func TestNewsOfAChangeUnderWayIsNotFetched(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, watch := following(t, now)
	f.ObserveVersion(now, "agent", 10)
	is.Equal(len(f.Tick(now.Add(heardGrace-1))), 0)
	f.Update(now.Add(heardGrace-1), watch, &wire.ViewUpdate{Version: 10, Events: history()[9:10], Confirmed: true})
	is.Equal(len(f.Tick(now.Add(heardGrace))), 0)
	f.ObserveVersion(now.Add(heardGrace), "agent", 11)
	actions := f.Tick(now.Add(2 * heardGrace))
	is.Equal(actions, []Action{{Kind: StartFetch, Call: watch + 1, Address: "agent", FromVersion: 10}})
}

func TestASourceWhoseEventsNeverJoinIsNotAskedOverAndOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, watch := following(t, now)
	fetches := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		actions := f.Update(now, watch, &wire.ViewUpdate{Version: 12, Events: history()[11:12], Confirmed: true})
		for _, a := range actions {
			if a.Kind == StartFetch && a.Address == "control" {
				is.Equal(a.FromVersion, uint64(0)) // a whole snapshot
				fetches++
				f.Update(now, a.Call, &wire.ViewUpdate{Version: 9, Confirmed: true})
			}
		}
	}
	is.True(fetches >= 2 && fetches <= 8) // in 2 s
}

func TestAViewThatHasDivergedIsReplaced(t *testing.T) {
	is := is.New(t)
	n := today(t)
	router := n.byID["router-2"]
	is.NoErr(router.log.Append(memberEvent(router.log.Version()+1, "no such backend server")))
	n.accept()
	n.run(100 * time.Millisecond)
	n.reach(n.accept(), time.Second) // builds on a revision that the router hasn't
	is.True(router.log.Snapshot().Member("no such backend server") == nil)
}

func TestAPreferredSourceIsTakenAgain(t *testing.T) {
	is := is.New(t)
	n := today(t)
	router := n.byID["router-2"]
	n.cut = func(a, b *node) bool {
		return a == router && b.role == RoleControl || b == router && a.role == RoleControl
	}
	n.run(5 * time.Second)
	is.True(n.byID[router.follower.Source()].role != RoleControl)
	n.cut = func(a, b *node) bool { return false }
	n.run(2 * upgradeAfter)
	is.Equal(n.byID[router.follower.Source()].role, RoleControl)
}

func TestAnAgentTurnsToTheRoutersItMeets(t *testing.T) {
	is := is.New(t)
	n := today(t)
	agent := n.byID["agent-20"]
	settings := []Source{{"control-0", RoleControl}, {"control-1", RoleControl}}
	agent.follower = NewFollower(FollowerConfig{Role: RoleAgent, Seed: 3, Log: agent.log}, n.now)
	agent.follower.SetSources(settings)
	n.run(time.Second)
	is.Equal(n.byID[agent.follower.Source()].role, RoleControl)
	for range 3 {
		agent.follower.Learn(Source{"router-0", RoleRouter})
		agent.follower.Learn(Source{"router-1", RoleRouter})
		agent.follower.SetSources(settings) // keeps what was learned
	}
	n.run(2 * upgradeAfter)
	is.Equal(n.byID[agent.follower.Source()].role, RoleRouter)
	n.stop(n.byID["router-0"])
	n.stop(n.byID["router-1"])
	n.run(10 * upgradeAfter)
	is.Equal(n.byID[agent.follower.Source()].role, RoleControl)
	is.Equal(len(agent.follower.sources.list), 2) // routers that are gone are forgotten
}

func TestSourcesAreBounded(t *testing.T) {
	is := is.New(t)
	f := NewFollower(FollowerConfig{Role: RoleAgent, Seed: 3, Log: NewLog(DefaultLogLimits())}, time.Unix(1, 0))
	f.SetSources([]Source{{"control", RoleControl}})
	for i := range 400 {
		f.Learn(Source{fmt.Sprint("router-", i), RoleRouter})
	}
	is.Equal(len(f.sources.list), maxSources+1)
}

func TestLostEventsAreRepaired(t *testing.T) {
	is := is.New(t)
	n := today(t)
	n.loseEvents["router-2"] = true
	n.accept()
	n.run(60 * time.Millisecond)
	n.loseEvents["router-2"] = false
	version := n.accept()
	n.reach(version, 2*time.Second)
	is.Equal(n.byID["router-2"].log.Snapshot().Config.Revision, n.nodes[0].log.Snapshot().Config.Revision)
}

func TestALostLastEventIsNoticed(t *testing.T) {
	n := today(t)
	n.loseEvents["router-2"] = true
	version := n.accept()
	n.run(60 * time.Millisecond)
	n.loseEvents["router-2"] = false
	n.reach(version, time.Second) // no further event tells of the gap
}

func TestAnUnconfirmedViewIsBetterThanNoneAtTheStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := NewFollower(FollowerConfig{Role: RoleRouter, Seed: 1, Log: NewLog(DefaultLogLimits())}, now)
	f.SetSources([]Source{{"agent", RoleAgent}, {"router", RoleRouter}})
	first := f.Tick(now)[0]
	old := &wire.ViewUpdate{Version: 3, Snapshot: largeView(1, 1)}
	old.Snapshot.Version = 3
	f.Update(now.Add(10*time.Millisecond), first.Call, old)
	is.Equal(f.log.Version(), uint64(0)) // a confirmed one may come
	f.Tick(now.Add(unconfirmedStart))
	is.Equal(f.log.Version(), uint64(3))
	is.True(!f.Freshness(now).Confirmed)
}
