package prefix

import "github.com/cespare/xxhash/v2"

// versionMultiplier is the odd constant of a multiplicative hash.
const versionMultiplier = 0x9e3779b97f4a7c15

// Versioned returns the key under which a level that was computed by a model with the
// given version of its weights is known. No model and version 0 stand for unknown ones; their
// key is the key of the level itself.
func Versioned(key uint64, model string, weights uint64) uint64 {
	if model != "" {
		key ^= xxhash.Sum64String(model)
	}
	return key ^ weights*versionMultiplier
}
