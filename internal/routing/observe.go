package routing

import (
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

const (
	// minHitFraction is the part of a context that must have been cached for a
	// request to count as a cache hit.
	minHitFraction = 0.9
	// durationWeight is the weight of one request in a pool's mean duration of
	// requests.
	durationWeight = 0.02
	// meanWorkWeight is the weight of one request in the mean work of a pool.
	meanWorkWeight = 0.1
	// speedRatioWeight is the weight of one observation in a pool's mean speed
	// ratio.
	speedRatioWeight = 0.02
	// firstTokenOverhead is the part of the time to first token that does not
	// depend on the prefill work.
	firstTokenOverhead = 30 * time.Millisecond
)

// attemptState is the progress of an attempt.
type attemptState uint8

const (
	attemptChosen attemptState = iota
	attemptStarted
	attemptAnswering
	attemptEnded
)

// Started records that the attempt has been sent.
func (r *Router) Started(now time.Time, d *Decision) {
	if d.state != attemptChosen {
		return
	}
	d.state = attemptStarted
	d.started = now
	s := d.server
	s.running++
	s.pending.add(d.prefillTokens())
	s.recordSent(now, d.prefillTokens())
	if s.meanWork != nil {
		s.meanWork.observe(d.prefillTokens())
	}
	s.waiting = append(s.waiting, d)
	d.breakerRequest = s.breaker.requestSent(now)
	s.lastResort.requestSent(now)
	s.notices.sent(now, d)
	r.permits.Take(now, s.key, d.urgency)
	if len(d.levels) == 0 {
		return
	}
	r.hot.add(now, d.context().Key, d.Prefill)
	r.recordHoldings(now, d)
}

// FirstToken records that the first token of the attempt's answer has arrived.
func (r *Router) FirstToken(now time.Time, d *Decision) {
	if d.state != attemptStarted {
		return
	}
	d.state = attemptAnswering
	d.timeToFirstToken = now.Sub(d.started)
	if d.Backend.Address != "" && len(d.levels) > 0 {
		// The engine does not report how many tokens it had cached. The
		// question was certainly not cached, so only its length counts.
		// The rate is that of the typical engine.
		took := time.Duration(float64(d.timeToFirstToken) * d.server.relativeSpeed(now, d.pool))
		d.pool.rate.observe(d.questionTokens(), took)
	}
	r.removeFromBacklog(d)
	d.succeeded()
	d.server.notices.ended(d, true)
	r.recordHoldings(now, d)
}

// EventGap records a short time between two events of the attempt's answer; see GapSampler.
func (r *Router) EventGap(d *Decision, gap time.Duration) {
	if gap > 0 {
		r.speedSamples.add(d.server.key, gap)
	}
}

// Finished records that the attempt's answer is complete. For a plain service,
// end may be nil.
func (r *Router) Finished(now time.Time, d *Decision, end *wire.End) {
	if d.state == attemptStarted {
		r.FirstToken(now, d)
	}
	if !r.endAttempt(d) {
		return
	}
	d.succeeded()
	duration := now.Sub(d.started).Seconds()
	d.pool.meanDuration += durationWeight * (duration - d.pool.meanDuration)
	if !d.streamed {
		d.pool.meanUnstreamed += durationWeight * (duration - d.pool.meanUnstreamed)
	}
	if end == nil {
		return
	}
	if end.Load != nil {
		r.applyLoad(now, d.server, end.Load)
	}
	if len(d.levels) == 0 {
		return
	}
	hit := float64(end.CachedTokens) >= minHitFraction*float64(d.context().Tokens)
	r.hitEstimator.observe(d.evidence, hit)
	if end.CachedTokens <= d.PromptTokens {
		d.pool.observePrefill(now, d, d.PromptTokens-end.CachedTokens)
	}
	r.recordHoldings(now, d)
}

// Failed records that the attempt ended with an error of the given kind. Kinds
// that say nothing about the backend server, such as Cancelled, only end the
// attempt.
func (r *Router) Failed(now time.Time, d *Decision, kind fault.Kind) {
	if !r.endAttempt(d) {
		return
	}
	if d.Backend.Address != "" {
		d.server.pauseAfter(now, kind)
	}
	switch kind {
	case fault.BackendRefused, fault.BackendCrashed, fault.BackendTimeout,
		fault.StreamBroken, fault.LinkDown, fault.StaleIncarnation:
		d.server.breaker.failed(now, d.breakerRequest)
		d.server.lastResort.failed(now)
		r.removeFromIndex(d)
	case fault.StaleWeights:
		d.model.pausedUntil = now.Add(refusalPause)
		d.server.breaker.endedWithoutResult(d.breakerRequest)
	case fault.Draining, fault.Shutdown:
		d.server.pausedUntil = now.Add(refusalPause)
		d.server.breaker.endedWithoutResult(d.breakerRequest)
	default:
		d.server.breaker.endedWithoutResult(d.breakerRequest)
		d.server.lastResort.probeAt = time.Time{}
	}
}

// succeeded records at the breakers that the answer has begun or is complete.
func (d *Decision) succeeded() {
	d.breakerRequest = d.server.breaker.succeeded(d.breakerRequest)
	d.server.lastResort.succeeded()
}

// LoadReported records a load report of a backend server.
func (r *Router) LoadReported(now time.Time, backend string, load *wire.Load) {
	if s := r.servers[backend]; s != nil && load != nil {
		r.applyLoad(now, s, load)
	}
}

// ProbeReplied records the reply to a probe. A reply of another engine
// incarnation is ignored.
func (r *Router) ProbeReplied(now time.Time, backend string, reply *wire.ProbeReply) {
	s := r.servers[backend]
	if s == nil || reply.EngineIncarnation != s.backend.EngineIncarnation {
		return
	}
	s.pausedUntil = time.Time{}
	if reply.Draining {
		s.pausedUntil = now.Add(refusalPause)
	}
	if reply.Load != nil {
		r.applyLoad(now, s, reply.Load)
	}
}

func (r *Router) applyLoad(now time.Time, s *server, load *wire.Load) {
	if s.applyReport(now, load) {
		if s.learntSpeed > 0 {
			r.unevenUntil = now.Add(maxReportAge)
		}
		r.requestShare.observe(s.running, s.report.requests)
	}
}

// RequestShare returns the estimated part of all requests that passes through this
// router.
func (r *Router) RequestShare() float64 { return r.requestShare.value() }

// prefillTokens returns the predicted prefill work of the attempt, in tokens.
func (d *Decision) prefillTokens() float64 { return float64(d.PromptTokens - d.CachedTokens) }

// questionTokens returns the length in tokens of the question: the last level
// without those before it, which no other request shares.
func (d *Decision) questionTokens() uint32 {
	n := len(d.levels)
	if n < 2 {
		return d.PromptTokens
	}
	return d.levels[n-1].Tokens - d.levels[n-2].Tokens
}

// context returns the deepest level that other requests may share.
func (d *Decision) context() *wire.PrefixLevel { return d.levels[max(0, len(d.levels)-2)] }

// recordHoldings records that the backend server now holds the prompt. The index ignores
// incarnations and weights that are gone.
func (r *Router) recordHoldings(now time.Time, d *Decision) {
	for _, level := range d.levels {
		r.index.Stored(now, d.scope, level.Key, d.model.engineID)
	}
}

// removeFromIndex removes the record that the backend server holds the prompt,
// since it may no longer hold it.
func (r *Router) removeFromIndex(d *Decision) {
	for _, level := range d.levels {
		r.index.Evicted(d.scope, level.Key, d.model.engineID)
	}
}

// removeFromBacklog removes an attempt from the predicted backlog of its
// backend server.
func (r *Router) removeFromBacklog(d *Decision) {
	d.server.pending.remove(d.prefillTokens())
	d.server.stopWaiting(d)
}

// endAttempt ends an attempt. It returns false if the attempt had ended already
// or was never started.
func (r *Router) endAttempt(d *Decision) bool {
	switch d.state {
	case attemptStarted:
		r.removeFromBacklog(d)
	case attemptAnswering:
	default:
		d.state = attemptEnded
		return false
	}
	d.state = attemptEnded
	d.server.notices.ended(d, false)
	d.server.running--
	return true
}

// observePrefill records the time to first token of an attempt that computed the
// given number of prompt tokens.
func (p *pool) observePrefill(now time.Time, d *Decision, recomputed uint32) {
	s := d.server
	p.rate.observe(recomputed, d.timeToFirstToken)
	work := seconds(float64(recomputed) / float64(p.rate))
	s.speed.observe(now, d.timeToFirstToken, d.Wait+work+firstTokenOverhead)
	if s.speed.bestRatio > 0 {
		p.meanSpeedRatio += speedRatioWeight * (s.speed.bestRatio - p.meanSpeedRatio)
	}
}
