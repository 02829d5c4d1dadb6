package gate

import (
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/wire"
)

// maxOrderResults is the number of order results that are kept to answer resent
// orders.
const maxOrderResults = 256

// orders refuses orders with an outdated fencing token, because some engines do
// not check the token themselves. It keeps the results of finished orders.
type orders struct {
	// admission checks the agent incarnation and the fencing token of orders.
	admission *fleet.OrderAdmission
	// results holds the results of finished orders by order ID.
	results map[uint64]*wire.OrderResult
	// resultIDs holds the keys of results, oldest first.
	resultIDs []uint64
	// inProgress holds the IDs of admitted orders that have not finished.
	inProgress map[uint64]struct{}
}

func newOrders(agentIncarnation uint64) orders {
	return orders{admission: fleet.NewOrderAdmission(agentIncarnation), results: map[uint64]*wire.OrderResult{}, inProgress: map[uint64]struct{}{}}
}

// ObserveFencingToken makes the gate refuse orders with a fencing token lower than
// token.
func (g *Gate) ObserveFencingToken(token uint64) { g.orders.admission.ObserveToken(token) }

// AdmitOrder decides whether the caller must run an order. For a resent order that
// has finished it returns the first result, and for a refused order a result with
// the error. For a resent order in progress, run is false and result is nil.
func (g *Gate) AdmitOrder(o *wire.Order) (run bool, result *wire.OrderResult) {
	if r := g.orders.results[o.Id]; r != nil {
		return false, r
	}
	if _, ok := g.orders.inProgress[o.Id]; ok {
		return false, nil
	}
	fresh, err := g.orders.admission.Admit(o)
	if err != nil {
		return false, &wire.OrderResult{Id: o.Id, Error: err.Error()}
	}
	if fresh {
		g.orders.inProgress[o.Id] = struct{}{}
	}
	return fresh, nil
}

// CheckFencing returns an error if the fencing token of an admitted order has
// become outdated while the order was queued.
func (g *Gate) CheckFencing(o *wire.Order) error { return g.orders.admission.CheckToken(o) }

// FinishOrder records the result of an order.
func (g *Gate) FinishOrder(r *wire.OrderResult) {
	delete(g.orders.inProgress, r.Id)
	if len(g.orders.resultIDs) == maxOrderResults {
		delete(g.orders.results, g.orders.resultIDs[0])
		g.orders.resultIDs = g.orders.resultIDs[1:]
	}
	g.orders.results[r.Id] = r
	g.orders.resultIDs = append(g.orders.resultIDs, r.Id)
}
