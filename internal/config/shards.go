package config

import "maps"

// shardCount is the number of shards of a shardedMap.
const shardCount = 256

// shardedMap is an immutable map that is split into shards. An edit copies only
// the shards that it changes, and shares the others with the original map.
type shardedMap[K comparable, V any] struct {
	shards *[shardCount]map[K]V
	// hash returns the index of the shard that holds a key.
	hash func(K) uint8
	// size is the number of entries.
	size int
}

func newShardedMap[K comparable, V any](hash func(K) uint8) shardedMap[K, V] {
	return shardedMap[K, V]{shards: new([shardCount]map[K]V), hash: hash}
}

func (m shardedMap[K, V]) get(key K) (V, bool) {
	v, ok := m.shards[m.hash(key)][key]
	return v, ok
}

// all is an iterator over all entries, in no particular order.
func (m shardedMap[K, V]) all(yield func(K, V) bool) {
	for _, shard := range m.shards {
		for k, v := range shard {
			if !yield(k, v) {
				return
			}
		}
	}
}

// shardedEdit builds a changed copy of a shardedMap.
type shardedEdit[K comparable, V any] struct {
	// m is the changed copy.
	m shardedMap[K, V]
	// copied marks the shards that m no longer shares with the original map.
	copied [shardCount]bool
	// changed is set when m has its own array of shards.
	changed bool
}

func (m shardedMap[K, V]) edit() *shardedEdit[K, V] {
	return &shardedEdit[K, V]{m: m}
}

// writableShard returns the shard that holds key. It copies the shard first if
// it is still shared with the original map.
func (e *shardedEdit[K, V]) writableShard(key K) map[K]V {
	i := e.m.hash(key)
	if e.copied[i] {
		return e.m.shards[i]
	}
	if !e.changed {
		shards := *e.m.shards
		e.m.shards = &shards
		e.changed = true
	}
	shard := maps.Clone(e.m.shards[i])
	if shard == nil {
		shard = map[K]V{}
	}
	e.m.shards[i] = shard
	e.copied[i] = true
	return shard
}

func (e *shardedEdit[K, V]) get(key K) (V, bool) { return e.m.get(key) }

func (e *shardedEdit[K, V]) put(key K, value V) {
	shard := e.writableShard(key)
	if _, ok := shard[key]; !ok {
		e.m.size++
	}
	shard[key] = value
}

func (e *shardedEdit[K, V]) delete(key K) {
	if _, ok := e.m.get(key); !ok {
		return
	}
	delete(e.writableShard(key), key)
	e.m.size--
}
