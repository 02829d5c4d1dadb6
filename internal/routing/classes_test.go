package routing

import (
	"fmt"
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

// directRequest returns a request to engines without an agent. context, question
// and output are lengths in tokens.
func directRequest(key uint64, context, question, output uint32) *Request {
	return &Request{Service: "assessor", Account: "a", OutputTokens: output, Levels: []*wire.PrefixLevel{
		{Key: key * 0x9e3779b97f4a7c15, Tokens: context}, {Key: key*0x9e3779b97f4a7c15 + 1, Tokens: context + question}}}
}

// Short and long requests go to separate engines, since long prefills delay the
// answers to short requests. Routers that don't communicate choose about the
// same split.
func TestShortAndLongRequestsUseSeparateEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	used := [2]map[string]int{{}, {}}
	for seed := range uint64(3) {
		r := New("a", seed+1)
		r.SetBackends(now, directMembers(18))
		for i := range uint64(600) {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			class, req := shortClass, directRequest(1000+i%50, 200, 600, 80)
			if i%2 == 0 {
				class, req = longClass, directRequest(i%40+1, 6300, 2900, 13)
			}
			d, err := r.Choose(at, req)
			is.NoErr(err)
			r.Started(at, d)
			r.FirstToken(at.Add(50*time.Millisecond), d)
			r.Finished(at.Add(100*time.Millisecond), d, nil)
			if i > 100 {
				used[class][d.Backend.Name]++
			}
		}
	}
	shared := 0
	for name := range used[shortClass] {
		if used[longClass][name] > 0 {
			shared++
		}
	}
	is.True(len(used[shortClass]) >= 1)
	is.True(len(used[longClass]) > len(used[shortClass])) // long prompts are most of the work
	is.True(shared <= 2)                                  // at most the engines at the boundary of the split
}

func TestSmallPoolsAreNotSplit(t *testing.T) {
	is := is.New(t)
	c := classes{requests: 1000}
	now := time.Unix(1000, 0)
	c.observe(now, shortClass, 1)
	c.observe(now, longClass, 1)
	is.Equal(c.targetShortServers(minSplitServers-1, 48), 0)
	is.True(c.targetShortServers(minSplitServers, 48) >= 1)
	only := classes{requests: 1000}
	only.observe(now, longClass, 1)
	is.Equal(only.targetShortServers(18, 48), 0)
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
	req := directRequest(1, 200, 600, 80)
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
	req := directRequest(1, 6300, 2900, 13)
	d, err := r.Choose(now, req)
	is.NoErr(err)
	unreachable := d.Backend.Name
	r.Started(now, d)
	r.Failed(now, d, fault.BackendRefused)
	for i := range uint64(20) {
		other, err := r.Choose(now.Add(unreachablePause/2), directRequest(i, 6300, 2900, 13))
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
		d, err := r.Choose(at, directRequest(i, 200, 600, 80))
		is.NoErr(err)
		r.Started(at, d)
		r.SetBackends(at, members)
		r.FirstToken(at.Add(20*time.Millisecond), d)
		r.SetBackends(at, members)
		r.Finished(at.Add(2*time.Second), d, nil)
	}
	p := r.pools[poolKey{service: "assessor"}]
	is.Equal(p.classes.demand[shortClass].answerTime.count, 60)
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
		d, err := r.Choose(now.Add(100*time.Millisecond), directRequest(seed, 200, 600, 80))
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
		d, err := r.Choose(now.Add(100*time.Millisecond), directRequest(i, 200, 600, 80))
		is.NoErr(err)
		is.Equal(d.Backend.Name, "e01")
	}
}

// Short prompts with long answers take slots, long prompts with short answers take
// prefill time. Routers that each see a small part of the calls share out engines of all
// sizes so that no class lacks what it needs.
func TestShortAnswersCrowdFewSlots(t *testing.T) {
	const (
		answerTime  = 2.0   // of a short call, in seconds
		prefillTime = 0.1   // of a long prompt, in seconds
		shortPart   = 0.016 // prefill time of a short prompt, in seconds
	)
	tests := []struct {
		engines, slots, routers int
		short, long             float64 // calls a second
	}{{120, 12, 64, 175, 299}, {38, 12, 24, 55, 95}, {45, 64, 37, 160, 100}, {17, 48, 12, 60, 44}, {12, 96, 12, 68, 30}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d engines of %d slots", test.engines, test.slots), func(t *testing.T) {
			is := is.New(t)
			for router := range 3 {
				c := classes{}
				now := time.Unix(1000, 0)
				next := [2]float64{}
				rate := [2]float64{shortClass: test.short / float64(test.routers), longClass: test.long / float64(test.routers)}
				for tick := range 30_000 { // of 1 ms
					at := now.Add(time.Duration(tick) * time.Millisecond)
					for class := range rate {
						next[class] += rate[class] / 1000
						if next[class] < 1+0.1*float64(router) {
							continue
						}
						next[class]--
						prefill := prefillTime
						if class == shortClass {
							prefill = shortPart
						}
						c.observe(at, class, 3*prefill) // the prediction is too long
						c.observeFirstToken(class, 3*prefill, prefill)
						if class == shortClass {
							c.observeAnswer(class, answerTime)
						} else {
							c.observeAnswer(class, 0.3)
						}
					}
				}
				short := c.targetShortServers(test.engines, float64(test.slots))
				long := test.engines - short
				is.True(test.short*answerTime <= 0.9*float64(short*test.slots)) // slots of the short class
				is.True(test.long*prefillTime <= 0.8*float64(long))             // prefill time of the long class
			}
		})
	}
}
