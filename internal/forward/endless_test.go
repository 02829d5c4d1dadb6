package forward

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// maxEndlessBytes bounds what a router reads of one response that is no answer, with what
// waits in the buffers of the connection.
const maxEndlessBytes = 8 << 20

// writeForever writes parts, each with a number in it, until the peer closes. It returns the
// number of bytes written.
func writeForever(c net.Conn, part string, pause time.Duration) (n int64) {
	for i := 0; ; i++ {
		text := part
		if strings.Contains(part, "%d") {
			text = fmt.Sprintf(part, i)
		}
		written, err := c.Write([]byte(text))
		n += int64(written)
		if err != nil {
			return n
		}
		time.Sleep(pause)
	}
}

// Bytes that are no answer and come without end, fast or slowly, in a head or in a body, took
// the router's memory, or the time in which another backend server would have answered.
func TestEndlessResponses(t *testing.T) {
	long := strings.Repeat("x", 4<<10)
	const signed = "Call: c1\r\nSigned: yes\r\n"
	tests := map[string]struct {
		route func(*wire.ForwardRoute)
		// begin is sent first, then part again and again.
		begin, part string
		pause       time.Duration
	}{
		"status line":              {nil, "", long, 0},
		"garbage with line ends":   {nil, "", long + "\r\n", 0},
		"header line":              {nil, "HTTP/1.1 200 OK\r\nX: ", long, 0},
		"header lines":             {nil, "HTTP/1.1 200 OK\r\n", "X-%d: " + long + "\r\n", 0},
		"short header lines":       {nil, "HTTP/1.1 200 OK\r\n", "X-%d: y\r\n", 0},
		"interim responses":        {nil, "", "HTTP/1.1 102 Processing\r\n\r\n", 0},
		"slow interim responses":   {nil, "", "HTTP/1.1 102 Processing\r\n\r\n", 10 * time.Millisecond},
		"another call's body":      {nil, "HTTP/1.1 200 OK\r\nCall: other\r\nSigned: yes\r\n\r\n", long, 0},
		"another call's slow body": {nil, "HTTP/1.1 200 OK\r\nCall: other\r\nSigned: yes\r\n\r\n", "x", 10 * time.Millisecond},
		"refusal's body":           {nil, "HTTP/1.1 503 X\r\nNot-Run: 1\r\n\r\n", long, 0},
		"refusal's slow body":      {nil, "HTTP/1.1 503 X\r\nNot-Run: 1\r\n\r\n", "x", 10 * time.Millisecond},
		"misdirected call's body":  {nil, "HTTP/1.1 421 X\r\n" + signed + "\r\n", "x", 10 * time.Millisecond},
		"failure's body":           {nil, "HTTP/1.1 500 X\r\n" + signed + "\r\n", long, 0},
		"failure's slow body":      {nil, "HTTP/1.1 500 X\r\n" + signed + "\r\n", "x", 10 * time.Millisecond},
		"unsigned response's body": {nil, "HTTP/1.1 200 OK\r\n\r\n", "x", 10 * time.Millisecond},
		"encoded response's body":  {nil, "HTTP/1.1 200 OK\r\n" + signed + "Content-Encoding: gzip\r\n\r\n", "x", 10 * time.Millisecond},
		"chunk size":               {setResumableStream, "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		"chunk extension":          {setResumableStream, "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n1;", long, 0},
		"event":                    {setResumableStream, "HTTP/1.1 200 OK\r\n" + signed + "\r\ndata: ", long, 0},
		"lines of an event":        {setResumableStream, "HTTP/1.1 200 OK\r\n" + signed + "\r\n", "data: " + long + "\n", 0},
		"event after a good one":   {setResumableStream, "HTTP/1.1 200 OK\r\n" + signed + "\r\nid: 1\ndata: x\n\ndata: ", long, 0},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			var first atomic.Bool
			var sent atomic.Int64
			closed := make(chan struct{})
			script := func(c net.Conn, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					fmt.Fprint(c, test.begin)
					sent.Store(writeForever(c, test.part, test.pause))
					close(closed)
					return
				}
				if route := forwardRoute(test.route); route.Stream {
					after := 0
					fmt.Sscan(r.Header.Get("After"), &after)
					writeEvents(c, r, after+1, 2, true)
					return
				}
				writeResponse(c, r, 200, "", "whole")
			}
			r := newFixture(t, forwardRoute(test.route), startBackend(t, script), startBackend(t, script))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			status, body, _, err := r.call()
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			is.NoErr(err)
			is.Equal(status, 200) // of the other backend server
			if forwardRoute(test.route).Stream {
				is.Equal(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
			}
			is.True(took < time.Second) // the route's limit is 2 s
			is.True(after.TotalAlloc-before.TotalAlloc < maxEndlessBytes)
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Fatal("the connection was not closed")
			}
			is.True(sent.Load() < maxEndlessBytes)
		})
	}
}
