package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

const (
	step     = 10 * time.Millisecond
	tickTime = 50 * time.Millisecond
	// messageOverhead is what a small message costs besides its payload: the
	// yamux header and the TCP/IP headers of the packet and of its acknowledgement.
	messageOverhead = 12 + 52 + 52
)

// node is a process of the simulated network.
type node struct {
	address string
	role    Role
	up      bool
	// quorum is set at a control replica that has quorum contact.
	quorum   bool
	log      *Log
	follower *Follower
	serving  []watch
	// started, ready and fetches count from the newest start.
	started  time.Time
	firstAt  time.Duration
	starts   uint64
	messages int
	bytes    int
	// asked counts the calls that others opened at this node, and mostServed
	// the most watches it served at once.
	asked      int
	mostServed int
	snapshots  int
}

// watch is one watch that a node serves.
type watch struct {
	client *node
	call   uint64
	*WatchSession
}

type delivery struct {
	to, from string
	do       func(*node)
}

// network carries the calls of many followers under a manual clock.
type network struct {
	t     *testing.T
	now   time.Time
	nodes []*node
	byID  map[string]*node
	queue []delivery
	// cut tells whether messages between two nodes are lost silently.
	cut func(a, b *node) bool
	// loseEvents drops the events of updates to a node, as a fault would.
	loseEvents map[string]bool
}

func newNetwork(t *testing.T, controls, routers, agents int, first *wire.View) *network {
	n := &network{
		t: t, now: time.Unix(1_000_000, 0), byID: map[string]*node{}, loseEvents: map[string]bool{},
		cut: func(a, b *node) bool { return false },
	}
	for i := range controls {
		n.add(RoleControl, i)
	}
	for i := range routers {
		n.add(RoleRouter, i)
	}
	for i := range agents {
		n.add(RoleAgent, i)
	}
	for _, p := range n.nodes {
		n.start(p, first)
	}
	return n
}

func (n *network) add(role Role, i int) {
	names := [roleCount]string{"control", "router", "agent"}
	p := &node{address: fmt.Sprintf("%s-%d", names[role], i), role: role, quorum: true}
	n.nodes = append(n.nodes, p)
	n.byID[p.address] = p
}

// start starts a node, control replicas with a view and others without any.
func (n *network) start(p *node, first *wire.View) {
	p.up = true
	p.starts++
	p.started, p.firstAt = n.now, 0
	p.serving = nil
	p.log = NewLog(DefaultLogLimits())
	if p.role == RoleControl {
		if err := p.log.Reset(first); err != nil {
			n.t.Fatal(err)
		}
		return
	}
	seed := uint64(len(n.byID))*p.starts + uint64(slices.Index(n.nodes, p))*7919
	p.follower = NewFollower(FollowerConfig{Role: p.role, Seed: seed, Log: p.log}, n.now)
	p.follower.SetSources(n.sourcesFor(p))
	n.act(p, p.follower.Tick(n.now))
}

// sourcesFor lists all control replicas and routers, and a few agents.
func (n *network) sourcesFor(p *node) []Source {
	var sources []Source
	agents := 0
	for _, other := range n.nodes {
		if other.role == RoleAgent {
			agents++
		}
		if other != p && (other.role != RoleAgent || agents <= 8) {
			sources = append(sources, Source{Address: other.address, Role: other.role})
		}
	}
	return sources
}

// stop ends a node: its calls fail at the other end.
func (n *network) stop(p *node) {
	p.up = false
	for _, w := range p.serving {
		n.fail(p, w.client, w.call, fault.New(fault.LinkDown, fault.NotRun, "closed"))
	}
	for _, other := range n.nodes {
		other.serving = slices.DeleteFunc(other.serving, func(w watch) bool { return w.client == p })
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		due := n.queue
		n.queue = nil
		for _, m := range due {
			if to := n.byID[m.to]; to.up && !n.cut(to, n.byID[m.from]) {
				m.do(to)
			}
		}
		ticking := n.now.UnixNano()%int64(tickTime) == 0
		for _, p := range n.nodes {
			if p.up {
				n.runNode(p, ticking)
			}
		}
	}
}

func (n *network) runNode(p *node, ticking bool) {
	fresh := n.freshness(p)
	for _, w := range p.serving {
		if update := w.Next(n.now, fresh); update != nil {
			n.send(p, w.client, w.call, update)
		}
	}
	if p.follower == nil {
		return
	}
	before := p.log.Version()
	if ticking {
		n.act(p, p.follower.Tick(n.now))
	}
	if p.log.Version() < before {
		n.t.Fatalf("%s went back from version %d to %d", p.address, before, p.log.Version())
	}
	if p.firstAt == 0 && p.log.Version() > 0 {
		p.firstAt = n.now.Sub(p.started)
	}
}

func (n *network) freshness(p *node) Freshness {
	if p.role == RoleControl {
		return Freshness{Confirmed: p.quorum}
	}
	return p.follower.Freshness(n.now)
}

func (n *network) act(p *node, actions []Action) {
	for _, a := range actions {
		to := n.byID[a.Address]
		count(p, 40)
		count(to, 40)
		if !to.up && !n.cut(p, to) {
			n.fail(to, p, a.Call, fault.New(fault.LinkDown, fault.NotRun, "refused"))
			continue
		}
		n.queue = append(n.queue, delivery{to: to.address, from: p.address, do: func(to *node) {
			n.serve(to, p, a)
		}})
	}
}

// serve handles an action of p at the node it addresses.
func (n *network) serve(to, p *node, a Action) {
	switch a.Kind {
	case StopCall:
		to.serving = slices.DeleteFunc(to.serving, func(w watch) bool { return w.client == p && w.call == a.Call })
	case StartFetch:
		to.asked++
		n.send(to, p, a.Call, BuildUpdate(to.log, a.FromVersion, n.freshness(to), to.role == RoleControl))
	case StartWatch:
		to.asked++
		limit := MaxWatchesOther
		if to.role == RoleControl {
			limit = MaxWatchesControl
		}
		if len(to.serving) >= limit {
			n.fail(to, p, a.Call, fault.New(fault.Overloaded, fault.NotRun, "full"))
			return
		}
		to.serving = append(to.serving, watch{p, a.Call, NewWatchSession(to.log, a.FromVersion, to.role == RoleControl)})
		to.mostServed = max(to.mostServed, len(to.serving))
	}
}

func (n *network) send(from, to *node, call uint64, update *wire.ViewUpdate) {
	size := proto.Size(&wire.Response{ViewVersion: update.GetVersion(), Body: &wire.Response_ViewUpdate{ViewUpdate: update}})
	count(from, size)
	count(to, size)
	if update.GetSnapshot() != nil {
		from.snapshots++
	}
	if n.loseEvents[to.address] {
		update = &wire.ViewUpdate{FromVersion: update.GetFromVersion(), Version: update.GetVersion(), Snapshot: update.GetSnapshot(), Confirmed: update.GetConfirmed()}
	}
	n.queue = append(n.queue, delivery{to: to.address, from: from.address, do: func(to *node) {
		before := to.log.Version()
		n.act(to, to.follower.Update(n.now, call, update))
		if to.log.Version() < before {
			n.t.Fatalf("%s went back from version %d to %d", to.address, before, to.log.Version())
		}
	}})
}

func (n *network) fail(from, to *node, call uint64, err error) {
	n.queue = append(n.queue, delivery{to: to.address, from: from.address, do: func(to *node) {
		if to.follower != nil {
			n.act(to, to.follower.CallEnded(n.now, call, err))
		}
	}})
}

func count(p *node, payload int) {
	p.messages++
	p.bytes += payload + messageOverhead
}

// accept commits one event at all control replicas with quorum contact.
func (n *network) accept() uint64 {
	var version uint64
	for _, p := range n.nodes {
		if p.role != RoleControl || !p.up || !p.quorum {
			continue
		}
		s := p.log.Snapshot()
		version = s.Version + 1
		if err := p.log.Append(configEvent(version, s.Config.Revision, fmt.Sprint("account-", version))); err != nil {
			n.t.Fatal(err)
		}
	}
	return version
}

// missing returns the first running process, other than control replicas
// without quorum contact, that has not reached a version; nil if there is none.
func (n *network) missing(version uint64) *node {
	for _, p := range n.nodes {
		if p.up && p.log.Version() < version && (p.role != RoleControl || p.quorum) {
			return p
		}
	}
	return nil
}

// reach runs until all processes have the version and returns the time taken.
func (n *network) reach(version uint64, limit time.Duration) time.Duration {
	n.t.Helper()
	start := n.now
	for n.missing(version) != nil {
		if n.now.Sub(start) >= limit {
			n.t.Fatalf("%s has version %d, not %d, after %v", n.missing(version).address, n.missing(version).log.Version(), version, limit)
		}
		n.run(step)
	}
	return n.now.Sub(start)
}

func (n *network) resetCounts() {
	for _, p := range n.nodes {
		p.messages, p.bytes, p.asked, p.mostServed, p.snapshots = 0, 0, 0, len(p.serving), 0
	}
}
