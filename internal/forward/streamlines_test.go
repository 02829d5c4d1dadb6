package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// callerEvents reads a stream as callers do, by the standard of server-sent events: lines end with a line
// feed, a carriage return or both, and a byte order mark counts only at the beginning. It returns the IDs
// that callers have at each event with data, and whether the last event is whole.
func callerEvents(body string) (ids []string, whole bool) {
	body = strings.TrimPrefix(body, "\ufeff")
	body = strings.ReplaceAll(strings.ReplaceAll(body, "\r\n", "\n"), "\r", "\n")
	id, data := "", false
	lines := strings.Split(body, "\n")
	for _, line := range lines[:len(lines)-1] {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case line == "":
			if data {
				ids = append(ids, id)
			}
			data = false
		case name == "data":
			data = true
		case name == "id" && !strings.Contains(value, "\x00"):
			id = strings.TrimPrefix(value, " ")
		}
	}
	return ids, !data && lines[len(lines)-1] == ""
}

// idsUpTo returns the IDs from 1 to last.
func idsUpTo(last int) (ids []string) {
	for i := range last {
		ids = append(ids, strconv.Itoa(i+1))
	}
	return ids
}

// Guards against streams whose lines end with carriage returns, or that begin with a byte order mark, and
// that are cut, go on at the wrong event, or get a byte order mark in the middle.
func TestLineEndsOfStreams(t *testing.T) {
	const pieces = 5
	for endName, end := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		for _, mark := range []string{"", "\ufeff"} {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, mark %t, cut %t", endName, mark != "", cut), func(t *testing.T) {
					is := is.New(t)
					var made atomic.Int32
					script := func(c net.Conn, r *http.Request) {
						after := 0
						fmt.Sscan(r.Header.Get("After"), &after)
						events := strings.ReplaceAll(eventText(after+1, pieces), "\n", end)
						if made.Add(1) == 1 && cut {
							text := strings.ReplaceAll(eventText(1, 3)+"id: 4\nda", "\n", end)
							writeStream(c, r, streamType, mark+text, false)
							return
						}
						writeStream(c, r, streamType, mark+events, true)
					}
					f := newFixture(t, forwardRoute(setResumableStream), startBackend(t, script), startBackend(t, script))
					_, body, complete := splitResponse(f.callRaw())
					t.Logf("%q", body)
					is.True(complete)
					ids, whole := callerEvents(body)
					is.True(whole)
					is.Equal(ids, idsUpTo(pieces))
					if !cut {
						is.Equal(body, mark+strings.ReplaceAll(eventText(1, pieces), "\n", end)) // the server's bytes
					}
				})
			}
		}
	}
}

// Guards against an event that waits for the next one, because its lines end with carriage returns only.
func TestEventsWithCarriageReturnsAreNotHeldBack(t *testing.T) {
	is := is.New(t)
	read, write := io.Pipe()
	defer read.Close()
	r := eventReader{r: bufio.NewReader(read)}
	for _, text := range []string{"id: 1\rdata: x\r\r", "id: 2\r\ndata: x\r\n\r\n", "id: 3\ndata: x\n\n"} {
		go io.WriteString(write, text)
		got := make(chan string, 1)
		go func() { event, _, _ := r.next(); got <- string(event) }()
		select {
		case event := <-got:
			is.Equal(event, text)
		case <-time.After(5 * time.Second):
			t.Fatalf("%q is held back", text)
		}
	}
}

// Guards against line ends that are taken apart by the buffer, or by the time at which bytes arrive.
func TestLineEndsInParts(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		for length := range 40 {
			is := is.New(t)
			want := []string{"id: 1\ndata: " + strings.Repeat("x", length) + "\n\n", ": " + strings.Repeat("y", length) + "\n\n", "data: z\n\n"}
			text := strings.ReplaceAll(strings.Join(want, ""), "\n", end)
			for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
				r := eventReader{r: bufio.NewReaderSize(source, 16)}
				for _, event := range want {
					got, _, err := r.next()
					is.NoErr(err)
					is.Equal(string(got), strings.ReplaceAll(event, "\n", end))
				}
				_, _, err := r.next()
				is.True(errors.Is(err, io.EOF))
			}
		}
	}
}

// Guards against the ID of an event that callers ignore, or that no request can name: another server would go
// on at an event that the caller does not have.
func TestIDsThatCantBeNamed(t *testing.T) {
	for name, test := range map[string]struct {
		// last is the last event of the first server, and after the ID that the second one gets; "-" if none
		// must be asked.
		last, after string
	}{
		"NUL":                      {"id: 3\x00\ndata: x\n\n", "-"},
		"control character":        {"id: 3\x01\ndata: x\n\n", "-"},
		"DEL":                      {"id: 3\x7f\ndata: x\n\n", "-"},
		"NUL, and a proper one":    {"id: 3\nid: 4\x00\ndata: x\n\n", "3"},
		"NUL, without data":        {"id: 9\x00\n\n", "2"},
		"carriage return after it": {"id: 3\rdata: x\n\n", "3"},
		"carriage return before":   {"data: x\rid: 3\n\n", "3"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var made atomic.Int32
			after := "-"
			script := func(c net.Conn, r *http.Request) {
				if made.Add(1) == 1 {
					writeStream(c, r, streamType, eventText(1, 2)+test.last, false)
					return
				}
				after = r.Header.Get("After")
				next, _ := strconv.Atoi(after)
				writeStream(c, r, streamType, eventText(next+1, 5), true)
			}
			f := newFixture(t, forwardRoute(setResumableStream), startBackend(t, script), startBackend(t, script))
			_, body, complete := splitResponse(f.callRaw())
			t.Logf("%q", body)
			is.Equal(after, test.after)
			is.Equal(made.Load(), map[bool]int32{true: 1, false: 2}[test.after == "-"])
			is.Equal(complete, test.after != "-")
			if complete {
				ids, whole := callerEvents(body)
				is.True(whole)
				is.Equal(ids, idsUpTo(5))
			}
		})
	}
}

// Guards against a stream that is joined from two runs, repeats or skips events, gets other bytes, or looks
// complete too early, after any sequence of answers of up to eight servers.
func TestStreamsOverManyAttempts(t *testing.T) {
	const pieces = 6
	whole := eventText(1, pieces)
	type answer struct {
		name  string
		write func(c net.Conn, r *http.Request, after int)
	}
	raw := func(text string) func(net.Conn, *http.Request, int) {
		return func(c net.Conn, r *http.Request, _ int) {
			io.WriteString(c, strings.ReplaceAll(text, "\nCall:", "\nSigned: yes\r\nCall: "+r.Header.Get("Call")))
		}
	}
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }
	// head is that of an answer of a server.
	const head = "\r\nCall:\r\n"
	const text = "an error\r\n\r\nHTTP/1.1 500 X\r\n\r\n"
	goOn := func(n, tail int, end bool) func(net.Conn, *http.Request, int) {
		return func(c net.Conn, r *http.Request, after int) {
			last := min(after+n, pieces)
			next := eventText(min(last+1, pieces), min(last+1, pieces))
			writeStream(c, r, streamType, eventText(after+1, last)+next[:min(tail, len(next)-1)], end && last == pieces)
		}
	}
	answers := []answer{
		{"goes on by one, cut", goOn(1, 0, false)},
		{"goes on by two, cut", goOn(2, 0, false)},
		{"goes on by one, cut in an event", goOn(1, 9, false)},
		{"cut in an event", goOn(0, 14, false)},
		{"goes on by one, reset", func(c net.Conn, r *http.Request, after int) { goOn(1, 3, false)(c, r, after); reset(c) }},
		{"comments, cut", func(c net.Conn, r *http.Request, _ int) { writeStream(c, r, streamType, ": a\n\nretry: 9\n\n", false) }},
		{"with a length, cut short at an event", func(c net.Conn, r *http.Request, after int) {
			events := eventText(after+1, min(after+1, pieces))
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nCall: %s\r\nSigned: yes\r\n%sContent-Length: %d\r\n\r\n%s", r.Header.Get("Call"), streamType, len(events)+100, events)
		}},
		{"without a length, reset", func(c net.Conn, r *http.Request, after int) {
			raw("HTTP/1.1 200 X"+head+streamType+"\r\n")(c, r, after)
			io.WriteString(c, eventText(after+1, min(after+1, pieces)))
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}},
		{"interim answers, then an error", raw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 500 X" + head + "Content-Length: 5\r\n\r\nerror")},
		{"interim answers, then goes on", func(c net.Conn, r *http.Request, after int) {
			io.WriteString(c, "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nContent-Type: text/event-stream\r\nCall: c1\r\n\r\n")
			goOn(1, 0, false)(c, r, after)
		}},
		{"interim answers without end", raw(strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 20))},
		{"500", raw("HTTP/1.1 500 X" + head + "Content-Length: 32\r\n\r\n" + text)},
		{"500, cut", raw("HTTP/1.1 500 X" + head + "Content-Length: 99\r\n\r\n" + text)},
		{"500 in chunks, cut", raw("HTTP/1.1 500 X" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\n\n\n\n\n\r\n")},
		{"503, not run", raw("HTTP/1.1 503 X" + head + "Not-Run: 1\r\nContent-Length: 3\r\n\r\nno\n")},
		{"429, not run", raw("HTTP/1.1 429 X" + head + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")},
		{"421", raw("HTTP/1.1 421 X" + head + "Content-Length: 0\r\n\r\n")},
		{"404", raw("HTTP/1.1 404 X" + head + "Content-Length: 32\r\n\r\n" + text)},
		{"204", raw("HTTP/1.1 204 X" + head + "\r\n")},
		{"error as events", func(c net.Conn, r *http.Request, after int) {
			if after > 0 { // else it is the server's own answer
				writeStream(c, r, streamType, text, true)
			}
		}},
		{"begins anew", func(c net.Conn, r *http.Request, _ int) { writeStream(c, r, streamType, whole, true) }},
		{"nothing", func(net.Conn, *http.Request, int) {}},
		{"reset at once", func(c net.Conn, _ *http.Request, _ int) { reset(c) }},
		{"no answer", raw("an error\r\n\r\n")},
		{"head in part", raw("HTTP/1.1 200 X" + head)},
		{"answer of another call", raw("HTTP/1.1 200 X\r\nCall: other\r\nSigned: yes\r\n" + streamType + "Content-Length: 9\r\n\r\ndata: x\n\n")},
		{"trailers, cut in them", func(c net.Conn, r *http.Request, after int) {
			goOn(1, 0, false)(c, r, after)
			io.WriteString(c, "0\r\nX-Error: an err")
		}},
	}
	completed := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var names []string
		plan := make([]answer, 8)
		for i := range plan {
			plan[i] = answers[random.IntN(len(answers))]
			names = append(names, plan[i].name)
		}
		plan[0] = answers[random.IntN(5)]
		names[0] = plan[0].name
		attempts := 2 + uint32(random.IntN(5))
		lastEnds, closeTrailer := random.IntN(3) > 0, random.IntN(2) == 0
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			var made atomic.Int32
			script := func(c net.Conn, r *http.Request) {
				after := 0
				fmt.Sscan(r.Header.Get("After"), &after)
				n := int(made.Add(1))
				switch {
				case n == int(attempts) && lastEnds && closeTrailer: // a sound one
					writeStream(c, r, streamType+"Trailer: X-Sum\r\n", eventText(after+1, pieces), false)
					io.WriteString(c, "0\r\nX-Sum: 1\r\n\r\n")
				case n == int(attempts) && lastEnds:
					writeStream(c, r, streamType, eventText(after+1, pieces), true)
				default:
					plan[n-1].write(c, r, after)
				}
			}
			var servers []string
			for range 8 {
				servers = append(servers, startBackend(t, script))
			}
			f := newFixtureWith(t, func(o *Options) { o.Budget = RetryBudgetLimits{Window: time.Second, ExtraRetries: 100} },
				forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.Attempts = attempts; r.TimeoutMs = 1000 }), servers...)
			rawAnswer := f.callRaw()
			respHead, body, complete := splitResponse(rawAnswer)
			t.Logf("attempts %d of %d, %s: %q, complete: %v", made.Load(), attempts, strings.Join(names[:made.Load()], "; "), body, complete)
			for _, extra := range []string{": a\n\n", "retry: 9\n\n"} {
				body = strings.ReplaceAll(body, extra, "")
			}
			if !strings.HasPrefix(respHead, "HTTP/1.1 200") { // nothing was sent to the caller before
				is.True(!strings.Contains(body, "data:"))
				return
			}
			is.True(strings.HasPrefix(whole, body)) // each piece once, in order, and no other bytes
			is.True(strings.HasSuffix(body, "\n\n") || body == "")
			is.True(!complete || body == whole) // complete only with the last piece
			if complete {
				completed++
			}
		})
	}
	if completed < 20 {
		t.Errorf("%d streams were complete", completed)
	}
}
