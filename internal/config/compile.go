package config

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

// Defaults of a preset.
const (
	// DefaultCostWeight is the default of the recompute weight and the wait weight.
	DefaultCostWeight           = 1.0
	DefaultDeadline             = 30 * time.Second
	DefaultMaxQueue             = 256
	DefaultIdempotencyRetention = 24 * time.Hour
	// DefaultRetryBudgetPercent and DefaultColdStartReservePercent apply only
	// when a declaration is read: in a compiled preset, 0 means 0 percent.
	DefaultRetryBudgetPercent      = 10
	DefaultColdStartReservePercent = 5
)

// Compile validates and indexes a complete configuration. It returns an
// *InvalidError with all problems if the configuration is invalid. The
// configuration at revision 0 is empty; at any other revision, an empty one is
// invalid. A configuration at revision 0 must not contain objects.
func Compile(c *wire.Config) (*Compiled, error) {
	all := &wire.ConfigChange{
		PutAccounts:   c.GetAccounts(),
		PutModels:     c.GetModels(),
		PutServices:   c.GetServices(),
		PutPresets:    c.GetPresets(),
		PresetInForce: c.GetPresetInForce(),
	}
	switch {
	case c.GetRevision() != 0:
	case isEmptyChange(all):
		return Empty(), nil
	default:
		return nil, &InvalidError{Problems: []Problem{{Message: "a configuration at revision 0 must be empty"}}}
	}
	compiled, err := Empty().With(all)
	if err != nil {
		return nil, err
	}
	compiled.Revision = c.GetRevision()
	return compiled, nil
}

// Config returns the configuration with default values filled in and objects
// sorted by name. The caller must not modify the result.
func (c *Compiled) Config() *wire.Config {
	config := &wire.Config{Revision: c.Revision, PresetInForce: c.Preset.Name}
	config.Accounts = make([]*wire.Account, 0, c.accounts.size)
	for _, a := range c.accounts.all {
		config.Accounts = append(config.Accounts, a.wire())
	}
	slices.SortFunc(config.Accounts, func(a, b *wire.Account) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range c.Models() {
		config.Models = append(config.Models, m.wire())
	}
	for _, s := range c.Services() {
		config.Services = append(config.Services, s.declared)
	}
	for _, p := range c.Presets() {
		config.Presets = append(config.Presets, p.wire())
	}
	return config
}

func compileAccount(a *wire.Account) *Account {
	compiled := &Account{
		Name:          a.Name,
		Weight:        max(a.Weight, 1),
		Priority:      a.Priority,
		Salt:          account.DeriveSalt(a.Name, a.CacheSalt),
		Suspended:     a.Suspended,
		MaxConcurrent: a.MaxConcurrent,
		Quota:         a.Quota,
		declaredSalt:  a.CacheSalt,
	}
	for _, key := range a.KeySha256 {
		compiled.Keys = append(compiled.Keys, account.KeyDigest(key))
	}
	return compiled
}

// wire returns the account as a message.
func (a *Account) wire() *wire.Account {
	out := &wire.Account{
		Name:          a.Name,
		Weight:        a.Weight,
		Priority:      a.Priority,
		Suspended:     a.Suspended,
		MaxConcurrent: a.MaxConcurrent,
		Quota:         a.Quota,
		CacheSalt:     a.declaredSalt,
	}
	for _, key := range a.Keys {
		out.KeySha256 = append(out.KeySha256, key[:])
	}
	return out
}

func compileModel(m *wire.Model) *Model {
	return &Model{
		Name:           m.Name,
		WeightsVersion: m.WeightsVersion,
		Adapters:       slices.Clone(m.Adapters),
		MinReady:       m.MinReady,
	}
}

func (m *Model) wire() *wire.Model {
	return &wire.Model{
		Name:           m.Name,
		WeightsVersion: m.WeightsVersion,
		Adapters:       m.Adapters,
		MinReady:       m.MinReady,
	}
}

func compilePreset(p *wire.Preset) *Preset {
	compiled := &Preset{
		Name:                    p.Name,
		RecomputeWeight:         cmp.Or(p.RecomputeWeight, DefaultCostWeight),
		WaitWeight:              cmp.Or(p.WaitWeight, DefaultCostWeight),
		DefaultDeadline:         time.Duration(p.DefaultDeadlineMs) * time.Millisecond,
		MaxQueue:                int(cmp.Or(p.MaxQueue, DefaultMaxQueue)),
		RetryBudgetPercent:      p.RetryBudgetPercent,
		IdempotencyRetention:    time.Duration(p.IdempotencyRetentionS) * time.Second,
		ColdStartReservePercent: p.ColdStartReservePercent,
		Hedge:                   p.Hedge,
		KVImportRate:            p.KvImportTokensPerS,
		declared:                p,
		accounts:                make(map[string]*wire.AccountLimit, len(p.Accounts)),
		models:                  make(map[string]*wire.ModelLimit, len(p.Models)),
	}
	compiled.DefaultDeadline = cmp.Or(compiled.DefaultDeadline, DefaultDeadline)
	compiled.IdempotencyRetention = cmp.Or(compiled.IdempotencyRetention, DefaultIdempotencyRetention)
	for _, limit := range p.Accounts {
		compiled.accounts[limit.Account] = limit
	}
	for _, limit := range p.Models {
		compiled.models[limit.Model] = limit
	}
	return compiled
}

// wire returns the preset as a message, with default values filled in.
func (p *Preset) wire() *wire.Preset {
	return &wire.Preset{
		Name:                    p.Name,
		RecomputeWeight:         p.RecomputeWeight,
		WaitWeight:              p.WaitWeight,
		DefaultDeadlineMs:       uint32(p.DefaultDeadline.Milliseconds()),
		MaxQueue:                uint32(min(p.MaxQueue, math.MaxUint32)),
		RetryBudgetPercent:      p.RetryBudgetPercent,
		IdempotencyRetentionS:   uint32(p.IdempotencyRetention.Seconds()),
		Accounts:                p.declared.Accounts,
		Models:                  p.declared.Models,
		ColdStartReservePercent: p.ColdStartReservePercent,
		Hedge:                   p.Hedge,
		KvImportTokensPerS:      p.KVImportRate,
	}
}

// sortedValues returns the values of m in the order of their keys.
func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}
