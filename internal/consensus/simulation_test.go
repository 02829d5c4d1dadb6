package consensus

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Timing of the simulation, in virtual time.
const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 25 * time.Millisecond
	simStep              = 5 * time.Millisecond
	simJoinInterval      = simElectionTimeout
	// simSnapshotEntries is the number of applied entries after which a replica takes
	// a snapshot.
	simSnapshotEntries = 20
)

// simulation runs replicas with an in-memory network and in-memory disks in virtual
// time, and checks the invariants of the protocol. All random choices come from one
// seed, so a run can be repeated.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	hosts    []*host
	inFlight []inFlightMessage
	faults   networkFaults
	// blocked holds the pairs of sender and recipient between which messages are
	// dropped.
	blocked map[[2]int]bool
	// declaredLosses is the number of losses that the replicas are told to bear.
	declaredLosses int
	// formingVoters is Options.FormingVoters of all replicas.
	formingVoters int
	// lastID is the last identity, token or command number used.
	lastID uint64

	// history holds the commands that at least one replica has applied, in order.
	history []appliedCommand
	// leaders holds the leader of each term.
	leaders map[uint64]uint64
	// newestTerm is the newest term that has a leader.
	newestTerm uint64
	// electedAt is when the leader of newestTerm was elected.
	electedAt time.Time
	// observedPosition is the longest prefix of history, in commands, that a
	// finished call has observed.
	observedPosition int
	writes           int
	// acknowledged are the acknowledged writes, oldest first.
	acknowledged []acknowledged
	reads        int
	violations   []string
	// sent is the number of messages sent. bytes is their encoded size, counted
	// only while countBytes is set.
	sent, bytes int
	countBytes  bool
	// scheduleHash is a hash over elections and finished calls. It shows whether
	// two runs were the same.
	scheduleHash uint64
}

// networkFaults configures how messages are delayed, dropped and duplicated.
type networkFaults struct {
	// delay is the maximum delay of a message.
	delay time.Duration
	// drop and duplicate are probabilities.
	drop, duplicate float64
}

type inFlightMessage struct {
	deliverAt time.Time
	// from and to are the numbers of the hosts.
	from, to int
	message  *wire.ConsensusMessage
}

// host is one VM with its replica, its disk and its state machine.
type host struct {
	// number is the index of the host in simulation.hosts.
	number int
	// id is the identity of the replica. It changes when the disk is lost.
	id      uint64
	replica *Replica
	disk    storage.State
	// previousSnapshot is the snapshot before disk.Snapshot. The log is kept from
	// there on.
	previousSnapshot *storage.Snapshot
	down             bool
	// diskFull is set while the disk takes no writes. A replica that must write then stands
	// still until it is started again.
	diskFull bool
	// gone is set on a host that never restarts.
	gone bool
	// busyUntil is when the host's freeze or its current sync ends.
	busyUntil time.Time
	inbox     []*wire.ConsensusMessage
	// ready is the Ready whose sync is in progress, or nil.
	ready           *Ready
	lastJoinRequest time.Time

	// appliedCommands is the number of commands applied.
	appliedCommands int
	// index is the index of the last applied entry.
	index uint64
	// writes holds the proposed writes by log index.
	writes map[uint64]call
	// reads holds the requested reads by token.
	reads map[uint64]*call
	// confirmedReads are confirmed reads whose index is not yet applied.
	confirmedReads []*call
	// syncDelay is the maximum duration of a sync.
	syncDelay time.Duration
}

func newSimulation(seed uint64, hosts int) *simulation {
	sim := newUnformedSimulation(seed, hosts, DefaultDeclaredLosses)
	_ = sim.hosts[0].replica.Bootstrap(sim.now)
	return sim
}

// newUnformedSimulation returns a simulation in which no host has bootstrapped the cluster.
func newUnformedSimulation(seed uint64, hosts, losses int) *simulation {
	sim := &simulation{
		declaredLosses: losses, formingVoters: min(hosts, 2*losses+1),
		random:  rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1_000_000, 0),
		blocked: map[[2]int]bool{},
		leaders: map[uint64]uint64{},
		faults:  networkFaults{delay: simStep},
	}
	for i := range hosts {
		h := &host{number: i}
		sim.hosts = append(sim.hosts, h)
		sim.loseDisk(h)
		sim.restart(h)
	}
	return sim
}

func (h *host) address() string { return fmt.Sprintf("h%d", h.number) }

// chance returns true with probability x.
func (sim *simulation) chance(x float64) bool { return sim.random.Float64() < x }

func (sim *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d) + 1))
}

// loseDisk empties the host's disk and gives it a new identity.
func (sim *simulation) loseDisk(h *host) {
	sim.lastID++
	h.id = sim.lastID
	h.disk = storage.State{Identity: h.id}
	h.previousSnapshot = nil
}

// crash stops the host. Only the state on its disk is kept.
func (sim *simulation) crash(h *host) {
	h.down = true
	h.replica = nil
	h.ready = nil
	h.inbox = nil
}

// restart starts the host with the state on its disk.
func (sim *simulation) restart(h *host) {
	replica, err := NewReplica(sim.now, Options{
		ID: h.id, Address: h.address(), Random: rand.New(rand.NewPCG(sim.random.Uint64(), 0)),
		ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval,
		MaxInflight: 4, MaxMessageBytes: 64, MaxApplyBytes: 64, SnapshotChunkBytes: 16, DeclaredLosses: sim.declaredLosses, FormingVoters: sim.formingVoters,
	}, &h.disk)
	if err != nil {
		panic(err)
	}
	h.replica = replica
	h.down = false
	h.busyUntil = sim.now
	h.appliedCommands, h.index = 0, 0
	if h.disk.Snapshot != nil {
		sim.restore(h, h.disk.Snapshot)
	}
	h.writes, h.reads, h.confirmedReads = map[uint64]call{}, map[uint64]*call{}, nil
}

// run advances virtual time by d in steps of simStep and calls f at each step.
func (sim *simulation) run(d time.Duration, f func()) {
	for end := sim.now.Add(d); sim.now.Before(end) && len(sim.violations) == 0; {
		sim.now = sim.now.Add(simStep)
		f()
		sim.deliver()
		for _, h := range sim.hosts {
			if !h.down && !sim.now.Before(h.busyUntil) {
				sim.runHost(h)
			}
		}
	}
}

func (sim *simulation) deliver() {
	var later []inFlightMessage
	for _, f := range sim.inFlight {
		if f.deliverAt.After(sim.now) {
			later = append(later, f)
			continue
		}
		if h := sim.hosts[f.to]; !h.down && !sim.blocked[[2]int{f.from, f.to}] {
			h.inbox = append(h.inbox, f.message)
		}
	}
	sim.inFlight = later
}

// runHost runs one iteration of the host's loop, which corresponds to that of Node.
func (sim *simulation) runHost(h *host) {
	if h.ready != nil {
		sim.finishReady(h)
	}
	for _, m := range h.inbox {
		h.replica.Step(sim.now, m)
	}
	h.inbox = nil
	h.replica.Tick(sim.now)
	sim.requestJoin(h)
	sim.checkLeadership(h)
	for h.replica.HasReady() {
		h.ready = h.replica.Ready()
		sim.send(h, h.ready.ImmediateMessages)
		if h.ready.MustSync && h.diskFull {
			sim.crash(h)
			return
		}
		if h.ready.MustSync && h.syncDelay > 0 {
			h.busyUntil = sim.now.Add(sim.randomUpTo(h.syncDelay))
			return
		}
		sim.finishReady(h)
	}
}

// finishReady finishes the sync of a Ready and does the work that follows it.
func (sim *simulation) finishReady(h *host) {
	rd := h.ready
	h.ready = nil
	sim.persist(h, rd)
	sim.send(h, rd.Messages)
	if rd.Snapshot != nil {
		sim.restore(h, rd.Snapshot)
	}
	for _, e := range rd.Committed {
		sim.apply(h, e)
	}
	h.replica.Advance(sim.now, rd)
	sim.finishReads(h, rd.Reads)
	if h.disk.Snapshot == nil && h.index > simSnapshotEntries || h.disk.Snapshot != nil && h.index > h.disk.Snapshot.ID.Index+simSnapshotEntries {
		sim.snapshot(h)
	}
	if h.replica.Err() != nil {
		sim.addViolation("replica %d: %v", h.id, h.replica.Err())
	}
	sim.checkLeadership(h)
}

func (sim *simulation) persist(h *host, rd *Ready) {
	if !rd.MustSync {
		return
	}
	d := &h.disk
	d.HardState = rd.HardState
	if s := rd.Snapshot; s != nil {
		d.Snapshot, d.Base, d.Entries, h.previousSnapshot = s, s.ID, nil, nil
	}
	if len(rd.Entries) > 0 {
		kept := rd.Entries[0].Index - d.Base.Index - 1
		d.Entries = append(d.Entries[:kept:kept], rd.Entries...)
	}
}

// snapshot saves the state of the state machine and compacts the log up to the
// previous snapshot.
func (sim *simulation) snapshot(h *host) {
	s := h.replica.MakeSnapshot()
	s.Data = make([]byte, 40) // three chunks, see SnapshotChunkBytes in restart
	binary.LittleEndian.PutUint64(s.Data[32:], uint64(h.appliedCommands))
	h.previousSnapshot, h.disk.Snapshot = h.disk.Snapshot, s
	var compactTo uint64
	if h.previousSnapshot != nil {
		compactTo = h.previousSnapshot.ID.Index
		h.disk.Entries = h.disk.Entries[compactTo-h.disk.Base.Index:]
		h.disk.Base = h.previousSnapshot.ID
	}
	h.replica.SnapshotSaved(s, compactTo)
}

func (sim *simulation) restore(h *host, s *storage.Snapshot) {
	h.appliedCommands = int(binary.LittleEndian.Uint64(s.Data[32:]))
	h.index = s.ID.Index
}

func (sim *simulation) requestJoin(h *host) {
	if !h.replica.WantsToJoin(sim.now) || sim.now.Sub(h.lastJoinRequest) < simJoinInterval {
		return
	}
	h.lastJoinRequest = sim.now
	m := &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_JOIN, From: h.id, FromAddress: h.address()}
	for to := range sim.hosts {
		sim.enqueue(h.number, to, m)
	}
}

func (sim *simulation) send(h *host, messages []*wire.ConsensusMessage) {
	for _, m := range messages {
		for _, to := range sim.hosts {
			if to.id == m.To {
				sim.enqueue(h.number, to.number, m)
			}
		}
	}
}

func (sim *simulation) enqueue(from, to int, m *wire.ConsensusMessage) {
	sim.sent++
	if sim.countBytes {
		sim.bytes += proto.Size(m)
	}
	if sim.chance(sim.faults.drop) {
		return
	}
	f := inFlightMessage{deliverAt: sim.now.Add(sim.randomUpTo(sim.faults.delay)), from: from, to: to, message: m}
	sim.inFlight = append(sim.inFlight, f)
	if sim.chance(sim.faults.duplicate) {
		f.deliverAt = sim.now.Add(10 * sim.randomUpTo(sim.faults.delay))
		sim.inFlight = append(sim.inFlight, f)
	}
}
