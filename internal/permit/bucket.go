package permit

import "time"

// burstTime is the time in which a bucket fills up.
const burstTime = 250 * time.Millisecond

// Bucket counts what a limit in requests a second allows: a token for each request. In any
// time it hands out at most what the limit allows for it, one token, and what the limit allows for
// burstTime. It is not safe for concurrent use.
type Bucket struct {
	perSecond float64
	tokens    float64
	updated   time.Time
}

// SetLimit sets the limit. A bucket without a limit before is empty.
func (b *Bucket) SetLimit(now time.Time, perSecond float64) {
	b.refill(now)
	b.perSecond = perSecond
	b.tokens = min(b.tokens, b.capacity())
}

// TryTake takes a token, and reports whether there was one.
func (b *Bucket) TryTake(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return adds tokens that were taken and not used.
func (b *Bucket) Return(now time.Time, tokens int) {
	b.refill(now)
	b.tokens = min(b.tokens+float64(tokens), b.capacity())
}

// Wait returns the time until there is a token.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	return time.Duration(max(0, 1-b.tokens) / b.perSecond * float64(time.Second))
}

func (b *Bucket) capacity() float64 { return 1 + b.perSecond*burstTime.Seconds() }

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 && !b.updated.IsZero() {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.perSecond, b.capacity())
	}
	if now.After(b.updated) {
		b.updated = now
	}
}
