package consensus

import (
	"fmt"
	"sync"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// snapshotter decides when a snapshot is due and writes it beside the node's
// goroutine.
type snapshotter struct {
	// index is the last applied index; since and bytes count from the last snapshot,
	// which had size bytes.
	index   uint64
	since   uint64
	bytes   uint64
	size    uint64
	writing bool
	writer  sync.WaitGroup
}

type savedSnapshot struct {
	snapshot  *storage.Snapshot
	compactTo uint64
	err       error
}

// reset starts to count from a snapshot of size bytes at index.
func (s *snapshotter) reset(index uint64, size int) {
	s.index = index
	s.since = 0
	s.bytes = 0
	s.size = uint64(size)
}

// due reports whether enough was applied since the last snapshot, and at least as
// much as that was large: so snapshots at most double what is written.
func (s *snapshotter) due(c *Config) bool {
	enough := s.since >= c.SnapshotEntries || s.bytes >= c.SnapshotBytes
	return enough && s.bytes >= s.size && !s.writing
}

func (s *snapshotter) wait() { s.writer.Wait() }

// apply gives a committed entry to the machine and its result to the proposer.
func (n *Node) apply(e *wire.LogEntry) {
	s := &n.snapshots
	s.index = e.Index
	s.since++
	s.bytes += uint64(len(e.Data))
	if e.Kind != wire.LogEntry_KIND_COMMAND {
		return
	}
	result := n.config.Machine.Apply(e.Index, e.Data)
	p := n.waiters[e.Index]
	if p == nil {
		return
	}
	delete(n.waiters, e.Index)
	p.reply <- proposalResult{value: result}
}

func (n *Node) restore(s *storage.Snapshot) {
	if err := n.config.Machine.Restore(s.Data); err != nil {
		n.fail(fmt.Errorf("restore snapshot at %d: %w", s.ID.Index, err))
		return
	}
	n.snapshots.reset(s.ID.Index, len(s.Data))
	event.SnapshotInstalled(n.self(), s.ID.Index)
}

// maybeSnapshot begins a snapshot when enough has been applied since the last.
func (n *Node) maybeSnapshot() {
	s := &n.snapshots
	if !s.due(&n.config) || n.err != nil {
		return
	}
	snap := n.replica.MakeSnapshot()
	data, err := n.config.Machine.Snapshot()
	if err != nil {
		n.fail(fmt.Errorf("take snapshot at %d: %w", snap.ID.Index, err))
		return
	}
	snap.Data = data
	s.reset(s.index, len(data))
	s.writing = true
	s.writer.Go(func() { n.saved <- n.saveSnapshot(snap) })
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
	if s.err != nil {
		n.fail(fmt.Errorf("save snapshot: %w", s.err))
		return
	}
	n.replica.SnapshotSaved(s.snapshot, s.compactTo)
	event.SnapshotSaved(n.self(), s.snapshot.ID.Index)
}

// requestReads starts one round for all reads that wait, unless one is out.
func (n *Node) requestReads(now time.Time) {
	if len(n.barrier) == 0 || len(n.round) > 0 {
		return
	}
	if !n.replica.RequestRead(now, 0) {
		answerReads(n.barrier, n.notLeader())
		n.barrier = nil
		return
	}
	n.round = n.barrier
	n.barrier = nil
}

// confirmReads takes the outcome of the round that is out.
func (n *Node) confirmReads(reads []Read) {
	for _, read := range reads {
		if read.Failed {
			answerReads(n.round, fault.New(fault.NotLeader, fault.NotRun, "leadership was lost"))
		} else {
			for _, c := range n.round {
				c.index = read.Index
			}
			n.appliedReads = append(n.appliedReads, n.round...)
		}
		n.round = nil
	}
}

// serveApplied answers the confirmed reads whose index is applied.
func (n *Node) serveApplied() {
	var waiting []*readCall
	for _, c := range n.appliedReads {
		if c.index > n.snapshots.index {
			waiting = append(waiting, c)
			continue
		}
		c.reply <- nil
	}
	n.appliedReads = waiting
}

func answerReads(calls []*readCall, err error) {
	for _, c := range calls {
		c.reply <- err
	}
}
