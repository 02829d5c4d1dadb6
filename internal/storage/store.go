package storage

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"parsleypulley/internal/wire"
)

// keptSnapshots is the number of snapshots that compaction keeps if they and the log fit into
// the budget: the newest one, and one to fall back to if the newest is damaged.
const keptSnapshots = 2

// Store is the open durable state of one replica. Its methods are safe for concurrent
// use.
type Store struct {
	fs           FS
	dir          string
	segmentBytes int64
	budget       Budget
	lock         io.Closer
	recovered    *State

	// snapshotMu is held while a snapshot is written, so that there is never more than one
	// incomplete snapshot file. It is locked before mu.
	snapshotMu sync.Mutex

	mu sync.Mutex
	// failed is the first error of a write or sync, or that the store is closed.
	failed error
	// file is the active segment, open for appending.
	file File
	// segments are the segment files, oldest first; the last one is active.
	segments []segment
	// snapshots are the snapshot files, oldest first.
	snapshots []snapshotFile
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

// snapshotFile is a complete snapshot file.
type snapshotFile struct {
	id   EntryID
	size int64
}

// Budget returns the budget of the store.
func (s *Store) Budget() Budget { return s.budget }

// LogBytes returns the size of the log on disk.
func (s *Store) LogBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logBytes()
}

func (s *Store) logBytes() int64 {
	var n int64
	for _, seg := range s.segments {
		n += seg.size
	}
	return n
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

// SaveSnapshot writes a snapshot of this replica's own state. If the disk is full, SaveSnapshot leaves
// the store as it was and returns ErrFull; the log can still be written.
func (s *Store) SaveSnapshot(snap *Snapshot) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	return s.saveSnapshot(snap)
}

func (s *Store) saveSnapshot(snap *Snapshot) error {
	data, err := encodeSnapshot(snap)
	if err != nil {
		return err
	}
	if err := s.makeRoom(int64(len(data))); err != nil {
		return err
	}
	err = writeFileAtomically(s.fs, filepath.Join(s.dir, snapshotName(snap.ID.Index)), data)
	if errors.Is(classifyWriteError(err), ErrFull) {
		return errors.Join(classifyWriteError(err), s.removeIncompleteSnapshot(snap.ID))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return s.recordFailure(err)
	}
	at, _ := slices.BinarySearchFunc(s.snapshots, snap.ID, func(a snapshotFile, b EntryID) int {
		return cmp.Compare(a.id.Index, b.Index)
	})
	s.snapshots = slices.Insert(s.snapshots, at, snapshotFile{id: snap.ID, size: int64(len(data))})
	return nil
}

// makeRoom removes the older snapshots if they and one of size bytes exceed the budget. It must not
// remove the newest one, which is the only complete one until the next is written.
func (s *Store) makeRoom(size int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failedError()
	}
	if size+s.snapshotBytes() <= s.budget.SnapshotBytes || len(s.snapshots) < 2 {
		return nil
	}
	return s.recordFailure(s.removeSnapshotsBefore(len(s.snapshots) - 1))
}

func (s *Store) snapshotBytes() int64 {
	var n int64
	for _, snap := range s.snapshots {
		n += snap.size
	}
	return n
}

// removeIncompleteSnapshot removes what was written of a snapshot. It is not durable, and may be there
// again after a crash; Open removes it then.
func (s *Store) removeIncompleteSnapshot(id EntryID) error {
	err := s.fs.Remove(filepath.Join(s.dir, snapshotName(id.Index)+tempSuffix))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// InstallSnapshot writes a snapshot received from the leader, and empties the log, which continues after the
// snapshot. It removes what the snapshot replaces. After an error all later calls fail.
func (s *Store) InstallSnapshot(snap *Snapshot) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	err := s.saveSnapshot(snap)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return s.recordFailure(err)
	}
	if err := s.writeReset(snap.ID); err != nil {
		return err
	}
	// There is no log between the snapshots before and this one, so they are no fallback.
	_, err = s.compact(1)
	return s.recordFailure(err)
}

// writeReset records that the log is empty and continues after id. Earlier segments hold nothing that counts.
func (s *Store) writeReset(id EntryID) error {
	s.addRecord(kindReset, encodeUint64s(id.Index, id.Term))
	if err := s.syncBatch(); err != nil {
		return err
	}
	s.last = id
	forgetEntries(s.segments)
	return nil
}

// Compact removes all but the newest snapshots, and the segments whose entries are all
// covered by the oldest snapshot kept. It returns the index of that snapshot, up to
// which the in-memory log may be compacted, or 0 if there aren't enough snapshots.
func (s *Store) Compact() (uint64, error) {
	s.snapshotMu.Lock() // the snapshots are counted, and must not change meanwhile
	defer s.snapshotMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return 0, s.failedError()
	}
	oldest, err := s.compactToBudget()
	return oldest.Index, s.recordFailure(err)
}

// compactToBudget compacts the log. If what remains beside two snapshots is more than half of the log's part of the
// budget, it keeps only the newest snapshot: the other half is for entries until the next one is written.
func (s *Store) compactToBudget() (EntryID, error) {
	oldest, err := s.compact(keptSnapshots)
	if err != nil || s.logBytes() <= s.budget.LogBytes/2 && s.snapshotBytes() <= s.budget.SnapshotBytes {
		return oldest, err
	}
	return s.compact(1)
}

// compact removes all but the newest keep snapshots, and the segments that the oldest of them covers. It returns that
// snapshot, or the zero value if there are fewer.
func (s *Store) compact(keep int) (EntryID, error) {
	if len(s.snapshots) < keep {
		return EntryID{}, nil
	}
	if err := s.removeSnapshotsBefore(len(s.snapshots) - keep); err != nil {
		return EntryID{}, err
	}
	oldest := s.snapshots[0].id
	for len(s.segments) > 1 && s.segments[0].maxIndex <= oldest.Index {
		if err := s.remove(segmentName(s.segments[0].sequence)); err != nil {
			return EntryID{}, err
		}
		s.segments = s.segments[1:]
	}
	return oldest, nil
}

// removeSnapshotsBefore removes the n oldest snapshots.
func (s *Store) removeSnapshotsBefore(n int) error {
	for range n {
		if err := s.remove(snapshotName(s.snapshots[0].id.Index)); err != nil {
			return err
		}
		s.snapshots = s.snapshots[1:]
	}
	return nil
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
