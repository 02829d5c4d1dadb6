package forward

import (
	"time"

	"parsleypulley/internal/fault"
)

// Outcome is the result of one attempt.
type Outcome uint8

// The outcomes of attempts.
const (
	// Unsent means that nothing of the request was sent. The call was not
	// executed.
	Unsent Outcome = iota + 1
	// Refused means that the backend server states that it did not execute the
	// call.
	Refused
	// Misdirected means that another backend server answered at the address, or
	// that the backend server holds other weights. The call was not executed.
	Misdirected
	// InvalidResponse means that the response was incomplete or could not be
	// used, or that the connection ended without one. The call may have been
	// executed.
	InvalidResponse
	// TimedOut means that no response came in time. The call may still be
	// executed.
	TimedOut
	// Failed means that the backend server executed the call and returned an
	// error.
	Failed
)

// String returns the name of the outcome in logs and metrics.
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

// mayHaveRun reports whether the call may have been executed.
func (o Outcome) mayHaveRun() bool { return o != Unsent && o != Refused && o != Misdirected }

const (
	// extraAttempts is the number of attempts allowed beyond MaxAttempts because
	// earlier attempts were not executed.
	extraAttempts = 3
	// minAttemptTime is the time that must remain before the deadline for another
	// attempt. It is shorter than the execution of a short call.
	minAttemptTime = 20 * time.Millisecond
)

// RetryState decides whether a call is tried again. It performs no I/O and is not
// safe for concurrent use.
type RetryState struct {
	// Idempotent is set if the call may be executed more than once.
	Idempotent bool
	// Resumable is set if another backend server can continue a stream that was
	// cut off.
	Resumable bool
	// MaxAttempts limits the attempts that may have been executed.
	MaxAttempts int
	// Deadline is the time by which the response must be complete.
	Deadline time.Time

	// possibleExecutions is the number of attempts that may have been executed.
	possibleExecutions int
	// attempts is the number of attempts sent.
	attempts int
	// delivered is set once the caller has received part of a response.
	delivered bool
}

// Step is the action that follows an attempt. Exactly one field is set, or none
// if the call is complete.
type Step struct {
	// Retry means that another attempt is made.
	Retry bool
	// PassThrough means that the caller gets the backend server's error response.
	PassThrough bool
	// Abort means that the response is cut off, since the caller has already
	// received part of it.
	Abort bool
	// Err is the error that the caller gets.
	Err *fault.Error
}

// RecordAttempt counts an attempt. It must be called before the attempt is sent.
func (s *RetryState) RecordAttempt() { s.attempts++ }

// RecordPossibleExecution counts an attempt whose outcome does not pass through Next, and that may have
// been executed.
func (s *RetryState) RecordPossibleExecution() { s.possibleExecutions++ }

// RecordDelivery records that the caller has received part of a response.
func (s *RetryState) RecordDelivery() { s.delivered = true }

// AttemptCount returns the number of attempts sent.
func (s *RetryState) AttemptCount() int { return s.attempts }

// PossibleExecutions returns the number of attempts that may have been executed.
func (s *RetryState) PossibleExecutions() int { return s.possibleExecutions }

// Next returns the step that follows an attempt. It calls tryRetry to count a
// retry against the retry budget, except after an Unsent attempt, which has put
// no load on a backend server.
func (s *RetryState) Next(now time.Time, outcome Outcome, tryRetry func() bool) Step {
	switch outcome {
	case Unsent, Refused, Misdirected:
		if s.canSend(now) && (outcome == Unsent || tryRetry()) {
			return Step{Retry: true}
		}
		return s.giveUp(now, outcome)
	}
	s.possibleExecutions++
	if s.canReexecute(now) && tryRetry() {
		return Step{Retry: true}
	}
	if outcome == Failed && !s.delivered {
		return Step{PassThrough: true}
	}
	return s.giveUp(now, outcome)
}

// NoBackend returns the step that follows when no backend server is left to try.
func (s *RetryState) NoBackend(now time.Time) Step { return s.giveUp(now, Unsent) }

// PassThroughFailed returns the step that follows when the backend server's error response,
// which the caller was to get, is not complete.
func (s *RetryState) PassThroughFailed(now time.Time) Step { return s.giveUp(now, InvalidResponse) }

// Cancelled returns the step that follows an attempt that was broken off since the call must
// not be sent to any backend server. It may have been executed.
func (s *RetryState) Cancelled(reason string) Step {
	s.possibleExecutions++
	return s.Quarantined(reason)
}

// Quarantined returns the step that follows when the call must not be sent to any backend
// server.
func (s *RetryState) Quarantined(reason string) Step {
	switch {
	case s.delivered:
		return Step{Abort: true}
	case s.possibleExecutions > 0:
		return Step{Err: quarantineError(fault.Unknown, reason)}
	}
	return Step{Err: quarantineError(fault.NotRun, reason)}
}

// Stopped returns the step that follows when the call has to end since the router's planned stop is
// about to end, after an attempt with the given outcome. Unsent stands for none.
func (s *RetryState) Stopped(outcome Outcome) Step {
	if outcome.mayHaveRun() {
		s.possibleExecutions++
	}
	return s.Forbidden(shutdownError("this router stops"))
}

// Forbidden returns the step that follows when the call must not be sent any more, for the reason
// of err, which holds for a call that has not run.
func (s *RetryState) Forbidden(err *fault.Error) Step {
	switch {
	case s.delivered:
		return Step{Abort: true}
	case s.possibleExecutions > 0:
		return Step{Err: fault.New(fault.OutcomeUnknown, fault.Unknown, "the call may have run, and must not be sent again: %w", err)}
	}
	return Step{Err: err}
}

// canSend reports whether another attempt may follow one that was not executed.
func (s *RetryState) canSend(now time.Time) bool {
	return s.attempts < s.MaxAttempts+extraAttempts && s.Deadline.Sub(now) >= minAttemptTime
}

// canReexecute reports whether a call that may have been executed may be executed
// again.
func (s *RetryState) canReexecute(now time.Time) bool {
	if !s.Idempotent || s.possibleExecutions >= s.MaxAttempts || (s.delivered && !s.Resumable) {
		return false
	}
	return s.canSend(now)
}

// MayFollow reports whether another attempt may follow the one that is running, if that one may have
// been executed.
func (s *RetryState) MayFollow() bool { return s.mayFollow(1) }

// mayFollow reports the same once a number of further attempts may have been executed.
func (s *RetryState) mayFollow(executions int) bool {
	return s.Idempotent && s.possibleExecutions+executions < s.MaxAttempts && s.attempts < s.MaxAttempts+extraAttempts && (!s.delivered || s.Resumable)
}

// giveUp returns the final step of a call that is not tried again.
func (s *RetryState) giveUp(now time.Time, outcome Outcome) Step {
	switch {
	case s.delivered:
		return Step{Abort: true}
	case s.possibleExecutions == 0 && outcome == Unsent:
		return Step{Err: fault.New(fault.NoBackend, fault.NotRun, "no backend server could be reached")}
	case s.possibleExecutions == 0:
		return Step{Err: fault.New(fault.Overloaded, fault.NotRun, "no backend server takes the call now")}
	case !now.Before(s.Deadline) || outcome == TimedOut:
		return Step{Err: fault.New(fault.DeadlineExceeded, fault.Unknown, "no whole answer in time")}
	case !s.Idempotent:
		return Step{Err: fault.New(fault.OutcomeUnknown, fault.Unknown, "the backend server was lost while it may have run the call")}
	}
	return Step{Err: fault.New(fault.BackendCrashed, fault.Unknown, "the backend server broke off its answer")}
}
