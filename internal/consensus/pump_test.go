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

// Timing of the pump, in virtual time.
const (
	pumpElection  = 100 * time.Millisecond
	pumpHeartbeat = 25 * time.Millisecond
	pumpStep      = 5 * time.Millisecond
	pumpJoin      = pumpElection
	// pumpSnapshot is after how many applied entries a replica takes a snapshot.
	pumpSnapshot = 20
)

// pump runs replicas over an in-memory network and disks, in virtual time, and
// checks what must always hold. All of its choices come from one seed.
type pump struct {
	random  *rand.Rand
	now     time.Time
	hosts   []*host
	flights []flight
	faults  network
	// cut holds the directions in which no message passes.
	cut map[[2]int]bool
	// nextID gives identities and tokens.
	nextID uint64

	// history is every command that some replica applied, in order.
	history []applied
	leaders map[uint64]uint64
	// newestTerm is the newest term with a leader, elected at electedAt.
	newestTerm uint64
	electedAt  time.Time
	// done is the highest position in history that a finished call has seen.
	done       int
	writes     int
	reads      int
	violations []string
	// sent counts messages and bytes, while weighing, their size; trace sums up
	// the schedule.
	sent, bytes int
	weighing    bool
	trace       uint64
}

// network tells how messages are delayed, lost and repeated.
type network struct {
	delay           time.Duration
	drop, duplicate float64
}

type flight struct {
	at       time.Time
	from, to int
	message  *wire.ConsensusMessage
}

// host is one VM: its replica, what is on its disk, and its machine.
type host struct {
	number  int
	id      uint64
	replica *Replica
	disk    storage.State
	// older is the snapshot before disk.Snapshot; the log is kept from there.
	older *storage.Snapshot
	down  bool
	// busy is until when the host is frozen or waits for its disk.
	busy  time.Time
	inbox []*wire.ConsensusMessage
	ready *Ready
	join  time.Time

	count  int
	index  uint64
	writes map[uint64]call
	reads  map[uint64]*call
	// serving are confirmed reads that wait for their index.
	serving []*call
	// syncDelay is how long a sync takes at most.
	syncDelay time.Duration
}

func newPump(seed uint64, hosts int) *pump {
	p := &pump{
		random:  rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1_000_000, 0),
		cut:     map[[2]int]bool{},
		leaders: map[uint64]uint64{},
		faults:  network{delay: pumpStep},
	}
	for i := range hosts {
		h := &host{number: i}
		p.hosts = append(p.hosts, h)
		p.loseDisk(h)
		p.restart(h)
	}
	_ = p.hosts[0].replica.Bootstrap(p.now)
	return p
}

func (h *host) address() string { return fmt.Sprintf("h%d", h.number) }

// chance is true with probability x.
func (p *pump) chance(x float64) bool { return p.random.Float64() < x }

func (p *pump) upTo(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d) + 1))
}

// loseDisk makes the host's disk empty: it is a new replica from then on.
func (p *pump) loseDisk(h *host) {
	p.nextID++
	h.id = p.nextID
	h.disk = storage.State{Identity: h.id}
	h.older = nil
}

// crash stops the host; what isn't on its disk is gone.
func (p *pump) crash(h *host) {
	h.down = true
	h.replica = nil
	h.ready = nil
	h.inbox = nil
}

// restart starts the host from its disk.
func (p *pump) restart(h *host) {
	replica, err := NewReplica(p.now, Options{
		ID: h.id, Address: h.address(), Random: rand.New(rand.NewPCG(p.random.Uint64(), 0)),
		ElectionTimeout: pumpElection, HeartbeatInterval: pumpHeartbeat,
		MaxInflight: 4, MaxMessageBytes: 64, MaxApplyBytes: 64, SnapshotChunkBytes: 16,
	}, &h.disk)
	if err != nil {
		panic(err)
	}
	h.replica = replica
	h.down = false
	h.busy = p.now
	h.count, h.index = 0, 0
	if h.disk.Snapshot != nil {
		p.restore(h, h.disk.Snapshot)
	}
	h.writes, h.reads, h.serving = map[uint64]call{}, map[uint64]*call{}, nil
}

// run lets d of virtual time pass; each calls f first.
func (p *pump) run(d time.Duration, f func()) {
	for end := p.now.Add(d); p.now.Before(end) && len(p.violations) == 0; {
		p.now = p.now.Add(pumpStep)
		f()
		p.deliver()
		for _, h := range p.hosts {
			if !h.down && !p.now.Before(h.busy) {
				p.turn(h)
			}
		}
	}
}

func (p *pump) deliver() {
	var later []flight
	for _, f := range p.flights {
		if f.at.After(p.now) {
			later = append(later, f)
			continue
		}
		if h := p.hosts[f.to]; !h.down && !p.cut[[2]int{f.from, f.to}] {
			h.inbox = append(h.inbox, f.message)
		}
	}
	p.flights = later
}

// turn is one round of the host's loop, like that of Node.
func (p *pump) turn(h *host) {
	if h.ready != nil {
		p.finish(h)
	}
	for _, m := range h.inbox {
		h.replica.Step(p.now, m)
	}
	h.inbox = nil
	h.replica.Tick(p.now)
	p.askToJoin(h)
	p.observe(h)
	for h.replica.HasReady() {
		h.ready = h.replica.Ready()
		p.send(h, h.ready.ImmediateMessages)
		if h.ready.MustSync && h.syncDelay > 0 {
			h.busy = p.now.Add(p.upTo(h.syncDelay))
			return
		}
		p.finish(h)
	}
}

// finish does the part of a Ready that comes after the sync.
func (p *pump) finish(h *host) {
	rd := h.ready
	h.ready = nil
	p.persist(h, rd)
	p.send(h, rd.Messages)
	if rd.Snapshot != nil {
		p.restore(h, rd.Snapshot)
	}
	for _, e := range rd.Committed {
		p.apply(h, e)
	}
	h.replica.Advance(p.now, rd)
	p.finishReads(h, rd.Reads)
	if h.disk.Snapshot == nil && h.index > pumpSnapshot || h.disk.Snapshot != nil && h.index > h.disk.Snapshot.ID.Index+pumpSnapshot {
		p.snapshot(h)
	}
	if h.replica.Err() != nil {
		p.violate("replica %d: %v", h.id, h.replica.Err())
	}
	p.observe(h)
}

func (p *pump) persist(h *host, rd *Ready) {
	if !rd.MustSync {
		return
	}
	d := &h.disk
	d.HardState = rd.HardState
	if s := rd.Snapshot; s != nil {
		d.Snapshot, d.Base, d.Entries, h.older = s, s.ID, nil, nil
	}
	if len(rd.Entries) > 0 {
		kept := rd.Entries[0].Index - d.Base.Index - 1
		d.Entries = append(d.Entries[:kept:kept], rd.Entries...)
	}
}

// snapshot saves the machine's state and compacts up to the snapshot before.
func (p *pump) snapshot(h *host) {
	s := h.replica.MakeSnapshot()
	s.Data = make([]byte, 40)
	binary.LittleEndian.PutUint64(s.Data[32:], uint64(h.count))
	h.older, h.disk.Snapshot = h.disk.Snapshot, s
	var compactTo uint64
	if h.older != nil {
		compactTo = h.older.ID.Index
		h.disk.Entries = h.disk.Entries[compactTo-h.disk.Base.Index:]
		h.disk.Base = h.older.ID
	}
	h.replica.SnapshotSaved(s, compactTo)
}

func (p *pump) restore(h *host, s *storage.Snapshot) {
	h.count = int(binary.LittleEndian.Uint64(s.Data[32:]))
	h.index = s.ID.Index
}

func (p *pump) askToJoin(h *host) {
	if h.replica.set.current() != nil || p.now.Sub(h.join) < pumpJoin {
		return
	}
	h.join = p.now
	m := &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_JOIN, From: h.id, FromAddress: h.address()}
	for to := range p.hosts {
		p.launch(h.number, to, m)
	}
}

func (p *pump) send(h *host, messages []*wire.ConsensusMessage) {
	for _, m := range messages {
		for _, to := range p.hosts {
			if to.id == m.To {
				p.launch(h.number, to.number, m)
			}
		}
	}
}

func (p *pump) launch(from, to int, m *wire.ConsensusMessage) {
	p.sent++
	if p.weighing {
		p.bytes += proto.Size(m)
	}
	if p.chance(p.faults.drop) {
		return
	}
	f := flight{at: p.now.Add(p.upTo(p.faults.delay)), from: from, to: to, message: m}
	p.flights = append(p.flights, f)
	if p.chance(p.faults.duplicate) {
		f.at = p.now.Add(10 * p.upTo(p.faults.delay))
		p.flights = append(p.flights, f)
	}
}
