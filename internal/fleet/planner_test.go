package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/config"
	"parsleypulley/internal/wire"
)

const (
	loadTime      = 500 * time.Millisecond
	step          = 50 * time.Millisecond
	previousLease = 2 * time.Second
)

// engine is a simulated engine with its agent.
type engine struct {
	member    *wire.Member
	admission *OrderAdmission
	// load is the order being carried out until doneAt, or nil.
	load   *wire.Order
	doneAt time.Time
	// next replaces member two steps after the end of a load, because the update of the
	// member is committed separately from the result.
	next *wire.Member
	// delay is the number of steps since the last load.
	delay int
	// fail is the number of next loads that end with an error.
	fail   int
	result *wire.OrderResult
	orders int
}

// testFleet simulates a leader and its engines on a manual clock.
type testFleet struct {
	t       *testing.T
	now     time.Time
	config  *config.Compiled
	state   *State
	planner *Planner
	engines []*engine
	// minServing is the smallest number of engines that served model m at any time.
	// maxLoads is the largest number of concurrent loads.
	minServing, maxLoads int
	// firstOrder is when the first order was issued.
	firstOrder time.Time
}

func newFleet(t *testing.T, engines int, minReady uint32) *testFleet {
	f := &testFleet{t: t, now: time.Unix(1000, 0), config: config.Empty(), state: NewState()}
	f.declareModel("v1", minReady)
	for i := range engines {
		f.add(i, &wire.LoadedModel{Model: "m", WeightsVersion: "v1"})
	}
	f.startLeader(1)
	f.resetStats()
	return f
}

func (f *testFleet) add(i int, models ...*wire.LoadedModel) {
	b := &wire.Backend{
		Name: fmt.Sprintf("e%02d", i), AgentIncarnation: 1, FailureDomain: fmt.Sprint("d", i%4), Models: models,
	}
	f.engines = append(f.engines, &engine{
		member:    &wire.Member{Backend: b, State: wire.BackendState_BACKEND_STATE_READY},
		admission: NewOrderAdmission(1),
	})
}

func (f *testFleet) declareModel(version string, minReady uint32) {
	next, err := f.config.With(&wire.ConfigChange{
		BaseRevision:  f.config.Revision,
		PutModels:     []*wire.Model{{Name: "m", WeightsVersion: version, MinReady: minReady}},
		PutPresets:    []*wire.Preset{{Name: "ordinary"}},
		PresetInForce: "ordinary",
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.config = next
}

func (f *testFleet) startLeader(term uint64) {
	f.state.StartTerm(term)
	f.planner = NewPlanner(term, f.now, previousLease)
}

func (f *testFleet) resetStats() {
	f.minServing, f.maxLoads, f.firstOrder = len(f.engines), 0, time.Time{}
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, e := range f.engines {
			f.runEngine(e)
		}
		if change := f.planner.Plan(f.now, PlannerInput{f.config, f.members(), f.state.Open()}); change != nil {
			if !f.state.Apply(change).GetAccepted() {
				f.t.Fatalf("refused: %v", change)
			}
			if len(change.GetIssue()) > 0 && f.firstOrder.IsZero() {
				f.firstOrder = f.now
			}
		}
		f.recordStats()
	}
}

func (f *testFleet) runEngine(e *engine) {
	name := e.member.GetBackend().GetName()
	if e.delay++; e.next != nil && e.delay > 2 {
		e.member, e.next = e.next, nil
	}
	if e.load != nil && !f.now.Before(e.doneAt) {
		e.finish()
		e.delay = 0
	}
	if e.result != nil {
		f.planner.RecordResults(e.result)
	}
	for _, order := range f.state.Open() {
		if order.GetBackend() != name || e.load != nil {
			continue
		}
		if run, err := e.admission.Admit(order); err == nil && run {
			e.load, e.doneAt = order, f.now.Add(loadTime)
			e.orders++
		}
	}
}

func (e *engine) finish() {
	order := e.load
	e.load = nil
	if e.fail > 0 {
		e.fail--
		e.result = &wire.OrderResult{Id: order.GetId(), Error: "weight store refused"}
		return
	}
	e.result = &wire.OrderResult{Id: order.GetId(), Done: true}
	next := proto.CloneOf(e.member)
	next.Backend.Models = []*wire.LoadedModel{{Model: order.GetModel(), WeightsVersion: order.GetWeightsVersion()}}
	e.next = next
}

func (f *testFleet) members() []*wire.Member {
	var members []*wire.Member
	for _, e := range f.engines {
		members = append(members, e.member)
	}
	return members
}

func (f *testFleet) recordStats() {
	serving, loads := 0, 0
	for _, e := range f.engines {
		ready := e.member.GetState() == wire.BackendState_BACKEND_STATE_READY
		switch {
		case e.load != nil:
			loads++
		case ready && loadedModel(e.member, "m") != nil:
			serving++
		}
	}
	f.minServing = min(f.minServing, serving)
	f.maxLoads = max(f.maxLoads, loads)
}

// countAtVersion returns the number of engines that have loaded a version of model m.
func (f *testFleet) countAtVersion(version string) int {
	n := 0
	for _, e := range f.engines {
		if loaded := loadedModel(e.member, "m"); loaded.GetWeightsVersion() == version {
			n++
		}
	}
	return n
}

func TestPlannerRollsOutNewVersion(t *testing.T) {
	for _, row := range []struct {
		name     string
		engines  int
		minReady uint32
		empty    int
		// updated is the number of engines at the new version at the end.
		// loads is the largest number of concurrent loads.
		updated, loads int
	}{
		{"no ready count", 18, 0, 0, 18, 3},
		{"twelve ready", 18, 12, 0, 18, 3},
		{"sixteen ready", 18, 16, 0, 18, 2},
		{"seventeen ready", 18, 17, 0, 18, 1},
		{"none to spare", 18, 18, 0, 0, 0},
		{"none to spare, but one empty", 18, 18, 1, 19, 1},
		{"none to spare, but five empty", 18, 18, 5, 19, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, row.engines, row.minReady)
			for i := range row.empty {
				f.add(50 + i)
			}
			f.run(previousLease + time.Second)
			is.Equal(f.countAtVersion("v1"), row.engines) // nothing to do yet
			f.resetStats()
			f.declareModel("v2", row.minReady)
			f.run(30 * time.Second)
			is.Equal(f.countAtVersion("v2"), row.updated)
			is.Equal(f.maxLoads, row.loads)
			is.True(f.minServing >= int(row.minReady))
			is.Equal(len(f.state.Open()), 0)
			for _, e := range f.engines {
				is.True(e.orders <= 1) // no engine loads twice
			}
		})
	}
}

func TestLostEngineIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 6)
	f.add(50)
	f.run(previousLease + time.Second)
	lost := proto.CloneOf(f.engines[2].member)
	lost.State = wire.BackendState_BACKEND_STATE_SUSPECTED
	f.engines[2].member = lost
	f.run(3 * time.Second)
	is.Equal(loadedModel(f.engines[6].member, "m").GetWeightsVersion(), "v1")
}

func TestNewLeaderWaitsForPreviousLease(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3)
	f.run(previousLease + time.Second)
	f.startLeader(2)
	start := f.now
	f.firstOrder = time.Time{}
	f.declareModel("v2", 3)
	f.run(5 * time.Second)
	is.True(f.firstOrder.Sub(start) >= previousLease)
	is.Equal(f.countAtVersion("v2"), 6)
}

func TestOpenOrdersSurviveLeaderChange(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3)
	f.run(previousLease + time.Second)
	f.declareModel("v2", 3)
	f.run(2 * step)
	is.Equal(len(f.state.Open()), 3)
	f.startLeader(2)
	f.run(10 * time.Second)
	is.Equal(f.countAtVersion("v2"), 6)
	is.True(f.maxLoads <= MaxConcurrentLoads)
	for _, e := range f.engines {
		is.Equal(e.orders, 1)
	}
}

func TestFailedOrdersAreRetriedWithBackoff(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 2)
	f.run(previousLease + time.Second)
	f.engines[0].fail = 4
	f.declareModel("v2", 2)
	f.run(6 * time.Second)
	is.Equal(f.countAtVersion("v2"), 2) // the other engines are updated meanwhile
	is.True(f.engines[0].orders <= 3)
	f.run(60 * time.Second)
	is.Equal(f.countAtVersion("v2"), 3)
	is.Equal(f.engines[0].orders, 5)
	is.True(f.minServing >= 2)
}

func TestOrdersWithoutResultAreClosed(t *testing.T) {
	for _, row := range []struct {
		name string
		// change alters the engine that has an order.
		change func(e *engine)
		// open is how long the order is expected to stay open.
		open time.Duration
	}{
		{"agent silent", func(e *engine) { e.admission = NewOrderAdmission(99) }, loadTimeout},
		{"agent restarted", func(e *engine) {
			next := proto.CloneOf(e.member)
			next.Backend.AgentIncarnation = 2
			e.member, e.admission, e.load = next, NewOrderAdmission(2), nil
		}, 100 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 0)
			f.run(previousLease + time.Second)
			f.declareModel("v2", 0)
			f.engines[0].admission = NewOrderAdmission(99) // refuses all orders
			f.run(2 * step)
			is.Equal(len(f.state.Open()), 1)
			id := f.state.Open()[0].GetId()
			row.change(f.engines[0])
			f.run(row.open + 2*step)
			is.True(len(f.state.Open()) == 0 || f.state.Open()[0].GetId() != id)
		})
	}
}

func TestPlainServicesGetNoOrders(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 3)
	f.add(50)
	f.engines[2].member.Backend.Service = "farmdesk"
	f.run(10 * time.Second)
	is.Equal(f.engines[2].orders, 0)
}

func TestPlannerSkipsUnchangedInput(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3)
	now := f.now.Add(time.Hour)
	in := PlannerInput{f.config, f.members(), nil}
	is.True(f.planner.Plan(now, in) == nil)
	is.True(f.planner.isIdle(in))
	is.True(!f.planner.isIdle(PlannerInput{f.config, f.members(), nil})) // members may have changed
	f.declareModel("v2", 3)
	is.True(f.planner.Plan(now, PlannerInput{f.config, in.Members, nil}) != nil)
}

func BenchmarkPlan4000(b *testing.B) {
	f := newFleet(&testing.T{}, 4000, 3000)
	f.declareModel("v2", 3000)
	members := f.members()
	now := f.now.Add(time.Hour)
	for b.Loop() {
		f.planner.Plan(now, PlannerInput{f.config, members, nil})
	}
}
