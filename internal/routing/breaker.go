package routing

import "time"

const (
	// breakerFailures is the number of consecutive failures that opens a
	// breaker.
	breakerFailures = 3
	// successCredit is the number of failures that a success offsets. With 1/2, a breaker
	// opens at a backend server that fails more than a third of its requests.
	successCredit = 0.5
	// breakerMinDelay and breakerMaxDelay bound how long a breaker stays open
	// before it allows a probe.
	breakerMinDelay = time.Second
	breakerMaxDelay = 30 * time.Second
	// breakerProbeTimeout is the time after which a probe without an answer
	// counts as lost.
	breakerProbeTimeout = 10 * time.Second
)

// breaker is the circuit breaker of a backend server: after breakerFailures
// consecutive failures it rejects requests. After a delay, which doubles with
// each further failure, it lets one request through as a probe.
type breaker struct {
	// failures is the number of consecutive failures.
	failures int
	// excess grows with each failure and falls by successCredit with each success, so that it
	// also reaches breakerFailures at a backend server that fails part of its requests.
	excess float64
	// delay is how long the breaker last opened for; 0 while it is closed.
	delay time.Duration
	// openUntil is when the next probe is allowed.
	openUntil time.Time
	// probeAt is when the outstanding probe was sent; zero if there is none.
	probeAt time.Time
}

// open reports whether the breaker rejects a request.
func (b *breaker) open(now time.Time) bool {
	if b.delay == 0 {
		return false
	}
	if now.Before(b.openUntil) {
		return true
	}
	return !b.probeAt.IsZero() && now.Sub(b.probeAt) < breakerProbeTimeout
}

// requestSent records that a request was sent. If the breaker is not closed,
// this request is the probe.
func (b *breaker) requestSent(now time.Time) {
	if b.delay > 0 {
		b.probeAt = now
	}
}

// succeeded closes the breaker.
func (b *breaker) succeeded() { *b = breaker{excess: max(0, b.excess-successCredit)} }

// failed counts a failure. It opens the breaker after breakerFailures
// consecutive failures.
func (b *breaker) failed(now time.Time) {
	b.failures++
	b.excess = min(b.excess+1, breakerFailures)
	if b.failures < breakerFailures && b.excess < breakerFailures {
		return
	}
	b.delay = min(max(2*b.delay, breakerMinDelay), breakerMaxDelay)
	b.openUntil = now.Add(b.delay)
	b.probeAt = time.Time{}
}

// currentBreaker is a circuit breaker that ignores the results of requests that were sent
// before it opened. Otherwise the late answer to one of them would close it, and late failures
// would extend its delay, or open it again after the backend server has recovered.
type currentBreaker struct {
	breaker
	// sent is the number of the last request. Requests are numbered from 1.
	sent uint64
	// probe is the number of the last probe.
	probe uint64
	// countedFrom is the lowest number of a request whose result counts.
	countedFrom uint64
}

// requestSent records that a request was sent, and returns its number.
func (b *currentBreaker) requestSent(now time.Time) uint64 {
	b.sent++
	b.breaker.requestSent(now)
	if b.delay > 0 {
		b.probe = b.sent
	}
	return b.sent
}

// succeeded records that the request with the given number has succeeded, and returns the
// number under which its further results count. The success of a probe closes the breaker,
// even if a later probe was sent: otherwise a backend server whose answers take longer than
// breakerProbeTimeout would never be used again.
func (b *currentBreaker) succeeded(request uint64) uint64 {
	if request < b.countedFrom {
		return request
	}
	wasOpen := b.delay > 0
	b.breaker.succeeded()
	if !wasOpen {
		return request
	}
	// Earlier probes may still fail, but were sent before the backend server was known to
	// have recovered. The answer of this one may still break off.
	b.sent++
	b.countedFrom = b.sent
	return b.sent
}

// failed counts the failure of the request with the given number.
func (b *currentBreaker) failed(now time.Time, request uint64) {
	if request < b.countedFrom {
		return
	}
	wasOpen, probeAt := b.delay > 0, b.probeAt
	b.breaker.failed(now)
	switch {
	case !wasOpen && b.delay > 0:
		b.countedFrom = b.sent + 1
	case wasOpen:
		b.countedFrom = request + 1 // later probes still count
		if request != b.probe {
			b.probeAt = probeAt
		}
	}
}

// endedWithoutResult records that the request with the given number has ended in a way that
// says nothing about the backend server, such as a cancellation by the caller. If it was the
// outstanding probe, another one is allowed.
func (b *currentBreaker) endedWithoutResult(request uint64) {
	if request == b.probe {
		b.probeAt = time.Time{}
	}
}
