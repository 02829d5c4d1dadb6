package routes

import (
	"crypto/sha256"
	"net"
	"slices"
	"strconv"
	"strings"

	"parsleypulley/internal/wire"
)

// Compiled is a route table indexed for lookups. It is immutable and safe for
// concurrent use.
type Compiled struct {
	// Table is the route table, or nil if there is none.
	Table *wire.RouteTable

	// hosts holds the routes of each normalized host, sorted by the length of the
	// path prefix, longest first.
	hosts map[string][]hostRoute
	// services holds the services by name.
	services map[string]*wire.ForwardService
	// keys holds the client accounts by the SHA-256 digests of their API keys.
	keys map[[sha256.Size]byte]*wire.Account
	// stores holds the stores of cached state among the services, at most maxCacheStores.
	stores []*wire.CacheStore
}

// hostRoute is a route with its path prefix in the form in which paths are compared.
type hostRoute struct {
	prefix string
	route  *wire.ForwardRoute
}

// maxCacheStores bounds the stores of cached state that are used, the first ones of a table. Each router keeps a
// connection to each store, and the leader follows what each holds.
const maxCacheStores = 128

// Compile indexes a table that must be valid. For nil it returns an empty table.
func Compile(t *wire.RouteTable) *Compiled {
	c := &Compiled{
		Table:    t,
		hosts:    map[string][]hostRoute{},
		services: map[string]*wire.ForwardService{},
		keys:     map[[sha256.Size]byte]*wire.Account{},
	}
	for _, r := range t.GetRoutes() {
		host := NormalizeHost(r.GetHost())
		c.hosts[host] = append(c.hosts[host], hostRoute{prefix: NormalizePath(r.GetPathPrefix()), route: r})
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b hostRoute) int { return len(b.prefix) - len(a.prefix) })
	}
	for _, s := range t.GetServices() {
		c.services[s.GetName()] = s
		if store := s.GetStore(); store != nil && len(c.stores) < maxCacheStores {
			c.stores = append(c.stores, store)
		}
	}
	for _, a := range t.GetAccounts() {
		for _, digest := range a.GetKeySha256() {
			if len(digest) == sha256.Size {
				c.keys[[sha256.Size]byte(digest)] = a
			}
		}
	}
	return c
}

// NormalizeHost returns host in lower case and without its port, if it has one.
// Hosts are compared in this form.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Version returns the version of the table, or 0 if there is none.
func (c *Compiled) Version() uint64 { return c.Table.GetVersion() }

// NormalizePath decodes the percent-encoded bytes of a path as it was sent, except slashes and percent signs. Paths and
// prefixes are compared in this form: an encoded slash does not separate segments, so that a backend server may take
// "/a%2Fb/" for something else than "/a/b/".
func NormalizePath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	out := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		if path[i] == '%' && i+2 < len(path) {
			if b, err := strconv.ParseUint(path[i+1:i+3], 16, 8); err == nil && b != '/' && b != '%' {
				out = append(out, byte(b))
				i += 2
				continue
			}
		}
		out = append(out, path[i])
	}
	return string(out)
}

// Match returns the route of host with the longest path prefix that begins path, which must be as it was sent, or nil
// if there is none.
func (c *Compiled) Match(host, path string) *wire.ForwardRoute {
	path = NormalizePath(path)
	for _, r := range c.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r.route
		}
	}
	return nil
}

// KeysRequired reports whether calls need an API key, except on public routes. They do unless the
// table states otherwise.
func (c *Compiled) KeysRequired() bool { return !c.Table.GetKeysOptional() }

// StatesKeys reports whether the table states if calls need an API key. Tables of earlier builds
// may not; see State.StateKeys.
func (c *Compiled) StatesKeys() bool { return c.Table.GetKeysRequired() || c.Table.GetKeysOptional() }

// Account returns the client account that has the API key, or nil. No account has the empty key,
// which stands for a call without one.
func (c *Compiled) Account(key string) *wire.Account {
	if key == "" {
		return nil
	}
	return c.keys[sha256.Sum256([]byte(key))]
}

// Service returns the service called name, or nil.
func (c *Compiled) Service(name string) *wire.ForwardService { return c.services[name] }

// CacheStores returns the stores of cached state that are used, at most maxCacheStores.
func (c *Compiled) CacheStores() []*wire.CacheStore { return c.stores }

// HasRoute reports whether there is a route called name.
func (c *Compiled) HasRoute(name string) bool {
	return slices.ContainsFunc(c.Table.GetRoutes(), func(r *wire.ForwardRoute) bool { return r.GetName() == name })
}

// PickService returns a service of a route. If draw is uniformly distributed from
// 0 to TotalWeight(r)-1, each service is returned in proportion to its weight. For
// a higher draw PickService returns an empty name.
func PickService(r *wire.ForwardRoute, draw uint64) string {
	for _, part := range r.GetSplit() {
		if draw < uint64(part.GetWeight()) {
			return part.GetService()
		}
		draw -= uint64(part.GetWeight())
	}
	return ""
}

// TotalWeight returns the sum of the weights of a route's services.
func TotalWeight(r *wire.ForwardRoute) uint64 {
	total := uint64(0)
	for _, part := range r.GetSplit() {
		total += uint64(part.GetWeight())
	}
	return total
}
