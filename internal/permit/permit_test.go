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
