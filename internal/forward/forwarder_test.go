package forward

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// testDialect is a Dialect with short header names.
type testDialect struct{}

func (testDialect) ReadCall(r *http.Request) (*Call, error) {
	call := &Call{ID: r.Header.Get("Call"), APIKey: r.Header.Get("Key"), LastEventID: r.Header.Get("After"), BeganAs: r.Header.Get("Began"), Model: r.Header.Get("Model")}
	if parts := r.Header.Get("Parts"); parts != "" {
		for id := range strings.SplitSeq(parts, ",") {
			call.PromptParts = append(call.PromptParts, PromptPart{ID: id, Tokens: 100})
		}
	}
	return call, nil
}

func (testDialect) PrepareAttempt(h http.Header, a *Attempt) {
	h.Del("Key")
	h.Set("For", a.Backend.GetName())
	h.Set("Account", a.Account)
	h.Set("Salt", a.CacheSalt)
	h.Set("Left", a.Remaining.String())
	if a.LastEventID != "" {
		h.Set("After", a.LastEventID)
	}
}

func (testDialect) ReadResponse(status int, h http.Header) ResponseInfo {
	info := ResponseInfo{ID: h.Get("Call"), FromBackend: h.Get("Signed") != "", NotExecuted: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
		Leaving: h.Get("Leaves") != ""}
	if quiet, err := time.ParseDuration(h.Get("Quiet")); err == nil {
		info.RetryAfter = quiet
	} else {
		info.InvalidRetryAfter = h.Get("Quiet")
	}
	return info
}

func (testDialect) ErrorStatus(kind fault.Kind) int { return kind.Response().Status }

// fixture is a forwarder in front of backend servers that a test scripts.
type fixture struct {
	t       *testing.T
	f       *Forwarder
	log     *view.Log
	server  *httptest.Server
	control *fakeControl
	// onFreshness is called, once, when the forwarder reads the freshness.
	onFreshness atomic.Pointer[func()]
	freshness   atomic.Pointer[view.Freshness]
	// version is the version of the newest event in log.
	version uint64
	// quota is the quota of the client account.
	quota *wire.Quota
}

// backendScript handles one request that a test backend server received on a
// connection.
type backendScript func(c net.Conn, r *http.Request)

// writeResponse writes a complete response with the header that marks backend
// servers.
func writeResponse(c net.Conn, r *http.Request, status int, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nCall: %s\r\nSigned: yes\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Call"), headers, len(body), body)
}

func writeEvents(c net.Conn, r *http.Request, from, to int, end bool) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Call"))
	for i := from; i <= to; i++ {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if end {
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

// startBackend starts a backend server that handles each request with script and
// returns its address. It closes the connection after each request, unless the
// request has the header Stay.
func startBackend(t *testing.T, script backendScript) string {
	return listenBackend(t, script).Addr().String()
}

// listenBackend does the same and returns the listener.
func listenBackend(t *testing.T, script backendScript) net.Listener {
	return listenBackendAt(t, "127.0.0.1", script)
}

// listenBackendAt does the same at an address of this machine.
func listenBackendAt(t *testing.T, host string, script backendScript) net.Listener {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					script(c, r)
					if r.Header.Get("Stay") == "" {
						return
					}
				}
			}()
		}
	}()
	return ln
}

func newFixture(t *testing.T, route *wire.ForwardRoute, backends ...string) *fixture {
	return newFixtureWith(t, func(*Options) {}, route, backends...)
}

// newFixtureWith returns a fixture whose options are changed by change.
func newFixtureWith(t *testing.T, change func(*Options), route *wire.ForwardRoute, backends ...string) *fixture {
	return newFullFixture(t, nil, change, route, backends...)
}

// newQuotaFixture returns a fixture whose client account has a quota, and whose forwarder gets its
// units from source.
func newQuotaFixture(t *testing.T, quota *wire.Quota, source PermitSource, route *wire.ForwardRoute, backends ...string) *fixture {
	return newFullFixture(t, quota, func(o *Options) { o.Permits = source }, route, backends...)
}

func newFullFixture(t *testing.T, quota *wire.Quota, change func(*Options), route *wire.ForwardRoute, backends ...string) *fixture {
	r := &fixture{t: t, log: view.NewLog(view.DefaultLogLimits()), control: newFakeControl(), quota: quota}
	r.freshness.Store(&view.Freshness{Confirmed: true})
	r.log.SetNewestAt(steady.Now) // targets are named when they are added
	options := Options{Domain: "a", Seed: 1, Views: r.log.Store(), Targets: r.log.Targets(), Freshness: r.readFreshness,
		Dialect: testDialect{}, Budget: DefaultRetryBudgetLimits(), Control: r.control}
	change(&options)
	r.f = New(options)
	r.f.runs.freshness = func() view.Freshness { return *r.freshness.Load() } // leaves onFreshness to the calls
	r.f.runs.observe()                                                        // the router has followed the view since before the servers joined
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, address := range backends {
		r.setBackend(i, address, wire.BackendState_BACKEND_STATE_READY)
	}
	if route != nil {
		r.setRoute(route)
	}
	r.f.selector.setView(r.log.Snapshot())
	go r.f.Run(ctx)
	r.server = httptest.NewServer(r.f)
	t.Cleanup(r.server.Close)
	return r
}

// setBackend puts a backend server into the view.
func (r *fixture) setBackend(i int, address string, state wire.BackendState) {
	r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Member{Member: &wire.Member{State: state,
		Backend: &wire.Backend{Name: fmt.Sprintf("b%d", i), Address: address, AgentIncarnation: 1, Service: "lab", FailureDomain: "a"}}}})
}

func (r *fixture) readFreshness() view.Freshness {
	if f := r.onFreshness.Swap(nil); f != nil {
		(*f)()
	}
	return *r.freshness.Load()
}

func (r *fixture) appendEvent(e *wire.ViewEvent) {
	r.version++
	e.Version = r.version
	if err := r.log.Append(e); err != nil {
		r.t.Fatal(err)
	}
}

func (r *fixture) setRoute(route *wire.ForwardRoute) {
	key := sha256.Sum256([]byte("k"))
	r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_RouteTable{RouteTable: &wire.RouteTable{Version: r.version + 1, KeysRequired: true,
		Routes: []*wire.ForwardRoute{route}, Services: []*wire.ForwardService{{Name: "lab"}},
		Accounts: []*wire.Account{{Name: "indus", KeySha256: [][]byte{key[:]}, Quota: r.quota}}, Limits: &wire.CallerLimits{BodyBytes: 1 << 20}}}})
}

// call sends a call to the route of forwardRoute with the valid API key. headers
// are pairs of names and values, which replace the default ones.
func (r *fixture) call(headers ...string) (status int, body string, h http.Header, err error) {
	req, _ := http.NewRequest(http.MethodPost, r.server.URL+"/p/x", strings.NewReader("body"))
	req.Host = "one.example"
	req.Header.Set("Call", "c1")
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Header, err
}

// forwardRoute returns a route for idempotent calls, modified by change.
func forwardRoute(change func(*wire.ForwardRoute)) *wire.ForwardRoute {
	route := &wire.ForwardRoute{Name: "r", Host: "one.example", PathPrefix: "/p/", TimeoutMs: 2000, ObjectiveMs: 200, Attempts: 2,
		Repetition: wire.Repetition_REPETITION_IDEMPOTENT, Split: []*wire.WeightedService{{Service: "lab", Weight: 1}}}
	if change != nil {
		change(route)
	}
	return route
}

func setAtMostOnce(r *wire.ForwardRoute) { r.Repetition = wire.Repetition_REPETITION_AT_MOST_ONCE }

func setResumableStream(r *wire.ForwardRoute) { r.Stream, r.Resumable = true, true }

func TestCallsAreForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	var seen atomic.Pointer[http.Request]
	b := startBackend(t, func(c net.Conn, r *http.Request) {
		seen.Store(r)
		writeResponse(c, r, 201, "Mark: m\r\n", "whole")
	})
	r := newFixture(t, forwardRoute(nil), b)
	status, body, h, err := r.call("Own", "v", "Account", "forged", "Connection", "X-Hop", "X-Hop", "1")
	is.NoErr(err)
	is.Equal(status, 201)
	is.Equal(body, "whole")
	is.Equal(h.Get("Mark"), "m")
	got := seen.Load()
	is.Equal(got.Method+" "+got.RequestURI+" "+got.Host, "POST /p/x one.example")
	is.Equal(got.Header.Get("Own"), "v")
	is.Equal(got.Header.Get("Account"), "indus") // not the account that the caller claimed
	is.Equal(got.Header.Get("Key"), "")
	is.Equal(got.Header.Get("X-Hop"), "")
}

// Each fault at the first backend server must lead to the right response and to
// the right number of attempts.
func TestResponsesUnderBackendFaults(t *testing.T) {
	truncate := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nContent-Length: 100\r\n\r\npart", r.Header.Get("Call"))
	}
	refuse := func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "Not-Run: 1\r\n", "") }
	refuseWithoutID := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	succeed := func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "", "whole") }
	tests := map[string]struct {
		route  func(*wire.ForwardRoute)
		first  backendScript
		status int
		body   string
		// attempts is the number of attempts that reach a backend server.
		attempts int32
	}{
		"incomplete response to an idempotent call":         {nil, truncate, 200, "whole", 2},
		"incomplete response to an at-most-once call":       {setAtMostOnce, truncate, 502, "", 1},
		"connection closed before the response":             {setAtMostOnce, func(net.Conn, *http.Request) {}, 502, "", 1},
		"refusal of an at-most-once call":                   {setAtMostOnce, refuse, 200, "whole", 2},
		"refusal of an idempotent call":                     {nil, refuse, 200, "whole", 2},
		"refusal without an ID of an at-most-once call":     {setAtMostOnce, refuseWithoutID, 502, "", 1},
		"refusal without an ID of an idempotent call":       {nil, refuseWithoutID, 200, "whole", 2},
		"another backend server at the address":             {setAtMostOnce, func(c net.Conn, r *http.Request) { writeResponse(c, r, 421, "", "") }, 200, "whole", 2},
		"success without the backend server's header":       {setAtMostOnce, func(c net.Conn, r *http.Request) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi") }, 502, "", 1},
		"bytes that are not an HTTP response":               {setAtMostOnce, func(c net.Conn, r *http.Request) { io.WriteString(c, "garbage\r\n\r\n") }, 502, "", 1},
		"body with a content encoding":                      {setAtMostOnce, func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "Content-Encoding: gzip\r\n", "x") }, 502, "", 1},
		"error response to an at-most-once call":            {setAtMostOnce, func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "", "failed") }, 500, "failed", 1},
		"error response to an idempotent call":              {nil, func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "", "failed") }, 200, "whole", 2},
		"503 that does not state that the call was not run": {setAtMostOnce, func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "", "") }, 502, "", 1},
		"response to another call comes first": {setAtMostOnce, func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: other\r\nSigned: yes\r\nContent-Length: 5\r\n\r\nother")
			writeResponse(c, r, 200, "", "whole")
		}, 200, "whole", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int32
			script := func(c net.Conn, r *http.Request) {
				if attempts.Add(1) == 1 {
					test.first(c, r)
					return
				}
				succeed(c, r)
			}
			r := newFixture(t, forwardRoute(test.route), startBackend(t, script), startBackend(t, script))
			status, body, _, err := r.call()
			is.NoErr(err)
			is.Equal(status, test.status)
			if test.body != "" {
				is.Equal(body, test.body)
			}
			is.Equal(attempts.Load(), test.attempts)
		})
	}
}

func TestStreamResumesAtAnotherBackend(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	script := func(c net.Conn, r *http.Request) {
		if attempts.Add(1) == 1 {
			writeEvents(c, r, 1, 3, false)
			io.WriteString(c, "10\r\nid: 4\nda") // cut in the middle of an event
			return
		}
		if r.Header.Get("After") != "3" {
			t.Errorf("the stream resumed after %q", r.Header.Get("After"))
		}
		writeEvents(c, r, 4, 5, true)
	}
	r := newFixture(t, forwardRoute(setResumableStream), startBackend(t, script), startBackend(t, script))
	status, body, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n")
}

// A stream whose server ended after its last event, before it said that the stream is
// complete, was broken off: the server that resumed it had no event left to send.
func TestStreamResumedAfterItsLastEvent(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	script := func(c net.Conn, r *http.Request) {
		if attempts.Add(1) == 1 {
			writeEvents(c, r, 1, 3, false)
			return
		}
		writeEvents(c, r, 4, 3, true) // none
	}
	r := newFixture(t, forwardRoute(setResumableStream), startBackend(t, script), startBackend(t, script))
	status, body, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
	is.Equal(attempts.Load(), int32(2))
}

// A new stream without any event is no answer.
func TestEmptyStreamIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	script := func(c net.Conn, r *http.Request) {
		if attempts.Add(1) == 1 {
			writeEvents(c, r, 1, 0, true)
			return
		}
		writeEvents(c, r, 1, 2, true)
	}
	r := newFixture(t, forwardRoute(setResumableStream), startBackend(t, script), startBackend(t, script))
	status, body, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
}

// A stream that was cut off and cannot be resumed must not look complete to the
// caller.
func TestInterruptedStreamIsAborted(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	script := func(c net.Conn, r *http.Request) {
		attempts.Add(1)
		writeEvents(c, r, 1, 2, false)
	}
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream = true; setAtMostOnce(r) }), startBackend(t, script), startBackend(t, script))
	_, _, _, err := r.call()
	is.True(err != nil)
	is.Equal(attempts.Load(), int32(1))
}

// When a caller disconnects, the connection to the backend server must be closed,
// so that the work there ends within half a second. The test itself waits up to
// 5 s.
func TestBackendConnectionClosedWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	b := startBackend(t, func(c net.Conn, r *http.Request) {
		_, _ = c.Read(make([]byte, 1)) // returns when the connection ends
		close(gone)
	})
	r := newFixture(t, forwardRoute(nil), b)
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+"/p/x", nil)
	req.Host = "one.example"
	req.Header.Set("Call", "c1")
	req.Header.Set("Key", "k")
	go func() {
		time.Sleep(100 * time.Millisecond)
		cancel()
	}()
	_, err := http.DefaultClient.Do(req)
	is.True(err != nil)
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the backend server is still open")
	}
}

// With an unconfirmed view, calls must be refused as unavailable, which callers
// may retry: a newer route table may accept them.
func TestRefusalsWithUnconfirmedView(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "", "whole") })
	r := newFixture(t, forwardRoute(nil), b)
	status, _, _, _ := r.call("Key", "unknown")
	is.Equal(status, 401)
	r.freshness.Store(&view.Freshness{Age: 2 * time.Second})
	status, _, _, _ = r.call("Key", "unknown")
	is.Equal(status, 503) // a newer table may hold the key
	status, _, _, _ = r.call()
	is.Equal(status, 200) // the confirmation is younger than RevokeBound
	r.freshness.Store(&view.Freshness{Age: DefaultRevokeBound})
	status, _, h, _ := r.call()
	is.Equal(status, 503) // the key may have been revoked
	is.True(h.Get("Retry-After") != "")
	empty := newFixture(t, nil)
	status, _, h, _ = empty.call()
	is.Equal(status, 503)
	retryAfter, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retryAfter >= startRetryAfter.Seconds()) // all routers may have restarted
	is.True(empty.f.Ready() != nil)
}

func TestRefusalWithoutBackends(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, forwardRoute(setAtMostOnce))
	started := time.Now()
	status, _, h, err := r.call()
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(h.Get("Retry-After") != "")
	is.True(time.Since(started) < time.Second) // refused without waiting for the deadline
}

// A stopping router must refuse streams that cannot be resumed elsewhere, since
// the stop might cut them off.
func TestStoppingRouterRefusesNonResumableStreams(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 2, true) })
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream = true; setAtMostOnce(r) }), b)
	status, _, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 200)
	r.f.BeginShutdown(StopTimes{Began: time.Now(), Ends: time.Now().Add(time.Minute)})
	status, _, _, _ = r.call()
	is.Equal(status, 503)
}

// A connection on which the backend server sent more than its response must not
// be reused: the next call would read the extra bytes as its own response.
func TestConnectionWithUnreadBytesNotReused(t *testing.T) {
	is := is.New(t)
	var conns, attempts atomic.Int32
	b := startBackend(t, func(c net.Conn, r *http.Request) {
		if attempts.Add(1) == 1 {
			writeResponse(c, r, 200, "", "first")
			writeResponse(c, r, 200, "", "again")
			return
		}
		conns.Add(1)
		writeResponse(c, r, 200, "", "second")
	})
	r := newFixture(t, forwardRoute(nil), b)
	_, body, _, err := r.call("Stay", "1")
	is.NoErr(err)
	is.Equal(body, "first")
	time.Sleep(50 * time.Millisecond)
	_, body, _, err = r.call("Stay", "1", "Call", "c2")
	is.NoErr(err)
	is.Equal(body, "second")
}

// A long body is written while the response is read: the backend server responds
// before it has read all of it.
func TestResponseBeforeTheWholeBodyIsRead(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				writeResponse(c, r, http.StatusOK, "Connection: close\r\n", "early")
				_, _ = io.Copy(io.Discard, r.Body)
			}()
		}
	}()
	r := newFixture(t, forwardRoute(nil), ln.Addr().String())
	for range 20 {
		req, err := http.NewRequest(http.MethodPost, r.server.URL+"/p/x", strings.NewReader(strings.Repeat("x", 20*asyncBodySize)))
		is.NoErr(err)
		req.Host = "one.example"
		req.Header.Set("Call", "c1")
		req.Header.Set("Key", "k")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(string(body), "early")
	}
}

// A long response that broke off counted as a success of its backend server, so that its
// breaker stayed closed and further calls went there.
func TestLongResponsesThatBreakOffCountAsFailures(t *testing.T) {
	is := is.New(t)
	const length = 2 * maxBufferedBody
	var broken, whole atomic.Int32
	var first atomic.Value // name of the backend server that breaks off
	script := func(c net.Conn, r *http.Request) {
		first.CompareAndSwap(nil, r.Header.Get("For"))
		if first.Load() != r.Header.Get("For") {
			whole.Add(1)
			writeResponse(c, r, 200, "", strings.Repeat("x", length))
			return
		}
		broken.Add(1)
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nCall: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Call"), length, strings.Repeat("x", maxBufferedBody+1000))
	}
	r := newFixture(t, forwardRoute(nil), startBackend(t, script), startBackend(t, script))
	for range 20 {
		_, _, _, _ = r.call()
	}
	is.True(whole.Load() > 0)
	is.True(broken.Load() <= 3) // the failures that open a breaker
}

// A router that stood still between reading its view and asking how fresh that is served a
// call by the old view, on the strength of the new one's confirmation.
func TestKeyRevokedWhileRouterStandsStill(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	r := newFixture(t, forwardRoute(nil), startBackend(t, func(c net.Conn, r *http.Request) {
		arrived.Add(1)
		writeResponse(c, r, 200, "", "whole")
	}))
	revoke := func() {
		table := proto.CloneOf(r.log.Snapshot().Routes.Table)
		table.Version++
		table.Accounts[0].KeySha256 = nil
		r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_RouteTable{RouteTable: table}})
	}
	r.onFreshness.Store(&revoke)
	status, _, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(arrived.Load(), int32(0))
}
