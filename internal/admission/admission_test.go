package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"parsleypulley/internal/fault"
)

var start = time.Unix(1000, 0)

const model = "assessor"

func newController(servers int, s Settings) *Controller {
	c := New(s)
	c.SetCapacity(start, model, servers, 0)
	return c
}

func newRequest(id uint64, account string, tokens uint32) Request {
	return Request{ID: id, Pool: model, Account: account, Tokens: tokens}
}

// grantedIDs returns the IDs of the granted requests.
func grantedIDs(actions []Action) []uint64 {
	var ids []uint64
	for _, a := range actions {
		if a.Refusal == nil {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func TestRequestIsGrantedOnceItFits(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	is.Equal(grantedIDs(c.Admit(start, newRequest(1, "a", 5000))), []uint64{1})
	is.Equal(len(c.Admit(start, newRequest(2, "a", 5000))), 0) // the window is full
	is.Equal(grantedIDs(c.FirstToken(start, 1, 0)), []uint64{2})
}

func TestOversizedRequestRunsAlone(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	is.Equal(grantedIDs(c.Admit(start, newRequest(1, "a", 1e6))), []uint64{1})
	is.Equal(len(c.Admit(start, newRequest(2, "b", 10))), 0)
}

// serve gives first tokens to running requests and ends them, one after the
// other, for the given number of steps. It counts the grants of each account.
func serve(c *Controller, id uint64, steps int) map[string]int {
	count := map[string]int{}
	running := []uint64{id}
	for range steps {
		next := grantedIDs(c.FirstToken(start, running[0], 0))
		c.Finish(start, running[0], Result{})
		running = running[1:]
		for _, g := range next {
			count[c.active[g].Account]++
			running = append(running, g)
		}
	}
	return count
}

func TestSharesFollowWeightsNotDemand(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	id := uint64(1)
	c.Admit(start, newRequest(id, "first", 8192))
	for i := range 600 {
		id++
		r := newRequest(id, "large", 8192)
		c.Admit(start, r)
		if i%3 == 0 {
			id++
			r = newRequest(id, "small", 8192)
			r.Weight = 3
			c.Admit(start, r)
		}
	}
	count := serve(c, 1, 200)
	is.True(count["small"] >= 148 && count["small"] <= 152) // three quarters
	is.True(count["large"] >= 48 && count["large"] <= 52)
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	c.Admit(start, newRequest(1, "a", 8192))
	c.Admit(start, newRequest(2, "a", 8192))
	urgent := newRequest(3, "b", 8192)
	urgent.Priority = 5
	c.Admit(start, urgent)
	is.Equal(grantedIDs(c.FirstToken(start, 1, 0)), []uint64{3})
}

func TestAccountConcurrencyIsLimited(t *testing.T) {
	is := is.New(t)
	c := newController(4, Settings{})
	for id := range uint64(3) {
		r := newRequest(id+1, "a", 10)
		r.MaxConcurrent = 2
		is.Equal(len(grantedIDs(c.Admit(start, r))) == 1, id < 2)
	}
	is.Equal(grantedIDs(c.Admit(start, newRequest(9, "b", 10))), []uint64{9}) // other accounts are not held back
	is.Equal(grantedIDs(c.Finish(start, 1, Result{})), []uint64{3})
}

func TestFullQueueRefusesLargestBacklog(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{MaxQueue: 4})
	c.Admit(start, newRequest(1, "large", 8192))
	for id := range uint64(4) {
		c.Admit(start, newRequest(id+2, "large", 8192))
	}
	refused := c.Admit(start, newRequest(7, "large", 8192))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].ID, uint64(7))
	is.Equal(refused[0].Refusal.Kind, fault.Overloaded)
	is.Equal(refused[0].Refusal.Outcome, fault.NotRun)
	is.True(refused[0].Refusal.RetryAfter > 0)
	displaced := c.Admit(start, newRequest(8, "small", 8192))
	is.Equal(displaced[0].ID, uint64(5)) // the newest of the large account
	is.Equal(c.Waiting(model), 4)
}

func TestDeadlines(t *testing.T) {
	// busy returns a controller with the given number of waiting requests, and
	// the current time. Its backend server takes one second for each request of
	// 8192 tokens.
	busy := func(is *is.I, waiting int) (*Controller, time.Time) {
		c := newController(1, Settings{TargetDelay: time.Hour})
		now := start
		id := uint64(1)
		c.Admit(now, newRequest(id, "a", 8192))
		for range 40 + waiting {
			id++
			c.Admit(now, newRequest(id, "a", 8192))
		}
		for served := range uint64(40) {
			now = now.Add(time.Second)
			c.pools[model].backendWindow.pendingLimit = 8192
			c.FirstToken(now, served+1, 0)
			c.Finish(now, served+1, Result{})
		}
		is.Equal(c.Waiting(model), waiting)
		return c, now
	}
	for name, tc := range map[string]struct {
		waiting  int
		deadline time.Duration
		refused  bool
	}{
		"enough time":      {2, 6 * time.Second, false},
		"queue too long":   {9, 6 * time.Second, true},
		"already too late": {0, -time.Second, true},
		"no deadline":      {9, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := busy(is, tc.waiting)
			r := newRequest(999, "a", 8192)
			if tc.deadline != 0 {
				r.Deadline = now.Add(tc.deadline)
			}
			actions := c.Admit(now, r)
			is.Equal(len(actions) == 1, tc.refused)
			if tc.refused {
				is.Equal(actions[0].Refusal.Kind, fault.DeadlineInfeasible)
				is.Equal(actions[0].Refusal.Outcome, fault.NotRun)
				is.True(actions[0].Refusal.RetryAfter > 0)
			}
		})
	}
	t.Run("refused while waiting, before the deadline", func(t *testing.T) {
		is := is.New(t)
		c, now := busy(is, 2)
		r := newRequest(999, "a", 8192)
		r.Deadline = now.Add(6 * time.Second)
		c.Admit(now, r)
		due := c.NextTick()
		is.True(due.Before(r.Deadline)) // earlier than the deadline itself
		is.Equal(len(c.Tick(due.Add(-time.Millisecond))), 0)
		actions := c.Tick(due)
		is.Equal(len(actions), 1)
		is.Equal(actions[0].Refusal.Kind, fault.DeadlineInfeasible)
		is.True(c.NextTick().IsZero())
	})
}

func TestWindowFollowsQueueingDelay(t *testing.T) {
	is := is.New(t)
	grow := func(delay time.Duration) float64 {
		c := newController(2, Settings{})
		now, id := start, uint64(0)
		var running []uint64
		for range 400 {
			for c.Waiting(model) < 4 {
				id++
				running = append(running, grantedIDs(c.Admit(now, newRequest(id, "a", 1000)))...)
			}
			now = now.Add(25 * time.Millisecond)
			first := running[0]
			running = append(running[1:], grantedIDs(c.FirstToken(now, first, delay))...)
			running = append(running, grantedIDs(c.Finish(now, first, Result{}))...)
		}
		return c.pools[model].backendWindow.pendingLimit
	}
	is.True(grow(0) > 2*windowInitial)
	is.Equal(grow(time.Second), float64(2*windowMin))
}

func TestAccountOverItsShareIsDemoted(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	last := map[string]int32{}
	id := uint64(0)
	note := func(actions []Action) {
		for _, a := range actions {
			last[c.active[a.ID].Account] = a.Demotion
		}
	}
	for range 20 {
		for _, account := range []string{"large", "large", "large", "large", "large", "large", "large", "large", "s1", "s2", "s3"} {
			id++
			note(c.Admit(start, newRequest(id, account, 2000)))
		}
		for i := id - 10; i <= id; i++ {
			note(c.FirstToken(start, i, 0))
			note(c.Finish(start, i, Result{}))
		}
	}
	is.True(last["large"] >= 1)
	is.Equal(last["s1"], int32(0))
}

func TestRemovedPoolRefusesItsQueue(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	c.Admit(start, newRequest(1, "a", 8192))
	c.Admit(start, newRequest(2, "a", 8192))
	actions := c.SetCapacity(start, model, 0, 0)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Refusal.Kind, fault.NoBackend)
	is.Equal(c.Admit(start, newRequest(3, "a", 1))[0].Refusal.Kind, fault.NoBackend)
	is.Equal(len(c.Finish(start, 1, Result{})), 0)
	is.Equal(len(c.active), 0)
}

// Under any schedule of arrivals, first tokens and ends, each request is granted
// or refused exactly once, the queue stays within its limit, and no ended
// request is kept.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxQueue = 5
		c := newController(1, Settings{MaxQueue: maxQueue})
		now := start
		decided := map[uint64]string{}
		var running []uint64
		take := func(actions []Action) {
			for _, a := range actions {
				if decided[a.ID] != "" {
					t.Fatalf("request %d decided again", a.ID)
				}
				decided[a.ID] = "refused"
				if a.Refusal == nil {
					decided[a.ID] = "granted"
					running = append(running, a.ID)
				}
			}
			if c.Waiting(model) > maxQueue {
				t.Fatalf("%d wait", c.Waiting(model))
			}
		}
		requests := uint64(rapid.IntRange(1, 60).Draw(t, "requests"))
		for id := uint64(1); id <= requests; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			r := newRequest(id, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), uint32(rapid.IntRange(1, 9000).Draw(t, "tokens")))
			r.Priority = int32(rapid.IntRange(0, 1).Draw(t, "priority"))
			r.MaxConcurrent = uint32(rapid.IntRange(0, 2).Draw(t, "limit"))
			if rapid.Bool().Draw(t, "deadline") {
				r.Deadline = now.Add(time.Duration(rapid.IntRange(-10, 500).Draw(t, "due")) * time.Millisecond)
			}
			take(c.Admit(now, r))
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				id := running[0]
				running = running[1:]
				take(c.FirstToken(now, id, time.Duration(rapid.IntRange(0, 300).Draw(t, "delay"))*time.Millisecond))
				take(c.Finish(now, id, Result{}))
			}
			take(c.Tick(now))
		}
		for len(running) > 0 {
			id := running[0]
			running = running[1:]
			take(c.Finish(now, id, Result{}))
		}
		if len(decided) != int(requests) || len(c.active) != 0 || c.Waiting(model) != 0 {
			t.Fatalf("%d of %d decided, %d left", len(decided), requests, len(c.active))
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	c := newController(18, Settings{})
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		c.Admit(start, newRequest(id, "a", 100))
		c.Finish(start, id, Result{})
	}
}

// overload fills a controller with requests of an account that exceeds its
// share, ends those that were granted without demotion, and returns the next
// free ID.
func overload(c *Controller) uint64 {
	id := uint64(0)
	for _, account := range []string{"s1", "s2", "s3"} {
		id++
		c.Admit(start, newRequest(id, account, 10))
	}
	for range 60 {
		id++
		c.Admit(start, newRequest(id, "large", 2000))
	}
	for old := range id {
		if o := c.active[old+1]; o != nil && o.state == granted && o.demotion == 0 {
			c.FirstToken(start, o.ID, 0)
			c.Finish(start, o.ID, Result{})
		}
	}
	return id + 1
}

func TestDemotedWorkDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	id := overload(c)
	waiting := c.Waiting(model)
	is.True(waiting > 0)
	is.Equal(grantedIDs(c.Admit(start, newRequest(id, "s1", 500))), []uint64{id}) // at once
	is.Equal(c.Waiting(model), waiting)
}

func TestDelaysOfDemotedWorkDoNotShrinkTheWindow(t *testing.T) {
	is := is.New(t)
	c := newController(1, Settings{})
	overload(c)
	p := c.pools[model]
	now := start
	for range 20 {
		now = now.Add(adaptInterval)
		for id, o := range c.active {
			if o.state == granted && o.demotion > 0 {
				c.FirstToken(now, id, 10*time.Second)
				c.Finish(now, id, Result{})
				break
			}
		}
	}
	is.True(p.backendWindow.pendingLimit >= windowInitial)
}

func TestLimitsOfIndependentRoutersConverge(t *testing.T) {
	is := is.New(t)
	const servers, slots = 18, 576
	limits := []window{newWindow(start), newWindow(start)}
	for i := range limits {
		limits[i].resize(servers, slots)
	}
	limits[0].runningLimit = 60 // one limit has just been decreased
	for range 200 {
		taken := 0.0
		for i := range limits {
			limits[i].running = int(limits[i].runningLimit) // every router uses its whole limit
			taken += limits[i].runningLimit
		}
		for i := range limits {
			limits[i].setOccupancy(taken / slots)
		}
	}
	a, b := limits[0].runningLimit, limits[1].runningLimit
	is.True(a/b > 0.8 && a/b < 1.25)
	is.True(a+b < slots)
	is.True(a+b > slots/2)
}

func TestHeavyAccountUsesSpareCapacity(t *testing.T) {
	const servers, slots = 10, 320
	setup := func() (*Controller, uint64) {
		c := New(Settings{})
		c.SetCapacity(start, model, servers, slots)
		c.pools[model].queuedAt = start
		id := uint64(0)
		for _, account := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7"} {
			id++
			c.Admit(start, newRequest(id, account, 100))
		}
		for range 2 * slots {
			id++
			c.Admit(start, newRequest(id, "large", 100))
		}
		return c, id + 1
	}
	for name, tc := range map[string]struct {
		part  float64
		grows bool
	}{
		"busy": {2 * spareTarget, false},
		"idle": {spareTarget / 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, id := setup()
			p := c.pools[model]
			is.True(p.backendWindow.runningHeavy > 0)
			is.True(c.Waiting(model) > 0)
			p.backendWindow.spareLimit = float64(p.backendWindow.runningHeavy)
			before := p.backendWindow.spareLimit
			for range 20 {
				c.SetOccupancy(start, model, tc.part)
			}
			is.Equal(p.backendWindow.spareLimit > before, tc.grows)
			is.True(p.backendWindow.spareLimit >= spareMin*servers) // never zero
			for old, o := range c.active {
				if o.state == granted && o.demotion >= heavyDemotion {
					is.Equal(len(c.Finish(start, old, Result{})) == 1, tc.grows)
					break
				}
			}
			is.Equal(grantedIDs(c.Admit(start, newRequest(id, "s1", 100))), []uint64{id}) // other accounts are not held back
		})
	}
}
