// Package gate decides which requests an agent sends to its backend server. It is
// a state machine without I/O: the caller passes in the time and the messages. It
// is not safe for concurrent use.
//
// No request reaches the backend server without passing the gate. A refusal with
// outcome NotRun is therefore reliable: this backend server has not started the
// request and will not start it.
//
// A claim entitles one call to run at most once. The control replicas grant it for
// one agent incarnation. A tombstone is the record that a claim must never run.
package gate

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

// Limits limit the running requests and the memory of a gate.
type Limits struct {
	// MaxRunning is the maximum number of requests in progress.
	MaxRunning int
	// ClaimRetention is how long a finished or refused claim is kept.
	ClaimRetention time.Duration
	// MinClaimRetention is how long a finished or refused claim is kept if the table
	// is full or the client account of a new claim is at its limit. If no claim is old
	// enough to be removed, the gate refuses new claims.
	MinClaimRetention time.Duration
	// MaxClaims limits the number of claims in the table. Tombstones are added up to
	// tombstoneFactor times this limit.
	MaxClaims int
	// MaxAccountClaims limits the number of claims of one client account. Tombstones
	// are added up to tombstoneFactor times this limit.
	MaxAccountClaims int
	// MaxAnswerBytes limits the total size of the stored response bodies. The oldest
	// responses are dropped first.
	MaxAnswerBytes int
}

// DefaultLimits returns the default limits of a gate.
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

// StreamKey identifies one attempt of a request of a client account.
type StreamKey struct {
	Account   string
	RequestID string
	Attempt   uint32
}

// Ticket is the permission to run one dispatch. It is passed to Finish when the
// dispatch has ended.
type Ticket struct {
	Key StreamKey
	// Claimed is set for a call that must run at most once.
	Claimed bool
	// Claim identifies the claim of a call with Claimed set.
	Claim ClaimKey
	// Incarnation is the engine incarnation for which the dispatch was admitted.
	Incarnation uint64
}

// Result is the result of an admitted dispatch.
type Result struct {
	// NotRun is set if it is proved that the backend server did not start the
	// request.
	NotRun bool
	// Answer is the complete response of a claimed call, or nil if it is not known.
	Answer *wire.StoredAnswer
}

// Gate admits or refuses the requests for one backend server.
type Gate struct {
	agentIncarnation uint64
	// service is the name of the plain service, or empty for an engine.
	service string
	limits  Limits

	// up is set if the last health check was successful.
	up                bool
	engineIncarnation uint64
	models            []*wire.LoadedModel
	draining          bool
	leaving           bool
	// engineLeaves is set once the current incarnation of the backend server has said
	// that it leaves.
	engineLeaves bool
	// limit is the number of requests a second that the backend server takes; 0 for no limit.
	limit   float64
	bucket  permit.Bucket
	running map[StreamKey]struct{}
	claims  claims
	orders  orders
}

// New returns the gate of the agent with the given incarnation. The backend server
// is the plain service named service, or an engine if service is empty. The gate
// refuses all requests until EngineUp is called.
func New(incarnation uint64, service string, limits Limits) *Gate {
	return &Gate{
		agentIncarnation: incarnation,
		service:          service,
		limits:           limits,
		running:          map[StreamKey]struct{}{},
		claims:           newClaims(limits),
		orders:           newOrders(incarnation),
	}
}

// EngineUp records a successful health check: the engine's incarnation and its
// loaded models. It reports whether the incarnation has changed.
func (g *Gate) EngineUp(engineIncarnation uint64, models []*wire.LoadedModel) (changed bool) {
	changed = engineIncarnation != g.engineIncarnation
	if changed {
		g.engineLeaves = false
	}
	g.up = true
	g.engineIncarnation = engineIncarnation
	g.models = models
	return changed
}

// EngineDown records a failed health check. The gate refuses requests until the
// next call of EngineUp.
func (g *Gate) EngineDown() {
	g.up = false
	if g.service != "" {
		g.engineLeaves = false // the next run of a plain service has the same incarnation
	}
}

// EngineLeaves records that an incarnation of the backend server has said that it leaves:
// the gate refuses new requests to it, and accepts them again for the next incarnation. It
// reports whether that is news.
func (g *Gate) EngineLeaves(engineIncarnation uint64) (news bool) {
	if engineIncarnation != g.engineIncarnation || g.engineLeaves {
		return false
	}
	g.engineLeaves = true
	return true
}

// SetLimit sets how many requests a second the backend server takes; 0 for no limit. It
// reports whether a limit is new or has ended.
func (g *Gate) SetLimit(now time.Time, perSecond float64) (news bool) {
	news = (g.limit > 0) != (perSecond > 0)
	if news {
		g.bucket = permit.Bucket{}
	}
	if perSecond > 0 && perSecond != g.limit {
		g.bucket.SetLimit(now, perSecond)
	}
	g.limit = perSecond
	return news
}

// SetDraining makes the gate refuse new requests, or accept them again. It reports
// whether that is a change.
func (g *Gate) SetDraining(draining bool) (changed bool) {
	changed = g.draining != draining
	g.draining = draining
	return changed
}

// SetLeaving makes the gate refuse new requests until the agent stops.
func (g *Gate) SetLeaving() { g.leaving = true }

// Status is the state of a gate.
type Status struct {
	// Up is set if the last health check was successful.
	Up bool
	// Incarnation is the engine incarnation of the last successful health check, or
	// 0 before the first one.
	Incarnation uint64
	// Models are the models that were loaded at the last successful health check.
	Models []*wire.LoadedModel
	// Draining is set while the gate refuses new requests because of SetDraining,
	// SetLeaving or EngineLeaves.
	Draining bool
	// Leaving is set after SetLeaving.
	Leaving bool
	// Running is the number of requests in progress.
	Running int
	// Claims is the number of claims in the table.
	Claims int
}

// Status returns the current state.
func (g *Gate) Status() Status {
	return Status{
		Up:          g.up,
		Incarnation: g.engineIncarnation,
		Models:      g.models,
		Draining:    g.draining || g.leaving || g.engineLeaves,
		Leaving:     g.leaving,
		Running:     len(g.running),
		Claims:      len(g.claims.records),
	}
}

// Admit decides whether a dispatch may run now. An admitted dispatch counts as
// running until Finish is called with its ticket.
func (g *Gate) Admit(now time.Time, d *wire.Dispatch) (Ticket, *fault.Error) {
	key := StreamKey{Account: d.Account, RequestID: d.RequestId, Attempt: d.Attempt}
	if d.Claim != nil {
		// Check the claim first: most other checks return outcome NotRun, which would
		// be wrong for a claim that has run.
		if err := g.checkClaim(d); err != nil {
			return Ticket{}, err
		}
	}
	if err := g.checkDispatch(key, d); err != nil {
		return Ticket{}, g.refuse(now, d, err)
	}
	if g.limit > 0 && !g.bucket.TryTake(now) {
		err := fault.New(fault.Overloaded, fault.NotRun, "the backend server takes %.3g requests a second", g.limit)
		return Ticket{}, g.refuse(now, d, err.WithRetryAfter(max(g.bucket.Wait(now), time.Millisecond)))
	}
	t := Ticket{Key: key, Incarnation: g.engineIncarnation}
	if d.Claim != nil {
		t.Claimed = true
		t.Claim = claimKey(d.Claim)
		if err := g.claims.addRunning(now, t.Claim); err != nil {
			return Ticket{}, g.refuse(now, d, err)
		}
	}
	g.running[key] = struct{}{}
	return t, nil
}

// refuse returns err, the reason for refusing d. If d has a claim, refuse first
// records that the claim must never run, so that outcome NotRun stays true if a
// copy of the dispatch arrives later. If the record can't be added, it returns the
// error of adding it, which has outcome Unknown.
func (g *Gate) refuse(now time.Time, d *wire.Dispatch, err *fault.Error) *fault.Error {
	if d.Claim == nil || err.Outcome != fault.NotRun {
		return err
	}
	if tombstoneErr := g.claims.addTombstone(now, claimKey(d.Claim)); tombstoneErr != nil {
		return tombstoneErr
	}
	return err
}

// checkDispatch runs the checks that do not depend on claims.
func (g *Gate) checkDispatch(key StreamKey, d *wire.Dispatch) *fault.Error {
	if key.RequestID == "" || key.Account == "" {
		return fault.New(fault.BadRequest, fault.NotRun, "dispatch without request ID or client account")
	}
	if _, ok := g.running[key]; ok {
		return fault.New(fault.Conflict, fault.Unknown, "attempt %d of request %s is running", key.Attempt, key.RequestID)
	}
	if g.leaving {
		return fault.New(fault.Shutdown, fault.NotRun, "the agent is stopping")
	}
	if g.draining || g.engineLeaves {
		return fault.New(fault.Draining, fault.NotRun, "the backend server is draining")
	}
	if d.Service != g.service {
		return fault.New(fault.UnknownService, fault.NotRun, "this backend server is of service %q, not %q", g.service, d.Service)
	}
	if !g.up {
		return fault.New(fault.BackendRefused, fault.NotRun, "the backend server does not answer health checks")
	}
	if d.EngineIncarnation != 0 && d.EngineIncarnation != g.engineIncarnation {
		return fault.New(fault.StaleIncarnation, fault.NotRun, "engine life %d is over, %d is running", d.EngineIncarnation, g.engineIncarnation)
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

// Finish records that an admitted dispatch has ended.
func (g *Gate) Finish(now time.Time, t Ticket, r Result) {
	delete(g.running, t.Key)
	if t.Claimed {
		g.claims.finish(now, t.Claim, r)
	}
}
