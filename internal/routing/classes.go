package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// decodeCost is the part of an engine that one output token takes, in seconds:
	// dozens of answers share a step of some milliseconds, and the length asked for
	// is an upper bound.
	decodeCost = 50e-6
	// classLoadTimeConstant is the time constant of the load of a class.
	classLoadTimeConstant = 5 * time.Second
	// minClassShare is the part of the load below which a class gets no backend
	// servers of its own.
	minClassShare = 0.02
	// shortShareFactor widens the share of short requests, whose answers are long.
	shortShareFactor = 1.25
	// splitHysteresis is by how many backend servers the share must differ from the
	// present split before the split changes: what moves loses its cached state.
	splitHysteresis = 0.8
	// minSplitServers is the least number of backend servers that are split, and
	// classRequests the least number of requests that the split is based on.
	minSplitServers  = 4
	minSplitRequests = 24
	// minSpillWait is the predicted wait from which on a request may go to the other
	// class's backend servers.
	minSpillWait = 0.3
)

// spillPenalty is what speaks against the other class's backend servers, in seconds,
// by the class of the request: a long one there holds up many short ones.
var spillPenalty = [2]float64{shortClass: 0.1, longClass: 0.5}

// classes splits the engines of a pool between short and long requests: the
// chunks of a long prompt hold up every token of the answers beside it. The
// engines' order is the same at all routers, and each router learns the split
// from its own requests, so that they agree without messages.
type classes struct {
	load     [2]float64
	requests int
	at       time.Time
	// shortServers is the number of engines for short requests; 0 is no split.
	shortServers int
	// groups holds the engines for short and for long requests.
	groups [2]group
	// groupMeans is the mean groupMeans of the requests at the engines of each group, and at all
	// engines while there is no split.
	groupMeans [3]*meanWork
}

// unsplitClass stands for the engines of a pool that is not split.
const unsplitClass = 2

// meanWork is the moving mean of the prefill work of requests, in tokens. One router
// among many sends an engine a request now and then only, so that all engines of a
// class share one.
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

// observe counts the work of a request, in engine seconds.
func (c *classes) observe(now time.Time, class int, work float64) {
	decay := math.Exp(-max(0, now.Sub(c.at).Seconds()) / classLoadTimeConstant.Seconds())
	c.load[shortClass] *= decay
	c.load[longClass] *= decay
	c.at = now
	c.load[class] += work
	c.requests++
}

// targetShortServers returns the number of engines for short requests among n.
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
// changed, or always when forced.
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

// group returns the engines for a prompt: those of its class, or all.
func (p *pool) group(pr *prompt) group {
	if len(pr.levels) == 0 || p.classes.shortServers == 0 {
		return p.ready
	}
	return p.classes.groups[classOf(pr)]
}
