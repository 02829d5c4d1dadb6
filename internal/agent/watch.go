package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/wire"
)

// healthTimeout is the timeout of one health check.
const healthTimeout = time.Second

// Run polls the backend server's health, load and cache events until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	var watchers sync.WaitGroup
	watchers.Go(func() { runEvery(ctx, a.config.Timings.HealthInterval, a.watchHealth) })
	if !a.engine.PlainService() {
		watchers.Go(func() { runEvery(ctx, a.config.Timings.LoadInterval, a.pollLoad) })
		watchers.Go(func() { runEvery(ctx, a.config.Timings.EventsInterval, a.pollEvents) })
	}
	watchers.Wait()
	return nil
}

// runEvery calls f immediately and then once per interval, until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		recovery.Run("backend server", func() { f(ctx) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) watchHealth(ctx context.Context) {
	a.checkHealth(ctx)
	a.streams.expire(time.Now())
}

// checkHealth runs a health check, records its result and returns the incarnation
// that answered it, or 0 if the check failed. If checks overlap, the result of an
// earlier one does not overwrite that of a later one.
func (a *Agent) checkHealth(ctx context.Context) (incarnation uint64) {
	number := a.healthChecks.Add(1)
	startedAt := time.Now()
	checkCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := a.engine.Health(checkCtx)
	if ctx.Err() != nil {
		return 0
	}
	if err == nil {
		incarnation = health.Incarnation
	}
	defer a.readNotices()
	a.mu.Lock()
	defer a.mu.Unlock()
	if number < a.lastHealthCheck {
		return incarnation
	}
	a.lastHealthCheck = number
	previous := a.gate.Status()
	if err != nil {
		a.gate.EngineDown()
		if previous.Up {
			a.downSince = startedAt
			event.BackendDown(a.config.Name, err)
			a.TriggerAnnounce()
		}
		if since := time.Now().Add(-a.config.Timings.StallTimeout); !a.downSince.IsZero() && !a.downSince.After(since) {
			a.streams.cancelStalled(since)
		}
		return 0
	}
	a.health = *health
	models := loadedModels(health.Models)
	if a.gate.EngineUp(health.Incarnation, models) {
		a.prefixIndex.Reset()
		a.loadTracker.Restart(health.Incarnation)
		a.load = nil
		engineIncarnations.Add(1)
	}
	if !previous.Up || previous.Incarnation != health.Incarnation || !equalModels(previous.Models, models) {
		event.BackendUp(a.config.Name, health.Incarnation, len(models))
		a.TriggerAnnounce()
	}
	return incarnation
}

func loadedModels(models []dialect.Model) []*wire.LoadedModel {
	out := make([]*wire.LoadedModel, 0, len(models))
	for _, m := range models {
		out = append(out, &wire.LoadedModel{Model: m.Model, WeightsVersion: m.WeightsVersion, Adapters: m.Adapters})
	}
	return out
}

func equalModels(a, b []*wire.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.LoadedModel) bool { return proto.Equal(x, y) })
}

// pollLoad reads the engine's load report. If that fails, the last report is kept.
func (a *Agent) pollLoad(ctx context.Context) {
	load, err := a.engine.Load(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load = load
}

// pollEvents reads the cache events of the current engine incarnation.
func (a *Agent) pollEvents(ctx context.Context) {
	a.mu.Lock()
	from := a.prefixIndex.NextSequence()
	a.mu.Unlock()
	events, err := a.engine.Events(ctx, from)
	if err != nil {
		if !fault.Is(err, fault.BackendRefused) && ctx.Err() == nil {
			event.CacheEventsReadFailed(a.config.Name, err)
		}
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if events.Incarnation != a.gate.Status().Incarnation || a.prefixIndex.NextSequence() != from {
		return
	}
	lost := a.prefixIndex.LostEvents
	a.prefixIndex.Apply(events)
	lostCacheEvents.Add(int64(a.prefixIndex.LostEvents - lost))
}
