package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// engineFake is an engine without an agent in virtual time: it accepts orders,
// finishes its requests and loads.
type engineFake struct {
	name     string
	version  uint64
	orders   uint64
	pending  uint64
	readyAt  time.Time
	requests int
	mute     bool
	state    wire.BackendState
}

func (e *engineFake) backend() *wire.Backend {
	return &wire.Backend{Name: e.name, Address: "10.0.0.1:1", AgentIncarnation: 1, Service: "assessor", FailureDomain: "a",
		Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: fmt.Sprint(e.version)}}}
}

func (e *engineFake) settle(now time.Time) {
	if e.pending != 0 && !now.Before(e.readyAt) {
		e.version, e.pending = e.pending, 0
	}
}

// rolloutBench drives a Rollout against engines in virtual time.
type rolloutBench struct {
	t       *testing.T
	rollout *Rollout
	now     time.Time
	engines []*engineFake
	known   map[string]*wire.Member
	targets []*wire.WeightsTarget
	// most is the greatest number of engines out of service at once.
	most int
}

const fakeLoad = 570 * time.Millisecond

func newRolloutBench(t *testing.T, engines int) *rolloutBench {
	b := &rolloutBench{t: t, now: time.Unix(1000, 0), known: map[string]*wire.Member{}}
	b.rollout = NewRollout(7, b.now, 0)
	for i := range engines {
		e := &engineFake{name: fmt.Sprintf("e%02d", i), version: 1, state: wire.BackendState_BACKEND_STATE_READY}
		b.engines = append(b.engines, e)
		b.known[e.name] = &wire.Member{Backend: e.backend(), State: e.state}
	}
	return b
}

func (b *rolloutBench) members() []*wire.Member {
	var out []*wire.Member
	for _, e := range b.engines {
		out = append(out, b.known[e.name])
	}
	return out
}

func (b *rolloutBench) find(name string) *engineFake {
	for _, e := range b.engines {
		if e.name == name {
			return e
		}
	}
	b.t.Fatalf("no engine %s", name)
	return nil
}

func (b *rolloutBench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		b.carry(b.rollout.Plan(b.now, b.members(), b.targets))
		out := 0
		for _, m := range b.known {
			if m.State == wire.BackendState_BACKEND_STATE_LOADING {
				out++
			}
		}
		b.most = max(b.most, out)
	}
}

func (b *rolloutBench) carry(actions []RolloutAction) {
	for _, a := range actions {
		switch {
		case a.Propose != nil:
			m := b.known[a.Propose.Name]
			next := &wire.Member{Backend: m.Backend, State: wire.BackendState_BACKEND_STATE_LOADING}
			if a.Propose.Kind == wire.BackendChange_KIND_LOADED {
				next.State = wire.BackendState_BACKEND_STATE_READY
				if a.Propose.Backend != nil {
					next.Backend = a.Propose.Backend
				}
			}
			b.known[a.Propose.Name] = next
		case a.Report != nil:
			e := b.find(a.Report.Name)
			e.settle(b.now)
			b.carry(b.rollout.Report(b.now, a.Report, e.report(), nil, b.targets))
		case a.Order != nil:
			b.carry(b.rollout.OrderReply(b.now, a.Order.Backend, b.find(a.Order.Backend.Name).order(b.now, a.Order)))
		}
	}
}

func (e *engineFake) report() *EngineReport {
	return &EngineReport{Weights: map[string]uint64{"m": e.version}, Busy: e.pending != 0, Orders: e.orders, Answering: uint32(e.requests)}
}

func (e *engineFake) order(now time.Time, o *LoadOrder) error {
	if e.mute {
		return errors.New("no answer")
	}
	if o.Orders != e.orders || e.pending != 0 {
		return errors.New("conflict")
	}
	e.orders++
	e.pending, e.readyAt = o.Version, now.Add(fakeLoad)
	return nil
}

func (b *rolloutBench) outdated(version uint64) int {
	n := 0
	for _, m := range b.known {
		if m.State != wire.BackendState_BACKEND_STATE_READY || m.Backend.Models[0].WeightsVersion != fmt.Sprint(version) {
			n++
		}
	}
	return n
}

// New weights under load: every engine has a long answer under way. All hold the
// new weights before the bound of the platform's rules, and two thirds serve.
func TestRolloutUnderLoadIsDoneInTime(t *testing.T) {
	is := is.New(t)
	b := newRolloutBench(t, 18)
	for _, e := range b.engines {
		e.requests = 3
	}
	b.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	b.run(6400 * time.Millisecond)
	is.Equal(b.outdated(2), 0)
	is.True(b.most <= 12)
	early := newRolloutBench(t, 18)
	early.targets = b.targets
	early.run(1500 * time.Millisecond)
	is.True(early.most <= 6) // a third at first
}

// A version named during a rollout: engines not begun skip the one between.
func TestRolloutSkipsVersions(t *testing.T) {
	is := is.New(t)
	b := newRolloutBench(t, 18)
	b.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	b.run(time.Second)
	b.targets = []*wire.WeightsTarget{{Model: "m", Version: 3}}
	b.run(8 * time.Second)
	is.Equal(b.outdated(3), 0)
	orders := uint64(0)
	for _, e := range b.engines {
		orders += e.orders
	}
	is.True(orders <= 18+6) // only those begun before load twice
}

// Orders that get no answer leave their engines in service, and are tried again.
func TestUnansweredOrdersKeepEnginesInService(t *testing.T) {
	is := is.New(t)
	b := newRolloutBench(t, 6)
	for _, e := range b.engines {
		e.mute = true
	}
	b.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	b.run(1500 * time.Millisecond)
	for _, e := range b.engines {
		e.mute = false
	}
	b.run(8 * time.Second)
	is.Equal(b.outdated(2), 0)
}

// An order without an answer is carried out seconds later: the report shows it.
func TestLateOrderIsObserved(t *testing.T) {
	is := is.New(t)
	b := newRolloutBench(t, 4)
	e := b.engines[0]
	e.pending, e.readyAt, e.orders = 2, b.now.Add(fakeLoad), 1
	b.carry(b.rollout.ObserveReport(b.now, e.backend(), e.report(), b.targets))
	is.Equal(b.known[e.name].State, wire.BackendState_BACKEND_STATE_LOADING)
	b.run(2 * time.Second)
	is.Equal(b.known[e.name].State, wire.BackendState_BACKEND_STATE_READY)
	is.Equal(b.known[e.name].Backend.Models[0].WeightsVersion, "2")
}

// A new leader waits out the lease of the one before it, then takes over engines
// that one left in LOADING.
func TestNewLeaderTakesOver(t *testing.T) {
	is := is.New(t)
	b := newRolloutBench(t, 6)
	b.rollout = NewRollout(8, b.now, 3*time.Second)
	b.known["e02"].State = wire.BackendState_BACKEND_STATE_LOADING
	b.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	b.run(2900 * time.Millisecond)
	for _, e := range b.engines {
		is.Equal(e.orders, uint64(0))
	}
	b.run(8 * time.Second)
	is.Equal(b.outdated(2), 0)
}

// Answers to an earlier life of an engine count for nothing.
func TestReportsOfAnEarlierLifeAreIgnored(t *testing.T) {
	is := is.New(t)
	b := newRolloutBench(t, 2)
	b.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	b.run(100 * time.Millisecond)
	old := b.engines[0].backend()
	old.AgentIncarnation = 99
	is.Equal(len(b.rollout.Report(b.now, old, &EngineReport{}, nil, b.targets)), 0)
	is.Equal(len(b.rollout.OrderReply(b.now, old, nil)), 0)
}
