package forward

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against events that repeat or skip some at the place where a stream goes on, and against sound
// streams that are cut there.
func TestStreamPosition(t *testing.T) {
	const x = "data: x\n\n"
	for name, test := range map[string]struct {
		// taken is the ID that the caller names, first are the events of the first attempt, and second
		// the first event of the second one.
		taken  string
		first  []string
		second string
		want   error
	}{
		"next":                            {"", []string{"id: 1\n" + x, "id: 2\n" + x}, "id: 3\n" + x, nil},
		"skipped":                         {"", []string{"id: 1\n" + x}, "id: 3\n" + x, errEventSkipped},
		"again":                           {"", []string{"id: 1\n" + x, "id: 2\n" + x}, "id: 2\n" + x, errEventRepeated},
		"as number, not as text":          {"", []string{"id: 9\n" + x}, "id: 10\n" + x, nil},
		"numbers with gaps":               {"", []string{"id: 1\n" + x, "id: 5\n" + x}, "id: 9\n" + x, nil},
		"numbers from 0":                  {"", []string{"id: 0\n" + x, "id: 1\n" + x}, "id: 2\n" + x, nil},
		"taken up, gaps are not known":    {"7", nil, "id: 9\n" + x, nil},
		"taken up, again":                 {"7", nil, "id: 7\n" + x, errEventRepeated},
		"taken up, before":                {"7", nil, "id: 1\n" + x, errEventRepeated},
		"taken up, consecutive, skipped":  {"7", []string{"id: 8\n" + x}, "id: 10\n" + x, errEventSkipped},
		"other kind of ID":                {"", []string{"id: a\n" + x}, "id: 2\n" + x, errNoEventID},
		"no numbers":                      {"", []string{"id: a\n" + x}, "id: b\n" + x, nil},
		"no numbers, again":               {"", []string{"id: a\n" + x}, "id: a\n" + x, errEventRepeated},
		"no ID":                           {"", []string{"id: 1\n" + x}, x, errNoEventID},
		"no ID, after comments":           {"", []string{": a\n\n"}, x, nil},
		"document, after comments":        {"", []string{": a\n\n"}, "not found\n\n", errNoEvent},
		"comment":                         {"", []string{"id: 1\n" + x}, ": a\n\n", nil},
		"blank line":                      {"", []string{"id: 1\n" + x}, "\r\n", nil},
		"more fields":                     {"", []string{"id: 1\n" + x}, "x-weight-versions: 3\r\nid: 2\r\ndata: x\r\n\r\n", nil},
		"other fields without data":       {"", []string{"id: 1\n" + x}, "error: none\n\n", errNoEvent},
		"bytes that are no field":         {"", []string{"id: 1\n" + x}, "<p>\nid: 2\n" + x, errNoEvent},
		"later ID without data":           {"", []string{"id: 1\n" + x}, "id: 2\n\n", errEventRepeated},
		"last ID without data":            {"", []string{"id: 1\n" + x}, "id: 1\n: a\n\n", nil},
		"a number that can't be compared": {"", []string{"id: 1\n" + x}, "id: 18446744073709551616\n" + x, errNoEventID},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := streamPosition{lastID: test.taken}
			check := func(text string) error { return p.check([]byte(text), eventID([]byte(text)), hasData([]byte(text))) }
			p.beginAttempt(false)
			for _, text := range test.first {
				is.NoErr(check(text))
				p.sent([]byte(text), eventID([]byte(text)), hasData([]byte(text)))
			}
			is.True(!p.unknown)
			p.beginAttempt(len(test.first) > 0)
			is.True(errors.Is(check(test.second), test.want))
		})
	}
}

// Guards against an attempt that begins a stream and goes back in it: the next server would repeat events.
func TestStreamThatGoesBack(t *testing.T) {
	for text, want := range map[string]error{"id: 2\n\n": errEventRepeated, "id: 2\ndata: x\n\n": errEventRepeated, "id: 3\ndata: x\n\n": errEventRepeated, "id: 3\n\n": nil, "id: 4\n\n": nil} {
		is := is.New(t)
		p := streamPosition{}
		p.beginAttempt(false)
		p.sent([]byte("id: 3\ndata: x\n\n"), "3", true)
		is.True(errors.Is(p.check([]byte(text), eventID([]byte(text)), hasData([]byte(text))), want))
	}
}

// Guards against a stream that goes on after an ID that no request can name: a server that reads another one
// there, or none, repeats events.
func TestIDsThatNoRequestCanName(t *testing.T) {
	for id, unknown := range map[string]bool{"3": false, "a b\tc": false, "\u00e9": false, "3\x01": true, "3\x7f": true, "3\x00": true} {
		is := is.New(t)
		p := streamPosition{}
		p.beginAttempt(false)
		event := []byte("id: " + id + "\ndata: x\n\n")
		p.sent(event, eventID(event), true)
		is.Equal(p.unknown, unknown)
	}
}
