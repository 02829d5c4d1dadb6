package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleypulley/internal/engine/dialect"
)

// Kinds of faults that POST /fault injects.
const (
	// FaultCrash crashes the server at once or, when After is set, once a completion
	// has After output tokens.
	FaultCrash = "crash"
	// FaultFreeze stops all answers for DurationMS.
	FaultFreeze = "freeze"
	// FaultCut closes the connection of the next Count completions after After
	// output tokens.
	FaultCut = "cut"
	// FaultWrongAnswer answers the next Count requests with the answer to another
	// request.
	FaultWrongAnswer = "crossed"
	// FaultCrashOnText crashes the server on every request that contains Text. It
	// stays in force after a crash.
	FaultCrashOnText = "poison"
	// FaultSlow multiplies all processing times by Factor.
	FaultSlow = "slow"
	// FaultRefuse refuses the next Count requests before they run, and names DurationMS,
	// in whole seconds, as the time to come back.
	FaultRefuse = "refuse"
	// FaultLeave makes all answers say that the server leaves, until the next instance.
	FaultLeave = "leave"
	// FaultLimit makes all answers name Factor as the limit in requests a second, until the
	// next instance; 0 ends it.
	FaultLimit = "limit"
	// FaultNone removes all faults.
	FaultNone = "none"
)

// Fault is the body of POST /fault.
type Fault struct {
	// Kind is one of the kinds of faults above; they say which fields they use.
	Kind string `json:"kind"`
	// After is a number of output tokens.
	After int `json:"after,omitempty"`
	// Count is the number of requests that the fault affects; 0 counts as 1.
	Count      int     `json:"count,omitempty"`
	Text       string  `json:"text,omitempty"`
	Factor     float64 `json:"factor,omitempty"`
	DurationMS int64   `json:"duration_ms,omitempty"`
}

// faults holds the faults of one instance.
type faults struct {
	ctx context.Context

	mu sync.Mutex
	// cutAfter is the number of output tokens after which completions are cut.
	cutAfter int
	cutsLeft int
	// crashAfter is the number of output tokens after which the server crashes; 0
	// means no crash.
	crashAfter       int
	wrongAnswersLeft int
	refusalsLeft     int
	// retryAfter is the time to come back that refusals name; 0 for none.
	retryAfter time.Duration
	// factor multiplies all processing times.
	factor      float64
	frozenUntil time.Time
	// leaving is set while all answers say that the server leaves.
	leaving bool
	// limit is the limit that all answers name; 0 for none.
	limit float64
}

func newFaults(ctx context.Context) *faults { return &faults{ctx: ctx, factor: 1} }

// crashTrigger is the text of FaultCrashOnText. It survives a crash, so that the
// same request crashes the next instance too.
type crashTrigger struct {
	mu   sync.Mutex
	text string
}

func (c *crashTrigger) set(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text = text
}

func (c *crashTrigger) matches(prompt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text != "" && strings.Contains(prompt, c.text)
}

// Inject injects f into the running instance. It returns false when the server is
// down or the kind is unknown.
func (s *Server) Inject(f Fault) bool {
	s.mu.Lock()
	inst := s.instance
	s.mu.Unlock()
	switch {
	case inst == nil:
		return false
	case f.Kind == FaultCrash && f.After == 0:
		s.Crash()
		return true
	case f.Kind == FaultCrashOnText:
		s.crashTrigger.set(f.Text)
		return true
	case f.Kind == FaultNone:
		s.crashTrigger.set("")
	}
	return inst.faults.inject(f)
}

func (inst *instance) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	if f.Kind == FaultCrash && f.After == 0 {
		go inst.server.Crash()
		writeJSON(w, http.StatusOK, f)
		return
	}
	if !inst.server.Inject(f) {
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
		f.frozenUntil = time.Now().Add(time.Duration(fault.DurationMS) * time.Millisecond)
	case FaultCut:
		f.cutAfter, f.cutsLeft = fault.After, n
	case FaultWrongAnswer:
		f.wrongAnswersLeft = n
	case FaultSlow:
		f.factor = max(fault.Factor, 0)
	case FaultRefuse:
		f.refusalsLeft, f.retryAfter = n, time.Duration(fault.DurationMS)*time.Millisecond
	case FaultLeave:
		f.leaving = true
	case FaultLimit:
		f.limit = fault.Factor
	case FaultNone:
		f.leaving, f.limit = false, 0
		f.cutAfter, f.cutsLeft, f.crashAfter, f.wrongAnswersLeft, f.refusalsLeft = 0, 0, 0, 0, 0
		f.factor, f.frozenUntil = 1, time.Time{}
	default:
		return false
	}
	return true
}

// middleware delays every request except those to /fault and /counts while the
// server is frozen, and aborts requests to an instance that has stopped.
func (f *faults) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/fault" && r.URL.Path != "/counts" {
			f.waitWhileFrozen(r.Context())
		}
		if f.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if f.isLeaving() {
			w.Header().Set(dialect.Leaving, "1")
		}
		if limit := f.namedLimit(); limit > 0 {
			w.Header().Set(dialect.Limit, strconv.FormatFloat(limit, 'f', -1, 64))
		}
		next.ServeHTTP(w, r)
	})
}

// waitWhileFrozen waits until the server is not frozen.
func (f *faults) waitWhileFrozen(ctx context.Context) {
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
	return !f.frozenUntil.IsZero() && time.Now().Before(f.frozenUntil)
}

func (f *faults) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

func (f *faults) namedLimit() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limit
}

func (f *faults) scale(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * f.factor)
}

// takeRefusal reports whether a request is to be refused, and with which time to come
// back.
func (f *faults) takeRefusal() (refuse bool, retryAfter time.Duration) {
	refuse = f.take(&f.refusalsLeft)
	f.mu.Lock()
	defer f.mu.Unlock()
	return refuse, f.retryAfter
}

// refuseOnCommand refuses a request if FaultRefuse is in force, and reports whether it
// did.
func (inst *instance) refuseOnCommand(w http.ResponseWriter) bool {
	refuse, retryAfter := inst.faults.takeRefusal()
	if !refuse {
		return false
	}
	inst.server.counts.recordRefusal()
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	writeRefusal(w, http.StatusServiceUnavailable, dialect.RefusalOverloaded, "refused on command")
	return true
}

func (f *faults) takeWrongAnswer() bool { return f.take(&f.wrongAnswersLeft) }

// take uses up one of the *n faults left. It returns false when none is left.
func (f *faults) take(n *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// takeCut returns the number of tokens after which to cut a new completion, or 0
// to leave it whole.
func (f *faults) takeCut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutsLeft == 0 {
		return 0
	}
	f.cutsLeft--
	return f.cutAfter
}

// shouldCrash reports whether the server crashes once a completion has n tokens.
func (f *faults) shouldCrash(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashAfter > 0 && n >= f.crashAfter
}
