package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

const (
	// smoothTime is the time over which the Allocator averages the demand that routers report:
	// where an account sends a request every few seconds to each router, the last one says little
	// of where the next one comes.
	smoothTime = 5 * time.Second
	// gapRequests is the number of typical requests that a router's mean demand is due without any
	// coming after which its demand counts as fallen, at the earliest after minGap and at the latest
	// after maxGap. Units follow a demand that moves away, but not each chance gap.
	gapRequests = 2.0
	minGap      = 700 * time.Millisecond
	maxGap      = 5 * time.Second
	// reportFall is the part by which the cost of a large request falls with each report of a smaller
	// one. It is small, so that what the leader keeps does not vary with single requests.
	reportFall = 0.005
	// holdTime is the time of mean demand that routers hold at most. It outlasts an election of 3.4 s
	// with twice the mean demand.
	holdTime = 8 * time.Second
	// reserveRequests is the number of typical requests for which the leader keeps units, so that
	// demand may move to other routers. With 2, demand of 16,000 tokens a second that moved each 7 s
	// was rejected more often than once in 1,000.
	reserveRequests = 3.0
	// Where all demand comes to one router for steadyTime, one typical request is enough, and the
	// router has more for a time without a leader.
	steadyRequests = 1.0
	steadyTime     = 20 * time.Second
	// reserveTime is the time of demand for which it keeps units beside them: until routers report
	// what they have used, it takes room from what is refilled.
	reserveTime = 200 * time.Millisecond
	// minHoldRatio is the least part of a typical request that is worth holding at a router. Less
	// serves hardly any request there, and is missed by others.
	minHoldRatio = 0.5
	// gateRequests is the number of typical requests that must be there, with the debt, before one
	// is granted while demand exceeds the rate. Otherwise small requests take each unit as it comes,
	// and large ones get none.
	gateRequests = 2.4
	// overRatio and underRatio are the ratios of demand to rate between which it neither begins
	// nor ends to count as more than the rate.
	overRatio, underRatio = 1.0, 0.9
	// overLevel is the part of the capacity below which the level must be for that: a few requests
	// exceed a low rate for seconds without need to turn any away.
	overLevel = 0.25
	// sumInterval is the time between two passes over all routers of an account. Passing over 400
	// routers at each of 4,000 requests a second would keep a core busy.
	sumInterval = 50 * time.Millisecond
	// sweepInterval is the time between two searches for accounts that are full.
	sweepInterval = time.Second
	// runTime is how long a run of a router is remembered after its last request, to tell
	// duplicates of its requests.
	runTime = 30 * time.Second
	// numberWindow is the number of requests of a router within which a late one is told from a
	// duplicate.
	numberWindow = 64
)

// Allocator shares out the quotas of all accounts.
//
// What is not used, at the leader and at all routers together, is at most S (Tolerance.capacity)
// at any time, and grows at the rate. A router's units leave that sum when they are known to be
// used, or when Lifetime has passed since its last request: then they have expired there.
type Allocator struct {
	tolerance   Tolerance
	recentTerms int
	// started is as for NewAllocator.
	started time.Time
	// withheld is set until Resume is called if too many terms have granted units lately.
	withheld bool
	accounts map[Key]*account
	// routers holds the runs of routers by incarnation.
	routers   map[uint64]*run
	nextSweep time.Time
}

// run is one run of a router.
type run struct {
	// number is that of the newest request. Bit i of seen is set if the request number-i came.
	number, seen uint64
	at           time.Time
	// pending holds what was granted in the reply to the newest request.
	pending []pendingGrant
}

type pendingGrant struct {
	key    Key
	unit   wire.QuotaUnit
	amount float64
}

// account is the quota of one account.
type account struct {
	limit Limit
	// level is what may be granted. It is below 0 after a grant in debt.
	level   float64
	updated time.Time
	// lost is what left the sum without being known to be used, and may still be returned. It
	// gives way to what is refilled, so that the sum with it is at most S.
	lost   float64
	shares map[uint64]*share
	// held, earlier and weight are sums over shares at time summedAt, kept up to date in between
	// but for what has expired.
	held, earlier, weight float64
	summedAt              time.Time
	// demand is that of all routers.
	demand demand
	// typical is the cost of a large recent request.
	typical float64
	// over is set while demand exceeds the rate and what was saved up.
	over bool
	// router is the run of a router to which demand came last, and movedAt the time at which it was
	// another one than before.
	router  uint64
	movedAt time.Time
	// queued is what callers were told to wait for.
	queued float64
}

// share is what one run of a router has of an account.
type share struct {
	// held is what the router had at its last request and what it was granted since, and earlier
	// the part of it that earlier leaders granted: what is used counts as granted by this one.
	held, earlier float64
	demand        demand
	// at is the time of the router's last request about the account.
	at time.Time
}

// demand is a demand in units a second.
type demand struct {
	// perSecond is a mean over demandTime, and smooth its mean over smoothTime, at time at.
	perSecond, smooth float64
	at                time.Time
}

// advance brings the demand up to date. Without a report it decays.
func (d *demand) advance(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	if d.perSecond > 0 || d.smooth > 0 {
		later := decayed(d.perSecond, elapsed)
		mean := (d.perSecond - later) * demandTime.Seconds() / elapsed.Seconds()
		d.smooth += (mean - d.smooth) * (1 - math.Exp(-elapsed.Seconds()/smoothTime.Seconds()))
		d.perSecond = later
	}
	d.at = now
}

// weight returns the demand by which units are shared out, if a large request costs typical.
func (d *demand) weight(typical float64) float64 {
	if d.smooth <= 0 {
		return 0
	}
	gap := min(max(gapRequests*typical/d.smooth, minGap.Seconds()), maxGap.Seconds())
	return min(d.smooth, d.perSecond*math.Exp(gap/demandTime.Seconds()))
}

// NewAllocator returns the Allocator of a leader whose term begins. recentTerms is the number of
// other terms, of any leader, that this process has seen begin to grant within Window + Lifetime
// before: each may have granted units that are not used yet. If Withholds(recentTerms), nothing is
// granted until Resume is called, and started is not when this term began but a time at which the
// last one of those terms had ended.
func NewAllocator(t Tolerance, recentTerms int, started time.Time) *Allocator {
	return &Allocator{
		tolerance: t, recentTerms: recentTerms, started: started, withheld: Withholds(recentTerms),
		accounts: map[Key]*account{}, routers: map[uint64]*run{}, nextSweep: started.Add(sweepInterval),
	}
}

// MayResume reports whether units are withheld although those of earlier leaders have expired: a leader that
// withholds units does not extend their lifetime.
func (a *Allocator) MayResume(now time.Time) bool { return a.withheld && !a.young(now) }

// Resume ends the time in which units are withheld. The caller has checked MayResume, and all replicas know
// that this term grants units from now on.
//
// What could have been granted since the last term with grants ended can be granted now: a window that
// holds units of that term has no grants of the time in between.
func (a *Allocator) Resume(now time.Time) {
	a.withheld = false
	for _, acc := range a.accounts {
		for _, s := range acc.shares {
			s.earlier = 0
		}
		acc.sum(a, now)
		acc.lost, acc.updated = 0, now
		acc.level = max(0, min(acc.limit.PerSecond*now.Sub(a.started).Seconds(), acc.room(a, now)+acc.level))
	}
}

// young reports whether units that earlier leaders granted may be held by routers that this one
// has not heard of.
func (a *Allocator) young(now time.Time) bool { return now.Sub(a.started) < Lifetime }

// youngCapacity returns what this leader may have granted and not know to be used, with its
// level, while it is young.
func (a *Allocator) youngCapacity(l Limit) float64 {
	switch a.recentTerms {
	case 0:
		return a.tolerance.extra(l) / 4
	case 1:
		return a.tolerance.extra(l) / 8
	}
	return 0
}

// debt returns how far the level may fall below 0 for one request. After two terms in a short time
// the tolerance is used up by what they granted.
func (a *Allocator) debt(now time.Time, l Limit) float64 {
	if a.recentTerms > 0 && now.Sub(a.started) < a.tolerance.Window+Lifetime {
		return 0
	}
	return a.tolerance.extra(l) / 8
}

// withhold answers a router's demand while units are withheld.
func (acc *account) withhold(a *Allocator, now time.Time, d *wire.QuotaDemand) *wire.QuotaGrant {
	out := &wire.QuotaGrant{Account: d.GetAccount(), Withheld: true}
	if unmet := float64(d.GetNeeded()); unmet > 0 {
		acc.queued = min(acc.queued+unmet, acc.limit.PerSecond*maxRetryAfter.Seconds())
		saved := min(acc.limit.PerSecond*Lifetime.Seconds(), a.tolerance.capacity(acc.limit))
		seconds := a.started.Add(Lifetime).Sub(now).Seconds() + max(0, acc.queued-saved)/acc.limit.PerSecond
		out.WaitMs = uint32(max(1, 1000*min(seconds, maxRetryAfter.Seconds())))
	}
	return out
}

// Handle answers what a router's request says of quotas. limit returns the limit in force of an
// account. The caller makes sure that its term has not ended.
func (a *Allocator) Handle(now time.Time, req *wire.PermitRequest, limit func(Key) (Limit, bool)) []*wire.QuotaGrant {
	a.sweep(now)
	if req.GetIncarnation() == 0 {
		return nil
	}
	r := a.routers[req.GetIncarnation()]
	if r == nil {
		r = &run{}
		a.routers[req.GetIncarnation()] = r
	}
	before := r.number
	newest, first := r.note(req.GetNumber())
	if !first {
		return nil
	}
	r.at = now
	if !newest {
		// What it says of the router is out of date, but not what was given back.
		for _, d := range req.GetQuotas() {
			if acc := a.known(now, d, limit); acc != nil {
				acc.credit(a, now, 0, float64(d.GetReturned()))
			}
		}
		return nil
	}
	if req.GetAnswered() < before {
		a.takeBack(now, req.GetIncarnation(), r.pending)
	}
	r.pending = r.pending[:0]
	gap := before > 0 && req.GetNumber() > before+1
	var grants []*wire.QuotaGrant
	for _, d := range req.GetQuotas() {
		acc := a.known(now, d, limit)
		if acc == nil {
			continue
		}
		s := acc.report(a, now, req.GetIncarnation(), d, gap)
		if a.withheld {
			acc.typical = typicalWith(acc.typical, float64(d.GetTypical()), reportFall)
			grants = append(grants, acc.withhold(a, now, d))
			continue
		}
		grant := acc.grant(a, now, s, d)
		// Not before: a large request would raise the gate that it has to pass.
		acc.typical = typicalWith(acc.typical, float64(d.GetTypical()), reportFall)
		if amount := float64(grant.GetGranted()); amount > 0 {
			key, unit := splitAccount(d.GetAccount())
			r.pending = append(r.pending, pendingGrant{key, unit, amount})
		}
		grants = append(grants, grant)
	}
	return grants
}

// note notes the number of a request. It reports whether it is the newest one, and whether it comes
// for the first time; a number too old to tell counts as a duplicate.
func (r *run) note(number uint64) (newest, first bool) {
	if number > r.number {
		if shift := number - r.number; shift < numberWindow {
			r.seen = r.seen<<shift | 1
		} else {
			r.seen = 1
		}
		r.number = number
		return true, true
	}
	age := r.number - number
	if age >= numberWindow || r.seen&(1<<age) != 0 {
		return false, false
	}
	r.seen |= 1 << age
	return false, true
}

// takeBack takes back grants in a reply that the router has not used and will not use.
func (a *Allocator) takeBack(now time.Time, incarnation uint64, grants []pendingGrant) {
	for _, g := range grants {
		acc := a.accounts[g.key]
		if acc == nil || acc.limit.Unit != g.unit {
			continue
		}
		acc.refill(a, now)
		s := acc.shares[incarnation] // not before: refill forgets those whose units have expired
		if s == nil {
			continue
		}
		amount := min(g.amount, s.held)
		acc.setHeld(s, s.held-amount)
		acc.level += amount
		acc.clamp(a, now)
	}
}

// known returns the account that a router asks for, refilled and with the limit in force; nil if
// it has no limit, or the router does not know its unit yet.
func (a *Allocator) known(now time.Time, d *wire.QuotaDemand, limit func(Key) (Limit, bool)) *account {
	key, unit := splitAccount(d.GetAccount())
	l, ok := limit(key)
	if !ok || l.PerSecond <= 0 || l.Unit != unit {
		return nil
	}
	acc := a.accounts[key]
	if acc == nil {
		acc = a.newAccount(now, l)
		a.accounts[key] = acc
	}
	acc.refill(a, now)
	if acc.limit != l {
		acc.setLimit(a, now, l)
	}
	return acc
}

// newAccount returns an account that was not in use since the leader's term began.
func (a *Allocator) newAccount(now time.Time, l Limit) *account {
	acc := &account{limit: l, updated: a.started, summedAt: now, shares: map[uint64]*share{}}
	if now.Sub(a.started) >= a.tolerance.Window+Lifetime {
		// No window that is yet to end has units of earlier leaders in it.
		acc.level, acc.updated = a.tolerance.capacity(l), now
		return acc
	}
	switch {
	case a.withheld:
		acc.updated = now
		return acc
	case Withholds(a.recentTerms): // see Resume
		acc.level, acc.updated = min(l.PerSecond*now.Sub(a.started).Seconds(), a.tolerance.capacity(l)), now
		return acc
	case a.recentTerms == 0:
		acc.level = a.tolerance.extra(l) / 8
	}
	if !a.young(now) {
		acc.advance(a, a.started.Add(Lifetime-1))
	}
	return acc
}

// setLimit changes the limit. What was granted and saved up for a higher limit is scaled.
func (acc *account) setLimit(a *Allocator, now time.Time, l Limit) {
	if acc.limit.Unit != l.Unit {
		// Nothing was used in the new unit, but units of it may be out from before if it changed
		// twice.
		*acc = account{limit: l, level: a.tolerance.extra(l) / 8, updated: now, summedAt: now, shares: map[uint64]*share{}}
		acc.clamp(a, now)
		return
	}
	if before, after := a.tolerance.capacity(acc.limit), a.tolerance.capacity(l); after < before {
		ratio := after / before
		acc.level, acc.lost, acc.queued = acc.level*ratio, acc.lost*ratio, acc.queued*ratio
		acc.held, acc.earlier = acc.held*ratio, acc.earlier*ratio
		for _, s := range acc.shares {
			s.held, s.earlier = s.held*ratio, s.earlier*ratio
		}
	}
	acc.limit = l
	acc.clamp(a, now)
}

// refill brings the account up to date.
func (acc *account) refill(a *Allocator, now time.Time) {
	acc.advance(a, now)
	if now.Sub(acc.summedAt) >= sumInterval {
		acc.sum(a, now)
		acc.clamp(a, now)
	}
}

// advance adds what the rate allows, and what there is room for.
func (acc *account) advance(a *Allocator, now time.Time) {
	elapsed := now.Sub(acc.updated)
	if elapsed <= 0 {
		return
	}
	added := acc.limit.PerSecond * elapsed.Seconds()
	if a.withheld {
		added = 0
	}
	acc.updated = now
	acc.queued = max(0, acc.queued-added)
	acc.level += max(0, min(added, acc.room(a, now)))
	acc.lost = max(0, min(acc.lost, acc.room(a, now)))
}

// room returns what may be added to the level.
func (acc *account) room(a *Allocator, now time.Time) float64 {
	room := a.tolerance.capacity(acc.limit) - acc.held - acc.level
	if a.young(now) {
		room = min(room, a.youngCapacity(acc.limit)-(acc.held-acc.earlier)-acc.level)
	}
	return room
}

// clamp removes from the level what there is no room for.
func (acc *account) clamp(a *Allocator, now time.Time) {
	if room := acc.room(a, now); room < 0 {
		acc.level = max(min(acc.level, 0), acc.level+room)
	}
	acc.lost = max(0, min(acc.lost, acc.room(a, now)))
}

// sum passes over all routers, and forgets those whose units have expired.
func (acc *account) sum(a *Allocator, now time.Time) {
	acc.held, acc.earlier, acc.weight = 0, 0, 0
	for id, s := range acc.shares {
		if now.Sub(s.at) >= Lifetime {
			acc.lost += s.held
			delete(acc.shares, id)
			continue
		}
		s.demand.advance(now)
		acc.held += s.held
		acc.earlier += s.earlier
		acc.weight += s.demand.weight(acc.typical)
	}
	acc.summedAt = now
	acc.demand.advance(now)
	switch {
	case acc.demand.smooth > overRatio*acc.limit.PerSecond && acc.level < overLevel*a.tolerance.capacity(acc.limit):
		acc.over = true
	case acc.demand.smooth < underRatio*acc.limit.PerSecond:
		acc.over = false
	}
}

// setHeld sets what a router holds.
func (acc *account) setHeld(s *share, held float64) {
	earlier := min(s.earlier, held)
	acc.held += held - s.held
	acc.earlier += earlier - s.earlier
	s.held, s.earlier = held, earlier
}

// credit adds returned units to the level: those that the router no longer holds, and those that
// were counted as lost.
func (acc *account) credit(a *Allocator, now time.Time, gone, returned float64) {
	direct := min(returned, gone)
	late := min(returned-direct, acc.lost)
	acc.lost -= late
	acc.level += direct + late
	acc.clamp(a, now)
}

// report notes what a router has and wants. gap is set if a request before this one did not come.
func (acc *account) report(a *Allocator, now time.Time, incarnation uint64, d *wire.QuotaDemand, gap bool) *share {
	s := acc.shares[incarnation]
	if s == nil {
		s = &share{}
		s.demand.at = now
		if a.young(now) {
			// An earlier leader knew the mean.
			s.demand.smooth = float64(d.GetPerSecond())
			acc.demand.advance(now)
			acc.demand.smooth += s.demand.smooth
		}
		acc.shares[incarnation] = s
	}
	held, returned := float64(d.GetHeld()), float64(d.GetReturned())
	before := s.held
	acc.setHeld(s, held)
	switch more := held - before; {
	case more <= 0:
	case a.young(now):
		s.earlier += more
		acc.earlier += more
	default:
		// The router was not heard of for Lifetime, and has taken units that it may still use.
		fromLost := min(more, acc.lost)
		acc.lost -= fromLost
		acc.level = max(min(acc.level, 0), acc.level-(more-fromLost))
	}
	gone := max(0, before-held)
	acc.credit(a, now, gone, returned)
	if gap {
		// The missing request may have returned some of what is gone.
		acc.lost = max(0, min(acc.lost+gone-min(gone, returned), acc.room(a, now)))
	}
	if acc.typical == 0 {
		acc.typical = float64(d.GetTypical())
	}
	weight := s.demand.weight(acc.typical)
	s.demand.advance(now)
	acc.demand.advance(now)
	if float64(d.GetPerSecond()) > s.demand.perSecond+1 && acc.router != incarnation {
		acc.router, acc.movedAt = incarnation, now
	}
	acc.demand.perSecond = max(0, acc.demand.perSecond+float64(d.GetPerSecond())-s.demand.perSecond)
	s.demand.perSecond, s.at = float64(d.GetPerSecond()), now
	acc.weight += s.demand.weight(acc.typical) - weight
	return s
}

// grant answers a router's demand.
func (acc *account) grant(a *Allocator, now time.Time, s *share, d *wire.QuotaDemand) *wire.QuotaGrant {
	out := &wire.QuotaGrant{Account: d.GetAccount()}
	granted := acc.grantNeeded(a, now, float64(d.GetNeeded()), float64(d.GetTypical()))
	if unmet := float64(d.GetNeeded()) - granted; unmet > 0 {
		out.WaitMs = acc.waitMs(a, now, unmet)
	}
	acc.level -= granted
	acc.setHeld(s, s.held+granted)
	target := acc.target(a, now, s)
	free := acc.level - acc.reserve(now)
	if a.young(now) && 2*s.demand.weight(acc.typical) > acc.weight {
		// The level is low by design, and the router with most of the demand may have used up
		// what it held.
		free = max(free, acc.level/2)
	}
	if extra := math.Floor(min(target-s.held, free)); extra > 0 {
		granted += extra
		acc.level -= extra
		acc.setHeld(s, s.held+extra)
	}
	keep := target
	if a.young(now) {
		// What earlier leaders granted can't be granted again.
		keep = max(keep, s.held)
	}
	out.Granted, out.Keep = units(granted), units(keep)
	return out
}

// grantNeeded returns what is granted of what requests need that wait.
func (acc *account) grantNeeded(a *Allocator, now time.Time, needed, typical float64) float64 {
	if needed <= 0 {
		return 0
	}
	gate := 0.0
	if acc.over {
		gate = acc.gate(a, now)
		if acc.level < gate {
			return 0
		}
	}
	available := 0.0
	if acc.level > 0 {
		available = acc.level + a.debt(now, acc.limit)
	}
	if a.young(now) {
		available = min(available, a.youngCapacity(acc.limit)-(acc.held-acc.earlier))
	}
	available = max(0, math.Floor(available))
	if needed <= available {
		return needed
	}
	if some := available; needed > typical && some >= typical {
		return some // for some of the requests that wait
	}
	return 0
}

// gate returns the level from which on units are granted while demand exceeds the rate.
func (acc *account) gate(a *Allocator, now time.Time) float64 {
	gate := min(gateRequests*acc.typical-a.debt(now, acc.limit), a.tolerance.capacity(acc.limit)/2)
	if a.young(now) {
		gate = min(gate, (a.youngCapacity(acc.limit)-(acc.held-acc.earlier))/2)
	}
	return max(gate, 1)
}

// waitMs returns when what is needed and not granted is expected to be there, behind what others
// were told to wait for.
func (acc *account) waitMs(a *Allocator, now time.Time, unmet float64) uint32 {
	missing := unmet + acc.queued - acc.level
	if acc.over {
		missing = max(missing, acc.gate(a, now)-acc.level)
	}
	acc.queued = min(acc.queued+unmet, acc.limit.PerSecond*maxRetryAfter.Seconds())
	seconds := min(max(0, missing)/acc.limit.PerSecond, maxRetryAfter.Seconds())
	return uint32(max(1, seconds*1000))
}

// target returns what a router should hold: its part of what routers may hold by its demand. While
// demand exceeds the rate, routers hold nothing, since small requests would use it up at once.
func (acc *account) target(a *Allocator, now time.Time, s *share) float64 {
	weight := s.demand.weight(acc.typical)
	if acc.over || weight <= 0 {
		return 0
	}
	// Where an account sends requests to many routers, those of the last seconds went to few.
	total := max(acc.weight, acc.demand.smooth, weight)
	pool := a.tolerance.capacity(acc.limit) - acc.reserve(now)
	target := math.Floor(weight / total * min(pool, total*holdTime.Seconds()))
	if target < minHoldRatio*acc.typical {
		return 0
	}
	return target
}

// reserve returns what the leader keeps.
func (acc *account) reserve(now time.Time) float64 {
	requests := reserveRequests
	if now.Sub(acc.movedAt) > steadyTime {
		requests = steadyRequests
	}
	return requests*acc.typical + reserveTime.Seconds()*acc.demand.smooth
}

// sweep forgets accounts that are full and runs of routers that have ended.
func (a *Allocator) sweep(now time.Time) {
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(sweepInterval)
	maps.DeleteFunc(a.routers, func(_ uint64, r *run) bool { return now.Sub(r.at) > runTime })
	if a.young(now) {
		return
	}
	maps.DeleteFunc(a.accounts, func(_ Key, acc *account) bool {
		acc.refill(a, now)
		return len(acc.shares) == 0 && acc.room(a, now) < 1
	})
}

// Status returns the accounts that are in use.
func (a *Allocator) Status(now time.Time) []AccountStatus {
	var out []AccountStatus
	for _, key := range slices.Sorted(maps.Keys(a.accounts)) {
		acc := a.accounts[key]
		acc.refill(a, now)
		out = append(out, AccountStatus{Key: key, Limit: acc.limit, Level: acc.level, Held: acc.held, PerSecond: acc.demand.smooth, Routers: len(acc.shares)})
	}
	return out
}
