// Package holdings tracks which levels of prompts an engine holds in its prefix
// cache. A level is a prefix of a prompt. A prompt has several levels, each of which
// extends the preceding one.
//
// The package derives the held levels from the requests that the engine has
// computed and from its cache events. Each level has an expiry time. The package
// does no I/O, and its types are not safe for concurrent use.
package holdings

import (
	"container/list"
	"slices"
	"time"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/wire"
)

// Limits limit the memory and the retention times of an Index.
type Limits struct {
	// TTL is how long a level counts as held after its last use, unless an event
	// reports its eviction earlier.
	TTL time.Duration
	// MaxLevels is the maximum number of levels in the index.
	MaxLevels int
	// MaxRequests is the maximum number of requests that are kept to be matched with
	// later events.
	MaxRequests int
	// GapRetries is how many times missing events are requested again.
	GapRetries int
}

// DefaultLimits returns the default limits of an Index.
func DefaultLimits() Limits {
	return Limits{TTL: 10 * time.Second, MaxLevels: 1 << 15, MaxRequests: 1 << 12, GapRetries: 5}
}

// Owner identifies the owner of cached state. The state of one owner is never
// reported or exported as that of another.
type Owner struct {
	Account        string
	Model          string
	WeightsVersion string
	Adapter        string
	CacheSalt      string
}

// RequestKey identifies an attempt in cache events.
type RequestKey struct {
	ID      string
	Attempt uint32
}

// Level is one level of a prompt that the engine holds.
type Level struct {
	// Key is the chained hash of this level and all levels before it.
	Key   uint64
	Owner Owner
	// Tokens is the router's estimate of the number of tokens up to the end of the
	// level.
	Tokens uint32
	// Block is the last cache block of the level. It is empty until an event names
	// it.
	Block string

	// parent is the key of the preceding level of the prompt, or 0 for the first.
	parent uint64
	// blocks are the known cache blocks of the level.
	blocks  []string
	expires time.Time
	// lru is the list element in Index.lru.
	lru *list.Element
}

// Index holds the known contents of the prefix cache of one engine incarnation.
type Index struct {
	limits Limits
	levels map[uint64]*Level
	// lru holds the levels, the most recently used first.
	lru *list.List
	// blocks maps each known cache block to the key of its level.
	blocks   map[string]uint64
	requests map[RequestKey]promptLevels
	// requestOrder holds the keys of requests, oldest first.
	requestOrder []RequestKey
	// earlyEvents holds the stored events whose request has not been added yet.
	earlyEvents  []dialect.Event
	nextSequence uint64
	// gapRetries counts the requests for the events that are missing now.
	gapRetries int
	onDrop     func(key uint64)
	// LostEvents counts the events that could not be read.
	LostEvents uint64
}

// promptLevels is the data of a request that is needed to match a stored event
// with levels.
type promptLevels struct {
	levels []*wire.PrefixLevel
	// scale converts token counts of the router to those of the engine.
	scale float64
}

// New returns an empty index.
func New(limits Limits) *Index {
	ix := &Index{limits: limits}
	ix.Reset()
	return ix
}

// Reset removes all data. It is called at the start of an engine incarnation.
func (ix *Index) Reset() {
	if ix.onDrop != nil {
		for key := range ix.levels {
			ix.onDrop(key)
		}
	}
	ix.levels = map[uint64]*Level{}
	ix.lru = list.New()
	ix.blocks = map[string]uint64{}
	ix.requests = map[RequestKey]promptLevels{}
	ix.requestOrder = nil
	ix.earlyEvents = nil
	ix.nextSequence = 1
	ix.gapRetries = 0
}

// AddPrompt records that the engine has the prompt of a request in its cache. The
// token counts of levels are estimates of the router. AddPrompt scales them by the
// ratio of engineTokens to estimatedTokens, the token counts of the whole prompt.
func (ix *Index) AddPrompt(now time.Time, owner Owner, key RequestKey, levels []*wire.PrefixLevel, engineTokens, estimatedTokens uint32) {
	if len(levels) == 0 {
		return
	}
	scale := 1.0
	if engineTokens > 0 && estimatedTokens > 0 {
		scale = float64(engineTokens) / float64(estimatedTokens)
	}
	var parent uint64
	for _, l := range levels {
		ix.addLevel(now, owner, l, parent)
		parent = l.Key
	}
	ix.addRequest(key, promptLevels{levels: levels, scale: scale})
	ix.applyEarly(key)
}

// maxEarlyEvents limits the stored events that are kept for requests whose
// response head has not arrived yet.
const maxEarlyEvents = 64

// keepEarly keeps a stored event until AddPrompt adds its request. At the limit it
// drops the oldest event.
func (ix *Index) keepEarly(e *dialect.Event) {
	if len(ix.earlyEvents) == maxEarlyEvents {
		ix.earlyEvents = ix.earlyEvents[1:]
	}
	ix.earlyEvents = append(ix.earlyEvents, *e)
}

// applyEarly applies the stored events that arrived before the request was added.
func (ix *Index) applyEarly(key RequestKey) {
	for i := 0; i < len(ix.earlyEvents); i++ {
		e := ix.earlyEvents[i]
		if (RequestKey{e.RequestID, e.Attempt}) == key {
			ix.earlyEvents = slices.Delete(ix.earlyEvents, i, i+1)
			i--
			ix.applyStored(&e)
		}
	}
}

// dropEarly drops the early events that contain a removed block.
func (ix *Index) dropEarly(block string) {
	ix.earlyEvents = slices.DeleteFunc(ix.earlyEvents, func(e dialect.Event) bool { return slices.Contains(e.Blocks, block) })
}

func (ix *Index) addLevel(now time.Time, owner Owner, l *wire.PrefixLevel, parent uint64) {
	held := ix.levels[l.Key]
	if held == nil {
		held = &Level{Key: l.Key}
		held.lru = ix.lru.PushFront(held)
		ix.levels[l.Key] = held
	}
	held.Owner, held.Tokens, held.parent = owner, l.Tokens, parent
	held.expires = now.Add(ix.limits.TTL)
	ix.lru.MoveToFront(held.lru)
	for len(ix.levels) > ix.limits.MaxLevels {
		ix.removeLevel(ix.lru.Back().Value.(*Level))
	}
}

func (ix *Index) addRequest(key RequestKey, r promptLevels) {
	if _, ok := ix.requests[key]; !ok {
		if len(ix.requestOrder) == ix.limits.MaxRequests {
			delete(ix.requests, ix.requestOrder[0])
			ix.requestOrder = ix.requestOrder[1:]
		}
		ix.requestOrder = append(ix.requestOrder, key)
	}
	ix.requests[key] = r
}

// OnDrop sets a function that is called with the key of each level that is removed
// from the index.
func (ix *Index) OnDrop(f func(key uint64)) { ix.onDrop = f }

func (ix *Index) removeLevel(l *Level) {
	if ix.onDrop != nil {
		ix.onDrop(l.Key)
	}
	ix.lru.Remove(l.lru)
	delete(ix.levels, l.Key)
	for _, b := range l.blocks {
		if ix.blocks[b] == l.Key {
			delete(ix.blocks, b)
		}
	}
}

// NextSequence returns the sequence number of the next event to request.
func (ix *Index) NextSequence() uint64 { return ix.nextSequence }

// Apply applies a report of events. Events after a gap are not applied but
// requested again together with the missing ones: a missing removal would leave a
// level in the index that the engine does not hold. If the missing events can't be
// read, Apply resets the index and continues after them.
func (ix *Index) Apply(events *dialect.Events) {
	for i := range events.Events {
		e := &events.Events[i]
		if e.Sequence < ix.nextSequence {
			continue
		}
		if e.Sequence > ix.nextSequence && !ix.skipGap(events, e.Sequence) {
			return
		}
		ix.applyEvent(e)
		ix.nextSequence = e.Sequence + 1
		ix.gapRetries = 0
	}
	if events.Next > ix.nextSequence && ix.skipGap(events, events.Next) {
		ix.gapRetries = 0
	}
}

// skipGap resets the index and skips the missing events, if they can't be read any
// more or have been requested again GapRetries times. The missing events have the
// sequence numbers from nextSequence to before-1. skipGap reports whether it has
// skipped them.
func (ix *Index) skipGap(events *dialect.Events, before uint64) bool {
	ix.gapRetries++
	if events.Oldest <= ix.nextSequence && ix.gapRetries <= ix.limits.GapRetries {
		return false
	}
	lost := before - ix.nextSequence
	total := ix.LostEvents + lost
	ix.Reset()
	ix.LostEvents = total
	ix.nextSequence = before
	return true
}

func (ix *Index) applyEvent(e *dialect.Event) {
	switch e.Type {
	case dialect.EventStored:
		ix.applyStored(e)
	case dialect.EventRemoved:
		ix.applyRemoved(e)
	}
}

// applyStored assigns each stored block to the shortest level that contains it.
func (ix *Index) applyStored(e *dialect.Event) {
	if len(e.Tokens) != len(e.Blocks) {
		return
	}
	r, ok := ix.requests[RequestKey{e.RequestID, e.Attempt}]
	if !ok {
		ix.keepEarly(e)
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
		held := ix.levels[r.levels[level].Key]
		if held == nil {
			continue
		}
		held.blocks = append(held.blocks, b)
		held.Block = b
		ix.blocks[b] = held.Key
	}
}

// applyRemoved removes the levels to which the removed blocks are assigned. Deeper
// levels of the same prompts are not held any more either, because Held requires
// all preceding levels.
func (ix *Index) applyRemoved(e *dialect.Event) {
	for _, b := range e.Blocks {
		ix.dropEarly(b)
		key, ok := ix.blocks[b]
		if !ok {
			continue
		}
		if held := ix.levels[key]; held != nil {
			ix.removeLevel(held)
		}
	}
}

// Held returns those keys whose level the engine holds together with all preceding
// levels.
func (ix *Index) Held(now time.Time, keys []uint64) []uint64 {
	var held []uint64
	for _, key := range keys {
		if ix.isHeld(now, key) {
			held = append(held, key)
		}
	}
	return held
}

// maxDepth is the maximum number of levels that isHeld follows to the first level
// of a prompt. A deeper level counts as not held.
const maxDepth = 1 << 10

func (ix *Index) isHeld(now time.Time, key uint64) bool {
	for range maxDepth {
		l := ix.levels[key]
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

// Find returns the level with the given key. It reports true if the engine holds
// the level, the level belongs to owner and its last block is known.
func (ix *Index) Find(now time.Time, owner Owner, key uint64) (Level, bool) {
	if !ix.isHeld(now, key) {
		return Level{}, false
	}
	l := ix.levels[key]
	return *l, l.Owner == owner && l.Block != ""
}
