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
	// classMemory is the time constant of the load of a class.
	classMemory = 5 * time.Second
	// classMinimum is the part of the load below which a class gets no backend
	// servers of its own.
	classMinimum = 0.02
	// classBias widens the share of short requests, whose answers are long.
	classBias = 1.25
	// classHold is by how many backend servers the share must differ from the
	// present split before the split changes: what moves loses its cached state.
	classHold = 0.8
	// classServers is the least number of backend servers that are split, and
	// classRequests the least number of requests that the split is based on.
	classServers  = 4
	classRequests = 24
	// spillWait is the predicted wait from which on a request may go to the other
	// class's backend servers.
	spillWait = 0.3
)

// spillCost is what speaks against the other class's backend servers, in seconds,
// by the class of the request: a long one there holds up many short ones.
var spillCost = [2]float64{shortClass: 0.1, longClass: 0.5}

// classes splits the engines of a pool between short and long requests: the
// chunks of a long prompt hold up every token of the answers beside it. The
// engines' order is the same at all routers, and each router learns the split
// from its own requests, so that they agree without messages.
type classes struct {
	load     [2]float64
	requests int
	at       time.Time
	// shorts is the number of engines for short requests; 0 is no split.
	shorts int
	// groups holds the engines for short and for long requests.
	groups [2]group
	// work is the mean work of the requests at the engines of each group, and at all
	// engines while there is no split.
	work [3]*meanWork
}

// noClass stands for the engines of a pool that is not split.
const noClass = 2

// meanWork is the moving mean of the prefill work of requests, in tokens. One router
// among many sends an engine a request now and then only, so that all engines of a
// class share one.
type meanWork struct{ tokens float64 }

func (m *meanWork) observe(tokens float64) {
	if m.tokens == 0 {
		m.tokens = tokens
		return
	}
	m.tokens += workWeight * (tokens - m.tokens)
}

const (
	shortClass = 0
	longClass  = 1
)

// classOf returns the class of a prompt.
func classOf(pr *prompt) int {
	if pr.total <= shortWork {
		return shortClass
	}
	return longClass
}

// observe counts the work of a request, in engine seconds.
func (c *classes) observe(now time.Time, class int, work float64) {
	decay := math.Exp(-max(0, now.Sub(c.at).Seconds()) / classMemory.Seconds())
	c.load[shortClass] *= decay
	c.load[longClass] *= decay
	c.at = now
	c.load[class] += work
	c.requests++
}

// want returns the number of engines for short requests among n.
func (c *classes) want(n int) int {
	total := c.load[shortClass] + c.load[longClass]
	if n < classServers || c.requests < classRequests || total <= 0 {
		return 0
	}
	share := c.load[shortClass] / total
	if share < classMinimum || share > 1-classMinimum {
		return 0
	}
	exact := min(share*classBias*float64(n), float64(n-1))
	if c.shorts > 0 && c.shorts < n && math.Abs(exact-float64(c.shorts)) < classHold {
		return c.shorts
	}
	return min(max(1, int(math.Round(exact))), n-1)
}

// split rebuilds the groups if the number of engines for short requests has
// changed, or always when forced.
func (c *classes) split(servers []*server, forced bool) {
	shorts := c.want(len(servers))
	if shorts == c.shorts && !forced {
		return
	}
	c.shorts = shorts
	c.groups = [2]group{}
	for class, mean := range c.work {
		if mean == nil {
			c.work[class] = &meanWork{}
		}
	}
	if shorts == 0 {
		for _, s := range servers {
			s.mean = c.work[noClass]
		}
		return
	}
	order := slices.Clone(servers)
	slices.SortFunc(order, func(a, b *server) int { return cmp.Compare(mix(a.seed), mix(b.seed)) })
	for i, s := range order {
		class := longClass
		if i < shorts {
			class = shortClass
		}
		c.groups[class].add(s)
		s.mean = c.work[class]
	}
}

// group returns the engines for a prompt: those of its class, or all.
func (p *pool) group(pr *prompt) group {
	if len(pr.levels) == 0 || p.classes.shorts == 0 {
		return p.ready
	}
	return p.classes.groups[classOf(pr)]
}
