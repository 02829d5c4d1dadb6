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

// simulatedAgent models the agent of a backend server. It runs each claim at most
// once, and never runs a claim for which it has answered a query with "never run".
type simulatedAgent struct {
	incarnation uint64
	// ran holds the indexes of the claims that ran.
	ran map[uint64]bool
	// tombstones holds the indexes of the claims that must not run any more.
	tombstones map[uint64]bool
	reachable  bool
}

// callSimulation carries out the actions of several calls with the same key in
// random order. It loses and repeats some messages.
type callSimulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	table    *once.Table
	index    uint64
	agents   map[string]*simulatedAgent
	calls    []*OnceMachine
	queue    []func()
	runCount int
	answers  []string
	failures []*fault.Error
}

func (s *callSimulation) enqueue(f func()) { s.queue = append(s.queue, f) }

func (s *callSimulation) perform(i int, actions []OnceAction) {
	step := func(ev OnceEvent) { s.perform(i, s.calls[i].Step(s.now, ev)) }
	for _, action := range actions {
		switch a := action.(type) {
		case Claim:
			s.enqueue(func() { step(s.claim(i, a.Exclude)) })
		case Lookup:
			s.enqueue(func() { step(s.lookup()) })
		case DispatchClaim:
			s.enqueue(func() { s.dispatch(a.Record, step) })
		case QueryClaim:
			s.enqueue(func() { step(s.query(a.Record)) })
		case FinishClaim:
			s.enqueue(func() { step(s.finish(a.Finish)) })
		case AnswerCall:
			s.answers = append(s.answers, string(a.Answer.Body))
		case FailCall:
			s.failures = append(s.failures, a.Err)
			if a.Err.Outcome == fault.NotRun && s.runCount > 0 {
				s.t.Fatalf("a caller received not_run (%v) although the call ran", a.Err)
			}
		case WakeAt:
			s.enqueue(func() { s.now = s.now.Add(time.Second); step(Tick{}) })
		}
	}
}

func (s *callSimulation) claim(i int, exclude []string) OnceEvent {
	for _, name := range []string{backendA, backendB} {
		if slices.Contains(exclude, name) || !s.agents[name].reachable {
			continue
		}
		s.index++
		claim := &wire.OnceClaim{Account: "acc", Key: "k", RequestSha256: make([]byte, sha256.Size), Backend: name,
			AgentIncarnation: s.agents[name].incarnation, Router: fmt.Sprint(i)}
		result := s.table.Claim(s.index, s.now.UnixMilli(), claim)
		if s.rng.IntN(4) == 0 { // the reply was lost and the client proposes again
			s.index++
			result = s.table.Claim(s.index, s.now.UnixMilli(), claim)
		}
		return Claimed{Result: result}
	}
	record := s.table.Lookup(s.now.UnixMilli(), once.Key{Account: "acc", Key: "k"})
	return NoBackend{Record: record, Err: fault.New(fault.NoBackend, fault.NotRun, "none")}
}

func (s *callSimulation) lookup() OnceEvent {
	record := s.table.Lookup(s.now.UnixMilli(), once.Key{Account: "acc", Key: "k"})
	if record == nil {
		record = &wire.OnceRecord{State: wire.OnceRecord_STATE_NOT_RUN}
	}
	return Claimed{Result: &wire.OnceResult{Status: wire.OnceResult_STATUS_EXISTS, Record: record}}
}

// dispatch runs the claim on its agent, immediately or later. The response may be
// lost.
func (s *callSimulation) dispatch(record *wire.OnceRecord, step func(OnceEvent)) {
	if s.rng.IntN(6) == 0 {
		step(DispatchFailed{fault.New(fault.LinkDown, fault.NotRun, "not sent")})
		return
	}
	agent, index := s.agents[record.Backend], record.Id.Index
	run := func() bool {
		if agent.incarnation != record.AgentIncarnation || agent.ran[index] || agent.tombstones[index] || !agent.reachable {
			return false
		}
		agent.ran[index] = true
		s.runCount++
		return true
	}
	switch s.rng.IntN(3) {
	case 0: // the link breaks and the agent handles the message later
		s.enqueue(func() { run() })
		step(DispatchFailed{fault.New(fault.LinkDown, fault.Unknown, "link lost")})
	case 1: // the call runs and its response is lost
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

func (s *callSimulation) query(record *wire.OnceRecord) OnceEvent {
	agent, index := s.agents[record.Backend], record.Id.Index
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

func (s *callSimulation) finish(finish *wire.OnceFinish) OnceEvent {
	result := s.table.Finish(s.now.UnixMilli(), finish)
	if s.rng.IntN(4) == 0 {
		result = s.table.Finish(s.now.UnixMilli(), finish)
	}
	return ClaimFinished{Result: result}
}

// fault restarts or disconnects an agent at random.
func (s *callSimulation) fault() {
	agent := s.agents[[]string{backendA, backendB}[s.rng.IntN(2)]]
	switch s.rng.IntN(12) {
	case 0:
		agent.incarnation++
		agent.ran, agent.tombstones = map[uint64]bool{}, map[uint64]bool{}
	case 1:
		agent.reachable = false
	}
}

// TestCallsWithOneKeyRunAtMostOnce guards against a second run of a call after its
// agent restarted. The outcome of such a call stays unknown and the call must not
// run again, so at most one run is allowed over all incarnations of all agents.
func TestCallsWithOneKeyRunAtMostOnce(t *testing.T) {
	const schedules = 20_000
	answered, unknown := 0, 0
	for seed := range uint64(schedules) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sim := &callSimulation{t: t, rng: rng, now: start, table: once.NewTable(once.DefaultLimits()), agents: map[string]*simulatedAgent{}}
		for _, name := range []string{backendA, backendB} {
			sim.agents[name] = &simulatedAgent{incarnation: 1, ran: map[uint64]bool{}, tombstones: map[uint64]bool{}, reachable: true}
		}
		for i := range 3 { // one call and two resends through other routers
			m := NewOnce(OnceRequest{Owner: fmt.Sprint(i), Deadline: start.Add(time.Minute)}, "acc", NewBudget(10))
			sim.calls = append(sim.calls, m)
			sim.enqueue(func() { sim.perform(i, m.Start()) })
		}
		for step := 0; len(sim.queue) > 0; step++ {
			if step > 1000 {
				t.Fatalf("seed %d: the calls did not end within 1000 steps", seed)
			}
			i := rng.IntN(len(sim.queue))
			next := sim.queue[i]
			sim.queue = slices.Delete(sim.queue, i, i+1)
			sim.fault()
			next()
		}
		if sim.runCount > 1 {
			t.Fatalf("seed %d: the call ran %d times", seed, sim.runCount)
		}
		if len(sim.answers) > 0 && sim.runCount != 1 {
			t.Fatalf("seed %d: a caller received a response but the call did not run once", seed)
		}
		answered += len(sim.answers)
		for _, f := range sim.failures {
			if f.Outcome != fault.NotRun {
				unknown++
			}
		}
	}
	is := is.New(t)
	is.True(answered > schedules) // the schedules cover responses
	is.True(unknown > 0)          // and unknown outcomes
}

// At-most-once calls got no second attempt any more once a backend server had refused 32
// of them, however many it had run meanwhile.
func TestRetriesOfOnceCallsAreCreditedByCalls(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(10)
	now := time.Unix(1000, 0)
	record := &wire.OnceRecord{Backend: "farmdesk-0", State: wire.OnceRecord_STATE_CLAIMED}
	granted := Claimed{Result: &wire.OnceResult{Status: wire.OnceResult_STATUS_GRANTED, Record: record}}
	retries, refusals := 0, 0
	for i := range 2000 {
		m := NewOnce(OnceRequest{Owner: "o", Deadline: now.Add(time.Minute)}, "indus", budget)
		m.Start()
		m.Step(now, granted)
		if i%20 > 0 {
			continue // this call runs
		}
		refusals++
		m.Step(now, DispatchFailed{Err: fault.New(fault.BackendRefused, fault.NotRun, "full")})
		ended := &wire.OnceRecord{Backend: "farmdesk-0", State: wire.OnceRecord_STATE_NOT_RUN}
		for _, a := range m.Step(now, ClaimFinished{Result: &wire.OnceResult{Status: wire.OnceResult_STATUS_GRANTED, Record: ended}}) {
			if _, ok := a.(Claim); ok {
				retries++
			}
		}
	}
	is.Equal(retries, refusals) // one call in twenty is refused, one retry in ten calls is allowed
}
