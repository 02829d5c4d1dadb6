package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

// fakeControl answers announcements; it repeats an order until its result came.
type fakeControl struct {
	mu        sync.Mutex
	down      bool
	draining  bool
	orders    []*wire.Order
	results   map[uint64]*wire.OrderResult
	last      *wire.Announce
	announced int
}

func (c *fakeControl) Announce(_ context.Context, a *wire.Announce) (*wire.AnnounceReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, errors.New("cut off")
	}
	c.announced++
	c.last = a
	for _, r := range a.OrderResults {
		c.results[r.Id] = r
	}
	reply := &wire.AnnounceReply{LeaseMs: 3000, Draining: c.draining}
	for _, o := range c.orders {
		if c.results[o.Id] == nil {
			reply.Orders = append(reply.Orders, o)
		}
	}
	return reply, nil
}

func (c *fakeControl) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *fakeControl) result(id uint64) *wire.OrderResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results[id]
}

func (c *fakeControl) lastAnnounce() *wire.Announce {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

func startAnnouncer(t testing.TB, b *bench) *fakeControl {
	t.Helper()
	c := &fakeControl{results: map[uint64]*wire.OrderResult{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n := NewAnnouncer(b.agent, c, 10*time.Millisecond)
	go func() { defer close(done); n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	eventually(t, func() bool { return c.lastAnnounce() != nil })
	return c
}

func order(b *bench, id, fencing uint64, version string) *wire.Order {
	return &wire.Order{Id: id, AgentIncarnation: b.agent.Incarnation(), Fencing: fencing, Model: testModel, WeightsVersion: version}
}

func (b *bench) version() string {
	if models := b.agent.Status().Models; len(models) == 1 {
		return models[0].WeightsVersion
	}
	return ""
}

func TestAnnouncementTellsOfTheBackendServer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{MaxRunning: 9, ChecksFencing: true}, func(c *Config) { c.FailureDomain = "punjab-a" })
	c := startAnnouncer(t, b)
	backend := c.lastAnnounce().Backend
	is.Equal(backend.Name, "b1")
	is.Equal(backend.AgentAddress, b.address)
	is.Equal(backend.FailureDomain, "punjab-a")
	is.Equal(backend.AgentIncarnation, b.agent.Incarnation())
	is.Equal(backend.EngineIncarnation, b.standin.Incarnation())
	is.Equal(backend.Models[0].WeightsVersion, testVersion)
	is.Equal(backend.MaxRunning, uint32(9))
	is.True(backend.ChecksFencing)
	old := b.standin.Incarnation()
	b.standin.Crash()
	b.waitUp(t, old)
	eventually(t, func() bool { return c.lastAnnounce().Backend.EngineIncarnation == b.standin.Incarnation() })
}

func TestDrainOrderedByControl(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{}, nil)
	c := startAnnouncer(t, b)
	c.set(func() { c.draining = true })
	eventually(t, func() bool { return b.agent.Status().Draining })
	_, err := b.do(context.Background(), chat("r1", "p", 3, true))
	is.True(fault.Is(err, fault.Draining))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	c.set(func() { c.down = true })
	time.Sleep(50 * time.Millisecond)
	is.True(b.agent.Status().Draining) // kept without contact to control
	c.set(func() { c.down, c.draining = false, false })
	eventually(t, func() bool { return !b.agent.Status().Draining })
	_, err = b.do(context.Background(), chat("r2", "p", 3, true))
	is.NoErr(err)
}

func TestAgentServesWithoutControl(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{}, nil)
	c := startAnnouncer(t, b)
	c.set(func() { c.down = true })
	_, err := b.do(context.Background(), chat("r1", "p", 3, true))
	is.NoErr(err)
}

func TestPlannedStopAnnouncesLeaving(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{}, nil)
	c := startAnnouncer(t, b)
	is.NoErr(b.agent.Drain(context.Background()))
	eventually(t, func() bool { return c.lastAnnounce().Leaving })
}

func TestOrdersAreCarriedOutOnceAndReported(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{WeightLoad: 50 * time.Millisecond}, nil)
	c := startAnnouncer(t, b)
	c.set(func() { c.orders = []*wire.Order{order(b, 1, 7, "v2")} })
	eventually(t, func() bool { return c.result(1) != nil })
	is.True(c.result(1).Done)
	is.Equal(b.version(), "v2")
	_, err := b.do(context.Background(), chat("r1", "p", 3, true)) // asks for v1
	is.True(fault.Is(err, fault.StaleWeights))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
}

// Two leaders that overlap must not make an engine go back, whether or not it
// checks fencing tokens itself.
func TestOldLeadersOrderIsRefused(t *testing.T) {
	for name, checks := range map[string]bool{"engine checks": true, "engine ignores": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, standin.Options{ChecksFencing: checks, WeightLoad: 20 * time.Millisecond}, nil)
			c := startAnnouncer(t, b)
			c.set(func() { c.orders = []*wire.Order{order(b, 2, 8, "v3"), order(b, 1, 7, "v2")} })
			eventually(t, func() bool { return c.result(1) != nil && c.result(2) != nil })
			is.True(c.result(2).Done)
			is.True(!c.result(1).Done)
			is.Equal(b.version(), "v3")
		})
	}
}

func TestFailedOrderIsReported(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{}, func(c *Config) { c.Timings.HealthInterval = time.Hour })
	c := startAnnouncer(t, b)
	b.standin.Close()
	c.set(func() { c.orders = []*wire.Order{order(b, 1, 7, "v2")} })
	eventually(t, func() bool { return c.result(1) != nil })
	is.True(!c.result(1).Done)
	is.True(c.result(1).Error != "")
}
