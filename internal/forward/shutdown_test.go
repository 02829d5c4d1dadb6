package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
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
		{"a short call", short, 7 * time.Second, 15 * time.Second, true},
		{"a short call at the end", short, 7590 * time.Millisecond, 15 * time.Second, false},
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
			err := g.admit(begin.Add(test.after), g.arrive(begin.Add(test.after)), test.route, test.timeLeft)
			is.Equal(err == nil, test.taken)
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
	entries := memory.New()
	before := log.Log.(*log.Logger).Handler
	log.SetHandler(entries)
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
			for _, e := range slices.Clone(entries.Entries) {
				if e.Message == "call failed" && e.Fields["request"] == id {
					return e
				}
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
