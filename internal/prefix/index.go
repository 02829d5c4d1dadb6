package prefix

import (
	"slices"
	"time"
)

const (
	// maxHolders bounds the engines remembered for one key.
	maxHolders = 8
	// gapTrust is how long a holding counts after a gap in the events of its
	// engine, when nothing has confirmed it since.
	gapTrust = 2 * time.Second
)

// EngineID is one life of one engine in an Index. A restarted engine gets another
// EngineID, so what an earlier life held can't be named any more.
type EngineID uint32

// Event is a batch of an engine's cache events.
type Event struct {
	// Sequence is the number of the batch; the next one has Sequence+1.
	Sequence uint64
	// Stored and Evicted are level keys.
	Stored, Evicted []uint64
}

// Holding is what is known of a key at one engine.
type Holding struct {
	EngineID EngineID
	// Age is the time since the engine was last known to hold the key.
	Age time.Duration
}

// Index keeps which engines were last seen to hold which keys. It is bounded:
// the keys longest unseen give way. It is not safe for concurrent use.
type Index struct {
	limit   int
	expiry  time.Duration
	lives   map[EngineID]*life
	next    EngineID
	slots   map[slotKey]int32
	entries []entry
	head    int32
	tail    int32
}

// slotKey holds the scope beside the key: a key alone is a hash of what a
// caller sent, and a caller could make it collide.
type slotKey struct{ scope, key uint64 }

type life struct {
	sequence uint64
	// gapAt is the time of the last gap in the events, Unix nanoseconds.
	gapAt int64
}

type entry struct {
	slot       slotKey
	prev, next int32
	count      uint8
	holders    [maxHolders]holder
}

type holder struct {
	life EngineID
	// seen is when the holding was last confirmed, and used when it was last
	// stored or read, Unix nanoseconds.
	seen, used int64
}

const none = int32(-1)

// NewIndex returns an index of at most limit keys, whose holdings expire after
// the given time without confirmation.
func NewIndex(limit int, expiry time.Duration) *Index {
	return &Index{
		limit:  max(1, limit),
		expiry: expiry,
		lives:  make(map[EngineID]*life),
		slots:  make(map[slotKey]int32),
		head:   none,
		tail:   none,
	}
}

// Open begins a life of an engine.
func (x *Index) Open() EngineID {
	x.next++
	x.lives[x.next] = &life{}
	return x.next
}

// Close ends a life: its holdings count no more.
func (x *Index) Close(l EngineID) { delete(x.lives, l) }

// Len returns the number of keys held.
func (x *Index) Len() int { return len(x.slots) }

// Stored records that the engine held the key at the given time.
func (x *Index) Stored(now time.Time, scope, key uint64, l EngineID) {
	if _, alive := x.lives[l]; !alive {
		return
	}
	e := x.touch(slotKey{scope, key})
	at := now.UnixNano()
	oldest := 0
	for i := range e.holders[:e.count] {
		if e.holders[i].life == l {
			e.holders[i].seen = max(e.holders[i].seen, at)
			e.holders[i].used = e.holders[i].seen
			return
		}
		if e.holders[i].seen < e.holders[oldest].seen {
			oldest = i
		}
	}
	if int(e.count) < maxHolders {
		oldest = int(e.count)
		e.count++
	}
	e.holders[oldest] = holder{life: l, seen: at, used: at}
}

// Idle returns how long ago the engine last used a key that it holds.
func (x *Index) Idle(now time.Time, scope, key uint64, l EngineID) (time.Duration, bool) {
	i, known := x.slots[slotKey{scope, key}]
	if !known {
		return 0, false
	}
	e := &x.entries[i]
	for _, h := range e.holders[:e.count] {
		if h.life == l {
			return time.Duration(now.UnixNano() - h.used), true
		}
	}
	return 0, false
}

// Evicted records that the engine does not hold the key.
func (x *Index) Evicted(scope, key uint64, l EngineID) {
	i, known := x.slots[slotKey{scope, key}]
	if !known {
		return
	}
	e := &x.entries[i]
	for j := range e.holders[:e.count] {
		if e.holders[j].life == l {
			e.count--
			e.holders[j] = e.holders[e.count]
			return
		}
	}
}

// Apply takes a batch of events. It reports a gap when batches before it are
// missing: evictions may have been lost, so what was known of the engine
// counts only a little longer, and the caller should ask the engine again.
func (x *Index) Apply(now time.Time, scope uint64, l EngineID, ev Event) (gap bool) {
	state, alive := x.lives[l]
	if !alive || ev.Sequence <= state.sequence {
		return false
	}
	gap = ev.Sequence != state.sequence+1
	state.sequence = ev.Sequence
	if gap {
		state.gapAt = now.UnixNano()
	}
	for _, key := range ev.Stored {
		x.Stored(now, scope, key, l)
	}
	for _, key := range ev.Evicted {
		x.Evicted(scope, key, l)
	}
	return gap
}

// Resync replaces what is known of an engine by what it says it holds, as the
// repair of a gap. Keys that are not in the index stay out of it.
func (x *Index) Resync(now time.Time, scope uint64, l EngineID, held []uint64) {
	state, alive := x.lives[l]
	if !alive {
		return
	}
	state.gapAt = 0
	for i := x.head; i != none; i = x.entries[i].next {
		if e := &x.entries[i]; e.slot.scope == scope {
			e.restate(l, slices.Contains(held, e.slot.key), now.UnixNano())
		}
	}
}

// restate confirms or removes the holding of one engine.
func (e *entry) restate(l EngineID, held bool, at int64) {
	for j := range e.holders[:e.count] {
		if e.holders[j].life != l {
			continue
		}
		if held {
			e.holders[j].seen = at
			return
		}
		e.count--
		e.holders[j] = e.holders[e.count]
		return
	}
}

// Holders appends the engines that hold the key to dst.
func (x *Index) Holders(now time.Time, scope, key uint64, dst []Holding) []Holding {
	i, known := x.slots[slotKey{scope, key}]
	if !known {
		return dst
	}
	e := &x.entries[i]
	at := now.UnixNano()
	for _, h := range e.holders[:e.count] {
		if x.counts(at, h) {
			dst = append(dst, Holding{EngineID: h.life, Age: time.Duration(at - h.seen)})
		}
	}
	return dst
}

// Held appends the keys that the engine holds and has used within maxIdle to
// dst, the newest first.
func (x *Index) Held(now time.Time, l EngineID, maxIdle time.Duration, dst []uint64) []uint64 {
	at := now.UnixNano()
	for i := x.head; i != none; i = x.entries[i].next {
		e := &x.entries[i]
		for _, h := range e.holders[:e.count] {
			if h.life == l && at-h.used <= int64(maxIdle) && x.counts(at, h) {
				dst = append(dst, e.slot.key)
			}
		}
	}
	return dst
}

// counts tells whether a holding may still be relied on.
func (x *Index) counts(at int64, h holder) bool {
	state, alive := x.lives[h.life]
	if !alive || at-h.seen > int64(x.expiry) {
		return false
	}
	return h.seen >= state.gapAt || at-state.gapAt <= int64(gapTrust)
}

// touch returns the entry of a slot, made when needed, as the newest.
func (x *Index) touch(slot slotKey) *entry {
	i, known := x.slots[slot]
	switch {
	case known:
		x.unlink(i)
	case len(x.entries) < x.limit:
		i = int32(len(x.entries))
		x.entries = append(x.entries, entry{slot: slot})
		x.slots[slot] = i
	default:
		i = x.tail
		x.unlink(i)
		delete(x.slots, x.entries[i].slot)
		x.entries[i] = entry{slot: slot}
		x.slots[slot] = i
	}
	x.pushFront(i)
	return &x.entries[i]
}

func (x *Index) unlink(i int32) {
	e := &x.entries[i]
	if e.prev == none {
		x.head = e.next
	} else {
		x.entries[e.prev].next = e.next
	}
	if e.next == none {
		x.tail = e.prev
	} else {
		x.entries[e.next].prev = e.prev
	}
}

func (x *Index) pushFront(i int32) {
	e := &x.entries[i]
	e.prev, e.next = none, x.head
	if x.head != none {
		x.entries[x.head].prev = i
	}
	x.head = i
	if x.tail == none {
		x.tail = i
	}
}
