package agent

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

func TestEngineFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   standin.Fault
		stream  bool
		chunks  int
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"crash in mid-stream", standin.Fault{Kind: standin.FaultCrash, After: 5}, true, 5, fault.BackendCrashed, fault.Unknown},
		{"crash before a response that is not streamed", standin.Fault{Kind: standin.FaultCrash, After: 5}, false, 0, fault.BackendCrashed, fault.Unknown},
		{"request that crashes the engine", standin.Fault{Kind: standin.FaultCrashOnText, Text: "clamp"}, true, 0, fault.BackendCrashed, fault.Unknown},
		{"stream cut", standin.Fault{Kind: standin.FaultCut, After: 5}, true, 5, fault.StreamBroken, fault.Unknown},
		{"stream of another request", standin.Fault{Kind: standin.FaultWrongAnswer}, true, 0, fault.StreamBroken, fault.Unknown},
		{"response of another request", standin.Fault{Kind: standin.FaultWrongAnswer}, false, 0, fault.StreamBroken, fault.Unknown},
		{"refusal", standin.Fault{Kind: standin.FaultRefuse}, true, 0, fault.BackendRefused, fault.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, standin.Options{}, nil)
			is.True(h.standin.Inject(test.fault))
			d := chat("r1", "the clamp report", 20, test.stream)
			r, err := h.do(context.Background(), d)
			is.True(err != nil)
			is.Equal(fault.From(err).Kind, test.kind)
			is.Equal(fault.From(err).Outcome, test.outcome)
			is.True(r.end == nil)
			is.True(len(r.chunks) <= test.chunks) // a crash loses bytes in transit
			checkSequence(t, r.chunks, 1)
			is.Equal(streamText(t, r.chunks), expectedOutput(t, d, len(r.chunks))) // nothing of another request
			ran := 1
			if test.outcome == fault.NotRun {
				ran = 0
			}
			is.Equal(h.standin.Counts().Requests["r1"], ran)
			is.Equal(h.agent.Status().Running, 0)
		})
	}
}

// If two suspects ran concurrently, both would be counted as the cause of a crash
// that only one of them causes.
func TestSuspectsRunOneAtATime(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, slowEngine, nil)
	suspect := func(id string, tokens int) *wire.Dispatch {
		d := chat(id, "p", tokens, true)
		d.Suspect = true
		return d
	}
	first := h.open(t, dispatchRequest(suspect("s1", 4000)), &reply{}, 2)
	second, err := h.pool.Open(context.Background(), h.address, dispatchRequest(suspect("s2", 3)))
	is.NoErr(err)
	defer second.Close()
	_, err = second.Recv() // Started: admitted, but not sent to the engine yet
	is.NoErr(err)
	_, err = h.do(context.Background(), chat("r1", "p", 3, true)) // other requests do not wait
	is.NoErr(err)
	is.Equal(h.standin.Counts().Requests["s2"], 0)
	first.Close()
	r := &reply{}
	is.NoErr(r.read(second, allChunks))
	is.True(r.end != nil)
}

// A suspect that waits while another suspect crashes the engine must not be sent to
// the crashing engine, where it would be counted as a cause as well. It must fail
// with outcome NotRun.
func TestSuspectWaitingDuringCrashIsNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{DecodePerToken: 5 * time.Millisecond}, nil)
	is.True(h.standin.Inject(standin.Fault{Kind: standin.FaultCrashOnText, Text: "poison"}))
	waitedDuringCrash := 0 // rounds in which the harmless suspect waited during the crash
	for i := range 20 {
		var warm sync.WaitGroup // creates idle connections that the engine client reuses
		for j := range 4 {
			warm.Go(func() { h.do(context.Background(), chat(fmt.Sprint("w", i, j), "p", 1, true)) })
		}
		warm.Wait()
		old := h.standin.Incarnation()
		suspect := func(name, prompt string, tokens int) *wire.Dispatch {
			d := chat(fmt.Sprint(name, i), prompt, tokens, true)
			d.Suspect = true
			return d
		}
		first := h.open(t, dispatchRequest(suspect("first", "p", 4000)), &reply{}, 1)
		crashing := h.open(t, dispatchRequest(suspect("poison", "poison", 1)), &reply{}, 0)
		_, err := crashing.Recv()
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond) // lets the crashing request run first in most rounds
		harmless, err := h.pool.Open(context.Background(), h.address, dispatchRequest(suspect("harmless", "p", 1)))
		is.NoErr(err)
		_, err = harmless.Recv()
		is.NoErr(err)
		first.Close()
		err = (&reply{}).read(crashing, allChunks)
		if !fault.Is(err, fault.BackendCrashed) {
			t.Fatalf("the crashing request failed with %v", err)
		}
		if err = (&reply{}).read(harmless, allChunks); err != nil {
			waitedDuringCrash++
			is.Equal(fault.From(err).Outcome, fault.NotRun)
		}
		crashing.Close()
		harmless.Close()
		h.waitUp(t, old)
	}
	is.True(waitedDuringCrash > 0)
}

func TestStreamContinuesOnAnotherEngine(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, standin.Options{}, nil)
	second := newHarness(t, standin.Options{}, nil)
	is.True(first.standin.Inject(standin.Fault{Kind: standin.FaultCut, After: 7}))
	d := chat("r1", "the clamp report", 20, true)
	r, err := first.do(context.Background(), d)
	is.True(fault.Is(err, fault.StreamBroken))
	again := chat("r1", "the clamp report", 20, true)
	again.Attempt = 2
	again.ResumeOffset = r.chunks[len(r.chunks)-1].Tokens
	rest, err := second.do(context.Background(), again)
	is.NoErr(err)
	is.Equal(streamText(t, append(r.chunks, rest.chunks...)), expectedOutput(t, d, 20))
	is.Equal(rest.end.Tokens, uint64(20))
}

func TestStaleEngineIncarnationIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, func(c *Config) { c.Timings.HealthInterval = time.Hour })
	old := h.standin.Incarnation()
	h.standin.Crash()
	eventually(t, func() bool { current := h.standin.Incarnation(); return current != 0 && current != old })
	// The agent has not detected the new incarnation yet. The engine must refuse the
	// request without running it.
	d := chat("r1", "p", 3, true)
	d.EngineIncarnation = old
	_, err := h.do(context.Background(), d)
	is.True(fault.Is(err, fault.StaleIncarnation))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	is.Equal(h.standin.Counts().Requests["r1"], 0)
}

func TestFrozenEngineGetsNoRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	is.True(h.standin.Inject(standin.Fault{Kind: standin.FaultFreeze, DurationMS: 2500}))
	eventually(t, func() bool { return !h.agent.Status().Up })
	_, err := h.do(context.Background(), chat("r1", "p", 3, true))
	is.True(fault.Is(err, fault.BackendRefused))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	is.Equal(h.agent.Backend().EngineIncarnation, uint64(0)) // announced as down
	h.waitUp(t, 0)
	_, err = h.do(context.Background(), chat("r2", "p", 3, true))
	is.NoErr(err)
}

func TestStreamOfFrozenEngineTimesOut(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, slowEngine, func(c *Config) { c.Timings.StallTimeout = 100 * time.Millisecond })
	d := chat("r1", "the clamp report", 4000, true)
	r := &reply{}
	s := h.open(t, dispatchRequest(d), r, 3)
	defer s.Close()
	is.True(h.standin.Inject(standin.Fault{Kind: standin.FaultFreeze, DurationMS: 600_000}))
	err := r.read(s, allChunks)
	is.True(fault.Is(err, fault.BackendTimeout))
	is.Equal(fault.From(err).Outcome, fault.Unknown)
	checkSequence(t, r.chunks, 1)
	is.Equal(streamText(t, r.chunks), expectedOutput(t, d, len(r.chunks)))
}

// Guards against streams that have begun and are cut since health checks fail, though nobody else can go on with
// them and their engine goes on after a while.
func TestBegunStreamThatNobodyCanGoOnWithIsKept(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, slowEngine, func(c *Config) { c.Timings.StallTimeout = 100 * time.Millisecond })
	d := chat("r1", "the clamp report", 40, true)
	d.Idempotent = false
	r := &reply{}
	s := h.open(t, dispatchRequest(d), r, 3)
	defer s.Close()
	is.True(h.standin.Inject(standin.Fault{Kind: standin.FaultFreeze, DurationMS: 2500})) // two health checks time out
	eventually(t, func() bool { return !h.agent.Status().Up })
	is.NoErr(r.read(s, allChunks))
	checkSequence(t, r.chunks, 1)
	is.Equal(streamText(t, r.chunks), expectedOutput(t, d, len(r.chunks)))
}

func TestEngineErrorResponseIsForwarded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	d := chat("r1", "p", 3, true)
	d.Body = []byte("{")
	r, err := h.do(context.Background(), d)
	is.NoErr(err)
	is.Equal(r.head.Status, uint32(http.StatusBadRequest))
}

func claimQuery(h *harness, key string, index uint64) *wire.Request {
	return &wire.Request{Body: &wire.Request_ClaimQuery{ClaimQuery: &wire.ClaimQuery{
		Account: "indus", AgentIncarnation: h.agent.Incarnation(), Claim: &wire.ClaimID{Account: "indus", Key: key, Index: index}}}}
}

func (h *harness) fate(t testing.TB, key string, index uint64) *wire.ClaimFate {
	t.Helper()
	resp, err := h.pool.Call(context.Background(), h.address, claimQuery(h, key, index))
	must(t, err)
	return resp.GetClaimFate()
}

func TestConcurrentCopiesOfClaimRunOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{Kind: standin.KindService, Latency: 5 * time.Millisecond}, nil)
	const copies = 20
	var answered sync.Map
	var wait sync.WaitGroup
	for i := range copies {
		wait.Go(func() {
			d := booking(fmt.Sprint("r", i), "k1", 7, "sample 12", h.agent.Incarnation())
			_, err := h.do(context.Background(), d)
			answered.Store(i, err)
		})
	}
	wait.Wait()
	granted := 0
	answered.Range(func(_, err any) bool {
		if err == nil {
			granted++
			return true
		}
		e := fault.From(err.(error))
		is.Equal(e.Kind, fault.ClaimRefused)
		is.True(e.Outcome != fault.NotRun) // it is running or has run
		return true
	})
	is.Equal(granted, 1)
	is.Equal(h.standin.Counts().Bodies["sample 12"], 1)
}

func TestClaimedCallContinuesWithoutRouter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{Kind: standin.KindService, Latency: 300 * time.Millisecond}, func(c *Config) {
		c.Timings.ResumeGrace = 10 * time.Millisecond
	})
	d := booking("r1", "k1", 7, "sample 12", h.agent.Incarnation())
	s, err := h.pool.Open(context.Background(), h.address, dispatchRequest(d))
	is.NoErr(err)
	_, err = s.Recv() // started
	is.NoErr(err)
	s.Close()
	is.Equal(h.fate(t, "k1", 7).Fate, wire.ClaimFate_FATE_RUNNING)
	eventually(t, func() bool { return h.agent.Status().Running == 0 })
	fate := h.fate(t, "k1", 7)
	is.Equal(fate.Fate, wire.ClaimFate_FATE_DONE)
	is.Equal(fate.Answer.Status, uint32(200))
	is.True(len(fate.Answer.Body) > 0)
	is.Equal(h.standin.Counts().Cancelled, 0)
}

func TestClaimFateAfterServiceFailure(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(h *harness)
		fate    wire.ClaimFate_Fate
		runs    int
	}{
		{"crash during the run", func(h *harness) { h.standin.Inject(standin.Fault{Kind: standin.FaultCrash, After: 1}) }, wire.ClaimFate_FATE_UNKNOWN, 1},
		{"not reachable before the run", func(h *harness) { h.standin.Close() }, wire.ClaimFate_FATE_NEVER_RUN, 0},
		{"response of another request", func(h *harness) { h.standin.Inject(standin.Fault{Kind: standin.FaultWrongAnswer}) }, wire.ClaimFate_FATE_UNKNOWN, 1},
		{"error response of the service", func(h *harness) { h.standin.Inject(standin.Fault{Kind: standin.FaultRefuse}) }, wire.ClaimFate_FATE_DONE, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, standin.Options{Kind: standin.KindService}, func(c *Config) { c.Timings.HealthInterval = time.Hour })
			test.prepare(h)
			_, err := h.do(context.Background(), booking("r1", "k1", 7, "sample 12", h.agent.Incarnation()))
			is.Equal(err != nil, test.fate != wire.ClaimFate_FATE_DONE)
			is.Equal(h.fate(t, "k1", 7).Fate, test.fate)
			is.Equal(h.standin.Counts().Bodies["sample 12"], test.runs)
		})
	}
}

func TestTombstonedClaimNeverRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{Kind: standin.KindService}, nil)
	is.Equal(h.fate(t, "k1", 7).Fate, wire.ClaimFate_FATE_NEVER_RUN)
	_, err := h.do(context.Background(), booking("r1", "k1", 7, "sample 12", h.agent.Incarnation()))
	is.True(fault.Is(err, fault.ClaimRefused))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	is.Equal(len(h.standin.Counts().Bodies), 0)
}

func TestDrainRefusesNewAndFinishesRunningRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, slowEngine, nil)
	d := chat("r1", "the clamp report", 60, true)
	r := &reply{}
	s := h.open(t, dispatchRequest(d), r, 2)
	defer s.Close()
	drained := make(chan error, 1)
	go func() { drained <- h.agent.Drain(context.Background()) }()
	eventually(t, func() bool { return h.agent.Status().Leaving })
	_, err := h.do(context.Background(), chat("r2", "p", 3, true))
	is.True(fault.Is(err, fault.Shutdown))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	must(t, r.read(s, allChunks))
	is.Equal(streamText(t, r.chunks), expectedOutput(t, d, 60))
	is.True(r.end != nil)
	is.NoErr(<-drained)
	is.Equal(h.standin.Counts().Requests["r2"], 0)
}

func TestDrainReturnsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, slowEngine, nil)
	s := h.open(t, dispatchRequest(chat("r1", "p", 4000, true)), &reply{}, 1)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(fault.Is(h.agent.Drain(ctx), fault.DeadlineExceeded))
}
