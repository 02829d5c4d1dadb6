package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"parsleypulley/internal/membudget"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 256 << 10

// firstEventBuffer is the size in bytes of the buffer for the first event of a stream, which grows with the events.
const firstEventBuffer = 512

// errEventTooLong is returned when an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// byteOrderMark may stand at the beginning of a stream. Anywhere else it is part of a line.
var byteOrderMark = []byte("\ufeff")

// eventReader splits an event stream into whole events. Lines end with a line feed, a carriage return,
// or both.
type eventReader struct {
	r *bufio.Reader
	// buf holds the event being read.
	buf []byte
	// hold is the memory of buf.
	hold membudget.Hold
	// full is set if there was no memory for the event.
	full bool
	// err is the error that ended the stream. A body that is read once more may report a proper end.
	err error
}

// skipMark reads a byte order mark at the beginning of the stream, and reports whether there is one.
func (e *eventReader) skipMark() bool {
	start := e.peek(len(byteOrderMark))
	if !bytes.Equal(start, byteOrderMark) {
		return false
	}
	_, _ = e.r.Discard(len(start)) // can't fail, as they are buffered
	return true
}

// peek returns the next n bytes, or fewer at the end of the stream.
func (e *eventReader) peek(n int) []byte {
	if e.err != nil {
		n = min(n, e.r.Buffered())
	}
	part, err := e.r.Peek(n)
	if err != nil {
		e.err = err
	}
	return part
}

// next returns the next complete event, including the blank line that ends it,
// and the event's ID, which is empty if the event has none. An event without data, such as
// a comment, is one too; see hasData. The event is valid
// until the following call. At the end of the stream the error is io.EOF, or
// io.ErrUnexpectedEOF if the last event is incomplete.
func (e *eventReader) next() (event []byte, id string, err error) {
	if cap(e.buf) > freePartMemory && len(e.buf) < cap(e.buf)/4 { // a stream would keep the memory of one long event
		e.buf = nil
		e.hold.Release()
	}
	e.buf = e.buf[:0]
	// lineStart is where the current line begins in buf, and bareReturn is set if the line before it
	// ended with a carriage return only.
	lineStart, bareReturn := 0, false
	for {
		switch {
		case len(e.buf) > maxEventBytes:
			return nil, "", errEventTooLong
		case e.full:
			return nil, "", errMemoryFull
		}
		if len(e.peek(1)) == 0 {
			if errors.Is(e.err, io.EOF) && len(e.buf) > 0 {
				return nil, "", io.ErrUnexpectedEOF
			}
			return nil, "", e.err
		}
		part := e.peek(e.r.Buffered())
		i := bytes.IndexAny(part, "\r\n")
		switch {
		case i < 0:
			e.take(part)
			continue
		case i > 0:
			e.take(part[:i])
			continue
		}
		blank := len(e.buf) == lineStart
		end := e.lineEnd(bareReturn)
		bareReturn = len(end) == 1 && end[0] == '\r'
		e.take(end)
		if blank && !e.full {
			return e.buf, eventID(e.buf), nil
		}
		lineStart = len(e.buf)
	}
}

// take appends the next unread bytes, which part holds, to the event. It sets full if there is no memory for them.
func (e *eventReader) take(part []byte) {
	if need := len(e.buf) + len(part); need > cap(e.buf) {
		size := max(need, firstEventBuffer, cap(e.buf)+cap(e.buf)/4) // many streams may have events of the same size
		if !e.hold.Cover(size) {
			responseMemoryFull.Add("event", 1)
			e.full = true
			return
		}
		e.buf = append(make([]byte, 0, size), e.buf...)
	}
	e.buf = append(e.buf, part...)
	_, _ = e.r.Discard(len(part)) // can't fail, as they are buffered
}

// lineEnd returns the line end that the next unread byte begins. It waits for the byte behind a carriage
// return, which is part of the line end if it is a line feed, unless the line before had no line feed: an
// event would be held back until the next one comes.
func (e *eventReader) lineEnd(bareReturn bool) []byte {
	end := e.peek(1)
	if end[0] == '\n' || bareReturn && e.r.Buffered() == 1 {
		return end
	}
	if end = e.peek(2); len(end) == 2 && end[1] == '\n' {
		return end
	}
	return end[:1]
}

// nextLine returns the first line of an event without its end, and the rest of the event.
func nextLine(event []byte) (line, rest []byte) {
	i := bytes.IndexAny(event, "\r\n")
	if i < 0 {
		return event, nil
	}
	if bytes.HasPrefix(event[i:], []byte("\r\n")) {
		return event[:i], event[i+2:]
	}
	return event[:i], event[i+1:]
}

// hasData reports whether an event has a data field. Callers ignore others, so servers send them
// also while they make no progress.
func hasData(event []byte) bool {
	for len(event) > 0 {
		var line []byte
		line, event = nextLine(event)
		if value, ok := bytes.CutPrefix(line, []byte("data")); ok && (len(value) == 0 || value[0] == ':') {
			return true
		}
	}
	return false
}

// eventID returns the value of an event's last id field, which is the one that callers go by. Callers
// ignore IDs with a NUL.
func eventID(event []byte) string {
	var id []byte
	for len(event) > 0 {
		var line []byte
		line, event = nextLine(event)
		if value, ok := bytes.CutPrefix(line, []byte("id")); ok && (len(value) == 0 || value[0] == ':') && !bytes.Contains(value, []byte{0}) {
			id = bytes.TrimSpace(bytes.TrimPrefix(value, []byte(":")))
		}
	}
	return string(id)
}
