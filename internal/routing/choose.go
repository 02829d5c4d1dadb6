package routing

import (
	"time"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// rankPenalty keeps requests with nothing else to choose by in the rendezvous
	// order, so that routers agree, for each rank.
	rankPenalty    = 3 * time.Millisecond
	maxRankPenalty = 8
	// DefaultAffinityWeight weighs the recomputation of a context away from its home
	// backend servers, where other routers won't look for it.
	DefaultAffinityWeight = 3
	// remoteDomainPenalty is the round trip to another failure domain.
	remoteDomainPenalty = time.Millisecond
	// importLatency is the fixed part of a KV import.
	importLatency = 5 * time.Millisecond
	// maxImportCostRatio is how much cheaper an import must be than recomputation.
	maxImportCostRatio = 0.8
	// assumedEmptyPeriod is how long a new life of an engine counts as empty but for
	// what this router knows of it.
	assumedEmptyPeriod = 10 * time.Second
	// outdatedWeightsPenalty is what speaks against outdated weights, in seconds: less than
	// the wait that makes an answer late.
	outdatedWeightsPenalty = 0.15
	// maxDemotion bounds how far demotion lowers the weight of the wait.
	maxDemotion = 4
	// maxImportSources bounds the engines that a choice looks at for a source of cached
	// state: those of a region.
	maxImportSources = 256
	// maxLevels bounds the levels that a choice looks at.
	maxLevels = 16
)

// candidate is one backend server under consideration.
type candidate struct {
	server *server
	rank   int
	// age is that of the last load report, heldAge that of what it tells of cached
	// state, and empty tells that the engine's life is new.
	age, heldAge    time.Duration
	recentlyStarted bool
	// hitProbability is the probability that the context is cached, and basis its
	// ground.
	hitProbability float64
	evidence       evidenceKind
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
	// context is the index of the context: the deepest level that other requests
	// may share.
	context int
	// demotion is that of the request, bounded.
	demotion int32
	// preferredWeights is the version of weights below which a backend server costs more.
	preferredWeights uint64
}

// Choose returns the backend server for one attempt. The error is a
// *fault.Error of kind NoBackend.
func (r *Router) Choose(now time.Time, req *Request) (*Decision, error) {
	p := r.pools[poolKey{req.Service, req.Model, req.WeightsVersion, req.Adapter}]
	if p == nil {
		return nil, noBackend(req, len(r.servers))
	}
	pr := newPrompt(req)
	var buf [maxCandidates]candidate
	found := r.candidates(now, p.group(&pr), pr.key(), req, buf[:0])
	if len(found) == 0 && p.classes.shortServers > 0 {
		found = r.candidates(now, p.ready, pr.key(), req, buf[:0])
	}
	if len(found) == 0 {
		found = r.candidates(now, p.fallback, pr.key(), req, buf[:0])
	}
	if len(found) == 0 {
		return nil, noBackend(req, len(r.servers))
	}
	r.predictCached(now, &pr, found)
	best := r.cheapest(now, p, &pr, found)
	if best.wait > minSpillWait && p.classes.shortServers > 0 && len(pr.levels) > 0 {
		best = r.spill(now, req, p, &pr, best)
	}
	d := r.newDecision(req, p, &pr, best)
	if d.Backend.Address != "" && r.settings.ImportRate > 0 {
		d.KVSource, d.KVSourceTokens = r.directImportSource(now, p, &pr, best.server)
	}
	return d, nil
}

// spill returns the cheapest backend server of all classes, if it is clearly
// cheaper than the best one of the own class.
func (r *Router) spill(now time.Time, req *Request, p *pool, pr *prompt, best *candidate) *candidate {
	other := p.classes.groups[1-classOf(pr)]
	var buf [maxCandidates]candidate
	found := r.candidates(now, other, pr.key(), req, buf[:0])
	if len(found) == 0 {
		return best
	}
	r.predictCached(now, pr, found)
	if next := r.cheapest(now, p, pr, found); next.cost+spillPenalty[classOf(pr)] < best.cost {
		return next
	}
	return best
}

// newPrompt takes the levels of a request, the shallowest of too many left out.
func newPrompt(req *Request) prompt {
	pr := prompt{levels: req.Levels, demotion: min(max(req.Demotion, 0), maxDemotion), preferredWeights: req.PreferredWeightsVersion}
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
	pr.context = max(0, len(pr.levels)-2)
	return pr
}

// key returns the key whose rendezvous order counts; 0 without a prompt.
func (pr *prompt) key() uint64 {
	if len(pr.levels) == 0 {
		return 0
	}
	return pr.levels[pr.context].Key
}

// predictCached works out how much of the prompt each candidate holds: from
// what was seen of it there, else from the rank, since other routers place by
// the same order.
func (r *Router) predictCached(now time.Time, pr *prompt, found []candidate) {
	last := len(pr.levels) - 1
	if last < 0 {
		for i := range found {
			found[i].evidence = evidenceNone
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
			evidence := r.evidence(c, level.Key, l == last && last > 0)
			if p := r.hitEstimator.probability(evidence); p >= c.hitProbability {
				c.hitProbability = p
			}
			if l == pr.context {
				c.evidence = evidence
			}
			c.cached += length * c.hitProbability
		}
	}
	for i := range found {
		found[i].hitProbability = r.hitEstimator.probability(found[i].evidence)
	}
}

// evidence returns the ground on which a candidate may hold a level whose holders
// are in r.holdings: this router's own requests, when they are newer than the
// last report of the backend server, then the report. The question of a
// prompt is its own: without a sign of it nothing is expected.
func (r *Router) evidence(c *candidate, key uint64, question bool) evidenceKind {
	s := c.server
	reported := s.heldKnown && c.heldAge < maxReportAge
	for _, h := range r.holdings {
		if h.EngineID == s.engineID && (!reported || h.Age <= c.heldAge || question) {
			return ownRequestEvidence(h.Age)
		}
	}
	switch {
	case question:
		return evidenceNone
	case reported:
		return reportEvidence(c.heldAge, s.reportsHeld(key), c.rank)
	case c.recentlyStarted:
		return evidenceNone
	default:
		return rankEvidence(c.rank)
	}
}

// cheapest returns the candidate with the lowest cost.
func (r *Router) cheapest(now time.Time, p *pool, pr *prompt, found []candidate) *candidate {
	source := importSource(found)
	homeReplicas := replicas(r.hot.load(now, pr.key())/r.requestShare.value(), len(found))
	contextSeconds := 0.0
	if len(pr.levels) > 0 {
		contextSeconds = float64(pr.levels[pr.context].Tokens) / float64(p.rate)
	}
	best := &found[0]
	for i := range found {
		c := &found[i]
		r.predictCost(now, p, pr, c, source)
		c.cost += r.placementPenalty(c, homeReplicas, contextSeconds)
		if c.server.weightsVersion < pr.preferredWeights {
			c.cost += outdatedWeightsPenalty
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
		if found[i].hitProbability >= likely && (source == nil || found[i].hitProbability > source.hitProbability) {
			source = &found[i]
		}
	}
	return source
}

// directImportSource returns the address of an engine without an agent that is reported to
// hold more of the prompt than best, on the same weights, and how many tokens it
// holds; one in the failure domain goes before others that hold as much. An empty
// address stands for none.
func (r *Router) directImportSource(now time.Time, p *pool, pr *prompt, best *server) (address string, tokens uint32) {
	if len(pr.levels) < 2 {
		return "", 0
	}
	var source *server
	most := best.reportedTokens(now, pr)
	start := r.random.IntN(max(1, len(p.ready.servers)))
	for i := range min(maxImportSources, len(p.ready.servers)) {
		s := p.ready.servers[(start+i)%len(p.ready.servers)]
		if s == best || s.weightsVersion != best.weightsVersion || s.backend.Address == "" {
			continue
		}
		held := s.reportedTokens(now, pr)
		if held > most || source != nil && held == most && s.sameDomain && !source.sameDomain {
			source, most = s, held
		}
	}
	if source == nil {
		return "", 0
	}
	return source.backend.Address, most
}

// predictCost predicts the wait and the work until the first token at a candidate.
func (r *Router) predictCost(now time.Time, p *pool, pr *prompt, c *candidate, source *candidate) {
	rate := float64(p.rate) / c.server.speed.slowdown(now, p.meanSpeedRatio)
	requests, prefill := c.server.predict(c.age)
	c.wait = c.server.backlog(c.age, prefill, pr.total-c.cached, rate) / rate
	c.wait += c.server.overdue(now).Seconds()
	if len(pr.levels) == 0 {
		c.wait += requests * p.meanDuration / c.server.maxRunning()
	}
	c.wait += r.slotWait(p, c.server, requests, source != nil)
	c.prefill = (pr.total - c.cached) / rate
	if source != nil && source.server != c.server && r.settings.ImportRate > 0 {
		context := float64(pr.levels[pr.context].Tokens)
		fetch := importLatency.Seconds() + context/r.settings.ImportRate
		rest := (pr.total - context) / rate
		expected := fetch + source.hitProbability*rest + (1-source.hitProbability)*c.prefill
		if expected < maxImportCostRatio*c.prefill {
			c.prefill = expected
			c.source = source.server
		}
	}
	c.cost = r.settings.Cost(c.wait/float64(int(1)<<pr.demotion), c.prefill, c.server.utilization)
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
	excess := requests + 1 - max(1, room)
	return max(0, excess) * p.meanDuration / slots
}

// placementPenalty returns what speaks against a candidate beside wait and work.
func (r *Router) placementPenalty(c *candidate, homeReplicas int, contextSeconds float64) float64 {
	var bias time.Duration
	if !c.server.sameDomain {
		bias += remoteDomainPenalty
	}
	if c.rank >= homeReplicas && contextSeconds > 0 {
		bias += rankPenalty * time.Duration(min(c.rank-homeReplicas+1, maxRankPenalty))
		bias += seconds(r.settings.AffinityWeight * (1 - c.hitProbability) * contextSeconds)
	}
	return bias.Seconds()
}

// newDecision makes the decision for the chosen candidate.
func (r *Router) newDecision(req *Request, p *pool, pr *prompt, c *candidate) *Decision {
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
		evidence:     c.evidence,
		outputTokens: req.OutputTokens,
		Weights:      c.server.weightsVersion,
	}
	if c.source != nil {
		d.KVSource = c.source.backend.AgentAddress
	}
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
