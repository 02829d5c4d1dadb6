package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTime is how long a stop waits for the first request on a connection that was
	// just accepted.
	firstRequestTime = time.Second
	// stopSettleTime is how long no request may have been running before the idle connections
	// are closed: requests that were sent on them meanwhile arrive in it.
	stopSettleTime = 50 * time.Millisecond
	// stopPoll is the time between two checks whether requests are running.
	stopPoll = 5 * time.Millisecond
)

// HTTPServer is an http.Server that can be stopped without dropping requests. The Shutdown of
// http.Server closes a connection without a response if its request is read after Shutdown began.
type HTTPServer struct {
	server   *http.Server
	listener net.Listener
	stopping atomic.Bool
	// cut is set right before the connections of running requests are closed.
	cut atomic.Bool

	mu sync.Mutex
	// conns holds the connections that are open.
	conns map[net.Conn]connStatus
}

type connStatus struct {
	state http.ConnState
	since time.Time
}

// NewHTTPServer returns a server for the connections of ln. server must not be used otherwise.
func NewHTTPServer(server *http.Server, ln net.Listener) *HTTPServer {
	s := &HTTPServer{server: server, listener: ln, conns: map[net.Conn]connStatus{}}
	server.ConnState = s.track
	server.BaseContext = func(net.Listener) context.Context { return context.WithValue(context.Background(), serverKey{}, s) }
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return s
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

func (s *HTTPServer) track(c net.Conn, state http.ConnState) {
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
	_ = s.listener.Close() // fails only if it is closed already
	defer s.server.Close()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	lastBusy := time.Now()
	for time.Since(lastBusy) < stopSettleTime {
		select {
		case <-ctx.Done():
			s.cut.Store(true)
			if n := s.running(); n > 0 {
				return &CutError{n}
			}
			return nil
		case now := <-ticker.C:
			if s.busy(now) {
				lastBusy = now
			}
		}
	}
	return nil
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

// busy reports whether a request is running, or may come on a connection that is new.
func (s *HTTPServer) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < firstRequestTime {
			return true
		}
	}
	return false
}
