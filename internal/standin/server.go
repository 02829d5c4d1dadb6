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

// Server is a simulated backend server. A crash closes its listener and all
// connections. After Options.RestartDelay a new instance with another incarnation
// and an empty cache listens at the same address.
type Server struct {
	options      Options
	address      string
	counts       *counts
	crashTrigger crashTrigger

	mu sync.Mutex
	// instance is the running instance, or nil between a crash and the restart.
	instance *instance
	closed   bool
	done     chan struct{}
}

// instance is the state of the backend server between two crashes.
type instance struct {
	server        *Server
	options       Options
	incarnation   uint64
	ctx           context.Context
	cancelContext context.CancelFunc
	http          *http.Server
	faults        *faults
	engine        *engineState
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

// Incarnation returns the incarnation of the running instance, or 0 while the
// server is down.
func (s *Server) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == nil {
		return 0
	}
	return s.instance.incarnation
}

// Close stops the server at once, without a restart.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if s.instance != nil {
		s.instance.stop()
	}
}

// Crash stops the running instance and starts another one after the restart delay.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.instance == nil {
		return
	}
	event.StandinCrashed(s.instance.incarnation)
	s.instance.stop()
	s.instance = nil
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

// serve starts an instance that listens on ln. The caller holds s.mu.
func (s *Server) serve(ln net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{server: s, options: s.options, incarnation: rand.Uint64(), ctx: ctx, cancelContext: cancel, faults: newFaults(ctx)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", inst.serveFault)
	mux.HandleFunc("GET /counts", s.counts.serve)
	mux.HandleFunc("GET /health", inst.serveHealth)
	if s.options.Kind == KindEngine {
		inst.engine = newEngineState(s.options, inst.incarnation)
		inst.registerEngineRoutes(mux)
	} else {
		mux.HandleFunc("/", inst.serveService)
	}
	inst.http = &http.Server{Handler: inst.faults.middleware(mux), ReadHeaderTimeout: 10 * time.Second}
	s.instance = inst
	go inst.http.Serve(ln)
}

func (inst *instance) stop() {
	inst.cancelContext()
	inst.http.Close()
}

// timerResolution is the shortest duration worth a timer. Shorter ones are skipped,
// because a timer would take longer.
const timerResolution = 20 * time.Microsecond

// sleep pauses for d, or until ctx is done or the instance stops.
func (inst *instance) sleep(ctx context.Context, d time.Duration) error {
	if d >= timerResolution {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		case <-inst.ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return inst.ctx.Err()
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

// readJSON decodes a request body of at most maxBodyBytes. It answers with status
// 400 and returns false when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}
