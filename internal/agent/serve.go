package agent

import (
	"context"
	"time"

	"parsleypulley/internal/agent/gate"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/wire"
)

// ServeLink implements link.Handler. It serves Dispatch, ResumeStream, ClaimQuery,
// Probe and KVFetch requests.
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

// compareView calls OnNewerView if the caller's view version or configuration
// revision is newer than this process's.
func (a *Agent) compareView(req *wire.Request) {
	version, revision := a.config.View()
	callerRevision := req.GetDispatch().GetConfigRevision()
	if req.ViewVersion > version || callerRevision > revision {
		a.config.OnNewerView(req.ViewVersion, callerRevision)
	}
}

func (a *Agent) send(call *link.Call, r *wire.Response) error {
	r.ViewVersion, _ = a.config.View()
	return call.Send(r)
}

// quarantined reports whether this process's view quarantines the request or an opening of
// its prompt.
func (a *Agent) quarantined(d *wire.Dispatch) bool {
	for _, key := range quarantine.PromptLevels(d.Account, d.Levels) {
		if a.config.Quarantined(key.Account, []byte(key.Fingerprint)) {
			return true
		}
	}
	return a.config.Quarantined(d.Account, d.Fingerprint)
}

func (a *Agent) serveDispatch(ctx context.Context, call *link.Call, d *wire.Dispatch) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	if a.quarantined(d) {
		refusals.Add(fault.Quarantined.String(), 1)
		return fault.New(fault.Quarantined, fault.NotRun, "this request is refused: engines crashed while they ran it or others with the same opening")
	}
	a.mu.Lock()
	ticket, refusal := a.gate.Admit(time.Now(), d)
	if refusal == nil {
		d.Priority = enginePriority(d.Priority, a.loadTracker.Begin(time.Now(), attemptID(d), d.Levels))
	}
	a.mu.Unlock()
	if refusal != nil {
		refusals.Add(refusal.Kind.String(), 1)
		return refusal
	}
	s := a.streams.add(ticket.Key, ticket.Claimed)
	if d.Stream && (d.Service != "" || !d.Idempotent) {
		s.bind()
	}
	runCtx, cancel := a.runContext(ctx, ticket)
	s.setCancel(cancel)
	a.startRun(func() {
		defer cancel(nil)
		a.run(runCtx, call.Request.Traceparent, d, ticket, s)
	})
	started := &wire.Started{EngineIncarnation: ticket.Incarnation, WeightsVersion: d.WeightsVersion, Backend: a.config.Name, Load: a.loadReport(time.Now())}
	if err := a.send(call, &wire.Response{Body: &wire.Response_Started{Started: started}}); err != nil {
		s.startGrace()
		return nil
	}
	return a.sendStream(ctx, call, s, 1)
}

// runContext returns the context of a run. The context ends at the call's
// deadline, but not when the call ends, so that the stream can be resumed. For a
// claimed call, ClaimedCallTimeout replaces the call's deadline. The planned stop
// ends both.
func (a *Agent) runContext(ctx context.Context, t gate.Ticket) (context.Context, context.CancelCauseFunc) {
	run, cancel := context.WithCancelCause(a.runsCtx)
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
	resumedStreams.Add(1)
	return a.sendStream(ctx, call, s, max(r.NextSequence, 1))
}

// sendStream sends the response in s to call, starting at chunk number next.
func (a *Agent) sendStream(ctx context.Context, call *link.Call, s *stream, next uint64) error {
	reader := s.attach(ctx, next)
	defer reader.detach()
	for {
		batch, last, err := reader.next()
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
	reply.Held = a.prefixIndex.Held(now, p.Keys)
	a.mu.Unlock()
	reply.Draining = status.Draining
	reply.EngineIncarnation = status.Incarnation
	return a.send(call, &wire.Response{Body: &wire.Response_ProbeReply{ProbeReply: reply}})
}
