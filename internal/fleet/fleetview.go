package fleet

import (
	"cmp"
	"slices"
	"strings"

	"parsleypulley/internal/config"
	"parsleypulley/internal/wire"
)

// fleetView is the planner's view of the engines and the models loaded on them. It is
// updated as orders are planned.
type fleetView struct {
	models   []*config.Model
	minReady map[string]int
	// members holds the engines in state READY, which may receive orders.
	members []*wire.Member
	// ready is the number of engines that serve each model, at any version. An engine
	// with an open order does not count as ready for any model.
	// pending is the number of open orders for each model.
	ready, pending map[string]int
	// loading is the set of backend servers with an open order.
	loading map[string]bool
	// loadsByDomain is the number of backend servers with an open order in each
	// failure domain.
	loadsByDomain map[string]int
}

func newFleetView(in PlannerInput, open []*wire.Order) *fleetView {
	f := &fleetView{
		models:        in.Config.Models(),
		minReady:      map[string]int{},
		ready:         map[string]int{},
		pending:       map[string]int{},
		loading:       map[string]bool{},
		loadsByDomain: map[string]int{},
	}
	for _, model := range f.models {
		f.minReady[model.Name] = int(in.Config.ModelLimits(model).MinReady)
	}
	for _, member := range in.Members {
		if member.GetBackend().GetService() == "" && member.GetState() == wire.BackendState_BACKEND_STATE_READY {
			f.members = append(f.members, member)
			f.addReady(member, 1)
		}
	}
	for _, order := range open {
		f.applyOrder(order)
	}
	return f
}

func (f *fleetView) addReady(member *wire.Member, n int) {
	for _, loaded := range member.GetBackend().GetModels() {
		f.ready[loaded.GetModel()] += n
	}
}

// applyOrder records an open order and counts its engine as out of service.
func (f *fleetView) applyOrder(order *wire.Order) {
	f.pending[order.GetModel()]++
	if member := findMember(f.members, order.GetBackend()); member != nil && f.idle(member) {
		f.addReady(member, -1)
		f.loadsByDomain[member.GetBackend().GetFailureDomain()]++
	}
	f.loading[order.GetBackend()] = true
}

// canSpare reports whether an engine can be taken out of service for a load without
// any declared model falling below its minimum ready count.
func (f *fleetView) canSpare(member *wire.Member) bool {
	for _, loaded := range member.GetBackend().GetModels() {
		if f.ready[loaded.GetModel()]-1 < f.minReady[loaded.GetModel()] {
			return false
		}
	}
	return true
}

// anyStale reports whether an engine has the model loaded at another version than
// declared or without a declared adapter.
func (f *fleetView) anyStale(model *config.Model) bool {
	return slices.ContainsFunc(f.members, func(member *wire.Member) bool { return isStale(member, model) })
}

func isStale(member *wire.Member, model *config.Model) bool {
	loaded := loadedModel(member, model.Name)
	return loaded != nil && !upToDate(loaded, model.WeightsVersion, model.Adapters)
}

// loadCandidate reports whether an engine does not have the model loaded and can be
// spared to load it.
func (f *fleetView) loadCandidate(member *wire.Member, model *config.Model) bool {
	return f.idle(member) && loadedModel(member, model.Name) == nil && f.canSpare(member)
}

// updateCandidate reports whether an engine has the model loaded at another version
// than declared or without a declared adapter, and can be spared to update it.
func (f *fleetView) updateCandidate(member *wire.Member, model *config.Model) bool {
	return isStale(member, model) && f.idle(member) && f.canSpare(member)
}

func (f *fleetView) idle(member *wire.Member) bool {
	return !f.loading[member.GetBackend().GetName()]
}

// preferred reports whether a should load a model before b. It prefers the engine
// with fewer models, then the one whose failure domain has fewer loads in progress,
// then the lower name.
func (f *fleetView) preferred(a, b *wire.Member) bool {
	return cmp.Or(
		cmp.Compare(len(a.GetBackend().GetModels()), len(b.GetBackend().GetModels())),
		cmp.Compare(f.loadsByDomain[a.GetBackend().GetFailureDomain()], f.loadsByDomain[b.GetBackend().GetFailureDomain()]),
		strings.Compare(a.GetBackend().GetName(), b.GetBackend().GetName()),
	) < 0
}

func findMember(members []*wire.Member, name string) *wire.Member {
	i, found := slices.BinarySearchFunc(members, name, func(m *wire.Member, name string) int {
		return strings.Compare(m.GetBackend().GetName(), name)
	})
	if !found {
		return nil
	}
	return members[i]
}

func loadedModel(member *wire.Member, model string) *wire.LoadedModel {
	for _, loaded := range member.GetBackend().GetModels() {
		if loaded.GetModel() == model {
			return loaded
		}
	}
	return nil
}

// fulfills reports whether a member has loaded the model, version and adapters of an
// order.
func fulfills(member *wire.Member, order *wire.Order) bool {
	loaded := loadedModel(member, order.GetModel())
	return loaded != nil && upToDate(loaded, order.GetWeightsVersion(), order.GetAdapters())
}

func upToDate(loaded *wire.LoadedModel, version string, adapters []string) bool {
	if loaded.GetWeightsVersion() != version {
		return false
	}
	for _, adapter := range adapters {
		if !slices.Contains(loaded.GetAdapters(), adapter) {
			return false
		}
	}
	return true
}
