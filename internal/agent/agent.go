// Package agent implements the agent, a small process that runs next to a
// backend server. All requests to the backend server pass through its agent. The
// gate refuses requests that must not run. The agent numbers and buffers the
// chunks of each response, so that a router can resume a stream after the link
// broke. A link is a connection between two processes.
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
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// Config is the configuration of an Agent.
type Config struct {
	// Name is the name of the backend server. It is unique in the deployment.
	Name string
	// Address is the link address of this agent, as ip:port.
	Address       string
	FailureDomain string
	Region        string
	// Service is the name of the plain service. It is empty when the backend
	// server is an engine.
	Service string
	// Incarnation identifies this run of the agent. It must increase with each
	// restart. If it is 0, New uses the current time in Unix nanoseconds.
	Incarnation uint64
	Engine      engine.Engine
	// MaxRunning is announced to routers as the number of requests that the
	// backend server can run concurrently. If it is 0, the agent announces the
	// value that the engine reports.
	MaxRunning int

	Gate     gate.Limits
	Holdings holdings.Limits
	Timings  Timings
	Streams  StreamLimits

	// View returns the newest view version and configuration revision that this
	// process has. The view is the part of the replicated state of control that every
	// process receives. If View is nil, both numbers are 0.
	View func() (version, revision uint64)
	// Quarantined reports whether this process's view quarantines requests of the
	// account with this fingerprint. A router with an older view may still
	// dispatch them. If it is nil, no request is quarantined.
	Quarantined func(account string, fingerprint []byte) bool
	// OnNewerView is called with the view version and configuration revision of a
	// caller if one of them is newer than this process's. It must not block.
	OnNewerView func(version, revision uint64)
	// KV fetches cached state from another agent. If it is nil, the agent fetches
	// no cached state.
	KV KVFetcher
}

// Timings are the intervals and timeouts of an agent.
type Timings struct {
	// HealthInterval is the time between two health checks.
	HealthInterval time.Duration
	// LoadInterval is the time between two polls of the engine's load.
	LoadInterval time.Duration
	// EventsInterval is the time between two polls of the engine's cache events.
	EventsInterval time.Duration
	// ResumeGrace is how long a running request continues after the link to its
	// router broke, and how long a finished stream can still be resumed.
	ResumeGrace time.Duration
	// StallTimeout is how long health checks may fail before the agent cancels the
	// requests that made no progress in that time. The router can then continue
	// them on another backend server.
	StallTimeout time.Duration
	// ClaimedCallTimeout limits the duration of a claimed call, which is a call that
	// must run at most once. Such a call is not cancelled when its router disconnects.
	ClaimedCallTimeout time.Duration
	// KVTimeout limits the time spent on fetching cached state before a request.
	KVTimeout time.Duration
}

// DefaultTimings returns the default timings of an agent.
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

// Agent is the link handler for one backend server. Run must be running for as
// long as the agent serves calls.
type Agent struct {
	config  Config
	engine  engine.Engine
	tracer  trace.Tracer
	streams *streamTable

	// ctx is the parent of all work at the backend server. Close cancels it.
	ctx   context.Context
	close context.CancelFunc
	// runsCtx is the parent of the runs. cancelRuns cancels it.
	runsCtx    context.Context
	cancelRuns context.CancelCauseFunc
	stopOnce   sync.Once
	// endedByStop is the number of requests that the planned stop has ended.
	endedByStop atomic.Int64

	mu   sync.Mutex
	gate *gate.Gate
	// prefixIndex holds the known contents of the engine's prefix cache.
	prefixIndex *holdings.Index
	// loadTracker tracks the requests and the prompt levels at the engine.
	loadTracker *routing.LoadTracker
	// load is the engine's last load report, or nil before the first one.
	load   *dialect.Load
	health engine.Health
	// downSince is the start time of the first failed health check after the last
	// successful one.
	downSince time.Time
	// lastHealthCheck is the number of the latest health check whose result was
	// recorded.
	lastHealthCheck uint64
	// healthChecks is the number of health checks that were started.
	healthChecks atomic.Uint64

	// suspectSlot limits suspect requests to one at a time. A request is suspect if
	// an engine crashed while it ran the request before.
	suspectSlot chan struct{}

	// runs counts the running requests.
	runs sync.WaitGroup
	// announceNow receives a value when the Announcer must announce immediately.
	announceNow chan struct{}
}

// New returns an agent. It refuses all requests until a health check by Run
// succeeds.
func New(c Config) (*Agent, error) {
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("agent settings: %w", err)
	}
	c.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config:      c,
		engine:      c.Engine,
		tracer:      otel.Tracer("parsleypulley/internal/agent"),
		streams:     newStreamTable(c.Streams, c.Timings.ResumeGrace),
		ctx:         ctx,
		close:       cancel,
		gate:        gate.New(c.Incarnation, c.Service, c.Gate),
		prefixIndex: holdings.New(c.Holdings),
		loadTracker: routing.NewLoadTracker(0),
		suspectSlot: make(chan struct{}, 1),
		announceNow: make(chan struct{}, 1),
	}
	a.runsCtx, a.cancelRuns = context.WithCancelCause(ctx)
	a.prefixIndex.OnDrop(a.loadTracker.Evicted)
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

// Incarnation returns the incarnation of this agent.
func (a *Agent) Incarnation() uint64 { return a.config.Incarnation }

// Status returns the state of the gate.
func (a *Agent) Status() gate.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Status()
}

// Backend returns the description of the backend server that is announced to the
// control replicas. While the backend server is down, the engine incarnation is 0 and
// the list of models is empty.
func (a *Agent) Backend() *wire.Backend {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.gate.Status()
	maxRunning := a.config.MaxRunning
	if maxRunning == 0 {
		maxRunning = a.health.MaxRunning
	}
	incarnation, models := status.Incarnation, status.Models
	if !status.Up {
		incarnation, models = 0, nil
	}
	return &wire.Backend{
		Name:              a.config.Name,
		AgentAddress:      a.config.Address,
		FailureDomain:     a.config.FailureDomain,
		Region:            a.config.Region,
		AgentIncarnation:  a.config.Incarnation,
		EngineIncarnation: incarnation,
		Service:           a.config.Service,
		Models:            models,
		ChecksFencing:     a.health.ChecksFencing,
		MaxRunning:        uint32(maxRunning),
		SoftwareVersion:   a.health.SoftwareVersion,
	}
}

// SetDraining makes the agent refuse new requests, or accept them again. Running
// requests continue.
func (a *Agent) SetDraining(draining bool) {
	a.mu.Lock()
	changed := a.gate.SetDraining(draining)
	a.mu.Unlock()
	if changed {
		event.DrainChanged(a.config.Name, draining)
	}
}

// readNotices makes the agent refuse new requests if the backend server has said that it
// leaves, and those beyond the limit that it has named. Running requests continue.
func (a *Agent) readNotices() {
	incarnation, perSecond := a.engine.Leaving(), a.engine.Limit()
	a.mu.Lock()
	leaves := incarnation != 0 && a.gate.EngineLeaves(incarnation)
	limits := a.gate.SetLimit(time.Now(), perSecond)
	a.mu.Unlock()
	if leaves {
		event.BackendSaysItLeaves(a.config.Name, a.config.Address)
	}
	if limits {
		event.BackendLimitsCalls(a.config.Name, a.config.Address, perSecond)
	}
}

// ObserveFencingToken makes the agent refuse orders with a fencing token lower than
// token.
func (a *Agent) ObserveFencingToken(token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ObserveFencingToken(token)
}

// Drain prepares the agent for a planned stop. It makes the agent refuse new
// requests, announces that the backend server is leaving, and waits until the
// running requests have finished or ctx ends. Then it ends them. The link server's
// Shutdown then waits until the responses have been sent.
func (a *Agent) Drain(ctx context.Context) error {
	a.leave()
	done := make(chan struct{})
	go func() { a.runs.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	running := a.Status().Running
	a.endRuns()
	select {
	case <-done:
	case <-time.After(stopWait):
	}
	return fault.New(fault.DeadlineExceeded, fault.Unknown, "%d requests are still running: %w", running, ctx.Err())
}

// TriggerAnnounce makes the Announcer send an announcement immediately.
func (a *Agent) TriggerAnnounce() {
	select {
	case a.announceNow <- struct{}{}:
	default:
	}
}

// Close cancels all running requests and waits until they have ended.
func (a *Agent) Close() {
	a.close()
	a.runs.Wait()
}

// startRun calls run in a goroutine. Drain and Close wait for it.
func (a *Agent) startRun(run func()) {
	a.runs.Add(1)
	go func() {
		defer a.runs.Done()
		recovery.Run("request", run)
	}()
}
