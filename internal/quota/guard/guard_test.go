package guard

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

// exchange has a Guard's needs granted.
func exchange(q *Guard) {
	req, sentAt := &wire.PermitRequest{}, steady.Now()
	fill := q.Fill(sentAt, req)
	reply := &wire.PermitReply{}
	for _, d := range req.GetQuotas() {
		reply.Quotas = append(reply.Quotas, &wire.QuotaGrant{Account: d.GetAccount(), Granted: d.GetNeeded(), Keep: 10})
	}
	if fill > 0 {
		q.Received(sentAt, fill, req, reply)
	}
}

// Guards against one request to the leader for each call that waits, and against calls that are
// refused since others have taken what was granted for them.
func TestWaitingCallsShareExchanges(t *testing.T) {
	// A test that gets no processor time for quota.NeedTime would see all calls refused.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const calls = 120
		q := New()
		account := &wire.Account{Name: "one", Quota: &wire.Quota{PerSecond: 1000, Burst: 1000, Unit: wire.QuotaUnit_QUOTA_UNIT_REQUESTS}}
		var exchanges, refused atomic.Int32
		var callers sync.WaitGroup
		for range calls {
			callers.Go(func() {
				use, err := q.Take(t.Context(), account, 1, func() {
					exchanges.Add(1)
					time.Sleep(time.Millisecond)
					exchange(q)
				})
				if err != nil {
					refused.Add(1)
				}
				use.Spend()
			})
		}
		callers.Wait()
		is.Equal(refused.Load(), int32(0))
		is.True(exchanges.Load() < calls/4)
		is.Equal(q.Rows()["one"].Served, int64(calls))
		is.Equal(q.Rows()["one"].Held, 0.0)
	})
}

// Guards against a router that was paused and sends a call on units that have expired meanwhile.
func TestOldUnitsAreTakenAnew(t *testing.T) {
	is := is.New(t)
	q := New()
	account := &wire.Account{Name: "one", Quota: &wire.Quota{PerSecond: 10, Burst: 10, Unit: wire.QuotaUnit_QUOTA_UNIT_REQUESTS}}
	use, err := q.Take(t.Context(), account, 1, func() { exchange(q) })
	is.NoErr(err)
	use.takenAt = use.takenAt.Add(-ticketAge)
	is.NoErr(use.BeginAttempt()) // the units are still valid
	use.EndAttempt(false)
	is.Equal(q.Rows()["one"].Held, 1.0)
	// The holder has got no reply for Lifetime.
	time.Sleep(quota.Lifetime)
	err = use.BeginAttempt()
	is.True(fault.Is(err, fault.AccountLimit) || fault.Is(err, fault.Unavailable))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
	use.End()
	is.Equal(q.Rows()["one"].Held, 0.0)
	is.Equal(q.Rows()["one"].Refused, int64(1))
}
