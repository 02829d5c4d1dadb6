// Package pace limits the load of backend servers that have just started or recovered: all
// routers together raise it while the answers stay on time, and lower it at the first sign
// that they do not.
//
// A Controller is a deterministic state machine without I/O: the time is passed in. It is not
// safe for concurrent use. The leader of control has one for each term, feeds it with what it
// knows of the backend servers and of the load, and passes its limits to permit.Allocator.
package pace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

const (
	// judgeInterval is the time between two changes of a limit. Load reports come as often.
	judgeInterval = 500 * time.Millisecond
	// firstLevel is the first limit as a part of the mean rate of the service's servers. A
	// server whose cache is empty takes several times as long for a prompt.
	firstLevel = 0.25
	// maxReturns is the number of earlier starts within returnsTime that lower the first
	// limit, each to its half: a server that comes and goes loses what it holds each time.
	maxReturns  = 3
	returnsTime = 30 * time.Second
	// lastLevel is the limit, as a multiple of the mean rate, above which there is none: the
	// routers spread the load no more unevenly than that.
	lastLevel = 2
	// growth is the factor of the limit after an interval without a fault. From firstLevel it
	// takes 2.5 s to lastLevel.
	growth = 1.6
	// slowGrowth is the factor while a server is slow and idle: it has a cold cache, which
	// only work fills.
	slowGrowth = 1.2
	// unusedGrowth is the factor while nothing is sent to a server: its answers show nothing,
	// but without growth a limit that is too low for any router to ask for would stay.
	unusedGrowth = 1.2
	// reduction is the factor after an interval with failures or overload.
	reduction = 0.5
	// settleTime is the time after a reduction until the next one that is due to overload: the
	// queue of the earlier limit has to drain first.
	settleTime = time.Second
	// MinPerSecond is the lowest limit, in requests a second. The server could not show
	// otherwise that it has recovered.
	MinPerSecond = 0.5
	// slowRatio is the ratio of a server's time to the typical one from which on it is slow.
	slowRatio = 1.5
	// overloadRatio and overloadSlack make an overload: the requests at a server are more than
	// those at others by this factor and number.
	overloadRatio = 1.5
	overloadSlack = 2
	// startTime is how long a start takes. A server that is on time then has no limit.
	startTime = 10 * time.Second
	// calmTime is the time since the last reduction from which on a start may be over: a server
	// that fails part of its requests answers others in time.
	calmTime = 3 * time.Second
	// maxTime is how long a server may be limited. After that it is no longer starting, and the
	// routers judge it by its failures and its speed.
	maxTime = 30 * time.Second
	// minServers is the number of servers of a service below which none is limited: the others
	// could not take what it does not get.
	minServers = 4
	// MaxServers is the number of servers that are limited at once: a message on permits holds
	// no more. Of more that start together the rest has no limit.
	MaxServers = permit.MaxServers
	// headroom is the load of the servers that do not start, as a multiple of the mean rate,
	// which they are taken to bear. The limits of starting servers leave room for the rest.
	headroom = 1.1
	// reportAge is the age up to which a load report counts.
	reportAge = 2 * time.Second
	// rateAge is the age up to which the rate of a router's calls counts: two reports may be
	// lost.
	rateAge = 3 * time.Second
	// typicalWeight is the weight of one interval in the typical time of a service.
	typicalWeight = 0.2
)

// Server is a backend server in the view that may be limited: an engine without an agent.
type Server struct {
	Key     permit.Key
	Name    string
	Service string
	// Ready is set unless it is suspected, damped, draining or loading.
	Ready bool
	// Interrupted is set if it is suspected or damped: once it is ready again, it has
	// recovered.
	Interrupted bool
}

// Cause says why a limit was changed.
type Cause string

// The causes.
const (
	CauseStart    Cause = "start"
	CauseOnTime   Cause = "on_time"
	CauseFailures Cause = "failures"
	CauseOverload Cause = "overload"
	CauseSlow     Cause = "slow"
	CauseDone     Cause = "done"
	CauseExpired  Cause = "expired"
	CauseGone     Cause = "gone"
)

// Change is a new limit of a server.
type Change struct {
	Key  permit.Key
	Name string
	// PerSecond is the limit in requests a second; 0 for none any more.
	PerSecond float64
	Cause     Cause
	// News is set if a limit begins, ends, or falls since the server does badly. It is not set
	// if it grows or follows the load.
	News bool
}

// Controller limits the servers that start.
type Controller struct {
	servers  map[permit.Key]*server
	services map[string]*service
	// routers holds the rates of calls by router.
	routers map[string]routerRates
	// starts holds the times of the starts within returnsTime by name.
	starts  map[string][]time.Time
	started bool
	// learntAt is when the typical times were learnt the last time.
	learntAt time.Time
}

type routerRates struct {
	at    time.Time
	rates []*wire.CallRate
}

// server is a server in the view.
type server struct {
	Server
	// since is when it was last seen to become ready; zero if it was ready before the first
	// Update.
	since time.Time
	// interrupted is set until it is ready after a start, or after it was suspected or damped.
	interrupted bool
	requests    float64
	reportedAt  time.Time
	failures    int
	// used is the number of requests sent to it in the interval.
	used int
	// gap is the lowest speed sample of the interval, in microseconds; 0 if there is none.
	gap  uint32
	pace *pace
	seen bool
}

// pace is the limit of one start.
type pace struct {
	since, judgedAt, reducedAt time.Time
	// level is the limit as a multiple of the mean rate, before limits are raised for the sake of callers.
	level     float64
	perSecond float64
	cause     Cause
	// news is the next Change.News.
	news bool
}

// service is what is known of the servers of a service.
type service struct {
	// typical is the mean of the lowest speed samples of its servers that are not limited, in
	// microseconds; 0 if it is not known.
	typical float64

	// The fields below are renewed in each Update.
	ready, established int
	paced              []*server
	perSecond          float64
	requests           float64
	reported           int
}

// mean returns the mean rate of a ready server.
func (g *service) mean() float64 { return g.perSecond / float64(max(1, g.ready)) }

// meanRequests returns the mean number of requests at a server that does not start; -1 if it
// is not known.
func (g *service) meanRequests() float64 {
	if g.reported == 0 {
		return -1
	}
	return g.requests / float64(g.reported)
}

// NewController returns a Controller for a term. The servers of the first Update that are ready
// are not taken to have just started.
func NewController() *Controller {
	return &Controller{servers: map[permit.Key]*server{}, services: map[string]*service{}, routers: map[string]routerRates{}, starts: map[string][]time.Time{}}
}

// Observe records what a router reports of its calls.
func (c *Controller) Observe(now time.Time, router string, rates []*wire.CallRate) {
	if len(rates) > 0 {
		c.routers[router] = routerRates{now, rates}
	}
}

// Speeds records speed samples of servers.
func (c *Controller) Speeds(samples []*wire.SpeedSample) {
	for _, sample := range samples {
		s := c.servers[permit.Key(sample.GetServer())]
		if s == nil || sample.GetEventGapUs() == 0 {
			continue
		}
		if s.gap == 0 || sample.GetEventGapUs() < s.gap {
			s.gap = sample.GetEventGapUs()
		}
	}
}

// learnTypical takes over the speed samples of servers that are not limited, once in each
// judgeInterval. Prefills delay some events at any server, so the lowest sample counts.
func (c *Controller) learnTypical(now time.Time) {
	if now.Sub(c.learntAt) < judgeInterval {
		return
	}
	c.learntAt = now
	sums, counts := map[*service]float64{}, map[*service]float64{}
	for _, s := range c.servers {
		if s.pace == nil && s.gap > 0 {
			g := c.service(s.Service)
			sums[g] += float64(s.gap)
			counts[g]++
			s.gap = 0
		}
	}
	for g, sum := range sums {
		mean := sum / counts[g]
		if g.typical == 0 {
			g.typical = mean
		}
		g.typical += typicalWeight * (mean - g.typical)
	}
}

// Load records the number of requests at a server.
func (c *Controller) Load(now time.Time, key permit.Key, requests uint32) {
	if s := c.servers[key]; s != nil {
		s.requests, s.reportedAt = float64(requests), now
	}
}

// Used records that routers have got permits for requests to a server.
func (c *Controller) Used(key permit.Key, permits int) {
	if s := c.servers[key]; s != nil {
		s.used += permits
	}
}

// Limited returns the servers that are limited.
func (c *Controller) Limited() []permit.Key {
	var keys []permit.Key
	for key, s := range c.servers {
		if s.pace != nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// Failed records that a server has failed: it gave no load report, could not be reached, or
// did not serve a request.
func (c *Controller) Failed(key permit.Key) {
	if s := c.servers[key]; s != nil {
		s.failures++
	}
}

// Paced returns the number of servers that are limited.
func (c *Controller) Paced() int {
	return len(c.Limited())
}

// Update takes over the servers in the view, and returns the limits that change. It must be called
// several times in each judgeInterval while a server is limited or the view changes, else once.
func (c *Controller) Update(now time.Time, view []Server) []Change {
	changes, starting := c.setView(now, view)
	c.learnTypical(now)
	c.countServices(now)
	for _, s := range starting {
		c.start(now, s)
	}
	for _, g := range c.services {
		for _, s := range g.paced {
			s.judge(now, g)
		}
		changes = append(changes, g.limits()...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}

// setView takes over the view. It returns the ends of the limits of servers that are gone, and
// the servers that have become ready.
func (c *Controller) setView(now time.Time, view []Server) (changes []Change, starting []*server) {
	for _, s := range c.servers {
		s.seen = false
	}
	for _, v := range view {
		s := c.servers[v.Key]
		if s == nil {
			// What a new leader finds is not new, unless it has yet to return.
			s = &server{interrupted: c.started || v.Interrupted}
			c.servers[v.Key] = s
		}
		s.Server, s.seen = v, true
		switch {
		case v.Interrupted:
			s.interrupted = true
			if s.pace != nil {
				s.failures++
			}
		case v.Ready && s.interrupted:
			s.interrupted, s.since = false, now
			starting = append(starting, s)
		}
	}
	c.started = true
	for key, s := range c.servers {
		if s.seen {
			continue
		}
		delete(c.servers, key)
		if s.pace != nil {
			changes = append(changes, Change{key, s.Name, 0, CauseGone, true})
		}
	}
	for name, times := range c.starts {
		if times = slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) > returnsTime }); len(times) == 0 {
			delete(c.starts, name)
		} else {
			c.starts[name] = times
		}
	}
	return changes, starting
}

// countServices renews what is known of the services.
func (c *Controller) countServices(now time.Time) {
	for _, g := range c.services {
		*g = service{typical: g.typical}
	}
	for _, s := range c.servers {
		g := c.service(s.Service)
		if s.pace != nil {
			g.paced = append(g.paced, s)
		}
		if !s.Ready {
			continue
		}
		g.ready++
		if now.Sub(s.since) >= startTime {
			g.established++
			if now.Sub(s.reportedAt) <= reportAge {
				g.requests += s.requests
				g.reported++
			}
		}
	}
	for _, g := range c.services {
		slices.SortFunc(g.paced, func(a, b *server) int { return cmp.Compare(a.Key, b.Key) })
	}
	maps.DeleteFunc(c.services, func(_ string, g *service) bool { return g.ready == 0 && len(g.paced) == 0 })
	maps.DeleteFunc(c.routers, func(_ string, r routerRates) bool { return now.Sub(r.at) > rateAge })
	for _, name := range slices.Sorted(maps.Keys(c.routers)) { // in a fixed order, as sums of fractions depend on it
		for _, rate := range c.routers[name].rates {
			if g := c.services[rate.GetService()]; g != nil {
				g.perSecond += float64(rate.GetPerSecond())
			}
		}
	}
}

// start begins to limit a server that has become ready, if its service allows it.
func (c *Controller) start(now time.Time, s *server) {
	returns := min(len(c.starts[s.Name]), maxReturns)
	c.starts[s.Name] = append(c.starts[s.Name], now)
	g := c.service(s.Service)
	if g.ready < minServers || g.established == 0 || g.perSecond == 0 || s.pace == nil && c.Paced() >= MaxServers {
		return
	}
	if s.pace == nil {
		g.paced = append(g.paced, s)
	}
	level := firstLevel
	for range returns {
		level *= reduction
	}
	perSecond := 0.0
	if s.pace != nil {
		perSecond = s.pace.perSecond
	}
	s.pace = &pace{since: now, judgedAt: now, level: level, perSecond: perSecond, cause: CauseStart, news: true}
	s.failures, s.gap, s.used = 0, 0, 0
}

// judge adapts the limit of a server to how it did in the last interval.
func (s *server) judge(now time.Time, g *service) {
	p := s.pace
	if now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	p.judgedAt = now
	factor, cause := s.verdict(now, g)
	s.failures, s.gap, s.used = 0, 0, 0
	if factor < 1 {
		if cause != CauseFailures && now.Sub(p.reducedAt) < settleTime {
			return
		}
		p.reducedAt, p.news = now, true
	}
	p.level, p.cause = p.level*factor, cause
	if mean := g.mean(); mean > 0 {
		p.level = max(p.level, MinPerSecond/mean)
	}
	switch age := now.Sub(p.since); {
	case p.level >= lastLevel, age >= startTime && cause == CauseOnTime && now.Sub(p.reducedAt) >= calmTime:
		p.level, p.cause, p.news = 0, CauseDone, true
	case age >= maxTime:
		p.level, p.cause, p.news = 0, CauseExpired, true
	}
}

// verdict returns the factor for the limit of a server after an interval, and why.
func (s *server) verdict(now time.Time, g *service) (factor float64, cause Cause) {
	others := g.meanRequests()
	known := others >= 0 && now.Sub(s.reportedAt) <= reportAge
	slow := s.gap > 0 && g.typical > 0 && float64(s.gap) > slowRatio*g.typical
	overload := known && s.requests > overloadRatio*others+overloadSlack
	switch {
	case s.failures > 0 || !s.Ready:
		return reduction, CauseFailures
	case overload && s.used == 0:
		return 1, CauseOverload // a lower limit would not have helped
	case overload:
		return reduction, CauseOverload
	case slow && (!known || s.requests > others):
		return reduction, CauseSlow
	case slow && s.requests > others/2:
		return 1, CauseSlow
	case slow:
		return slowGrowth, CauseSlow
	}
	if s.used <= 0 && s.gap == 0 {
		return unusedGrowth, CauseOnTime
	}
	return growth, CauseOnTime
}

// limits sets the limits of the servers that start and returns those that change.
func (g *service) limits() []Change {
	mean, sum, limited := g.mean(), 0.0, 0
	for _, s := range g.paced {
		if s.pace.level > 0 && s.Ready {
			sum += max(MinPerSecond, s.pace.level*mean)
			limited++
		}
	}
	// needed is what the other servers can't take.
	needed := g.perSecond - headroom*mean*float64(g.ready-limited)
	scale := 1.0
	if sum > 0 && needed > sum {
		scale = needed / sum
	}
	var changes []Change
	for _, s := range g.paced {
		p := s.pace
		perSecond := scale * max(MinPerSecond, p.level*mean)
		if p.level == 0 {
			perSecond, s.pace = 0, nil
		}
		if p.perSecond != perSecond {
			changes = append(changes, Change{s.Key, s.Name, perSecond, p.cause, p.news})
			p.perSecond, p.news = perSecond, false
		}
	}
	return changes
}

func (c *Controller) service(name string) *service {
	g := c.services[name]
	if g == nil {
		g = &service{}
		c.services[name] = g
	}
	return g
}
