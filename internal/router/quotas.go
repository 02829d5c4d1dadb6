package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/quota/guard"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

const (
	// quotaTimeout bounds a request to the leader for units of quotas.
	quotaTimeout = 400 * time.Millisecond
	// quotaLogInterval is the time between two log lines about requests that fail.
	quotaLogInterval = time.Second
)

// quotaClient asks the leader for the units of quotas that a router needs.
type quotaClient struct {
	router *Router
	guard  *guard.Guard
	// interval is the time between two requests in nanoseconds, as the leader wants it.
	interval atomic.Int64
	// lastLog is the time of the last log line in Unix nanoseconds.
	lastLog atomic.Int64
}

func newQuotaClient(r *Router) *quotaClient {
	q := &quotaClient{router: r, guard: guard.New()}
	q.interval.Store(int64(permit.MinInterval))
	return q
}

// run asks for units whenever some are needed, until ctx ends.
func (q *quotaClient) run(ctx context.Context) {
	for backoff.Sleep(ctx, time.Duration(q.interval.Load())) {
		q.exchange()
	}
}

// exchange asks for the units that are needed now, if any.
func (q *quotaClient) exchange() {
	sentAt, req := steady.Now(), &wire.PermitRequest{Router: q.router.opts.Name}
	fill := q.guard.Fill(sentAt, req)
	if fill == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	reply, err := q.router.opts.Control.Permits(ctx, req)
	if err == nil {
		q.guard.Received(sentAt, fill, req, reply)
		if ms := reply.GetIntervalMs(); ms > 0 {
			q.interval.Store(int64(min(max(time.Duration(ms)*time.Millisecond, permit.MinInterval), permit.MaxInterval)))
		}
		return
	}
	now := time.Now().UnixNano()
	if last := q.lastLog.Load(); now-last >= int64(quotaLogInterval) && q.lastLog.CompareAndSwap(last, now) {
		event.PermitsNotReceived(err)
	}
}

// take takes the cost of a call from the quota of its account, if it has one.
func (q *quotaClient) take(ctx context.Context, p *plan) (*callQuota, error) {
	if p.account.Quota == nil {
		return &callQuota{}, nil
	}
	use, err := q.guard.Take(ctx, &wire.Account{Name: p.account.Name, Quota: p.account.Quota}, costOf(p), q.exchange)
	return &callQuota{use: use}, err
}

// costOf returns what a call costs. It declares its tokens if it limits its output; otherwise it
// costs the plain tokens, or its prompt if that is longer.
func costOf(p *plan) uint64 {
	q := p.account.Quota
	if p.req.MaxTokens > 0 {
		return quota.Cost(q, p.promptTokens(), uint32(p.req.MaxTokens))
	}
	return max(quota.Cost(q, 0, 0), quota.Cost(q, p.promptTokens(), 0))
}

// callQuota is what one call uses of the quota of its account. It is safe for concurrent use.
type callQuota struct {
	mu  sync.Mutex
	use guard.Use
}

// renew makes sure, before an attempt, that the units of the call are still valid.
func (c *callQuota) renew() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.Renew()
}

// end settles the units of a call that ends with err: they are given back if it has not run.
func (c *callQuota) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && fault.From(err).Outcome != fault.NotRun {
		c.use.Spend()
	}
	c.use.End()
}

// quotaResponder records that a call runs when the head of its response comes.
type quotaResponder struct {
	gateway.Responder
	quota *callQuota
}

// Head implements gateway.Responder.
func (r *quotaResponder) Head(h gateway.Head) error {
	if !h.Replayed {
		r.quota.mu.Lock()
		r.quota.use.Spend()
		r.quota.mu.Unlock()
	}
	return r.Responder.Head(h)
}
