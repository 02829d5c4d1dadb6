package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
)

const (
	identityName = "identity"
	lockName     = "lock"
	// discardedDir is the subfolder for the files of identities that were given up
	// because of damage, and for files that were found without an identity.
	discardedDir = "damaged"
)

// Options configures a Store. The zero value selects the defaults.
type Options struct {
	// FS defaults to Disk.
	FS FS
	// Budget defaults to that of a disk of DefaultDiskBytes.
	Budget Budget
	// SegmentBytes defaults to that of Budget.
	SegmentBytes int64
	// Random is the source of new identities. It defaults to crypto/rand.
	Random io.Reader
	// NewIdentity, if not 0, is the identity of a replica whose folder is empty. A folder
	// from which files were lost or moved away gets a random one.
	NewIdentity uint64
}

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = Disk{}
	}
	if o.Budget == (Budget{}) {
		o.Budget = NewBudget(0, 0)
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = o.Budget.SegmentBytes
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	return o
}

// Open recovers the store in dir. If the folder has no identity, it is initialized for
// a new replica. An incomplete last batch is truncated, as it was never acknowledged.
// Any other damage is returned as ErrDamaged.
func Open(dir string, options Options) (*Store, error) {
	o := options.withDefaults()
	if err := o.FS.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	lock, err := o.FS.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	s := &Store{fs: o.FS, dir: dir, segmentBytes: o.SegmentBytes, budget: o.Budget, lock: lock}
	if err := s.recover(&o); err != nil {
		s.closeFiles()
		return nil, fmt.Errorf("open %s: %w", dir, err)
	}
	return s, nil
}

// OpenOrReset opens the store in dir. If the store is damaged, it calls Reset, opens
// the folder for a new replica and returns the damage as cause.
func OpenOrReset(dir string, options Options) (s *Store, cause, err error) {
	s, err = Open(dir, options)
	if !errors.Is(err, ErrDamaged) {
		return s, nil, err
	}
	cause = err
	if err := Reset(dir, options); err != nil {
		return nil, cause, err
	}
	options.NewIdentity = 0 // the identity that was given up may have been that one
	s, err = Open(dir, options)
	return s, cause, err
}

// Reset gives up the identity in dir and moves its files to the subfolder "damaged".
func Reset(dir string, options Options) error {
	o := options.withDefaults()
	lock, err := o.FS.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	defer lock.Close()
	if err := discardAll(o.FS, dir); err != nil {
		return fmt.Errorf("reset %s: %w", dir, err)
	}
	return nil
}

// discardAll gives up the identity of a folder.
func discardAll(fs FS, dir string) error {
	names, err := fs.ReadDir(dir)
	if err != nil {
		return err
	}
	return discardFiles(fs, dir, names)
}

// discardFiles moves the files of an identity to discardedDir. It moves the identity
// file first, so that after a crash the folder has no identity and no half-removed
// state is opened.
func discardFiles(fs FS, dir string, names []string) error {
	discarded := filepath.Join(dir, discardedDir)
	if err := fs.MkdirAll(discarded); err != nil {
		return err
	}
	ordered := slices.Clone(names)
	if i := slices.Index(ordered, identityName); i > 0 {
		ordered[0], ordered[i] = ordered[i], ordered[0]
	}
	for _, name := range ordered {
		if name == lockName {
			continue
		}
		if err := fs.Rename(filepath.Join(dir, name), filepath.Join(discarded, name)); err != nil {
			return err
		}
		if err := fs.SyncDir(dir); err != nil {
			return err
		}
	}
	return fs.SyncDir(discarded)
}

func (s *Store) recover(o *Options) error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return err
	}
	if !slices.Contains(names, identityName) {
		return s.initialize(names, o)
	}
	if err := removeTemporaryFiles(s.fs, s.dir, names); err != nil {
		return err
	}
	c, err := readContents(s.fs, s.dir, names)
	if err != nil {
		return err
	}
	for _, name := range c.damagedNames {
		if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
			return err
		}
	}
	return s.resume(c)
}

// contents are the files of a data folder, as Open finds them.
type contents struct {
	*replay
	// snapshots are the usable ones, oldest first.
	snapshots    []*Snapshot
	damagedNames []string
	// reset is set if the log does not contain the newest snapshot and must be emptied.
	reset bool
}

// readContents reads the files names of a folder that has an identity.
func readContents(fs FS, dir string, names []string) (*contents, error) {
	identity, sequence, err := readIdentity(fs, dir)
	if err != nil {
		return nil, err
	}
	c := &contents{replay: &replay{fs: fs, dir: dir, state: &State{Identity: identity}}}
	if err := c.readSegments(names); err != nil {
		return nil, err
	}
	if newest := c.segments[len(c.segments)-1].sequence; newest < sequence {
		return nil, damagedError("segment %d is missing, newest is %d", sequence, newest)
	}
	if c.snapshots, c.damagedNames, err = readSnapshots(fs, dir, names); err != nil {
		return nil, err
	}
	if c.reset, err = c.state.combineSnapshots(c.snapshots); err != nil {
		return nil, err
	}
	return c, nil
}

// resume opens the last segment for appending, and removes what exceeds the budget: an earlier build, or a larger
// declared disk, may have left more.
func (s *Store) resume(c *contents) error {
	s.setState(c.state)
	s.segments = c.segments
	s.batch = c.batch
	s.setSnapshots(c.snapshots)
	active, err := s.fs.Append(filepath.Join(s.dir, segmentName(s.active().sequence)))
	if err != nil {
		return err
	}
	s.file = active
	if c.reset {
		if err := s.writeReset(c.state.Snapshot.ID); err != nil {
			return err
		}
	}
	if s.logBytes() <= s.budget.LogBytes/2 {
		return nil
	}
	oldest, err := s.compactToBudget()
	if err == nil && oldest.Index > c.state.Base.Index && c.state.contains(oldest) {
		c.state.truncatePrefix(oldest)
	}
	return err
}

func (s *Store) setSnapshots(snapshots []*Snapshot) {
	for _, snap := range snapshots {
		s.snapshots = append(s.snapshots, snapshotFile{id: snap.ID, size: int64(snapshotHeaderSize + proto.Size(snap.Replicas) + len(snap.Data))})
	}
}

func (s *Store) setState(state *State) {
	s.recovered = state
	s.hardState = state.HardState
	s.last = state.Base
	if n := len(state.Entries); n > 0 {
		s.last = EntryID{Index: state.Entries[n-1].Index, Term: state.Entries[n-1].Term}
	}
}

// combineSnapshots combines the log with the usable snapshots, which must be sorted with
// the oldest first. The log is kept from the oldest snapshot that it contains. If it
// doesn't contain the newest snapshot, it is emptied, and combineSnapshots returns true.
func (s *State) combineSnapshots(snapshots []*Snapshot) (reset bool, err error) {
	if len(snapshots) == 0 {
		if s.Base.Index > 0 {
			return false, damagedError("log begins after entry %d and there is no snapshot", s.Base.Index)
		}
		return false, nil
	}
	newest := snapshots[len(snapshots)-1]
	s.Snapshot = newest
	if newest.ID.Index < s.Base.Index {
		return false, damagedError("log begins after entry %d, newest snapshot is at %d", s.Base.Index, newest.ID.Index)
	}
	if !s.contains(newest.ID) {
		s.Base = newest.ID
		s.Entries = nil
		return true, nil
	}
	for _, snap := range snapshots {
		if s.contains(snap.ID) {
			s.truncatePrefix(snap.ID)
			break
		}
	}
	return false, nil
}

// contains reports whether the entry id is in the log or is its base. A base term of 0
// is unknown and matches any term.
func (s *State) contains(id EntryID) bool {
	switch {
	case id.Index < s.Base.Index || id.Index > s.LastIndex():
		return false
	case id.Index == s.Base.Index:
		return s.Base.Term == 0 || s.Base.Term == id.Term
	default:
		return s.Entries[id.Index-s.Base.Index-1].Term == id.Term
	}
}

func (s *State) truncatePrefix(id EntryID) {
	s.Entries = slices.Clone(s.Entries[id.Index-s.Base.Index:])
	s.Base = id
}

// initialize sets up the folder for a new replica. Files that are there without an
// identity are moved to discardedDir.
func (s *Store) initialize(names []string, o *Options) error {
	identity := o.NewIdentity
	if slices.ContainsFunc(names, func(name string) bool { return name != lockName }) {
		identity = 0
		if err := discardFiles(s.fs, s.dir, names); err != nil {
			return err
		}
	}
	// A process may have ended after it gave up an identity.
	if identity == 0 || s.hasDiscardedFiles() {
		var err error
		if identity, err = newIdentity(o.Random); err != nil {
			return err
		}
	}
	s.setState(&State{Identity: identity})
	if err := s.startSegment(1); err != nil {
		return err
	}
	return writeIdentity(s.fs, s.dir, identity, 1)
}

// hasDiscardedFiles reports whether an identity was given up in the folder, or whether that
// can't be ruled out.
func (s *Store) hasDiscardedFiles() bool {
	names, err := s.fs.ReadDir(filepath.Join(s.dir, discardedDir))
	return len(names) > 0 || err != nil && !errors.Is(err, os.ErrNotExist)
}

func removeTemporaryFiles(fs FS, dir string, names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// newIdentity returns a random number other than 0.
func newIdentity(random io.Reader) (uint64, error) {
	var buf [8]byte
	for {
		if _, err := io.ReadFull(random, buf[:]); err != nil {
			return 0, fmt.Errorf("new identity: %w", err)
		}
		if id := binary.LittleEndian.Uint64(buf[:]); id != 0 {
			return id, nil
		}
	}
}

// writeIdentity writes the identity file. It also holds the sequence number of the
// newest segment that may hold acknowledged data, so that the loss of that segment is
// detected.
func writeIdentity(fs FS, dir string, identity, sequence uint64) error {
	data := appendRecord(nil, kindIdentity, 1, encodeUint64s(identity, sequence))
	return writeFileAtomically(fs, filepath.Join(dir, identityName), data)
}

func readIdentity(fs FS, dir string) (identity, sequence uint64, err error) {
	data, err := readFile(fs, filepath.Join(dir, identityName))
	if err != nil {
		return 0, 0, err
	}
	rec, size := parseRecord(data)
	if size == 0 || rec.kind != kindIdentity || !decodeUint64s(rec.payload, &identity, &sequence) {
		return 0, 0, damagedError("identity")
	}
	return identity, sequence, nil
}
