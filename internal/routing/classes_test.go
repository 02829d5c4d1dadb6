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
	is.Equal(c.targetShortServers(minSplitServers-1), 0)
	is.True(c.targetShortServers(minSplitServers) >= 1)
	only := classes{requests: 1000}
	only.observe(now, longClass, 1)
	is.Equal(only.targetShortServers(18), 0)
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
