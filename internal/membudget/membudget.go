// Package membudget limits the memory that a process takes for what many peers have sent in part. Limits on what one
// peer may send do not bound it: peers that send nearly as much, and then a byte now and then, hold it for as many
// requests as there are.
package membudget

import (
	"math"
	"runtime/debug"
	"sync"
)

// Budget is a number of bytes that many holds share. A peer may take no more than what it leaves: faulty ones would
// otherwise leave nothing for what sound ones send. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu    sync.Mutex
	taken int64
	// takenBy is what was taken for each peer.
	takenBy map[string]int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, takenBy: map[string]int64{}} }

// NewShare returns a budget that is a part of the Go runtime's memory limit, and of otherwise bytes if there is none.
func NewShare(share float64, otherwise int64) *Budget {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return New(otherwise)
	}
	return New(int64(share * float64(limit)))
}

// Taken returns the number of bytes that are taken.
func (b *Budget) Taken() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}

// take takes n bytes for a peer, and reports whether they were left for it.
func (b *Budget) take(peer string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.takenBy[peer]+n > b.limit-b.taken-n {
		return false
	}
	b.taken += n
	b.takenBy[peer] += n
	return true
}

// giveBack gives back n bytes that were taken for a peer.
func (b *Budget) giveBack(peer string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken -= n
	if b.takenBy[peer] -= n; b.takenBy[peer] == 0 {
		delete(b.takenBy, peer)
	}
}

// Hold returns a hold for what a peer sends, which covers free bytes without taking them: short messages are read
// whatever other peers send.
func (b *Budget) Hold(peer string, free int) *Hold {
	return &Hold{budget: b, peer: peer, free: int64(free)}
}

// Hold is what one reader has taken of a budget. It is not safe for concurrent use. The zero value has no
// limit.
type Hold struct {
	budget *Budget
	peer   string
	// free is what needs not be taken, and taken what was.
	free, taken int64
}

// Cover takes so much that n bytes are covered, and reports whether it was left. If not, it takes nothing.
func (h *Hold) Cover(n int) bool {
	more := int64(n) - h.free - h.taken
	if h.budget == nil || more <= 0 {
		return true
	}
	if !h.budget.take(h.peer, more) {
		return false
	}
	h.taken += more
	return true
}

// Shrink gives back what is more than n bytes need.
func (h *Hold) Shrink(n int) {
	if less := h.taken - max(0, int64(n)-h.free); h.budget != nil && less > 0 {
		h.budget.giveBack(h.peer, less)
		h.taken -= less
	}
}

// Release gives back all that was taken.
func (h *Hold) Release() { h.Shrink(0) }
