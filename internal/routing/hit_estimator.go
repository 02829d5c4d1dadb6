package routing

import (
	"math/bits"
	"time"
)

const (
	// ageBuckets are the ages 0 to 125 ms, 250 ms, 500 ms and so on.
	ageBuckets = 12
	// reportBuckets are the ages 0 to 50 ms, 100 ms, 200 ms and so on.
	reportBuckets = 7
	// rankBuckets are the ranks 0, 1, 2 to 3, 4 to 7 and the rest of the
	// rendezvous order.
	rankBuckets = 5
	// chanceMemory is the number of observations after which an older one
	// counts half.
	chanceMemory = 200
	// priorTries is the weight of what is assumed before any observation.
	priorTries = 4
)

// chanceBasis names on what ground a cached prefix is expected.
type chanceBasis uint8

// The grounds are ranges of ages or ranks from these values on.
const (
	// seenBasis: this router's own request was there.
	seenBasis chanceBasis = 0
	// heldHome and heldAway: a report says held, at the first backend server of
	// the rendezvous order or at another.
	heldHome = seenBasis + ageBuckets
	heldAway = heldHome + reportBuckets
	// absentHome and absentAway: a report says absent.
	absentHome = heldAway + reportBuckets
	absentAway = absentHome + reportBuckets
	// unknownBasis: nothing is known but the rank.
	unknownBasis = absentAway + reportBuckets
	// noBasis expects nothing.
	noBasis = unknownBasis + rankBuckets
)

// chances learns how often a prefix was found, by what spoke for it.
type chances struct {
	hits, tries [noBasis]float64
	// rate is hits over tries, and 0 for noBasis.
	rate [noBasis + 1]float64
}

func newChances() chances {
	var c chances
	for i := range c.tries {
		c.tries[i] = priorTries
	}
	for i := range ageBuckets {
		c.hits[seenBasis+chanceBasis(i)] = priorTries * (1 - float64(i)/(ageBuckets+1))
	}
	for i := range reportBuckets {
		c.hits[heldHome+chanceBasis(i)] = priorTries * 0.97
		c.hits[heldAway+chanceBasis(i)] = priorTries * 0.92
		c.hits[absentHome+chanceBasis(i)] = priorTries * 0.2
		c.hits[absentAway+chanceBasis(i)] = priorTries * 0.02
	}
	for i, p := range [rankBuckets]float64{0.6, 0.3, 0.1, 0.05, 0.02} {
		c.hits[unknownBasis+chanceBasis(i)] = priorTries * p
	}
	for i := range c.tries {
		c.rate[i] = c.hits[i] / c.tries[i]
	}
	return c
}

// bucket returns the bucket of a value: 0 below the unit, then one for each
// doubling, below n.
func bucket(value, unit int64, n int) chanceBasis {
	return chanceBasis(min(bits.Len64(uint64(max(value, 0)/unit)), n-1))
}

// seenAt returns the ground of a holding last confirmed the given time ago.
func seenAt(age time.Duration) chanceBasis {
	return seenBasis + bucket(int64(age), int64(125*time.Millisecond), ageBuckets)
}

// reportedAt returns the ground of a report of the given age.
func reportedAt(age time.Duration, held bool, rank int) chanceBasis {
	b := bucket(int64(age), int64(50*time.Millisecond), reportBuckets)
	switch {
	case held && rank == 0:
		return heldHome + b
	case held:
		return heldAway + b
	case rank == 0:
		return absentHome + b
	default:
		return absentAway + b
	}
}

// unknownAt returns the ground of a rank in the rendezvous order.
func unknownAt(rank int) chanceBasis {
	return unknownBasis + bucket(int64(rank), 1, rankBuckets)
}

// of returns the probability on a ground.
func (c *chances) of(b chanceBasis) float64 { return c.rate[b] }

// observe learns from one request.
func (c *chances) observe(b chanceBasis, hit bool) {
	if b >= noBasis {
		return
	}
	if c.tries[b] > chanceMemory {
		c.tries[b] /= 2
		c.hits[b] /= 2
	}
	c.tries[b]++
	if hit {
		c.hits[b]++
	}
	c.rate[b] = c.hits[b] / c.tries[b]
}
