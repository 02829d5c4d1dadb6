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

// keptSnapshots is how many snapshots compaction leaves: the newest, and one to
// fall back on if that is damaged.
const keptSnapshots = 2

// Store is the open durable state of one replica. Its methods may be called by
// several goroutines.
type Store struct {
	fs           FS
	dir          string
	segmentBytes int64
	lock         io.Closer
	recovered    *State

	mu        sync.Mutex
	failed    error
	file      File
	segments  []segment
	snapshots []EntryID
	hardState HardState
	last      EntryID
	// batch is the number of the last synced batch.
	batch uint64
	buf   []byte
	// lastRecordOffset is the offset in buf of the record added last.
	lastRecordOffset int
}

// State returns what Open recovered. It isn't updated by later writes.
func (s *Store) State() *State { return s.recovered }

// ReleaseState lets go of the recovered state, so that its memory can be freed.
func (s *Store) ReleaseState() { s.recovered = &State{Identity: s.recovered.Identity} }

// Identity returns the replica's identity.
func (s *Store) Identity() uint64 { return s.recovered.Identity }

// Save writes the hard state and the entries as one batch and syncs once. The
// first entry replaces any from its index on. After an error nothing of the
// batch is acknowledged and the store refuses all later work.
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

// MarkSynced notes, without a sync, that all before it is synced, so that damage to
// the last batch can be told from a torn write. Meant for idle moments.
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

// SaveSnapshot writes a snapshot that the replica took of its own state.
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

// InstallSnapshot writes a snapshot that came from the leader and empties the
// log, which continues after it.
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

// Compact removes snapshots that newer ones replaced and the segments that only
// hold entries before the oldest one kept. It returns the oldest index kept,
// up to which the log may be forgotten.
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

// Close closes the files and gives up the lock.
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

// syncBatch writes the collected records as one batch and syncs it.
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

// rotate continues the log in a new segment.
func (s *Store) rotate() error {
	sequence := s.active().sequence + 1
	if err := s.startSegment(sequence); err != nil {
		return err
	}
	return writeIdentity(s.fs, s.dir, s.recovered.Identity, sequence)
}

// startSegment begins a new segment file; its header and name are synced.
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

// recordFailure remembers the first error; nil stays nil.
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
