// Package controlclient calls the leader of the control replicas from other processes. It
// finds the leader by trying the replicas in turn and by the hints in their refusals.
package controlclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// Timing of calls to the control replicas.
const (
	callTimeout   = 2 * time.Second
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxHintHops bounds the leader hints that are followed in a row without a delay.
	maxHintHops = 3
	// attemptShare is how long a waiting call relies on an attempt of another one that gets no
	// answer, before it asks by itself: a leader commits several times within it, and the calls of
	// a process ask a replica that stands still at most ten times a second.
	attemptShare = 100 * time.Millisecond
)

// Client calls the leader of the control replicas.
type Client struct {
	pool *link.Pool
	// viewVersion returns the newest view version that this process has.
	viewVersion func() uint64
	// callTimeout bounds one call to one replica.
	callTimeout time.Duration

	mu        sync.Mutex
	addresses []string
	// leader is the address of the leader, or empty while it is unknown.
	leader string
	// next is the index in addresses of the replica to call when no leader is known.
	next int
	// found is closed once a replica answers as the leader. It is nil if no call has failed since
	// the last answer.
	found chan struct{}
	// epoch counts the begins and ends of searches. A call that began in an earlier epoch neither
	// ends a search nor begins one: a leader was lost or found since.
	epoch uint64
	// searches holds the shared attempts while found is set, by kind of request. A call waits only
	// for those of its own kind: lease renewals and permits must not wait for a commit.
	searches map[reflect.Type]*search
}

// search is the state that calls of one kind share while the leader is unknown.
type search struct {
	// ended is closed when the attempt under way ends; nil if there is none.
	ended chan struct{}
	// began is when the attempt under way began.
	began time.Time
	// failed is the last attempt that ended without an answer of the leader, at failedAt.
	failed   failure
	failedAt time.Time
}

// failure is the result of an attempt that no leader has answered.
type failure struct {
	// address is the replica that was asked last.
	address string
	err     error
}

// New returns a client of the control replicas at addresses, which must not be empty.
// viewVersion returns the newest view version that this process has; it is sent with
// each call.
func New(pool *link.Pool, addresses []string, viewVersion func() uint64) *Client {
	return &Client{pool: pool, addresses: addresses, viewVersion: viewVersion, callTimeout: callTimeout,
		found: make(chan struct{}), searches: map[reflect.Type]*search{}}
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

// SetLeaderHint sets the address of the leader, for processes that learn it by other
// means. An empty address changes nothing.
func (c *Client) SetLeaderHint(leader string) {
	if leader != "" {
		c.setLeader(leader)
	}
}

// SetCallTimeout sets the timeout of one call to one replica. The default is 2 s. It
// must be called before the client is used.
func (c *Client) SetCallTimeout(d time.Duration) { c.callTimeout = d }

// ReadRoutes returns the declaration from which the current route table was compiled.
// The read is linearizable.
func (c *Client) ReadRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_ReadRoutes{ReadRoutes: &wire.ReadRoutes{}}})
	if err != nil {
		return nil, err
	}
	return resp.GetRouteDocument(), nil
}

// Propose commits a command. It retries until ctx ends, even if an answer was lost,
// because all commands are idempotent.
func (c *Client) Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_Propose{Propose: &wire.Propose{Command: command}}})
	if err != nil {
		return nil, err
	}
	return resp.GetProposeReply().GetResult(), nil
}

// LookupClaim returns the at-most-once record of an account's key, or nil if there is
// none.
func (c *Client) LookupClaim(ctx context.Context, account, key string) (*wire.OnceRecord, error) {
	lookup := &wire.ClaimLookup{Account: account, Key: key}
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_ClaimLookup{ClaimLookup: lookup}})
	if err != nil {
		return nil, err
	}
	return resp.GetOnceRecord(), nil
}

// Permits asks the leader for permits.
func (c *Client) Permits(ctx context.Context, req *wire.PermitRequest) (*wire.PermitReply, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_Permits{Permits: req}})
	if err != nil {
		return nil, err
	}
	return resp.GetPermitReply(), nil
}

// ReportUnreachable tells the leader that this router can't reach a backend server.
func (c *Client) ReportUnreachable(ctx context.Context, server *wire.UnreachableServer) error {
	_, err := c.call(ctx, &wire.Request{Body: &wire.Request_Unreachable{Unreachable: server}})
	return err
}

// Hello tells the leader that the router at a link address runs.
func (c *Client) Hello(ctx context.Context, address string) error {
	_, err := c.call(ctx, &wire.Request{FromAddress: address, Body: &wire.Request_RouterHello{RouterHello: &wire.RouterHello{}}})
	return err
}

// Announce renews the lease of a backend server.
func (c *Client) Announce(ctx context.Context, a *wire.Announce) (*wire.AnnounceReply, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_Announce{Announce: a}})
	if err != nil {
		return nil, err
	}
	return resp.GetAnnounceReply(), nil
}

// AnnounceBatch renews the leases of several backend servers without an agent.
func (c *Client) AnnounceBatch(ctx context.Context, batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error) {
	resp, err := c.call(ctx, &wire.Request{Body: &wire.Request_AnnounceBatch{AnnounceBatch: batch}})
	if err != nil {
		return nil, err
	}
	return resp.GetAnnounceBatchReply(), nil
}

// call sends a request to the leader and retries until it answers or ctx ends. While the leader
// is unknown, the calls of a kind share their attempts: one asks, and the others wait for its result.
func (c *Client) call(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	kind := reflect.TypeOf(req.GetBody())
	var last failure
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		a := c.begin(kind)
		for a.ended != nil {
			if !a.await(ctx) {
				return nil, noLeader(ctx, last)
			}
			a = c.begin(kind)
		}
		last = a.failed
		if last.err == nil {
			resp, address, err := c.attempt(ctx, a, req)
			if err == nil || !retryable(fault.From(err).Kind) {
				return resp, err
			}
			last = failure{address: address, err: err}
		}
		if !c.sleep(ctx, wait/2+rand.N(wait/2), last) {
			return nil, noLeader(ctx, last)
		}
	}
}

// noLeader returns the error of a call whose context ends after a failure.
func noLeader(ctx context.Context, last failure) error {
	err := last.err
	if err == nil {
		err = ctx.Err()
	}
	return fault.New(fault.Unavailable, fault.Unknown, "no control leader answered: %w", err)
}

// attempt calls a replica and follows the hints of those that refuse. It returns the address of
// the replica that was called last.
func (c *Client) attempt(ctx context.Context, a attempt, req *wire.Request) (resp *wire.Response, address string, err error) {
	defer func() { c.end(ctx, a, failure{address: address, err: err}) }()
	for hops := 0; ; hops++ {
		var epoch uint64
		address, epoch = c.targetOf()
		began := time.Now()
		resp, err = c.callOnce(ctx, address, req)
		if err == nil {
			c.answered(address, epoch)
			return resp, address, nil
		}
		e := fault.From(err)
		if !retryable(e.Kind) {
			return nil, address, err
		}
		if errors.Is(ctx.Err(), context.Canceled) && time.Since(began) < attemptShare {
			return nil, address, err // says nothing about the replica
		}
		leader := e.Leader
		if hops == maxHintHops {
			leader = "" // stop following hints until after a delay
		}
		if !c.failed(address, leader, epoch) || hops == maxHintHops {
			return nil, address, err
		}
	}
}

// attempt is the permission of a call to ask, or what it has to wait for.
type attempt struct {
	// search is the search to which the attempt belongs; nil while no call has failed.
	search *search
	// mine is the ended channel of search for this attempt.
	mine chan struct{}
	// failed is the result of a shared attempt that has just failed, without an error if there is none.
	failed failure
	// ended and found are set if the call has to wait for the attempt of another one, until one
	// of them is closed, or for patience.
	ended, found <-chan struct{}
	patience     time.Duration
}

// await waits for the attempt of another call and reports whether ctx has not ended.
func (a *attempt) await(ctx context.Context) bool {
	timer := time.NewTimer(a.patience)
	defer timer.Stop()
	select {
	case <-a.ended:
	case <-a.found:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// begin returns whether a call may ask, has the result of another one, or has to wait for it.
func (c *Client) begin(kind reflect.Type) attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.found == nil {
		return attempt{}
	}
	s := c.searches[kind]
	if s == nil {
		s = &search{}
		c.searches[kind] = s
	}
	now := time.Now()
	if pending := now.Sub(s.began); s.ended != nil && pending < attemptShare {
		return attempt{ended: s.ended, found: c.found, patience: attemptShare - pending}
	}
	if s.failed.err != nil && now.Sub(s.failedAt) < minRetryDelay/2 {
		return attempt{failed: s.failed}
	}
	s.ended, s.began = make(chan struct{}), now
	return attempt{search: s, mine: s.ended}
}

// end ends an attempt. The calls that wait for it take its failure for theirs, unless it failed
// only because its own call was given up.
func (c *Client) end(ctx context.Context, a attempt, result failure) {
	if a.search == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if result.err != nil && ctx.Err() == nil && retryable(fault.From(result.err).Kind) {
		a.search.failed, a.search.failedAt = result, time.Now()
	}
	if a.search.ended == a.mine {
		a.search.ended = nil
	}
	close(a.mine)
}

// sleep waits for d after a failure, or until a leader is found. It reports whether ctx has not ended.
func (c *Client) sleep(ctx context.Context, d time.Duration, last failure) bool {
	c.mu.Lock()
	found := c.found
	c.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-found:
			// A leader that answers others but not this call is asked again only after the delay.
			if fault.Is(last.err, fault.NotLeader) || c.target() != last.address {
				return true
			}
			found = nil
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Client) callOnce(ctx context.Context, address string, req *wire.Request) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	req.ViewVersion = c.viewVersion()
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

// target returns the address to call: that of the leader if it is known, or else that of
// the next replica to try.
func (c *Client) target() string {
	address, _ := c.targetOf()
	return address
}

// targetOf returns the address to call and the epoch in which that is so.
func (c *Client) targetOf() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader, c.epoch
	}
	return c.addresses[c.next], c.epoch
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// answered records that the replica at address has answered as the leader, to a call that began
// in epoch. An answer to an earlier call does not replace a leader that was found since.
func (c *Client) answered(address string, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		return
	}
	c.leader = address
	if c.found != nil {
		close(c.found)
		c.found, c.searches = nil, nil
		c.epoch++
	}
}

// failed records the failure of a call to the replica at address that began in epoch, and begins a
// search. It reports whether another replica is to be called at once: the one that the hint names, or a
// leader that was found since.
func (c *Client) failed(address, leader string, epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.found == nil && (epoch != c.epoch || c.leader != "" && c.leader != address) {
		return c.leader != address
	}
	if c.found == nil {
		c.found, c.searches = make(chan struct{}), map[reflect.Type]*search{}
		c.epoch++
	}
	return c.callFailedLocked(address, leader)
}

// callFailed records that the replica at address did not answer as the leader. leader
// is the hint in its refusal or empty. It reports whether the hint names another
// replica. A leader that a concurrent call has found in the meantime is kept.
func (c *Client) callFailed(address, leader string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callFailedLocked(address, leader)
}

func (c *Client) callFailedLocked(address, leader string) bool {
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
