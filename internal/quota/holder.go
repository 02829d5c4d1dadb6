package quota

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

const (
	// demandTime is the time over which the demand of a router is averaged.
	demandTime = time.Second
	// typicalFall is the part by which the cost of a large request falls with each smaller one.
	typicalFall = 0.05
	// renewTime is the time after which an account of which units are held is in a request again,
	// so that they don't expire and the leader sees what is unused.
	renewTime = time.Second
	// earlyPerSecond limits exchanges for single requests, and earlyBurst how many may follow one
	// another at once: three in each 250 ms. Requests come in bursts, so some are saved up.
	earlyPerSecond = 12
	earlyBurst     = 12
	// idleTime is how long an account is kept after its last request.
	idleTime = 30 * time.Second
	// answerTime is the time after which an unanswered request counts against the contact.
	answerTime = 50 * time.Millisecond
	// firstRetryAfter is the time after which a caller comes back if the leader named none.
	firstRetryAfter = 250 * time.Millisecond
)

// Holder keeps the units of one router.
type Holder struct {
	incarnation uint64
	// number is that of the newest request, and answered that of the newest one whose reply was
	// used.
	number, answered uint64
	// lastAnswer is the send time of the last request that was answered. unansweredSince is the
	// send time of the first one after it; zero if there is none.
	lastAnswer, unansweredSince time.Time
	accounts                    map[Key]*balance
	// early is the number of exchanges that may be asked for before one is due, at time earlyAt.
	early   float64
	earlyAt time.Time
	// asked is set if an exchange was asked for and Fill was not called since.
	asked bool
}

// balance is what a router has of one account.
type balance struct {
	limit Limit
	// units is what may be used until expires.
	units   float64
	expires time.Time
	// taken is the cost of requests not known to run yet.
	taken float64
	// returned is what was given back since the last request to the leader.
	returned float64
	// keep is the most that the leader wants the router to hold.
	keep float64
	// needs holds the requests that wait for an exchange.
	needs []need
	// perSecond is the mean rate of demand at time demandAt.
	perSecond float64
	demandAt  time.Time
	// typical is the cost of a large recent request.
	typical float64
	// changed is set if there was demand, or a request was found to run, since the last request to
	// the leader. Until the leader hears of it, units that were used take room from what is refilled.
	changed    bool
	reportedAt time.Time
	// wait is the time at which the leader expects units for what was not granted, and
	// nextReturn when the next rejected caller is to come back.
	wait, nextReturn time.Time
}

// need is a request that waits for an exchange.
type need struct {
	cost float64
	at   time.Time
}

// Ticket is what a request has taken.
type Ticket struct {
	key  Key
	cost uint64
	unit wire.QuotaUnit
}

// Cost returns what the request costs.
func (t *Ticket) Cost() uint64 { return t.cost }

// NewHolder returns a Holder that holds nothing.
func NewHolder() *Holder {
	return &Holder{incarnation: rand.Uint64() | 1, accounts: map[Key]*balance{}, early: earlyBurst}
}

// Take takes the cost of a request, and reports whether it may run. The ticket is settled once.
func (h *Holder) Take(now time.Time, key Key, limit Limit, cost uint64) (*Ticket, bool) {
	b := h.accounts[key]
	if b == nil {
		b = &balance{limit: limit}
		h.accounts[key] = b
	}
	b.setLimit(limit)
	b.dropNeeds(now)
	ahead := 0.0
	if h.unansweredSince.IsZero() || now.Sub(h.unansweredSince) < NeedTime {
		ahead = b.ahead(float64(cost))
	}
	if b.usable(now)-ahead < float64(cost) {
		return nil, false
	}
	b.units -= float64(cost)
	b.taken += float64(cost)
	if !b.served(float64(cost)) {
		b.demand(now, float64(cost))
	}
	return &Ticket{key: key, cost: cost, unit: limit.Unit}, true
}

// setLimit notes the limit in force. What was granted for a higher one is scaled.
func (b *balance) setLimit(limit Limit) {
	if b.limit == limit {
		return
	}
	if b.limit.Unit != limit.Unit {
		*b = balance{limit: limit}
		return
	}
	if before, after := b.limit.PerSecond+b.limit.Burst, limit.PerSecond+limit.Burst; after < before {
		b.units = math.Floor(b.units * after / before)
	}
	b.limit = limit
}

// usable returns what may be used.
func (b *balance) usable(now time.Time) float64 {
	if !now.Before(b.expires) {
		return 0
	}
	return b.units
}

// ahead returns the cost of the requests that wait for longer than one with a cost. What was
// granted for them is theirs: otherwise small requests would use up what large ones wait for.
func (b *balance) ahead(cost float64) float64 {
	sum := 0.0
	for _, n := range b.needs {
		if n.cost == cost {
			break
		}
		sum += n.cost
	}
	return sum
}

// served removes the request that waits with a cost, and reports whether there was one.
func (b *balance) served(cost float64) bool {
	i := slices.IndexFunc(b.needs, func(n need) bool { return n.cost == cost })
	if i < 0 {
		return false
	}
	b.needs = slices.Delete(b.needs, i, i+1)
	return true
}

// dropNeeds removes the requests that have waited for NeedTime.
func (b *balance) dropNeeds(now time.Time) {
	b.needs = slices.DeleteFunc(b.needs, func(n need) bool { return now.Sub(n.at) >= NeedTime })
}

// needed returns the cost of the requests that wait.
func (b *balance) needed() float64 {
	sum := 0.0
	for _, n := range b.needs {
		sum += n.cost
	}
	return sum
}

// demand counts a request.
func (b *balance) demand(now time.Time, cost float64) {
	b.perSecond = b.rate(now) + cost/demandTime.Seconds()
	b.demandAt = now
	b.changed = true
	b.typical = typicalWith(b.typical, cost, typicalFall)
}

// rate returns the mean rate of demand.
func (b *balance) rate(now time.Time) float64 { return decayed(b.perSecond, now.Sub(b.demandAt)) }

// decayed returns what a mean rate over demandTime has become after a time without demand.
func decayed(perSecond float64, elapsed time.Duration) float64 {
	if perSecond == 0 || elapsed <= 0 {
		return perSecond
	}
	return perSecond * math.Exp(-elapsed.Seconds()/demandTime.Seconds())
}

// Need records a request for which Take failed, so that the next exchange asks for its units. It
// reports whether to exchange now. The caller calls Take again each time a reply was received,
// whoever asked, and rejects the request when it fails NeedTime after this call: a reply that was
// overtaken by a later request is dropped, and the later one asks again for all that wait.
func (h *Holder) Need(now time.Time, key Key, cost uint64) (askNow bool) {
	b := h.accounts[key]
	if b == nil {
		return false // not from a failed Take
	}
	b.dropNeeds(now)
	b.needs = append(b.needs, need{float64(cost), now})
	b.demand(now, float64(cost))
	if h.earlyAt.IsZero() {
		h.earlyAt = now
	}
	h.early = min(earlyBurst, h.early+max(0, now.Sub(h.earlyAt).Seconds())*earlyPerSecond)
	h.earlyAt = now
	if h.asked || h.early < 1 {
		return false
	}
	h.early--
	h.asked = true
	return true
}

// Settle ends a ticket: its request runs, or it is known not to have run and never to run. A nil
// ticket is none.
func (h *Holder) Settle(now time.Time, t *Ticket, ran bool) {
	if t == nil {
		return
	}
	b := h.accounts[t.key]
	if b == nil || b.limit.Unit != t.unit {
		return
	}
	cost := float64(t.cost)
	b.taken = max(0, b.taken-cost)
	switch {
	case ran:
		b.changed = true
	case now.Before(b.expires):
		b.units += cost
	default:
		b.returned += cost
	}
}

// RetryAfter returns when the caller of a rejected request should come back: when the leader
// expects units for it, and one caller after the other at the rate of the quota.
func (h *Holder) RetryAfter(now time.Time, key Key, cost uint64) time.Duration {
	b := h.accounts[key]
	if b == nil || b.limit.PerSecond <= 0 {
		return firstRetryAfter
	}
	at := now.Add(firstRetryAfter)
	for _, t := range []time.Time{b.wait, b.nextReturn} {
		if t.After(at) {
			at = t
		}
	}
	at = minTime(at, now.Add(maxRetryAfter))
	b.nextReturn = minTime(at.Add(time.Duration(min(float64(cost)/b.limit.PerSecond, maxRetryAfter.Seconds())*float64(time.Second))), now.Add(maxRetryAfter))
	return at.Sub(now)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// OutOfContact reports whether no exchange has succeeded within Lifetime, so that a request is
// rejected for that reason and not for the quota.
func (h *Holder) OutOfContact(now time.Time, _ Key) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) >= answerTime && now.Sub(h.lastAnswer) >= Lifetime
}

// Fill adds to a request to the leader what is needed of quotas, and the incarnation and number.
// It returns false if nothing is needed.
func (h *Holder) Fill(now time.Time, req *wire.PermitRequest) bool {
	h.asked = false
	inContact := h.answered == h.number
	for _, key := range h.due(now) {
		b := h.accounts[key]
		if inContact {
			// If the last request was not answered, this one might not be either, and what
			// it gives back would be lost.
			b.giveBack()
		}
		req.Quotas = append(req.Quotas, &wire.QuotaDemand{
			Account:   accountOf(key, b.limit.Unit),
			Held:      units(b.units + b.taken),
			Returned:  units(b.returned),
			Needed:    units(b.needed() - b.units),
			PerSecond: units(b.rate(now)),
			Typical:   units(b.typical),
		})
		b.returned, b.changed, b.reportedAt = 0, false, now
	}
	if len(req.Quotas) == 0 {
		return false
	}
	h.number++
	if h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
	req.Incarnation, req.Number, req.Answered = h.incarnation, h.number, h.answered
	return true
}

// due returns the accounts that the next request to the leader is about, at most MaxAccounts: those
// with requests that wait first, then those reported longest ago. It forgets idle accounts.
func (h *Holder) due(now time.Time) []Key {
	var keys []Key
	for key, b := range h.accounts {
		b.expire(now)
		b.dropNeeds(now)
		if b.idle(now) {
			delete(h.accounts, key)
		} else if b.due(now) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y Key) int {
		a, b := h.accounts[x], h.accounts[y]
		return cmp.Or(cmp.Compare(min(1, len(b.needs)), min(1, len(a.needs))), a.reportedAt.Compare(b.reportedAt), cmp.Compare(x, y))
	})
	return keys[:min(len(keys), MaxAccounts)]
}

// expire ends the units whose time has passed. They were not used.
func (b *balance) expire(now time.Time) {
	if !now.Before(b.expires) {
		b.returned += b.units
		b.units = 0
	}
}

func (b *balance) idle(now time.Time) bool {
	return now.Sub(b.demandAt) > idleTime && b.units == 0 && b.taken == 0 && b.returned == 0 && len(b.needs) == 0
}

// due reports whether the next request to the leader is about the account.
func (b *balance) due(now time.Time) bool {
	return len(b.needs) > 0 || b.returned > 0 || b.changed || b.surplus() > 0 || b.units+b.taken > 0 && now.Sub(b.reportedAt) >= renewTime
}

// surplus returns what exceeds what the leader wants the router to hold and what requests wait
// for.
func (b *balance) surplus() float64 {
	return max(0, math.Floor(b.units-max(b.keep, b.needed())))
}

// giveBack returns the surplus.
func (b *balance) giveBack() {
	surplus := b.surplus()
	b.units -= surplus
	b.returned += surplus
}

// Receive records the reply to a request that Fill has filled and that was sent at time sentAt. A
// reply to any but the newest request is dropped.
func (h *Holder) Receive(now, sentAt time.Time, req *wire.PermitRequest, reply *wire.PermitReply) {
	if req.GetIncarnation() != h.incarnation || req.GetNumber() != h.number || h.answered == h.number {
		return
	}
	h.answered = h.number
	if sentAt.Sub(h.lastAnswer) >= renewTime {
		h.early = earlyBurst // what was asked for without an answer does not count
	}
	h.lastAnswer, h.unansweredSince = sentAt, time.Time{}
	expires := sentAt.Add(Lifetime)
	for _, grant := range reply.GetQuotas() {
		key, unit := splitAccount(grant.GetAccount())
		b := h.accounts[key]
		if b == nil || b.limit.Unit != unit || !now.Before(expires) {
			continue
		}
		b.expire(now)
		b.units += float64(grant.GetGranted())
		if !grant.GetWithheld() {
			b.keep = float64(grant.GetKeep())
			b.expires = expires
		}
		b.wait = time.Time{}
		if ms := grant.GetWaitMs(); ms > 0 {
			b.wait = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
}

// Status returns the accounts of which something is held or was asked for lately.
func (h *Holder) Status(now time.Time) []AccountStatus {
	var out []AccountStatus
	for _, key := range slices.Sorted(maps.Keys(h.accounts)) {
		b := h.accounts[key]
		out = append(out, AccountStatus{Key: key, Limit: b.limit, Level: b.usable(now), Held: b.taken, PerSecond: b.rate(now)})
	}
	return out
}
