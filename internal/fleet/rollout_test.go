package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// fakeEngine simulates an engine without an agent in virtual time.
type fakeEngine struct {
	name    string
	version uint64
	// orders is the number of accepted orders.
	orders uint64
	// pendingVersion is the version being loaded until readyAt, or 0.
	pendingVersion uint64
	readyAt        time.Time
	// requests is the number of requests whose answers have begun.
	requests int
	// unresponsive is set while the engine answers no order.
	unresponsive bool
	state        wire.BackendState
}

func (e *fakeEngine) backend() *wire.Backend {
	return &wire.Backend{Name: e.name, Address: "10.0.0.1:1", AgentIncarnation: 1, Service: "assessor", FailureDomain: "a",
		Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: fmt.Sprint(e.version)}}}
}

func (e *fakeEngine) finishLoad(now time.Time) {
	if e.pendingVersion != 0 && !now.Before(e.readyAt) {
		e.version, e.pendingVersion = e.pendingVersion, 0
	}
}

// rolloutHarness runs a Rollout with simulated engines in virtual time.
type rolloutHarness struct {
	t            *testing.T
	rollout      *Rollout
	now          time.Time
	engines      []*fakeEngine
	memberByName map[string]*wire.Member
	targets      []*wire.WeightsTarget
	history      *TargetHistory
	// maxOutOfService is the largest number of engines out of service at the same time.
	maxOutOfService int
}

const fakeLoadTime = 570 * time.Millisecond

func newRolloutHarness(t *testing.T, engines int) *rolloutHarness {
	h := &rolloutHarness{t: t, now: time.Unix(1000, 0), memberByName: map[string]*wire.Member{}, history: NewTargetHistory()}
	h.rollout = NewRollout(7, h.now, 0, h.history)
	for i := range engines {
		e := &fakeEngine{name: fmt.Sprintf("e%02d", i), version: 1, state: wire.BackendState_BACKEND_STATE_READY}
		h.engines = append(h.engines, e)
		h.memberByName[e.name] = &wire.Member{Backend: e.backend(), State: e.state}
	}
	return h
}

func (h *rolloutHarness) members() []*wire.Member {
	var out []*wire.Member
	for _, e := range h.engines {
		out = append(out, h.memberByName[e.name])
	}
	return out
}

func (h *rolloutHarness) engine(name string) *fakeEngine {
	for _, e := range h.engines {
		if e.name == name {
			return e
		}
	}
	h.t.Fatalf("no engine %s", name)
	return nil
}

func (h *rolloutHarness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		h.history.Record(h.now, h.targets)
		h.perform(h.rollout.Plan(h.now, h.members(), h.targets))
		out := 0
		for _, m := range h.memberByName {
			if m.State == wire.BackendState_BACKEND_STATE_LOADING {
				out++
			}
		}
		h.maxOutOfService = max(h.maxOutOfService, out)
	}
}

func (h *rolloutHarness) perform(actions []RolloutAction) {
	for _, a := range actions {
		switch {
		case a.Propose != nil:
			m := h.memberByName[a.Propose.Name]
			next := &wire.Member{Backend: m.Backend, State: wire.BackendState_BACKEND_STATE_LOADING}
			if a.Propose.Kind == wire.BackendChange_KIND_LOADED {
				next.State = wire.BackendState_BACKEND_STATE_READY
				if a.Propose.Backend != nil {
					next.Backend = a.Propose.Backend
				}
			}
			h.memberByName[a.Propose.Name] = next
		case a.Report != nil:
			e := h.engine(a.Report.Name)
			e.finishLoad(h.now)
			h.perform(h.rollout.Report(h.now, a.Report, e.report(), nil, h.targets))
		case a.Order != nil:
			h.perform(h.rollout.OrderReply(h.now, a.Order.Backend, h.engine(a.Order.Backend.Name).order(h.now, a.Order)))
		}
	}
}

func (e *fakeEngine) report() *EngineReport {
	return &EngineReport{Weights: map[string]uint64{"m": e.version}, Busy: e.pendingVersion != 0, Orders: e.orders, Answering: uint32(e.requests)}
}

func (e *fakeEngine) order(now time.Time, o *LoadOrder) error {
	if e.unresponsive {
		return errors.New("no answer")
	}
	if o.Orders != e.orders || e.pendingVersion != 0 {
		return errors.New("conflict")
	}
	e.orders++
	e.pendingVersion, e.readyAt = o.Version, now.Add(fakeLoadTime)
	return nil
}

// countOutdated returns the number of engines that are out of service or have another
// version than the given one.
func (h *rolloutHarness) countOutdated(version uint64) int {
	n := 0
	for _, m := range h.memberByName {
		if m.State != wire.BackendState_BACKEND_STATE_READY || m.Backend.Models[0].WeightsVersion != fmt.Sprint(version) {
			n++
		}
	}
	return n
}

// A rollout while every engine has long answers in progress must finish within 6.4 s,
// which keeps the time bound of the platform's rules, and at most two thirds of the
// engines may be out of service at the same time.
func TestRolloutUnderLoadMeetsTimeBound(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 18)
	for _, e := range h.engines {
		e.requests = 3
	}
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(6400 * time.Millisecond)
	is.Equal(h.countOutdated(2), 0)
	is.True(h.maxOutOfService <= 12)
	early := newRolloutHarness(t, 18)
	early.targets = h.targets
	early.run(1500 * time.Millisecond)
	is.True(early.maxOutOfService <= 6) // at first at most a third
}

// When a new target version arrives during a rollout, engines that have not started to
// load skip the version in between.
func TestRolloutSkipsIntermediateVersions(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 18)
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(time.Second)
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 3}}
	h.run(8 * time.Second)
	is.Equal(h.countOutdated(3), 0)
	orders := uint64(0)
	for _, e := range h.engines {
		orders += e.orders
	}
	is.True(orders <= 18+6) // only engines that had started earlier load twice
}

// Engines whose orders get no answer must not stay out of service: the orders are
// retried, and all engines end up updated.
func TestUnansweredOrdersKeepEnginesInService(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 6)
	for _, e := range h.engines {
		e.unresponsive = true
	}
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(1500 * time.Millisecond)
	for _, e := range h.engines {
		e.unresponsive = false
	}
	h.run(8 * time.Second)
	is.Equal(h.countOutdated(2), 0)
}

// When an order without an answer is carried out seconds later, the next report must
// reveal it.
func TestOrderExecutedLateIsDetected(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 4)
	e := h.engines[0]
	e.pendingVersion, e.readyAt, e.orders = 2, h.now.Add(fakeLoadTime), 1
	h.perform(h.rollout.ObserveReport(h.now, e.backend(), e.report(), h.targets))
	is.Equal(h.memberByName[e.name].State, wire.BackendState_BACKEND_STATE_LOADING)
	h.run(2 * time.Second)
	is.Equal(h.memberByName[e.name].State, wire.BackendState_BACKEND_STATE_READY)
	is.Equal(h.memberByName[e.name].Backend.Models[0].WeightsVersion, "2")
}

// A new leader must wait for the previous leader's lease to expire, and must then finish
// the loads of engines that the previous leader left in LOADING.
func TestNewLeaderResumesLoadingEngines(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 6)
	h.rollout = NewRollout(8, h.now, 3*time.Second, h.history)
	h.memberByName["e02"].State = wire.BackendState_BACKEND_STATE_LOADING
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(2900 * time.Millisecond)
	for _, e := range h.engines {
		is.Equal(e.orders, uint64(0))
	}
	h.run(8 * time.Second)
	is.Equal(h.countOutdated(2), 0)
}

// Guards against a rollout that a leader that is elected or starts after the name begins anew with its smallest
// share: it goes on with the share of the name's age, and takes the largest one if it can't learn that age.
func TestNewLeaderKeepsAgeOfRollout(t *testing.T) {
	const engines = 40
	largest := maxOutOfService(engines, time.Hour)
	for _, tt := range []struct {
		name string
		// history returns that of the process that leads now.
		history func(before *TargetHistory, now time.Time) *TargetHistory
		share   func(age time.Duration) int
	}{
		{"elected", func(before *TargetHistory, _ time.Time) *TargetHistory { return before },
			func(age time.Duration) int { return maxOutOfService(engines, age) }},
		{"restarted and told", func(before *TargetHistory, now time.Time) *TargetHistory {
			h := NewTargetHistory()
			h.Merge(now, before.Ages(now))
			return h
		}, func(age time.Duration) int { return maxOutOfService(engines, age) }},
		{"restarted and not told", func(*TargetHistory, time.Time) *TargetHistory { return NewTargetHistory() },
			func(time.Duration) int { return largest }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before, named := NewTargetHistory(), time.Unix(1000, 0)
			before.Record(time.Time{}, target(1))
			before.Record(named, target(2))
			h := newRolloutHarness(t, engines)
			h.now = named.Add(5 * time.Second)
			h.targets = target(2)
			h.history = tt.history(before, h.now)
			h.history.Record(time.Time{}, h.targets) // the log is applied before any view is confirmed
			h.rollout = NewRollout(8, h.now, 0, h.history)
			h.run(50 * time.Millisecond) // one plan
			is.Equal(h.maxOutOfService, tt.share(5*time.Second))
			is.True(h.maxOutOfService > maxOutOfService(engines, 0))
		})
	}
}

// Replies that belong to an earlier incarnation of an engine must be ignored.
func TestRepliesFromEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 2)
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(100 * time.Millisecond)
	old := h.engines[0].backend()
	old.AgentIncarnation = 99
	is.Equal(len(h.rollout.Report(h.now, old, &EngineReport{}, nil, h.targets)), 0)
	is.Equal(len(h.rollout.OrderReply(h.now, old, nil)), 0)
}
