package latency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDistributionDropsOldWindows(t *testing.T) {
	is := is.New(t)
	var l Distribution
	now := time.Unix(1_700_000_000, 0)
	is.Equal(l.Quantiles(now).Count, int64(0))
	for range 99 {
		l.Record(now, 10*time.Millisecond)
	}
	l.Record(now, time.Second)
	q := l.Quantiles(now)
	is.Equal(q.Count, int64(100))
	is.True(q.P50 > 9.8 && q.P50 < 10.2)
	is.True(q.P95 > 9.8 && q.P95 < 10.2)
	later := now.Add(windowLength)
	l.Record(later, time.Second)
	is.Equal(l.Quantiles(later).Count, int64(101))
	is.Equal(l.Quantiles(now.Add(windowCount*windowLength)).Count, int64(1))
	is.Equal(l.Quantiles(now.Add(time.Hour)).Count, int64(0))
}
