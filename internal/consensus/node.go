package consensus

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Machine is the replicated state machine. The node calls its methods from one
// goroutine at a time.
type Machine interface {
	// Apply applies the committed command at index. The result is returned to the
	// proposer.
	Apply(index uint64, command []byte) (result any)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Transport sends messages to other replicas. Send must not block or modify the
// messages; it may drop them. to.Id is 0 if only the address is known.
type Transport interface {
	Send(to *wire.Replica, messages []*wire.ConsensusMessage)
}

// Defaults of Config.
const (
	// DefaultTickInterval is the interval at which a node checks its timers.
	DefaultTickInterval = 25 * time.Millisecond
	// DefaultSnapshotEntries is the number of applied entries after which a
	// snapshot is taken.
	DefaultSnapshotEntries = 20_000
)

const (
	// queueLength bounds each of the queues of proposals, reads and message batches
	// for the node's goroutine.
	queueLength = 1024
	// maxPendingProposals bounds the proposals that are not yet applied.
	maxPendingProposals = 16 * 1024
	// maxSenderAddresses bounds the addresses of message senders outside the set.
	maxSenderAddresses = 64
	// joinInterval is the time between two requests to join a cluster or to update
	// this replica's address in it.
	joinInterval = 250 * time.Millisecond
	// firstJoinInterval is the same time while this replica knows no cluster. It is
	// shorter since a new cluster takes no commands until enough replicas have joined,
	// which happens one at a time.
	firstJoinInterval = 50 * time.Millisecond
)

// Config configures a Node. Store, Machine, Transport and Address must be set.
type Config struct {
	Store     *storage.Store
	Machine   Machine
	Transport Transport
	// Address is the link address at which other replicas reach this one.
	Address string
	// Peers are link addresses of control replicas. A replica that has no replica
	// set yet, or whose address has changed, sends its join requests to them.
	Peers []string
	// Seed seeds the election timeouts and the jitter of snapshots. If it is 0, a
	// random seed is used.
	Seed uint64
	// OnRoleChange, if set, is called from the node's goroutine whenever the role,
	// the term or the leader changes. It must not block.
	OnRoleChange func(Status)

	// FormingVoters is as in Options.
	FormingVoters int

	// The fields below, if 0, are set to the Default constants of the same name.

	// DeclaredLosses is the number of VMs whose simultaneous loss the cluster must
	// bear.
	DeclaredLosses    int
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	TickInterval      time.Duration
	SnapshotEntries   uint64
	// SnapshotBytes is the size of the applied entries after which a snapshot is taken. If it is 0,
	// the budget of Store gives it.
	SnapshotBytes uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, uint64(c.Store.Budget().SnapshotInterval))
	setDefault(&c.DeclaredLosses, DefaultDeclaredLosses)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

// jitterSnapshotThresholds raises the number of entries and lowers the number of bytes, which the disk
// bounds, by up to a half and a third. All replicas apply the same entries; without jitter they would all
// pause for a snapshot at the same time.
func (c *Config) jitterSnapshotThresholds(random *rand.Rand) {
	c.SnapshotEntries += random.Uint64N(c.SnapshotEntries/2 + 1)
	c.SnapshotBytes -= random.Uint64N(c.SnapshotBytes/3 + 1)
}

// Node runs a Replica with a store, a state machine and a transport. Its methods
// are safe for concurrent use.
type Node struct {
	config  Config
	replica *Replica
	id      uint64

	proposals      chan *proposal
	batches        chan *wire.ConsensusBatch
	calls          chan func(now time.Time)
	reads          chan *readCall
	savedSnapshots chan savedSnapshot
	status         atomic.Pointer[Status]

	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}
	err      error

	// The fields below are used by the node's goroutine only.

	// addresses holds the link addresses of message senders by identity, for
	// replies to replicas outside the replica set.
	addresses map[uint64]string
	// waiters holds the proposals that are in the log but not yet applied, by log
	// index.
	waiters map[uint64]*proposal
	// queuedProposals are proposals that are not yet in the log.
	queuedProposals []*proposal
	lastTick        time.Time
	// diskTime is the time spent in the store since lastTick.
	diskTime        time.Duration
	lastJoinRequest time.Time
	// syncMarked is set once Store.MarkSynced has been called for the last synced
	// batch.
	syncMarked bool
	// queuedReads are reads that wait for the next heartbeat round.
	queuedReads []*readCall
	// unconfirmedReads are the reads of the current heartbeat round.
	unconfirmedReads []*readCall
	// confirmedReads are confirmed reads whose index is not yet applied.
	confirmedReads []*readCall
	snapshots      snapshotter
	// unsavedBytes is the size of received entries that are not yet in the store.
	unsavedBytes int64
	// loggedElection is the election outcome that was logged last, or nil.
	loggedElection *electionOutcome
	// belowDeclared is set while this replica leads and fewer losses can be borne
	// than declared.
	belowDeclared bool
	// loggedBelowDeclared is the index of the replica set for which logCommittedBelowDeclared has
	// logged last.
	loggedBelowDeclared uint64
}

type proposal struct {
	ctx     context.Context
	command []byte
	reply   chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

type readCall struct {
	ctx   context.Context
	index uint64
	reply chan error
}

// Start recovers the replica from the store and runs it until Stop is called or it
// fails.
func Start(config Config) (*Node, error) {
	c := config.withDefaults()
	state := c.Store.State()
	if state.Snapshot != nil {
		if err := c.Machine.Restore(state.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore snapshot at %d: %w", state.Snapshot.ID.Index, err)
		}
	}
	now := steady.Now()
	random := rand.New(rand.NewPCG(c.Seed, c.Store.Identity()))
	c.jitterSnapshotThresholds(random)
	replica, err := NewReplica(now, Options{
		ID:                c.Store.Identity(),
		Address:           c.Address,
		Random:            random,
		ElectionTimeout:   c.ElectionTimeout,
		HeartbeatInterval: c.HeartbeatInterval,
		DeclaredLosses:    c.DeclaredLosses,
		FormingVoters:     c.FormingVoters,
	}, state)
	if err != nil {
		return nil, fmt.Errorf("recover replica: %w", err)
	}
	n := &Node{
		config:         c,
		replica:        replica,
		id:             c.Store.Identity(),
		proposals:      make(chan *proposal, queueLength),
		batches:        make(chan *wire.ConsensusBatch, queueLength),
		calls:          make(chan func(time.Time)),
		reads:          make(chan *readCall, queueLength),
		savedSnapshots: make(chan savedSnapshot, 1),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
		addresses:      map[uint64]string{},
		waiters:        map[uint64]*proposal{},
	}
	n.snapshots.appliedIndex = replica.log.appliedIndex
	if state.Snapshot != nil {
		n.snapshots.size = uint64(len(state.Snapshot.Data))
	}
	c.Store.ReleaseState()
	n.publish()
	go n.run()
	return n, nil
}

// Propose replicates command and returns the result of Machine.Apply for it. It
// fails with fault.NotLeader, outcome NotRun and the leader's address; with
// fault.Unavailable and outcome NotRun while the cluster is forming; with
// fault.Overloaded and outcome NotRun; or with fault.OutcomeUnknown if the command
// may still be committed.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	p := &proposal{ctx: ctx, command: command, reply: make(chan proposalResult, 1)}
	if n.stopped() {
		return nil, n.notLeader()
	}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, fault.New(fault.Overloaded, fault.NotRun, "proposal not taken: %w", ctx.Err())
	case <-n.done:
		return nil, n.notLeader()
	}
	select {
	case r := <-p.reply:
		return r.value, r.err
	case <-ctx.Done():
		return nil, outcomeUnknown("no commit in time: %w", ctx.Err())
	case <-n.done:
		return n.resultAfterStop(p)
	}
}

// resultAfterStop returns the result that p received before the node stopped, or
// an OutcomeUnknown error if there is none.
func (n *Node) resultAfterStop(p *proposal) (any, error) {
	select {
	case r := <-p.reply:
		return r.value, r.err
	default:
		return nil, outcomeUnknown("replica stopped")
	}
}

// ReadBarrier returns once this replica has applied all entries that were committed
// in the cluster when it was called. It fails with fault.NotLeader if this replica
// isn't the leader or loses leadership, and with fault.Unavailable if ctx ends first or
// the cluster is forming.
func (n *Node) ReadBarrier(ctx context.Context) error {
	c := &readCall{ctx: ctx, reply: make(chan error, 1)}
	select {
	case n.reads <- c:
	case <-ctx.Done():
		return fault.New(fault.Unavailable, fault.NotRun, "read not taken: %w", ctx.Err())
	case <-n.done:
		return n.notLeader()
	}
	select {
	case err := <-c.reply:
		return err
	case <-ctx.Done():
		return fault.New(fault.Unavailable, fault.NotRun, "read not confirmed in time: %w", ctx.Err())
	case <-n.done:
		return n.notLeader()
	}
}

// Step queues a batch of messages from another replica, which must not be used
// afterwards. It doesn't block; if the queue is full, the batch is dropped.
func (n *Node) Step(batch *wire.ConsensusBatch) {
	select {
	case n.batches <- batch:
	default:
	}
}

// Bootstrap makes this empty replica the only voter of a new cluster. It returns
// ErrInCluster if the replica already belongs to one.
func (n *Node) Bootstrap(ctx context.Context) error {
	return n.call(ctx, n.replica.Bootstrap)
}

// Found makes this empty replica one of the voters of a new cluster; see Replica.Found.
func (n *Node) Found(ctx context.Context, voters []*wire.Replica) error {
	return n.call(ctx, func(now time.Time) error { return n.replica.Found(now, voters) })
}

// AddLearner adds a replica as a learner. The leader promotes it to voter once it
// has caught up. AddLearner must be called on the leader and returns before the
// change is committed.
func (n *Node) AddLearner(ctx context.Context, replica *wire.Replica) error {
	return n.call(ctx, func(now time.Time) error { return n.replica.AddLearner(now, replica) })
}

// Remove removes a replica. It must be called on the leader and returns before the
// change is committed.
func (n *Node) Remove(ctx context.Context, id uint64) error {
	return n.call(ctx, func(now time.Time) error { return n.replica.RemoveReplica(now, id) })
}

// Transfer transfers leadership to another voter, for use before a planned stop.
// It returns once this replica is no longer the leader, or when no other voter is
// reachable.
func (n *Node) Transfer(ctx context.Context) error {
	for {
		transferring := false
		err := n.call(ctx, func(now time.Time) error {
			transferring = n.replica.role == Leader && (n.replica.leading.transferTarget != 0 || n.replica.TransferLeadership(now))
			return nil
		})
		if err != nil || !transferring {
			return err
		}
		select {
		case <-time.After(n.config.TickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Leave gives up the vote of this replica, for use before a planned stop and after
// Transfer. It returns once this replica has no vote, or at once if it leads or the
// others are too few.
func (n *Node) Leave(ctx context.Context) error {
	for {
		told := false
		err := n.call(ctx, func(time.Time) error { told = n.replica.Leave(); return nil })
		if err != nil || !told {
			return err
		}
		select {
		case <-time.After(n.config.TickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// call runs f on the node's goroutine and returns its error.
func (n *Node) call(ctx context.Context, f func(now time.Time) error) error {
	result := make(chan error, 1)
	select {
	case n.calls <- func(now time.Time) { result <- f(now) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return ErrStopped
	}
	err := <-result
	if errors.Is(err, ErrNotLeader) {
		return n.notLeader()
	}
	return err
}

// ErrStopped is returned when the node has stopped.
var ErrStopped = errors.New("replica has stopped")

// Stop stops the node and waits until its goroutine has ended. It doesn't close
// the store.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stop) })
	<-n.done
}

// Done returns a channel that is closed when the node has stopped, by Stop or
// after a failure.
func (n *Node) Done() <-chan struct{} { return n.done }

func (n *Node) stopped() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Err returns the error that stopped the node, or nil. It returns nil until Done is
// closed.
func (n *Node) Err() error {
	if !n.stopped() {
		return nil
	}
	return n.err
}

func (n *Node) notLeader() *fault.Error {
	err := fault.New(fault.NotLeader, fault.NotRun, "replica %x does not lead", n.id)
	if s := n.Status(); s.Leader != n.id {
		err.Leader = s.LeaderAddress
	}
	return err
}

// refusal returns why the replica takes no command and no read: it doesn't lead, or the
// cluster is forming. It must be called on the node's goroutine.
func (n *Node) refusal() *fault.Error {
	if n.replica.role == Leader && n.replica.Forming() {
		return fault.New(fault.Unavailable, fault.NotRun, "the cluster is forming: it has %d of %d voters",
			len(n.replica.set.voters()), n.replica.options.FormingVoters)
	}
	return n.notLeader()
}

func outcomeUnknown(format string, args ...any) *fault.Error {
	return fault.New(fault.OutcomeUnknown, fault.Unknown, format, args...)
}

// self identifies this replica in events.
func (n *Node) self() event.Replica { return event.Replica{ID: n.id, Term: n.replica.term} }
