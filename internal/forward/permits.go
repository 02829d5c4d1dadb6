package forward

import (
	"context"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/quota/guard"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

const (
	// permitTimeout limits the time to get permits, so that those of the next request
	// are not held up.
	permitTimeout = 400 * time.Millisecond
	// permitWait limits the time for which a call waits for permits.
	permitWait = 50 * time.Millisecond
	// permitLogInterval is the time between two log lines about permits that don't come.
	permitLogInterval = time.Second
)

// PermitSource gives permits for calls to backend servers that limit their calls, and units of
// the quotas of client accounts.
type PermitSource interface {
	Permits(ctx context.Context, req *wire.PermitRequest) (*wire.PermitReply, error)
}

// permitClient asks for the permits and the units of quotas that a router wants.
type permitClient struct {
	source PermitSource
	// router is the name of this router in requests.
	router   string
	selector *backendSelector
	quotas   *guard.Guard

	mu sync.Mutex
	// interval is the time between two requests, as the leader wants it.
	interval time.Duration
	// failedSince is the time since which no permits came; zero if they come.
	failedSince, lastLog time.Time
}

func newPermitClient(source PermitSource, router string, selector *backendSelector, quotas *guard.Guard) *permitClient {
	return &permitClient{source: source, router: router, selector: selector, quotas: quotas, interval: permit.MinInterval}
}

// run asks for permits and units whenever some are wanted, until ctx ends.
func (p *permitClient) run(ctx context.Context) {
	if p.source == nil {
		return
	}
	for backoff.Sleep(ctx, p.nextInterval()) {
		recovery.Run("permits", func() { p.exchange(ctx, true) })
	}
}

// nextInterval returns the time until the next request.
func (p *permitClient) nextInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interval
}

// askQuotas asks for units of quotas at once.
func (p *permitClient) askQuotas() {
	if p.source != nil {
		recovery.Run("quotas", func() { p.exchange(context.Background(), false) })
	}
}

// refresh asks for permits at once, and waits for them for at most permitWait.
func (p *permitClient) refresh(ctx context.Context) {
	if p.source == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permitWait)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		recovery.Run("permits", func() { p.exchange(context.WithoutCancel(ctx), true) })
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// exchange asks in one message for the permits, if these are to be asked for, and the units of
// quotas that are wanted now, if any.
func (p *permitClient) exchange(ctx context.Context, permits bool) {
	steadySentAt := steady.Now()
	var req *wire.PermitRequest
	var sentAt time.Time // by the selector's clock
	if permits {
		req, sentAt = p.selector.permitRequest()
	}
	permits = req != nil
	if !permits {
		req = &wire.PermitRequest{Router: p.router}
	}
	fill := p.quotas.Fill(steadySentAt, req)
	if !permits && fill == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := p.source.Permits(ctx, req)
	if err == nil && permits {
		p.selector.permitsReceived(sentAt, reply)
	}
	if err == nil && fill > 0 {
		p.quotas.Received(steadySentAt, fill, req, reply)
	}
	p.recordResult(time.Now(), reply, err)
}

// recordResult notes the interval in a reply. It logs when permits stop to come, each
// permitLogInterval in which none come, and when they come again.
func (p *permitClient) recordResult(now time.Time, reply *wire.PermitReply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		if ms := reply.GetIntervalMs(); ms > 0 {
			p.interval = min(max(time.Duration(ms)*time.Millisecond, permit.MinInterval), permit.MaxInterval)
		}
		if !p.failedSince.IsZero() {
			event.PermitsReceivedAgain(now.Sub(p.failedSince))
		}
		p.failedSince = time.Time{}
		return
	}
	if p.failedSince.IsZero() {
		p.failedSince = now
	}
	if now.Sub(p.lastLog) >= permitLogInterval {
		p.lastLog = now
		event.PermitsNotReceived(err)
	}
}

// permitRequest returns the request for permits that is due, or nil, and the time by the
// selector's clock.
func (sel *backendSelector) permitRequest() (*wire.PermitRequest, time.Time) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	return sel.router.PermitRequest(now), now
}

func (sel *backendSelector) permitsReceived(sentAt time.Time, reply *wire.PermitReply) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.router.PermitsReceived(sel.clock(), sentAt, reply)
}
