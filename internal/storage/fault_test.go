package storage

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func pathOf(n string) string { return filepath.Join(dir, n) }

// newFilledFS returns a file system with a closed store, on which the given number of
// calls of the workload were run.
func newFilledFS(is *is.I, segmentBytes int64, calls int) *memoryFS {
	m := newMemoryFS()
	s, err := Open(dir, Options{FS: m, SegmentBytes: segmentBytes})
	is.NoErr(err)
	for _, op := range workload[:calls] {
		is.NoErr(op.run(s))
	}
	is.NoErr(s.Close())
	return m
}

func (m *memoryFS) flipBit(file string, offset int) {
	n := m.names[pathOf(file)]
	n.data = slices.Clone(n.data)
	n.data[offset] ^= 0x10
}

func (m *memoryFS) removeFile(file string) { delete(m.names, pathOf(file)) }

func (m *memoryFS) appendBytes(file string, tail ...byte) {
	n := m.names[pathOf(file)]
	n.data = append(slices.Clone(n.data), tail...)
}

const (
	firstSegment  = "0000000000000001.log"
	secondSegment = "0000000000000002.log"
)

// Open must recover from each of these faults of the data folder or report it as
// ErrDamaged.
func TestDataFolderFaults(t *testing.T) {
	const same = "last 20/3 term 3 snapshot 15"
	tests := map[string]struct {
		segmentBytes int64
		// calls is the number of calls of the workload before the fault.
		calls int
		fault func(m *memoryFS)
		// want describes the recovered state; empty means ErrDamaged.
		want string
		// newIdentity is set if Open initializes the folder for a new replica.
		newIdentity bool
	}{
		"no fault":                               {1 << 20, 8, func(*memoryFS) {}, same, false},
		"torn tail, part of a header":            {1 << 20, 8, func(m *memoryFS) { m.appendBytes(firstSegment, 0x50, 0x50) }, same, false},
		"torn tail, zeros":                       {1 << 20, 8, func(m *memoryFS) { m.appendBytes(firstSegment, make([]byte, 4096)...) }, same, false},
		"torn tail, garbage":                     {1 << 20, 8, func(m *memoryFS) { m.appendBytes(firstSegment, slices.Repeat([]byte{0xa5}, 999)...) }, same, false},
		"damaged middle":                         {1 << 20, 8, func(m *memoryFS) { m.flipBit(firstSegment, 130) }, "", false},
		"damaged segment header":                 {1 << 20, 8, func(m *memoryFS) { m.flipBit(firstSegment, 30) }, "", false},
		"damaged older segment":                  {smallSegments, 8, func(m *memoryFS) { m.flipBit(firstSegment, 130) }, "", false},
		"lost first segment":                     {smallSegments, 4, func(m *memoryFS) { m.removeFile(firstSegment) }, "", false},
		"lost segment that a snapshot covers":    {smallSegments, 8, func(m *memoryFS) { m.removeFile(firstSegment) }, same, false},
		"lost segment in the middle":             {smallSegments, 8, func(m *memoryFS) { m.removeFile(secondSegment) }, "", false},
		"lost newest segment":                    {smallSegments, 8, func(m *memoryFS) { m.removeFile(newestFile(m, segmentSuffix)) }, "", false},
		"lost all segments":                      {1 << 20, 8, func(m *memoryFS) { m.removeFile(firstSegment) }, "", false},
		"unreadable segment":                     {1 << 20, 8, func(m *memoryFS) { m.readError[segmentSuffix] = syscall.EIO }, "", false},
		"damaged newest snapshot, complete log":  {1 << 20, 8, func(m *memoryFS) { m.flipBit(snapshotName(15), 40) }, "last 20/3 term 3 snapshot 6", false},
		"damaged newest snapshot, compacted log": {smallSegments, 9, func(m *memoryFS) { m.flipBit(snapshotName(15), 40) }, "last 20/3 term 3 snapshot 6", false},
		"lost newest snapshot, compacted log":    {smallSegments, 9, func(m *memoryFS) { m.removeFile(snapshotName(15)) }, "last 20/3 term 3 snapshot 6", false},
		"damaged older snapshot, compacted log":  {smallSegments, 9, func(m *memoryFS) { m.flipBit(snapshotName(6), 40) }, same, false},
		"both snapshots unusable, complete log":  {1 << 20, 8, damageSnapshots, "last 20/3 term 3 snapshot 0", false},
		"both snapshots unusable, compacted log": {smallSegments, 9, damageSnapshots, "", false},
		"lost snapshot from the leader":          {1 << 20, 14, func(m *memoryFS) { m.removeFile(snapshotName(50)) }, "", false},
		"unreadable snapshots, compacted log":    {smallSegments, 9, func(m *memoryFS) { m.readError[snapshotSuffix] = syscall.EIO }, "", false},
		"damaged identity":                       {1 << 20, 8, func(m *memoryFS) { m.flipBit(identityName, 25) }, "", false},
		"lost identity":                          {1 << 20, 8, func(m *memoryFS) { m.removeFile(identityName) }, "last 0/0 term 0 snapshot 0", true},
		"lost folder":                            {1 << 20, 8, func(m *memoryFS) { clear(m.names) }, "last 0/0 term 0 snapshot 0", true},
		"segment of another replica":             {1 << 20, 8, foreignSegment, "", false},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			m := newFilledFS(is, test.segmentBytes, test.calls)
			identity, _, err := readIdentity(m, dir)
			is.NoErr(err)
			test.fault(m)
			options := Options{FS: m, SegmentBytes: test.segmentBytes}
			s, err := Open(dir, options)
			if test.want != "" {
				is.NoErr(err)
				is.Equal(describe(is, s), test.want)
				is.Equal(s.Identity() != identity, test.newIdentity)
				return
			}
			is.True(errors.Is(err, ErrDamaged))
			m.readError = map[string]error{}
			s, cause, err := OpenOrReset(dir, options)
			is.NoErr(err)
			if cause != nil {
				is.True(s.Identity() != identity)
				is.Equal(describe(is, s), "last 0/0 term 0 snapshot 0")
			}
		})
	}
}

func newestFile(m *memoryFS, suffix string) string {
	names, _ := m.ReadDir(dir)
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, suffix) })
	return names[len(names)-1]
}

func damageSnapshots(m *memoryFS) {
	m.removeFile(snapshotName(6))
	m.flipBit(snapshotName(15), 40)
}

func foreignSegment(m *memoryFS) {
	other := newMemoryFS()
	s, _ := Open(dir, Options{FS: other})
	s.Close()
	m.names[pathOf(firstSegment)] = other.names[pathOf(firstSegment)]
}

// One bit is flipped at every byte offset of the log in turn. The damage must be
// reported, or the complete state must be recovered. Since a sync marker follows the
// last batch, acknowledged data must never be truncated as a torn write.
func TestFlippedBitsAreDetected(t *testing.T) {
	is := is.New(t)
	const whole = "last 9/2 term 3 snapshot 0"
	outcomes := map[string]int{}
	size := len(newFilledFS(is, 1<<20, 4).names[pathOf(firstSegment)].data)
	for offset := range size {
		m := newFilledFS(is, 1<<20, 4)
		m.flipBit(firstSegment, offset)
		s, err := Open(dir, Options{FS: m})
		if err != nil {
			is.True(errors.Is(err, ErrDamaged))
			outcomes["damaged"]++
			continue
		}
		is.Equal(describe(is, s), whole)
		outcomes["whole"]++
	}
	t.Logf("%d offsets: %v; recovered completely where padding or the sync marker was hit", size, outcomes)
	is.True(outcomes["damaged"] > outcomes["whole"])
}

// After a failed write or sync the store refuses all later calls, and the data
// acknowledged before is recovered on the next Open.
func TestFailedWriteStopsTheStore(t *testing.T) {
	tests := map[string]struct {
		fault func(m *memoryFS)
		want  error
	}{
		"full disk":   {func(m *memoryFS) { m.freeBytes = 50 }, ErrFull},
		"failed sync": {func(m *memoryFS) { m.syncError = syscall.EIO }, syscall.EIO},
	}
	calls := map[string]func(*Store) error{
		"save":             save(4, 21, 25),
		"snapshot":         func(s *Store) error { return s.SaveSnapshot(snapshotAt(18, 3)) },
		"install snapshot": func(s *Store) error { return s.InstallSnapshot(snapshotAt(60, 4)) },
	}
	for title, test := range tests {
		for call, run := range calls {
			if title == "full disk" && call == "snapshot" {
				continue // see TestSnapshotOnAFullDiskLeavesTheStoreUsable
			}
			t.Run(title+", "+call, func(t *testing.T) {
				is := is.New(t)
				m := newFilledFS(is, 1<<20, 8)
				s, err := Open(dir, Options{FS: m})
				is.NoErr(err)
				before := describe(is, s)
				test.fault(m)
				err = run(s)
				is.True(errors.Is(err, test.want))

				// Even when the disk works again, the store must refuse all calls.
				m.freeBytes, m.syncError = -1, nil
				is.True(errors.Is(s.Save(HardState{Term: 8}, entries(4, 21, 21)), ErrFailed))
				is.True(errors.Is(s.SaveSnapshot(snapshotAt(19, 3)), ErrFailed))
				is.True(errors.Is(s.MarkSynced(), ErrFailed))
				_, err = s.Compact()
				is.True(errors.Is(err, ErrFailed))

				m.crash(noNames, nothing)
				s, err = Open(dir, Options{FS: m})
				is.NoErr(err)
				is.Equal(describe(is, s), before)
			})
		}
	}
}

// All entries of one Save are written with a single sync.
func TestSaveSyncsOnce(t *testing.T) {
	is := is.New(t)
	m := newMemoryFS()
	s, err := Open(dir, Options{FS: m})
	is.NoErr(err)
	before := m.steps
	is.NoErr(s.Save(HardState{Term: 1}, entries(1, 1, 1000)))
	is.Equal(m.steps-before, 2) // one write, one sync
}

// With the real file system, a folder that is open can't be opened a second time, its
// data is recovered after Close, and Reset leads to a new identity.
func TestLockRecoveryAndResetOnDisk(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "several", "levels")
	s, err := Open(folder, Options{})
	is.NoErr(err)
	_, err = Open(folder, Options{})
	is.True(err != nil)
	is.NoErr(s.Save(HardState{Term: 1}, entries(1, 1, 3)))
	is.NoErr(s.SaveSnapshot(snapshotAt(2, 1)))
	is.NoErr(s.Close())
	is.True(errors.Is(s.Save(HardState{Term: 2}, nil), ErrFailed))

	s, err = Open(folder, Options{})
	is.NoErr(err)
	is.Equal(describe(is, s), "last 3/1 term 1 snapshot 2")
	identity := s.Identity()
	is.NoErr(s.Close())
	is.NoErr(Reset(folder, Options{}))
	s, cause, err := OpenOrReset(folder, Options{})
	is.NoErr(err)
	is.NoErr(cause)
	is.True(s.Identity() != identity)
	is.NoErr(s.Close())
}

// Guards against a replica that lost its files, or gave them up as damaged, and starts under
// the identity that it had: it would count as one that remembers its votes.
func TestNewIdentityIsForEmptyFoldersOnly(t *testing.T) {
	is := is.New(t)
	options := Options{FS: newFilledFS(is, 1<<20, 0), NewIdentity: 77}
	m := options.FS.(*memoryFS)
	clear(m.names)
	s, err := Open(dir, options)
	is.NoErr(err)
	is.Equal(s.Identity(), uint64(77))
	is.NoErr(s.Save(HardState{Term: 1}, entries(1, 1, 3)))
	is.NoErr(s.Close())
	options.NewIdentity = 78
	s, err = Open(dir, options)
	is.NoErr(err)
	is.Equal(s.Identity(), uint64(77)) // the folder has one
	is.NoErr(s.Close())
	options.NewIdentity = 77
	m.removeFile(identityName)
	s, err = Open(dir, options)
	is.NoErr(err)
	is.True(s.Identity() != 77) // files were there without an identity
	is.NoErr(s.Close())
	m.flipBit(identityName, 25)
	s, cause, err := OpenOrReset(dir, options)
	is.NoErr(err)
	is.True(errors.Is(cause, ErrDamaged))
	is.True(s.Identity() != 77)
	is.NoErr(s.Close())
	is.NoErr(Reset(dir, options)) // and the process ends
	s, err = Open(dir, options)
	is.NoErr(err)
	is.True(s.Identity() != 77)
	is.NoErr(s.Close())
}
