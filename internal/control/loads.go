package control

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

const (
	// loadInterval is the time between two rounds of load queries.
	loadInterval = 500 * time.Millisecond
	// maxReportsPerInterval bounds the engines that are queried in one interval, which
	// limits the cost to a few hundred connections and a fifth of a small VM's CPU. If
	// there are more engines, each interval queries the next ones in turn. With 3,000
	// engines, each is still queried again before its last report counts as outdated.
	maxReportsPerInterval = 384
	// loadTimeout bounds the wait for the reports of one interval.
	loadTimeout = 450 * time.Millisecond
	// maxFailedReports is the number of consecutive failed queries after which an
	// engine is suspected.
	maxFailedReports = 2
	// sendDigestTimeout bounds the sending of a digest to another replica.
	sendDigestTimeout = 400 * time.Millisecond
)

// DigestTracker holds the newest digest of load reports that this process has. It is safe
// for concurrent use.
type DigestTracker struct {
	mu     sync.Mutex
	digest *wire.LoadDigest
	// changed is closed when digest is replaced.
	changed chan struct{}
}

// NewDigestTracker returns a tracker without a digest.
func NewDigestTracker() *DigestTracker { return &DigestTracker{changed: make(chan struct{})} }

// Put stores a digest if it is newer than the present one.
func (t *DigestTracker) Put(d *wire.LoadDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.digest
	if d.GetTerm() < old.GetTerm() || d.GetTerm() == old.GetTerm() && d.GetNumber() <= old.GetNumber() {
		return
	}
	t.digest = d
	close(t.changed)
	t.changed = make(chan struct{})
}

// Digest returns the newest digest and a channel that is closed once there is a newer
// one. The digest must not be modified.
func (t *DigestTracker) Digest() (*wire.LoadDigest, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest, t.changed
}

// engineReply is the result of one query for an engine's load.
type engineReply struct {
	backend *wire.Backend
	report  *fleet.EngineReport
	err     error
}

// pollLoads queries the engines without an agent for their load while this replica leads,
// until ctx ends. It sends a digest of the replies to the other replicas each time.
func (l *leader) pollLoads(ctx context.Context) {
	if l.options.Engines == nil {
		return
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	failures := map[string]int{} // consecutive failed queries by engine name
	caches := newCacheTracker(l.options.Engines)
	var lastCacheDigest time.Time
	quiet := quietTimes{}
	next := 0 // index of the engine to query next
	var pace queryPace
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		term := l.leadingTerm()
		if term == 0 {
			clear(failures)
			pace = queryPace{}
			caches.follow(ctx, nil)
			continue
		}
		var asked []*wire.Backend
		asked, next = nextEngines(l.machine.Log().Snapshot().Members(), next, pace.next(l.behind()))
		replies := l.askEngines(ctx, quiet.filter(time.Now(), asked))
		quiet.record(time.Now(), replies)
		l.paceReplies(time.Now(), replies)
		l.handleReplies(ctx, term, replies, failures)
		snapshot := l.machine.Log().Snapshot()
		stores := snapshot.Routes.CacheStores()
		caches.follow(ctx, sourcesOf(snapshot.Members(), stores))
		loads := loadsOf(replies)
		l.addSpeeds(replies, loads)
		digest := &wire.LoadDigest{Term: term, Loads: loads, Limits: l.limits(snapshot.Members()), Routers: l.listRouters()}
		if next > 0 || time.Since(lastCacheDigest) >= cacheDigestInterval {
			lastCacheDigest = time.Now()
			addCacheFilters(digest, caches, replies, stores)
		}
		digest.Number = l.digestNumber.Add(1)
		l.tracker.Put(digest)
		l.sendDigest(ctx, digest)
	}
}

// loadsOf returns the load reports of the engines that answered.
func loadsOf(replies []engineReply) []*wire.BackendLoad {
	var loads []*wire.BackendLoad
	for _, r := range replies {
		if r.err == nil {
			loads = append(loads, &wire.BackendLoad{Backend: r.backend.GetName(), Load: loadOf(r)})
		}
	}
	return loads
}

// addCacheFilters adds to a digest the filters of the parts of prompts that are
// cached at the engines that it covers and at the stores.
func addCacheFilters(digest *wire.LoadDigest, caches *cacheTracker, replies []engineReply, stores []*wire.CacheStore) {
	sources := map[string]fleet.CacheSource{}
	for _, r := range replies {
		sources[r.backend.GetName()] = engineSource(r.backend)
	}
	for _, l := range digest.GetLoads() {
		l.Load.Held = caches.filter(sources[l.GetBackend()], engineFilterParts)
	}
	for _, store := range stores {
		digest.Stores = append(digest.Stores, &wire.StoreHoldings{Address: store.GetAddress(), Held: caches.filter(storeSource(store), storeFilterParts)})
	}
}

func loadOf(r engineReply) *wire.Load {
	return &wire.Load{Running: r.report.Answering, Waiting: r.report.Waiting, EngineIncarnation: r.backend.GetEngineIncarnation()}
}

// nextEngines returns the engines without an agent to query next, at most limit, beginning at
// index from, and the index at which to continue. That index is 0 once all engines have been queried.
func nextEngines(members []*wire.Member, from, limit int) (asked []*wire.Backend, next int) {
	var engines []*wire.Backend
	for _, m := range members {
		if fleet.IsAgentlessEngine(m.GetBackend()) {
			engines = append(engines, m.GetBackend())
		}
	}
	if from >= len(engines) {
		from = 0
	}
	end := min(from+limit, len(engines))
	if end == len(engines) {
		return engines[from:], 0
	}
	return engines[from:end], end
}

// askEngines queries engines for their load concurrently.
func (l *leader) askEngines(ctx context.Context, asked []*wire.Backend) []engineReply {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	replies := make([]engineReply, len(asked))
	for i, b := range asked {
		replies[i].backend = b
	}
	answered := make([]atomic.Bool, len(asked))
	slow := time.AfterFunc(slowReport, func() {
		l.reachability.checkSlow(replies, func(i int) bool { return answered[i].Load() })
	})
	defer slow.Stop()
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			r := &replies[i]
			r.err = recovery.Call("engine report", func() (err error) {
				r.report, err = l.options.Engines.Report(ctx, r.backend)
				return err
			})
			answered[i].Store(isAnswer(*r))
		})
	}
	wg.Wait()
	return replies
}

// handleReplies passes the reports to the rollout, and proposes to suspect each engine
// that did not answer maxFailedReports queries in a row. failures counts the
// consecutive failed queries by engine name.
func (l *leader) handleReplies(ctx context.Context, term uint64, replies []engineReply, failures map[string]int) {
	targets := l.machine.Log().Snapshot().WeightsTargets()
	var actions []fleet.RolloutAction
	l.mu.Lock()
	if l.rollout == nil || l.term != term {
		l.mu.Unlock()
		return
	}
	for _, r := range replies {
		name := r.backend.GetName()
		if wantsQuiet(r) > 0 {
			continue // it has answered
		}
		if r.err == nil {
			delete(failures, name)
			if change := drainOf(r, l.machine.Log().Snapshot().Member(name)); change != nil {
				actions = append(actions, fleet.RolloutAction{Propose: change})
			}
			actions = append(actions, l.rollout.ObserveReport(steady.Now(), r.backend, r.report, targets)...)
			continue
		}
		failures[name]++
		if failures[name] == maxFailedReports {
			event.LoadReportsMissing(name, r.backend.GetAddress(), r.err)
			actions = append(actions, fleet.RolloutAction{Propose: &wire.BackendChange{
				Kind: wire.BackendChange_KIND_SUSPECT, Name: name, AgentIncarnation: r.backend.GetAgentIncarnation(),
			}})
		}
	}
	l.mu.Unlock()
	l.perform(ctx, term, actions)
}

// drainOf returns the change that drains an engine which says in its report that it leaves;
// nil if it does not, or gets no new work already.
func drainOf(r engineReply, member *wire.Member) *wire.BackendChange {
	if !r.report.Leaving || member.GetBackend().GetAgentIncarnation() != r.backend.GetAgentIncarnation() ||
		member.GetState() == wire.BackendState_BACKEND_STATE_DRAINING {
		return nil
	}
	return &wire.BackendChange{Kind: wire.BackendChange_KIND_DRAIN, Name: r.backend.GetName(), AgentIncarnation: r.backend.GetAgentIncarnation()}
}

// quietTimes holds the times until which engines want no calls, by address and name.
type quietTimes map[fleet.CacheSource]time.Time

// wantsQuiet returns for how long an engine that turned a query away wants no calls.
func wantsQuiet(r engineReply) time.Duration {
	if r.err == nil {
		return 0
	}
	return fault.From(r.err).RetryAfter
}

// filter returns the engines that may be queried.
func (q quietTimes) filter(now time.Time, engines []*wire.Backend) []*wire.Backend {
	var out []*wire.Backend
	for _, b := range engines {
		if !now.Before(q[engineSource(b)]) {
			out = append(out, b)
		}
	}
	return out
}

// record records which engines want no calls, and forgets those whose time has ended.
func (q quietTimes) record(now time.Time, replies []engineReply) {
	maps.DeleteFunc(q, func(_ fleet.CacheSource, until time.Time) bool { return !now.Before(until) })
	for _, r := range replies {
		if quiet := wantsQuiet(r); quiet > 0 {
			q[engineSource(r.backend)] = now.Add(quiet)
		}
	}
}

// sendDigest sends a digest to the other replicas in the background. A digest that can't
// be delivered is not sent again; the next one replaces it.
func (l *leader) sendDigest(ctx context.Context, digest *wire.LoadDigest) {
	if l.options.SendToReplica == nil {
		return
	}
	status := l.node.Status()
	for _, r := range status.Replicas {
		if r.GetId() == status.ID {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendDigestTimeout)
			defer cancel()
			req := &wire.Request{Body: &wire.Request_PushLoads{PushLoads: proto.CloneOf(digest)}}
			if err := l.options.SendToReplica(ctx, r.GetAddress(), req); err != nil {
				event.LoadDigestRefused(r.GetAddress(), err)
			}
		}()
	}
}
