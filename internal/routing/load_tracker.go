package routing

import (
	"math"
	"time"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// ledgerKeys bounds the level keys that a LoadTracker remembers.
	ledgerKeys = 128
	// busyMemory is the time constant of the utilization.
	busyMemory = 2 * time.Second
	// keepsWeight is the weight of one eviction in the average idle time, and
	// keepsMargin the part of it up to which keys are reported as held.
	keepsWeight = 0.1
	keepsMargin = 0.7
	// shortWork is the prefill work up to which a request is short, in tokens.
	// Agents let short requests run before long ones.
	shortWork = 1500
)

// LoadTracker is an agent's account of its engine: what runs there, what waits for
// its first token, and which openings it holds. All requests of all routers
// pass through the agent, so its load reports don't lag like the engine's own.
// It is not safe for concurrent use.
type LoadTracker struct {
	incarnation uint64
	index       *prefix.Index
	life        prefix.EngineID
	holdings    []prefix.Holding
	requests    map[string]*ledgerRequest
	// computing counts the waiting requests that compute a level key.
	computing map[uint64]int
	waiting   int
	// pending is the predicted prefill work of those waiting, in tokens.
	pending uint32
	// short is the part of pending that belongs to short requests.
	short uint32
	// busy is the moving part of the time, up to busyAt, in which requests
	// waited for their first token.
	busy   float64
	busyAt time.Time
	// keeps is the moving average of the idle time of evicted keys.
	keeps time.Duration
}

// ledgerRequest is a request that has not ended.
type ledgerRequest struct {
	levels    []*wire.PrefixLevel
	recompute uint32
	// known is the number of levels that were held or being computed already.
	known     int
	short     bool
	answering bool
}

// NewLoadTracker returns the ledger of an engine's life.
func NewLoadTracker(incarnation uint64) *LoadTracker {
	l := &LoadTracker{index: prefix.NewIndex(ledgerKeys, holdingExpiry), requests: make(map[string]*ledgerRequest)}
	l.Restart(incarnation)
	return l
}

// Restart begins another life of the engine, which holds and runs nothing.
func (l *LoadTracker) Restart(incarnation uint64) {
	l.incarnation = incarnation
	l.index.Close(l.life)
	l.life = l.index.Open()
	l.requests = make(map[string]*ledgerRequest)
	l.computing = make(map[uint64]int)
	l.waiting, l.pending, l.short, l.keeps = 0, 0, 0, 0
}

// Begin notes a request that the engine is about to be given. Its ID is unique
// among those that have not ended. It reports whether the request is short:
// the agent gives short requests a higher engine priority than long ones.
func (l *LoadTracker) Begin(now time.Time, id string, levels []*wire.PrefixLevel) (short bool) {
	if q := l.requests[id]; q != nil {
		return q.short
	}
	q := &ledgerRequest{levels: levels}
	l.requests[id] = q
	l.advance(now)
	l.expect(now, q)
	l.waiting++
	l.pending += q.recompute
	if q.short {
		l.short += q.recompute
	}
	l.hold(now, q)
	return q.short
}

// expect works out what a request must compute. One that needs a level which
// an earlier request computes is not short: it must run after that one.
func (l *LoadTracker) expect(now time.Time, q *ledgerRequest) {
	q.known = l.known(now, q.levels)
	if len(q.levels) > 0 {
		q.recompute = q.levels[len(q.levels)-1].Tokens
	}
	q.short = true
	if q.known > 0 {
		deepest := q.levels[q.known-1]
		q.recompute -= deepest.Tokens
		q.short = l.computing[deepest.Key] == 0
	}
	q.short = q.short && q.recompute <= shortWork
	for _, level := range q.levels[q.known:] {
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
	l.unblock(now, q)
	l.hold(now, q)
}

// End notes that a request has ended, whole or not.
func (l *LoadTracker) End(now time.Time, id string) {
	q := l.requests[id]
	if q == nil {
		return
	}
	delete(l.requests, id)
	if q.answering {
		l.hold(now, q)
		return
	}
	l.unblock(now, q)
	for _, level := range q.levels[q.known:] {
		if l.computing[level.Key] == 0 {
			l.index.Evicted(0, level.Key, l.life)
		}
	}
}

// unblock takes a request out of those that wait for their first token.
func (l *LoadTracker) unblock(now time.Time, q *ledgerRequest) {
	l.advance(now)
	l.waiting--
	l.pending -= q.recompute
	if q.short {
		l.short -= q.recompute
	}
	for _, level := range q.levels[q.known:] {
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
	return l.index.Apply(now, 0, l.life, ev)
}

// Evicted notes that the engine does not hold a level any more, for agents that
// digest its events themselves.
func (l *LoadTracker) Evicted(key uint64) {
	l.observeEviction(l.busyAt, key)
	l.index.Evicted(0, key, l.life)
}

// observeEviction learns for how long the engine keeps a key that is not used.
func (l *LoadTracker) observeEviction(now time.Time, key uint64) {
	idle, known := l.index.Idle(now, 0, key, l.life)
	if !known {
		return
	}
	if l.keeps == 0 {
		l.keeps = idle
	}
	l.keeps += time.Duration(keepsWeight * float64(idle-l.keeps))
}

// maxIdle returns the idle time up to which a key is reported as held: one that
// is about to be evicted would be gone when a request for it arrives.
func (l *LoadTracker) maxIdle() time.Duration {
	if l.keeps == 0 {
		return holdingExpiry
	}
	return time.Duration(keepsMargin * float64(l.keeps))
}

// Resync repairs a gap: held lists the keys that the engine says it holds.
// Levels that waiting requests compute are kept.
func (l *LoadTracker) Resync(now time.Time, held []uint64) {
	for key := range l.computing {
		held = append(held, key)
	}
	l.index.Resync(now, 0, l.life, held)
}

// Load returns a load report as of now.
func (l *LoadTracker) Load(now time.Time) *wire.Load {
	l.advance(now)
	held := l.index.Held(now, l.life, l.maxIdle(), nil)
	return &wire.Load{
		Running:             uint32(len(l.requests) - l.waiting),
		Waiting:             uint32(l.waiting),
		QueuedPrefillTokens: l.pending,
		QueuedShortTokens:   l.short,
		EngineIncarnation:   l.incarnation,
		Held:                prefix.NewFilter(held).Marshal(),
		BusyPermille:        uint32(1000 * l.busy),
	}
}

// advance brings the utilization up to now.
func (l *LoadTracker) advance(now time.Time) {
	sample := 0.0
	if l.waiting > 0 {
		sample = 1
	}
	age := max(0, now.Sub(l.busyAt))
	l.busy = sample + (l.busy-sample)*math.Exp(-age.Seconds()/busyMemory.Seconds())
	l.busyAt = now
}

// known returns the number of levels that the engine probably holds or
// computes.
func (l *LoadTracker) known(now time.Time, levels []*wire.PrefixLevel) int {
	for i := len(levels); i > 0; i-- {
		l.holdings = l.index.Holders(now, 0, levels[i-1].Key, l.holdings[:0])
		if len(l.holdings) > 0 {
			return i
		}
	}
	return 0
}

// hold notes the levels that other requests may share.
func (l *LoadTracker) hold(now time.Time, q *ledgerRequest) {
	for i, level := range q.levels {
		if i == 0 || i < len(q.levels)-1 {
			l.index.Stored(now, 0, level.Key, l.life)
		}
	}
}
