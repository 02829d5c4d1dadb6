package routing

import (
	"math"
	"time"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// maxTrackedKeys limits the number of level keys that a LoadTracker
	// keeps.
	maxTrackedKeys = 128
	// utilizationTimeConstant is the time constant of the moving average of the
	// utilization.
	utilizationTimeConstant = 2 * time.Second
	// evictionWeight is the weight of one eviction in the moving average of the
	// idle time of evicted keys.
	evictionWeight = 0.1
	// heldIdleFraction is the part of that average up to which a key may have
	// been idle to be reported as held.
	heldIdleFraction = 0.7
	// maxShortPrefill is the prefill work up to which a request is short, in
	// tokens. Agents run short requests before long ones.
	maxShortPrefill = 1500
)

// LoadTracker tracks the load of an agent's engine: which requests run there,
// which wait for their first token, and which prompt prefixes the engine has
// cached. All requests of all routers pass through the agent, so its load
// reports are not delayed like those of the engine itself. A request waits until
// it has its first token, and runs from then on. A LoadTracker is not safe for
// concurrent use.
type LoadTracker struct {
	// incarnation is the engine incarnation that load reports name.
	incarnation uint64
	index       *prefix.Index
	// engineID identifies the incarnation in index.
	engineID prefix.EngineID
	// holdings is a buffer for knownLevels.
	holdings []prefix.Holding
	// requests holds the requests that have not ended, by their ID.
	requests map[string]*trackedRequest
	// computing counts, for each level key, the waiting requests that compute
	// it.
	computing map[uint64]int
	// waiting counts the requests that have no first token yet.
	waiting int
	// pendingPrefill is the predicted prefill work of the waiting requests, in
	// tokens.
	pendingPrefill uint32
	// pendingShort is the part of pendingPrefill that belongs to short requests.
	pendingShort uint32
	// utilization is the moving average of the part of the time in which
	// requests waited for their first token.
	utilization float64
	// utilizationAt is the time of the last update of utilization.
	utilizationAt time.Time
	// meanEvictionIdle is the moving average of the time for which evicted keys
	// had not been used.
	meanEvictionIdle time.Duration
}

// trackedRequest is a request that has not ended.
type trackedRequest struct {
	levels []*wire.PrefixLevel
	// recompute is the predicted prefill work, in tokens.
	recompute uint32
	// knownLevels is the number of levels that were held or being computed when
	// the request began.
	knownLevels int
	// short is set if the request is short; see LoadTracker.Begin.
	short bool
	// answering is set once the engine has sent the first token.
	answering bool
}

// NewLoadTracker returns a load tracker for an incarnation of an engine.
func NewLoadTracker(incarnation uint64) *LoadTracker {
	l := &LoadTracker{index: prefix.NewIndex(maxTrackedKeys, holdingExpiry), requests: make(map[string]*trackedRequest)}
	l.Restart(incarnation)
	return l
}

// Restart begins a new incarnation of the engine, which holds and runs nothing.
func (l *LoadTracker) Restart(incarnation uint64) {
	l.incarnation = incarnation
	l.index.RemoveEngine(l.engineID)
	l.engineID = l.index.AddEngine()
	l.requests = make(map[string]*trackedRequest)
	l.computing = make(map[uint64]int)
	l.waiting, l.pendingPrefill, l.pendingShort, l.meanEvictionIdle = 0, 0, 0, 0
}

// Begin records a request that is about to be sent to the engine. Its ID is
// unique among the requests that have not ended. Begin reports whether the
// request is short: the agent gives short requests a higher engine priority
// than long ones.
func (l *LoadTracker) Begin(now time.Time, id string, levels []*wire.PrefixLevel) (short bool) {
	if q := l.requests[id]; q != nil {
		return q.short
	}
	q := &trackedRequest{levels: levels}
	l.requests[id] = q
	l.advance(now)
	l.predictPrefill(now, q)
	l.waiting++
	l.pendingPrefill += q.recompute
	if q.short {
		l.pendingShort += q.recompute
	}
	l.recordHoldings(now, q)
	return q.short
}

// predictPrefill predicts the prefill work of a request. A request that needs a
// level which an earlier request computes is not short, since it must run after
// that one.
func (l *LoadTracker) predictPrefill(now time.Time, q *trackedRequest) {
	q.knownLevels = l.knownLevels(now, q.levels)
	if len(q.levels) > 0 {
		q.recompute = q.levels[len(q.levels)-1].Tokens
	}
	q.short = true
	if q.knownLevels > 0 {
		deepest := q.levels[q.knownLevels-1]
		q.recompute -= deepest.Tokens
		q.short = l.computing[deepest.Key] == 0
	}
	q.short = q.short && q.recompute <= maxShortPrefill
	for _, level := range q.levels[q.knownLevels:] {
		l.computing[level.Key]++
	}
}

// FirstToken records that a request's prefill is done.
func (l *LoadTracker) FirstToken(now time.Time, id string) {
	q := l.requests[id]
	if q == nil || q.answering {
		return
	}
	q.answering = true
	l.removeWaiting(now, q)
	l.recordHoldings(now, q)
}

// End records that a request has ended, with a complete answer or without.
func (l *LoadTracker) End(now time.Time, id string) {
	q := l.requests[id]
	if q == nil {
		return
	}
	delete(l.requests, id)
	if q.answering {
		l.recordHoldings(now, q)
		return
	}
	l.removeWaiting(now, q)
	for _, level := range q.levels[q.knownLevels:] {
		if l.computing[level.Key] == 0 {
			l.index.Evicted(0, level.Key, l.engineID)
		}
	}
}

// removeWaiting removes a request from those that wait for their first token.
func (l *LoadTracker) removeWaiting(now time.Time, q *trackedRequest) {
	l.advance(now)
	l.waiting--
	l.pendingPrefill -= q.recompute
	if q.short {
		l.pendingShort -= q.recompute
	}
	for _, level := range q.levels[q.knownLevels:] {
		l.computing[level.Key]--
		if l.computing[level.Key] == 0 {
			delete(l.computing, level.Key)
		}
	}
}

// ApplyEvents applies a batch of the engine's cache events, whose keys are
// level keys. It reports whether earlier batches are missing; see
// prefix.Index.Apply.
func (l *LoadTracker) ApplyEvents(now time.Time, ev prefix.EventBatch) (gap bool) {
	for _, key := range ev.Evicted {
		l.observeEviction(now, key)
	}
	return l.index.Apply(now, 0, l.engineID, ev)
}

// Evicted records that the engine no longer holds a level. It is for agents
// that process the engine's events themselves.
func (l *LoadTracker) Evicted(key uint64) {
	l.observeEviction(l.utilizationAt, key)
	l.index.Evicted(0, key, l.engineID)
}

// observeEviction updates the average time for which the engine keeps an unused
// key.
func (l *LoadTracker) observeEviction(now time.Time, key uint64) {
	idle, known := l.index.Idle(now, 0, key, l.engineID)
	if !known {
		return
	}
	if l.meanEvictionIdle == 0 {
		l.meanEvictionIdle = idle
	}
	l.meanEvictionIdle += time.Duration(evictionWeight * float64(idle-l.meanEvictionIdle))
}

// maxIdle returns the idle time up to which a key is reported as held. A key
// that is about to be evicted is not reported, since it would be gone when a
// request for it arrives.
func (l *LoadTracker) maxIdle() time.Duration {
	if l.meanEvictionIdle == 0 {
		return holdingExpiry
	}
	return time.Duration(heldIdleFraction * float64(l.meanEvictionIdle))
}

// Resync corrects the tracker after missing events: held lists the keys that
// the engine says it holds. Levels that waiting requests compute are kept too.
func (l *LoadTracker) Resync(now time.Time, held []uint64) {
	for key := range l.computing {
		held = append(held, key)
	}
	l.index.Resync(now, 0, l.engineID, held)
}

// Load returns the load report as of now.
func (l *LoadTracker) Load(now time.Time) *wire.Load {
	l.advance(now)
	held := l.index.Held(now, l.engineID, l.maxIdle(), nil)
	return &wire.Load{
		Running:             uint32(len(l.requests) - l.waiting),
		Waiting:             uint32(l.waiting),
		QueuedPrefillTokens: l.pendingPrefill,
		QueuedShortTokens:   l.pendingShort,
		EngineIncarnation:   l.incarnation,
		Held:                prefix.NewFilter(held).Marshal(),
		BusyPermille:        uint32(1000 * l.utilization),
	}
}

// advance updates the utilization to now.
func (l *LoadTracker) advance(now time.Time) {
	sample := 0.0
	if l.waiting > 0 {
		sample = 1
	}
	age := max(0, now.Sub(l.utilizationAt))
	l.utilization = sample + (l.utilization-sample)*math.Exp(-age.Seconds()/utilizationTimeConstant.Seconds())
	l.utilizationAt = now
}

// knownLevels returns how many of the levels, from the first one, the engine
// probably holds or computes.
func (l *LoadTracker) knownLevels(now time.Time, levels []*wire.PrefixLevel) int {
	for i := len(levels); i > 0; i-- {
		l.holdings = l.index.Holders(now, 0, levels[i-1].Key, l.holdings[:0])
		if len(l.holdings) > 0 {
			return i
		}
	}
	return 0
}

// recordHoldings records that the engine holds the levels that other requests
// may share: all but the last, or the only one.
func (l *LoadTracker) recordHoldings(now time.Time, q *trackedRequest) {
	for i, level := range q.levels {
		if i == 0 || i < len(q.levels)-1 {
			l.index.Stored(now, 0, level.Key, l.engineID)
		}
	}
}
