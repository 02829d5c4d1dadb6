package forward

import "time"

// RetryBudgetLimits bound the attempts beyond the first at the backend servers of
// one service, over all routers.
type RetryBudgetLimits struct {
	// Ratio is the number of further attempts for each call.
	Ratio float64
	// ExtraRetries is the number of further attempts in Window beside those.
	ExtraRetries float64
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Routers is the number of routers that share Extra without a message for
	// each retry: an upper estimate.
	Routers int
}

// DefaultRetryBudgetLimits returns limits for deployments that tell none.
func DefaultRetryBudgetLimits() RetryBudgetLimits {
	return RetryBudgetLimits{Ratio: 0.2, ExtraRetries: 100, Window: 10 * time.Second, Routers: 16}
}

const (
	// budgetSlots is the number of parts of the window that are counted apart.
	budgetSlots = 10
	// budgetMargin is the part of Ratio that is used: calls in other routers'
	// windows don't line up with the own ones.
	budgetMargin = 0.75
)

// budget counts the calls for one service and the attempts beyond the first of
// each. It is deterministic and not safe for concurrent use.
type budget struct {
	limits  RetryBudgetLimits
	slot    int64
	calls   [budgetSlots]int
	repeats [budgetSlots]int
}

func newBudget(limits RetryBudgetLimits) *budget { return &budget{limits: limits} }

// call counts a call.
func (b *budget) call(now time.Time) {
	b.turn(now)
	b.calls[b.slot%budgetSlots]++
}

// take takes a place for one further attempt, if there is one.
func (b *budget) take(now time.Time) bool {
	b.turn(now)
	calls, repeats := 0, 0
	for i := range budgetSlots {
		calls += b.calls[i]
		repeats += b.repeats[i]
	}
	room := budgetMargin*b.limits.Ratio*float64(calls) + b.limits.ExtraRetries/float64(max(1, b.limits.Routers))
	if float64(repeats+1) > room {
		return false
	}
	b.repeats[b.slot%budgetSlots]++
	return true
}

// turn forgets the slots that are past.
func (b *budget) turn(now time.Time) {
	slot := now.UnixNano() / int64(b.limits.Window/budgetSlots)
	for i := max(b.slot+1, slot-budgetSlots+1); i <= slot; i++ {
		b.calls[i%budgetSlots], b.repeats[i%budgetSlots] = 0, 0
	}
	b.slot = max(b.slot, slot)
}
