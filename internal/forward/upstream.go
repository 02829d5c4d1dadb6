package forward

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections to backend servers.
const (
	// dialTimeout bounds the opening of a connection: a few round trips within a
	// region, and less than a caller's patience for a second attempt.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the time after which unacknowledged bytes end a connection:
	// a peer that is cut off silently is found out so.
	userTimeout = 900 * time.Millisecond
	// probeIdle and probeInterval are those of TCP's own probes on a connection
	// on which an answer is awaited.
	probeIdle     = time.Second
	probeInterval = time.Second
	// idleLimit is how long a connection is kept for reuse when the backend server
	// does not tell its own limit; idleMargin is kept away from that limit.
	idleLimit  = 4 * time.Second
	idleMargin = 600 * time.Millisecond
	// freshLimit is how long after its last answer a connection is reused for a
	// call that may run only once.
	freshLimit = 250 * time.Millisecond
	// maxIdle bounds the connections kept for one backend server.
	maxIdle = 16
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// asyncBody is the length from which a body is written while the answer is
	// awaited, since a backend server may answer before it has read all of it.
	asyncBody = 8 << 10
	// maxStrays bounds the answers to other calls that are skipped on one
	// connection.
	maxStrays = 2
)

// connections counts what became of connections to backend servers.
var connections = expvar.NewMap("forward_connections")

// upstream keeps connections to backend servers. It is safe for concurrent use.
type upstream struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

func newUpstream() *upstream {
	return &upstream{dialer: newDialer(), idle: map[string][]*conn{}}
}

// newDialer returns a dialer whose connections end soon after a silent cut.
func newDialer() net.Dialer {
	return net.Dialer{Timeout: dialTimeout, Control: controlSocket,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: 2}}
}

// controlSocket makes silent cuts end a connection soon.
func controlSocket(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// conn is one connection to a backend server. It carries one call at a time.
type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	// expires is when the connection may no longer be reused, and used when it
	// last answered.
	expires time.Time
	used    time.Time
}

// get returns a connection to address: a kept one that is quiet, or a new one.
// A positive maxAge bounds the time since the last answer of a kept one.
func (u *upstream) get(ctx context.Context, address string, maxAge time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := u.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && (maxAge <= 0 || now.Sub(c.used) <= maxAge) && c.isQuiet() {
			connections.Add("reused", 1)
			return c, nil
		}
		c.Close()
	}
	raw, err := u.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		connections.Add("failed", 1)
		return nil, err
	}
	hops.connect.Record(time.Now(), time.Since(now))
	connections.Add("opened", 1)
	return &conn{Conn: raw, address: address, r: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (u *upstream) pop(address string) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	u.idle[address] = kept[:len(kept)-1]
	return c
}

// put keeps a connection whose answer was read whole.
func (u *upstream) put(c *conn, keepFor time.Duration) {
	now := time.Now()
	c.used, c.expires = now, now.Add(keepFor)
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	u.idle[c.address] = append(u.idle[c.address], c)
}

// sweep closes kept connections that have expired, and all to addresses that
// current doesn't hold.
func (u *upstream) sweep(now time.Time, current map[string]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for address, kept := range u.idle {
		var live []*conn
		for _, c := range kept {
			if current[address] && now.Before(c.expires) {
				live = append(live, c)
			} else {
				c.Close()
			}
		}
		if len(live) == 0 {
			delete(u.idle, address)
			continue
		}
		u.idle[address] = live
	}
}

// isQuiet reports whether an idle connection is open and has nothing to read:
// bytes that come unasked belong to no call.
func (c *conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(readErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// errForeign tells that only answers to other calls came.
var errForeign = errors.New("the answer belongs to another call")

// roundTrip sends req and reads the head of the answer to it. isOwn tells the
// answer to the call from others, which are skipped. sent reports whether any
// byte of the request may have reached the backend server. The deadline and the
// end of ctx break it off; stop must be called when the answer is done with.
func (c *conn) roundTrip(ctx context.Context, req *http.Request, bodyLength int, isOwn func(*http.Response) bool) (resp *http.Response, written *writing, sent bool, err error) {
	written = c.write(req, bodyLength)
	if written.done && written.err != nil {
		return nil, written, written.sent, written.err
	}
	for range maxStrays + 1 {
		resp, err = c.readHead(req)
		if err != nil {
			return nil, written, true, err
		}
		if isOwn(resp) {
			return resp, written, true, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, written, true, fmt.Errorf("%w: %w", errForeign, err)
		}
	}
	return nil, written, true, errForeign
}

// writing is a request on its way.
type writing struct {
	// done is set when the whole request was written, or err says why not.
	done bool
	sent bool
	err  error
	end  chan struct{}
}

// whole reports whether the request was written whole.
func (w *writing) whole() bool {
	if w.end != nil {
		select {
		case <-w.end:
		default:
			return false
		}
	}
	return w.done && w.err == nil
}

// write writes a request: a short one at once, one with a long body in the
// background.
func (c *conn) write(req *http.Request, bodyLength int) *writing {
	out := &countingWriter{w: c.Conn}
	if bodyLength <= asyncBody {
		err := req.Write(out)
		return &writing{done: true, sent: out.n > 0, err: err}
	}
	w := &writing{sent: true, end: make(chan struct{})}
	go func() {
		defer close(w.end)
		w.err = req.Write(out)
		w.done = true
	}()
	return w
}

type countingWriter struct {
	w io.Writer
	n int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.n += n
	return n, err
}

// readHead reads the next answer's head, past interim ones.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// keepFor returns how long the connection of an answer may be kept; 0 is not.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return 0
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return idleLimit
}
