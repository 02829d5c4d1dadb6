package forward

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"parsleypulley/internal/membudget"
)

// Guards against short responses that fail, and long ones that are kept, while other responses have all memory.
func TestResponsesWithoutCommonMemory(t *testing.T) {
	full := func() *membudget.Hold { return membudget.New(0).Hold(freePartMemory) }
	for name, size := range map[string]int{"empty": 0, "short": freePartMemory - 1, "long": freePartMemory + 1, "very long": 2 * maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Repeat("x", size)
			rest := iotest.HalfReader(strings.NewReader(text))
			body, more, err := (&response{body: rest}).bufferBody(full())
			is.NoErr(err)
			is.Equal(more, size >= freePartMemory)
			is.True(len(body) <= freePartMemory)
			remaining, err := io.ReadAll(rest)
			is.NoErr(err)
			is.Equal(string(body)+string(remaining), text)

			event := "data: " + text + "\n\n"
			events := eventReader{r: bufio.NewReaderSize(strings.NewReader("id: 1\n\n"+event), 16), hold: *full()}
			first, id, err := events.next()
			is.NoErr(err)
			is.Equal(string(first)+id, "id: 1\n\n1")
			got, _, err := events.next()
			if len(event) > freePartMemory {
				is.True(errors.Is(err, errMemoryFull))
				return
			}
			is.NoErr(err)
			is.Equal(string(got), event)
		})
	}
}

// Guards against lines of a body that count as lines of the head: a sound response would be refused.
func TestHeadLines(t *testing.T) {
	for p, lines := range map[string]int{
		"":                             0,
		"HTTP/1.1 200 OK\r\nA: b":      1,
		"HTTP/1.1 200 OK\nA: b\n\nx\n": 2,
		"A: b\r\n\r\nx\r\ny\r\n":       1,
		"HTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\nB: c\r\n\r\nx\r\n": 5,
	} {
		is.New(t).Equal(headLines([]byte(p)), lines)
	}
}
