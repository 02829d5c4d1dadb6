package consensus

import (
	"maps"
	"slices"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// run is the node's goroutine.
func (n *Node) run() {
	defer n.shutDown()
	ticker := time.NewTicker(n.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case b := <-n.batches:
			n.step(steady.Now(), b)
		case p := <-n.proposals:
			n.queuedProposals = append(n.queuedProposals, p)
		case r := <-n.reads:
			n.queuedReads = append(n.queuedReads, r)
		case f := <-n.calls:
			f(steady.Now())
		case s := <-n.savedSnapshots:
			n.snapshotSaved(s)
		case <-ticker.C:
		}
		n.drainQueues()
		n.runCycle(steady.Now())
		if n.err != nil {
			return
		}
	}
}

// drainQueues takes everything that is already queued, so that it shares one sync.
// Messages are handled before the timers: after a stall the leader's heartbeats are
// still in the queue, and without them the election timeout would fire.
func (n *Node) drainQueues() {
	now := steady.Now()
	for range queueLength {
		select {
		case b := <-n.batches:
			n.step(now, b)
		case p := <-n.proposals:
			n.queuedProposals = append(n.queuedProposals, p)
		case r := <-n.reads:
			n.queuedReads = append(n.queuedReads, r)
		default:
			return
		}
	}
}

// runCycle runs the timers that are due and then processes all pending work.
func (n *Node) runCycle(now time.Time) {
	if since := now.Sub(n.lastTick); since >= n.config.TickInterval {
		if !n.lastTick.IsZero() && since >= n.config.ElectionTimeout {
			event.ReplicaStoodStill(n.self(), since, n.diskTime)
		}
		n.lastTick, n.diskTime = now, 0
		n.replica.Tick(now)
		n.requestJoin(now)
		n.markSynced()
	}
	n.proposeQueued()
	n.requestReads(now)
	for n.err == nil && n.replica.HasReady() {
		n.processReady(n.replica.Ready())
		n.requestReads(now)
	}
	if err := n.replica.Err(); err != nil {
		n.fail(err)
	}
	if n.replica.role != Leader {
		n.failProposals(outcomeUnknown("leadership was lost"))
	}
	n.replyToAppliedReads()
	n.maybeSnapshot(now)
	n.logQuorumLoss()
	n.logLostElection()
	n.logMaintenance()
	n.publish()
}

// logLostElection logs the outcome of an election without a majority, once until it
// changes or a leader is known.
func (n *Node) logLostElection() {
	o := n.replica.lostElection
	n.replica.lostElection = nil
	switch {
	case n.replica.leader != 0:
		n.loggedElection = nil
	case o != nil && !o.equal(n.loggedElection):
		n.loggedElection = o
		event.NoMajority(n.self(), o.granted, o.refused, o.silent)
	}
}

func (n *Node) logQuorumLoss() {
	if loss := n.replica.quorumLoss; loss != nil {
		n.replica.quorumLoss = nil
		event.QuorumLost(event.Replica{ID: n.id, Term: loss.term}, loss.led, loss.contact, loss.stalled, loss.silent)
	}
}

// logMaintenance logs the changes of the replica set that this leader proposed by
// itself.
func (n *Node) logMaintenance() {
	for _, c := range n.replica.maintenance {
		event.ReplicaSetChanged(n.self(), c.change, c.replica.Id, c.replica.Address, c.silence)
	}
	n.replica.maintenance = nil
}

func (n *Node) step(now time.Time, b *wire.ConsensusBatch) {
	if s := b.Sender; s != nil && s.Id != 0 {
		n.setAddress(s.Id, s.Address)
	}
	for _, m := range b.Messages {
		if m.FromAddress != "" {
			n.setAddress(m.From, m.FromAddress)
		}
		n.limitEntries(m)
		n.replica.Step(now, m)
	}
}

// limitEntries removes the entries of a message that the log has no room for until the snapshot that is being written is
// saved. Such a message acknowledges nothing new, and the leader sends the entries again. Without a snapshot under way the
// log would not shrink, and the entries may be what the cluster needs to go on, so they are taken.
func (n *Node) limitEntries(m *wire.ConsensusMessage) {
	var size int64
	for _, e := range m.Entries {
		size += int64(len(e.Data)) + storage.EntryOverhead
	}
	if n.snapshots.writing && n.config.Store.LogBytes()+n.unsavedBytes+size > n.config.Store.Budget().LogBytes {
		m.Entries = nil
		return
	}
	n.unsavedBytes += size
}

// setAddress records the link address of a message sender. Beyond maxSenderAddresses
// it forgets those of replicas outside the set: identities change with each lost disk.
func (n *Node) setAddress(id uint64, address string) {
	n.addresses[id] = address
	if len(n.addresses) <= maxSenderAddresses {
		return
	}
	maps.DeleteFunc(n.addresses, func(other uint64, _ string) bool {
		return other != id && n.replica.set.find(other) == nil
	})
}

// proposeQueued passes the queued proposals to the replica. It drops those whose
// context has ended, and refuses those above maxPendingProposals and those that the
// log has no room for until the next snapshot is saved.
func (n *Node) proposeQueued() {
	if len(n.queuedProposals) == 0 {
		return
	}
	var accepted []*proposal
	var commands [][]byte
	logRoom := n.config.Store.Budget().LogBytes - n.config.Store.LogBytes()
	for _, p := range n.queuedProposals {
		size := int64(len(p.command)) + storage.EntryOverhead
		switch {
		case p.ctx.Err() != nil:
			continue
		case len(n.waiters)+len(accepted) >= maxPendingProposals:
			p.reply <- proposalResult{err: fault.New(fault.Overloaded, fault.NotRun, "too many proposals wait")}
		case size > logRoom:
			p.reply <- proposalResult{err: fault.New(fault.Overloaded, fault.NotRun, "the log has no room for a command of %d bytes", size)}
		default:
			logRoom -= size
			accepted = append(accepted, p)
			commands = append(commands, p.command)
		}
	}
	n.queuedProposals = n.queuedProposals[:0]
	if len(accepted) == 0 {
		return
	}
	first, ok := n.replica.Propose(commands...)
	for i, p := range accepted {
		if !ok {
			p.reply <- proposalResult{err: n.refusal()}
			continue
		}
		n.waiters[first+uint64(i)] = p
	}
}

// failProposals answers all proposals that are in the log but not yet applied with
// err.
func (n *Node) failProposals(err error) {
	for index, p := range n.waiters {
		delete(n.waiters, index)
		p.reply <- proposalResult{err: err}
	}
}

// processReady does the work of a Ready in the order that Ready documents.
func (n *Node) processReady(rd *Ready) {
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
	n.replica.Advance(steady.Now(), rd)
	n.confirmReads(rd.Reads)
}

func (n *Node) persist(rd *Ready) error {
	n.unsavedBytes = 0
	if !rd.MustSync {
		return nil
	}
	n.syncMarked = false
	began := steady.Now()
	defer func() { n.diskTime += steady.Now().Sub(began) }()
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

// markSynced records in the store, once after each batch, that the batch was
// synced.
func (n *Node) markSynced() {
	if n.syncMarked {
		return
	}
	n.syncMarked = true
	if err := n.config.Store.MarkSynced(); err != nil {
		n.fail(err)
	}
}

// transmit passes the messages to the transport, grouped by recipient. The messages
// to one recipient keep their order.
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

// requestJoin asks the peers, and the replicas that this one knows, to add it or to
// update its address.
func (n *Node) requestJoin(now time.Time) {
	r := n.replica
	interval := joinInterval
	if r.set.current() == nil {
		interval = firstJoinInterval
	}
	if now.Sub(n.lastJoinRequest) < interval {
		return
	}
	n.lastJoinRequest = now
	if self := r.set.find(n.id); r.role == Leader && self != nil && self.Address != n.config.Address {
		// An error means that another change is pending; the next call retries.
		_ = r.AddLearner(now, &wire.Replica{Id: n.id, Address: n.config.Address})
		return
	}
	if !r.WantsToJoin(now) {
		return
	}
	m := &wire.ConsensusMessage{
		Type: wire.ConsensusMessage_TYPE_JOIN, From: n.id, FromAddress: n.config.Address,
	}
	addresses := slices.Clone(n.config.Peers)
	for _, replica := range r.set.current().GetReplicas() {
		addresses = append(addresses, replica.Address)
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address != n.config.Address {
			n.config.Transport.Send(&wire.Replica{Address: address}, []*wire.ConsensusMessage{m})
		}
	}
}

// fail stops the node for good, because its disk, its state machine or its log can
// no longer be trusted.
func (n *Node) fail(err error) {
	if n.err != nil {
		return
	}
	n.err = err
	event.ReplicaFailed(n.self(), err)
}

func (n *Node) shutDown() {
	n.failProposals(outcomeUnknown("replica stopped"))
	n.snapshots.wait()
	s := n.Status()
	s.Role = Follower
	s.Leader, s.LeaderAddress = 0, ""
	s.ConfirmedAt = time.Time{}
	n.status.Store(&s)
	close(n.done)
}
