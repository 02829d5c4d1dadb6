package router

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/link"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// recordTimeout is how long after the caller's deadline a response may still be
// recorded.
const recordTimeout = 5 * time.Second

// onceCall is one at-most-once call in progress. It continues after the caller
// disconnects, so that its outcome is recorded.
type onceCall struct {
	router    *Router
	plan      *plan
	responder gateway.Responder
	// owner identifies this call in the claim of its key.
	owner string
	// digest is the digest of the call's content.
	digest []byte
	// ctx ends recordTimeout after the call's deadline.
	ctx    context.Context
	events chan dispatch.OnceEvent
	// decision is the routing decision of the granted claim until its dispatch has
	// ended. The goroutine of the claim sets it, and the goroutine of the dispatch
	// clears it.
	decision *routing.Decision
	// timer fires when the machine wants its next Tick.
	timer *time.Timer
	// deadline fires at the call's deadline.
	deadline *time.Timer
	// err is the error that the caller receives, or nil.
	err *fault.Error
	// ended is set once the call has its final result.
	ended bool
}

// serveOnce runs the at-most-once machine of one call until the call ends.
func (r *Router) serveOnce(ctx context.Context, p *plan, responder gateway.Responder) error {
	c := &onceCall{router: r, plan: p, responder: responder, owner: r.newOwner(p.req.ID), digest: requestDigest(p.req),
		events: make(chan dispatch.OnceEvent, eventBufferSize), timer: time.NewTimer(time.Hour),
		deadline: time.NewTimer(time.Until(p.req.Deadline))}
	defer c.timer.Stop()
	defer c.deadline.Stop()
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), p.req.Deadline.Add(recordTimeout))
	defer cancel()
	m := dispatch.NewOnce(dispatch.OnceRequest{Owner: c.owner, Deadline: p.req.Deadline}, p.account.Name, r.budget)
	c.perform(m.Start())
	for !c.ended {
		ev := c.nextEvent()
		c.perform(m.Step(time.Now(), ev))
	}
	if c.err != nil {
		return c.err
	}
	return nil
}

// newOwner returns an owner name that is unique among the calls of all routers.
func (r *Router) newOwner(requestID string) string {
	return fmt.Sprintf("%s/%s/%d", r.opts.Name, requestID, r.lastOwnerID.Add(1))
}

// requestDigest returns the digest of a call's content. It detects the use of one key
// for two different calls.
func requestDigest(req *gateway.Request) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n", req.Method, req.Service, req.Path)
	h.Write(req.Body)
	return h.Sum(nil)
}

func (c *onceCall) nextEvent() dispatch.OnceEvent {
	select {
	case ev := <-c.events:
		return ev
	case <-c.timer.C:
		return dispatch.Tick{}
	case <-c.deadline.C:
		return dispatch.Tick{}
	case <-c.plan.req.Stopped:
		return dispatch.Stopped{}
	}
}

func (c *onceCall) post(ev dispatch.OnceEvent) {
	select {
	case c.events <- ev:
	case <-c.ctx.Done():
	}
}

func (c *onceCall) perform(actions []dispatch.OnceAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Claim:
			go recovery.Run("claim", func() { c.claim(a) })
		case dispatch.Lookup:
			go recovery.Run("claim", c.lookup)
		case dispatch.DispatchClaim:
			go recovery.Run("claim", func() { c.dispatch(a.Record) })
		case dispatch.QueryClaim:
			go recovery.Run("claim", func() { c.queryClaim(a.Record) })
		case dispatch.FinishClaim:
			go recovery.Run("claim", func() { c.finish(a.Finish) })
		case dispatch.AnswerCall:
			c.sendAnswer(a)
		case dispatch.FailCall:
			c.err = a.Err
			c.ended = true
		case dispatch.WakeAt:
			c.timer.Reset(time.Until(a.Time))
		}
	}
}

// claim chooses a backend server and claims the key for the current incarnation of its
// agent.
func (c *onceCall) claim(a dispatch.Claim) {
	req := c.plan.routing
	req.Tried = a.Exclude
	d, err := c.router.selector.startAttempt(&req)
	if err != nil {
		// An existing record still decides what the caller receives.
		c.reportNoBackend(fault.From(err))
		return
	}
	claim := &wire.OnceClaim{
		Account:          c.plan.account.Name,
		Key:              c.plan.req.IdempotencyKey,
		RequestSha256:    c.digest,
		Backend:          d.Backend.Name,
		AgentIncarnation: d.Backend.AgentIncarnation,
		Router:           c.owner,
		NowMs:            time.Now().UnixMilli(),
		RetentionS:       uint32(c.plan.view.Config.Preset.IdempotencyRetention / time.Second),
	}
	c.propose(&wire.Command{Body: &wire.Command_OnceClaim{OnceClaim: claim}}, func(result *wire.OnceResult, err *fault.Error) {
		if result.GetStatus() == wire.OnceResult_STATUS_GRANTED {
			c.decision = d
		} else {
			c.router.selector.failed(d, fault.New(fault.Cancelled, fault.NotRun, "the claim was not granted"))
		}
		c.post(dispatch.Claimed{Result: result, Err: err})
	})
}

// propose proposes a command to the control replicas and calls then with the result or
// the error.
func (c *onceCall) propose(command *wire.Command, then func(*wire.OnceResult, *fault.Error)) {
	result, err := c.router.opts.Control.Propose(c.ctx, command)
	if err != nil {
		then(nil, fault.From(err))
		return
	}
	then(result.GetOnce(), nil)
}

// reportNoBackend reports that no backend server could be chosen, together with the
// record of the key. If there is no record, the call has not run.
func (c *onceCall) reportNoBackend(cause *fault.Error) {
	if record, ok := c.readRecord(); ok {
		c.post(dispatch.NoBackend{Record: record, Err: cause})
	}
}

// readRecord reads the record of the key, or nil if there is none. If the record can't
// be read, it posts the error and returns false.
func (c *onceCall) readRecord() (record *wire.OnceRecord, ok bool) {
	record, err := c.router.opts.Control.LookupClaim(c.ctx, c.plan.account.Name, c.plan.req.IdempotencyKey)
	if err != nil {
		c.post(dispatch.Claimed{Err: fault.From(err)})
		return nil, false
	}
	return record, true
}

// lookup posts the record of the key. If there is none, the call has not run.
func (c *onceCall) lookup() {
	record, ok := c.readRecord()
	if !ok {
		return
	}
	if record == nil {
		record = &wire.OnceRecord{State: wire.OnceRecord_STATE_NOT_RUN}
	}
	c.post(dispatch.Claimed{Result: &wire.OnceResult{Status: wire.OnceResult_STATUS_EXISTS, Record: record}})
}

// dispatch sends the claimed call and posts its complete response or its error.
func (c *onceCall) dispatch(record *wire.OnceRecord) {
	answer, err := c.sendClaim(record)
	c.reportDispatchEnd(err)
	if err != nil {
		e := fault.From(err)
		event.AtMostOnceDispatchFailed(c.plan.req.ID, record.Backend, e)
		c.post(dispatch.DispatchFailed{Err: e})
		return
	}
	c.post(dispatch.AnswerReceived{Answer: answer})
}

// reportDispatchEnd reports the end of the claimed call's dispatch to routing.
func (c *onceCall) reportDispatchEnd(err error) {
	d := c.decision
	c.decision = nil
	switch {
	case d == nil:
	case err != nil:
		c.router.selector.failed(d, fault.From(err))
	default:
		c.router.selector.finished(d, nil)
	}
}

// sendClaim sends the claimed call to the agent that the claim names, and returns the
// complete response. It fails if that incarnation of the agent has ended.
func (c *onceCall) sendClaim(record *wire.OnceRecord) (*wire.StoredAnswer, error) {
	member := c.router.opts.Views.Load().Member(record.Backend)
	if member == nil || member.Backend.AgentIncarnation != record.AgentIncarnation {
		return nil, fault.New(fault.StaleIncarnation, fault.NotRun, "the backend server left before the call was sent")
	}
	if err := c.plan.quota.renew(); err != nil {
		return nil, err
	}
	ctx, span := tracer.Start(c.ctx, "router attempt")
	defer span.End()
	msg := c.plan.dispatchMessage(1, &routing.Decision{Backend: member.Backend})
	msg.Idempotent = false
	msg.Claim = record.Id
	msg.AgentIncarnation = record.AgentIncarnation
	c.router.metrics.Attempts.Add(1)
	req := c.plan.linkRequest(ctx, c.router.opts.Address, msg)
	stream, err := c.router.opts.Pool.Open(ctx, member.Backend.AgentAddress, req)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return readAnswer(stream)
}

// readAnswer reads a complete response from stream.
func readAnswer(stream *link.Stream) (*wire.StoredAnswer, error) {
	answer := &wire.StoredAnswer{}
	next := uint64(1)
	for {
		resp, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, fault.New(fault.LinkDown, fault.Unknown, "the answer ended early")
		}
		if err != nil {
			return nil, err
		}
		switch body := resp.Body.(type) {
		case *wire.Response_Head:
			if err := checkResponseStatus(body.Head.Status); err != nil {
				return nil, err
			}
			answer.Status = body.Head.Status
			answer.Headers = storedHeaders(body.Head.Headers)
		case *wire.Response_Chunk:
			if body.Chunk.Sequence != next || len(answer.Body)+len(body.Chunk.Data) > dispatch.MaxStoredAnswerBytes {
				return nil, fault.New(fault.StreamBroken, fault.Unknown, "the answer has a gap or is over %d bytes", dispatch.MaxStoredAnswerBytes)
			}
			next++
			answer.Body = append(answer.Body, body.Chunk.Data...)
		case *wire.Response_End:
			if body.End.Chunks != next-1 || answer.Status == 0 {
				return nil, fault.New(fault.StreamBroken, fault.Unknown, "the answer is not whole")
			}
			return answer, nil
		}
	}
}

// queryClaim asks the agent whether the claimed call has run. If the view shows that
// the claim's agent incarnation has ended, the outcome can no longer be found out.
func (c *onceCall) queryClaim(record *wire.OnceRecord) {
	member := c.router.opts.Views.Load().Member(record.Backend)
	if member == nil || member.Backend.AgentIncarnation > record.AgentIncarnation {
		c.post(dispatch.IncarnationEnded{})
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, 2*time.Second)
	defer cancel()
	resp, err := c.router.opts.Pool.Call(ctx, member.Backend.AgentAddress, &wire.Request{
		RequestId: c.plan.req.ID,
		Body: &wire.Request_ClaimQuery{ClaimQuery: &wire.ClaimQuery{
			Claim: record.Id, Account: c.plan.account.Name, AgentIncarnation: record.AgentIncarnation}},
	})
	if err != nil {
		c.post(dispatch.ClaimQueried{Err: fault.From(err)})
		return
	}
	c.post(dispatch.ClaimQueried{Fate: resp.GetClaimFate()})
}

// finish records the outcome of the claim at the control replicas.
func (c *onceCall) finish(finish *wire.OnceFinish) {
	finish.NowMs = time.Now().UnixMilli()
	c.propose(&wire.Command{Body: &wire.Command_OnceFinish{OnceFinish: finish}}, func(result *wire.OnceResult, err *fault.Error) {
		c.post(dispatch.ClaimFinished{Result: result, Err: err})
	})
}

func (c *onceCall) sendAnswer(a dispatch.AnswerCall) {
	c.ended = true
	if a.Replayed {
		c.router.metrics.Replays.Add(1)
	}
	header := http.Header{}
	for _, h := range a.Answer.GetHeaders() {
		header.Add(h.Name, h.Value)
	}
	err := c.responder.Head(gateway.Head{
		Status:        int(a.Answer.GetStatus()),
		Header:        header,
		Backend:       a.Backend,
		ContentLength: int64(len(a.Answer.GetBody())),
		Replayed:      a.Replayed,
	})
	if err == nil && len(a.Answer.GetBody()) > 0 {
		err = c.responder.Chunk(a.Answer.GetBody())
	}
	if err != nil {
		c.err = fault.From(err)
	}
}

func storedHeaders(headers []*wire.Header) []*wire.StoredHeader {
	var out []*wire.StoredHeader
	for _, h := range headers {
		out = append(out, h.Stored()...)
	}
	return out
}
