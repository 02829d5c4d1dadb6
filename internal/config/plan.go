package config

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"parsleypulley/internal/wire"
)

// PlanStep is one object that a change touches, as operators read it.
type PlanStep struct {
	// Action is add, change, remove or use.
	Action string `json:"action"`
	// Kind is account, model, service or preset.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields tells what differs in an object that is changed.
	Fields []string `json:"fields,omitempty"`
}

// The actions of a Step.
const (
	ActionAdd    = "add"
	ActionChange = "change"
	ActionRemove = "remove"
	// ActionUse puts a preset in force.
	ActionUse = "use"
)

// Plan lists what change does to current, ordered by kind and name.
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
			step.Fields = differences(before, o)
		}
		steps = append(steps, step)
	}
	for _, name := range deleted {
		steps = append(steps, PlanStep{Action: ActionRemove, Kind: kind, Name: name})
	}
	slices.SortStableFunc(steps, func(a, b PlanStep) int { return cmp.Compare(a.Name, b.Name) })
	return steps
}

// secretField holds a value that plans don't print.
const secretField = "cache_salt"

// differences describes the fields in which two messages of one type differ.
func differences(before, after proto.Message) []string {
	var texts []string
	old, now := before.ProtoReflect(), after.ProtoReflect()
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if old.Has(field) == now.Has(field) && old.Get(field).Equal(now.Get(field)) {
			continue
		}
		texts = append(texts, difference(field, old.Get(field), now.Get(field)))
	}
	return texts
}

func difference(field protoreflect.FieldDescriptor, old, now protoreflect.Value) string {
	if field.IsList() {
		return fmt.Sprintf("%s: changed, %d entries, now %d", field.Name(), old.List().Len(), now.List().Len())
	}
	if field.Name() == secretField {
		return fmt.Sprintf("%s: changed", field.Name())
	}
	return fmt.Sprintf("%s: %v, now %v", field.Name(), old, now)
}
