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

// run runs an admitted dispatch at the backend server and fills s with its answer.
func (a *Agent) run(ctx context.Context, traceparent string, d *wire.Dispatch, t gate.Ticket, s *stream) {
	ctx, span := a.startSpan(ctx, traceparent, d)
	defer span.End()
	end, err := a.runAlone(ctx, d, t, s)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		a.logFailure(d, err)
	}
	a.finish(t, d, s, err)
	if err == nil {
		end.Load = a.loadReport(time.Now())
	}
	s.end(end, err)
	if err != nil {
		a.cancelRun(t, d, err)
	}
}

// runAlone lets suspects run one at a time: were two running when the engine
// crashes, the harmless one would be counted as the cause as well. The next one
// waits until it is known whether the engine has crashed.
func (a *Agent) runAlone(ctx context.Context, d *wire.Dispatch, t gate.Ticket, s *stream) (*wire.End, *fault.Error) {
	if d.Suspect {
		select {
		case a.suspect <- struct{}{}:
			defer func() { <-a.suspect }()
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
		return nil, a.diagnose(t, err)
	}
	return end, nil
}

func (a *Agent) runEngine(ctx context.Context, d *wire.Dispatch, t gate.Ticket, s *stream) (*wire.End, *fault.Error) {
	ctx, span := a.tracer.Start(ctx, "engine.run", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	req := request(d, t)
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

func request(d *wire.Dispatch, t gate.Ticket) *engine.Request {
	headers := make(http.Header, len(d.Headers)+1)
	for _, h := range d.Headers {
		name := http.CanonicalHeaderKey(h.Name)
		headers[name] = append(headers[name], h.Values...)
	}
	return &engine.Request{
		ID: d.RequestId, Attempt: d.Attempt, Method: d.Method, Path: d.Path, Headers: headers, Body: d.Body,
		Stream: d.Stream, AtMostOnce: t.Claimed || !d.Idempotent, CacheSalt: d.CacheSalt, Priority: d.Priority,
		WeightsVersion: d.WeightsVersion, Adapter: d.Adapter, Incarnation: t.Incarnation, ResumeOffset: d.ResumeOffset,
	}
}

// exchange sends the request and copies its answer to s.
func (a *Agent) exchange(ctx context.Context, d *wire.Dispatch, t gate.Ticket, req *engine.Request, s *stream) (*wire.End, *fault.Error) {
	answer, err := a.engine.Run(ctx, req)
	if err != nil {
		return nil, fault.From(err)
	}
	defer answer.Close()
	// The body is sent; a long answer must not keep it in memory.
	req.Body, d.Body = nil, nil
	head := answer.Head()
	if err := checkHead(head, d, t); err != nil {
		return nil, err
	}
	a.noteComputed(d, head)
	s.setHead(head)
	end := &wire.End{CachedTokens: head.CachedTokens}
	for {
		chunk, err := answer.Next()
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
			a.firstToken(d)
			trace.SpanFromContext(ctx).AddEvent("first chunk")
		}
		end.Chunks++
		end.Tokens = chunk.Tokens
	}
}

// checkHead drops an answer from another engine life or other weights than the
// dispatch was admitted for; an engine that ignores what it is told may give one.
func checkHead(head *engine.Head, d *wire.Dispatch, t gate.Ticket) *fault.Error {
	if head.Incarnation != 0 && head.Incarnation != t.Incarnation {
		return fault.New(fault.StaleIncarnation, fault.Ran, "engine life %d answered, %d was asked", head.Incarnation, t.Incarnation)
	}
	if head.WeightsVersion != "" && head.WeightsVersion != d.WeightsVersion {
		return fault.New(fault.StaleWeights, fault.Ran, "weights %q answered, %q were asked", head.WeightsVersion, d.WeightsVersion)
	}
	return nil
}

func (a *Agent) noteComputed(d *wire.Dispatch, head *engine.Head) {
	if len(d.Levels) == 0 || head.Status != http.StatusOK {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if head.Incarnation != a.gate.Status().Incarnation {
		return
	}
	a.digest.AddPrompt(time.Now(), owner(d), holdings.RequestKey{ID: d.RequestId, Attempt: d.Attempt},
		d.Levels, head.PromptTokens, d.PromptTokens)
}

func owner(d *wire.Dispatch) holdings.Owner {
	return holdings.Owner{Account: d.Account, Model: d.Model, WeightsVersion: d.WeightsVersion, Adapter: d.Adapter, CacheSalt: d.CacheSalt}
}

// diagnose tells a crash of the backend server from a broken connection: the
// health check after a crash fails or shows another life.
func (a *Agent) diagnose(t gate.Ticket, err *fault.Error) *fault.Error {
	if err.Kind != fault.StreamBroken && err.Kind != fault.BackendRefused {
		return err
	}
	alive := a.checkHealth(a.ctx)
	if err.Kind == fault.BackendRefused {
		return err
	}
	if alive && a.Status().Incarnation == t.Incarnation {
		return err
	}
	return fault.New(fault.BackendCrashed, err.Outcome, "the backend server crashed: %w", err)
}

// cancelRun makes sure that a run that the agent gave up does not go on.
func (a *Agent) cancelRun(t gate.Ticket, d *wire.Dispatch, err *fault.Error) {
	if a.engine.PlainService() || err.Outcome == fault.NotRun || t.Claimed {
		return
	}
	switch err.Kind {
	case fault.Cancelled, fault.DeadlineExceeded, fault.BackendTimeout, fault.StreamBroken:
		_ = a.engine.Cancel(a.ctx, d.RequestId, d.Attempt)
	}
}

// finish gives the ticket back, with the answer of a claimed call.
func (a *Agent) finish(t gate.Ticket, d *wire.Dispatch, s *stream, err *fault.Error) {
	result := gate.Result{NotRun: err != nil && err.Outcome == fault.NotRun}
	if t.Claimed && err == nil {
		result.Answer = s.stored()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Finish(time.Now(), t, result)
	a.ledger.End(time.Now(), ledgerID(d))
}

func (a *Agent) logFailure(d *wire.Dispatch, err *fault.Error) {
	failureCount.Add(err.Kind.String(), 1)
	event.DispatchFailed(event.Attempt{Backend: a.config.Name, Request: d.RequestId, Number: int(d.Attempt)}, d.Account, err)
}
