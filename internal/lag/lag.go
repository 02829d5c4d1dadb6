// Package lag measures how far a process is behind its work for lack of processor time.
package lag

import (
	"context"
	"sync/atomic"
	"time"
)

// interval is the time between two measurements. Twenty a second cost less than 0.1% of a core.
const interval = 50 * time.Millisecond

// Meter measures how late the goroutines of this process get to run. The zero value shows no
// lag until Run is called. It is safe for concurrent use.
type Meter struct {
	// last is the last measurement; nil while Run does not run.
	last atomic.Pointer[measurement]
}

type measurement struct {
	at time.Time
	// late is how late it ran.
	late time.Duration
}

// Process is the meter of this process.
var Process = &Meter{}

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	m.last.Store(&measurement{at: time.Now()})
	defer m.last.Store(nil)
	for {
		began := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		now := time.Now()
		m.last.Store(&measurement{at: now, late: max(now.Sub(began)-interval, 0)})
	}
}

// Behind returns how late the last measurement was, or how late the next one is if that is
// more.
func (m *Meter) Behind() time.Duration { return m.behind(time.Now()) }

func (m *Meter) behind(now time.Time) time.Duration {
	last := m.last.Load()
	if last == nil {
		return 0
	}
	return max(last.late, now.Sub(last.at)-interval)
}
