package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Minimum and maximum backoff after a failed dial, before jitter is applied.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Pool opens calls to other processes. It keeps one link per address.
type Pool struct {
	tls *tls.Config
	// Dial opens a connection. NewPool sets it to a TCP dialer. It must not be
	// changed after the first call.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// maxIdle is the time after which a link without calls is closed.
	maxIdle time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// NewPool returns an empty pool. If tlsConfig is nil, it uses plain TCP.
func NewPool(tlsConfig *tls.Config) *Pool {
	return &Pool{tls: tlsConfig, Dial: dialTCP, maxIdle: idleTimeout, peers: map[string]*peer{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// peer holds the link to one address and the backoff for dialling it.
type peer struct {
	mu sync.Mutex
	// session is the link. It is nil or closed if there is none.
	session *yamux.Session
	// failures is the number of failed dials since the last successful one.
	failures int
	// retryAt is when the address may be dialled again.
	retryAt time.Time
	// heard is set when the process at the address was heard of since the last dial, so
	// that it may be dialled before retryAt. It is not guarded by mu, which is held while
	// an address is dialled.
	heard atomic.Bool
}

func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[address]
	if pr == nil {
		pr = &peer{}
		p.peers[address] = pr
	}
	return pr
}

// Heard tells the pool that a message from the process at address has arrived. If dials to
// it have failed, the next one is not delayed any more.
func (p *Pool) Heard(address string) {
	p.mu.Lock()
	pr := p.peers[address]
	p.mu.Unlock()
	if pr != nil {
		pr.heard.Store(true)
	}
}

// Close closes all links.
func (p *Pool) Close() {
	p.mu.Lock()
	peers := p.peers
	p.peers = map[string]*peer{}
	p.mu.Unlock()
	for _, pr := range peers {
		pr.close()
	}
}

func (pr *peer) close() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.session != nil {
		pr.session.Close()
		pr.session = nil
	}
}

// openStream opens a stream to address. It dials if there is no link. It holds the
// peer's lock so that the link is not closed as idle in the meantime.
func (p *Pool) openStream(ctx context.Context, address string) (*yamux.Stream, error) {
	pr := p.peer(address)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	session, err := p.session(ctx, pr, address)
	if err != nil {
		return nil, err
	}
	return session.OpenStream()
}

// session returns the link of pr and dials if there is none. The caller must hold
// pr.mu.
func (p *Pool) session(ctx context.Context, pr *peer, address string) (*yamux.Session, error) {
	if pr.session != nil && !pr.session.IsClosed() {
		return pr.session, nil
	}
	if heard := pr.heard.Swap(false); time.Until(pr.retryAt) > 0 && !heard {
		return nil, errors.New("link is down; next attempt is due later")
	}
	session, err := p.dial(ctx, pr, address)
	if err != nil {
		pr.failures++
		pr.retryAt = time.Now().Add(backoff(pr.failures))
		return nil, err
	}
	pr.failures = 0
	pr.session = session
	return session, nil
}

// closeIdle closes session, unless a call has been opened since the session was
// found idle. It reports whether it closed the session.
func (pr *peer) closeIdle(session *yamux.Session) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if session.NumStreams() > 0 {
		return false
	}
	session.Close()
	if pr.session == session {
		pr.session = nil
	}
	return true
}

func (p *Pool) dial(ctx context.Context, pr *peer, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.tls != nil {
		tlsConn := tls.Client(conn, p.tls)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		conn = tlsConn
	}
	batch := newBatchConn(conn)
	session, err := yamux.Client(batch, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	go keepAlive(session, batch, callerPingInterval, p.maxIdle, func() bool { return pr.closeIdle(session) })
	return session, nil
}

// backoff returns an exponential delay with jitter after n failures in a row.
func backoff(n int) time.Duration {
	d := minBackoff << min(n-1, 10)
	d = min(d, maxBackoff)
	return d/2 + rand.N(d/2)
}

// Stream is an open call. Recv reads its response.
type Stream struct {
	stream *yamux.Stream
	br     *bufio.Reader
	// stopAfterFunc cancels the closing of the stream at the end of ctx.
	stopAfterFunc func() bool
	ctx           context.Context
	// answered is set once a message of the response has been received.
	answered bool
}

// Open opens a call to address and sends req. An error with outcome NotRun proves
// that the request was not sent. The call ends when Close is called or ctx ends.
func (p *Pool) Open(ctx context.Context, address string, req *wire.Request) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, fault.New(fault.Cancelled, fault.NotRun, "call to %s: %w", address, err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	stream, err := p.openStream(ctx, address)
	if err != nil {
		return nil, fault.New(fault.LinkDown, fault.NotRun, "link to %s: %w", address, err)
	}
	stopAfterFunc := context.AfterFunc(ctx, func() { stream.Close(); stream.SetReadDeadline(time.Now()) })
	if err := writeMessage(stream, req); err != nil {
		stopAfterFunc()
		stream.Close()
		var unsent *fault.Error
		switch {
		case errors.As(err, &unsent):
			return nil, unsent
		case errors.Is(err, yamux.ErrConnectionReset):
			return nil, errCallRefused()
		}
		return nil, fault.New(fault.LinkDown, fault.Unknown, "link to %s: %w", address, err)
	}
	return &Stream{stream: stream, br: getReader(stream), stopAfterFunc: stopAfterFunc, ctx: ctx}, nil
}

// Recv returns the next message of the response. It returns io.EOF after the last
// message of a complete response. Any other error is a *fault.Error, either sent by
// the peer or caused by the link or the context.
func (s *Stream) Recv() (*wire.Response, error) {
	resp := &wire.Response{}
	if err := readMessage(s.br, resp); err != nil {
		if errors.Is(err, yamux.ErrConnectionReset) && !s.answered {
			return nil, errCallRefused()
		}
		if cause := s.ctx.Err(); cause != nil {
			return nil, fault.New(contextKind(cause), fault.Unknown, "call: %w", cause)
		}
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fault.New(fault.LinkDown, fault.Unknown, "link lost: %w", err)
	}
	s.answered = true
	if resp.Error != nil {
		return nil, fault.FromWire(resp.Error)
	}
	return resp, nil
}

// errCallRefused returns the error of a call that the peer's link has reset without a
// response. It does so only if it is being closed or has too many calls waiting, and
// then it has not handed the call to its handler.
func errCallRefused() error {
	return fault.New(fault.LinkDown, fault.NotRun, "the link takes no more calls")
}

func contextKind(cause error) fault.Kind {
	if errors.Is(cause, context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.Cancelled
}

// Close ends the call. If the peer's handler is still running, its context is
// cancelled. Close must be called exactly once, after the last Recv.
func (s *Stream) Close() {
	s.stopAfterFunc()
	s.stream.Close()
	putReader(s.br)
	s.br = nil
}

// Tell sends req, to which there is no response. It does not wait until the peer has read it.
func (p *Pool) Tell(ctx context.Context, address string, req *wire.Request) error {
	s, err := p.Open(ctx, address, req)
	if err != nil {
		return err
	}
	s.Close()
	return nil
}

// Call sends req and returns the first message of the response.
func (p *Pool) Call(ctx context.Context, address string, req *wire.Request) (*wire.Response, error) {
	s, err := p.Open(ctx, address, req)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	resp, err := s.Recv()
	if errors.Is(err, io.EOF) {
		return nil, fault.New(fault.LinkDown, fault.Unknown, "%s ended the call without an answer", address)
	}
	return resp, err
}
