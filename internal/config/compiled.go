// Package config holds the configuration: client accounts, models, plain
// services and presets. Operators declare it, the control replicas agree on
// it, and every process serves by one immutable Compiled at a time.
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
	// Weight is the account's share relative to others, at least 1.
	Weight uint32
	// Priority of the account's requests; higher runs first.
	Priority int32
	// Salt separates the account's cached state inside engines. No two
	// accounts have the same one.
	Salt string
	// Suspended accounts get no service.
	Suspended bool
	// MaxConcurrent limits requests in flight at one router; 0 is no limit.
	MaxConcurrent uint32

	saltDeclared bool
}

// AccountLimits are an account's share and limits under the preset in force.
type AccountLimits struct {
	Weight   uint32
	Priority int32
	// MaxConcurrent limits requests in flight at one router; 0 is no limit.
	MaxConcurrent uint32
}

// Model is a declared model. It is immutable.
type Model struct {
	Name           string
	WeightsVersion string
	Adapters       []string
	// MinReady is the number of backend servers that must stay ready.
	MinReady uint32
}

// HasAdapter reports whether the model declares the adapter.
func (m *Model) HasAdapter(name string) bool {
	return slices.Contains(m.Adapters, name)
}

// ModelLimits are a model's limits under the preset in force.
type ModelLimits struct {
	// MinReady is the number of backend servers that must stay ready.
	MinReady uint32
	// MaxRunning bounds requests in flight at one backend server; 0 leaves it
	// to adaptive concurrency alone.
	MaxRunning uint32
}

// Preset is a named set of limits, weights and priorities with all defaults
// resolved. It is immutable.
type Preset struct {
	Name string
	// RecomputeWeight and WaitWeight weigh recomputed prompt tokens against
	// the predicted wait.
	RecomputeWeight, WaitWeight float64
	// DefaultDeadline applies to requests that state none.
	DefaultDeadline time.Duration
	// MaxQueue bounds the requests that wait at one router.
	MaxQueue int
	// RetryBudgetPercent is the number of retries for each 100 requests.
	RetryBudgetPercent uint32
	// IdempotencyRetention is how long at-most-once answers are kept.
	IdempotencyRetention time.Duration
	// ColdStartReservePercent of capacity is kept for requests without a
	// cached prefix.
	ColdStartReservePercent uint32
	// Hedge allows a second attempt while the first one still runs.
	Hedge bool
	// KVImportRate is the speed at which cached state moves between engines, in
	// tokens a second; 0 moves none.
	KVImportRate uint32

	declared *wire.Preset
	accounts map[string]*wire.AccountLimit
	models   map[string]*wire.ModelLimit
}

// Compiled is the configuration at one revision, indexed for requests. It is
// immutable and safe for concurrent use.
type Compiled struct {
	// Revision grows by one with each accepted change; 0 is the empty
	// configuration before the first change.
	Revision uint64
	// Preset is the one preset in force. Before the first change it holds the
	// defaults and has no name.
	Preset *Preset

	accounts shardedMap[string, *Account]
	keys     shardedMap[account.KeyDigest, *Account]
	// salts maps declared salts to account names.
	salts    shardedMap[string, string]
	models   map[string]*Model
	services map[string]*Service
	presets  map[string]*Preset
}

func hashString(s string) uint8 { return uint8(xxhash.Sum64String(s)) }

func hashDigest(d account.KeyDigest) uint8 { return d[0] }

// Empty returns the configuration before the first change.
func Empty() *Compiled {
	return &Compiled{
		Preset:   compilePreset(&wire.Preset{}),
		accounts: newShardedMap[string, *Account](hashString),
		keys:     newShardedMap[account.KeyDigest, *Account](hashDigest),
		salts:    newShardedMap[string, string](hashString),
	}
}

// AccountByKey returns the account that has the key with this digest. The time
// of the lookup depends on the digest only, from which the key can't be found.
func (c *Compiled) AccountByKey(digest [32]byte) (*Account, bool) {
	return c.keys.get(digest)
}

// Account returns the account called name.
func (c *Compiled) Account(name string) (*Account, bool) { return c.accounts.get(name) }

// AccountCount returns the number of client accounts.
func (c *Compiled) AccountCount() int { return c.accounts.size }

// EachAccount calls yield for each account, in no particular order.
func (c *Compiled) EachAccount(yield func(*Account) bool) {
	for _, a := range c.accounts.all {
		if !yield(a) {
			return
		}
	}
}

// Model returns the model called name.
func (c *Compiled) Model(name string) (*Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Models returns all models in order of name.
func (c *Compiled) Models() []*Model { return sortedValues(c.models) }

// Service returns the plain service called name.
func (c *Compiled) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all plain services in order of name.
func (c *Compiled) Services() []*Service { return sortedValues(c.services) }

// Presets returns all presets in order of name.
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
