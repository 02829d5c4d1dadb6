package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CacheSource is a source of cache events: an engine without an agent, or a store of
// cached state.
type CacheSource struct {
	Address string
	// Backend is the engine's name. It is empty for a store.
	Backend string
}

// CacheEvents is a batch of events about the cached state of a source.
type CacheEvents struct {
	// Epoch changes when the source restarts with an empty cache.
	Epoch uint64
	// Next is the position from which to request the next batch.
	Next uint64
	// Lost is set when events before this batch are missing.
	Lost   bool
	Events []CacheEvent
	// Took is the time that reading the batch took, without that for which it was waited for.
	Took time.Duration
}

// CacheEvent reports that the cached state of a part of a prompt was stored or
// evicted.
type CacheEvent struct {
	// Stored is false when the part was evicted.
	Stored bool
	// Key is the PromptPartKey for the account's salt, combined with the model and the
	// version of its weights by prefix.Versioned.
	Key    uint64
	Tokens uint32
}

// PromptPartKey returns the key of a part of a prompt under a cache salt.
func PromptPartKey(salt, part string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(salt) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(part)
	return d.Sum64()
}

// VersionedSalt returns the cache salt for an account's salt and a weights version.
// It differs for each version, so that state computed with other weights is never
// reused.
func VersionedSalt(salt string, weights uint64) string {
	return salt + "/" + strconv.FormatUint(weights, 10)
}

// SplitSalt splits a cache salt into the account's salt and the weights version. The
// version is 0 if the cache salt has none.
func SplitSalt(versioned string) (salt string, weights uint64) {
	at := strings.LastIndexByte(versioned, '/')
	if at < 0 {
		return versioned, 0
	}
	weights, err := strconv.ParseUint(versioned[at+1:], 10, 64)
	if err != nil {
		return versioned, 0 // not made by VersionedSalt
	}
	return versioned[:at], weights
}
