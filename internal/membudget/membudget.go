// Package membudget limits the memory that a process takes for what many peers have sent in part. Limits on what one
// peer may send do not bound it: peers that send nearly as much, and then a byte now and then, hold it for as many
// requests as there are.
package membudget

import (
	"math"
	"runtime/debug"
	"sync/atomic"
)

// Budget is a number of bytes that many holds share. It is safe for concurrent use.
type Budget struct {
	limit int64
	taken atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// NewShare returns a budget that is a part of the Go runtime's memory limit, and of otherwise bytes if there is none.
func NewShare(share float64, otherwise int64) *Budget {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return New(otherwise)
	}
	return New(int64(share * float64(limit)))
}

// Taken returns the number of bytes that are taken.
func (b *Budget) Taken() int64 { return b.taken.Load() }

// take takes n bytes, and reports whether they were left.
func (b *Budget) take(n int64) bool {
	if b.taken.Add(n) <= b.limit {
		return true
	}
	b.taken.Add(-n)
	return false
}

// Hold returns a hold that covers free bytes without taking them: short messages are read whatever other peers send.
func (b *Budget) Hold(free int) *Hold { return &Hold{budget: b, free: int64(free)} }

// Hold is what one reader has taken of a budget. It is not safe for concurrent use. The zero value has no
// limit.
type Hold struct {
	budget *Budget
	// free is what needs not be taken, and taken what was.
	free, taken int64
}

// Cover takes so much that n bytes are covered, and reports whether it was left. If not, it takes nothing.
func (h *Hold) Cover(n int) bool {
	more := int64(n) - h.free - h.taken
	if h.budget == nil || more <= 0 {
		return true
	}
	if !h.budget.take(more) {
		return false
	}
	h.taken += more
	return true
}

// Shrink gives back what is more than n bytes need.
func (h *Hold) Shrink(n int) {
	if less := h.taken - max(0, int64(n)-h.free); h.budget != nil && less > 0 {
		h.budget.taken.Add(-less)
		h.taken -= less
	}
}

// Release gives back all that was taken.
func (h *Hold) Release() { h.Shrink(0) }
