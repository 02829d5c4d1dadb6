package agent

import (
	"context"
	"time"

	"parsleypulley/internal/agent/gate"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// ServeLink implements link.Handler for Dispatch, ResumeStream, ClaimQuery,
// Probe and KVFetch.
func (a *Agent) ServeLink(ctx context.Context, call *link.Call) error {
	req := call.Request
	a.compareView(req)
	switch body := req.Body.(type) {
	case *wire.Request_Dispatch:
		return a.serveDispatch(ctx, call, body.Dispatch)
	case *wire.Request_ResumeStream:
		return a.serveResume(ctx, call, body.ResumeStream)
	case *wire.Request_ClaimQuery:
		return a.serveClaimQuery(call, body.ClaimQuery)
	case *wire.Request_Probe:
		return a.serveProbe(call, body.Probe)
	case *wire.Request_KvFetch:
		return a.serveKVFetch(ctx, call, body.KvFetch)
	default:
		return fault.New(fault.BadRequest, fault.NotRun, "an agent does not answer %T", req.Body)
	}
}

// compareView signals that a caller holds something newer than this process.
func (a *Agent) compareView(req *wire.Request) {
	version, revision := a.config.View()
	callers := req.GetDispatch().GetConfigRevision()
	if req.ViewVersion > version || callers > revision {
		a.config.OnNewerView(req.ViewVersion, callers)
	}
}

func (a *Agent) send(call *link.Call, r *wire.Response) error {
	r.ViewVersion, _ = a.config.View()
	return call.Send(r)
}

func (a *Agent) serveDispatch(ctx context.Context, call *link.Call, d *wire.Dispatch) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	if a.config.Quarantined(d.Account, d.Fingerprint) {
		refusalCount.Add(fault.Quarantined.String(), 1)
		return fault.New(fault.Quarantined, fault.NotRun, "this request is refused: it crashed the engines that ran it")
	}
	a.mu.Lock()
	ticket, refusal := a.gate.Admit(time.Now(), d)
	if refusal == nil {
		d.Priority = enginePriority(d.Priority, a.ledger.Begin(time.Now(), ledgerID(d), d.Levels))
	}
	a.mu.Unlock()
	if refusal != nil {
		refusalCount.Add(refusal.Kind.String(), 1)
		return refusal
	}
	s := a.streams.open(ticket.Key, ticket.Claimed)
	runCtx, cancel := a.runContext(ctx, ticket)
	s.onAbandon(cancel)
	a.track(func() {
		defer cancel(nil)
		a.run(runCtx, call.Request.Traceparent, d, ticket, s)
	})
	started := &wire.Started{EngineIncarnation: ticket.Incarnation, WeightsVersion: d.WeightsVersion, Backend: a.config.Name, Load: a.loadReport(time.Now())}
	if err := a.send(call, &wire.Response{Body: &wire.Response_Started{Started: started}}); err != nil {
		s.detach()
		return nil
	}
	return a.follow(ctx, call, s, 1)
}

// runContext returns the context of a run. It outlives the call, so that the
// stream can be resumed, but not the call's deadline. A claimed call runs to its
// end.
func (a *Agent) runContext(ctx context.Context, t gate.Ticket) (context.Context, context.CancelCauseFunc) {
	run, cancel := context.WithCancelCause(a.ctx)
	deadline, ok := ctx.Deadline()
	if t.Claimed {
		deadline, ok = time.Now().Add(a.config.Timings.ClaimedCallTimeout), true
	}
	if !ok {
		return run, cancel
	}
	run, stop := context.WithDeadline(run, deadline)
	return run, func(cause error) { cancel(cause); stop() }
}

func (a *Agent) serveResume(ctx context.Context, call *link.Call, r *wire.ResumeStream) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	s := a.streams.find(gate.StreamKey{Account: r.Account, RequestID: r.RequestId, Attempt: r.Attempt})
	if s == nil {
		return fault.New(fault.StreamBroken, fault.Unknown, "attempt %d of request %s is not known", r.Attempt, r.RequestId)
	}
	resumeCount.Add(1)
	return a.follow(ctx, call, s, max(r.NextSequence, 1))
}

// follow sends the answer in s to call from chunk number next on.
func (a *Agent) follow(ctx context.Context, call *link.Call, s *stream, next uint64) error {
	f := s.attach(ctx, next)
	defer f.detach()
	for {
		batch, last, err := f.next()
		if err != nil {
			return err
		}
		version, _ := a.config.View()
		for _, r := range batch {
			r.ViewVersion = version
		}
		if err := call.SendAll(batch); err != nil || last {
			return nil
		}
	}
}

func (a *Agent) serveClaimQuery(call *link.Call, q *wire.ClaimQuery) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	a.mu.Lock()
	fate, err := a.gate.QueryClaim(time.Now(), q)
	a.mu.Unlock()
	if err != nil {
		return err
	}
	return a.send(call, &wire.Response{Body: &wire.Response_ClaimFate{ClaimFate: fate}})
}

func (a *Agent) serveProbe(call *link.Call, p *wire.Probe) error {
	now := time.Now()
	reply := &wire.ProbeReply{Load: a.loadReport(now)}
	a.mu.Lock()
	status := a.gate.Status()
	reply.Held = a.digest.Held(now, p.Keys)
	a.mu.Unlock()
	reply.Draining = status.Draining
	reply.EngineIncarnation = status.Incarnation
	return a.send(call, &wire.Response{Body: &wire.Response_ProbeReply{ProbeReply: reply}})
}
