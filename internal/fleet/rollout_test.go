package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
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
	// refusal is the error with which the engine refuses all orders, or nil.
	refusal error
	// delayed holds orders without an answer that are carried out later.
	delayed []delayedOrder
	// shown holds the engine's latest states, oldest first. A report shows the oldest.
	shown []*EngineReport
	state wire.BackendState
}

// delayedOrder is an order that reaches its engine at a later time.
type delayedOrder struct {
	at    time.Time
	order *LoadOrder
}

// reply is the outcome of an order that the rollout learns at a later time.
type reply struct {
	at    time.Time
	order *LoadOrder
	err   error
	// rollout is the one that sent the order.
	rollout *Rollout
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

	// rng draws the fate of each order. If it is nil, all orders are answered.
	rng *rand.Rand
	// lost is the share of orders that get no answer. They are carried out minDelay to
	// maxDelay later.
	lost    float64
	replies []reply
	// observe is set if the leader takes a load report twice a second.
	observe bool
	// minDelay and maxDelay bound the delay of lost orders.
	minDelay, maxDelay time.Duration
	// answerTime is the time until the answer to an order that is not lost.
	answerTime time.Duration
	// reportAge is the age of the states in reports.
	reportAge time.Duration
	// store is set if loads share the weight store.
	store bool
	// sent is the number of orders sent, conflicts the number of those refused with a
	// conflict, and loads the number of loads begun.
	sent, conflicts, loads int
	// sentInService is the number of orders sent to engines that serve.
	sentInService int
	// check, if set, is called after each step.
	check func()
	// loses, if set, reports whether a proposed change is not committed.
	loses func(*wire.BackendChange) bool
	// heartbeatInterval is the time between two heartbeats of an engine, with which the view gets
	// its weights; 0 means that there are none.
	heartbeatInterval time.Duration
}

const (
	fakeLoadTime = 570 * time.Millisecond
	// fakeOrderTimeout is when the leader gives up the wait for an answer.
	fakeOrderTimeout = time.Second
	// fakeStoreLoads is the number of loads that the weight store serves at full speed.
	fakeStoreLoads = 3
	fakeStep       = 50 * time.Millisecond
	fakeInterval   = 500 * time.Millisecond
)

func newRolloutHarness(t *testing.T, engines int) *rolloutHarness {
	h := &rolloutHarness{t: t, now: time.Unix(1000, 0), memberByName: map[string]*wire.Member{}, history: NewTargetHistory(), minDelay: 2 * time.Second, maxDelay: 12 * time.Second}
	h.rollout = NewRollout(7, h.now, 0, 0, h.history)
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
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(fakeStep) {
		h.stepEngines()
		h.sendHeartbeats()
		h.deliverReplies()
		if h.observe && h.now.UnixMilli()%fakeInterval.Milliseconds() == 0 {
			for _, e := range h.engines {
				h.perform(h.rollout.ObserveReport(h.now, h.memberByName[e.name].Backend, h.report(e), h.targets))
			}
		}
		h.history.Record(h.now, h.targets)
		h.perform(h.rollout.Plan(h.now, h.members(), h.targets))
		h.maxOutOfService = max(h.maxOutOfService, h.outOfService())
		if h.check != nil {
			h.check()
		}
	}
}

// sendHeartbeats sends the heartbeats that are due, each engine's at a time of its own.
func (h *rolloutHarness) sendHeartbeats() {
	if h.heartbeatInterval == 0 {
		return
	}
	for i, e := range h.engines {
		offset := h.heartbeatInterval * time.Duration(i) / time.Duration(len(h.engines))
		if h.now.Add(offset).UnixMilli()%h.heartbeatInterval.Milliseconds() >= fakeStep.Milliseconds() {
			continue
		}
		m := h.memberByName[e.name]
		h.memberByName[e.name] = &wire.Member{Backend: e.backend(), State: m.State}
	}
}

// outOfService returns the number of engines that the leader has taken out of service.
func (h *rolloutHarness) outOfService() int {
	n := 0
	for _, m := range h.memberByName {
		if m.State == wire.BackendState_BACKEND_STATE_LOADING {
			n++
		}
	}
	return n
}

// ableToServe returns the number of engines that are in service and not loading.
func (h *rolloutHarness) ableToServe() int {
	n := 0
	for _, e := range h.engines {
		if e.pendingVersion == 0 && h.memberByName[e.name].State == wire.BackendState_BACKEND_STATE_READY {
			n++
		}
	}
	return n
}

// stepEngines finishes loads, carries out delayed orders that are due, and records the
// states for reports.
func (h *rolloutHarness) stepEngines() {
	for _, e := range h.engines {
		e.finishLoad(h.now)
		var later []delayedOrder
		for _, d := range e.delayed {
			if h.now.Before(d.at) {
				later = append(later, d)
			} else {
				_ = h.carryOut(e, d.order)
			}
		}
		e.delayed = later
		e.shown = append(e.shown, e.report())
		e.shown = e.shown[max(0, len(e.shown)-1-int(h.reportAge/fakeStep)):]
	}
}

// deliverReplies passes the outcomes that are due to the rollout.
func (h *rolloutHarness) deliverReplies() {
	var later, due []reply
	for _, r := range h.replies {
		if h.now.Before(r.at) {
			later = append(later, r)
		} else {
			due = append(due, r)
		}
	}
	h.replies = later
	for _, r := range due {
		if r.rollout == h.rollout {
			h.perform(h.rollout.OrderReply(h.now, r.order, r.err))
		}
	}
}

// report returns what an engine answers to a query for its state.
func (h *rolloutHarness) report(e *fakeEngine) *EngineReport {
	if h.reportAge > 0 && len(e.shown) > 0 {
		return e.shown[0]
	}
	e.finishLoad(h.now)
	return e.report()
}

// send sends an order to its engine.
func (h *rolloutHarness) send(o *LoadOrder) {
	h.sent++
	if h.memberByName[o.Backend.Name].State == wire.BackendState_BACKEND_STATE_READY {
		h.sentInService++
		if !o.KeepRunning {
			h.t.Errorf("%s serves and would refuse calls until its longest request has ended", o.Backend.Name)
		}
	}
	e := h.engine(o.Backend.Name)
	if h.rng != nil && h.rng.Float64() < h.lost {
		delay := h.minDelay + time.Duration(h.rng.Int64N(int64(h.maxDelay-h.minDelay+1)))
		e.delayed = append(e.delayed, delayedOrder{h.now.Add(delay), o})
		h.replies = append(h.replies, reply{h.now.Add(fakeOrderTimeout), o, context.DeadlineExceeded, h.rollout})
		return
	}
	err := h.carryOut(e, o)
	if h.answerTime > 0 {
		h.replies = append(h.replies, reply{h.now.Add(h.answerTime), o, err, h.rollout})
		return
	}
	h.perform(h.rollout.OrderReply(h.now, o, err))
}

// carryOut lets an order reach its engine.
func (h *rolloutHarness) carryOut(e *fakeEngine, o *LoadOrder) error {
	err := e.order(h.now, o)
	switch {
	case fault.Is(err, fault.Conflict):
		h.conflicts++
	case err == nil:
		h.loads++
		if h.store {
			loading := 0
			for _, other := range h.engines {
				if other.pendingVersion != 0 {
					loading++
				}
			}
			e.readyAt = h.now.Add(fakeLoadTime * time.Duration(max(loading, fakeStoreLoads)) / fakeStoreLoads)
		}
	}
	return err
}

func (h *rolloutHarness) perform(actions []RolloutAction) {
	for _, a := range actions {
		switch {
		case a.Propose != nil && h.loses != nil && h.loses(a.Propose):
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
			h.perform(h.rollout.Report(h.now, a.Report, h.report(h.engine(a.Report.Name)), nil, h.targets))
		case a.Order != nil:
			h.send(a.Order)
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
	if e.refusal != nil {
		return e.refusal
	}
	if o.Orders != e.orders || e.pendingVersion != 0 {
		return fault.New(fault.Conflict, fault.NotRun, "conflict")
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
	h.rollout = NewRollout(8, h.now, 3*time.Second, 0, h.history)
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
	largest := maxOutOfService(engines, time.Hour, DefaultWeightsBound)
	for _, tt := range []struct {
		name string
		// history returns that of the process that leads now.
		history func(before *TargetHistory, now time.Time) *TargetHistory
		share   func(age time.Duration) int
	}{
		{"elected", func(before *TargetHistory, _ time.Time) *TargetHistory { return before },
			func(age time.Duration) int { return maxOutOfService(engines, age, DefaultWeightsBound) }},
		{"restarted and told", func(before *TargetHistory, now time.Time) *TargetHistory {
			h := NewTargetHistory()
			h.Merge(now, before.Ages(now))
			return h
		}, func(age time.Duration) int { return maxOutOfService(engines, age, DefaultWeightsBound) }},
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
			h.rollout = NewRollout(8, h.now, 0, 0, h.history)
			h.run(50 * time.Millisecond) // one plan
			is.Equal(h.maxOutOfService, tt.share(5*time.Second))
			is.True(h.maxOutOfService > maxOutOfService(engines, 0, DefaultWeightsBound))
		})
	}
}

// Guards against a rollout that takes engines out of service as if the bound were short: a new leader, whose rollout
// keeps the age of the name, began with half of the engines where calls had 15 s to begin on new weights.
func TestShareFollowsTheBound(t *testing.T) {
	is := is.New(t)
	const engines, age = 54, 4500 * time.Millisecond
	is.Equal(maxOutOfService(engines, age, DefaultWeightsBound), 28)
	is.Equal(maxOutOfService(engines, age, 15*time.Second), 17)
	for _, bound := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		is.Equal(maxOutOfService(engines, bound, bound), 40) // three quarters by the bound, whatever it is
	}
	h := newRolloutHarness(t, engines)
	h.history.Record(h.now, []*wire.WeightsTarget{{Model: "m", Version: 1}})
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.history.Record(h.now, h.targets)
	h.now = h.now.Add(age)
	h.rollout = NewRollout(8, h.now, 0, 15*time.Second, h.history)
	h.run(50 * time.Millisecond) // one plan
	is.Equal(h.outOfService(), 17)
}

// A load that a new leader sees to end without new weights must not lead to an order
// before the previous leader's lease has passed: two leaders would take turns.
func TestNewLeaderOrdersNothingWithinThePreviousLease(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 2)
	h.rollout = NewRollout(8, h.now, 3*time.Second, 0, h.history)
	h.observe = true
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	e := h.engines[0]
	e.pendingVersion, e.readyAt, e.orders = 1, h.now.Add(700*time.Millisecond), 1
	h.run(2900 * time.Millisecond)
	is.Equal(h.sent, 0)
	h.run(3 * time.Second)
	is.Equal(h.countOutdated(2), 0)
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
	l := h.rollout.loads["e00"]
	l.phase, l.order = ordering, &LoadOrder{Backend: old}
	is.Equal(len(h.rollout.OrderReply(h.now, l.order, nil)), 0)
	is.Equal(l.phase, ordering)
}

// A load report that shows the engine as it was before it accepted the order must not end
// the load: the engine got calls while it loaded, and a second order that it refused.
func TestReportsOlderThanTheLoadDoNotEndIt(t *testing.T) {
	for _, engines := range []int{18, 49} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			is := is.New(t)
			h := newRolloutHarness(t, engines)
			h.observe, h.store, h.reportAge = true, true, 300*time.Millisecond
			h.check = func() {
				for _, e := range h.engines {
					is.True(e.pendingVersion == 0 || h.memberByName[e.name].State == wire.BackendState_BACKEND_STATE_LOADING) // gets calls while it loads
				}
			}
			h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
			h.run(12 * time.Second)
			is.Equal(h.countOutdated(2), 0)
			is.Equal(h.sent, engines)
			is.Equal(h.loads, engines)
			is.Equal(h.conflicts, 0)
		})
	}
}

// An engine whose reports go on to show the state before its load must not stay out of
// service: after the longest age of a report, the order is repeated.
func TestLoadThatReportsNeverShowIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 1)
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	e := h.engines[0]
	for h.sent == 0 {
		h.run(fakeStep)
	}
	e.orders, e.pendingVersion = 0, 0 // the engine has lost the order
	h.run(2 * time.Second)            // the longest age of a report and one second
	is.Equal(h.sent, 2)
	is.Equal(h.countOutdated(2), 0)
}
