package forward

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
)

// A call must not begin on outdated weights later than Options.WeightsBound after newer ones were named. It
// begins at the engine with its first token, after a wait that is only predicted when the engine is chosen. An
// attempt that has not begun shortly before the bound is therefore taken back: its connection is closed, upon
// which engines drop what waits.

// weightsLimits counts attempts that were taken back by what became of their calls ("retried", "unknown" for calls
// that must not run twice, "failed" for others, "broken_off" for begun streams), attempts that were not sent since they
// would no longer have begun in time ("withdrawn"), and choices for which all engines' weights were too old ("refused").
var weightsLimits = expvar.NewMap("forward_weights_limits")

var (
	// errTakenBack is the cause of the end of attempts that have not begun in time.
	errTakenBack = errors.New("the call has not begun in time on outdated weights")
	// errBeginsTooLate is the failure of an attempt that was not sent.
	errBeginsTooLate = errors.New("the call would not begin in time on outdated weights")
)

// beginCheckParts is the part of Options.WeightsBound, as a divisor, after which the time is looked up again
// by which an attempt must have begun: newer weights may have been named while it waits.
const beginCheckParts = 4

// beginTimer takes an attempt back if it has not begun in time. Its fields are guarded by watchedAttempt.mu.
type beginTimer struct {
	timer *time.Timer
	// beginBy returns the time by which the attempt must begin, by clock.
	beginBy func() (at time.Time, limited bool)
	clock   func() time.Time
	// interval is the time after which beginBy is called again.
	interval time.Duration
	// begun is set once the attempt has begun or ended, or its caller is about to receive something of it.
	begun bool
}

// watchBegin starts the timer of an attempt. It must be called before the attempt is sent.
func (a *watchedAttempt) watchBegin(t *beginTimer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begin = t
	t.timer = time.AfterFunc(t.next(), a.checkBegin)
}

// next returns the time until the attempt is to be checked; 0 if it must be taken back.
func (t *beginTimer) next() time.Duration {
	at, limited := t.beginBy()
	if !limited {
		return t.interval
	}
	return max(0, min(t.interval, at.Add(-routing.TakeBackMargin).Sub(t.clock())))
}

// checkBegin takes the attempt back if it is time. It is called by the timer.
func (a *watchedAttempt) checkBegin() {
	left := a.begin.next() // before mu: it takes the lock of the target history
	a.mu.Lock()
	if a.ended || a.begin.begun {
		a.mu.Unlock()
		return
	}
	if left > 0 {
		a.begin.timer.Reset(left)
		a.mu.Unlock()
		return
	}
	a.ended = true
	a.mu.Unlock()
	a.cancel(errTakenBack)
}

// begins records that the attempt has begun, so that it is not taken back any more. It returns false if it
// is being ended: what has arrived of the response must not be passed on then.
func (a *watchedAttempt) begins() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.begin == nil || a.begin.begun {
		return true
	}
	if a.ended {
		return false
	}
	a.stopBegin()
	return true
}

// stopBegin ends the timer of an attempt that has ended. a.mu must be held.
func (a *watchedAttempt) stopBegin() {
	if a.begin != nil {
		a.begin.begun = true
		a.begin.timer.Stop()
	}
}

// endBegin does the same for an attempt that the guard does not watch.
func (a *watchedAttempt) endBegin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopBegin()
}

// beginWatch returns the timer for an attempt; nil if it needs none. A response that is no stream does not show
// that it has begun: if the weights were the newest when the engine was chosen, it is not taken back, as it may
// run for long.
func (c *forwardedCall) beginWatch(d *routing.Decision) *beginTimer {
	sel := c.f.selector
	model := cmp.Or(c.model(), d.Model)
	if sel.weightsBound <= 0 || model == "" || !c.route.GetStream() && d.BeginBy.IsZero() {
		return nil
	}
	return &beginTimer{clock: sel.clock, interval: sel.weightsBound / beginCheckParts, beginBy: func() (time.Time, bool) { return sel.beginBy(model, d.WeightsVersion) }}
}

// hasBegun must be called before an event with data, or the first part of a response that the caller receives,
// is used. It returns a failure if the attempt has been taken back.
func (c *forwardedCall) hasBegun(r *response) *failure {
	if c.watched.begins() {
		return nil
	}
	<-c.ctx.Done() // whoever ends the attempt is about to cancel it
	r.close(false)
	return &failure{InvalidResponse, context.Cause(c.ctx)}
}

// takenBack returns the step that follows an attempt that was taken back with the given failure.
func (c *forwardedCall) takenBack(now time.Time, d *routing.Decision, fail *failure) Step {
	c.f.selector.failed(d, fault.Cancelled) // it waited, which is no failure of the engine
	c.outcomes = append(c.outcomes, c.backend+":taken_back")
	countAttempt(c.backend, "taken_back")
	c.logFailure(d, "taken_back", fail.err)
	step := c.Next(now, fail.outcome, func() bool { return c.f.selector.tryRetryInTime(c.service, c.routingRequest(1)) })
	switch {
	case step.Retry:
		weightsLimits.Add("retried", 1)
	case step.Abort:
		weightsLimits.Add("broken_off", 1)
	case step.Err != nil && !c.Idempotent:
		weightsLimits.Add("unknown", 1)
	default:
		weightsLimits.Add("failed", 1)
	}
	return step
}

// logFailure logs a failed attempt.
func (c *forwardedCall) logFailure(d *routing.Decision, outcome string, err error) {
	event.ForwardAttemptFailed(event.Attempt{Request: c.call.ID, Backend: c.backend, Address: d.Backend.GetAddress(), Number: c.AttemptCount(),
		ViewVersion: c.snapshot.Version, BeginIn: beginIn(d, c.f.selector.clock())}, outcome, err)
}

// beginIn returns the time from now until an attempt must begin; nil if there is no such time.
func beginIn(d *routing.Decision, now time.Time) *time.Duration {
	if d.BeginBy.IsZero() {
		return nil
	}
	left := d.BeginBy.Sub(now)
	return &left
}

// mayBegin returns an error if an attempt that is sent now would not begin in time.
func (c *forwardedCall) mayBegin(now time.Time, d *routing.Decision) error {
	if d.MayBeSent(now) {
		return nil
	}
	weightsLimits.Add("withdrawn", 1)
	return fmt.Errorf("%w: %v left", errBeginsTooLate, d.BeginBy.Sub(now).Round(time.Millisecond))
}
