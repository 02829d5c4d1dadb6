package routing

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/wire"
)

// group is a list of backend servers. Their seeds lie together, since a choice
// reads all of them.
type group struct {
	servers    []*server
	nameHashes []uint64
}

func (g *group) add(s *server) {
	g.servers = append(g.servers, s)
	g.nameHashes = append(g.nameHashes, s.nameHash)
}

// defaultMeanDuration is the assumed time of a request until observed, in seconds.
const defaultMeanDuration = 1

// poolKey names what a backend server must offer.
type poolKey struct{ service, model, weightsVersion, adapter string }

// pool is the set of backend servers that offer the same.
type pool struct {
	ready group
	// fallback holds suspected and damped backend servers, used when nothing
	// else is there.
	fallback group
	rate     prefillRate
	// meanSpeedRatio is the moving mean of the speeds of its backend servers.
	meanSpeedRatio float64
	// meanDuration is the moving mean time of a request at a backend server, in
	// seconds.
	meanDuration float64
	// classes splits engines without an agent.
	classes classes
}

// SetBackends takes the backend servers of a view. What was learnt of those
// whose incarnation has not changed is kept.
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
		if s == nil || !sameInstance(s.backend, m.Backend) {
			s = r.newServer(now, m.Backend, first)
		}
		s.backend = m.Backend
		s.weightsVersion = weightsVersionOf(m.Backend)
		s.state = m.State
		if r.servers[m.Backend.Name] == nil {
			r.order = append(r.order, s)
		}
		r.servers[m.Backend.Name] = s
	}
	for name, s := range previous {
		if r.servers[name] != s {
			r.index.Close(s.engineID)
		}
	}
	r.buildPools(members)
	for _, p := range r.pools {
		p.classes.split(p.ready.servers, true)
	}
}

// newServer begins a life of a backend server. One that was there when the
// router started may hold cached state already.
func (r *Router) newServer(now time.Time, b *wire.Backend, first bool) *server {
	s := &server{
		backend:    b,
		nameHash:   xxhash.Sum64String(b.Name),
		sameDomain: b.FailureDomain == r.domain,
		engineID:   r.index.Open(),
	}
	if !first {
		s.startedAt = now
	}
	return s
}

// sameInstance reports whether what was learnt of a holds for b: an engine without
// an agent loses its cached state with its weights.
func sameInstance(a, b *wire.Backend) bool {
	return a.AgentIncarnation == b.AgentIncarnation && a.EngineIncarnation == b.EngineIncarnation &&
		(a.Address == "" || weightsVersionOf(a) == weightsVersionOf(b))
}

// weightsVersionOf returns the version of the first model that a backend server holds;
// 0 when there is none or it is no number.
func weightsVersionOf(b *wire.Backend) uint64 {
	if len(b.Models) == 0 {
		return 0
	}
	version, err := strconv.ParseUint(b.Models[0].WeightsVersion, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// buildPools sorts the backend servers by what they offer, in the order of the
// view.
func (r *Router) buildPools(members []*wire.Member) {
	previous := r.pools
	r.pools = make(map[poolKey]*pool, len(previous))
	for _, m := range members {
		s := r.servers[m.GetBackend().GetName()]
		if s == nil || s.backend != m.Backend {
			continue
		}
		if s.backend.Service != "" {
			r.addToPool(previous, poolKey{service: s.backend.Service}, s)
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

// addToPool adds a backend server to a pool; a draining one joins none.
func (r *Router) addToPool(previous map[poolKey]*pool, key poolKey, s *server) {
	p := r.pools[key]
	if p == nil {
		p = &pool{rate: defaultPrefillRate, meanSpeedRatio: 1, meanDuration: defaultMeanDuration}
		if old := previous[key]; old != nil {
			p.rate, p.meanSpeedRatio, p.meanDuration, p.classes = old.rate, old.meanSpeedRatio, old.meanDuration, old.classes
		}
		r.pools[key] = p
	}
	switch s.state {
	case wire.BackendState_BACKEND_STATE_READY:
		p.ready.add(s)
	case wire.BackendState_BACKEND_STATE_SUSPECTED, wire.BackendState_BACKEND_STATE_DAMPED, wire.BackendState_BACKEND_STATE_LOADING:
		p.fallback.add(s)
	}
}
