package connend

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (c *Conn, peer *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close(); accepted.Close() })
	return New(raw), accepted.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closedChannel is that of a request whose writing has ended.
func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Guards against a reset that looks like an orderly end, since a write has taken its error.
func TestResetAfterAFailedWriteIsNoEnd(t *testing.T) {
	is := is.New(t)
	for _, wrapped := range []bool{false, true} {
		c, peer := connect(t)
		_, err := peer.Write([]byte("part"))
		is.NoErr(err)
		reset(peer)
		for c.state() != stateReset {
			time.Sleep(time.Millisecond)
		}
		var rw io.ReadWriter = c
		if !wrapped {
			rw = c.Conn
		}
		_, err = rw.Write([]byte("x"))
		is.True(errors.Is(err, syscall.ECONNRESET))
		data, err := io.ReadAll(rw)
		is.Equal(string(data), "part")
		is.Equal(errors.Is(err, syscall.ECONNRESET), wrapped) // the cause: a plain connection has an orderly end
		is.True(wrapped || err == nil)
	}
}

// Guards against a reset whose error another goroutine's write has taken but not yet returned.
func TestResetWhoseErrorWasTakenIsNoEnd(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	reset(peer)
	for c.state() != stateReset {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Conn.Write([]byte("x")) // c does not see it
	is.True(err != nil)
	_, err = io.ReadAll(c)
	is.True(errors.Is(err, ErrReset))
}

// Guards against orderly ends that are refused, and against others that are not, by what the peer got before.
func TestAwaitDelivery(t *testing.T) {
	large := make([]byte, 16<<20) // more than the buffers of a connection that nobody reads
	for name, test := range map[string]struct {
		request []byte
		peer    func(c *net.TCPConn, n int)
		want    error
	}{
		"nothing to deliver": {nil, func(c *net.TCPConn, n int) { c.Close() }, nil},
		"read":               {large, func(c *net.TCPConn, n int) { _, _ = io.CopyN(io.Discard, c, int64(n)); c.Close() }, nil},
		"read after the end": {large, func(c *net.TCPConn, n int) { _ = c.CloseWrite(); _, _ = io.CopyN(io.Discard, c, int64(n)) }, nil},
		"read slowly after the end": {large, func(c *net.TCPConn, n int) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_, _ = io.CopyN(io.Discard, c, int64(n))
		}, nil},
		"never read":                {large, func(c *net.TCPConn, n int) { _ = c.CloseWrite() }, ErrUndelivered},
		"reset behind the end":      {large, func(c *net.TCPConn, n int) { _ = c.CloseWrite(); time.Sleep(50 * time.Millisecond); reset(c) }, syscall.ECONNRESET},
		"closed, the write goes on": {large, func(c *net.TCPConn, n int) { _, _ = io.CopyN(io.Discard, c, 100); c.Close() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, peer := connect(t)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = c.Write(test.request)
			}()
			go test.peer(peer, len(test.request))
			_, err := io.ReadAll(c)
			if err == nil {
				err = c.AwaitDelivery(written)
			}
			is.True(errors.Is(err, test.want))
		})
	}
}

// Guards against connections that are not TCP, or were closed here.
func TestOtherConnections(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	b.Close()
	c := New(a)
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(c.AwaitDelivery(closedChannel()))
	tcp, _ := connect(t)
	tcp.Close()
	is.Equal(tcp.AwaitDelivery(closedChannel()), net.ErrClosed)
}

// Guards against a deadline or a cancellation at this end that counts as a break by the peer.
func TestWritesThatThisEndEnds(t *testing.T) {
	for name, end := range map[string]func(c *Conn){
		"deadline": func(c *Conn) { _ = c.SetWriteDeadline(time.Now()) },
		"close":    func(c *Conn) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, peer := connect(t)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = c.Write(make([]byte, 16<<20))
			}()
			is.NoErr(peer.CloseWrite())
			_, err := io.ReadAll(c)
			is.NoErr(err)
			end(c)
			err = c.AwaitDelivery(written)
			is.True(err != nil)
			is.True(!errors.Is(err, syscall.ECONNRESET))
		})
	}
}
