package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// refusalOf returns a refusal of the call with an ID; empty for a refusal without an ID.
func refusalOf(id string) string {
	if id != "" {
		id = "Call: " + id + "\r\n"
	}
	return "HTTP/1.1 503 X\r\n" + id + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// misdirectionOf returns a 421 to the call with an ID: another backend server has the address.
func misdirectionOf(id string) string {
	if id != "" {
		id = "Call: " + id + "\r\n"
	}
	return "HTTP/1.1 421 X\r\n" + id + "Content-Length: 0\r\n\r\n"
}

// answerOf returns the answer to a call that has run.
func answerOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\nCall: %s\r\nSigned: yes\r\nContent-Length: 5\r\n\r\nwhole", id)
}

// runCounter counts how often each call was run, at all servers of a test.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

// run counts a run and answers it.
func (n *runCounter) run(c net.Conn, r *http.Request) {
	n.mu.Lock()
	n.runs[r.Header.Get("Call")]++
	n.mu.Unlock()
	io.WriteString(c, answerOf(r.Header.Get("Call")))
}

func (n *runCounter) of(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[id]
}

// startListener serves each connection with serve and returns the address.
func startListener(t *testing.T, serve func(c net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
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
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// acceptingBackend is like startBackend, but writes a greeting on each connection before it reads,
// and keeps the connections.
func acceptingBackend(t *testing.T, greeting string, script backendScript) string {
	return startListener(t, func(c net.Conn) {
		defer c.Close()
		io.WriteString(c, greeting)
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			script(c, r)
		}
	})
}

// Guards against a refusal that does not certainly belong to an attempt and is taken for the promise
// that the attempt has not run: a call that ran must not be answered as not run, and a call that may run
// only once must not run at a second backend server.
func TestUncertainRefusalsPromiseNothing(t *testing.T) {
	many := make([]string, 0, 40) // more calls than a connection remembered
	for i := range 40 {
		many = append(many, fmt.Sprint("m", i))
	}
	for name, test := range map[string]struct {
		// greeting is written by the faulty backend server when it accepts a connection.
		greeting string
		// faulty returns what the faulty backend server writes before the answer to a request, which
		// is the n-th with its ID, and whether it runs the request.
		faulty func(id string, n, onConnection int) (before string, runs bool)
		// calls are the IDs of the calls. The last one is the one that is checked.
		calls []string
		// split is set if the end of the answer comes a little later.
		split bool
		// served is set if the last call must be served nevertheless.
		served bool
	}{
		"a refusal without an ID on a connection in use again": {faulty: func(id string, _, onConnection int) (string, bool) {
			if onConnection > 1 {
				return refusalOf(""), true
			}
			return "", true
		}, calls: []string{"c1", "c2"}, served: true},
		"421 without an ID on a connection in use again": {faulty: func(id string, _, onConnection int) (string, bool) {
			if onConnection > 1 {
				return misdirectionOf(""), true
			}
			return "", true
		}, calls: []string{"c1", "c2"}, served: true},
		"two refusals, the copy without an ID": {faulty: func(id string, _, onConnection int) (string, bool) {
			if onConnection > 1 {
				return refusalOf(""), true
			}
			return refusalOf(id), false
		}, calls: []string{"c1", "c2"}, served: true},
		"a refusal without an ID before anything was read": {greeting: refusalOf(""),
			faulty: func(string, int, int) (string, bool) { return "", true }, calls: []string{"c1"}, served: true},
		"421 without an ID before anything was read": {greeting: misdirectionOf(""),
			faulty: func(string, int, int) (string, bool) { return "", true }, calls: []string{"c1"}, served: true},
		"a refusal without an ID, and the call runs": {faulty: func(string, int, int) (string, bool) { return refusalOf(""), true }, calls: []string{"c1"}, served: true},
		"a copy for a call that comes again after many others": {faulty: func(id string, n, onConnection int) (string, bool) {
			switch {
			case id == "c1" && n == 1:
				return refusalOf(id), false
			case id == "c1" && onConnection > 1:
				return refusalOf(id), true
			}
			return "", true
		}, calls: append(append([]string{"c1"}, many...), "c1"), served: true},
		"a copy on another connection for a call that comes again": {faulty: func(id string, n, _ int) (string, bool) { return refusalOf(id), n > 1 }, calls: []string{"c1", "c1"}},
		"421 on another connection for a call that comes again":    {faulty: func(id string, n, _ int) (string, bool) { return misdirectionOf(id), n > 1 }, calls: []string{"c1", "c1"}},
		"a refusal followed by the answer":                         {faulty: func(id string, _, _ int) (string, bool) { return refusalOf(id), true }, calls: []string{"c1"}},
		"421 followed by the answer":                               {faulty: func(id string, _, _ int) (string, bool) { return misdirectionOf(id), true }, calls: []string{"c1"}},
		"a refusal, its copy and the answer":                       {faulty: func(id string, _, _ int) (string, bool) { return refusalOf(id) + refusalOf(id), true }, calls: []string{"c1"}},
		"a refusal and its copy":                                   {faulty: func(id string, _, _ int) (string, bool) { return refusalOf(id) + refusalOf(id), false }, calls: []string{"c1"}, served: true},
		"a refusal and bytes that are no response":                 {faulty: func(id string, _, _ int) (string, bool) { return refusalOf(id) + "beyond\r\n\r\n", false }, calls: []string{"c1"}, served: true},
		"a refusal and a response to another call":                 {faulty: func(id string, _, _ int) (string, bool) { return refusalOf(id) + answerOf("c0"), false }, calls: []string{"c1"}, served: true},
		"a refusal and the answer in two parts":                    {faulty: func(id string, _, _ int) (string, bool) { return refusalOf(id), true }, calls: []string{"c1"}, split: true},
		"a refusal without a length and the answer": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Content-Length: 0\r\n", "", 1), true
		}, calls: []string{"c1"}},
		"a refusal without a length and the answer in two parts": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Content-Length: 0\r\n", "", 1), true
		}, calls: []string{"c1"}, split: true},
		"a refusal whose length covers the head of the answer": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Length: 0", "Length: 40", 1), true
		}, calls: []string{"c1"}},
		"a refusal whose length covers the answer": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Length: 0", "Length: 400", 1), true
		}, calls: []string{"c1"}},
		"a refusal with a text, without a length, and the answer": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Content-Length: 0\r\n", "", 1) + "full\n", true
		}, calls: []string{"c1"}},
		"a refusal in chunks that do not end, and the answer": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Content-Length: 0", "Transfer-Encoding: chunked", 1), true
		}, calls: []string{"c1"}},
		"a refusal with a text that names a status": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Length: 0", "Length: 37", 1) + "the peer said HTTP/1.1 500 Y\r\nCall: x", false
		}, calls: []string{"c1"}, served: true},
		"a refusal without a length": {faulty: func(id string, _, _ int) (string, bool) {
			return strings.Replace(refusalOf(id), "Content-Length: 0\r\n", "", 1) + "full", false
		}, calls: []string{"c1"}, served: true},
		"a refusal": {faulty: func(id string, _, _ int) (string, bool) { return refusalOf(id), false }, calls: []string{"c1"}, served: true},
		"an interim response that states a refusal": {faulty: func(id string, _, _ int) (string, bool) {
			return "HTTP/1.1 103 X\r\nCall: " + id + "\r\nNot-Run: 1\r\n\r\n", true
		}, calls: []string{"c1"}, served: true},
		"429 of a peer between": {faulty: func(string, int, int) (string, bool) { return "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", true }, calls: []string{"c1"}},
		"408 of a peer between": {faulty: func(string, int, int) (string, bool) { return "HTTP/1.1 408 X\r\nContent-Length: 0\r\n\r\n", true }, calls: []string{"c1"}},
		"503 of a peer between": {faulty: func(string, int, int) (string, bool) { return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true }, calls: []string{"c1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			count := newRunCounter()
			var r *fixture
			sound := startBackend(t, func(c net.Conn, r *http.Request) { count.run(c, r) })
			var mu sync.Mutex
			seen, onConnection, total := map[string]int{}, map[net.Conn]int{}, 0
			script := func(c net.Conn, req *http.Request) {
				id := req.Header.Get("Call")
				mu.Lock()
				seen[id]++
				onConnection[c]++
				total++
				n, index, last := seen[id], onConnection[c], total == len(test.calls)
				mu.Unlock()
				if last { // a second server, so that the call can run there too
					r.setBackend(1, sound, wire.BackendState_BACKEND_STATE_READY)
					r.f.selector.setView(r.log.Snapshot())
				}
				before, runs := test.faulty(id, n, index)
				if !runs {
					io.WriteString(c, before)
					return
				}
				count.run(joined{c, before, test.split}, req) // in one piece: the answer is there when the refusal was read
			}
			r = newFixture(t, forwardRoute(setAtMostOnce), acceptingBackend(t, test.greeting, script))
			for i, id := range test.calls {
				r.forgetFailures()
				before := count.of(id)
				status, _, _, err := r.call("Call", id)
				is.NoErr(err)
				if i < len(test.calls)-1 {
					continue
				}
				time.Sleep(20 * time.Millisecond) // a greeting comes before the request is read
				runs := count.of(id) - before
				t.Logf("status %d, %d runs", status, runs)
				is.True(runs <= 1)
				is.True(!impliesNotExecuted(status) || runs == 0)
				is.True(!test.served || status == 200)
			}
		})
	}
}

// Guards against the copy of a refusal that is taken for the refusal of the router's own next attempt of the
// call: two backend servers are known at one address, as after a restart under another name.
func TestRefusalOfAnotherServerAtTheAddress(t *testing.T) {
	is := is.New(t)
	count := newRunCounter()
	var arrived atomic.Int32
	address := acceptingBackend(t, "", func(c net.Conn, r *http.Request) {
		if arrived.Add(1) == 1 {
			io.WriteString(c, misdirectionOf(r.Header.Get("Call")))
			return
		}
		count.run(joined{c, misdirectionOf(r.Header.Get("Call")), false}, r)
	})
	r := newFixture(t, forwardRoute(setAtMostOnce), address, address)
	status, _, _, err := r.call()
	is.NoErr(err)
	is.Equal(arrived.Load(), int32(2))
	is.Equal(count.of("c1"), 1)
	is.Equal(status, 502)
}

// joined writes a text and what is written to it in one piece, or all but the last 20 bytes if split is
// set, and these later.
type joined struct {
	net.Conn
	before string
	split  bool
}

func (j joined) Write(p []byte) (int, error) {
	text, rest := append([]byte(j.before), p...), []byte(nil)
	if j.split {
		text, rest = text[:len(text)-20], text[len(text)-20:]
	}
	_, err := j.Conn.Write(text)
	if len(rest) > 0 && err == nil {
		time.Sleep(5 * time.Millisecond)
		_, err = j.Conn.Write(rest)
	}
	return len(p), err
}

// Guards against a refusal that comes before the call's body was written, and is no longer taken for
// one: the call must be served by another backend server, and the rest of its body must not be read as
// another request.
func TestEarlyRefusalIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	count := newRunCounter()
	sound := startBackend(t, func(c net.Conn, r *http.Request) { count.run(c, r) })
	var r *fixture
	var after bytes.Buffer // what came behind the refusal
	ended := make(chan struct{})
	r = newFixture(t, forwardRoute(setAtMostOnce), startListener(t, func(c net.Conn) {
		defer close(ended)
		defer c.Close()
		br := bufio.NewReader(c)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.setBackend(1, sound, wire.BackendState_BACKEND_STATE_READY)
		r.f.selector.setView(r.log.Snapshot())
		io.WriteString(c, refusalOf(req.Header.Get("Call")))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(&after, br)
	}))
	req, _ := http.NewRequest(http.MethodPost, r.server.URL+"/p/x", strings.NewReader(strings.Repeat("x", 1<<20)))
	req.Host = "one.example"
	req.Header.Set("Call", "c1")
	req.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, 200)
	is.Equal(count.of("c1"), 1)
	<-ended
	is.Equal(strings.Trim(after.String(), "x"), "") // only the body
}

// Guards against the price of caution at sound backend servers: ones that refuse every second call must
// keep their connections, and the calls that they refuse must be served by others.
func TestRefusingServersKeepTheirConnections(t *testing.T) {
	const calls, callers = 400, 4
	for name, route := range map[string]func(*wire.ForwardRoute){"at most once": setAtMostOnce, "idempotent": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			count := newRunCounter()
			var accepted, arrived, refused atomic.Int32
			serve := func(refuses bool) string {
				return startListener(t, func(c net.Conn) {
					defer c.Close()
					accepted.Add(1)
					br := bufio.NewReader(c)
					for {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						if refuses && arrived.Add(1)%2 == 0 {
							refused.Add(1)
							io.WriteString(c, refusalOf(r.Header.Get("Call")))
							continue
						}
						count.run(c, r)
					}
				})
			}
			budget := func(o *Options) {
				o.Budget = RetryBudgetLimits{Ratio: 10, ExtraRetries: 10 * calls, Window: time.Minute, Routers: 1}
			}
			r := newFixtureWith(t, budget, forwardRoute(route), serve(true), serve(true), serve(false))
			var group sync.WaitGroup
			for caller := range callers {
				group.Go(func() {
					for i := range calls / callers {
						r.forgetFailures()
						id := fmt.Sprint("c", caller, "-", i)
						status, _, _, err := r.call("Call", id)
						is.NoErr(err)
						is.Equal(status, 200)
						is.Equal(count.of(id), 1)
					}
				})
			}
			group.Wait()
			t.Logf("%d calls, %d refused, %d connections", calls, refused.Load(), accepted.Load())
			is.True(refused.Load() > calls/20)
			is.True(accepted.Load() <= 3*callers+calls/20)
		})
	}
}

// Guards against a memory of sent calls that forgets a call before late copies have come, or that grows
// without bound.
func TestSentCallsAreRemembered(t *testing.T) {
	is := is.New(t)
	s := newSentCalls()
	now := time.Unix(1000, 0)
	is.True(!s.contains(now, "a", "c1"))
	is.True(!s.add(now, "a", "c1"))
	is.True(s.add(now, "a", "c1"))
	is.True(!s.contains(now, "b", "c1")) // another address
	is.True(s.contains(now.Add(sentMemory-1), "a", "c1"))
	is.True(s.contains(now.Add(sentMemory), "a", "c1"))
	is.True(!s.contains(now.Add(2*sentMemory), "a", "c1"))
	is.True(!s.add(now.Add(9*sentMemory), "a", "c1"))
	for i := range 3 * maxSent {
		s.add(now.Add(9*sentMemory), "a", fmt.Sprint(i))
	}
	is.True(len(s.current)+len(s.previous) <= 2*maxSent)
	is.True(s.contains(now.Add(9*sentMemory), "a", fmt.Sprint(3*maxSent-1)))
	is.True(s.contains(now.Add(9*sentMemory), "a", fmt.Sprint(2*maxSent)))
}

// Guards against the copy of a refusal of a call that the memory of sent calls has forgotten, since thousands
// of others were sent, and that comes again under its ID on a connection which was in use all the time.
func TestCopyForAForgottenCall(t *testing.T) {
	for name, response := range map[string]func(string) string{"refusal": refusalOf, "421": misdirectionOf} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			count := newRunCounter()
			var mu sync.Mutex
			carried := map[net.Conn]bool{} // connections that carried the first call
			arrived := 0
			r := newFixture(t, forwardRoute(setAtMostOnce), acceptingBackend(t, "", func(c net.Conn, req *http.Request) {
				mu.Lock()
				arrived++
				first, late := arrived == 1, carried[c]
				carried[c] = true
				mu.Unlock()
				copied := response(req.Header.Get("Call"))
				switch {
				case first:
					io.WriteString(c, copied)
				case late:
					io.WriteString(c, copied) // alone, so that nothing contradicts it
					time.Sleep(20 * time.Millisecond)
					count.run(c, req)
				default:
					count.run(c, req)
				}
			}))
			status, _, _, err := r.call()
			is.NoErr(err)
			is.Equal(status, 503)
			r.forgetFailures()
			r.keepIdle()
			for i := range 2*maxSent + 1 {
				r.f.connPool.sent.add(time.Now(), "other", fmt.Sprint(i))
			}
			status, _, _, err = r.call()
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			t.Logf("status %d, %d runs", status, count.of("c1"))
			is.True(count.of("c1") <= 1)
			is.True(!impliesNotExecuted(status) || count.of("c1") == 0)
		})
	}
}

// Guards against a connection whose memory of calls grows without bound, or that is not used again although
// it has carried other calls only.
func TestConnectionsRememberTheirCalls(t *testing.T) {
	is := is.New(t)
	address := startListener(t, hang)
	pool := newConnPool()
	connections := map[*conn]bool{}
	for i := range 2 * maxCallsPerConn {
		id := fmt.Sprint("c", i)
		c, err := pool.get(t.Context(), address, 0, id)
		is.NoErr(err)
		connections[c] = true
		is.True(!pool.recordSent(c, id))
		is.True(!c.mayCarry(pool.sent.hash(address, id)))
		pool.put(c, time.Minute)
	}
	is.Equal(len(connections), 2)
}
