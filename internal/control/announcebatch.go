package control

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/membership"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// A control process that does not lead forwards the announcements of backend servers without
// an agent. They are collected and sent as one message, because a call over a link costs ten
// times as much as renewing a lease. Those that change something are sent apart from the others,
// which don't wait for their commit.
const (
	// batchDelay is the longest time that an announcement waits for others. Backend servers
	// wait 1 s for the answer.
	batchDelay = 25 * time.Millisecond
	// maxBatchAnnounces bounds a batch to about 50 kB.
	maxBatchAnnounces = 256
	// maxBatchChanges bounds a batch of announcements that change something, so that it delays other
	// commands little: 64 servers that join take 3 ms, with their commit (BenchmarkJoinBatch).
	maxBatchChanges = 64
	// maxBatchSize is the size in bytes of the announcements from which on a batch takes no more. One
	// has 100 to 200 bytes usually, and 64 KiB at most.
	maxBatchSize = 128 << 10
	// batchTimeout bounds the call with a batch. Backend servers give up after 1 s.
	batchTimeout = 850 * time.Millisecond
	// minBatchedAnnounces is the number of announcements in rateInterval from which on they are
	// collected: 100 a second. With fewer a batch would rarely hold more than two.
	minBatchedAnnounces = 25
	rateInterval        = 250 * time.Millisecond
)

// announceCounts counts the forwarded announcements: batched, of these changes, alone, those of a
// batch that the leader wants otherwise (repeated), those whose senders gave up before they were sent
// (given_up), and the batches.
var announceCounts = expvar.NewMap("control_announcements")

// changesNothing reports whether an announcement only renews the lease of a member in the
// snapshot. The callers of others learn what is decided.
func changesNothing(snapshot *view.Snapshot, announce *wire.Announce) bool {
	member := snapshot.Member(announce.GetBackend().GetName())
	return member != nil && !announce.GetLeaving() &&
		member.GetState() != wire.BackendState_BACKEND_STATE_SUSPECTED && proto.Equal(member.GetBackend(), announce.GetBackend())
}

// mayWait reports whether an announcement may wait for others. One that leaves goes alone, since it is
// acknowledged only once it is committed, and so does an invalid one: one that can't be marshalled would
// fail its batch.
func mayWait(announce *wire.Announce) bool {
	return !announce.GetLeaving() && !announce.GetDeparture() && membership.CheckAnnounced(announce.GetBackend()) == nil
}

// arrivalRate tells whether enough announcements arrive to collect them. The zero value
// is ready for use.
type arrivalRate struct {
	// start is the begin of the interval to which count belongs.
	start time.Time
	count int
	// last is the count of the preceding interval.
	last int
}

// add counts an arrival and reports whether announcements are frequent.
func (r *arrivalRate) add(now time.Time) bool {
	switch passed := now.Sub(r.start); {
	case passed >= 2*rateInterval:
		r.start, r.last, r.count = now, 0, 0
	case passed >= rateInterval:
		r.start, r.last, r.count = r.start.Add(rateInterval), r.count, 0
	}
	r.count++
	return r.last >= minBatchedAnnounces || r.count >= minBatchedAnnounces
}

// batchEntry is an announcement that waits for its result.
type batchEntry struct {
	// ctx ends when the sender gives up.
	ctx      context.Context
	announce *wire.Announce
	// done receives the result: nil, or the error of the call or of the announcement.
	done chan error
}

// errNoBatches is the result of the announcements of a batch that the leader does not take.
var errNoBatches = errors.New("the leader takes no batches")

// announceBatcher forwards announcements to the leader. It is safe for concurrent use.
type announceBatcher struct {
	// one forwards one announcement, many a batch.
	one  func(ctx context.Context, announce *wire.Announce) error
	many func(ctx context.Context, batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error)
	// snapshot returns the view of this process.
	snapshot func() *view.Snapshot

	renewals, changes collector
}

// collector collects announcements of one kind. The zero value is ready for use.
type collector struct {
	mu      sync.Mutex
	rate    arrivalRate
	waiting []*batchEntry
	// size is the size of what is waiting.
	size int
	// timer sends what is waiting.
	timer *time.Timer
}

// forward sends an announcement to the leader and returns its result.
func (b *announceBatcher) forward(ctx context.Context, announce *wire.Announce) error {
	if !mayWait(announce) {
		announceCounts.Add("alone", 1)
		return b.one(ctx, announce)
	}
	if changesNothing(b.snapshot(), announce) {
		err, sent := b.collect(ctx, announce, &b.renewals)
		if sent && !fault.Is(err, fault.Conflict) {
			return err
		}
		if !sent || errors.Is(err, errNoBatches) {
			return b.alone(ctx, announce, sent)
		}
		// For the leader, whose view is newer, the announcement changes something.
		announceCounts.Add("repeated", 1)
	}
	err, sent := b.collect(ctx, announce, &b.changes)
	if !sent || fault.Is(err, fault.Conflict) {
		return b.alone(ctx, announce, sent)
	}
	return err
}

// alone sends an announcement by itself; repeated is set if the leader has not taken it in a batch.
func (b *announceBatcher) alone(ctx context.Context, announce *wire.Announce, repeated bool) error {
	if repeated {
		announceCounts.Add("repeated", 1)
	} else {
		announceCounts.Add("alone", 1)
	}
	return b.one(ctx, announce)
}

// collect sends an announcement in a batch and returns its result. It does nothing, and reports that, if
// announcements are too few to wait for others.
func (b *announceBatcher) collect(ctx context.Context, announce *wire.Announce, c *collector) (result error, sent bool) {
	entry := b.add(ctx, announce, c)
	if entry == nil {
		return nil, false
	}
	select {
	case err := <-entry.done:
		return err, true
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.Unknown, "no control leader answered: %w", ctx.Err()), true
	}
}

// add adds an announcement to the batch that is collected. It returns nil if announcements
// are too few to wait for others.
func (b *announceBatcher) add(ctx context.Context, announce *wire.Announce, c *collector) *batchEntry {
	limit := maxBatchAnnounces
	if c == &b.changes {
		limit = maxBatchChanges
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rate.add(time.Now()) && len(c.waiting) == 0 {
		return nil
	}
	entry := &batchEntry{ctx: ctx, announce: announce, done: make(chan error, 1)}
	c.waiting = append(c.waiting, entry)
	c.size += proto.Size(announce)
	switch {
	case len(c.waiting) >= limit || c.size >= maxBatchSize:
		if c.timer != nil {
			c.timer.Stop()
		}
		b.sendLocked(c)
	case len(c.waiting) == 1:
		c.timer = time.AfterFunc(batchDelay, func() { b.send(c) })
	}
	return entry
}

func (b *announceBatcher) send(c *collector) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.sendLocked(c)
}

// sendLocked sends what is waiting in the background.
func (b *announceBatcher) sendLocked(c *collector) {
	if len(c.waiting) > 0 {
		go b.deliver(c.waiting, c == &b.changes)
	}
	c.waiting, c.size = nil, 0
}

// deliver sends a batch and passes each entry its result. An error of the whole call is the
// result of all: the backend servers announce themselves again soon. Announcements whose senders have
// given up are not sent: these have called another VM.
func (b *announceBatcher) deliver(entries []*batchEntry, changes bool) {
	waiting := len(entries)
	entries = slices.DeleteFunc(entries, func(e *batchEntry) bool { return e.ctx.Err() != nil })
	announceCounts.Add("given_up", int64(waiting-len(entries)))
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	announceCounts.Add("batches", 1)
	announceCounts.Add("batched", int64(len(entries)))
	if changes {
		announceCounts.Add("changes", int64(len(entries)))
	}
	batch := &wire.AnnounceBatch{Announces: make([]*wire.Announce, len(entries)), Changes: changes}
	for i, e := range entries {
		batch.Announces[i] = e.announce
	}
	reply, err := b.many(ctx, batch)
	if fault.Is(err, fault.BadRequest) {
		// A leader of an earlier version does not know the message, during an upgrade.
		err = fault.New(fault.Conflict, fault.NotRun, "%w: %w", errNoBatches, err)
	}
	results := reply.GetResults()
	if err == nil && len(results) != len(entries) {
		err = fault.New(fault.Internal, fault.Unknown, "%d results for %d announcements", len(results), len(entries))
	}
	for i, e := range entries {
		switch {
		case err != nil:
			e.done <- err
		case results[i].GetError() != nil:
			e.done <- fault.FromWire(results[i].GetError())
		default:
			e.done <- nil
		}
	}
}

// announceBatch renews the leases of a batch under one lock. If the batch is one of changes, it
// proposes what follows, and returns once that is decided; as for a single announcement, errors of the
// proposals are only logged. The result of an announcement that the batch is not for is
// fault.Conflict, and the sender repeats it otherwise: one that changes something in a batch
// without changes, and in any batch one that leaves.
func (l *leader) announceBatch(ctx context.Context, batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error) {
	reply, due, err := l.renewAll(batch)
	if err != nil {
		return nil, err
	}
	switch {
	case len(due) == 0:
	case batch.GetChanges():
		l.proposeAll(ctx, backendCommands(due))
	default:
		go l.proposeAll(context.Background(), backendCommands(due))
	}
	return reply, nil
}

// renewAll returns the results of a batch, and the changes to propose. Those of a batch without changes
// follow from earlier announcements of its servers, such as a drain that is not committed yet.
func (l *leader) renewAll(batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, []*wire.BackendChange, error) {
	announces := batch.GetAnnounces()
	if len(announces) > maxBatchAnnounces {
		return nil, nil, fault.New(fault.BadRequest, fault.NotRun, "%d announcements are over the limit of %d", len(announces), maxBatchAnnounces)
	}
	reply := &wire.AnnounceBatchReply{Results: make([]*wire.AnnounceResult, len(announces))}
	repeat := &wire.AnnounceResult{Error: fault.ToWire(fault.New(fault.Conflict, fault.NotRun, "the announcement changes something"))}
	accepted := &wire.AnnounceResult{}
	var changes []*wire.BackendChange
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return nil, nil, l.notLeading()
	}
	if status := l.node.Status(); status.Role != consensus.Leader {
		return nil, nil, l.notLeading()
	}
	now, snapshot := time.Now(), l.machine.Log().Snapshot()
	for i, announce := range announces {
		if !isForwarded(announce) || announce.GetLeaving() || announce.GetDeparture() || !batch.GetChanges() && !changesNothing(snapshot, announce) {
			reply.Results[i] = repeat
			continue
		}
		reply.Results[i] = accepted
		if l.isLate(announce) {
			continue
		}
		due, _ := l.leases.Heartbeat(now, snapshot, announce)
		changes = append(changes, due...)
	}
	return reply, changes, nil
}

// isForwarded reports whether control processes forward an announcement: only those of
// backend servers without an agent.
func isForwarded(announce *wire.Announce) bool {
	return announce.GetDeparture() || announce.GetBackend().GetAddress() != "" && announce.GetBackend().GetAgentAddress() == ""
}
