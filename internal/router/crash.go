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
	engine := attempt.decision.Backend
	reports := append([]*wire.CrashReport{c.plan.crashReport(a, attempt.decision)},
		c.router.crashes.PartReports(engine.Name, engine.EngineIncarnation, c.plan.sharedParts(), attempt.knownCrashes)...)
	go func() {
		result := c.router.crashes.Report(crashReportTimeout, reports...)
		c.post(dispatch.CrashCounted{Attempt: a.Attempt, Quarantined: result.GetQuarantined()})
	}()
}

// clearCrash resets the crash count of a request that completed after a crash.
func (c *call) clearCrash() {
	key, requestID := c.plan.quarantineKey(), c.plan.req.ID
	c.router.crashes.Completed(key, requestID)
}

// sharedParts returns the keys of the nested prefixes of the prompt that other requests may
// have too.
func (p *plan) sharedParts() []quarantine.Key {
	if p.partKeys == nil {
		p.partKeys = quarantine.PromptLevels(p.account.Name, p.levels)
	}
	return p.partKeys
}

// quarantined reports whether the request must not be sent to any engine.
func (r *Router) quarantined(p *plan) bool {
	return !r.crashes.Empty() && (r.crashes.Quarantined(p.quarantineKey()) || r.crashes.Quarantined(p.sharedParts()...))
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
