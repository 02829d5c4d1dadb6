// Package routes implements the route table: its replicated state, its validation
// and its lookups. The table defines to which backend servers calls are forwarded,
// based on their host and path.
package routes

import (
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// State is the replicated state of the route table. It is deterministic. The
// values that its methods return are never modified afterwards.
type State struct {
	table *wire.RouteTable
	// document is the declaration from which table was made.
	document []byte
	// weights holds the newest weights target of each model.
	weights []*wire.WeightsTarget
	// declaresAccounts is as in SetDeclaresAccounts.
	declaresAccounts func(document []byte) bool
}

// NewState returns the state before the first table.
func NewState() *State { return &State{} }

// SetDeclaresAccounts sets the function that reports whether a declaration has a list of client
// accounts, also an empty one. It must be the same at all replicas, and be set before the first
// table.
func (s *State) SetDeclaresAccounts(declares func(document []byte) bool) {
	s.declaresAccounts = declares
}

// StateKeys makes a table that was made from document state whether calls need an API key, if it
// does not. Earlier builds left that open for a declaration without client accounts, whether it
// had an empty list of them, which requires keys, or none. If the declaration does not tell
// either, keys are needed.
func (s *State) StateKeys(table *wire.RouteTable, document []byte) {
	if table == nil || table.GetKeysRequired() || table.GetKeysOptional() {
		return
	}
	declares := s.declaresAccounts == nil || len(table.GetAccounts()) > 0 || s.declaresAccounts(document)
	table.KeysRequired, table.KeysOptional = declares, !declares
}

// Apply puts a table in force if it is valid and its version is higher than that
// of the table in force. It reports whether the table changed.
func (s *State) Apply(change *wire.RouteTableChange) (*wire.RouteTableResult, bool) {
	next := change.GetTable()
	if problems := Validate(next); len(problems) > 0 {
		return &wire.RouteTableResult{Status: wire.RouteTableResult_STATUS_INVALID, Version: s.table.GetVersion(), Problems: problems}, false
	}
	if s.table != nil && next.GetVersion() <= s.table.GetVersion() {
		return &wire.RouteTableResult{Status: wire.RouteTableResult_STATUS_SUPERSEDED, Version: s.table.GetVersion()}, false
	}
	table := proto.CloneOf(next)
	s.StateKeys(table, change.GetDocument())
	continueSharing(s.table, table)
	s.table = table
	s.document = change.GetDocument()
	return &wire.RouteTableResult{Status: wire.RouteTableResult_STATUS_ACCEPTED, Version: next.GetVersion()}, true
}

// SetWeightsTarget sets the weights that the backend servers of a model load. It
// changes nothing if target is not newer than the current one of the model, and
// reports whether it changed anything.
func (s *State) SetWeightsTarget(target *wire.WeightsTarget) bool {
	next, changed := ReplaceWeightsTarget(s.weights, target)
	s.weights = next
	return changed
}

// Table returns the table in force, or nil.
func (s *State) Table() *wire.RouteTable { return s.table }

// Document returns the declaration from which the table in force was made.
func (s *State) Document() []byte { return s.document }

// Restore replaces the state with a table, its declaration and the weights
// targets, as stored in a view.
func (s *State) Restore(table *wire.RouteTable, document []byte, weights []*wire.WeightsTarget) {
	s.table, s.document, s.weights = table, document, weights
}

// ReplaceWeightsTarget returns a copy of targets in which target replaces an older
// one for the same model, and true. If targets contains one for the same model
// that is not older, ReplaceWeightsTarget returns targets itself and false. It
// does not modify targets.
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
