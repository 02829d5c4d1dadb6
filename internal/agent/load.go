package agent

import (
	"strconv"
	"time"

	"parsleypulley/internal/wire"
)

// attemptID returns the ID of an attempt in the load tracker. It is unique across
// client accounts.
func attemptID(d *wire.Dispatch) string {
	return d.Account + "/" + d.RequestId + "/" + strconv.FormatUint(uint64(d.Attempt), 10)
}

// enginePriority returns the priority that is sent to the engine. Among requests
// of equal priority, those with a short prefill run first.
func enginePriority(priority int32, short bool) int32 {
	if short {
		return 2*priority + 1
	}
	return 2 * priority
}

// recordFirstToken records that the prefill of an attempt is done.
func (a *Agent) recordFirstToken(d *wire.Dispatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loadTracker.FirstToken(time.Now(), attemptID(d))
}

// loadReport returns the load of the engine. The load comes from the load tracker,
// which is always up to date because all requests pass through the agent. Only the
// cache usage comes from the engine's own report.
func (a *Agent) loadReport(now time.Time) *wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := a.loadTracker.Load(now)
	if l := a.load; l != nil && l.Incarnation == report.EngineIncarnation {
		report.CacheBlocksUsed = uint32(l.CacheBlocksUsed)
		report.CacheBlocksTotal = uint32(l.CacheBlocksTotal)
	}
	return report
}
