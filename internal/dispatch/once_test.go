package dispatch

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/once"
	"parsleypulley/internal/wire"
)

// agentLife is a backend server's agent as the once machine needs it: it runs a
// claim once, and a claim that it was asked about before never.
type agentLife struct {
	incarnation uint64
	ran         map[uint64]bool
	tombstones  map[uint64]bool
	reachable   bool
}

// onceWorld delivers the actions of several calls with one key in random order,
// losing and repeating messages.
type onceWorld struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	table    *once.Table
	index    uint64
	agents   map[string]*agentLife
	calls    []*OnceMachine
	queue    []func()
	runs     int
	answers  []string
	failures []*fault.Error
}

func (w *onceWorld) later(f func()) { w.queue = append(w.queue, f) }

func (w *onceWorld) perform(i int, actions []OnceAction) {
	step := func(ev OnceEvent) { w.perform(i, w.calls[i].Step(w.now, ev)) }
	for _, action := range actions {
		switch a := action.(type) {
		case Claim:
			w.later(func() { step(w.claim(i, a.Exclude)) })
		case Lookup:
			w.later(func() { step(w.lookup()) })
		case DispatchClaim:
			w.later(func() { w.dispatch(a.Record, step) })
		case QueryClaim:
			w.later(func() { step(w.query(a.Record)) })
		case FinishClaim:
			w.later(func() { step(w.finish(a.Finish)) })
		case AnswerCall:
			w.answers = append(w.answers, string(a.Answer.Body))
		case FailCall:
			w.failures = append(w.failures, a.Err)
			if a.Err.Outcome == fault.NotRun && w.runs > 0 {
				w.t.Fatalf("a caller heard not_run (%v) after the call ran", a.Err)
			}
		case WakeAt:
			w.later(func() { w.now = w.now.Add(time.Second); step(Tick{}) })
		}
	}
}

func (w *onceWorld) claim(i int, exclude []string) OnceEvent {
	for _, name := range []string{backendA, backendB} {
		if slices.Contains(exclude, name) || !w.agents[name].reachable {
			continue
		}
		w.index++
		claim := &wire.OnceClaim{Account: "acc", Key: "k", RequestSha256: make([]byte, sha256.Size), Backend: name,
			AgentIncarnation: w.agents[name].incarnation, Router: fmt.Sprint(i)}
		result := w.table.Claim(w.index, w.now.UnixMilli(), claim)
		if w.rng.IntN(4) == 0 { // the answer was lost: the client asks again
			w.index++
			result = w.table.Claim(w.index, w.now.UnixMilli(), claim)
		}
		return Claimed{Result: result}
	}
	record := w.table.Lookup(w.now.UnixMilli(), once.Key{Account: "acc", Key: "k"})
	return NoBackend{Record: record, Err: fault.New(fault.NoBackend, fault.NotRun, "none")}
}

func (w *onceWorld) lookup() OnceEvent {
	record := w.table.Lookup(w.now.UnixMilli(), once.Key{Account: "acc", Key: "k"})
	if record == nil {
		record = &wire.OnceRecord{State: wire.OnceRecord_STATE_NOT_RUN}
	}
	return Claimed{Result: &wire.OnceResult{Status: wire.OnceResult_STATUS_EXISTS, Record: record}}
}

// dispatch runs the claim at its agent, at once or late; the answer may be lost.
func (w *onceWorld) dispatch(record *wire.OnceRecord, step func(OnceEvent)) {
	if w.rng.IntN(6) == 0 {
		step(DispatchFailed{fault.New(fault.LinkDown, fault.NotRun, "not sent")})
		return
	}
	agent, index := w.agents[record.Backend], record.Id.Index
	run := func() bool {
		if agent.incarnation != record.AgentIncarnation || agent.ran[index] || agent.tombstones[index] || !agent.reachable {
			return false
		}
		agent.ran[index] = true
		w.runs++
		return true
	}
	switch w.rng.IntN(3) {
	case 0: // the link breaks; the message arrives later
		w.later(func() { run() })
		step(DispatchFailed{fault.New(fault.LinkDown, fault.Unknown, "link lost")})
	case 1: // it ran, the answer was lost
		run()
		step(DispatchFailed{fault.New(fault.LinkDown, fault.Unknown, "link lost")})
	default:
		if !run() {
			step(DispatchFailed{fault.New(fault.ClaimRefused, fault.NotRun, "refused")})
			return
		}
		step(AnswerReceived{&wire.StoredAnswer{Status: 200, Body: []byte("booked")}})
	}
}

func (w *onceWorld) query(record *wire.OnceRecord) OnceEvent {
	agent, index := w.agents[record.Backend], record.Id.Index
	switch {
	case agent.incarnation != record.AgentIncarnation:
		return IncarnationEnded{}
	case !agent.reachable:
		agent.reachable = true
		return ClaimQueried{Err: fault.New(fault.LinkDown, fault.Unknown, "cut")}
	case agent.ran[index]:
		return ClaimQueried{Fate: &wire.ClaimFate{Fate: wire.ClaimFate_FATE_DONE, Answer: &wire.StoredAnswer{Status: 200, Body: []byte("booked")}}}
	}
	agent.tombstones[index] = true
	return ClaimQueried{Fate: &wire.ClaimFate{Fate: wire.ClaimFate_FATE_NEVER_RUN}}
}

func (w *onceWorld) finish(finish *wire.OnceFinish) OnceEvent {
	result := w.table.Finish(w.now.UnixMilli(), finish)
	if w.rng.IntN(4) == 0 {
		result = w.table.Finish(w.now.UnixMilli(), finish)
	}
	return ClaimFinished{Result: result}
}

// fault brings about a restart or a cut of an agent.
func (w *onceWorld) fault() {
	agent := w.agents[[]string{backendA, backendB}[w.rng.IntN(2)]]
	switch w.rng.IntN(12) {
	case 0:
		agent.incarnation++
		agent.ran, agent.tombstones = map[uint64]bool{}, map[uint64]bool{}
	case 1:
		agent.reachable = false
	}
}

// A call whose agent dies while it may have run stays unknown; it must not run
// again. So at most one run is allowed over all lives of all agents.
func TestCallsWithOneKeyRunAtMostOnce(t *testing.T) {
	const schedules = 20_000
	answered, unknown := 0, 0
	for seed := range uint64(schedules) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := &onceWorld{t: t, rng: rng, now: start, table: once.NewTable(once.DefaultLimits()), agents: map[string]*agentLife{}}
		for _, name := range []string{backendA, backendB} {
			w.agents[name] = &agentLife{incarnation: 1, ran: map[uint64]bool{}, tombstones: map[uint64]bool{}, reachable: true}
		}
		for i := range 3 { // one call and two resends through other routers
			m := NewOnce(OnceRequest{Owner: fmt.Sprint(i), Deadline: start.Add(time.Minute)}, "acc", NewBudget(10))
			w.calls = append(w.calls, m)
			w.later(func() { w.perform(i, m.Start()) })
		}
		for step := 0; len(w.queue) > 0; step++ {
			if step > 1000 {
				t.Fatalf("seed %d: the calls don't end", seed)
			}
			i := rng.IntN(len(w.queue))
			next := w.queue[i]
			w.queue = slices.Delete(w.queue, i, i+1)
			w.fault()
			next()
		}
		if w.runs > 1 {
			t.Fatalf("seed %d: the call ran %d times", seed, w.runs)
		}
		if len(w.answers) > 0 && w.runs != 1 {
			t.Fatalf("seed %d: an answer without a run", seed)
		}
		answered += len(w.answers)
		for _, f := range w.failures {
			if f.Outcome != fault.NotRun {
				unknown++
			}
		}
	}
	is := is.New(t)
	is.True(answered > schedules) // the schedules reach answers ...
	is.True(unknown > 0)          // ... and outcomes in doubt
}
