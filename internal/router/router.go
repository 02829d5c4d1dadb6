// Package router is the router process: it binds admission, routing and
// dispatch to the caller's edge, to the agents and to the control replicas.
package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"

	"parsleypulley/internal/admission"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/link"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

var tracer = otel.Tracer("parsleypulley/router")

// Options are the parts a Router is made of.
type Options struct {
	// Name is this router's name, unique in the installation.
	Name string
	// Address is the link address of this router.
	Address string
	// Domain is the failure domain of this router.
	Domain string
	// Seed draws the random choices of routing.
	Seed    uint64
	Views   *view.Store
	Pool    *link.Pool
	Control *controlclient.Client
	// OnNewerView is called when an answer names a newer view than this
	// process holds.
	OnNewerView func(version uint64, address string)
}

// Router serves the calls that the gateway hands it. It implements
// gateway.Server.
type Router struct {
	opts    Options
	admit   *admitter
	choose  *chooser
	budget  *dispatch.Budget
	metrics *Metrics
	// versions holds the weights versions that requests are served on.
	versions atomic.Pointer[versions]

	// ownQuarantine holds the keys of quarantines that the view may not have yet.
	ownQuarantine sync.Map

	ownerID atomic.Uint64
	mu      sync.Mutex
	calls   map[*call]struct{}
	// ready is closed once a view has been adopted.
	ready chan struct{}
}

// New returns a router that serves by the views in opts.
func New(opts Options) *Router {
	r := &Router{
		opts:    opts,
		admit:   newAdmitter(),
		choose:  newChooser(opts.Domain, opts.Seed),
		budget:  dispatch.NewBudget(0),
		metrics: &Metrics{},
		calls:   map[*call]struct{}{},
		ready:   make(chan struct{}),
	}
	r.adopt(opts.Views.Load())
	return r
}

// Run follows the views and probes the backend servers until ctx ends.
func (r *Router) Run(ctx context.Context) {
	go r.probeLoop(ctx)
	for {
		changed := r.opts.Views.Changed()
		r.adopt(r.opts.Views.Load())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// adopt takes a view into force in all decisions.
func (r *Router) adopt(s *view.Snapshot) {
	r.choose.update(s)
	serving := servingVersions(s)
	r.versions.Store(&serving)
	r.budget.SetPercent(int(s.Config.Preset.RetryBudgetPercent))
	now := time.Now()
	r.admit.update(func(c *admission.Controller) []admission.Action {
		c.SetSettings(admission.Settings{MaxQueue: s.Config.Preset.MaxQueue})
		return setCapacities(now, c, s)
	})
	r.tellSuspects(s)
	if s.Config.Revision > 0 {
		r.markReady()
	}
}

func (r *Router) markReady() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ready:
	default:
		close(r.ready)
	}
}

// Ready returns a channel that is closed once the router routes by a configuration.
func (r *Router) Ready() <-chan struct{} { return r.ready }

// setCapacities tells the controller what stands behind each model and service.
func setCapacities(now time.Time, c *admission.Controller, s *view.Snapshot) []admission.Action {
	servers, running := map[string]int{}, map[string]int{}
	for _, m := range s.Members() {
		if m.State != wire.BackendState_BACKEND_STATE_READY && m.State != wire.BackendState_BACKEND_STATE_SUSPECTED {
			continue
		}
		for _, pool := range poolsOf(m.Backend) {
			servers[pool]++
			running[pool] += int(m.Backend.MaxRunning)
		}
	}
	var actions []admission.Action
	for _, model := range s.Config.Models() {
		actions = append(actions, c.SetCapacity(now, model.Name, servers[model.Name], running[model.Name])...)
	}
	for _, service := range s.Config.Services() {
		pool := servicePool(service.Name)
		actions = append(actions, c.SetCapacity(now, pool, servers[pool], running[pool])...)
	}
	return actions
}

// servicePool is the admission pool of a plain service; models and services
// may share a name.
func servicePool(service string) string { return "services/" + service }

func poolsOf(b *wire.Backend) []string {
	if b.Service != "" {
		return []string{servicePool(b.Service)}
	}
	var pools []string
	for _, m := range b.Models {
		pools = append(pools, m.Model)
	}
	return pools
}

// tellSuspects tells running calls which backend servers are suspected, so that
// they start elsewhere at once if the preset allows a second attempt.
func (r *Router) tellSuspects(s *view.Snapshot) {
	if !s.Config.Preset.Hedge {
		return
	}
	for _, m := range s.Members() {
		if m.State != wire.BackendState_BACKEND_STATE_SUSPECTED {
			continue
		}
		r.mu.Lock()
		for c := range r.calls {
			c.hint(dispatch.Suspected{Backend: m.Backend.Name})
		}
		r.mu.Unlock()
	}
}

// Serve implements gateway.Server.
func (r *Router) Serve(ctx context.Context, req *gateway.Request, w gateway.Responder) error {
	r.metrics.Requests.Add(1)
	ctx, span := tracer.Start(ctx, "router serve")
	defer span.End()
	err := r.serve(ctx, req, w)
	if err != nil {
		r.metrics.Failures.Add(1)
	}
	return err
}

func (r *Router) serve(ctx context.Context, req *gateway.Request, w gateway.Responder) error {
	refused := func(err error) error {
		if req.Repeat == gateway.AtMostOnce {
			return fault.Unproved(err)
		}
		return err
	}
	p, err := r.plan(req)
	if err != nil {
		return refused(err)
	}
	t, err := r.admit.admit(ctx, p.admission)
	if err != nil {
		return refused(err)
	}
	defer t.finish()
	p.priority -= t.demotion
	p.routing.Demotion = t.demotion
	if req.Repeat == gateway.AtMostOnce {
		return r.serveOnce(ctx, p, w)
	}
	return r.serveAttempts(ctx, p, t, w)
}

// tellVersion passes on a newer view version seen in an answer.
func (r *Router) tellVersion(version uint64, address string) {
	if version > r.opts.Views.Load().Version && r.opts.OnNewerView != nil {
		r.opts.OnNewerView(version, address)
	}
}

// probe timings.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// probeLoop asks agents for load and holdings where the last report is old,
// and tells admission how far the backend servers are taken.
func (r *Router) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := r.opts.Views.Load()
		for _, name := range r.choose.probeDue() {
			if m := snapshot.Member(name); m != nil {
				go r.probe(ctx, m.Backend)
			}
		}
		r.observeOccupancy()
	}
}

// observeOccupancy tells admission which part of each model's backend servers
// is taken.
func (r *Router) observeOccupancy() {
	for _, model := range r.opts.Views.Load().Config.Models() {
		part := r.choose.occupancy(&routing.Request{Model: model.Name, WeightsVersion: r.servingVersion(model)})
		r.admit.update(func(c *admission.Controller) []admission.Action {
			return c.SetOccupancy(time.Now(), model.Name, part)
		})
	}
}

func (r *Router) probe(ctx context.Context, b *wire.Backend) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := r.opts.Pool.Call(ctx, b.AgentAddress, &wire.Request{
		ViewVersion: r.opts.Views.Load().Version,
		FromAddress: r.opts.Address,
		Body:        &wire.Request_Probe{Probe: &wire.Probe{}},
	})
	if err != nil {
		event.ProbeFailed(b.Name, err)
		return
	}
	r.tellVersion(resp.ViewVersion, b.AgentAddress)
	if reply := resp.GetProbeReply(); reply != nil {
		r.choose.probed(b.Name, reply)
	}
}

func contextKind(cause error) fault.Kind {
	if errors.Is(cause, context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.Cancelled
}
