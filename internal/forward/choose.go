package forward

import (
	"sync"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// chooser makes routing safe for concurrent use and keeps the retry budgets.
type chooser struct {
	mu      sync.Mutex
	router  *routing.Router
	limits  RetryBudgetLimits
	budgets map[string]*budget
	// named holds the weights that this router learnt of.
	named fleet.TargetHistory
	// weightsBound is the time after which outdated weights are not used; 0 is
	// never.
	weightsBound time.Duration
}

const (
	// importRate is the speed of imports between engines, in tokens a second: 35
	// GB/s at a third of a MB a token, the links of the deployments known.
	importRate = 100_000
	// strayWeight is that of routing.Settings: a context away from its home comes
	// from a store for less than it takes to compute.
	strayWeight = 1
	// preferAfter is the time from which on answers on older weights count less;
	// somewhat earlier, since calls wait at the engines.
	preferAfter = 1200 * time.Millisecond
)

func newChooser(domain string, seed uint64, limits RetryBudgetLimits, weightsBound time.Duration) *chooser {
	c := &chooser{router: routing.New(domain, seed), limits: limits, budgets: map[string]*budget{}, named: fleet.TargetHistory{}, weightsBound: weightsBound}
	c.router.SetSettings(routing.Settings{ImportRate: importRate, AffinityWeight: strayWeight})
	return c
}

// adopt takes the backend servers of a view.
func (c *chooser) adopt(now time.Time, s *view.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.SetBackends(now, s.Members())
	c.named.Record(now, s.WeightsTargets())
}

// weights returns the versions of a model's weights below which engines must not
// be used any more, and below which they are to be passed over; 0 for none. c.mu
// is held.
func (c *chooser) weights(now time.Time, model string) (required, preferred uint64) {
	versions := c.named[model]
	for _, known := range versions {
		if c.weightsBound > 0 && now.Sub(known.FirstSeen) >= c.weightsBound {
			required = known.Version
		}
	}
	if n := len(versions); n > 0 && now.Sub(versions[n-1].FirstSeen) >= preferAfter {
		preferred = versions[n-1].Version
	}
	return required, preferred
}

// loads takes the load reports of a digest.
func (c *chooser) loads(now time.Time, digest *wire.LoadDigest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range digest.GetLoads() {
		c.router.Load(now, l.GetBackend(), l.GetLoad())
	}
}

// start chooses a backend server for a call to model, empty for none, and notes the
// attempt as sent. It fills in the weights that req asks for. Where even the
// best one would take longer than patience until the first token, the call is
// refused with the time after which it would not; 0 is no bound.
func (c *chooser) start(now time.Time, model string, req *routing.Request, patience time.Duration) (*routing.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req.MinWeightsVersion, req.PreferredWeightsVersion = c.weights(now, model)
	d, err := c.router.Choose(now, req)
	if err != nil {
		return nil, err
	}
	if wait := d.Wait + d.Prefill; patience > 0 && wait > patience {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the first token would take %v: %v until there is room at %s, %v to read the prompt",
			wait.Round(time.Millisecond), d.Wait.Round(time.Millisecond), d.Backend.GetName(), d.Prefill.Round(time.Millisecond)).
			WithRetryAfter(wait - patience)
	}
	c.router.Started(now, d)
	return d, nil
}

func (c *chooser) firstToken(now time.Time, d *routing.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.FirstToken(now, d)
}

func (c *chooser) finished(now time.Time, d *routing.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.Finished(now, d, nil)
}

// outcomeKinds gives what routing is told of an attempt's end.
var outcomeKinds = map[Outcome]fault.Kind{
	Unsent:          fault.BackendRefused,
	Refused:         fault.Overloaded,
	Misdirected:     fault.Draining,
	InvalidResponse: fault.BackendCrashed,
	TimedOut:        fault.BackendTimeout,
	Failed:          fault.Internal,
}

func (c *chooser) failed(now time.Time, d *routing.Decision, kind fault.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.Failed(now, d, kind)
}

// called counts a call for a service.
func (c *chooser) called(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budgetOf(service).call(now)
}

// mayRetry takes a place in the retry budget of a service.
func (c *chooser) mayRetry(now time.Time, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budgetOf(service).take(now)
}

func (c *chooser) budgetOf(service string) *budget {
	b := c.budgets[service]
	if b == nil {
		b = newBudget(c.limits)
		c.budgets[service] = b
	}
	return b
}

// levelsOf returns the prompt levels for a choice, with the keys by which cache
// events name them under a salt; nil where the route has no prompts.
func levelsOf(route *wire.ForwardRoute, call *Call, salt string) []*wire.PrefixLevel {
	if !route.GetPrompts() {
		return nil
	}
	levels := make([]*wire.PrefixLevel, 0, len(call.PromptParts))
	total := uint32(0)
	for _, part := range call.PromptParts {
		total += part.Tokens
		levels = append(levels, &wire.PrefixLevel{Key: fleet.PromptPartKey(salt, part.ID), Tokens: total})
	}
	return levels
}
