// Package latency keeps distributions of times for the metrics.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a Distribution: windows of a minute, of which the newest five count.
const (
	windowLength      = time.Minute
	windowCount       = 5
	maxLatency        = 10 * time.Minute
	significantDigits = 2
)

// Distribution is that of a time over the last minutes. The zero value is
// empty. It is safe for concurrent use.
type Distribution struct {
	mu          sync.Mutex
	windows     *hdrhistogram.WindowedHistogram
	windowStart time.Time
}

// Record adds one time, seen at now.
func (l *Distribution) Record(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	_ = l.windows.Current.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// rotate begins a new window once the current one is full; l.mu is held.
func (l *Distribution) rotate(now time.Time) {
	if l.windows == nil {
		l.windows = hdrhistogram.NewWindowed(windowCount, 1, maxLatency.Microseconds(), significantDigits)
		l.windowStart = now
	}
	for range windowCount {
		if now.Sub(l.windowStart) < windowLength {
			return
		}
		l.windows.Rotate()
		l.windowStart = l.windowStart.Add(windowLength)
	}
	l.windowStart = now
}

// Quantiles are times in milliseconds below which 50, 95 and 99 of 100 lie.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// Quantiles returns the distribution of the last minutes before now.
func (l *Distribution) Quantiles(now time.Time) Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	h := l.windows.Merge()
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}
