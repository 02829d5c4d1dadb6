package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 256 << 10

// errEventTooLong is returned when an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// eventReader splits an event stream into whole events.
type eventReader struct {
	r *bufio.Reader
	// buf holds the event being read.
	buf []byte
}

// next returns the next complete event, including the blank line that ends it,
// and the event's ID, which is empty if the event has none. An event without data, such as
// a comment, is one too; see hasData. The event is valid
// until the following call. At the end of the stream the error is io.EOF, or
// io.ErrUnexpectedEOF if the last event is incomplete.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.buf = e.buf[:0]
	// inLine is set while a line that is longer than the buffer of r is read: its end looks like a
	// blank line if the rest fits the buffer exactly.
	inLine := false
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			inLine = true
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		if !inLine && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.buf, eventID(e.buf), nil
		}
		inLine = false
	}
}

// hasData reports whether an event has a data field. Callers ignore others, so servers send them
// also while they make no progress.
func hasData(event []byte) bool {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("data")); ok && (len(bytes.TrimRight(value, "\r")) == 0 || value[0] == ':') {
			return true
		}
		event = rest
	}
	return false
}

// eventID returns the value of an event's last id field, which is the one that callers go by.
func eventID(event []byte) string {
	var id []byte
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.TrimSpace(value)
		} else if string(bytes.TrimSuffix(line, []byte("\r"))) == "id" {
			id = nil
		}
		event = rest
	}
	return string(id)
}
