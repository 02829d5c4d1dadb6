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

// fakeControl replies to announcements. It resends each order until its result is
// reported.
type fakeControl struct {
	mu          sync.Mutex
	unreachable bool
	draining    bool
	orders      []*wire.Order
	results     map[uint64]*wire.OrderResult
	last        *wire.Announce
	announced   int
}

func (c *fakeControl) Announce(_ context.Context, a *wire.Announce) (*wire.AnnounceReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
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

func (c *fakeControl) update(change func()) {
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

func startAnnouncer(t testing.TB, h *harness) *fakeControl {
	t.Helper()
	c, _ := startNewAnnouncer(t, h)
	return c
}

func startNewAnnouncer(t testing.TB, h *harness) (*fakeControl, *Announcer) {
	t.Helper()
	c := &fakeControl{results: map[uint64]*wire.OrderResult{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n := NewAnnouncer(h.agent, c, 10*time.Millisecond)
	go func() { defer close(done); n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	eventually(t, func() bool { return c.lastAnnounce() != nil })
	return c, n
}

func newOrder(h *harness, id, fencing uint64, version string) *wire.Order {
	return &wire.Order{Id: id, AgentIncarnation: h.agent.Incarnation(), Fencing: fencing, Model: testModel, WeightsVersion: version}
}

func (h *harness) version() string {
	if models := h.agent.Status().Models; len(models) == 1 {
		return models[0].WeightsVersion
	}
	return ""
}

func TestAnnouncementDescribesBackendServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{MaxRunning: 9, ChecksFencing: true}, func(c *Config) { c.FailureDomain = "punjab-a" })
	c := startAnnouncer(t, h)
	backend := c.lastAnnounce().Backend
	is.Equal(backend.Name, "b1")
	is.Equal(backend.AgentAddress, h.address)
	is.Equal(backend.FailureDomain, "punjab-a")
	is.Equal(backend.AgentIncarnation, h.agent.Incarnation())
	is.Equal(backend.EngineIncarnation, h.standin.Incarnation())
	is.Equal(backend.Models[0].WeightsVersion, testVersion)
	is.Equal(backend.MaxRunning, uint32(9))
	is.True(backend.ChecksFencing)
	old := h.standin.Incarnation()
	h.standin.Crash()
	h.waitUp(t, old)
	eventually(t, func() bool { return c.lastAnnounce().Backend.EngineIncarnation == h.standin.Incarnation() })
}

func TestDrainStateFollowsControl(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	c := startAnnouncer(t, h)
	c.update(func() { c.draining = true })
	eventually(t, func() bool { return h.agent.Status().Draining })
	_, err := h.do(context.Background(), chat("r1", "p", 3, true))
	is.True(fault.Is(err, fault.Draining))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	c.update(func() { c.unreachable = true })
	time.Sleep(50 * time.Millisecond)
	is.True(h.agent.Status().Draining) // kept while control is unreachable
	c.update(func() { c.unreachable, c.draining = false, false })
	eventually(t, func() bool { return !h.agent.Status().Draining })
	_, err = h.do(context.Background(), chat("r2", "p", 3, true))
	is.NoErr(err)
}

func TestAgentServesWithoutControl(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	c := startAnnouncer(t, h)
	c.update(func() { c.unreachable = true })
	_, err := h.do(context.Background(), chat("r1", "p", 3, true))
	is.NoErr(err)
}

func TestDrainAnnouncesLeaving(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	c := startAnnouncer(t, h)
	is.NoErr(h.agent.Drain(context.Background()))
	eventually(t, func() bool { return c.lastAnnounce().Leaving })
}

// A planned stop waits until control knows of it, also when the leader is lost at that
// moment.
func TestLeaveIsAnnouncedUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	c, n := startNewAnnouncer(t, h)
	c.update(func() { c.unreachable = true })
	is.NoErr(h.agent.Drain(context.Background()))
	acknowledged := make(chan struct{})
	go func() { n.AwaitLeave(context.Background()); close(acknowledged) }()
	select {
	case <-acknowledged:
		t.Fatal("the stop went on before control knew of it")
	case <-time.After(50 * time.Millisecond):
	}
	c.update(func() { c.unreachable = false })
	<-acknowledged
	is.True(c.lastAnnounce().Leaving)
}

func TestOrderRunsOnceAndIsReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{WeightLoad: 50 * time.Millisecond}, nil)
	c := startAnnouncer(t, h)
	c.update(func() { c.orders = []*wire.Order{newOrder(h, 1, 7, "v2")} })
	eventually(t, func() bool { return c.result(1) != nil })
	is.True(c.result(1).Done)
	is.Equal(h.version(), "v2")
	_, err := h.do(context.Background(), chat("r1", "p", 3, true)) // requests v1
	is.True(fault.Is(err, fault.StaleWeights))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
}

// If an old leader still sends orders after a new one has started, the old orders
// must not revert the engine's weights. This must hold whether or not the engine
// checks fencing tokens itself.
func TestStaleOrderIsRefused(t *testing.T) {
	for name, checks := range map[string]bool{"engine checks": true, "engine ignores": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, standin.Options{ChecksFencing: checks, WeightLoad: 20 * time.Millisecond}, nil)
			c := startAnnouncer(t, h)
			c.update(func() { c.orders = []*wire.Order{newOrder(h, 2, 8, "v3"), newOrder(h, 1, 7, "v2")} })
			eventually(t, func() bool { return c.result(1) != nil && c.result(2) != nil })
			is.True(c.result(2).Done)
			is.True(!c.result(1).Done)
			is.Equal(h.version(), "v3")
		})
	}
}

func TestFailedOrderIsReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, func(c *Config) { c.Timings.HealthInterval = time.Hour })
	c := startAnnouncer(t, h)
	h.standin.Close()
	c.update(func() { c.orders = []*wire.Order{newOrder(h, 1, 7, "v2")} })
	eventually(t, func() bool { return c.result(1) != nil })
	is.True(!c.result(1).Done)
	is.True(c.result(1).Error != "")
}
