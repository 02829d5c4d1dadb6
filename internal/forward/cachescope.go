package forward

import (
	"errors"
	"strconv"

	"parsleypulley/internal/account"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/routes"
	"parsleypulley/internal/wire"
)

// cacheScope is a set of calls that share cached state, and evidence against parts of their prompts.
type cacheScope struct {
	// salt is the cache salt, without the version of the weights.
	salt string
	// partsOwner is the account of the keys of parts in quarantine. Unlike the salt, it is the same
	// in all generations of shared state: a part that ends backend servers goes on to do so, and
	// would end as many again before it is refused.
	partsOwner string
}

// errCacheScopeChanged is the failure of an attempt that was not sent since the cache scope of the
// call has changed.
var errCacheScopeChanged = errors.New("the cache scope of the call has changed")

// unconfirmedSalt is the cache salt of calls without an account at a router whose view is outdated or that has
// stood still: an account of the shared scope may have been isolated since.
const unconfirmedSalt = "unconfirmed"

// cacheScopeOf returns the scope of an account's calls by a route table. Calls without an account
// belong to the scope of the accounts that share cached state.
func cacheScopeOf(table *routes.Compiled, a *wire.Account) cacheScope {
	switch {
	case a == nil || a.GetSharesCache():
		scope := cacheScope{"shared", quarantine.SharedAccount}
		if generation := table.Table.GetSharedCacheGeneration(); generation > 0 {
			scope.salt += "/" + strconv.FormatUint(generation, 10)
		}
		return scope
	case a.GetCacheSalt() != "":
		return cacheScope{"own/" + account.DeriveSalt(a.GetName(), a.GetCacheSalt()), a.GetName()}
	default:
		return cacheScope{accountSalt(a), a.GetName()}
	}
}

// accountSalt returns the cache salt of an account that shares cached state with no other.
func accountSalt(a *wire.Account) string { return "account/" + a.GetName() }

// currentCacheScope returns the scope of the call by the newest view. A router that has stood still shares no
// cached state until its view is confirmed.
func (c *forwardedCall) currentCacheScope() cacheScope {
	s, fresh := c.f.currentView()
	table := s.Routes
	if c.account == nil {
		scope := cacheScopeOf(table, nil)
		if table.KeysRequired() && (fresh.StoodStill || c.f.isOutdated(fresh)) {
			scope.salt = unconfirmedSalt
		}
		return scope
	}
	account := c.account
	if newest := table.Account(c.call.APIKey); newest != nil {
		account = newest
	}
	scope := cacheScopeOf(table, account)
	if fresh.StoodStill && account.GetSharesCache() {
		scope.salt = accountSalt(account) // it may have been isolated since, or another that shares
	}
	return scope
}

// updateCacheScope puts the call into its current scope before an attempt: it may have waited since
// it arrived, or was sent before.
func (c *forwardedCall) updateCacheScope() {
	if scope := c.currentCacheScope(); scope != c.cacheScope {
		c.cacheScope = scope
		c.promptLevels = levelsOf(c.route, c.call, scope.salt)
		c.partKeys = nil
	}
}

// versionedSalt returns the cache salt of a call for a weights version. The
// version is part of it since cached state of other weights must not be used. It
// returns an empty string if the route has no prompts.
func (c *forwardedCall) versionedSalt(weightsVersion uint64) string {
	if !c.route.GetPrompts() {
		return ""
	}
	return fleet.VersionedSalt(c.cacheScope.salt, weightsVersion)
}
