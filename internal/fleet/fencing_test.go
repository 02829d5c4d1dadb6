package fleet

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// The verdict is the same each run; -rapid.seed runs other schedules.
func init() { flag.Set("rapid.seed", "20261203") }

func TestGate(t *testing.T) {
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
		{"same order, taken over by a newer leader", 0, []*wire.Order{order(7, 1, 1)}, order(7, 2, 1), false, false},
		{"order of an earlier leader", 0, []*wire.Order{order(7, 2, 2)}, order(7, 1, 3), false, true},
		{"order of an earlier leader than the view's", 3, nil, order(7, 2, 2), false, true},
		{"order of an earlier leader after a taken over one", 0, []*wire.Order{order(7, 1, 1), order(7, 2, 1)}, order(7, 1, 2), false, true},
		{"earlier order of the same leader", 0, []*wire.Order{order(7, 1, 2)}, order(7, 1, 1), false, true},
		{"order for an earlier life", 0, nil, order(6, 1, 1), false, true},
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

func TestChangesOfTheTable(t *testing.T) {
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
				is.Equal(order.GetFencing(), uint64(5)) // taken over
			}
		})
	}
}

// deployment is one engine behind its agent, with leaders of which the earlier
// ones know only the table of their own time.
type deployment struct {
	current *State
	// stale holds the open orders that earlier leaders still hand out.
	stale [][]*wire.Order
	gate  *OrderAdmission
	life  uint64
	// loaded is the ID of the newest order that the engine has obeyed.
	loaded uint64
	// engineChecks is set when the engine refuses older tokens by itself.
	engineChecks bool
	engineToken  uint64
}

// TestAnEngineNeverGoesBack overlaps leaders that hand out orders late, twice
// and out of order, restarts of the agent, and engines that check the fencing
// token or ignore it.
func TestAnEngineNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &deployment{current: NewState(), gate: NewOrderAdmission(1), life: 1, engineChecks: rapid.Bool().Draw(t, "checks")}
		term := uint64(1)
		d.current.StartTerm(term)
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			switch rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 4, 5}).Draw(t, "step") {
			case 0: // the newest leader gives an order
				order := &wire.Order{Backend: "e", AgentIncarnation: d.life}
				d.current.Apply(&wire.FleetChange{Term: term, Issue: []*wire.Order{order}})
			case 1: // it closes one
				if open := d.current.Open(); len(open) > 0 {
					d.current.Apply(&wire.FleetChange{Term: term, Finish: []*wire.OrderResult{{Id: open[0].GetId()}}})
				}
			case 2: // another leader takes over; the earlier one doesn't know
				d.stale = append(d.stale, d.current.Open())
				term++
				d.current.StartTerm(term)
			case 3: // the agent restarts; the view tells it the newest token
				d.life++
				d.gate = NewOrderAdmission(d.life)
				d.gate.ObserveToken(term)
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

func (d *deployment) deliver(t *rapid.T, orders []*wire.Order) {
	for _, order := range orders {
		run, err := d.gate.Admit(order)
		if err != nil || !run {
			continue
		}
		if d.engineChecks && order.GetFencing() < d.engineToken {
			continue
		}
		d.engineToken = order.GetFencing()
		if order.GetId() < d.loaded {
			t.Fatalf("the engine went back from order %d to %d", d.loaded, order.GetId())
		}
		d.loaded = order.GetId()
	}
}
