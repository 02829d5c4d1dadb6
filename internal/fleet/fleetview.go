package fleet

import (
	"cmp"
	"slices"
	"strings"

	"parsleypulley/internal/config"
	"parsleypulley/internal/wire"
)

// fleetView is the planner's view of the engines and what they hold.
type fleetView struct {
	models   []*config.Model
	minReady map[string]int
	// members are the engines in service, which may be given orders.
	members []*wire.Member
	// ready counts the engines that serve a model, at any version, and coming
	// the open orders for it. An engine with an open order is not ready, for any
	// model.
	ready, coming map[string]int
	// loading holds the backend servers with an open order, and loads their
	// number in each failure domain.
	loading map[string]bool
	loads   map[string]int
}

func newFleetView(in PlannerInput, open []*wire.Order) *fleetView {
	f := &fleetView{
		models:   in.Config.Models(),
		minReady: map[string]int{},
		ready:    map[string]int{},
		coming:   map[string]int{},
		loading:  map[string]bool{},
		loads:    map[string]int{},
	}
	for _, model := range f.models {
		f.minReady[model.Name] = int(in.Config.ModelLimits(model).MinReady)
	}
	for _, member := range in.Members {
		if member.GetBackend().GetService() == "" && member.GetState() == wire.BackendState_BACKEND_STATE_READY {
			f.members = append(f.members, member)
			f.count(member, 1)
		}
	}
	for _, order := range open {
		f.take(order)
	}
	return f
}

func (f *fleetView) count(member *wire.Member, n int) {
	for _, held := range member.GetBackend().GetModels() {
		f.ready[held.GetModel()] += n
	}
}

// take takes the engine of an order out of service.
func (f *fleetView) take(order *wire.Order) {
	f.coming[order.GetModel()]++
	if member := find(f.members, order.GetBackend()); member != nil && f.idle(member) {
		f.count(member, -1)
		f.loads[member.GetBackend().GetFailureDomain()]++
	}
	f.loading[order.GetBackend()] = true
}

// spare reports whether an engine can be taken out of service for a load
// without any declared model falling below its ready count.
func (f *fleetView) spare(member *wire.Member) bool {
	for _, held := range member.GetBackend().GetModels() {
		if f.ready[held.GetModel()]-1 < f.minReady[held.GetModel()] {
			return false
		}
	}
	return true
}

// anyStale reports whether an engine holds the model otherwise than declared.
func (f *fleetView) anyStale(model *config.Model) bool {
	return slices.ContainsFunc(f.members, func(member *wire.Member) bool { return isStale(member, model) })
}

func isStale(member *wire.Member, model *config.Model) bool {
	held := loaded(member, model.Name)
	return held != nil && !upToDate(held, model.WeightsVersion, model.Adapters)
}

// freshCandidate accepts engines that don't hold the model and can be spared.
func (f *fleetView) freshCandidate(member *wire.Member, model *config.Model) bool {
	return f.idle(member) && loaded(member, model.Name) == nil && f.spare(member)
}

// staleCandidate accepts engines that hold the model at another version or
// without a declared adapter, and can be spared.
func (f *fleetView) staleCandidate(member *wire.Member, model *config.Model) bool {
	return isStale(member, model) && f.idle(member) && f.spare(member)
}

func (f *fleetView) idle(member *wire.Member) bool {
	return !f.loading[member.GetBackend().GetName()]
}

// better reports whether a is to be loaded before b: the one with fewer models,
// then the one in the failure domain with fewer loads under way, then by name.
func (f *fleetView) better(a, b *wire.Member) bool {
	return cmp.Or(
		cmp.Compare(len(a.GetBackend().GetModels()), len(b.GetBackend().GetModels())),
		cmp.Compare(f.loads[a.GetBackend().GetFailureDomain()], f.loads[b.GetBackend().GetFailureDomain()]),
		strings.Compare(a.GetBackend().GetName(), b.GetBackend().GetName()),
	) < 0
}

func find(members []*wire.Member, name string) *wire.Member {
	i, found := slices.BinarySearchFunc(members, name, func(m *wire.Member, name string) int {
		return strings.Compare(m.GetBackend().GetName(), name)
	})
	if !found {
		return nil
	}
	return members[i]
}

func loaded(member *wire.Member, model string) *wire.LoadedModel {
	for _, held := range member.GetBackend().GetModels() {
		if held.GetModel() == model {
			return held
		}
	}
	return nil
}

// holds reports whether a member holds what an order asks for.
func holds(member *wire.Member, order *wire.Order) bool {
	held := loaded(member, order.GetModel())
	return held != nil && upToDate(held, order.GetWeightsVersion(), order.GetAdapters())
}

func upToDate(held *wire.LoadedModel, version string, adapters []string) bool {
	if held.GetWeightsVersion() != version {
		return false
	}
	for _, adapter := range adapters {
		if !slices.Contains(held.GetAdapters(), adapter) {
			return false
		}
	}
	return true
}
