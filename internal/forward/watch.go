package forward

import (
	"time"

	"parsleypulley/internal/reach"
)

const (
	// silenceBeforeCheck is the time without progress after which it is checked whether the
	// machine of a backend server answers. It is longer than the pauses of a sound engine
	// under load, and a check costs one connection.
	silenceBeforeCheck = 400 * time.Millisecond
	// firstEventTolerance is the multiple of the predicted time to the first event after
	// which the check is made, if that is later.
	firstEventTolerance = 2
	// recheckInterval is the time between two checks for an attempt that stays silent. A
	// result is shared as long.
	recheckInterval = reach.ShareFor
	// stallFactor is the multiple of the time within which 999 of 1,000 events of the route
	// came lately after which a stream counts as stalled. The same multiple of the predicted
	// time is waited for the first event.
	stallFactor = 3
	// minStall is the shortest pause that counts as a stall. An engine that prefills a long
	// prompt between the tokens of a stream pauses for about a second.
	minStall = 1500 * time.Millisecond
	// minUsableShare is the part of the longest usual pause, as a multiple, that half of the
	// time left must exceed. With less, a usual pause would count as a stall.
	minUsableShare = 1.5
	// maxTickDelay is how late a Tick may be for the pause to count. A router that was paused
	// itself finds the events in its socket.
	maxTickDelay = 250 * time.Millisecond
)

// watchAction is what an attempt's watch asks for.
type watchAction uint8

const (
	// keepWaiting means that nothing is to be done.
	keepWaiting watchAction = iota
	// checkServer means that it has to be checked whether the backend server's machine
	// answers.
	checkServer
	// endStalled means that the attempt makes no progress, and is to be ended if the call can go
	// on elsewhere.
	endStalled
)

// usualPauses are the times within which 999 of 1,000 events came lately on a route; 0 if too
// few are known.
type usualPauses struct {
	// first is the time until the first event of an attempt, and between that between two
	// events.
	first, between time.Duration
}

// attemptWatch decides when an attempt is silent and when its stream is stalled. Progress is a
// response head or a whole event; bytes and comments are none. It performs no I/O and is not
// safe for concurrent use.
type attemptWatch struct {
	// deadline is that of the call, and predicted the time to the first event as predicted
	// by routing.
	deadline  time.Time
	predicted time.Duration
	// stream is set if the response is a stream.
	stream bool
	// mayEnd is set if the attempt may be ended when it stalls. The bound of a stall is an
	// estimate, and to end other attempts could only lose the call.
	mayEnd bool

	// started is set once the first event has come.
	started bool
	// sentAt is when the attempt was sent.
	sentAt time.Time
	// waitingSince is since when the router waits for progress; zero while it passes on an
	// event.
	waitingSince time.Time
	// longest is the longest pause between two events so far.
	longest time.Duration
	// checkedAt is when the latest check began.
	checkedAt time.Time
	// due is when the next Tick is due.
	due time.Time
	// keepUntil is the time before which the attempt is not ended, as the call could not go on
	// elsewhere when it was to be ended last.
	keepUntil time.Time
}

// begin records that the attempt is sent, and returns when Tick is due.
func (w *attemptWatch) begin(now time.Time) time.Time {
	w.sentAt, w.waitingSince = now, now
	w.due = now.Add(silenceBeforeCheck)
	return w.due
}

// wait records that the router waits for progress from now on.
func (w *attemptWatch) wait(now time.Time) { w.waitingSince = now }

// eventArrived records an event and returns how long the router has waited for it: since the
// attempt was sent for the first one, since it began to wait for the others.
func (w *attemptWatch) eventArrived(now time.Time) (pause time.Duration, first bool) {
	if first = !w.started; first {
		pause = now.Sub(w.sentAt)
	} else {
		pause = now.Sub(w.waitingSince)
		w.longest = max(w.longest, pause)
	}
	w.started, w.waitingSince = true, time.Time{}
	return pause, first
}

// tick returns what is to be done now, and when to call it next. usualPauses is called only if
// the attempt is silent.
func (w *attemptWatch) tick(now time.Time, usualPauses func(now time.Time) usualPauses) (watchAction, time.Time) {
	late := now.Sub(w.due) > maxTickDelay
	switch {
	case w.waitingSince.IsZero():
		w.due = now.Add(silenceBeforeCheck)
		return keepWaiting, w.due
	case now.Sub(w.waitingSince) < silenceBeforeCheck:
		w.due = w.waitingSince.Add(silenceBeforeCheck)
		return keepWaiting, w.due
	}
	usual := usualPauses(now)
	if stalledAt, ok := w.stalledAt(usual); ok && !late && !now.Before(stalledAt) {
		return endStalled, time.Time{}
	}
	action := keepWaiting
	if !now.Before(w.checkDue()) {
		action, w.checkedAt = checkServer, now
	}
	if late {
		w.waitingSince = now
	}
	// An event may come before the first check is due, after which the next is due sooner.
	w.due = now.Add(silenceBeforeCheck)
	if next := w.checkDue(); next.Before(w.due) {
		w.due = next
	}
	if stalledAt, ok := w.stalledAt(usual); ok && stalledAt.Before(w.due) {
		w.due = stalledAt
	}
	return action, w.due
}

// keep records that a stalled attempt goes on, as the call can't go on elsewhere now. It returns
// what tick would.
func (w *attemptWatch) keep(now time.Time, usualPauses func(now time.Time) usualPauses) (watchAction, time.Time) {
	w.keepUntil, w.due = now.Add(recheckInterval), now
	return w.tick(now, usualPauses)
}

// checked records the end of a check that began at a given time, perhaps for another attempt, and
// returns when to call tick next. The next check counts from that beginning: the machine may have
// gone dark right after it.
func (w *attemptWatch) checked(now, began time.Time) time.Time {
	w.checkedAt = began
	if w.due.Before(now) {
		w.due = now // the check took until now, so the next tick is not late
	}
	if next := began.Add(recheckInterval); next.Before(w.due) && next.After(now) {
		w.due = next
	}
	return w.due
}

// checkDue returns when the next check is due.
func (w *attemptWatch) checkDue() time.Time {
	due := w.waitingSince.Add(w.silence())
	if next := w.checkedAt.Add(recheckInterval); !w.checkedAt.IsZero() && next.After(due) {
		return next
	}
	return due
}

// silence returns how long the attempt may make no progress before a check.
func (w *attemptWatch) silence() time.Duration {
	if w.started {
		return silenceBeforeCheck
	}
	return max(silenceBeforeCheck, firstEventTolerance*w.predicted)
}

// stalledAt returns when the attempt is to be ended if it makes no progress until then. ok is false
// if it is not.
func (w *attemptWatch) stalledAt(usual usualPauses) (at time.Time, ok bool) {
	bound, ok := w.stallBound(usual)
	if at = w.waitingSince.Add(bound); at.Before(w.keepUntil) {
		at = w.keepUntil
		// Later than at the bound, the time left may be too short for another attempt.
		ok = ok && w.deadline.Sub(at) >= max(usual.first, minStall)
	}
	return at, ok
}

// stallBound returns the time without progress after which the stream of a reachable backend
// server is stalled. ok is false if there is no such time. A shorter one than
// silenceBeforeCheck counts as that.
func (w *attemptWatch) stallBound(usual usualPauses) (bound time.Duration, ok bool) {
	half := w.deadline.Sub(w.waitingSince) / 2
	switch {
	case !w.stream || !w.mayEnd:
		return 0, false
	case w.started:
		longest := max(usual.between, w.longest)
		if usual.between == 0 || float64(half) < minUsableShare*float64(longest) {
			return 0, false
		}
		return min(half, max(minStall, stallFactor*longest)), true
	case float64(half) < minUsableShare*float64(usual.first):
		return 0, false
	case usual.first > 0:
		half = min(half, max(minStall, stallFactor*usual.first))
	}
	return max(half, stallFactor*w.predicted), true
}
