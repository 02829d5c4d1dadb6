// Package router implements the router process. It connects admission, routing and
// dispatch to the gateway that callers use, to the agents of the backend servers and
// to the control replicas.
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
	"parsleypulley/internal/crashreport"
	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/link"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/shutdown"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

var tracer = otel.Tracer("parsleypulley/router")

// Options configures a Router.
type Options struct {
	// Name is this router's name, unique in the installation.
	Name string
	// Address is the link address of this router.
	Address string
	// Domain is the failure domain of this router.
	Domain string
	// Seed seeds the random choices of routing.
	Seed uint64
	// Views provides the view by which the router serves calls.
	Views *view.Store
	// KeyTrust bounds how long an unconfirmed view is relied on. The directory of the gateway must
	// have the same.
	KeyTrust KeyTrust
	// Pool opens the calls to agents.
	Pool *link.Pool
	// Control proposes commands to the control replicas and reads their records.
	Control *controlclient.Client
	// OnNewerView is called when a response carries a newer view version than
	// the one in Views. address is the agent that sent it.
	OnNewerView func(version uint64, address string)
}

// Router serves the calls received by the gateway. It implements gateway.Server.
type Router struct {
	opts     Options
	admit    *admitter
	selector *backendSelector
	budget   *dispatch.Budget
	metrics  *Metrics
	crashes  *crashreport.Reporter
	quotas   *quotaClient
	// versions holds the weights version that requests for each model run on.
	versions atomic.Pointer[versions]

	// lastOwnerID is the number in the newest owner name of an at-most-once call.
	lastOwnerID atomic.Uint64
	// mu guards calls and the closing of ready.
	mu sync.Mutex
	// calls holds the running calls, except at-most-once calls.
	calls map[*call]struct{}
	// ready is closed once a view with a configuration has been applied.
	ready chan struct{}
}

// New returns a router that serves by the views in opts.
func New(opts Options) *Router {
	r := &Router{
		opts:     opts,
		admit:    newAdmitter(),
		selector: newBackendSelector(opts.Domain, opts.Seed),
		budget:   dispatch.NewBudget(0),
		metrics:  &Metrics{},
		crashes:  crashreport.New(opts.Control, opts.Views),
		calls:    map[*call]struct{}{},
		ready:    make(chan struct{}),
	}
	r.quotas = newQuotaClient(r)
	r.applyView(opts.Views.Load())
	return r
}

// Run applies new views and probes the backend servers until ctx ends.
func (r *Router) Run(ctx context.Context) {
	go r.probeLoop(ctx)
	go r.quotas.run(ctx)
	for {
		changed := r.opts.Views.Changed()
		r.applyView(r.opts.Views.Load())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyView makes all later decisions use view s.
func (r *Router) applyView(s *view.Snapshot) {
	r.selector.update(s)
	serving := servingVersions(s)
	r.versions.Store(&serving)
	r.budget.SetPercent(int(s.Config.Preset.RetryBudgetPercent))
	now := time.Now()
	r.admit.update(func(c *admission.Controller) []admission.Action {
		c.SetSettings(admission.Settings{MaxQueue: s.Config.Preset.MaxQueue})
		return setCapacities(now, c, s)
	})
	r.crashes.ApplyView(s)
	r.notifySuspected(s)
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

// Ready returns a channel that is closed once the router has a configuration to route
// by.
func (r *Router) Ready() <-chan struct{} { return r.ready }

// setCapacities sets in the admission controller, for each model and service, the number
// of backend servers and the total number of requests that they can run at once.
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

// servicePool returns the name of the admission pool of a plain service. The prefix
// keeps it distinct from the pool of a model of the same name.
func servicePool(service string) string { return "services/" + service }

// poolsOf returns the names of the admission pools that a backend server belongs to:
// its service, or the models that it has loaded.
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

// notifySuspected notifies running calls of suspected backend servers, so that they
// start another attempt at once. It does nothing if the preset disables hedging.
func (r *Router) notifySuspected(s *view.Snapshot) {
	if !s.Config.Preset.Hedge {
		return
	}
	for _, m := range s.Members() {
		if m.State != wire.BackendState_BACKEND_STATE_SUSPECTED {
			continue
		}
		r.mu.Lock()
		for c := range r.calls {
			c.tryPost(dispatch.Suspected{Backend: m.Backend.Name})
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
	refusal := func(err error) error {
		// No record was read, so an earlier call with the same key may have run.
		if req.Idempotency == gateway.AtMostOnce {
			return fault.WithUnverifiedOutcome(err)
		}
		return err
	}
	p, err := r.plan(req)
	if err != nil {
		return refusal(err)
	}
	t, err := r.admit.admit(ctx, p.admission)
	if err != nil {
		return refusal(err)
	}
	defer t.finish()
	p.priority -= t.demotion
	p.routing.Demotion = t.demotion
	if p.quota, err = r.quotas.take(ctx, p); err != nil {
		return refusal(err)
	}
	w = &quotaResponder{w, p.quota}
	defer func() { p.quota.end(err) }()
	if shutdown.Ended(ctx) {
		err = refusal(shutdown.NotRun())
		return err
	}
	err = errUnfinished // stands if the call panics
	if req.Idempotency == gateway.AtMostOnce {
		err = r.serveOnce(ctx, p, w)
	} else {
		err = r.serveAttempts(ctx, p, t, w)
	}
	return err
}

// errUnfinished is the result of a call until it has another.
var errUnfinished = fault.New(fault.Internal, fault.Unknown, "the call has not ended")

// notifyNewerView calls OnNewerView if version is newer than the current view.
func (r *Router) notifyNewerView(version uint64, address string) {
	if version > r.opts.Views.Load().Version && r.opts.OnNewerView != nil {
		r.opts.OnNewerView(version, address)
	}
}

// Interval and timeout of probes.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// probeLoop probes the agents whose last load report is old. It also updates the
// occupancy that admission uses.
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
		for _, name := range r.selector.probeDue() {
			if m := snapshot.Member(name); m != nil {
				go recovery.Run("probe", func() { r.probe(ctx, m.Backend) })
			}
		}
		r.observeOccupancy()
	}
}

// observeOccupancy sets the occupancy of each model's backend servers in the admission
// controller.
func (r *Router) observeOccupancy() {
	for _, model := range r.opts.Views.Load().Config.Models() {
		fraction := r.selector.occupancy(&routing.Request{Model: model.Name, WeightsVersion: r.servingVersion(model)})
		r.admit.update(func(c *admission.Controller) []admission.Action {
			return c.SetOccupancy(time.Now(), model.Name, fraction)
		})
	}
}

// probe sends a probe to the agent of a backend server and passes the reply to routing.
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
	r.notifyNewerView(resp.ViewVersion, b.AgentAddress)
	if reply := resp.GetProbeReply(); reply != nil {
		r.selector.probed(b.Name, reply)
	}
}

// contextErrorKind returns the kind of fault for the error of an ended context.
func contextErrorKind(cause error) fault.Kind {
	if errors.Is(cause, context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.Cancelled
}
