package forward

import (
	"expvar"
	"sync"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/routing"
)

// notices counts what backend servers say of themselves in responses, by kind.
var notices = expvar.NewMap("forward_notices")

// invalidNoticeInterval is the time between two log lines about notices that can't be
// used.
const invalidNoticeInterval = time.Second

// invalidNoticeLimiter limits the log lines about notices that can't be used.
type invalidNoticeLimiter struct {
	mu   sync.Mutex
	last time.Time
}

func (l *invalidNoticeLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < invalidNoticeInterval {
		return false
	}
	l.last = now
	return true
}

// recordNotices passes on to routing what a backend server says of itself in a response
// to an attempt. A response of another backend server at its address is ignored.
func (f *Forwarder) recordNotices(d *routing.Decision, info ResponseInfo) {
	if info.Misdirected || !info.FromBackend && !info.NotExecuted {
		return
	}
	now := time.Now()
	name, address := d.Backend.GetName(), d.Backend.GetAddress()
	if info.InvalidRetryAfter != "" {
		notices.Add("invalid", 1)
		if f.invalidNotices.allow(now) {
			event.BackendRetryAfterInvalid(name, address, info.InvalidRetryAfter)
		}
	}
	if info.InvalidLimit != "" {
		notices.Add("invalid", 1)
		if f.invalidNotices.allow(now) {
			event.BackendLimitInvalid(name, address, info.InvalidLimit)
		}
	}
	leaving, quiet, limit := f.selector.recordNotices(d, info)
	if limit {
		notices.Add("limit", 1)
		event.BackendLimitsCalls(name, address, info.LimitPerSecond)
	}
	if leaving {
		notices.Add("leaving", 1)
		event.BackendSaysItLeaves(name, address)
	}
	if quiet {
		notices.Add("quiet", 1)
		event.BackendWantsNoCalls(name, address, info.RetryAfter)
	}
}
