package routing

import (
	"math/bits"
	"time"
)

const (
	// ageBuckets is the number of age ranges of the router's own requests: 0 to
	// 125 ms, then up to 250 ms, 500 ms and so on.
	ageBuckets = 12
	// reportAgeBuckets is the number of age ranges of load reports: 0 to 50 ms,
	// then up to 100 ms, 200 ms and so on.
	reportAgeBuckets = 7
	// rankBuckets is the number of rank ranges: 0, 1, 2 to 3, 4 to 7 and the
	// rest of the rendezvous order.
	rankBuckets = 5
	// hitWindow is the number of observations after which the earlier ones are
	// halved in weight.
	hitWindow = 200
	// priorWeight is the weight of the initial estimate, in observations.
	priorWeight = 4
)

// evidenceKind is the kind of evidence from which the router expects a prefix
// to be cached at a backend server, or not to be. It includes the age range of
// the evidence or the rank range of the backend server.
type evidenceKind uint8

// Each constant is the first value of a range: the bucket of the age or rank is
// added to it.
const (
	// evidenceOwnRequest: this router sent a request with the prefix to the
	// backend server.
	evidenceOwnRequest evidenceKind = 0
	// evidenceHeldFirst and evidenceHeldOther: a load report lists the prefix.
	// The backend server is the first of the rendezvous order, or another one.
	evidenceHeldFirst = evidenceOwnRequest + ageBuckets
	evidenceHeldOther = evidenceHeldFirst + reportAgeBuckets
	// evidenceAbsentFirst and evidenceAbsentOther: a load report does not list
	// the prefix. The backend server is the first of the rendezvous order, or
	// another one.
	evidenceAbsentFirst = evidenceHeldOther + reportAgeBuckets
	evidenceAbsentOther = evidenceAbsentFirst + reportAgeBuckets
	// evidenceRankOnly: nothing is known except the rank in the rendezvous
	// order.
	evidenceRankOnly = evidenceAbsentOther + reportAgeBuckets
	// evidenceNone: the prefix is not expected to be cached.
	evidenceNone = evidenceRankOnly + rankBuckets
)

// hitEstimator estimates the probability that a prefix is cached, for each kind
// of evidence, from how often such a prefix turned out to be cached.
type hitEstimator struct {
	hits, lookups [evidenceNone]float64
	// rate is hits divided by lookups; it is 0 for evidenceNone.
	rate [evidenceNone + 1]float64
}

func newHitEstimator() hitEstimator {
	var e hitEstimator
	for i := range e.lookups {
		e.lookups[i] = priorWeight
	}
	for i := range ageBuckets {
		e.hits[evidenceOwnRequest+evidenceKind(i)] = priorWeight * (1 - float64(i)/(ageBuckets+1))
	}
	for i := range reportAgeBuckets {
		e.hits[evidenceHeldFirst+evidenceKind(i)] = priorWeight * 0.97
		e.hits[evidenceHeldOther+evidenceKind(i)] = priorWeight * 0.92
		e.hits[evidenceAbsentFirst+evidenceKind(i)] = priorWeight * 0.2
		e.hits[evidenceAbsentOther+evidenceKind(i)] = priorWeight * 0.02
	}
	for i, p := range [rankBuckets]float64{0.6, 0.3, 0.1, 0.05, 0.02} {
		e.hits[evidenceRankOnly+evidenceKind(i)] = priorWeight * p
	}
	for i := range e.lookups {
		e.rate[i] = e.hits[i] / e.lookups[i]
	}
	return e
}

// bucket returns the index of the range that a value is in: 0 below the unit,
// then one range for each doubling. The last of the n ranges has no upper
// bound.
func bucket(value, unit int64, n int) evidenceKind {
	return evidenceKind(min(bits.Len64(uint64(max(value, 0)/unit)), n-1))
}

// ownRequestEvidence returns the evidence of a cached prefix that this router's
// own requests last confirmed the given time ago.
func ownRequestEvidence(age time.Duration) evidenceKind {
	return evidenceOwnRequest + bucket(int64(age), int64(125*time.Millisecond), ageBuckets)
}

// reportEvidence returns the evidence of a load report of the given age.
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

// rankEvidence returns the evidence of a rank in the rendezvous order.
func rankEvidence(rank int) evidenceKind {
	return evidenceRankOnly + bucket(int64(rank), 1, rankBuckets)
}

// probability returns the estimated probability that a prefix with this
// evidence is cached.
func (e *hitEstimator) probability(kind evidenceKind) float64 { return e.rate[kind] }

// observe records whether a prefix with this evidence was cached.
func (e *hitEstimator) observe(kind evidenceKind, hit bool) {
	if kind >= evidenceNone {
		return
	}
	if e.lookups[kind] > hitWindow {
		e.lookups[kind] /= 2
		e.hits[kind] /= 2
	}
	e.lookups[kind]++
	if hit {
		e.hits[kind]++
	}
	e.rate[kind] = e.hits[kind] / e.lookups[kind]
}
