package routing

import (
	"math/bits"
	"time"
)

const (
	// ageBuckets are the ages 0 to 125 ms, 250 ms, 500 ms and so on.
	ageBuckets = 12
	// reportAgeBuckets are the ages 0 to 50 ms, 100 ms, 200 ms and so on.
	reportAgeBuckets = 7
	// rankBuckets are the ranks 0, 1, 2 to 3, 4 to 7 and the rest of the
	// rendezvous order.
	rankBuckets = 5
	// hitWindow is the number of observations after which an older one
	// counts half.
	hitWindow = 200
	// priorWeight is the weight of what is assumed before any observation.
	priorWeight = 4
)

// evidenceKind names on what ground a cached prefix is expected.
type evidenceKind uint8

// The grounds are ranges of ages or ranks from these values on.
const (
	// evidenceOwnRequest: this router's own request was there.
	evidenceOwnRequest evidenceKind = 0
	// evidenceHeldFirst and heldAway: a report says held, at the first backend server of
	// the rendezvous order or at another.
	evidenceHeldFirst = evidenceOwnRequest + ageBuckets
	evidenceHeldOther = evidenceHeldFirst + reportAgeBuckets
	// evidenceAbsentFirst and absentAway: a report says absent.
	evidenceAbsentFirst = evidenceHeldOther + reportAgeBuckets
	evidenceAbsentOther = evidenceAbsentFirst + reportAgeBuckets
	// evidenceRankOnly: nothing is known but the rank.
	evidenceRankOnly = evidenceAbsentOther + reportAgeBuckets
	// evidenceNone expects nothing.
	evidenceNone = evidenceRankOnly + rankBuckets
)

// hitEstimator learns how often a prefix was found, by what spoke for it.
type hitEstimator struct {
	hits, lookups [evidenceNone]float64
	// rate is hits over tries, and 0 for noBasis.
	rate [evidenceNone + 1]float64
}

func newHitEstimator() hitEstimator {
	var c hitEstimator
	for i := range c.lookups {
		c.lookups[i] = priorWeight
	}
	for i := range ageBuckets {
		c.hits[evidenceOwnRequest+evidenceKind(i)] = priorWeight * (1 - float64(i)/(ageBuckets+1))
	}
	for i := range reportAgeBuckets {
		c.hits[evidenceHeldFirst+evidenceKind(i)] = priorWeight * 0.97
		c.hits[evidenceHeldOther+evidenceKind(i)] = priorWeight * 0.92
		c.hits[evidenceAbsentFirst+evidenceKind(i)] = priorWeight * 0.2
		c.hits[evidenceAbsentOther+evidenceKind(i)] = priorWeight * 0.02
	}
	for i, p := range [rankBuckets]float64{0.6, 0.3, 0.1, 0.05, 0.02} {
		c.hits[evidenceRankOnly+evidenceKind(i)] = priorWeight * p
	}
	for i := range c.lookups {
		c.rate[i] = c.hits[i] / c.lookups[i]
	}
	return c
}

// bucket returns the bucket of a value: 0 below the unit, then one for each
// doubling, below n.
func bucket(value, unit int64, n int) evidenceKind {
	return evidenceKind(min(bits.Len64(uint64(max(value, 0)/unit)), n-1))
}

// ownRequestEvidence returns the ground of a holding last confirmed the given time ago.
func ownRequestEvidence(age time.Duration) evidenceKind {
	return evidenceOwnRequest + bucket(int64(age), int64(125*time.Millisecond), ageBuckets)
}

// reportEvidence returns the ground of a report of the given age.
func reportEvidence(age time.Duration, held bool, rank int) evidenceKind {
	b := bucket(int64(age), int64(50*time.Millisecond), reportAgeBuckets)
	switch {
	case held && rank == 0:
		return evidenceHeldFirst + b
	case held:
		return evidenceHeldOther + b
	case rank == 0:
		return evidenceAbsentFirst + b
	default:
		return evidenceAbsentOther + b
	}
}

// rankEvidence returns the ground of a rank in the rendezvous order.
func rankEvidence(rank int) evidenceKind {
	return evidenceRankOnly + bucket(int64(rank), 1, rankBuckets)
}

// probability returns the probability on a ground.
func (c *hitEstimator) probability(b evidenceKind) float64 { return c.rate[b] }

// observe learns from one request.
func (c *hitEstimator) observe(b evidenceKind, hit bool) {
	if b >= evidenceNone {
		return
	}
	if c.lookups[b] > hitWindow {
		c.lookups[b] /= 2
		c.hits[b] /= 2
	}
	c.lookups[b]++
	if hit {
		c.hits[b]++
	}
	c.rate[b] = c.hits[b] / c.lookups[b]
}
