package routing

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

// modelState is what a router knows of one model at a backend server. The models of one engine have
// weights, and cached state, of their own.
type modelState struct {
	// name is the name of the model; empty for the state of requests without a known model.
	name string
	// weightsVersion is the version of the weights that the backend server holds; 0 if unknown.
	weightsVersion uint64
	// cacheVersion identifies the weights in keys and salts of cached state. It differs if
	// weights differ on which a request may run.
	cacheVersion uint64
	// engineID identifies the model's cached state in Router.index.
	engineID prefix.EngineID
	// startedAt is when the backend server began with an empty cache for the model; zero if
	// unknown.
	startedAt time.Time
	// pausedUntil is the time until which the model is not used here, since the backend server
	// has refused a request for it.
	pausedUntil time.Time
}

// available reports whether requests for the model are accepted, as far as refusals show.
func (m *modelState) available(now time.Time) bool { return !now.Before(m.pausedUntil) }

// modelState returns the state of a model. Requests that name no model, or one that the backend server does
// not hold, run on its only model, if it holds just one.
func (s *server) modelState(name string) *modelState {
	for _, m := range s.models {
		if m.name == name {
			return m
		}
	}
	if len(s.models) == 1 {
		return s.models[0]
	}
	return s.otherModel
}

// OnlyModel returns the model of a service's backend servers if each of them holds just that one, and an empty
// string otherwise. It is the model of requests that name none.
func (r *Router) OnlyModel(service string) string {
	p := r.pools[poolKey{service: service}]
	if p == nil {
		return ""
	}
	model := ""
	for _, g := range []group{p.ready, p.fallback} {
		for _, s := range g.servers {
			if len(s.models) != 1 || model != "" && s.models[0].name != model {
				return ""
			}
			model = s.models[0].name
		}
	}
	return model
}

// setModels sets the states of the models that a backend server announces now. The states of known are
// kept for models whose cached state is still usable. startedAt is that of the others.
func (r *Router) setModels(s *server, known []*modelState, startedAt time.Time) {
	s.models = make([]*modelState, 0, len(s.backend.Models))
	combined := uint64(0)
	for _, loaded := range s.backend.Models {
		version := weightsVersionOf(loaded)
		s.models = append(s.models, r.keepModel(s, known, modelState{name: loaded.Model, weightsVersion: version, cacheVersion: version, startedAt: startedAt}))
		combined += xxhash.Sum64String(loaded.Model + " " + loaded.WeightsVersion)
	}
	s.otherModel = nil
	if len(s.models) != 1 {
		s.otherModel = r.keepModel(s, known, modelState{cacheVersion: combined, startedAt: startedAt})
	}
	for _, old := range known {
		if !s.uses(old) {
			r.index.RemoveEngine(old.engineID)
		}
	}
}

// keepModel returns the known state of the same model on the same weights. If there is none, it adds an
// engine to the index and returns next with its ID. The index separates the versions of the weights of an
// engine with an agent, see prefix.Scope.
func (r *Router) keepModel(s *server, known []*modelState, next modelState) *modelState {
	for _, m := range known {
		if m.name == next.name && (m.cacheVersion == next.cacheVersion || s.backend.Address == "") {
			m.weightsVersion, m.cacheVersion = next.weightsVersion, next.cacheVersion
			return m
		}
	}
	next.engineID = r.index.AddEngine()
	return &next
}

// uses reports whether a state is one of the backend server now.
func (s *server) uses(state *modelState) bool {
	for _, m := range s.models {
		if m == state {
			return true
		}
	}
	return s.otherModel == state
}

// allModels returns the states of all models, with that of requests without a known model.
func (s *server) allModels() []*modelState {
	if s.otherModel == nil {
		return s.models
	}
	return append(s.models[:len(s.models):len(s.models)], s.otherModel)
}

// weightsVersionOf returns the weights version of a model; 0 if it is not a number.
func weightsVersionOf(loaded *wire.LoadedModel) uint64 {
	version, err := strconv.ParseUint(loaded.WeightsVersion, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// sameWeights reports whether a and b hold each model that both hold with the same weights.
func sameWeights(a, b *wire.Backend) bool {
	for _, before := range a.Models {
		for _, after := range b.Models {
			if before.Model == after.Model && before.WeightsVersion != after.WeightsVersion {
				return false
			}
		}
	}
	return true
}
