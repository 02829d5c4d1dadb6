package routing

import (
	"time"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// rankBias keeps requests with nothing else to choose by in the rendezvous
	// order, so that routers agree, for each rank.
	rankBias = 3 * time.Millisecond
	maxBias  = 8
	// DefaultAffinityWeight weighs the recomputation of a context away from its home
	// backend servers, where other routers won't look for it.
	DefaultAffinityWeight = 3
	// farBias is the round trip to another failure domain.
	farBias = time.Millisecond
	// importLatency is the fixed part of a KV import.
	importLatency = 5 * time.Millisecond
	// importGain is how much cheaper an import must be than recomputation.
	importGain = 0.8
	// emptyTrust is how long a new life of an engine counts as empty but for
	// what this router knows of it.
	emptyTrust = 10 * time.Second
	// outdatedCost is what speaks against outdated weights, in seconds: less than
	// the wait that makes an answer late.
	outdatedCost = 0.15
	// maxDemotion bounds how far demotion lowers the weight of the wait.
	maxDemotion = 4
	// maxSources bounds the engines that a choice looks at for a source of cached
	// state: those of a region.
	maxSources = 256
	// maxLevels bounds the levels that a choice looks at.
	maxLevels = 16
)

// candidate is one backend server under consideration.
type candidate struct {
	server *server
	rank   int
	// age is that of the last load report, heldAge that of what it tells of cached
	// state, and empty tells that the engine's life is new.
	age, heldAge time.Duration
	empty        bool
	// chance is the probability that the context is cached, and basis its
	// ground.
	chance float64
	basis  chanceBasis
	// cached is the expected number of cached prompt tokens.
	cached        float64
	wait, prefill float64 // seconds
	cost          float64 // weighted seconds
	source        *server
}

// prompt is what a choice needs of a request's levels.
type prompt struct {
	scope  uint64
	levels []*wire.PrefixLevel
	total  float64
	// deep is the index of the context: the deepest level that other requests
	// may share.
	deep int
	// demotion is that of the request, bounded.
	demotion int32
	// prefer is the version of weights below which a backend server costs more.
	prefer uint64
}

// Choose returns the backend server for one attempt. The error is a
// *fault.Error of kind NoBackend.
func (r *Router) Choose(now time.Time, req *Request) (*Decision, error) {
	p := r.pools[poolKey{req.Service, req.Model, req.WeightsVersion, req.Adapter}]
	if p == nil {
		return nil, noBackend(req, len(r.servers))
	}
	pr := readPrompt(req)
	var space [maxCandidates]candidate
	found := r.candidates(now, p.group(&pr), pr.key(), req, space[:0])
	if len(found) == 0 && p.classes.shorts > 0 {
		found = r.candidates(now, p.ready, pr.key(), req, space[:0])
	}
	if len(found) == 0 {
		found = r.candidates(now, p.reserve, pr.key(), req, space[:0])
	}
	if len(found) == 0 {
		return nil, noBackend(req, len(r.servers))
	}
	r.expectCached(now, &pr, found)
	best := r.cheapest(now, p, &pr, found)
	if best.wait > spillWait && p.classes.shorts > 0 && len(pr.levels) > 0 {
		best = r.spill(now, req, p, &pr, best)
	}
	d := r.decide(req, p, &pr, best)
	if d.Backend.Address != "" && r.settings.ImportRate > 0 {
		d.KVSource, d.KVSourceTokens = r.importFrom(now, p, &pr, best.server)
	}
	return d, nil
}

// spill returns the cheapest backend server of all classes, if it is clearly
// cheaper than the best one of the own class.
func (r *Router) spill(now time.Time, req *Request, p *pool, pr *prompt, best *candidate) *candidate {
	other := p.classes.groups[1-classOf(pr)]
	var space [maxCandidates]candidate
	found := r.candidates(now, other, pr.key(), req, space[:0])
	if len(found) == 0 {
		return best
	}
	r.expectCached(now, pr, found)
	if next := r.cheapest(now, p, pr, found); next.cost+spillCost[classOf(pr)] < best.cost {
		return next
	}
	return best
}

// readPrompt takes the levels of a request, the shallowest of too many left out.
func readPrompt(req *Request) prompt {
	pr := prompt{levels: req.Levels, demotion: min(max(req.Demotion, 0), maxDemotion), prefer: req.PreferredWeightsVersion}
	if len(pr.levels) == 0 {
		return pr
	}
	if extra := len(pr.levels) - maxLevels; extra > 0 {
		pr.levels = pr.levels[extra:]
	}
	scope := prefix.Scope{
		Account:        req.Account,
		Model:          req.Model,
		WeightsVersion: req.WeightsVersion,
		Adapter:        req.Adapter,
	}
	pr.scope = scope.Seed()
	pr.total = float64(pr.levels[len(pr.levels)-1].Tokens)
	pr.deep = max(0, len(pr.levels)-2)
	return pr
}

// key returns the key whose rendezvous order counts; 0 without a prompt.
func (pr *prompt) key() uint64 {
	if len(pr.levels) == 0 {
		return 0
	}
	return pr.levels[pr.deep].Key
}

// expectCached works out how much of the prompt each candidate holds: from
// what was seen of it there, else from the rank, since other routers place by
// the same order.
func (r *Router) expectCached(now time.Time, pr *prompt, found []candidate) {
	last := len(pr.levels) - 1
	if last < 0 {
		for i := range found {
			found[i].basis = noBasis
		}
		return
	}
	for l := last; l >= 0; l-- {
		level := pr.levels[l]
		length := float64(level.Tokens)
		if l > 0 {
			length -= float64(pr.levels[l-1].Tokens)
		}
		r.holdings = r.index.Holders(now, pr.scope, level.Key, r.holdings[:0])
		for i := range found {
			c := &found[i]
			basis := r.basis(c, level.Key, l == last && last > 0)
			if p := r.chances.of(basis); p >= c.chance {
				c.chance = p
			}
			if l == pr.deep {
				c.basis = basis
			}
			c.cached += length * c.chance
		}
	}
	for i := range found {
		found[i].chance = r.chances.of(found[i].basis)
	}
}

// basis returns the ground on which a candidate may hold a level whose holders
// are in r.holdings: this router's own requests, when they are newer than the
// last report of the backend server, then the report. The question of a
// prompt is its own: without a sign of it nothing is expected.
func (r *Router) basis(c *candidate, key uint64, question bool) chanceBasis {
	s := c.server
	reported := s.heldKnown && c.heldAge < staleReport
	for _, h := range r.holdings {
		if h.EngineID == s.life && (!reported || h.Age <= c.heldAge || question) {
			return seenAt(h.Age)
		}
	}
	switch {
	case question:
		return noBasis
	case reported:
		return reportedAt(c.heldAge, s.holds(key), c.rank)
	case c.empty:
		return noBasis
	default:
		return unknownAt(c.rank)
	}
}

// cheapest returns the candidate with the lowest cost.
func (r *Router) cheapest(now time.Time, p *pool, pr *prompt, found []candidate) *candidate {
	source := importSource(found)
	home := replicas(r.hot.load(now, pr.key())/r.share.value(), len(found))
	context := 0.0
	if len(pr.levels) > 0 {
		context = float64(pr.levels[pr.deep].Tokens) / float64(p.rate)
	}
	best := &found[0]
	for i := range found {
		c := &found[i]
		r.price(now, p, pr, c, source)
		c.cost += r.penalty(c, home, context)
		if c.server.weights < pr.prefer {
			c.cost += outdatedCost
		}
		if c.cost < best.cost {
			best = c
		}
	}
	return best
}

// importSource returns the candidate that most probably holds the context, if
// one does.
func importSource(found []candidate) *candidate {
	const likely = 0.5
	var source *candidate
	for i := range found {
		if found[i].chance >= likely && (source == nil || found[i].chance > source.chance) {
			source = &found[i]
		}
	}
	return source
}

// importFrom returns the address of an engine without an agent that is reported to
// hold more of the prompt than best, on the same weights, and how many tokens it
// holds; one in the failure domain goes before others that hold as much. An empty
// address stands for none.
func (r *Router) importFrom(now time.Time, p *pool, pr *prompt, best *server) (address string, tokens uint32) {
	if len(pr.levels) < 2 {
		return "", 0
	}
	var source *server
	known := best.reported(now, pr)
	start := r.random.IntN(max(1, len(p.ready.servers)))
	for i := range min(maxSources, len(p.ready.servers)) {
		s := p.ready.servers[(start+i)%len(p.ready.servers)]
		if s == best || s.weights != best.weights || s.backend.Address == "" {
			continue
		}
		held := s.reported(now, pr)
		if held > known || source != nil && held == known && s.near && !source.near {
			source, known = s, held
		}
	}
	if source == nil {
		return "", 0
	}
	return source.backend.Address, known
}

// price predicts the wait and the work until the first token at a candidate.
func (r *Router) price(now time.Time, p *pool, pr *prompt, c *candidate, source *candidate) {
	rate := float64(p.rate) / c.server.speed.factor(now, p.slowness)
	requests, prefill := c.server.predict(c.age)
	c.wait = c.server.backlog(c.age, prefill, pr.total-c.cached, rate) / rate
	c.wait += c.server.overdue(now).Seconds()
	if len(pr.levels) == 0 {
		c.wait += requests * p.stay / c.server.maxRunning()
	}
	c.wait += r.slotWait(p, c.server, requests, source != nil)
	c.prefill = (pr.total - c.cached) / rate
	if source != nil && source.server != c.server && r.settings.ImportRate > 0 {
		deep := float64(pr.levels[pr.deep].Tokens)
		fetch := importLatency.Seconds() + deep/r.settings.ImportRate
		rest := (pr.total - deep) / rate
		expected := fetch + source.chance*rest + (1-source.chance)*c.prefill
		if expected < importGain*c.prefill {
			c.prefill = expected
			c.source = source.server
		}
	}
	c.cost = r.settings.Cost(c.wait/float64(int(1)<<pr.demotion), c.prefill, c.server.busy)
}

// slotWait predicts the wait for one of a backend server's requests to end, in
// seconds. Warm requests find some slots taken by the reserve for cold
// starts.
func (r *Router) slotWait(p *pool, s *server, requests float64, warm bool) float64 {
	room := s.maxRunning()
	slots := room
	if warm {
		room *= 1 - r.settings.ColdStartReserve
	}
	over := requests + 1 - max(1, room)
	return max(0, over) * p.stay / slots
}

// penalty returns what speaks against a candidate beside wait and work.
func (r *Router) penalty(c *candidate, home int, context float64) float64 {
	var bias time.Duration
	if !c.server.near {
		bias += farBias
	}
	if c.rank >= home && context > 0 {
		bias += rankBias * time.Duration(min(c.rank-home+1, maxBias))
		bias += seconds(r.settings.AffinityWeight * (1 - c.chance) * context)
	}
	return bias.Seconds()
}

// decide makes the decision for the chosen candidate.
func (r *Router) decide(req *Request, p *pool, pr *prompt, c *candidate) *Decision {
	d := &Decision{
		Backend:      c.server.backend,
		PromptTokens: uint32(pr.total),
		CachedTokens: uint32(c.cached),
		Wait:         seconds(c.wait),
		Prefill:      seconds(c.prefill),
		server:       c.server,
		pool:         p,
		scope:        pr.scope,
		levels:       pr.levels,
		basis:        c.basis,
		output:       req.OutputTokens,
		Weights:      c.server.weights,
	}
	if c.source != nil {
		d.KVSource = c.source.backend.AgentAddress
	}
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
