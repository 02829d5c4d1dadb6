package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/reach"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// checkDialer is the dialer of checks. Connections to dark addresses hang.
type checkDialer struct {
	mu    sync.Mutex
	dark  map[string]bool
	dials map[string]int
}

func newCheckDialer(dark ...string) *checkDialer {
	d := &checkDialer{dark: map[string]bool{}, dials: map[string]int{}}
	for _, address := range dark {
		d.dark[address] = true
	}
	return d
}

func (d *checkDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	d.dials[address]++
	dark := d.dark[address]
	d.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (d *checkDialer) setDark(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dark[address] = true
}

func (d *checkDialer) count(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials[address]
}

// fakeUnreachables records the backend servers that are reported as unreachable.
type fakeUnreachables struct {
	mu    sync.Mutex
	names []string
	// reportedOnce is called after the first report; it may be nil.
	reportedOnce func(server *wire.UnreachableServer)
}

func (f *fakeUnreachables) ReportUnreachable(_ context.Context, server *wire.UnreachableServer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = append(f.names, server.GetBackend())
	if len(f.names) == 1 && f.reportedOnce != nil {
		f.reportedOnce(server)
	}
	return nil
}

func (f *fakeUnreachables) reported() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.names, ",")
}

// probesEnd is the time within which the kernel's probes end a connection to a machine that is gone, and
// probesSpare is allowed besides: each of the kernel's three timers of a second may be a quarter late.
const (
	probesEnd   = keepAliveIdle + keepAliveProbes*keepAliveInterval
	probesSpare = 2 * time.Second
)

// hang waits until the peer closes the connection.
func hang(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// eventsText returns the events that writeEvents writes.
func eventsText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// Guards against calls that wait for a server that is gone or stalled, streams that are cut
// though they are sound, and events that are delivered twice. The first attempt goes to a server
// that does what the case says, the others to sound ones. No case takes longer than limit.
func TestSilentServers(t *testing.T) {
	chunk := func(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
	// send sends parts of a stream at intervals, until the connection ends.
	send := func(interval time.Duration, parts ...string) backendScript {
		return func(c net.Conn, r *http.Request) {
			writeEvents(c, r, 1, 3, false)
			for i := 0; ; i++ {
				time.Sleep(interval)
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(parts[i%len(parts)]), parts[i%len(parts)]); err != nil {
					return
				}
			}
		}
	}
	known := func(f *Forwarder) {
		f.silence.pauses.of("r").recordPauses(time.Now(), 20*time.Millisecond, minPauses)
	}
	long := func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 }
	stopAfter := func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false); hang(c) }
	mute := func(c net.Conn, r *http.Request) { hang(c) }
	for name, test := range map[string]struct {
		route func(*wire.ForwardRoute)
		// prepare changes the forwarder before the call; it may be nil.
		prepare func(*Forwarder)
		first   backendScript
		dark    bool
		status  int
		body    string
		limit   time.Duration
		// attempts is the number of attempts that reach a server.
		attempts int32
	}{
		"dark during a stream":     {long, nil, stopAfter, true, 200, eventsText(1, 5), 1400 * time.Millisecond, 2},
		"dark before the response": {nil, nil, mute, true, 200, "whole", 1400 * time.Millisecond, 2},
		"dark, may run once":       {setAtMostOnce, nil, mute, true, 502, "", 1400 * time.Millisecond, 1},
		"dark, stream not resumable": {func(r *wire.ForwardRoute) { long(r); r.Resumable = false }, nil, func(c net.Conn, r *http.Request) {
			writeEvents(c, r, 1, 3, false)
			time.Sleep(100 * time.Millisecond) // they are acknowledged
			goDark(t, c.(*net.TCPConn))
			_ = c.SetDeadline(time.Now().Add(2 * probesEnd))
			hang(c)
		}, true, 0, "", probesEnd + probesSpare, 1},
		"dark in the middle of a body": {nil, nil, func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: c1\r\nSigned: yes\r\nContent-Length: 9\r\n\r\npart")
			hang(c)
		}, true, 200, "whole", 1400 * time.Millisecond, 2},
		"mute from the start of a stream": {setResumableStream, nil, mute, false, 200, eventsText(1, 5), 1900 * time.Millisecond, 2},
		"stalled on a known route":        {long, known, stopAfter, false, 200, eventsText(1, 5), 3 * time.Second, 2},
		"comments only":                   {long, known, send(50*time.Millisecond, ": alive\n\n", "event: ping\n\n"), false, 200, "", 3 * time.Second, 2},
		"parts of an event only":          {long, known, send(50*time.Millisecond, ":", "x"), false, 200, eventsText(1, 5), 3 * time.Second, 2},
		"reachable, slow but sound": {long, nil, func(c net.Conn, r *http.Request) {
			writeEvents(c, r, 1, 3, false)
			for i := 4; i <= 5; i++ {
				time.Sleep(900 * time.Millisecond)
				chunk(c, eventsText(i, i))
			}
			fmt.Fprint(c, "0\r\n\r\n")
		}, false, 200, eventsText(1, 5), 4 * time.Second, 1},
		"reachable, long answer": {func(r *wire.ForwardRoute) { setAtMostOnce(r); r.TimeoutMs = 4000 }, nil, func(c net.Conn, r *http.Request) {
			time.Sleep(1800 * time.Millisecond)
			writeResponse(c, r, 200, "", "whole")
		}, false, 200, "whole", 4 * time.Second, 1},
		"checks dropped, but events come": {long, nil, func(c net.Conn, r *http.Request) {
			writeEvents(c, r, 1, 3, false)
			time.Sleep(450 * time.Millisecond) // the check runs
			chunk(c, eventsText(4, 4))
			time.Sleep(300 * time.Millisecond)
			chunk(c, eventsText(5, 5))
			fmt.Fprint(c, "0\r\n\r\n")
		}, true, 200, eventsText(1, 5), 3 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var attempts atomic.Int32
			closed := make(chan struct{})
			dialer := newCheckDialer()
			script := func(c net.Conn, r *http.Request) {
				switch {
				case attempts.Add(1) == 1:
					if test.dark {
						dialer.setDark(c.LocalAddr().String())
					}
					test.first(c, r)
					close(closed)
				case r.Header.Get("After") != "":
					select {
					case <-closed:
					case <-time.After(400 * time.Millisecond):
						t.Error("the stream goes on while the first server works on it")
					}
					writeEvents(c, r, 4, 5, true)
				case forwardRoute(test.route).Stream:
					writeEvents(c, r, 1, 5, true)
				default:
					writeResponse(c, r, 200, "", "whole")
				}
			}
			unreachables := &fakeUnreachables{}
			r := newFixtureWith(t, func(o *Options) { o.CheckDialer, o.Unreachable = dialer, unreachables },
				forwardRoute(test.route), startBackend(t, script), startBackend(t, script))
			if test.prepare != nil {
				test.prepare(r.f)
			}
			unreachables.mu.Lock()
			unreachables.reportedOnce = func(server *wire.UnreachableServer) { // the leader can't reach it either
				i, _ := strconv.Atoi(strings.TrimPrefix(server.GetBackend(), "b"))
				r.setBackend(i, r.log.Snapshot().Member(server.GetBackend()).GetBackend().GetAddress(), wire.BackendState_BACKEND_STATE_SUSPECTED)
			}
			unreachables.mu.Unlock()
			began := time.Now()
			status, body, _, err := r.call()
			took := time.Since(began)
			is.True(took < test.limit)
			if test.status == 0 {
				is.True(err != nil) // broken off
			} else {
				is.NoErr(err)
				is.Equal(status, test.status)
			}
			if test.body != "" {
				is.Equal(body, test.body)
			} else if test.status == 200 {
				is.Equal(strings.Count(body, "data: x"), 5)
			}
			is.Equal(attempts.Load(), test.attempts)
		})
	}
}

// Guards against sound streams that the router cuts since their server is silent for long, though
// their calls can't go on at another server.
func TestSilentStreamsThatCanNotGoOnElsewhereAreKept(t *testing.T) {
	const pause = 2200 * time.Millisecond // longer than the bound of a stall
	slow := func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 3, false)
		time.Sleep(pause)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
	}
	breaksOff := func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 2, false) }
	for name, test := range map[string]struct {
		route func(*wire.ForwardRoute)
		// first and others handle the first request and those that follow.
		first, others backendScript
		servers       int
		budget        RetryBudgetLimits
		stopping      bool
		attempts      int32
	}{
		"route not resumable":  {route: func(r *wire.ForwardRoute) { r.Resumable = false }, first: slow, servers: 2, attempts: 1},
		"no other server":      {first: slow, servers: 1, attempts: 1},
		"one attempt allowed":  {route: func(r *wire.ForwardRoute) { r.Attempts = 1 }, first: slow, servers: 2, attempts: 1},
		"retry budget used up": {budget: RetryBudgetLimits{Window: time.Second}, first: slow, servers: 2, attempts: 1},
		"last attempt": {first: breaksOff, others: func(c net.Conn, r *http.Request) {
			writeEvents(c, r, 3, 3, false)
			time.Sleep(pause)
			fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
		}, servers: 3, attempts: 2},
		"last attempt, silent from its start": {first: breaksOff, others: func(c net.Conn, r *http.Request) {
			time.Sleep(pause)
			writeEvents(c, r, 3, 5, true)
		}, servers: 3, attempts: 2},
		"planned stop, no other server": {first: slow, servers: 1, stopping: true, attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var attempts atomic.Int32
			script := func(c net.Conn, r *http.Request) {
				if attempts.Add(1) == 1 || test.others == nil {
					test.first(c, r)
				} else {
					test.others(c, r)
				}
			}
			var servers []string
			for range test.servers {
				servers = append(servers, startBackend(t, script))
			}
			route := forwardRoute(func(r *wire.ForwardRoute) {
				setResumableStream(r)
				r.TimeoutMs = 5000
				if test.route != nil {
					test.route(r)
				}
			})
			r := newFixtureWith(t, func(o *Options) {
				if test.budget != (RetryBudgetLimits{}) {
					o.Budget = test.budget
				}
			}, route, servers...)
			pauses := r.f.silence.pauses.of("r")
			pauses.recordPauses(time.Now(), 20*time.Millisecond, minPauses)
			for range minFirstEvents {
				pauses.recordFirst(time.Now(), 20*time.Millisecond)
			}
			if test.stopping {
				now := time.Now()
				r.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now.Add(2 * time.Second), Ends: now.Add(10 * time.Second)})
			}
			status, body, _, err := r.call()
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, eventsText(1, 5))
			is.Equal(attempts.Load(), test.attempts)
		})
	}
}

// Guards against sound streams that are cut since the router's own network is slow or fails for a
// while: no server answers a check then, also one whose events arrive.
func TestSlowOwnNetworkCutsNoStream(t *testing.T) {
	is := is.New(t)
	dialer, unreachables := newCheckDialer(), &fakeUnreachables{}
	var began atomic.Int32
	script := func(c net.Conn, r *http.Request) {
		dialer.setDark(c.LocalAddr().String())
		writeEvents(c, r, 1, 3, false)
		pause, events := 1300*time.Millisecond, 1 // silent for longer than two checks
		if began.Add(1) == 2 {
			pause, events = 50*time.Millisecond, 40
		}
		for i := range events {
			time.Sleep(pause)
			event := eventsText(4+i, 4+i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
	route := forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.TimeoutMs = true, 8000 }) // can't be resumed
	r := newFixtureWith(t, func(o *Options) { o.CheckDialer, o.Unreachable = dialer, unreachables }, route,
		startBackend(t, script), listenBackendAt(t, "127.0.0.2", script).Addr().String())
	first := make(chan string)
	go func() {
		_, body, _, _ := r.call("Call", "c1")
		first <- body
	}()
	for began.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	status, body, _, err := r.call("Call", "c2")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, eventsText(1, 43))
	is.Equal(<-first, eventsText(1, 4))
	is.Equal(unreachables.reported(), "")
}

// Guards against a retry that a stalled stream takes from the budget twice, or though no other server
// can be selected.
func TestStalledStreamTakesOneRetry(t *testing.T) {
	is := is.New(t)
	budget := func(o *Options) {
		o.Budget = RetryBudgetLimits{ExtraRetries: 2, Window: time.Minute, Routers: 1} // half of them for each of two routers, until more is known
	}
	sel := newFixtureWith(t, budget, forwardRoute(nil), "10.0.0.1:80").f.selector
	is.True(!sel.takeRetry("lab", &routing.Request{Service: "lab", Tried: []string{"b0"}}))
	is.True(!sel.takeRetry("lab", &routing.Request{Service: "lab", BoundToSoftware: true, SoftwareVersion: "other"}))
	is.True(sel.takeRetry("lab", &routing.Request{Service: "lab"}))
	is.True(!sel.takeRetry("lab", &routing.Request{Service: "lab"}))

	var attempts atomic.Int32
	script := func(c net.Conn, r *http.Request) {
		if attempts.Add(1) == 1 {
			writeEvents(c, r, 1, 3, false)
			hang(c)
		}
		writeEvents(c, r, 4, 5, true)
	}
	long := func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 }
	f := newFixtureWith(t, budget, forwardRoute(long), startBackend(t, script), startBackend(t, script))
	f.f.silence.pauses.of("r").recordPauses(time.Now(), 20*time.Millisecond, minPauses)
	status, body, _, err := f.call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, eventsText(1, 5))
	is.Equal(attempts.Load(), int32(2))
}

// Guards against a check for each of many attempts at one dark server, a retry storm when it is
// lost, calls that are sent to it later, and a report for each attempt. The streams for which the budget has
// no retry end with their connections.
func TestManyStreamsOnDarkServer(t *testing.T) {
	is := is.New(t)
	const streams = 20
	dialer, unreachables := newCheckDialer(), &fakeUnreachables{}
	var running, later atomic.Int32
	allRun := make(chan struct{})
	dark := startBackend(t, func(c net.Conn, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Call"), "later") {
			later.Add(1)
			return
		}
		writeEvents(c, r, 1, 3, false)
		if running.Add(1) == streams {
			close(allRun)
		}
		<-allRun
		time.Sleep(100 * time.Millisecond) // the events are acknowledged
		goDark(t, c.(*net.TCPConn))
		_ = c.SetDeadline(time.Now().Add(2 * probesEnd))
		hang(c)
	})
	// Calls carry Stay: a connection that the sound server closed without saying so would break off the
	// next call, for which no retry is left.
	sound := startBackend(t, func(c net.Conn, r *http.Request) {
		if r.Header.Get("After") != "" {
			writeEvents(c, r, 4, 5, true)
			return
		}
		writeEvents(c, r, 1, 5, true)
	})
	r := newFixtureWith(t, func(o *Options) { o.CheckDialer, o.Unreachable = dialer, unreachables },
		forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 }), dark)
	dialer.setDark(dark)
	var resumed, broken atomic.Int32
	var wg sync.WaitGroup
	began := time.Now()
	for i := range streams {
		wg.Go(func() {
			_, body, _, err := r.call("Call", fmt.Sprint("c", i), "Stay", "1")
			switch {
			case err == nil && body == eventsText(1, 5):
				if resumed.Add(1); time.Since(began) > 2*time.Second {
					t.Errorf("a stream went on elsewhere only %v after its start", time.Since(began))
				}
			case err != nil && body == eventsText(1, 3):
				broken.Add(1)
			default:
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
	for running.Load() < streams {
		if time.Since(began) > 5*time.Second {
			t.Fatalf("%d of %d streams have begun", running.Load(), streams)
		}
		time.Sleep(time.Millisecond)
	}
	r.setBackend(1, sound, wire.BackendState_BACKEND_STATE_READY)
	wg.Wait()
	took := time.Since(began)
	is.True(took < probesEnd+probesSpare)
	// The budget of one of 16 routers: 0.75 x 0.2 x 20 + 100/16 = 9.25.
	is.Equal(resumed.Load(), int32(9))
	is.Equal(broken.Load(), int32(streams-9))
	is.True(dialer.count(dark) >= 2)
	is.True(dialer.count(dark) <= 2*(1+int(took/reach.ShareFor))) // one check opens two connections
	for i := range 10 {
		_, body, _, err := r.call("Call", fmt.Sprint("later", i), "Stay", "1")
		is.NoErr(err)
		is.Equal(body, eventsText(1, 5))
	}
	is.Equal(later.Load(), int32(0))
	for range 100 {
		if unreachables.reported() != "" {
			break
		}
		time.Sleep(time.Millisecond)
	}
	reports := strings.Split(unreachables.reported(), ",")
	is.Equal(reports[0], "b0")
	is.True(len(reports) <= 1+int(took/reportInterval))
}

// watchedAt returns an attempt at a backend server that g watches, and when and why it ended.
func watchedAt(g *silenceGuard, name, address string, w attemptWatch) (a *watchedAttempt, ended func() (time.Duration, error)) {
	began := time.Now()
	ctx, cancel := context.WithCancelCause(context.Background())
	var took atomic.Int64
	context.AfterFunc(ctx, func() { took.Store(int64(time.Since(began))) })
	w.deadline = began.Add(time.Minute)
	a = &watchedAttempt{backend: &wire.Backend{Name: name, Address: address, AgentIncarnation: 4}, cancel: cancel, watch: w,
		takeRetry: func(*routing.Request) bool { return true }}
	g.begin(a)
	return a, func() (time.Duration, error) { return time.Duration(took.Load()), context.Cause(ctx) }
}

// Guards against the wait of 400 ms when control has found out already that a server is silent,
// and against attempts that end for a suspicion alone.
func TestSuspectedServerIsCheckedAtOnce(t *testing.T) {
	for name, dark := range map[string]bool{"dark": true, "reachable": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				dialer := dialerFunc(func(ctx context.Context) (net.Conn, error) {
					if dark {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return nil, syscall.ECONNREFUSED
				})
				g := newSilenceGuard(dialer, newConnPool(), nil)
				a, ended := watchedAt(g, "b0", "10.0.0.1:80", attemptWatch{})
				r := &fixture{t: t, log: view.NewLog(view.DefaultLogLimits())}
				r.setBackend(0, "10.0.0.1:80", wire.BackendState_BACKEND_STATE_READY)
				g.setView(r.log.Snapshot())
				time.Sleep(100 * time.Millisecond)
				r.setBackend(0, "10.0.0.1:80", wire.BackendState_BACKEND_STATE_SUSPECTED)
				g.setView(r.log.Snapshot())
				g.setView(r.log.Snapshot()) // the same view again leads to no further check
				time.Sleep(299 * time.Millisecond)
				took, err := ended()
				if dark {
					is.Equal(err, errUnreachable)
					is.Equal(took, 350*time.Millisecond)
				} else {
					is.NoErr(err)
				}
				g.end(a)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a message to the leader for each attempt, and against none when a server is lost
// again.
func TestUnreachableServerIsReportedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dialer := dialerFunc(func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		unreachables := &fakeUnreachables{}
		g := newSilenceGuard(dialer, newConnPool(), unreachables)
		for range 7 { // an attempt each 300 ms; each ends 650 ms after it began, or sooner
			watchedAt(g, "b0", "10.0.0.1:80", attemptWatch{})
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(unreachables.reported(), "b0,b0") // at 650 ms and some time after 1650 ms
		g.setView(view.NewLog(view.DefaultLogLimits()).Snapshot())
		is.Equal(len(g.attempts), 0)
	})
}

// dialerFunc is a dialer for checks.
type dialerFunc func(ctx context.Context) (net.Conn, error)

func (f dialerFunc) DialContext(ctx context.Context, _, _ string) (net.Conn, error) { return f(ctx) }

// Guards against requests that are sent on connections that were opened before a server was lost.
func TestIdleConnectionsToDarkServerAreClosed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	address := ln.Addr().String()
	pool := newConnPool()
	c, err := pool.dial(context.Background(), address)
	is.NoErr(err)
	pool.put(c, time.Minute)
	g := newSilenceGuard(newCheckDialer(address), pool, nil)
	g.check(&wire.Backend{Name: "b0", Address: address}, nil, time.Time{})
	is.Equal(pool.pop(address), nil)
	_, err = c.Write([]byte("x"))
	is.True(errors.Is(err, net.ErrClosed))
}

// Guards against quantiles of a few pauses, for which sound streams would be ended.
func TestUsualPauses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := &pauseTable{routes: map[string]*routePauses{}}
	p := table.of("r")
	p.recordPauses(now, 20*time.Millisecond, minPauses-1)
	for range minFirstEvents - 1 {
		p.recordFirst(now, 300*time.Millisecond)
	}
	is.Equal(p.usualPauses(now), usualPauses{})
	p.recordPauses(now, time.Second, 2)
	p.recordFirst(now, 300*time.Millisecond)
	is.Equal(p.usualPauses(now), usualPauses{}) // computed once in usualPausesAge
	usual := p.usualPauses(now.Add(usualPausesAge))
	is.Equal(usual.between.Round(100*time.Millisecond), time.Second)
	is.Equal(usual.first.Round(100*time.Millisecond), 300*time.Millisecond)
	is.Equal(p.usualPauses(now.Add(time.Hour)), usualPauses{}) // too old
	for i := range 2 * maxPauseRoutes {
		table.of(fmt.Sprint(i)).recordPauses(now, time.Second, 1)
	}
	is.Equal(len(table.routes), maxPauseRoutes)
}

// BenchmarkWatchedAttempt measures what the watch adds to an attempt and to an event.
func BenchmarkWatchedAttempt(b *testing.B) {
	g := newSilenceGuard(nil, newConnPool(), nil)
	pauses := g.pauses.of("r")
	backend := &wire.Backend{Name: "b0", Address: "10.0.0.1:80"}
	b.Run("attempt", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a := &watchedAttempt{backend: backend, watch: attemptWatch{deadline: time.Now().Add(time.Minute)}}
			g.begin(a)
			g.end(a)
		}
	})
	b.Run("event", func(b *testing.B) {
		a := &watchedAttempt{backend: backend, pauses: pauses, watch: attemptWatch{deadline: time.Now().Add(time.Hour), stream: true}}
		g.begin(a)
		defer g.end(a)
		b.ReportAllocs()
		for b.Loop() {
			now := time.Now()
			a.eventArrived(now)
			a.wait(time.Now())
		}
	})
	b.Run("quantiles", func(b *testing.B) {
		pauses.recordPauses(time.Now(), time.Second, minPauses)
		for b.Loop() {
			pauses.computedAt = time.Time{}
			pauses.usualPauses(time.Now())
		}
	})
}

// Guards against a result that was true only before a machine went dark, and is used for as long
// again.
func TestSharedResultIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		dialer := dialerFunc(func(ctx context.Context) (net.Conn, error) {
			if time.Since(began) <= 400*time.Millisecond {
				return nil, syscall.ECONNREFUSED
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		g := newSilenceGuard(dialer, newConnPool(), nil)
		_, first := watchedAt(g, "b0", "10.0.0.1:80", attemptWatch{}) // is checked at 400 ms
		time.Sleep(100 * time.Millisecond)
		_, second := watchedAt(g, "b0", "10.0.0.1:80", attemptWatch{}) // shares the result at 500 ms
		time.Sleep(2 * time.Second)
		took, err := first()
		is.Equal(err, errUnreachable)
		is.Equal(took, 1150*time.Millisecond) // 500 ms after the first check, and the time of another
		took, err = second()
		is.Equal(err, errUnreachable)
		is.Equal(took, 1050*time.Millisecond)
	})
}

// Guards against a lost server that control does not hear of, since no attempt of a router runs
// there: its new calls can't open a connection.
func TestDialTimeoutIsReported(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	is.NoErr(err)
	for full := false; !full; { // a full queue drops further connections
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if full = err != nil; !full {
			defer c.Close()
		}
	}
	unreachables := &fakeUnreachables{}
	r := newFixtureWith(t, func(o *Options) { o.Unreachable = unreachables }, forwardRoute(nil), ln.Addr().String())
	status, _, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 503)
	for range 200 {
		if unreachables.reported() != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(unreachables.reported(), "b0")
}

// Guards against a route that became slower, whose streams would all be ended from then on.
func TestStallBoundFollowsSlowerRoute(t *testing.T) {
	for name, started := range map[string]bool{"before the first event": false, "between events": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newSilenceGuard(dialerFunc(func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED }), newConnPool(), nil)
				pauses := g.pauses.of("r")
				pauses.recordPauses(time.Now(), 20*time.Millisecond, minPauses)
				for range minFirstEvents {
					pauses.recordFirst(time.Now(), 20*time.Millisecond)
				}
				var pausesSurvived []time.Duration
				for range 4 {
					a, ended := watchedAt(g, "b0", "10.0.0.1:80", attemptWatch{stream: true, mayEnd: true})
					a.mu.Lock()
					a.pauses, a.watch.started = pauses, started
					a.mu.Unlock()
					time.Sleep(40 * time.Second)
					took, err := ended()
					is.Equal(err, errStalled)
					pausesSurvived = append(pausesSurvived, took)
					g.end(a)
				}
				is.Equal(pausesSurvived[0], minStall)
				is.True(pausesSurvived[3] > 4*time.Second)
			})
		})
	}
}

// Guards against cutting a stream whose event had arrived right before the check and was not yet
// read by the busy router, when the check's connections were dropped.
func TestUnreadEventContradictsCheck(t *testing.T) {
	for _, test := range []struct {
		name  string
		heard time.Duration // before the check began
		cut   bool
	}{
		{"heard since it fell silent", 10 * time.Millisecond, false},
		{"heard before it fell silent", 500 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newSilenceGuard(newCheckDialer(), newConnPool(), nil)
			began := time.Now()
			ctx, cancel := context.WithCancelCause(context.Background())
			a := &watchedAttempt{backend: &wire.Backend{Name: "b", Address: "127.0.0.1:1"}, cancel: cancel}
			g.begin(a)
			defer g.end(a)
			c := &conn{head: &headLimiter{}}
			c.head.heardAt.Store(int64(began.Add(-test.heard).Sub(clockStart)))
			a.conn.Store(c)
			g.unreachable(a.backend, reach.Finding{Result: reach.Unreachable, Began: began}, a, began.Add(-400*time.Millisecond))
			is.Equal(errors.Is(context.Cause(ctx), errUnreachable), test.cut)
		})
	}
}

// Guards against a response of which the caller gets the beginning though a check has ended its attempt, and
// against one that is ended after it has begun and before it is known whether the call can go on elsewhere.
func TestAttemptEndedByCheckPassesNothingOn(t *testing.T) {
	is := is.New(t)
	address := "127.0.0.1:1"
	g := newSilenceGuard(newCheckDialer(), newConnPool(), nil)
	unreachable := func(a *watchedAttempt) {
		g.unreachable(a.backend, reach.Finding{Result: reach.Unreachable, Began: time.Now()}, nil, time.Time{})
	}
	a, ended := watchedAt(g, "b", address, attemptWatch{mayEnd: true})
	unreachable(a)
	_, err := ended()
	is.Equal(err, errUnreachable)
	is.True(!a.beginDelivery())

	a, ended = watchedAt(g, "b", address, attemptWatch{mayEnd: true})
	defer g.end(a)
	is.True(a.beginDelivery())
	unreachable(a)
	_, err = ended()
	is.NoErr(err)
	a.allowEnd(true, true, routing.Request{})
	unreachable(a)
	_, err = ended()
	is.Equal(err, errUnreachable)
	is.True(a.retryTaken)
}
