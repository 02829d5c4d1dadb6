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

// storeRetry is the pause between two attempts to reach a store.
const storeRetry = 400 * time.Millisecond

// stores knows which stores of cached state are up: it keeps an idle connection
// to each, which ends when the store does. A store that is down costs an engine
// that asks it some hundred milliseconds.
type stores struct {
	dialer net.Dialer

	mu      sync.Mutex
	watched map[string]*watchedStore
}

type watchedStore struct {
	cancel context.CancelFunc
	up     bool
	// held is what the store holds, as last told.
	held prefix.Filter
}

func newStores() *stores {
	return &stores{dialer: newDialer(), watched: map[string]*watchedStore{}}
}

// follow watches the stores that the route table declares, and no others.
func (s *stores) follow(ctx context.Context, v *view.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared := map[string]bool{}
	for _, store := range v.Routes.Stores() {
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
func (s *stores) watch(ctx context.Context, address string, w *watchedStore) {
	for ctx.Err() == nil {
		conn, err := s.dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			s.set(address, w, true, nil)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			// Nothing is asked, so that a read ends only with the connection.
			_, err = conn.Read(make([]byte, 1))
			stop()
			_ = conn.Close()
			if probe, dialErr := s.dialer.DialContext(ctx, "tcp", address); dialErr == nil {
				_ = probe.Close()
				continue // an idle connection was closed; the store is there
			}
		}
		s.set(address, w, false, err)
		backoff.Sleep(ctx, storeRetry)
	}
}

// take takes what the stores hold.
func (s *stores) take(holdings []*wire.StoreHoldings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range holdings {
		if w := s.watched[h.GetAddress()]; w != nil && !w.held.UnmarshalStore(h.GetHeld()) {
			w.held = nil // not known
		}
	}
}

// holds reports whether a store is known to hold a part, by the key of
// prefix.Versioned.
func (s *stores) holds(address string, key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watched[address]
	return w != nil && w.held.Has(key)
}

func (s *stores) set(address string, w *watchedStore, up bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.up == up {
		return
	}
	w.up = up
	event.CacheStoreChanged(address, up, err)
}

// home returns the address of the store that keeps what begins with a part: the
// first of those up in the rendezvous order of the part's key, so that all routers
// look for it in one place; empty for none.
func (s *stores) home(v *view.Snapshot, key uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, highest := "", uint64(0)
	for _, store := range v.Routes.Stores() {
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
