package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/fault"
)

// serveConnections serves each connection with serve and returns the URL.
func serveConnections(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) string {
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
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// readRequest reads a request with its body; nil at the end of the connection.
func readRequest(br *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

// echo returns the headers that name a request; without those that are empty.
func echo(id, attempt string) string {
	text := ""
	if id != "" {
		text += dialect.RequestID + ": " + id + "\r\n"
	}
	if attempt != "" {
		text += dialect.Attempt + ": " + attempt + "\r\n"
	}
	return text
}

func refusalText(id, attempt, refusal string) string {
	return fmt.Sprintf("HTTP/1.1 503 X\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n", echo(id, attempt), dialect.Refusal, refusal)
}

func answerText(id, attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo(id, attempt), len(body), body)
}

// Guards against a refusal of another attempt, or one that names no request, and is taken for the promise
// that the attempt has not run. The engine runs the attempt each time.
func TestUncertainRefusalsPromiseNothing(t *testing.T) {
	for name, test := range map[string]struct {
		// first is the response to attempt 1, and late what comes before that to attempt 2, on the
		// same connection.
		first, late string
		// greeting comes on each connection before anything is read.
		greeting string
	}{
		"refusal of an earlier attempt":            {refusalText("r1", "1", dialect.RefusalOverloaded), refusalText("r1", "1", dialect.RefusalOverloaded), ""},
		"refusal that names no attempt":            {refusalText("r1", "", dialect.RefusalOverloaded), refusalText("r1", "", dialect.RefusalOverloaded), ""},
		"refusal without an ID behind an answer":   {answerText("r1", "1", "first"), refusalText("", "", dialect.RefusalIncarnation), ""},
		"refusal without an ID behind a refusal":   {refusalText("r1", "1", dialect.RefusalWeights), refusalText("", "", dialect.RefusalWeights), ""},
		"refusal without an ID before the request": {answerText("r1", "1", "first"), "", refusalText("", "", dialect.RefusalOverloaded)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
				io.WriteString(c, test.greeting)
				for r := readRequest(br); r != nil; r = readRequest(br) {
					if r.Header.Get(dialect.Attempt) == "1" {
						io.WriteString(c, test.first)
						continue
					}
					io.WriteString(c, test.late+answerText("r1", "2", "second"))
				}
			})
			h := newClient(t, url, false, Limits{})
			first := testRequest(false)
			first.Attempt = 1
			_, _, _ = readAll(h, first)
			text, _, err := readAll(h, testRequest(false))
			if err != nil {
				is.Equal(fault.From(err).Outcome, fault.Unknown)
				return
			}
			is.Equal(text, "second")
		})
	}
}

// Guards against a second copy of the response to a control request, or to an order, that is taken for the
// response to a call or to the next order.
func TestCopiesOfControlResponses(t *testing.T) {
	is := is.New(t)
	var orders atomic.Int32
	url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
		var copied string // of the response before on this connection
		for r := readRequest(br); r != nil; r = readRequest(br) {
			own := answerText("r1", "2", "call's")
			switch {
			case r.URL.Path == dialect.PathCancel:
				own = "HTTP/1.1 404 X\r\nContent-Length: 9\r\n\r\ncontrol's"
			case r.URL.Path == dialect.PathOrders && orders.Add(1) == 1:
				own = refusalText("", "", dialect.RefusalFencing)
			case r.URL.Path == dialect.PathOrders:
				own = answerText("", "", "{}")
			}
			io.WriteString(c, copied+own)
			copied = own
		}
	})
	h := newClient(t, url, false, Limits{})
	is.NoErr(h.Cancel(context.Background(), "r0", 1))
	text, _, err := readAll(h, testRequest(false))
	is.NoErr(err)
	is.Equal(text, "call's")
	is.True(fault.Is(h.Order(context.Background(), dialect.Order{Fencing: 1}), fault.StaleFencing))
	is.NoErr(h.Order(context.Background(), dialect.Order{Fencing: 2}))
}

// Guards against a refusal that counts as the promise that the request has not run although the engine's answer
// to it has arrived behind it: a request that runs at most once would run at a second engine.
func TestRefusalFollowedByTheAnswer(t *testing.T) {
	refusal := refusalText("r1", "2", dialect.RefusalOverloaded)
	answer := answerText("r1", "2", "second")
	for name, test := range map[string]struct {
		text string
		// refused is set if the refusal must count.
		refused bool
	}{
		"the answer":                         {refusal + answer, false},
		"a copy and the answer":              {refusal + refusal + answer, false},
		"the answer, no length":              {strings.Replace(refusal, "Content-Length: 0\r\n", "", 1) + answer, false},
		"the answer, within its length":      {strings.Replace(refusal, "Length: 0", "Length: 400", 1) + answer, false},
		"an interim response and the answer": {"HTTP/1.1 103 X\r\n\r\n" + refusal + "HTTP/1.1 103 X\r\n\r\n" + answer, false},
		"nothing":                            {refusal, true},
		"a copy":                             {refusal + refusal, true},
		"an answer to another request":       {refusal + answerText("r0", "2", "other"), true},
		"an answer to an earlier attempt":    {refusal + answerText("r1", "1", "first"), true},
		"an interim response":                {refusal + "HTTP/1.1 103 X\r\n\r\n", true},
		"bytes that are no response":         {refusal + "beyond\r\n\r\n", true},
	} {
		for _, atMostOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/at most once %v", name, atMostOnce), func(t *testing.T) {
				is := is.New(t)
				url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
					for r := readRequest(br); r != nil; r = readRequest(br) {
						io.WriteString(c, test.text)
					}
				})
				h := newClient(t, url, false, Limits{IdleTimeout: 200 * time.Millisecond})
				req := testRequest(false)
				req.AtMostOnce = atMostOnce
				_, _, err := readAll(h, req)
				is.True(err != nil)
				is.Equal(fault.From(err).Outcome == fault.NotRun, test.refused)
			})
		}
	}
}

// Guards against a connection that stays in use after a response to another request came on it: each response
// on it would be taken for that to the request after its own, and all of them would fail.
func TestConnectionWithAnotherResponseIsClosed(t *testing.T) {
	for name, first := range map[string]string{
		"refusal": refusalText("r1", "1", dialect.RefusalOverloaded),
		"answer":  answerText("r1", "1", ""),
		"error":   strings.Replace(answerText("r1", "1", ""), "200 OK", "500 X", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var copied atomic.Bool
			url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
				for n := 0; ; n++ {
					r := readRequest(br)
					if r == nil {
						return
					}
					id, attempt := r.Header.Get(dialect.RequestID), r.Header.Get(dialect.Attempt)
					switch {
					case attempt == "1":
						io.WriteString(c, first)
						continue
					case n == 1 && copied.CompareAndSwap(false, true): // the copy, and the response to the request a while later
						io.WriteString(c, first)
						time.Sleep(100 * time.Millisecond)
					}
					io.WriteString(c, answerText(id, attempt, ""))
				}
			})
			h := newClient(t, url, false, Limits{IdleTimeout: 2 * time.Second})
			attempt := func(n uint32) error {
				req := testRequest(false)
				req.Attempt = n
				_, _, err := readAll(h, req)
				return err
			}
			_ = attempt(1)
			is.True(attempt(2) != nil) // it got the copy
			for n := range uint32(5) {
				is.NoErr(attempt(3 + n))
			}
		})
	}
}

// Guards against a copy of a response to one kind of control request that is taken for the response to another: a
// report of the load names the incarnation too, so that a health check would find an engine without models, and the
// requests for it would be refused.
func TestCopiesOfOtherControlResponses(t *testing.T) {
	is := is.New(t)
	var copies atomic.Int32
	url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
		var copied string // of the response before on this connection
		for r := readRequest(br); r != nil; r = readRequest(br) {
			own := ""
			switch r.URL.Path {
			case dialect.PathHealth:
				own = answerText("", "", `{"incarnation":7,"models":[{"model":"m","weights_version":"2"}]}`)
			case dialect.PathLoad:
				own = answerText("", "", `{"incarnation":7,"running":3}`)
			case dialect.PathEvents:
				own = answerText("", "", `{"incarnation":7,"oldest":1,"next":9,"events":[]}`)
			case dialect.PathCancel:
				own = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
			}
			if copied != "" {
				copies.Add(1)
			}
			io.WriteString(c, copied+own)
			copied = own
		}
	})
	h := newClient(t, url, false, Limits{})
	for range 10 {
		health, err := h.Health(t.Context())
		is.NoErr(err)
		is.Equal(len(health.Models), 1)
		load, err := h.Load(t.Context())
		is.NoErr(err)
		is.Equal(load.Running, 3)
		is.NoErr(h.Cancel(t.Context(), "r0", 1))
		events, err := h.Events(t.Context(), 3)
		is.NoErr(err)
		is.Equal(events.Next, uint64(9))
	}
	is.True(copies.Load() > 0)
}

// Guards against the copy of a refusal for a request that comes again with the same ID and the same attempt, as a
// caller that was refused sends it: one that runs at most once must not be told not to have run.
func TestCopyForARequestThatComesAgain(t *testing.T) {
	is := is.New(t)
	var arrived, ran atomic.Int32
	url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
		copied := ""
		for r := readRequest(br); r != nil; r = readRequest(br) {
			io.WriteString(c, copied) // alone, so that nothing contradicts it
			time.Sleep(10 * time.Millisecond)
			if arrived.Add(1)%2 == 1 {
				copied = refusalText("r1", "2", dialect.RefusalOverloaded)
				io.WriteString(c, copied)
				continue
			}
			ran.Add(1)
			io.WriteString(c, answerText("r1", "2", "second"))
		}
	})
	h := newClient(t, url, false, Limits{})
	req := testRequest(false)
	req.AtMostOnce = true
	for range 5 {
		_, _, err := readAll(h, req)
		is.True(err != nil)
		is.Equal(fault.From(err).Outcome, fault.NotRun)
		text, _, err := readAll(h, req)
		is.NoErr(err)
		is.Equal(text, "second")
	}
	is.Equal(ran.Load(), int32(5))
}

// Guards against a refusal that comes before the request's body was written, and is no longer taken for one, and
// against the rest of that body, or other requests, on its connection.
func TestRefusalBeforeTheBodyIsWritten(t *testing.T) {
	for _, atMostOnce := range []bool{true, false} {
		t.Run(fmt.Sprintf("at most once %v", atMostOnce), func(t *testing.T) {
			is := is.New(t)
			behind := make(chan string, 1)
			url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if r.ContentLength < 1<<20 {
					io.WriteString(c, answerText("r1", r.Header.Get(dialect.Attempt), "short"))
					return
				}
				io.WriteString(c, refusalText("r1", "2", dialect.RefusalOverloaded))
				time.Sleep(100 * time.Millisecond)
				data, _ := io.ReadAll(br)
				behind <- strings.Trim(string(data), "x")
			})
			h := newClient(t, url, false, Limits{})
			req := testRequest(false)
			req.AtMostOnce, req.Body = atMostOnce, []byte(strings.Repeat("x", 8<<20))
			_, _, err := readAll(h, req)
			is.True(err != nil)
			is.Equal(fault.From(err).Outcome, fault.NotRun)
			next := testRequest(false)
			next.Attempt = 3
			text, _, err := readAll(h, next)
			is.NoErr(err)
			is.Equal(text, "short")
			is.Equal(<-behind, "") // only the body
		})
	}
}

// Guards against a response whose head is cut short and that is passed on as a whole one with an empty or short body. The
// engine stops after each byte of the head and closes or resets the connection.
func TestResponseWithHeadCutShortIsAnError(t *testing.T) {
	heads := map[string]string{
		"length":                "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Content-Length: 13\r\n\r\n",
		"length 0":              "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Content-Length: 0\r\n\r\n",
		"chunks":                "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Transfer-Encoding: chunked\r\n\r\n",
		"end of the connection": "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Connection: close\r\n\r\n",
		"event stream":          "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Content-Type: text/event-stream\r\n\r\n",
		"interim response":      "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Content-Length: 13\r\n\r\n",
	}
	for name, head := range heads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				for cut := range len(head) {
					url := serveConnections(t, func(c net.Conn, br *bufio.Reader) {
						readRequest(br)
						_, _ = io.WriteString(c, head[:cut])
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
					})
					text, _, err := readAll(newClient(t, url, true, Limits{}), testRequest(name == "event stream"))
					if err == nil {
						t.Fatalf("cut after %d of %d bytes: whole response with the body %q", cut, len(head), text)
					}
				}
			})
		}
	}
}
