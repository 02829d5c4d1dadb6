package fleet

import (
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// OrderAdmission decides at the agent which orders are passed to its engine. It is
// used both for engines that check the fencing token and for engines that ignore it.
// It never admits an order that is older than one admitted before.
type OrderAdmission struct {
	incarnation uint64
	fencing     uint64
	// lastID is the ID of the newest admitted order.
	lastID uint64
}

// NewOrderAdmission returns the order admission for one incarnation of an agent.
func NewOrderAdmission(agentIncarnation uint64) *OrderAdmission {
	return &OrderAdmission{incarnation: agentIncarnation}
}

// ObserveToken records the fencing token of the view that the agent follows, so that
// orders of earlier leaders are refused even before a new leader has issued any.
func (a *OrderAdmission) ObserveToken(fencing uint64) { a.fencing = max(a.fencing, fencing) }

// Admit reports whether an order is to be carried out. It returns false without an
// error for an order that has been admitted before. It returns a fault.StaleFencing
// error for an order of an earlier leader, for an order that is older than the newest
// admitted one, and for an order for another incarnation of the agent.
func (a *OrderAdmission) Admit(order *wire.Order) (bool, error) {
	if order.GetAgentIncarnation() != a.incarnation {
		return false, fault.New(fault.StaleFencing, fault.NotRun, "order %d is meant for agent incarnation %d, not %d", order.GetId(), order.GetAgentIncarnation(), a.incarnation)
	}
	if err := a.CheckToken(order); err != nil {
		return false, err
	}
	if order.GetId() < a.lastID {
		return false, fault.New(fault.StaleFencing, fault.NotRun, "order %d is older than order %d", order.GetId(), a.lastID)
	}
	a.fencing = order.GetFencing()
	if order.GetId() == a.lastID {
		return false, nil
	}
	a.lastID = order.GetId()
	return true, nil
}

// CheckToken returns an error for an order whose fencing token is older than the
// newest known one. It must be called again right before an admitted order is sent to
// the engine, because a newer token may have arrived while the order was waiting.
func (a *OrderAdmission) CheckToken(order *wire.Order) error {
	if order.GetFencing() < a.fencing {
		return fault.New(fault.StaleFencing, fault.NotRun, "order %d has fencing token %d, older than %d", order.GetId(), order.GetFencing(), a.fencing)
	}
	return nil
}
