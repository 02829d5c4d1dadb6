package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kinds of faults that POST /fault brings about.
const (
	// FaultCrash ends the life at once, or in the middle of the next stream when
	// After is set.
	FaultCrash = "crash"
	// FaultFreeze stops all answers for DurationMS.
	FaultFreeze = "freeze"
	// FaultCut breaks the connection of the next Count streams after After tokens.
	FaultCut = "cut"
	// FaultWrongAnswer gives the next Count requests another request's answer.
	FaultWrongAnswer = "crossed"
	// FaultCrashOnText crashes the engine with every request that contains Text; it
	// holds over lives.
	FaultCrashOnText = "poison"
	// FaultSlow multiplies all costs by Factor.
	FaultSlow = "slow"
	// FaultRefuse refuses the next Count requests before they run.
	FaultRefuse = "refuse"
	// FaultNone removes all faults.
	FaultNone = "none"
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind       string  `json:"kind"`
	After      int     `json:"after,omitempty"`
	Count      int     `json:"count,omitempty"`
	Text       string  `json:"text,omitempty"`
	Factor     float64 `json:"factor,omitempty"`
	DurationMS int64   `json:"duration_ms,omitempty"`
}

// faults holds the faults of one life.
type faults struct {
	ctx context.Context

	mu         sync.Mutex
	cutAfter   int
	cuts       int
	crashAfter int
	crossed    int
	refusals   int
	factor     float64
	frozen     time.Time
}

func newFaults(ctx context.Context) *faults { return &faults{ctx: ctx, factor: 1} }

// poison outlives a crash: the same request crashes the next life too.
type poison struct {
	mu   sync.Mutex
	text string
}

func (p *poison) set(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text = text
}

func (p *poison) matches(prompt string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text != "" && strings.Contains(prompt, p.text)
}

// Inject brings about f in the present life.
func (s *Server) Inject(f Fault) bool {
	s.mu.Lock()
	l := s.life
	s.mu.Unlock()
	switch {
	case l == nil:
		return false
	case f.Kind == FaultCrash && f.After == 0:
		s.Crash()
		return true
	case f.Kind == FaultCrashOnText:
		s.poison.set(f.Text)
		return true
	case f.Kind == FaultNone:
		s.poison.set("")
	}
	return l.faults.inject(f)
}

func (l *life) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	if f.Kind == FaultCrash && f.After == 0 {
		go l.server.Crash()
		writeJSON(w, http.StatusOK, f)
		return
	}
	if !l.server.Inject(f) {
		writeError(w, http.StatusBadRequest, "bad_request", "unknown fault "+f.Kind)
		return
	}
	writeJSON(w, http.StatusOK, f)
}

func (f *faults) inject(fault Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := max(fault.Count, 1)
	switch fault.Kind {
	case FaultCrash:
		f.crashAfter = fault.After
	case FaultFreeze:
		f.frozen = time.Now().Add(time.Duration(fault.DurationMS) * time.Millisecond)
	case FaultCut:
		f.cutAfter, f.cuts = fault.After, n
	case FaultWrongAnswer:
		f.crossed = n
	case FaultSlow:
		f.factor = max(fault.Factor, 0)
	case FaultRefuse:
		f.refusals = n
	case FaultNone:
		f.cutAfter, f.cuts, f.crashAfter, f.crossed, f.refusals = 0, 0, 0, 0, 0
		f.factor, f.frozen = 1, time.Time{}
	default:
		return false
	}
	return true
}

// gate holds every request but those to /fault while the server is frozen. A
// life that has ended answers nothing more.
func (f *faults) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/fault" && r.URL.Path != "/counts" {
			f.thaw(r.Context())
		}
		if f.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// thaw waits until the server is not frozen.
func (f *faults) thaw(ctx context.Context) {
	const poll = 10 * time.Millisecond
	for f.isFrozen() {
		select {
		case <-ctx.Done():
			return
		case <-f.ctx.Done():
			return
		case <-time.After(poll):
		}
	}
}

func (f *faults) isFrozen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.frozen.IsZero() && time.Now().Before(f.frozen)
}

func (f *faults) scale(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * f.factor)
}

func (f *faults) takeRefusal() bool { return f.take(&f.refusals) }

func (f *faults) takeCrossed() bool { return f.take(&f.crossed) }

func (f *faults) take(n *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// takeCut returns the number of tokens after which the stream is cut; 0 is never.
func (f *faults) takeCut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cuts == 0 {
		return 0
	}
	f.cuts--
	return f.cutAfter
}

// crashes reports whether the engine crashes now that a stream has sent n tokens.
func (f *faults) crashes(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashAfter > 0 && n >= f.crashAfter
}
