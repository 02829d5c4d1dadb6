package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Retry abuse: calls fail for ten seconds, and every router retries all it may.
// The sum stays below the share of all calls and the extra attempts.
func TestRoutersShareTheRetryBudgetWithoutMessages(t *testing.T) {
	is := is.New(t)
	limits := RetryBudgetLimits{Ratio: 0.2, ExtraRetries: 116, Window: 10 * time.Second, Routers: 16}
	routers := make([]*budget, 12)
	for i := range routers {
		routers[i] = newBudget(limits)
	}
	now := time.Unix(1000, 0)
	calls, repeats := 0, 0
	for range 1000 {
		for i, b := range routers {
			if i%3 != 0 { // uneven shares of the traffic
				b.call(now)
				calls++
			}
			for range 3 {
				if b.take(now) {
					repeats++
				}
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(float64(repeats) <= 0.2*float64(calls)+116)
	is.True(float64(repeats) >= 0.1*float64(calls)) // and is of use
}

func TestTheBudgetComesBack(t *testing.T) {
	is := is.New(t)
	b := newBudget(RetryBudgetLimits{Ratio: 0.2, ExtraRetries: 16, Window: 10 * time.Second, Routers: 16})
	now := time.Unix(1000, 0)
	is.True(b.take(now))
	is.True(!b.take(now))
	is.True(!b.take(now.Add(8 * time.Second)))
	is.True(b.take(now.Add(11 * time.Second)))
	is.True(b.take(now.Add(100 * time.Second)))
}
