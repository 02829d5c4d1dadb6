package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// weightsFixture is a forwarder before engines with a model, whose calls must begin within bound on outdated
// weights.
type weightsFixture struct {
	*fixture
	bound time.Duration
	// namedAt is when the newest version was named.
	namedAt time.Time
	engines int
}

func newWeightsFixture(t *testing.T, bound time.Duration, change func(*wire.ForwardRoute), options func(*Options)) *weightsFixture {
	route := forwardRoute(func(r *wire.ForwardRoute) { r.Prompts, r.TimeoutMs, r.ObjectiveMs = true, 8000, 2000; change(r) })
	return &weightsFixture{bound: bound, fixture: newFixtureWith(t, func(o *Options) {
		o.WeightsBound = bound
		if options != nil {
			options(o)
		}
	}, route)}
}

// addEngine puts an engine with a version of the weights into the view.
func (w *weightsFixture) addEngine(version string, script backendScript) {
	w.setEngine(w.engines, version, startBackend(w.t, script))
	w.engines++
}

func (w *weightsFixture) setEngine(i int, version, address string) {
	w.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Member{Member: &wire.Member{State: wire.BackendState_BACKEND_STATE_READY,
		Backend: &wire.Backend{Name: fmt.Sprint("e", i), Address: address, AgentIncarnation: 1, Service: "lab", FailureDomain: "a", MaxRunning: 16,
			Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: version}}}}}})
	w.f.selector.setView(w.log.Snapshot())
}

// name names a version of the weights.
func (w *weightsFixture) name(version uint64) {
	w.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Weights{Weights: &wire.WeightsTarget{Model: "m", Version: version}}})
	w.namedAt = time.Now()
	w.f.selector.setView(w.log.Snapshot())
}

// callModel sends a call for the model.
func (w *weightsFixture) callModel(id string) (status int, body string, h http.Header, err error) {
	return w.call("Call", id, "Model", "m", "Parts", "opening,"+id)
}

// waitingEngine is an engine at which calls wait before they begin. It looks at the connection when a call
// would begin.
type waitingEngine struct {
	// wait is the time that a call waits.
	wait func() time.Duration
	// text is in the data of each event.
	text string
	// deaf keeps the engine from dropping calls whose connection was closed.
	deaf bool

	mu    sync.Mutex
	begun []time.Time
	// dropped holds when connections were closed at which calls waited.
	dropped []time.Time
}

func (e *waitingEngine) serve(c net.Conn, r *http.Request) {
	gone := make(chan struct{})
	go func() { hang(c); close(gone) }()
	wait := time.NewTimer(e.wait())
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-gone:
		e.mu.Lock()
		e.dropped = append(e.dropped, time.Now())
		e.mu.Unlock()
		if !e.deaf {
			return
		}
		<-wait.C
	}
	e.mu.Lock()
	e.begun = append(e.begun, time.Now())
	e.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Call"))
	for i := 1; i <= 3; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, e.text)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

func (e *waitingEngine) counts() (begun, dropped []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun, e.dropped
}

func lasting(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// textEvents returns the events of a waitingEngine.
func textEvents(text string) string {
	return fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\nid: 3\ndata: %s\n\n", text, text, text)
}

func setStream(r *wire.ForwardRoute) { r.Stream = true }

// Guards against a call that begins on outdated weights after the bound, since it waits at an engine for longer than
// was predicted: it is taken back before and answered elsewhere. One that must not run twice ends without a promise
// that it has not run. An engine that goes on with a closed connection can't change the answer.
func TestCallWaitsOnOutdatedWeights(t *testing.T) {
	const bound = 2 * time.Second
	for name, test := range map[string]struct {
		change func(*wire.ForwardRoute)
		deaf   bool
		status int
	}{
		"resumable stream":         {setResumableStream, false, 200},
		"idempotent stream":        {setStream, false, 200},
		"engine ignores the close": {setResumableStream, true, 200},
		"stream at most once":      {func(r *wire.ForwardRoute) { setStream(r); setAtMostOnce(r) }, false, 502},
		"one attempt":              {func(r *wire.ForwardRoute) { setStream(r); r.Attempts = 1 }, false, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWeightsFixture(t, bound, test.change, nil)
			old := &waitingEngine{wait: lasting(bound + 500*time.Millisecond), text: "old", deaf: test.deaf}
			current := &waitingEngine{wait: lasting(0), text: "new"}
			w.addEngine("1", old.serve)
			w.name(2)
			time.AfterFunc(500*time.Millisecond, func() { w.addEngine("2", current.serve) })
			status, body, h, err := w.callModel("c1")
			took := time.Since(w.namedAt)
			is.NoErr(err)
			is.Equal(status, test.status)
			is.True(took < bound)
			is.True(took > bound/2) // the wait is not cut earlier than needed
			time.Sleep(time.Until(w.namedAt.Add(bound + time.Second)))
			begun, dropped := old.counts()
			is.Equal(len(dropped), 1)
			is.True(dropped[0].Sub(w.namedAt) < bound)
			is.Equal(len(begun) > 0, test.deaf)
			again, _ := current.counts()
			if test.status == 200 {
				is.Equal(body, textEvents("new"))
				is.Equal(len(again), 1)
			} else {
				is.Equal(len(again), 0)
				is.Equal(h.Get("Retry-After"), "")
			}
			is.Equal(w.f.selector.running(), 0)
		})
	}
}

// Guards against retries that are used up for calls which no engine can take, and are missing for others.
func TestCallThatNoEngineCanTakeUsesNoRetry(t *testing.T) {
	const bound = time.Second
	for name, test := range map[string]struct {
		newest  string
		retries int
		status  int
	}{
		"all engines on old weights": {"1", 0, 502},
		"one on new weights":         {"2", 1, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWeightsFixture(t, bound, setResumableStream, nil)
			old := &waitingEngine{wait: lasting(2 * bound), text: "old"}
			other := &waitingEngine{wait: lasting(0), text: "new"}
			w.addEngine("1", old.serve)
			w.name(2)
			time.AfterFunc(bound/4, func() { w.addEngine(test.newest, other.serve) })
			status, _, _, err := w.callModel("c1")
			is.NoErr(err)
			is.Equal(status, test.status)
			w.f.selector.mu.Lock()
			defer w.f.selector.mu.Unlock()
			retries := 0
			for _, n := range w.f.selector.budgetFor("lab").retries {
				retries += n
			}
			is.Equal(retries, test.retries)
		})
	}
}

// Guards against an answer that is delivered and taken back at once, so that its caller gets parts of two answers,
// or none: first events arrive within milliseconds of the time at which calls are taken back.
func TestFirstEventRightAtTheBound(t *testing.T) {
	const bound, rounds = time.Second, 24
	is := is.New(t)
	var ran atomic.Int32
	var wg sync.WaitGroup
	var fromOld, fromNew atomic.Int32
	for i := range rounds {
		k := i - rounds/2
		offset := time.Duration(k*max(k, -k)) * time.Millisecond / 2 // most are near, and some surely before and after
		wg.Go(func() {
			w := newWeightsFixture(t, bound, setResumableStream, nil)
			var old, current *waitingEngine
			old = &waitingEngine{text: "old", wait: func() time.Duration {
				return time.Until(w.namedAt.Add(bound - routing.TakeBackMargin + offset))
			}}
			current = &waitingEngine{wait: lasting(0), text: "new"}
			w.addEngine("1", old.serve)
			w.name(2)
			time.AfterFunc(200*time.Millisecond, func() { w.addEngine("2", current.serve) })
			status, body, _, err := w.callModel("c1")
			if err != nil || status != 200 {
				t.Errorf("round %d: status %d, %v", i, status, err)
				return
			}
			again, _ := current.counts()
			ran.Add(int32(len(again)))
			switch {
			case body == textEvents("old") && len(again) == 0:
				fromOld.Add(1)
			case body == textEvents("new") && len(again) == 1:
				fromNew.Add(1)
			default:
				t.Errorf("round %d: %d runs at the new engine, body %q", i, len(again), body)
			}
		})
	}
	wg.Wait()
	t.Logf("%d from the old engine, %d from the new one", fromOld.Load(), fromNew.Load())
	is.True(fromOld.Load() > 0 && fromNew.Load() > 0)
}

// Guards against calls that begin late because the prediction of waits is wrong by a factor of ten: engines with
// outdated weights become slow while calls keep coming. All calls are answered by the one with new weights.
func TestNoneBeginsLateWhereWaitsGrow(t *testing.T) {
	const bound = 2 * time.Second
	is := is.New(t)
	// The budget allows each call a retry: the engines' answers are what is tested.
	w := newWeightsFixture(t, bound, setResumableStream, func(o *Options) { o.Budget.ExtraRetries, o.Budget.Routers = 1000, 1 })
	grow := func() time.Duration {
		if time.Since(w.namedAt) < bound/4 {
			return 20 * time.Millisecond
		}
		return 10 * time.Duration(time.Since(w.namedAt)) / 4
	}
	var old []*waitingEngine
	for range 3 {
		e := &waitingEngine{wait: grow, text: "old"}
		old = append(old, e)
		w.addEngine("1", e.serve)
	}
	w.addEngine("2", (&waitingEngine{wait: lasting(10 * time.Millisecond), text: "new"}).serve)
	w.name(2)
	var wg sync.WaitGroup
	var served, failed atomic.Int32
	for i := 0; time.Since(w.namedAt) < bound; i++ {
		wg.Go(func() {
			if status, body, _, _ := w.callModel(fmt.Sprint("c", i)); status == 200 && (body == textEvents("old") || body == textEvents("new")) {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Until(w.namedAt.Add(bound + bound*10/4)))
	early, late, taken := 0, 0, 0
	for _, e := range old {
		begun, dropped := e.counts()
		taken += len(dropped)
		for _, at := range begun {
			if at.Sub(w.namedAt) > bound {
				late++
			} else {
				early++
			}
		}
	}
	t.Logf("%d served, %d failed; at outdated engines %d began in time, %d late, %d were taken back", served.Load(), failed.Load(), early, late, taken)
	is.Equal(late, 0)
	is.True(taken > 0 && early > 0)
	is.Equal(failed.Load(), int32(0))
}

// Guards against calls that wait on the newest weights until these are outdated for longer than the bound.
func TestNewerWeightsAreNamedWhileACallWaits(t *testing.T) {
	const bound = time.Second
	is := is.New(t)
	w := newWeightsFixture(t, bound, setResumableStream, nil)
	old, current := &waitingEngine{wait: lasting(2 * bound), text: "old"}, &waitingEngine{wait: lasting(0), text: "new"}
	w.addEngine("1", old.serve)
	w.name(1)
	time.AfterFunc(200*time.Millisecond, func() {
		w.name(2)
		w.addEngine("2", current.serve)
	})
	status, body, _, err := w.callModel("c1")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, textEvents("new"))
	_, dropped := old.counts()
	is.Equal(len(dropped), 1)
	is.True(dropped[0].Sub(w.namedAt) < bound)
}

// Guards against a stream that goes on at an engine with outdated weights and begins there late: the rest is a new
// run.
func TestContinuedStreamWaitsOnOutdatedWeights(t *testing.T) {
	const bound = 2 * time.Second
	is := is.New(t)
	w := newWeightsFixture(t, bound, func(r *wire.ForwardRoute) { setResumableStream(r); r.Attempts = 3 }, nil)
	old := &waitingEngine{wait: lasting(2 * bound), text: "old"}
	begun := make(chan struct{})
	w.addEngine("1", func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 3, false)
		close(begun)
		time.Sleep(300 * time.Millisecond)
	})
	w.name(2)
	go func() {
		<-begun
		w.addEngine("1", old.serve)
		time.Sleep(800 * time.Millisecond)
		w.addEngine("2", func(c net.Conn, r *http.Request) { writeEvents(c, r, 4, 5, true) })
	}()
	status, body, _, err := w.callModel("c1")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, eventsText(1, 5))
	time.Sleep(50 * time.Millisecond)
	late, dropped := old.counts()
	is.Equal(len(late), 0)
	is.Equal(len(dropped), 1)
	is.True(dropped[0].Sub(w.namedAt) < bound)
}

// delayDialect moves the clock of the selector when an attempt is prepared.
type delayDialect struct {
	testDialect
	delay func()
}

func (d delayDialect) PrepareAttempt(h http.Header, a *Attempt) {
	d.delay()
	d.testDialect.PrepareAttempt(h, a)
}

// Guards against a call that goes out on a choice that was made in time, but is not any more when there is a
// connection. It is refused as not run, with a time to come back.
func TestCallThatIsSentLate(t *testing.T) {
	const bound = 2 * time.Second
	is := is.New(t)
	var moved atomic.Int64
	w := newWeightsFixture(t, bound, setResumableStream, func(o *Options) {
		o.Dialect = delayDialect{delay: func() { moved.Store(int64(1500 * time.Millisecond)) }}
	})
	clock := w.f.selector.clock
	w.f.selector.mu.Lock()
	w.f.selector.clock = func() time.Time { return clock().Add(time.Duration(moved.Load())) }
	w.f.selector.mu.Unlock()
	var sent atomic.Int32
	w.addEngine("1", func(c net.Conn, r *http.Request) { sent.Add(1); writeEvents(c, r, 1, 3, true) })
	w.name(2)
	time.Sleep(300 * time.Millisecond)
	status, _, h, err := w.callModel("c1")
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(h.Get("Retry-After") >= "1")
	is.Equal(sent.Load(), int32(0))
}

// Guards against calls that wait for an engine with new weights until their deadline: they are refused at once.
func TestAllWeightsAreOutdated(t *testing.T) {
	const bound = 500 * time.Millisecond
	is := is.New(t)
	w := newWeightsFixture(t, bound, setResumableStream, nil)
	var sent atomic.Int32
	for range 2 {
		w.addEngine("1", func(c net.Conn, r *http.Request) { sent.Add(1); _, _ = io.WriteString(c, "x") })
	}
	w.name(2)
	for _, wait := range []time.Duration{bound / 2, bound} {
		time.Sleep(time.Until(w.namedAt.Add(wait)))
		began := time.Now()
		status, _, h, err := w.callModel("c1")
		is.NoErr(err)
		is.Equal(status, 503)
		is.True(h.Get("Retry-After") >= "1")
		is.True(time.Since(began) < 200*time.Millisecond)
	}
	is.Equal(sent.Load(), int32(0))
}

// Guards against a running call that is ended since newer weights were named meanwhile: a response that is no stream
// does not show that it has begun.
func TestNewerWeightsAreNamedWhileACallRuns(t *testing.T) {
	const bound = time.Second
	is := is.New(t)
	w := newWeightsFixture(t, bound, setAtMostOnce, nil)
	w.addEngine("1", func(c net.Conn, r *http.Request) {
		time.Sleep(2 * bound)
		writeResponse(c, r, 200, "", "whole")
	})
	w.name(1)
	time.AfterFunc(200*time.Millisecond, func() { w.name(2) })
	status, body, _, err := w.callModel("c1")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "whole")
}

// Guards against calls that name no model and begin on outdated weights after the bound, where only the engines tell
// which model they hold: sent after the bound, or sent before and waiting until after it.
func TestCallWithoutAModelKeepsTheBound(t *testing.T) {
	is := is.New(t)
	const bound = 2 * time.Second
	w := newWeightsFixture(t, bound, setStream, nil)
	old := &waitingEngine{wait: lasting(bound + 500*time.Millisecond), text: "old"}
	current := &waitingEngine{wait: lasting(0), text: "new"}
	w.addEngine("1", old.serve)
	w.name(2)
	time.AfterFunc(500*time.Millisecond, func() { w.addEngine("2", current.serve) })
	status, body, _, err := w.call("Call", "c1", "Parts", "opening,c1")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, textEvents("new"))
	time.Sleep(time.Until(w.namedAt.Add(bound)))
	for i := range 8 {
		id := fmt.Sprint("d", i)
		_, body, _, err = w.call("Call", id, "Parts", "opening,"+id)
		is.NoErr(err)
		is.Equal(body, textEvents("new"))
	}
	begun, dropped := old.counts()
	is.Equal(len(begun), 0)
	is.Equal(len(dropped), 1)
}
