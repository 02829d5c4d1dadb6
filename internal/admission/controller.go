// Package admission decides when a request may go on to a backend server, and
// refuses it as soon as its deadline can't be met.
//
// Each pool (a model or a plain service) has a window: a limit on the predicted
// tokens that may wait for their first token at the backend servers. The window
// follows the queueing delay observed there. Requests that do not fit wait
// here, in a fair queue over client accounts. A Controller is a deterministic
// state machine without I/O: the time is passed in, and actions are returned.
// It is not safe for concurrent use.
package admission

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
)

// Settings are the limits of the preset in force.
type Settings struct {
	// MaxQueue limits the number of requests that wait in each pool; 0 stands
	// for DefaultMaxQueue.
	MaxQueue int
	// TargetDelay is the queueing delay at the backend servers that the window
	// aims for; 0 stands for DefaultTargetDelay.
	TargetDelay time.Duration
}

const (
	// DefaultMaxQueue is the default limit on waiting requests of a pool.
	DefaultMaxQueue = 1024
	// DefaultTargetDelay is the default of Settings.TargetDelay.
	DefaultTargetDelay = 100 * time.Millisecond
)

// Request is a request for admission.
type Request struct {
	// ID is unique among the requests that have not ended.
	ID uint64
	// Pool is the name of the model or service that the request needs.
	Pool    string
	Account string
	// Weight is the account's share relative to other accounts; 0 stands for 1.
	Weight uint32
	// Priority orders accounts: requests with a higher priority run first.
	Priority int32
	// MaxConcurrent limits the account's running requests; 0 for no limit.
	MaxConcurrent uint32
	// Tokens is the predicted work: the number of prompt tokens to compute plus
	// the number of output tokens.
	Tokens uint32
	// Deadline is when the first token is due; zero for no deadline.
	Deadline time.Time
}

// Action is the decision to grant or to refuse a request, which the driver
// carries out.
type Action struct {
	ID uint64
	// Refusal is the reason of a refusal; nil if the request is granted.
	Refusal *fault.Error
	// Demotion is how far the engine priority of a granted request is to be
	// lowered, because its account uses more than its share: 0 to MaxDemotion.
	Demotion int32
}

// MaxDemotion is the largest Demotion.
const MaxDemotion = 4

// Result describes how a granted request ended.
type Result struct {
	// Tokens is the actual work of the request, counted like Request.Tokens; 0
	// if unknown.
	Tokens uint32
}

// Controller admits requests.
type Controller struct {
	settings Settings
	pools    map[string]*pool
	// order lists the pools in the order of their creation, so that the order
	// of actions is deterministic.
	order []*pool
	// active holds the requests that have not ended, by their ID.
	active map[uint64]*trackedRequest
}

// New returns a controller without pools.
func New(s Settings) *Controller {
	c := &Controller{pools: make(map[string]*pool), active: make(map[uint64]*trackedRequest)}
	c.SetSettings(s)
	return c
}

// SetSettings replaces the limits.
func (c *Controller) SetSettings(s Settings) {
	if s.MaxQueue <= 0 {
		s.MaxQueue = DefaultMaxQueue
	}
	if s.TargetDelay <= 0 {
		s.TargetDelay = DefaultTargetDelay
	}
	c.settings = s
}

// SetCapacity sets the number of backend servers of a pool and how many
// requests they run concurrently in total. With zero servers the pool is
// removed and its waiting requests are refused.
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
	p.backendWindow.resize(servers, maxRunning)
	return c.advance(now, p, nil)
}

// SetOccupancy sets the occupied part of the backend servers of a pool, from 0
// to 1, counting the requests of all routers; see routing.Router.Occupancy.
// Drivers call it periodically.
func (c *Controller) SetOccupancy(now time.Time, name string, occupancy float64) []Action {
	p := c.pools[name]
	if p == nil {
		return nil
	}
	p.backendWindow.setOccupancy(occupancy)
	return c.advance(now, p, nil)
}

// Admit grants, refuses or enqueues a new request. The returned actions may
// concern other requests too. A request without an action waits.
func (c *Controller) Admit(now time.Time, req Request) []Action {
	p := c.pools[req.Pool]
	if p == nil {
		return []Action{{ID: req.ID, Refusal: fault.New(fault.NoBackend, fault.NotRun, "no backend server for %s", req.Pool)}}
	}
	if c.active[req.ID] != nil {
		return []Action{{ID: req.ID, Refusal: fault.New(fault.Internal, fault.NotRun, "request %d is known already", req.ID)}}
	}
	t := &trackedRequest{Request: req, pool: p, arrivedAt: now}
	t.Weight = max(1, t.Weight)
	t.Tokens = max(1, t.Tokens)
	actions := c.enqueue(now, t)
	return c.advance(now, p, actions)
}

// FirstToken records that the first token of a granted request came, after the
// given queueing delay at the backend server.
func (c *Controller) FirstToken(now time.Time, id uint64, delay time.Duration) []Action {
	t := c.active[id]
	if t == nil || t.state != granted {
		return nil
	}
	t.state = answering
	t.pool.started(now, t, delay, c.settings.TargetDelay)
	return c.advance(now, t.pool, nil)
}

// Finish records that a granted request has ended, or that the caller no
// longer waits for one that was not granted.
func (c *Controller) Finish(now time.Time, id uint64, result Result) []Action {
	t := c.active[id]
	if t == nil {
		return nil
	}
	delete(c.active, id)
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

// NextTick returns when Tick must be called next; zero if no waiting request
// has a deadline.
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
