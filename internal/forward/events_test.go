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
