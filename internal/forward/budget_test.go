package forward

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
)

// If each router enforced the full limits on its own, the sum of their retries
// would exceed them. All calls fail for ten seconds and every router retries as
// often as its budget allows; the sum must stay within the limits for all calls.
func TestRetryBudgetSharedAcrossRouters(t *testing.T) {
	is := is.New(t)
	limits := RetryBudgetLimits{Ratio: 0.2, ExtraRetries: 116, Window: 10 * time.Second, Routers: 16}
	routers := make([]*retryBudget, 12)
	for i := range routers {
		routers[i] = newRetryBudget(limits)
	}
	now := time.Unix(1000, 0)
	calls, retries := 0, 0
	for range 1000 {
		for i, b := range routers {
			if i%3 != 0 { // a third of the routers get no calls
				b.addCall(now)
				calls++
			}
			for range 3 {
				if b.tryWithdraw(now, 0) {
					retries++
				}
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(float64(retries) <= 0.2*float64(calls)+116)
	is.True(float64(retries) >= 0.1*float64(calls)) // the budget is not needlessly small
}

// With more routers than assumed, each one's share of the calls bounds its part of the
// extra retries. Few calls and many failures are the worst case for the sum.
func TestRetryBudgetOfManyRouters(t *testing.T) {
	is := is.New(t)
	const routers, extra = 300, 180
	limits := RetryBudgetLimits{Ratio: 0.2, ExtraRetries: extra, Window: 10 * time.Second, Routers: 24}
	now := time.Unix(1000, 0)
	calls, retries := 0, 0
	for range routers {
		b := newRetryBudget(limits)
		for range 40 {
			b.addCall(now)
			calls++
			for b.tryWithdraw(now, 1.0/routers) {
				retries++
			}
		}
	}
	is.True(float64(retries) <= 0.2*float64(calls)+extra)
	is.True(float64(retries) >= 0.1*float64(calls))
}

func TestRetryBudgetRefillsAfterWindow(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(RetryBudgetLimits{Ratio: 0.2, ExtraRetries: 16, Window: 10 * time.Second, Routers: 16})
	now := time.Unix(1000, 0)
	is.True(b.tryWithdraw(now, 0))
	is.True(!b.tryWithdraw(now, 0))
	is.True(!b.tryWithdraw(now.Add(8*time.Second), 0))
	is.True(b.tryWithdraw(now.Add(11*time.Second), 0))
	is.True(b.tryWithdraw(now.Add(100*time.Second), 0))
}

// stepWallClock returns t as time.Now returns it after the time of day has jumped: the
// reading of the steady clock is the same.
func stepWallClock(t time.Time, seconds int64) time.Time {
	const secondsShift = 30 // of the wall clock in a time with both readings
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << secondsShift
	return t
}

// A jump of the time of day made a router forget the retries of the last seconds, and allow
// as many again.
func TestRetryBudgetIgnoresTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	limits := RetryBudgetLimits{Ratio: 0.2, ExtraRetries: 100, Window: 10 * time.Second, Routers: 1}
	b := newRetryBudget(limits)
	now := time.Now()
	is.Equal(stepWallClock(now, 60).Sub(now), time.Duration(0)) // the steady clock has not moved
	is.True(stepWallClock(now, 60).Unix() == now.Unix()+60)
	retries := 0
	for range 8 {
		for b.tryWithdraw(now, 0) {
			retries++
		}
		now = stepWallClock(now.Add(100*time.Millisecond), 20)
	}
	is.True(retries <= 100)
}
