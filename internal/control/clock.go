package control

import "time"

// Timing of the replicated clock.
const (
	// ClockInterval is the time between the commands with which a leader advances the
	// clock.
	ClockInterval = 10 * time.Second
	// maxClockStep bounds how far one command advances the clock, so that a jump of a
	// leader's own clock does not expire entries early.
	maxClockStep = 3 * ClockInterval
)

// clock is the time of the replicated tables. It advances by the difference between
// two successive readings of leaders' clocks. It never goes back and never advances by
// more than maxClockStep in one step, even if a leader's clock jumps or the clocks of
// two leaders differ.
type clock struct {
	// ms is the clock's time in milliseconds.
	ms int64
	// lastLeaderMS is the last reading of a leader's clock in Unix milliseconds.
	lastLeaderMS int64
}

func (c *clock) advance(leaderMS int64) {
	if c.lastLeaderMS != 0 {
		step := leaderMS - c.lastLeaderMS
		c.ms += min(max(step, 0), maxClockStep.Milliseconds())
	}
	c.lastLeaderMS = leaderMS
}
