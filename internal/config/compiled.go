// Package config implements the configuration: client accounts, models, plain
// services (backend servers that run no model engine) and presets. Operators
// declare the configuration in a YAML file, the control replicas agree on each
// change, and every process uses one immutable Compiled at a time.
package config

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

// Account is a client account. It is immutable.
type Account struct {
	Name string
	// Keys holds the digests of the account's API keys.
	Keys []account.KeyDigest
	// Weight is the account's share of capacity relative to other accounts. It
	// is at least 1.
	Weight uint32
	// Priority is the priority of the account's requests. Requests with a higher
	// value run first.
	Priority int32
	// Salt is the cache salt: it keeps the account's cached state inside engines
	// apart from that of other accounts. No two accounts have the same salt.
	Salt string
	// Suspended is set if the requests of the account are refused.
	Suspended bool
	// MaxConcurrent is the maximum number of requests in flight at one router;
	// 0 means no limit.
	MaxConcurrent uint32
	// Quota limits what the account's requests use at all routers together; nil
	// for no limit.
	Quota *wire.Quota

	// declaredSalt is the secret from which Salt is derived beside the name; empty if none
	// is declared.
	declaredSalt string
}

// AccountLimits are the weight, priority and limits of an account under the
// preset in force.
type AccountLimits struct {
	Weight   uint32
	Priority int32
	// MaxConcurrent is the maximum number of requests in flight at one router;
	// 0 means no limit.
	MaxConcurrent uint32
}

// Model is a declared model. It is immutable.
type Model struct {
	Name           string
	WeightsVersion string
	Adapters       []string
	// MinReady is the minimum number of backend servers that must stay ready.
	MinReady uint32
}

// HasAdapter reports whether the model declares an adapter called name.
func (m *Model) HasAdapter(name string) bool {
	return slices.Contains(m.Adapters, name)
}

// ModelLimits are the limits of a model under the preset in force.
type ModelLimits struct {
	// MinReady is the minimum number of backend servers that must stay ready.
	MinReady uint32
	// MaxRunning is the maximum number of requests in flight at one backend
	// server. If it is 0, only the adaptive concurrency limit applies.
	MaxRunning uint32
}

// Preset is a named set of limits, weights and priorities, with default values
// filled in. It is immutable.
type Preset struct {
	Name string
	// RecomputeWeight is the weight of recomputing prompt tokens in the cost by
	// which routers compare backend servers.
	RecomputeWeight float64
	// WaitWeight is the weight of the predicted wait in that cost.
	WaitWeight float64
	// DefaultDeadline is the deadline of requests that set none.
	DefaultDeadline time.Duration
	// MaxQueue is the maximum number of requests that wait at one router.
	MaxQueue int
	// RetryBudgetPercent is the maximum number of retries per 100 requests.
	RetryBudgetPercent uint32
	// IdempotencyRetention is how long responses to at-most-once calls are kept.
	IdempotencyRetention time.Duration
	// ColdStartReservePercent is the percentage of capacity that is reserved for
	// requests without a cached prefix.
	ColdStartReservePercent uint32
	// Hedge allows a second attempt while the first one is still running.
	Hedge bool
	// KVImportRate is the rate at which cached state is copied between engines,
	// in tokens per second. If it is 0, no cached state is copied.
	KVImportRate uint32

	// declared is the preset before default values were filled in.
	declared *wire.Preset
	// accounts holds the overridden limits by account name.
	accounts map[string]*wire.AccountLimit
	// models holds the overridden limits by model name.
	models map[string]*wire.ModelLimit
}

// Compiled is the configuration at one revision, indexed for lookups by
// requests. It is immutable and safe for concurrent use.
type Compiled struct {
	// Revision is incremented by each accepted change. Revision 0 is the empty
	// configuration before the first change.
	Revision uint64
	// Preset is the preset in force. Before the first change it has no name and
	// holds the default values.
	Preset *Preset

	accounts shardedMap[string, *Account]
	keys     shardedMap[account.KeyDigest, *Account]
	// salts maps declared cache salts to account names.
	salts    shardedMap[string, string]
	models   map[string]*Model
	services map[string]*Service
	presets  map[string]*Preset
}

func hashString(s string) uint8 { return uint8(xxhash.Sum64String(s)) }

func hashDigest(d account.KeyDigest) uint8 { return d[0] }

// Empty returns the configuration at revision 0, before the first change.
func Empty() *Compiled {
	return &Compiled{
		Preset:   compilePreset(&wire.Preset{}),
		accounts: newShardedMap[string, *Account](hashString),
		keys:     newShardedMap[account.KeyDigest, *Account](hashDigest),
		salts:    newShardedMap[string, string](hashString),
	}
}

// AccountByKey returns the account that has the key with this digest. The lookup
// does not take constant time, but its duration depends only on the digest, from
// which the key can't be derived.
func (c *Compiled) AccountByKey(digest [32]byte) (*Account, bool) {
	return c.keys.get(digest)
}

// Account returns the account called name, if it exists.
func (c *Compiled) Account(name string) (*Account, bool) { return c.accounts.get(name) }

// AccountCount returns the number of client accounts.
func (c *Compiled) AccountCount() int { return c.accounts.size }

// EachAccount is an iterator over all accounts, in no particular order.
func (c *Compiled) EachAccount(yield func(*Account) bool) {
	for _, a := range c.accounts.all {
		if !yield(a) {
			return
		}
	}
}

// Model returns the model called name, if it exists.
func (c *Compiled) Model(name string) (*Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Models returns all models, sorted by name.
func (c *Compiled) Models() []*Model { return sortedValues(c.models) }

// Service returns the plain service called name, if it exists.
func (c *Compiled) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all plain services, sorted by name.
func (c *Compiled) Services() []*Service { return sortedValues(c.services) }

// Presets returns all presets, sorted by name.
func (c *Compiled) Presets() []*Preset { return sortedValues(c.presets) }

// AccountLimits returns the limits of a under the preset in force.
func (c *Compiled) AccountLimits(a *Account) AccountLimits {
	limits := AccountLimits{Weight: a.Weight, Priority: a.Priority, MaxConcurrent: a.MaxConcurrent}
	override, ok := c.Preset.accounts[a.Name]
	if !ok {
		return limits
	}
	if override.Weight != nil {
		limits.Weight = *override.Weight
	}
	if override.Priority != nil {
		limits.Priority = *override.Priority
	}
	if override.MaxConcurrent != nil {
		limits.MaxConcurrent = *override.MaxConcurrent
	}
	return limits
}

// ModelLimits returns the limits of m under the preset in force.
func (c *Compiled) ModelLimits(m *Model) ModelLimits {
	limits := ModelLimits{MinReady: m.MinReady}
	override, ok := c.Preset.models[m.Name]
	if !ok {
		return limits
	}
	if override.MinReady != nil {
		limits.MinReady = *override.MinReady
	}
	limits.MaxRunning = override.MaxRunning
	return limits
}
