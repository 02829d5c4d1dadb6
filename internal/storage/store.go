package storage

import (
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"

	"parsleypulley/internal/wire"
)

// keptSnapshots is the number of snapshots that compaction keeps: the newest one, and
// one to fall back to if the newest is damaged.
const keptSnapshots = 2

// Store is the open durable state of one replica. Its methods are safe for concurrent
// use.
type Store struct {
	fs           FS
	dir          string
	segmentBytes int64
	lock         io.Closer
	recovered    *State

	mu sync.Mutex
	// failed is the first error of a write or sync, or that the store is closed.
	failed error
	// file is the active segment, open for appending.
	file File
	// segments are the segment files, oldest first; the last one is active.
	segments []segment
	// snapshots are the snapshot files, oldest first.
	snapshots []EntryID
	hardState HardState
	// last is the last entry of the log.
	last EntryID
	// batch is the number of the last synced batch.
	batch uint64
	// buf holds the records of the next batch.
	buf []byte
	// lastRecordOffset is the offset in buf of the last record.
	lastRecordOffset int
}

// State returns the state that Open recovered. Later writes don't update it.
func (s *Store) State() *State { return s.recovered }

// ReleaseState drops the recovered state except for the identity, so that its memory
// can be freed.
func (s *Store) ReleaseState() { s.recovered = &State{Identity: s.recovered.Identity} }

// Identity returns the replica's identity.
func (s *Store) Identity() uint64 { return s.recovered.Identity }

// Save writes the hard state and the entries as one batch and syncs once. The entries
// replace all earlier ones from the index of the first on. After an error nothing of
// the batch is acknowledged, and all later calls fail.
func (s *Store) Save(hs HardState, entries []*wire.LogEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hs != s.hardState {
		s.addRecord(kindHardState, encodeUint64s(hs.Term, hs.Vote, hs.Commit))
	}
	for _, e := range entries {
		s.addRecord(kindEntry, encodeEntry(e))
	}
	if err := s.syncBatch(); err != nil {
		return err
	}
	s.hardState = hs
	if n := len(entries); n > 0 {
		s.last = EntryID{Index: entries[n-1].Index, Term: entries[n-1].Term}
		seg := s.active()
		seg.maxIndex = max(seg.maxIndex, s.last.Index)
	}
	if s.active().size < s.segmentBytes {
		return nil
	}
	return s.recordFailure(s.rotate())
}

// MarkSynced appends a record, without syncing it, that proves that the last batch was
// synced. Without it, recovery can't distinguish later damage to the last batch from a
// batch that was torn by a crash. It should be called when the store is idle.
func (s *Store) MarkSynced() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failedError()
	}
	mark := appendRecord(nil, kindSyncMarker, s.batch+1, nil)
	if _, err := s.file.Write(mark); err != nil {
		return s.recordFailure(err)
	}
	s.active().size += int64(len(mark))
	return nil
}

// SaveSnapshot writes a snapshot of this replica's own state.
func (s *Store) SaveSnapshot(snap *Snapshot) error {
	s.mu.Lock()
	failed := s.failed
	s.mu.Unlock()
	if failed != nil {
		return s.failedError()
	}
	err := writeSnapshot(s.fs, s.dir, snap)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return s.recordFailure(err)
	}
	at, _ := slices.BinarySearchFunc(s.snapshots, snap.ID, func(a, b EntryID) int {
		return cmp.Compare(a.Index, b.Index)
	})
	s.snapshots = slices.Insert(s.snapshots, at, snap.ID)
	return nil
}

// InstallSnapshot writes a snapshot received from the leader and empties the log. The
// log continues after the snapshot.
func (s *Store) InstallSnapshot(snap *Snapshot) error {
	if err := s.SaveSnapshot(snap); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeReset(snap.ID)
}

func (s *Store) writeReset(id EntryID) error {
	s.addRecord(kindReset, encodeUint64s(id.Index, id.Term))
	if err := s.syncBatch(); err != nil {
		return err
	}
	s.last = id
	return nil
}

// Compact removes all but the newest snapshots, and the segments whose entries are all
// covered by the oldest snapshot kept. It returns the index of that snapshot, up to
// which the in-memory log may be compacted, or 0 if there aren't enough snapshots.
func (s *Store) Compact() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return 0, s.failedError()
	}
	for len(s.snapshots) > keptSnapshots {
		if err := s.remove(snapshotName(s.snapshots[0].Index)); err != nil {
			return 0, s.recordFailure(err)
		}
		s.snapshots = s.snapshots[1:]
	}
	if len(s.snapshots) < keptSnapshots {
		return 0, nil
	}
	oldest := s.snapshots[0].Index
	for len(s.segments) > 1 && s.segments[0].maxIndex <= oldest {
		if err := s.remove(segmentName(s.segments[0].sequence)); err != nil {
			return 0, s.recordFailure(err)
		}
		s.segments = s.segments[1:]
	}
	return oldest, nil
}

// Close closes the files and releases the lock.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = fmt.Errorf("store is closed")
	}
	return s.closeFiles()
}

func (s *Store) closeFiles() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if closeErr := s.lock.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (s *Store) active() *segment { return &s.segments[len(s.segments)-1] }

func (s *Store) addRecord(kind recordKind, payload []byte) {
	s.lastRecordOffset = len(s.buf)
	s.buf = appendRecord(s.buf, kind, s.batch+1, payload)
}

// syncBatch writes the records in buf as one batch and syncs it.
func (s *Store) syncBatch() error {
	if s.failed != nil {
		s.buf = s.buf[:0]
		return s.failedError()
	}
	if len(s.buf) == 0 {
		return nil
	}
	markBatchEnd(s.buf, s.lastRecordOffset)
	_, err := s.file.Write(s.buf)
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		return s.recordFailure(err)
	}
	s.batch++
	s.active().size += int64(len(s.buf))
	s.buf = s.buf[:0]
	return nil
}

// rotate starts a new segment and records its sequence number in the identity file.
func (s *Store) rotate() error {
	sequence := s.active().sequence + 1
	if err := s.startSegment(sequence); err != nil {
		return err
	}
	return writeIdentity(s.fs, s.dir, s.recovered.Identity, sequence)
}

// startSegment creates a new segment file and makes it active. Its header and its name
// are synced.
func (s *Store) startSegment(sequence uint64) error {
	file, err := s.fs.Create(filepath.Join(s.dir, segmentName(sequence)))
	if err != nil {
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file = file
	s.segments = append(s.segments, segment{sequence: sequence})
	header := segmentHeader{sequence: sequence, identity: s.recovered.Identity, hardState: s.hardState, last: s.last}
	s.addRecord(kindSegment, header.encode())
	if err := s.syncBatch(); err != nil {
		return err
	}
	return s.fs.SyncDir(s.dir)
}

func (s *Store) remove(name string) error {
	if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
		return err
	}
	return s.fs.SyncDir(s.dir)
}

// recordFailure stores the first error in failed and returns the classified error. It
// returns nil for nil.
func (s *Store) recordFailure(err error) error {
	if err == nil {
		return nil
	}
	err = classifyWriteError(err)
	if s.failed == nil {
		s.failed = err
	}
	return err
}

func (s *Store) failedError() error { return fmt.Errorf("%w: %w", ErrFailed, s.failed) }
