// Package routing chooses the backend server for each attempt of a request.
//
// The choice needs no shared index: rendezvous hashing of a prompt's context
// gives every router the same order of backend servers. What a router has seen
// itself (its own requests, load reports, holdings) refines that order by one
// formula that weighs the predicted wait against the predicted recomputation.
//
// A Router is a deterministic state machine without I/O: time is passed in. It
// is not safe for concurrent use.
package routing

import (
	"math/rand/v2"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// indexKeys bounds the keys whose holders a router remembers.
	indexKeys = 1 << 16
	// holdingExpiry is when a holding that nothing confirms is forgotten.
	holdingExpiry = 2 * time.Minute
	// maxCandidates bounds the backend servers whose cost is worked out for
	// one decision.
	maxCandidates = 24
	// rendezvousCandidates is how many of them come from the rendezvous order of
	// a pool that is larger.
	rendezvousCandidates = 12
	// maxUtilization bounds the weight of work at a busy backend server.
	maxUtilization = 0.9
	// randomCandidates is how many come from a random draw.
	randomCandidates = 3
)

// Settings are the parts of the preset in force that a router uses.
type Settings struct {
	// RecomputeWeight and WaitWeight weigh the time of a predicted
	// recomputation against the predicted wait. 0 stands for 1.
	RecomputeWeight, WaitWeight float64
	// ColdStartReserve is the part of each backend server's running requests,
	// 0 to 1, that is kept for requests without cached prefix.
	ColdStartReserve float64
	// ImportRate is the speed of a KV import in tokens a second; 0 imports
	// nothing.
	ImportRate float64
	// AffinityWeight weighs the recomputation of a context away from its home backend
	// servers; 0 stands for DefaultAffinityWeight.
	AffinityWeight float64
}

// Cost is the one formula by which choices compare. Wait and work are the
// predicted seconds in the queue and of prefill. Work weighs more the busier
// the backend server is, since it delays all that come after it until the
// queue is empty again: by 1/(1-utilization), as in an M/M/1 queue.
func (s Settings) Cost(wait, work, utilization float64) float64 {
	return s.WaitWeight*wait + s.RecomputeWeight*work/(1-min(utilization, maxUtilization))
}

// Occupancy returns how far the backend servers which a request could use are
// taken, 0 to 1: the slots for running requests or the time for prefill,
// whichever is scarcer. It is 0 without any.
func (r *Router) Occupancy(now time.Time, req *Request) float64 {
	p := r.pools[poolKey{req.Service, req.Model, req.WeightsVersion, req.Adapter}]
	if p == nil || len(p.ready.servers) == 0 {
		return 0
	}
	taken, slots, busy := 0.0, 0.0, 0.0
	for _, s := range p.ready.servers {
		requests, _ := s.predict(s.reportAge(now))
		taken += min(requests, s.maxRunning())
		slots += s.maxRunning()
		busy += s.busy
	}
	return max(taken/slots, busy/float64(len(p.ready.servers)))
}

// Request is what the choice of a backend server depends on.
type Request struct {
	Account, Model, WeightsVersion, Adapter string
	// Service names a plain service; empty for a model.
	Service string
	// Levels are the nested levels of the prompt; empty for a plain service.
	Levels []*wire.PrefixLevel
	// OutputTokens is the expected length of the answer.
	OutputTokens uint32
	// Demotion is that of admission.Action: a demoted request rather waits than
	// takes cache from others.
	Demotion int32
	// Tried names backend servers not to use again.
	Tried []string
	// PreferredWeightsVersion is the version below which backend servers are used only when
	// the wait is longer at others; 0 prefers none.
	PreferredWeightsVersion uint64
	// MinWeightsVersion is the version below which no backend server is used.
	MinWeightsVersion uint64
}

// Router chooses among the backend servers of one view.
type Router struct {
	domain   string
	settings Settings
	random   *rand.Rand
	servers  map[string]*server
	// order lists the servers in the order of the view.
	order    []*server
	pools    map[poolKey]*pool
	index    *prefix.Index
	hot      *hotKeys
	chances  chances
	share    shareEstimate
	holdings []prefix.Holding
}

// New returns a router in the given failure domain. The seed draws the random
// candidates.
func New(domain string, seed uint64) *Router {
	return &Router{
		domain:   domain,
		settings: Settings{RecomputeWeight: 1, WaitWeight: 1, AffinityWeight: DefaultAffinityWeight},
		random:   rand.New(rand.NewPCG(seed, seed)),
		servers:  make(map[string]*server),
		pools:    make(map[poolKey]*pool),
		index:    prefix.NewIndex(indexKeys, holdingExpiry),
		hot:      newHotKeys(),
		chances:  newChances(),
		share:    newShareEstimate(),
	}
}

// SetSettings takes the weights of the preset in force.
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

// Decision is the choice for one attempt. The caller hands it back with what
// it observes of the attempt: Started, FirstToken, then Finished or Failed.
type Decision struct {
	// Backend is the chosen backend server as it announced itself.
	Backend *wire.Backend
	// PromptTokens is the length of the prompt.
	PromptTokens uint32
	// CachedTokens is the part predicted not to need recomputation.
	CachedTokens uint32
	// Wait and Prefill are the predicted time in the backend server's queue and
	// the predicted time of its work until the first token.
	Wait, Prefill time.Duration
	// KVSource is the link address of an agent whose engine probably holds a
	// prefix that is cheaper to import than to recompute, or the address of such
	// an engine without an agent; empty for none.
	KVSource string
	// KVSourceTokens is how much of the prompt an engine without an agent at KVSource is
	// reported to hold.
	KVSourceTokens uint32
	// Weights is the version that the backend server holds; 0 is not known.
	Weights uint64

	server  *server
	pool    *pool
	scope   uint64
	levels  []*wire.PrefixLevel
	basis   chanceBasis
	output  uint32
	started time.Time
	first   time.Duration
	state   attemptState
}

// noBackend returns the error of Choose when no backend server is eligible.
func noBackend(req *Request, known int) error {
	what := "model " + req.Model
	if req.Service != "" {
		what = "service " + req.Service
	}
	return fault.New(fault.NoBackend, fault.NotRun, "no backend server for %s (%d known)", what, known)
}
