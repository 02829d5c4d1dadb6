package consensus

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// snapshotRetryInterval is the time after which a snapshot that did not fit on the disk is taken again.
const snapshotRetryInterval = time.Second

// snapshotter decides when a snapshot is due and tracks the goroutine that writes
// it.
type snapshotter struct {
	// appliedIndex is the index of the last applied entry.
	appliedIndex uint64
	// entriesSince is the number of entries applied since the last snapshot.
	entriesSince uint64
	// bytesSince is the size of the entries applied since the last snapshot, as they are stored.
	bytesSince uint64
	// size is the size of the last snapshot in bytes.
	size uint64
	// writing is set while a goroutine writes a snapshot.
	writing bool
	// retryAt is when a snapshot may be taken again after one that did not fit on the disk.
	retryAt time.Time
	writer  sync.WaitGroup
}

type savedSnapshot struct {
	snapshot  *storage.Snapshot
	compactTo uint64
	err       error
}

// reset restarts the counters after a snapshot of size bytes at index.
func (s *snapshotter) reset(index uint64, size int) {
	s.appliedIndex = index
	s.entriesSince = 0
	s.bytesSince = 0
	s.size = uint64(size)
}

// due reports whether a snapshot is due: a threshold is reached, and the entries applied since the last
// snapshot are at least as large as that snapshot, so that snapshots at most double the number of bytes
// written. A larger snapshot does not delay the next one beyond the threshold, by which the disk is shared.
func (s *snapshotter) due(now time.Time, c *Config) bool {
	enough := s.entriesSince >= c.SnapshotEntries || s.bytesSince >= c.SnapshotBytes
	return enough && s.bytesSince >= min(s.size, c.SnapshotBytes) && !s.writing && !now.Before(s.retryAt)
}

func (s *snapshotter) wait() { s.writer.Wait() }

// apply applies a committed entry to the state machine and returns the result to
// the proposer, if that is waiting on this node.
func (n *Node) apply(e *wire.LogEntry) {
	s := &n.snapshots
	s.appliedIndex = e.Index
	s.entriesSince++
	s.bytesSince += uint64(len(e.Data)) + storage.EntryOverhead
	if e.Kind != wire.LogEntry_KIND_COMMAND {
		return
	}
	result := n.config.Machine.Apply(e.Index, e.Data)
	p := n.waiters[e.Index]
	if p == nil {
		return
	}
	delete(n.waiters, e.Index)
	n.logCommittedBelowDeclared(e.Index)
	p.reply <- proposalResult{value: result}
}

// logCommittedBelowDeclared logs the first command of each replica set whose proposer is told that it
// is committed while the loss of as many disks as declared could undo it.
func (n *Node) logCommittedBelowDeclared(index uint64) {
	voters, set := len(n.replica.set.voters()), n.replica.set.index()
	if needed := n.replica.minVoters(); voters < needed && n.loggedBelowDeclared != set {
		n.loggedBelowDeclared = set
		event.CommittedBelowDeclared(n.self(), index, voters, needed)
	}
}

func (n *Node) restore(s *storage.Snapshot) {
	if err := n.config.Machine.Restore(s.Data); err != nil {
		n.fail(fmt.Errorf("restore snapshot at %d: %w", s.ID.Index, err))
		return
	}
	n.snapshots.reset(s.ID.Index, len(s.Data))
	event.SnapshotInstalled(n.self(), s.ID.Index)
}

// maybeSnapshot takes a snapshot if one is due and starts to write it.
func (n *Node) maybeSnapshot(now time.Time) {
	s := &n.snapshots
	if !s.due(now, &n.config) || n.err != nil {
		return
	}
	snap := n.replica.MakeSnapshot()
	data, err := n.config.Machine.Snapshot()
	if err != nil {
		n.fail(fmt.Errorf("take snapshot at %d: %w", snap.ID.Index, err))
		return
	}
	snap.Data = data
	s.reset(s.appliedIndex, len(data))
	s.writing = true
	s.writer.Go(func() { n.savedSnapshots <- n.saveSnapshot(snap) })
}

func (n *Node) saveSnapshot(snap *storage.Snapshot) savedSnapshot {
	if err := n.config.Store.SaveSnapshot(snap); err != nil {
		return savedSnapshot{err: err}
	}
	compactTo, err := n.config.Store.Compact()
	return savedSnapshot{snapshot: snap, compactTo: compactTo, err: err}
}

func (n *Node) snapshotSaved(s savedSnapshot) {
	n.snapshots.writing = false
	if errors.Is(s.err, storage.ErrFull) {
		// The log may still have room, so the replica goes on without the snapshot.
		event.SnapshotNotSaved(n.self(), s.err)
		n.snapshots.bytesSince += n.config.SnapshotBytes // due again
		n.snapshots.retryAt = steady.Now().Add(snapshotRetryInterval)
		return
	}
	if s.err != nil {
		n.fail(fmt.Errorf("save snapshot: %w", s.err))
		return
	}
	n.replica.SnapshotSaved(s.snapshot, s.compactTo)
	event.SnapshotSaved(n.self(), s.snapshot.ID.Index)
}

// requestReads requests one confirmation for all queued reads, unless an earlier
// one is still pending.
func (n *Node) requestReads(now time.Time) {
	if len(n.queuedReads) == 0 || len(n.unconfirmedReads) > 0 {
		return
	}
	if !n.replica.RequestRead(now, 0) {
		replyToReads(n.queuedReads, n.refusal())
		n.queuedReads = nil
		return
	}
	n.unconfirmedReads = n.queuedReads
	n.queuedReads = nil
}

// confirmReads handles the result of the pending confirmation.
func (n *Node) confirmReads(reads []Read) {
	for _, read := range reads {
		if read.Failed {
			replyToReads(n.unconfirmedReads, fault.New(fault.NotLeader, fault.NotRun, "leadership was lost"))
		} else {
			for _, c := range n.unconfirmedReads {
				c.index = read.Index
			}
			n.confirmedReads = append(n.confirmedReads, n.unconfirmedReads...)
		}
		n.unconfirmedReads = nil
	}
}

// replyToAppliedReads answers the confirmed reads whose index has been applied.
func (n *Node) replyToAppliedReads() {
	var unapplied []*readCall
	for _, c := range n.confirmedReads {
		if c.index > n.snapshots.appliedIndex {
			unapplied = append(unapplied, c)
			continue
		}
		c.reply <- nil
	}
	n.confirmedReads = unapplied
}

func replyToReads(calls []*readCall, err error) {
	for _, c := range calls {
		c.reply <- err
	}
}
