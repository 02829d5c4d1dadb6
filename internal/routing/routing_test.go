package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

var start = time.Unix(1000, 0)

// members returns n ready backend servers with an agent. They hold the same
// model and are in four failure domains.
func members(n int) []*wire.Member {
	domains := []string{"punjab-a", "punjab-b", "punjab-c", "punjab-d"}
	var all []*wire.Member
	for i := range n {
		all = append(all, &wire.Member{
			State: wire.BackendState_BACKEND_STATE_READY,
			Backend: &wire.Backend{
				Name:              fmt.Sprintf("assessor-%d", i),
				AgentAddress:      fmt.Sprintf("10.0.0.%d:7", i),
				FailureDomain:     domains[i%4],
				EngineIncarnation: 1,
				Models:            []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "v1"}},
				MaxRunning:        16,
			},
		})
	}
	return all
}

func newRouter(n int) *Router {
	r := New("punjab-a", 1)
	r.SetBackends(start, members(n))
	return r
}

// request returns a request with a system message, a context of a little more
// than the given number of tokens, and a question.
func request(context, question string, tokens int) *Request {
	text := make([]byte, tokens*4)
	return &Request{
		Account: "rahbar", Model: "assessor", WeightsVersion: "v1",
		Levels: prefix.Levels(prefix.Scope{Account: "rahbar", Model: "assessor", WeightsVersion: "v1"},
			prefix.Prompt{Messages: []prefix.Message{
				{Role: "system", Content: "judge"},
				{Role: "user", Content: context + string(text)},
				{Role: "user", Content: question},
			}}),
	}
}

func choose(t *testing.T, r *Router, now time.Time, req *Request) *Decision {
	t.Helper()
	d, err := r.Choose(now, req)
	is.New(t).NoErr(err)
	return d
}

// run sends a request whose first token arrives after 100 ms and which ends
// after 200 ms. None of its prompt was cached.
func run(t *testing.T, r *Router, now time.Time, req *Request) *Decision {
	d := choose(t, r, now, req)
	r.Started(now, d)
	r.FirstToken(now.Add(100*time.Millisecond), d)
	r.Finished(now.Add(200*time.Millisecond), d, &wire.End{})
	return d
}

func TestIndependentRoutersChooseAlike(t *testing.T) {
	is := is.New(t)
	a, b := newRouter(18), New("punjab-a", 99)
	reversed := members(18)
	slices.Reverse(reversed)
	b.SetBackends(start, reversed)
	used := map[string]bool{}
	for i := range 100 {
		req := request(fmt.Sprint("clamp", i), "q", 8000)
		d := choose(t, a, start, req)
		is.Equal(d.Backend.Name, choose(t, b, start, req).Backend.Name)
		used[d.Backend.Name] = true
	}
	is.True(len(used) >= 15) // contexts are spread over the backend servers
}

func TestContextReturnsToItsCache(t *testing.T) {
	is := is.New(t)
	r := newRouter(18)
	first := run(t, r, start, request("clamp", "q1", 8000))
	again := choose(t, r, start.Add(time.Second), request("clamp", "q2", 8000))
	is.Equal(again.Backend.Name, first.Backend.Name)
	is.True(again.CachedTokens > 6000)
}

func TestIneligibleBackendsAreNotChosen(t *testing.T) {
	req := request("clamp", "q", 8000)
	preferred := func(t *testing.T) string { return choose(t, newRouter(18), start, req).Backend.Name }
	for name, exclude := range map[string]func(r *Router, all []*wire.Member, m *wire.Member, req *Request){
		"draining": func(r *Router, all []*wire.Member, m *wire.Member, _ *Request) {
			m.State = wire.BackendState_BACKEND_STATE_DRAINING
			r.SetBackends(start, all)
		},
		"suspected": func(r *Router, all []*wire.Member, m *wire.Member, _ *Request) {
			m.State = wire.BackendState_BACKEND_STATE_SUSPECTED
			r.SetBackends(start, all)
		},
		"damped": func(r *Router, all []*wire.Member, m *wire.Member, _ *Request) {
			m.State = wire.BackendState_BACKEND_STATE_DAMPED
			r.SetBackends(start, all)
		},
		"retired": func(r *Router, all []*wire.Member, m *wire.Member, _ *Request) {
			m.Retired = true
			r.SetBackends(start, all)
		},
		"older weights": func(r *Router, all []*wire.Member, m *wire.Member, _ *Request) {
			m.Backend.Models[0].WeightsVersion = "v0"
			r.SetBackends(start, all)
		},
		"tried": func(_ *Router, _ []*wire.Member, m *wire.Member, req *Request) {
			req.Tried = []string{m.Backend.Name}
		},
		"refused new work": func(r *Router, _ []*wire.Member, m *wire.Member, _ *Request) {
			d, _ := r.Choose(start, req)
			r.Started(start, d)
			r.Failed(start, d, fault.Draining)
		},
		"breaker open": func(r *Router, _ []*wire.Member, m *wire.Member, _ *Request) {
			for range breakerFailures {
				d, _ := r.Choose(start, req)
				r.Started(start, d)
				r.Failed(start, d, fault.BackendRefused)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New("punjab-a", 1)
			all := members(18)
			r.SetBackends(start, all)
			i := slices.IndexFunc(all, func(m *wire.Member) bool { return m.Backend.Name == preferred(t) })
			own := *request("clamp", "q", 8000)
			exclude(r, all, all[i], &own)
			is.True(choose(t, r, start, &own).Backend.Name != all[i].Backend.Name)
		})
	}
}

func TestNoBackend(t *testing.T) {
	is := is.New(t)
	_, err := New("punjab-a", 1).Choose(start, request("clamp", "q", 8000))
	is.True(fault.Is(err, fault.NoBackend))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	all := members(1)
	all[0].State = wire.BackendState_BACKEND_STATE_SUSPECTED
	r := New("punjab-a", 1)
	r.SetBackends(start, all)
	is.Equal(choose(t, r, start, request("clamp", "q", 8000)).Backend.Name, "assessor-0") // suspected, but the only one
}

func TestRestartedEngineHasNoCachedTokens(t *testing.T) {
	is := is.New(t)
	r := newRouter(18)
	d := run(t, r, start, request("clamp", "q", 8000))
	all := members(18)
	for _, m := range all {
		if m.Backend.Name == d.Backend.Name {
			m.Backend.EngineIncarnation = 2
		}
	}
	r.SetBackends(start.Add(time.Second), all)
	after := choose(t, r, start.Add(2*time.Second), request("clamp", "q", 8000))
	if after.Backend.Name == d.Backend.Name {
		is.Equal(after.CachedTokens, uint32(0))
	}
	r.Finished(start.Add(2*time.Second), d, &wire.End{CachedTokens: 8000}) // late answer of the earlier incarnation
	is.Equal(choose(t, r, start.Add(2*time.Second), request("clamp", "q", 8000)).CachedTokens, after.CachedTokens)
}

// A backend server that answers every second request never opened its breaker, and its
// failures used up the retry budget of the service. One that fails one in five stays in use.
func TestBreakerOpensForPartialFailures(t *testing.T) {
	is := is.New(t)
	opened := func(failing func(n int) bool) bool {
		var b breaker
		for n := range 100 {
			if failing(n) {
				b.failed(start)
			} else {
				b.succeeded()
			}
			if b.open(start) {
				return true
			}
		}
		return false
	}
	is.True(opened(func(n int) bool { return n%2 == 0 }))
	is.True(!opened(func(n int) bool { return n%5 == 0 }))
}

func TestContextsOfLostBackendSpread(t *testing.T) {
	is := is.New(t)
	r := newRouter(18)
	lost := "assessor-3"
	var displaced []*Request
	for i := range 1000 {
		req := request(fmt.Sprint("clamp", i), "q", 8000)
		if choose(t, r, start, req).Backend.Name == lost {
			displaced = append(displaced, req)
		}
	}
	all := slices.DeleteFunc(members(18), func(m *wire.Member) bool { return m.Backend.Name == lost })
	r.SetBackends(start, all)
	count := map[string]int{}
	for _, req := range displaced {
		count[choose(t, r, start, req).Backend.Name]++
	}
	for _, n := range count {
		is.True(n <= len(displaced)/3) // no backend server takes over most of them
	}
	is.True(len(displaced) > 20)
	is.True(len(count) >= 10)
}

func TestBreakerProbesHalfOpen(t *testing.T) {
	is := is.New(t)
	var b breaker
	for range breakerFailures {
		is.True(!b.open(start))
		b.failed(start)
	}
	is.True(b.open(start))
	later := start.Add(breakerMinDelay)
	is.True(!b.open(later))
	b.requestSent(later)
	is.True(b.open(later)) // only one probe at a time
	b.failed(later)
	is.True(b.open(later.Add(breakerMinDelay))) // the delay doubled
	last := later.Add(2 * breakerMinDelay)
	is.True(!b.open(last))
	b.requestSent(last)
	b.succeeded()
	is.True(!b.open(last))
}

func TestHotKeyReplicasGrowAndShrink(t *testing.T) {
	is := is.New(t)
	k := newHotKeys()
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		k.add(now, 1, 20*time.Millisecond) // keeps two backend servers busy
	}
	is.True(replicas(k.load(now, 1), 18) >= 2)
	is.True(replicas(k.load(now, 1), 18) <= 5)
	is.Equal(replicas(k.load(now.Add(20*time.Second), 1), 18), 1)
	for i := range uint64(3 * maxHotKeys) {
		k.add(now, i+2, time.Millisecond)
	}
	is.True(len(k.keyLoad) <= maxHotKeys)
}

func TestDelayedLoadReportsAreCorrected(t *testing.T) {
	is := is.New(t)
	r := newRouter(18)
	s := r.servers["assessor-0"]
	requests := func(at time.Time) float64 {
		n, _ := s.predict(s.reportAge(at))
		return n
	}
	backlog := func(at time.Time, tokens float64) float64 {
		age := s.reportAge(at)
		_, prefill := s.predict(age)
		return s.backlog(age, prefill, tokens, 10000)
	}
	r.LoadReported(start, "assessor-0", &wire.Load{Running: 4, QueuedPrefillTokens: 8000, QueuedShortTokens: 600, EngineIncarnation: 1})
	is.Equal(requests(start), 4.0)
	s.recordSent(start.Add(time.Millisecond), 1000)
	is.Equal(requests(start.Add(time.Millisecond)), 5.0)
	is.Equal(backlog(start.Add(100*time.Millisecond), 9000), 8000.0) // 1000 sent, 1000 computed
	is.Equal(backlog(start.Add(100*time.Millisecond), 200), 600.0)   // short requests run before long ones
	r.LoadReported(start, "assessor-0", &wire.Load{Running: 9, AgeMs: 50, EngineIncarnation: 1})
	is.Equal(requests(start), 5.0) // the report is older than the last one
	r.LoadReported(start.Add(time.Second), "assessor-0", &wire.Load{Running: 9, EngineIncarnation: 7})
	is.Equal(s.report.requests, 4)                  // the report is of another incarnation
	is.Equal(requests(start.Add(time.Minute)), 0.0) // the report is too old
}

func TestColdStartReserve(t *testing.T) {
	r := newRouter(1)
	r.SetSettings(Settings{ColdStartReserve: 0.25})
	s := r.servers["assessor-0"]
	p := &pool{meanDuration: 1.6}
	for _, c := range []struct {
		requests   float64
		cold, warm float64 // seconds
	}{
		{11, 0, 0},
		{12, 0, 0.1}, // 12 of 16 slots are for warm requests
		{15, 0, 0.4},
		{16, 0.1, 0.5},
	} {
		is := is.New(t)
		is.True(math.Abs(r.slotWait(p, s, c.requests, false)-c.cold) < 1e-9)
		is.True(math.Abs(r.slotWait(p, s, c.requests, true)-c.warm) < 1e-9)
	}
}

func TestCostWeightsDecide(t *testing.T) {
	is := is.New(t)
	busy := func(s Settings) string {
		r := newRouter(18)
		r.SetSettings(s)
		d := run(t, r, start, request("clamp", "q", 8000))
		now := start.Add(time.Second)
		r.LoadReported(now, d.Backend.Name, &wire.Load{QueuedPrefillTokens: 8000, EngineIncarnation: 1})
		if choose(t, r, now, request("clamp", "q2", 8000)).Backend.Name == d.Backend.Name {
			return "wait"
		}
		return "recompute"
	}
	is.Equal(busy(Settings{RecomputeWeight: 4, WaitWeight: 1}), "wait")
	is.Equal(busy(Settings{RecomputeWeight: 1, WaitWeight: 4}), "recompute")
}

func TestImportInsteadOfRecomputation(t *testing.T) {
	is := is.New(t)
	r := newRouter(18)
	r.SetSettings(Settings{ImportRate: 200000, WaitWeight: 4})
	d := run(t, r, start, request("clamp", "q", 8000))
	now := start.Add(time.Second)
	r.LoadReported(now, d.Backend.Name, &wire.Load{QueuedPrefillTokens: 20000, EngineIncarnation: 1})
	other := choose(t, r, now, request("clamp", "q2", 8000))
	is.True(other.Backend.Name != d.Backend.Name)
	is.Equal(other.KVSource, d.Backend.AgentAddress)
	r.SetSettings(Settings{WaitWeight: 4})
	is.Equal(choose(t, r, now, request("clamp", "q2", 8000)).KVSource, "")
}

// A request to a plain service has no prompt: no KV state is imported for it, and
// it may use the slots reserved for requests without a cached prefix.
func TestPlainServiceRequestsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	r := New("punjab-a", 1)
	r.SetSettings(Settings{ImportRate: 1e6, ColdStartReserve: 0.5})
	all := members(3)
	for _, m := range all {
		m.Backend.Service, m.Backend.Models = "farmdesk", nil
	}
	r.SetBackends(start, all)
	count := map[string]int{}
	for range 30 {
		d := choose(t, r, start, &Request{Account: "rahbar", Service: "farmdesk"})
		is.Equal(d.KVSource, "")
		r.Started(start, d)
		count[d.Backend.Name]++
	}
	for _, m := range all {
		is.Equal(count[m.Backend.Name], 10) // spread evenly
	}
}

func TestSlowEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	r := newRouter(4)
	slow := "assessor-2"
	now := start
	chosenSlow := 0
	for i := range 400 {
		now = now.Add(100 * time.Millisecond)
		d := choose(t, r, now, request(fmt.Sprint("clamp", i), "q", 2000))
		r.Started(now, d)
		took := d.Prefill + firstTokenOverhead
		if d.Backend.Name == slow {
			took *= 8
			if i >= 200 {
				chosenSlow++
			}
		}
		r.FirstToken(now.Add(took), d)
		r.Finished(now.Add(took), d, &wire.End{})
	}
	is.True(chosenSlow <= 20) // an even share would be 50 of the last 200
}

func benchmarkChoose(b *testing.B, n int) {
	r := newRouter(n)
	var requests []*Request
	for i := range 64 {
		requests = append(requests, request(fmt.Sprint("clamp", i), "q", 32000))
	}
	for i, req := range requests {
		d, _ := r.Choose(start, req)
		r.Started(start, d)
		r.LoadReported(start, d.Backend.Name, &wire.Load{Running: uint32(i), EngineIncarnation: 1})
		r.Finished(start, d, &wire.End{})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, err := r.Choose(start, requests[i%64]); err != nil {
			b.Fatal(err)
		}
		i++
	}
}

func BenchmarkChoose18(b *testing.B)   { benchmarkChoose(b, 18) }
func BenchmarkChoose400(b *testing.B)  { benchmarkChoose(b, 400) }
func BenchmarkChoose4000(b *testing.B) { benchmarkChoose(b, 4000) }

// An import comes from an engine that is reported to hold the prefix on the same
// weights, preferably one in the same failure domain. Without such imports, an
// engine recomputed a shared prefix although other engines held it.
func TestImportsComeFromReportedHolders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := New("a", 1)
	r.SetSettings(Settings{ImportRate: 100_000})
	engine := func(name, domain, weights string) *wire.Member {
		return &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: &wire.Backend{Name: name, Address: name + ":1",
			FailureDomain: domain, AgentIncarnation: 1, EngineIncarnation: 1, Service: "llm", MaxRunning: 48,
			Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: weights}}}}
	}
	r.SetBackends(now, []*wire.Member{engine("far", "b", "2"), engine("near", "a", "2"), engine("old", "a", "1"), engine("part", "a", "2")})
	const instruction, context, question = 1 << 60, 2 << 60, 3 << 60
	hold := func(name string, weights uint64, keys ...uint64) {
		for i := range keys {
			keys[i] = prefix.Versioned(keys[i], "m", weights)
		}
		r.LoadReported(now, name, &wire.Load{EngineIncarnation: 1, Held: prefix.NewFilter(keys).Marshal()})
	}
	hold("far", 2, instruction, context)
	hold("near", 2, instruction, context)
	hold("old", 1, instruction, context) // state computed with older weights is of no use
	hold("part", 2, instruction)
	now = now.Add(10 * time.Millisecond)
	p := r.pools[poolKey{service: "llm"}]
	if p == nil {
		for key, other := range r.pools {
			t.Log(key)
			p = other
		}
	}
	pr := prompt{levels: []*wire.PrefixLevel{{Key: instruction, Tokens: 2600}, {Key: context, Tokens: 4400}, {Key: question, Tokens: 5000}}}
	for range 20 {
		address, tokens := r.directImportSource(now, p, &pr, r.servers["part"])
		is.Equal(address, "near:1")
		is.Equal(tokens, uint32(4400))
		address, _ = r.directImportSource(now, p, &pr, r.servers["near"])
		is.Equal(address, "") // no engine holds more
	}
	address, _ := r.directImportSource(now.Add(maxReportAge), p, &pr, r.servers["part"])
	is.Equal(address, "") // reports of this age are not used
}

// With many routers, each router rarely sends a request to a given engine. It
// must still predict the wait for the requests that other routers have queued
// there. Wrong predictions were seen with forty routers and long prefills, after
// the loss of an engine.
func TestQueuedWorkOfOtherRoutersIsPredicted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := New("a", 1)
	var members []*wire.Member
	for _, name := range []string{"e1", "e2", "e3"} {
		members = append(members, &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: &wire.Backend{Name: name, Address: name + ":1",
			FailureDomain: "a", AgentIncarnation: 1, EngineIncarnation: 1, MaxRunning: 48, Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: "1"}}}})
	}
	r.SetBackends(now, members)
	var p *pool
	for key, found := range r.pools {
		if key.model == "" || p == nil {
			p = found
		}
	}
	d := &Decision{Backend: members[0].Backend, PromptTokens: 9000, server: r.servers["e1"], pool: p}
	r.Started(now, d)
	now = now.Add(time.Second)
	r.LoadReported(now, "e2", &wire.Load{EngineIncarnation: 1, Waiting: 8})
	r.LoadReported(now, "e3", &wire.Load{EngineIncarnation: 1, Waiting: 1})
	queue := func(name string) float64 {
		_, prefill := r.servers[name].predict(0)
		return prefill.all
	}
	is.Equal(queue("e2"), 8*9000.0) // this router never sent a request there
	is.Equal(queue("e3"), 9000.0)
}
