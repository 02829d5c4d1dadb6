package view

import (
	"context"
	"sync"
	"sync/atomic"
)

// Store holds the newest snapshot. It is safe for concurrent use, and its version
// never decreases.
type Store struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	// changed is closed and replaced when a newer snapshot is stored.
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

// Changed returns a channel that is closed when a newer snapshot is stored. Call
// Changed before Load to avoid missing a change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// WaitForVersion waits until the newest snapshot has at least the given version,
// such as the version in a command's result. It returns ctx.Err() if ctx ends
// first.
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

// replace stores next if it supersedes the current snapshot, and reports whether it
// did.
func (s *Store) replace(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !next.supersedes(s.current.Load()) {
		return false
	}
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}
