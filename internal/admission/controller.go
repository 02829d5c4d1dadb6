// Package admission decides when a request may go on to a backend server, and
// refuses it as soon as its deadline can't be met.
//
// Each pool (a model or a plain service) has a window of predicted tokens that
// may wait for their first token at the backend servers; the window follows
// the queueing delay that is observed there. What does not fit waits here, in
// a fair queue over client accounts. A Controller is a deterministic state
// machine without I/O: time is passed in, and actions come out. It is not safe
// for concurrent use.
package admission

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
)

// Settings are the limits of the preset in force.
type Settings struct {
	// MaxQueue bounds the requests that wait in each pool; 0 stands for
	// DefaultMaxQueue.
	MaxQueue int
	// TargetDelay is the queueing delay at the backend servers that the window
	// aims at; 0 stands for DefaultTargetDelay.
	TargetDelay time.Duration
}

const (
	// DefaultMaxQueue is the bound on waiting requests of a pool.
	DefaultMaxQueue = 1024
	// DefaultTargetDelay is the aimed queueing delay at backend servers.
	DefaultTargetDelay = 100 * time.Millisecond
)

// Request asks for admission.
type Request struct {
	// ID is unique among requests that have not ended.
	ID uint64
	// Pool is the model or service that the request needs.
	Pool    string
	Account string
	// Weight is the account's share relative to others; 0 stands for 1.
	Weight uint32
	// Priority orders accounts: higher runs first.
	Priority int32
	// MaxConcurrent bounds the account's running requests; 0 is no limit.
	MaxConcurrent uint32
	// Tokens is the predicted work: prompt tokens to compute and output tokens.
	Tokens uint32
	// Deadline is when the first token is due; zero is no deadline.
	Deadline time.Time
}

// Action tells the driver what becomes of a request.
type Action struct {
	ID uint64
	// Refusal is nil when the request may go on.
	Refusal *fault.Error
	// Demotion is how far the engine priority of a granted request is to be
	// lowered, because its account uses more than its share: 0 to MaxDemotion.
	Demotion int32
}

// MaxDemotion is the largest Demotion.
const MaxDemotion = 4

// Result tells how a granted request ended.
type Result struct {
	// Tokens is the work that the request turned out to be; 0 if not known.
	Tokens uint32
}

// Controller admits requests.
type Controller struct {
	settings Settings
	pools    map[string]*pool
	// order lists the pools as they came, so that actions repeat exactly.
	order []*pool
	// owner finds the pool of a request that has not ended.
	owner map[uint64]*ticket
}

// New returns a controller without pools.
func New(s Settings) *Controller {
	c := &Controller{pools: make(map[string]*pool), owner: make(map[uint64]*ticket)}
	c.SetSettings(s)
	return c
}

// SetSettings takes the limits of the preset in force.
func (c *Controller) SetSettings(s Settings) {
	if s.MaxQueue <= 0 {
		s.MaxQueue = DefaultMaxQueue
	}
	if s.TargetDelay <= 0 {
		s.TargetDelay = DefaultTargetDelay
	}
	c.settings = s
}

// SetCapacity tells what stands behind a pool: the number of backend servers
// and how many requests they run at once in all. Zero servers remove the pool;
// its waiting requests are refused.
func (c *Controller) SetCapacity(now time.Time, name string, servers, maxRunning int) []Action {
	p := c.pools[name]
	if servers <= 0 {
		if p == nil {
			return nil
		}
		delete(c.pools, name)
		c.order = slices.DeleteFunc(c.order, func(o *pool) bool { return o == p })
		return c.refuseAll(p)
	}
	if p == nil {
		p = newPool(name, now)
		c.pools[name] = p
		c.order = append(c.order, p)
	}
	p.limit.resize(servers, maxRunning)
	return c.advance(now, p, nil)
}

// SetOccupancy tells which part of the slots for running requests is taken at the
// backend servers of a pool, by all routers: 0 to 1. Drivers call it
// periodically; see routing.Router.Occupancy.
func (c *Controller) SetOccupancy(now time.Time, name string, part float64) []Action {
	p := c.pools[name]
	if p == nil {
		return nil
	}
	p.limit.occupied(part)
	return c.advance(now, p, nil)
}

// Admit takes a new request. The actions may concern other requests too; a
// request without an action waits.
func (c *Controller) Admit(now time.Time, req Request) []Action {
	p := c.pools[req.Pool]
	if p == nil {
		return []Action{{ID: req.ID, Refusal: fault.New(fault.NoBackend, fault.NotRun, "no backend server for %s", req.Pool)}}
	}
	if c.owner[req.ID] != nil {
		return []Action{{ID: req.ID, Refusal: fault.New(fault.Internal, fault.NotRun, "request %d is known already", req.ID)}}
	}
	t := &ticket{Request: req, pool: p, arrived: now}
	t.Weight = max(1, t.Weight)
	t.Tokens = max(1, t.Tokens)
	actions := c.enqueue(now, t)
	return c.advance(now, p, actions)
}

// FirstToken tells that a granted request's first token came after the given
// queueing delay at the backend server.
func (c *Controller) FirstToken(now time.Time, id uint64, delay time.Duration) []Action {
	t := c.owner[id]
	if t == nil || t.state != granted {
		return nil
	}
	t.state = answering
	t.pool.started(now, t, delay, c.settings.TargetDelay)
	return c.advance(now, t.pool, nil)
}

// Finish tells that a granted request has ended, or that a waiting one was
// given up by its caller.
func (c *Controller) Finish(now time.Time, id uint64, result Result) []Action {
	t := c.owner[id]
	if t == nil {
		return nil
	}
	delete(c.owner, id)
	if t.state == waiting {
		t.pool.remove(t)
	} else {
		t.pool.finished(now, t, result)
	}
	return c.advance(now, t.pool, nil)
}

// Tick refuses the waiting requests whose deadline can't be met any more.
func (c *Controller) Tick(now time.Time) []Action {
	var actions []Action
	for _, p := range c.order {
		actions = c.advance(now, p, actions)
	}
	return actions
}

// NextTick returns when Tick is due; zero when nothing waits on time.
func (c *Controller) NextTick() time.Time {
	var next time.Time
	for _, p := range c.order {
		if due := p.nextDue(); !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

// Waiting returns the number of requests that wait in a pool.
func (c *Controller) Waiting(name string) int {
	if p := c.pools[name]; p != nil {
		return p.waiting
	}
	return 0
}
