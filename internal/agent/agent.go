// Package agent is the small process beside a backend server. All work for the
// backend server passes through it: the gate refuses what must not run, and the
// agent numbers and buffers the chunks of each answer, so that a router whose
// link broke can go on reading.
package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"parsleypulley/internal/agent/gate"
	"parsleypulley/internal/agent/holdings"
	"parsleypulley/internal/engine"
	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// Config is the configuration of an Agent.
type Config struct {
	// Name of the backend server, unique in the deployment.
	Name string
	// Address is the link address of this agent, ip:port.
	Address       string
	FailureDomain string
	Region        string
	// Service is the plain service's name; empty before an engine.
	Service string
	// Incarnation names this life of the agent and grows with each; 0 takes the
	// time of New in Unix nanoseconds.
	Incarnation uint64
	Engine      engine.Engine
	// MaxRunning is announced to routers as the number of requests that the
	// backend server runs well together; 0 takes what the engine tells.
	MaxRunning int

	Gate     gate.Limits
	Holdings holdings.Limits
	Timings  Timings
	Streams  StreamLimits

	// View returns the newest view version and configuration revision that this
	// process holds; nil stands for none.
	View func() (version, revision uint64)
	// Quarantined tells whether the requests of an account with this fingerprint
	// are quarantined in the view of this process; nil stands for none. A router
	// whose view is behind may not know yet.
	Quarantined func(account string, fingerprint []byte) bool
	// OnNewerView is called with what a caller holds when its view version or
	// configuration revision is newer than this process's. It must not block.
	OnNewerView func(version, revision uint64)
	// KV fetches cached state from another agent; nil switches it off.
	KV KVFetcher
}

// Timings are the intervals and bounds of an agent.
type Timings struct {
	// HealthInterval, LoadInterval and EventsInterval are the intervals of polling the backend server.
	HealthInterval, LoadInterval, EventsInterval time.Duration
	// ResumeGrace is how long a stream without a router is kept running, and how
	// long a finished one can still be read again.
	ResumeGrace time.Duration
	// StallTimeout is how long the backend server may fail its health checks before runs
	// that make no progress meanwhile are given up, to go on elsewhere.
	StallTimeout time.Duration
	// ClaimedCallTimeout bounds the run of a call that is not cancelled when its router
	// goes away.
	ClaimedCallTimeout time.Duration
	// KVTimeout bounds fetching cached state before a request.
	KVTimeout time.Duration
}

// DefaultTimings returns the timings that an agent uses.
func DefaultTimings() Timings {
	return Timings{
		HealthInterval:     250 * time.Millisecond,
		LoadInterval:       100 * time.Millisecond,
		EventsInterval:     200 * time.Millisecond,
		ResumeGrace:        2 * time.Second,
		StallTimeout:       2 * time.Second,
		ClaimedCallTimeout: 10 * time.Minute,
		KVTimeout:          300 * time.Millisecond,
	}
}

// Agent is a link handler before one backend server. Its Run method must run
// for as long as it serves.
type Agent struct {
	config  Config
	engine  engine.Engine
	tracer  trace.Tracer
	streams *streamTable

	// ctx ends with Close, and with it all work at the backend server.
	ctx   context.Context
	close context.CancelFunc

	mu     sync.Mutex
	gate   *gate.Gate
	digest *holdings.Index
	// ledger counts what the engine runs and holds.
	ledger *routing.LoadTracker
	load   *dialect.Load
	health engine.Health
	// downSince is when the first of the failed health checks began.
	downSince time.Time
	// healthSeen is the number of the latest health check that was noted.
	healthSeen   uint64
	healthChecks atomic.Uint64

	// suspect is held by the one suspect that runs.
	suspect chan struct{}

	pumps sync.WaitGroup
	kick  chan struct{}
}

// New returns an agent. Nothing is let through until Run has seen the backend
// server's health.
func New(c Config) (*Agent, error) {
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("agent settings: %w", err)
	}
	c.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config:  c,
		engine:  c.Engine,
		tracer:  otel.Tracer("parsleypulley/internal/agent"),
		streams: newStreamTable(c.Streams, c.Timings.ResumeGrace),
		ctx:     ctx,
		close:   cancel,
		gate:    gate.New(c.Incarnation, c.Service, c.Gate),
		digest:  holdings.New(c.Holdings),
		ledger:  routing.NewLoadTracker(0),
		suspect: make(chan struct{}, 1),
		kick:    make(chan struct{}, 1),
	}
	a.digest.OnDrop(a.ledger.Evicted)
	return a, nil
}

func (c *Config) validate() error {
	var problems []error
	if c.Name == "" {
		problems = append(problems, errors.New("the backend server's name is missing"))
	}
	if c.Address == "" {
		problems = append(problems, errors.New("the link address is missing"))
	}
	if c.Engine == nil {
		problems = append(problems, errors.New("the engine is missing"))
		return errors.Join(problems...)
	}
	if c.Engine.PlainService() != (c.Service != "") {
		problems = append(problems, errors.New("a plain service needs a service name, an engine must have none"))
	}
	return errors.Join(problems...)
}

func (c *Config) setDefaults() {
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.Gate == (gate.Limits{}) {
		c.Gate = gate.DefaultLimits()
	}
	if c.Holdings == (holdings.Limits{}) {
		c.Holdings = holdings.DefaultLimits()
	}
	if c.Timings == (Timings{}) {
		c.Timings = DefaultTimings()
	}
	if c.Streams == (StreamLimits{}) {
		c.Streams = DefaultStreamLimits()
	}
	if c.View == nil {
		c.View = func() (version, revision uint64) { return 0, 0 }
	}
	if c.Quarantined == nil {
		c.Quarantined = func(string, []byte) bool { return false }
	}
	if c.OnNewerView == nil {
		c.OnNewerView = func(uint64, uint64) {}
	}
}

// Incarnation returns the identification of this life of the agent.
func (a *Agent) Incarnation() uint64 { return a.config.Incarnation }

// Status returns the state of the gate.
func (a *Agent) Status() gate.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Status()
}

// Backend returns what the agent announces of its backend server. The engine
// incarnation is 0, and no model is loaded, while the backend server is down.
func (a *Agent) Backend() *wire.Backend {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.gate.Status()
	maxRunning := a.config.MaxRunning
	if maxRunning == 0 {
		maxRunning = a.health.MaxRunning
	}
	life, models := status.Incarnation, status.Models
	if !status.Up {
		life, models = 0, nil
	}
	return &wire.Backend{
		Name:              a.config.Name,
		AgentAddress:      a.config.Address,
		FailureDomain:     a.config.FailureDomain,
		Region:            a.config.Region,
		AgentIncarnation:  a.config.Incarnation,
		EngineIncarnation: life,
		Service:           a.config.Service,
		Models:            models,
		ChecksFencing:     a.health.ChecksFencing,
		MaxRunning:        uint32(maxRunning),
	}
}

// SetDraining makes the agent refuse new work, or accept it again. Running work
// goes on.
func (a *Agent) SetDraining(draining bool) {
	a.mu.Lock()
	changed := a.gate.Status().Draining != draining
	a.gate.SetDraining(draining)
	a.mu.Unlock()
	if changed {
		event.DrainChanged(a.config.Name, draining)
	}
}

// ObserveFencingToken raises the oldest fencing token that the agent accepts in orders.
func (a *Agent) ObserveFencingToken(token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ObserveFencingToken(token)
}

// Drain is the planned stop: it refuses new work from now on, announces that the
// backend server leaves, and waits until running work has finished or ctx ends.
// The link server's Shutdown then waits until the answers have been sent.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.gate.SetLeaving()
	a.mu.Unlock()
	a.TriggerAnnounce()
	done := make(chan struct{})
	go func() { a.pumps.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.Unknown, "%d requests are still running: %w", a.Status().Running, ctx.Err())
	}
}

// TriggerAnnounce makes the Announcer announce at once.
func (a *Agent) TriggerAnnounce() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// Close cancels all work at the backend server and waits for it to end.
func (a *Agent) Close() {
	a.close()
	a.pumps.Wait()
}

// track counts a pump for Drain and Close.
func (a *Agent) track(pump func()) {
	a.pumps.Add(1)
	go func() {
		defer a.pumps.Done()
		pump()
	}()
}
