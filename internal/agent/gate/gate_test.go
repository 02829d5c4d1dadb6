package gate

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

const (
	agentIncarnation  = 11
	engineIncarnation = 77
)

var t0 = time.Unix(1_800_000_000, 0)

func smallLimits() Limits {
	l := DefaultLimits()
	l.MaxRunning = 2
	return l
}

func newGate(service string, l Limits) *Gate {
	g := New(agentIncarnation, service, l)
	g.EngineUp(engineIncarnation, []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "v2", Adapters: []string{"punjabi"}}})
	return g
}

// chat returns a dispatch for an engine.
func chat(id string) *wire.Dispatch {
	return &wire.Dispatch{RequestId: id, Attempt: 1, Account: "indus", Model: "assessor", WeightsVersion: "v2", EngineIncarnation: engineIncarnation, Idempotent: true}
}

// booking returns the dispatch of a claimed call to a plain service.
func booking(id, key string, index uint64) *wire.Dispatch {
	return &wire.Dispatch{RequestId: id, Attempt: 1, Account: "indus", Service: "farmdesk", AgentIncarnation: agentIncarnation,
		Claim: &wire.ClaimID{Account: "indus", Key: key, Index: index}}
}

func query(key string, index uint64) *wire.ClaimQuery {
	return &wire.ClaimQuery{Account: "indus", AgentIncarnation: agentIncarnation, Claim: &wire.ClaimID{Account: "indus", Key: key, Index: index}}
}

func TestDispatchRefusals(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(g *Gate)
		change  func(d *wire.Dispatch)
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"draining", func(g *Gate) { g.SetDraining(true) }, nil, fault.Draining, fault.NotRun},
		{"leaving", func(g *Gate) { g.SetLeaving() }, nil, fault.Shutdown, fault.NotRun},
		{"leaving after the end of a drain", func(g *Gate) { g.SetLeaving(); g.SetDraining(false) }, nil, fault.Shutdown, fault.NotRun},
		{"engine leaves", func(g *Gate) { g.EngineLeaves(engineIncarnation) }, nil, fault.Draining, fault.NotRun},
		{"engine leaves, its drain ends", func(g *Gate) { g.EngineLeaves(engineIncarnation); g.SetDraining(true); g.SetDraining(false) }, nil, fault.Draining, fault.NotRun},
		{"engine down", func(g *Gate) { g.EngineDown() }, nil, fault.BackendRefused, fault.NotRun},
		{"engine restarted", func(g *Gate) { g.EngineUp(engineIncarnation+1, g.models) }, nil, fault.StaleIncarnation, fault.NotRun},
		{"older weights requested", nil, func(d *wire.Dispatch) { d.WeightsVersion = "v1" }, fault.StaleWeights, fault.NotRun},
		{"no weights version", nil, func(d *wire.Dispatch) { d.WeightsVersion = "" }, fault.StaleWeights, fault.NotRun},
		{"weights replaced", func(g *Gate) {
			g.EngineUp(engineIncarnation, []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "v3"}})
		}, nil, fault.StaleWeights, fault.NotRun},
		{"model not loaded", nil, func(d *wire.Dispatch) { d.Model = "other" }, fault.StaleWeights, fault.NotRun},
		{"adapter not loaded", nil, func(d *wire.Dispatch) { d.Adapter = "nepali" }, fault.StaleWeights, fault.NotRun},
		{"call for a plain service", nil, func(d *wire.Dispatch) { d.Service = "farmdesk" }, fault.UnknownService, fault.NotRun},
		{"no account", nil, func(d *wire.Dispatch) { d.Account = "" }, fault.BadRequest, fault.NotRun},
		{"full", func(g *Gate) { g.Admit(t0, chat("a")); g.Admit(t0, chat("b")) }, nil, fault.BackendRefused, fault.NotRun},
		{"same attempt running", func(g *Gate) { g.Admit(t0, chat("r")) }, nil, fault.Conflict, fault.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate("", smallLimits())
			if test.prepare != nil {
				test.prepare(g)
			}
			running := g.Status().Running
			d := chat("r")
			if test.change != nil {
				test.change(d)
			}
			_, err := g.Admit(t0, d)
			is.True(err != nil)
			is.Equal(err.Kind, test.kind)
			is.Equal(err.Outcome, test.outcome)
			is.Equal(g.Status().Running, running) // a refused dispatch is not counted
		})
	}
}

// A refusal that applies only to this backend server must be retryable, so that the
// router tries another one.
func TestBackendServerRefusalsAreRetryable(t *testing.T) {
	is := is.New(t)
	limits := smallLimits()
	limits.MaxRunning, limits.MaxClaims = 1, 1
	for _, prepare := range []func(g *Gate){
		func(g *Gate) { g.Admit(t0, booking("a", "k", 1)) },
		func(g *Gate) { g.QueryClaim(t0, query("k", 1)) },
		func(g *Gate) { g.SetDraining(true) },
		func(g *Gate) { g.SetLeaving() },
		func(g *Gate) { g.EngineDown() },
		func(g *Gate) { g.agentIncarnation++ },
	} {
		g := newGate("farmdesk", limits)
		prepare(g)
		_, err := g.Admit(t0, booking("r", "k", 2))
		is.True(err.Kind.Response().Retryable)
		is.Equal(err.Outcome, fault.NotRun)
	}
}

func TestClaimRefusals(t *testing.T) {
	done := Result{Answer: &wire.StoredAnswer{Status: 200}}
	run := func(g *Gate, r Result) {
		ticket, _ := g.Admit(t0, booking("first", "k", 5))
		g.Finish(t0, ticket, r)
	}
	for _, test := range []struct {
		name    string
		prepare func(g *Gate)
		change  func(d *wire.Dispatch)
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"another agent incarnation", nil, func(d *wire.Dispatch) { d.AgentIncarnation = agentIncarnation - 1 }, fault.StaleIncarnation, fault.NotRun},
		{"no agent incarnation", nil, func(d *wire.Dispatch) { d.AgentIncarnation = 0 }, fault.StaleIncarnation, fault.NotRun},
		{"no index", nil, func(d *wire.Dispatch) { d.Claim.Index = 0 }, fault.BadRequest, fault.NotRun},
		{"another account's claim", nil, func(d *wire.Dispatch) { d.Account = "sajha" }, fault.BadRequest, fault.NotRun},
		{"has run", func(g *Gate) { run(g, done) }, nil, fault.ClaimRefused, fault.Ran},
		{"has run, agent draining", func(g *Gate) { run(g, done); g.SetDraining(true) }, nil, fault.ClaimRefused, fault.Ran},
		{"ended without a response", func(g *Gate) { run(g, Result{}) }, nil, fault.ClaimRefused, fault.Unknown},
		{"is running", func(g *Gate) { g.Admit(t0, booking("first", "k", 5)) }, nil, fault.ClaimRefused, fault.Unknown},
		{"tombstoned", func(g *Gate) { g.QueryClaim(t0, query("k", 5)) }, nil, fault.ClaimRefused, fault.NotRun},
		{"refused by the backend server", func(g *Gate) { run(g, Result{NotRun: true}) }, nil, fault.ClaimRefused, fault.NotRun},
		{"refused during an earlier drain", func(g *Gate) {
			g.SetDraining(true)
			g.Admit(t0, booking("first", "k", 5))
			g.SetDraining(false)
		}, nil, fault.ClaimRefused, fault.NotRun},
		{"removed claim", func(g *Gate) {
			run(g, done)
			g.QueryClaim(t0.Add(time.Hour), query("later", 9))
		}, nil, fault.ClaimRefused, fault.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate("farmdesk", smallLimits())
			if test.prepare != nil {
				test.prepare(g)
			}
			d := booking("second", "k", 5)
			if test.change != nil {
				test.change(d)
			}
			_, err := g.Admit(t0.Add(time.Hour), d)
			is.True(err != nil)
			is.Equal(err.Kind, test.kind)
			is.Equal(err.Outcome, test.outcome)
		})
	}
}

func TestClaimFates(t *testing.T) {
	answer := &wire.StoredAnswer{Status: 201, Body: []byte("booked")}
	for _, test := range []struct {
		name    string
		prepare func(g *Gate)
		change  func(q *wire.ClaimQuery)
		fate    wire.ClaimFate_Fate
		answer  *wire.StoredAnswer
	}{
		{"never seen", nil, nil, wire.ClaimFate_FATE_NEVER_RUN, nil},
		{"another agent incarnation", nil, func(q *wire.ClaimQuery) { q.AgentIncarnation = agentIncarnation - 1 }, wire.ClaimFate_FATE_UNKNOWN, nil},
		{"running", func(g *Gate) { g.Admit(t0, booking("r", "k", 5)) }, nil, wire.ClaimFate_FATE_RUNNING, nil},
		{"done", func(g *Gate) {
			ticket, _ := g.Admit(t0, booking("r", "k", 5))
			g.Finish(t0, ticket, Result{Answer: answer})
		}, nil, wire.ClaimFate_FATE_DONE, answer},
		{"crashed", func(g *Gate) {
			ticket, _ := g.Admit(t0, booking("r", "k", 5))
			g.Finish(t0, ticket, Result{})
		}, nil, wire.ClaimFate_FATE_UNKNOWN, nil},
		{"refused while draining", func(g *Gate) { g.SetDraining(true); g.Admit(t0, booking("r", "k", 5)) }, nil, wire.ClaimFate_FATE_NEVER_RUN, nil},
		{"response dropped to save space", func(g *Gate) {
			for _, index := range []uint64{5, 6} {
				ticket, _ := g.Admit(t0, booking("r", "k", index))
				g.Finish(t0, ticket, Result{Answer: &wire.StoredAnswer{Body: make([]byte, 600)}})
			}
		}, nil, wire.ClaimFate_FATE_UNKNOWN, nil},
		{"removed", func(g *Gate) {
			ticket, _ := g.Admit(t0, booking("r", "k", 5))
			g.Finish(t0, ticket, Result{Answer: answer})
			g.QueryClaim(t0.Add(time.Hour), query("later", 9))
		}, nil, wire.ClaimFate_FATE_UNKNOWN, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := smallLimits()
			limits.MaxAnswerBytes = 1000
			g := newGate("farmdesk", limits)
			if test.prepare != nil {
				test.prepare(g)
			}
			q := query("k", 5)
			if test.change != nil {
				test.change(q)
			}
			fate, err := g.QueryClaim(t0, q)
			is.True(err == nil)
			is.Equal(fate.Fate, test.fate)
			is.Equal(fate.Answer, test.answer)
		})
	}
}

func TestQueryOfAnotherAccountIsRefused(t *testing.T) {
	is := is.New(t)
	g := newGate("farmdesk", smallLimits())
	q := query("k", 5)
	q.Account = "sajha"
	_, err := g.QueryClaim(t0, q)
	is.Equal(err.Kind, fault.BadRequest)
	_, err = g.Admit(t0, booking("r", "k", 5))
	is.True(err == nil) // no tombstone was recorded
}

func TestFullClaimTable(t *testing.T) {
	is := is.New(t)
	limits := smallLimits()
	limits.MaxClaims, limits.MaxRunning = 3, 10
	g := newGate("farmdesk", limits)
	for i := range uint64(3) {
		ticket, err := g.Admit(t0, booking(string(rune('a'+i)), "k", i+1))
		is.True(err == nil)
		g.Finish(t0, ticket, Result{Answer: &wire.StoredAnswer{Status: 200}})
	}
	_, err := g.Admit(t0, booking("x", "k", 4))
	is.Equal(err.Kind, fault.BackendRefused)
	is.Equal(err.Outcome, fault.NotRun)
	_, err = g.Admit(t0.Add(limits.MinClaimRetention), booking("x", "k", 4))
	is.Equal(err.Kind, fault.ClaimRefused) // outcome NotRun was reported and must stay true
	_, err = g.Admit(t0.Add(limits.MinClaimRetention), booking("y", "k", 5))
	is.True(err == nil) // the oldest records were removed
}

// A client account with a steady rate of claims must not reach its limit because of
// old claims. Claims older than MinClaimRetention are removed when the account is
// at its limit.
func TestExpiredClaimsDoNotCountAgainstAccountLimit(t *testing.T) {
	is := is.New(t)
	limits := smallLimits()
	limits.MaxAccountClaims = 10
	g := newGate("farmdesk", limits)
	now := t0
	for i := range uint64(100) {
		now = now.Add(limits.MinClaimRetention / 9)
		ticket, err := g.Admit(now, booking("r", "k", i+1))
		is.True(err == nil)
		g.Finish(now, ticket, Result{Answer: &wire.StoredAnswer{Status: 200}})
	}
	for i := range uint64(10) {
		now = now.Add(time.Second)
		ticket, _ := g.Admit(now, booking("r", "burst", i+101))
		g.Finish(now, ticket, Result{Answer: &wire.StoredAnswer{Status: 200}})
	}
	_, err := g.Admit(now, booking("r", "burst", 111))
	is.Equal(err.Kind, fault.AccountLimit)
	is.Equal(err.Outcome, fault.NotRun)
}

func TestClaimMemoryIsLimited(t *testing.T) {
	is := is.New(t)
	limits := smallLimits()
	limits.MaxClaims = 100
	g := newGate("farmdesk", limits)
	now := t0
	for i := range uint64(10_000) {
		now = now.Add(time.Second)
		ticket, err := g.Admit(now, booking("r", "k", i+1))
		is.True(err == nil)
		g.Finish(now, ticket, Result{Answer: &wire.StoredAnswer{Body: make([]byte, 10)}})
	}
	is.True(g.Status().Claims <= limits.MaxClaims)
	is.True(g.claims.answerBytes <= 10*limits.MaxClaims)
	is.Equal(g.claims.answers.Len(), g.Status().Claims)
	is.Equal(g.claims.perAccount["indus"], g.Status().Claims)
}

func TestOrderFencing(t *testing.T) {
	order := func(id, fencing uint64) *wire.Order {
		return &wire.Order{Id: id, AgentIncarnation: agentIncarnation, Fencing: fencing, Model: "assessor", WeightsVersion: "v3"}
	}
	t.Run("an older token is refused", func(t *testing.T) {
		is := is.New(t)
		g := newGate("", smallLimits())
		run, _ := g.AdmitOrder(order(2, 8))
		is.True(run)
		run, result := g.AdmitOrder(order(1, 7))
		is.True(!run)
		is.True(result != nil && !result.Done)
	})
	t.Run("an order older than an observed token is refused", func(t *testing.T) {
		is := is.New(t)
		g := newGate("", smallLimits())
		g.ObserveFencingToken(9)
		run, _ := g.AdmitOrder(order(1, 8))
		is.True(!run)
	})
	t.Run("a queued order is checked again", func(t *testing.T) {
		is := is.New(t)
		g := newGate("", smallLimits())
		waiting := order(1, 7)
		run, _ := g.AdmitOrder(waiting)
		is.True(run)
		g.ObserveFencingToken(8)
		is.Equal(fault.From(g.CheckFencing(waiting)).Kind, fault.StaleFencing)
	})
	t.Run("an order for another agent incarnation is refused", func(t *testing.T) {
		is := is.New(t)
		g := newGate("", smallLimits())
		o := order(1, 7)
		o.AgentIncarnation = agentIncarnation - 1
		run, result := g.AdmitOrder(o)
		is.True(!run)
		is.True(result != nil && !result.Done)
	})
	t.Run("a resent order returns its first result", func(t *testing.T) {
		is := is.New(t)
		g := newGate("", smallLimits())
		run, _ := g.AdmitOrder(order(1, 7))
		is.True(run)
		run, result := g.AdmitOrder(order(1, 7))
		is.True(!run && result == nil) // still in progress
		g.FinishOrder(&wire.OrderResult{Id: 1, Done: true})
		run, result = g.AdmitOrder(order(1, 7))
		is.True(!run)
		is.True(result.Done)
	})
}

// BenchmarkClaim measures the time per claim and the memory per claim in the table,
// with responses of 200 bytes.
func BenchmarkClaim(b *testing.B) {
	limits := DefaultLimits()
	limits.MaxAccountClaims, limits.MinClaimRetention = limits.MaxClaims, 0
	g := newGate("farmdesk", limits)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	i := uint64(0)
	for b.Loop() {
		i++
		id := strconv.FormatUint(i, 10)
		ticket, err := g.Admit(t0, booking(id, "key-"+id, i))
		if err != nil {
			b.Fatal(err)
		}
		g.Finish(t0, ticket, Result{Answer: &wire.StoredAnswer{Status: 200, Body: make([]byte, 200)}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(g.Status().Claims), "B/claim")
	runtime.KeepAlive(g)
}

// That an engine leaves holds for its incarnation: a late answer of the one before says
// nothing of the next one. A plain service has no incarnation that changes.
func TestLeavingHoldsForOneRun(t *testing.T) {
	is := is.New(t)
	g := newGate("", smallLimits())
	is.True(!g.EngineLeaves(engineIncarnation - 1)) // late
	_, err := g.Admit(t0, chat("r1"))
	is.True(err == nil)
	is.True(g.EngineLeaves(engineIncarnation))
	is.True(!g.EngineLeaves(engineIncarnation)) // told before
	is.True(g.Status().Draining)
	is.True(!g.Status().Leaving) // the agent stays
	g.EngineDown()
	g.EngineUp(engineIncarnation, g.models)
	is.True(g.Status().Draining)
	g.EngineUp(engineIncarnation+1, g.models)
	is.True(!g.Status().Draining)

	plain := newGate("farmdesk", smallLimits())
	is.True(plain.EngineLeaves(engineIncarnation))
	plain.EngineUp(engineIncarnation, nil)
	is.True(plain.Status().Draining)
	plain.EngineDown()
	plain.EngineUp(engineIncarnation, nil)
	is.True(!plain.Status().Draining)
}

// Guards against limits that hold at each router alone: an agent lets through what its backend
// server takes, whoever sends it, and says when to come back.
func TestGateKeepsLimit(t *testing.T) {
	for _, perSecond := range []float64{0.5, 3, 40} {
		is := is.New(t)
		limits := DefaultLimits()
		g := newGate("", limits)
		now := t0
		is.True(g.SetLimit(now, perSecond))
		is.True(!g.SetLimit(now, perSecond)) // news only once
		admitted := 0
		const length = 20 * time.Second
		for i := 0; now.Sub(t0) < length; i++ {
			now = now.Add(5 * time.Millisecond)
			ticket, err := g.Admit(now, chat(strconv.Itoa(i)))
			if err != nil {
				is.Equal(err.Kind, fault.Overloaded)
				is.Equal(err.Outcome, fault.NotRun)
				is.True(err.RetryAfter > 0 && err.RetryAfter <= time.Duration(float64(time.Second)/perSecond)+time.Millisecond)
				continue
			}
			g.Finish(now, ticket, Result{})
			admitted++
		}
		allowed := perSecond * length.Seconds()
		is.True(float64(admitted) <= allowed+1)
		is.True(float64(admitted) >= allowed-1)
		is.True(g.SetLimit(now, 0))
		for i := range 10 {
			_, err := g.Admit(now, chat("after "+strconv.Itoa(i)))
			is.True(err == nil)
		}
	}
}
