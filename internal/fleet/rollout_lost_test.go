package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// rolloutFigures are measured in one rollout.
type rolloutFigures struct {
	// half and all are the times until half of the engines and until all of them have
	// the new weights and serve.
	half, all time.Duration
	// outOfService is the largest number of engines out of service at the same time, and
	// ableToServe the least number in service that do not load.
	outOfService, ableToServe int
	// refusing is the time for which engines load while calls are sent to them, summed.
	refusing               time.Duration
	orders, loads, refused int
}

// newLossyHarness returns a harness with busy engines whose reports are 300 ms old, with
// load reports and a shared weight store. The share lost of the orders gets no answer.
func newLossyHarness(t *testing.T, engines int, seed uint64, lost float64) *rolloutHarness {
	h := newRolloutHarness(t, engines)
	h.rng, h.lost, h.observe, h.store, h.reportAge = rand.New(rand.NewPCG(seed, 64)), lost, true, true, 300*time.Millisecond
	for _, e := range h.engines {
		e.requests = 3
	}
	return h
}

// rollOut names a version and measures until all engines serve it, for 30 s at most.
func (h *rolloutHarness) rollOut(version uint64) rolloutFigures {
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: version}}
	h.sent, h.loads, h.conflicts, h.maxOutOfService = 0, 0, 0, 0
	f := rolloutFigures{half: 30 * time.Second, all: 30 * time.Second, ableToServe: len(h.engines)}
	for begin := h.now; h.now.Sub(begin) < 30*time.Second; {
		h.run(fakeStep)
		f.ableToServe = min(f.ableToServe, h.ableToServe())
		for _, e := range h.engines {
			if e.pendingVersion != 0 && h.memberByName[e.name].State == wire.BackendState_BACKEND_STATE_READY {
				f.refusing += fakeStep
			}
		}
		outdated := h.countOutdated(version)
		if 2*outdated <= len(h.engines) {
			f.half = min(f.half, h.now.Sub(begin))
		}
		if outdated == 0 {
			f.all = h.now.Sub(begin)
			break
		}
	}
	f.outOfService, f.orders, f.loads, f.refused = h.maxOutOfService, h.sent, h.loads, h.conflicts
	return f
}

// middle returns the middle and the largest of the given values.
func middle[T int | time.Duration](all []rolloutFigures, of func(rolloutFigures) T) (T, T) {
	var values []T
	for _, f := range all {
		values = append(values, of(f))
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

func logFigures(t *testing.T, name string, all []rolloutFigures) {
	half, halfMax := middle(all, func(f rolloutFigures) time.Duration { return f.half })
	whole, wholeMax := middle(all, func(f rolloutFigures) time.Duration { return f.all })
	orders, ordersMax := middle(all, func(f rolloutFigures) int { return f.orders })
	_, out := middle(all, func(f rolloutFigures) int { return f.outOfService })
	refusing, _ := middle(all, func(f rolloutFigures) time.Duration { return f.refusing })
	serve := slices.MinFunc(all, func(a, b rolloutFigures) int { return a.ableToServe - b.ableToServe }).ableToServe
	t.Logf("%s: half %v (max %v), all %v (max %v), orders %d (max %d), out of service max %d, able to serve min %d, in service while loading %v", name, half, halfMax, whole, wholeMax, orders, ordersMax, out, serve, refusing)
}

// Where 97 of 100 orders get no answer and are carried out 2 to 12 s later, engines had new
// weights only after the bound from which on outdated weights are not used, so that all
// calls were refused. Half of the engines must have them within 8 s, of 49 engines within
// the time that the weight store needs for as many loads more. As before the change, no
// engine may load twice, and engines must remain that can serve.
func TestRolloutWithLostOrders(t *testing.T) {
	for _, test := range []struct {
		engines int
		half    time.Duration
		all     time.Duration
	}{
		{18, 8 * time.Second, 15 * time.Second},
		{49, 10 * time.Second, 16 * time.Second},
	} {
		t.Run(fmt.Sprint(test.engines), func(t *testing.T) {
			is := is.New(t)
			var first, second []rolloutFigures
			for seed := range uint64(20) {
				h := newLossyHarness(t, test.engines, seed, 0.97)
				first, second = append(first, h.rollOut(2)), append(second, h.rollOut(3))
			}
			logFigures(t, "first rollout", first)
			logFigures(t, "second rollout", second)
			for _, f := range slices.Concat(first, second) {
				is.True(f.half <= test.half)
				is.True(f.all <= test.all)
				is.Equal(f.loads, test.engines)
				is.True(3*f.ableToServe >= test.engines) // engines able to serve at each moment
				is.True(f.orders <= 7*test.engines)      // priced
			}
		})
	}
}

// Orders without an answer that are all carried out after the same delay must not take all
// engines out of service at the same time.
func TestLostOrdersCarriedOutTogetherLeaveEnginesInService(t *testing.T) {
	for _, engines := range []int{18, 49} {
		for _, delay := range []time.Duration{2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprint(engines, delay), func(t *testing.T) {
				is := is.New(t)
				var all []rolloutFigures
				for seed := range uint64(5) {
					h := newLossyHarness(t, engines, seed, 0.97)
					h.minDelay, h.maxDelay = delay, delay
					all = append(all, h.rollOut(2), h.rollOut(3))
				}
				logFigures(t, "rollouts", all)
				for _, f := range all {
					is.True(6*f.ableToServe >= engines)
					is.Equal(f.loads, engines)
				}
			})
		}
	}
}

// Where orders are answered, or 1 in 20 is lost, a rollout must take no more engines out of
// service than its share, send one order to each engine and one more for each that was
// lost, load each engine once, and send orders only to engines that are out of service
// or whose last order was lost.
func TestRolloutWithAnsweredOrdersKeepsItsShare(t *testing.T) {
	for _, lost := range []float64{0, 0.05} {
		for _, engines := range []int{18, 49} {
			t.Run(fmt.Sprint(lost, " lost, ", engines), func(t *testing.T) {
				is := is.New(t)
				var all []rolloutFigures
				for seed := range uint64(10) {
					h := newLossyHarness(t, engines, seed, lost)
					begin := h.now
					lostOrders := map[string]int{}
					h.check = func() {
						for _, e := range h.engines {
							lostOrders[e.name] = max(lostOrders[e.name], len(e.delayed))
						}
						late := 0
						for _, n := range lostOrders {
							late += n
						}
						// An order that is carried out late takes an engine out of service beside the share.
						is.True(h.outOfService() <= maxOutOfService(engines, h.now.Sub(begin), DefaultWeightsBound)+late)
					}
					f := h.rollOut(2)
					all = append(all, f)
					inDoubt := 0
					for _, n := range lostOrders {
						inDoubt += n
					}
					is.Equal(f.loads, engines)
					is.True(f.orders <= engines+2*inDoubt)
					if lost == 0 {
						is.Equal(f.orders, engines)
						is.Equal(h.sentInService, 0)
						is.Equal(f.refusing, time.Duration(0))
					}
				}
				logFigures(t, "rollouts", all)
			})
		}
	}
}

// Answers that take 700 ms must not lead to more loads. Orders must not count as lost for
// them once it is known how long answers take: engines got orders while they served.
func TestSlowAnswersToOrders(t *testing.T) {
	is := is.New(t)
	h := newLossyHarness(t, 18, 1, 0)
	h.answerTime = 700 * time.Millisecond
	first := h.rollOut(2)
	sentInService := h.sentInService
	second := h.rollOut(3)
	logFigures(t, "first rollout", []rolloutFigures{first})
	logFigures(t, "second rollout", []rolloutFigures{second})
	is.Equal(first.loads, 18)
	is.True(first.all <= 8*time.Second)
	is.True(3*first.ableToServe >= 18)
	is.Equal(second.loads, 18)
	is.Equal(second.orders, 18)
	is.Equal(h.sentInService, sentInService)
	is.True(second.all <= 8*time.Second)
	is.True(second.ableToServe >= 9)
	is.Equal(second.refusing, time.Duration(0))
}

// An order that is carried out after a newer version was named must neither undo the newer
// one nor hold it up: engines in doubt get orders for it at once, and none ends with
// older weights.
func TestLateOrdersDoNotUndoNewerVersions(t *testing.T) {
	is := is.New(t)
	var all []rolloutFigures
	defer func() { logFigures(t, "newer version", all) }()
	for seed := range uint64(20) {
		h := newLossyHarness(t, 18, seed, 0.97)
		h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
		h.run(3 * time.Second)
		newest := map[string]uint64{}
		h.check = func() {
			for _, e := range h.engines {
				is.True(e.version >= newest[e.name]) // the version went back
				newest[e.name] = e.version
			}
		}
		f := h.rollOut(3)
		all = append(all, f)
		is.True(f.half <= 12*time.Second) // engines that load version 2 first load twice
		is.True(f.all <= 25*time.Second)
		h.run(15 * time.Second) // the last lost orders
		is.Equal(h.countOutdated(3), 0)
		for _, e := range h.engines {
			is.True(e.orders <= 2)
		}
	}
}

// Engines in doubt must get an order for a newer version without waiting for their next
// retry.
func TestNewerVersionDoesNotWaitForEnginesInDoubt(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 3)
	h.rng, h.lost, h.minDelay, h.maxDelay = rand.New(rand.NewPCG(1, 1)), 1, time.Hour, time.Hour
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(25 * time.Second) // the delay between two orders has grown to seconds
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 3}}
	h.run(1500 * time.Millisecond)
	for _, e := range h.engines {
		is.Equal(e.delayed[len(e.delayed)-1].order.Version, uint64(3))
	}
}

// Guards against an engine that waits for seconds for its next order although an earlier one, for an older version,
// was carried out and has voided all that followed: the view had its weights by a heartbeat before the leader saw the
// load, and the delays between its orders went on growing.
func TestOrdersFollowFastOnceAnEarlierOneWasCarriedOut(t *testing.T) {
	for _, heartbeatInterval := range []time.Duration{0, 100 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint("heartbeats each ", heartbeatInterval), func(t *testing.T) {
			is := is.New(t)
			h := newLossyHarness(t, 6, 1, 1)
			h.minDelay, h.maxDelay, h.heartbeatInterval = 9*time.Second, 9*time.Second, heartbeatInterval
			h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
			h.run(3 * time.Second)
			h.targets = []*wire.WeightsTarget{{Model: "m", Version: 3}}
			loadedAt := map[string]time.Time{}
			h.check = func() {
				for _, e := range h.engines {
					if e.version == 2 && loadedAt[e.name].IsZero() {
						loadedAt[e.name] = h.now
					}
				}
			}
			h.run(14 * time.Second)
			is.True(len(loadedAt) >= 2)
			for _, e := range h.engines {
				if loadedAt[e.name].IsZero() {
					continue // its first order was for the newer version
				}
				orders := 0 // that are not void, sent in the first 3 s
				for _, d := range e.delayed {
					if sent := d.at.Add(-h.minDelay); d.order.Orders == 1 && sent.Sub(loadedAt[e.name]) <= 3*time.Second {
						is.Equal(d.order.Version, uint64(3))
						orders++
					}
				}
				is.True(orders >= 3)
				is.Equal(h.memberByName[e.name].State, wire.BackendState_BACKEND_STATE_READY)
			}
		})
	}
}

// Guards against engines that wait for their new weights for longer than they must while nearly all orders get no
// answer: each engine gets four orders within 1.5 s, as the first of them to be carried out counts.
func TestLostOrdersAreRepeatedFast(t *testing.T) {
	is := is.New(t)
	h := newLossyHarness(t, 6, 1, 1)
	h.minDelay, h.maxDelay = time.Hour, time.Hour
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(6 * time.Second) // orders count as lost once two engines have not answered
	is.True(h.rollout.ordersLost)
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 3}}
	named := h.now
	h.run(5 * time.Second)
	for _, e := range h.engines {
		var sent []time.Time
		for _, d := range e.delayed {
			if d.order.Version == 3 {
				sent = append(sent, d.at.Add(-h.minDelay))
			}
		}
		is.True(len(sent) >= 4)
		t.Logf("%s: first order after %v, fourth %v later", e.name, sent[0].Sub(named), sent[3].Sub(sent[0]))
		is.True(sent[3].Sub(sent[0]) <= 1500*time.Millisecond)
	}
}

// A new leader knows nothing of orders in doubt. Orders of the one before it that are
// carried out late must be noticed, and each engine must load once.
func TestLeaderChangeWhileOrdersAreInDoubt(t *testing.T) {
	is := is.New(t)
	var all []rolloutFigures
	defer func() { logFigures(t, "new leader, from the end of the lease on", all) }()
	for seed := range uint64(20) {
		h := newLossyHarness(t, 18, seed, 0.97)
		h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
		h.run(4 * time.Second)
		h.rollout = NewRollout(8, h.now, 3*time.Second, 0, h.history)
		for _, e := range h.engines {
			for _, d := range e.delayed {
				is.Equal(d.order.Fencing, uint64(7))
			}
		}
		sent := h.sent
		h.run(2950 * time.Millisecond)
		is.Equal(h.sent, sent) // no order within the lease of the one before
		begun := h.loads
		f := h.rollOut(2)
		all = append(all, f)
		is.True(f.all <= 15*time.Second)
		is.Equal(begun+f.loads, 18)
	}
}

// An engine that refuses all orders must go on serving, must get orders at growing
// distances, and must not keep the others from their new weights.
func TestEngineThatRefusesAllOrdersServes(t *testing.T) {
	for name, refusal := range map[string]error{
		"conflict": fault.New(fault.Conflict, fault.NotRun, "409"),
		"refused":  fault.New(fault.BackendRefused, fault.NotRun, "400"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newLossyHarness(t, 6, 1, 0)
			h.engines[2].refusal = refusal
			out, orders := time.Duration(0), 0
			h.check = func() {
				if h.memberByName["e02"].State == wire.BackendState_BACKEND_STATE_LOADING {
					out += fakeStep
				}
			}
			h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
			h.run(30 * time.Second)
			is.Equal(h.countOutdated(2), 1)
			orders = h.sent - 5
			t.Logf("out of service %v, orders %d", out, orders)
			is.True(out <= 3*time.Second)
			is.True(orders >= 5 && orders <= 15)
			h.engines[2].refusal = nil
			h.run(8 * time.Second)
			is.Equal(h.countOutdated(2), 0)
		})
	}
}

// An engine that answers no order must go on serving, and must not change how the others
// get their orders: these still finish their requests first.
func TestEngineThatNeverAnswersServes(t *testing.T) {
	is := is.New(t)
	h := newLossyHarness(t, 6, 1, 0)
	h.engines[2].unresponsive = true
	out := time.Duration(0)
	h.check = func() {
		if h.memberByName["e02"].State == wire.BackendState_BACKEND_STATE_LOADING {
			out += fakeStep
		}
	}
	for version := range uint64(3) {
		h.targets = []*wire.WeightsTarget{{Model: "m", Version: version + 2}}
		h.run(10 * time.Second)
		is.Equal(h.countOutdated(version+2), 1)
		is.True(!h.rollout.ordersLost)
	}
	is.True(out <= 2*time.Second)
	is.Equal(h.loads, 15)
	is.True(h.sent <= 15+25)
}

// Orders for several models of an engine must not be mixed up: while one is in doubt, the
// next is for the same model and expects the same number of accepted orders; once it
// has been carried out, the order for the other model expects one more.
func TestOrdersInDoubtForSeveralModels(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &wire.Backend{Name: "e", Address: "10.0.0.1:1", AgentIncarnation: 1,
		Models: []*wire.LoadedModel{{Model: "a", WeightsVersion: "1"}, {Model: "b", WeightsVersion: "4"}}}
	member := &wire.Member{Backend: b, State: wire.BackendState_BACKEND_STATE_READY}
	targets := []*wire.WeightsTarget{{Model: "a", Version: 2}, {Model: "b", Version: 5}}
	report := &EngineReport{Weights: map[string]uint64{"a": 1, "b": 4}, Orders: 3}
	r := NewRollout(7, now, 0, 0, NewTargetHistory())
	var orders []*LoadOrder
	var perform func(actions []RolloutAction)
	perform = func(actions []RolloutAction) {
		for _, a := range actions {
			switch {
			case a.Propose != nil && a.Propose.Kind == wire.BackendChange_KIND_LOADED:
				member = &wire.Member{Backend: member.Backend, State: wire.BackendState_BACKEND_STATE_READY}
				if a.Propose.Backend != nil {
					member.Backend = a.Propose.Backend
				}
			case a.Propose != nil:
				member = &wire.Member{Backend: member.Backend, State: wire.BackendState_BACKEND_STATE_LOADING}
			case a.Report != nil:
				perform(r.Report(now, a.Report, report, nil, targets))
			case a.Order != nil:
				orders = append(orders, a.Order)
			}
		}
	}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(fakeStep) {
			perform(r.Plan(now, []*wire.Member{member}, targets))
		}
	}
	run(4 * time.Second)
	is.True(len(orders) >= 3)
	for _, o := range orders {
		is.Equal(o.Model, "a")
		is.Equal(o.Version, uint64(2))
		is.Equal(o.Orders, uint64(3))
	}
	report = &EngineReport{Weights: map[string]uint64{"a": 2, "b": 4}, Orders: 4}
	perform(r.ObserveReport(now, member.Backend, report, targets))
	before := len(orders)
	run(4 * time.Second)
	is.True(len(orders) > before)
	for _, o := range orders[before:] {
		is.Equal(o.Model, "b")
		is.Equal(o.Version, uint64(5))
		is.Equal(o.Orders, uint64(4))
	}
}

// Guards against an engine that stays out of service until another leader is elected: the order to it was refused or
// lost, and the change that returns it to service was not committed, as after a standstill of the leader.
func TestEngineIsReturnedToServiceAfterLostProposal(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 4)
	lost := 0
	h.loses = func(change *wire.BackendChange) bool {
		if change.Kind == wire.BackendChange_KIND_LOADED && lost == 0 {
			lost++
			return true
		}
		return false
	}
	for _, e := range h.engines {
		e.refusal = fault.New(fault.Unavailable, fault.NotRun, "not now")
	}
	h.targets = []*wire.WeightsTarget{{Model: "m", Version: 2}}
	h.run(2 * time.Second)
	is.Equal(lost, 1)
	is.Equal(h.outOfService(), 0)
	for _, e := range h.engines {
		e.refusal = nil
	}
	h.run(15 * time.Second)
	is.Equal(h.countOutdated(2), 0)
}

// Guards against an engine that is taken out of service again after its load, by a report that shows the load and is
// handled late: the leader handles the load reports of a round together, after the slowest engine's.
func TestLateReportOfAFinishedLoadChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newRolloutHarness(t, 1)
	e := h.engines[0]
	asked := h.memberByName[e.name].Backend
	var late *EngineReport
	for version := uint64(2); version <= 3; version++ {
		h.targets = []*wire.WeightsTarget{{Model: "m", Version: version}}
		for begin := h.now; h.countOutdated(version) > 0; h.run(fakeStep) {
			is.True(h.now.Sub(begin) < 3*time.Second)
			if e.pendingVersion != 0 {
				late = e.report()
			}
		}
		is.True(late.Busy)
		is.Equal(len(h.rollout.ObserveReport(h.now, asked, late, h.targets)), 0)
	}
	// Another order is seen.
	is.Equal(len(h.rollout.ObserveReport(h.now, asked, &EngineReport{Weights: late.Weights, Busy: true, Orders: late.Orders + 1}, h.targets)), 1)
}
