package forward

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Reasons for which an event does not go on with a stream.
var (
	errNoEvent       = errors.New("the bytes are no event")
	errNoEventID     = errors.New("the event has no ID of the kind that the stream has")
	errEventRepeated = errors.New("the event ID does not follow the last one")
	errEventSkipped  = errors.New("events are missing before the event ID")
)

// isUnusableEvent reports whether an error says that an event does not go on with a stream.
func isUnusableEvent(err error) bool {
	return errors.Is(err, errNoEvent) || errors.Is(err, errNoEventID) || errors.Is(err, errEventRepeated) || errors.Is(err, errEventSkipped)
}

// streamPosition is how far the caller has got in a stream whose event IDs increase. It decides
// whether an event goes on there. An attempt that goes on with a stream is checked more strictly than
// one that begins it, whose events are the server's own answer in any case.
type streamPosition struct {
	// lastID is the ID of the newest event that the caller has; empty at the beginning.
	lastID string
	// unknown is set while the caller has events after lastID: another server that goes on after
	// lastID would repeat them. It is also set while no request can name lastID.
	unknown bool
	// events counts the events with data that this call has brought, and gaps is set unless their
	// IDs are consecutive numbers.
	events int
	gaps   bool
	// resuming is set if the current attempt goes on with a stream of which the caller has a part,
	// and joined once it has brought its first event with data.
	resuming, joined bool
}

// beginAttempt records that an attempt begins. delivered is set if the caller has got headers.
func (p *streamPosition) beginAttempt(delivered bool) {
	p.resuming, p.joined = delivered || p.lastID != "", false
}

// check returns an error unless an event may be sent to the caller. progress is set if it has data.
func (p *streamPosition) check(event []byte, id string, progress bool) error {
	if p.resuming && !isEvent(event, progress) {
		return errNoEvent
	}
	last, lastIsNumber := eventNumber(p.lastID)
	number, isNumber := eventNumber(id)
	numbers := isNumber && lastIsNumber
	joining := p.resuming && !p.joined && p.lastID != ""
	switch {
	case !progress:
		if id != "" && id != p.lastID && (numbers && number < last || p.resuming && (joining || !numbers)) {
			return errEventRepeated
		}
	case joining && (id == "" || isNumber != lastIsNumber):
		return errNoEventID
	case id != "" && id == p.lastID, numbers && number <= last:
		return errEventRepeated
	case joining && numbers && p.events > 0 && !p.gaps && number != last+1:
		return errEventSkipped
	}
	return nil
}

// sent records that the caller has got an event.
func (p *streamPosition) sent(event []byte, id string, progress bool) {
	if progress {
		last, lastIsNumber := eventNumber(p.lastID)
		number, isNumber := eventNumber(id)
		p.gaps = p.gaps || !isNumber || p.lastID != "" && !lastIsNumber || number != last+1
		p.events++
		p.joined = true
	}
	switch {
	case id != "":
		p.lastID, p.unknown = id, !canBeNamed(id)
	case progress || !isEvent(event, progress):
		p.unknown = true
	}
}

// eventNumber returns the number that an event ID is, if it is one.
func eventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// canBeNamed reports whether the value of a header can be an event ID.
func canBeNamed(id string) bool {
	return !strings.ContainsFunc(id, func(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' })
}

// isEvent reports whether all lines of an event are comments or fields. Servers may add fields to
// events with data only: without data, a document could be taken for an event.
func isEvent(event []byte, progress bool) bool {
	for len(event) > 0 {
		var line []byte
		line, event = nextLine(event)
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "", "id", "event", "retry":
			continue
		}
		if !progress || bytes.ContainsFunc(name, isNoFieldCharacter) {
			return false
		}
	}
	return true
}

// isNoFieldCharacter reports whether a field name can't contain a character.
func isNoFieldCharacter(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		return false
	}
	return true
}
