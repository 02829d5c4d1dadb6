package forward

import (
	"expvar"
	"net/http"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
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
	// bodyStopMargin is how long before the end of the planned stop the reading of bodies ends,
	// so that their callers still get the refusal.
	bodyStopMargin = 300 * time.Millisecond
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
	arrivedAt time.Time
	// route is the name of the route; empty before the call is admitted.
	route string
	// counted is set if the stop has to finish the call, since it was running at the beginning
	// of the stop or accepted in it.
	counted bool
	// admission is what was known when the call was accepted or refused; nil if no stop had
	// begun.
	admission *event.StopAdmission
}

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

// shutdownGuard decides which calls a router takes during its planned stop: those whose
// answers are predicted to be complete before the stop ends. It is safe for concurrent
// use.
type shutdownGuard struct {
	mu sync.Mutex
	// times are those of the planned stop; zero while there is none.
	times StopTimes
	// calls holds the calls that are running.
	calls map[*stopCall]struct{}
	// counts are the numbers of calls of the planned stop.
	counts event.StopCounts
	// durations holds the recent durations by route.
	durations map[string]*recentDurations
	// bodies holds the requests whose bodies are being read.
	bodies map[*http.ResponseController]struct{}
}

// recentDurations is a ring of the durations of the last answers.
type recentDurations struct {
	ring [durationSamples]time.Duration
	next int
}

func newShutdownGuard() *shutdownGuard {
	return &shutdownGuard{calls: map[*stopCall]struct{}{}, durations: map[string]*recentDurations{}, bodies: map[*http.ResponseController]struct{}{}}
}

// begin records that the router stops.
func (g *shutdownGuard) begin(times StopTimes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.times = times
	for c := range g.calls {
		c.counted = true
		g.count("running", &g.counts.Running)
	}
}

// arrive records a call that has arrived.
func (g *shutdownGuard) arrive(now time.Time) *stopCall {
	c := &stopCall{arrivedAt: now}
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
	if end == endServed {
		g.record(c.route, now.Sub(c.arrivedAt))
	}
	switch {
	case !c.counted:
	case end == endCut:
		g.count("cut", &g.counts.Cut)
	case end == endLeft:
		g.count("left", &g.counts.Left)
	default:
		g.count("complete", &g.counts.Complete)
	}
}

// count counts a call. g.mu must be held.
func (g *shutdownGuard) count(name string, n *int) {
	*n++
	stopCalls.Add(name, 1)
}

// stopCounts returns the numbers of calls of the planned stop, at its end: calls that have to be
// finished and still run are being cut.
func (g *shutdownGuard) stopCounts() event.StopCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.counts
	for c := range g.calls {
		if c.counted {
			counts.Cut++
		}
	}
	return counts
}

// endBodies ends the reading of bodies that have not come whole.
func (g *shutdownGuard) endBodies() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for body := range g.bodies {
		_ = body.SetReadDeadline(time.Now()) // fails only on a connection that has ended
	}
}

// beginBody records that the body of a request is read, and ends that at deadline or shortly
// before the planned stop ends. The returned function must be called once the body is read.
func (g *shutdownGuard) beginBody(body *http.ResponseController, deadline time.Time) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if stop := g.times.Ends.Add(-bodyStopMargin); !g.times.Ends.IsZero() && stop.Before(deadline) {
		deadline = stop
	}
	g.bodies[body] = struct{}{}
	_ = body.SetReadDeadline(deadline) // not supported by all writers of tests
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.bodies, body)
		_ = body.SetReadDeadline(time.Time{})
	}
}

// bodyRefused counts a call that was refused since its body had not come whole.
func (g *shutdownGuard) bodyRefused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count("refused", &g.counts.Refused)
}

// stopping reports whether the planned stop has begun.
func (g *shutdownGuard) stopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.times.Ends.IsZero()
}

// record records the duration of a complete answer. g.mu must be held.
func (g *shutdownGuard) record(route string, d time.Duration) {
	recent := g.durations[route]
	if recent == nil {
		if len(g.durations) >= maxDurationRoutes {
			return
		}
		recent = &recentDurations{}
		g.durations[route] = recent
	}
	recent.ring[recent.next%durationSamples] = d
	recent.next++
}

// longest returns the longest recent duration. ok is false if there are too few.
func (r *recentDurations) longest() (longest time.Duration, ok bool) {
	if r == nil || r.next < durationSamples {
		return 0, false
	}
	return slices.Max(r.ring[:]), true
}

// admit returns an error if the stopping router must not take a call that has the given
// time left: the answer might be cut. Another router can take the call at once. A stream
// that can't be resumed elsewhere is never taken.
func (g *shutdownGuard) admit(now time.Time, c *stopCall, route *wire.ForwardRoute, timeLeft time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.route = route.GetName()
	if g.times.Ends.IsZero() {
		return nil
	}
	c.admission = &event.StopAdmission{After: now.Sub(g.times.Began), Left: g.times.Ends.Sub(now), Predicted: timeLeft}
	if longest, ok := g.durations[c.route].longest(); ok {
		c.admission.Predicted, c.admission.Responses = min(timeLeft, time.Duration(durationMargin*float64(longest))), durationSamples
	}
	if route.GetStream() && !route.GetResumable() || now.Add(c.admission.Predicted).After(g.times.Ends) {
		g.count("refused", &g.counts.Refused)
		return fault.New(fault.Shutdown, fault.NotRun, "this router stops").WithRetryAfter(shutdownRetryAfter)
	}
	if !c.counted {
		c.counted = true
		g.count("accepted", &g.counts.Accepted)
	}
	return nil
}

// cutByStop reports whether the end of the planned stop has cut the call.
func (c *forwardedCall) cutByStop() bool { return daemon.CutByStop(c.r.Context()) }
