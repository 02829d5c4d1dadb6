package control

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/wire"
)

const (
	// eventsPollWait is how long an engine or store waits for cache events before it
	// answers a request without any.
	eventsPollWait = 800 * time.Millisecond
	// eventsTimeout bounds a whole request for cache events.
	eventsTimeout = 2 * time.Second
	// eventsRetryDelay is the delay after a failed request, and after an answer that came
	// early and brought nothing new.
	eventsRetryDelay = 500 * time.Millisecond
	// minPartTokens is the minimum length of a part of a prompt that is reported to
	// routers as cached.
	minPartTokens = 256
	// maxPartsPerSource bounds the parts stored for one engine or store.
	maxPartsPerSource = 8192
	// engineFilterParts bounds the parts that a digest reports for one engine. The most
	// recently stored parts are included.
	engineFilterParts = 64
	// storeFilterParts bounds the parts that a digest reports for one store.
	storeFilterParts = 768
	// maxBackward is the number of batches in a row from before the position that are ignored. The position
	// of a source that goes on with them has gone back.
	maxBackward = 3
	// maxSources bounds the engines and stores whose events are followed. Each takes a
	// connection and about 20 kB of the leader's memory. The cache contents of other
	// engines are unknown; routers estimate them from an engine's rank in the
	// rendezvous hashing order of a prompt.
	maxSources = 256
	// cacheDigestInterval is the minimum time between two digests with cache contents. It
	// does not apply to a digest after which the current pass over all engines is not
	// complete: such a digest always has cache contents.
	cacheDigestInterval = time.Second
)

// cacheEventCounts counts the batches of cache events that this replica has read as the leader, and the
// events in them.
var cacheEventCounts = expvar.NewMap("control_cache_events")

// sourceCache is the cache content of one engine or store, as derived from its events.
type sourceCache struct {
	mu sync.Mutex
	// parts maps the key of each part to the sequence number of its last store.
	parts map[uint64]uint64
	// lastNumber is the last sequence number in parts.
	lastNumber uint64
	// epoch is the epoch of the last batch of events.
	epoch uint64
	// next is the position from which to request the next batch.
	next uint64
	// backward counts the last batches in a row that ended before next.
	backward int
	// cancel stops following the source.
	cancel context.CancelFunc
}

// apply applies a batch of events. After a gap or a restart of the source, earlier
// parts are dropped because their state is unknown. apply reports whether the position in the
// events has advanced. It ignores a batch that ends before the position: it is a late copy of an earlier response,
// and the response behind it would not repeat all events that follow the copy's.
func (c *sourceCache) apply(batch *fleet.CacheEvents) (advanced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	goesBack := batch.Epoch == c.epoch && batch.Next < c.next
	if goesBack && c.backward < maxBackward {
		c.backward++
		return false
	}
	c.backward = 0
	if batch.Epoch != c.epoch || batch.Lost || goesBack {
		c.parts = map[uint64]uint64{}
		c.epoch = batch.Epoch
	}
	for _, e := range batch.Events {
		if e.Stored && e.Tokens >= minPartTokens {
			c.lastNumber++
			c.parts[e.Key] = c.lastNumber
		} else {
			delete(c.parts, e.Key)
		}
	}
	if len(c.parts) > maxPartsPerSource {
		c.parts = map[uint64]uint64{} // filled again by later events
	}
	advanced = batch.Next > c.next
	c.next = batch.Next
	return advanced
}

// newest returns the keys of at most n parts, most recently stored first.
func (c *sourceCache) newest(n int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]uint64, 0, len(c.parts))
	for key := range c.parts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return int(c.parts[b]) - int(c.parts[a]) })
	return keys[:min(n, len(keys))]
}

// cacheTracker follows the cache events of engines without an agent and of stores.
type cacheTracker struct {
	engines EngineClient

	// turn holds a value while no source waits for its turn to request events.
	turn chan struct{}

	mu     sync.Mutex
	pace   eventPace
	caches map[fleet.CacheSource]*sourceCache
}

func newCacheTracker(engines EngineClient) *cacheTracker {
	t := &cacheTracker{engines: engines, turn: make(chan struct{}, 1), caches: map[fleet.CacheSource]*sourceCache{}}
	t.turn <- struct{}{}
	return t
}

// follow starts following the sources that are not followed yet, and stops following
// all others.
func (t *cacheTracker) follow(ctx context.Context, sources []fleet.CacheSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := map[fleet.CacheSource]bool{}
	for _, source := range sources {
		wanted[source] = true
	}
	for source, cache := range t.caches {
		if !wanted[source] {
			cache.cancel()
			delete(t.caches, source)
		}
	}
	for _, source := range sources {
		if t.caches[source] == nil {
			sourceCtx, cancel := context.WithCancel(ctx)
			cache := &sourceCache{parts: map[uint64]uint64{}, cancel: cancel}
			t.caches[source] = cache
			go t.run(sourceCtx, source, cache)
		}
	}
}

// run requests events from one source until ctx ends.
func (t *cacheTracker) run(ctx context.Context, source fleet.CacheSource, cache *sourceCache) {
	failing := false
	for {
		reserved, ok := t.awaitTurn(ctx)
		if !ok {
			return
		}
		asked, advanced, took := time.Now(), false, time.Duration(0)
		callCtx, cancel := context.WithTimeout(ctx, eventsTimeout)
		err := recovery.Call("cache events", func() error {
			batch, err := t.engines.Events(callCtx, source, cache.next, eventsPollWait)
			if err == nil {
				cacheEventCounts.Add("batches", 1)
				cacheEventCounts.Add("events", int64(len(batch.Events)))
				advanced, took = cache.apply(batch), batch.Took
			}
			return err
		})
		cancel()
		t.endTurn(reserved, took)
		if err == nil {
			failing = false
			if !advanced && time.Since(asked) < eventsPollWait {
				// A source that does not wait would be asked again without end.
				backoff.Sleep(ctx, eventsRetryDelay)
			}
			continue
		}
		if !failing && ctx.Err() == nil {
			failing = true
			event.CacheEventsUnreachable(source.Address, err)
		}
		backoff.Sleep(ctx, max(eventsRetryDelay, fault.From(err).RetryAfter))
	}
}

// awaitTurn waits until the next batch of events may be requested, and returns the cost that is reserved
// for it; false if ctx ends before.
func (t *cacheTracker) awaitTurn(ctx context.Context) (reserved time.Duration, ok bool) {
	select {
	case <-t.turn:
	case <-ctx.Done():
		return 0, false
	}
	defer func() { t.turn <- struct{}{} }()
	for ctx.Err() == nil {
		reserved, wait := t.reserve()
		if wait == 0 {
			return reserved, true
		}
		backoff.Sleep(ctx, wait) // meanwhile a batch may turn out to have taken longer
	}
	return 0, false
}

// reserve reserves the cost of a batch, or returns for how long to wait before.
func (t *cacheTracker) reserve() (reserved, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if wait := t.pace.wait(now); wait > 0 {
		return 0, wait
	}
	return t.pace.reserve(now), 0
}

// endTurn records how long the batch took for which a cost was reserved; 0 if none came.
func (t *cacheTracker) endTurn(reserved, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pace.done(reserved, took)
}

// filter returns the marshalled filter of at most limit parts cached at a source, or
// nil if the source is not followed.
func (t *cacheTracker) filter(source fleet.CacheSource, limit int) []byte {
	t.mu.Lock()
	cache := t.caches[source]
	t.mu.Unlock()
	if cache == nil {
		return nil
	}
	return prefix.NewFilterWithLimit(cache.newest(limit), limit).Marshal()
}

// sourcesOf returns all stores, followed by engines without an agent that are not
// suspected. Engines are added only while there are fewer than maxSources sources.
func sourcesOf(members []*wire.Member, stores []*wire.CacheStore) []fleet.CacheSource {
	var sources []fleet.CacheSource
	for _, store := range stores {
		sources = append(sources, storeSource(store))
	}
	for _, m := range members {
		if len(sources) >= maxSources {
			break
		}
		if b := m.GetBackend(); fleet.IsAgentlessEngine(b) && m.GetState() != wire.BackendState_BACKEND_STATE_SUSPECTED {
			sources = append(sources, engineSource(b))
		}
	}
	return sources
}

func engineSource(b *wire.Backend) fleet.CacheSource {
	return fleet.CacheSource{Address: b.GetAddress(), Backend: b.GetName()}
}

func storeSource(s *wire.CacheStore) fleet.CacheSource {
	return fleet.CacheSource{Address: s.GetAddress()}
}
