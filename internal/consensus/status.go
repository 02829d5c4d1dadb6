package consensus

import (
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/wire"
)

// Status describes a replica.
type Status struct {
	ID      uint64
	Address string
	Role    Role
	Term    uint64
	// Leader and LeaderAddress are 0 and empty when no leader is known.
	Leader        uint64
	LeaderAddress string
	Commit        uint64
	Applied       uint64
	// Confirmed tells that this replica leads with quorum contact, or has heard
	// such a leader, within the election timeout.
	Confirmed bool
	// ConfirmedAt is the newest time at which that is known to have held.
	ConfirmedAt time.Time
	Replicas    []*wire.Replica
}

// ConfirmedAt returns the newest time at which a leader, this replica or one that
// it heard, is known to have had quorum contact.
func (r *Replica) ConfirmedAt() time.Time {
	if r.role == Leader && r.barrierCommitted() {
		return r.leading.quorumContact
	}
	return r.confirmedAt
}

// Status returns the replica's status at now. The replica set must not be changed.
func (r *Replica) Status(now time.Time) Status {
	s := Status{
		ID:          r.options.ID,
		Address:     r.options.Address,
		Role:        r.role,
		Term:        r.term,
		Leader:      r.leader,
		Commit:      r.log.committed,
		Applied:     r.log.applied,
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

// Status returns the node's status. A node whose goroutine is stuck or stopped is
// unconfirmed after the election timeout.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Confirmed = isConfirmed(s.ConfirmedAt, time.Now(), n.config.ElectionTimeout)
	return s
}

// publish makes the current status visible and reports changes of leadership.
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
