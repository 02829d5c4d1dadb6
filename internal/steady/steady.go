// Package steady has a clock that never jumps and also counts the time in which the VM was
// suspended, which the clock of time.Since leaves out. What other processes vouch for until
// a time must be measured by it.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock converts readings of a clock that has any origin to times.
type clock struct {
	// origin is the time at which the reading was originReading.
	origin        time.Time
	originReading time.Duration
	read          func() time.Duration
}

func newClock(origin time.Time, read func() time.Duration) *clock {
	return &clock{origin: origin.Round(0), originReading: read(), read: read} // Round removes the reading of the other clock
}

func (c *clock) now() time.Time { return c.origin.Add(c.read() - c.originReading) }

var processClock = newClock(time.Now(), readBootTime)

// readBootTime returns the time since the VM was started.
func readBootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every Linux since 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Now returns the time. It must be compared with results of Now only, not with those of
// time.Now.
func Now() time.Time { return processClock.now() }

// Since returns the time since t, which Now has returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
