package forward

import "time"

// RetryBudgetLimits limit the retries at the backend servers of one service,
// summed over all routers.
type RetryBudgetLimits struct {
	// Ratio is the number of retries allowed per call.
	Ratio float64
	// ExtraRetries is the number of retries within Window that are allowed in
	// addition to those allowed by Ratio.
	ExtraRetries float64
	// Window is the length of the sliding window in which calls and retries are
	// counted.
	Window time.Duration
	// Routers is the number of routers that is assumed until a router has learnt
	// its share of the calls. Each router uses at most an equal part of ExtraRetries,
	// and no more than its share, so that routers need not exchange messages about
	// retries.
	Routers int
}

// DefaultRetryBudgetLimits returns the limits for deployments that configure
// none.
func DefaultRetryBudgetLimits() RetryBudgetLimits {
	return RetryBudgetLimits{Ratio: 0.2, ExtraRetries: 100, Window: 10 * time.Second, Routers: 16}
}

const (
	// budgetSlots is the number of slots into which the window is divided.
	budgetSlots = 10
	// usableRatio is the fraction of Ratio that a router uses. The rest is a
	// margin, since the counting windows of the routers start at different times.
	usableRatio = 0.75
)

// retryBudget counts the calls for one service and their retries in a sliding
// window. It is deterministic and not safe for concurrent use.
type retryBudget struct {
	limits RetryBudgetLimits
	// origin is the time of the first call or retry. Slots are counted from it by the
	// steady clock, as the time of day may jump.
	origin time.Time
	// slot is the number of the newest slot.
	slot int64
	// calls counts calls by slot.
	calls [budgetSlots]int
	// retries counts retries by slot.
	retries [budgetSlots]int
}

func newRetryBudget(limits RetryBudgetLimits) *retryBudget { return &retryBudget{limits: limits} }

// addCall counts a call.
func (b *retryBudget) addCall(now time.Time) {
	b.advance(now)
	b.calls[b.slot%budgetSlots]++
}

// tryWithdraw counts one retry and returns true if the budget allows it. share is the
// part of all calls that passes through this router; 0 if unknown.
func (b *retryBudget) tryWithdraw(now time.Time, share float64) bool {
	b.advance(now)
	calls, retries := 0, 0
	for i := range budgetSlots {
		calls += b.calls[i]
		retries += b.retries[i]
	}
	part := 1 / float64(max(1, b.limits.Routers))
	if share > 0 {
		part = min(part, share)
	}
	allowed := usableRatio*b.limits.Ratio*float64(calls) + part*b.limits.ExtraRetries
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.slot%budgetSlots]++
	return true
}

// advance clears the slots that have left the window.
func (b *retryBudget) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	slot := int64(now.Sub(b.origin) / (b.limits.Window / budgetSlots))
	for i := max(b.slot+1, slot-budgetSlots+1); i <= slot; i++ {
		b.calls[i%budgetSlots], b.retries[i%budgetSlots] = 0, 0
	}
	b.slot = max(b.slot, slot)
}
