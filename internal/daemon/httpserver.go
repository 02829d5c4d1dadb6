package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstRequestTime is how long a stop waits for the first request on a connection that was
	// just accepted, and for the rest of a request head.
	firstRequestTime = time.Second
	// stopSettleTime is how long no request may have been running before the idle connections
	// are closed: requests that were sent on them meanwhile arrive in it.
	stopSettleTime = 50 * time.Millisecond
	// stopPoll is the time between two checks whether requests are running.
	stopPoll = 5 * time.Millisecond
	// maxQueueWait limits how long a stop waits until the connections in the listener's queue are
	// accepted, as new ones may keep coming.
	maxQueueWait = 500 * time.Millisecond
	// queuePoll is the time between two checks of that queue.
	queuePoll = time.Millisecond
	// cutLogTime limits how long a stop waits for the handlers of the requests that it has cut,
	// so that they can log it before the process ends.
	cutLogTime = 100 * time.Millisecond
)

// HTTPServer is an http.Server that can be stopped without dropping requests. The Shutdown of
// http.Server closes a connection without a response if its request is read after Shutdown began.
type HTTPServer struct {
	// BeforeCut, if set, is called at the end of a stop before the connections of running requests
	// are closed.
	BeforeCut func()

	server   *http.Server
	listener net.Listener
	stopping atomic.Bool
	// cut is set right before the connections of running requests are closed.
	cut atomic.Bool

	mu sync.Mutex
	// conns holds the connections that are open.
	conns map[*stopConn]connStatus
}

type connStatus struct {
	state http.ConnState
	since time.Time
}

// stopListener accepts connections as stopConns.
type stopListener struct{ net.Listener }

// Accept implements net.Listener.
func (l stopListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stopConn{Conn: c}, nil
}

// stopConn is a connection that can be closed if nothing has been read from it, without a race:
// either the server gets the bytes of a request, or the connection is closed.
type stopConn struct {
	net.Conn

	mu sync.Mutex
	// readAt is when bytes were read last.
	readAt time.Time
	// ended is set once the connection is closed as idle.
	ended bool
}

// Read implements net.Conn.
func (c *stopConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	c.readAt = time.Now()
	return n, err
}

// mayGetRequest reports whether a request may come on a connection that has none: it is new, or
// part of a request head was read lately.
func (c *stopConn) mayGetRequest(now time.Time, status connStatus) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expectsRequest(now, status)
}

// expectsRequest is mayGetRequest with c.mu held.
func (c *stopConn) expectsRequest(now time.Time, status connStatus) bool {
	if status.state == http.StateNew && now.Sub(status.since) < firstRequestTime {
		return true
	}
	return c.readAt.After(status.since) && now.Sub(c.readAt) < firstRequestTime
}

// closeIdle closes the connection and returns true, unless a request may be coming on it.
func (c *stopConn) closeIdle(now time.Time, status connStatus) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expectsRequest(now, status) || now.Sub(c.readAt) < stopSettleTime {
		return false
	}
	c.ended = true
	_ = c.Conn.Close() // nothing is left to be done with it
	return true
}

// NewHTTPServer returns a server for the connections of ln. server must not be used otherwise.
func NewHTTPServer(server *http.Server, ln net.Listener) *HTTPServer {
	s := &HTTPServer{server: server, listener: stopListener{ln}, conns: map[*stopConn]connStatus{}}
	server.ConnState = s.track
	server.BaseContext = func(net.Listener) context.Context { return context.WithValue(context.Background(), serverKey{}, s) }
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		complete := func() {}
		if !r.ProtoAtLeast(1, 1) {
			complete = resetUnlessComplete(w, r)
		}
		handler.ServeHTTP(w, r)
		complete()
	})
	return s
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// lingerer is a connection with the SO_LINGER option.
type lingerer interface{ SetLinger(seconds int) error }

// resetUnlessComplete makes the connection of an HTTP/1.0 request end with a reset, whoever closes it,
// until the returned function is called after the handler. A response to such a request has no chunks:
// if its length is not known, the orderly end of the connection completes it, and net/http ends
// connections in that way also after a panic.
func resetUnlessComplete(w http.ResponseWriter, r *http.Request) (complete func()) {
	conn, ok := r.Context().Value(connKey{}).(*stopConn)
	if !ok {
		return func() {}
	}
	c, ok := conn.Conn.(lingerer)
	if !ok || c.SetLinger(0) != nil {
		return func() {}
	}
	return func() {
		if w.Header().Get("Content-Length") == "" && http.NewResponseController(w).Flush() != nil {
			return // the rest of the response is lost
		}
		_ = c.SetLinger(-1) // fails only on a closed connection
	}
}

// serverKey is the key of the HTTPServer in the contexts of its requests.
type serverKey struct{}

// CutByStop reports whether the server of the request with context ctx has closed the connections
// of the requests that still ran at the end of its stop. A request whose context ended before that
// was ended by its caller.
func CutByStop(ctx context.Context) bool {
	s, ok := ctx.Value(serverKey{}).(*HTTPServer)
	return ok && s.cut.Load()
}

// CutError is the error of a stop that has closed the connections of running requests.
type CutError struct {
	// Requests is the number of the requests.
	Requests int
}

// Error implements error.
func (e *CutError) Error() string { return fmt.Sprintf("%d requests were running", e.Requests) }

func (s *HTTPServer) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*stopConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connStatus{state, time.Now()}
}

// Serve serves until Stop is called, and then returns nil.
func (s *HTTPServer) Serve() error {
	err := s.server.Serve(s.listener)
	if s.stopping.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return err
}

// Stop accepts no more connections, waits until the requests on the open ones are answered, and
// closes them. It returns a *CutError if requests were running when ctx ended.
func (s *HTTPServer) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.awaitQueued(ctx)
	_ = s.listener.Close() // fails only if it is closed already
	defer s.server.Close()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	// Checks are counted, and not the time between them: a process that gets no processor time
	// for a while has not seen that nothing runs.
	quiet := 0
	for {
		select {
		case <-ctx.Done():
			return s.cutRunning()
		case <-ticker.C:
		}
		if quiet++; s.busy(time.Now()) {
			quiet = 0
		}
		if quiet >= int(stopSettleTime/stopPoll) && s.closeIdle(time.Now()) {
			return nil
		}
	}
}

// awaitQueued waits until the connections that the kernel has established are accepted: those that
// are still queued when the listener is closed are reset, and a process that gets little processor
// time may have many of them.
func (s *HTTPServer) awaitQueued(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
	defer cancel()
	for queuedConnections(s.listener) > 0 && ctx.Err() == nil {
		time.Sleep(queuePoll)
	}
}

// queuedConnections returns the number of connections in the queue of a listener; 0 if it is not
// known.
func queuedConnections(ln net.Listener) int {
	if l, ok := ln.(stopListener); ok {
		ln = l.Listener
	}
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) { // fails only on a closed listener
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			queued = int(info.Unacked) // on a listener, the length of its queue
		}
	})
	return queued
}

// cutRunning calls BeforeCut and closes all connections.
func (s *HTTPServer) cutRunning() error {
	if s.BeforeCut != nil && s.running() > 0 {
		s.BeforeCut()
	}
	s.cut.Store(true)
	n := s.running()
	_ = s.server.Close() // fails only if the listener is closed already
	for end := time.Now().Add(cutLogTime); s.running() > 0 && time.Now().Before(end); {
		time.Sleep(stopPoll)
	}
	if n == 0 {
		return nil
	}
	return &CutError{n}
}

// closeIdle closes the connections without a request. It returns true if none is left.
func (s *HTTPServer) closeIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := true
	for c, status := range s.conns {
		closed = status.state != http.StateActive && c.closeIdle(now, status) && closed
	}
	return closed
}

// running returns the number of requests that are running.
func (s *HTTPServer) running() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateActive {
			n++
		}
	}
	return n
}

// busy reports whether a request is running, or may be coming.
func (s *HTTPServer) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, status := range s.conns {
		if status.state == http.StateActive || c.mayGetRequest(now, status) {
			return true
		}
	}
	return false
}
