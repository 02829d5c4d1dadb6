package forward

import (
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

// Guards against callers that speak HTTP/1.0 and take a response that was cut for a complete one, or lose a
// part of a complete one.
func TestCutResponsesToCallersWithHTTP10(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBody)
	noLength := func(headers, body string) backendScript {
		return func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\n%s\r\n%s", r.Header.Get("Call"), headers, body)
		}
	}
	inChunks := func(body string, end bool) backendScript {
		return func(c net.Conn, r *http.Request) { writeStream(c, r, "", body, end) }
	}
	for name, test := range map[string]struct {
		stream        bool
		first, second backendScript
		// status and body are those of the response, and reset is set if it must not look complete.
		status int
		body   string
		reset  bool
	}{
		"stream":                          {true, inChunks(eventText(1, 5), true), nil, 200, eventText(1, 5), false},
		"stream without a length":         {true, noLength(streamType, eventText(1, 5)), nil, 200, eventText(1, 5), false},
		"stream that goes on":             {true, inChunks(eventText(1, 3), false), inChunks(eventText(4, 5), true), 200, eventText(1, 5), false},
		"stream, then an error":           {true, inChunks(eventText(1, 3), false), func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "", "error\n\n") }, 200, eventText(1, 3), true},
		"stream, then a refusal":          {true, inChunks(eventText(1, 3), false), func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "Not-Run: 1\r\n", "") }, 200, eventText(1, 3), true},
		"stream cut in an event":          {true, inChunks(eventText(1, 3)+"id: 4\nda", false), func(net.Conn, *http.Request) {}, 200, eventText(1, 3), true},
		"error before the stream":         {true, func(c net.Conn, r *http.Request) { writeResponse(c, r, 404, "", "none\n") }, nil, 404, "none\n", false},
		"nothing before the stream":       {true, func(net.Conn, *http.Request) {}, func(net.Conn, *http.Request) {}, 502, "backend_crashed\n", false},
		"response":                        {false, func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "", "whole") }, nil, 200, "whole", false},
		"long response in chunks":         {false, inChunks(long, true), nil, 200, long, false},
		"long response in chunks, cut":    {false, inChunks(long, false), nil, 200, long, true},
		"long response, without a length": {false, noLength("", long), nil, 200, long, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var made atomic.Int32
			script := func(c net.Conn, r *http.Request) {
				if made.Add(1) == 1 {
					test.first(c, r)
					return
				}
				test.second(c, r)
			}
			f := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.Resumable = test.stream, test.stream }), startBackend(t, script), startBackend(t, script))
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := daemon.NewHTTPServer(&http.Server{Handler: f.f}, daemon.LimitListener(ln, "callers", 100))
			go func() { _ = server.Serve() }()
			t.Cleanup(func() { ln.Close() })
			c, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
			fmt.Fprint(c, "POST /p/x HTTP/1.0\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody")
			data, err := io.ReadAll(c)
			head, body, _ := strings.Cut(string(data), "\r\n\r\n")
			is.Equal(err != nil, test.reset)
			is.True(strings.Contains(head, fmt.Sprint(" ", test.status, " ")))
			is.True(!strings.Contains(head, "Transfer-Encoding"))
			if test.reset && len(test.body) == len(long) {
				is.True(strings.HasPrefix(long, body))
				return
			}
			is.Equal(body, test.body)
		})
	}
}
