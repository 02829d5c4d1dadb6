package consensus

import (
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/steady"
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
	// Forming is true while the cluster takes no commands; see Replica.Forming.
	Forming bool
	// ConfirmedAt is the latest time at which the leader, which is this replica or
	// one that it received messages from, is known to have been in contact with a
	// quorum. It is zero while Forming is true.
	ConfirmedAt time.Time
	// DeclaredLosses is the number of VMs whose loss must be borne, and BearableLosses
	// the number of voters that may be lost now before there is no majority. The
	// latter is known to the leader only.
	DeclaredLosses, BearableLosses int
	// Replicas is the replica set in force.
	Replicas []*wire.Replica
}

// Voters returns the number of replicas with a vote.
func (s Status) Voters() int {
	voters := 0
	for _, r := range s.Replicas {
		if !r.Learner {
			voters++
		}
	}
	return voters
}

// ConfirmedAt returns the latest time at which the leader, which is this replica
// or one that it received messages from, is known to have been in contact with a
// quorum. All commands that were acknowledged before it are committed here. It is zero
// while the cluster is forming.
func (r *Replica) ConfirmedAt() time.Time {
	if r.Forming() {
		return time.Time{}
	}
	if r.role == Leader && r.barrierCommitted() {
		return r.leading.quorumContact
	}
	return r.latestContact()
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
		Forming:     r.Forming(),
		ConfirmedAt: r.ConfirmedAt(),
		Replicas:    r.set.current().GetReplicas(),
	}
	s.DeclaredLosses = r.options.DeclaredLosses
	if r.role == Leader {
		s.BearableLosses = max(0, r.bearableLosses(now))
	}
	if leader := r.set.find(r.leader); leader != nil {
		s.LeaderAddress = leader.Address
	}
	s.Confirmed = isConfirmed(s.ConfirmedAt, now, r.options.ElectionTimeout)
	return s
}

// logBearableLosses logs, at the leader, when fewer losses can be borne than declared,
// and when that ends.
func (n *Node) logBearableLosses(s *Status) {
	below := s.Role == Leader && s.BearableLosses < s.DeclaredLosses
	switch {
	case below && !n.belowDeclared:
		event.DeclaredLossesExceedBearable(n.self(), s.BearableLosses, s.DeclaredLosses)
	case !below && n.belowDeclared && s.Role == Leader:
		event.DeclaredLossesBearable(n.self(), s.BearableLosses, s.DeclaredLosses)
	}
	n.belowDeclared = below
}

func isConfirmed(at, now time.Time, lease time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < lease
}

// Status returns the node's status. If the node's goroutine is blocked or has
// stopped, the status is no longer confirmed after an election timeout.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Confirmed = isConfirmed(s.ConfirmedAt, steady.Now(), n.config.ElectionTimeout)
	return s
}

// publish stores the current status for Status, and reports changes of role, term
// and leader to the event log and to Config.OnRoleChange.
func (n *Node) publish() {
	s := n.replica.Status(steady.Now())
	before := n.status.Swap(&s)
	n.logBearableLosses(&s)
	if before != nil && before.Forming && !s.Forming && s.Role == Leader {
		event.ClusterFormed(n.self(), s.Voters())
	}
	if before != nil && before.Role == s.Role && before.Term == s.Term && before.Leader == s.Leader {
		return
	}
	event.RoleChanged(n.self(), s.Role.String(), s.Leader, s.Commit)
	if n.config.OnRoleChange != nil {
		n.config.OnRoleChange(s)
	}
}
