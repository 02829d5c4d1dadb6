package fleet

import (
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// OrderAdmission is the agent's decision on orders to its engine. It stands before
// engines that check the fencing token and before those that ignore it, and it
// never lets an engine go back to an earlier order.
type OrderAdmission struct {
	incarnation uint64
	fencing     uint64
	// lastID is the newest order let through.
	lastID uint64
}

// NewOrderAdmission returns the gate of one life of an agent.
func NewOrderAdmission(agentIncarnation uint64) *OrderAdmission {
	return &OrderAdmission{incarnation: agentIncarnation}
}

// ObserveToken notes the fencing token of the view that the agent follows, so that
// orders of earlier leaders are refused before a new leader has given any.
func (g *OrderAdmission) ObserveToken(fencing uint64) { g.fencing = max(g.fencing, fencing) }

// Admit reports whether an order is to be carried out. An order that has been
// let through before is not new, and no error. The error is a fault.StaleFencing
// for an order of an earlier leader, one given before a newer order, and one meant
// for another life of the agent.
func (g *OrderAdmission) Admit(order *wire.Order) (bool, error) {
	if order.GetAgentIncarnation() != g.incarnation {
		return false, fault.New(fault.StaleFencing, fault.NotRun, "order %d is meant for agent incarnation %d, not %d", order.GetId(), order.GetAgentIncarnation(), g.incarnation)
	}
	if err := g.CheckToken(order); err != nil {
		return false, err
	}
	if order.GetId() < g.lastID {
		return false, fault.New(fault.StaleFencing, fault.NotRun, "order %d is older than order %d", order.GetId(), g.lastID)
	}
	g.fencing = order.GetFencing()
	if order.GetId() == g.lastID {
		return false, nil
	}
	g.lastID = order.GetId()
	return true, nil
}

// CheckToken refuses an order whose fencing token is older than the newest seen. It is
// asked again right before an admitted order goes to the engine, because a newer
// token may have come while it waited.
func (g *OrderAdmission) CheckToken(order *wire.Order) error {
	if order.GetFencing() < g.fencing {
		return fault.New(fault.StaleFencing, fault.NotRun, "order %d has fencing token %d, older than %d", order.GetId(), order.GetFencing(), g.fencing)
	}
	return nil
}
