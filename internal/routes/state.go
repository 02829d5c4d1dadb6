// Package routes holds the table by which calls are forwarded to backend
// servers by host and path: its replicated state, its rules and its look-ups.
package routes

import (
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// State is the replicated route table. It is deterministic, and what it hands
// out is never modified afterwards.
type State struct {
	table    *wire.RouteTable
	document []byte
	weights  []*wire.WeightsTarget
}

// NewState returns the state before the first table.
func NewState() *State { return &State{} }

// Apply takes a table into force if its version is the highest so far. It
// reports whether the table has changed.
func (s *State) Apply(change *wire.RouteTableChange) (*wire.RouteTableResult, bool) {
	next := change.GetTable()
	if problems := Validate(next); len(problems) > 0 {
		return &wire.RouteTableResult{Status: wire.RouteTableResult_STATUS_INVALID, Version: s.table.GetVersion(), Problems: problems}, false
	}
	if s.table != nil && next.GetVersion() <= s.table.GetVersion() {
		return &wire.RouteTableResult{Status: wire.RouteTableResult_STATUS_SUPERSEDED, Version: s.table.GetVersion()}, false
	}
	s.table = proto.CloneOf(next)
	s.document = change.GetDocument()
	return &wire.RouteTableResult{Status: wire.RouteTableResult_STATUS_ACCEPTED, Version: next.GetVersion()}, true
}

// SetWeightsTarget names the weights of a model and reports whether they are newer
// than those named before.
func (s *State) SetWeightsTarget(target *wire.WeightsTarget) bool {
	next, changed := ReplaceWeightsTarget(s.weights, target)
	s.weights = next
	return changed
}

// Table returns the table in force, or nil.
func (s *State) Table() *wire.RouteTable { return s.table }

// Document returns the declaration that the table in force came from.
func (s *State) Document() []byte { return s.document }

// Restore replaces the state by the one that Table, Document and the weights of
// the view gave.
func (s *State) Restore(table *wire.RouteTable, document []byte, weights []*wire.WeightsTarget) {
	s.table, s.document, s.weights = table, document, weights
}

// ReplaceWeightsTarget returns targets with target in place of an older one of the same
// model, and whether that changed anything. The slice passed in is kept as it is.
func ReplaceWeightsTarget(targets []*wire.WeightsTarget, target *wire.WeightsTarget) ([]*wire.WeightsTarget, bool) {
	next := make([]*wire.WeightsTarget, 0, len(targets)+1)
	for _, known := range targets {
		if known.GetModel() != target.GetModel() {
			next = append(next, known)
			continue
		}
		if known.GetVersion() >= target.GetVersion() {
			return targets, false
		}
	}
	return append(next, target), true
}
