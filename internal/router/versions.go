package router

import (
	"parsleypulley/internal/config"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// versions maps each model to the weights version that its requests run on.
type versions map[string]string

// servingVersion returns the weights version that requests for model run on. For a
// model of a view that is not yet applied, it is the declared version.
func (r *Router) servingVersion(model *config.Model) string {
	if version, ok := (*r.versions.Load())[model.Name]; ok {
		return version
	}
	return model.WeightsVersion
}

// loadedVersion identifies one weights version of one model.
type loadedVersion struct{ model, version string }

// servingVersions chooses the weights version of each model. It is the version that most
// ready backend servers have loaded, or the declared version if there are none. During a
// rollout, the first few backend servers with the declared version could not carry the
// model's load.
func servingVersions(s *view.Snapshot) versions {
	ready := countReady(s)
	out := versions{}
	for _, model := range s.Config.Models() {
		out[model.Name] = model.WeightsVersion
	}
	for l, n := range ready {
		declared, ok := s.Config.Model(l.model)
		if !ok {
			continue
		}
		serving := out[l.model]
		most := ready[loadedVersion{l.model, serving}]
		// Ties go to the declared version, then to the first version by name, so
		// that all routers make the same choice.
		tie := n == most && serving != declared.WeightsVersion &&
			(l.version == declared.WeightsVersion || l.version < serving)
		if n > most || tie {
			out[l.model] = l.version
		}
	}
	return out
}

// countReady counts the ready backend servers that have loaded each version.
func countReady(s *view.Snapshot) map[loadedVersion]int {
	ready := map[loadedVersion]int{}
	for _, m := range s.Members() {
		if m.State != wire.BackendState_BACKEND_STATE_READY {
			continue
		}
		for _, l := range m.Backend.Models {
			ready[loadedVersion{l.Model, l.WeightsVersion}]++
		}
	}
	return ready
}
