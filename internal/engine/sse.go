package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// event is one server-sent event.
type event struct {
	// id is the value of the event's last id field.
	id []byte
	// data holds the data lines of the event and the final empty line, each with a
	// line feed.
	data []byte
	// done is set if the event is the end marker of an OpenAI stream.
	done bool
}

var (
	errEventTooLarge = errors.New("server-sent event is over the size limit")
	errNoEndMarker   = errors.New("stream ended without its end marker")
)

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	endMarker = []byte("[DONE]")

	byteOrderMark = []byte("\ufeff")
)

// eventReader reads server-sent events with a size limit.
type eventReader struct {
	r     *bufio.Reader
	limit int
	line  []byte
	// begun is set once the first line was read.
	begun bool
}

func newEventReader(r *bufio.Reader, limit int) *eventReader {
	return &eventReader{r: r, limit: limit}
}

// next returns the next event that has data. The caller may keep the event's data.
// next returns io.EOF if the input ends between two events.
func (er *eventReader) next() (event, error) {
	var ev event
	size := 0
	for {
		line, err := er.readLine(er.limit - size)
		if err != nil {
			if err == io.EOF && (len(line) > 0 || len(ev.data) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		size += len(line) + 1
		if !er.begun { // the stream may begin with a byte order mark
			line, er.begun = bytes.TrimPrefix(line, byteOrderMark), true
		}
		switch {
		case len(line) == 0 && len(ev.data) > 0:
			ev.data = append(ev.data, '\n')
			return ev, nil
		case len(line) == 0:
			ev.id, size = nil, 0
		case bytes.HasPrefix(line, fieldID):
			ev.id = append(ev.id[:0], fieldValue(line, fieldID)...)
		case bytes.HasPrefix(line, fieldData):
			ev.done = ev.done || bytes.Equal(fieldValue(line, fieldData), endMarker)
			if ev.data == nil {
				ev.data = make([]byte, 0, len(line)+2)
			}
			ev.data = append(append(ev.data, line...), '\n')
		}
	}
}

// readLine returns the next line without its line ending. The line is valid until
// the next call.
func (er *eventReader) readLine(limit int) ([]byte, error) {
	line, err := er.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		er.line = append(er.line[:0], line...)
		for err == bufio.ErrBufferFull && len(er.line) <= limit {
			line, err = er.r.ReadSlice('\n')
			er.line = append(er.line, line...)
		}
		line = er.line
	}
	if len(line) > limit {
		return nil, errEventTooLarge
	}
	if err != nil {
		return line, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

func fieldValue(line, field []byte) []byte {
	return bytes.TrimPrefix(line[len(field):], []byte(" "))
}
