// Package connend tells the orderly end of a TCP connection from a reset. The kernel reports a reset once: if the
// write of a request gets the error, the reads after it see a plain end, and a part of an answer whose end is that of
// its connection looks like a whole one.
package connend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// deliveryTimeout is how long AwaitDelivery waits for the peer to get the rest of a request. It allows for several
	// round trips and a retransmission; a peer that reads on after its answer does so at once.
	deliveryTimeout = 500 * time.Millisecond
	// pollInterval is the time between two looks at a connection that has data in flight.
	pollInterval = time.Millisecond
)

var (
	// ErrReset is returned where a connection that was reset looks as if it had ended in an orderly way.
	ErrReset = fmt.Errorf("the connection did not end in an orderly way: %w", syscall.ECONNRESET)
	// ErrUndelivered is returned if the peer has ended the connection and has not got all that was written.
	ErrUndelivered = fmt.Errorf("the connection ended before the peer had got the whole request: %w", io.ErrUnexpectedEOF)
)

// Conn is a connection whose reads return io.EOF only for an orderly end.
type Conn struct {
	net.Conn
	// writeErr is the error of the first write that failed, which may be that of a reset.
	writeErr atomic.Pointer[error]
}

// New returns c as a Conn. Resets are told from orderly ends only if c is a TCP connection or gives access to one as a
// syscall.Conn.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// DialContext returns a function that dials with dial and returns a Conn.
func DialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// Read implements net.Conn. At the end of a connection on which a write has failed, or that was reset, it returns
// ErrReset, or the error of the write if that came from this end: a deadline, or the closing of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if cut := c.failure(c.state()); cut != nil {
			err = cut
		}
	}
	return n, err
}

// failure returns the error of a connection whose end was read; nil if it has ended in an orderly way.
func (c *Conn) failure(state connState) error {
	switch err := c.writeErr.Load(); {
	case state == stateClosed:
		return net.ErrClosed
	case err != nil && (errors.Is(*err, os.ErrDeadlineExceeded) || errors.Is(*err, net.ErrClosed)):
		return *err
	case err != nil || state == stateReset:
		return ErrReset
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// AwaitDelivery waits until the peer, whose end of the connection was read, has got the whole request, for
// deliveryTimeout at most, and returns an error if it has not. written is closed when writing has ended. Without an
// error, the connection ended in an orderly way behind the whole request: the bytes read are all that the peer wrote.
// A peer that ends the connection without reading the request can't be told from one that broke off.
func (c *Conn) AwaitDelivery(written <-chan struct{}) error {
	timer := time.NewTimer(deliveryTimeout)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
		return ErrUndelivered
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		state := c.state()
		if err := c.failure(state); err != nil || state == stateDelivered {
			return err
		}
		select {
		case <-poll.C:
		case <-timer.C:
			return ErrUndelivered
		}
	}
}

// connState is the state of a connection whose peer has ended it.
type connState int

const (
	// stateReset: the connection was reset, also behind an orderly end.
	stateReset connState = iota
	// stateClosed: this end has closed the connection.
	stateClosed
	// stateInFlight: the peer has not acknowledged all that was written.
	stateInFlight
	// stateDelivered: it has. This is also the state of a connection that is not TCP.
	stateDelivered
)

func (c *Conn) state() connState {
	raw, err := c.SyscallConn()
	if err != nil {
		return stateDelivered
	}
	state := stateReset
	controlErr := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case errors.Is(err, unix.ENOPROTOOPT) || errors.Is(err, unix.EOPNOTSUPP): // not TCP
			state = stateDelivered
		case err != nil || info.State == unix.BPF_TCP_CLOSE:
		case info.Unacked > 0 || info.Notsent_bytes > 0:
			state = stateInFlight
		default:
			state = stateDelivered
		}
	})
	if controlErr != nil {
		return stateClosed
	}
	return state
}
