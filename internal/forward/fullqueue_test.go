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

	"parsleypulley/internal/wire"
)

// Guards against sound streams that are cut since the listener's queue of their server is full while it is
// silent, though nobody can go on with them.
func TestFullQueueOfSoundServerCutsNoStream(t *testing.T) {
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	is.NoErr(err)
	file.Close()
	t.Cleanup(func() { ln.Close() })
	address := ln.Addr().String()
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
		for range 3 { // fills the queue
			go net.DialTimeout("tcp", address, 5*time.Second)
		}
		time.Sleep(50 * time.Millisecond)
		writeEvents(c, r, 1, 3, false)
		time.Sleep(1200 * time.Millisecond)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
	}()
	route := forwardRoute(func(r *wire.ForwardRoute) { setResumableStream(r); r.Resumable, r.TimeoutMs = false, 8000 })
	r := newFixture(t, route, address)
	status, body, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, eventsText(1, 5))
}
