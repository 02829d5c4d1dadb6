package admission

import "time"

const (
	// adaptInterval is how often the window is adapted and the rate measured.
	adaptInterval = 250 * time.Millisecond
	// windowInitial, windowMin and windowMax are the work without first token
	// allowed for each backend server, in tokens.
	windowInitial = 8192
	windowMin     = 1024
	windowMax     = 65536
	// windowIncrease is added for each backend server when delays are short.
	windowIncrease = 512
	// windowDecrease is what remains of the window when delays are long.
	windowDecrease = 0.85
	// averageWeight is the weight of one interval in a moving average.
	averageWeight = 0.3
	// demotionRunningFactor is by how much the room for running requests shrinks with
	// each step of demotion: to 1/(1+demotionRunningFactor) at the first.
	demotionRunningFactor = 0.5
	// occupancyTarget is the part of all slots that may be taken.
	occupancyTarget = 0.85
	// limitDecrease is what remains of the limit when more is taken, limitStep what
	// is added for each backend server when less is, and limitUsed the part of
	// the limit that must be used for that.
	limitDecrease = 0.9
	limitIncrease = 0.5
	minLimitUse   = 0.75
	// heavyDemotion is the demotion from which requests run only in spare room.
	heavyDemotion = 2
	// spareTarget is the part of all slots, or of the prefill time, up to which
	// they may fill the backend servers.
	spareTarget = 0.25
	// spareMaxDecrease bounds what one report takes from the spare room, spareStep is
	// added to it for each backend server, and spareMin is left for each.
	spareMaxDecrease = 0.5
	spareIncrease    = 0.1
	spareMin         = 0.2
	// firstTokenWeight is the weight of one first token in a moving average.
	firstTokenWeight = 0.1
	// workTimeWeight is its weight in the averages of the work's size.
	workTimeWeight = 0.02
	// queueFactor is the mean queueing delay allowed, in residual times of the
	// work in service: that of a queue at two thirds of its capacity.
	queueFactor = 2
)

// window bounds the work that waits at the backend servers, and measures what
// they sustain.
type window struct {
	// maxRunning is what the backend servers run at once in all, and limit the
	// bound on what this router runs there beside the others.
	servers, maxRunning int
	runningLimit        float64
	// tokens is the bound on work without first token.
	tokens float64
	// pending is the granted work without first token, in tokens; pendingUndemoted is the part
	// of it that was not demoted, which engines run first.
	pending, pendingUndemoted float64
	// running counts granted requests, and runningHeavy those of them with a demotion
	// of heavyDemotion or more; spare bounds the latter.
	running, runningHeavy int
	spareLimit            float64

	// rate is the work that gets its first token, in tokens a second while
	// requests wait here; 0 until measured.
	rate float64
	// meanTimeToFirst is the moving average of the time from grant to meanTimeToFirst token.
	meanTimeToFirst time.Duration
	// meanWorkTime and meanSquaredWorkTime are moving averages of the time of the work until the
	// first token, in seconds, and of its meanSquaredWorkTime.
	meanWorkTime, meanSquaredWorkTime float64

	since time.Time
	work  float64
	// delays sums the queueing delays of work that was not demoted.
	delays    time.Duration
	samples   int
	contended bool
}

func newWindow(now time.Time) window { return window{since: now} }

// resize takes a new number of backend servers. The window for each is kept.
func (w *window) resize(servers, maxRunning int) {
	if w.servers == 0 {
		w.tokens = windowInitial * float64(servers)
	} else {
		w.tokens *= float64(servers) / float64(w.servers)
		w.rate *= float64(servers) / float64(w.servers)
	}
	if w.maxRunning == 0 {
		w.runningLimit = float64(maxRunning)
		w.spareLimit = float64(maxRunning)
	}
	w.servers, w.maxRunning = servers, maxRunning
	w.runningLimit = min(w.runningLimit, float64(maxRunning))
}

// admits tells whether work of the given size fits. Demoted work does not
// stand in the way of work that is not.
func (w *window) admits(tokens float64, demotion int32) bool {
	room, before := w.runningLimit, w.pendingUndemoted
	if demotion > 0 {
		room /= 1 + demotionRunningFactor*float64(demotion)
		before = w.pending
	}
	if w.maxRunning > 0 && demotion >= heavyDemotion && float64(w.runningHeavy) >= w.spareLimit {
		return false
	}
	if w.maxRunning > 0 && float64(w.running) >= room {
		return false
	}
	return before == 0 || before+tokens <= w.tokens
}

// setOccupancy takes the part of the running requests' slots that is taken at all
// backend servers, by all routers. Routers that share nothing come to even
// limits by cutting in proportion and widening by equal steps.
func (w *window) setOccupancy(part float64) {
	switch {
	case part > occupancyTarget:
		w.runningLimit *= limitDecrease
	case float64(w.running) >= minLimitUse*w.runningLimit:
		w.runningLimit += limitIncrease * float64(w.servers)
	}
	w.runningLimit = min(max(w.runningLimit, float64(w.servers)), float64(w.maxRunning))
	w.adaptSpare(part)
}

// adaptSpare cuts the room of heavily demoted requests while more than
// spareTarget is taken, and widens it while less is.
func (w *window) adaptSpare(part float64) {
	switch {
	case part > spareTarget:
		w.spareLimit = min(w.spareLimit, float64(w.runningHeavy)) * max(spareMaxDecrease, spareTarget/part)
	case float64(w.runningHeavy) >= minLimitUse*w.spareLimit:
		w.spareLimit += spareIncrease * float64(w.servers)
	}
	w.spareLimit = min(max(w.spareLimit, spareMin*float64(w.servers)), float64(w.maxRunning))
}

func (w *window) granted(t *trackedRequest) {
	w.pending += float64(t.Tokens)
	if t.demotion == 0 {
		w.pendingUndemoted += float64(t.Tokens)
	}
	w.running++
	if t.demotion >= heavyDemotion {
		w.runningHeavy++
	}
}

// removePending takes out work that has its first token or has ended.
func (w *window) removePending(t *trackedRequest) {
	w.pending = max(0, w.pending-float64(t.Tokens))
	if t.demotion == 0 {
		w.pendingUndemoted = max(0, w.pendingUndemoted-float64(t.Tokens))
	}
}

// started takes a first token and its queueing delay.
func (w *window) started(now time.Time, t *trackedRequest, delay, target time.Duration, contended bool) {
	w.removePending(t)
	w.work += float64(t.Tokens)
	if t.demotion == 0 {
		w.delays += max(0, delay)
		w.samples++
	}
	w.contended = w.contended || contended
	took := now.Sub(t.granted)
	if w.meanTimeToFirst == 0 {
		w.meanTimeToFirst = took
	}
	w.meanTimeToFirst += time.Duration(firstTokenWeight * float64(took-w.meanTimeToFirst))
	work := max(0, took-max(0, delay)).Seconds()
	w.meanWorkTime += workTimeWeight * (work - w.meanWorkTime)
	w.meanSquaredWorkTime += workTimeWeight * (work*work - w.meanSquaredWorkTime)
	if now.Sub(w.since) >= adaptInterval {
		w.adapt(now, target)
	}
}

// adapt ends an interval: long delays shrink the window, short ones widen it
// while requests wait for room.
func (w *window) adapt(now time.Time, target time.Duration) {
	mean := w.delays / time.Duration(max(1, w.samples))
	servers := float64(w.servers)
	switch {
	case mean > target+queueFactor*w.residual():
		w.tokens *= windowDecrease
	case w.contended:
		w.tokens += windowIncrease * servers
	}
	w.tokens = min(max(w.tokens, windowMin*servers), windowMax*servers)
	if w.contended {
		rate := w.work / now.Sub(w.since).Seconds()
		if w.rate == 0 {
			w.rate = rate
		}
		w.rate += averageWeight * (rate - w.rate)
	}
	w.since, w.work, w.delays, w.samples, w.contended = now, 0, 0, 0, false
}

// residual returns the mean rest of the work that an arrival finds in service.
func (w *window) residual() time.Duration {
	if w.meanWorkTime <= 0 {
		return 0
	}
	return time.Duration(w.meanSquaredWorkTime / (2 * w.meanWorkTime) * float64(time.Second))
}

func (w *window) finished(now time.Time, t *trackedRequest) {
	w.running--
	if t.demotion >= heavyDemotion {
		w.runningHeavy--
	}
	if t.state == granted {
		w.removePending(t)
	}
}
