package gateway

import (
	"context"
	"time"

	"parsleypulley/internal/event"
)

// cutTime is how long the end of the graceful shutdown waits until the calls that it cuts have logged
// their end.
const cutTime = 100 * time.Millisecond

// BeginShutdown begins the graceful shutdown. Until endsAt the gateway accepts only calls that end before
// it by their own time limits, and it answers the others before their connections are cut.
func (g *Gateway) BeginShutdown(endsAt time.Time) { g.shutdown.Begin(endsAt) }

// Shutdown completes the graceful shutdown. It calls stop, which must wait until no calls are running or
// its context ends. That context ends once the gateway has ended the calls that outlast ctx.
func (g *Gateway) Shutdown(ctx context.Context, stop func(ctx context.Context) error) {
	stopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	unwatch := context.AfterFunc(ctx, func() {
		defer cancel()
		g.shutdown.Cut(cutTime)
	})
	defer unwatch()
	_ = stop(stopCtx) // its error is that of stopCtx; the guard counts the calls
	if n := g.shutdown.Counts().Cut; n > 0 {
		event.PlannedStopCutRunning("callers", n)
	}
}

// StopCounts returns the numbers of calls of the graceful shutdown, at its end.
func (g *Gateway) StopCounts() event.StopCounts { return event.StopCounts(g.shutdown.Counts()) }
