package router

import (
	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/quarantine"
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
		result := c.router.crashes.Report(crashReportTimeout, report)
		c.post(dispatch.CrashCounted{Attempt: a.Attempt, Quarantined: result.GetQuarantined()})
	}()
}

// clearCrash resets the crash count of a request that completed after a crash.
func (c *call) clearCrash() {
	key, requestID := c.plan.quarantineKey(), c.plan.req.ID
	go c.router.crashes.Clear(crashReportTimeout, key, requestID)
}

func (p *plan) quarantineKey() quarantine.Key {
	return quarantine.Key{Account: p.account.Name, Fingerprint: string(p.fingerprint[:])}
}

func (p *plan) crashReport(a dispatch.ReportCrash, d *routing.Decision) *wire.CrashReport {
	return &wire.CrashReport{
		Account:           p.account.Name,
		Fingerprint:       p.fingerprint[:],
		RequestId:         p.req.ID,
		Attempt:           a.Attempt,
		Backend:           d.Backend.Name,
		EngineIncarnation: d.Backend.EngineIncarnation,
	}
}
