package router

import (
	"context"
	"errors"
	"io"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// Timings of attempts.
const (
	// crashReportTimeout bounds the wait for the count of a crash before the
	// request may run elsewhere.
	crashReportTimeout = 500 * time.Millisecond
	// resumeTimeout bounds the wait for the first message of a resumed stream.
	resumeTimeout = 1500 * time.Millisecond
	eventBacklog  = 32
)

func (c *call) launch(l dispatch.Launch) {
	ctx, cancel := context.WithDeadline(c.ctx, c.plan.req.Deadline)
	run := &run{number: l.Attempt, ctx: ctx, cancel: cancel}
	c.runs[l.Attempt] = run
	c.router.metrics.Attempts.Add(1)
	if l.Attempt > 1 {
		c.router.metrics.Retries.Add(1)
	}
	if c.router.quarantined(c.plan) {
		go c.post(dispatch.Failed{Attempt: l.Attempt, Err: quarantineRefusal()})
		return
	}
	req := c.plan.routing
	req.Tried = l.Exclude
	if l.WeightsVersion != "" {
		req.WeightsVersion = l.WeightsVersion
	}
	d, err := c.router.choose.start(&req)
	if err != nil {
		go c.post(dispatch.Failed{Attempt: l.Attempt, Err: fault.From(err)})
		return
	}
	run.decision = d
	c.router.budget.CreditBackend(d.Backend.Name)
	msg := c.plan.dispatch(l.Attempt, d)
	msg.WeightsVersion = req.WeightsVersion
	msg.ResumeOffset = l.ResumeOffset
	msg.Suspect = l.Suspect
	go c.run(run, msg)
}

// run sends the attempt and passes on its answer.
func (c *call) run(run *run, msg *wire.Dispatch) {
	d := run.decision
	ctx, span := tracer.Start(run.ctx, "router attempt")
	defer span.End()
	c.post(dispatch.Launched{
		Attempt:        run.number,
		Backend:        d.Backend.Name,
		WeightsVersion: msg.WeightsVersion,
		HedgeAfter:     c.hedgeAfter(d),
	})
	stream, err := c.router.opts.Pool.Open(ctx, d.Backend.AgentAddress, c.request(ctx, msg))
	if err != nil {
		c.fail(run, err)
		return
	}
	defer stream.Close()
	c.receive(run, stream, time.Now(), nil)
}

func (c *call) request(ctx context.Context, msg *wire.Dispatch) *wire.Request {
	return c.plan.request(ctx, c.router.opts.Address, msg)
}

// request returns the link request of a dispatch by the router at address.
func (p *plan) request(ctx context.Context, address string, msg *wire.Dispatch) *wire.Request {
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

func (c *call) hedgeAfter(d *routing.Decision) time.Duration {
	if !c.plan.view.Config.Preset.Hedge {
		return 0
	}
	return dispatch.HedgeDelay(d.Wait, d.Prefill)
}

// resume takes up the stream of an attempt whose link broke. An agent that says
// nothing in time is given up.
func (c *call) resume(run *run, next uint64) {
	ctx, cancel := context.WithCancel(run.ctx)
	defer cancel()
	silence := time.AfterFunc(resumeTimeout, cancel)
	defer silence.Stop()
	stream, err := c.router.opts.Pool.Open(ctx, run.decision.Backend.AgentAddress, &wire.Request{
		RequestId: c.plan.req.ID,
		Body: &wire.Request_ResumeStream{ResumeStream: &wire.ResumeStream{
			RequestId:    c.plan.req.ID,
			Attempt:      run.number,
			Account:      c.plan.account.Name,
			NextSequence: next,
		}},
	})
	if err != nil {
		lost := fault.New(fault.StreamBroken, fault.Unknown, "the stream could not be taken up again: %s", err)
		c.fail(run, lost)
		return
	}
	defer stream.Close()
	c.receive(run, stream, time.Now(), silence)
}

// receive passes the messages of an answer to the machine. The first message
// stops silence, which is nil unless the stream is a resumed one.
func (c *call) receive(run *run, stream *link.Stream, sent time.Time, silence *time.Timer) {
	first := true
	for {
		resp, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = fault.New(fault.LinkDown, fault.Unknown, "the answer ended early")
			}
			c.fail(run, err)
			return
		}
		if silence != nil {
			silence.Stop()
		}
		c.router.tellVersion(resp.ViewVersion, run.decision.Backend.AgentAddress)
		switch body := resp.Body.(type) {
		case *wire.Response_Started:
			if load := body.Started.Load; load != nil {
				c.router.choose.load(run.decision.Backend.Name, load)
			}
		case *wire.Response_Head:
			if err := checkStatus(body.Head.Status); err != nil {
				c.fail(run, err)
				return
			}
			c.post(dispatch.HeadReceived{Attempt: run.number, Head: dispatchHead(body.Head)})
		case *wire.Response_Chunk:
			if first {
				first = false
				c.firstToken(run, sent)
			}
			c.post(dispatch.ChunkReceived{Attempt: run.number, Sequence: body.Chunk.Sequence, Data: body.Chunk.Data, Tokens: body.Chunk.Tokens})
		case *wire.Response_End:
			c.finished(run, body.End)
			c.post(dispatch.EndReceived{Attempt: run.number, Chunks: body.End.Chunks})
			return
		}
	}
}

func (c *call) firstToken(run *run, sent time.Time) {
	c.router.choose.firstToken(run.decision)
	c.router.metrics.FirstChunk.Record(time.Now(), time.Since(c.plan.req.Arrived))
	delay := time.Since(sent) - run.decision.Prefill
	c.ticket.firstToken(max(delay, 0))
}

func (c *call) finished(run *run, end *wire.End) {
	c.router.choose.finished(run.decision, end)
	c.ticket.finish()
	c.router.metrics.PromptTokens.Add(int64(c.plan.promptTokens()))
	c.router.metrics.CachedTokens.Add(int64(end.CachedTokens))
}

// fail tells routing and the machine how an attempt ended.
func (c *call) fail(run *run, err error) {
	e := fault.From(err)
	cancelled := errors.Is(run.ctx.Err(), context.Canceled)
	if e.Kind == fault.Cancelled && !cancelled {
		e = fault.New(fault.StreamBroken, fault.Unknown, "the agent was silent for %v after its link broke", resumeTimeout)
	}
	c.router.choose.failed(run.decision, e.Kind)
	c.post(dispatch.Failed{Attempt: run.number, Err: e})
	if cancelled {
		return
	}
	event.AttemptFailed(event.Attempt{Request: c.plan.req.ID, Number: int(run.number), Backend: run.decision.Backend.Name}, e)
}
