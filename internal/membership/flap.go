package membership

import (
	"math"
	"time"

	"parsleypulley/internal/wire"
)

// FlapConfig holds the limits of flap damping. Each return of a member adds one
// to its count, which halves every HalfLife.
type FlapConfig struct {
	HalfLife time.Duration
	// DampThreshold is the count from which on a member is damped, and ReuseThreshold the count
	// below which it takes work again.
	DampThreshold, ReuseThreshold float64
	// MaxCount bounds the count, and so the time a member stays damped.
	MaxCount float64
	// MaxDampedFraction is the greatest fraction of all members that may be damped.
	MaxDampedFraction float64
}

// DefaultFlapConfig returns the configuration for all deployments: four returns
// within a minute damp a member, for at most three half-lives.
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
	count float64
	at    time.Time
}

func (c *flapCounter) value(now time.Time, config FlapConfig) float64 {
	if c.count == 0 {
		return 0
	}
	halfLives := float64(now.Sub(c.at)) / float64(config.HalfLife)
	return c.count * math.Exp2(-max(halfLives, 0))
}

func (c *flapCounter) set(now time.Time, count float64) {
	c.count = count
	c.at = now
}

func (c *flapCounter) add(now time.Time, config FlapConfig) {
	c.set(now, min(c.value(now, config)+1, config.MaxCount))
}

func (c *flapCounter) over(now time.Time, config FlapConfig) bool {
	return c.value(now, config) >= config.DampThreshold
}

func (c *flapCounter) settled(now time.Time, config FlapConfig) bool {
	return c.value(now, config) < config.ReuseThreshold
}

// mustDamp reports whether a member flaps and may be damped.
func (l *Leases) mustDamp(now time.Time, known *lease) bool {
	return l.dampRoom > 0 && known.flaps.over(now, l.config.Flap)
}

// countDampRoom returns how many more members may be damped, counting those
// whose damping is proposed but not yet seen in the table.
func (l *Leases) countDampRoom(now time.Time, all []*wire.Member, known []*lease) int {
	damped := 0
	for i, member := range all {
		proposed := known[i].pending == wire.BackendChange_KIND_DAMP &&
			now.Sub(known[i].pendingSince) < l.config.ProposalRetryInterval
		if proposed || member.GetState() == wire.BackendState_BACKEND_STATE_DAMPED {
			damped++
		}
	}
	return int(l.config.Flap.MaxDampedFraction*float64(len(all))) - damped
}
