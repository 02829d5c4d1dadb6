package view

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// weightsView is a view with weights of version 1 of the model m.
func weightsView(accounts, members int) *wire.View {
	v := largeView(accounts, members)
	v.Weights = []*wire.WeightsTarget{{Model: "m", Version: 1}}
	return v
}

// Guards against a process that counts the age of weights from when it started, or from when it got
// the view after a cut or a pause, while others know when they were named.
func TestAgesAreKeptOverRestartsCutsAndPauses(t *testing.T) {
	for _, row := range []struct {
		name  string
		begin func(n *network, p *node)
		end   func(n *network, p *node)
	}{
		{"started after the name", func(n *network, p *node) { n.stop(p) }, func(n *network, p *node) { n.start(p, nil) }},
		{"cut off", func(n *network, p *node) { n.cut = func(a, b *node) bool { return a == p || b == p } }, func(n *network, _ *node) { n.cut = func(a, b *node) bool { return false } }},
		{"paused", func(n *network, p *node) { n.pause(p.address) }, func(n *network, p *node) { n.resume(p.address) }},
	} {
		for _, address := range []string{"router-1", "agent-3"} {
			t.Run(row.name+"/"+address, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, 3, 4, 26, weightsView(8, 26))
				n.run(3 * time.Second)
				p := n.byAddress[address]
				n.run(100 * time.Millisecond)
				row.begin(n, p)
				n.run(100 * time.Millisecond)
				n.nameWeights()
				named := n.now
				n.run(5 * time.Second)
				row.end(n, p)
				n.run(3 * time.Second)
				since, outdated := p.log.Targets().OutdatedSince("m", 1)
				is.True(outdated)
				t.Logf("age %v, really %v", n.now.Sub(since), n.now.Sub(named))
				is.True(!since.After(named))
				is.True(named.Sub(since) <= time.Second) // of each hop the age of the source's confirmation and a delay
			})
		}
	}
}

// Guards against an age that is too low after any sequence of restarts, cuts, pauses and names; see
// network.checkAges.
func TestAgesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 64))
			n := newNetwork(t, 3, 4, 10, weightsView(4, 10))
			n.run(2 * time.Second)
			for range 60 {
				p := n.nodes[3+random.IntN(len(n.nodes)-3)]
				switch random.IntN(5) {
				case 0:
					n.nameWeights()
				case 1:
					if p.running && !n.paused[p.address] {
						n.stop(p)
						n.run(time.Duration(random.IntN(3000)) * time.Millisecond)
						n.start(p, nil)
					}
				case 2:
					n.pause(p.address)
				case 3:
					for address := range n.paused {
						n.resume(address)
					}
				case 4:
					other := n.nodes[random.IntN(len(n.nodes))]
					n.cut = func(a, b *node) bool { return a == p && b != other || b == p && a != other }
				}
				n.run(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
		})
	}
}

// Guards against ages in each heartbeat: they are told with the name, at the start of a watch and of a fetch
// within a minute of the name, and never else.
func TestAgesAreToldOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := NewLog(DefaultLogLimits())
	is.NoErr(l.Reset(weightsView(2, 2)))
	l.SetNewestAt(func() time.Time { return now.Add(-quorumContactAge) })
	version := l.Version()
	w := NewWatchSession(l, version, false)
	is.Equal(len(w.Next(now, Freshness{Confirmed: true}).GetWeightsAges()), 0)
	is.NoErr(l.Append(&wire.ViewEvent{Version: version + 1, Body: &wire.ViewEvent_Weights{Weights: &wire.WeightsTarget{Model: "m", Version: 2}}}))
	told := w.Next(now, Freshness{Confirmed: true}).GetWeightsAges()
	is.Equal(len(told), 2) // the floor and the new version
	is.Equal(told[1].GetAgeMs(), uint32(quorumContactAge.Milliseconds()))
	bytes := proto.Size(&wire.ViewUpdate{WeightsAges: told})
	t.Logf("%d bytes for a name, of a model with a name of 1 byte", bytes)
	is.True(bytes <= 32)
	for range 200 {
		now = now.Add(HeartbeatInterval)
		is.Equal(len(w.Next(now, Freshness{Confirmed: true}).GetWeightsAges()), 0)
		first := NewWatchSession(l, version, false).Next(now, Freshness{Confirmed: true})
		fetched := BuildUpdate(now, l, version, Freshness{Confirmed: true}, false)
		within := now.Sub(time.Unix(1000, 0)) <= time.Minute-quorumContactAge
		is.Equal(len(first.GetWeightsAges()) == 2, within)
		is.Equal(len(fetched.GetWeightsAges()) == 2, within)
	}
}

// Guards against traffic for the ages of weights that grows: of a name at the busiest process of a role, of a
// router that starts, and in the steady state, where there is none.
func TestAgesTraffic(t *testing.T) {
	const longName = "a-model-of-24-characters"
	for _, row := range []struct{ controls, routers int }{{3, 48}, {7, 400}} {
		is := is.New(t)
		v := weightsView(8, 1)
		v.Weights = append(v.Weights, &wire.WeightsTarget{Model: longName, Version: 1})
		n := newNetwork(t, row.controls, row.routers, 0, v)
		n.run(15 * time.Second)
		most := func() (bytes, messages [roleCount]int) {
			for _, p := range n.nodes {
				bytes[p.role], messages[p.role] = max(bytes[p.role], p.agesBytes), max(messages[p.role], p.agesMessages)
			}
			return bytes, messages
		}
		n.resetCounts()
		n.nameWeightsOf(longName, 2)
		n.run(2 * time.Second)
		bytes, messages := most()
		t.Logf("%d routers, for a name: %d B in %d updates at a control replica, %d B in %d at a router", row.routers, bytes[RoleControl], messages[RoleControl], bytes[RoleRouter], messages[RoleRouter])
		is.True(bytes[RoleRouter] <= 2000)
		router := n.byAddress["router-1"]
		n.stop(router)
		n.run(time.Second)
		n.resetCounts()
		n.start(router, nil)
		n.run(2 * time.Second)
		t.Logf("    for a start within a minute of it: %d B in %d updates at the router", router.agesBytes, router.agesMessages)
		is.True(router.agesBytes <= 1000)
		n.run(time.Minute)
		n.resetCounts()
		n.run(30 * time.Second)
		bytes, _ = most()
		is.Equal(bytes, [roleCount]int{}) // in the steady state
	}
}
