package admission

import (
	"math/bits"
	"time"
)

// usageHalfLife is the time after which recent work is halved.
const usageHalfLife = 2 * time.Second

// workKind is a kind of work of a flow: granted or offered.
type workKind uint8

const (
	grantedWork workKind = iota
	offeredWork
	workKinds
)

// usage compares the flows of a pool by their recent work of one kind, which is
// kept in flow.recent.
type usage struct {
	kind workKind
	// total is the recent work of all flows, in tokens.
	total float64
	// weights is the sum of the weights of the flows with a recent work of at
	// least minRecentWork.
	weights float64
	// halvedAt is when the work was last halved.
	halvedAt time.Time
	// flowsAfterSweep is the number of flows after the last pool.sweep.
	flowsAfterSweep int
}

// minRecentWork is the recent work, in tokens, from which a flow is counted in
// usage.weights.
const minRecentWork = 1

// add adds work to a flow.
func (u *usage) add(now time.Time, p *pool, f *flow, tokens float64) {
	if now.Sub(u.halvedAt) >= usageHalfLife {
		u.decay(now, p)
	}
	if f.recent[u.kind] < minRecentWork {
		u.weights += f.weight
	}
	f.recent[u.kind] += tokens
	u.total += tokens
}

// decay halves the recent work of all flows.
func (u *usage) decay(now time.Time, p *pool) {
	u.halvedAt = now
	u.total, u.weights = 0, 0
	for _, f := range p.flows {
		f.recent[u.kind] /= 2
		u.total += f.recent[u.kind]
		if f.recent[u.kind] >= minRecentWork {
			u.weights += f.weight
		}
	}
}

// demotion returns how many times the share of a flow must be doubled to reach
// its part of the recent work, rounded down and at most MaxDemotion: 1 from
// twice the share, 2 from four times the share, and so on.
func (u *usage) demotion(f *flow) int32 {
	return int32(min(max(0, bits.Len(uint(u.shareRatio(f)))-1), MaxDemotion))
}

// shareRatio returns a flow's part of the recent work as a multiple of its
// share.
func (u *usage) shareRatio(f *flow) float64 {
	if u.total <= 0 {
		return 0
	}
	return f.recent[u.kind] / u.total * u.weights / f.weight
}
