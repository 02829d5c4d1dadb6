package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// Guards against an end of a limit that an answer under way from before the limit seems to tell.
func TestLateAnswersDoNotEndLimit(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	h := NewHolder("router")
	is.True(h.Heard(t0.Add(time.Second), t0, 1, 5))
	is.True(!h.Heard(t0.Add(2*time.Second), t0.Add(500*time.Millisecond), 1, 0)) // sent before
	is.True(h.Limited(1))
	is.True(h.Heard(t0.Add(3*time.Second), t0.Add(2*time.Second), 1, 0))
	is.True(!h.Limited(1))
}

// Guards against permits that are used after their time, or in part by a limit that has fallen.
func TestPermitsEnd(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	a, h := NewAllocator(), NewHolder("router")
	h.Heard(t0, t0, 1, 40)
	for range 100 {
		h.Want(1, 0)
	}
	a.Handle(t0, h.Request(t0))
	now := t0.Add(200 * time.Millisecond)
	for range 100 {
		h.Want(1, 0)
	}
	h.Receive(now, now, a.Handle(now, h.Request(now)))
	is.True(h.HasRoom(now, 1, 0))
	is.True(!h.HasRoom(now.Add(Lifetime), 1, 0))
	h.Heard(now, now, 1, 4)
	is.True(!h.HasRoom(now, 1, 0))
}

// Guards against limits with which a server would never be asked again.
func TestLimitOfZeroLeavesAProbe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var b Bucket
	b.SetLimit(now, newStatement(1e-9, now).perSecond)
	is.True(!b.TryTake(now))
	is.True(b.Wait(now) <= 4*time.Second)
	is.True(b.TryTake(now.Add(4 * time.Second)))
}

// Guards against times to come back that depend on how often a router asks for permits: callers return at
// the rate at which permits come.
func TestRetryAfterFollowsRateOfPermits(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 750 * time.Millisecond} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		h := NewHolder("router")
		h.Heard(now, now, 1, 8)
		const perSecond = 8
		granted := 0.0
		for range int(10 * time.Second / interval) {
			now = now.Add(interval)
			granted += perSecond * interval.Seconds()
			h.Receive(now, now, &wire.PermitReply{Grants: []*wire.PermitGrant{{Server: 1, Permits: []uint32{uint32(granted)}}}})
			granted -= float64(int(granted))
		}
		var last time.Duration
		for range 4 * perSecond {
			last = h.RetryAfter(now)
		}
		t.Logf("asked each %v: the %dth caller comes back after %v", interval, 4*perSecond, last)
		is.True(last > 3*time.Second && last < 5*time.Second)
	}
}

// Guards against a pace that answers of the server end, since they name no limit, that hides a
// lower limit of the server, or that outlives the leader that has set it.
func TestPaceCountsBesideLimitOfServer(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	a, h := NewAllocator(), NewHolder("router")
	tell := func(now time.Time) { h.Told(now, a.Limits(now, func(Key) bool { return true })) }
	a.SetPace(t0, 1, 5)
	tell(t0)
	is.Equal(h.servers[1].perSecond(), 5.0)
	h.Heard(t0.Add(time.Second), t0.Add(time.Millisecond), 1, 0)
	is.Equal(h.servers[1].perSecond(), 5.0)
	now := t0.Add(1100 * time.Millisecond)
	a.Handle(now, h.Request(now)) // tells that the server names no limit
	is.Equal(a.budgets[1].perSecond(), 5.0)

	for _, test := range []struct{ named, pace, want float64 }{{3, 5, 3}, {3, 2, 2}, {3, 0, 3}, {0, 4, 4}, {0, 0, 0}} {
		now = now.Add(time.Second)
		h.Heard(now, now, 1, test.named)
		h.reportAgain()
		a.SetPace(now, 1, test.pace)
		a.Handle(now, h.Request(now))
		is.Equal(a.budgets[1].perSecond(), test.want)
		h.Miss(now, 1, 0)
		h.Receive(now, now, a.Handle(now, &wire.PermitRequest{Router: "router", Demands: []*wire.PermitDemand{{Server: 1}}}))
		tell(now)
		is.Equal(h.servers[1].perSecond(), test.want)
	}

	a.SetPace(now, 1, 5)
	tell(now)
	is.True(h.Limited(1))
	h.Request(now.Add(paceLifetime - time.Millisecond))
	is.True(h.Limited(1))
	h.Request(now.Add(paceLifetime))
	is.True(!h.Limited(1))
}

// reportAgain has the next request tell what backend servers have named.
func (h *Holder) reportAgain() {
	for _, s := range h.servers {
		s.reportedAt = time.Time{}
	}
}

// Guards against a backend server that gets no request any more: a router that has restarted knows its limit from an
// earlier leader only, whose last digest a replica passed on, and the next leader knows none and grants nothing.
func TestLimitFromAnEarlierLeaderGetsPermits(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	earlier, gone := NewAllocator(), NewHolder("gone")
	gone.Heard(t0, t0, 1, 2)
	earlier.Handle(t0, gone.Request(t0))
	h, next := NewHolder("restarted"), NewAllocator()
	h.Told(t0, earlier.Limits(t0, func(Key) bool { return true }))
	served, asked := 0, t0
	for now := t0; now.Sub(t0) < 10*time.Second; now = now.Add(50 * time.Millisecond) {
		h.Want(1, 0)
		if h.HasRoom(now, 1, 0) {
			h.Take(now, 1, 0)
			served++
		} else {
			h.Miss(now, 1, 0)
		}
		if now.Sub(asked) >= h.Interval() {
			asked = now
			h.Receive(now, now, next.Handle(now, h.Request(now)))
		}
	}
	t.Logf("%d requests in 10 s", served)
	is.True(h.Limited(1))
	is.True(served >= 16 && served <= 21) // 2 a second, without those of the first second
}

// The leader needs the rate of calls before a server starts, when there are no limits.
func TestRatesAreReportedWithoutLimits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := NewHolder("router")
	h.CountCall("lab")
	is.Equal(h.Request(now), nil) // since when is not known
	for range 2 * maxServices {
		for i := range 2 * maxServices {
			h.CountCall(string(rune('a' + i)))
		}
	}
	is.Equal(h.Request(now.Add(ratesInterval/2)), nil)
	req := h.Request(now.Add(2 * ratesInterval))
	is.Equal(len(req.GetRates()), maxServices)
	is.Equal(req.GetRates()[0].GetPerSecond(), float32(maxServices))
	is.Equal(h.Request(now.Add(3 * ratesInterval)).GetRates()[0].GetPerSecond(), float32(0)) // none any more
	is.Equal(h.Request(now.Add(4*ratesInterval)), nil)
}
