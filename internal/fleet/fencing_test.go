package fleet

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// A fixed seed makes each run check the same schedules; -rapid.seed sets another one.
func init() { flag.Set("rapid.seed", "20261203") }

func TestOrderAdmission(t *testing.T) {
	order := func(incarnation, fencing, id uint64) *wire.Order {
		return &wire.Order{AgentIncarnation: incarnation, Fencing: fencing, Id: id}
	}
	for _, row := range []struct {
		name   string
		seen   uint64
		before []*wire.Order
		order  *wire.Order
		run    bool
		stale  bool
	}{
		{"first order", 0, nil, order(7, 1, 1), true, false},
		{"newer order", 0, []*wire.Order{order(7, 1, 1)}, order(7, 1, 2), true, false},
		{"order of a newer leader", 0, []*wire.Order{order(7, 1, 1)}, order(7, 2, 2), true, false},
		{"same order again", 0, []*wire.Order{order(7, 1, 1)}, order(7, 1, 1), false, false},
		{"same order with the token of a newer leader", 0, []*wire.Order{order(7, 1, 1)}, order(7, 2, 1), false, false},
		{"order of an earlier leader", 0, []*wire.Order{order(7, 2, 2)}, order(7, 1, 3), false, true},
		{"order of an earlier leader than the view's", 3, nil, order(7, 2, 2), false, true},
		{"order of an earlier leader after the same order with a newer token", 0, []*wire.Order{order(7, 1, 1), order(7, 2, 1)}, order(7, 1, 2), false, true},
		{"earlier order of the same leader", 0, []*wire.Order{order(7, 1, 2)}, order(7, 1, 1), false, true},
		{"order for an earlier incarnation", 0, nil, order(6, 1, 1), false, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			g := NewOrderAdmission(7)
			g.ObserveToken(row.seen)
			for _, o := range row.before {
				_, err := g.Admit(o)
				is.NoErr(err)
			}
			run, err := g.Admit(row.order)
			is.Equal(run, row.run)
			is.Equal(fault.Is(err, fault.StaleFencing), row.stale)
		})
	}
}

func TestStateApply(t *testing.T) {
	issue := func(term uint64, backends ...string) *wire.FleetChange {
		change := &wire.FleetChange{Term: term}
		for _, b := range backends {
			change.Issue = append(change.Issue, &wire.Order{Backend: b, Fencing: 99, Id: 99})
		}
		return change
	}
	for _, row := range []struct {
		name     string
		before   *wire.FleetChange
		change   *wire.FleetChange
		accepted bool
		open     int
	}{
		{"three orders", nil, issue(2, "a", "b", "c"), true, 3},
		{"four orders", nil, issue(2, "a", "b", "c", "d"), false, 0},
		{"a fourth order", issue(2, "a", "b", "c"), issue(2, "d"), false, 3},
		{"two for one backend server", issue(2, "a"), issue(2, "a"), false, 1},
		{"earlier term", issue(2, "a"), issue(1, "b"), false, 1},
		{"term not begun", issue(2, "a"), issue(3, "b"), false, 1},
		{"finish and issue", issue(2, "a", "b", "c"), &wire.FleetChange{
			Term: 2, Finish: []*wire.OrderResult{{Id: 2}}, Issue: []*wire.Order{{Backend: "d"}},
		}, true, 3},
		{"finish of nothing", issue(2, "a"), &wire.FleetChange{Term: 2, Finish: []*wire.OrderResult{{Id: 77}}}, true, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			s.StartTerm(2)
			if row.before != nil {
				is.True(s.Apply(row.before).GetAccepted())
			}
			is.Equal(s.Apply(row.change).GetAccepted(), row.accepted)
			is.Equal(len(s.Open()), row.open)
			for i, order := range s.Open() {
				is.Equal(order.GetFencing(), uint64(2))
				is.True(i == 0 || order.GetId() > s.Open()[i-1].GetId())
			}
			is.True(!s.StartTerm(2))
			is.True(s.StartTerm(5))
			for _, order := range s.Open() {
				is.Equal(order.GetFencing(), uint64(5)) // open orders get the new token
			}
		})
	}
}

// fencingModel models one engine with its agent and several leaders. Earlier leaders
// know only the table as it was when they were replaced.
type fencingModel struct {
	current *State
	// stale holds the open orders that earlier leaders still send.
	stale       [][]*wire.Order
	admission   *OrderAdmission
	incarnation uint64
	// loaded is the ID of the last order that the engine has carried out.
	loaded uint64
	// engineChecks is set when the engine itself refuses older tokens.
	engineChecks bool
	engineToken  uint64
}

// TestEngineNeverRunsOlderOrder checks that an engine never carries out an order that
// is older than its last one. Several leaders send orders late, twice and out of order,
// the agent restarts, and the engine either checks the fencing token or ignores it.
func TestEngineNeverRunsOlderOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &fencingModel{current: NewState(), admission: NewOrderAdmission(1), incarnation: 1, engineChecks: rapid.Bool().Draw(t, "checks")}
		term := uint64(1)
		d.current.StartTerm(term)
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			switch rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 4, 5}).Draw(t, "step") {
			case 0: // the newest leader issues an order
				order := &wire.Order{Backend: "e", AgentIncarnation: d.incarnation}
				d.current.Apply(&wire.FleetChange{Term: term, Issue: []*wire.Order{order}})
			case 1: // it closes an order
				if open := d.current.Open(); len(open) > 0 {
					d.current.Apply(&wire.FleetChange{Term: term, Finish: []*wire.OrderResult{{Id: open[0].GetId()}}})
				}
			case 2: // a new leader is elected; the earlier one does not notice
				d.stale = append(d.stale, d.current.Open())
				term++
				d.current.StartTerm(term)
			case 3: // the agent restarts and gets the newest token from the view
				d.incarnation++
				d.admission = NewOrderAdmission(d.incarnation)
				d.admission.ObserveToken(term)
			case 4:
				d.deliver(t, d.current.Open())
			case 5:
				if len(d.stale) > 0 {
					d.deliver(t, rapid.SampledFrom(d.stale).Draw(t, "leader"))
				}
			}
		}
	})
}

func (m *fencingModel) deliver(t *rapid.T, orders []*wire.Order) {
	for _, order := range orders {
		run, err := m.admission.Admit(order)
		if err != nil || !run {
			continue
		}
		if m.engineChecks && order.GetFencing() < m.engineToken {
			continue
		}
		m.engineToken = order.GetFencing()
		if order.GetId() < m.loaded {
			t.Fatalf("the engine went back from order %d to %d", m.loaded, order.GetId())
		}
		m.loaded = order.GetId()
	}
}
