package storage

import "parsleypulley/internal/wire"

// HardState is the Raft state that must be durable before a replica replies to a
// message.
type HardState struct {
	// Term is the newest term seen.
	Term uint64
	// Vote is the replica voted for in Term, or 0.
	Vote uint64
	// Commit is an index known to be committed. It may lag behind the commit index.
	Commit uint64
}

// EntryID identifies a log entry by index and term.
type EntryID struct {
	Index uint64
	Term  uint64
}

// Snapshot is the state of the state machine after the entry ID was applied.
type Snapshot struct {
	ID EntryID
	// Replicas is the replica set in force at ID.
	Replicas *wire.ReplicaSet
	Data     []byte
}

// State is the durable state that a store recovered from its data folder.
type State struct {
	// Identity is the replica's random identity.
	Identity  uint64
	HardState HardState
	// Snapshot is the newest usable snapshot, or nil.
	Snapshot *Snapshot
	// Base is the entry before the first of Entries. It is never after Snapshot.
	Base EntryID
	// Entries are the log entries after Base, without gaps.
	Entries []*wire.LogEntry
}

// LastIndex returns the index of the last entry.
func (s *State) LastIndex() uint64 { return s.Base.Index + uint64(len(s.Entries)) }
