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
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Machine is the replicated state. Its methods are called by one goroutine.
type Machine interface {
	// Apply takes the committed command at index; the result goes to its proposer.
	Apply(index uint64, command []byte) (result any)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Transport sends messages to other replicas. Send must not block and may drop
// messages; it must not change them. to.Id is 0 when only the address is known.
type Transport interface {
	Send(to *wire.Replica, messages []*wire.ConsensusMessage)
}

// Defaults of Config.
const (
	// DefaultTickInterval is how often a node looks at its timers.
	DefaultTickInterval = 25 * time.Millisecond
	// DefaultSnapshotEntries is after how many applied entries a snapshot is taken.
	DefaultSnapshotEntries = 20_000
	// DefaultSnapshotBytes is after how many bytes of commands a snapshot is taken.
	DefaultSnapshotBytes = 32 << 20
)

const (
	// queueLength bounds the calls and batches that wait for the node.
	queueLength = 1024
	// maxOutstanding bounds the proposals that wait to be applied.
	maxOutstanding = 16 * 1024
	// joinInterval is the time between two requests to be added to a cluster.
	joinInterval = 250 * time.Millisecond
)

// Config configures a Node. Store, Machine, Transport and Address must be set.
type Config struct {
	Store     *storage.Store
	Machine   Machine
	Transport Transport
	// Address is the link address at which other replicas reach this one.
	Address string
	// Peers are link addresses of control replicas. An empty replica asks them to
	// add it, and so does one whose address has changed.
	Peers []string
	// Seed seeds the election timeouts; 0 takes a random seed.
	Seed uint64
	// OnRoleChange, when set, is called from the node's goroutine whenever role, term or
	// leader change. It must not block.
	OnRoleChange func(Status)

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	TickInterval      time.Duration
	SnapshotEntries   uint64
	SnapshotBytes     uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

// spreadSnapshots makes a snapshot due up to half as much later, by the seed, so
// that the replicas, which apply alike, don't all stop for one at the same time.
func (c *Config) spreadSnapshots(random *rand.Rand) {
	c.SnapshotEntries += random.Uint64N(c.SnapshotEntries/2 + 1)
	c.SnapshotBytes += random.Uint64N(c.SnapshotBytes/2 + 1)
}

// Node runs a Replica over a store, a machine and a transport. Its methods may
// be called by several goroutines.
type Node struct {
	config  Config
	replica *Replica
	id      uint64

	proposals chan *proposal
	batches   chan *wire.ConsensusBatch
	calls     chan func(now time.Time)
	reads     chan *readCall
	saved     chan savedSnapshot
	status    atomic.Pointer[Status]

	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}
	err      error

	// The fields below belong to the node's goroutine.
	addresses map[uint64]string
	waiters   map[uint64]*proposal
	queued    []*proposal
	lastTick  time.Time
	lastJoin  time.Time
	marked    bool
	// barrier collects reads; round holds those whose round is out.
	barrier []*readCall
	round   []*readCall
	// appliedReads are confirmed reads that wait for their index to be applied.
	appliedReads []*readCall
	snapshots    snapshotter
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

// Start recovers the replica from the store and runs it until Stop.
func Start(config Config) (*Node, error) {
	c := config.withDefaults()
	state := c.Store.State()
	if state.Snapshot != nil {
		if err := c.Machine.Restore(state.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore snapshot at %d: %w", state.Snapshot.ID.Index, err)
		}
	}
	now := time.Now()
	random := rand.New(rand.NewPCG(c.Seed, c.Store.Identity()))
	c.spreadSnapshots(random)
	replica, err := NewReplica(now, Options{
		ID:                c.Store.Identity(),
		Address:           c.Address,
		Random:            random,
		ElectionTimeout:   c.ElectionTimeout,
		HeartbeatInterval: c.HeartbeatInterval,
	}, state)
	if err != nil {
		return nil, fmt.Errorf("recover replica: %w", err)
	}
	n := &Node{
		config:    c,
		replica:   replica,
		id:        c.Store.Identity(),
		proposals: make(chan *proposal, queueLength),
		batches:   make(chan *wire.ConsensusBatch, queueLength),
		calls:     make(chan func(time.Time)),
		reads:     make(chan *readCall, queueLength),
		saved:     make(chan savedSnapshot, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		addresses: map[uint64]string{},
		waiters:   map[uint64]*proposal{},
	}
	n.snapshots.index = replica.log.applied
	if state.Snapshot != nil {
		n.snapshots.size = uint64(len(state.Snapshot.Data))
	}
	c.Store.ReleaseState()
	n.publish()
	go n.run()
	return n, nil
}

// Propose replicates command and returns what Machine.Apply gave for it. Errors:
// fault.NotLeader with outcome NotRun and the leader's address, fault.Overloaded
// with outcome NotRun, or fault.OutcomeUnknown when the command may still commit.
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
		return n.afterDone(p)
	}
}

// afterDone returns the answer that p got before the node stopped, if any.
func (n *Node) afterDone(p *proposal) (any, error) {
	select {
	case r := <-p.reply:
		return r.value, r.err
	default:
		return nil, outcomeUnknown("replica stopped")
	}
}

// ReadBarrier returns once the machine holds all that was committed when it was
// called. Only the leader serves it; else it returns fault.NotLeader.
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

// Step takes a batch of another replica. It doesn't block; when the node can't
// keep up, the batch is dropped.
func (n *Node) Step(batch *wire.ConsensusBatch) {
	select {
	case n.batches <- batch:
	default:
	}
}

// Bootstrap makes this empty replica a cluster of one. It returns ErrInCluster
// when it already belongs to a cluster.
func (n *Node) Bootstrap(ctx context.Context) error {
	return n.call(ctx, n.replica.Bootstrap)
}

// AddLearner adds a replica; it becomes a voter by itself once it has caught up.
// Only the leader does it. It returns before the change is committed.
func (n *Node) AddLearner(ctx context.Context, replica *wire.Replica) error {
	return n.call(ctx, func(now time.Time) error { return n.replica.AddLearner(now, replica) })
}

// Remove removes a replica. Only the leader does it. It returns before the change
// is committed.
func (n *Node) Remove(ctx context.Context, id uint64) error {
	return n.call(ctx, func(now time.Time) error { return n.replica.RemoveReplica(now, id) })
}

// Transfer hands leadership over before a planned stop. It returns once this
// replica doesn't lead; at once if it doesn't or if no other voter answers.
func (n *Node) Transfer(ctx context.Context) error {
	for {
		handing := false
		err := n.call(ctx, func(now time.Time) error {
			handing = n.replica.role == Leader && (n.replica.leading.transferTo != 0 || n.replica.TransferLeadership(now))
			return nil
		})
		if err != nil || !handing {
			return err
		}
		select {
		case <-time.After(n.config.TickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// call runs f on the node's goroutine.
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

// ErrStopped tells that the node has stopped.
var ErrStopped = errors.New("replica has stopped")

// Stop ends the node and waits for it. It doesn't close the store.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stop) })
	<-n.done
}

// Done is closed when the node has stopped, by Stop or by a failure.
func (n *Node) Done() <-chan struct{} { return n.done }

func (n *Node) stopped() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Err returns the failure that stopped the node, or nil. It is valid after Done.
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

func outcomeUnknown(format string, args ...any) *fault.Error {
	return fault.New(fault.OutcomeUnknown, fault.Unknown, format, args...)
}

// self names this replica in events.
func (n *Node) self() event.Replica { return event.Replica{ID: n.id, Term: n.replica.term} }
