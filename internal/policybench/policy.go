package policybench

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// choice is where one attempt goes.
type choice struct {
	engine *engine
	// source is the engine to import from, or nil.
	source *engine
	// prefill is the predicted work until the first token, and recompute the
	// prompt tokens to compute.
	prefill   time.Duration
	recompute uint32
	decision  *routing.Decision
}

// policy chooses engines for one router instance.
type policy interface {
	// choose returns no engine when there is none.
	choose(now time.Time, c *call, tried []string, demotion int32) choice
	started(now time.Time, ch *choice)
	accepted(now time.Time, ch *choice, load *wire.Load)
	firstToken(now time.Time, ch *choice)
	finished(now time.Time, ch *choice, end *wire.End)
	failed(now time.Time, ch *choice)
	setBackends(now time.Time, members []*wire.Member)
	// occupancy is the part of the engines' slots that is taken.
	occupancy(now time.Time) float64
	// probe asks the agents of engines for their load.
	probe(now time.Time)
}

// The names of the policies.
const (
	routed       = "routing"
	roundRobin   = "round robin"
	leastLoad    = "least load"
	consistent   = "consistent hashing"
	oraclePolicy = "oracle"
)

// Policies lists the policies compared, the project's own first.
var Policies = []string{routed, oraclePolicy, roundRobin, leastLoad, consistent}

const modelName, weightsVersion = "assessor", "v1"

// own is the project's policy: routing.Router as the daemon runs it.
type own struct {
	*routing.Router
	engines map[string]*engine
}

func (p *own) choose(now time.Time, c *call, tried []string, demotion int32) choice {
	d, err := p.Choose(now, &routing.Request{
		Account: c.account, Model: modelName, WeightsVersion: weightsVersion,
		Levels: c.levels, OutputTokens: uint32(c.output), Tried: tried, Demotion: demotion,
	})
	if err != nil {
		return choice{}
	}
	ch := choice{engine: p.engines[d.Backend.Name], prefill: d.Prefill, recompute: d.PromptTokens - d.CachedTokens, decision: d}
	for _, e := range p.engines {
		if d.KVSource != "" && e.backend.AgentAddress == d.KVSource {
			ch.source = e
		}
	}
	return ch
}

func (p *own) occupancy(now time.Time) float64 {
	return p.Occupancy(now, &routing.Request{Model: modelName, WeightsVersion: weightsVersion})
}

func (p *own) started(now time.Time, ch *choice) { p.Started(now, ch.decision) }
func (p *own) accepted(now time.Time, ch *choice, load *wire.Load) {
	p.LoadReported(now, ch.engine.backend.Name, load)
}
func (p *own) firstToken(now time.Time, ch *choice) { p.FirstToken(now, ch.decision) }
func (p *own) finished(now time.Time, ch *choice, end *wire.End) {
	p.Finished(now, ch.decision, end)
}

func (p *own) failed(now time.Time, ch *choice) {
	p.Failed(now, ch.decision, fault.BackendCrashed)
}

func (p *own) setBackends(now time.Time, members []*wire.Member) { p.SetBackends(now, members) }

func (p *own) probe(now time.Time) {
	for _, name := range p.ProbeDue(now, nil) {
		if e := p.engines[name]; !e.down {
			p.ProbeReplied(now, name, &wire.ProbeReply{Load: e.ledger.Load(now), EngineIncarnation: e.backend.EngineIncarnation})
		}
	}
}

// baseline is a policy known from other routers, and the oracle.
type baseline struct {
	name     string
	settings routing.Settings
	engines  map[string]*engine
	names    []string
	turn     int
	// reported and sent hold each engine's last report and own requests since.
	reported, sent map[string]int
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
	p.turn++
	for i := range p.names {
		name := p.names[(i+p.turn)%len(p.names)]
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
	recompute := c.levels[len(c.levels)-1].Tokens - best.holds(c.levels)
	work := time.Duration(float64(recompute) / effectiveRate * best.slowness * float64(time.Second))
	return choice{engine: best, prefill: work, recompute: recompute}
}

// cost returns how little the policy likes an engine, the turn-th in order.
func (p *baseline) cost(c *call, e *engine, turn int) (float64, bool) {
	switch p.name {
	case roundRobin:
		return float64(turn), true
	case leastLoad:
		return float64(p.reported[e.backend.Name] + p.sent[e.backend.Name]), true
	case consistent:
		longest := c.levels[len(c.levels)-2].Key
		score := xxhash.Sum64String(e.backend.Name) ^ longest
		score *= 0x9e3779b97f4a7c15
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		return float64(score >> 11), true
	default:
		return p.trueCost(c, e), !e.down
	}
}

// trueCost is the formula of package routing on the engine's true state.
func (p *baseline) trueCost(c *call, e *engine) float64 {
	rate := effectiveRate / e.slowness
	recompute := c.levels[len(c.levels)-1].Tokens - e.holds(c.levels)
	wait := float64(e.backlog(recompute)) / rate
	if full := len(e.running) + len(e.waiting) - maxRunning; full >= 0 {
		wait += float64(full+1) * 0.1
	}
	prefill := float64(recompute) / rate
	return p.settings.Cost(wait, prefill, e.busy)
}

func (p *baseline) occupancy(time.Time) float64 {
	taken := 0
	for _, name := range p.names {
		taken += min(maxRunning, p.reported[name]+p.sent[name])
	}
	return float64(taken) / float64(max(1, len(p.names)*maxRunning))
}

func (p *baseline) started(_ time.Time, ch *choice) { p.sent[ch.engine.backend.Name]++ }
func (p *baseline) accepted(_ time.Time, ch *choice, load *wire.Load) {
	p.report(ch.engine.backend.Name, load)
}
func (p *baseline) firstToken(_ time.Time, _ *choice) {}
func (p *baseline) failed(_ time.Time, ch *choice)    {}
func (p *baseline) probe(now time.Time) {
	for _, name := range p.names {
		if e := p.engines[name]; !e.down {
			p.report(name, e.ledger.Load(now))
		}
	}
}

func (p *baseline) report(name string, l *wire.Load) {
	p.reported[name], p.sent[name] = int(l.Running+l.Waiting), 0
}

func (p *baseline) finished(_ time.Time, ch *choice, end *wire.End) {
	p.report(ch.engine.backend.Name, end.Load)
}
