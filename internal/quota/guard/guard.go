// Package guard keeps the calls that a router takes within the quotas of their client accounts. It
// makes a quota.Holder safe for concurrent use, and follows each call from its admission until it
// is known to run, or not to.
package guard

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

const (
	// ticketAge is the age from which units that a call has taken, and that are not known
	// to be used, are taken anew before the call is sent. Units expire at routers that get no
	// reply from the leader: a process that was paused would send calls on expired ones.
	ticketAge = time.Second
	// contactRetryAfter is the Retry-After time of a router that the leader has not
	// answered for so long that its units have expired. Routers ask several times a second.
	contactRetryAfter = time.Second
	// Calls of accounts that were refused within refusalTime ask the leader at once only as
	// often as the holder allows. Those of other accounts always do, gatherTime after the
	// first one: the calls of one account over its quota would otherwise use up what the holder
	// allows, and calls of others would wait in vain.
	refusalTime = time.Second
	gatherTime  = 20 * time.Millisecond
	// logInterval is the time between two log lines about the refusals of an account.
	logInterval = 10 * time.Second
	// maxRows limits the accounts in the metrics and in one round of log lines.
	maxRows = 64
)

// Guard keeps the calls of client accounts within their quotas. It is safe for concurrent
// use. Its times are those of package steady.
type Guard struct {
	// used is set once a call of an account with a quota has come. Until then nothing is
	// locked and nothing is sent.
	used atomic.Bool

	mu     sync.Mutex
	holder *quota.Holder
	// fills is the number of requests to the leader so far, and answered the newest of them
	// whose reply was used.
	fills, answered uint64
	// replied is closed when a reply was used, and then replaced.
	replied chan struct{}
	// gathering is set while a request to the leader waits for gatherTime.
	gathering bool
	// accounts holds what is shown of each account.
	accounts map[quota.Key]*accountCounts
	loggedAt time.Time
}

// accountCounts counts the calls of one account.
type accountCounts struct {
	name            string
	served, refused int64
	// logged is the value of refused in the last log line.
	logged int64
	// refusedAt is the time of the last refusal.
	refusedAt time.Time
	// short is the newest request to the leader to which it granted less than was needed.
	short uint64
}

// New returns a Guard that holds nothing.
func New() *Guard {
	q := &Guard{holder: quota.NewHolder(), replied: make(chan struct{}), accounts: map[quota.Key]*accountCounts{}, loggedAt: steady.Now()}
	shown.Store(q)
	return q
}

// Use is what one call uses of the quota of its account. The zero value is that of a call
// without a quota. It is not safe for concurrent use.
type Use struct {
	guard *Guard
	key   quota.Key
	limit quota.Limit
	// ticket holds the units that the call has taken and that are not known to be used; nil
	// if there are none.
	ticket  *quota.Ticket
	takenAt time.Time
	// sent is set while an attempt is under way that may run the call.
	sent bool
}

// Take takes the cost of a call. If the router has too little, it asks the leader by exchange
// and waits until the leader grants it or replies that there is too little, for at most
// quota.NeedTime.
func (q *Guard) Take(ctx context.Context, account *wire.Account, cost uint64, exchange func()) (Use, error) {
	limit, limited := quota.LimitOf(account.GetQuota())
	if !limited {
		return Use{}, nil
	}
	q.used.Store(true)
	use := Use{guard: q, key: quota.KeyOf(account.GetName()), limit: limit}
	ctx, cancel := context.WithTimeout(ctx, quota.NeedTime)
	defer cancel()
	fill := uint64(0) // the first request to the leader that covers the need; 0 before it is recorded
	for {
		replied, err := use.tryTake(account.GetName(), cost, &fill, ctx.Err() != nil, exchange)
		if replied == nil {
			return use, err
		}
		select {
		case <-replied:
		case <-ctx.Done():
		}
	}
}

// tryTake takes units or refuses the call, or returns a channel that is closed when there is a
// reason to try again.
func (u *Use) tryTake(account string, cost uint64, fill *uint64, last bool, exchange func()) (<-chan struct{}, error) {
	q, now := u.guard, steady.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := q.accounts[u.key]
	if counts == nil {
		counts = &accountCounts{name: account}
		q.accounts[u.key] = counts
	}
	if ticket, ok := q.holder.Take(now, u.key, u.limit, cost); ok {
		u.ticket, u.takenAt = ticket, now
		counts.served++
		return nil, nil
	}
	if !last && counts.short >= *fill && *fill > 0 {
		last = true
	}
	// Calls that came later may have taken what was granted for this one: it is asked for again.
	if !last && (*fill == 0 || q.answered >= *fill) {
		*fill = q.fills + 1
		switch asks := q.holder.Need(now, u.key, cost); {
		case asks:
			go exchange()
		case !q.gathering && now.Sub(counts.refusedAt) >= refusalTime:
			q.gathering = true
			time.AfterFunc(gatherTime, func() { q.gathered(exchange) })
		}
		return q.replied, nil
	}
	if !last {
		return q.replied, nil
	}
	counts.refused++
	counts.refusedAt = now
	return nil, q.refusal(now, u.key, cost)
}

// gathered asks the leader for what has been needed in gatherTime.
func (q *Guard) gathered(exchange func()) {
	q.mu.Lock()
	q.gathering = false
	q.mu.Unlock()
	exchange()
}

// refusal returns the error of a call for which there are no units. q.mu must be held.
func (q *Guard) refusal(now time.Time, key quota.Key, cost uint64) error {
	if q.holder.OutOfContact(now, key) {
		return fault.New(fault.Unavailable, fault.NotRun, "the units of the account's quota have expired: no reply from the leader").WithRetryAfter(contactRetryAfter)
	}
	return fault.New(fault.AccountLimit, fault.NotRun, "the call costs %d units, more than is left of the account's quota", cost).WithRetryAfter(q.holder.RetryAfter(now, key, cost))
}

// BeginAttempt prepares for an attempt as Renew does, and records that it may run the call until
// EndAttempt is called.
func (u *Use) BeginAttempt() error {
	if err := u.Renew(); err != nil {
		return err
	}
	u.sent = true
	return nil
}

// Renew makes sure that the units of a call that has not run yet are valid. Units that were taken
// long ago are taken anew; if there are none any more, it returns the refusal of the call.
func (u *Use) Renew() error {
	if u.ticket == nil {
		return nil
	}
	if now := steady.Now(); now.Sub(u.takenAt) >= ticketAge {
		q, cost := u.guard, u.ticket.Cost()
		q.mu.Lock()
		defer q.mu.Unlock()
		q.holder.Settle(now, u.ticket, false)
		ticket, ok := q.holder.Take(now, u.key, u.limit, cost)
		u.ticket, u.takenAt = ticket, now
		if !ok {
			u.ticket = nil
			if counts := q.accounts[u.key]; counts != nil {
				counts.served--
				counts.refused++
			}
			return q.refusal(now, u.key, cost)
		}
	}
	return nil
}

// EndAttempt records that an attempt has ended, and whether it may have run the call.
func (u *Use) EndAttempt(ran bool) {
	u.sent = false
	if ran {
		u.settle(true)
	}
}

// Spend records that the call runs.
func (u *Use) Spend() { u.settle(true) }

// End ends the use at the end of the call. Units of a call that has not run are given back.
func (u *Use) End() { u.settle(u.sent) }

func (u *Use) settle(ran bool) {
	if u.ticket == nil {
		return
	}
	u.guard.mu.Lock()
	defer u.guard.mu.Unlock()
	u.guard.holder.Settle(steady.Now(), u.ticket, ran)
	u.ticket = nil
}

// Fill adds what is needed of quotas to a request to the leader. It returns the number of the
// request, or 0 if nothing is needed.
func (q *Guard) Fill(now time.Time, req *wire.PermitRequest) uint64 {
	if !q.used.Load() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logRefusals(now)
	if !q.holder.Fill(now, req) {
		return 0
	}
	q.fills++
	return q.fills
}

// Received records the reply to the request with the given number.
func (q *Guard) Received(sentAt time.Time, fill uint64, req *wire.PermitRequest, reply *wire.PermitReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Receive(steady.Now(), sentAt, req, reply)
	if fill != q.fills {
		return // the holder uses the reply to the newest request only
	}
	q.answered = fill
	for _, grant := range reply.GetQuotas() {
		if counts := q.accounts[quota.AccountKey(grant.GetAccount())]; counts != nil && grant.GetWaitMs() > 0 {
			counts.short = fill
		}
	}
	close(q.replied)
	q.replied = make(chan struct{})
}

// logRefusals logs the accounts whose calls were refused since the last time. q.mu must be held.
func (q *Guard) logRefusals(now time.Time) {
	if now.Sub(q.loggedAt) < logInterval {
		return
	}
	interval := now.Sub(q.loggedAt)
	q.loggedAt = now
	status := map[quota.Key]quota.AccountStatus{}
	for _, s := range q.holder.Status(now) {
		status[s.Key] = s
	}
	lines := 0
	for key, counts := range q.accounts {
		if refused := counts.refused - counts.logged; refused > 0 && lines < maxRows {
			lines++
			counts.logged = counts.refused
			s := status[key]
			event.QuotaRefusals(event.Quota{Account: counts.name, PerSecond: s.Limit.PerSecond, Burst: s.Limit.Burst, Demand: s.PerSecond, Level: s.Level, Held: s.Held}, refused, interval)
		}
		if _, known := status[key]; !known {
			delete(q.accounts, key) // without calls for a while
		}
	}
}

// Row is what the metrics show of an account at this router, in units of its quota.
type Row struct {
	// Rate and Burst are the quota, and Demand is what calls at this router ask for a second.
	Rate, Burst, Demand float64
	// Left is what the router can use, and Held what calls have taken that are not known to
	// run.
	Left, Held float64
	// Served and Refused count calls.
	Served, Refused int64
}

// shown is what the metrics are about.
var shown atomic.Pointer[Guard]

func init() {
	expvar.Publish("router_quotas", expvar.Func(func() any { return shown.Load().Rows() }))
}

// Rows returns a row for each of the accounts with the largest demand, by name.
func (q *Guard) Rows() map[string]Row {
	if q == nil || !q.used.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	status := q.holder.Status(steady.Now())
	slices.SortStableFunc(status, func(a, b quota.AccountStatus) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	rows := map[string]Row{}
	for _, s := range status[:min(len(status), maxRows)] {
		if counts := q.accounts[s.Key]; counts != nil {
			rows[counts.name] = Row{s.Limit.PerSecond, s.Limit.Burst, s.PerSecond, s.Level, s.Held, counts.served, counts.refused}
		}
	}
	return rows
}
