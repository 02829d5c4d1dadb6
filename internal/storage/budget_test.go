package storage

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// usedBytes returns the size of all files.
func (m *memoryFS) usedBytes() int {
	n := 0
	for _, file := range m.names {
		n += len(file.data)
	}
	return n
}

// largeEntry returns an entry of about the given size.
func largeEntry(index uint64, size int64) []*wire.LogEntry {
	return []*wire.LogEntry{{Index: index, Term: 1, Data: []byte(strings.Repeat("x", int(size)))}}
}

func largeSnapshot(index uint64, size int64) *Snapshot {
	return &Snapshot{ID: EntryID{Index: index, Term: 1}, Replicas: &wire.ReplicaSet{}, Data: make([]byte, size)}
}

// Guards against parts of a budget that together exceed the disk or the memory they are meant for.
func TestBudgetFitsDiskAndMemory(t *testing.T) {
	for _, limits := range [][2]int64{{64e6, 112e6}, {64e6, 284e6}, {DefaultDiskBytes, 0}, {1e9, 128e6}} {
		t.Run(fmt.Sprint(limits), func(t *testing.T) {
			is := is.New(t)
			disk, memory := limits[0], limits[1]
			b := NewBudget(disk, memory)
			is.True(b.LogBytes+b.SnapshotBytes < disk)
			is.True(memory == 0 || b.LogBytes <= memory/4)
			// Two intervals, a segment and what is applied while a snapshot is written.
			is.True(3*b.SnapshotInterval+b.SegmentBytes <= b.LogBytes)
		})
	}
}

// Guards against a folder that grows beyond its disk with entries or snapshots of any size: nothing was removed
// before there were two snapshots, whatever the log and they took.
func TestFolderStaysWithinTheBudget(t *testing.T) {
	const disk = 64 << 10
	for _, size := range []int64{40, 300, disk / 16, disk * 3 / 16} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			m := newMemoryFS()
			options := Options{FS: m, Budget: NewBudget(disk, 0)}
			s, err := Open(dir, options)
			is.NoErr(err)
			peak, since, snapshots := 0, int64(0), 0
			for index := uint64(1); snapshots < 12; index++ {
				is.NoErr(s.Save(HardState{Term: 1, Commit: index}, largeEntry(index, size)))
				peak = max(peak, m.usedBytes())
				if since += size + EntryOverhead; since < s.Budget().SnapshotInterval {
					continue
				}
				since, snapshots = 0, snapshots+1
				is.NoErr(s.SaveSnapshot(largeSnapshot(index, size)))
				peak = max(peak, m.usedBytes())
				_, err := s.Compact()
				is.NoErr(err)
				if snapshots%4 == 0 {
					is.NoErr(s.Close())
					s, err = Open(dir, options)
					is.NoErr(err)
					is.Equal(s.last.Index, index)
				}
			}
			t.Logf("%d of %d bytes", peak, disk)
			is.True(peak <= disk)
		})
	}
}

// Guards against segments that an installed snapshot has replaced and that stay until the replica has taken
// two snapshots of its own.
func TestInstalledSnapshotReplacesTheLog(t *testing.T) {
	is := is.New(t)
	m := newMemoryFS()
	options := Options{FS: m, SegmentBytes: smallSegments}
	s, err := Open(dir, options)
	is.NoErr(err)
	for index := uint64(1); index <= 9; index++ {
		is.NoErr(s.Save(HardState{Term: 1}, largeEntry(index, smallSegments)))
	}
	is.NoErr(s.InstallSnapshot(largeSnapshot(5, 10))) // the entries from 6 on conflict with it
	is.True(len(s.segments) == 1)
	is.NoErr(s.Save(HardState{Term: 1}, largeEntry(6, 10)))
	is.NoErr(s.Close())
	s, err = Open(dir, options)
	is.NoErr(err)
	is.Equal(s.last, EntryID{Index: 6, Term: 1})
	is.True(m.usedBytes() < int(2*smallSegments))
}

// Guards against a snapshot that does not fit on the disk and stops the replica, although the log has room: the
// replica started anew and failed at the next snapshot, again and again.
func TestSnapshotOnAFullDiskLeavesTheStoreUsable(t *testing.T) {
	for _, free := range []int{0, 20, 50} {
		t.Run(fmt.Sprint(free), func(t *testing.T) {
			is := is.New(t)
			m := newFilledFS(is, 1<<20, 8)
			s, err := Open(dir, Options{FS: m})
			is.NoErr(err)
			before, used := describe(is, s), m.usedBytes()
			m.freeBytes = free
			is.True(errors.Is(s.SaveSnapshot(snapshotAt(18, 3)), ErrFull))
			is.Equal(m.usedBytes(), used) // nothing is left of it
			_, err = s.Compact()
			is.NoErr(err)
			is.Equal(describe(is, s), before)

			m.freeBytes = -1
			is.NoErr(s.Save(HardState{Term: 4}, entries(4, 21, 22)))
			is.NoErr(s.SaveSnapshot(snapshotAt(18, 3)))
			m.crash(noNames, nothing)
			s, err = Open(dir, Options{FS: m})
			is.NoErr(err)
			is.Equal(describe(is, s), "last 22/4 term 4 snapshot 18")
		})
	}
}

// Guards against files of an earlier build, or of a larger declared disk, that exceed the budget until two further
// snapshots are taken.
func TestOpenCompactsWhatExceedsTheBudget(t *testing.T) {
	is := is.New(t)
	m := newMemoryFS()
	s, err := Open(dir, Options{FS: m, SegmentBytes: 1000})
	is.NoErr(err)
	for index := uint64(1); index <= 30; index++ {
		is.NoErr(s.Save(HardState{Term: 1}, largeEntry(index, 1000)))
		if index%14 == 0 {
			is.NoErr(s.SaveSnapshot(largeSnapshot(index, 10)))
		}
	}
	is.NoErr(s.Close())
	s, err = Open(dir, Options{FS: m, Budget: Budget{LogBytes: 10_000, SegmentBytes: 1000, SnapshotBytes: 1000}})
	is.NoErr(err)
	is.True(s.LogBytes() <= 5000)
	is.Equal(s.State().Base.Index, uint64(28)) // as much is in memory
	is.Equal(s.last.Index, uint64(30))
}

// Guards against a replica that starts on a full disk and waits for room that only it could free.
func TestReclaimFreesAFullDisk(t *testing.T) {
	tests := map[string]struct {
		prepare func(is *is.I, m *memoryFS)
		// want describes the state recovered after Reclaim; empty is a new replica.
		want string
	}{
		"older snapshot and covered segments": {func(*is.I, *memoryFS) {}, "last 20/3 term 3 snapshot 15"},
		"incomplete snapshot": {func(_ *is.I, m *memoryFS) {
			m.names[pathOf(snapshotName(20)+tempSuffix)] = &inode{data: make([]byte, 2000)}
		}, "last 20/3 term 3 snapshot 15"},
		"damaged newest snapshot": {func(_ *is.I, m *memoryFS) { m.flipBit(snapshotName(15), 40) }, "last 20/3 term 3 snapshot 6"},
		"damaged log":             {func(_ *is.I, m *memoryFS) { m.flipBit(firstSegment, 130) }, ""},
		"files given up before": {func(is *is.I, m *memoryFS) {
			is.NoErr(Reset(dir, Options{FS: m}))
			s, err := Open(dir, Options{FS: m})
			is.NoErr(err)
			is.NoErr(s.Save(HardState{Term: 1}, entries(1, 1, 2)))
			is.NoErr(s.Close())
		}, "last 2/1 term 1 snapshot 0"},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			m := newFilledFS(is, smallSegments, 8)
			test.prepare(is, m)
			used := m.usedBytes()
			m.freeBytes = 0
			options := Options{FS: m, SegmentBytes: smallSegments, NewIdentity: 7}
			is.NoErr(Reclaim(dir, options))
			is.True(m.usedBytes() < used)
			is.NoErr(Reclaim(dir, options)) // again, on what is left
			if test.want != "" {
				s, err := Open(dir, options)
				is.NoErr(err)
				is.Equal(describe(is, s), test.want)
				return
			}
			m.freeBytes = -1
			s, _, err := OpenOrReset(dir, options)
			is.NoErr(err)
			is.Equal(describe(is, s), "last 0/0 term 0 snapshot 0")
			is.True(s.Identity() != options.NewIdentity) // it has had another life
		})
	}
}
