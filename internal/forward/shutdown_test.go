package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/wire"
)

// During a planned stop callers keep their connections and send answers of all lengths.
// A call is taken only if its answer will be complete before the stop ends, and is
// otherwise refused as not run, with the advice to go to another router at once.
func TestStoppingRouterTakesOnlyWhatItCanFinish(t *testing.T) {
	begin := time.Unix(1000, 0)
	const stop, listenerTime = 7600 * time.Millisecond, 2700 * time.Millisecond
	stream := &wire.ForwardRoute{Name: "stream", Stream: true, Resumable: true}
	short := &wire.ForwardRoute{Name: "short"}
	unknown := &wire.ForwardRoute{Name: "unknown"}
	fresh := &wire.ForwardRoute{Name: "fresh", Stream: true, Resumable: true}
	final := &wire.ForwardRoute{Name: "final", Stream: true}
	tests := []struct {
		name     string
		route    *wire.ForwardRoute
		after    time.Duration // since the beginning of the stop
		timeLeft time.Duration
		taken    bool
	}{
		{"a long stream at the beginning", stream, 0, 15 * time.Second, true},
		{"a long stream later", stream, 1700 * time.Millisecond, 15 * time.Second, false},
		{"a long stream with a deadline before the end", stream, 1700 * time.Millisecond, 5 * time.Second, true},
		{"a stream that can't be resumed", final, 0, time.Second, false},
		{"a short call before the listener closes", short, 2690 * time.Millisecond, 15 * time.Second, true},
		{"a short call after that, by its time limit", short, 7 * time.Second, 15 * time.Second, false},
		{"a short call with a time limit before the final answers", short, 7 * time.Second, 300 * time.Millisecond, true},
		{"a short call with a later time limit", short, 7 * time.Second, 310 * time.Millisecond, false},
		{"only short answers are complete yet", fresh, 0, 15 * time.Second, false},
		{"nothing known, by its deadline", unknown, 5 * time.Second, time.Second, true},
		{"nothing known, no deadline before the end", unknown, 0, 15 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newShutdownGuard()
			for i := range 40 {
				g.record("stream", time.Duration(1+i%5)*time.Second)
				g.record("short", time.Duration(10+i)*time.Millisecond)
				g.record("final", time.Millisecond)
			}
			for range durationSamples - 1 {
				g.record("fresh", 50*time.Millisecond)
			}
			is.NoErr(g.admit(begin, g.arrive(begin), test.route, test.timeLeft)) // no stop yet
			g.begin(StopTimes{Began: begin, ListenerCloses: begin.Add(listenerTime), Ends: begin.Add(stop)})
			c := g.arrive(begin.Add(test.after))
			err := g.admit(begin.Add(test.after), c, test.route, test.timeLeft)
			is.Equal(err == nil, test.taken)
			is.Equal(c.admission.After, test.after) // for the log
			is.Equal(c.admission.Left, stop-test.after)
			known := test.route != unknown && test.route != fresh && test.after < listenerTime
			is.Equal(c.admission.Responses, map[bool]int{true: durationSamples}[known])
			is.True(known || c.admission.Predicted == test.timeLeft)
			if err != nil {
				is.Equal(fault.From(err).Outcome, fault.NotRun)
				is.True(fault.From(err).RetryAfter <= shutdownRetryAfter)
			}
		})
	}
}

// Guards against a call that the end of the planned stop cuts being logged, and counted, like one
// whose caller has left.
func TestCallsCutByTheStopAreToldFromThoseLeft(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	failed := map[any]*log.Entry{} // the lines of failed calls by request
	before := log.Log.(*log.Logger).Handler
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		mu.Lock()
		defer mu.Unlock()
		if e.Message == "call failed" {
			failed[e.Fields["request"]] = e
		}
		return nil
	}))
	defer log.SetHandler(before)
	arrived := make(chan struct{}, 3)
	hold := make(chan struct{})
	defer close(hold)
	backend := startBackend(t, func(c net.Conn, r *http.Request) {
		if r.Header.Get("Begin") != "" {
			writeEvents(c, r, 1, 1, false)
		}
		arrived <- struct{}{}
		<-hold
	})
	r := newFixture(t, forwardRoute(func(route *wire.ForwardRoute) {
		setResumableStream(route)
		route.TimeoutMs = 60_000
	}), backend)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewHTTPServer(&http.Server{Handler: r.f}, ln)
	go func() { _ = server.Serve() }()
	send := func(id, begin string) net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: one.example\r\nCall: %s\r\nKey: k\r\nBegin: %s\r\nContent-Length: 0\r\n\r\n", id, begin)
		<-arrived
		if begin != "" { // until the response has begun
			_, err = c.Read(make([]byte, 1))
			is.NoErr(err)
		}
		return c
	}
	ends := time.Now().Add(100 * time.Millisecond)
	left := send("left", "")
	send("waits", "")
	send("begun", "yes")
	r.f.BeginShutdown(StopTimes{Began: time.Now(), ListenerCloses: time.Now(), Ends: ends.Add(time.Hour)})
	left.Close()
	logged := func(id string) *log.Entry {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			mu.Lock()
			e := failed[id]
			mu.Unlock()
			if e != nil {
				return e
			}
		}
		t.Fatal("not logged: ", id)
		return nil
	}
	is.Equal(logged("left").Fields["cut_by"], nil)
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	is.Equal(server.Stop(ctx), error(&daemon.CutError{Requests: 2}))
	is.Equal(r.f.StopCounts(), event.StopCounts{Running: 3, Cut: 2, Left: 1})
	for id, begun := range map[string]bool{"waits": false, "begun": true} {
		e := logged(id)
		is.Equal(e.Fields["cut_by"], "stop")
		is.Equal(e.Fields["begun"], begun)
		is.True(!strings.Contains(fmt.Sprint(e.Fields["error"]), "left"))
	}
}

// Guards against a stopping router that accepts a call after its listener has closed, as the short
// answers of the route were complete, and cuts it: answers get slower from second to second, and the long
// ones fail or still run. The call may take as long as the time that it has left.
func TestPastAnswersAreNoBoundForLaterOnes(t *testing.T) {
	begin := time.Unix(1000, 0)
	const stop, listenerTime, longest = 7600 * time.Millisecond, 2700 * time.Millisecond, 5 * time.Second
	route := &wire.ForwardRoute{Name: "stream", Stream: true, Resumable: true}
	for name, long := range map[string]func(g *shutdownGuard){
		"long ones fail": func(g *shutdownGuard) {
			for range 5 {
				c := g.arrive(begin.Add(-longest - time.Second))
				is.New(t).NoErr(g.admit(begin.Add(-longest-time.Second), c, route, time.Minute))
				g.finish(begin.Add(-time.Second), c, endFailed)
			}
		},
		"long ones still run": func(g *shutdownGuard) {
			is.New(t).NoErr(g.admit(begin.Add(-longest), g.arrive(begin.Add(-longest)), route, time.Minute))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newShutdownGuard()
			for range durationSamples {
				g.record(route.Name, 200*time.Millisecond)
			}
			long(g)
			g.begin(StopTimes{Began: begin, ListenerCloses: begin.Add(listenerTime), Ends: begin.Add(stop)})
			accepted := 0
			for at := time.Duration(0); at < stop; at += 50 * time.Millisecond {
				g.record(route.Name, 200*time.Millisecond+at/4)
				for _, left := range []time.Duration{500 * time.Millisecond, time.Second, 4 * time.Second, 15 * time.Second} {
					takes := left // what the call may take
					if at < listenerTime {
						takes = min(left, longest) // what others are known to have taken
					}
					now := begin.Add(at)
					if g.admit(now, g.arrive(now), route, left) != nil {
						continue
					}
					accepted++
					if at+takes > stop {
						t.Errorf("%v after the beginning a call was accepted that may take %v", at, takes)
					}
				}
			}
			is.True(accepted > 0)
		})
	}
}

// Guards against callers that get a closed connection, or an untrue answer, when the planned stop ends
// before their response has begun: wherever a call waits, its final answer comes shortly before the end, says
// that the call has not run only if no attempt may have run it, and no attempt follows it.
func TestFinalAnswersBeforeTheEndOfTheStop(t *testing.T) {
	hang := func(c net.Conn, r *http.Request) { time.Sleep(2 * time.Second) }
	headOnly := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Call"))
		hang(c, r)
	}
	for name, test := range map[string]struct {
		route   func(*wire.ForwardRoute)
		backend backendScript
		// slowQuota is set if the call waits for units of its account's quota.
		slowQuota bool
		status    int
		// attempts is the number of requests that reach backend servers.
		attempts int32
	}{
		"no response to an idempotent call":   {nil, hang, false, http.StatusBadGateway, 1},
		"no response to an at-most-once call": {setAtMostOnce, hang, false, http.StatusBadGateway, 1},
		"no event of a stream":                {setResumableStream, headOnly, false, http.StatusBadGateway, 1},
		"part of a long response": {nil, func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Call"), 2*maxBufferedBody, strings.Repeat("x", maxBufferedBody/2))
			hang(c, r)
		}, false, http.StatusBadGateway, 1},
		"waiting for the quota": {nil, hang, true, http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			beforeFinal := 150 * time.Millisecond
			if test.slowQuota {
				beforeFinal = quota.NeedTime / 20 // after quota.NeedTime the call has given up its wait
			}
			var attempts atomic.Int32
			arrived := make(chan struct{}, 10)
			script := func(c net.Conn, r *http.Request) {
				attempts.Add(1)
				arrived <- struct{}{}
				test.backend(c, r)
			}
			route := forwardRoute(test.route)
			route.TimeoutMs = 60_000
			backends := []string{startBackend(t, script), startBackend(t, script)}
			source := &fakePermits{}
			r := newFixture(t, route, backends...)
			if test.slowQuota {
				source.delay.Store(int64(2 * time.Second))
				r = newQuotaFixture(t, requestQuota(), source, route, backends...)
			}
			began := make(chan time.Time, 1)
			go func() { // the call arrives before the stop
				if test.slowQuota {
					for !r.f.shutdown.admitted() {
						time.Sleep(time.Millisecond)
					}
				} else {
					<-arrived
				}
				now := time.Now()
				began <- now
				r.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now, Ends: now.Add(beforeFinal + finalAnswerMargin)})
			}()
			status, _, h, err := r.call()
			is.NoErr(err)
			is.Equal(status, test.status)
			took := time.Since(<-began)
			is.True(took >= beforeFinal && took < beforeFinal+finalAnswerMargin)
			if status == http.StatusServiceUnavailable {
				is.Equal(h.Get("Retry-After"), "0.020")
			}
			time.Sleep(100 * time.Millisecond)
			is.Equal(attempts.Load(), test.attempts)
		})
	}
}

// admitted reports whether a call that is running has been admitted.
func (g *shutdownGuard) admitted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if c.route != "" {
			return true
		}
	}
	return false
}

// Guards against a stopping router that leaves a connection open after an answer: each answer of the stop
// says that it is the last one, also to a call that came before the stop, a refusal, and a final answer.
func TestAnswersInTheStopCloseTheirConnections(t *testing.T) {
	for name, test := range map[string]struct {
		takes  time.Duration
		before bool
		// limit is the time from the beginning of the stop to the final answers.
		limit  time.Duration
		status int
	}{
		"came before the stop": {50 * time.Millisecond, true, 10 * time.Second, http.StatusOK},
		"final answer":         {time.Second, true, 150 * time.Millisecond, http.StatusBadGateway},
		"refused":              {0, false, 150 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan struct{}, 10)
			backend := startBackend(t, func(c net.Conn, r *http.Request) {
				arrived <- struct{}{}
				time.Sleep(test.takes)
				writeResponse(c, r, 200, "", "whole")
			})
			r := newFixture(t, forwardRoute(func(route *wire.ForwardRoute) { route.TimeoutMs = 60_000 }), backend)
			stop := func() {
				now := time.Now()
				r.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now, Ends: now.Add(finalAnswerMargin + test.limit)})
			}
			c, err := net.Dial("tcp", r.server.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			if !test.before {
				stop()
			}
			fmt.Fprint(c, "POST /p/x HTTP/1.1\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
			if test.before {
				<-arrived
				stop()
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			is.True(resp.Close)
		})
	}
}

// Guards against streams that are ended with the final answers although their responses have begun.
func TestBegunStreamsGoOnAfterTheFinalAnswers(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	backend := startBackend(t, func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 1, false)
		close(began)
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(c, "f\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n")
	})
	r := newFixture(t, forwardRoute(setResumableStream), backend)
	go func() {
		<-began
		time.Sleep(50 * time.Millisecond)
		now := time.Now() // final answers are due after 50 ms
		r.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now, Ends: now.Add(finalAnswerMargin + 50*time.Millisecond)})
	}()
	status, body, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(strings.Count(body, "data"), 2)
}

// Guards against a new configuration in the middle of a stop that changes what the stop has promised: the
// route of a running call is removed and its timeout changed, and the call keeps its time.
func TestConfigurationInTheStopChangesNoDeadline(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{}, 1)
	backend := startBackend(t, func(c net.Conn, r *http.Request) {
		began <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		writeResponse(c, r, 200, "", "whole")
	})
	route := forwardRoute(nil)
	r := newFixture(t, route, backend)
	now := time.Now()
	r.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now, Ends: now.Add(10 * time.Second)})
	go func() {
		<-began
		r.setRoute(forwardRoute(func(route *wire.ForwardRoute) { route.TimeoutMs = 100 }))
		r.setRoute(forwardRoute(func(route *wire.ForwardRoute) { route.PathPrefix = "/other/" }))
	}()
	status, body, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "whole")
	r.setRoute(forwardRoute(func(route *wire.ForwardRoute) { route.TimeoutMs = 60_000 }))
	status, _, h, err := r.call() // by the time limit that is in force when it comes
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(h.Get("Retry-After"), "0.020")
}
