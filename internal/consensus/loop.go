package consensus

import (
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// run is the node's goroutine.
func (n *Node) run() {
	defer n.finish()
	ticker := time.NewTicker(n.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case b := <-n.batches:
			n.step(time.Now(), b)
		case p := <-n.proposals:
			n.queued = append(n.queued, p)
		case r := <-n.reads:
			n.barrier = append(n.barrier, r)
		case f := <-n.calls:
			f(time.Now())
		case s := <-n.saved:
			n.snapshotSaved(s)
		case <-ticker.C:
		}
		n.drain()
		n.turn(time.Now())
		if n.err != nil {
			return
		}
	}
}

// drain takes what already waits, so that it shares one sync. Messages go before
// timers: after a stall the leader's heartbeats are waiting in the queue.
func (n *Node) drain() {
	now := time.Now()
	for range queueLength {
		select {
		case b := <-n.batches:
			n.step(now, b)
		case p := <-n.proposals:
			n.queued = append(n.queued, p)
		case r := <-n.reads:
			n.barrier = append(n.barrier, r)
		default:
			return
		}
	}
}

// turn does all that is due.
func (n *Node) turn(now time.Time) {
	if now.Sub(n.lastTick) >= n.config.TickInterval {
		n.lastTick = now
		n.replica.Tick(now)
		n.join(now)
		n.markIdle()
	}
	n.propose()
	n.requestReads(now)
	for n.err == nil && n.replica.HasReady() {
		n.process(n.replica.Ready())
		n.requestReads(now)
	}
	if err := n.replica.Err(); err != nil {
		n.fail(err)
	}
	if n.replica.role != Leader {
		n.dropProposals(outcomeUnknown("leadership was lost"))
	}
	n.serveApplied()
	n.maybeSnapshot()
	n.publish()
}

func (n *Node) step(now time.Time, b *wire.ConsensusBatch) {
	if s := b.Sender; s != nil && s.Id != 0 {
		n.addresses[s.Id] = s.Address
	}
	for _, m := range b.Messages {
		if m.FromAddress != "" {
			n.addresses[m.From] = m.FromAddress
		}
		n.replica.Step(now, m)
	}
}

// propose gives the queued proposals to the replica.
func (n *Node) propose() {
	var live []*proposal
	var commands [][]byte
	for _, p := range n.queued {
		switch {
		case p.ctx.Err() != nil:
			continue
		case len(n.waiters)+len(live) >= maxOutstanding:
			p.reply <- proposalResult{err: fault.New(fault.Overloaded, fault.NotRun, "too many proposals wait")}
		default:
			live = append(live, p)
			commands = append(commands, p.command)
		}
	}
	n.queued = n.queued[:0]
	if len(live) == 0 {
		return
	}
	first, ok := n.replica.Propose(commands...)
	for i, p := range live {
		if !ok {
			p.reply <- proposalResult{err: n.notLeader()}
			continue
		}
		n.waiters[first+uint64(i)] = p
	}
}

// dropProposals answers all proposals that wait to be applied.
func (n *Node) dropProposals(err error) {
	for index, p := range n.waiters {
		delete(n.waiters, index)
		p.reply <- proposalResult{err: err}
	}
}

// process does what a Ready asks for, in its order.
func (n *Node) process(rd *Ready) {
	n.transmit(rd.ImmediateMessages)
	if err := n.persist(rd); err != nil {
		n.fail(err)
		return
	}
	n.transmit(rd.Messages)
	if rd.Snapshot != nil {
		n.restore(rd.Snapshot)
	}
	for _, e := range rd.Committed {
		n.apply(e)
	}
	n.replica.Advance(time.Now(), rd)
	n.confirmReads(rd.Reads)
}

func (n *Node) persist(rd *Ready) error {
	if !rd.MustSync {
		return nil
	}
	n.marked = false
	if rd.Snapshot != nil {
		if err := n.config.Store.Save(rd.HardState, nil); err != nil {
			return err
		}
		if err := n.config.Store.InstallSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	return n.config.Store.Save(rd.HardState, rd.Entries)
}

// markIdle notes in the store that the last batch was synced, once per batch.
func (n *Node) markIdle() {
	if n.marked {
		return
	}
	n.marked = true
	if err := n.config.Store.MarkSynced(); err != nil {
		n.fail(err)
	}
}

// transmit hands the messages to the transport, grouped by receiver in order.
func (n *Node) transmit(messages []*wire.ConsensusMessage) {
	var order []uint64
	groups := map[uint64][]*wire.ConsensusMessage{}
	for _, m := range messages {
		if groups[m.To] == nil {
			order = append(order, m.To)
		}
		groups[m.To] = append(groups[m.To], m)
	}
	for _, id := range order {
		to := n.replica.set.find(id)
		if to == nil {
			to = &wire.Replica{Id: id, Address: n.addresses[id]}
		}
		if to.Address != "" {
			n.config.Transport.Send(to, groups[id])
		}
	}
}

// join asks the peers to add this replica, or to note its new address.
func (n *Node) join(now time.Time) {
	if now.Sub(n.lastJoin) < joinInterval {
		return
	}
	n.lastJoin = now
	r := n.replica
	self := r.set.find(n.id)
	isNew := r.set.current() == nil
	hasMoved := self != nil && self.Address != n.config.Address
	if !isNew && !hasMoved {
		return
	}
	if hasMoved && r.role == Leader {
		// An error means that another change is pending; the next call tries again.
		_ = r.AddLearner(now, &wire.Replica{Id: n.id, Address: n.config.Address})
		return
	}
	m := &wire.ConsensusMessage{
		Type: wire.ConsensusMessage_TYPE_JOIN, From: n.id, FromAddress: n.config.Address,
	}
	for _, address := range n.config.Peers {
		if address != n.config.Address {
			n.config.Transport.Send(&wire.Replica{Address: address}, []*wire.ConsensusMessage{m})
		}
	}
}

// fail stops the node for good: its disk or its log can't be trusted.
func (n *Node) fail(err error) {
	if n.err != nil {
		return
	}
	n.err = err
	event.ReplicaFailed(n.self(), err)
}

func (n *Node) finish() {
	n.dropProposals(outcomeUnknown("replica stopped"))
	n.snapshots.wait()
	s := n.Status()
	s.Role = Follower
	s.Leader, s.LeaderAddress = 0, ""
	s.ConfirmedAt = time.Time{}
	n.status.Store(&s)
	close(n.done)
}
