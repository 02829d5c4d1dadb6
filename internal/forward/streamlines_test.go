package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
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
