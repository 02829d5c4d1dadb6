package routes

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/wire"
)

// maxFormerSharers limits the former sharers of a table, which take 8 bytes each. Beyond it, a new
// generation begins without an isolated account.
const maxFormerSharers = 1024

// continueSharing sets the generation of shared cached state of next, which replaces previous.
//
// Engines and stores keep cached state under the salt of the generation, and nothing shows which
// account made it. Therefore a new generation begins with each table that isolates an account
// which may have made state in the current one, also if the account was not declared in between.
// The number of a generation is the version of its first table, so no number is used twice.
func continueSharing(previous, next *wire.RouteTable) {
	sharers := make(map[uint64]bool, len(previous.GetFormerSharers()))
	for _, hash := range previous.GetFormerSharers() {
		sharers[hash] = true
	}
	for _, a := range previous.GetAccounts() {
		if a.GetSharesCache() {
			sharers[xxhash.Sum64String(a.GetName())] = true
		}
	}
	isolated := false
	for _, a := range next.GetAccounts() {
		hash := xxhash.Sum64String(a.GetName())
		isolated = isolated || sharers[hash] && !a.GetSharesCache()
		delete(sharers, hash)
	}
	if isolated || len(sharers) > maxFormerSharers {
		next.SharedCacheGeneration, next.FormerSharers = next.GetVersion(), nil
		return
	}
	next.SharedCacheGeneration, next.FormerSharers = previous.GetSharedCacheGeneration(), nil
	for hash := range sharers {
		next.FormerSharers = append(next.FormerSharers, hash)
	}
	slices.Sort(next.FormerSharers) // all replicas must have the same state
}
