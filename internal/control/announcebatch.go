package control

import (
	"context"
	"expvar"
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
// an agent. Those that change nothing are collected and sent as one message, because a call
// over a link costs ten times as much as renewing a lease.
const (
	// batchDelay is the longest time that an announcement waits for others. Backend servers
	// wait 1 s for the answer.
	batchDelay = 25 * time.Millisecond
	// maxBatchAnnounces bounds a batch to about 50 kB.
	maxBatchAnnounces = 256
	// batchTimeout bounds the call with a batch. Backend servers give up after 1 s.
	batchTimeout = 850 * time.Millisecond
	// minBatchedAnnounces is the number of announcements in rateInterval from which on they are
	// collected: 100 a second. With fewer a batch would rarely hold more than two.
	minBatchedAnnounces = 25
	rateInterval        = 250 * time.Millisecond
)

// announceCounts counts the forwarded announcements: batched, alone, those of a batch that
// the leader wants alone (repeated), and the batches.
var announceCounts = expvar.NewMap("control_announcements")

// changesNothing reports whether an announcement only renews the lease of a member in the
// snapshot. Others are decided by themselves, so that their callers learn the result.
func changesNothing(snapshot *view.Snapshot, announce *wire.Announce) bool {
	member := snapshot.Member(announce.GetBackend().GetName())
	return member != nil && !announce.GetLeaving() &&
		member.GetState() != wire.BackendState_BACKEND_STATE_SUSPECTED && proto.Equal(member.GetBackend(), announce.GetBackend())
}

// mayWait reports whether an announcement may wait for others. A process that has just started
// has no view; the leader then decides. An invalid announcement goes alone: one that can't be
// marshalled would fail its batch.
func mayWait(snapshot *view.Snapshot, announce *wire.Announce) bool {
	if membership.CheckAnnounced(announce.GetBackend()) != nil {
		return false
	}
	return changesNothing(snapshot, announce) || snapshot.Version == 0 && !announce.GetLeaving()
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
	announce *wire.Announce
	// done receives the result: nil, or the error of the call or of the announcement.
	done chan error
}

// announceBatcher forwards announcements to the leader. It is safe for concurrent use.
type announceBatcher struct {
	// one forwards one announcement, many a batch.
	one  func(ctx context.Context, announce *wire.Announce) error
	many func(ctx context.Context, batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error)
	// snapshot returns the view of this process.
	snapshot func() *view.Snapshot

	mu      sync.Mutex
	rate    arrivalRate
	waiting []*batchEntry
	// timer sends what is waiting.
	timer *time.Timer
}

// forward sends an announcement to the leader and returns its result.
func (b *announceBatcher) forward(ctx context.Context, announce *wire.Announce) error {
	if !mayWait(b.snapshot(), announce) {
		announceCounts.Add("alone", 1)
		return b.one(ctx, announce)
	}
	entry := b.add(announce)
	if entry == nil {
		announceCounts.Add("alone", 1)
		return b.one(ctx, announce)
	}
	select {
	case err := <-entry.done:
		if !fault.Is(err, fault.Conflict) {
			return err
		}
		// For the leader, whose view is newer, the announcement changes something, or it
		// takes no batches.
		announceCounts.Add("repeated", 1)
		return b.one(ctx, announce)
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.Unknown, "no control leader answered: %w", ctx.Err())
	}
}

// add adds an announcement to the batch that is collected. It returns nil if announcements
// are too few to wait for others.
func (b *announceBatcher) add(announce *wire.Announce) *batchEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.rate.add(time.Now()) && len(b.waiting) == 0 {
		return nil
	}
	entry := &batchEntry{announce: announce, done: make(chan error, 1)}
	b.waiting = append(b.waiting, entry)
	switch {
	case len(b.waiting) >= maxBatchAnnounces:
		b.timer.Stop()
		b.sendLocked()
	case len(b.waiting) == 1:
		b.timer = time.AfterFunc(batchDelay, b.send)
	}
	return entry
}

func (b *announceBatcher) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sendLocked()
}

// sendLocked sends what is waiting in the background.
func (b *announceBatcher) sendLocked() {
	if len(b.waiting) > 0 {
		go b.deliver(b.waiting)
	}
	b.waiting = nil
}

// deliver sends a batch and passes each entry its result. An error of the whole call is the
// result of all: the backend servers announce themselves again soon.
func (b *announceBatcher) deliver(entries []*batchEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	announceCounts.Add("batches", 1)
	announceCounts.Add("batched", int64(len(entries)))
	batch := &wire.AnnounceBatch{Announces: make([]*wire.Announce, len(entries))}
	for i, e := range entries {
		batch.Announces[i] = e.announce
	}
	reply, err := b.many(ctx, batch)
	if fault.Is(err, fault.BadRequest) {
		// A leader of an earlier version does not know the message, during an upgrade.
		err = fault.New(fault.Conflict, fault.NotRun, "the leader takes no batches: %w", err)
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

// renewBatch renews the leases of a batch under one lock. An announcement that changes
// something is not applied: its result is fault.Conflict, and the sender repeats it by itself.
func (l *leader) renewBatch(batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error) {
	reply, changes, err := l.renewAll(batch.GetAnnounces())
	if err != nil {
		return nil, err
	}
	if len(changes) > 0 {
		go l.proposeAll(context.Background(), backendCommands(changes))
	}
	return reply, nil
}

// renewAll returns the results of a batch, and changes that follow from earlier
// announcements of its servers, such as a drain that is not committed yet.
func (l *leader) renewAll(announces []*wire.Announce) (*wire.AnnounceBatchReply, []*wire.BackendChange, error) {
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
		if !isForwarded(announce) || !changesNothing(snapshot, announce) {
			reply.Results[i] = repeat
			continue
		}
		due, _ := l.leases.Heartbeat(now, snapshot, announce)
		changes = append(changes, due...)
		reply.Results[i] = accepted
	}
	return reply, changes, nil
}

// isForwarded reports whether control processes forward an announcement: only those of
// backend servers without an agent.
func isForwarded(announce *wire.Announce) bool {
	return announce.GetBackend().GetAddress() != "" && announce.GetBackend().GetAgentAddress() == ""
}
