package membership

import (
	"math"
	"time"

	"parsleypulley/internal/wire"
)

// FlapConfig configures flap damping. Each return of a member adds one to its
// count, which halves every HalfLife.
type FlapConfig struct {
	// HalfLife is the time in which a count halves.
	HalfLife time.Duration
	// A member is damped once its count reaches DampThreshold. It receives work again
	// once its count is below ReuseThreshold.
	DampThreshold, ReuseThreshold float64
	// MaxCount bounds the count, and thereby the time for which a member stays damped.
	MaxCount float64
	// MaxDampedFraction is the largest fraction of all members that may be damped.
	MaxDampedFraction float64
}

// DefaultFlapConfig returns the default configuration: four returns within a minute
// damp a member, for at most three half-lives.
func DefaultFlapConfig() FlapConfig {
	return FlapConfig{
		HalfLife:          time.Minute,
		DampThreshold:     3.5,
		ReuseThreshold:    1.5,
		MaxCount:          12,
		MaxDampedFraction: 0.25,
	}
}

// flapCounter is an exponentially decaying count.
type flapCounter struct {
	count     float64
	updatedAt time.Time
}

func (c *flapCounter) value(now time.Time, config FlapConfig) float64 {
	if c.count == 0 {
		return 0
	}
	halfLives := float64(now.Sub(c.updatedAt)) / float64(config.HalfLife)
	return c.count * math.Exp2(-max(halfLives, 0))
}

func (c *flapCounter) set(now time.Time, count float64) {
	c.count = count
	c.updatedAt = now
}

func (c *flapCounter) add(now time.Time, config FlapConfig) {
	c.set(now, min(c.value(now, config)+1, config.MaxCount))
}

func (c *flapCounter) reachesDampThreshold(now time.Time, config FlapConfig) bool {
	return c.value(now, config) >= config.DampThreshold
}

func (c *flapCounter) belowReuseThreshold(now time.Time, config FlapConfig) bool {
	return c.value(now, config) < config.ReuseThreshold
}

// shouldDamp reports whether a member flaps and another member may be damped.
func (l *Leases) shouldDamp(now time.Time, entry *lease) bool {
	return l.availableDampings > 0 && entry.flaps.reachesDampThreshold(now, l.config.Flap)
}

// countAvailableDampings returns how many more members may be damped. Members whose
// damping is proposed but not yet in the table count as damped.
func (l *Leases) countAvailableDampings(now time.Time, all []*wire.Member, entries []*lease) int {
	damped := 0
	for i, member := range all {
		proposed := entries[i].proposedKind == wire.BackendChange_KIND_DAMP &&
			now.Sub(entries[i].proposedAt) < l.config.ProposalRetryInterval
		if proposed || member.GetState() == wire.BackendState_BACKEND_STATE_DAMPED {
			damped++
		}
	}
	return int(l.config.Flap.MaxDampedFraction*float64(len(all))) - damped
}
