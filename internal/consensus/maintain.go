package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// Multiples of Options.ElectionTimeout.
const (
	// voterSilenceTimeouts is the silence after which a voter may lose its vote. As long as
	// a voter that is gone keeps its vote, fewer losses can be borne than declared; after
	// the loss of a leader that is the time of an election and of this silence.
	voterSilenceTimeouts = 1
	// leavingTimeouts is the time for which a replica counts as leaving after it has told so.
	// It is longer than the silence after which a replica is no longer live, so that one
	// that has ended is not promoted in between.
	leavingTimeouts = 2
	// goneTimeouts is the silence after which a learner is taken to be gone for good
	// and is removed.
	goneTimeouts = 20
	// rejoinTimeouts is the time without a leader after which a replica asks to join,
	// because it may have been removed without its knowledge.
	rejoinTimeouts = 4
)

// maxPromotionLag is the number of entries that a learner may lack to be promoted.
const maxPromotionLag = 64

// maintainReplicaSet makes at most one change that lets the replica set bear more
// losses: it takes the vote of a silent voter, gives a vote to a learner, or removes a
// learner that is gone. Each change adds or removes at most one voter, so any majorities
// of the sets before and after it have a voter in common.
func (r *Replica) maintainReplicaSet(now time.Time) {
	if r.checkChangeAllowed() != nil {
		return
	}
	if set := r.set.current(); set.GetForming() && r.isFormed(now, set) {
		_ = r.proposeReplicaSet(now, proto.CloneOf(set)) // on an error the next tick retries
		return
	}
	if !r.demoteSilentVoter(now) && !r.promoteLearner(now) {
		r.removeGoneLearner(now)
	}
}

// minVoters returns the number of voters below which no voter is demoted. With 2n+1
// voters, each committed entry is on n+1 disks and survives the loss of any n.
func (r *Replica) minVoters() int { return 2*r.options.DeclaredLosses + 1 }

// silence returns the attendedTime since the replica id was last heard of.
func (r *Replica) silence(now time.Time, id uint64) time.Duration {
	if p := r.leading.followers[id]; p != nil {
		return r.attendedTime(now) - p.heardAttended
	}
	return 0
}

// isLeaving reports whether the replica id has told lately that it is about to stop.
func (r *Replica) isLeaving(now time.Time, id uint64) bool {
	p := r.leading.followers[id]
	return p != nil && now.Before(p.leavingUntil)
}

// silentVoters returns the number of voters that are leaving or silent for long enough
// to lose their votes, and the one of them that is silent for the longest time.
func (r *Replica) silentVoters(now time.Time) (count int, longest uint64) {
	limit := voterSilenceTimeouts * r.options.ElectionTimeout
	for _, id := range r.set.voters() {
		if r.silence(now, id) < limit && !r.isLeaving(now, id) {
			continue
		}
		count++
		if longest == 0 || r.silence(now, id) > r.silence(now, longest) {
			longest = id
		}
	}
	return count, longest
}

// demoteSilentVoter makes a learner of the voter that is silent for the longest time,
// if the other voters are enough. It reports whether it proposed the change. A voter
// that returns is promoted again.
func (r *Replica) demoteSilentVoter(now time.Time) bool {
	silent, id := r.silentVoters(now)
	if silent == 0 || len(r.set.voters()) <= r.minVoters() {
		return false
	}
	return r.proposeMaintenance(now, id, "demoted", withLearner(r.set.current(), id, true))
}

// removeGoneLearner removes one learner that is gone.
func (r *Replica) removeGoneLearner(now time.Time) {
	for _, replica := range r.set.current().Replicas {
		if replica.Learner && r.silence(now, replica.Id) >= goneTimeouts*r.options.ElectionTimeout {
			r.proposeMaintenance(now, replica.Id, "removed", withoutReplica(r.set.current(), replica.Id))
			return
		}
	}
}

// proposeMaintenance proposes set, in which the replica id is changed, and reports
// whether that was possible. On an error the replica set stays as it is, and the next
// tick retries.
func (r *Replica) proposeMaintenance(now time.Time, id uint64, change string, set *wire.ReplicaSet) bool {
	notice := maintenanceChange{replica: r.set.find(id), change: change, silence: r.silence(now, id)}
	if r.proposeReplicaSet(now, set) != nil {
		return false
	}
	r.maintenance = append(r.maintenance, notice)
	return true
}

// maintenanceChange is a change of one replica that the leader proposed by itself.
type maintenanceChange struct {
	replica *wire.Replica
	change  string
	// silence is the time since the replica was last heard of.
	silence time.Duration
}

// bearableLosses returns the number of voters that may be lost, beyond those that are
// not live, before the cluster has no majority.
func (r *Replica) bearableLosses(now time.Time) int {
	voters := r.set.voters()
	live := 0
	for _, id := range voters {
		if r.isLive(now, id) {
			live++
		}
	}
	return live - (len(voters)/2 + 1)
}

// promoteLearner promotes one learner that has caught up to voter, if
// Options.MaxVoters isn't reached or a voter is silent. It reports whether it proposed
// the change.
func (r *Replica) promoteLearner(now time.Time) bool {
	silent, _ := r.silentVoters(now)
	if voters := len(r.set.voters()); voters > r.options.MaxVoters || voters == r.options.MaxVoters && silent == 0 {
		return false
	}
	for _, replica := range r.set.current().Replicas {
		p := r.leading.followers[replica.Id]
		if !replica.Learner || p == nil || p.mode != replicating || !r.isLive(now, replica.Id) || r.isLeaving(now, replica.Id) {
			continue
		}
		if r.log.lastIndex()-p.match > maxPromotionLag {
			continue
		}
		return r.proposeMaintenance(now, replica.Id, "promoted", withLearner(r.set.current(), replica.Id, false))
	}
	return false
}

// Leave tells the leader that this replica is about to stop, so that the others bear the
// declared losses without it at once and not only when its silence is noticed. It
// reports whether there still is a vote to give up; the caller repeats it until there
// isn't, since the message may be lost and the leader may not be known yet. From then on
// the replica repeats it with each heartbeat, so that it is not promoted again.
func (r *Replica) Leave() bool {
	r.leaving = true
	voters, replicas := len(r.set.voters()), len(r.set.current().GetReplicas())
	enough := voters > r.minVoters() || replicas > voters // a learner may take the vote
	if r.role == Leader || !r.set.isVoter(r.options.ID) || !enough {
		return false
	}
	r.tellLeaving()
	return true
}

// tellLeaving tells the leader, if it is known, that this replica is about to stop.
func (r *Replica) tellLeaving() {
	if r.leader != 0 {
		r.send(&wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_LEAVE, To: r.leader})
	}
}

// WantsToJoin reports whether this replica must ask to join: it belongs to no cluster,
// or it may have been removed from it while it was down or cut off.
func (r *Replica) WantsToJoin(now time.Time) bool {
	if r.role == Leader {
		return false
	}
	self := r.set.find(r.options.ID)
	heard := r.leaderHeardAt
	if heard.Before(r.startedAt) {
		heard = r.startedAt
	}
	return r.set.current() == nil || self != nil && self.Address != r.options.Address ||
		now.Sub(heard) >= rejoinTimeouts*r.options.ElectionTimeout
}
