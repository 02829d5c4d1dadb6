// Package shutdown decides which calls a process accepts during its graceful shutdown, and ends those
// that its end would cut. It does no I/O: the HTTP edge registers its calls, and writes their responses.
package shutdown

import (
	"context"
	"errors"
	"sync"
	"time"

	"parsleypulley/internal/fault"
)

const (
	// FinalMargin is the time between the final responses and the end of the shutdown, in which they
	// are written. Both request paths keep to it.
	FinalMargin = 300 * time.Millisecond
	// RetryAfter is the time after which a caller may send a refused call to another router.
	RetryAfter = 20 * time.Millisecond
	// cutPoll is the time between two checks whether the calls that were cut have ended.
	cutPoll = time.Millisecond
)

// ErrEnded is the cause with which the shutdown ends calls.
var ErrEnded = errors.New("this router stops before the call has ended")

// Ended reports whether ctx was ended by the shutdown, and not by the caller or a deadline.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrEnded) }

// NotRun returns the refusal of a call that has not run.
func NotRun() *fault.Error {
	return fault.New(fault.Shutdown, fault.NotRun, "this router stops").WithRetryAfter(RetryAfter)
}

// Unknown returns the final response to a call that may have run. It wraps ErrEnded.
func Unknown() *fault.Error {
	return fault.New(fault.OutcomeUnknown, fault.Unknown, "%w", ErrEnded).WithRetryAfter(RetryAfter)
}

// Counts are numbers of calls in one graceful shutdown.
type Counts struct {
	// Running is the number of calls that were running at its beginning.
	Running int
	// Accepted and Refused are the numbers of calls that came later.
	Accepted, Refused int
	// Complete is the number of those that got a complete response, also an error.
	Complete int
	// Cut is the number of those that the end of the shutdown cut.
	Cut int
	// Left is the number of those whose callers left, or whose responses broke off.
	Left int
}

// Guard knows the calls of a process and its graceful shutdown. During the shutdown it accepts a call
// only if the call's own time limit ends in time: how long calls took before is no bound on how long the
// next one takes. It is safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// finalAt is when calls without a response are ended; zero while there is no shutdown.
	finalAt time.Time
	timer   *time.Timer
	calls   map[*Call]struct{}
	counts  Counts
}

// NewGuard returns a guard of a process that does not stop yet.
func NewGuard() *Guard { return &Guard{calls: map[*Call]struct{}{}} }

// Begin begins the graceful shutdown, which ends at endsAt. Further calls have no effect.
func (g *Guard) Begin(endsAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.finalAt.IsZero() {
		return
	}
	g.finalAt = endsAt.Add(-FinalMargin)
	g.counts.Running = len(g.calls)
	g.timer = time.AfterFunc(time.Until(g.finalAt), g.endWaiting)
}

// Stopping reports whether the shutdown has begun.
func (g *Guard) Stopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.finalAt.IsZero()
}

// Counts returns the numbers of calls.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Accept registers a call that ends at deadline by itself, or returns the refusal. A call without a
// deadline is refused during the shutdown, as nothing ends it before the shutdown does. end is called,
// at most once and from another goroutine, if the shutdown ends the call; cut is set if its response has
// begun.
func (g *Guard) Accept(deadline time.Time, end func(cut bool)) (*Call, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.finalAt.IsZero() {
		if deadline.IsZero() || deadline.After(g.finalAt) {
			g.counts.Refused++
			return nil, NotRun()
		}
		g.counts.Accepted++
	}
	c := &Call{guard: g, end: end}
	g.calls[c] = struct{}{}
	return c, nil
}

// endWaiting ends the calls whose response has not begun.
func (g *Guard) endWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if !c.begun && !c.ended {
			c.endLocked()
		}
	}
}

// Cut ends all calls and waits until they have ended, but no longer than wait.
func (g *Guard) Cut(wait time.Duration) {
	g.Begin(time.Now())
	g.endWaiting()
	g.mu.Lock()
	for c := range g.calls {
		if c.begun && !c.ended {
			c.endLocked()
			c.cut = true
			g.counts.Cut++
		}
	}
	g.mu.Unlock()
	for end := time.Now().Add(wait); g.running() && time.Now().Before(end); {
		time.Sleep(cutPoll)
	}
	g.countUnanswered()
}

func (g *Guard) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls) > 0
}

// countUnanswered counts the calls that have not written their final response in time as cut.
func (g *Guard) countUnanswered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if !c.cut {
			c.cut = true
			g.counts.Cut++
		}
	}
}

// Call is one call that runs. A nil call is never ended.
type Call struct {
	guard *Guard
	end   func(cut bool)
	// begun is set once the response has begun, and ended once the shutdown has ended the call. Both
	// are guarded by guard.mu.
	begun, ended bool
	// cut is set once the call is counted as cut. It is guarded by guard.mu.
	cut bool
}

// endLocked ends the call. The caller must hold guard.mu.
func (c *Call) endLocked() {
	if !c.ended {
		c.ended = true
		go c.end(c.begun)
	}
}

// Begin records that the response begins. It returns false if the shutdown has ended the call: then the
// caller gets the final response instead.
func (c *Call) Begin() bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.ended {
		return false
	}
	c.begun = true
	return true
}

// Ended reports whether the shutdown has ended the call.
func (c *Call) Ended() bool {
	if c == nil {
		return false
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.ended
}

// Finish records that the call has ended. left is set if its caller left or its response broke off.
func (c *Call) Finish(left bool) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	delete(c.guard.calls, c)
	switch {
	case c.guard.finalAt.IsZero() || c.cut:
	case left && !c.ended:
		c.guard.counts.Left++
	default:
		c.guard.counts.Complete++
	}
}
