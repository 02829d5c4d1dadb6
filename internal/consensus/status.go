package consensus

import (
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/wire"
)

// Status describes the state of a replica at one point in time.
type Status struct {
	ID      uint64
	Address string
	Role    Role
	Term    uint64
	// Leader is the identity of the current leader, or 0 if none is known.
	Leader uint64
	// LeaderAddress is the link address of Leader, or empty if it is not known.
	LeaderAddress string
	// Commit is the commit index.
	Commit uint64
	// Applied is the index of the last applied entry.
	Applied uint64
	// Confirmed is true if ConfirmedAt is less than an election timeout ago.
	Confirmed bool
	// ConfirmedAt is the latest time at which the leader, which is this replica or
	// one that it received messages from, is known to have been in contact with a
	// quorum.
	ConfirmedAt time.Time
	// Replicas is the replica set in force.
	Replicas []*wire.Replica
}

// ConfirmedAt returns the latest time at which the leader, which is this replica
// or one that it received messages from, is known to have been in contact with a
// quorum.
func (r *Replica) ConfirmedAt() time.Time {
	if r.role == Leader && r.barrierCommitted() {
		return r.leading.quorumContact
	}
	return r.confirmedAt
}

// Status returns the replica's status at now. The caller must not modify
// Status.Replicas.
func (r *Replica) Status(now time.Time) Status {
	s := Status{
		ID:          r.options.ID,
		Address:     r.options.Address,
		Role:        r.role,
		Term:        r.term,
		Leader:      r.leader,
		Commit:      r.log.commitIndex,
		Applied:     r.log.appliedIndex,
		ConfirmedAt: r.ConfirmedAt(),
		Replicas:    r.set.current().GetReplicas(),
	}
	if leader := r.set.find(r.leader); leader != nil {
		s.LeaderAddress = leader.Address
	}
	s.Confirmed = isConfirmed(s.ConfirmedAt, now, r.options.ElectionTimeout)
	return s
}

func isConfirmed(at, now time.Time, lease time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < lease
}

// Status returns the node's status. If the node's goroutine is blocked or has
// stopped, the status is no longer confirmed after an election timeout.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Confirmed = isConfirmed(s.ConfirmedAt, time.Now(), n.config.ElectionTimeout)
	return s
}

// publish stores the current status for Status, and reports changes of role, term
// and leader to the event log and to Config.OnRoleChange.
func (n *Node) publish() {
	s := n.replica.Status(time.Now())
	before := n.status.Swap(&s)
	if before != nil && before.Role == s.Role && before.Term == s.Term && before.Leader == s.Leader {
		return
	}
	event.RoleChanged(n.self(), s.Role.String(), s.Leader, s.Commit)
	if n.config.OnRoleChange != nil {
		n.config.OnRoleChange(s)
	}
}
