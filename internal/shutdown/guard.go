// Package shutdown decides which calls a process accepts during its graceful shutdown, and ends those
// that its end would cut. It does no I/O: the HTTP edges of both request paths register their calls, and
// write their responses.
package shutdown

import (
	"context"
	"errors"
	"expvar"
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
	// endPoll is the time between two checks whether the calls that were ended have written their final
	// responses.
	endPoll = time.Millisecond
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
	// Metrics, if set, counts the calls too. It must be set before the first call.
	Metrics *expvar.Map

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
	for c := range g.calls {
		c.counted = true
		g.count("running", &g.counts.Running)
	}
	g.timer = time.AfterFunc(time.Until(g.finalAt), g.endWaiting)
}

// Stopping reports whether the shutdown has begun.
func (g *Guard) Stopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.finalAt.IsZero()
}

// Counts returns the numbers of calls at the end of the shutdown: those that still run are being cut.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.counts
	for c := range g.calls {
		if c.counted && !c.cut {
			counts.Cut++
		}
	}
	return counts
}

// count counts a call. g.mu must be held.
func (g *Guard) count(name string, n *int) {
	*n++
	if g.Metrics != nil {
		g.Metrics.Add(name, 1)
	}
}

// Arrive registers a call before it is known whether it is accepted.
func (g *Guard) Arrive() *Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &Call{guard: g}
	g.calls[c] = struct{}{}
	return c
}

// Accept registers a call that ends at deadline by itself, or returns the refusal. end is that of
// Call.OnEnd.
func (g *Guard) Accept(deadline time.Time, end func(cut bool)) (*Call, *fault.Error) {
	c := g.Arrive()
	if refusal := c.Accept(deadline); refusal != nil {
		c.Finish(false)
		return nil, refusal
	}
	c.OnEnd(end)
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

// AnswerWaiting ends the calls whose response has not begun and waits until they have ended, but no
// longer than wait: a process that got no processor time for longer than FinalMargin has not answered
// them yet.
func (g *Guard) AnswerWaiting(wait time.Duration) {
	g.endWaiting()
	g.wait(wait, func(c *Call) bool { return !c.begun })
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
			g.count("cut", &g.counts.Cut)
		}
	}
	g.mu.Unlock()
	g.wait(wait, func(*Call) bool { return true })
	g.countUnanswered()
}

// wait waits while calls for which due returns true are running, but no longer than limit.
func (g *Guard) wait(limit time.Duration, due func(*Call) bool) {
	for end := time.Now().Add(limit); g.running(due) && time.Now().Before(end); {
		time.Sleep(endPoll)
	}
}

func (g *Guard) running(due func(*Call) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if due(c) {
			return true
		}
	}
	return false
}

// countUnanswered counts the calls that have not written their final response in time as cut.
func (g *Guard) countUnanswered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if !c.cut {
			c.cut = true
			g.count("cut", &g.counts.Cut)
		}
	}
}

// Call is one call that runs. A nil call is never ended.
type Call struct {
	guard *Guard
	// end is the function of OnEnd; nil before it is set. It is guarded by guard.mu, as are all fields
	// below.
	end func(cut bool)
	// counted is set if the shutdown has to finish the call, since it was running at its beginning or
	// accepted in it.
	counted bool
	// begun is set once the response has begun, and ended once the shutdown has ended the call.
	begun, ended bool
	// cut is set once the call is counted as cut.
	cut bool
}

// Accept accepts a call that ends at deadline by itself, or returns the refusal. A call without a deadline
// is refused during the shutdown, as nothing ends it before the shutdown does.
func (c *Call) Accept(deadline time.Time) *fault.Error {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.finalAt.IsZero():
	case deadline.IsZero() || deadline.After(g.finalAt):
		g.count("refused", &g.counts.Refused)
		return NotRun()
	case !c.counted:
		c.counted = true
		g.count("accepted", &g.counts.Accepted)
	}
	return nil
}

// Refuse records that the call is refused for a reason other than its deadline.
func (c *Call) Refuse() *fault.Error { return c.Accept(time.Time{}) }

// OnEnd sets the function that is called from another goroutine if the shutdown ends the call; cut is set
// if its response has begun. It replaces an earlier one, and is called at once if the call has been ended.
func (c *Call) OnEnd(end func(cut bool)) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.end = end
	if c.ended {
		go end(c.begun)
	}
}

// endLocked ends the call. The caller must hold guard.mu.
func (c *Call) endLocked() {
	if !c.ended {
		c.ended = true
		if c.end != nil {
			go c.end(c.begun)
		}
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

// End is how a call ended.
type End uint8

const (
	// Complete means that the caller got a complete response, also an error.
	Complete End = iota
	// Left means that the caller left, or that the response broke off.
	Left
	// Cut means that the end of the shutdown cut the call.
	Cut
)

// Finish records that the call has ended. left is set if its caller left or its response broke off: after
// the shutdown has ended the call, neither can be told from the final response.
func (c *Call) Finish(left bool) {
	end := Complete
	if left && !c.Ended() {
		end = Left
	}
	c.FinishAs(end)
}

// FinishAs records how the call has ended.
func (c *Call) FinishAs(end End) {
	if c == nil {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c)
	switch {
	case !c.counted || c.cut:
	case end == Cut:
		g.count("cut", &g.counts.Cut)
	case end == Left:
		g.count("left", &g.counts.Left)
	default:
		g.count("complete", &g.counts.Complete)
	}
}
