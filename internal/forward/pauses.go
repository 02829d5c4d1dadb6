package forward

import (
	"sync"
	"time"

	"parsleypulley/internal/latency"
	"parsleypulley/internal/view"
)

const (
	// usualQuantile is the quantile of pauses that counts as usual, and minPauses the number
	// of pauses from which it is known: with fewer it would be the longest of them.
	usualQuantile = 0.999
	minPauses     = 1000
	// minFirstEvents is the number of first events from which the time to the first event is
	// known. There is one of them for some dozens of pauses.
	minFirstEvents = 100
	// shortPause is the pause up to which all pauses count as equally short. They make no
	// difference to the stall bound, since its minimum is longer.
	shortPause = 200 * time.Millisecond
	// usualPausesAge is how long computed quantiles are used.
	usualPausesAge = time.Second
	// maxPauseRoutes limits the routes whose pauses are recorded; a distribution takes about
	// 120 KiB.
	maxPauseRoutes = 32
)

// pauseTable records the pauses of the streams of each route. It is safe for concurrent use.
type pauseTable struct {
	mu     sync.Mutex
	routes map[string]*routePauses
}

// routePauses are the pauses of the streams of a route.
type routePauses struct {
	first, between latency.Distribution

	mu         sync.Mutex
	usual      usualPauses
	computedAt time.Time
}

// of returns the pauses of a route, or nil if too many routes are known.
func (t *pauseTable) of(route string) *routePauses {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.routes[route]
	if p == nil && len(t.routes) < maxPauseRoutes {
		p = &routePauses{}
		t.routes[route] = p
	}
	return p
}

// retain forgets the routes that are not in a view.
func (t *pauseTable) retain(s *view.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route := range t.routes {
		if !s.Routes.HasRoute(route) {
			delete(t.routes, route)
		}
	}
}

// usualPauses returns the usual pauses at time now.
func (p *routePauses) usualPauses(now time.Time) usualPauses {
	if p == nil {
		return usualPauses{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.computedAt.IsZero() || now.Sub(p.computedAt) >= usualPausesAge {
		p.computedAt, p.usual = now, usualPauses{}
		if first, n := p.first.Quantile(now, usualQuantile); n >= minFirstEvents {
			p.usual.first = first
		}
		if between, n := p.between.Quantile(now, usualQuantile); n >= minPauses {
			p.usual.between = between
		}
	}
	return p.usual
}

// recordFirst records the time to the first event of an attempt.
func (p *routePauses) recordFirst(now time.Time, d time.Duration) {
	if p != nil {
		p.first.Record(now, d)
	}
}

// recordPauses records n pauses of the same length between two events.
func (p *routePauses) recordPauses(now time.Time, d time.Duration, n int64) {
	if p != nil && n > 0 {
		p.between.RecordMany(now, d, n)
	}
}
