// Package routing chooses the backend server for each attempt of a request.
//
// The choice needs no shared index: rendezvous hashing of a prompt's context
// gives every router the same order of backend servers. What a router has
// observed itself (its own requests, load reports, cached prefixes) refines
// that order by one cost formula, which weighs the predicted wait against the
// predicted recomputation.
//
// A prompt has nested levels; see prefix.Levels. The last level adds the question,
// which other requests do not share. The level before it, or the only level, is the
// context. A backend server whose Address is set has no agent: requests go to its
// engine directly.
//
// A Router is a deterministic state machine without I/O: the time is passed in.
// It is not safe for concurrent use.
package routing

import (
	"math/rand/v2"
	"strconv"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// maxIndexKeys limits the number of keys whose holders a router records.
	maxIndexKeys = 1 << 16
	// holdingExpiry is the time after which a holding that nothing confirms is
	// removed.
	holdingExpiry = 2 * time.Minute
	// maxCandidates limits the number of backend servers whose cost is computed
	// for one decision.
	maxCandidates = 24
	// rendezvousCandidates is how many candidates come from the rendezvous
	// order, in a pool with more than maxCandidates backend servers.
	rendezvousCandidates = 12
	// maxUtilization limits the utilization in Settings.Cost, and so the weight
	// of work at a busy backend server.
	maxUtilization = 0.9
	// randomCandidates is how many candidates are drawn at random in a pool with
	// more than maxCandidates backend servers.
	randomCandidates = 3
)

// Settings are the settings of the preset in force that a router uses.
type Settings struct {
	// RecomputeWeight is the weight of the predicted time of prefill in the
	// cost; 0 stands for 1.
	RecomputeWeight float64
	// WaitWeight is the weight of the predicted wait in the cost; 0 stands for
	// 1.
	WaitWeight float64
	// ColdStartReserve is the part of each backend server's slots for running
	// requests, from 0 to 1, that is reserved for requests without a cached
	// prefix.
	ColdStartReserve float64
	// ImportRate is the speed of a KV import in tokens a second; 0 disables
	// imports.
	ImportRate float64
	// AffinityWeight is the weight of the additional cost of recomputing a
	// context on a backend server that is not among the first of its rendezvous
	// order; 0 stands for DefaultAffinityWeight.
	AffinityWeight float64
}

// Cost is the cost by which candidates are compared. wait is the predicted time
// in the queue and work the predicted time of prefill, both in seconds. Work
// delays all later requests until the queue is empty again; so it is weighted
// by 1/(1-utilization), as in an M/M/1 queue.
func (s Settings) Cost(wait, work, utilization float64) float64 {
	return s.WaitWeight*wait + s.RecomputeWeight*work/(1-min(utilization, maxUtilization))
}

// Occupancy returns the occupied part of the ready backend servers that the
// request could use, from 0 to 1: that of the slots for running requests or
// that of the time for prefill, whichever is larger. It is 0 if there is no
// such backend server.
func (r *Router) Occupancy(now time.Time, req *Request) float64 {
	p := r.poolOf(req)
	if p == nil || len(p.ready.servers) == 0 {
		return 0
	}
	taken, slots, utilization := 0.0, 0.0, 0.0
	for _, s := range p.ready.servers {
		requests, _ := s.predict(s.reportAge(now))
		taken += min(requests, s.maxRunning())
		slots += s.maxRunning()
		utilization += s.utilization
	}
	return max(taken/slots, utilization/float64(len(p.ready.servers)))
}

// Request holds the properties of a request that the choice of a backend server
// depends on.
type Request struct {
	Account, Model, WeightsVersion, Adapter string
	// Service is the name of a service, whose backend servers may be engines with one or
	// several models; if it is empty, all engines with the model are meant.
	Service string
	// Levels are the nested levels of the prompt, shallowest first; empty for a
	// plain service.
	Levels []*wire.PrefixLevel
	// Demotion is the Demotion of the request's admission.Action. The wait weighs
	// less for a demoted request, so that it waits rather than displaces cached
	// state of others.
	Demotion int32
	// Urgency is the urgency of the request among those for which there are permits; 0 is the
	// most urgent.
	Urgency uint32
	// PermitsAsked is set if permits were asked for after Choose returned ErrPermitsNeeded.
	PermitsAsked bool
	// Tried lists the names of backend servers that must not be chosen again.
	Tried []string
	// PreferredWeightsVersion is the version of the model's weights below which a backend
	// server is chosen only if the wait at the others is long; 0 for no
	// preference.
	PreferredWeightsVersion uint64
	// MinWeightsVersion is the version of the model's weights below which no backend server
	// is chosen.
	MinWeightsVersion uint64
	// WeightsLimits say by when the request must begin on outdated weights. A backend server at which it is
	// not expected to begin well before that is not chosen.
	WeightsLimits []WeightsLimit
	// Deadline is the time at which the request ends also if it still waits at the backend server; zero if
	// unknown.
	Deadline time.Time
	// LastAttempt is set if the request is lost if the attempt has to be taken back since it has not begun
	// in time: it must not run twice, or has no attempt left.
	LastAttempt bool
	// Streamed is set if the response shows its beginning.
	Streamed bool
	// SoftwareVersion is the only version of the backend servers' software that may be
	// chosen if BoundToSoftware is set, since it began the stream.
	SoftwareVersion string
	BoundToSoftware bool

	// withRoom leaves out backend servers whose limit has no room.
	withRoom bool
	// lastResort also admits backend servers whose breaker is open, if server.lastResort is
	// closed.
	lastResort bool
	// check leaves out backend servers at which the request is not expected to begin in time; nil if
	// candidates only are checked for that.
	check *beginCheck
}

// poolOf returns the pool of the request, or nil. All backend servers of a service get requests for
// a model that none of them announces.
func (r *Router) poolOf(req *Request) *pool {
	if req.Service == "" {
		return r.pools[poolKey{model: req.Model, weightsVersion: req.WeightsVersion, adapter: req.Adapter}]
	}
	if p := r.pools[poolKey{service: req.Service, model: req.Model}]; p != nil {
		return p
	}
	return r.pools[poolKey{service: req.Service}]
}

// Router chooses among the backend servers of one view.
type Router struct {
	// domain is the failure domain of the router.
	domain   string
	settings Settings
	random   *rand.Rand
	servers  map[string]*server
	// order lists the servers in the order of the view.
	order []*server
	pools map[poolKey]*pool
	// index records which backend servers hold which prompt prefixes.
	index *prefix.Index
	// hot keeps the recent load of each context.
	hot          *hotKeys
	hitEstimator hitEstimator
	// requestShare estimates which part of all requests passes through this
	// router.
	requestShare shareEstimate
	// notices holds what backend servers have said of themselves, by incarnation.
	notices map[instance]*notices
	// permits holds the permits for backend servers that limit their requests.
	permits *permit.Holder
	// reportsRates is set if the leader is told the rates of calls by service.
	reportsRates bool
	// unevenUntil is the time until which engines of one service are known to differ in speed.
	unevenUntil time.Time
	// name identifies this router to the leader.
	name string
	// speedSamples are those that the leader has not been told yet.
	speedSamples sampleBuffer
	// holdings is a buffer for the holders of the level that predictCached
	// looks at.
	holdings []prefix.Holding
}

// New returns a router in the given failure domain. The seed determines its
// random candidates, and identifies the router to the leader.
func New(domain string, seed uint64) *Router {
	name := strconv.FormatUint(seed, 36)
	return &Router{
		domain:       domain,
		name:         name,
		settings:     Settings{RecomputeWeight: 1, WaitWeight: 1, AffinityWeight: DefaultAffinityWeight},
		random:       rand.New(rand.NewPCG(seed, seed)),
		servers:      make(map[string]*server),
		pools:        make(map[poolKey]*pool),
		index:        prefix.NewIndex(maxIndexKeys, holdingExpiry),
		hot:          newHotKeys(),
		hitEstimator: newHitEstimator(),
		requestShare: newShareEstimate(),
		notices:      make(map[instance]*notices),
		permits:      permit.NewHolder(name),
	}
}

// ReportRates makes the router report its rates of calls in requests for permits.
func (r *Router) ReportRates() { r.reportsRates = true }

// SetSettings replaces the settings.
func (r *Router) SetSettings(s Settings) {
	if s.RecomputeWeight <= 0 {
		s.RecomputeWeight = 1
	}
	if s.WaitWeight <= 0 {
		s.WaitWeight = 1
	}
	if s.AffinityWeight <= 0 {
		s.AffinityWeight = DefaultAffinityWeight
	}
	s.ColdStartReserve = min(max(s.ColdStartReserve, 0), 0.9)
	r.settings = s
}

// Decision is the choice for one attempt. The caller reports the progress of
// the attempt with it: Started, FirstToken, then Finished or Failed.
type Decision struct {
	// Backend is the chosen backend server as it announced itself.
	Backend *wire.Backend
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens uint32
	// CachedTokens is the number of prompt tokens that are predicted to be
	// cached.
	CachedTokens uint32
	// Wait is the predicted time in the queue of the backend server.
	Wait time.Duration
	// Prefill is the predicted time of the backend server's work until the first
	// token.
	Prefill time.Duration
	// KVSource is the address to import KV state from: the link address of an
	// agent whose engine probably holds a prefix that takes less time to import
	// than to recompute, or the address of an engine without an agent that
	// holds such a prefix. It is empty for no import.
	KVSource string
	// KVSourceTokens is the number of prompt tokens that an engine without an
	// agent at KVSource is reported to hold.
	KVSourceTokens uint32
	// Model is the name of the model that the backend server runs the request on; empty if
	// unknown.
	Model string
	// WeightsVersion is the version of the weights of this model that the backend server
	// holds; 0 if unknown.
	WeightsVersion uint64
	// CacheVersion identifies the weights in salts and keys of cached state.
	CacheVersion uint64
	// MinWeightsVersion is that of the request.
	MinWeightsVersion uint64
	// BeginBy is the time by which the attempt must begin, as the backend server's weights are outdated; zero
	// if there is none. An attempt that has not begun TakeBackMargin before must be taken back.
	BeginBy time.Time

	// timeToBegin is the time that must be left until BeginBy when the attempt is sent.
	timeToBegin time.Duration
	server      *server
	// model is the state of the request's model at server.
	model *modelState
	pool  *pool
	// urgency and streamed are the Urgency and Streamed of the request.
	urgency  uint32
	streamed bool
	// scope is the prefix.Scope.Seed of the request.
	scope  uint64
	levels []*wire.PrefixLevel
	// evidence is the evidence that the context is cached.
	evidence evidenceKind
	started  time.Time
	// breakerRequest is the number of the attempt at the breaker of server.
	breakerRequest   uint64
	timeToFirstToken time.Duration
	state            attemptState
}

// noBackend returns the error of Choose when no backend server is eligible.
func noBackend(req *Request, known int) error {
	what := "model " + req.Model
	if req.Service != "" {
		what = "service " + req.Service
	}
	return fault.New(fault.NoBackend, fault.NotRun, "no backend server for %s (%d known)", what, known)
}

// Running returns the number of requests of this router that have not ended.
func (r *Router) Running() int {
	n := 0
	for _, s := range r.servers {
		n += s.running
	}
	return n
}
