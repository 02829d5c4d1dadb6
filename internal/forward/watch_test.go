package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against streams that are cut though they are sound, silent servers that are checked
// late, and stalled streams that go on.
func TestAttemptWatch(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	fast := usualPauses{first: 300 * ms, between: 100 * ms}
	type moment struct {
		at     time.Duration
		action watchAction
	}
	for name, test := range map[string]struct {
		watch attemptWatch
		// deadline is that of the call.
		deadline time.Duration
		usual    usualPauses
		// events are when events arrive, and checks and end what the watch asks for.
		events []time.Duration
		checks []time.Duration
		// stalled is when the attempt is ended; 0 if it is not within until.
		stalled, until time.Duration
	}{
		"events without a pause": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 10 * s, usual: fast,
			events: []time.Duration{100 * ms, 400 * ms, 700 * ms, 1050 * ms}, until: 1400 * ms},
		"silence before the head": {watch: attemptWatch{}, deadline: 10 * s,
			checks: []time.Duration{400 * ms, 900 * ms, 1400 * ms}, until: 1500 * ms},
		"silence before the first event of a long prompt": {watch: attemptWatch{stream: true, predicted: 600 * ms}, deadline: 10 * s,
			checks: []time.Duration{1200 * ms, 1700 * ms}, until: 2 * s},
		"silence after an event": {watch: attemptWatch{stream: true, predicted: 600 * ms}, deadline: 10 * s,
			events: []time.Duration{700 * ms}, checks: []time.Duration{1100 * ms, 1600 * ms}, until: 2 * s},
		"stall on a known route": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 10 * s, usual: fast,
			events: []time.Duration{200 * ms}, checks: []time.Duration{600 * ms, 1100 * ms, 1600 * ms}, stalled: 1700 * ms, until: 5 * s},
		"stall on a route with longer pauses": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 20 * s, usual: usualPauses{between: s},
			events: []time.Duration{200 * ms}, checks: []time.Duration{600 * ms, 1100 * ms, 1600 * ms, 2100 * ms, 2600 * ms, 3100 * ms}, stalled: 3200 * ms, until: 5 * s},
		"stall close to the deadline": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 2200 * ms, usual: fast,
			events: []time.Duration{200 * ms}, checks: []time.Duration{600 * ms, 1100 * ms}, stalled: 1200 * ms, until: 3 * s},
		"slow stream on an unknown route": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 10 * s,
			events: []time.Duration{2 * s, 4 * s, 6 * s, 8 * s}, until: 9999 * ms,
			checks: []time.Duration{400 * ms, 900 * ms, 1400 * ms, 1900 * ms, 2400 * ms, 2900 * ms, 3400 * ms, 3900 * ms,
				4400 * ms, 4900 * ms, 5400 * ms, 5900 * ms, 6400 * ms, 6900 * ms, 7400 * ms, 7900 * ms, 8400 * ms, 8900 * ms, 9400 * ms, 9900 * ms}},
		"slow stream that has shown its pauses": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 10 * s, usual: fast,
			events: []time.Duration{200 * ms, 1600 * ms, 5 * s, 6400 * ms}, until: 9900 * ms,
			checks: []time.Duration{600 * ms, 1100 * ms, 2 * s, 2500 * ms, 3 * s, 3500 * ms, 4 * s, 4500 * ms, 5400 * ms, 5900 * ms, 6800 * ms, 7300 * ms, 7800 * ms, 8300 * ms, 8800 * ms, 9300 * ms, 9800 * ms}},
		"usual pause close to the deadline": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 2 * s, usual: usualPauses{between: s},
			events: []time.Duration{500 * ms}, checks: []time.Duration{400 * ms, 900 * ms, 1400 * ms, 1900 * ms}, until: 2 * s},
		"mute from the start, route unknown": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 2 * s,
			checks: []time.Duration{400 * ms, 900 * ms}, stalled: s, until: 2 * s},
		"mute from the start, route known": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 10 * s, usual: fast,
			checks: []time.Duration{400 * ms, 900 * ms, 1400 * ms}, stalled: 1500 * ms, until: 2 * s},
		"mute from the start, long prompt": {watch: attemptWatch{stream: true, mayEnd: true, predicted: s}, deadline: 10 * s, usual: fast,
			checks: []time.Duration{2 * s, 2500 * ms}, stalled: 3 * s, until: 4 * s},
		"stall that must not end the attempt": {watch: attemptWatch{stream: true}, deadline: 3 * s, usual: fast,
			events: []time.Duration{200 * ms}, checks: []time.Duration{600 * ms, 1100 * ms, 1600 * ms, 2100 * ms, 2600 * ms}, until: 3 * s},
		"mute from the start, may run once": {watch: attemptWatch{stream: true}, deadline: 2 * s, usual: fast,
			checks: []time.Duration{400 * ms, 900 * ms, 1400 * ms, 1900 * ms}, until: 2 * s},
		"first events that take more than half of the time": {watch: attemptWatch{stream: true, mayEnd: true}, deadline: 2 * s, usual: usualPauses{first: 1200 * ms},
			checks: []time.Duration{400 * ms, 900 * ms, 1400 * ms, 1900 * ms}, until: 2 * s},
		"answer that is no stream": {watch: attemptWatch{mayEnd: true}, deadline: 2 * s, usual: fast,
			checks: []time.Duration{400 * ms, 900 * ms, 1400 * ms, 1900 * ms}, until: 2 * s},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			w := test.watch
			w.deadline = start.Add(test.deadline)
			due := w.begin(start)
			var got, want []moment
			for _, at := range test.checks {
				want = append(want, moment{at, checkServer})
			}
			if test.stalled > 0 {
				want = append(want, moment{test.stalled, endStalled})
			}
			events := test.events
			for at := time.Duration(0); at <= test.until; at += time.Millisecond {
				now := start.Add(at)
				if len(events) > 0 && events[0] == at {
					events = events[1:]
					w.eventArrived(now)
					w.wait(now)
				}
				if now.Before(due) {
					continue
				}
				var action watchAction
				action, due = w.tick(now, func(time.Time) usualPauses { return test.usual })
				if action != keepWaiting {
					got = append(got, moment{at, action})
				}
				if action == endStalled {
					break
				}
			}
			is.Equal(got, want)
		})
	}
}

// Guards against a stream that is cut as the router itself was paused: its events are in the
// router's socket.
func TestAttemptWatchOfPausedRouter(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	usual := func(time.Time) usualPauses {
		return usualPauses{first: 100 * time.Millisecond, between: 100 * time.Millisecond}
	}
	w := attemptWatch{deadline: start.Add(20 * time.Second), stream: true, mayEnd: true}
	w.begin(start)
	w.eventArrived(start.Add(200 * time.Millisecond))
	w.wait(start.Add(200 * time.Millisecond))
	action, due := w.tick(start.Add(5*time.Second), usual)
	is.Equal(action, checkServer)
	for due.Before(start.Add(6400 * time.Millisecond)) { // the bound counts from the late tick
		action, due = w.tick(due, usual)
		is.True(action != endStalled)
	}
}

// Guards against a caller that reads slowly and lets its backend server look silent.
func TestAttemptWatchWhileCallerReads(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := attemptWatch{deadline: start.Add(20 * time.Second), stream: true, mayEnd: true}
	due := w.begin(start)
	w.eventArrived(start)
	for range 10 {
		var action watchAction
		action, due = w.tick(due, func(time.Time) usualPauses { return usualPauses{first: time.Millisecond, between: time.Millisecond} })
		is.Equal(action, keepWaiting)
	}
}

// Guards against a stalled stream that is ended, or no longer checked, after its call could not go on
// elsewhere, and against one that is never ended then.
func TestAttemptWatchKeepsStalledAttempt(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	usual := func(time.Time) usualPauses { return usualPauses{first: 100 * ms, between: 100 * ms} }
	// After 3.5 s too little time is left for another attempt.
	w := attemptWatch{deadline: start.Add(5 * time.Second), stream: true, mayEnd: true}
	due := w.begin(start)
	w.eventArrived(start)
	w.wait(start)
	var stalled, checks []time.Duration
	for due.Before(start.Add(5 * time.Second)) {
		at := due.Sub(start)
		var action watchAction
		action, due = w.tick(due, usual)
		if action == endStalled {
			stalled = append(stalled, at)
			action, due = w.keep(start.Add(at), usual)
		}
		if action == checkServer {
			checks = append(checks, at)
		}
	}
	is.Equal(stalled, []time.Duration{1500 * ms, 2000 * ms, 2500 * ms, 3000 * ms, 3500 * ms})
	is.Equal(checks, []time.Duration{400 * ms, 900 * ms, 1400 * ms, 1900 * ms, 2400 * ms, 2900 * ms, 3400 * ms, 3900 * ms, 4400 * ms, 4900 * ms})
}
