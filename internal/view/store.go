package view

import (
	"context"
	"sync"
	"sync/atomic"
)

// Store hands out the newest snapshot. It is safe for concurrent use, and never
// goes back to an older version.
type Store struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	changed chan struct{}
}

// NewStore returns a store that holds the empty view.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.current.Store(Empty())
	return s
}

// Load returns the newest snapshot.
func (s *Store) Load() *Snapshot { return s.current.Load() }

// Changed returns a channel that is closed once a snapshot newer than the
// present one is there. Take the channel first, then Load.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// WaitForVersion returns once the newest snapshot has at least a version, as one that a
// command's result names. It returns the context's error if that ends first.
func (s *Store) WaitForVersion(ctx context.Context, version uint64) error {
	for {
		changed := s.Changed()
		if s.Load().Version >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// replace takes over next and reports whether it is newer than the present one.
func (s *Store) replace(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Version <= s.current.Load().Version {
		return false
	}
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}
