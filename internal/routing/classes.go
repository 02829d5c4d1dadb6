package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// classLoadTimeConstant is the time constant with which the load of a class
	// decays. It is long, since a router sees only its own requests: with a short one,
	// routers would disagree about the split.
	classLoadTimeConstant = 15 * time.Second
	// maxPrefillUtilization is the part of an engine's time that prefills may take in
	// planning. Above it, requests wait long for each other's prefills.
	maxPrefillUtilization = 0.5
	// answerWeight is the least weight of one observation in the mean answer time of a
	// class and in its prefill ratio.
	answerWeight = 0.02
	// minClassShare is the part of the total load below which a class gets no
	// backend servers of its own.
	minClassShare = 0.02
	// splitHysteresis is the least difference between the exact share and the
	// current split, in backend servers, that changes the split: a backend
	// server that changes its class loses its cached state.
	splitHysteresis = 0.8
	// minSplitServers is the least number of backend servers that are split.
	minSplitServers = 4
	// minSplitRequests is the least number of observed requests that a split is
	// based on.
	minSplitRequests = 24
	// minSpillWait is the predicted wait, in seconds, above which a request may
	// go to the backend servers of the other class.
	minSpillWait = 0.3
)

// lateShareEffect is the effect of late first tokens on the split, by class: the demand of
// a class whose first tokens are all late counts exp(lateShareEffect) times. It is larger
// for short requests, since the engines taken from long ones serve many of them.
var lateShareEffect = [2]float64{shortClass: 3, longClass: 0.5}

// spillPenalty is the penalty for the backend servers of the other class, in
// seconds, by the class of the request. It is higher for long requests, since
// one of them delays many short ones there.
var spillPenalty = [2]float64{shortClass: 0.1, longClass: 0.5}

// classes splits the engines of a pool between short and long requests, because
// the prefill chunks of a long prompt delay every token of the answers that the
// engine generates meanwhile. All routers use the same order of engines, and
// each router learns the split from its own requests, so that routers reach
// about the same split without communication.
type classes struct {
	// demand is the recent demand of each class.
	demand [2]classDemand
	// requests counts the requests observed.
	requests int
	// at is the time of the last update of demand.
	at time.Time
	// shortServers is the number of engines for short requests; 0 if the pool
	// is not split.
	shortServers int
	// groups holds the engines for short and for long requests.
	groups [2]group
	// groupMeans holds the mean work of the requests at the engines of each
	// group. At index unsplitClass it holds the mean for all engines while there
	// is no split.
	groupMeans [3]*meanWork
}

// unsplitClass is the index in classes.groupMeans for a pool that is not split.
const unsplitClass = 2

// meanWork is the moving mean of the prefill work of requests, in tokens. With
// many routers, each router rarely sends a request to a given engine; so all
// engines of a class share one mean.
type meanWork struct{ tokens float64 }

func (m *meanWork) observe(tokens float64) {
	if m.tokens == 0 {
		m.tokens = tokens
		return
	}
	m.tokens += meanWorkWeight * (tokens - m.tokens)
}

const (
	shortClass = 0
	longClass  = 1
)

// classOf returns the class of a prompt.
func classOf(pr *prompt) int {
	if pr.total <= maxShortPrefill {
		return shortClass
	}
	return longClass
}

// classDemand is what the requests of a class need of their engines. An engine prefills
// one prompt at a time, and each running request takes one of its slots until its
// answer is complete. Whichever is scarcer decides how many engines the class needs.
type classDemand struct {
	// prefill is the exponentially decaying sum of prefill times, in seconds.
	prefill float64
	// slots is the exponentially decaying sum of the times for which requests take a
	// slot, in seconds.
	slots float64
	// prefillRatio is the mean ratio of the prefill time to the predicted one.
	prefillRatio learnedMean
	// late is the part of the attempts whose first token came later than the objective,
	// or not at all.
	late learnedMean
	// answerTime is the mean time from the first token to the end of an answer, in
	// seconds.
	answerTime learnedMean
}

// learnedMean is the mean of the first observations, and a moving mean later.
type learnedMean struct {
	value float64
	count int
}

func (m *learnedMean) observe(sample float64) {
	m.count++
	m.value += max(answerWeight, 1/float64(m.count)) * (sample - m.value)
}

// engines returns how many engines with the given number of slots the class needs, up
// to a factor that is the same for all classes.
func (d *classDemand) engines(slots float64) float64 {
	// The more slots an engine has, the more of them can be taken on average before
	// requests wait for one.
	usableSlots := max(1, slots-math.Sqrt(slots))
	return max(d.prefill/maxPrefillUtilization, d.slots/usableSlots)
}

// observe adds a request with the predicted prefill time, in seconds, to the demand of
// its class.
func (c *classes) observe(now time.Time, class int, prefill float64) {
	decay := math.Exp(-max(0, now.Sub(c.at).Seconds()) / classLoadTimeConstant.Seconds())
	for i := range c.demand {
		c.demand[i].prefill *= decay
		c.demand[i].slots *= decay
	}
	c.at = now
	d := &c.demand[class]
	if d.prefillRatio.count > 0 {
		prefill *= d.prefillRatio.value
	}
	d.prefill += prefill
	d.slots += prefill + d.answerTime.value
	c.requests++
}

// observeFirstToken learns from a first token how long prefills take. The time to the
// first token may include a wait, so only a shorter time than predicted counts.
func (c *classes) observeFirstToken(class int, predictedPrefill, took float64) {
	if predictedPrefill > 0 {
		c.demand[class].prefillRatio.observe(min(1, took/predictedPrefill))
	}
}

// observeLate learns whether the first token of an attempt was late.
func (c *classes) observeLate(class int, late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	c.demand[class].late.observe(sample)
}

// observeAnswer learns from a complete answer how long it kept its slot after the first
// token.
func (c *classes) observeAnswer(class int, took float64) { c.demand[class].answerTime.observe(took) }

// targetShortServers returns how many of n engines, with the given number of slots,
// should serve short requests; 0 for no split.
func (c *classes) targetShortServers(n int, slots float64) int {
	short, long := c.demand[shortClass].engines(slots), c.demand[longClass].engines(slots)
	short *= math.Exp(lateShareEffect[shortClass]*c.demand[shortClass].late.value - lateShareEffect[longClass]*c.demand[longClass].late.value)
	total := short + long
	if n < minSplitServers || c.requests < minSplitRequests || total <= 0 {
		return 0
	}
	share := short / total
	if share < minClassShare || share > 1-minClassShare {
		return 0
	}
	exact := min(share*float64(n), float64(n-1))
	if c.shortServers > 0 && c.shortServers < n && math.Abs(exact-float64(c.shortServers)) < splitHysteresis {
		return c.shortServers
	}
	return min(max(1, int(math.Round(exact))), n-1)
}

// meanSlots returns the mean number of slots of the engines.
func meanSlots(servers []*server) float64 {
	total := 0.0
	for _, s := range servers {
		total += s.maxRunning()
	}
	return total / float64(max(1, len(servers)))
}

// split rebuilds the groups if the number of engines for short requests has
// changed, or in any case if forced.
func (c *classes) split(servers []*server, forced bool) {
	shortServers := c.targetShortServers(len(servers), meanSlots(servers))
	if shortServers == c.shortServers && !forced {
		return
	}
	c.shortServers = shortServers
	c.groups = [2]group{}
	for class, groupMean := range c.groupMeans {
		if groupMean == nil {
			c.groupMeans[class] = &meanWork{}
		}
	}
	if shortServers == 0 {
		for _, s := range servers {
			s.groupMean = c.groupMeans[unsplitClass]
		}
		return
	}
	order := slices.Clone(servers)
	slices.SortFunc(order, func(a, b *server) int { return cmp.Compare(mix(a.nameHash), mix(b.nameHash)) })
	for i, s := range order {
		class := longClass
		if i < shortServers {
			class = shortClass
		}
		c.groups[class].add(s)
		s.groupMean = c.groupMeans[class]
	}
}

// groupFor returns the engines for a prompt: those of its class, or all engines if
// the pool is not split.
func (p *pool) groupFor(pr *prompt) group {
	if len(pr.levels) == 0 || p.classes.shortServers == 0 {
		return p.ready
	}
	return p.classes.groups[classOf(pr)]
}
