package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// callRaw sends a call to the route of forwardRoute and returns the bytes of the response until its
// connection ends. headers are pairs of names and values.
func (r *fixture) callRaw(headers ...string) string {
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		r.t.Fatal(err)
	}
	text := "POST /p/x HTTP/1.1\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nConnection: close\r\nContent-Length: 4\r\n"
	for i := 0; i+1 < len(headers); i += 2 {
		text += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	if _, err := io.WriteString(c, text+"\r\nbody"); err != nil {
		r.t.Fatal(err)
	}
	data, err := io.ReadAll(c)
	if err != nil {
		r.t.Fatal(err)
	}
	return string(data)
}

// splitResponse splits the bytes of a response with chunks into its head and its body. complete is set
// if the last chunk has come, and nothing behind it.
func splitResponse(raw string) (head, body string, complete bool) {
	head, rest, _ := strings.Cut(raw, "\r\n\r\n")
	if !strings.Contains(head, "\r\nTransfer-Encoding: chunked") {
		return head, rest, true
	}
	data, _ := io.ReadAll(httputil.NewChunkedReader(bufio.NewReader(strings.NewReader(rest))))
	return head, string(data), strings.HasSuffix(rest, "\r\n0\r\n\r\n")
}

// eventText returns the events from one number to another.
func eventText(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", i)
	}
	return text
}

// writeStream writes the head of a stream with the given headers, and a body in one chunk.
func writeStream(c net.Conn, r *http.Request, headers, body string, end bool) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Call"), headers)
	if body != "" {
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body)
	}
	if end {
		io.WriteString(c, "0\r\n\r\n")
	}
}

const streamType = "Content-Type: text/event-stream\r\n"

// Guards against a stream that begins and breaks off, and into which the answer of the next server comes
// although it does not go on with the stream, or which ends as complete with that answer.
func TestAnswersAfterAStreamHasBegun(t *testing.T) {
	const pieces = 5
	whole := eventText(1, pieces)
	respond := func(status int, headers, body string) backendScript {
		return func(c net.Conn, r *http.Request) { writeResponse(c, r, status, headers, body) }
	}
	unsigned := func(status int, headers, body string) backendScript {
		return func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		}
	}
	bare := func(status int, headers string) backendScript {
		return func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\nCall: %s\r\nSigned: yes\r\n%s\r\n", status, r.Header.Get("Call"), headers)
		}
	}
	stream := func(headers, body string) backendScript {
		return func(c net.Conn, r *http.Request) { writeStream(c, r, headers, body, true) }
	}
	const document = "an error\n\nof the server\n\n"
	tests := map[string]struct {
		// second answers the attempt after the one that broke off.
		second backendScript
		// final is set if no server is asked afterwards.
		final bool
		// complete is set if the answer goes on with the stream to its end.
		complete bool
	}{
		"500":                   {second: respond(500, "", document)},
		"500 like events":       {second: respond(500, streamType, eventText(4, 5))},
		"500 without the stamp": {second: unsigned(500, "", document)},
		"502 without the stamp": {second: unsigned(502, "", document)},
		"503, not run":          {second: respond(503, "Not-Run: 1\r\n", document)},
		"503, nothing said":     {second: respond(503, "", document)},
		"429, not run":          {second: respond(429, "Not-Run: 1\r\n", document)},
		"421":                   {second: respond(421, "", document)},
		"400":                   {second: respond(400, "", document)},
		"404":                   {second: respond(404, "Content-Type: text/plain\r\n", document)},
		"404 without a body":    {second: respond(404, "", "")},
		"404 like events":       {second: respond(404, streamType, eventText(4, 5))},
		"404 in chunks": {second: func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 404 X\r\nCall: c1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nno\n\r\n1\r\n\n\r\n0\r\n\r\n")
		}},
		"410 without a length":          {second: bare(410, "")},
		"201":                           {second: respond(201, "", eventText(4, 5))},
		"204":                           {second: bare(204, "")},
		"205":                           {second: respond(205, "", "")},
		"206":                           {second: respond(206, "Content-Range: bytes 0-19/40\r\n", eventText(4, 5))},
		"304":                           {second: bare(304, "")},
		"307":                           {second: respond(307, "Location: http://192.0.2.1/\r\n", "")},
		"302 with a body":               {second: respond(302, "Location: http://192.0.2.1/\r\n", document)},
		"200, no events, no length":     {second: bare(200, "")},
		"200, length 0":                 {second: respond(200, "", "")},
		"200, event stream of length 0": {second: respond(200, streamType, "")},
		"200, page":                     {second: respond(200, "Content-Type: text/html\r\n", "<p>error</p>\n\n")},
		"200, page in chunks, empty":    {second: stream("Content-Type: text/html\r\n", "")},
		"200, JSON like events":         {second: respond(200, "Content-Type: application/json\r\n", eventText(4, 5))},
		"200, document":                 {second: respond(200, "", document)},
		"200, document with a colon":    {second: respond(200, "", "error: none\n\n")},
		"200, document as events":       {second: stream(streamType, document)},
		"200, page as events":           {second: stream(streamType, "<p class=\"a:b\">error</p>\n\n")},
		"200, response head as events":  {second: stream(streamType, "HTTP/1.1 500 X\r\nServer: x\r\n\r\n")},
		"200, JSON as events":           {second: stream(streamType, "{\"error\": \"none\"}\n\n")},
		"200 without the stamp":         {second: unsigned(200, streamType, eventText(4, 5))},
		"200, encoded":                  {second: respond(200, "Content-Encoding: gzip\r\n", eventText(4, 5))},
		"first event again":             {second: stream(streamType, eventText(1, 5))},
		"last event again":              {second: stream(streamType, eventText(3, 5))},
		"event skipped":                 {second: stream(streamType, eventText(5, 5))},
		"events without IDs":            {second: stream(streamType, "data: x\n\ndata: x\n\n")},
		"event with an empty ID":        {second: stream(streamType, "id\ndata: x\n\n"+eventText(4, 5))},
		"event with another kind of ID": {second: stream(streamType, "id: d\ndata: x\n\n")},
		"event with a huge ID":          {second: stream(streamType, "id: 99999999999999999999\ndata: x\n\n")},
		"event with a negative ID":      {second: stream(streamType, "id: -4\ndata: x\n\n")},
		"error event":                   {second: stream(streamType, "event: error\ndata: failed\n\n")},
		"ID goes back without data":     {second: stream(streamType, "id: 1\n\n"+eventText(4, 5))},
		"event repeated later":          {second: stream(streamType, eventText(4, 4)+eventText(4, 5))},
		"cut in an event":               {second: func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, eventText(4, 5)[:20], false) }},
		"ends in an event":              {second: stream(streamType, eventText(4, 5)[:20])},
		"bytes that are no answer":      {second: func(c net.Conn, r *http.Request) { io.WriteString(c, "id: 4\ndata: x\n\n") }},
		"nothing":                       {second: func(net.Conn, *http.Request) {}},
		"panic": {second: func(c net.Conn, r *http.Request) {
			writeResponse(c, &http.Request{Header: http.Header{"Call": {"bad"}}}, 200, "", "")
		}, final: true},
		"goes on":                       {second: stream(streamType, eventText(4, 5)), complete: true},
		"goes on, type with a charset":  {second: stream("Content-Type: text/event-stream; charset=utf-8\r\n", eventText(4, 5)), complete: true},
		"goes on, no type":              {second: stream("", eventText(4, 5)), complete: true},
		"goes on, with a length":        {second: respond(200, streamType, eventText(4, 5)), complete: true},
		"goes on, comments and fields":  {second: stream(streamType, ": alive\n\nretry: 100\n\nx-weight-versions: 3\nid: 4\ndata: x\n\n"+eventText(5, 5)), complete: true},
		"goes on, comment with last ID": {second: stream(streamType, "id: 3\n: alive\n\n"+eventText(4, 5)), complete: true},
		"goes on, without a length":     {second: func(c net.Conn, r *http.Request) { bare(200, streamType)(c, r); io.WriteString(c, eventText(4, 5)) }, complete: true},
	}
	for name, test := range tests {
		for _, attempts := range []uint32{2, 3} { // the third one goes on with the stream
			t.Run(fmt.Sprint(name, ", attempts ", attempts), func(t *testing.T) {
				is := is.New(t)
				var made atomic.Int32
				script := func(c net.Conn, r *http.Request) {
					switch made.Add(1) {
					case 1:
						writeStream(c, r, streamType, eventText(1, 3)+"id: 4\nda", false)
					case 2:
						test.second(c, r)
					default:
						after := 0
						fmt.Sscan(r.Header.Get("After"), &after)
						writeStream(c, r, streamType, eventText(after+1, pieces), true)
					}
				}
				route := forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.Attempts = attempts })
				f := newFixture(t, route, startBackend(t, script), startBackend(t, script), startBackend(t, script))
				f.f.dialect = panicDialect{}
				head, body, complete := splitResponse(f.callRaw())
				is.True(strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n"))
				is.True(strings.Contains(head, "\r\nContent-Type: text/event-stream"))
				for _, extra := range []string{"id: 3\n: alive\n\n", ": alive\n\n", "retry: 100\n\n", "x-weight-versions: 3\n"} {
					body = strings.Replace(body, extra, "", 1)
				}
				t.Logf("%q, complete: %v", body, complete)
				is.True(strings.HasPrefix(whole, body)) // each piece once, in order, and no other bytes
				is.True(strings.HasPrefix(body, whole[:3*len(eventText(1, 1))]))
				is.True(strings.HasSuffix(body, "\n\n")) // no part of an event
				is.True(!complete || body == whole)      // complete only with the last piece
				if test.complete || attempts == 3 && !test.final {
					is.True(complete) // sound streams lose nothing
				}
				is.True(made.Load() <= int32(attempts)+extraAttempts)
			})
		}
	}
}

// Guards against answers on a route with streams that are no streams, but are read as events: error
// documents lost what follows their last blank line, or were taken for broken streams and gone on with
// elsewhere. A success that is no stream would look like a complete one.
func TestAnswersOnStreamRoutesThatAreNoStreams(t *testing.T) {
	long := strings.Repeat("no\n\n", maxBufferedBody/2)
	for name, test := range map[string]struct {
		status        int
		headers, body string
		// cut is the part of the body that is not sent.
		cut int
		// want is the status that the caller gets, if it is another one.
		want int
	}{
		"404":                        {404, "Content-Type: text/plain\r\n", "not found\n", 0, 0},
		"404 with a blank line":      {404, "Content-Type: text/html\r\n", "<p>not found</p>\n\nat all", 0, 0},
		"404 like events":            {404, streamType, eventText(1, 2), 0, 0},
		"400 without a body":         {400, "", "", 0, 0},
		"410, long":                  {410, "", long, 0, 0},
		"410, long, cut":             {410, "", long, len(long) / 3, 0},
		"404, cut":                   {404, "", "not found\n\n", 5, 502},
		"302":                        {302, "Location: /y\r\n", "moved", 0, 0},
		"200, JSON":                  {200, "Content-Type: application/json\r\n", "{\"a\": 1}", 0, 502},
		"200, page with blank lines": {200, "Content-Type: text/html\r\n", "<p>\n\n</p>\n\n", 0, 502},
		"200, empty page":            {200, "Content-Type: text/html\r\n", "", 0, 502},
		"200, length 0":              {200, "", "", 0, 502},
		"201 like events":            {201, streamType, eventText(1, 2), 0, 502},
		"205":                        {205, "", "", 0, 502},
		"206 like events":            {206, streamType, eventText(1, 2), 0, 502},
	} {
		for _, headers := range [][]string{nil, {"After", "3", "Began", "c0"}} { // new, and taken up
			t.Run(fmt.Sprint(name, " ", headers), func(t *testing.T) {
				is := is.New(t)
				var made atomic.Int32
				f := softwareFixture(t, []string{"v1", "v1"}, func(_ string, c net.Conn, r *http.Request) {
					made.Add(1)
					fmt.Fprintf(c, "HTTP/1.1 %d X\r\nCall: %s\r\nSigned: yes\r\n%sContent-Length: %d\r\n\r\n%s", test.status, r.Header.Get("Call"), test.headers,
						len(test.body), test.body[:len(test.body)-test.cut])
				})
				f.f.opts.Streams.Began(streamrecord.KeyOf("indus", "c0"), streamrecord.SoftwareOf("lab", "v1"))
				head, body, _ := strings.Cut(f.callRaw(headers...), "\r\n\r\n")
				if test.want != 0 {
					is.True(strings.HasPrefix(head, fmt.Sprint("HTTP/1.1 ", test.want)))
					is.Equal(made.Load(), int32(2)) // tried elsewhere
					return
				}
				is.True(strings.HasPrefix(head, fmt.Sprint("HTTP/1.1 ", test.status)))
				is.True(strings.Contains(head, fmt.Sprint("\r\nContent-Length: ", len(test.body))))
				is.True(strings.HasPrefix(test.body, body))
				is.Equal(body == test.body, test.cut == 0)
				is.Equal(made.Load(), int32(1))
			})
		}
	}
}

// Guards against a stream that is taken up after an event at which no other server can go on: the caller
// has later events without an ID, or bytes that are no event.
func TestStreamsWhosePositionIsNotKnown(t *testing.T) {
	for name, test := range map[string]struct {
		// first is what the first server sends before it breaks off, and after the ID after which the
		// stream goes on; "-" if it must not.
		first, after string
	}{
		"no IDs":                      {"data: x\n\ndata: x\n\n", "-"},
		"no ID in the last event":     {eventText(1, 2) + "data: x\n\n", "-"},
		"no ID in an earlier event":   {"data: x\n\n" + eventText(2, 3), "3"},
		"empty ID":                    {eventText(1, 2) + "id:\ndata: x\n\n", "-"},
		"bytes that are no event":     {eventText(1, 2) + "<p>\n\n", "-"},
		"comments before any event":   {": alive\n\n: alive\n\n", ""},
		"comments after an event":     {eventText(1, 2) + ": alive\n\n", "2"},
		"ID without data":             {eventText(1, 2) + "id: 3\n\n", "3"},
		"two IDs in an event":         {eventText(1, 2) + "id: 1\nid: 3\ndata: x\n\n", "3"},
		"events that are not counted": {"id: 10\ndata: x\n\nid: 20\ndata: x\n\n", "20"},
		"IDs that are no numbers":     {"id: a\ndata: x\n\nid: b\ndata: x\n\n", "b"},
		"line as long as the buffer":  {eventText(1, 2) + "data: " + strings.Repeat("x", readBuffer-len("data: ")) + "\nid: 3", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var made atomic.Int32
			after := "-"
			script := func(c net.Conn, r *http.Request) {
				if made.Add(1) == 1 {
					writeStream(c, r, streamType, test.first, false)
					return
				}
				after = r.Header.Get("After")
				id := "30"
				switch {
				case test.after == "b":
					id = "c"
				case test.after == "2", test.after == "3":
					id = map[string]string{"2": "3", "3": "4"}[test.after]
				}
				writeStream(c, r, streamType, "id: "+id+"\ndata: y\n\n", true)
			}
			f := newFixture(t, forwardRoute(setResumableStream), startBackend(t, script), startBackend(t, script))
			_, body, complete := splitResponse(f.callRaw())
			is.Equal(after, test.after)
			is.Equal(complete, test.after != "-")
			is.Equal(made.Load(), map[bool]int32{true: 2, false: 1}[complete])
			end := strings.LastIndex(test.first, "\n\n") + 2
			is.True(strings.HasPrefix(body, test.first[:end]))
			if !complete {
				is.Equal(body, test.first[:end])
			} else {
				is.Equal(strings.Count(body[end:], "\n\n"), 1) // the event of the second server
				is.True(strings.HasSuffix(body, "\ndata: y\n\n") && strings.HasPrefix(body[end:], "id: "))
			}
		})
	}
}

// Guards against a caller that takes up a stream and gets events that it has, or misses some, or that can't
// get the end of a stream whose last event it has.
func TestStreamsTakenUpByCallers(t *testing.T) {
	for name, test := range map[string]struct {
		first  backendScript
		status int
		// body is that of a complete answer.
		body string
		made int32
	}{
		"goes on":           {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, eventText(4, 5), true) }, 200, eventText(4, 5), 1},
		"begins anew":       {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, eventText(1, 5), true) }, 200, eventText(4, 5), 2},
		"repeats the last":  {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, eventText(3, 5), true) }, 200, eventText(4, 5), 2},
		"no IDs":            {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, "data: x\n\n", true) }, 200, eventText(4, 5), 2},
		"document":          {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, "not found\n\n", true) }, 200, eventText(4, 5), 2},
		"length 0":          {func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, streamType, "") }, 200, eventText(4, 5), 2},
		"nothing left":      {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, "", true) }, 200, "", 1},
		"nothing left, cut": {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, "", false) }, 200, eventText(4, 5), 2},
		"nothing, no type":  {func(c net.Conn, r *http.Request) { writeStream(c, r, "", "", true) }, 200, eventText(4, 5), 2},
		"404 of the server": {func(c net.Conn, r *http.Request) { writeResponse(c, r, 404, "", "none\n") }, 404, "none\n", 1},
		"404, then its end": {func(c net.Conn, r *http.Request) { writeResponse(c, r, 404, "Connection: close\r\n", "none\n") }, 404, "none\n", 1},
		"503, not run":      {func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "Not-Run: 1\r\n", "no\n\n") }, 200, eventText(4, 5), 2},
		"500":               {func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "", "an error\n\n") }, 200, eventText(4, 5), 2},
		"500 like events":   {func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, streamType, eventText(4, 5)) }, 200, eventText(4, 5), 2},
		"500 without the stamp": {func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 500 X\r\nContent-Length: 10\r\n\r\nan error\n\n")
		}, 200, eventText(4, 5), 2},
		"no answer":            {func(c net.Conn, r *http.Request) { io.WriteString(c, "an error\n\n") }, 200, eventText(4, 5), 2},
		"comments, then cut":   {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, "id: 3\n: a\n\n", false) }, 200, "id: 3\n: a\n\n" + eventText(4, 5), 2},
		"mark, goes on":        {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, "\ufeff"+eventText(4, 5), true) }, 200, "\ufeff" + eventText(4, 5), 1},
		"broken after a piece": {func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, eventText(4, 4), false) }, 200, eventText(4, 5), 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var made atomic.Int32
			f := softwareFixture(t, []string{"v1", "v1"}, func(_ string, c net.Conn, r *http.Request) {
				if made.Add(1) == 1 {
					test.first(c, r)
					return
				}
				after := 0
				fmt.Sscan(r.Header.Get("After"), &after)
				writeStream(c, r, streamType, eventText(after+1, 5), true)
			})
			f.f.opts.Streams.Began(streamrecord.KeyOf("indus", "c0"), streamrecord.SoftwareOf("lab", "v1"))
			head, body, complete := splitResponse(f.callRaw("After", "3", "Began", "c0"))
			is.True(strings.HasPrefix(head, fmt.Sprint("HTTP/1.1 ", test.status)))
			is.True(complete)
			is.Equal(body, test.body)
			is.Equal(made.Load(), test.made)
		})
	}
}

// Guards against a stream that ends as complete, or with the text of an error, when the call ends for a reason
// of the router after the stream has begun.
func TestCallsThatEndAfterAStreamHasBegun(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*wire.ForwardRoute)
		// budget limits retries.
		budget RetryBudgetLimits
		// between is called when the first server has sent its events, before it breaks off.
		between func(f *fixture)
		second  backendScript
	}{
		"deadline": {change: func(r *wire.ForwardRoute) { r.TimeoutMs = 300 }, second: func(net.Conn, *http.Request) { time.Sleep(time.Second) }},
		"deadline, events go on": {change: func(r *wire.ForwardRoute) { r.TimeoutMs = 300 }, second: func(c net.Conn, r *http.Request) {
			writeStream(c, r, streamType, eventText(4, 4), false)
			time.Sleep(time.Second)
		}},
		"deadline, the head comes late": {change: func(r *wire.ForwardRoute) { r.TimeoutMs = 300 }, second: func(c net.Conn, r *http.Request) {
			time.Sleep(400 * time.Millisecond)
			writeStream(c, r, streamType, eventText(4, 5), true)
		}},
		"deadline, an error comes late": {change: func(r *wire.ForwardRoute) { r.TimeoutMs = 300 }, second: func(c net.Conn, r *http.Request) {
			time.Sleep(400 * time.Millisecond)
			writeResponse(c, r, 500, "", "an error\n\n")
		}},
		"deadline, an error comes slowly": {change: func(r *wire.ForwardRoute) { r.TimeoutMs = 300 }, second: func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 404 X\r\nCall: c1\r\nSigned: yes\r\nContent-Length: 10\r\n\r\nan e")
			time.Sleep(400 * time.Millisecond)
			fmt.Fprint(c, "rror\n\n")
		}},
		"call quarantined": {between: func(f *fixture) {
			c := &forwardedCall{r: &http.Request{Method: http.MethodPost, Host: "one.example", URL: &url.URL{Path: "/p/x"}}, account: &wire.Account{Name: "indus"}, body: []byte("body")}
			key := c.quarantineKey()
			f.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Quarantine{Quarantine: &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint), Crashes: 3}}})
			for end := time.Now().Add(5 * time.Second); f.f.crashes.reporter.Empty() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}, second: func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, eventText(4, 5), true) }},
		"no further attempts": {change: func(r *wire.ForwardRoute) { r.Attempts = 1 }},
		"not to be resumed":   {change: func(r *wire.ForwardRoute) { r.Resumable = false }},
		"not to be repeated":  {change: setAtMostOnce},
		"no budget":           {budget: RetryBudgetLimits{Window: time.Second}},
		"no server left": {between: func(f *fixture) {
			f.setBackend(0, "127.0.0.1:1", wire.BackendState_BACKEND_STATE_DRAINING)
			f.setBackend(1, "127.0.0.1:1", wire.BackendState_BACKEND_STATE_DRAINING)
			f.f.selector.setView(f.log.Snapshot())
		}},
		"servers not reached": {between: func(f *fixture) {
			f.setBackend(0, "127.0.0.1:1", wire.BackendState_BACKEND_STATE_READY)
			f.setBackend(1, "127.0.0.1:1", wire.BackendState_BACKEND_STATE_READY)
			f.f.selector.setView(f.log.Snapshot())
		}},
		"key revoked": {between: func(f *fixture) {
			table := proto.CloneOf(f.log.Snapshot().Routes.Table)
			table.Version++
			table.Accounts[0].KeySha256 = nil
			f.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_RouteTable{RouteTable: table}})
		}},
		"view not confirmed": {between: func(f *fixture) { f.freshness.Store(&view.Freshness{Age: time.Hour}) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f *fixture
			var made atomic.Int32
			script := func(c net.Conn, r *http.Request) {
				if made.Add(1) > 1 {
					if test.second != nil {
						test.second(c, r)
					}
					return
				}
				writeStream(c, r, streamType, eventText(1, 3), false)
				time.Sleep(50 * time.Millisecond) // the router has passed them on
				if test.between != nil {
					test.between(f)
				}
			}
			route := forwardRoute(func(r *wire.ForwardRoute) {
				setResumableStream(r)
				if test.change != nil {
					test.change(r)
				}
			})
			f = newFixtureWith(t, func(o *Options) {
				if test.budget != (RetryBudgetLimits{}) {
					o.Budget = test.budget
				}
			}, route, startBackend(t, script), startBackend(t, script))
			head, body, complete := splitResponse(f.callRaw())
			t.Logf("%q", body)
			is.True(strings.HasPrefix(head, "HTTP/1.1 200"))
			is.True(strings.HasPrefix(eventText(1, 5), body) && strings.HasPrefix(body, eventText(1, 3)))
			is.True(!complete)
		})
	}
}

// Guards against the text of an error behind a part of a response, whatever the reason for which the call ends.
func TestNoErrorIsWrittenIntoAResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, forwardRoute(setResumableStream))
	for _, kind := range []fault.Kind{fault.Internal, fault.Overloaded, fault.AccountLimit, fault.DeadlineExceeded, fault.Quarantined, fault.Shutdown} {
		w := httptest.NewRecorder()
		c := &forwardedCall{f: f.f, w: w, route: forwardRoute(setResumableStream), snapshot: f.log.Snapshot(), headerWritten: true}
		func() {
			defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
			c.finish(fault.New(kind, fault.Unknown, "test"), endFailed)
		}()
		is.Equal(w.Body.Len(), 0)
	}
}

// Guards against a stream that the router takes from a stalled server, or that the planned stop ends, and into
// which the error of the next server comes in that moment, or which then looks complete.
func TestErrorsAfterStreamsThatTheRouterEnds(t *testing.T) {
	for _, attempts := range []uint32{2, 3} { // the third one goes on with the stream
		t.Run(fmt.Sprint("stalled, attempts ", attempts), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var made atomic.Int32
			script := func(c net.Conn, r *http.Request) {
				switch made.Add(1) {
				case 1:
					writeStream(c, r, streamType, eventText(1, 3)+"id: 4\nda", false)
					hang(c)
				case 2:
					writeResponse(c, r, 500, streamType, eventText(4, 5))
				default:
					writeStream(c, r, streamType, eventText(4, 5), true)
				}
			}
			route := forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.Attempts, r.TimeoutMs = attempts, 8000 })
			f := newFixture(t, route, startBackend(t, script), startBackend(t, script), startBackend(t, script))
			f.f.silence.pauses.of("r").recordPauses(time.Now(), 20*time.Millisecond, minPauses)
			_, body, complete := splitResponse(f.callRaw())
			is.Equal(made.Load(), int32(attempts))
			is.Equal(complete, attempts == 3)
			is.Equal(body, eventText(1, map[bool]int{true: 5, false: 3}[complete]))
		})
	}
	for name, second := range map[string]backendScript{
		"nothing": func(c net.Conn, _ *http.Request) { hang(c) },
		"error in part": func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 500 X\r\nCall: %s\r\nSigned: yes\r\nContent-Length: 99\r\n\r\nan error\n\n", r.Header.Get("Call"))
			hang(c)
		},
		"errors without end": func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "", "an error\n\n") },
		"events": func(c net.Conn, r *http.Request) {
			writeStream(c, r, streamType, eventText(4, 4)+"id: 5\nda", false)
			hang(c)
		},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(fmt.Sprint("planned stop, ", name, ", HTTP/", version), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var made atomic.Int32
				script := func(c net.Conn, r *http.Request) {
					if made.Add(1) == 1 {
						writeStream(c, r, streamType, eventText(1, 3), false)
						time.Sleep(300 * time.Millisecond) // the stop is about to end
						return
					}
					second(c, r)
				}
				route := forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 })
				f := newFixture(t, route, startBackend(t, script), startBackend(t, script))
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				server := daemon.NewHTTPServer(&http.Server{Handler: f.f}, ln)
				go func() { _ = server.Serve() }()
				c, err := net.Dial("tcp", ln.Addr().String())
				is.NoErr(err)
				defer c.Close()
				is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
				fmt.Fprintf(c, "POST /p/x HTTP/%s\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody", version)
				var got bytes.Buffer
				_, err = io.CopyN(&got, c, 1) // the response has begun
				is.NoErr(err)
				now := time.Now()
				ends := now.Add(350 * time.Millisecond)
				f.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now, Ends: ends})
				ctx, cancel := context.WithDeadline(context.Background(), ends)
				defer cancel()
				_ = server.Stop(ctx)
				_, err = io.Copy(&got, c)
				_, body, complete := splitResponse(got.String())
				t.Logf("%q, %v", got.String(), err)
				if version == "1.0" {
					is.True(err != nil) // an orderly end would complete the response
				} else {
					is.True(!complete)
				}
				is.True(strings.HasPrefix(eventText(1, 4), body) && strings.HasPrefix(body, eventText(1, 3)))
			})
		}
	}
}

// Guards against an error, or a part of an event, in the stream of a caller that reads slowly: the buffers to the
// caller are full when the first server breaks off, or the write of an event is given up in its middle.
func TestErrorsWhileTheCallerReadsSlowly(t *testing.T) {
	const pieces = 60
	data := strings.Repeat("x", 64<<10)
	events := func(from, to int) string { return strings.ReplaceAll(eventText(from, to), "data: x", "data: "+data) }
	for name, test := range map[string]struct {
		// pause is the time before the caller reads.
		pause  time.Duration
		second backendScript
	}{
		"error":           {300 * time.Millisecond, func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, streamType, events(41, pieces)) }},
		"refusal":         {300 * time.Millisecond, func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "Not-Run: 1\r\n", "no\n\n") }},
		"begins anew":     {300 * time.Millisecond, func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, events(1, 2), true) }},
		"cut in an event": {300 * time.Millisecond, func(c net.Conn, r *http.Request) { writeStream(c, r, streamType, events(41, 42)[:100<<10], false) }},
		"write given up":  {eventWriteTimeout + time.Second, func(c net.Conn, r *http.Request) { t.Error("gone on with") }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var made atomic.Int32
			script := func(c net.Conn, r *http.Request) {
				if made.Add(1) == 1 {
					writeStream(c, r, streamType, events(1, 40), false)
					return
				}
				test.second(c, r)
			}
			f := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 20_000 }), startBackend(t, script), startBackend(t, script))
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := daemon.NewHTTPServer(&http.Server{Handler: f.f}, smallBufferListener{ln})
			go func() { _ = server.Serve() }()
			t.Cleanup(func() { ln.Close() })
			c, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.(*net.TCPConn).SetReadBuffer(64 << 10))
			is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
			fmt.Fprint(c, "POST /p/x HTTP/1.1\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody")
			for deadline := time.Now().Add(10 * time.Second); made.Load() == 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond) // the pause counts from the answer on
			}
			time.Sleep(test.pause)
			raw, err := io.ReadAll(c)
			is.NoErr(err)
			_, body, complete := splitResponse(string(raw))
			is.True(!complete)
			is.True(strings.HasPrefix(events(1, pieces), body)) // no other bytes
			if name == "write given up" {
				is.Equal(made.Load(), int32(1))
				return
			}
			wantBody := events(1, 40)
			if name == "cut in an event" {
				wantBody = events(1, 41)
			}
			is.Equal(len(body), len(wantBody))
		})
	}
}
