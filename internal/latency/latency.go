// Package latency measures the distribution of durations over the last minutes, for
// metrics.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Distribution covers the newest windowCount windows of windowLength each.
const (
	windowLength = time.Minute
	windowCount  = 5
	// maxLatency is the longest recorded duration. Longer ones are recorded as
	// maxLatency.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of the recorded durations.
	significantDigits = 2
)

// Distribution is the distribution of a duration over the last minutes. The zero
// value is empty and ready to use. It is safe for concurrent use.
type Distribution struct {
	mu          sync.Mutex
	windows     *hdrhistogram.WindowedHistogram
	windowStart time.Time
}

// Record adds the duration d, measured at now.
func (l *Distribution) Record(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	_ = l.windows.Current.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// rotate starts a new window for each windowLength that has passed since the current
// one started. l.mu must be held.
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

// Quantiles holds the number of recorded durations, and their 50th, 95th and 99th
// percentile in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// Quantiles returns the quantiles of the last minutes before now.
func (l *Distribution) Quantiles(now time.Time) Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	h := l.windows.Merge()
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}

// RecordMany adds the duration d n times, measured at now.
func (l *Distribution) RecordMany(now time.Time, d time.Duration, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	_ = l.windows.Current.RecordValues(min(max(d, time.Microsecond), maxLatency).Microseconds(), n)
}

// Quantile returns a quantile, from 0 to 1, of the last minutes before now, and the number
// of recorded durations.
func (l *Distribution) Quantile(now time.Time, q float64) (d time.Duration, count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	h := l.windows.Merge()
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond, h.TotalCount()
}
