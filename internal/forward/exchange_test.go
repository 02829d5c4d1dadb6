package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
)

func granted() bool { return true }

func denied() bool { return false }

func TestWhatFollowsAnAttempt(t *testing.T) {
	start := time.Unix(1000, 0)
	late := start.Add(time.Second - minAttempt/2)
	tests := map[string]struct {
		exchange  RetryState
		delivered bool
		sends     int
		now       time.Time
		outcome   Outcome
		budget    func() bool
		want      Step
		kind      fault.Kind
		ran       fault.Outcome
	}{
		"unsent goes elsewhere without a place in the budget":  {RetryState{MaxAttempts: 1}, false, 1, start, Unsent, denied, Step{Retry: true}, 0, 0},
		"unsent once too often is refused":                     {RetryState{MaxAttempts: 1}, false, 4, start, Unsent, granted, Step{}, fault.NoBackend, fault.NotRun},
		"refused goes elsewhere though it may run only once":   {RetryState{MaxAttempts: 1}, false, 1, start, Refused, granted, Step{Retry: true}, 0, 0},
		"refused without a budget is refused":                  {RetryState{MaxAttempts: 1}, false, 1, start, Refused, denied, Step{}, fault.Overloaded, fault.NotRun},
		"misdirected goes elsewhere":                           {RetryState{MaxAttempts: 1}, false, 1, start, Misdirected, granted, Step{Retry: true}, 0, 0},
		"refused too late is refused":                          {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, late, Refused, granted, Step{}, fault.Overloaded, fault.NotRun},
		"a broken call that may run once is unknown":           {RetryState{MaxAttempts: 3}, false, 1, start, InvalidResponse, granted, Step{}, fault.OutcomeUnknown, fault.Unknown},
		"a silent call that may run once is unknown":           {RetryState{MaxAttempts: 3}, false, 1, start, TimedOut, granted, Step{}, fault.DeadlineExceeded, fault.Unknown},
		"a broken idempotent call runs again":                  {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, InvalidResponse, granted, Step{Retry: true}, 0, 0},
		"but not beyond the attempts of its route":             {RetryState{MaxAttempts: 1, Idempotent: true}, false, 1, start, InvalidResponse, granted, Step{}, fault.BackendCrashed, fault.Unknown},
		"nor beyond the budget":                                {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, InvalidResponse, denied, Step{}, fault.BackendCrashed, fault.Unknown},
		"a failure of an idempotent call is tried again":       {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, Failed, granted, Step{Retry: true}, 0, 0},
		"a failure of a call that may run once is passed on":   {RetryState{MaxAttempts: 2}, false, 1, start, Failed, granted, Step{PassThrough: true}, 0, 0},
		"a failure without a budget is passed on":              {RetryState{MaxAttempts: 2, Idempotent: true}, false, 1, start, Failed, denied, Step{PassThrough: true}, 0, 0},
		"a resumable stream goes on":                           {RetryState{MaxAttempts: 2, Idempotent: true, Resumable: true}, true, 1, start, InvalidResponse, granted, Step{Retry: true}, 0, 0},
		"another stream that has begun is broken off":          {RetryState{MaxAttempts: 2, Idempotent: true}, true, 1, start, InvalidResponse, granted, Step{Abort: true}, 0, 0},
		"a stream that can't be resumed in time is broken off": {RetryState{MaxAttempts: 2, Idempotent: true, Resumable: true}, true, 1, late, InvalidResponse, granted, Step{Abort: true}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := test.exchange
			e.Deadline = start.Add(time.Second)
			for range test.sends {
				e.RecordAttempt()
			}
			if test.delivered {
				e.RecordDelivery()
			}
			got := e.Next(test.now, test.outcome, test.budget)
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

// A refusal that says "not run" must be true, whatever came before it.
func TestNoRefusalAfterACallMayHaveRun(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	for _, second := range []Outcome{Unsent, Refused, Misdirected} {
		e := RetryState{MaxAttempts: 2, Idempotent: true, Deadline: start.Add(time.Second)}
		e.RecordAttempt()
		is.True(e.Next(start, InvalidResponse, granted).Retry)
		for range 3 {
			e.RecordAttempt()
		}
		e.RecordAttempt()
		got := e.Next(start, second, granted)
		is.True(got.Err != nil)
		is.True(got.Err.Outcome != fault.NotRun)
	}
}
