package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/reach"
	"parsleypulley/internal/wire"
)

// listenWithFullQueue returns a listener at which no more connections can be opened once serve is called,
// with its first connection and the first request on it.
func listenWithFullQueue(t *testing.T, serve backendScript) (address string) {
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	is.NoErr(err)
	is.NoErr(file.Close())
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		for range 3 { // they fill the queue
			go net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
		}
		time.Sleep(50 * time.Millisecond)
		serve(c, r)
	}()
	return ln.Addr().String()
}

// Guards against sound streams that are cut since a connection to their server timed out. Its listener's
// queue is full, and no event of the stream comes while the check runs, as usual on its route.
func TestDialTimeoutCutsNoSoundStream(t *testing.T) {
	is := is.New(t)
	const events, pause = 12, 370 * time.Millisecond // shorter than silenceBeforeCheck
	begun := make(chan struct{})
	address := listenWithFullQueue(t, func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 1, false)
		close(begun)
		for i := 2; i <= events; i++ {
			time.Sleep(pause)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(eventsText(i, i)), eventsText(i, i))
		}
		fmt.Fprint(c, "0\r\n\r\n")
	})
	// A stream that can't be resumed would be kept until the leader suspects the server.
	route := forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.TimeoutMs = 8000 })
	r := newFixture(t, route, address)
	stream := make(chan string)
	go func() {
		_, body, _, _ := r.call("Call", "c1")
		stream <- body
	}()
	<-begun
	backend := &wire.Backend{Name: "b0", Address: address, AgentIncarnation: 1}
	for range 5 { // as after a dial that timed out, at different times within a pause
		r.f.silence.check(backend, nil, time.Time{})
		time.Sleep(reach.ShareFor + 70*time.Millisecond)
	}
	is.Equal(<-stream, eventsText(1, events))
}

// Guards against sound streams that are cut since the queue of their server's listener is full while it
// is silent, though nobody can go on with them.
func TestFullQueueOfSoundServerCutsNoStream(t *testing.T) {
	is := is.New(t)
	address := listenWithFullQueue(t, func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 3, false)
		time.Sleep(1200 * time.Millisecond)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
	})
	route := forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.TimeoutMs = true, 8000 }) // can't be resumed
	status, body, _, err := newFixture(t, route, address).call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, eventsText(1, 5))
}
