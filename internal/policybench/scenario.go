package policybench

import "time"

// Scenario is the load and the fault of a run.
type Scenario struct {
	Name string
	// LoadFactor scales the trace's rates.
	LoadFactor float64
	// Routers is the number of router instances; 0 stands for 3.
	Routers int
	// ShiftHotContexts moves the hot contexts, Crash kills that many engines, Restart
	// all routers, and Slow slows one engine by the factor, all at faultAt.
	ShiftHotContexts bool
	CrashedEngines   int
	RestartRouters   bool
	SlowFactor       float64
	// ExtraFirstAccount adds traffic of the first account, in multiples of its share.
	ExtraFirstAccount float64
	// KVImport allows KV imports.
	KVImport bool
}

// Scenarios are the ones of the policy benchmark.
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

// Result holds the figures of one run.
type Result struct {
	Calls, Served, Refused, Failed int
	// PromptTokens and CachedPromptTokens count prompt tokens of served calls; RecomputedTokens counts
	// tokens computed again.
	PromptTokens, CachedPromptTokens, RecomputedTokens uint64
	// FirstTokenTimes holds the times to first token, sorted.
	FirstTokenTimes []time.Duration
	// FirstTokenTimesByAccount holds them for each account, sorted.
	FirstTokenTimesByAccount map[string][]time.Duration
	RefusedByAccount         map[string]int
	// MissedDeadlines counts the served calls whose first token missed the deadline.
	MissedDeadlines int
}

// HitRate returns the part of prompt tokens found in a cache.
func (r *Result) HitRate() float64 { return float64(r.CachedPromptTokens) / float64(r.PromptTokens) }

// Percentile returns a percentile of sorted times.
func Percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p/100*float64(len(sorted))), len(sorted)-1)]
}
