// Package crashreport connects routers to the replicated counts of engine crashes: it
// reports the crashes that a router has seen and tells which requests are quarantined.
package crashreport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// recentTTL is how long a router keeps a quarantine that its own report has caused. It
// covers the time until the view contains the quarantine.
const recentTTL = 10 * time.Second

// Proposer commits a command at the control replicas.
type Proposer interface {
	Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
}

// Reporter reports crashes. It is safe for concurrent use.
type Reporter struct {
	control Proposer
	views   *view.Store
	// recent holds the keys of quarantined requests that the view may not contain yet.
	recent sync.Map
	// recentCount is the number of keys in recent.
	recentCount atomic.Int32
}

// New returns a Reporter that proposes to control and knows the quarantine of views.
func New(control Proposer, views *view.Store) *Reporter {
	return &Reporter{control: control, views: views}
}

// Empty reports whether no request is quarantined.
func (r *Reporter) Empty() bool {
	return r.recentCount.Load() == 0 && len(r.views.Load().Quarantine()) == 0
}

// Quarantined reports whether a request is quarantined. It must be asked before each
// attempt, since the same request may also crash engines through other routers.
func (r *Reporter) Quarantined(key quarantine.Key) bool {
	if _, ok := r.recent.Load(key); ok {
		return true
	}
	return r.views.Load().Quarantined(key.Account, []byte(key.Fingerprint))
}

// Quarantine makes a quarantine effective at once, since the caller may send the request
// again before the view contains it.
func (r *Reporter) Quarantine(key quarantine.Key) {
	if _, known := r.recent.LoadOrStore(key, struct{}{}); known {
		return
	}
	r.recentCount.Add(1)
	time.AfterFunc(recentTTL, func() {
		r.recent.Delete(key)
		r.recentCount.Add(-1)
	})
}

// Report proposes report to the control replicas and returns the result, or nil if it is
// not committed within timeout. A quarantine that results is effective at once. Report
// does not depend on the call during which the engine crashed: the crash must be counted
// even if the caller disconnects.
func (r *Reporter) Report(timeout time.Duration, report *wire.CrashReport) *wire.CrashResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	report.NowMs = time.Now().UnixMilli()
	result, err := r.control.Propose(ctx, &wire.Command{Body: &wire.Command_Crash{Crash: report}})
	if err != nil {
		event.CrashReportFailed(report.GetRequestId(), err)
		return nil
	}
	if result.GetCrash().GetQuarantined() {
		r.Quarantine(quarantine.Key{Account: report.GetAccount(), Fingerprint: string(report.GetFingerprint())})
	}
	return result.GetCrash()
}

// Clear resets the crash count of a request that has completed.
func (r *Reporter) Clear(timeout time.Duration, key quarantine.Key, requestID string) *wire.CrashResult {
	return r.Report(timeout, &wire.CrashReport{Account: key.Account, Fingerprint: []byte(key.Fingerprint), RequestId: requestID, Cleared: true})
}
