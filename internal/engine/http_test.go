package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/fault"
)

func newClient(t *testing.T, url string, plain bool, limits Limits) *HTTP {
	t.Helper()
	h, err := NewHTTP(HTTPOptions{URL: url, PlainService: plain, Limits: limits})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func testRequest(stream bool) *Request {
	return &Request{ID: "r1", Attempt: 2, Method: http.MethodPost, Path: "/v1/completions", Headers: http.Header{}, Body: []byte("{}"), Stream: stream}
}

// readAll runs a request and reads its complete response.
func readAll(h *HTTP, req *Request) (text string, tokens uint64, err error) {
	response, err := h.Run(context.Background(), req)
	if err != nil {
		return "", 0, err
	}
	defer response.Close()
	for {
		c, err := response.Next()
		if errors.Is(err, io.EOF) {
			return text, tokens, nil
		}
		if err != nil {
			return text, tokens, err
		}
		text += string(c.Data)
		tokens = c.CumulativeTokens
	}
}

// setEchoHeaders sets the headers that a response to testRequest must have.
func setEchoHeaders(w http.ResponseWriter) {
	w.Header().Set(dialect.RequestID, "r1")
	w.Header().Set(dialect.Attempt, "2")
}

func stream(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		setEchoHeaders(w)
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		io.WriteString(w, events)
	}
}

func TestEngineResponses(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		stream  bool
		text    string
		tokens  uint64
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"stream with positions", stream("id: r1.2/1\ndata: a\n\nid: r1.2/2\ndata: b\n\ndata: [DONE]\n\n"), true, "data: a\n\ndata: b\n\n", 2, 0, 0},
		{"stream without positions", stream("data: a\n\ndata: b\n\ndata: [DONE]\n\n"), true, "data: a\n\ndata: b\n\n", 2, 0, 0},
		{"stream without end marker", stream("id: r1.2/1\ndata: a\n\n"), true, "data: a\n\n", 1, fault.StreamBroken, fault.Unknown},
		{"event of another request", stream("id: r1.2/1\ndata: a\n\nid: r9.2/2\ndata: b\n\n"), true, "data: a\n\n", 1, fault.StreamBroken, fault.Unknown},
		{"event of another attempt", stream("id: r1.1/1\ndata: a\n\n"), true, "", 0, fault.StreamBroken, fault.Unknown},
		{"gap in the positions", stream("id: r1.2/1\ndata: a\n\nid: r1.2/3\ndata: c\n\n"), true, "data: a\n\n", 1, fault.StreamBroken, fault.Unknown},
		{"repeated position", stream("id: r1.2/1\ndata: a\n\nid: r1.2/1\ndata: a\n\n"), true, "data: a\n\n", 1, fault.StreamBroken, fault.Unknown},
		{"event over the limit", stream("data: " + strings.Repeat("x", 2000) + "\n\n"), true, "", 0, fault.StreamBroken, fault.Ran},
		{"invalid status", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(conn, "HTTP/1.1 099 None\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
			conn.Close()
		}, false, "", 0, fault.StreamBroken, fault.Unknown},
		{"response that is not streamed", func(w http.ResponseWriter, _ *http.Request) {
			setEchoHeaders(w)
			w.Header().Set(dialect.OutputTokens, "7")
			io.WriteString(w, "hello")
		}, false, "hello", 7, 0, 0},
		{"body shorter than announced", func(w http.ResponseWriter, _ *http.Request) {
			setEchoHeaders(w)
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "hello")
		}, false, "hello", 0, fault.StreamBroken, fault.Unknown},
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dialect.RequestID, "r9")
			io.WriteString(w, "secret")
		}, false, "", 0, fault.StreamBroken, fault.Unknown},
		{"response to another attempt", func(w http.ResponseWriter, _ *http.Request) {
			setEchoHeaders(w)
			w.Header().Set(dialect.Attempt, "1")
		}, false, "", 0, fault.StreamBroken, fault.Unknown},
		{"response without request ID", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whose?") }, false, "", 0, fault.StreamBroken, fault.Unknown},
		{"client error without request ID", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no messages", 400) }, false, "no messages\n", 0, 0, 0},
		{"refusal", func(w http.ResponseWriter, _ *http.Request) {
			setEchoHeaders(w)
			w.Header().Set(dialect.Refusal, dialect.RefusalOverloaded)
			w.WriteHeader(503)
		}, false, "", 0, fault.BackendRefused, fault.NotRun},
		{"refusal without request ID", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dialect.Refusal, dialect.RefusalOverloaded)
			w.WriteHeader(503)
		}, false, "", 0, fault.StreamBroken, fault.Unknown},
		{"refusal of weights", func(w http.ResponseWriter, _ *http.Request) {
			setEchoHeaders(w)
			w.Header().Set(dialect.Refusal, dialect.RefusalWeights)
			w.WriteHeader(409)
		}, false, "", 0, fault.StaleWeights, fault.NotRun},
		{"connection dropped before the head", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, "", 0, fault.StreamBroken, fault.Unknown},
		{"no head within the idle timeout", func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, false, "", 0, fault.BackendTimeout, fault.Unknown},
		{"stream stalls", func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			stream("data: a\n\n")(w, r)
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, true, "data: a\n\n", 1, fault.BackendTimeout, fault.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(test.handler)
			defer server.Close()
			limits := DefaultLimits()
			limits.EventBytes = 1000
			if test.kind == fault.BackendTimeout { // on a busy machine the others may take as long
				limits.IdleTimeout = 100 * time.Millisecond
			}
			text, tokens, err := readAll(newClient(t, server.URL, false, limits), testRequest(test.stream))
			is.Equal(text, test.text)
			is.Equal(tokens, test.tokens)
			if test.outcome == 0 {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.Equal(fault.From(err).Kind, test.kind)
			is.Equal(fault.From(err).Outcome, test.outcome)
		})
	}
}

func TestRequestIsNotRunIfConnectionIsRefused(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	url := "http://" + ln.Addr().String()
	ln.Close()
	_, _, err = readAll(newClient(t, url, false, Limits{}), testRequest(false))
	is.Equal(fault.From(err).Kind, fault.BackendRefused)
	is.Equal(fault.From(err).Outcome, fault.NotRun)
}

// If a server reads a request and then closes the reused connection, net/http sends
// the request again if it has an Idempotency-Key header. A request that must run at
// most once must not be sent again.
func TestAtMostOnceRequestIsNotResent(t *testing.T) {
	for _, body := range []string{"", "sample 12"} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/warm" {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			h := newClient(t, server.URL, true, Limits{})
			warm := testRequest(false)
			warm.Path = "/warm"
			_, _, err := readAll(h, warm)
			is.NoErr(err)
			req := testRequest(false)
			req.AtMostOnce = true
			req.Body = []byte(body)
			req.Headers.Set("Idempotency-Key", "k1")
			_, _, err = readAll(h, req)
			is.Equal(fault.From(err).Outcome, fault.Unknown)
			is.Equal(runs.Load(), int32(1))
		})
	}
}

func TestRequestHeaders(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		setEchoHeaders(w)
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Result", "7")
	}))
	defer server.Close()
	req := testRequest(false)
	req.Path = "/a%2Fb/c?q=1&q=2"
	req.CacheSalt, req.Priority, req.Incarnation, req.ResumeOffset = "salt", -3, 9, 5
	req.Headers = http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"}, "Te": {"trailers"},
		"X-Cache-Salt": {"another account's"}, "X-Request-Id": {"forged"}, "Authorization": {"Bearer k"}, "X-Kept": {"a", "b"},
	}
	response, err := newClient(t, server.URL, false, Limits{}).Run(context.Background(), req)
	is.NoErr(err)
	defer response.Close()
	is.Equal(got.URL.EscapedPath(), "/a%2Fb/c")
	is.Equal(got.URL.RawQuery, "q=1&q=2")
	is.Equal(got.Header["X-Kept"], []string{"a", "b"})
	is.Equal(got.Header.Get(dialect.CacheSalt), "salt")
	is.Equal(got.Header[dialect.RequestID], []string{"r1"})
	is.Equal(got.Header.Get(dialect.Priority), "-3")
	is.Equal(got.Header.Get(dialect.Incarnation), "9")
	is.Equal(got.Header.Get(dialect.LastEventID), "5")
	for _, name := range []string{"X-Hop", "Te", "Authorization"} {
		is.Equal(got.Header[name], nil)
	}
	is.Equal(response.Head().Headers.Get("X-Result"), "7")
	is.Equal(response.Head().Headers["Keep-Alive"], nil)
}

func TestControlRequestsAreLimited(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.ControlBytes = 100
	limits.ControlTimeout = 50 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case dialect.PathHealth:
			io.WriteString(w, strings.Repeat(" ", 1000)+"{}")
		case dialect.PathLoad:
			<-r.Context().Done()
		default:
			io.WriteString(w, "not JSON")
		}
	}))
	defer server.Close()
	h := newClient(t, server.URL, false, limits)
	_, err := h.Health(context.Background())
	is.True(fault.Is(err, fault.BodyTooLarge))
	_, err = h.Load(context.Background())
	is.True(fault.Is(err, fault.BackendTimeout))
	_, err = h.Events(context.Background(), 1)
	is.True(fault.Is(err, fault.StreamBroken))
}

func TestHealth(t *testing.T) {
	for _, test := range []struct {
		name, body  string
		status      int
		plain       bool
		incarnation uint64
		healthy     bool
	}{
		{"engine", `{"incarnation":7}`, 200, false, 7, true},
		{"engine without incarnation", `{}`, 200, false, 0, false},
		{"engine without JSON", `ok`, 200, false, 0, false},
		{"engine with error status", `{"incarnation":7}`, 503, false, 0, false},
		{"plain service", `{"incarnation":7}`, 200, true, 7, true},
		{"plain service without incarnation", `{"status":"up"}`, 200, true, plainIncarnation, true},
		{"plain service without JSON", `ok`, 200, true, plainIncarnation, true},
		{"plain service with error status", `ok`, 500, true, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				io.WriteString(w, test.body)
			}))
			defer server.Close()
			health, err := newClient(t, server.URL, test.plain, Limits{}).Health(context.Background())
			is.Equal(err == nil, test.healthy)
			if test.healthy {
				is.Equal(health.Incarnation, test.incarnation)
			}
		})
	}
}

func TestPlainServiceHeadersAreForwarded(t *testing.T) {
	is := is.New(t)
	var got http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		w.Header().Set("X-Refusal", "full")
		w.WriteHeader(503)
	}))
	defer server.Close()
	req := testRequest(false)
	req.Headers = http.Header{"Last-Event-Id": {"41"}, "X-Priority": {"high"}, "X-Request-Id": {"forged"}, "User-Agent": {"board/1"}}
	response, err := newClient(t, server.URL, true, Limits{}).Run(context.Background(), req)
	is.NoErr(err) // for a plain service, Refusal is an ordinary header
	defer response.Close()
	is.Equal(got["Last-Event-Id"], []string{"41"})
	is.Equal(got["X-Priority"], []string{"high"})
	is.Equal(got["User-Agent"], []string{"board/1"})
	is.Equal(got["X-Request-Id"], []string{"r1"})
	is.Equal(response.Head().Status, 503)
	is.Equal(response.Head().Headers.Get("X-Refusal"), "full")
}

func TestInvalidURLs(t *testing.T) {
	is := is.New(t)
	for _, url := range []string{"", "127.0.0.1:80", "https://127.0.0.1", "http://", "http://127.0.0.1/path", "http://127.0.0.1/?q"} {
		_, err := NewHTTP(HTTPOptions{URL: url})
		is.True(err != nil)
	}
}

// Guards against a second copy of a response that comes late, on a connection that is in use again, and
// is taken for the response to the next request, or for the promise that it has not run.
func TestLateCopiesAreNotResponses(t *testing.T) {
	whole := func(id, body string) string {
		if id != "" {
			id = dialect.RequestID + ": " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	refusal := func(id string) string {
		if id != "" {
			id = dialect.RequestID + ": " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 503 X\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n", id, dialect.Refusal, dialect.RefusalOverloaded)
	}
	for name, test := range map[string]struct {
		plain bool
		// copied is the response to the first request, and of its late copy.
		copied string
		// withID is set if the second response has an ID.
		withID bool
	}{
		"plain service without IDs":       {true, whole("", "first"), false},
		"plain service with IDs":          {true, whole("r0", "first"), true},
		"engine":                          {false, whole("r0", "first"), true},
		"refusal of an engine":            {false, refusal("r0"), true},
		"refusal of an engine without ID": {false, refusal(""), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				conn, buf, err := w.(http.Hijacker).Hijack()
				is.NoErr(err)
				defer conn.Close()
				for i := 0; ; i++ {
					if i > 0 || r.Header.Get(dialect.RequestID) == "r0" {
						io.WriteString(conn, test.copied)
					}
					if i > 0 || r.Header.Get(dialect.RequestID) != "r0" {
						id := ""
						if test.withID {
							id = "r1"
						}
						io.WriteString(conn, whole(id, "second"))
					}
					if r, err = http.ReadRequest(buf.Reader); err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
				}
			}))
			defer server.Close()
			h := newClient(t, server.URL, test.plain, Limits{})
			first := testRequest(false)
			first.ID = "r0"
			_, _, _ = readAll(h, first)
			text, _, err := readAll(h, testRequest(false))
			if err != nil {
				is.True(fault.From(err).Outcome != fault.NotRun) // the backend server has run it
				return
			}
			is.Equal(text, "second")
		})
	}
}
