package prefix

import (
	"slices"
	"time"
)

const (
	// maxHolders limits the number of engines remembered for one key.
	maxHolders = 8
	// gapGracePeriod is how long a holding remains valid after a gap in the
	// events of its engine, unless it has been confirmed since.
	gapGracePeriod = 2 * time.Second
)

// EngineID identifies one incarnation of an engine in an Index. A restarted
// engine gets a new ID, so that the holdings of the earlier incarnation are not
// attributed to it.
type EngineID uint32

// EventBatch is a batch of an engine's cache events.
type EventBatch struct {
	// Sequence is the number of the batch; the next batch has Sequence+1.
	Sequence uint64
	// Stored lists the keys of the levels that the engine stored.
	Stored []uint64
	// Evicted lists the keys of the levels that the engine evicted.
	Evicted []uint64
}

// Holding says that an engine holds a key.
type Holding struct {
	EngineID EngineID
	// Age is the time since the engine was last known to hold the key.
	Age time.Duration
}

// Index records which engines were last known to hold which keys. The number of
// keys is limited: a new key replaces the one not stored for the longest time.
// An Index is not safe for concurrent use.
type Index struct {
	// limit is the largest number of keys.
	limit int
	// expiry is how long a holding is valid without confirmation.
	expiry  time.Duration
	engines map[EngineID]*engineState
	// lastID is the ID that was added last.
	lastID EngineID
	// slots maps keys to indexes in entries.
	slots   map[slotKey]int32
	entries []entry
	// head is the most recently stored entry, and tail the least recently
	// stored one; none if there are no entries.
	head int32
	tail int32
	// origin is the origin of the times that nanos returns.
	origin time.Time
}

// slotKey is a key with its scope. The key alone does not suffice: it is a hash
// of what a caller sent, and a caller could make it collide.
type slotKey struct{ scope, key uint64 }

// engineState is what an Index has seen of an engine's events.
type engineState struct {
	// sequence is the number of the last batch of events.
	sequence uint64
	// gapAt is the time of the last gap in the events, as returned by nanos; 0
	// if there is none.
	gapAt int64
}

// entry records which engines hold one key.
type entry struct {
	slot slotKey
	// prev and next link the entries from the most recently to the least
	// recently stored one.
	prev, next int32
	// count is the number of holders in use.
	count   uint8
	holders [maxHolders]holder
}

type holder struct {
	engine EngineID
	// confirmedAt is when the holding was last confirmed, as returned by nanos.
	confirmedAt int64
	// usedAt is when Stored was last called for the holding, as
	// returned by nanos. Unlike confirmedAt, it is not changed by Resync.
	usedAt int64
}

// none is the index of no entry.
const none = int32(-1)

// nanos returns a time as the index keeps it: in nanoseconds by the steady clock, as the time
// of day may jump. It is never 0.
func (x *Index) nanos(now time.Time) int64 {
	if x.origin.IsZero() {
		x.origin = now.Add(-1)
	}
	return int64(now.Sub(x.origin))
}

// NewIndex returns an index of at most limit keys. A holding expires if it is
// not confirmed within the given time.
func NewIndex(limit int, expiry time.Duration) *Index {
	return &Index{
		limit:   max(1, limit),
		expiry:  expiry,
		engines: make(map[EngineID]*engineState),
		slots:   make(map[slotKey]int32),
		head:    none,
		tail:    none,
	}
}

// AddEngine adds an incarnation of an engine, which holds nothing yet.
func (x *Index) AddEngine() EngineID {
	x.lastID++
	x.engines[x.lastID] = &engineState{}
	return x.lastID
}

// RemoveEngine removes an incarnation of an engine; its holdings are no longer
// valid.
func (x *Index) RemoveEngine(id EngineID) { delete(x.engines, id) }

// Len returns the number of keys in the index.
func (x *Index) Len() int { return len(x.slots) }

// Stored records that the engine held the key at the given time.
func (x *Index) Stored(now time.Time, scope, key uint64, id EngineID) {
	if _, known := x.engines[id]; !known {
		return
	}
	e := x.touch(slotKey{scope, key})
	at := x.nanos(now)
	oldest := 0
	for i := range e.holders[:e.count] {
		if e.holders[i].engine == id {
			e.holders[i].confirmedAt = max(e.holders[i].confirmedAt, at)
			e.holders[i].usedAt = e.holders[i].confirmedAt
			return
		}
		if e.holders[i].confirmedAt < e.holders[oldest].confirmedAt {
			oldest = i
		}
	}
	if int(e.count) < maxHolders {
		oldest = int(e.count)
		e.count++
	}
	e.holders[oldest] = holder{engine: id, confirmedAt: at, usedAt: at}
}

// Idle returns how long ago the engine last used a key that it holds. It
// returns false if the engine is not known to hold the key.
func (x *Index) Idle(now time.Time, scope, key uint64, id EngineID) (time.Duration, bool) {
	i, known := x.slots[slotKey{scope, key}]
	if !known {
		return 0, false
	}
	e := &x.entries[i]
	for _, h := range e.holders[:e.count] {
		if h.engine == id {
			return time.Duration(x.nanos(now) - h.usedAt), true
		}
	}
	return 0, false
}

// Evicted records that the engine no longer holds the key.
func (x *Index) Evicted(scope, key uint64, id EngineID) {
	i, known := x.slots[slotKey{scope, key}]
	if !known {
		return
	}
	e := &x.entries[i]
	for j := range e.holders[:e.count] {
		if e.holders[j].engine == id {
			e.count--
			e.holders[j] = e.holders[e.count]
			return
		}
	}
}

// Apply applies a batch of an engine's events. It reports whether earlier
// batches are missing. Evictions may then have been lost: what is known about
// the engine remains valid only for gapGracePeriod, and the caller should ask
// the engine what it holds and call Resync.
func (x *Index) Apply(now time.Time, scope uint64, id EngineID, ev EventBatch) (gap bool) {
	state, known := x.engines[id]
	if !known || ev.Sequence <= state.sequence {
		return false
	}
	gap = ev.Sequence != state.sequence+1
	state.sequence = ev.Sequence
	if gap {
		state.gapAt = x.nanos(now)
	}
	for _, key := range ev.Stored {
		x.Stored(now, scope, key, id)
	}
	for _, key := range ev.Evicted {
		x.Evicted(scope, key, id)
	}
	return gap
}

// Resync replaces what is known about an engine by the keys that it says it
// holds, to repair a gap in its events. Keys that are not in the index are not
// added.
func (x *Index) Resync(now time.Time, scope uint64, id EngineID, held []uint64) {
	state, known := x.engines[id]
	if !known {
		return
	}
	state.gapAt = 0
	for i := x.head; i != none; i = x.entries[i].next {
		if e := &x.entries[i]; e.slot.scope == scope {
			e.resync(id, slices.Contains(held, e.slot.key), x.nanos(now))
		}
	}
}

// resync confirms the holding of one engine if held is set, and removes it
// otherwise.
func (e *entry) resync(id EngineID, held bool, at int64) {
	for j := range e.holders[:e.count] {
		if e.holders[j].engine != id {
			continue
		}
		if held {
			e.holders[j].confirmedAt = at
			return
		}
		e.count--
		e.holders[j] = e.holders[e.count]
		return
	}
}

// Holders appends the valid holdings of the key to dst and returns it.
func (x *Index) Holders(now time.Time, scope, key uint64, dst []Holding) []Holding {
	i, known := x.slots[slotKey{scope, key}]
	if !known {
		return dst
	}
	e := &x.entries[i]
	at := x.nanos(now)
	for _, h := range e.holders[:e.count] {
		if x.valid(at, h) {
			dst = append(dst, Holding{EngineID: h.engine, Age: time.Duration(at - h.confirmedAt)})
		}
	}
	return dst
}

// Held appends the keys that the engine holds and has used within maxIdle to
// dst and returns it. The most recently stored key is first.
func (x *Index) Held(now time.Time, id EngineID, maxIdle time.Duration, dst []uint64) []uint64 {
	at := x.nanos(now)
	for i := x.head; i != none; i = x.entries[i].next {
		e := &x.entries[i]
		for _, h := range e.holders[:e.count] {
			if h.engine == id && at-h.usedAt <= int64(maxIdle) && x.valid(at, h) {
				dst = append(dst, e.slot.key)
			}
		}
	}
	return dst
}

// valid reports whether a holding is valid: the engine incarnation has not
// been removed, the holding has not expired, and no gap in the events has made
// it doubtful.
func (x *Index) valid(at int64, h holder) bool {
	state, known := x.engines[h.engine]
	if !known || at-h.confirmedAt > int64(x.expiry) {
		return false
	}
	return h.confirmedAt >= state.gapAt || at-state.gapAt <= int64(gapGracePeriod)
}

// touch returns the entry of a slot and makes it the most recently stored one.
// If there is none, it creates the entry or reuses the least recently stored
// one.
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
