package policybench

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// choice is a policy's decision for one attempt.
type choice struct {
	engine *engine
	// kvSource is the engine to import cached tokens from, or nil.
	kvSource *engine
	// prefillTime is the predicted duration of the prefill.
	prefillTime time.Duration
	// recomputeTokens is the predicted number of prompt tokens to compute.
	recomputeTokens uint32
	// decision is the decision of routing.Router, or nil for a baseline.
	decision *routing.Decision
}

// policy chooses engines for one router instance.
type policy interface {
	// choose returns a choice without an engine when none is left to try.
	choose(now time.Time, c *call, tried []string, demotion int32) choice
	started(now time.Time, ch *choice)
	accepted(now time.Time, ch *choice, load *wire.Load)
	firstToken(now time.Time, ch *choice)
	finished(now time.Time, ch *choice, end *wire.End)
	failed(now time.Time, ch *choice)
	setBackends(now time.Time, members []*wire.Member)
	// occupancy returns the fraction of the engines' slots that is occupied.
	occupancy(now time.Time) float64
	// probe requests the load from the agents of engines.
	probe(now time.Time)
}

// Names of the policies.
const (
	routingPolicyName = "routing"
	roundRobin        = "round robin"
	leastLoad         = "least load"
	consistentHashing = "consistent hashing"
	oraclePolicy      = "oracle"
)

// Policies lists the compared policies, with that of package routing first.
var Policies = []string{routingPolicyName, oraclePolicy, roundRobin, leastLoad, consistentHashing}

const modelName, weightsVersion = "assessor", "v1"

// routingPolicy is the policy of package routing, as the daemon uses it.
type routingPolicy struct {
	*routing.Router
	engines map[string]*engine
}

func (p *routingPolicy) choose(now time.Time, c *call, tried []string, demotion int32) choice {
	d, err := p.Choose(now, &routing.Request{
		Account: c.account, Model: modelName, WeightsVersion: weightsVersion,
		Levels: c.levels, Tried: tried, Demotion: demotion,
	})
	if err != nil {
		return choice{}
	}
	ch := choice{engine: p.engines[d.Backend.Name], prefillTime: d.Prefill, recomputeTokens: d.PromptTokens - d.CachedTokens, decision: d}
	for _, e := range p.engines {
		if d.KVSource != "" && e.backend.AgentAddress == d.KVSource {
			ch.kvSource = e
		}
	}
	return ch
}

func (p *routingPolicy) occupancy(now time.Time) float64 {
	return p.Occupancy(now, &routing.Request{Model: modelName, WeightsVersion: weightsVersion})
}

func (p *routingPolicy) started(now time.Time, ch *choice) { p.Started(now, ch.decision) }
func (p *routingPolicy) accepted(now time.Time, ch *choice, load *wire.Load) {
	p.LoadReported(now, ch.engine.backend.Name, load)
}
func (p *routingPolicy) firstToken(now time.Time, ch *choice) { p.FirstToken(now, ch.decision) }
func (p *routingPolicy) finished(now time.Time, ch *choice, end *wire.End) {
	p.Finished(now, ch.decision, end)
}

func (p *routingPolicy) failed(now time.Time, ch *choice) {
	p.Failed(now, ch.decision, fault.BackendCrashed)
}

func (p *routingPolicy) setBackends(now time.Time, members []*wire.Member) {
	p.SetBackends(now, members)
}

func (p *routingPolicy) probe(now time.Time) {
	for _, name := range p.ProbeDue(now, nil) {
		if e := p.engines[name]; !e.down {
			p.ProbeReplied(now, name, &wire.ProbeReply{Load: e.loadTracker.Load(now), EngineIncarnation: e.backend.EngineIncarnation})
		}
	}
}

// baseline is a common load balancing policy for comparison, or the oracle, which
// knows the true state of the engines.
type baseline struct {
	name     string
	settings routing.Settings
	engines  map[string]*engine
	// names holds the engines of the current view.
	names []string
	// choices counts the calls to choose, for round robin.
	choices int
	// reportedLoad holds the load in each engine's last report, and sentSinceReport
	// the requests that this router has sent there since.
	reportedLoad, sentSinceReport map[string]int
}

func (p *baseline) setBackends(_ time.Time, members []*wire.Member) {
	p.names = p.names[:0]
	for _, m := range members {
		p.names = append(p.names, m.Backend.Name)
	}
}

func (p *baseline) choose(_ time.Time, c *call, tried []string, _ int32) choice {
	var best *engine
	var lowest float64
	p.choices++
	for i := range p.names {
		name := p.names[(i+p.choices)%len(p.names)]
		if slices.Contains(tried, name) {
			continue
		}
		e := p.engines[name]
		if cost, ok := p.cost(c, e, i); ok && (best == nil || cost < lowest) {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return choice{}
	}
	recomputeTokens := c.levels[len(c.levels)-1].Tokens - best.cachedPrefix(c.levels)
	work := time.Duration(float64(recomputeTokens) / effectivePrefillRate * best.slowFactor * float64(time.Second))
	return choice{engine: best, prefillTime: work, recomputeTokens: recomputeTokens}
}

// cost returns the cost of an engine under the policy, and false when the engine
// can't be chosen. position is the engine's place in the current round robin order.
func (p *baseline) cost(c *call, e *engine, position int) (float64, bool) {
	switch p.name {
	case roundRobin:
		return float64(position), true
	case leastLoad:
		return float64(p.reportedLoad[e.backend.Name] + p.sentSinceReport[e.backend.Name]), true
	case consistentHashing:
		sharedPrefixKey := c.levels[len(c.levels)-2].Key
		score := xxhash.Sum64String(e.backend.Name) ^ sharedPrefixKey
		score *= 0x9e3779b97f4a7c15
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		return float64(score >> 11), true
	default:
		return p.oracleCost(c, e), !e.down
	}
}

// oracleCost applies the cost formula of package routing to the true state of the
// engine.
func (p *baseline) oracleCost(c *call, e *engine) float64 {
	rate := effectivePrefillRate / e.slowFactor
	recompute := c.levels[len(c.levels)-1].Tokens - e.cachedPrefix(c.levels)
	wait := float64(e.prefillBacklog(recompute)) / rate
	if full := len(e.running) + len(e.waiting) - maxRunning; full >= 0 {
		wait += float64(full+1) * 0.1
	}
	prefill := float64(recompute) / rate
	return p.settings.Cost(wait, prefill, e.prefillUtilization)
}

func (p *baseline) occupancy(time.Time) float64 {
	taken := 0
	for _, name := range p.names {
		taken += min(maxRunning, p.reportedLoad[name]+p.sentSinceReport[name])
	}
	return float64(taken) / float64(max(1, len(p.names)*maxRunning))
}

func (p *baseline) started(_ time.Time, ch *choice) { p.sentSinceReport[ch.engine.backend.Name]++ }
func (p *baseline) accepted(_ time.Time, ch *choice, load *wire.Load) {
	p.report(ch.engine.backend.Name, load)
}
func (p *baseline) firstToken(_ time.Time, _ *choice) {}
func (p *baseline) failed(_ time.Time, ch *choice)    {}
func (p *baseline) probe(now time.Time) {
	for _, name := range p.names {
		if e := p.engines[name]; !e.down {
			p.report(name, e.loadTracker.Load(now))
		}
	}
}

func (p *baseline) report(name string, l *wire.Load) {
	p.reportedLoad[name], p.sentSinceReport[name] = int(l.Running+l.Waiting), 0
}

func (p *baseline) finished(_ time.Time, ch *choice, end *wire.End) {
	p.report(ch.engine.backend.Name, end.Load)
}
