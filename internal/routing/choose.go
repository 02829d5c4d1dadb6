package routing

import (
	"slices"
	"time"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// rankPenalty is the penalty for each rank in the rendezvous order, up to
	// maxRankPenalty ranks. It makes routers choose the same backend server
	// when nothing else makes a difference.
	rankPenalty    = 3 * time.Millisecond
	maxRankPenalty = 8
	// DefaultAffinityWeight is the default of Settings.AffinityWeight. Recomputing
	// a context on a backend server that is not among the first of its rendezvous
	// order costs more, because other routers won't look for the context there.
	DefaultAffinityWeight = 3
	// remoteDomainPenalty is the penalty for another failure domain than the
	// router's: the round-trip time to it.
	remoteDomainPenalty = time.Millisecond
	// importLatency is the fixed part of the duration of a KV import.
	importLatency = 5 * time.Millisecond
	// maxImportCostRatio is the largest ratio of the time of an import to the
	// time of recomputation at which the router imports.
	maxImportCostRatio = 0.8
	// assumedEmptyPeriod is how long the cache of a new engine incarnation is
	// assumed to be empty, apart from what this router's own requests have
	// cached there.
	assumedEmptyPeriod = 10 * time.Second
	// outdatedWeightsPenalty is the penalty for weights older than the preferred
	// ones, in seconds. It is less than the wait that makes an answer late.
	outdatedWeightsPenalty = 0.15
	// maxDemotion is the largest demotion that counts. Each step of demotion
	// halves the weight of the wait.
	maxDemotion = 4
	// maxImportSources limits the number of engines that are checked as the
	// source of an import. It covers all engines of a region.
	maxImportSources = 256
	// maxLevels limits the number of prompt levels that are considered.
	maxLevels = 16
)

// candidate is one backend server under consideration.
type candidate struct {
	server *server
	// model is the state of the request's model at server.
	model *modelState
	// rank is the rank in the rendezvous order, from 0. A random candidate has
	// the number of backend servers of its group instead.
	rank int
	// age is the age of the last load report.
	age time.Duration
	// heldAge is the age of what load reports say about cached prefixes.
	heldAge time.Duration
	// recentlyStarted is set for assumedEmptyPeriod after the start of the
	// engine's incarnation, or with other weights of the model.
	recentlyStarted bool
	// hitProbability is the probability that the context is cached.
	hitProbability float64
	// evidence is the evidence from which hitProbability is estimated.
	evidence evidenceKind
	// cached is the expected number of cached prompt tokens.
	cached float64
	// wait is the predicted time in the queue, in seconds.
	wait float64
	// prefill is the predicted time of prefill, in seconds.
	prefill float64
	// cost is what cheapest compares: Settings.Cost plus penalties, in weighted
	// seconds.
	cost float64
	// source is the backend server to import the context from; nil for no
	// import.
	source *server
}

// prompt holds the properties of a request that a choice depends on.
type prompt struct {
	// scope is the prefix.Scope.Seed of the request.
	scope  uint64
	levels []*wire.PrefixLevel
	// total is the length of the prompt in tokens.
	total float64
	// contextIndex is the index in levels of the context: the deepest level that
	// other requests may share.
	contextIndex int
	// demotion is the demotion of the request, from 0 to maxDemotion.
	demotion int32
	// model is the name of the model.
	model string
	// preferredWeights is the version of weights below which a backend server
	// gets outdatedWeightsPenalty.
	preferredWeights uint64
}

// Choose returns the backend server for one attempt. The error is a *fault.Error of
// kind NoBackend, or of kind Overloaded with the time after which a backend server that
// wants no requests now, or has no room in its limit, can be used; or ErrPermitsNeeded.
func (r *Router) Choose(now time.Time, req *Request) (*Decision, error) {
	p := r.poolOf(req)
	if p == nil {
		return nil, noBackend(req, len(r.servers))
	}
	if r.reportsRates && !req.PermitsAsked && p.directEngines() {
		r.permits.CountCall(req.Service)
	}
	pr := newPrompt(req)
	var buf [maxCandidates]candidate
	best, found, req, err := r.bestCandidate(now, p, &pr, req, buf[:0])
	if err != nil {
		return nil, err
	}
	r.permits.Want(best.server.key, req.Urgency)
	if !r.hasRoom(now, best.server, req) {
		var other [maxCandidates]candidate
		best = r.bestWithRoom(now, p, &pr, req, other[:0])
		if best == nil {
			return nil, r.noRoom(now, found, req)
		}
	}
	d := r.newDecision(req, p, &pr, best)
	if d.Backend.Address != "" && r.settings.ImportRate > 0 {
		d.KVSource, d.KVSourceTokens = r.directImportSource(now, p, &pr, best.server)
	}
	return d, nil
}

// bestCandidate returns the candidate with the lowest cost, the candidates at which the request is expected
// to begin in time, and the request with which they were found. If it can't begin in time at any of the
// candidates, it looks for others among all backend servers.
func (r *Router) bestCandidate(now time.Time, p *pool, pr *prompt, req *Request, dst []candidate) (*candidate, []candidate, *Request, error) {
	found, used := r.poolCandidates(now, p, pr.key(), req, dst)
	if len(found) == 0 {
		probe, rest := r.quietCandidate(now, p, req)
		outdated := r.noneInTime(now, p, req)
		switch {
		case probe != nil:
			found = append(found, newCandidate(now, probe, req.Model, 0))
		case rest > 0:
			return nil, nil, req, allQuiet(rest)
		case outdated != nil:
			return nil, nil, req, outdated
		default:
			return nil, nil, req, noBackend(req, len(r.servers))
		}
	}
	r.predictCached(now, pr, found)
	best, inTime := r.cheapest(now, p, pr, used, found)
	if best == nil {
		checked := *req
		checked.check = newBeginCheck(now, p, pr)
		return r.bestCandidate(now, p, pr, &checked, dst)
	}
	return best, inTime, used, nil
}

// CanChoose reports whether there is a backend server for an attempt, with room in its limit and not
// one that wants no requests now. It changes nothing.
func (r *Router) CanChoose(now time.Time, req *Request) bool {
	p := r.poolOf(req)
	if p == nil {
		return false
	}
	checked := *req
	if len(req.WeightsLimits) > 0 {
		pr := newPrompt(req)
		checked.check = newBeginCheck(now, p, &pr)
	}
	lastResort := checked
	lastResort.lastResort = true
	for _, req := range []*Request{&checked, &lastResort} {
		eligible := false
		for _, g := range []group{p.ready, p.fallback} {
			for _, s := range g.servers {
				if !s.eligible(now, req) || !r.beginsInTime(now, s, req) {
					continue
				}
				if r.hasRoom(now, s, req) {
					return true
				}
				eligible = true
			}
		}
		if eligible {
			return false
		}
	}
	return false
}

// newPrompt returns the prompt of a request. Of more than maxLevels levels the
// shallowest are left out.
func newPrompt(req *Request) prompt {
	pr := prompt{levels: req.Levels, demotion: min(max(req.Demotion, 0), maxDemotion), model: req.Model, preferredWeights: req.PreferredWeightsVersion}
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
	pr.contextIndex = max(0, len(pr.levels)-2)
	return pr
}

// key returns the key of the context, which determines the rendezvous order; 0
// without a prompt.
func (pr *prompt) key() uint64 {
	if len(pr.levels) == 0 {
		return 0
	}
	return pr.levels[pr.contextIndex].Key
}

// predictCached estimates how much of the prompt each candidate has cached. The
// evidence is what this router has recorded about the candidate's cache. Without
// such a record, the evidence is the rank, since other routers place prompts by the
// same rendezvous order. A level is at least as likely to be cached as the
// deeper ones.
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
			if l == pr.contextIndex {
				c.evidence = evidence
			}
			c.cached += length * c.hitProbability
		}
	}
	for i := range found {
		found[i].hitProbability = r.hitEstimator.probability(found[i].evidence)
	}
}

// evidence returns the evidence that a candidate holds a level whose holders
// are in r.holdings. This router's own requests count if they are newer than
// the backend server's last report; otherwise the report does. question is set
// for the last level of a prompt, which other requests do not share: it is
// expected to be cached only if this router itself has sent the same prompt.
func (r *Router) evidence(c *candidate, key uint64, question bool) evidenceKind {
	s := c.server
	reported := s.heldKnown && c.heldAge < maxReportAge
	for _, h := range r.holdings {
		if h.EngineID == c.model.engineID && (!reported || h.Age <= c.heldAge || question) {
			return ownRequestEvidence(h.Age)
		}
	}
	switch {
	case question:
		return evidenceNone
	case reported:
		return reportEvidence(c.heldAge, s.reportsHeld(key, c.model), c.rank)
	case c.recentlyStarted:
		return evidenceNone
	default:
		return rankEvidence(c.rank)
	}
}

// cheapest predicts the costs of candidates, and returns the one with the lowest cost, among those at which
// the request is expected to begin in time, and these, in the place of found. best is nil if there are none.
func (r *Router) cheapest(now time.Time, p *pool, pr *prompt, req *Request, found []candidate) (best *candidate, inTime []candidate) {
	source := importSource(found)
	homeReplicas := replicas(r.hot.load(now, pr.key())/r.requestShare.value(), len(found))
	contextSeconds := 0.0
	if len(pr.levels) > 0 {
		contextSeconds = float64(pr.levels[pr.contextIndex].Tokens) / float64(p.rate)
	}
	typical := typicalRequests(found)
	inTime = found
	for i := range found {
		r.predictCost(now, p, pr, &found[i], source, typical)
	}
	if len(req.WeightsLimits) > 0 && req.check == nil {
		inTime = slices.DeleteFunc(found, func(c candidate) bool { return !req.beginsInTime(now, p, &c) })
	}
	for i := range inTime {
		c := &inTime[i]
		c.cost += r.placementPenalty(c, homeReplicas, contextSeconds)
		if c.model.weightsVersion < pr.preferredWeights {
			c.cost += outdatedWeightsPenalty
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best, inTime
}

// typicalRequests returns the mean number of requests at the candidates whose load is
// known.
func typicalRequests(found []candidate) float64 {
	total, known := 0.0, 0.0
	for i := range found {
		if found[i].age < maxReportAge {
			requests, _ := found[i].server.predict(found[i].age)
			total += requests
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return total / known
}

// importSource returns the candidate that most probably holds the context; nil
// if none is likely to.
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

// directImportSource looks for an engine without an agent that, according to
// its reports, holds more of the prompt than best, computed with the same
// weights. It returns the engine's address and the number of tokens it holds.
// Among engines that hold the same number, one in the router's failure domain
// is preferred. The address is empty if there is no such engine.
func (r *Router) directImportSource(now time.Time, p *pool, pr *prompt, best *server) (address string, tokens uint32) {
	if len(pr.levels) < 2 {
		return "", 0
	}
	var source *server
	version := best.modelState(pr.model).cacheVersion
	most := best.reportedTokens(now, pr)
	start := r.random.IntN(max(1, len(p.ready.servers)))
	for i := range min(maxImportSources, len(p.ready.servers)) {
		s := p.ready.servers[(start+i)%len(p.ready.servers)]
		if s == best || s.modelState(pr.model).cacheVersion != version || s.backend.Address == "" {
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

// predictCost predicts the wait and the work until the first token at a
// candidate, and sets its cost without penalties. source is the candidate to
// import the context from; nil if there is none. It becomes the candidate's
// source if the import saves enough time. An engine without an agent whose load is
// not known is assumed to have the typical number of requests: if it counted as idle,
// all routers would choose it until its first report.
func (r *Router) predictCost(now time.Time, p *pool, pr *prompt, c *candidate, source *candidate, typical float64) {
	rate := float64(p.rate) * c.server.relativeSpeed(now, p)
	requests, prefill := c.server.predict(c.age)
	if c.age >= maxReportAge && c.server.backend.Address != "" {
		requests += typical
	}
	c.wait = c.server.backlog(c.age, prefill, pr.total-c.cached, rate) / rate
	c.wait += c.server.overdue(now).Seconds()
	if len(pr.levels) == 0 {
		c.wait += requests * p.meanDuration / c.server.maxRunning()
	}
	c.wait += r.slotWait(p, c.server, requests, source != nil)
	c.prefill = (pr.total - c.cached) / rate
	if source != nil && source.server != c.server && r.settings.ImportRate > 0 {
		context := float64(pr.levels[pr.contextIndex].Tokens)
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

// slotWait predicts how long a new request waits until a running request of the
// backend server ends, in seconds. For a warm request, one whose context is
// cached at some candidate, the slots reserved for cold starts count as taken.
func (r *Router) slotWait(p *pool, s *server, requests float64, warm bool) float64 {
	room := s.maxRunning()
	slots := room
	if warm {
		room *= 1 - r.settings.ColdStartReserve
	}
	excess := requests + 1 - max(1, room)
	return max(0, excess) * p.meanDuration / slots
}

// placementPenalty returns the cost of a candidate, in seconds, that comes from
// its failure domain and its rank in the rendezvous order instead of its wait
// and work. The first homeReplicas ranks, as many as the load of the context
// needs, have no rank penalty. contextSeconds is the time to recompute the
// context.
func (r *Router) placementPenalty(c *candidate, homeReplicas int, contextSeconds float64) float64 {
	var penalty time.Duration
	if !c.server.sameDomain {
		penalty += remoteDomainPenalty
	}
	if c.rank >= homeReplicas && contextSeconds > 0 {
		penalty += rankPenalty * time.Duration(min(c.rank-homeReplicas+1, maxRankPenalty))
	}
	// A backend server whose limit keeps it below its load has room in its cache.
	if c.rank >= homeReplicas && contextSeconds > 0 && !r.permits.Limited(c.server.key) {
		penalty += seconds(r.settings.AffinityWeight * (1 - c.hitProbability) * contextSeconds)
	}
	return penalty.Seconds()
}

// newDecision returns the decision for the chosen candidate.
func (r *Router) newDecision(req *Request, p *pool, pr *prompt, c *candidate) *Decision {
	d := &Decision{
		Backend:        c.server.backend,
		PromptTokens:   uint32(pr.total),
		CachedTokens:   uint32(c.cached),
		Wait:           seconds(c.wait),
		Prefill:        seconds(c.prefill),
		server:         c.server,
		pool:           p,
		urgency:        req.Urgency,
		streamed:       req.Streamed,
		scope:          pr.scope,
		levels:         pr.levels,
		evidence:       c.evidence,
		Model:          c.model.name,
		WeightsVersion: c.model.weightsVersion,
		CacheVersion:   c.model.cacheVersion,
		model:          c.model,

		MinWeightsVersion: req.MinWeightsVersion,
	}
	if at, limited := req.beginBy(c.model.weightsVersion); limited {
		d.BeginBy, d.timeToBegin = at, req.timeToBegin(p, c)
	}
	if c.source != nil {
		d.KVSource = c.source.backend.AgentAddress
	}
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
