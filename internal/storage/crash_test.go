package storage

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

const dir = "/data"

func entries(term uint64, first, last uint64) []*wire.LogEntry {
	var all []*wire.LogEntry
	for i := first; i <= last; i++ {
		all = append(all, &wire.LogEntry{Index: i, Term: term, Data: fmt.Appendf(nil, "%d/%d", term, i)})
	}
	return all
}

func snapshotAt(index, term uint64) *Snapshot {
	return &Snapshot{
		ID:       EntryID{Index: index, Term: term},
		Replicas: &wire.ReplicaSet{Replicas: []*wire.Replica{{Id: 7, Address: "10.0.0.1:1"}}},
		Data:     fmt.Appendf(nil, "state at %d", index),
	}
}

// operation is one call of the workload and the state that results from it.
type operation struct {
	name string
	run  func(s *Store) error
	// after describes the store after the call: index and term of the last entry,
	// the term of the hard state and the index of the newest snapshot.
	after string
}

func save(term uint64, first, last uint64) func(*Store) error {
	return func(s *Store) error {
		return s.Save(HardState{Term: term, Vote: 7, Commit: 1}, entries(term, first, last))
	}
}

func compact(s *Store) error {
	_, err := s.Compact()
	return err
}

var workload = []operation{
	{"first entries", save(1, 1, 5), "last 5/1 term 1 snapshot 0"},
	{"conflict replaces the end", save(2, 4, 9), "last 9/2 term 2 snapshot 0"},
	{"hard state alone", func(s *Store) error { return s.Save(HardState{Term: 3}, nil) }, "last 9/2 term 3 snapshot 0"},
	{"sync marker", (*Store).MarkSynced, "last 9/2 term 3 snapshot 0"},
	{"own snapshot", func(s *Store) error { return s.SaveSnapshot(snapshotAt(6, 2)) }, "last 9/2 term 3 snapshot 6"},
	{"more entries", save(3, 10, 14), "last 14/3 term 3 snapshot 6"},
	{"still more entries", save(3, 15, 20), "last 20/3 term 3 snapshot 6"},
	{"second snapshot", func(s *Store) error { return s.SaveSnapshot(snapshotAt(15, 3)) }, "last 20/3 term 3 snapshot 15"},
	{"compaction", compact, "last 20/3 term 3 snapshot 15"},
	{"entries after compaction", save(3, 21, 30), "last 30/3 term 3 snapshot 15"},
	{"third snapshot", func(s *Store) error { return s.SaveSnapshot(snapshotAt(28, 3)) }, "last 30/3 term 3 snapshot 28"},
	{"second compaction", compact, "last 30/3 term 3 snapshot 28"},
	{"snapshot from the leader", func(s *Store) error { return s.InstallSnapshot(snapshotAt(50, 4)) }, "last 50/4 term 3 snapshot 50"},
	{"entries after it", save(4, 51, 55), "last 55/4 term 4 snapshot 50"},
	{"third compaction", compact, "last 55/4 term 4 snapshot 50"},
}

// describe checks that the recovered log has no gaps and the right data, and returns
// its description in the format of operation.after.
func describe(is *is.I, s *Store) string {
	is.Helper()
	state := s.State()
	last := state.Base
	for i, e := range state.Entries {
		is.Equal(e.Index, state.Base.Index+uint64(i)+1)
		is.Equal(string(e.Data), fmt.Sprintf("%d/%d", e.Term, e.Index))
		last = EntryID{Index: e.Index, Term: e.Term}
	}
	var snapshot uint64
	if state.Snapshot != nil {
		snapshot = state.Snapshot.ID.Index
		is.Equal(string(state.Snapshot.Data), fmt.Sprintf("state at %d", snapshot))
		is.True(state.Base.Index <= snapshot)
	} else {
		is.Equal(state.Base.Index, uint64(0))
	}
	return fmt.Sprintf("last %d/%d term %d snapshot %d", last.Index, last.Term, state.HardState.Term, snapshot)
}

// smallSegments is a segment size with which nearly every call starts a new segment.
var smallSegments = int64(200)

// The store crashes at every modifying file system call during the workload, and again
// at every one during recovery. A crash keeps none, one half or all of the unsynced
// data of each file, and none, some or all of the unsynced changes of file names.
// Acknowledged data must be recovered, and the interrupted call must have taken effect
// completely or not at all.
func TestCrashAtEveryStepLosesNothingAcknowledged(t *testing.T) {
	for _, segmentBytes := range []int64{smallSegments, 1 << 20} {
		for _, names := range []nameSurvival{noNames, allNames, onlyIdentity, evenNames, oddNames} {
			for _, tails := range []tailSurvival{nothing, firstHalf, lastHalf, everything} {
				for _, budget := range []Budget{NewBudget(0, 0), {LogBytes: 2 * smallSegments, SnapshotBytes: 1}} {
					options := Options{SegmentBytes: segmentBytes, Budget: budget}
					crashes := crashAtEveryStep(t, options, false, names, tails)
					reclaimed := crashAtEveryStep(t, options, true, names, tails)
					t.Logf("segments of %d bytes: %d crashes, %d with Reclaim", segmentBytes, crashes, reclaimed)
				}
			}
		}
	}
}

// crashAtEveryStep calls Reclaim before each Open if reclaim is set.
func crashAtEveryStep(t *testing.T, options Options, reclaim bool, names nameSurvival, tails tailSurvival) (crashes int) {
	is := is.New(t)
	for crashAt := 1; ; crashAt++ {
		m := newMemoryFS()
		m.crashAt = crashAt
		options.FS = m
		before, failedCall, after, done := runWorkload(is, options)
		if done {
			return crashes
		}
		crashes++
		m.crash(names, tails)
		s := reopen(is, m, options, reclaim, names, tails)
		got := describe(is, s)
		if got != before && got != after {
			t.Fatalf("crash at step %d, in %q: got %s, want %s or %s", crashAt, failedCall, got, before, after)
		}
		// The store accepts further entries.
		last := s.last
		is.NoErr(s.Save(HardState{Term: 9}, entries(9, last.Index+1, last.Index+2)))
		is.NoErr(s.Close())
		s, err := Open(dir, options)
		is.NoErr(err)
		is.Equal(s.last, EntryID{Index: last.Index + 2, Term: 9})
		is.NoErr(s.Close())
	}
}

// reopen opens the store after a crash. It first crashes once at each modifying call of
// the recovery.
func reopen(is *is.I, m *memoryFS, options Options, reclaim bool, names nameSurvival, tails tailSurvival) *Store {
	is.Helper()
	for crashAt := 1; ; crashAt++ {
		m.crashAt = crashAt
		var s *Store
		var err error
		if reclaim {
			err = Reclaim(dir, options)
		}
		if err == nil {
			s, err = Open(dir, options)
		}
		m.crashAt = 0
		if err == nil {
			return s
		}
		is.True(errors.Is(err, errCrashed))
		m.crash(names, tails)
	}
}

// runWorkload runs the workload until it crashes. It returns the expected state before
// and after the call that crashed, and the name of that call.
func runWorkload(is *is.I, options Options) (before, failedCall, after string, done bool) {
	const empty = "last 0/0 term 0 snapshot 0"
	s, err := Open(dir, options)
	if err != nil {
		is.True(errors.Is(err, errCrashed))
		return empty, "open", empty, false
	}
	before = empty
	for _, op := range workload {
		if err := op.run(s); err != nil {
			is.True(errors.Is(err, errCrashed))
			return before, op.name, op.after, false
		}
		before = op.after
	}
	return before, "", "", true
}
