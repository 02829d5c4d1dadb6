package forward

import (
	"time"

	"parsleypulley/internal/fault"
)

// Outcome is how one attempt ended.
type Outcome uint8

// The outcomes of attempts.
const (
	// Unsent: nothing of the call was sent; it has not run.
	Unsent Outcome = iota + 1
	// Refused: the backend server states that it did not run the call.
	Refused
	// Misdirected: another backend server answers at the address, or it holds
	// other weights; the call has not run.
	Misdirected
	// InvalidResponse: the connection ended before the answer was whole; the call may have
	// run.
	InvalidResponse
	// TimedOut: no answer came in time; the call may run.
	TimedOut
	// Failed: the backend server ran the call and answered with a failure.
	Failed
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Unsent:
		return "unsent"
	case Refused:
		return "refused"
	case Misdirected:
		return "misdirected"
	case InvalidResponse:
		return "broken"
	case TimedOut:
		return "silent"
	case Failed:
		return "failed"
	}
	return "unknown"
}

const (
	// extraSends bounds the attempts beyond those of the route that may be sent
	// because earlier ones did not run.
	extraSends = 3
	// minAttempt is the time that must be left for another attempt: less than the
	// work of a short call.
	minAttempt = 20 * time.Millisecond
)

// RetryState decides on the attempts of one call. It is a state machine without
// I/O and not safe for concurrent use.
type RetryState struct {
	// Idempotent is set when the call may run more than once.
	Idempotent bool
	// Resumable is set when a stream may go on at another backend server.
	Resumable bool
	// MaxAttempts bounds the backend servers that the call may run at.
	MaxAttempts int
	// Deadline is when the answer must be whole.
	Deadline time.Time

	runs  int
	sends int
	// delivered is set once part of the answer has reached the caller.
	delivered bool
}

// Step is what comes after an attempt. Exactly one of its parts is set.
type Step struct {
	// Retry sends another attempt.
	Retry bool
	// PassThrough hands the failed answer of the attempt to the caller.
	PassThrough bool
	// Abort breaks off the answer that the caller has begun to receive.
	Abort bool
	// Err is the final answer.
	Err *fault.Error
}

// RecordAttempt notes an attempt that is about to be sent.
func (e *RetryState) RecordAttempt() { e.sends++ }

// RecordDelivery notes that part of the answer has reached the caller.
func (e *RetryState) RecordDelivery() { e.delivered = true }

// AttemptCount returns the number of attempts sent.
func (e *RetryState) AttemptCount() int { return e.sends }

// PossibleExecutions returns the number of attempts that may have run.
func (e *RetryState) PossibleExecutions() int { return e.runs }

// Next decides what follows an attempt. mayRetry is asked for a place in the
// retry budget when another attempt would reach a backend server.
func (e *RetryState) Next(now time.Time, outcome Outcome, mayRetry func() bool) Step {
	switch outcome {
	case Unsent, Refused, Misdirected:
		if e.canSend(now) && (outcome == Unsent || mayRetry()) {
			return Step{Retry: true}
		}
		return e.giveUp(now, outcome)
	}
	e.runs++
	if e.canRepeat(now) && mayRetry() {
		return Step{Retry: true}
	}
	if outcome == Failed && !e.delivered {
		return Step{PassThrough: true}
	}
	return e.giveUp(now, outcome)
}

// NoBackend decides what follows when no backend server is left to try.
func (e *RetryState) NoBackend(now time.Time) Step { return e.giveUp(now, Unsent) }

// canSend reports whether an attempt may follow one that did not run.
func (e *RetryState) canSend(now time.Time) bool {
	return e.sends < e.MaxAttempts+extraSends && e.Deadline.Sub(now) >= minAttempt
}

// canRepeat reports whether a call that may have run may run again.
func (e *RetryState) canRepeat(now time.Time) bool {
	if !e.Idempotent || e.runs >= e.MaxAttempts || (e.delivered && !e.Resumable) {
		return false
	}
	return e.canSend(now)
}

// giveUp returns the final answer.
func (e *RetryState) giveUp(now time.Time, outcome Outcome) Step {
	switch {
	case e.delivered:
		return Step{Abort: true}
	case e.runs == 0 && outcome == Unsent:
		return Step{Err: fault.New(fault.NoBackend, fault.NotRun, "no backend server could be reached")}
	case e.runs == 0:
		return Step{Err: fault.New(fault.Overloaded, fault.NotRun, "no backend server takes the call now")}
	case !now.Before(e.Deadline) || outcome == TimedOut:
		return Step{Err: fault.New(fault.DeadlineExceeded, fault.Unknown, "no whole answer in time")}
	case !e.Idempotent:
		return Step{Err: fault.New(fault.OutcomeUnknown, fault.Unknown, "the backend server was lost while it may have run the call")}
	}
	return Step{Err: fault.New(fault.BackendCrashed, fault.Unknown, "the backend server broke off its answer")}
}
