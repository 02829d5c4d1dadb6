// Package consensus replicates a log of commands among the control replicas.
//
// Replica implements the protocol as a deterministic state machine without I/O:
// its inputs are messages and the current time, its output is a Ready that lists
// what to write, send and apply. Node connects a Replica to a store, a replicated
// state machine and a transport.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014) with these extensions: pre-vote;
// a leader that steps down when it loses contact with a quorum; learners;
// membership changes of one voter at a time; and linearizable reads that are
// confirmed by a heartbeat round to a quorum.
package consensus

import (
	"math/rand/v2"
	"time"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Defaults of Options.
const (
	// DefaultElectionTimeout is the minimum time without a message from a leader
	// after which a follower starts a pre-vote. The actual timeout is random,
	// between one and two times this value.
	DefaultElectionTimeout = 750 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats of a leader.
	DefaultHeartbeatInterval = 150 * time.Millisecond
	// DefaultMaxInflight bounds the unanswered append messages to one follower.
	DefaultMaxInflight = 64
	// DefaultMaxMessageBytes bounds the size of the entries in one append message.
	DefaultMaxMessageBytes = 256 << 10
	// DefaultSnapshotChunkBytes is the size of one chunk of a snapshot.
	DefaultSnapshotChunkBytes = 256 << 10
	// DefaultMaxApplyBytes bounds the size of the committed entries in one Ready.
	DefaultMaxApplyBytes = 1 << 20
	// DefaultMaxVoters is the number of voters up to which learners are promoted.
	DefaultMaxVoters = 7
	// DefaultDeclaredLosses is the number of VMs whose loss the cluster must bear.
	DefaultDeclaredLosses = 1
	// MaxDeclaredLosses is the number of VMs whose loss DefaultMaxVoters bear.
	MaxDeclaredLosses = (DefaultMaxVoters - 1) / 2
)

// Options configures a Replica. Zero fields take the defaults.
type Options struct {
	// ID is the replica's identity. It must not be 0.
	ID uint64
	// Address is the replica's link address.
	Address string
	// Random is the source of election timeouts and of the clock offset. It must
	// be set.
	Random             *rand.Rand
	ElectionTimeout    time.Duration
	HeartbeatInterval  time.Duration
	MaxInflight        int
	MaxMessageBytes    int
	SnapshotChunkBytes int
	MaxApplyBytes      int
	MaxVoters          int
	// DeclaredLosses is the number of VMs whose simultaneous loss the cluster must
	// bear; see Replica.minVoters.
	DeclaredLosses int
	// FormingVoters is the number of voters that a new cluster needs before it takes
	// commands; 0 is 1. See Replica.Forming.
	FormingVoters int
}

func (o Options) withDefaults() Options {
	setDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.MaxInflight, DefaultMaxInflight)
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&o.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	setDefault(&o.MaxApplyBytes, DefaultMaxApplyBytes)
	setDefault(&o.MaxVoters, DefaultMaxVoters)
	setDefault(&o.DeclaredLosses, DefaultDeclaredLosses)
	setDefault(&o.FormingVoters, 1)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Role is the role of a replica in its current term.
type Role uint8

// The roles of Raft, with the pre-candidate of the pre-vote extension.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "follower"
	}
}

// Ready lists the work that a Replica requests from its caller. The caller
//
//  1. may send ImmediateMessages at once;
//  2. if MustSync is set, saves HardState, installs Snapshot if there is one and
//     appends Entries, all synced to disk;
//  3. sends Messages;
//  4. restores the state machine from Snapshot if it is set, then applies
//     Committed in order;
//  5. calls Advance.
type Ready struct {
	HardState storage.HardState
	// MustSync is set when HardState, Snapshot or Entries must be durable before
	// step 3.
	MustSync bool
	// Snapshot, if set, was received from the leader. It replaces the log and the
	// state of the state machine.
	Snapshot          *storage.Snapshot
	Entries           []*wire.LogEntry
	ImmediateMessages []*wire.ConsensusMessage
	Messages          []*wire.ConsensusMessage
	Committed         []*wire.LogEntry
	// Reads are results of RequestRead. A read that didn't fail may be served once
	// the entry at its Index has been applied.
	Reads []Read
}

// Read is the result of one call of RequestRead.
type Read struct {
	// Token is the value given to RequestRead.
	Token uint64
	// Index is the commit index that the read must observe.
	Index uint64
	// Failed is set if the replica lost leadership before a quorum confirmed the
	// read.
	Failed bool
}
