// Package consensus replicates a log of commands among the control replicas.
//
// Replica is the protocol as a deterministic state machine: it takes the time
// and a message, and returns what to write, send and apply as a Ready. Node
// binds it to a store, a machine and a transport.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a leader that
// steps down without quorum contact, learners, changes of one voter at a time,
// and reads confirmed by a quorum round.
package consensus

import (
	"math/rand/v2"
	"time"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Defaults of Options.
const (
	// DefaultElectionTimeout is how long a follower waits for a leader at least;
	// it waits up to twice as long.
	DefaultElectionTimeout = 750 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats.
	DefaultHeartbeatInterval = 150 * time.Millisecond
	// DefaultMaxInflight is how many append messages a follower may owe answers to.
	DefaultMaxInflight = 64
	// DefaultMaxMessageBytes bounds the entries of one append message.
	DefaultMaxMessageBytes = 256 << 10
	// DefaultSnapshotChunkBytes is the size of one chunk of a snapshot.
	DefaultSnapshotChunkBytes = 256 << 10
	// DefaultMaxApplyBytes bounds the entries of one Ready that are to be applied.
	DefaultMaxApplyBytes = 1 << 20
	// DefaultMaxVoters bounds automatic promotion.
	DefaultMaxVoters = 7
)

// Options configure a Replica. Zero fields take the defaults.
type Options struct {
	// ID is the replica's identity, not 0.
	ID uint64
	// Address is the replica's link address.
	Address string
	// Random gives the election timeouts. It must be set.
	Random             *rand.Rand
	ElectionTimeout    time.Duration
	HeartbeatInterval  time.Duration
	MaxInflight        int
	MaxMessageBytes    int
	SnapshotChunkBytes int
	MaxApplyBytes      int
	MaxVoters          int
}

func (o Options) withDefaults() Options {
	setDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.MaxInflight, DefaultMaxInflight)
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&o.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	setDefault(&o.MaxApplyBytes, DefaultMaxApplyBytes)
	setDefault(&o.MaxVoters, DefaultMaxVoters)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Role is what a replica does in its term.
type Role uint8

// The roles.
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

// Ready is what a Replica wants done. The caller
//
//  1. may send Early at once;
//  2. saves HardState and Entries, or installs Snapshot first, synced;
//  3. sends Messages;
//  4. restores the machine from Snapshot and applies Committed, in order;
//  5. calls Advance.
type Ready struct {
	HardState storage.HardState
	// MustSync is set when HardState or Entries must be durable before step 3.
	MustSync bool
	// Snapshot, when set, replaces the log and the machine's state.
	Snapshot          *storage.Snapshot
	Entries           []*wire.LogEntry
	ImmediateMessages []*wire.ConsensusMessage
	Messages          []*wire.ConsensusMessage
	Committed         []*wire.LogEntry
	// Reads are the reads that may be served once Index is applied.
	Reads []Read
}

// Read is the outcome of one RequestRead.
type Read struct {
	// Token is the value given to RequestRead.
	Token uint64
	Index uint64
	// Failed is set when the replica lost leadership before it could confirm.
	Failed bool
}
