// Package holdings digests an engine's cache events into what an agent tells of
// its engine's prefix cache: the levels of prompts that it holds, each with an
// expiry. It is a state machine without I/O and not safe for concurrent use.
package holdings

import (
	"container/list"
	"slices"
	"time"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/wire"
)

// Limits bound a digest.
type Limits struct {
	// TTL is how long a level counts as held after its last use, unless an event
	// tells of its eviction before.
	TTL time.Duration
	// MaxLevels is the number of levels remembered.
	MaxLevels int
	// MaxRequests is the number of requests remembered for events yet to come.
	MaxRequests int
	// GapRetries is how often missing events are asked for again.
	GapRetries int
}

// DefaultLimits returns the limits that an agent uses.
func DefaultLimits() Limits {
	return Limits{TTL: 10 * time.Second, MaxLevels: 1 << 15, MaxRequests: 1 << 12, GapRetries: 5}
}

// Owner names whose cached state a level is. State of one owner is never told
// or handed out as that of another.
type Owner struct {
	Account        string
	Model          string
	WeightsVersion string
	Adapter        string
	CacheSalt      string
}

// RequestKey names an attempt as cache events do.
type RequestKey struct {
	ID      string
	Attempt uint32
}

// Level is one held level of a prompt.
type Level struct {
	Key    uint64
	Owner  Owner
	Tokens uint32
	// Block is the last cache block of the level; empty until an event named it.
	Block string

	parent  uint64
	blocks  []string
	expires time.Time
	recent  *list.Element
}

// Index is what is known of one engine life's prefix cache.
type Index struct {
	limits   Limits
	levels   map[uint64]*Level
	recent   *list.List
	blocks   map[string]uint64
	requests map[RequestKey]request
	order    []RequestKey
	early    []dialect.Event
	next     uint64
	retries  int
	onDrop   func(key uint64)
	// LostEvents counts events that could not be had again.
	LostEvents uint64
}

// request is what is needed to match a stored event with levels.
type request struct {
	levels []*wire.PrefixLevel
	scale  float64
}

// New returns an empty digest.
func New(limits Limits) *Index {
	d := &Index{limits: limits}
	d.Reset()
	return d
}

// Reset forgets everything, at the begin of an engine life.
func (d *Index) Reset() {
	if d.onDrop != nil {
		for key := range d.levels {
			d.onDrop(key)
		}
	}
	d.levels = map[uint64]*Level{}
	d.recent = list.New()
	d.blocks = map[string]uint64{}
	d.requests = map[RequestKey]request{}
	d.order = nil
	d.early = nil
	d.next = 1
	d.retries = 0
}

// AddPrompt notes that the engine has the prompt of a request in its cache. The
// level tokens are the router's estimate; engineTokens and estimatedTokens of
// the whole prompt scale them.
func (d *Index) AddPrompt(now time.Time, owner Owner, key RequestKey, levels []*wire.PrefixLevel, engineTokens, estimatedTokens uint32) {
	if len(levels) == 0 {
		return
	}
	scale := 1.0
	if engineTokens > 0 && estimatedTokens > 0 {
		scale = float64(engineTokens) / float64(estimatedTokens)
	}
	var parent uint64
	for _, l := range levels {
		d.hold(now, owner, l, parent)
		parent = l.Key
	}
	d.remember(key, request{levels: levels, scale: scale})
	d.takeEarly(key)
}

// maxEarly bounds the stored events kept for requests whose head is not here yet.
const maxEarly = 64

// keepEarly keeps a stored event until its request is known; the oldest give way.
func (d *Index) keepEarly(e *dialect.Event) {
	if len(d.early) == maxEarly {
		d.early = d.early[1:]
	}
	d.early = append(d.early, *e)
}

// takeEarly applies the stored events that came before their request was known.
func (d *Index) takeEarly(key RequestKey) {
	for i := 0; i < len(d.early); i++ {
		e := d.early[i]
		if (RequestKey{e.RequestID, e.Attempt}) == key {
			d.early = slices.Delete(d.early, i, i+1)
			i--
			d.stored(&e)
		}
	}
}

// dropEarly forgets the early events that name a removed block.
func (d *Index) dropEarly(block string) {
	d.early = slices.DeleteFunc(d.early, func(e dialect.Event) bool { return slices.Contains(e.Blocks, block) })
}

func (d *Index) hold(now time.Time, owner Owner, l *wire.PrefixLevel, parent uint64) {
	held := d.levels[l.Key]
	if held == nil {
		held = &Level{Key: l.Key}
		held.recent = d.recent.PushFront(held)
		d.levels[l.Key] = held
	}
	held.Owner, held.Tokens, held.parent = owner, l.Tokens, parent
	held.expires = now.Add(d.limits.TTL)
	d.recent.MoveToFront(held.recent)
	for len(d.levels) > d.limits.MaxLevels {
		d.drop(d.recent.Back().Value.(*Level))
	}
}

func (d *Index) remember(key RequestKey, r request) {
	if _, ok := d.requests[key]; !ok {
		if len(d.order) == d.limits.MaxRequests {
			delete(d.requests, d.order[0])
			d.order = d.order[1:]
		}
		d.order = append(d.order, key)
	}
	d.requests[key] = r
}

// OnDrop sets what is called with the key of each level that the engine is known
// not to hold any more.
func (d *Index) OnDrop(f func(key uint64)) { d.onDrop = f }

func (d *Index) drop(l *Level) {
	if d.onDrop != nil {
		d.onDrop(l.Key)
	}
	d.recent.Remove(l.recent)
	delete(d.levels, l.Key)
	for _, b := range l.blocks {
		if d.blocks[b] == l.Key {
			delete(d.blocks, b)
		}
	}
}

// NextSequence returns the sequence number from which events are to be asked for.
func (d *Index) NextSequence() uint64 { return d.next }

// Apply takes a report of events. Events after a gap are not applied but asked
// for again with the missing ones, because a missing removal would leave a level
// that is not held. When the gap can't be repaired all holdings are forgotten.
func (d *Index) Apply(events *dialect.Events) {
	for i := range events.Events {
		e := &events.Events[i]
		if e.Sequence < d.next {
			continue
		}
		if e.Sequence > d.next && !d.giveUp(events, e.Sequence) {
			return
		}
		d.apply(e)
		d.next = e.Sequence + 1
		d.retries = 0
	}
	if events.Next > d.next && d.giveUp(events, events.Next) {
		d.retries = 0
	}
}

// giveUp decides about the missing events from d.next to before: it reports
// false while they may still be had.
func (d *Index) giveUp(events *dialect.Events, before uint64) bool {
	d.retries++
	if events.Oldest <= d.next && d.retries <= d.limits.GapRetries {
		return false
	}
	lost := before - d.next
	total := d.LostEvents + lost
	d.Reset()
	d.LostEvents = total
	d.next = before
	return true
}

func (d *Index) apply(e *dialect.Event) {
	switch e.Type {
	case dialect.EventStored:
		d.stored(e)
	case dialect.EventRemoved:
		d.removed(e)
	}
}

// stored attaches blocks to the shortest level that contains them.
func (d *Index) stored(e *dialect.Event) {
	if len(e.Tokens) != len(e.Blocks) {
		return
	}
	r, ok := d.requests[RequestKey{e.RequestID, e.Attempt}]
	if !ok {
		d.keepEarly(e)
		return
	}
	level := 0
	for i, b := range e.Blocks {
		for level < len(r.levels) && float64(e.Tokens[i]) > float64(r.levels[level].Tokens)*r.scale {
			level++
		}
		if level == len(r.levels) {
			return
		}
		held := d.levels[r.levels[level].Key]
		if held == nil {
			continue
		}
		held.blocks = append(held.blocks, b)
		held.Block = b
		d.blocks[b] = held.Key
	}
}

// removed drops the levels that contain a removed block; deeper levels go with
// them, because Held looks at all levels before.
func (d *Index) removed(e *dialect.Event) {
	for _, b := range e.Blocks {
		d.dropEarly(b)
		key, ok := d.blocks[b]
		if !ok {
			continue
		}
		if held := d.levels[key]; held != nil {
			d.drop(held)
		}
	}
}

// Held returns those of the keys whose level the engine holds with all levels
// before it.
func (d *Index) Held(now time.Time, keys []uint64) []uint64 {
	var held []uint64
	for _, key := range keys {
		if d.holds(now, key) {
			held = append(held, key)
		}
	}
	return held
}

// maxDepth bounds the levels of one prompt.
const maxDepth = 1 << 10

func (d *Index) holds(now time.Time, key uint64) bool {
	for range maxDepth {
		l := d.levels[key]
		if l == nil || now.After(l.expires) {
			return false
		}
		if l.parent == 0 {
			return true
		}
		key = l.parent
	}
	return false
}

// Find returns the held level with key when it belongs to owner and its last
// block is known.
func (d *Index) Find(now time.Time, owner Owner, key uint64) (Level, bool) {
	if !d.holds(now, key) {
		return Level{}, false
	}
	l := d.levels[key]
	return *l, l.Owner == owner && l.Block != ""
}
