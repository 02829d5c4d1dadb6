package router

import (
	"context"
	"time"

	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/event"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// reportCrash counts the crash of an attempt's engine against the request.
func (c *call) reportCrash(a dispatch.ReportCrash) {
	attempt := c.attempts[a.Attempt]
	if attempt == nil || attempt.decision == nil {
		return
	}
	c.router.metrics.Crashes.Add(1)
	report := c.plan.crashReport(a, attempt.decision)
	go func() {
		result := c.router.proposeCrashReport(report)
		if result.GetQuarantined() {
			c.router.addRecentQuarantine(c.plan)
		}
		c.post(dispatch.CrashCounted{Attempt: a.Attempt, Quarantined: result.GetQuarantined()})
	}()
}

// clearCrash resets the crash count of a request that completed after a crash.
func (c *call) clearCrash() {
	report := &wire.CrashReport{Account: c.plan.account.Name, Fingerprint: c.plan.fingerprint[:],
		RequestId: c.plan.req.ID, Cleared: true, NowMs: time.Now().UnixMilli()}
	go c.router.proposeCrashReport(report)
}

// proposeCrashReport proposes report to the control replicas. It does not use the
// context of the call, since the crash must be counted even if the caller disconnects.
// It returns nil if the proposal fails.
func (r *Router) proposeCrashReport(report *wire.CrashReport) *wire.CrashResult {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	result, err := r.opts.Control.Propose(ctx, &wire.Command{Body: &wire.Command_Crash{Crash: report}})
	if err != nil {
		event.CrashReportFailed(report.RequestId, err)
		return nil
	}
	return result.GetCrash()
}

func (p *plan) crashReport(a dispatch.ReportCrash, d *routing.Decision) *wire.CrashReport {
	return &wire.CrashReport{
		Account:           p.account.Name,
		Fingerprint:       p.fingerprint[:],
		RequestId:         p.req.ID,
		Attempt:           a.Attempt,
		Backend:           d.Backend.Name,
		EngineIncarnation: d.Backend.EngineIncarnation,
		NowMs:             time.Now().UnixMilli(),
	}
}
