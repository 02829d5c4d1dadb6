package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
)

func allowRetry() bool { return true }

func denyRetry() bool { return false }

func TestRetryStateNext(t *testing.T) {
	start := time.Unix(1000, 0)
	late := start.Add(time.Second - minAttemptTime/2)
	tests := map[string]struct {
		initial   RetryState
		delivered bool
		attempts  int
		now       time.Time
		outcome   Outcome
		tryRetry  func() bool
		want      Step
		// kind and ran are the expected error; kind is 0 if want holds the step.
		kind fault.Kind
		ran  fault.Outcome
	}{
		"unsent call is retried without using the budget":                {RetryState{MaxAttempts: 1}, false, 1, start, Unsent, denyRetry, Step{Retry: true}, 0, 0},
		"unsent call fails after the last extra attempt":                 {RetryState{MaxAttempts: 1}, false, 4, start, Unsent, allowRetry, Step{}, fault.NoBackend, fault.NotRun},
		"refused at-most-once call is retried":                           {RetryState{MaxAttempts: 1}, false, 1, start, Refused, allowRetry, Step{Retry: true}, 0, 0},
		"refused call fails without retry budget":                        {RetryState{MaxAttempts: 1}, false, 1, start, Refused, denyRetry, Step{}, fault.Overloaded, fault.NotRun},
		"misdirected call is retried":                                    {RetryState{MaxAttempts: 1}, false, 1, start, Misdirected, allowRetry, Step{Retry: true}, 0, 0},
		"refused call fails just before the deadline":                    {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, late, Refused, allowRetry, Step{}, fault.Overloaded, fault.NotRun},
		"at-most-once call with invalid response has an unknown outcome": {RetryState{MaxAttempts: 3}, false, 1, start, InvalidResponse, allowRetry, Step{}, fault.OutcomeUnknown, fault.Unknown},
		"timed out at-most-once call has an unknown outcome":             {RetryState{MaxAttempts: 3}, false, 1, start, TimedOut, allowRetry, Step{}, fault.DeadlineExceeded, fault.Unknown},
		"idempotent call with invalid response is retried":               {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, InvalidResponse, allowRetry, Step{Retry: true}, 0, 0},
		"idempotent call fails after the route's attempts":               {RetryState{MaxAttempts: 1, Idempotent: true}, false, 1, start, InvalidResponse, allowRetry, Step{}, fault.BackendCrashed, fault.Unknown},
		"idempotent call fails without retry budget":                     {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, InvalidResponse, denyRetry, Step{}, fault.BackendCrashed, fault.Unknown},
		"failed idempotent call is retried":                              {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, Failed, allowRetry, Step{Retry: true}, 0, 0},
		"error response to an at-most-once call is passed through":       {RetryState{MaxAttempts: 2}, false, 1, start, Failed, allowRetry, Step{PassThrough: true}, 0, 0},
		"error response is passed through without retry budget":          {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, Failed, denyRetry, Step{PassThrough: true}, 0, 0},
		"resumable stream is resumed":                                    {RetryState{MaxAttempts: 2, Idempotent: true, Resumable: true}, true, 1, start, InvalidResponse, allowRetry, Step{Retry: true}, 0, 0},
		"non-resumable stream is aborted":                                {RetryState{MaxAttempts: 2, Idempotent: true}, true, 1, start, InvalidResponse, allowRetry, Step{Abort: true}, 0, 0},
		"stream that cannot be resumed before the deadline is aborted":   {RetryState{MaxAttempts: 2, Idempotent: true, Resumable: true}, true, 1, late, InvalidResponse, allowRetry, Step{Abort: true}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := test.initial
			state.Deadline = start.Add(time.Second)
			for range test.attempts {
				state.RecordAttempt()
			}
			if test.delivered {
				state.RecordDelivery()
			}
			got := state.Next(test.now, test.outcome, test.tryRetry)
			if test.kind == 0 {
				is.Equal(got, test.want)
				return
			}
			is.True(got.Err != nil)
			is.Equal(got.Err.Kind, test.kind)
			is.Equal(got.Err.Outcome, test.ran)
		})
	}
}

// Callers may repeat a call that is reported as not run. If an earlier attempt
// may have been executed, a later refusal must therefore not be reported as not
// run.
func TestNotRunNotReportedAfterPossibleExecution(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	for _, second := range []Outcome{Unsent, Refused, Misdirected} {
		state := RetryState{MaxAttempts: 2, Idempotent: true, Deadline: start.Add(time.Second)}
		state.RecordAttempt()
		is.True(state.Next(start, InvalidResponse, allowRetry).Retry)
		for range 3 {
			state.RecordAttempt()
		}
		state.RecordAttempt()
		got := state.Next(start, second, allowRetry)
		is.True(got.Err != nil)
		is.True(got.Err.Outcome != fault.NotRun)
	}
}

// Guards against an untrue final answer of a stopping router: a call has not run only if no attempt, also an
// earlier one, may have run it, and a response that has begun is broken off.
func TestFinalAnswerTellsWhetherTheCallMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		earlier, last Outcome
		delivered     bool
		want          fault.Outcome
		abort         bool
	}{
		"not sent":                         {0, Unsent, false, fault.NotRun, false},
		"refused":                          {0, Refused, false, fault.NotRun, false},
		"another server":                   {0, Misdirected, false, fault.NotRun, false},
		"sent":                             {0, InvalidResponse, false, fault.Unknown, false},
		"no response":                      {0, TimedOut, false, fault.Unknown, false},
		"failed":                           {0, Failed, false, fault.Unknown, false},
		"not sent, sent before":            {InvalidResponse, Unsent, false, fault.Unknown, false},
		"refused, failed before":           {Failed, Refused, false, fault.Unknown, false},
		"not sent, refused before":         {Refused, Unsent, false, fault.NotRun, false},
		"not sent, the response had begun": {InvalidResponse, Unsent, true, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			s := RetryState{Idempotent: true, MaxAttempts: 3, Deadline: now.Add(time.Minute)}
			if test.earlier != 0 {
				s.RecordAttempt()
				is.True(s.Next(now, test.earlier, allowRetry).Retry)
			}
			if test.delivered {
				s.RecordDelivery()
			}
			s.RecordAttempt()
			step := s.Stopped(test.last)
			is.Equal(step.Abort, test.abort)
			is.True(!step.Retry && !step.PassThrough)
			if test.abort {
				return
			}
			is.Equal(step.Err.Outcome, test.want)
			is.Equal(step.Err.Kind.Response().Status, map[fault.Outcome]int{fault.NotRun: 503, fault.Unknown: 502}[test.want])
		})
	}
}
