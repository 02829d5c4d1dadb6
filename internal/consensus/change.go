package consensus

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// Errors of changes to the replica set.
var (
	// ErrNotLeader is returned when this replica isn't the leader, or is
	// transferring its leadership; only the leader changes the replica set.
	ErrNotLeader = errors.New("replica does not lead")
	// ErrChangePending is returned when an earlier change, or the first entry of
	// the leader's term, isn't committed yet.
	ErrChangePending = errors.New("another replica change is pending")
	// ErrAddressInUse is returned when another live replica has the address.
	ErrAddressInUse = errors.New("address belongs to a live replica")
	// ErrUnknownReplica is returned when no replica of the set has the identity.
	ErrUnknownReplica = errors.New("unknown replica")
	// ErrQuorumAtRisk is returned when no majority of the voters in the new set is
	// live.
	ErrQuorumAtRisk = errors.New("too few of the remaining voters answer")
	// ErrLastVoter is returned when the only voter is to be removed.
	ErrLastVoter = errors.New("the last voter can't be removed")
)

// AddLearner adds replica to the set as a learner. It is promoted to voter once it
// has caught up. Another replica with the same address that is no longer live is
// removed in the same change. If replica is already in the set, only its address is
// updated.
func (r *Replica) AddLearner(now time.Time, replica *wire.Replica) error {
	if known := r.set.find(replica.Id); known != nil && known.Address == replica.Address {
		return nil
	}
	if err := r.checkChangeAllowed(); err != nil {
		return err
	}
	for _, other := range r.set.current().Replicas {
		if other.Address == replica.Address && other.Id != replica.Id && r.isLive(now, other.Id) {
			return ErrAddressInUse
		}
	}
	return r.proposeReplicaSet(now, withReplica(r.set.current(), replica))
}

// RemoveReplica removes the replica with the identity id.
func (r *Replica) RemoveReplica(now time.Time, id uint64) error {
	if r.set.find(id) == nil {
		return ErrUnknownReplica
	}
	if err := r.checkChangeAllowed(); err != nil {
		return err
	}
	if voters := r.set.voters(); len(voters) == 1 && voters[0] == id {
		return ErrLastVoter
	}
	return r.proposeReplicaSet(now, withoutReplica(r.set.current(), id))
}

// checkChangeAllowed returns nil if the replica set may be changed now: this replica
// is the leader, the last change is committed, and so is the first entry of the
// leader's term.
func (r *Replica) checkChangeAllowed() error {
	switch {
	case r.role != Leader || r.leading.transferTarget != 0:
		return ErrNotLeader
	case r.log.commitIndex < r.set.index() || !r.barrierCommitted():
		return ErrChangePending
	default:
		return nil
	}
}

func (r *Replica) isLive(now time.Time, id uint64) bool {
	if id == r.options.ID {
		return true
	}
	// A follower is live if it replied within the last election timeout. Until its
	// first reply, the time of the leader's election or of the follower's addition
	// counts instead; see progress.heardAttended.
	return r.leading.followers[id] != nil && r.silence(now, id) < r.options.ElectionTimeout
}

// proposeReplicaSet appends an entry with a new replica set. It refuses a set in which
// no majority of the voters is live: the change could not be committed, and the leader
// would step down for lack of a quorum.
func (r *Replica) proposeReplicaSet(now time.Time, set *wire.ReplicaSet) error {
	voters, live := 0, 0
	for _, replica := range set.Replicas {
		if replica.Learner {
			continue
		}
		voters++
		if r.isLive(now, replica.Id) {
			live++
		}
	}
	if live <= voters/2 {
		return ErrQuorumAtRisk
	}
	set.Forming = r.set.current().GetForming() && !r.isFormed(now, set)
	data, err := proto.Marshal(set)
	if err != nil {
		return err
	}
	r.appendEntry(wire.LogEntry_KIND_MEMBERS, data)
	r.set.add(r.log.lastIndex(), set)
	r.updateFollowers(now)
	r.replicateAll()
	return nil
}

// isFormed reports whether a new cluster with this set bears the losses that
// Options.FormingVoters are to bear. Voters that have not answered with an entry of the
// log don't count: some of the first ones may never start.
func (r *Replica) isFormed(now time.Time, set *wire.ReplicaSet) bool {
	voters, answering := 0, 0
	for _, replica := range set.Replicas {
		if replica.Learner {
			continue
		}
		voters++
		p := r.leading.followers[replica.Id]
		if replica.Id == r.options.ID || p != nil && p.match > 0 && r.isLive(now, replica.Id) {
			answering++
		}
	}
	needed := r.options.FormingVoters
	return answering >= needed && answering-majority(voters) >= needed-majority(needed)
}

func majority(voters int) int { return voters/2 + 1 }

// handleJoin adds the sender to the replica set. A follower forwards the request to the
// leader instead, because the sender may not know the leader's address. A request
// that was already forwarded has a recipient and isn't forwarded again.
func (r *Replica) handleJoin(now time.Time, m *wire.ConsensusMessage) {
	if m.From == 0 || m.FromAddress == "" {
		return
	}
	if r.role != Leader {
		if m.To == 0 && r.leader != 0 {
			r.messages = append(r.messages, &wire.ConsensusMessage{
				Type: wire.ConsensusMessage_TYPE_JOIN, To: r.leader, From: m.From, FromAddress: m.FromAddress,
			})
		}
		return
	}
	// On an error the joining replica repeats its request.
	_ = r.AddLearner(now, &wire.Replica{Id: m.From, Address: m.FromAddress})
}

// TransferLeadership starts to transfer leadership to the live voter with the highest
// match index. It returns false if this replica isn't the leader or no other voter
// is live.
func (r *Replica) TransferLeadership(now time.Time) bool {
	if r.role != Leader {
		return false
	}
	var target uint64
	for _, id := range r.set.voters() {
		p := r.leading.followers[id]
		if p == nil || p.mode != replicating || !r.isLive(now, id) {
			continue
		}
		if target == 0 || p.match > r.leading.followers[target].match {
			target = id
		}
	}
	if target == 0 {
		return false
	}
	r.leading.transferTarget = target
	r.leading.transferDeadline = now.Add(r.options.ElectionTimeout)
	r.sendTimeoutNow(target, r.leading.followers[target])
	return true
}

// sendTimeoutNow sends the replica id the request to start an election at once, if it
// is the target of a leadership transfer and has all entries of the log.
func (r *Replica) sendTimeoutNow(id uint64, p *progress) {
	if r.leading.transferTarget == id && p.match == r.log.lastIndex() {
		r.send(&wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_TIMEOUT_NOW, To: id})
	}
}
