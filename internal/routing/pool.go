package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/fleet"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

// group is a list of backend servers. The hashes of their names are stored in a
// slice of their own, next to each other, since every choice reads all of them.
type group struct {
	servers    []*server
	nameHashes []uint64
}

func (g *group) add(s *server) {
	g.servers = append(g.servers, s)
	g.nameHashes = append(g.nameHashes, s.nameHash)
}

// defaultMeanDuration is the assumed duration of a request until one is
// observed, in seconds.
const defaultMeanDuration = 1

// poolKey identifies a pool by what its backend servers offer: a service, a model of
// a service, or a model on a weights version, with or without an adapter.
type poolKey struct{ service, model, weightsVersion, adapter string }

// pool is the set of backend servers that offer what its poolKey names.
type pool struct {
	// ready holds the backend servers in the ready state.
	ready group
	// fallback holds suspected, damped and loading backend servers. They are
	// used only when no ready one is eligible.
	fallback group
	// rate is the prefill rate of the engines, in tokens a second.
	rate prefillRate
	// meanSpeedRatio is the moving mean of speed.bestRatio of the backend
	// servers.
	meanSpeedRatio float64
	// meanDuration is the moving mean of the duration of a request at a backend
	// server, in seconds.
	meanDuration float64
	// meanUnstreamed is that of requests whose response is no stream.
	meanUnstreamed float64
	// meanWork is the mean prefill work of the requests sent to the engines.
	meanWork meanWork
}

// directEngines reports whether the backend servers are engines without agents. All of a pool
// are alike.
func (p *pool) directEngines() bool {
	for _, g := range []group{p.ready, p.fallback} {
		if len(g.servers) > 0 {
			return fleet.IsAgentlessEngine(g.servers[0].backend)
		}
	}
	return false
}

// meanWork is the moving mean of the prefill work of requests, in tokens. With many
// routers, each router rarely sends a request to a given engine; so all engines of a
// pool share one mean.
type meanWork struct{ tokens float64 }

func (m *meanWork) observe(tokens float64) {
	if m.tokens == 0 {
		m.tokens = tokens
		return
	}
	m.tokens += meanWorkWeight * (tokens - m.tokens)
}

// SetBackends replaces the backend servers by those of a view. What was learned
// about a backend server is kept if it is still the same instance; see
// sameInstance.
func (r *Router) SetBackends(now time.Time, members []*wire.Member) {
	first := len(r.servers) == 0
	previous := r.servers
	r.servers = make(map[string]*server, len(members))
	r.order = r.order[:0]
	for _, m := range members {
		if m.GetBackend() == nil || m.Retired {
			continue
		}
		s := previous[m.Backend.Name]
		var known []*modelState
		startedAt := now
		switch {
		case s != nil && sameInstance(s.backend, m.Backend):
			known = s.allModels()
		case s != nil && sameIncarnation(s.backend, m.Backend):
			before := s
			s, known = r.newServer(m.Backend), before.allModels()
			s.keepLoad(before)
		default:
			s = r.newServer(m.Backend)
			if first {
				startedAt = time.Time{} // the router has just started, and the cache may be filled
			}
		}
		if s.models == nil || s.backend != m.Backend { // views share members that have not changed
			s.backend = m.Backend
			r.setModels(s, known, startedAt)
		}
		s.state = m.State
		if r.servers[m.Backend.Name] == nil {
			r.order = append(r.order, s)
		}
		r.servers[m.Backend.Name] = s
	}
	for name, s := range previous {
		if r.servers[name] != s {
			for _, m := range s.allModels() {
				if next := r.servers[name]; next == nil || !next.uses(m) {
					r.index.RemoveEngine(m.engineID)
				}
			}
		}
	}
	r.dropNotices(now)
	r.forgetLimits()
	r.buildPools(members)
}

// newServer returns the state for a new incarnation of a backend server.
func (r *Router) newServer(b *wire.Backend) *server {
	return &server{
		backend:    b,
		nameHash:   xxhash.Sum64String(b.Name),
		sameDomain: b.FailureDomain == r.domain,
		key:        permit.KeyOf(b),
		notices:    r.noticesOf(b),
	}
}

// sameInstance reports whether what was learned about a still applies to b.
// Besides the incarnations, it compares the weights of an engine without an
// agent, which loses its cached state when it loads other weights.
func sameInstance(a, b *wire.Backend) bool {
	return sameIncarnation(a, b) && (a.Address == "" || sameWeights(a, b))
}

// sameIncarnation reports whether a and b are the same run of a backend server.
func sameIncarnation(a, b *wire.Backend) bool {
	return a.AgentIncarnation == b.AgentIncarnation && a.EngineIncarnation == b.EngineIncarnation
}

// buildPools adds the backend servers to the pools of what they offer, in the
// order of the view. A pool that exists already is kept with what it has learned,
// since attempts in progress refer to it.
func (r *Router) buildPools(members []*wire.Member) {
	previous := r.pools
	for _, p := range previous {
		p.ready, p.fallback = group{}, group{}
	}
	r.pools = make(map[poolKey]*pool, len(previous))
	for _, m := range members {
		s := r.servers[m.GetBackend().GetName()]
		if s == nil || s.backend != m.Backend {
			continue
		}
		if s.backend.Service != "" {
			for _, loaded := range s.backend.Models {
				r.addToPool(previous, poolKey{service: s.backend.Service, model: loaded.Model}, s)
			}
			r.addToPool(previous, poolKey{service: s.backend.Service}, s)
			continue
		}
		for _, loaded := range s.backend.Models {
			key := poolKey{model: loaded.Model, weightsVersion: loaded.WeightsVersion}
			r.addToPool(previous, key, s)
			for _, adapter := range loaded.Adapters {
				key.adapter = adapter
				r.addToPool(previous, key, s)
			}
		}
	}
}

// addToPool adds a backend server to the pool with the given key, which is
// created if needed. A draining backend server is not added.
func (r *Router) addToPool(previous map[poolKey]*pool, key poolKey, s *server) {
	p := r.pools[key]
	if p == nil {
		p = previous[key]
		if p == nil {
			p = &pool{rate: defaultPrefillRate, meanSpeedRatio: 1, meanDuration: defaultMeanDuration, meanUnstreamed: defaultMeanDuration}
		}
		r.pools[key] = p
	}
	switch s.state {
	case wire.BackendState_BACKEND_STATE_READY:
		p.ready.add(s)
		s.meanWork = &p.meanWork
	case wire.BackendState_BACKEND_STATE_SUSPECTED, wire.BackendState_BACKEND_STATE_DAMPED, wire.BackendState_BACKEND_STATE_LOADING:
		p.fallback.add(s)
	}
}
