package consensus

import (
	"time"

	"parsleypulley/internal/storage"
)

// progressMode is how a leader sends log entries to one follower.
type progressMode uint8

const (
	// probing sends one append message at a time until an entry is found at which
	// the logs of leader and follower match.
	probing progressMode = iota
	// replicating sends append messages without waiting for the replies to earlier
	// ones, up to Options.MaxInflight.
	replicating
	// sendingSnapshot sends the chunks of a snapshot, each after the reply to the
	// one before.
	sendingSnapshot
)

// progress is a leader's view of the replication state of one follower.
type progress struct {
	mode progressMode
	// match is the index of the last entry known to be durable on the follower and
	// equal to the leader's.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// awaitingReply is set while a probe or a snapshot chunk is unanswered.
	awaitingReply bool
	// inflight holds the index of the last entry of each unanswered append message,
	// oldest first.
	inflight []uint64
	// idleReplies counts the heartbeat replies since the follower last made
	// progress.
	idleReplies int
	// snapshot is the snapshot being sent in mode sendingSnapshot.
	snapshot *storage.Snapshot
	// offset is the position of the next chunk in the data of snapshot.
	offset uint64
	// round is the newest heartbeat round that the follower answered.
	round uint64
	// followerClock is the last received reading of the follower's local clock. It
	// is echoed to the follower.
	followerClock uint64
	// heardAttended is Replica.attendedTime when the follower's last reply arrived. Before
	// the first reply it is that when the leader was elected or the follower was added.
	heardAttended time.Duration
	// leavingUntil is set when the follower has told that it is about to stop. Until then
	// it counts as silent and is not promoted.
	leavingUntil time.Time
}

// maxIdleReplies is the number of consecutive heartbeat replies without progress
// that are tolerated. After more, messages are taken to be lost and are sent again.
const maxIdleReplies = 2

func (p *progress) probe() {
	p.mode = probing
	p.next = p.match + 1
	p.inflight = nil
	p.awaitingReply = false
	p.snapshot = nil
	p.offset = 0
	p.idleReplies = 0
}

func (p *progress) replicate() {
	p.probe()
	p.mode = replicating
}

// acknowledge records that the entries up to index are durable on the follower. It
// reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.idleReplies = 0
	return true
}

// countIdleReply counts a heartbeat reply without progress and reports whether
// unanswered messages are to be taken as lost.
func (p *progress) countIdleReply() bool {
	p.idleReplies++
	return p.idleReplies > maxIdleReplies
}
