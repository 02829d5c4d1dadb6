package forward

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// storeRetryDelay is the delay between two attempts to connect to a store.
const storeRetryDelay = 400 * time.Millisecond

// storeMonitor tracks which stores of cached state are up. It keeps an idle
// connection to each store, which ends when the store stops. Without it, an engine
// that requests state from a store that is down would lose several hundred
// milliseconds.
type storeMonitor struct {
	dialer net.Dialer

	mu sync.Mutex
	// watched holds the state of the declared stores by address.
	watched map[string]*watchedStore
}

// watchedStore is the state of one store.
type watchedStore struct {
	// cancel ends the goroutine that watches the store.
	cancel context.CancelFunc
	// up is set while the connection to the store is open.
	up bool
	// holdings is the content of the store as last reported.
	holdings prefix.Filter
}

func newStoreMonitor() *storeMonitor {
	return &storeMonitor{dialer: newDialer(), watched: map[string]*watchedStore{}}
}

// watchStores starts to monitor the stores that the route table of a view
// declares, and stops monitoring all others.
func (s *storeMonitor) watchStores(ctx context.Context, v *view.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared := map[string]bool{}
	for _, store := range v.Routes.CacheStores() {
		address := store.GetAddress()
		declared[address] = true
		if s.watched[address] == nil {
			watchCtx, cancel := context.WithCancel(ctx)
			w := &watchedStore{cancel: cancel}
			s.watched[address] = w
			go s.watch(watchCtx, address, w)
		}
	}
	for address, w := range s.watched {
		if !declared[address] {
			w.cancel()
			delete(s.watched, address)
		}
	}
}

// watch keeps a connection to a store until ctx ends.
func (s *storeMonitor) watch(ctx context.Context, address string, w *watchedStore) {
	for ctx.Err() == nil {
		conn, err := s.dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			connectedAt := time.Now()
			s.setState(address, w, true, nil)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			// No request is sent, so Read returns only when the connection ends.
			_, err = conn.Read(make([]byte, 1))
			stop()
			_ = conn.Close()
			if probe, dialErr := s.dialer.DialContext(ctx, "tcp", address); dialErr == nil {
				_ = probe.Close()
				// The store closed the idle connection, or sent something, but is up.
				backoff.Sleep(ctx, storeRetryDelay-time.Since(connectedAt))
				continue
			}
		}
		s.setState(address, w, false, err)
		backoff.Sleep(ctx, storeRetryDelay)
	}
}

// setHoldings records the contents of the stores as reported.
func (s *storeMonitor) setHoldings(reports []*wire.StoreHoldings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range reports {
		if w := s.watched[h.GetAddress()]; w != nil && !w.holdings.UnmarshalStore(h.GetHeld()) {
			w.holdings = nil // unknown
		}
	}
}

// holds reports whether, according to the last report, a store holds the prefix
// with the given key, as returned by prefix.Versioned.
func (s *storeMonitor) holds(address string, key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watched[address]
	return w != nil && w.holdings.Has(key)
}

// setState records whether a store is up, and logs a change. err is the reason
// why it is down.
func (s *storeMonitor) setState(address string, w *watchedStore, up bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.up == up {
		return
	}
	w.up = up
	event.CacheStoreChanged(address, up, err)
}

// homeStore returns the address of the store for all prompts whose first part has
// the given key, or an empty string if no store is up. It uses rendezvous hashing
// over the stores that are up, so that all routers select the same one.
func (s *storeMonitor) homeStore(v *view.Snapshot, key uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, highest := "", uint64(0)
	for _, store := range v.Routes.CacheStores() {
		address := store.GetAddress()
		if w := s.watched[address]; w == nil || !w.up {
			continue
		}
		if rank := xxhash.Sum64String(strconv.FormatUint(key, 16) + address); found == "" || rank > highest {
			found, highest = address, rank
		}
	}
	return found
}
