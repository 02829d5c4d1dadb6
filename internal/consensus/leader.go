package consensus

import (
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

// leaderState is the state that a replica has only while it is the leader.
type leaderState struct {
	// followers holds the progress of all other replicas of the set, by identity.
	followers map[uint64]*progress
	// barrierIndex is the index of the first entry of the leader's term. The leader
	// appends this entry when it is elected. Once it is committed, all entries of
	// earlier terms that were committed are known to be committed.
	barrierIndex uint64
	// round is the number of the last heartbeat round.
	round uint64
	// unconfirmedRounds are the rounds that no quorum has answered yet, oldest
	// first.
	unconfirmedRounds []heartbeatRound
	// confirmedRound is the newest round that a quorum answered.
	confirmedRound uint64
	// quorumContact is when confirmedRound was sent, or the time of the election.
	quorumContact time.Time
	nextHeartbeat time.Time
	// electedAt is when the term began.
	electedAt time.Time
	// stalled is the longest time between two runs of the timers in this term.
	stalled time.Duration
	// attended is attendedTime when the timers were last run, and contactAttended that at
	// quorumContact.
	attended, contactAttended time.Duration
	pendingReads              []pendingRead
	// transferTarget is the replica to which leadership is being transferred, or 0.
	transferTarget uint64
	// transferDeadline is when a transfer that hasn't succeeded is abandoned.
	transferDeadline time.Time
}

// heartbeatRound is a round of heartbeats to all followers.
type heartbeatRound struct {
	round  uint64
	sentAt time.Time
	// attended is attendedTime at sentAt.
	attended time.Duration
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.options.ID
	r.votes = nil
	r.leading = leaderState{
		followers:     map[uint64]*progress{},
		barrierIndex:  r.log.lastIndex() + 1,
		quorumContact: now,
		electedAt:     now,
	}
	r.updateFollowers(now)
	r.appendEntry(wire.LogEntry_KIND_BARRIER, nil)
	r.replicateAll()
	r.sendHeartbeats(now)
}

// updateFollowers adds and removes followers to match the replica set in force.
func (r *Replica) updateFollowers(now time.Time) {
	l := &r.leading
	for id := range l.followers {
		if r.set.find(id) == nil {
			delete(l.followers, id)
		}
	}
	for _, replica := range r.set.current().GetReplicas() {
		if replica.Id == r.options.ID || l.followers[replica.Id] != nil {
			continue
		}
		l.followers[replica.Id] = &progress{next: r.log.lastIndex() + 1, heardAttended: r.attendedTime(now)}
	}
}

// followerIDs returns the identities of the followers in ascending order, so that
// runs are reproducible.
func (r *Replica) followerIDs() []uint64 {
	ids := make([]uint64, 0, len(r.leading.followers))
	for id := range r.leading.followers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// attendedTime returns the time since the election in which this leader could hear the others: of a time
// between two runs of the timers it has at most a heartbeat interval. While a leader stands still, replies
// wait, and the silence of the others says nothing of them.
func (r *Replica) attendedTime(now time.Time) time.Duration {
	return r.leading.attended + min(now.Sub(r.lastTick), r.options.HeartbeatInterval)
}

// hasQuorum reports whether a quorum was in contact with this leader within the last election timeout, as far as
// this replica could hear it.
func (r *Replica) hasQuorum(now time.Time) bool {
	return r.attendedTime(now)-r.leading.contactAttended < r.options.ElectionTimeout
}

// tickLeader runs the timers of a leader, which were last run at r.lastTick.
func (r *Replica) tickLeader(now time.Time) {
	l := &r.leading
	l.stalled = max(l.stalled, now.Sub(r.lastTick))
	l.attended = r.attendedTime(now)
	r.lastTick = now
	if !r.hasQuorum(now) {
		// Without contact to a quorum the leader steps down.
		r.quorumLoss = r.describeQuorumLoss(now)
		r.becomeFollower(now, r.term, 0)
		return
	}
	if l.transferTarget != 0 && !now.Before(l.transferDeadline) {
		l.transferTarget = 0
	}
	if !now.Before(l.nextHeartbeat) {
		r.sendHeartbeats(now)
	}
	r.maintainReplicaSet(now)
}

// quorumLoss is why a leader stepped down for lack of contact to a quorum.
type quorumLoss struct {
	term uint64
	// led is how long it had led, and contact how long ago a quorum was in contact.
	led, contact time.Duration
	// stalled is as in leaderState.
	stalled time.Duration
	silent  []uint64
}

func (r *Replica) describeQuorumLoss(now time.Time) *quorumLoss {
	l := &r.leading
	loss := &quorumLoss{term: r.term, led: now.Sub(l.electedAt), contact: now.Sub(l.quorumContact), stalled: l.stalled}
	for _, id := range r.set.voters() {
		if !r.isLive(now, id) {
			loss.silent = append(loss.silent, id)
		}
	}
	return loss
}

// sendHeartbeats starts a new heartbeat round.
func (r *Replica) sendHeartbeats(now time.Time) {
	l := &r.leading
	l.round++
	l.unconfirmedRounds = append(l.unconfirmedRounds, heartbeatRound{round: l.round, sentAt: now, attended: r.attendedTime(now)})
	l.nextHeartbeat = now.Add(r.options.HeartbeatInterval)
	for _, id := range r.followerIDs() {
		p := l.followers[id]
		m := &wire.ConsensusMessage{
			Type: wire.ConsensusMessage_TYPE_HEARTBEAT, To: id,
			Commit: min(p.match, r.log.commitIndex),
		}
		r.sendWithConfirmation(now, p, m)
	}
	r.confirmRounds(now)
}

// sendWithConfirmation sends m with the fields from which the follower derives when
// the leader was last in contact with a quorum; see updateConfirmedAt. The age of
// the contact is rounded up to a millisecond, since 0 means no contact. It is left
// out if the contact is older than an election timeout, while the follower's log
// isn't known to match, and while the leader may not know all committed entries.
func (r *Replica) sendWithConfirmation(now time.Time, p *progress, m *wire.ConsensusMessage) {
	m.ReadContext = r.leading.round
	m.EchoUs = p.followerClock
	age := now.Sub(r.leading.quorumContact)
	if p.mode == replicating && age < r.options.ElectionTimeout && r.barrierCommitted() {
		m.QuorumAgeMs, m.QuorumCommit = uint64(age.Milliseconds())+1, r.log.commitIndex
	}
	r.send(m)
}

// confirmRounds updates confirmedRound and quorumContact to the newest round that a
// quorum has answered.
func (r *Replica) confirmRounds(now time.Time) {
	l := &r.leading
	confirmed := r.set.quorumValue(func(id uint64) uint64 {
		if id == r.options.ID {
			return l.round
		}
		if p := l.followers[id]; p != nil {
			return p.round
		}
		return 0
	})
	if confirmed <= l.confirmedRound {
		return
	}
	l.confirmedRound = confirmed
	for len(l.unconfirmedRounds) > 0 && l.unconfirmedRounds[0].round <= confirmed {
		l.quorumContact, l.contactAttended = l.unconfirmedRounds[0].sentAt, l.unconfirmedRounds[0].attended
		l.unconfirmedRounds = l.unconfirmedRounds[1:]
	}
	r.completeReads()
}

// handleReply handles a follower's reply to a leader message.
func (r *Replica) handleReply(now time.Time, m *wire.ConsensusMessage) {
	p := r.leading.followers[m.From]
	if p == nil {
		return
	}
	p.heardAttended = r.attendedTime(now)
	p.followerClock = m.ClockUs
	p.round = max(p.round, m.ReadContext)
	r.confirmRounds(now)
	switch m.Type {
	case wire.ConsensusMessage_TYPE_APPEND_REPLY:
		r.handleAppendReply(now, p, m)
	case wire.ConsensusMessage_TYPE_HEARTBEAT_REPLY:
		r.handleHeartbeatReply(p, m)
	case wire.ConsensusMessage_TYPE_SNAPSHOT_REPLY:
		r.handleSnapshotReply(p, m)
	}
}

// Propose appends commands to the leader's log and returns the index of the first
// one. It returns false if this replica isn't the leader or is transferring its
// leadership, or while the cluster is forming.
func (r *Replica) Propose(commands ...[]byte) (first uint64, ok bool) {
	if r.role != Leader || r.leading.transferTarget != 0 || r.Forming() {
		return 0, false
	}
	first = r.log.lastIndex() + 1
	for _, command := range commands {
		r.appendEntry(wire.LogEntry_KIND_COMMAND, command)
	}
	r.replicateAll()
	return first, true
}

func (r *Replica) appendEntry(kind wire.LogEntry_Kind, data []byte) {
	r.log.append(&wire.LogEntry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data})
}

// advanceCommit advances the commit index to the last entry that is durable on a
// quorum of the voters, if that entry is of the current term. A leader that has
// removed itself steps down when the change is committed.
func (r *Replica) advanceCommit(now time.Time) {
	index := r.set.quorumValue(func(id uint64) uint64 {
		if id == r.options.ID {
			return r.log.stableIndex
		}
		if p := r.leading.followers[id]; p != nil {
			return p.match
		}
		return 0
	})
	term, ok := r.log.term(index)
	if !ok || term != r.term || index <= r.log.commitIndex {
		return
	}
	r.log.commitIndex = index
	r.completeReads()
	if r.set.index() <= index && !r.set.isVoter(r.options.ID) {
		r.becomeFollower(now, r.term, 0)
		return
	}
	r.sendCommitIndex()
}
