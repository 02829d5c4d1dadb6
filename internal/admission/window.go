package admission

import "time"

const (
	// adaptInterval is how often the window is adapted and the rate measured.
	adaptInterval = 250 * time.Millisecond
	// windowInitial, windowMin and windowMax are the initial, the least and the
	// largest window.pendingLimit for each backend server, in tokens.
	windowInitial = 8192
	windowMin     = 1024
	windowMax     = 65536
	// windowIncrease is added to the window for each backend server when delays
	// are short and requests wait in the queue, in tokens.
	windowIncrease = 512
	// windowDecreaseFactor is the factor by which the window is multiplied when
	// delays are long.
	windowDecreaseFactor = 0.85
	// rateWeight is the weight of one interval in the moving average of
	// window.rate.
	rateWeight = 0.3
	// demotionRunningFactor determines how far demotion lowers the limit on
	// running requests: the limit is divided by 1+demotionRunningFactor at the
	// first step of demotion, and by 1+n*demotionRunningFactor at step n.
	demotionRunningFactor = 0.5
	// occupancyTarget is the occupancy of the backend servers that the limit on
	// running requests aims for.
	occupancyTarget = 0.85
	// limitDecreaseFactor is the factor by which the limit on running requests is
	// multiplied at an occupancy above occupancyTarget.
	limitDecreaseFactor = 0.9
	// limitIncrease is added to the limit on running requests for each backend
	// server at an occupancy of at most occupancyTarget, if at least the part
	// minLimitUse of the limit is used.
	limitIncrease = 0.5
	// minLimitUse is the least used part of a limit at which the limit grows.
	minLimitUse = 0.75
	// heavyDemotion is the demotion from which requests run only in spare
	// capacity.
	heavyDemotion = 2
	// spareTarget is the occupancy up to which heavily demoted requests may
	// fill the backend servers: the part of all slots or of the prefill time.
	spareTarget = 0.25
	// minSpareFactor is the least factor by which one report of the occupancy
	// multiplies the limit on heavily demoted requests.
	minSpareFactor = 0.5
	// spareIncrease is added to the limit on heavily demoted requests for each
	// backend server at an occupancy of at most spareTarget.
	spareIncrease = 0.1
	// spareMin is the least value of that limit for each backend server.
	spareMin = 0.2
	// firstTokenWeight is the weight of one first token in the moving average
	// of the time to first token.
	firstTokenWeight = 0.1
	// workTimeWeight is the weight of one first token in the moving averages of
	// the work time.
	workTimeWeight = 0.02
	// queueFactor is the mean queueing delay allowed beyond the target, as a
	// multiple of the residual time of the work in service. An M/G/1 queue with
	// a utilization of two thirds has such a delay.
	queueFactor = 2
)

// window limits the work and the running requests at the backend servers of a
// pool, and measures how much work they sustain.
type window struct {
	// servers is the number of backend servers.
	servers int
	// maxRunning is how many requests the backend servers run concurrently in
	// total; 0 for no limit.
	maxRunning int
	// runningLimit is the limit on the requests that this router runs there.
	// Other routers run requests there too.
	runningLimit float64
	// pendingLimit is the limit on pending, in tokens: the window of the package
	// comment.
	pendingLimit float64
	// pending is the granted work that has no first token yet, in tokens.
	pending float64
	// pendingUndemoted is the part of pending that is not demoted, which engines
	// run first.
	pendingUndemoted float64
	// running counts the granted requests that have not ended.
	running int
	// runningHeavy counts those of them with a demotion of at least
	// heavyDemotion.
	runningHeavy int
	// spareLimit is the limit on runningHeavy.
	spareLimit float64

	// rate is the rate at which work gets its first token while requests wait
	// in the queue, in tokens a second; 0 until measured.
	rate float64
	// meanTimeToFirst is the moving average of the time from the grant to the
	// first token.
	meanTimeToFirst time.Duration
	// meanWorkTime is the moving average of the work time, in seconds: the time
	// from the grant to the first token without the queueing delay.
	meanWorkTime float64
	// meanSquaredWorkTime is the moving average of the square of the work time.
	meanSquaredWorkTime float64

	// intervalStart is the start of the current interval.
	intervalStart time.Time
	// work is the work that got its first token in the interval, in tokens.
	work float64
	// delays is the sum of the queueing delays of undemoted requests in the
	// interval.
	delays time.Duration
	// samples is the number of delays in the sum.
	samples int
	// contended is set if requests waited in the queue during the interval.
	contended bool
}

func newWindow(now time.Time) window { return window{intervalStart: now} }

// resize sets the number of backend servers. The window for each backend server
// stays the same.
func (w *window) resize(servers, maxRunning int) {
	if w.servers == 0 {
		w.pendingLimit = windowInitial * float64(servers)
	} else {
		w.pendingLimit *= float64(servers) / float64(w.servers)
		w.rate *= float64(servers) / float64(w.servers)
	}
	if w.maxRunning == 0 {
		w.runningLimit = float64(maxRunning)
		w.spareLimit = float64(maxRunning)
	}
	w.servers, w.maxRunning = servers, maxRunning
	w.runningLimit = min(w.runningLimit, float64(maxRunning))
}

// admits reports whether a request with the given work fits. Pending demoted
// work does not count against an undemoted request, since engines run it later.
// If no work is pending that counts, a request of any size fits, unless too many
// requests run.
func (w *window) admits(tokens float64, demotion int32) bool {
	runningLimit, before := w.runningLimit, w.pendingUndemoted
	if demotion > 0 {
		runningLimit /= 1 + demotionRunningFactor*float64(demotion)
		before = w.pending
	}
	if w.maxRunning > 0 && demotion >= heavyDemotion && float64(w.runningHeavy) >= w.spareLimit {
		return false
	}
	if w.maxRunning > 0 && float64(w.running) >= runningLimit {
		return false
	}
	return before == 0 || before+tokens <= w.pendingLimit
}

// setOccupancy adapts the limit on running requests to the occupancy of the
// backend servers by the requests of all routers. The limits of independent
// routers converge to equal values, because each router decreases its limit by
// a factor and increases it by a constant.
func (w *window) setOccupancy(occupancy float64) {
	switch {
	case occupancy > occupancyTarget:
		w.runningLimit *= limitDecreaseFactor
	case float64(w.running) >= minLimitUse*w.runningLimit:
		w.runningLimit += limitIncrease * float64(w.servers)
	}
	w.runningLimit = min(max(w.runningLimit, float64(w.servers)), float64(w.maxRunning))
	w.adaptSpare(occupancy)
}

// adaptSpare decreases the limit on heavily demoted requests while the
// occupancy is above spareTarget, and increases it otherwise.
func (w *window) adaptSpare(occupancy float64) {
	switch {
	case occupancy > spareTarget:
		w.spareLimit = min(w.spareLimit, float64(w.runningHeavy)) * max(minSpareFactor, spareTarget/occupancy)
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

// removePending removes work that has its first token or has ended.
func (w *window) removePending(t *trackedRequest) {
	w.pending = max(0, w.pending-float64(t.Tokens))
	if t.demotion == 0 {
		w.pendingUndemoted = max(0, w.pendingUndemoted-float64(t.Tokens))
	}
}

// started records a first token and its queueing delay.
func (w *window) started(now time.Time, t *trackedRequest, delay, target time.Duration, contended bool) {
	w.removePending(t)
	w.work += float64(t.Tokens)
	if t.demotion == 0 {
		w.delays += max(0, delay)
		w.samples++
	}
	w.contended = w.contended || contended
	took := now.Sub(t.grantedAt)
	if w.meanTimeToFirst == 0 {
		w.meanTimeToFirst = took
	}
	w.meanTimeToFirst += time.Duration(firstTokenWeight * float64(took-w.meanTimeToFirst))
	work := max(0, took-max(0, delay)).Seconds()
	w.meanWorkTime += workTimeWeight * (work - w.meanWorkTime)
	w.meanSquaredWorkTime += workTimeWeight * (work*work - w.meanSquaredWorkTime)
	if now.Sub(w.intervalStart) >= adaptInterval {
		w.adapt(now, target)
	}
}

// adapt ends an interval. Long delays shrink the window; if delays are short
// and requests wait in the queue, the window grows.
func (w *window) adapt(now time.Time, target time.Duration) {
	mean := w.delays / time.Duration(max(1, w.samples))
	servers := float64(w.servers)
	switch {
	case mean > target+queueFactor*w.residual():
		w.pendingLimit *= windowDecreaseFactor
	case w.contended:
		w.pendingLimit += windowIncrease * servers
	}
	w.pendingLimit = min(max(w.pendingLimit, windowMin*servers), windowMax*servers)
	if w.contended {
		rate := w.work / now.Sub(w.intervalStart).Seconds()
		if w.rate == 0 {
			w.rate = rate
		}
		w.rate += rateWeight * (rate - w.rate)
	}
	w.intervalStart, w.work, w.delays, w.samples, w.contended = now, 0, 0, 0, false
}

// residual returns the mean residual time of the work in service when a request
// arrives.
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
