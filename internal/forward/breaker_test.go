package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// simulatedCall is a call whose current attempt ends at a known time.
type simulatedCall struct {
	RetryState
	tried    []string
	decision *routing.Decision
	endsAt   time.Time
	// broken is set if the backend server breaks off the answer.
	broken bool
}

// callQueue is a heap of the running calls; the one whose attempt ends first is at the top.
type callQueue []*simulatedCall

func (q callQueue) Len() int           { return len(q) }
func (q callQueue) Less(i, j int) bool { return q[i].endsAt.Before(q[j].endsAt) }
func (q callQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)        { *q = append(*q, x.(*simulatedCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulateCalls lets 40 callers send one call after another to a service for a time, at most two
// attempts each, and returns the numbers of calls that were served, that were broken off, and for
// which there was no backend server. brokenOff tells which requests of a backend server end with a
// broken answer, by the number of the server and that of the request there.
func simulateCalls(seed uint64, length, took time.Duration, servers int, brokenOff func(r *rand.Rand, server, request int) bool) (served, broken, none int) {
	// callers and the route's timeout are those of TestEndlessAnswers.
	const (
		callers   = 40
		timeout   = 3 * time.Second
		returning = 50 * time.Millisecond // until a caller without a backend server returns
	)
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1000, 0)
	end := now.Add(length)
	sel := newBackendSelector("a", seed+1, DefaultRetryBudgetLimits(), 0)
	sel.clock = func() time.Time { return now }
	var members []*wire.Member
	numbers, received := map[string]int{}, map[string]int{}
	for i := range servers {
		b := &wire.Backend{Name: fmt.Sprint("b", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1), Service: "lab", MaxRunning: 200}
		numbers[b.Name] = i
		members = append(members, &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: b})
	}
	sel.router.SetBackends(now, members)
	var running callQueue
	// send starts an attempt; it returns false if there is no backend server for it.
	send := func(c *simulatedCall) bool {
		d, err := sel.selectBackend(&routing.Request{Service: "lab", Tried: c.tried}, startLimits{firstToken: time.Minute})
		if err != nil {
			return false
		}
		c.RecordAttempt()
		name := d.Backend.Name
		received[name]++
		c.decision, c.tried = d, append(c.tried, name)
		c.broken = brokenOff(random, numbers[name], received[name])
		c.endsAt = now.Add(took*3/4 + time.Duration(random.Int64N(int64(took/2))))
		heap.Push(&running, c)
		return true
	}
	call := func() {
		sel.recordCall("lab")
		c := &simulatedCall{RetryState: RetryState{Idempotent: true, MaxAttempts: 2, Deadline: now.Add(timeout)}}
		if !send(c) {
			none++
			c.endsAt = now.Add(returning)
			heap.Push(&running, c)
		}
	}
	for range callers {
		call()
	}
	for now.Before(end) {
		c := heap.Pop(&running).(*simulatedCall)
		now = c.endsAt
		switch {
		case c.decision == nil:
		case !c.broken:
			sel.finished(c.decision)
			served++
		default:
			sel.failed(c.decision, fault.BackendCrashed)
			if c.Next(now, InvalidResponse, func() bool { return sel.tryRetry("lab") }).Retry && send(c) {
				continue
			}
			broken++
		}
		call()
	}
	return served, broken, none
}

// The answer to a request that was under way when a circuit breaker opened closed it, so that
// servers that break off every second answer stayed in use, took the retry budget, and further calls
// failed after one attempt. The bound is that of TestEndlessAnswers, which depends on the speed of
// the machine.
func TestServersThatBreakOffHalfTheirAnswersAreKeptOut(t *testing.T) {
	for _, took := range []time.Duration{8 * time.Millisecond, 60 * time.Millisecond} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("answers of %v/seed %d", took, seed), func(t *testing.T) {
				served, broken, none := simulateCalls(seed, 4*time.Second, took, 8, func(_ *rand.Rand, server, request int) bool {
					return server < 5 && request%2 == 0
				})
				t.Logf("%d served, %d broken off, %d without a backend server", served, broken, none)
				if (broken+none)*20 >= served {
					t.Errorf("%d calls failed of %d served, want fewer than one in 20", broken+none, served)
				}
			})
		}
	}
}

// A service whose servers all fail a part of their requests must not be left without any: a trial
// in which an open breaker was closed by a probe only left most calls to one such server, and one
// in 20 to eight of them, without a backend server.
func TestServersThatAllFailPartOfTheirRequestsStayInUse(t *testing.T) {
	for _, servers := range []int{1, 2, 8} {
		for _, took := range []time.Duration{8 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d servers/answers of %v", servers, took), func(t *testing.T) {
				served, broken, none := simulateCalls(7, 30*time.Second, took, servers, func(r *rand.Rand, _, _ int) bool {
					return r.Float64() < 0.1
				})
				t.Logf("%d served, %d broken off, %d without a backend server", served, broken, none)
				if none*100 >= served {
					t.Errorf("%d calls found no backend server, %d were served, want fewer than one in 100", none, served)
				}
			})
		}
	}
}
