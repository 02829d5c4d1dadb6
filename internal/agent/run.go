package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"parsleypulley/internal/agent/gate"
	"parsleypulley/internal/agent/holdings"
	"parsleypulley/internal/engine"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

var traceContext propagation.TraceContext

// run sends an admitted dispatch to the backend server and writes the response to
// s.
func (a *Agent) run(ctx context.Context, traceparent string, d *wire.Dispatch, t gate.Ticket, s *stream) {
	ctx, span := a.startSpan(ctx, traceparent, d)
	defer span.End()
	end, err := a.runSerializingSuspects(ctx, d, t, s)
	err = stopFailure(ctx, t.Claimed, err)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		a.logFailure(d, err)
	}
	a.finishDispatch(t, d, s, err)
	if err == nil {
		end.Load = a.loadReport(time.Now())
	}
	s.end(end, err)
	if err != nil {
		a.cancelAtEngine(t, d, err)
	}
}

// runSerializingSuspects runs a dispatch. It runs suspect requests one at a time:
// if two of them were running when the engine crashed, both would be counted as
// the cause, although one is harmless. The next suspect starts only after it is
// known whether the engine has crashed.
func (a *Agent) runSerializingSuspects(ctx context.Context, d *wire.Dispatch, t gate.Ticket, s *stream) (*wire.End, *fault.Error) {
	if d.Suspect {
		select {
		case a.suspectSlot <- struct{}{}:
			defer func() { <-a.suspectSlot }()
		case <-ctx.Done():
			return nil, fault.New(fault.Cancelled, fault.NotRun, "waiting for another suspect: %w", context.Cause(ctx))
		}
		if now := a.Status(); !now.Up || now.Incarnation != t.Incarnation {
			return nil, fault.New(fault.StaleIncarnation, fault.NotRun, "engine life %d ended while the request waited", t.Incarnation)
		}
	}
	a.fetchPrefix(ctx, d, t)
	end, err := a.runEngine(ctx, d, t, s)
	if err != nil {
		return nil, a.classifyFailure(t, err)
	}
	return end, nil
}

func (a *Agent) runEngine(ctx context.Context, d *wire.Dispatch, t gate.Ticket, s *stream) (*wire.End, *fault.Error) {
	ctx, span := a.tracer.Start(ctx, "engine.run", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	req := newEngineRequest(d, t)
	traceContext.Inject(ctx, propagation.HeaderCarrier(req.Headers))
	return a.exchange(ctx, d, t, req, s)
}

func (a *Agent) startSpan(ctx context.Context, traceparent string, d *wire.Dispatch) (context.Context, trace.Span) {
	if traceparent != "" {
		ctx = traceContext.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
	}
	ctx, span := a.tracer.Start(ctx, "agent.dispatch", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("backend", a.config.Name),
			attribute.String("request_id", d.RequestId),
			attribute.Int("attempt", int(d.Attempt)),
			attribute.String("account", d.Account),
			attribute.String("model", d.Model),
		)
	}
	return ctx, span
}

func newEngineRequest(d *wire.Dispatch, t gate.Ticket) *engine.Request {
	headers := make(http.Header, len(d.Headers)+1)
	for _, h := range d.Headers {
		name := http.CanonicalHeaderKey(h.Name)
		headers[name] = append(headers[name], h.Texts()...)
	}
	return &engine.Request{
		ID: d.RequestId, Attempt: d.Attempt, Method: d.Method, Path: d.Path, Headers: headers, Body: d.Body,
		Stream: d.Stream, AtMostOnce: t.Claimed || !d.Idempotent, CacheSalt: d.CacheSalt, Priority: d.Priority,
		WeightsVersion: d.WeightsVersion, Adapter: d.Adapter, Incarnation: t.Incarnation, ResumeOffset: d.ResumeOffset,
	}
}

// exchange sends the request and copies the response to s.
func (a *Agent) exchange(ctx context.Context, d *wire.Dispatch, t gate.Ticket, req *engine.Request, s *stream) (*wire.End, *fault.Error) {
	response, err := a.engine.Run(ctx, req)
	a.readNotices()
	if err != nil {
		return nil, fault.From(err)
	}
	defer response.Close()
	// The body has been sent. Release its memory, because the response may take
	// long.
	req.Body, d.Body = nil, nil
	head := response.Head()
	if err := checkHead(head, d, t); err != nil {
		return nil, err
	}
	a.indexPrompt(d, head)
	s.setHead(head)
	end := &wire.End{CachedTokens: head.CachedTokens}
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return end, nil
		}
		if err != nil {
			return nil, fault.From(err)
		}
		if err := s.append(ctx, chunk); err != nil {
			return nil, fault.From(err)
		}
		if end.Chunks == 0 {
			a.recordFirstToken(d)
			trace.SpanFromContext(ctx).AddEvent("first chunk")
		}
		end.Chunks++
		end.Tokens = chunk.CumulativeTokens
	}
}

// checkHead refuses a response from another engine incarnation or from other
// weights than the dispatch was admitted for. An engine that ignores the request
// headers may send one.
func checkHead(head *engine.Head, d *wire.Dispatch, t gate.Ticket) *fault.Error {
	if head.Incarnation != 0 && head.Incarnation != t.Incarnation {
		return fault.New(fault.StaleIncarnation, fault.Ran, "engine life %d answered, %d was asked", head.Incarnation, t.Incarnation)
	}
	if head.WeightsVersion != "" && head.WeightsVersion != d.WeightsVersion {
		return fault.New(fault.StaleWeights, fault.Ran, "weights %q answered, %q were asked", head.WeightsVersion, d.WeightsVersion)
	}
	return nil
}

// indexPrompt records in the prefix index that the engine has the prompt of d in its
// cache. It records nothing if the response is an error or comes from another
// incarnation than the current one.
func (a *Agent) indexPrompt(d *wire.Dispatch, head *engine.Head) {
	if len(d.Levels) == 0 || head.Status != http.StatusOK {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if head.Incarnation != a.gate.Status().Incarnation {
		return
	}
	a.prefixIndex.AddPrompt(time.Now(), cacheOwner(d), holdings.RequestKey{ID: d.RequestId, Attempt: d.Attempt},
		d.Levels, head.PromptTokens, d.PromptTokens)
}

func cacheOwner(d *wire.Dispatch) holdings.Owner {
	return holdings.Owner{Account: d.Account, Model: d.Model, WeightsVersion: d.WeightsVersion, Adapter: d.Adapter, CacheSalt: d.CacheSalt}
}

// classifyFailure distinguishes a crash of the backend server from a broken
// connection. After a crash, the health check fails or reports another
// incarnation. After a refusal it runs the check only to update the gate.
func (a *Agent) classifyFailure(t gate.Ticket, err *fault.Error) *fault.Error {
	if err.Kind != fault.StreamBroken && err.Kind != fault.BackendRefused {
		return err
	}
	// The recorded status alone is not enough: a later check that has failed before this one was
	// answered leaves the incarnation of the crashed run in it.
	incarnation := a.checkHealth(a.ctx)
	if err.Kind == fault.BackendRefused {
		return err
	}
	if incarnation == t.Incarnation && a.Status().Incarnation == t.Incarnation {
		return err
	}
	return fault.New(fault.BackendCrashed, err.Outcome, "the backend server crashed: %w", err)
}

// cancelAtEngine cancels a request at the engine after the agent has stopped
// reading its response. Claimed calls are not cancelled.
func (a *Agent) cancelAtEngine(t gate.Ticket, d *wire.Dispatch, err *fault.Error) {
	if a.engine.PlainService() || err.Outcome == fault.NotRun || t.Claimed {
		return
	}
	switch err.Kind {
	case fault.Cancelled, fault.DeadlineExceeded, fault.BackendTimeout, fault.StreamBroken:
		_ = a.engine.Cancel(a.ctx, d.RequestId, d.Attempt)
	}
}

// finishDispatch reports the end of the run to the gate, with the response if the
// call is claimed, and removes the attempt from the load tracker.
func (a *Agent) finishDispatch(t gate.Ticket, d *wire.Dispatch, s *stream, err *fault.Error) {
	result := gate.Result{NotRun: err != nil && err.Outcome == fault.NotRun}
	if t.Claimed && err == nil {
		result.Answer = s.storedAnswer()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Finish(time.Now(), t, result)
	a.loadTracker.End(time.Now(), attemptID(d))
}

func (a *Agent) logFailure(d *wire.Dispatch, err *fault.Error) {
	failures.Add(err.Kind.String(), 1)
	event.DispatchFailed(event.Attempt{Backend: a.config.Name, Request: d.RequestId, Number: int(d.Attempt)}, d.Account, err)
}
