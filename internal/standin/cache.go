package standin

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/engine/dialect"
)

// bytesPerToken is the length of a prompt token in bytes.
const bytesPerToken = 4

// cache is a prefix cache with least-recently-used eviction. A block is
// identified by a chained hash, seeded with salt, model, weights version and
// adapter.
type cache struct {
	options Options

	mu sync.Mutex
	// blocks holds the elements of lru by block hash.
	blocks map[uint64]*list.Element
	// lru holds the cached blocks, the most recently used first.
	lru *list.List
	// events holds the last eventHistory events.
	events       []timedEvent
	nextSequence uint64
	random       *rand.Rand
}

// timedEvent is a cache event with what its first read depends on.
type timedEvent struct {
	dialect.Event
	// readableAt is when a reader first gets the event.
	readableAt time.Time
	// withheld leaves the event out of the next read that covers it.
	withheld bool
}

// block is one cached block.
type block struct {
	// hash is the chained hash of this block and all blocks before it.
	hash uint64
	// parent is the hash of the previous block of the prompt; for the first block
	// it is the hash of the seed.
	parent uint64
	// tokens is the length of the prompt up to the end of this block.
	tokens int
}

func newCache(options Options, incarnation uint64) *cache {
	return &cache{
		options:      options,
		blocks:       map[uint64]*list.Element{},
		lru:          list.New(),
		nextSequence: 1,
		random:       rand.New(rand.NewPCG(options.Seed, incarnation)),
	}
}

// chain returns the full blocks of a prompt; an incomplete block at the end is
// dropped. The chained hashes start from the hash of seed.
func (c *cache) chain(seed, prompt string) []block {
	size := c.options.BlockTokens * bytesPerToken
	blocks := make([]block, 0, len(prompt)/size)
	parent := xxhash.Sum64String(seed)
	for end := size; end <= len(prompt); end += size {
		hash := chainHash(parent, prompt[end-size:end])
		blocks = append(blocks, block{hash: hash, parent: parent, tokens: end / bytesPerToken})
		parent = hash
	}
	return blocks
}

// chainHash returns the hash of text chained to the hash parent.
func chainHash(parent uint64, text string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], parent)
	d := xxhash.New()
	d.Write(seed[:])
	d.WriteString(text)
	return d.Sum64()
}

// cachedPrefix returns how many tokens at the start of a chain of blocks are
// cached, and marks these blocks as recently used.
func (c *cache) cachedPrefix(chain []block) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := 0
	for _, b := range chain {
		element := c.blocks[b.hash]
		if element == nil {
			break
		}
		c.lru.MoveToFront(element)
		tokens = b.tokens
	}
	return tokens
}

// store caches a chain of blocks, evicts old blocks where necessary, and records
// the cache events.
func (c *cache) store(now time.Time, chain []block, requestID string, attempt uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored := dialect.Event{Type: dialect.EventStored, RequestID: requestID, Attempt: attempt}
	for _, b := range chain {
		if element := c.blocks[b.hash]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[b.hash] = c.lru.PushFront(b)
		stored.Blocks = append(stored.Blocks, formatBlock(b.hash))
		stored.Tokens = append(stored.Tokens, b.tokens)
	}
	if len(stored.Blocks) > 0 {
		c.record(now, stored)
	}
	c.evict(now)
}

func (c *cache) evict(now time.Time) {
	removed := dialect.Event{Type: dialect.EventRemoved}
	for len(c.blocks) > c.options.CacheBlocks {
		oldest := c.lru.Remove(c.lru.Back()).(block)
		delete(c.blocks, oldest.hash)
		removed.Blocks = append(removed.Blocks, formatBlock(oldest.hash))
	}
	if len(removed.Blocks) > 0 {
		c.record(now, removed)
	}
}

func (c *cache) record(now time.Time, e dialect.Event) {
	e.Sequence = c.nextSequence
	c.nextSequence++
	if len(c.events) == eventHistory {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	lost := c.random.Float64() < c.options.EventLoss
	c.events = append(c.events, timedEvent{Event: e, readableAt: now.Add(c.options.EventDelay), withheld: lost})
}

// eventsFrom returns the readable events from a sequence number on. A withheld
// event is left out of one read, so that its reader sees a gap.
func (c *cache) eventsFrom(now time.Time, from uint64) dialect.Events {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := dialect.Events{Oldest: c.nextSequence, Next: max(from, 1), Events: []dialect.Event{}}
	if len(c.events) > 0 {
		out.Oldest = c.events[0].Sequence
	}
	for i := range c.events {
		e := &c.events[i]
		if e.Sequence < from {
			continue
		}
		if e.readableAt.After(now) {
			break
		}
		out.Next = e.Sequence + 1
		if e.withheld {
			e.withheld = false
			continue
		}
		out.Events = append(out.Events, e.Event)
	}
	return out
}

// export returns the names of the blocks from the start of a prompt to the block
// last, and their number of tokens. It returns nil when one of them isn't cached.
func (c *cache) export(last uint64) ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.blocks[last]
	if element == nil {
		return nil, 0
	}
	tokens := element.Value.(block).tokens
	names := make([]string, tokens/c.options.BlockTokens)
	for i := len(names) - 1; i >= 0; i-- {
		if element == nil {
			return nil, 0
		}
		b := element.Value.(block)
		names[i] = formatBlock(b.hash)
		element = c.blocks[b.parent]
	}
	return names, tokens
}

func (c *cache) usedBlocks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks)
}

// formatBlock returns the name of a block in messages: its hash in hexadecimal.
func formatBlock(hash uint64) string { return strconv.FormatUint(hash, 16) }

func parseBlock(name string) (uint64, error) { return strconv.ParseUint(name, 16, 64) }
