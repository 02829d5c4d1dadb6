package router

import (
	"context"
	"errors"
	"time"

	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/routing"
)

// call is one request in progress.
type call struct {
	router *Router
	plan   *plan
	ticket *ticket
	w      gateway.Responder
	ctx    context.Context
	cancel context.CancelFunc
	events chan dispatch.Event
	runs   map[uint32]*run
	timer  *time.Timer
	err    *fault.Error
	ended  bool
}

// run is one attempt in progress.
type run struct {
	number   uint32
	decision *routing.Decision
	// ctx ends at the caller's deadline, with the call or by cancel.
	ctx    context.Context
	cancel context.CancelFunc
}

// post delivers an event unless the call has ended.
func (c *call) post(ev dispatch.Event) {
	select {
	case c.events <- ev:
	case <-c.ctx.Done():
	}
}

// hint delivers an event that may be lost when the call is busy.
func (c *call) hint(ev dispatch.Event) {
	select {
	case c.events <- ev:
	default:
	}
}

// serveAttempts runs the dispatch machine of one request.
func (r *Router) serveAttempts(ctx context.Context, p *plan, t *ticket, w gateway.Responder) error {
	c := &call{router: r, plan: p, ticket: t, w: w,
		events: make(chan dispatch.Event, eventBacklog), runs: map[uint32]*run{}, timer: time.NewTimer(time.Hour)}
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer c.cancel()
	defer c.timer.Stop()
	r.track(c)
	defer r.untrack(c)
	m := dispatch.New(dispatch.Request{
		Account:    p.account.Name,
		Idempotent: p.req.Repeat == gateway.Idempotent,
		Stream:     p.req.Stream,
		Resumable:  p.req.Service == "" && p.req.Stream,
		Deadline:   p.req.Deadline,
	}, r.budget)
	c.perform(m, m.Start())
	for !c.ended {
		ev := c.next(ctx)
		c.perform(m, m.Step(time.Now(), ev))
	}
	r.metrics.StrayChunks.Add(int64(m.StrayChunks))
	if c.err != nil {
		return c.err
	}
	return nil
}

func (r *Router) track(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = struct{}{}
}

func (r *Router) untrack(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// next waits for the next event.
func (c *call) next(ctx context.Context) dispatch.Event {
	select {
	case ev := <-c.events:
		return ev
	case <-c.timer.C:
		return dispatch.Tick{}
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return dispatch.Tick{}
		}
		return dispatch.CallerDisconnected{}
	}
}

func (c *call) perform(m *dispatch.Machine, actions []dispatch.Action) {
	for _, action := range actions {
		if err := c.act(action); err != nil {
			c.perform(m, m.Step(time.Now(), dispatch.CallerDisconnected{}))
			return
		}
	}
}

// act carries out one action; an error means that the caller is gone.
func (c *call) act(action dispatch.Action) error {
	switch a := action.(type) {
	case dispatch.Launch:
		c.launch(a)
	case dispatch.ResumeStream:
		if run := c.runs[a.Attempt]; run != nil {
			go c.resume(run, a.NextSequence)
		}
	case dispatch.Cancel:
		if run := c.runs[a.Attempt]; run != nil {
			run.cancel()
		}
	case dispatch.ReportCrash:
		c.reportCrash(a)
	case dispatch.ClearCrash:
		c.clearCrash()
	case dispatch.SendHead:
		return c.w.Head(gateway.Head{
			Status:        int(a.Head.Status),
			Header:        httpHeader(a.Head.Headers),
			Backend:       a.Backend,
			ContentLength: a.ContentLength,
		})
	case dispatch.SendChunk:
		return c.w.Chunk(a.Data)
	case dispatch.Complete:
		c.ended = true
	case dispatch.Fail:
		c.err = a.Err
		c.ended = true
	case dispatch.WakeAt:
		c.timer.Reset(time.Until(a.Time))
	}
	return nil
}
