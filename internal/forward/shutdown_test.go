package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// During a planned stop callers keep their connections and send answers of all lengths.
// A call is taken only if its answer will be complete before the stop ends, and is
// otherwise refused as not run, with the advice to go to another router at once.
func TestStoppingRouterTakesOnlyWhatItCanFinish(t *testing.T) {
	begin := time.Unix(1000, 0)
	const stop = 7600 * time.Millisecond
	stream := &wire.ForwardRoute{Name: "stream", Stream: true, Resumable: true}
	short := &wire.ForwardRoute{Name: "short"}
	unknown := &wire.ForwardRoute{Name: "unknown"}
	fresh := &wire.ForwardRoute{Name: "fresh", Stream: true, Resumable: true}
	final := &wire.ForwardRoute{Name: "final", Stream: true}
	tests := []struct {
		name     string
		route    *wire.ForwardRoute
		after    time.Duration // since the beginning of the stop
		timeLeft time.Duration
		taken    bool
	}{
		{"a long stream at the beginning", stream, 0, 15 * time.Second, true},
		{"a long stream later", stream, 1700 * time.Millisecond, 15 * time.Second, false},
		{"a long stream with a deadline before the end", stream, 1700 * time.Millisecond, 5 * time.Second, true},
		{"a stream that can't be resumed", final, 0, time.Second, false},
		{"a short call", short, 7 * time.Second, 15 * time.Second, true},
		{"a short call at the end", short, 7590 * time.Millisecond, 15 * time.Second, false},
		{"only short answers are complete yet", fresh, 0, 15 * time.Second, false},
		{"nothing known, by its deadline", unknown, 5 * time.Second, time.Second, true},
		{"nothing known, no deadline before the end", unknown, 0, 15 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newShutdownGuard()
			for i := range 40 {
				g.record("stream", time.Duration(1+i%5)*time.Second)
				g.record("short", time.Duration(10+i)*time.Millisecond)
				g.record("final", time.Millisecond)
			}
			for range durationSamples - 1 {
				g.record("fresh", 50*time.Millisecond)
			}
			is.NoErr(g.admit(begin, test.route, test.timeLeft)) // no stop yet
			g.begin(begin.Add(stop))
			err := g.admit(begin.Add(test.after), test.route, test.timeLeft)
			is.Equal(err == nil, test.taken)
			if err != nil {
				is.Equal(fault.From(err).Outcome, fault.NotRun)
				is.True(fault.From(err).RetryAfter <= shutdownRetryAfter)
			}
		})
	}
}
