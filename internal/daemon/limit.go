package daemon

import (
	"errors"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// refusedConnections counts the connections closed because of a listener's limit, by
// listener.
var refusedConnections = expvar.NewMap("connections_refused_by_listener")

// limitListener limits the number of open connections: further ones are closed as
// soon as they are accepted. So one listener can't use up the file descriptors that
// others need.
type limitListener struct {
	net.Listener
	name string
	max  int64
	open atomic.Int64
}

// LimitListener returns a listener that accepts from ln and keeps at most
// maxConnections connections open. name is its label in the metrics.
func LimitListener(ln net.Listener, name string, maxConnections int) net.Listener {
	return &limitListener{Listener: ln, name: name, max: int64(maxConnections)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		refusedConnections.Add(l.name, 1)
		conn.Close()
	}
}

// SyscallConn implements syscall.Conn.
func (l *limitListener) SyscallConn() (syscall.RawConn, error) {
	if ln, ok := l.Listener.(syscall.Conn); ok {
		return ln.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// limitedConn is a connection that counts against the limit of its listener until
// it is closed.
type limitedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// SetLinger sets the SO_LINGER option of a TCP connection.
func (c *limitedConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(lingerer); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
