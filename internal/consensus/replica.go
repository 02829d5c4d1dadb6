package consensus

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Replica runs the protocol for one replica as a deterministic state machine. It is
// not safe for concurrent use. All times passed to it must come from a monotonic
// clock.
type Replica struct {
	options   Options
	startedAt time.Time
	// clockOffset is the reading of localClock at startedAt. It is random, so that
	// a reading from before a restart, echoed after it, isn't taken for a current
	// one.
	clockOffset uint64

	role Role
	// lastTick is when the timers were last run.
	lastTick time.Time
	term     uint64
	// vote is the candidate voted for in term, or 0.
	vote uint64
	// leader is the leader of term, or 0 if it is not known.
	leader uint64
	log    entryLog
	// set holds the replica sets in the log. The newest one is in force.
	set replicaSets
	// snapshot is the newest snapshot. It is sent to followers that need entries
	// already compacted away.
	snapshot *storage.Snapshot
	// fatalErr is set when the replica can't continue; see Err.
	fatalErr error

	// The fields up to incoming are used by followers and candidates.

	// electionDeadline is when the replica starts a pre-vote unless it receives a
	// message from the leader before.
	electionDeadline time.Time
	// leaderHeardAt is when the last message from the leader arrived.
	leaderHeardAt time.Time
	// confirmedAt is the latest time at which another replica, as leader, is known
	// to have been in contact with a quorum, and before which nothing was acknowledged
	// that is not committed here. contacts are later ones, oldest first: at most two.
	confirmedAt time.Time
	contacts    []contact
	// votes holds the replies to this candidate's vote requests; true is granted.
	votes map[uint64]bool
	// lostElection is the outcome of the newest election or pre-vote of this replica
	// that ended without a majority, or nil.
	lostElection *electionOutcome
	// quorumLoss is why this replica last stepped down as leader since Node last logged it,
	// or nil.
	quorumLoss *quorumLoss
	// leaving is set once this replica is about to stop; see Leave.
	leaving bool
	// incoming is the snapshot that is being received, or nil.
	incoming *incomingSnapshot

	// leading is the zero value unless role is Leader.
	leading leaderState

	// The fields below collect the output for the next Ready.
	messages          []*wire.ConsensusMessage
	installedSnapshot *storage.Snapshot
	reads             []Read
	// maintenance are the changes of the replica set that this replica proposed by
	// itself since Node last logged them.
	maintenance []maintenanceChange

	// savedHardState is the hard state that the caller has last saved.
	savedHardState storage.HardState
}

// clockOffsetShift reduces the clock offset to 48 random bits.
const clockOffsetShift = 16

// NewReplica returns a follower with the durable state that was recovered from
// disk.
func NewReplica(now time.Time, options Options, state *storage.State) (*Replica, error) {
	r := &Replica{
		options:   options.withDefaults(),
		startedAt: now,
		lastTick:  now,
		term:      state.HardState.Term,
		vote:      state.HardState.Vote,
		snapshot:  state.Snapshot,
	}
	r.clockOffset = r.options.Random.Uint64() >> clockOffsetShift
	r.log = entryLog{base: state.Base, entries: state.Entries, stableIndex: state.LastIndex()}
	if err := r.recoverReplicaSets(); err != nil {
		return nil, err
	}
	if s := state.Snapshot; s != nil {
		r.log.appliedIndex = s.ID.Index
	}
	r.log.commitIndex = max(r.log.appliedIndex, min(state.HardState.Commit, r.log.lastIndex()))
	r.savedHardState = r.hardState()
	r.resetElectionTimeout(now)
	return r, nil
}

func (r *Replica) recoverReplicaSets() error {
	var after uint64
	if r.snapshot != nil {
		after = r.snapshot.ID.Index
		r.set.add(after, r.snapshot.Replicas)
	}
	for _, e := range r.log.slice(max(after, r.log.base.Index)+1, r.log.lastIndex()) {
		if err := r.addReplicaSet(e); err != nil {
			return err
		}
	}
	return nil
}

// addReplicaSet puts the replica set of a membership entry into force, which
// happens as soon as the entry is in the log. It ignores other entries.
func (r *Replica) addReplicaSet(e *wire.LogEntry) error {
	if e.Kind != wire.LogEntry_KIND_MEMBERS {
		return nil
	}
	set := &wire.ReplicaSet{}
	if err := proto.Unmarshal(e.Data, set); err != nil {
		return fmt.Errorf("replica set in entry %d: %w", e.Index, err)
	}
	r.set.add(e.Index, set)
	return nil
}

func (r *Replica) hardState() storage.HardState {
	return storage.HardState{Term: r.term, Vote: r.vote, Commit: r.log.commitIndex}
}

// ErrInCluster is returned by Bootstrap if the replica already has a log, a term or
// a replica set.
var ErrInCluster = errors.New("replica already belongs to a cluster")

// Bootstrap makes this empty replica the only voter of a new cluster.
func (r *Replica) Bootstrap(now time.Time) error {
	if r.log.lastIndex() > 0 || r.term > 0 || r.set.current() != nil {
		return ErrInCluster
	}
	founder := &wire.Replica{Id: r.options.ID, Address: r.options.Address}
	if err := r.startLog([]*wire.Replica{founder}); err != nil {
		return err
	}
	r.startElection(now, false)
	return nil
}

// Found makes this empty replica a voter of a new cluster with the given voters. All of
// them must call it with the same ones, so that all logs begin with the same entry. A
// majority of them then forms the cluster; which of them are lost or never start
// doesn't matter. A voter that lost its disk must not use its identity again.
func (r *Replica) Found(now time.Time, voters []*wire.Replica) error {
	if r.log.lastIndex() > 0 || r.set.current() != nil {
		return ErrInCluster
	}
	rank := slices.IndexFunc(voters, func(v *wire.Replica) bool { return v.Id == r.options.ID })
	if rank < 0 {
		return ErrUnknownReplica
	}
	if err := r.startLog(voters); err != nil {
		return err
	}
	// The voters don't wait for the leader of a cluster that has had none. They start one
	// after another, so that they don't split the votes.
	r.electionDeadline = now.Add(time.Duration(rank) * r.options.ElectionTimeout / foundingRankFraction)
	return nil
}

// startLog writes the first entry of the log, with the voters of a new cluster. A voter
// may have granted votes before, in higher terms.
func (r *Replica) startLog(voters []*wire.Replica) error {
	set := &wire.ReplicaSet{Replicas: voters, Forming: r.options.FormingVoters > 1}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	if err != nil {
		return fmt.Errorf("encode replica set: %w", err)
	}
	r.term = max(r.term, 1)
	r.log.append(&wire.LogEntry{Index: 1, Term: 1, Kind: wire.LogEntry_KIND_MEMBERS, Data: data})
	r.set.add(1, set)
	return nil
}

// founding reports whether the log has nothing but the first entry of Found, so that the
// cluster has not had a leader that this replica knows of.
func (r *Replica) founding() bool { return r.log.lastIndex() == 1 && r.log.commitIndex == 0 }

// Forming reports whether the cluster is new and has not yet had Options.FormingVoters
// voters in a committed replica set. Until then a command could be committed on fewer
// disks than survive the declared losses, so the leader takes no commands and no reads.
func (r *Replica) Forming() bool {
	committed := r.set.at(r.log.commitIndex)
	if committed == nil && len(r.set.history) > 0 {
		committed = r.set.history[0].set // the first set is not yet known to be committed
	}
	return committed.GetForming()
}

// Tick runs the timers that are due. It should be called every few tens of
// milliseconds.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	stalled := now.Sub(r.lastTick) - r.options.HeartbeatInterval
	r.lastTick = now
	if now.Before(r.electionDeadline) {
		return
	}
	if stalled > 0 {
		// Messages of the leader may have waited while this replica stood still.
		r.electionDeadline = r.electionDeadline.Add(stalled)
		if now.Before(r.electionDeadline) {
			return
		}
	}
	r.startPreVote(now)
}

// Step handles a message from another replica. Messages to other recipients are
// ignored.
func (r *Replica) Step(now time.Time, m *wire.ConsensusMessage) {
	if m.Type == wire.ConsensusMessage_TYPE_JOIN {
		r.handleJoin(now, m)
		return
	}
	if m.To != r.options.ID {
		return
	}
	if m.Term < r.term {
		r.replyToStaleTerm(m)
		return
	}
	if m.Term > r.term && !r.adoptTerm(now, m) {
		return
	}
	r.dispatch(now, m)
}

// replyToStaleTerm rejects a request of an older term, so that its sender learns
// of the current term.
func (r *Replica) replyToStaleTerm(m *wire.ConsensusMessage) {
	switch m.Type {
	case wire.ConsensusMessage_TYPE_PRE_VOTE:
		r.send(&wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY, To: m.From, Reject: true})
	case wire.ConsensusMessage_TYPE_VOTE:
		r.send(&wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_VOTE_REPLY, To: m.From, Reject: true})
	case wire.ConsensusMessage_TYPE_APPEND, wire.ConsensusMessage_TYPE_HEARTBEAT, wire.ConsensusMessage_TYPE_SNAPSHOT:
		r.send(&wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, To: m.From, Reject: true})
	}
}

// adoptTerm adopts the higher term of m and reports whether m is to be handled. A
// pre-vote request or a granted pre-vote is handled without adopting its term. A
// vote request is ignored while hasLiveLeader returns true, except in a leadership
// transfer.
func (r *Replica) adoptTerm(now time.Time, m *wire.ConsensusMessage) bool {
	switch m.Type {
	case wire.ConsensusMessage_TYPE_PRE_VOTE:
		return true
	case wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
		r.becomeFollower(now, m.Term, 0)
	case wire.ConsensusMessage_TYPE_VOTE:
		if r.hasLiveLeader(now) && !m.Transfer {
			return false
		}
		r.becomeFollower(now, m.Term, 0)
	case wire.ConsensusMessage_TYPE_APPEND, wire.ConsensusMessage_TYPE_HEARTBEAT, wire.ConsensusMessage_TYPE_SNAPSHOT:
		r.becomeFollower(now, m.Term, m.From)
	default:
		r.becomeFollower(now, m.Term, 0)
	}
	return true
}

func (r *Replica) dispatch(now time.Time, m *wire.ConsensusMessage) {
	switch m.Type {
	case wire.ConsensusMessage_TYPE_PRE_VOTE:
		r.handlePreVote(now, m)
	case wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY:
		r.handlePreVoteReply(now, m)
	case wire.ConsensusMessage_TYPE_VOTE:
		r.handleVote(now, m)
	case wire.ConsensusMessage_TYPE_VOTE_REPLY:
		r.handleVoteReply(now, m)
	case wire.ConsensusMessage_TYPE_TIMEOUT_NOW:
		r.handleTimeoutNow(now)
	case wire.ConsensusMessage_TYPE_APPEND, wire.ConsensusMessage_TYPE_HEARTBEAT, wire.ConsensusMessage_TYPE_SNAPSHOT:
		r.handleLeaderMessage(now, m)
	case wire.ConsensusMessage_TYPE_APPEND_REPLY, wire.ConsensusMessage_TYPE_HEARTBEAT_REPLY, wire.ConsensusMessage_TYPE_SNAPSHOT_REPLY:
		if r.role == Leader {
			r.handleReply(now, m)
		}
	case wire.ConsensusMessage_TYPE_LEAVE:
		if p := r.leading.followers[m.From]; p != nil {
			p.leavingUntil = now.Add(leavingTimeouts * r.options.ElectionTimeout)
		}
	}
}

func (r *Replica) send(m *wire.ConsensusMessage) {
	m.From = r.options.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	if m.Type != wire.ConsensusMessage_TYPE_HEARTBEAT && m.Type != wire.ConsensusMessage_TYPE_HEARTBEAT_REPLY {
		m.FromAddress = r.options.Address
	}
	r.messages = append(r.messages, m)
}

// Err returns the error after which the replica can't continue, or nil: a leader's
// log conflicts with entries committed here, or an entry can't be decoded.
func (r *Replica) Err() error { return r.fatalErr }
