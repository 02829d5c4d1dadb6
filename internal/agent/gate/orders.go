package gate

import (
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/wire"
)

// maxOrderResults is the number of order results remembered for resent orders.
const maxOrderResults = 256

// orders refuses outdated orders in front of engines that ignore fencing tokens,
// and remembers the results of those carried out.
type orders struct {
	fleet   *fleet.OrderAdmission
	results map[uint64]*wire.OrderResult
	ids     []uint64
	open    map[uint64]struct{}
}

func newOrders(agentIncarnation uint64) orders {
	return orders{fleet: fleet.NewOrderAdmission(agentIncarnation), results: map[uint64]*wire.OrderResult{}, open: map[uint64]struct{}{}}
}

// ObserveFencingToken raises the oldest fencing token that is accepted.
func (g *Gate) ObserveFencingToken(token uint64) { g.orders.fleet.ObserveToken(token) }

// AdmitOrder decides whether an order is to be carried out. A resent order that
// is finished gives its first result; one in progress gives neither.
func (g *Gate) AdmitOrder(o *wire.Order) (run bool, result *wire.OrderResult) {
	if r := g.orders.results[o.Id]; r != nil {
		return false, r
	}
	if _, ok := g.orders.open[o.Id]; ok {
		return false, nil
	}
	fresh, err := g.orders.fleet.Admit(o)
	if err != nil {
		return false, &wire.OrderResult{Id: o.Id, Error: err.Error()}
	}
	if fresh {
		g.orders.open[o.Id] = struct{}{}
	}
	return fresh, nil
}

// CheckFencing refuses an admitted order that has become outdated while it waited.
func (g *Gate) CheckFencing(o *wire.Order) error { return g.orders.fleet.CheckToken(o) }

// FinishOrder remembers the result of an order.
func (g *Gate) FinishOrder(r *wire.OrderResult) {
	delete(g.orders.open, r.Id)
	if len(g.orders.ids) == maxOrderResults {
		delete(g.orders.results, g.orders.ids[0])
		g.orders.ids = g.orders.ids[1:]
	}
	g.orders.results[r.Id] = r
	g.orders.ids = append(g.orders.ids, r.Id)
}
