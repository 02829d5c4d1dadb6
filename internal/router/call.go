package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/shutdown"
)

// call is one request in progress.
type call struct {
	router    *Router
	plan      *plan
	ticket    *ticket
	responder gateway.Responder
	ctx       context.Context
	cancel    context.CancelFunc
	// events carries the events for the dispatch machine to the call's event loop.
	events chan dispatch.Event
	// attempts holds all attempts by number.
	attempts map[uint32]*attempt
	// timer fires when the dispatch machine wants its next Tick.
	timer *time.Timer
	// status is that of the response; 0 until its head is sent.
	status uint32
	// err is the error that the caller receives, or nil.
	err *fault.Error
	// ended is set once the call has its final result.
	ended bool
}

// attempt is one attempt in progress.
type attempt struct {
	number uint32
	// decision is the chosen backend server. It is nil if none was chosen.
	decision *routing.Decision
	// knownCrashes holds what was known of the shared parts of the prompt when the attempt
	// was sent.
	knownCrashes []uint32
	// ctx ends at the caller's deadline, when the call ends or by cancel.
	ctx    context.Context
	cancel context.CancelFunc
}

// post sends an event to the call's event loop. It drops the event if the call has
// ended.
func (c *call) post(ev dispatch.Event) {
	select {
	case c.events <- ev:
	case <-c.ctx.Done():
	}
}

// tryPost sends an event to the call's event loop. It drops the event if the buffer
// is full.
func (c *call) tryPost(ev dispatch.Event) {
	select {
	case c.events <- ev:
	default:
	}
}

// serveAttempts runs the dispatch machine of one request until the request ends.
func (r *Router) serveAttempts(ctx context.Context, p *plan, t *ticket, responder gateway.Responder) error {
	c := &call{router: r, plan: p, ticket: t, responder: responder,
		events: make(chan dispatch.Event, eventBufferSize), attempts: map[uint32]*attempt{}, timer: time.NewTimer(time.Hour)}
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer c.cancel()
	defer c.timer.Stop()
	r.addCall(c)
	defer r.removeCall(c)
	m := dispatch.New(dispatch.Request{
		Account:    p.account.Name,
		Idempotent: p.req.Idempotency == gateway.Idempotent,
		Stream:     p.req.Stream,
		Resumable:  p.req.Service == "" && p.req.Stream,
		Deadline:   p.req.Deadline,
	}, r.budget)
	c.perform(m, m.Start())
	for !c.ended {
		ev := c.nextEvent(ctx)
		c.perform(m, m.Step(time.Now(), ev))
	}
	r.metrics.StrayChunks.Add(int64(m.StrayChunks))
	if c.err != nil {
		return c.err
	}
	return nil
}

func (r *Router) addCall(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = struct{}{}
}

func (r *Router) removeCall(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// nextEvent waits for the next event.
func (c *call) nextEvent(ctx context.Context) dispatch.Event {
	select {
	case ev := <-c.events:
		return ev
	case <-c.timer.C:
		return dispatch.Tick{}
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return dispatch.Tick{}
		}
		if shutdown.Ended(ctx) {
			return dispatch.Stopped{}
		}
		return dispatch.CallerDisconnected{}
	}
}

// perform carries out actions of the dispatch machine m. If the response can't be
// written, it drops the remaining ones and carries out those that m then returns. If m
// has ended, it returns none, and the call ends with the error.
func (c *call) perform(m *dispatch.Machine, actions []dispatch.Action) {
	for _, action := range actions {
		err := c.performAction(action)
		switch {
		case err == nil:
			continue
		case m.Done():
			c.err, c.ended = fault.From(err), true
		case errors.Is(err, shutdown.ErrEnded):
			c.perform(m, m.Step(time.Now(), dispatch.Stopped{}))
		default:
			c.perform(m, m.Step(time.Now(), dispatch.CallerDisconnected{}))
		}
		return
	}
}

// performAction carries out one action. An error means that the caller has
// disconnected or that the shutdown has ended the call.
func (c *call) performAction(action dispatch.Action) error {
	switch a := action.(type) {
	case dispatch.Launch:
		c.launch(a)
	case dispatch.ResumeStream:
		if attempt := c.attempts[a.Attempt]; attempt != nil {
			go c.resumeStream(attempt, a.NextSequence)
		}
	case dispatch.Cancel:
		if attempt := c.attempts[a.Attempt]; attempt != nil {
			attempt.cancel()
		}
	case dispatch.ReportCrash:
		c.reportCrash(a)
	case dispatch.ClearCrash:
		c.clearCrash()
	case dispatch.SendHead:
		c.status = a.Head.Status
		return c.responder.Head(gateway.Head{
			Status:        int(a.Head.Status),
			Header:        httpHeader(a.Head.Headers),
			Backend:       a.Backend,
			ContentLength: a.ContentLength,
		})
	case dispatch.SendChunk:
		return c.responder.Chunk(a.Data)
	case dispatch.Complete:
		c.ended = true
		if parts := c.plan.sharedParts(); c.status < http.StatusMultipleChoices && len(parts) > 0 {
			c.router.crashes.Served(parts)
		}
	case dispatch.Fail:
		c.err = a.Err
		c.ended = true
	case dispatch.WakeAt:
		c.timer.Reset(time.Until(a.Time))
	}
	return nil
}
