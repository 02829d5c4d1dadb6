package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/wire"
)

const (
	// loadInterval is the time between two load reports of an engine.
	loadInterval = 500 * time.Millisecond
	// maxReports bounds the engines that are asked in one interval: a few hundred
	// connections, and a fifth of a small VM's processor. More engines take turns,
	// 3,000 of them within the time after which a report counts no more.
	maxReports = 384
	// loadTimeout bounds the wait for one report.
	loadTimeout = 450 * time.Millisecond
	// silentReports is the number of reports in a row that fail before an engine
	// is suspected.
	silentReports = 2
	// pushTimeout bounds the hand-over of a digest to another replica.
	pushTimeout = 400 * time.Millisecond
)

// loadBoard holds the newest digest of load reports that a replica knows. It is
// safe for concurrent use.
type loadBoard struct {
	mu      sync.Mutex
	digest  *wire.LoadDigest
	changed chan struct{}
}

func newLoadBoard() *loadBoard { return &loadBoard{changed: make(chan struct{})} }

// put takes a digest if it is newer than the present one.
func (b *loadBoard) put(d *wire.LoadDigest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.digest
	if d.GetTerm() < old.GetTerm() || d.GetTerm() == old.GetTerm() && d.GetNumber() <= old.GetNumber() {
		return
	}
	b.digest = d
	close(b.changed)
	b.changed = make(chan struct{})
}

// Digest returns the newest digest, which must not be modified, and a channel
// that is closed once there is a newer one.
func (b *loadBoard) Digest() (*wire.LoadDigest, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.digest, b.changed
}

// engineReply is one engine's answer to a question for its load.
type engineReply struct {
	backend *wire.Backend
	report  *fleet.EngineReport
	err     error
}

// pollLoads asks all engines without an agent for their load until ctx ends,
// while this replica leads.
func (l *leader) pollLoads(ctx context.Context) {
	if l.options.Engines == nil {
		return
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	failures := map[string]int{}
	number := uint64(0)
	board := newHoldingsBoard(l.options.Engines)
	var told time.Time
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		term := l.leading()
		if term == 0 {
			clear(failures)
			board.follow(ctx, nil)
			continue
		}
		number++
		var asked []*wire.Backend
		asked, next = turn(l.machine.Log().Snapshot().Members(), next)
		replies := l.askEngines(ctx, asked)
		l.takeReplies(ctx, term, replies, failures)
		snapshot := l.machine.Log().Snapshot()
		stores := snapshot.Routes.Stores()
		board.follow(ctx, sourcesOf(snapshot.Members(), stores))
		digest := &wire.LoadDigest{Term: term, Number: number, Loads: loadsOf(replies)}
		if next > 0 || time.Since(told) >= holdingsInterval {
			told = time.Now()
			addHoldings(digest, board, replies, stores)
		}
		l.board.put(digest)
		l.push(ctx, digest)
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

// addHoldings adds to a digest what its engines and the stores hold.
func addHoldings(digest *wire.LoadDigest, board *holdingsBoard, replies []engineReply, stores []*wire.CacheStore) {
	sources := map[string]fleet.CacheSource{}
	for _, r := range replies {
		sources[r.backend.GetName()] = engineSource(r.backend)
	}
	for _, l := range digest.GetLoads() {
		l.Load.Held = board.held(sources[l.GetBackend()], engineHeld)
	}
	for _, store := range stores {
		digest.Stores = append(digest.Stores, &wire.StoreHoldings{Address: store.GetAddress(), Held: board.held(storeSource(store), storeHeld)})
	}
}

func loadOf(r engineReply) *wire.Load {
	return &wire.Load{Running: r.report.Answering, Waiting: r.report.Waiting, EngineIncarnation: r.backend.GetEngineIncarnation()}
}

// turn returns the engines without an agent that are asked next, and where the
// turn after that begins; 0 when all were asked.
func turn(members []*wire.Member, from int) (asked []*wire.Backend, next int) {
	var engines []*wire.Backend
	for _, m := range members {
		if fleet.IsAgentlessEngine(m.GetBackend()) {
			engines = append(engines, m.GetBackend())
		}
	}
	if from >= len(engines) {
		from = 0
	}
	end := min(from+maxReports, len(engines))
	if end == len(engines) {
		return engines[from:], 0
	}
	return engines[from:end], end
}

// askEngines asks engines for their load at the same time.
func (l *leader) askEngines(ctx context.Context, asked []*wire.Backend) []engineReply {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	replies := make([]engineReply, len(asked))
	for i, b := range asked {
		replies[i].backend = b
	}
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i].report, replies[i].err = l.options.Engines.Report(ctx, replies[i].backend) })
	}
	wg.Wait()
	return replies
}

// takeReplies tells the rollout what the engines hold, and suspects those that
// don't answer.
func (l *leader) takeReplies(ctx context.Context, term uint64, replies []engineReply, failures map[string]int) {
	targets := l.machine.Log().Snapshot().WeightsTargets()
	var actions []fleet.RolloutAction
	l.mu.Lock()
	if l.rollout == nil || l.term != term {
		l.mu.Unlock()
		return
	}
	for _, r := range replies {
		name := r.backend.GetName()
		if r.err == nil {
			delete(failures, name)
			actions = append(actions, l.rollout.ObserveReport(time.Now(), r.backend, r.report, targets)...)
			continue
		}
		failures[name]++
		if failures[name] == silentReports {
			event.LoadReportsMissing(name, r.backend.GetAddress(), r.err)
			actions = append(actions, fleet.RolloutAction{Propose: &wire.BackendChange{
				Kind: wire.BackendChange_KIND_SUSPECT, Name: name, AgentIncarnation: r.backend.GetAgentIncarnation(),
			}})
		}
	}
	l.mu.Unlock()
	l.carryOut(ctx, term, actions)
}

// push hands a digest to the other replicas; one that can't be reached misses it.
func (l *leader) push(ctx context.Context, digest *wire.LoadDigest) {
	if l.options.SendToReplica == nil {
		return
	}
	status := l.node.Status()
	for _, r := range status.Replicas {
		if r.GetId() == status.ID {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			req := &wire.Request{Body: &wire.Request_PushLoads{PushLoads: proto.CloneOf(digest)}}
			if err := l.options.SendToReplica(ctx, r.GetAddress(), req); err != nil {
				event.LoadDigestRefused(r.GetAddress(), err)
			}
		}()
	}
}
