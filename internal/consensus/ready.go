package consensus

import (
	"time"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// HasReady reports whether there is work for the caller, so that Ready should be
// called.
func (r *Replica) HasReady() bool {
	return len(r.messages) > 0 || len(r.reads) > 0 || r.installedSnapshot != nil ||
		r.log.stableIndex < r.log.lastIndex() || r.log.appliedIndex < r.log.commitIndex || r.hardStateChanged()
}

func (r *Replica) hardStateChanged() bool {
	// A changed commit index alone needs no sync: a replica that restarts learns it
	// again from the leader.
	return r.term != r.savedHardState.Term || r.vote != r.savedHardState.Vote
}

// Ready returns the work for the caller. No other method may be called until
// Advance has been called.
func (r *Replica) Ready() *Ready {
	rd := &Ready{
		HardState: r.hardState(),
		Snapshot:  r.installedSnapshot,
		Entries:   r.log.slice(r.log.stableIndex+1, r.log.lastIndex()),
		Reads:     r.reads,
	}
	rd.MustSync = r.hardStateChanged() || rd.Snapshot != nil || len(rd.Entries) > 0
	rd.ImmediateMessages, rd.Messages = r.splitMessages()
	if r.log.appliedIndex < r.log.commitIndex {
		last := min(r.log.commitIndex, r.log.lastIndex())
		batch := r.log.batch(r.log.appliedIndex+1, r.options.MaxApplyBytes)
		last = min(last, r.log.appliedIndex+uint64(len(batch)))
		rd.Committed = r.log.slice(r.log.appliedIndex+1, last)
	}
	r.messages = nil
	r.reads = nil
	r.installedSnapshot = nil
	return rd
}

// splitMessages separates the messages that may be sent before the sync. Once the
// term is durable, the append, heartbeat and snapshot messages of a leader don't
// depend on its own disk: it counts itself towards a quorum only after the sync.
func (r *Replica) splitMessages() (immediate, afterSync []*wire.ConsensusMessage) {
	if r.role != Leader || r.hardStateChanged() {
		return nil, r.messages
	}
	for _, m := range r.messages {
		switch m.Type {
		case wire.ConsensusMessage_TYPE_APPEND, wire.ConsensusMessage_TYPE_HEARTBEAT, wire.ConsensusMessage_TYPE_SNAPSHOT:
			immediate = append(immediate, m)
		default:
			afterSync = append(afterSync, m)
		}
	}
	return immediate, afterSync
}

// Advance reports that all work in rd is done.
func (r *Replica) Advance(now time.Time, rd *Ready) {
	if rd.MustSync {
		r.savedHardState = rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stableIndex = rd.Entries[n-1].Index
	}
	if n := len(rd.Committed); n > 0 {
		r.log.appliedIndex = rd.Committed[n-1].Index
	}
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

// MakeSnapshot returns a snapshot of the last applied entry. The caller fills in
// Data.
func (r *Replica) MakeSnapshot() *storage.Snapshot {
	term, _ := r.log.term(r.log.appliedIndex)
	return &storage.Snapshot{
		ID:       storage.EntryID{Index: r.log.appliedIndex, Term: term},
		Replicas: r.set.at(r.log.appliedIndex),
	}
}

// SnapshotSaved reports that s is durable, so that it can be sent to followers. The
// log is compacted up to compactTo, but not past s.
func (r *Replica) SnapshotSaved(s *storage.Snapshot, compactTo uint64) {
	if r.snapshot != nil && r.snapshot.ID.Index >= s.ID.Index {
		return
	}
	r.snapshot = s
	r.log.compact(min(compactTo, s.ID.Index))
	r.set.compact(r.log.base.Index)
}
