// Package gate decides what an agent lets through to its backend server. It is
// a state machine without I/O: time and messages are passed in, and it is not
// safe for concurrent use.
//
// The gate is the last check before a backend server, so a refusal with outcome
// NotRun is true: the request did not and will not begin at this backend server.
package gate

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Limits bound the work and the memory of a gate.
type Limits struct {
	// MaxRunning is the number of requests in progress.
	MaxRunning int
	// ClaimRetention is how long a finished or refused claim is remembered.
	ClaimRetention time.Duration
	// MinClaimRetention is the age below which a claim is not forgotten, also when
	// the table is full: the gate refuses new claims then.
	MinClaimRetention time.Duration
	// MaxClaims and MaxAccountClaims bound the remembered claims, of all and of
	// one client account.
	MaxClaims, MaxAccountClaims int
	// MaxAnswerBytes bounds the bodies of all kept answers. The oldest are dropped.
	MaxAnswerBytes int
}

// DefaultLimits returns the limits that an agent uses.
func DefaultLimits() Limits {
	return Limits{
		MaxRunning:        256,
		ClaimRetention:    15 * time.Minute,
		MinClaimRetention: time.Minute,
		MaxClaims:         1 << 16,
		MaxAccountClaims:  1 << 14,
		MaxAnswerBytes:    64 << 20,
	}
}

// StreamKey names one attempt of a request of a client account.
type StreamKey struct {
	Account   string
	RequestID string
	Attempt   uint32
}

// Ticket is the permission to run one dispatch. It is given back with Finish.
type Ticket struct {
	Key StreamKey
	// Claimed is set for a call that runs at most once; Claim names its claim.
	Claimed bool
	Claim   ClaimKey
	// Incarnation is the engine life that the dispatch was admitted for.
	Incarnation uint64
}

// Result tells how an admitted dispatch ended.
type Result struct {
	// NotRun is set when the backend server proved not to have begun it.
	NotRun bool
	// Answer is the whole answer of a claimed call; nil when it is not known.
	Answer *wire.StoredAnswer
}

// Gate is the state of the last check before one backend server.
type Gate struct {
	agent   uint64
	service string
	limits  Limits

	up          bool
	incarnation uint64
	models      []*wire.LoadedModel
	draining    bool
	leaving     bool
	running     map[StreamKey]struct{}
	claims      claims
	orders      orders
}

// New returns a gate of the agent life named by agentIncarnation, before the
// plain service named service or, when that is empty, before an engine. It
// refuses everything until EngineUp.
func New(agentIncarnation uint64, service string, limits Limits) *Gate {
	return &Gate{
		agent:   agentIncarnation,
		service: service,
		limits:  limits,
		running: map[StreamKey]struct{}{},
		claims:  newClaims(limits),
		orders:  newOrders(agentIncarnation),
	}
}

// EngineUp notes which life of the engine answers and what it has loaded. It
// reports whether this is another life than the last one.
func (g *Gate) EngineUp(incarnation uint64, models []*wire.LoadedModel) (changed bool) {
	changed = incarnation != g.incarnation
	g.up = true
	g.incarnation = incarnation
	g.models = models
	return changed
}

// EngineDown notes that the backend server does not answer.
func (g *Gate) EngineDown() { g.up = false }

// SetDraining makes the gate refuse new work, or accept it again.
func (g *Gate) SetDraining(draining bool) { g.draining = draining }

// SetLeaving makes the gate refuse new work for the rest of the agent's life.
func (g *Gate) SetLeaving() { g.leaving = true }

// Status is what a gate tells of itself.
type Status struct {
	Up          bool
	Incarnation uint64
	Models      []*wire.LoadedModel
	Draining    bool
	Leaving     bool
	Running     int
	Claims      int
}

// Status returns the present state.
func (g *Gate) Status() Status {
	return Status{
		Up:          g.up,
		Incarnation: g.incarnation,
		Models:      g.models,
		Draining:    g.draining || g.leaving,
		Leaving:     g.leaving,
		Running:     len(g.running),
		Claims:      len(g.claims.records),
	}
}

// Admit decides whether a dispatch may run now. An admitted dispatch is running
// until Finish.
func (g *Gate) Admit(now time.Time, d *wire.Dispatch) (Ticket, *fault.Error) {
	key := StreamKey{Account: d.Account, RequestID: d.RequestId, Attempt: d.Attempt}
	if d.Claim != nil {
		// What is known of the claim goes before all other reasons: their "not run"
		// would be untrue for a claim that has run.
		if err := g.claimSeen(d); err != nil {
			return Ticket{}, err
		}
	}
	if err := g.check(key, d); err != nil {
		return Ticket{}, g.refuse(now, d, err)
	}
	t := Ticket{Key: key, Incarnation: g.incarnation}
	if d.Claim != nil {
		t.Claimed = true
		t.Claim = claimKey(d.Claim)
		if err := g.claims.start(now, t.Claim); err != nil {
			return Ticket{}, g.refuse(now, d, err)
		}
	}
	g.running[key] = struct{}{}
	return t, nil
}

// refuse returns err after it has made sure that the claim of a refused dispatch
// stays refused, so that "not run" remains true for a copy of the dispatch that
// arrives later.
func (g *Gate) refuse(now time.Time, d *wire.Dispatch, err *fault.Error) *fault.Error {
	if d.Claim == nil || err.Outcome != fault.NotRun {
		return err
	}
	if full := g.claims.tombstone(now, claimKey(d.Claim)); full != nil {
		return full
	}
	return err
}

// check holds the refusals that do not depend on claims.
func (g *Gate) check(key StreamKey, d *wire.Dispatch) *fault.Error {
	if key.RequestID == "" || key.Account == "" {
		return fault.New(fault.BadRequest, fault.NotRun, "dispatch without request ID or client account")
	}
	if _, ok := g.running[key]; ok {
		return fault.New(fault.Conflict, fault.Unknown, "attempt %d of request %s is running", key.Attempt, key.RequestID)
	}
	if g.leaving {
		return fault.New(fault.Shutdown, fault.NotRun, "the agent is stopping")
	}
	if g.draining {
		return fault.New(fault.Draining, fault.NotRun, "the backend server is draining")
	}
	if d.Service != g.service {
		return fault.New(fault.UnknownService, fault.NotRun, "this backend server is of service %q, not %q", g.service, d.Service)
	}
	if !g.up {
		return fault.New(fault.BackendRefused, fault.NotRun, "the backend server does not answer health checks")
	}
	if d.EngineIncarnation != 0 && d.EngineIncarnation != g.incarnation {
		return fault.New(fault.StaleIncarnation, fault.NotRun, "engine life %d is over, %d is running", d.EngineIncarnation, g.incarnation)
	}
	if err := g.checkModel(d); err != nil {
		return err
	}
	if len(g.running) >= g.limits.MaxRunning {
		return fault.New(fault.BackendRefused, fault.NotRun, "%d requests are running", len(g.running))
	}
	return nil
}

func (g *Gate) checkModel(d *wire.Dispatch) *fault.Error {
	if g.service != "" {
		return nil
	}
	for _, m := range g.models {
		if m.Model != d.Model {
			continue
		}
		if m.WeightsVersion != d.WeightsVersion {
			return fault.New(fault.StaleWeights, fault.NotRun, "weights %q of model %q are loaded, not %q", m.WeightsVersion, m.Model, d.WeightsVersion)
		}
		if d.Adapter != "" && !slices.Contains(m.Adapters, d.Adapter) {
			return fault.New(fault.StaleWeights, fault.NotRun, "adapter %q of model %q is not loaded", d.Adapter, m.Model)
		}
		return nil
	}
	return fault.New(fault.StaleWeights, fault.NotRun, "model %q is not loaded", d.Model)
}

// Finish ends a running dispatch.
func (g *Gate) Finish(now time.Time, t Ticket, r Result) {
	delete(g.running, t.Key)
	if t.Claimed {
		g.claims.finish(now, t.Claim, r)
	}
}
