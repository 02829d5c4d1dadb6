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
	"parsleypulley/internal/wire"
)

// healthTimeout bounds one health check.
const healthTimeout = time.Second

// Run watches the backend server's health, load and cache events until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	var watchers sync.WaitGroup
	watchers.Go(func() { every(ctx, a.config.Timings.HealthInterval, a.watchHealth) })
	if !a.engine.PlainService() {
		watchers.Go(func() { every(ctx, a.config.Timings.LoadInterval, a.pollLoad) })
		watchers.Go(func() { every(ctx, a.config.Timings.EventsInterval, a.pollEvents) })
	}
	watchers.Wait()
	return nil
}

// every calls f at once and then with each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) watchHealth(ctx context.Context) {
	a.checkHealth(ctx)
	a.streams.Expire(time.Now())
}

// checkHealth asks for the backend server's health, notes it and reports whether
// the backend server answered. Of checks that overlap, one that began earlier
// does not overwrite what a later one saw.
func (a *Agent) checkHealth(ctx context.Context) bool {
	number := a.healthChecks.Add(1)
	began := time.Now()
	check, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := a.engine.Health(check)
	if ctx.Err() != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if number < a.healthSeen {
		return err == nil
	}
	a.healthSeen = number
	before := a.gate.Status()
	if err != nil {
		a.gate.EngineDown()
		if before.Up {
			a.downSince = began
			event.BackendDown(a.config.Name, err)
			a.TriggerAnnounce()
		}
		if since := time.Now().Add(-a.config.Timings.StallTimeout); !a.downSince.IsZero() && !a.downSince.After(since) {
			a.streams.stall(since)
		}
		return false
	}
	a.health = *health
	models := loadedModels(health.Models)
	if a.gate.EngineUp(health.Incarnation, models) {
		a.digest.Reset()
		a.ledger.Restart(health.Incarnation)
		a.load = nil
		engineLives.Add(1)
	}
	if !before.Up || before.Incarnation != health.Incarnation || !sameModels(before.Models, models) {
		event.BackendUp(a.config.Name, health.Incarnation, len(models))
		a.TriggerAnnounce()
	}
	return true
}

func loadedModels(models []dialect.Model) []*wire.LoadedModel {
	out := make([]*wire.LoadedModel, 0, len(models))
	for _, m := range models {
		out = append(out, &wire.LoadedModel{Model: m.Model, WeightsVersion: m.WeightsVersion, Adapters: m.Adapters})
	}
	return out
}

func sameModels(a, b []*wire.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.LoadedModel) bool { return proto.Equal(x, y) })
}

func (a *Agent) pollLoad(ctx context.Context) {
	load, err := a.engine.Load(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load = load
}

// pollEvents reads cache events of the present engine life.
func (a *Agent) pollEvents(ctx context.Context) {
	a.mu.Lock()
	from := a.digest.NextSequence()
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
	if events.Incarnation != a.gate.Status().Incarnation || a.digest.NextSequence() != from {
		return
	}
	lost := a.digest.LostEvents
	a.digest.Apply(events)
	eventsLost.Add(int64(a.digest.LostEvents - lost))
}
