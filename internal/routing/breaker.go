package routing

import "time"

const (
	// breakerFailures is the number of failures in a row that opens a breaker.
	breakerFailures = 3
	// breakerMinDelay and breakerMax bound how long it stays open before a probe.
	breakerMinDelay = time.Second
	breakerMaxDelay = 30 * time.Second
	// breakerProbeTimeout is when a probe that was never answered counts as lost.
	breakerProbeTimeout = 10 * time.Second
)

// breaker keeps work from a backend server that fails fast. After a delay that
// doubles with each failed probe it lets one request through.
type breaker struct {
	failures  int
	delay     time.Duration
	openUntil time.Time
	probeAt   time.Time
}

// open tells whether the breaker refuses a request.
func (b *breaker) open(now time.Time) bool {
	if b.delay == 0 {
		return false
	}
	if now.Before(b.openUntil) {
		return true
	}
	return !b.probeAt.IsZero() && now.Sub(b.probeAt) < breakerProbeTimeout
}

// requestSent notes a request; while half open it is the probe.
func (b *breaker) requestSent(now time.Time) {
	if b.delay > 0 {
		b.probeAt = now
	}
}

// succeeded closes the breaker.
func (b *breaker) succeeded() { *b = breaker{} }

// failed counts a failure and opens the breaker when there were too many.
func (b *breaker) failed(now time.Time) {
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	b.delay = min(max(2*b.delay, breakerMinDelay), breakerMaxDelay)
	b.openUntil = now.Add(b.delay)
	b.probeAt = time.Time{}
}
