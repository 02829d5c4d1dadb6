package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// eventsWait is how long an engine or store holds a question for cache events
	// until there are some, and eventsTimeout bounds the whole call.
	eventsWait    = 800 * time.Millisecond
	eventsTimeout = 2 * time.Second
	// eventsPause is the pause after a question that failed.
	eventsPause = 500 * time.Millisecond
	// minHeldTokens is the least length of a part that is worth telling routers of.
	minHeldTokens = 256
	// maxHeldParts bounds the parts remembered of one engine or store.
	maxHeldParts = 8192
	// engineHeld and storeHeld bound the parts in the digest of one engine or store:
	// those stored last.
	engineHeld = 64
	storeHeld  = 768
	// maxSources bounds the engines and stores whose events are followed: each takes a
	// connection and some 20 kB of the leader's memory. What the others hold is not
	// known but by the rank of a prompt.
	maxSources = 256
	// holdingsInterval is the time between two digests with holdings.
	holdingsInterval = time.Second
)

// holdings follows the cache events of one engine or store.
type holdings struct {
	mu sync.Mutex
	// parts holds when each part was stored last, by a running number.
	parts  map[uint64]uint64
	number uint64
	epoch  uint64
	next   uint64
	cancel context.CancelFunc
}

// take applies a batch of events. A gap or a new life leaves what is unknown out.
func (h *holdings) take(batch *fleet.CacheEvents) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if batch.Epoch != h.epoch || batch.Lost {
		h.parts = map[uint64]uint64{}
		h.epoch = batch.Epoch
	}
	for _, e := range batch.Events {
		if e.Stored && e.Tokens >= minHeldTokens {
			h.number++
			h.parts[e.Key] = h.number
		} else {
			delete(h.parts, e.Key)
		}
	}
	if len(h.parts) > maxHeldParts {
		h.parts = map[uint64]uint64{} // told anew as it changes
	}
	h.next = batch.Next
}

// newest returns at most n of the keys held, those stored last.
func (h *holdings) newest(n int) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := make([]uint64, 0, len(h.parts))
	for key := range h.parts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return int(h.parts[b]) - int(h.parts[a]) })
	return keys[:min(n, len(keys))]
}

// holdingsBoard follows all engines without an agent and all stores.
type holdingsBoard struct {
	engines EngineClient

	mu   sync.Mutex
	open map[fleet.CacheSource]*holdings
}

func newHoldingsBoard(engines EngineClient) *holdingsBoard {
	return &holdingsBoard{engines: engines, open: map[fleet.CacheSource]*holdings{}}
}

// follow makes the board follow these sources and no others.
func (b *holdingsBoard) follow(ctx context.Context, sources []fleet.CacheSource) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := map[fleet.CacheSource]bool{}
	for _, source := range sources {
		wanted[source] = true
	}
	for source, h := range b.open {
		if !wanted[source] {
			h.cancel()
			delete(b.open, source)
		}
	}
	for _, source := range sources {
		if b.open[source] == nil {
			sourceCtx, cancel := context.WithCancel(ctx)
			h := &holdings{parts: map[uint64]uint64{}, cancel: cancel}
			b.open[source] = h
			go b.run(sourceCtx, source, h)
		}
	}
}

// run asks one source for its events until ctx ends.
func (b *holdingsBoard) run(ctx context.Context, source fleet.CacheSource, h *holdings) {
	failing := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, eventsTimeout)
		batch, err := b.engines.Events(callCtx, source, h.next, eventsWait)
		cancel()
		if err == nil {
			failing = false
			h.take(batch)
			continue
		}
		if !failing && ctx.Err() == nil {
			failing = true
			event.CacheEventsUnreachable(source.Address, err)
		}
		backoff.Sleep(ctx, eventsPause)
	}
}

// held returns the filter of what a source holds; nil when it isn't followed.
func (b *holdingsBoard) held(source fleet.CacheSource, most int) []byte {
	b.mu.Lock()
	h := b.open[source]
	b.mu.Unlock()
	if h == nil {
		return nil
	}
	return prefix.NewFilterWithLimit(h.newest(most), most).Marshal()
}

// sourcesOf returns the stores of a view and its engines without an agent, at most
// maxSources in all.
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
