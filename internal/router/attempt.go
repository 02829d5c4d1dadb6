package router

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// Timeouts of attempts and the buffer size of their events.
const (
	// crashReportTimeout is how long a retry waits for the crash of the earlier
	// attempt to be counted.
	crashReportTimeout = 500 * time.Millisecond
	// resumeTimeout is how long to wait for the first message of a resumed stream.
	resumeTimeout = 1500 * time.Millisecond
	// eventBufferSize is the capacity of a call's event channel.
	eventBufferSize = 32
)

// launch chooses a backend server for an attempt and starts the attempt there. If it
// can't, it posts the failure of the attempt.
func (c *call) launch(l dispatch.Launch) {
	ctx, cancel := context.WithDeadline(c.ctx, c.plan.req.Deadline)
	attempt := &attempt{number: l.Attempt, ctx: ctx, cancel: cancel}
	c.attempts[l.Attempt] = attempt
	c.router.metrics.Attempts.Add(1)
	if l.Attempt > 1 {
		c.router.metrics.Retries.Add(1)
	}
	if c.router.quarantined(c.plan) {
		go c.post(dispatch.Failed{Attempt: l.Attempt, Err: quarantineError()})
		return
	}
	if err := c.router.mayStillSend(c.plan); err != nil {
		go c.post(dispatch.Failed{Attempt: l.Attempt, Err: fault.From(err)})
		return
	}
	if err := c.plan.quota.renew(); err != nil {
		go c.post(dispatch.Failed{Attempt: l.Attempt, Err: fault.From(err)})
		return
	}
	req := c.plan.routing
	req.Tried = l.Exclude
	if l.WeightsVersion != "" {
		req.WeightsVersion = l.WeightsVersion
	}
	req.SoftwareVersion, req.BoundToSoftware = l.SoftwareVersion, l.BoundToSoftware
	d, err := c.router.selector.startAttempt(&req)
	if err != nil {
		go c.post(dispatch.Failed{Attempt: l.Attempt, Err: fault.From(err)})
		return
	}
	attempt.decision = d
	attempt.knownCrashes = c.router.crashes.KnownCrashes(c.plan.sharedParts())
	c.router.budget.CreditBackend(d.Backend.Name)
	msg := c.plan.dispatchMessage(l.Attempt, d)
	msg.WeightsVersion = req.WeightsVersion
	msg.ResumeOffset = l.ResumeOffset
	msg.Suspect = l.Suspect
	go func() {
		err := recovery.Call("attempt", func() error { c.runAttempt(attempt, msg); return nil })
		if err != nil {
			c.post(dispatch.Failed{Attempt: attempt.number, Err: fault.From(err)})
		}
	}()
}

// runAttempt sends msg to the chosen agent and processes the response.
func (c *call) runAttempt(attempt *attempt, msg *wire.Dispatch) {
	d := attempt.decision
	ctx, span := tracer.Start(attempt.ctx, "router attempt")
	defer span.End()
	c.post(dispatch.Launched{
		Attempt:         attempt.number,
		Backend:         d.Backend.Name,
		WeightsVersion:  msg.WeightsVersion,
		SoftwareVersion: d.Backend.SoftwareVersion,
		HedgeAfter:      c.hedgeAfter(d),
	})
	stream, err := c.router.opts.Pool.Open(ctx, d.Backend.AgentAddress, c.linkRequest(ctx, msg))
	if err != nil {
		c.fail(attempt, err)
		return
	}
	defer stream.Close()
	c.receive(attempt, stream, time.Now(), nil)
}

func (c *call) linkRequest(ctx context.Context, msg *wire.Dispatch) *wire.Request {
	return c.plan.linkRequest(ctx, c.router.opts.Address, msg)
}

// linkRequest wraps msg in a request from the router at address.
func (p *plan) linkRequest(ctx context.Context, address string, msg *wire.Dispatch) *wire.Request {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return &wire.Request{
		RequestId:   p.req.ID,
		Traceparent: carrier["traceparent"],
		ViewVersion: p.view.Version,
		FromAddress: address,
		Body:        &wire.Request_Dispatch{Dispatch: msg},
	}
}

// hedgeAfter returns the delay after which a hedged attempt may start, or 0 if the
// preset disables hedging.
func (c *call) hedgeAfter(d *routing.Decision) time.Duration {
	if !c.plan.view.Config.Preset.Hedge {
		return 0
	}
	return dispatch.HedgeDelay(d.Wait, d.Prefill)
}

// resumeStream requests the stream of an attempt again, starting at chunk next. The
// attempt fails if the agent sends nothing within resumeTimeout.
func (c *call) resumeStream(attempt *attempt, next uint64) {
	ctx, cancel := context.WithCancel(attempt.ctx)
	defer cancel()
	resumeTimer := time.AfterFunc(resumeTimeout, cancel)
	defer resumeTimer.Stop()
	stream, err := c.router.opts.Pool.Open(ctx, attempt.decision.Backend.AgentAddress, &wire.Request{
		RequestId: c.plan.req.ID,
		Body: &wire.Request_ResumeStream{ResumeStream: &wire.ResumeStream{
			RequestId:    c.plan.req.ID,
			Attempt:      attempt.number,
			Account:      c.plan.account.Name,
			NextSequence: next,
		}},
	})
	if err != nil {
		resumeErr := fault.New(fault.StreamBroken, fault.Unknown, "the stream could not be taken up again: %s", err)
		c.fail(attempt, resumeErr)
		return
	}
	defer stream.Close()
	c.receive(attempt, stream, time.Now(), resumeTimer)
}

// receive converts the messages of a response to events for the dispatch machine. The
// first message stops resumeTimer, which is nil unless the stream is resumed.
func (c *call) receive(attempt *attempt, stream *link.Stream, sent time.Time, resumeTimer *time.Timer) {
	first := true
	for {
		resp, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = fault.New(fault.LinkDown, fault.Unknown, "the answer ended early")
			}
			c.fail(attempt, err)
			return
		}
		if resumeTimer != nil {
			resumeTimer.Stop()
		}
		c.router.notifyNewerView(resp.ViewVersion, attempt.decision.Backend.AgentAddress)
		switch body := resp.Body.(type) {
		case *wire.Response_Started:
			if load := body.Started.Load; load != nil {
				c.router.selector.applyLoad(attempt.decision.Backend.Name, load)
			}
		case *wire.Response_Head:
			if isLeaving(body.Head) {
				c.router.selector.saidLeaving(attempt.decision)
			}
			if err := checkResponseStatus(body.Head.Status); err != nil {
				c.fail(attempt, err)
				return
			}
			c.post(dispatch.HeadReceived{Attempt: attempt.number, Head: dispatchHead(body.Head)})
		case *wire.Response_Chunk:
			if first {
				first = false
				c.firstToken(attempt, sent)
			}
			c.post(dispatch.ChunkReceived{Attempt: attempt.number, Sequence: body.Chunk.Sequence, Data: body.Chunk.Data, Tokens: body.Chunk.Tokens})
		case *wire.Response_End:
			c.finished(attempt, body.End)
			c.post(dispatch.EndReceived{Attempt: attempt.number, Chunks: body.End.Chunks})
			return
		}
	}
}

// isLeaving reports whether a response says that its backend server leaves.
func isLeaving(head *wire.Head) bool {
	for _, h := range head.GetHeaders() {
		if h.GetName() == dialect.Leaving {
			return slices.Contains(h.Texts(), "1")
		}
	}
	return false
}

// firstToken reports the first chunk of an attempt to routing, the metrics and
// admission. sent is when the attempt was sent.
func (c *call) firstToken(attempt *attempt, sent time.Time) {
	c.router.selector.firstToken(attempt.decision)
	c.router.metrics.FirstChunk.Record(time.Now(), time.Since(c.plan.req.Arrived))
	delay := time.Since(sent) - attempt.decision.Prefill
	c.ticket.firstToken(max(delay, 0))
}

// finished reports a complete response to routing, admission and the metrics.
func (c *call) finished(attempt *attempt, end *wire.End) {
	c.router.selector.finished(attempt.decision, end)
	c.ticket.finish()
	c.router.metrics.PromptTokens.Add(int64(c.plan.promptTokens()))
	c.router.metrics.CachedTokens.Add(int64(end.CachedTokens))
}

// fail reports a failed attempt to routing and to the dispatch machine.
func (c *call) fail(attempt *attempt, err error) {
	e := fault.From(err)
	cancelled := errors.Is(attempt.ctx.Err(), context.Canceled)
	if e.Kind == fault.Cancelled && !cancelled {
		e = fault.New(fault.StreamBroken, fault.Unknown, "the agent was silent for %v after its link broke", resumeTimeout)
	}
	c.router.selector.failed(attempt.decision, e)
	c.post(dispatch.Failed{Attempt: attempt.number, Err: e})
	if cancelled {
		return
	}
	event.AgentAttemptFailed(event.Attempt{Request: c.plan.req.ID, Number: int(attempt.number), Backend: attempt.decision.Backend.Name}, e)
}
