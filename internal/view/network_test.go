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
	// step is the interval at which the clock advances.
	step = 10 * time.Millisecond
	// tickInterval is the time between two calls of Follower.Tick.
	tickInterval = 50 * time.Millisecond
	// messageOverhead is the size of a small message in addition to its payload:
	// the yamux header and the TCP/IP headers of the packet and of its
	// acknowledgement.
	messageOverhead = 12 + 52 + 52
	// quorumContactAge is the age of the last confirmation of a control replica when it commits.
	quorumContactAge = 150 * time.Millisecond
)

// node is a process in the simulated network.
type node struct {
	address string
	role    Role
	running bool
	// hasQuorum is set if the node is a control replica in contact with a quorum.
	hasQuorum bool
	log       *Log
	follower  *Follower
	// served are the watches that the node serves.
	served []watch
	// started is the time of the latest start.
	started time.Time
	// firstViewAfter is the time from the latest start to the first view.
	firstViewAfter time.Duration
	// starts is the number of starts.
	starts uint64
	// clockOffset is the reading of the node's clock at its latest start.
	clockOffset uint64
	// messages and bytes are the traffic sent and received.
	messages int
	bytes    int
	// agesMessages and agesBytes are the updates with weights_ages among them, and the bytes of
	// that field.
	agesMessages, agesBytes int
	// callsReceived is the number of calls that other nodes opened at this node.
	callsReceived int
	// maxWatches is the maximum number of watches served at the same time.
	maxWatches int
	// snapshots is the number of snapshots sent.
	snapshots int
}

// watch is a watch that a node serves.
type watch struct {
	client *node
	call   uint64
	*WatchSession
}

// delivery is a message on its way to a node.
type delivery struct {
	to, from string
	handle   func(*node)
}

// network simulates the calls of many followers with a manual clock.
type network struct {
	t         *testing.T
	now       time.Time
	nodes     []*node
	byAddress map[string]*node
	// queue holds the messages to deliver in the next step.
	queue []delivery
	// cut reports whether messages between two nodes are lost without an error.
	cut func(a, b *node) bool
	// dropEvents contains the addresses of nodes whose updates arrive without
	// events.
	dropEvents map[string]bool
	// paused contains the addresses of nodes that stand still. Their messages wait in
	// held until resume.
	paused map[string]bool
	held   map[string][]delivery
	// commits holds the versions committed by commit and when, oldest first.
	commits []committed
	// named holds the weights versions committed by nameWeights and when, oldest first.
	named []committed
}

// committed is a version of the view and the time at which it was committed.
type committed struct {
	version uint64
	at      time.Time
}

func newNetwork(t *testing.T, controls, routers, agents int, controlView *wire.View) *network {
	n := &network{
		t: t, now: time.Unix(1_000_000, 0), byAddress: map[string]*node{}, dropEvents: map[string]bool{},
		paused: map[string]bool{}, held: map[string][]delivery{},
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
		n.start(p, controlView)
	}
	return n
}

func (n *network) add(role Role, i int) {
	names := [roleCount]string{"control", "router", "agent"}
	p := &node{address: fmt.Sprintf("%s-%d", names[role], i), role: role, hasQuorum: true}
	n.nodes = append(n.nodes, p)
	n.byAddress[p.address] = p
}

// start starts a node. Control replicas start with a view, other nodes without
// one.
func (n *network) start(p *node, controlView *wire.View) {
	p.running = true
	p.starts++
	p.started, p.firstViewAfter = n.now, 0
	p.clockOffset = 1 + p.starts*uint64(len(p.address))*1_000_003
	p.served = nil
	p.log = NewLog(DefaultLogLimits())
	if p.role == RoleControl {
		if err := p.log.Reset(controlView); err != nil {
			n.t.Fatal(err)
		}
		p.log.SetNewestAt(func() time.Time { return n.now.Add(-quorumContactAge) })
		return
	}
	seed := uint64(len(n.byAddress))*p.starts + uint64(slices.Index(n.nodes, p))*7919
	p.follower = NewFollower(FollowerConfig{Role: p.role, Seed: seed, Log: p.log}, n.now)
	p.follower.SetSources(n.sourcesFor(p))
	n.perform(p, p.follower.Tick(n.now))
}

// sourcesFor returns all control replicas and routers, and a few agents.
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

// stop stops a node. Its calls fail at their other ends.
func (n *network) stop(p *node) {
	p.running = false
	for _, w := range p.served {
		n.fail(p, w.client, w.call, fault.New(fault.LinkDown, fault.NotRun, "closed"))
	}
	for _, other := range n.nodes {
		other.served = slices.DeleteFunc(other.served, func(w watch) bool { return w.client == p })
	}
}

// run advances the clock by d and delivers the messages.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		due := n.queue
		n.queue = nil
		for _, m := range due {
			to := n.byAddress[m.to]
			switch {
			case n.paused[m.to]:
				n.held[m.to] = append(n.held[m.to], m)
			case to.running && !n.cut(to, n.byAddress[m.from]):
				m.handle(to)
				n.checkConfirmation(to)
				n.checkAges(to)
			}
		}
		tick := n.now.UnixNano()%int64(tickInterval) == 0
		for _, p := range n.nodes {
			if p.running && !n.paused[p.address] {
				n.runNode(p, tick)
				n.checkConfirmation(p)
			}
		}
	}
}

// pause makes a node stand still, as a stopped process does: what is sent to it waits.
func (n *network) pause(address string) { n.paused[address] = true }

// resume ends a pause. The node handles what has waited before anything else.
func (n *network) resume(address string) {
	delete(n.paused, address)
	n.queue = append(n.held[address], n.queue...)
	delete(n.held, address)
}

// checkConfirmation checks that a node whose view is confirmed has all versions that were
// committed before the confirmation.
func (n *network) checkConfirmation(p *node) {
	n.t.Helper()
	fresh := n.freshness(p)
	if p.role == RoleControl || !fresh.Confirmed {
		return
	}
	for _, c := range slices.Backward(n.commits) {
		age := n.now.Sub(c.at)
		if age <= fresh.Age {
			continue
		}
		if p.log.Version() < c.version {
			n.t.Fatalf("%s takes version %d for confirmed %v ago; version %d was committed %v ago", p.address, p.log.Version(), fresh.Age, c.version, age)
		}
		return
	}
}

// checkAges checks that a node takes no weights for newer than they are.
func (n *network) checkAges(p *node) {
	n.t.Helper()
	for i, c := range n.named {
		since, outdated := p.log.Targets().OutdatedSince("m", c.version-1)
		if outdated && since.After(c.at) {
			n.t.Fatalf("%s takes weights older than %d for outdated since %v, %v too late", p.address, c.version, since, since.Sub(c.at))
		}
		if !outdated && p.log.Version() > 0 && p.log.Snapshot().WeightsTargets()[0].GetVersion() >= c.version {
			n.t.Fatalf("%s does not take weights older than the %d. of %d for outdated", p.address, i, len(n.named))
		}
	}
}

// nameWeights commits weights of the model m at all control replicas in contact with a quorum and
// returns the version of the view.
func (n *network) nameWeights() uint64 {
	n.named = append(n.named, committed{uint64(len(n.named)) + 2, n.now})
	return n.nameWeightsOf("m", n.named[len(n.named)-1].version)
}

// nameWeightsOf commits weights of any model.
func (n *network) nameWeightsOf(model string, weights uint64) uint64 {
	var version uint64
	for _, p := range n.nodes {
		if p.role != RoleControl || !p.running || !p.hasQuorum {
			continue
		}
		version = p.log.Version() + 1
		if err := p.log.Append(&wire.ViewEvent{Version: version, Body: &wire.ViewEvent_Weights{Weights: &wire.WeightsTarget{Model: model, Version: weights}}}); err != nil {
			n.t.Fatal(err)
		}
	}
	n.commits = append(n.commits, committed{version, n.now})
	return version
}

func (n *network) runNode(p *node, tick bool) {
	fresh := n.freshness(p)
	for _, w := range p.served {
		if update := w.Next(n.now, fresh); update != nil {
			n.send(p, w.client, w.call, update)
		}
	}
	if p.follower == nil {
		return
	}
	before := p.log.Version()
	if tick {
		n.perform(p, p.follower.Tick(n.now))
	}
	if p.log.Version() < before {
		n.t.Fatalf("version of %s decreased from %d to %d", p.address, before, p.log.Version())
	}
	if p.firstViewAfter == 0 && p.log.Version() > 0 {
		p.firstViewAfter = n.now.Sub(p.started)
	}
}

func (n *network) freshness(p *node) Freshness {
	fresh := Freshness{Confirmed: p.hasQuorum}
	if p.role != RoleControl {
		fresh = p.follower.Freshness(n.now)
	}
	fresh.ClockUs = p.clockOffset + uint64(n.now.Sub(p.started).Microseconds())
	return fresh
}

// perform carries out actions of p's follower.
func (n *network) perform(p *node, actions []Action) {
	for _, a := range actions {
		to := n.byAddress[a.Address]
		addTraffic(p, 40)
		addTraffic(to, 40)
		if !to.running && !n.cut(p, to) {
			n.fail(to, p, a.CallID, fault.New(fault.LinkDown, fault.NotRun, "refused"))
			continue
		}
		n.queue = append(n.queue, delivery{to: to.address, from: p.address, handle: func(to *node) {
			n.serve(to, p, a)
		}})
	}
}

// serve handles an action of p at the node that it addresses.
func (n *network) serve(to, p *node, a Action) {
	switch a.Kind {
	case StopCall:
		to.served = slices.DeleteFunc(to.served, func(w watch) bool { return w.client == p && w.call == a.CallID })
	case StartFetch:
		to.callsReceived++
		n.send(to, p, a.CallID, BuildUpdate(n.now, to.log, a.FromVersion, n.freshness(to), to.role == RoleControl))
	case StartWatch:
		to.callsReceived++
		limit := MaxWatchesOther
		if to.role == RoleControl {
			limit = MaxWatchesControl
		}
		if len(to.served) >= limit {
			n.fail(to, p, a.CallID, fault.New(fault.Overloaded, fault.NotRun, "full"))
			return
		}
		to.served = append(to.served, watch{p, a.CallID, NewWatchSession(to.log, a.FromVersion, to.role == RoleControl)})
		to.maxWatches = max(to.maxWatches, len(to.served))
	}
}

func (n *network) send(from, to *node, call uint64, update *wire.ViewUpdate) {
	size := proto.Size(&wire.Response{ViewVersion: update.GetVersion(), Body: &wire.Response_ViewUpdate{ViewUpdate: update}})
	addTraffic(from, size)
	addTraffic(to, size)
	if update.GetSnapshot() != nil {
		from.snapshots++
	}
	if ages := update.GetWeightsAges(); len(ages) > 0 {
		for _, p := range []*node{from, to} {
			p.agesMessages++
			p.agesBytes += proto.Size(&wire.ViewUpdate{WeightsAges: ages})
		}
	}
	if n.dropEvents[to.address] {
		update = &wire.ViewUpdate{FromVersion: update.GetFromVersion(), Version: update.GetVersion(), Snapshot: update.GetSnapshot(), Confirmed: update.GetConfirmed(), ClockUs: update.GetClockUs()}
	}
	n.queue = append(n.queue, delivery{to: to.address, from: from.address, handle: func(to *node) {
		before := to.log.Version()
		n.perform(to, to.follower.Update(n.now, call, update))
		if to.log.Version() < before {
			n.t.Fatalf("version of %s decreased from %d to %d", to.address, before, to.log.Version())
		}
	}})
}

// fail ends a call that the node to has opened at from.
func (n *network) fail(from, to *node, call uint64, err error) {
	n.queue = append(n.queue, delivery{to: to.address, from: from.address, handle: func(to *node) {
		if to.follower != nil {
			n.perform(to, to.follower.CallEnded(n.now, call, err))
		}
	}})
}

// addTraffic counts a message with payload bytes at a node.
func addTraffic(p *node, payload int) {
	p.messages++
	p.bytes += payload + messageOverhead
}

// commit appends one event at all control replicas in contact with a quorum and
// returns its version.
func (n *network) commit() uint64 {
	var version uint64
	for _, p := range n.nodes {
		if p.role != RoleControl || !p.running || !p.hasQuorum {
			continue
		}
		s := p.log.Snapshot()
		version = s.Version + 1
		if err := p.log.Append(configEvent(version, s.Config.Revision, fmt.Sprint("account-", version))); err != nil {
			n.t.Fatal(err)
		}
	}
	n.commits = append(n.commits, committed{version, n.now})
	return version
}

// laggingNode returns the first running node that has not reached a version, or
// nil. It ignores control replicas without a quorum.
func (n *network) laggingNode(version uint64) *node {
	for _, p := range n.nodes {
		if p.running && p.log.Version() < version && (p.role != RoleControl || p.hasQuorum) {
			return p
		}
	}
	return nil
}

// runUntilVersion runs until all nodes have a version and returns the time it
// took.
func (n *network) runUntilVersion(version uint64, limit time.Duration) time.Duration {
	n.t.Helper()
	start := n.now
	for n.laggingNode(version) != nil {
		if n.now.Sub(start) >= limit {
			n.t.Fatalf("%s has version %d, not %d, after %v", n.laggingNode(version).address, n.laggingNode(version).log.Version(), version, limit)
		}
		n.run(step)
	}
	return n.now.Sub(start)
}

func (n *network) resetCounts() {
	for _, p := range n.nodes {
		p.messages, p.bytes, p.callsReceived, p.maxWatches, p.snapshots = 0, 0, 0, len(p.served), 0
		p.agesMessages, p.agesBytes = 0, 0
	}
}
