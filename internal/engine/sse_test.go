package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testEventLimit = 64

func readEvents(input string) ([]event, error) {
	er := newEventReader(bufio.NewReaderSize(strings.NewReader(input), 16), testEventLimit)
	var events []event
	for {
		ev, err := er.next()
		if err != nil {
			return events, err
		}
		events = append(events, ev)
	}
}

func TestEventReader(t *testing.T) {
	for _, test := range []struct {
		name, input string
		ids, data   []string
		err         error
	}{
		{"empty", "", nil, nil, io.EOF},
		{"one event", "data: a\n\n", []string{""}, []string{"data: a\n\n"}, io.EOF},
		{"with ID", "id: r.1/7\ndata: a\n\n", []string{"r.1/7"}, []string{"data: a\n\n"}, io.EOF},
		{"ID after data", "data: a\nid: 7\n\n", []string{"7"}, []string{"data: a\n\n"}, io.EOF},
		{"ID applies to one event", "id: 7\ndata: a\n\ndata: b\n\n", []string{"7", ""}, []string{"data: a\n\n", "data: b\n\n"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\n", []string{""}, []string{"data: a\n\n"}, io.EOF},
		{"several data lines", "data: a\ndata: b\n\n", []string{""}, []string{"data: a\ndata: b\n\n"}, io.EOF},
		{"comments and other fields", ": ping\n\nevent: x\nretry: 3\ndata: a\n\n", []string{""}, []string{"data: a\n\n"}, io.EOF},
		{"longer than the buffer", "data: 0123456789012345678901234567890\n\n", []string{""}, []string{"data: 0123456789012345678901234567890\n\n"}, io.EOF},
		{"byte order mark", "\ufeffdata: a\n\ndata: b\n\n", []string{"", ""}, []string{"data: a\n\n", "data: b\n\n"}, io.EOF},
		{"byte order mark before the ID", "\ufeffid: 1\ndata: a\n\n", []string{"1"}, []string{"data: a\n\n"}, io.EOF},
		{"byte order mark later", "data: a\n\n\ufeffdata: b\ndata: c\n\n", []string{"", ""}, []string{"data: a\n\n", "data: c\n\n"}, io.EOF},
		{"input ends within a line", "data: a\n\ndata: b", []string{""}, []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"input ends between lines", "data: a\n", nil, nil, io.ErrUnexpectedEOF},
		{"line over the limit", "data: " + strings.Repeat("x", testEventLimit) + "\n\n", nil, nil, errEventTooLarge},
		{"event over the limit", strings.Repeat("data: xxxxxxxx\n", 5) + "\n", nil, nil, errEventTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			events, err := readEvents(test.input)
			var ids, data []string
			for _, ev := range events {
				ids = append(ids, string(ev.id))
				data = append(data, string(ev.data))
			}
			is.Equal(ids, test.ids)
			is.Equal(data, test.data)
			is.Equal(err, test.err)
		})
	}
}

func TestEndMarker(t *testing.T) {
	is := is.New(t)
	events, _ := readEvents("data: a\n\ndata: [DONE]\n\n")
	is.Equal(len(events), 2)
	is.True(!events[0].done)
	is.True(events[1].done)
}

func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"data: a\n\n", "id: r1.1/1\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n", "data: a", "\r\n\r\n: c\n\n",
		"data:\n\n", "id:\n\ndata: [DONE]", strings.Repeat("data: x\n", 20), strings.Repeat("x", 200) + "\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		er := newEventReader(bufio.NewReaderSize(bytes.NewReader(input), 16), testEventLimit)
		for {
			ev, err := er.next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, errEventTooLarge) {
					t.Fatalf("unexpected error %v", err)
				}
				return
			}
			if len(ev.data) > testEventLimit+2 || len(ev.id) > testEventLimit {
				t.Fatalf("event of %d bytes is over the limit", len(ev.data))
			}
			if !bytes.HasPrefix(ev.data, fieldData) || !bytes.HasSuffix(ev.data, []byte("\n\n")) {
				t.Fatalf("event is incomplete: %q", ev.data)
			}
			// Parsing the forwarded data must yield the same single event.
			again, err := newEventReader(bufio.NewReader(bytes.NewReader(ev.data)), 2*testEventLimit).next()
			if err != nil || !bytes.Equal(again.data, ev.data) || again.done != ev.done {
				t.Fatalf("%q parses as %q, %v", ev.data, again.data, err)
			}
		}
	})
}
