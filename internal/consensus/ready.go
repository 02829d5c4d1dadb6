package consensus

import (
	"time"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// HasReady reports whether Ready would hold anything.
func (r *Replica) HasReady() bool {
	return len(r.messages) > 0 || len(r.reads) > 0 || r.installed != nil ||
		r.log.stable < r.log.lastIndex() || r.log.applied < r.log.committed || r.mustSave()
}

func (r *Replica) mustSave() bool {
	return r.term != r.saved.Term || r.vote != r.saved.Vote
}

// Ready returns what is to be done. No other method may be called before Advance.
func (r *Replica) Ready() *Ready {
	rd := &Ready{
		HardState: r.hardState(),
		Snapshot:  r.installed,
		Entries:   r.log.slice(r.log.stable+1, r.log.lastIndex()),
		Reads:     r.reads,
	}
	rd.MustSync = r.mustSave() || rd.Snapshot != nil || len(rd.Entries) > 0
	rd.ImmediateMessages, rd.Messages = r.splitMessages()
	if r.log.applied < r.log.committed {
		last := min(r.log.committed, r.log.lastIndex())
		batch := r.log.batch(r.log.applied+1, r.options.MaxApplyBytes)
		last = min(last, r.log.applied+uint64(len(batch)))
		rd.Committed = r.log.slice(r.log.applied+1, last)
	}
	r.messages = nil
	r.reads = nil
	r.installed = nil
	return rd
}

// splitMessages parts what may be sent before the sync. A leader's messages
// promise nothing about its own disk once its term is durable.
func (r *Replica) splitMessages() (early, late []*wire.ConsensusMessage) {
	if r.role != Leader || r.mustSave() {
		return nil, r.messages
	}
	for _, m := range r.messages {
		switch m.Type {
		case wire.ConsensusMessage_TYPE_APPEND, wire.ConsensusMessage_TYPE_HEARTBEAT, wire.ConsensusMessage_TYPE_SNAPSHOT:
			early = append(early, m)
		default:
			late = append(late, m)
		}
	}
	return early, late
}

// Advance tells that all of rd is done.
func (r *Replica) Advance(now time.Time, rd *Ready) {
	if rd.MustSync {
		r.saved = rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = rd.Committed[n-1].Index
	}
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

// MakeSnapshot returns a snapshot, without data, of what has been applied.
func (r *Replica) MakeSnapshot() *storage.Snapshot {
	term, _ := r.log.term(r.log.applied)
	return &storage.Snapshot{
		ID:       storage.EntryID{Index: r.log.applied, Term: term},
		Replicas: r.set.at(r.log.applied),
	}
}

// SnapshotSaved tells that s is durable; it is sent to followers from now on.
// The log up to compactTo is forgotten.
func (r *Replica) SnapshotSaved(s *storage.Snapshot, compactTo uint64) {
	if r.snapshot != nil && r.snapshot.ID.Index >= s.ID.Index {
		return
	}
	r.snapshot = s
	r.log.compact(min(compactTo, s.ID.Index))
	r.set.compact(r.log.base.Index)
}
