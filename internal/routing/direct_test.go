package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// directMembers returns n engines without an agent, all with version 1 of the
// weights.
func directMembers(n int) []*wire.Member {
	var out []*wire.Member
	for i := range n {
		out = append(out, &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: &wire.Backend{
			Name: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), AgentIncarnation: 1, Service: "assessor",
			MaxRunning: 48, Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: "1"}},
		}})
	}
	return out
}

// directRequest returns a request to engines without an agent. context and question are
// lengths in tokens.
func directRequest(key uint64, context, question uint32) *Request {
	return &Request{Service: "assessor", Account: "a", Levels: []*wire.PrefixLevel{
		{Key: key * 0x9e3779b97f4a7c15, Tokens: context}, {Key: key*0x9e3779b97f4a7c15 + 1, Tokens: context + question}}}
}

// When new weights are rolled out under load, engines with outdated weights cost
// more, and none below MinWeightsVersion is chosen.
func TestOutdatedWeights(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	members := directMembers(4)
	members[2].Backend.Models[0].WeightsVersion = "2"
	r := New("a", 1)
	r.SetBackends(now, members)
	req := directRequest(1, 200, 600)
	req.PreferredWeightsVersion = 2
	d, err := r.Choose(now, req)
	is.NoErr(err)
	is.Equal(d.Backend.Name, "e02")
	is.Equal(d.WeightsVersion, uint64(2))
	// With much work waiting there, an engine with outdated weights is better
	// than a late answer.
	for range 20 {
		r.Started(now, d)
		d, err = r.Choose(now, req)
		is.NoErr(err)
	}
	now = now.Add(time.Second)
	r.LoadReported(now, "e02", &wire.Load{Waiting: 40})
	d, err = r.Choose(now, req)
	is.NoErr(err)
	is.True(d.Backend.Name != "e02")
	req.MinWeightsVersion = 2
	d, err = r.Choose(now, req)
	is.NoErr(err)
	is.Equal(d.Backend.Name, "e02")
	req.Tried = []string{"e02"}
	_, err = r.Choose(now, req)
	is.True(fault.Is(err, fault.NoBackend))
}

// An engine without an agent loses its cached state when it loads other weights.
func TestWeightsChangeResetsEngineState(t *testing.T) {
	is := is.New(t)
	a, b := directMembers(1)[0].Backend, directMembers(1)[0].Backend
	is.True(sameInstance(a, b))
	b.Models[0].WeightsVersion = "2"
	is.True(!sameInstance(a, b))
	a.Address, b.Address = "", "" // an agent announces its engine's incarnation
	is.True(sameInstance(a, b))
}

// After one request that could not be sent to an engine, the following requests
// go to other engines until the engine is tried again.
func TestUnreachableBackendServersAreAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	r.SetBackends(now, directMembers(3))
	req := directRequest(1, 6300, 2900)
	d, err := r.Choose(now, req)
	is.NoErr(err)
	unreachable := d.Backend.Name
	r.Started(now, d)
	r.Failed(now, d, fault.BackendRefused)
	for i := range uint64(20) {
		other, err := r.Choose(now.Add(unreachablePause/2), directRequest(i, 6300, 2900))
		is.NoErr(err)
		is.True(other.Backend.Name != unreachable)
	}
	back, err := r.Choose(now.Add(2*unreachablePause), req)
	is.NoErr(err)
	is.Equal(back.Backend.Name, unreachable)
}

// Attempts that began under an earlier view still teach the router, however often views
// change. In a large deployment they change many times while an answer lasts.
func TestLearningSurvivesNewViews(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(8)
	r.SetBackends(now, members)
	for i := range uint64(60) {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		d, err := r.Choose(at, directRequest(i, 200, 600))
		is.NoErr(err)
		r.Started(at, d)
		r.SetBackends(at, members)
		r.FirstToken(at.Add(20*time.Millisecond), d)
		r.SetBackends(at, members)
		r.Finished(at.Add(2*time.Second), d, nil)
	}
	p := r.pools[poolKey{service: "assessor"}]
	is.True(p.meanDuration > 1.5)
	is.True(float64(p.rate) > defaultPrefillRate)
}

// An engine that has just started, or loaded other weights, reports nothing for a
// while. If routers took it for idle, all of them would send it their calls at once.
func TestUnreportedEngineDoesNotAttractAllRouters(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	members := directMembers(12)
	atFresh := 0
	for seed := range uint64(64) {
		r := New("a", seed+1)
		r.SetBackends(now, members[:11])
		for _, m := range members[:11] {
			r.LoadReported(now, m.Backend.Name, &wire.Load{Running: 48, Waiting: 16})
		}
		r.SetBackends(now, members)
		d, err := r.Choose(now.Add(100*time.Millisecond), directRequest(seed, 200, 600))
		is.NoErr(err)
		if d.Backend.Name == members[11].Backend.Name {
			atFresh++
		}
	}
	is.True(atFresh < 64/3) // its even share is 64/12
}

// An engine that has loaded other weights still runs its earlier requests.
func TestLoadIsKnownAcrossNewWeights(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(2)
	r.SetBackends(now, members)
	r.LoadReported(now, "e00", &wire.Load{Running: 48, Waiting: 30})
	r.LoadReported(now, "e01", &wire.Load{Running: 2})
	loaded := directMembers(2)
	loaded[0].Backend.Models[0].WeightsVersion = "2"
	r.SetBackends(now, loaded)
	for i := range uint64(10) {
		d, err := r.Choose(now.Add(100*time.Millisecond), directRequest(i, 200, 600))
		is.NoErr(err)
		is.Equal(d.Backend.Name, "e01")
	}
}

// Engines without an agent prefill prompts in their own order. A short prompt is not sent
// to where long ones wait.
func TestShortPromptsAvoidLongPrefills(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	r.SetBackends(now, directMembers(4))
	busy := map[string]bool{}
	for i := range uint64(3) {
		d, err := r.Choose(now, directRequest(i, 30_000, 30_000))
		is.NoErr(err)
		r.Started(now, d)
		busy[d.Backend.Name] = true
	}
	is.Equal(len(busy), 3)
	for i := range uint64(20) {
		d, err := r.Choose(now, directRequest(100+i, 200, 600))
		is.NoErr(err)
		is.True(!busy[d.Backend.Name])
	}
}

// crowdedCall is a running call of TestNoEngineIsCrowdedWhileOthersHaveSlots.
type crowdedCall struct {
	router   *Router
	decision *Decision
	engine   string
	endsAt   time.Time
}

// Short prompts with long answers and long prompts with short answers share engines of
// all sizes. Routers know nothing of each other but the load reports, which are half a
// second old. Calls must not wait for a slot of one engine while others have free slots.
func TestNoEngineIsCrowdedWhileOthersHaveSlots(t *testing.T) {
	const (
		length      = 6 * time.Second
		step        = 5 * time.Millisecond
		reportEvery = 500 * time.Millisecond
		shortTime   = 2 * time.Second
		longTime    = 400 * time.Millisecond
	)
	tests := []struct {
		engines, slots, routers int
		short, long             float64 // calls a second
	}{{120, 12, 64, 175, 299}, {38, 12, 24, 55, 95}, {45, 64, 37, 248, 128}, {17, 48, 12, 60, 44}, {12, 96, 12, 68, 30}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d engines of %d slots", test.engines, test.slots), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			members := directMembers(test.engines)
			for _, m := range members {
				m.Backend.MaxRunning = uint32(test.slots)
			}
			var routers []*Router
			for seed := range test.routers {
				r := New("a", uint64(seed)+1)
				r.SetSettings(Settings{ImportRate: 100_000})
				r.SetBackends(now, members)
				routers = append(routers, r)
			}
			random := rand.New(rand.NewPCG(1, 2))
			var running []crowdedCall
			calls, crowded := 0, 0
			for at := now; at.Before(now.Add(length)); at = at.Add(step) {
				still := running[:0]
				for _, c := range running {
					if at.Before(c.endsAt) {
						still = append(still, c)
						continue
					}
					c.router.Finished(at, c.decision, nil)
				}
				running = still
				load := map[string]int{}
				for _, c := range running {
					load[c.engine]++
				}
				if at.Sub(now)%reportEvery == 0 {
					for _, r := range routers {
						for _, m := range members {
							r.LoadReported(at, m.Backend.Name, &wire.Load{Running: uint32(load[m.Backend.Name])})
						}
					}
				}
				for _, kind := range []struct {
					rate float64
					took time.Duration
					req  *Request
				}{{test.short, shortTime, directRequest(5000+random.Uint64N(1300), 200, 628)},
					{test.long, longTime, directRequest(random.Uint64N(2200), 6300, 2890)}} {
					for due := kind.rate * step.Seconds(); random.Float64() < due; due-- {
						r := routers[random.IntN(len(routers))]
						d, err := r.Choose(at, kind.req)
						is.NoErr(err)
						calls++
						if load[d.Backend.Name] >= test.slots {
							crowded++
						}
						load[d.Backend.Name]++
						r.Started(at, d)
						r.FirstToken(at.Add(50*time.Millisecond), d)
						running = append(running, crowdedCall{r, d, d.Backend.Name, at.Add(kind.took)})
					}
				}
			}
			if crowded*100 > calls {
				t.Errorf("%d of %d calls went to engines without a free slot", crowded, calls)
			}
		})
	}
}
