package shutdown

import (
	"context"
	"expvar"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
)

// Guards against a call that is accepted during the shutdown although nothing bounds its end, and against
// refusals of calls that end in time.
func TestAcceptOnlyWhatEndsInTime(t *testing.T) {
	is := is.New(t)
	g := NewGuard()
	early, refusal := g.Accept(time.Time{}, func(bool) {})
	is.True(refusal == nil) // no shutdown yet
	endsAt := time.Now().Add(10 * time.Minute)
	g.Begin(endsAt)
	g.Begin(endsAt.Add(time.Hour)) // changes nothing
	for _, test := range []struct {
		deadline time.Time
		accepted bool
	}{
		{endsAt.Add(-FinalMargin), true},
		{endsAt.Add(-FinalMargin + time.Millisecond), false},
		{endsAt.Add(time.Minute), false},
		{time.Time{}, false},
	} {
		c, refusal := g.Accept(test.deadline, func(bool) {})
		is.Equal(refusal == nil, test.accepted)
		if refusal != nil {
			is.Equal(refusal.Kind, fault.Shutdown)
			is.Equal(refusal.Outcome, fault.NotRun)
		}
		c.Finish(false)
	}
	early.Finish(true)
	is.Equal(g.Counts(), Counts{Running: 1, Accepted: 1, Refused: 3, Complete: 1, Left: 1})
}

// Guards against calls that the end of the shutdown neither ends nor counts, and against a call that gets
// both a response and its end.
func TestCallsEndWithTheShutdown(t *testing.T) {
	is := is.New(t)
	g := NewGuard()
	var waitingEnded, begunCut atomic.Bool
	var waiting, begun, done *Call
	waiting, _ = g.Accept(time.Time{}, func(cut bool) { is.True(!cut); waitingEnded.Store(true); waiting.Finish(true) })
	begun, _ = g.Accept(time.Time{}, func(cut bool) { is.True(cut); begunCut.Store(true); begun.Finish(true) })
	done, _ = g.Accept(time.Time{}, func(bool) { t.Error("ended after it was complete") })
	stuck, _ := g.Accept(time.Time{}, func(bool) {})
	is.True(begun.Begin())
	is.True(done.Begin())
	done.Finish(false)
	g.Begin(time.Now().Add(FinalMargin)) // final responses at once
	for end := time.Now().Add(10 * time.Second); !waitingEnded.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(waitingEnded.Load())
	is.True(waiting.Ended())
	is.True(!waiting.Begin()) // it has its final response
	is.True(!begunCut.Load()) // it goes on until the end
	g.Cut(20 * time.Millisecond)
	is.True(begunCut.Load())
	is.Equal(g.Counts(), Counts{Running: 3, Complete: 1, Cut: 2}) // stuck has not answered
	stuck.Finish(false)
	is.True((*Call)(nil).Begin())
	is.True(!(*Call)(nil).Ended())
}

// Guards against calls that are missing from the counts or counted twice when they are registered before
// they are accepted: by the end of the stop each call that was running or accepted is complete, cut or left.
func TestCountsOfCallsThatArriveBeforeTheyAreAccepted(t *testing.T) {
	is := is.New(t)
	g := NewGuard()
	g.Metrics = new(expvar.Map)
	before, running := g.Arrive(), g.Arrive()
	endsAt := time.Now().Add(10 * time.Minute)
	g.Begin(endsAt)
	is.True(before.Accept(endsAt.Add(-FinalMargin)) == nil) // counted as running already
	is.True(running.Refuse() != nil)                        // its body did not come whole
	running.Finish(false)
	accepted, refused := g.Arrive(), g.Arrive()
	is.True(accepted.Accept(endsAt.Add(-FinalMargin)) == nil)
	is.True(refused.Accept(endsAt) != nil)
	accepted.FinishAs(Left)
	is.Equal(g.Counts(), Counts{Running: 2, Accepted: 1, Refused: 2, Complete: 1, Left: 1, Cut: 1}) // before still runs
	refused.FinishAs(Left)
	before.FinishAs(Cut)
	is.Equal(g.Counts(), Counts{Running: 2, Accepted: 1, Refused: 2, Complete: 1, Left: 1, Cut: 1})
	for name, n := range map[string]string{"running": "2", "accepted": "1", "refused": "2", "complete": "1", "left": "1", "cut": "1"} {
		is.Equal(g.Metrics.Get(name).String(), n)
	}
}

// Guards against a call that is not ended, or not waited for, because what ends it was set only after the
// shutdown had ended it.
func TestEndOfACallIsSetLate(t *testing.T) {
	is := is.New(t)
	g := NewGuard()
	late, begun := g.Arrive(), g.Arrive()
	is.True(begun.Begin())
	g.AnswerWaiting(0)
	is.True(late.Ended())
	is.True(!begun.Ended())
	late.OnEnd(func(cut bool) { is.True(!cut); late.FinishAs(Complete) })
	start := time.Now()
	g.AnswerWaiting(20 * time.Second)
	is.True(time.Since(start) < 20*time.Second) // it does not wait for begun
	is.True(!g.running(func(c *Call) bool { return c == late }))
	is.True(g.running(func(c *Call) bool { return c == begun }))
}

// Guards against a caller's disconnection that is taken for the end of the shutdown.
func TestEnded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancelCause(context.Background())
	child, stop := context.WithCancel(ctx)
	defer stop()
	is.True(!Ended(child))
	cancel(ErrEnded)
	is.True(Ended(child))
	left, leave := context.WithCancel(context.Background())
	leave()
	is.True(!Ended(left))
}
