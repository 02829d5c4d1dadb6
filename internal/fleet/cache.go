package fleet

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CacheSource is an engine without an agent or a store of cached state.
type CacheSource struct {
	Address string
	// Backend is the engine's name; empty for a store.
	Backend string
}

// CacheEvents is a batch of events about what a source holds.
type CacheEvents struct {
	// Epoch changes when the source starts anew, empty.
	Epoch uint64
	// Next is where the next batch begins.
	Next uint64
	// Lost is set when events before these are missing.
	Lost   bool
	Events []CacheEvent
}

// CacheEvent tells that a part of a prompt was stored or given up.
type CacheEvent struct {
	Stored bool
	// Key is that of PromptPartKey for the account's salt, and of prefix.Versioned.
	Key    uint64
	Tokens uint32
}

// PromptPartKey returns the key by which a part of a prompt is known under a cache salt.
func PromptPartKey(salt, part string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(salt) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(part)
	return d.Sum64()
}

// VersionedSalt returns the cache salt of an account's salt for weights of a
// version: what was made on others must not be found.
func VersionedSalt(salt string, weights uint64) string {
	return salt + "/" + strconv.FormatUint(weights, 10)
}

// SplitSalt returns the account's salt and the version of a cache salt; the version
// is 0 when there is none.
func SplitSalt(versioned string) (salt string, weights uint64) {
	at := strings.LastIndexByte(versioned, '/')
	if at < 0 {
		return versioned, 0
	}
	weights, err := strconv.ParseUint(versioned[at+1:], 10, 64)
	if err != nil {
		return versioned, 0 // another program's salt
	}
	return versioned[:at], weights
}
