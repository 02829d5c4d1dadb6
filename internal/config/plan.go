package config

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"parsleypulley/internal/wire"
)

// PlanStep describes for operators what a change does to one object.
type PlanStep struct {
	// Action is one of ActionAdd, ActionChange, ActionRemove and ActionUse.
	Action string `json:"action"`
	// Kind is the kind of the object: account, model, service or preset.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields describes each field that differs if Action is ActionChange.
	Fields []string `json:"fields,omitempty"`
}

// Actions of a PlanStep.
const (
	ActionAdd    = "add"
	ActionChange = "change"
	ActionRemove = "remove"
	// ActionUse puts the preset in force.
	ActionUse = "use"
)

// Plan lists what change does to current: accounts, models, services and
// presets, each sorted by name, and last the preset to put in force.
func Plan(current *wire.Config, change *wire.ConfigChange) []PlanStep {
	var steps []PlanStep
	steps = append(steps, planList("account", current.GetAccounts(), change.GetPutAccounts(), change.GetDeleteAccounts())...)
	steps = append(steps, planList("model", current.GetModels(), change.GetPutModels(), change.GetDeleteModels())...)
	steps = append(steps, planList("service", current.GetServices(), change.GetPutServices(), change.GetDeleteServices())...)
	steps = append(steps, planList("preset", current.GetPresets(), change.GetPutPresets(), change.GetDeletePresets())...)
	if change.GetPresetInForce() != "" {
		steps = append(steps, PlanStep{Action: ActionUse, Kind: "preset", Name: change.GetPresetInForce()})
	}
	return steps
}

// planList returns the steps for the objects of one kind.
func planList[T object](kind string, current, put []T, deleted []string) []PlanStep {
	old := make(map[string]T, len(current))
	for _, o := range current {
		old[o.GetName()] = o
	}
	var steps []PlanStep
	for _, o := range put {
		step := PlanStep{Action: ActionAdd, Kind: kind, Name: o.GetName()}
		if before, ok := old[o.GetName()]; ok {
			step.Action = ActionChange
			step.Fields = describeChangedFields(before, o)
		}
		steps = append(steps, step)
	}
	for _, name := range deleted {
		steps = append(steps, PlanStep{Action: ActionRemove, Kind: kind, Name: name})
	}
	slices.SortStableFunc(steps, func(a, b PlanStep) int { return cmp.Compare(a.Name, b.Name) })
	return steps
}

// secretFieldName is the name of the field whose value plans do not show.
const secretFieldName = "cache_salt"

// describeChangedFields describes each field in which two messages of the same
// type differ.
func describeChangedFields(before, after proto.Message) []string {
	var texts []string
	old, now := before.ProtoReflect(), after.ProtoReflect()
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if old.Has(field) == now.Has(field) && old.Get(field).Equal(now.Get(field)) {
			continue
		}
		texts = append(texts, describeChangedField(field, old.Get(field), now.Get(field)))
	}
	return texts
}

func describeChangedField(field protoreflect.FieldDescriptor, old, now protoreflect.Value) string {
	if field.IsList() {
		return fmt.Sprintf("%s: changed, %d entries, now %d", field.Name(), old.List().Len(), now.List().Len())
	}
	if field.Name() == secretFieldName {
		return fmt.Sprintf("%s: changed", field.Name())
	}
	return fmt.Sprintf("%s: %v, now %v", field.Name(), old, now)
}
