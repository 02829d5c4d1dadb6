package config

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// Diff returns the change that turns current into want, based on the revision
// of current. The change keeps the preset in force if it exists in want, so
// that applying a declaration again does not undo a switch of presets. Otherwise
// it switches to the preset that is in force in want. Diff does not set the
// change ID and the operator.
func Diff(current, want *wire.Config) *wire.ConfigChange {
	change := &wire.ConfigChange{BaseRevision: current.GetRevision()}
	change.PutAccounts, change.DeleteAccounts = diffList(current.GetAccounts(), want.GetAccounts())
	change.PutModels, change.DeleteModels = diffList(current.GetModels(), want.GetModels())
	change.PutServices, change.DeleteServices = diffList(current.GetServices(), want.GetServices())
	change.PutPresets, change.DeletePresets = diffList(current.GetPresets(), want.GetPresets())
	if !hasPreset(want, current.GetPresetInForce()) {
		change.PresetInForce = want.GetPresetInForce()
	}
	return change
}

// IsEmpty reports whether change contains no modification.
func IsEmpty(change *wire.ConfigChange) bool { return isEmptyChange(change) }

func hasPreset(c *wire.Config, name string) bool {
	return slices.ContainsFunc(c.GetPresets(), func(p *wire.Preset) bool { return p.Name == name })
}

// object is a named object of a configuration.
type object interface {
	proto.Message
	GetName() string
}

// diffList returns the objects to put and the names of the objects to delete to
// turn the list current into the list want.
func diffList[T object](current, want []T) (put []T, deleted []string) {
	old := make(map[string]T, len(current))
	for _, o := range current {
		old[o.GetName()] = o
	}
	for _, o := range want {
		before, ok := old[o.GetName()]
		if !ok || !proto.Equal(before, o) {
			put = append(put, o)
		}
		delete(old, o.GetName())
	}
	for _, o := range current {
		if _, gone := old[o.GetName()]; gone {
			deleted = append(deleted, o.GetName())
		}
	}
	return put, deleted
}
