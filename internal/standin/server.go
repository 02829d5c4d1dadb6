package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"parsleypulley/internal/event"
)

// Server is a stand-in backend server. A crash ends its life: the listener and
// all connections close, and a new life with another incarnation and an empty
// cache listens at the same address after Options.RestartDelay.
type Server struct {
	options Options
	address string
	counts  *counts
	poison  poison

	mu     sync.Mutex
	life   *life
	closed bool
	done   chan struct{}
}

// life is one life of the backend server between two crashes.
type life struct {
	server      *Server
	options     Options
	incarnation uint64
	ctx         context.Context
	end         context.CancelFunc
	http        *http.Server
	faults      *faults
	engine      *engineState
}

// Start listens and serves until Close.
func Start(options Options) (*Server, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, fmt.Errorf("stand-in settings: %w", err)
	}
	ln, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{options: options, address: ln.Addr().String(), counts: newCounts(), done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(ln)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.address }

// Incarnation returns the incarnation of the present life; 0 while it is down.
func (s *Server) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return 0
	}
	return s.life.incarnation
}

// Close stops the server at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if s.life != nil {
		s.life.stop()
	}
}

// Crash ends the present life and starts the next one after the restart delay.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.life == nil {
		return
	}
	event.StandinCrashed(s.life.incarnation)
	s.life.stop()
	s.life = nil
	go s.restart()
}

// listenRetry is the pause between attempts to listen again after a crash.
const listenRetry = 5 * time.Millisecond

func (s *Server) restart() {
	delay := s.options.RestartDelay
	for {
		select {
		case <-s.done:
			return
		case <-time.After(delay):
		}
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			delay = listenRetry
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed {
			ln.Close()
			return
		}
		s.serve(ln)
		return
	}
}

// serve starts a life on ln; s.mu is held.
func (s *Server) serve(ln net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{server: s, options: s.options, incarnation: rand.Uint64(), ctx: ctx, end: cancel, faults: newFaults(ctx)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", l.serveFault)
	mux.HandleFunc("GET /counts", s.counts.serve)
	mux.HandleFunc("GET /health", l.serveHealth)
	if s.options.Kind == KindEngine {
		l.engine = newEngineState(s.options, l.incarnation)
		l.engineRoutes(mux)
	} else {
		mux.HandleFunc("/", l.serveCall)
	}
	l.http = &http.Server{Handler: l.faults.gate(mux), ReadHeaderTimeout: 10 * time.Second}
	s.life = l
	go l.http.Serve(ln)
}

func (l *life) stop() {
	l.end()
	l.http.Close()
}

// timerResolution is the shortest time that is waited for: a timer takes longer.
const timerResolution = 20 * time.Microsecond

// sleep pauses for d or until ctx or the life ends.
func (l *life) sleep(ctx context.Context, d time.Duration) error {
	if d >= timerResolution {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		case <-l.ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return l.ctx.Err()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorDetail{Message: message, Type: "backend_error", Code: code}})
}

// readJSON decodes a bounded request body and answers 400 when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}
