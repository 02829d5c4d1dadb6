package policybench

import "time"

// Scenario describes the load and the faults of a run. All faults occur at faultAt.
type Scenario struct {
	Name string
	// LoadFactor multiplies the request rates of the trace.
	LoadFactor float64
	// Routers is the number of router instances; 0 means 3.
	Routers int
	// ShiftHotContexts changes which contexts are popular.
	ShiftHotContexts bool
	// CrashedEngines is the number of engines that crash.
	CrashedEngines int
	// RestartRouters restarts all routers without their state.
	RestartRouters bool
	// SlowFactor multiplies the step duration of one engine; 0 means no slow engine.
	SlowFactor float64
	// ExtraFirstAccount is additional traffic of the first account, as a multiple of
	// its share.
	ExtraFirstAccount float64
	// KVImport enables KV imports between engines.
	KVImport bool
}

// Scenarios are the scenarios of the policy benchmark.
var Scenarios = []Scenario{
	{Name: "ordinary", LoadFactor: 1},
	{Name: "peak", LoadFactor: 1.6},
	{Name: "hot shift", LoadFactor: 1, ShiftHotContexts: true},
	{Name: "crash of one", LoadFactor: 1, CrashedEngines: 1},
	{Name: "crash of a domain", LoadFactor: 1, CrashedEngines: 5},
	{Name: "router restart", LoadFactor: 1, RestartRouters: true},
	{Name: "slow engine", LoadFactor: 1, SlowFactor: 4},
	{Name: "overload", LoadFactor: 3.2},
}

// Result holds the measurements of one run.
type Result struct {
	Calls, Served, Refused, Failed int
	// PromptTokens and CachedPromptTokens count all and the cached prompt tokens of
	// served calls. RecomputedTokens counts prompt tokens that some engine had
	// computed before.
	PromptTokens, CachedPromptTokens, RecomputedTokens uint64
	// FirstTokenTimes holds the times to first token of all calls, sorted.
	FirstTokenTimes []time.Duration
	// FirstTokenTimesByAccount holds the times to first token of each account, sorted.
	FirstTokenTimesByAccount map[string][]time.Duration
	RefusedByAccount         map[string]int
	// MissedDeadlines counts the calls whose first token came after the deadline.
	MissedDeadlines int
}

// HitRate returns the fraction of prompt tokens that were cached.
func (r *Result) HitRate() float64 { return float64(r.CachedPromptTokens) / float64(r.PromptTokens) }

// Percentile returns the p-th percentile of sorted times, or 0 when there are none.
func Percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p/100*float64(len(sorted))), len(sorted)-1)]
}
