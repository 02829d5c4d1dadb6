// Package controlclient calls the control replicas from routers and agents. It
// finds the leader by the hints in refusals.
package controlclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// Timings of calls to the control replicas.
const (
	callTimeout = 2 * time.Second
	minWait     = 20 * time.Millisecond
	maxWait     = 400 * time.Millisecond
	// maxHops bounds the hints that are followed without a pause.
	maxHops = 3
)

// Client calls the leader of the control replicas.
type Client struct {
	pool *link.Pool
	// version returns the newest view version that this process holds.
	version func() uint64
	// callTimeout bounds one call to one replica.
	callTimeout time.Duration

	mu        sync.Mutex
	addresses []string
	leader    string
	// next is the index of the address to ask when no leader is known.
	next int
}

// New returns a client of the control replicas at addresses.
func New(pool *link.Pool, addresses []string, version func() uint64) *Client {
	return &Client{pool: pool, addresses: addresses, version: version, callTimeout: callTimeout}
}

// SetAddresses replaces the addresses of the control replicas; an empty list
// changes nothing.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	c.next %= len(addresses)
}

// SetLeaderHint tells the client which replica leads, as its process learnt otherwise; an
// empty address changes nothing.
func (c *Client) SetLeaderHint(leader string) {
	if leader != "" {
		c.setLeader(leader)
	}
}

// SetCallTimeout sets the bound of one call to one replica, in place of 2 s. It
// must be called before the client is used.
func (c *Client) SetCallTimeout(d time.Duration) { c.callTimeout = d }

// ReadRoutes reads the declaration behind the route table; it is linearizable.
func (c *Client) ReadRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_ReadRoutes{ReadRoutes: &wire.ReadRoutes{}}})
	if err != nil {
		return nil, err
	}
	return resp.GetRouteDocument(), nil
}

// Propose has a command committed. It asks again, also after a lost answer,
// until ctx ends: every command is idempotent.
func (c *Client) Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_Propose{Propose: &wire.Propose{Command: command}}})
	if err != nil {
		return nil, err
	}
	return resp.GetProposeReply().GetResult(), nil
}

// LookupClaim reads the at-most-once record of a key; nil when there is none.
func (c *Client) LookupClaim(ctx context.Context, account, key string) (*wire.OnceRecord, error) {
	lookup := &wire.ClaimLookup{Account: account, Key: key}
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_ClaimLookup{ClaimLookup: lookup}})
	if err != nil {
		return nil, err
	}
	return resp.GetOnceRecord(), nil
}

// Announce renews the lease of a backend server.
func (c *Client) Announce(ctx context.Context, a *wire.Announce) (*wire.AnnounceReply, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_Announce{Announce: a}})
	if err != nil {
		return nil, err
	}
	return resp.GetAnnounceReply(), nil
}

// call asks the leader until it answers or ctx ends.
func (c *Client) call(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	hops := 0
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		address := c.target()
		resp, err := c.once(ctx, address, req)
		if err == nil {
			c.setLeader(address)
			return resp, nil
		}
		e := fault.From(err)
		if !retryable(e.Kind) {
			return nil, err
		}
		leader := e.Leader
		if hops == maxHops {
			leader = "" // the hints lead nowhere
		}
		if c.redirect(address, leader) {
			hops++
			continue
		}
		hops = 0
		if !backoff.Sleep(ctx, wait/2+rand.N(wait/2)) {
			return nil, fault.New(fault.Unavailable, fault.Unknown, "no control leader answered: %w", err)
		}
	}
}

func (c *Client) once(ctx context.Context, address string, req *wire.Request) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	req.ViewVersion = c.version()
	return c.pool.Call(ctx, address, req)
}

func retryable(k fault.Kind) bool {
	switch k {
	case fault.NotLeader, fault.LinkDown, fault.Unavailable, fault.Overloaded, fault.OutcomeUnknown,
		fault.DeadlineExceeded, fault.Cancelled, fault.Shutdown:
		return true
	}
	return false
}

// target returns the address to ask: the leader when known.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.addresses[c.next]
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// redirect takes note that address did not answer as leader. It reports whether
// a new leader was named. What another call has found out meanwhile is kept.
func (c *Client) redirect(address, leader string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[c.next] == address {
		c.next = (c.next + 1) % len(c.addresses)
	}
	if leader != "" && leader != address {
		c.leader = leader
		return true
	}
	if c.leader == address {
		c.leader = ""
	}
	return false
}
