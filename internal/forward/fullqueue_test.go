package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/reach"
	"parsleypulley/internal/wire"
)

// listenWithFullQueue returns a listener at which no more connections can be opened once serve is called,
// with its first connection and the first request on it.
func listenWithFullQueue(t *testing.T, serve backendScript) (address string) {
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	is.NoErr(err)
	is.NoErr(file.Close())
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		for range 3 { // they fill the queue
			go net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
		}
		time.Sleep(50 * time.Millisecond)
		serve(c, r)
	}()
	return ln.Addr().String()
}

// Guards against sound streams that are cut since a connection to their server timed out. Its listener's
// queue is full, and no event of the stream comes while the check runs, as usual on its route.
func TestDialTimeoutCutsNoSoundStream(t *testing.T) {
	is := is.New(t)
	const events, pause = 12, 370 * time.Millisecond // shorter than silenceBeforeCheck
	begun := make(chan struct{})
	address := listenWithFullQueue(t, func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 1, false)
		close(begun)
		for i := 2; i <= events; i++ {
			time.Sleep(pause)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(eventsText(i, i)), eventsText(i, i))
		}
		fmt.Fprint(c, "0\r\n\r\n")
	})
	// A stream that can't be resumed would be kept.
	route := forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 })
	r := newFixture(t, route, address)
	stream := make(chan string)
	go func() {
		_, body, _, _ := r.call("Call", "c1")
		stream <- body
	}()
	<-begun
	// Without another server the stream would be kept.
	r.setBackend(1, startBackend(t, func(net.Conn, *http.Request) { t.Error("another server got the stream") }), wire.BackendState_BACKEND_STATE_READY)
	backend := &wire.Backend{Name: "b0", Address: address, AgentIncarnation: 1}
	for range 5 { // as after a dial that timed out, at different times within a pause
		r.f.silence.check(backend, nil, time.Time{})
		time.Sleep(reach.ShareFor + 70*time.Millisecond)
	}
	is.Equal(<-stream, eventsText(1, events))
}

// Guards against sound streams that are cut since the queue of their server's listener is full while it
// is silent, though nobody can go on with them.
func TestFullQueueOfSoundServerCutsNoStream(t *testing.T) {
	is := is.New(t)
	address := listenWithFullQueue(t, func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 3, false)
		time.Sleep(1200 * time.Millisecond)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
	})
	route := forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.TimeoutMs = true, 8000 }) // can't be resumed
	status, body, _, err := newFixture(t, route, address).call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, eventsText(1, 5))
}

// Guards against responses that have begun and are cut, though their server is sound and nobody can go on with
// them, since their server is silent while the queue of its listener is full: the check of the router and that
// of the leader, which suspects the server, are the same test of the same queue.
func TestFullQueueAndSuspicionCutNoBegunResponse(t *testing.T) {
	const pause = 1700 * time.Millisecond
	part := strings.Repeat("x", maxBufferedBody+10)
	stream := func(c net.Conn, r *http.Request, begun func()) {
		writeEvents(c, r, 1, 3, false)
		begun()
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
	}
	plain := func(c net.Conn, r *http.Request, begun func()) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: c1\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", len(part)+4, part)
		begun()
		fmt.Fprint(c, "rest")
	}
	for name, test := range map[string]struct {
		route  func(*wire.ForwardRoute)
		serve  func(c net.Conn, r *http.Request, begun func())
		body   string
		budget RetryBudgetLimits
		// other is set if there is another server.
		other bool
	}{
		"plain answer":                 {serve: plain, body: part + "rest", other: true},
		"plain answer, may run once":   {route: setAtMostOnce, serve: plain, body: part + "rest", other: true},
		"stream that can't be resumed": {route: func(r *wire.ForwardRoute) { r.Stream = true }, serve: stream, body: eventsText(1, 5), other: true},
		"stream, no other server":      {route: setResumableStream, serve: stream, body: eventsText(1, 5)},
		"stream, one attempt":          {route: func(r *wire.ForwardRoute) { setResumableStream(r); r.Attempts = 1 }, serve: stream, body: eventsText(1, 5), other: true},
		"stream, retry budget used up": {route: setResumableStream, serve: stream, body: eventsText(1, 5), budget: RetryBudgetLimits{Window: time.Second}, other: true},
	} {
		for _, stopping := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", planned stop"}[stopping], func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				begun, suspected := make(chan struct{}), make(chan struct{})
				address := listenWithFullQueue(t, func(c net.Conn, r *http.Request) {
					test.serve(c, r, func() { close(begun); time.Sleep(pause) })
				})
				unreachables := &fakeUnreachables{}
				route := forwardRoute(func(r *wire.ForwardRoute) {
					if test.route != nil {
						test.route(r)
					}
					r.TimeoutMs = 8000
				})
				r := newFixtureWith(t, func(o *Options) {
					o.Unreachable = unreachables
					if test.budget != (RetryBudgetLimits{}) {
						o.Budget = test.budget
					}
				}, route, address)
				unreachables.mu.Lock()
				unreachables.reportedOnce = func(*wire.UnreachableServer) {
					r.setBackend(0, address, wire.BackendState_BACKEND_STATE_SUSPECTED)
					close(suspected)
				}
				unreachables.mu.Unlock()
				var status int
				var body string
				var err error
				done := make(chan struct{})
				go func() {
					defer close(done)
					status, body, _, err = r.call()
				}()
				<-begun
				if test.other {
					r.setBackend(1, startBackend(t, func(c net.Conn, r *http.Request) { t.Error("another server got the call") }), wire.BackendState_BACKEND_STATE_READY)
				}
				if stopping {
					now := time.Now()
					r.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now.Add(2 * time.Second), Ends: now.Add(10 * time.Second)})
				}
				time.Sleep(500 * time.Millisecond)                                                                    // longer than silenceBeforeCheck
				r.f.silence.check(&wire.Backend{Name: "b0", Address: address, AgentIncarnation: 1}, nil, time.Time{}) // as after a dial that timed out
				<-done
				select {
				case <-suspected:
				default:
					t.Error("the server was not suspected")
				}
				is.NoErr(err)
				is.Equal(status, 200)
				is.True(body == test.body)
			})
		}
	}
}

// Guards against a sound stream that is cut since a check could not reach its server, whose listener's queue is full,
// and the server that was to go on with it refuses: that one could be selected, but has no room either.
func TestFullQueueCutsNoStreamThatOthersRefuse(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	address := listenWithFullQueue(t, func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 3, false)
		close(begun)
		time.Sleep(1700 * time.Millisecond)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
	})
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 }), address)
	var body string
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, body, _, err = r.call()
	}()
	<-begun
	r.setBackend(1, startBackend(t, func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "Not-Run: 1\r\n", "") }), wire.BackendState_BACKEND_STATE_READY)
	<-done
	is.NoErr(err)
	is.Equal(body, eventsText(1, 5))
}

// Guards against a sound stream that is cut since a check could not reach its server, and the only other server, at
// which it was to go on, may have started anew since the stream began.
func TestFullQueueCutsNoStreamThatOthersMayNotJoin(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	address := listenWithFullQueue(t, func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 3, false)
		close(begun)
		time.Sleep(1700 * time.Millisecond)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
	})
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 }), address)
	var body string
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, body, _, err = r.call()
	}()
	<-begun
	time.Sleep(100 * time.Millisecond) // the caller has the first events
	r.setBackend(1, startBackend(t, func(net.Conn, *http.Request) { t.Error("another server got the stream") }), wire.BackendState_BACKEND_STATE_READY)
	r.f.runs.sign(r.log.Snapshot().Member("b1").GetBackend(), signBroken)
	<-done
	is.NoErr(err)
	is.Equal(body, eventsText(1, 5))
}
