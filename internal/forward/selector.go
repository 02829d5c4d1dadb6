package forward

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// backendSelector makes a routing.Router safe for concurrent use and holds the
// retry budgets of the services.
//
// Its methods read the clock once they have the lock: permits and other permissions end while a
// call waits for the lock, or while the process or its VM stands still. The clock counts the time
// in which the VM is suspended.
type backendSelector struct {
	clock  func() time.Time
	mu     sync.Mutex
	router *routing.Router
	// viewVersion is the version of the view that was set last.
	viewVersion uint64
	limits      RetryBudgetLimits
	// budgets holds the retry budgets by service.
	budgets map[string]*retryBudget
	// targetHistory holds the target versions of the weights and when this router
	// first saw each.
	targetHistory fleet.TargetHistory
	// weightsBound is the value of Options.WeightsBound.
	weightsBound time.Duration
}

const (
	// importRate is the speed of imports between engines in tokens per second. It
	// corresponds to 35 GB/s at a third of a MB per token, the link speed in the
	// known deployments.
	importRate = 100_000
	// affinityWeight is the value of routing.Settings.AffinityWeight. It is higher
	// than the default: engines report what they hold late, and a context that is read
	// or imported by a second engine displaces another one there.
	affinityWeight = 10
	// preferAfter is the time since a weights version was named after
	// which engines with older versions are ranked lower. It is shorter than the
	// time after which they are no longer used, since calls wait in the engines'
	// queues.
	preferAfter = 1200 * time.Millisecond
	// returnSpread is the part of a Retry-After time, as a divisor, over which the
	// returns of callers are spread.
	returnSpread = 2
)

func newBackendSelector(domain string, seed uint64, limits RetryBudgetLimits, weightsBound time.Duration) *backendSelector {
	sel := &backendSelector{clock: steady.Now, router: routing.New(domain, seed), limits: limits, budgets: map[string]*retryBudget{}, targetHistory: fleet.TargetHistory{}, weightsBound: weightsBound}
	sel.router.SetSettings(routing.Settings{ImportRate: importRate, AffinityWeight: affinityWeight})
	return sel
}

// setView sets the backend servers and the weights versions of a view, unless a newer one was set.
func (sel *backendSelector) setView(s *view.Snapshot) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if s.Version < sel.viewVersion {
		return
	}
	sel.viewVersion = s.Version
	now := sel.clock()
	sel.router.SetBackends(now, s.Members())
	sel.targetHistory.Record(now, s.WeightsTargets())
}

// knownVersions returns the target versions of a model's weights, oldest first. sel.mu must be held.
func (sel *backendSelector) knownVersions(model string) []fleet.TargetVersion {
	return sel.targetHistory[model]
}

// namedSince returns the time before which a version was not named; zero if it is unknown, and then counts
// as long ago.
func namedSince(v fleet.TargetVersion) time.Time { return v.FirstSeen }

// setWeights sets what a request for a backend server says of the weights: engines with a version below
// MinWeightsVersion must not be used, calls must begin within WeightsLimits on those below newer ones, and those
// below PreferredWeightsVersion are ranked lower. sel.mu must be held.
func (sel *backendSelector) setWeights(now time.Time, req *routing.Request) {
	req.MinWeightsVersion, req.PreferredWeightsVersion, req.WeightsLimits = 0, 0, nil
	versions := sel.knownVersions(req.Model)
	for _, known := range versions {
		switch since := namedSince(known); {
		case sel.weightsBound <= 0:
		case now.Sub(since) >= sel.weightsBound:
			req.MinWeightsVersion = known.Version
		default:
			req.WeightsLimits = append(req.WeightsLimits, routing.WeightsLimit{Below: known.Version, BeginBy: since.Add(sel.weightsBound)})
		}
	}
	if n := len(versions); n > 0 && now.Sub(namedSince(versions[n-1])) >= preferAfter {
		req.PreferredWeightsVersion = versions[n-1].Version
	}
}

// beginBy returns the time by which calls must begin on a version of a model's weights; limited is false if
// there is none.
func (sel *backendSelector) beginBy(model string, version uint64) (at time.Time, limited bool) {
	since, outdated := sel.outdatedSince(model, version)
	return since.Add(sel.weightsBound), outdated && sel.weightsBound > 0
}

// outdatedSince returns the earliest time at which a newer version of the weights can have been named; outdated
// is false if none is known.
func (sel *backendSelector) outdatedSince(model string, version uint64) (since time.Time, outdated bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for _, known := range sel.knownVersions(model) {
		if at := namedSince(known); known.Version > version && (!outdated || at.Before(since)) {
			since, outdated = at, true
		}
	}
	return since, outdated
}

// outdatedFor returns how long a newer version of the weights has been known than that of the chosen
// engine; 0 if none is.
func (sel *backendSelector) outdatedFor(d *routing.Decision) time.Duration {
	since, outdated := sel.outdatedSince(d.Model, d.WeightsVersion)
	if !outdated || d.WeightsVersion == 0 {
		return 0
	}
	return sel.clock().Sub(since)
}

// applyLoads applies the load reports of a digest.
func (sel *backendSelector) applyLoads(digest *wire.LoadDigest) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.router.LimitsReported(now, digest.GetLimits())
	for _, l := range digest.GetLoads() {
		sel.router.LoadReported(now, l.GetBackend(), l.GetLoad())
	}
}

// selectBackend selects a backend server for a call and records the attempt as
// started. It sets the weights versions and limits in req. If even the best backend server is predicted to be beyond
// limits, selectBackend returns an error whose RetryAfter is the excess. The error is
// routing.ErrPermitsNeeded if permits should be asked for first.
func (sel *backendSelector) selectBackend(req *routing.Request, limits startLimits) (*routing.Decision, error) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.setWeights(now, req)
	d, err := sel.router.Choose(now, req)
	if errors.Is(err, routing.ErrPermitsNeeded) {
		return nil, err
	}
	if err != nil {
		if errors.Is(err, routing.ErrWeightsOutdated) {
			weightsLimits.Add("refused", 1)
		}
		e := fault.From(err)
		if e.RetryAfter > 0 {
			// Callers return at different times after the first backend server wants calls.
			e.WithRetryAfter(e.RetryAfter + rand.N(e.RetryAfter/returnSpread+1))
		}
		return nil, e
	}
	if err := limits.check(d, sharedPrefixTokens(req.Levels)); err != nil {
		return nil, err
	}
	sel.router.Started(now, d)
	return d, nil
}

// recordNotices records what a backend server says of itself in a response to an attempt,
// and reports what of it is news.
func (sel *backendSelector) recordNotices(d *routing.Decision, info ResponseInfo) (leaving, quiet, limit bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	if info.Leaving {
		leaving = sel.router.SaidLeaving(now, d)
	}
	if info.RetryAfter > 0 {
		quiet = sel.router.AskedForQuiet(now, d, info.RetryAfter)
	}
	if info.InvalidLimit == "" {
		limit = sel.router.SaidLimit(now, d, info.LimitPerSecond)
	}
	return leaving, quiet, limit
}

func (sel *backendSelector) firstToken(d *routing.Decision) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.router.FirstToken(now, d)
}

func (sel *backendSelector) eventGap(d *routing.Decision, gap time.Duration) {
	if gap == 0 {
		return
	}
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.router.EventGap(d, gap)
}

func (sel *backendSelector) finished(d *routing.Decision) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.router.Finished(now, d, nil)
}

// faultKinds maps the outcome of an attempt to the kind of failure reported to
// routing.
var faultKinds = map[Outcome]fault.Kind{
	Unsent:          fault.BackendRefused,
	Refused:         fault.Overloaded,
	Misdirected:     fault.StaleWeights, // or another backend server at the address
	InvalidResponse: fault.BackendCrashed,
	TimedOut:        fault.BackendTimeout,
	Failed:          fault.Internal,
}

func (sel *backendSelector) failed(d *routing.Decision, kind fault.Kind) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.router.Failed(now, d, kind)
}

// recordCall adds a call to the retry budget of a service.
func (sel *backendSelector) recordCall(service string) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.budgetFor(service).addCall(now)
}

// tryRetry counts one retry for a service and returns true if its budget allows
// it.
func (sel *backendSelector) tryRetry(service string) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	return sel.budgetFor(service).tryWithdraw(now, sel.router.RequestShare())
}

// takeRetry reports whether a backend server could be selected for another attempt of a call, and if
// so counts a retry, unless the budget of the service is used up.
func (sel *backendSelector) takeRetry(service string, req *routing.Request) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.setWeights(now, req)
	return sel.router.CanChoose(now, req) && sel.budgetFor(service).tryWithdraw(now, sel.router.RequestShare())
}

func (sel *backendSelector) budgetFor(service string) *retryBudget {
	b := sel.budgets[service]
	if b == nil {
		b = newRetryBudget(sel.limits)
		sel.budgets[service] = b
	}
	return b
}

// levelsOf returns the prefix levels of a call's prompt. Their keys are those
// that cache events use under the given salt. It returns nil if the route has no
// prompts.
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
