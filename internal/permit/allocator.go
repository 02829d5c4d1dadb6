package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

const (
	// fallenTime is how long a router that asks for permits is told that a limit has fallen.
	fallenTime = 2 * time.Second
	// maxWanted limits the permits of one urgency that a router gets at once: 4,000 requests a
	// second to one backend server at MinInterval. The leader's work for a request for permits
	// grows with their number.
	maxWanted = 1000
	// endedTime is how long it is told that a limit has ended.
	endedTime = 30 * time.Second
)

// Allocator shares out the permits of all backend servers that have a limit.
//
// Each permit goes to a router that wants one and has asked within claimTime: the most urgent
// wants first, and among equals in proportion to what they want. It is reserved until that
// router asks the next time.
type Allocator struct {
	budgets map[Key]*budget
	// routers holds the time of each router's last request.
	routers map[string]time.Time
	// told is the key after which the next list of limits begins.
	told Key
}

// budget is the limit of one backend server and the routers that want permits.
type budget struct {
	limit statement
	// pace is the limit that the leader sets, in requests a second; 0 for none. paceSet is
	// when it was set.
	pace    float64
	paceSet time.Time
	// fallen is when the limit fell the last time.
	fallen time.Time
	bucket Bucket
	flows  map[flowID]*flow
	// used counts the permits given out and not returned since the last call of TakeUsed.
	used int
	// pass is that of the last flow that got a permit.
	pass float64
}

// flowID identifies the requests of one urgency that one router sends to a backend server.
type flowID struct {
	router  string
	urgency int
}

// flow is what a router wants, for stride scheduling.
type flow struct {
	// wanted is the number of permits that are wanted and not reserved yet.
	wanted int
	// stride is the distance between two permits: 1 / load.
	stride float64
	pass   float64
	// reserved is the number of permits that are kept for the router.
	reserved int
	// askedAt is the time of the router's last request.
	askedAt time.Time
}

// NewAllocator returns an Allocator that knows no limits.
func NewAllocator() *Allocator {
	return &Allocator{budgets: map[Key]*budget{}, routers: map[string]time.Time{}}
}

// Empty reports whether no limit is known.
func (a *Allocator) Empty() bool { return len(a.budgets) == 0 }

// Handle answers a router's request.
func (a *Allocator) Handle(now time.Time, req *wire.PermitRequest) *wire.PermitReply {
	a.routers[req.GetRouter()] = now
	for _, limit := range req.GetLimits() {
		a.apply(now, Key(limit.GetServer()), statementOf(now, limit))
	}
	reply := &wire.PermitReply{}
	for _, demand := range req.GetDemands() {
		b := a.budgets[Key(demand.GetServer())]
		if b == nil {
			reply.Unknown = append(reply.Unknown, demand.GetServer())
			continue
		}
		if b.perSecond() == 0 || now.Sub(b.fallen) < fallenTime {
			reply.Limits = append(reply.Limits, b.message(now, Key(demand.GetServer())))
		}
		if b.perSecond() == 0 {
			continue
		}
		if granted := b.exchange(now, req.GetRouter(), demand); len(granted) > 0 {
			reply.Grants = append(reply.Grants, &wire.PermitGrant{Server: demand.GetServer(), Permits: granted})
		}
	}
	reply.IntervalMs = uint32(a.interval(now).Milliseconds())
	return reply
}

// interval returns the time between two requests of a router.
func (a *Allocator) interval(now time.Time) time.Duration {
	maps.DeleteFunc(a.routers, func(_ string, at time.Time) bool { return now.Sub(at) > claimTime })
	return min(max(MinInterval, time.Duration(len(a.routers))*intervalPerRouter), MaxInterval)
}

// apply applies a statement unless a newer one is known.
func (a *Allocator) apply(now time.Time, key Key, s statement) {
	b := a.budgets[key]
	if b == nil {
		if s.perSecond == 0 {
			return
		}
		b = &budget{flows: map[flowID]*flow{}}
		a.budgets[key] = b
	}
	if s.at.Before(b.limit.at) {
		return
	}
	b.update(now, func() { b.limit = s })
}

// SetPace sets a limit by the leader itself, in requests a second; 0 ends it. The lower one
// of it and the limit that the backend server names counts.
func (a *Allocator) SetPace(now time.Time, key Key, perSecond float64) {
	b := a.budgets[key]
	if b == nil {
		if perSecond <= 0 {
			return
		}
		b = &budget{flows: map[flowID]*flow{}}
		a.budgets[key] = b
	}
	b.update(now, func() { b.pace, b.paceSet = max(0, perSecond), now })
}

// TakeUsed returns the number of permits for a backend server that routers have got and not
// returned since the last call, about the number of requests sent to it.
func (a *Allocator) TakeUsed(key Key) int {
	b := a.budgets[key]
	if b == nil {
		return 0
	}
	used := b.used
	b.used = 0
	return used
}

// update changes the limits of a budget.
func (b *budget) update(now time.Time, change func()) {
	before := b.perSecond()
	change()
	if falls(before, b.perSecond()) {
		b.release(now)
		b.fallen = now
	}
	if b.perSecond() > 0 {
		b.bucket.SetLimit(now, b.perSecond())
	}
}

// perSecond returns the limit in force; 0 for none.
func (b *budget) perSecond() float64 { return lowest(b.limit.perSecond, b.pace) }

// message returns the limits as sent at time now.
func (b *budget) message(now time.Time, key Key) *wire.ServerLimit {
	m := b.limit.message(now, key)
	m.PacePerSecond = float32(b.pace)
	return m
}

// Limits returns the limits in force, at most MaxServers of them; the next call goes on
// behind them. It forgets those that ended long ago, and backend servers that are gone.
func (a *Allocator) Limits(now time.Time, exists func(Key) bool) []*wire.ServerLimit {
	maps.DeleteFunc(a.budgets, func(key Key, b *budget) bool {
		return !exists(key) || b.perSecond() == 0 && now.Sub(b.limit.at) > endedTime && now.Sub(b.paceSet) > endedTime
	})
	var keys []Key
	for key, b := range a.budgets {
		if b.perSecond() > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	first, _ := slices.BinarySearch(keys, a.told+1)
	var limits []*wire.ServerLimit
	for i := range min(len(keys), MaxServers) {
		a.told = keys[(first+i)%len(keys)]
		limits = append(limits, a.budgets[a.told].message(now, a.told))
	}
	return limits
}

// exchange takes back what a router has not used, notes what it wants, and returns the
// permits that it gets, by urgency.
func (b *budget) exchange(now time.Time, router string, demand *wire.PermitDemand) []uint32 {
	b.bucket.Return(now, int(demand.GetReturned()))
	b.used -= int(demand.GetReturned())
	b.expire(now)
	for i := range urgencies {
		wanted, load := 0, 1
		if i < len(demand.GetWanted()) && i < len(demand.GetLoad()) {
			wanted, load = int(min(demand.GetWanted()[i], maxWanted)), max(1, int(demand.GetLoad()[i]))
		}
		b.setWanted(now, flowID{router, i}, wanted, load)
	}
	b.assign(now)
	var granted []uint32
	for i := range urgencies {
		f := b.flows[flowID{router, i}]
		if f == nil || f.reserved == 0 {
			continue
		}
		for len(granted) <= i {
			granted = append(granted, 0)
		}
		granted[i] = uint32(f.reserved)
		b.used += f.reserved
		f.reserved = 0
	}
	return granted
}

// setWanted notes how many permits a router wants beside those that are reserved for it.
func (b *budget) setWanted(now time.Time, id flowID, wanted, load int) {
	f := b.flows[id]
	if f == nil {
		if wanted == 0 {
			return
		}
		f = &flow{pass: b.pass}
		b.flows[id] = f
	}
	f.askedAt = now
	f.wanted = max(0, wanted-f.reserved)
	f.stride = 1 / float64(load)
	if f.wanted > 0 {
		f.pass = max(f.pass, b.pass) // a flow that wanted nothing has saved up nothing
	}
}

// expire takes back what is reserved for routers that don't ask any more.
func (b *budget) expire(now time.Time) {
	maps.DeleteFunc(b.flows, func(_ flowID, f *flow) bool {
		gone := now.Sub(f.askedAt) > claimTime
		if gone {
			b.bucket.Return(now, f.reserved)
		}
		return gone
	})
}

// release takes back all permits that are reserved.
func (b *budget) release(now time.Time) {
	for _, f := range b.flows {
		b.bucket.Return(now, f.reserved)
		f.reserved = 0
	}
}

// assign reserves permits as long as there are any and some router wants one. An urgent
// request also gets a permit that is reserved for less urgent ones.
func (b *budget) assign(now time.Time) {
	for {
		id, f := b.next()
		if f == nil || !b.bucket.TryTake(now) && !b.displace(id.urgency) {
			return
		}
		f.wanted--
		f.reserved++
		b.pass = f.pass
		f.pass += f.stride
		b.flows[id] = f
	}
}

// displace takes a permit that is reserved for the least urgent requests, if they are less
// urgent than urgency, and reports whether there was one.
func (b *budget) displace(urgency int) bool {
	var from *flow
	for id, f := range b.flows {
		if f.reserved > 0 && id.urgency > urgency {
			from, urgency = f, id.urgency
		}
	}
	if from == nil {
		return false
	}
	from.reserved--
	return true
}

// next returns the flow that gets the next permit, or nil.
func (b *budget) next() (best flowID, f *flow) {
	for id, candidate := range b.flows {
		if candidate.wanted == 0 {
			continue
		}
		order := -1
		if f != nil {
			order = cmp.Or(cmp.Compare(id.urgency, best.urgency), cmp.Compare(candidate.pass, f.pass), cmp.Compare(id.router, best.router))
		}
		if order < 0 {
			best, f = id, candidate
		}
	}
	return best, f
}
