package consensus

import (
	"slices"
	"time"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Parts of the election timeout: the time by which the first elections of the voters of a
// new cluster are apart, and the minimum time until their next attempt.
const (
	foundingRankFraction  = 30
	foundingRetryFraction = 12
)

// resetElectionTimeout restarts the election timeout with a new random duration
// between one and two times Options.ElectionTimeout.
func (r *Replica) resetElectionTimeout(now time.Time) {
	timeout := r.options.ElectionTimeout
	timeout += time.Duration(r.options.Random.Int64N(int64(timeout)))
	r.electionDeadline = now.Add(timeout)
}

// resetRetryTimeout sets the time until the next attempt after a pre-vote or election
// without a majority. It is shorter than the election timeout, because no leader was
// heard of for that long already. It is random, so that candidates that split the votes
// don't meet again.
func (r *Replica) resetRetryTimeout(now time.Time) {
	timeout := r.options.ElectionTimeout / 4
	timeout += time.Duration(r.options.Random.Int64N(int64(r.options.ElectionTimeout)))
	if r.founding() {
		timeout = r.options.ElectionTimeout / foundingRetryFraction
		timeout += time.Duration(r.options.Random.Int64N(int64(2 * timeout)))
	}
	r.electionDeadline = now.Add(timeout)
}

// hasLiveLeader reports whether a leader was alive within the last election
// timeout: a follower received a message from it, or this replica leads and was in
// contact with a quorum. While this holds, the replica refuses pre-votes and ignores
// vote requests, except in a leadership transfer.
func (r *Replica) hasLiveLeader(now time.Time) bool {
	if r.role == Leader {
		return r.hasQuorum(now)
	}
	return r.leader != 0 && now.Sub(r.leaderHeardAt) < r.options.ElectionTimeout
}

// electionOutcome lists the voters by their replies to a vote request.
type electionOutcome struct {
	granted, refused, silent []uint64
}

func (o *electionOutcome) equal(other *electionOutcome) bool {
	return other != nil && slices.Equal(o.granted, other.granted) &&
		slices.Equal(o.refused, other.refused) && slices.Equal(o.silent, other.silent)
}

// outcome returns the replies to the current vote request.
func (r *Replica) outcome() *electionOutcome {
	o := &electionOutcome{}
	for _, id := range r.set.voters() {
		switch granted, answered := r.votes[id]; {
		case granted:
			o.granted = append(o.granted, id)
		case answered:
			o.refused = append(o.refused, id)
		default:
			o.silent = append(o.silent, id)
		}
	}
	return o
}

func (r *Replica) becomeFollower(now time.Time, term, leader uint64) {
	if term != r.term {
		r.term = term
		r.vote = 0
		r.incoming = nil
	}
	if r.role == Leader {
		r.failReads()
		r.addContact(contact{at: r.ConfirmedAt()})
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.leading = leaderState{}
	r.resetElectionTimeout(now)
}

// startPreVote asks the voters whether they would grant a vote in the next term. It
// doesn't change the term, so a replica that can't win doesn't disrupt the leader.
func (r *Replica) startPreVote(now time.Time) {
	if r.role != Follower {
		r.lostElection = r.outcome()
	}
	r.resetRetryTimeout(now)
	r.leader = 0
	r.role = Follower
	if !r.set.isVoter(r.options.ID) {
		return
	}
	r.role = PreCandidate
	r.votes = map[uint64]bool{r.options.ID: true}
	r.requestVotes(wire.ConsensusMessage_TYPE_PRE_VOTE, r.term+1, false)
	r.countVotes(now)
}

// startElection starts a new term, votes for itself and requests the votes of the
// others.
func (r *Replica) startElection(now time.Time, transfer bool) {
	r.resetRetryTimeout(now)
	r.role = Candidate
	r.leader = 0
	r.term++
	r.vote = r.options.ID
	r.incoming = nil
	r.votes = map[uint64]bool{r.options.ID: true}
	r.requestVotes(wire.ConsensusMessage_TYPE_VOTE, r.term, transfer)
	r.countVotes(now)
}

func (r *Replica) requestVotes(kind wire.ConsensusMessage_Type, term uint64, transfer bool) {
	last := r.log.last()
	for _, id := range r.set.voters() {
		if id == r.options.ID {
			continue
		}
		r.send(&wire.ConsensusMessage{
			Type: kind, To: id, Term: term, Transfer: transfer,
			LogIndex: last.Index, LogTerm: last.Term,
		})
	}
}

// countVotes ends a pre-vote or an election once a majority of the voters has
// granted or refused it.
func (r *Replica) countVotes(now time.Time) {
	outcome := r.outcome()
	granted, refused := len(outcome.granted), len(outcome.refused)
	quorum := len(r.set.voters())/2 + 1
	switch {
	case granted >= quorum && r.role == PreCandidate:
		r.startElection(now, false)
	case granted >= quorum:
		r.becomeLeader(now)
	case refused >= quorum:
		r.lostElection = outcome
		r.becomeFollower(now, r.term, 0)
	}
}

func (r *Replica) handlePreVote(now time.Time, m *wire.ConsensusMessage) {
	grant := m.Term > r.term && !r.hasLiveLeader(now) &&
		r.log.isUpToDate(storage.EntryID{Index: m.LogIndex, Term: m.LogTerm})
	reply := &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	r.send(reply)
}

func (r *Replica) handlePreVoteReply(now time.Time, m *wire.ConsensusMessage) {
	if r.role != PreCandidate || !m.Reject && m.Term != r.term+1 {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes(now)
}

func (r *Replica) handleVote(now time.Time, m *wire.ConsensusMessage) {
	mayVote := r.vote == m.From || r.vote == 0 && r.leader == 0
	grant := mayVote && r.log.isUpToDate(storage.EntryID{Index: m.LogIndex, Term: m.LogTerm})
	if grant {
		r.vote = m.From
		r.resetElectionTimeout(now)
	}
	r.send(&wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_VOTE_REPLY, To: m.From, Reject: !grant})
}

func (r *Replica) handleVoteReply(now time.Time, m *wire.ConsensusMessage) {
	if r.role != Candidate {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes(now)
}

// handleTimeoutNow starts an election at once, because the leader transfers its
// leadership to this replica.
func (r *Replica) handleTimeoutNow(now time.Time) {
	if r.role != Leader && r.set.isVoter(r.options.ID) {
		r.startElection(now, true)
	}
}
