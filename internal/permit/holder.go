package permit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

const (
	// demandTime is the time over which the demand of a router is averaged.
	demandTime = time.Second
	// missesPerInterval is how often permits may be asked for in the time between two requests
	// that are due.
	missesPerInterval = 3
	// repeatTime is the time after which a router tells the leader again what it has heard
	// from a backend server.
	repeatTime = 2 * time.Second
	// maxRetryAfter limits the time after which a caller is told to come back.
	maxRetryAfter = 10 * time.Second
	// ratesInterval is the time between two reports of the rates of calls. It is short against
	// the time for which the leader paces a backend server.
	ratesInterval = time.Second
	// maxServices limits the services whose calls are counted, and so the size of a message.
	maxServices = 16
)

// Holder keeps the permits of one router.
type Holder struct {
	name    string
	servers map[Key]*server
	// interval is the time between two requests for permits.
	interval time.Duration
	// grantedPerSecond is the rate at which permits came lately.
	grantedPerSecond float64
	// lastReply is the time at which the last request that was answered was sent.
	lastReply time.Time
	// nextReturn is the time at which the next refused caller is to come back.
	nextReturn time.Time
	// lastRequest is the time of the last request for permits.
	lastRequest time.Time
	// askedUrgency is the urgency of the last request for which permits were asked for before
	// that was due.
	askedUrgency uint32
	// calls counts the calls by service since ratesAt, when rates were reported last.
	calls   map[string]int
	ratesAt time.Time
}

// server is a backend server that has, or had, a limit.
type server struct {
	// heard is what it said in its last response to this router, and told what the leader
	// says.
	heard, told statement
	// pace is the limit that the leader sets itself, in requests a second, until paceEnd; 0
	// for none.
	pace    float64
	paceEnd time.Time
	// reported is what the leader was told last, and reportedAt when.
	reported   float64
	reportedAt time.Time
	// unknown is set once the leader has said that it knows no limit of the server.
	unknown bool
	// batches holds the permits.
	batches []batch
	// demands holds what this router wants, by urgency.
	demands [urgencies]demand
	// asked is set if the last request for permits wanted some: the leader may keep them for
	// the next one.
	asked bool
	// returned is the number of permits that ended without being used.
	returned int
}

// batch is a number of permits for requests of an urgency, or more urgent ones.
type batch struct {
	urgency int
	permits int
	expires time.Time
}

// demand is the demand for requests of one urgency.
type demand struct {
	// count is the number of requests since the last request for permits.
	count float64
	// perSecond is the mean rate of requests.
	perSecond float64
	// missed is the number of those that found no room anywhere.
	missed int
	// fraction is the part of a permit that has been wanted since the last one came.
	fraction float64
}

// NewHolder returns the Holder of the router that name identifies.
func NewHolder(name string) *Holder {
	return &Holder{name: name, servers: map[Key]*server{}, calls: map[string]int{}, interval: MinInterval}
}

// Heard records what a response of a backend server says: a limit in requests a second, or
// 0 for none. sentAt is the time at which its request was sent and now that of the response:
// a limit counts from now on, its end from sentAt on, as responses overtake one another. It
// reports whether the limit is new or has ended.
func (h *Holder) Heard(now, sentAt time.Time, key Key, perSecond float64) (news bool) {
	s := h.servers[key]
	if s == nil {
		if perSecond <= 0 {
			return false
		}
		s = &server{}
		h.servers[key] = s
	}
	before := s.limit().perSecond
	at := now
	if perSecond <= 0 {
		at = sentAt
	}
	if at.Before(s.heard.at) {
		return false
	}
	s.update(func() { s.heard = newStatement(perSecond, at) })
	return (before > 0) != (s.limit().perSecond > 0)
}

// Told records limits, or their ends, that the leader tells.
func (h *Holder) Told(now time.Time, limits []*wire.ServerLimit) {
	for _, limit := range limits {
		key := Key(limit.GetServer())
		if h.servers[key] == nil {
			h.servers[key] = &server{}
		}
		s := h.servers[key]
		s.update(func() {
			if limit.GetAgeMs() != noStatement {
				s.told = statementOf(now, limit)
			}
			s.pace, s.paceEnd = float64(limit.GetPacePerSecond()), now.Add(paceLifetime)
		})
	}
}

// update changes statements. If the limit falls, the permits for the earlier one are returned.
func (s *server) update(change func()) {
	before := s.perSecond()
	change()
	if !falls(before, s.perSecond()) {
		return
	}
	for _, b := range s.batches {
		s.returned += b.permits
	}
	s.batches = nil
}

// perSecond returns the limit in force; 0 for none.
func (s *server) perSecond() float64 { return lowest(s.limit().perSecond, s.pace) }

// limit returns the newest statement of the backend server's own limit.
func (s *server) limit() statement {
	if s.told.at.After(s.heard.at) {
		return s.told
	}
	return s.heard
}

func (s *server) limited() bool { return s.perSecond() > 0 }

// HasRoom reports whether a request may be sent to a backend server: it has no limit, or
// there is a permit.
func (h *Holder) HasRoom(now time.Time, key Key, urgency uint32) bool {
	s := h.servers[key]
	return s == nil || !s.limited() || s.find(now, urgencyIndex(urgency)) >= 0
}

// Limited reports whether a backend server is known to have a limit.
func (h *Holder) Limited(key Key) bool {
	s := h.servers[key]
	return s != nil && s.limited()
}

// Want records that a request would be sent to a backend server.
func (h *Holder) Want(key Key, urgency uint32) {
	if s := h.servers[key]; s != nil && s.limited() {
		s.demands[urgencyIndex(urgency)].count++
	}
}

// CountCall counts a call for a service.
func (h *Holder) CountCall(service string) {
	if _, known := h.calls[service]; known || len(h.calls) < maxServices {
		h.calls[service]++
	}
}

// rates returns the rates of calls if they are due. A service without calls is reported once
// more, with the rate 0.
func (h *Holder) rates(now time.Time) []*wire.CallRate {
	elapsed := now.Sub(h.ratesAt)
	if elapsed < ratesInterval {
		return nil
	}
	first := h.ratesAt.IsZero()
	h.ratesAt = now
	var rates []*wire.CallRate
	for _, service := range slices.Sorted(maps.Keys(h.calls)) {
		calls := h.calls[service]
		if h.calls[service] = 0; calls == 0 {
			delete(h.calls, service)
		}
		if !first {
			rates = append(rates, &wire.CallRate{Service: service, PerSecond: float32(float64(calls) / elapsed.Seconds())})
		}
	}
	return rates
}

// Take uses a permit for a request.
func (h *Holder) Take(now time.Time, key Key, urgency uint32) {
	s := h.servers[key]
	if s == nil || !s.limited() {
		return
	}
	if i := s.find(now, urgencyIndex(urgency)); i >= 0 {
		s.batches[i].permits--
	}
}

// find returns the index of the batch from which a request takes its permit: the one for the
// most urgent requests that are not more urgent, and the oldest of these. It returns -1 if
// there is none.
func (s *server) find(now time.Time, urgency int) int {
	best := -1
	for i, b := range s.batches {
		if b.permits == 0 || b.urgency < urgency || !now.Before(b.expires) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(b.urgency, s.batches[best].urgency), b.expires.Compare(s.batches[best].expires)) < 0 {
			best = i
		}
	}
	return best
}

// RetryAfter returns when a caller that finds no room anywhere should come back: callers
// return one after the other at the rate at which permits come.
func (h *Holder) RetryAfter(now time.Time) time.Duration {
	if h.nextReturn.Before(now) {
		h.nextReturn = now
	}
	perSecond := max(h.grantedPerSecond, MinPerSecond)
	if next := h.nextReturn.Add(time.Duration(float64(time.Second) / perSecond)); next.Sub(now) <= maxRetryAfter {
		h.nextReturn = next
	}
	return max(h.nextReturn.Sub(now), h.interval)
}

// Interval returns the time between two requests for permits.
func (h *Holder) Interval() time.Duration { return h.interval }

// Miss records that a request found no room anywhere and would best be sent to a backend
// server, so that the next request for permits asks for one. It reports whether to ask for it
// at once: not more often than missesPerInterval allows, unless the request is more urgent than
// the last one for which that was done.
func (h *Holder) Miss(now time.Time, key Key, urgency uint32) (askNow bool) {
	s := h.servers[key]
	if s == nil || !s.limited() {
		return false
	}
	s.demands[urgencyIndex(urgency)].missed++
	if now.Sub(h.lastRequest) < h.interval/missesPerInterval && urgency >= h.askedUrgency {
		return false
	}
	h.askedUrgency = urgency
	return true
}

// Request returns the request for permits that is due, or nil if nothing is wanted.
func (h *Holder) Request(now time.Time) *wire.PermitRequest {
	elapsed := now.Sub(h.lastRequest)
	if h.lastRequest.IsZero() || elapsed > demandTime {
		elapsed = demandTime
	}
	h.lastRequest = now
	req := &wire.PermitRequest{Router: h.name, Rates: h.rates(now)}
	for _, s := range h.servers {
		if s.pace > 0 && !now.Before(s.paceEnd) {
			s.pace = 0
		}
	}
	for _, key := range h.nextKeys() {
		s := h.servers[key]
		s.expire(now)
		if d := s.demand(now, elapsed, h.interval); len(d.Wanted) > 0 || s.returned > 0 || s.asked {
			d.Server, d.Returned = uint64(key), uint32(s.returned)
			req.Demands = append(req.Demands, d)
			s.returned, s.asked = 0, len(d.Wanted) > 0
		}
		statement := s.heard
		if s.unknown {
			statement = s.limit() // the routers that heard it may have restarted since
		}
		if !statement.at.IsZero() && (s.unknown || s.reported != s.heard.perSecond || now.Sub(s.reportedAt) >= repeatTime) {
			s.reported, s.reportedAt, s.unknown = s.heard.perSecond, now, false
			req.Limits = append(req.Limits, statement.message(now, key))
		}
	}
	if len(req.Demands) == 0 && len(req.Limits) == 0 && len(req.Rates) == 0 {
		return nil
	}
	return req
}

// nextKeys returns the backend servers that the next request is about: at most MaxServers of
// those that have, or had, a limit, the most wanted ones first.
func (h *Holder) nextKeys() []Key {
	keys := slices.Sorted(maps.Keys(h.servers))
	if len(keys) <= MaxServers {
		return keys
	}
	slices.SortStableFunc(keys, func(a, b Key) int { return cmp.Compare(h.servers[b].weight(), h.servers[a].weight()) })
	return keys[:MaxServers]
}

// weight returns how much a backend server is wanted.
func (s *server) weight() float64 {
	weight := float64(s.returned)
	for i := range s.demands {
		d := &s.demands[i]
		weight += d.count + float64(d.missed) + d.fraction + d.perSecond
	}
	return weight
}

// expire removes the permits that have ended.
func (s *server) expire(now time.Time) {
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool {
		if now.Before(b.expires) {
			return b.permits == 0
		}
		s.returned += b.permits
		return true
	})
}

// demand returns how many permits are wanted. elapsed is the time since the last request for
// permits, and interval that until the next one.
func (s *server) demand(now time.Time, elapsed, interval time.Duration) *wire.PermitDemand {
	out := &wire.PermitDemand{}
	for i := range s.demands {
		d := &s.demands[i]
		if elapsed > 0 {
			d.perSecond += (d.count/elapsed.Seconds() - d.perSecond) * (1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds()))
			d.count = 0
		}
		missed := d.missed
		d.missed = 0
		if !s.limited() {
			d.fraction = 0
			continue
		}
		// Permits for what comes until the next request has been answered.
		ahead := min(d.perSecond, s.perSecond()) * (2 * interval).Seconds()
		want := int(math.Ceil(ahead)) - s.held(now, i)
		if ahead < 1 {
			// A permit that is seldom used is wanted as seldom.
			d.fraction = min(d.fraction+d.perSecond*elapsed.Seconds(), 1)
			want = int(d.fraction) - s.held(now, i)
		}
		want = max(want, missed-s.held(now, i))
		if want <= 0 {
			continue
		}
		for len(out.Wanted) <= i {
			out.Wanted, out.Load = append(out.Wanted, 0), append(out.Load, 0)
		}
		out.Wanted[i], out.Load[i] = uint32(want), uint32(1000*d.perSecond)
	}
	return out
}

// held returns the number of permits for an urgency.
func (s *server) held(now time.Time, urgency int) int {
	held := 0
	for _, b := range s.batches {
		if b.urgency == urgency && now.Before(b.expires) {
			held += b.permits
		}
	}
	return held
}

// Receive records the reply to a request that was sent at time sentAt.
func (h *Holder) Receive(now, sentAt time.Time, reply *wire.PermitReply) {
	if ms := reply.GetIntervalMs(); ms > 0 {
		h.interval = min(max(time.Duration(ms)*time.Millisecond, MinInterval), MaxInterval)
	}
	h.Told(now, reply.GetLimits())
	for _, key := range reply.GetUnknown() {
		if s := h.servers[Key(key)]; s != nil {
			s.unknown = true
		}
	}
	granted := 0
	for _, grant := range reply.GetGrants() {
		s := h.servers[Key(grant.GetServer())]
		for i, permits := range grant.GetPermits()[:min(len(grant.GetPermits()), urgencies)] {
			if s == nil || permits == 0 {
				continue
			}
			granted += int(permits)
			s.demands[i].fraction = 0
			s.batches = append(s.batches, batch{urgency: i, permits: int(permits), expires: sentAt.Add(Lifetime)})
		}
	}
	elapsed := sentAt.Sub(h.lastReply)
	if elapsed <= 0 {
		return // overtaken by the reply to a later request
	}
	h.lastReply = sentAt
	seconds := min(elapsed, demandTime).Seconds()
	h.grantedPerSecond += (float64(granted)/seconds - h.grantedPerSecond) * (1 - math.Exp(-seconds/demandTime.Seconds()))
}

// Empty reports whether no backend server is known to have, or to have had, a limit.
func (h *Holder) Empty() bool { return len(h.servers) == 0 }

// Forget removes the backend servers that exist no more.
func (h *Holder) Forget(exists func(Key) bool) {
	maps.DeleteFunc(h.servers, func(key Key, _ *server) bool { return !exists(key) })
}
