package routing

import (
	"math"
	"time"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// maxTrackedKeys bounds the level keys that a LoadTracker remembers.
	maxTrackedKeys = 128
	// utilizationTimeConstant is the time constant of the utilization.
	utilizationTimeConstant = 2 * time.Second
	// evictionWeight is the weight of one eviction in the average idle time, and
	// keepsMargin the part of it up to which keys are reported as held.
	evictionWeight   = 0.1
	heldIdleFraction = 0.7
	// maxShortPrefill is the prefill work up to which a request is short, in tokens.
	// Agents let short requests run before long ones.
	maxShortPrefill = 1500
)

// LoadTracker is an agent's account of its engine: what runs there, what waits for
// its first token, and which openings it holds. All requests of all routers
// pass through the agent, so its load reports don't lag like the engine's own.
// It is not safe for concurrent use.
type LoadTracker struct {
	incarnation uint64
	index       *prefix.Index
	engineID    prefix.EngineID
	holdings    []prefix.Holding
	requests    map[string]*trackedRequest
	// computing counts the waiting requests that compute a level key.
	computing map[uint64]int
	waiting   int
	// pendingPrefill is the predicted prefill work of those waiting, in tokens.
	pendingPrefill uint32
	// short is the part of pending that belongs to short requests.
	short uint32
	// utilization is the moving part of the time, up to busyAt, in which requests
	// waited for their first token.
	utilization   float64
	utilizationAt time.Time
	// meanEvictionIdle is the moving average of the idle time of evicted keys.
	meanEvictionIdle time.Duration
}

// trackedRequest is a request that has not ended.
type trackedRequest struct {
	levels    []*wire.PrefixLevel
	recompute uint32
	// knownLevels is the number of levels that were held or being computed already.
	knownLevels int
	short       bool
	answering   bool
}

// NewLoadTracker returns the ledger of an engine's life.
func NewLoadTracker(incarnation uint64) *LoadTracker {
	l := &LoadTracker{index: prefix.NewIndex(maxTrackedKeys, holdingExpiry), requests: make(map[string]*trackedRequest)}
	l.Restart(incarnation)
	return l
}

// Restart begins another life of the engine, which holds and runs nothing.
func (l *LoadTracker) Restart(incarnation uint64) {
	l.incarnation = incarnation
	l.index.Close(l.engineID)
	l.engineID = l.index.Open()
	l.requests = make(map[string]*trackedRequest)
	l.computing = make(map[uint64]int)
	l.waiting, l.pendingPrefill, l.short, l.meanEvictionIdle = 0, 0, 0, 0
}

// Begin notes a request that the engine is about to be given. Its ID is unique
// among those that have not ended. It reports whether the request is short:
// the agent gives short requests a higher engine priority than long ones.
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
		l.short += q.recompute
	}
	l.recordHoldings(now, q)
	return q.short
}

// predictPrefill works out what a request must compute. One that needs a level which
// an earlier request computes is not short: it must run after that one.
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

// FirstToken notes that a request's prefill is done.
func (l *LoadTracker) FirstToken(now time.Time, id string) {
	q := l.requests[id]
	if q == nil || q.answering {
		return
	}
	q.answering = true
	l.removeWaiting(now, q)
	l.recordHoldings(now, q)
}

// End notes that a request has ended, whole or not.
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

// removeWaiting takes a request out of those that wait for their first token.
func (l *LoadTracker) removeWaiting(now time.Time, q *trackedRequest) {
	l.advance(now)
	l.waiting--
	l.pendingPrefill -= q.recompute
	if q.short {
		l.short -= q.recompute
	}
	for _, level := range q.levels[q.knownLevels:] {
		l.computing[level.Key]--
		if l.computing[level.Key] == 0 {
			delete(l.computing, level.Key)
		}
	}
}

// Events takes a batch of the engine's cache events, whose keys are level
// keys. It reports a gap; see prefix.Index.
func (l *LoadTracker) Events(now time.Time, ev prefix.Event) (gap bool) {
	for _, key := range ev.Evicted {
		l.observeEviction(now, key)
	}
	return l.index.Apply(now, 0, l.engineID, ev)
}

// Evicted notes that the engine does not hold a level any more, for agents that
// digest its events themselves.
func (l *LoadTracker) Evicted(key uint64) {
	l.observeEviction(l.utilizationAt, key)
	l.index.Evicted(0, key, l.engineID)
}

// observeEviction learns for how long the engine keeps a key that is not used.
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

// maxIdle returns the idle time up to which a key is reported as held: one that
// is about to be evicted would be gone when a request for it arrives.
func (l *LoadTracker) maxIdle() time.Duration {
	if l.meanEvictionIdle == 0 {
		return holdingExpiry
	}
	return time.Duration(heldIdleFraction * float64(l.meanEvictionIdle))
}

// Resync repairs a gap: held lists the keys that the engine says it holds.
// Levels that waiting requests compute are kept.
func (l *LoadTracker) Resync(now time.Time, held []uint64) {
	for key := range l.computing {
		held = append(held, key)
	}
	l.index.Resync(now, 0, l.engineID, held)
}

// Load returns a load report as of now.
func (l *LoadTracker) Load(now time.Time) *wire.Load {
	l.advance(now)
	held := l.index.Held(now, l.engineID, l.maxIdle(), nil)
	return &wire.Load{
		Running:             uint32(len(l.requests) - l.waiting),
		Waiting:             uint32(l.waiting),
		QueuedPrefillTokens: l.pendingPrefill,
		QueuedShortTokens:   l.short,
		EngineIncarnation:   l.incarnation,
		Held:                prefix.NewFilter(held).Marshal(),
		BusyPermille:        uint32(1000 * l.utilization),
	}
}

// advance brings the utilization up to now.
func (l *LoadTracker) advance(now time.Time) {
	sample := 0.0
	if l.waiting > 0 {
		sample = 1
	}
	age := max(0, now.Sub(l.utilizationAt))
	l.utilization = sample + (l.utilization-sample)*math.Exp(-age.Seconds()/utilizationTimeConstant.Seconds())
	l.utilizationAt = now
}

// knownLevels returns the number of levels that the engine probably holds or
// computes.
func (l *LoadTracker) knownLevels(now time.Time, levels []*wire.PrefixLevel) int {
	for i := len(levels); i > 0; i-- {
		l.holdings = l.index.Holders(now, 0, levels[i-1].Key, l.holdings[:0])
		if len(l.holdings) > 0 {
			return i
		}
	}
	return 0
}

// recordHoldings notes the levels that other requests may share.
func (l *LoadTracker) recordHoldings(now time.Time, q *trackedRequest) {
	for i, level := range q.levels {
		if i == 0 || i < len(q.levels)-1 {
			l.index.Stored(now, 0, level.Key, l.engineID)
		}
	}
}
