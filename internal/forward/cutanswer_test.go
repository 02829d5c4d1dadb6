package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/wire"
)

// warmUp is the body of a call that a cuttingBackend answers whole, on a connection that it keeps.
const warmUp = "warm"

// cuttingBackend starts a backend server that reads the head and the first read bytes of the body of a call and
// then calls cut, after which the connection is closed. It keeps a connection after warmUp if keep is set.
func cuttingBackend(t *testing.T, read int64, keep bool, cut backendScript) string {
	return startListener(t, func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReaderSize(c, 16) // reads no more than it is asked for
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.ContentLength == int64(len(warmUp)) {
				_, _ = io.Copy(io.Discard, r.Body)
				if keep {
					writeResponse(c, r, 200, streamType, eventText(1, 1))
					continue
				}
				writeResponse(c, r, 200, streamType+"Connection: close\r\n", eventText(1, 1))
				return
			}
			_, _ = io.CopyN(io.Discard, r.Body, read)
			cut(c, r)
			return
		}
	})
}

// resetAfter returns a script that writes the head of an answer without a length, and a part of its body, and
// resets the connection after a delay.
func resetAfter(delay time.Duration, proto, headers, part string) backendScript {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "%s 200 OK\r\nCall: %s\r\nSigned: yes\r\n%s\r\n%s", proto, r.Header.Get("Call"), headers, part)
		time.Sleep(delay)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

var cutCalls atomic.Int64

// callWithBody sends a call with a new ID. complete is set if the caller gets a response that is whole.
func (r *fixture) callWithBody(client *http.Client, body string) (status int, text string, complete bool) {
	req, err := http.NewRequest(http.MethodPost, r.server.URL+"/p/x", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "one.example"
	req.Header.Set("Call", fmt.Sprint("cut", cutCalls.Add(1)))
	req.Header.Set("Key", "k")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err == nil
}

func newCaller(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against a part of an answer without a length that a caller gets as a whole one: the server resets the
// connection while the request is still being written, the write takes the error, and the read after it sees an
// end like that of a whole answer.
func TestAnswersThatAreResetAreNotWhole(t *testing.T) {
	const calls = 10
	type framing struct{ proto, headers, part string }
	framings := map[string]framing{
		"no length":              {"HTTP/1.1", "", "part"},
		"no length, close":       {"HTTP/1.1", "Connection: close\r\n", "part"},
		"HTTP 1.0":               {"HTTP/1.0", "", "part"},
		"chunks":                 {"HTTP/1.1", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"},
		"length":                 {"HTTP/1.1", "Content-Length: 8\r\n", "part"},
		"no length, head only":   {"HTTP/1.1", "", ""},
		"no length, long part":   {"HTTP/1.1", "", strings.Repeat("x", maxBufferedBody+1000)},
		"chunks, long part":      {"HTTP/1.1", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", maxBufferedBody+1000, strings.Repeat("x", maxBufferedBody+1000))},
		"stream, no length":      {"HTTP/1.1", streamType, eventText(1, 3)},
		"stream, no whole event": {"HTTP/1.1", streamType, "id: 1\nda"},
		"stream, chunks":         {"HTTP/1.1", streamType + "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(eventText(1, 3)), eventText(1, 3))},
	}
	cases := []struct {
		size, read int
		delay      time.Duration
		kept       bool
	}{
		{size: 200}, {size: asyncBodySize, read: 100}, {size: asyncBodySize + 1}, {size: 64 << 10}, {size: 64 << 10, kept: true},
		{size: 64 << 10, delay: 2 * time.Millisecond}, {size: 1 << 20, read: 4 << 10}, {size: 1 << 20, read: 200_000, kept: true},
	}
	for name, f := range framings {
		for _, atMostOnce := range []bool{false, true} {
			for _, test := range cases {
				t.Run(fmt.Sprintf("%s, at most once %v, %+v", name, atMostOnce, test), func(t *testing.T) {
					var reached atomic.Int32
					cut := resetAfter(test.delay, f.proto, f.headers, f.part)
					backend := cuttingBackend(t, int64(test.read), test.kept, func(c net.Conn, r *http.Request) {
						reached.Add(1)
						cut(c, r)
					})
					r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) {
						r.Stream, r.Attempts = strings.HasPrefix(name, "stream"), 1
						if atMostOnce {
							setAtMostOnce(r)
						}
					}), backend)
					caller, whole := newCaller(t), 0
					for range calls {
						for range 4 { // so that the breaker of the server stays closed
							r.callWithBody(caller, warmUp)
						}
						if status, _, complete := r.callWithBody(caller, strings.Repeat("x", test.size)); complete && status < 300 {
							whole++
						}
					}
					if whole > 0 {
						t.Errorf("%d of %d calls got a part as a whole answer", whole, reached.Load())
					}
					if reached.Load() < calls/2 {
						t.Errorf("only %d calls have reached the server", reached.Load())
					}
				})
			}
		}
	}
}

// Guards against answers without a length that are refused although they are whole, or delivered as whole although
// the server has not got the whole request: such an end can't be told from that of a server that broke off.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const size = 1 << 20 // more than the buffers of a connection that nobody reads
	head := func(c net.Conn, r *http.Request, part string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\n%s\r\n%s", r.Header.Get("Call"), streamType, part)
	}
	whole := eventText(1, 3)
	for name, test := range map[string]struct {
		read  int64
		cut   backendScript
		whole bool
	}{
		"whole request read": {size, func(c net.Conn, r *http.Request) { head(c, r, whole) }, true},
		"whole request read, in two": {size, func(c net.Conn, r *http.Request) {
			head(c, r, whole[:20])
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, whole[20:])
		}, true},
		"request read after the end": {1000, func(c net.Conn, r *http.Request) {
			head(c, r, whole)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
		}, true},
		"request not read, closed": {1000, func(c net.Conn, r *http.Request) { head(c, r, whole) }, false},
		"request not read, closed a moment after the end": {1000, func(c net.Conn, r *http.Request) {
			head(c, r, whole)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}, false},
		"request not read, closed long after the end": {1000, func(c net.Conn, r *http.Request) {
			head(c, r, whole)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(2 * time.Second)
		}, false},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", stream ", stream), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				backend := cuttingBackend(t, test.read, false, test.cut)
				r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.Attempts, r.TimeoutMs = stream, 1, 10_000 }), backend)
				began := time.Now()
				status, text, complete := r.callWithBody(newCaller(t), strings.Repeat("x", size))
				is.Equal(complete && status == 200, test.whole)
				if test.whole {
					is.Equal(text, whole)
				}
				is.True(time.Since(began) < 1500*time.Millisecond)
			})
		}
	}
}

// Guards against a part of an answer that callers with HTTP/1.0, whose responses end with their connection, get as a
// whole one.
func TestResetAnswersToCallersWithHTTP10(t *testing.T) {
	for name, test := range map[string]struct {
		stream        bool
		headers, part string
	}{
		"part delivered": {false, "", strings.Repeat("x", maxBufferedBody+1000)},
		"stream":         {true, streamType, eventText(1, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			whole := 0
			for range 20 {
				backend := cuttingBackend(t, 0, false, resetAfter(0, "HTTP/1.1", test.headers, test.part))
				f := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.Attempts = test.stream, 1 }), backend)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				server := daemon.NewHTTPServer(&http.Server{Handler: f.f}, daemon.LimitListener(ln, "callers", 100))
				go func() { _ = server.Serve() }()
				t.Cleanup(func() { ln.Close() })
				c, err := net.Dial("tcp", ln.Addr().String())
				is.NoErr(err)
				is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
				fmt.Fprintf(c, "POST /p/x HTTP/1.0\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: %d\r\n\r\n", 64<<10)
				_, err = io.WriteString(c, strings.Repeat("x", 64<<10))
				is.NoErr(err)
				data, err := io.ReadAll(c)
				c.Close()
				if err == nil && strings.Contains(string(data), " 200 OK\r\n") {
					whole++
				}
			}
			is.Equal(whole, 0)
		})
	}
}

// Guards against refusals without a length that hold their call back until the server has got the rest of its request.
func TestRefusalThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	refusing := cuttingBackend(t, 1000, false, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\nCall: %s\r\nSigned: yes\r\nNot-Run: 1\r\n\r\nfull", r.Header.Get("Call"))
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(2 * time.Second)
	})
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Attempts = 1 }), refusing)
	began := time.Now()
	status, _, complete := r.callWithBody(newCaller(t), strings.Repeat("x", 1<<20))
	is.True(complete)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 400*time.Millisecond)
}

// Guards against calls that end with a reset answer although another server may serve them, and against calls that are
// sent there although they must not run twice.
func TestResetAnswersGoOnElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		stream, atMostOnce bool
		first, want        string
	}{
		"plain":              {false, false, "part", "whole"},
		"plain, once":        {false, true, "part", ""},
		"stream":             {true, false, eventText(1, 2), eventText(1, 5)},
		"stream, half event": {true, false, eventText(1, 2) + "id: 3\nda", eventText(1, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				is := is.New(t)
				var made atomic.Int32
				reset := resetAfter(0, "HTTP/1.1", streamType, test.first)
				script := func(c net.Conn, r *http.Request) {
					if made.Add(1) == 1 {
						reset(c, r)
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					body := test.want
					if test.stream {
						after := 0
						_, _ = fmt.Sscan(r.Header.Get("After"), &after)
						body = eventText(after+1, 5)
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\n%s\r\n%s", r.Header.Get("Call"), streamType, body)
				}
				r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) {
					r.Stream, r.Resumable = test.stream, test.stream
					if test.atMostOnce {
						setAtMostOnce(r)
					}
				}), cuttingBackend(t, 0, false, script), cuttingBackend(t, 0, false, script))
				status, text, complete := r.callWithBody(newCaller(t), strings.Repeat("x", 64<<10))
				is.True(complete)
				if test.want == "" {
					is.Equal(status, http.StatusBadGateway)
					is.Equal(made.Load(), int32(1))
					continue
				}
				is.Equal(status, http.StatusOK)
				is.Equal(text, test.want)
			}
		})
	}
}

// Guards against answers of HTTP/1.0 with chunks, which that does not have: callers got the chunks as they are for the
// body, also if the last one was missing.
func TestChunksInHTTP10(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
		for _, end := range []string{"", "0\r\n\r\n"} {
			is := is.New(t)
			backend := cuttingBackend(t, 6, false, func(c net.Conn, r *http.Request) {
				fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nCall: %s\r\n", r.Header.Get("Call"))
				time.Sleep(pause)
				fmt.Fprintf(c, "Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n%s", end)
			})
			r := newFixture(t, forwardRoute(nil), backend)
			status, _, complete := r.callWithBody(newCaller(t), "longer")
			is.True(complete)
			is.Equal(status, http.StatusBadGateway)
		}
	}
}
