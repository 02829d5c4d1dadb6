package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/wire"
)

// oldEngine is an engine with version 1 of a model that accepts orders.
type oldEngine struct {
	// reported is called with each report.
	reported func()
	orders   atomic.Uint64
}

func (e *oldEngine) Report(context.Context, *wire.Backend) (*fleet.EngineReport, error) {
	e.reported()
	return &fleet.EngineReport{Weights: map[string]uint64{"m": 1}, Busy: e.orders.Load() > 0, Orders: e.orders.Load()}, nil
}

func (e *oldEngine) Order(context.Context, *fleet.LoadOrder) error {
	e.orders.Add(1)
	return nil
}

func (e *oldEngine) Events(ctx context.Context, _ fleet.CacheSource, _ uint64, _ time.Duration) (*fleet.CacheEvents, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newRollingOut returns a leader with an engine whose weights are outdated. confirmed tells whether its leadership is
// confirmed.
func newRollingOut(t *testing.T, e *oldEngine, lease time.Duration, confirmed func() bool) *leader {
	t.Helper()
	is := is.New(t)
	l := newLeading(t)
	l.stopLeading()
	l.dropRollout()
	l.options.Engines, l.options.PreviousOrderLease = e, lease
	l.options.Leases.MinInterval, l.options.Leases.MaxInterval = time.Minute, time.Minute // the engine sends no heartbeats
	l.status = func() consensus.Status {
		status := l.node.Status()
		status.Confirmed = status.Confirmed && confirmed()
		return status
	}
	b := &wire.Backend{Name: "a", Address: "127.0.0.1:1", AgentIncarnation: 1, Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: "1"}}}
	for _, command := range []*wire.Command{
		backendCommand(&wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: "a", AgentIncarnation: 1, Backend: b}),
		{Body: &wire.Command_Weights{Weights: &wire.WeightsTarget{Model: "m", Version: 2}}},
	} {
		_, err := Propose(t.Context(), l.node, command)
		is.NoErr(err)
	}
	return l
}

// Guards against a rollout that stands still as long as the leadership is unconfirmed for a moment now and then, as on
// a busy machine: each time it began anew, and waited for the end of the orders of an earlier leader.
func TestRolloutGoesOnAfterUnconfirmedLeadership(t *testing.T) {
	is := is.New(t)
	e := &oldEngine{reported: func() {}}
	ticks := 0
	const lease = time.Second
	l := newRollingOut(t, e, lease, func() bool { return ticks%8 != 0 })
	began := time.Now()
	for deadline := began.Add(10 * time.Second); e.orders.Load() == 0; time.Sleep(leaderTick) {
		is.True(time.Now().Before(deadline)) // the engine gets an order
		ticks++
		l.tick(t.Context())
	}
	is.True(time.Since(began) >= lease) // not before the orders of an earlier leader have ended
	t.Log(time.Since(began))
}

// Guards against an engine that stays out of service for seconds, and with it the others that wait for their turn, as its
// order was dropped: the leadership was unconfirmed at the moment at which it was to be sent.
func TestOrderOfUnconfirmedLeaderIsRepeated(t *testing.T) {
	is := is.New(t)
	var unconfirmed, once atomic.Bool
	e := &oldEngine{reported: func() {
		if once.CompareAndSwap(false, true) {
			unconfirmed.Store(true)
		}
	}}
	l := newRollingOut(t, e, 0, func() bool { return !unconfirmed.Swap(false) })
	for deadline := time.Now().Add(10 * time.Second); e.orders.Load() == 0; time.Sleep(leaderTick) {
		is.True(time.Now().Before(deadline)) // the engine gets an order
		if !unconfirmed.Load() {             // the order comes next
			l.tick(t.Context())
		}
	}
	is.True(once.Load())
}
