package consensus

import (
	"fmt"
	"slices"
	"time"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

func (r *Replica) replicateAll() {
	for _, id := range r.followerIDs() {
		r.replicate(id, r.leading.followers[id])
	}
}

// replicate sends the follower the entries or the snapshot chunk that it lacks, as
// far as flow control allows.
func (r *Replica) replicate(id uint64, p *progress) {
	switch p.mode {
	case sendingSnapshot:
		r.sendChunk(id, p)
	case probing:
		if !p.awaitingReply {
			p.awaitingReply = r.sendAppend(id, p)
		}
	case replicating:
		for p.next <= r.log.lastIndex() && len(p.inflight) < r.options.MaxInflight {
			if !r.sendAppend(id, p) {
				return
			}
		}
	}
}

// sendAppend sends entries starting at p.next. If the log no longer contains the
// entry before p.next, it starts to send the snapshot instead and returns false.
func (r *Replica) sendAppend(id uint64, p *progress) bool {
	previous := p.next - 1
	term, ok := r.log.term(previous)
	if !ok {
		r.startSnapshotTransfer(id, p)
		return false
	}
	entries := r.log.batch(p.next, r.options.MaxMessageBytes)
	r.sendEntries(id, p, storage.EntryID{Index: previous, Term: term}, entries)
	if n := len(entries); n > 0 && p.mode == replicating {
		p.next += uint64(n)
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

func (r *Replica) sendEntries(id uint64, p *progress, previous storage.EntryID, entries []*wire.LogEntry) {
	r.send(&wire.ConsensusMessage{
		Type: wire.ConsensusMessage_TYPE_APPEND, To: id,
		LogIndex: previous.Index, LogTerm: previous.Term,
		Entries: entries, Commit: r.log.commitIndex,
		ReadContext: r.leading.round, EchoUs: p.followerClock,
	})
}

// sendCommitIndex sends the new commit index to the followers that were already
// sent all entries. The others learn it from their next append or heartbeat.
func (r *Replica) sendCommitIndex() {
	for _, id := range r.followerIDs() {
		p := r.leading.followers[id]
		if p.mode == replicating && p.next > r.log.lastIndex() {
			r.sendEntries(id, p, r.log.last(), nil)
		}
	}
}

func (r *Replica) handleAppendReply(now time.Time, p *progress, m *wire.ConsensusMessage) {
	if m.LogIndex > r.log.lastIndex() {
		return
	}
	if m.Reject {
		r.handleReject(p, m)
		return
	}
	advanced := p.acknowledge(m.LogIndex)
	caughtUp := p.mode == sendingSnapshot && p.match >= p.snapshot.ID.Index
	if p.mode == probing || caughtUp {
		p.replicate()
	}
	if advanced {
		r.advanceCommit(now)
	}
	if r.role != Leader {
		return
	}
	r.replicate(m.From, p)
	r.sendTimeoutNow(m.From, p)
}

// handleReject probes again from the last entry at which the logs may match, which
// it finds from the follower's hint. Replies to outdated messages are ignored.
func (r *Replica) handleReject(p *progress, m *wire.ConsensusMessage) {
	stale := m.LogIndex <= p.match || p.mode == probing && m.LogIndex != p.next-1
	if stale || p.mode == sendingSnapshot {
		return
	}
	p.probe()
	possibleMatch := r.log.lastPossibleMatch(storage.EntryID{Index: m.RejectHint, Term: m.LogTerm})
	p.next = max(p.match+1, min(m.LogIndex, possibleMatch.Index+1))
	if m.RejectHint < r.log.base.Index {
		// The follower needs entries that were compacted: its next append message
		// is replaced by a snapshot; see sendAppend.
		p.next = max(p.match, m.RejectHint) + 1
	}
	r.replicate(m.From, p)
}

// handleHeartbeatReply resends messages that are taken to be lost: an unanswered probe
// at each heartbeat reply, others after more than maxIdleReplies replies without
// progress.
func (r *Replica) handleHeartbeatReply(p *progress, m *wire.ConsensusMessage) {
	switch {
	case p.mode == probing:
		p.awaitingReply = false
	case p.mode == sendingSnapshot && p.countIdleReply():
		p.idleReplies = 0
		p.awaitingReply = false
	case p.mode == replicating && p.match < r.log.lastIndex() && p.countIdleReply():
		p.probe()
	}
	r.replicate(m.From, p)
}

// handleLeaderMessage handles a message from the leader of the current term.
func (r *Replica) handleLeaderMessage(now time.Time, m *wire.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	if r.role != Follower {
		r.becomeFollower(now, r.term, m.From)
	}
	r.leader = m.From
	r.leaderHeardAt = now
	r.resetElectionTimeout(now)
	r.updateConfirmedAt(now, m)
	switch m.Type {
	case wire.ConsensusMessage_TYPE_APPEND:
		r.handleAppend(now, m)
	case wire.ConsensusMessage_TYPE_HEARTBEAT:
		r.commitTo(min(m.Commit, r.log.lastIndex()))
		r.reply(now, m, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_HEARTBEAT_REPLY})
		if r.leaving {
			r.tellLeaving()
		}
	case wire.ConsensusMessage_TYPE_SNAPSHOT:
		r.handleSnapshot(now, m)
	}
}

// updateConfirmedAt updates the time at which the leader is known to have been in
// contact with a quorum. The leader sends the age of that contact and echoes a
// reading of this replica's clock. The contact is dated back from the echoed
// reading, which was taken before the leader sent the message, so a delayed message
// can't confirm more than was true when it was sent. Readings from before a restart
// are ignored.
func (r *Replica) updateConfirmedAt(now time.Time, m *wire.ConsensusMessage) {
	if m.QuorumAgeMs == 0 || m.EchoUs == 0 {
		return
	}
	sinceStart := int64(m.EchoUs - r.clockOffset)
	if sinceStart < 0 || sinceStart > now.Sub(r.startedAt).Microseconds() {
		return
	}
	at := r.startedAt.Add(time.Duration(sinceStart)*time.Microsecond - time.Duration(m.QuorumAgeMs)*time.Millisecond)
	r.addContact(contact{at: at, commit: m.QuorumCommit})
}

// contact is a contact of the leader with a quorum.
type contact struct {
	at time.Time
	// commit is at least the index of the last entry that was acknowledged before at.
	commit uint64
}

// addContact adds a contact of the leader with a quorum. If two wait for entries already, it
// replaces the newer one, so that one of them is reached however often the leader commits.
func (r *Replica) addContact(c contact) {
	r.confirmedAt = r.latestContact()
	r.contacts = slices.DeleteFunc(r.contacts, func(known contact) bool { return !known.at.After(r.confirmedAt) })
	if !c.at.After(r.confirmedAt) {
		return
	}
	r.contacts = append(r.contacts[:min(1, len(r.contacts))], c)
}

// latestContact returns the latest time at which the leader was in contact with a quorum and
// before which nothing was acknowledged that is not known to be committed here.
func (r *Replica) latestContact() time.Time {
	latest := r.confirmedAt
	for _, c := range r.contacts {
		if c.commit <= r.log.commitIndex && c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

// localClock returns the reading of this replica's clock that the leader echoes, in
// microseconds.
func (r *Replica) localClock(now time.Time) uint64 {
	return r.clockOffset + uint64(now.Sub(r.startedAt).Microseconds())
}

// reply sends the reply to the leader's message m.
func (r *Replica) reply(now time.Time, m, reply *wire.ConsensusMessage) {
	reply.To = m.From
	reply.ReadContext = m.ReadContext
	reply.ClockUs = r.localClock(now)
	r.send(reply)
}

func (r *Replica) acknowledge(now time.Time, m *wire.ConsensusMessage, index uint64) {
	r.reply(now, m, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, LogIndex: index})
}

func (r *Replica) handleAppend(now time.Time, m *wire.ConsensusMessage) {
	previous := storage.EntryID{Index: m.LogIndex, Term: m.LogTerm}
	if !isValidContinuation(m.Entries, previous, m.Term) {
		return
	}
	if previous.Index < r.log.commitIndex {
		// All logs agree up to the commit index, so the leader can continue there.
		r.acknowledge(now, m, r.log.commitIndex)
		return
	}
	if !r.log.contains(previous) {
		hint := r.log.lastPossibleMatch(previous)
		r.reply(now, m, &wire.ConsensusMessage{
			Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, Reject: true,
			LogIndex: previous.Index, RejectHint: hint.Index, LogTerm: hint.Term,
		})
		return
	}
	if !r.appendFromLeader(m.Entries) {
		return
	}
	last := previous.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	r.acknowledge(now, m, last)
}

// isValidContinuation reports whether the entries follow previous without a gap, and
// with terms that don't decrease and don't exceed the leader's term.
func isValidContinuation(entries []*wire.LogEntry, previous storage.EntryID, term uint64) bool {
	for _, e := range entries {
		if e.Index != previous.Index+1 || e.Term < previous.Term || e.Term > term {
			return false
		}
		previous = storage.EntryID{Index: e.Index, Term: e.Term}
	}
	return true
}

func (r *Replica) appendFromLeader(entries []*wire.LogEntry) bool {
	before := r.log.lastIndex()
	replaced, ok := r.log.merge(entries)
	if !ok {
		r.fatalErr = fmt.Errorf("leader of term %d contradicts a committed entry", r.term)
		return false
	}
	if replaced > 0 {
		r.set.truncate(replaced)
		before = replaced - 1
	}
	for _, e := range r.log.slice(before+1, r.log.lastIndex()) {
		if err := r.addReplicaSet(e); err != nil {
			r.fatalErr = err
			return false
		}
	}
	return true
}

func (r *Replica) commitTo(index uint64) {
	r.log.commitIndex = max(r.log.commitIndex, index)
}
