package forward

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEventReaderReturnsWholeEvents(t *testing.T) {
	is := is.New(t)
	long := "id: 3\r\ndata: " + strings.Repeat("x", 100) + "\r\n\r\n"
	r := eventReader{r: bufio.NewReaderSize(strings.NewReader("id: 1\ndata: a\n\ndata: b\nid:2\n\n"+long+"id: 4\nda"), 16)}
	for _, want := range []struct{ event, id string }{{"id: 1\ndata: a\n\n", "1"}, {"data: b\nid:2\n\n", "2"}, {long, "3"}} {
		event, id, err := r.next()
		is.NoErr(err)
		is.Equal(string(event), want.event)
		is.Equal(id, want.id)
	}
	_, _, err := r.next()
	is.True(errors.Is(err, io.ErrUnexpectedEOF)) // an incomplete event is not returned
}

// Guards against an event that is split behind a line which fills the read buffer: its first half was sent
// to the caller, and again with the whole event by the next server.
func TestLineThatFillsTheBuffer(t *testing.T) {
	is := is.New(t)
	for length := 10; length <= 50; length++ {
		event := "data: " + strings.Repeat("x", length) + "\r\nid: 7\r\n\r\n"
		r := eventReader{r: bufio.NewReaderSize(strings.NewReader(event+"data: y\n\n"), 16)}
		got, id, err := r.next()
		is.NoErr(err)
		is.Equal(string(got), event)
		is.Equal(id, "7")
	}
}

// Guards against an ID that callers don't go by.
func TestEventID(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{
		"id: 1\ndata: x\n\n": "1", "id: 1\r\nid:2\r\n\r\n": "2", "data: id: 3\n\n": "", "id: 1\nid\n\n": "", "id: 1\nid:\n\n": "", "ids: 1\n\n": "",
	} {
		is.Equal(eventID([]byte(text)), want)
	}
}

func TestEventReaderReturnsEOFAfterWholeEvent(t *testing.T) {
	is := is.New(t)
	r := eventReader{r: bufio.NewReader(strings.NewReader("data: a\n\n"))}
	_, id, err := r.next()
	is.NoErr(err)
	is.Equal(id, "")
	_, _, err = r.next()
	is.True(errors.Is(err, io.EOF))
}

func TestEventReaderLimitsEventSize(t *testing.T) {
	is := is.New(t)
	r := eventReader{r: bufio.NewReader(io.LimitReader(endlessReader{}, 2*maxEventBytes))}
	_, _, err := r.next()
	is.True(errors.Is(err, errEventTooLong))
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against comments that count as progress of a stream.
func TestEventsWithoutData(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]bool{
		"data: x\n\n": true, "id: 1\r\ndata: x\r\n\r\n": true, "data\n\n": true, "data:\n\n": true, "event: a\ndata:{}\n\n": true,
		": alive\n\n": false, "\n": false, "event: ping\n\n": false, "id: 7\n\n": false, "database: x\n\n": false, ": data: x\n\n": false, "retry: 5\n\n": false,
	} {
		if hasData([]byte(text)) != want {
			t.Errorf("%q", text)
		}
	}
	is.True(!hasData(nil))
}
