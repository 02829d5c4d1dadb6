package forward

import (
	"errors"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/shutdown"
	"parsleypulley/internal/wire"
)

const (
	// durationSamples is the number of recent answers of a route from which the duration
	// of the next one is predicted. With fewer it is not predicted: soon after the start
	// only short answers are complete.
	durationSamples = 32
	// durationMargin is the factor by which an answer may take longer than the longest
	// of the recent ones.
	durationMargin = 1.25
	// finalAnswerMargin is how long before the end of the planned stop the calls whose response
	// has not begun are ended, so that their callers still get an answer.
	finalAnswerMargin = shutdown.FinalMargin
	// lateAnswerTime limits how long the end of the planned stop waits for final answers that are
	// late. What remains until the process is killed also covers the log lines of the calls that
	// are cut.
	lateAnswerTime = 100 * time.Millisecond
	// The durations of answers that did not become complete are remembered for one to two times
	// unfinishedWindow, so that a rare one does not stand for the route's answers for long.
	unfinishedWindow = 15 * time.Second
	// maxDurationRoutes limits the routes whose durations are kept. The duration on
	// further routes is predicted from the deadline.
	maxDurationRoutes = 256
)

// stopCalls counts the calls of planned stops: those running at its beginning ("running"),
// "accepted" and "refused" in it, and of the first two the ones that were "complete", "cut" at its
// end, or "left" by their callers or broken off.
var stopCalls = expvar.NewMap("forward_stop")

// StopTimes are the times of a planned stop.
type StopTimes struct {
	// Began is when the stop began, and ListenerCloses when callers can open no more
	// connections.
	Began, ListenerCloses time.Time
	// Ends is when the connections of the calls that still run are closed.
	Ends time.Time
}

// stopCall is what the guard knows of one call.
type stopCall struct {
	*shutdown.Call
	arrivedAt time.Time
	// route is the name of the route; empty before the call is admitted.
	route string
	// admission is what was known when the call was accepted or refused; nil if no stop had
	// begun.
	admission *event.StopAdmission
}

// errStopEnds is the cause of the end of attempts shortly before the planned stop ends.
var errStopEnds = errors.New("the planned stop is about to end")

// callEnd is how a call ended.
type callEnd uint8

const (
	// endServed means that the caller got the response.
	endServed callEnd = iota
	// endFailed means that the caller got an error response after an attempt.
	endFailed
	// endRefused means that the caller got an error response and nothing was sent.
	endRefused
	// endLeft means that the caller left, or that the response broke off.
	endLeft
	// endCut means that the end of the planned stop cut the call.
	endCut
)

// shutdownGuard decides which calls a router takes during its planned stop. While a load balancer
// may still send callers, it takes those whose answers are predicted to be complete before the stop
// ends; afterwards only those whose own time limit ends before that. It is safe for concurrent use.
type shutdownGuard struct {
	*shutdown.Guard

	mu sync.Mutex
	// times are those of the planned stop; zero while there is none.
	times StopTimes
	// calls holds the calls that are running, for the prediction.
	calls map[*stopCall]struct{}
	// durations holds the recent durations by route.
	durations map[string]*recentDurations
}

// recentDurations holds the durations of the last answers of a route.
type recentDurations struct {
	// ring holds the last complete answers.
	ring [durationSamples]time.Duration
	next int
	// unfinished is the longest of the answers that failed or that were given up since the time
	// unfinishedFrom, and unfinishedBefore that of the window before. Complete ones would have
	// taken longer.
	unfinished, unfinishedBefore time.Duration
	unfinishedFrom               time.Time
}

// turn begins a new window of unfinished answers if the current one is over.
func (r *recentDurations) turn(now time.Time) {
	switch age := now.Sub(r.unfinishedFrom); {
	case age < unfinishedWindow:
		return
	case age < 2*unfinishedWindow:
		r.unfinishedBefore = r.unfinished
	default:
		r.unfinishedBefore = 0
	}
	r.unfinished, r.unfinishedFrom = 0, now
}

func newShutdownGuard() *shutdownGuard {
	g := &shutdownGuard{Guard: shutdown.NewGuard(), calls: map[*stopCall]struct{}{}, durations: map[string]*recentDurations{}}
	g.Metrics = stopCalls
	return g
}

// begin records that the router stops.
func (g *shutdownGuard) begin(times StopTimes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.times = times
	g.Begin(times.Ends)
}

// arrive records a call that has arrived.
func (g *shutdownGuard) arrive(now time.Time) *stopCall {
	c := &stopCall{Call: g.Arrive(), arrivedAt: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls[c] = struct{}{}
	return c
}

// finish records the end of a call.
func (g *shutdownGuard) finish(now time.Time, c *stopCall, end callEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c)
	switch end {
	case endServed:
		g.record(c.route, now.Sub(c.arrivedAt))
	case endFailed, endLeft, endCut:
		g.recordUnfinished(now, c.route, now.Sub(c.arrivedAt))
	}
	switch end {
	case endCut:
		c.FinishAs(shutdown.Cut)
	case endLeft:
		c.FinishAs(shutdown.Left)
	default:
		c.FinishAs(shutdown.Complete)
	}
}

// beginBody records that the body of a call's request is read, and ends that at deadline or shortly
// before the planned stop ends. The returned function must be called once the body is read.
func (g *shutdownGuard) beginBody(c *stopCall, body *http.ResponseController, deadline time.Time) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if stop := g.times.Ends.Add(-finalAnswerMargin); !g.times.Ends.IsZero() && stop.Before(deadline) {
		deadline = stop
	}
	_ = body.SetReadDeadline(deadline) // not supported by all writers of tests
	reading := true                    // a deadline set after the body was read would look as if the caller had left
	c.OnEnd(func(bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if reading {
			_ = body.SetReadDeadline(time.Now()) // fails only on a connection that has ended
		}
	})
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		reading = false
		_ = body.SetReadDeadline(time.Time{})
	}
}

// durationsOf returns the recent durations of a route; nil if those of too many routes are kept.
// g.mu must be held.
func (g *shutdownGuard) durationsOf(route string) *recentDurations {
	recent := g.durations[route]
	if recent == nil && len(g.durations) < maxDurationRoutes {
		recent = &recentDurations{}
		g.durations[route] = recent
	}
	return recent
}

// record records the duration of a complete answer. g.mu must be held.
func (g *shutdownGuard) record(route string, d time.Duration) {
	if recent := g.durationsOf(route); recent != nil {
		recent.ring[recent.next%durationSamples] = d
		recent.next++
	}
}

// recordUnfinished records how long an answer took that did not become complete. g.mu must be held.
func (g *shutdownGuard) recordUnfinished(now time.Time, route string, d time.Duration) {
	if route == "" {
		return // not admitted
	}
	if recent := g.durationsOf(route); recent != nil {
		recent.turn(now)
		recent.unfinished = max(recent.unfinished, d)
	}
}

// predict returns how long the answer of a call on a route may take, from the answers that were
// complete, those that were not, and the calls that are running. ok is false if too few were
// complete. g.mu must be held.
func (g *shutdownGuard) predict(now time.Time, call *stopCall) (predicted time.Duration, ok bool) {
	r := g.durations[call.route]
	if r == nil || r.next < durationSamples {
		return 0, false
	}
	r.turn(now)
	longest := max(slices.Max(r.ring[:]), r.unfinished, r.unfinishedBefore)
	for c := range g.calls {
		if c != call && c.route == call.route {
			longest = max(longest, now.Sub(c.arrivedAt))
		}
	}
	return time.Duration(durationMargin * float64(longest)), true
}

// admit returns an error if the stopping router must not take a call that has the given
// time left: the answer might be cut. Another router can take the call at once. A stream
// that can't be resumed elsewhere is never taken. Once callers can open no more connections, only
// the time left counts: answers that get slower, or the long ones among them that fail, make a
// prediction from past answers too short.
func (g *shutdownGuard) admit(now time.Time, c *stopCall, route *wire.ForwardRoute, timeLeft time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.route = route.GetName()
	if g.times.Ends.IsZero() {
		return nil
	}
	c.admission = &event.StopAdmission{After: now.Sub(g.times.Began), Left: g.times.Ends.Sub(now), Predicted: timeLeft}
	if predicted, ok := g.predict(now, c); ok && now.Before(g.times.ListenerCloses) {
		c.admission.Predicted, c.admission.Responses = min(timeLeft, predicted), durationSamples
	}
	if route.GetStream() && !route.GetResumable() {
		return c.Refuse()
	}
	if refusal := c.Accept(now.Add(c.admission.Predicted)); refusal != nil {
		return refusal
	}
	return nil
}

// isFinal reports whether the call has to end with a final answer, since the planned stop is about
// to end.
func (c *forwardedCall) isFinal() bool { return c.stop.Ended() }

// shutdownError returns the refusal of a call that has not run, by a router that stops.
func shutdownError(reason string) *fault.Error {
	return fault.New(fault.Shutdown, fault.NotRun, "%s", reason).WithRetryAfter(shutdownRetryAfter)
}

// cutByStop reports whether the end of the planned stop has cut the call.
func (c *forwardedCall) cutByStop() bool { return daemon.CutByStop(c.r.Context()) }
