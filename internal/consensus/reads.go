package consensus

import "time"

// pendingRead is a read that waits until a quorum has answered its heartbeat round.
type pendingRead struct {
	token uint64
	// round is the heartbeat round that confirms the read. It is 0 until the first
	// entry of the leader's term is committed.
	round uint64
	// index is the commit index that the read must observe, set with round.
	index uint64
}

// RequestRead requests a linearizable read. A later Ready holds a Read with the same
// token. RequestRead returns false if this replica isn't the leader, or while the
// cluster is forming: its empty state is not known to be that of the installation.
//
// Reads are confirmed by a heartbeat round to a quorum rather than by a leader lease,
// because the clock of a frozen VM may stand still while another replica is elected.
func (r *Replica) RequestRead(now time.Time, token uint64) bool {
	if r.role != Leader || r.Forming() {
		return false
	}
	read := pendingRead{token: token}
	if r.barrierCommitted() {
		read.index = r.log.commitIndex
		read.round = r.leading.round + 1
	}
	r.leading.pendingReads = append(r.leading.pendingReads, read)
	if read.round > 0 {
		r.sendHeartbeats(now)
	}
	return true
}

// barrierCommitted reports whether the first entry of the leader's term is committed.
// Only then does the leader know all entries that earlier leaders committed.
func (r *Replica) barrierCommitted() bool { return r.log.commitIndex >= r.leading.barrierIndex }

// completeReads moves the reads whose round a quorum has answered to the next Ready.
// Once the first entry of the term is committed, it also assigns a round to the reads
// that were waiting for that, and lets the round start at the next tick.
func (r *Replica) completeReads() {
	l := &r.leading
	if !r.barrierCommitted() {
		return
	}
	var pending []pendingRead
	for _, read := range l.pendingReads {
		if read.round == 0 {
			read.index = r.log.commitIndex
			read.round = l.round + 1
			l.nextHeartbeat = time.Time{}
		}
		if read.round > l.confirmedRound {
			pending = append(pending, read)
			continue
		}
		r.reads = append(r.reads, Read{Token: read.token, Index: read.index})
	}
	l.pendingReads = pending
}

func (r *Replica) failReads() {
	for _, read := range r.leading.pendingReads {
		r.reads = append(r.reads, Read{Token: read.token, Failed: true})
	}
}
