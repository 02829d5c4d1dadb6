package link

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/wire"
)

// Handler serves the calls of a link server.
type Handler interface {
	// ServeLink sends the response to call and returns when it is complete. A
	// returned error is sent as the last message of the call. If the caller closes
	// the call or the link breaks, ctx is cancelled with cause ErrCallClosed or
	// ErrLinkLost.
	ServeLink(ctx context.Context, call *Call) error
}

// HandlerFunc is an adapter that makes a function a Handler.
type HandlerFunc func(ctx context.Context, call *Call) error

// ServeLink implements Handler.
func (f HandlerFunc) ServeLink(ctx context.Context, call *Call) error { return f(ctx, call) }

// Call is one incoming call.
type Call struct {
	Request *wire.Request
	// PeerRole is the role in the peer's certificate. It is empty without TLS.
	PeerRole string
	// PeerName is the name in the peer's certificate. It is empty without TLS.
	PeerName string
	stream   *yamux.Stream
	// mu serializes the writes to stream.
	mu sync.Mutex
}

// Send sends one message of the response.
func (c *Call) Send(r *wire.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return writeMessage(c.stream, r)
}

// SendAll sends several messages of the response in a single write.
func (c *Call) SendAll(rs []*wire.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return writeResponses(c.stream, rs)
}

// Server accepts links and passes their calls to a Handler.
type Server struct {
	handler Handler
	tls     *tls.Config
	// maxCalls is the maximum number of concurrent calls on one link.
	maxCalls int
	// pingInterval is the interval at which a link is checked.
	pingInterval time.Duration
	// idleTimeout is the time after which a link without calls is closed.
	idleTimeout time.Duration

	mu       sync.Mutex
	listener net.Listener
	sessions map[*yamux.Session]struct{}
	closed   bool
	// calls counts the running calls.
	calls int
	// idle is closed when calls becomes 0; nil if nothing waits for that.
	idle chan struct{}
}

// NewServer returns a server that passes calls to handler. If tlsConfig is nil, it
// uses plain TCP.
func NewServer(handler Handler, tlsConfig *tls.Config) *Server {
	return &Server{handler: handler, tls: tlsConfig, maxCalls: maxCallsPerLink, pingInterval: serverPingInterval, idleTimeout: serverIdleTimeout, sessions: map[*yamux.Session]struct{}{}}
}

// acceptRetryDelay is the time after which a link is accepted for which there was no descriptor. The
// peer's connection waits in the backlog of the listener.
const acceptRetryDelay = 10 * time.Millisecond

// acceptsDelayed counts how often there was no descriptor for a link.
var acceptsDelayed = expvar.NewInt("link_accepts_delayed")

// Serve accepts links on ln until the server is closed. It returns nil after Close
// or Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls)
	}
	s.mu.Lock()
	s.listener = ln
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				acceptsDelayed.Add(1)
				time.Sleep(acceptRetryDelay)
				continue
			}
			return fmt.Errorf("accept link: %w", err)
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	role, name, err := peerIdentity(conn)
	if err != nil {
		conn.Close()
		return
	}
	batch := newBatchConn(conn)
	session, err := yamux.Server(batch, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	go keepAlive(session, batch, s.pingInterval, s.idleTimeout, func() bool {
		session.Close()
		return true
	})
	if !s.track(session) {
		session.Close()
		return
	}
	defer s.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.beginCall()
		if session.NumStreams() > s.maxCalls {
			go s.refuseStream(stream)
			continue
		}
		go s.serveStream(stream, role, name)
	}
}

// track adds session to the sessions that Close closes. It returns false if the
// server is closed already.
func (s *Server) track(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) untrack(session *yamux.Session) {
	session.Close()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

// maxCallsPerLink is the default maximum number of concurrent calls on one link.
const maxCallsPerLink = 4096

// refuseStream refuses a call over the limit without reading its request.
func (s *Server) refuseStream(stream *yamux.Stream) {
	defer s.endCall()
	defer stream.Close()
	err := fault.New(fault.Overloaded, fault.NotRun, "%d calls run on this link already", s.maxCalls)
	_ = writeMessage(stream, &wire.Response{Error: fault.ToWire(err)})
}

// requestReadTimeout limits the time between the opening of a stream and the end of
// its request.
const requestReadTimeout = 10 * time.Second

func (s *Server) serveStream(stream *yamux.Stream, role, name string) {
	defer s.endCall()
	defer stream.Close()
	br := getReader(stream)
	stream.SetReadDeadline(time.Now().Add(requestReadTimeout))
	req := &wire.Request{}
	if err := readMessage(br, req); err != nil {
		putReader(br)
		return
	}
	stream.SetReadDeadline(time.Time{})
	ctx, cancel := callContext(req)
	defer cancel(nil)
	go func() {
		// The caller sends nothing after its request. The read therefore returns
		// when the caller has closed the stream or the link is lost.
		_, _ = br.ReadByte()
		putReader(br)
		cancel(cancelCause(stream))
	}()
	call := &Call{Request: req, PeerRole: role, PeerName: name, stream: stream}
	if err := recovery.Call("link call", func() error { return s.handler.ServeLink(ctx, call) }); err != nil {
		_ = call.Send(&wire.Response{Error: fault.ToWire(fault.From(err))})
	}
}

// Causes of the cancellation of a handler's context.
var (
	// ErrCallClosed is the cause when the caller closed the call. The caller does not
	// need the response any more.
	ErrCallClosed = errors.New("the caller closed the call")
	// ErrLinkLost is the cause when the link broke. The caller may still need the
	// response.
	ErrLinkLost = errors.New("the link is lost")
)

// cancelCause returns why the caller's side of stream ended: ErrCallClosed or
// ErrLinkLost.
func cancelCause(stream *yamux.Stream) error {
	if stream.Session().IsClosed() {
		return ErrLinkLost
	}
	return ErrCallClosed
}

// callContext returns the context of the handler of req. It ends after the timeout
// of req, if there is one.
func callContext(req *wire.Request) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	if req.TimeoutMs == 0 {
		return ctx, cancel
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	return ctx, func(cause error) { cancel(cause); stop() }
}

// Shutdown stops accepting links, waits until all running calls have ended or ctx
// ends, and then closes all links. A call that arrives during the last steps is
// either served or refused as not run.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	s.awaitCalls(ctx)
	s.endSessions(ctx)
	s.Close()
}

func (s *Server) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	if s.calls == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// awaitCalls waits until no call is running or ctx ends. Calls may begin meanwhile, which
// a sync.WaitGroup would not allow.
func (s *Server) awaitCalls(ctx context.Context) {
	s.mu.Lock()
	if s.calls == 0 {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// sessionEndTimeout limits the time in which Shutdown waits for the peers of idle
// links. A peer that can't be reached doesn't delay the shutdown for longer.
const sessionEndTimeout = 500 * time.Millisecond

const (
	// sessionEndDelay is the time after a peer has learnt that a link takes no new
	// calls, in which calls that the peer was just opening arrive.
	sessionEndDelay = 10 * time.Millisecond
	// sessionEndPoll is the time between two checks whether a link still has calls.
	sessionEndPoll = time.Millisecond
)

// endSessions refuses new calls on all links and waits until the peers have read the
// responses to the earlier ones. Closing a link while the peer sends on it would
// discard what the peer has not read.
func (s *Server) endSessions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sessionEndTimeout)
	defer cancel()
	s.mu.Lock()
	sessions := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	ended := make(chan struct{}, len(sessions))
	for _, session := range sessions {
		go func() {
			endSession(ctx, session)
			ended <- struct{}{}
		}()
	}
	for range sessions {
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

// endSession refuses new calls on a link and waits until it has no calls or ctx ends.
func endSession(ctx context.Context, session *yamux.Session) {
	if session.GoAway() != nil {
		return
	}
	// The reply proves that the peer knows.
	if _, err := session.Ping(); err != nil {
		return
	}
	time.Sleep(sessionEndDelay)
	for session.NumStreams() > 0 && !session.IsClosed() && ctx.Err() == nil {
		time.Sleep(sessionEndPoll)
	}
}

// Close stops accepting links and closes all links immediately.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for session := range s.sessions {
		session.Close()
	}
}
