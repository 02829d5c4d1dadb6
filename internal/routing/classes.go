package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// decodeCost is the engine time that one output token takes, in seconds. It
	// is small because dozens of answers share a step of some milliseconds, and
	// because the requested length is an upper bound.
	decodeCost = 50e-6
	// classLoadTimeConstant is the time constant with which the load of a class
	// decays.
	classLoadTimeConstant = 5 * time.Second
	// minClassShare is the part of the total load below which a class gets no
	// backend servers of its own.
	minClassShare = 0.02
	// shortShareFactor increases the share of short requests, because their
	// answers are long.
	shortShareFactor = 1.25
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
	// load is the exponentially decaying sum of the work of each class, in
	// engine seconds.
	load [2]float64
	// requests counts the requests observed.
	requests int
	// at is the time of the last update of load.
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

// observe adds the work of a request, in engine seconds, to the load of its
// class.
func (c *classes) observe(now time.Time, class int, work float64) {
	decay := math.Exp(-max(0, now.Sub(c.at).Seconds()) / classLoadTimeConstant.Seconds())
	c.load[shortClass] *= decay
	c.load[longClass] *= decay
	c.at = now
	c.load[class] += work
	c.requests++
}

// targetShortServers returns how many of n engines should serve short requests;
// 0 for no split.
func (c *classes) targetShortServers(n int) int {
	total := c.load[shortClass] + c.load[longClass]
	if n < minSplitServers || c.requests < minSplitRequests || total <= 0 {
		return 0
	}
	share := c.load[shortClass] / total
	if share < minClassShare || share > 1-minClassShare {
		return 0
	}
	exact := min(share*shortShareFactor*float64(n), float64(n-1))
	if c.shortServers > 0 && c.shortServers < n && math.Abs(exact-float64(c.shortServers)) < splitHysteresis {
		return c.shortServers
	}
	return min(max(1, int(math.Round(exact))), n-1)
}

// split rebuilds the groups if the number of engines for short requests has
// changed, or in any case if forced.
func (c *classes) split(servers []*server, forced bool) {
	shortServers := c.targetShortServers(len(servers))
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
