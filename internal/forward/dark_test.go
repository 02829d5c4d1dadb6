package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"parsleypulley/internal/wire"
)

// goDark makes a socket drop all packets that arrive from now on, as if its machine had lost power: nothing is
// acknowledged or reset, and a listener's new connections are not answered.
func goDark(t *testing.T, socket syscall.Conn) {
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	controlErr := raw.Control(func(fd uintptr) {
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil || controlErr != nil {
		t.Error(err, controlErr)
	}
}

// receive makes a socket that drops packets receive them again.
func receive(t *testing.T, socket syscall.Conn) {
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	if err != nil || controlErr != nil {
		t.Error(err, controlErr)
	}
}

// Guards against responses that have begun and are cut since one packet was lost: a probe of the kernel in a
// pause of the response.
func TestOneLostProbeCutsNoBegunResponse(t *testing.T) {
	for _, reused := range []bool{false, true} {
		t.Run(map[bool]string{false: "new connection", true: "reused connection"}[reused], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := startBackend(t, func(c net.Conn, r *http.Request) {
				writeEvents(c, r, 1, 3, false)
				if r.Header.Get("Call") == "c1" {
					time.Sleep(keepAliveIdle / 2)
					goDark(t, c.(*net.TCPConn))
					time.Sleep(keepAliveIdle) // the first probe is lost
					receive(t, c.(*net.TCPConn))
					time.Sleep(keepAliveIdle + keepAliveInterval)
				}
				fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(eventsText(4, 5)), eventsText(4, 5))
			})
			r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.TimeoutMs = true, 8000 }), address)
			if reused {
				_, body, _, err := r.call("Call", "c0", "Stay", "1")
				is.NoErr(err)
				is.Equal(body, eventsText(1, 5))
			}
			_, body, _, err := r.call("Call", "c1", "Stay", "1")
			is.NoErr(err)
			is.Equal(body, eventsText(1, 5))
		})
	}
}

// Guards against responses that have begun and hang at a machine that is gone without a reset. No check ends them, as
// nobody can go on with them: the kernel's probes on their own connection must, also if it has carried a long
// body, so that TCP_USER_TIMEOUT does not hold on it.
func TestBegunResponsesOfDarkServerEnd(t *testing.T) {
	const limit = probesEnd + probesSpare
	part := strings.Repeat("x", maxBufferedBody+10)
	for name, test := range map[string]struct {
		stream, longBody bool
	}{
		"plain answer":                      {},
		"plain answer to a long body":       {longBody: true},
		"stream that can't be resumed":      {stream: true},
		"stream that can't, of a long body": {stream: true, longBody: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var config net.ListenConfig
			config.SetMultipathTCP(false) // its listeners take no filter
			ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			dark, answered := make(chan time.Time, 1), make(chan struct{})
			defer close(answered)
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
				_, _ = io.Copy(io.Discard, r.Body)
				if test.stream {
					writeEvents(c, r, 1, 3, false)
				} else {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: c1\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", len(part)+4, part)
				}
				time.Sleep(200 * time.Millisecond) // all is acknowledged
				goDark(t, ln.(*net.TCPListener))
				goDark(t, c.(*net.TCPConn))
				dark <- time.Now()
				<-answered
			}()
			r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.TimeoutMs = test.stream, 15_000 }), ln.Addr().String())
			if test.longBody {
				_, _, err = r.callWithLongBody()
			} else {
				_, _, _, err = r.call()
			}
			took := time.Since(<-dark)
			is.True(err != nil) // broken off
			t.Logf("broken off %v after the machine went dark", took)
			is.True(took < limit)
		})
	}
}
