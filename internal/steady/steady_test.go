package steady

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A VM that was suspended took what it knew from before for recent.
func TestSuspensionCounts(t *testing.T) {
	is := is.New(t)
	reading := time.Hour
	c := newClock(time.Now(), func() time.Duration { return reading })
	before := c.now()
	reading += 10 * time.Second // suspended: time.Since(before) would be 0
	is.Equal(c.now().Sub(before), 10*time.Second)
}

func TestNowAdvancesWithTime(t *testing.T) {
	is := is.New(t)
	before, beforeOther := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, other := Since(before), time.Since(beforeOther)
	is.True(passed > 0)
	is.True((passed - other).Abs() < 20*time.Millisecond) // this machine is not suspended meanwhile
}
