package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

const (
	// MaxResults is the number of changes whose results are kept.
	MaxResults = 10_000
	// MaxChangeIDBytes is the maximum length of a change ID.
	MaxChangeIDBytes = 128
	// maxResultProblems is the maximum number of problems kept in a result.
	maxResultProblems = 20
	// maxProblemBytes is the maximum length of the text of one problem in a
	// result.
	maxProblemBytes = 300
)

// State is the replicated state of the configuration: the configuration in force
// and the results of recent changes. It is deterministic: it depends only on the
// changes applied and their order. State is not safe for concurrent use, but the
// configuration that Compiled returns is.
type State struct {
	current *Compiled
	// results holds the results of recent changes by change ID.
	results map[string]*wire.ConfigResultRecord
	// changeIDs is a ring buffer of the keys of results, in the order in which
	// the changes were applied.
	changeIDs []string
	// oldestIndex is the index of the oldest entry of changeIDs.
	oldestIndex int
}

// NewState returns the state before the first change.
func NewState() *State {
	return &State{current: Empty(), results: map[string]*wire.ConfigResultRecord{}}
}

// Compiled returns the configuration in force.
func (s *State) Compiled() *Compiled { return s.current }

// Config returns the configuration in force as a message. The caller must not
// modify it.
func (s *State) Config() *wire.Config { return s.current.Config() }

// Apply validates a change and, if it is valid and based on the current
// revision, puts it in force. If there is a stored result for a change with the
// same ID and content, Apply changes nothing and returns that result, marked as
// repeated. Apply has therefore changed the configuration only if the status is
// accepted and the result is not marked as repeated. The caller must not modify
// change afterwards.
func (s *State) Apply(change *wire.ConfigChange) *wire.ConfigResult {
	if problem := checkChangeID(change.ChangeId); problem != "" {
		return s.invalidResult(problem)
	}
	hash := changeHash(change)
	if known, ok := s.results[change.ChangeId]; ok {
		return s.repeatedResult(known, hash)
	}
	result := s.decide(change)
	s.storeResult(&wire.ConfigResultRecord{ChangeId: change.ChangeId, Result: result, ChangeHash: hash})
	return proto.CloneOf(result)
}

func checkChangeID(id string) string {
	if id == "" {
		return "the change has no ID; give each change an ID of its own"
	}
	if len(id) > MaxChangeIDBytes {
		return fmt.Sprintf("the change ID has %d bytes; use at most %d", len(id), MaxChangeIDBytes)
	}
	return ""
}

// repeatedResult returns the recorded result for a change that was sent again. It
// returns an invalid result if the change ID was used for other content.
func (s *State) repeatedResult(known *wire.ConfigResultRecord, hash uint64) *wire.ConfigResult {
	if known.ChangeHash != hash {
		return s.invalidResult("the change ID was used for another change; use a new one")
	}
	result := proto.CloneOf(known.Result)
	result.RepeatedChange = true
	return result
}

func (s *State) decide(change *wire.ConfigChange) *wire.ConfigResult {
	if change.BaseRevision != s.current.Revision {
		return &wire.ConfigResult{Status: wire.ConfigResult_STATUS_CONFLICT, Revision: s.current.Revision}
	}
	next, err := s.current.With(change)
	if err != nil {
		return s.invalidResult(problemTexts(err)...)
	}
	s.current = next
	return &wire.ConfigResult{Status: wire.ConfigResult_STATUS_ACCEPTED, Revision: next.Revision}
}

func (s *State) invalidResult(problems ...string) *wire.ConfigResult {
	return &wire.ConfigResult{
		Status:   wire.ConfigResult_STATUS_INVALID,
		Revision: s.current.Revision,
		Problems: problems,
	}
}

// problemTexts returns the texts of the problems in err, limited in number and
// length.
func problemTexts(err error) []string {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return []string{err.Error()}
	}
	var texts []string
	for _, p := range invalid.Problems[:min(len(invalid.Problems), maxResultProblems)] {
		text := p.String()
		texts = append(texts, strings.ToValidUTF8(text[:min(len(text), maxProblemBytes)], ""))
	}
	if more := len(invalid.Problems) - maxResultProblems; more > 0 {
		texts = append(texts, fmt.Sprintf("and %d more", more))
	}
	return texts
}

// changeHash returns a hash of a change without its ID and its operator.
func changeHash(change *wire.ConfigChange) uint64 {
	content := &wire.ConfigChange{
		BaseRevision:   change.BaseRevision,
		PutAccounts:    change.PutAccounts,
		PutModels:      change.PutModels,
		PutServices:    change.PutServices,
		PutPresets:     change.PutPresets,
		DeleteAccounts: change.DeleteAccounts,
		DeleteModels:   change.DeleteModels,
		DeleteServices: change.DeleteServices,
		DeletePresets:  change.DeletePresets,
		PresetInForce:  change.PresetInForce,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return 0 // fails only for invalid UTF-8, which a decoded message can't contain
	}
	return xxhash.Sum64(data)
}

// storeResult stores a result. If there are already MaxResults results, it
// deletes the oldest one.
func (s *State) storeResult(record *wire.ConfigResultRecord) {
	s.results[record.ChangeId] = record
	if len(s.changeIDs) < MaxResults {
		s.changeIDs = append(s.changeIDs, record.ChangeId)
		return
	}
	delete(s.results, s.changeIDs[s.oldestIndex])
	s.changeIDs[s.oldestIndex] = record.ChangeId
	s.oldestIndex = (s.oldestIndex + 1) % len(s.changeIDs)
}

// Results returns the stored results for a snapshot, oldest first. The caller
// must not modify them.
func (s *State) Results() []*wire.ConfigResultRecord {
	records := make([]*wire.ConfigResultRecord, 0, len(s.changeIDs))
	for i := range s.changeIDs {
		id := s.changeIDs[(s.oldestIndex+i)%len(s.changeIDs)]
		records = append(records, s.results[id])
	}
	return records
}

// Restore replaces the state with the one from a snapshot. If the configuration
// is invalid, Restore returns an error and leaves the state unchanged.
func (s *State) Restore(config *wire.Config, results []*wire.ConfigResultRecord) error {
	compiled, err := Compile(config)
	if err != nil {
		return fmt.Errorf("restore configuration: %w", err)
	}
	restored := NewState()
	restored.current = compiled
	for _, record := range results {
		restored.storeResult(record)
	}
	*s = *restored
	return nil
}
