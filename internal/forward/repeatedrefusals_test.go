package forward

import (
	"bufio"
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

// send sends a call with a method and a body to the route of forwardRoute.
func (r *fixture) send(method, id, body string, headers ...string) (status int, text string, err error) {
	req, err := http.NewRequest(method, r.server.URL+"/p/x", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "one.example"
	req.Header.Set("Call", id)
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: time.Second}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// keepIdle makes the router use its idle connections for the next calls, however late they come on a busy
// machine.
func (r *fixture) keepIdle() {
	r.f.connPool.mu.Lock()
	defer r.f.connPool.mu.Unlock()
	for _, idle := range r.f.connPool.idle {
		for _, c := range idle {
			c.lastUsed = time.Now().Add(10 * time.Second)
			c.expires = c.lastUsed
		}
	}
}

// copyingBackend refuses the first call on each connection, and writes the copy of that refusal when the
// first bytes of the next request have arrived, before it reads them. It runs all other calls.
func copyingBackend(t *testing.T, count *runCounter, copies *atomic.Int32, copyOf func(id string) string) string {
	return startListener(t, func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReaderSize(c, 1<<10)
		for first := ""; ; {
			if first != "" {
				if _, err := br.Peek(1); err != nil {
					return
				}
				copies.Add(1)
				io.WriteString(c, copyOf(first))
				time.Sleep(20 * time.Millisecond) // the router gets the copy while its request is unread
			}
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if first == "" {
				first = r.Header.Get("Call")
				io.WriteString(c, refusalOf(first))
				continue
			}
			count.runWithoutBody(c, r)
			first = "-"
		}
	})
}

// runWithoutBody counts a run and answers it without a body, which is an answer to calls of all methods.
func (n *runCounter) runWithoutBody(c net.Conn, r *http.Request) {
	n.mu.Lock()
	n.runs[r.Header.Get("Call")]++
	n.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 X\r\nCall: %s\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Call"))
}

// Guards against the copy of an earlier refusal that comes when a part of the next request was sent, and before
// the server has read it: for each method, for bodies that are written in the background, and where the caller
// waits for the permission to send its body.
func TestCopyBeforeTheRequestIsRead(t *testing.T) {
	long := strings.Repeat("x", 900<<10)
	for name, test := range map[string]struct {
		method, body string
		headers      []string
		copyOf       func(id string) string
	}{
		"a short body":                       {http.MethodPost, "body", nil, refusalOf},
		"a long body":                        {http.MethodPost, long, nil, refusalOf},
		"a long body, a copy without an ID":  {http.MethodPost, long, nil, func(string) string { return refusalOf("") }},
		"a long body, 421 without an ID":     {http.MethodPost, long, nil, func(string) string { return misdirectionOf("") }},
		"a long body, two copies":            {http.MethodPost, long, nil, func(id string) string { return refusalOf(id) + refusalOf(id) }},
		"the caller waits with its body":     {http.MethodPost, long, []string{"Expect", "100-continue"}, refusalOf},
		"HEAD":                               {http.MethodHead, "", nil, refusalOf},
		"HEAD, a copy without an ID":         {http.MethodHead, "", nil, func(string) string { return refusalOf("") }},
		"GET":                                {http.MethodGet, "", nil, refusalOf},
		"permission to send the body before": {http.MethodPost, long, nil, func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + refusalOf(id) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			count := newRunCounter()
			var copies atomic.Int32
			r := newFixture(t, forwardRoute(setAtMostOnce), copyingBackend(t, count, &copies, test.copyOf))
			// The first call is refused, and the second one gets the copy, unless the router has not noticed in
			// time that all of the body is written, and does not keep the connection.
			for try := 0; copies.Load() == 0 && try < 20; try++ {
				id := fmt.Sprint("c", try)
				r.forgetFailures()
				r.keepIdle()
				status, _, err := r.send(test.method, id, test.body, test.headers...)
				is.NoErr(err)
				if copies.Load() == 0 {
					is.Equal(status, 503)
					is.Equal(count.of(id), 0)
					continue
				}
				is.Equal(status, 200)
				is.Equal(count.of(id), 1)
			}
			is.Equal(copies.Load(), int32(1))
		})
	}
}

// Guards against copies whose framing differs from that of their originals: the refusal of a HEAD call, which
// has no body, before the answer to another method, and the other way round.
func TestCopiesOfOtherMethods(t *testing.T) {
	refusalOfLength := func(id string, length int, body string) string {
		return fmt.Sprintf("HTTP/1.1 503 X\r\nCall: %s\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
	}
	for name, test := range map[string]struct {
		method string
		// late comes before the answer to the call.
		late string
	}{
		"a refusal without its body before GET":        {http.MethodGet, refusalOfLength("c1", 5, "")},
		"one as long as the answer before GET":         {http.MethodGet, refusalOfLength("c1", len(answerOf("c2")), "")},
		"one much longer than the answer before GET":   {http.MethodGet, refusalOfLength("c1", 5000, "")},
		"a refusal with its body before HEAD":          {http.MethodHead, refusalOfLength("c1", 5, "full\n")},
		"a refusal with a refusal as body before HEAD": {http.MethodHead, refusalOfLength("c1", len(refusalOf("c0")), refusalOf("c0"))},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			count := newRunCounter()
			var mu sync.Mutex
			carried := map[net.Conn]bool{}
			r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { setAtMostOnce(r); r.TimeoutMs = 700 }), acceptingBackend(t, "", func(c net.Conn, req *http.Request) {
				mu.Lock()
				late := carried[c]
				carried[c] = true
				mu.Unlock()
				if req.Header.Get("Call") == "c1" {
					count.runWithoutBody(c, req)
					return
				}
				is.True(late)
				io.WriteString(c, test.late)
				if req.Method == http.MethodHead {
					count.runWithoutBody(c, req)
					return
				}
				count.run(c, req)
			}))
			status, _, err := r.send(test.method, "c1", "")
			is.NoErr(err)
			is.Equal(status, 200)
			r.keepIdle()
			status, text, err := r.send(test.method, "c2", "")
			is.NoErr(err)
			t.Logf("status %d, %d runs", status, count.of("c2"))
			is.Equal(count.of("c2"), 1)
			is.True(status == 200 || status == 502 || status == 504)
			is.True(status != 200 || test.method == http.MethodHead || text == "whole")
		})
	}
}

// Guards against a refusal that one router got and that is taken for one to another router's attempt: two
// routers send a call with the same ID to a server, which writes copies on the connections of both.
func TestCopiesForTwoRouters(t *testing.T) {
	is := is.New(t)
	count := newRunCounter()
	var copies atomic.Int32
	backend := copyingBackend(t, count, &copies, refusalOf)
	first := newFixture(t, forwardRoute(setAtMostOnce), backend)
	second := newFixture(t, forwardRoute(setAtMostOnce), backend)
	for _, test := range []struct {
		router *fixture
		id     string
		status int
	}{
		{first, "c1", 503}, {second, "c2", 503}, // the first calls on each connection
		{first, "c2", 200}, {second, "c1", 200},
	} {
		test.router.forgetFailures()
		test.router.keepIdle()
		status, _, err := test.router.send(http.MethodPost, test.id, "body")
		is.NoErr(err)
		is.Equal(status, test.status)
	}
	is.Equal(copies.Load(), int32(2))
	is.Equal(count.of("c1"), 1)
	is.Equal(count.of("c2"), 1)
}

// Guards against a call that is answered as not run while one with the same ID runs: a caller sends it several
// times at once, and the server refuses some of them, each refusal once more on the same connection.
func TestCallsWithOneIDAtOnce(t *testing.T) {
	is := is.New(t)
	var arrived, ran, refused atomic.Int32
	r := newFixture(t, forwardRoute(setAtMostOnce), startListener(t, func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for last := ""; ; {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			io.WriteString(c, last) // alone
			time.Sleep(2 * time.Millisecond)
			id := req.Header.Get("Call")
			if arrived.Add(1)%2 == 0 {
				refused.Add(1)
				last = refusalOf(id)
				io.WriteString(c, last)
				continue
			}
			ran.Add(1)
			last = ""
			io.WriteString(c, answerOf(id))
		}
	}))
	var group sync.WaitGroup
	var notRun, answered atomic.Int32
	for round := range 10 {
		for range 8 {
			group.Go(func() {
				r.forgetFailures()
				status, _, err := r.send(http.MethodPost, fmt.Sprint("c", round%2), "body") // IDs come again
				is.NoErr(err)
				switch {
				case impliesNotExecuted(status):
					notRun.Add(1)
				case status == 200:
					answered.Add(1)
				}
			})
		}
		group.Wait()
	}
	t.Logf("%d ran, %d answered, %d refused, %d told not run", ran.Load(), answered.Load(), refused.Load(), notRun.Load())
	is.Equal(ran.Load(), answered.Load())
	is.True(notRun.Load() <= refused.Load())
}
