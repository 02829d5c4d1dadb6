package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/membudget"
	"parsleypulley/internal/wire"
)

// Guards against servers that begin long events, send no more and so leave no memory for those of a sound server,
// whose streams would be cut after they have begun.
func TestHeldMemoryOfOneServerCutsNoStreamOfAnother(t *testing.T) {
	const sound = 48 << 10
	is := is.New(t)
	var sizes atomic.Int32
	faulty := startBackend(t, func(c net.Conn, r *http.Request) {
		size := 250 << 10 >> (sizes.Add(1) / 8) // smaller ones take what is left
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\ndata: %s", r.Header.Get("Call"), strings.Repeat("x", size))
		hang(c)
	})
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.TimeoutMs = true, 4000 }), faulty)
	r.f.connPool.memory = membudget.New(2 << 20)
	var held sync.WaitGroup
	for i := range 48 {
		held.Go(func() { r.call("Call", fmt.Sprint("held", i)) })
	}
	time.Sleep(500 * time.Millisecond)
	r.setBackend(0, faulty, wire.BackendState_BACKEND_STATE_DRAINING)
	want := fmt.Sprintf("data: x\n\ndata: %s\n\n", strings.Repeat("y", sound))
	r.setBackend(1, startBackend(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Call"), want)
	}), wire.BackendState_BACKEND_STATE_READY)
	_, body, _, err := r.call("Call", "sound")
	is.NoErr(err)
	is.True(body == want)
	held.Wait()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if r.f.connPool.memory.Taken() == 0 {
			return
		}
	}
	t.Error("memory was not given back")
}

// Guards against short responses that fail, and long ones that are kept, while other responses have all memory.
func TestResponsesWithoutCommonMemory(t *testing.T) {
	full := func() *membudget.Hold { return membudget.New(0).Hold("one", freePartMemory) }
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
