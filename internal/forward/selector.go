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
	// targetHistory tells when target versions of the weights were named.
	targetHistory *fleet.TargetHistory
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
	sel := &backendSelector{clock: steady.Now, router: routing.New(domain, seed), limits: limits, budgets: map[string]*retryBudget{}, targetHistory: fleet.NewTargetHistory(), weightsBound: weightsBound}
	sel.router.SetSettings(routing.Settings{ImportRate: importRate, AffinityWeight: affinityWeight})
	return sel
}

// setView sets the backend servers of a view, unless a newer one was set.
func (sel *backendSelector) setView(s *view.Snapshot) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if s.Version < sel.viewVersion {
		return
	}
	sel.viewVersion = s.Version
	sel.router.SetBackends(sel.clock(), s.Members())
}

// setWeights sets what a request for a backend server says of the weights: engines with a version below
// MinWeightsVersion must not be used, calls must begin within WeightsLimits on those below newer ones, and those
// below PreferredWeightsVersion are ranked lower. A version of unknown age counts as named long ago.
func (sel *backendSelector) setWeights(now time.Time, req *routing.Request) {
	req.MinWeightsVersion, req.PreferredWeightsVersion, req.WeightsLimits = 0, 0, nil
	model := req.Model
	if model == "" {
		model = sel.router.OnlyModel(req.Service)
	}
	versions := sel.targetHistory.Versions(model)
	for _, known := range versions {
		switch {
		case sel.weightsBound <= 0:
		case now.Sub(known.Since) >= sel.weightsBound:
			req.MinWeightsVersion = known.Version
		default:
			req.WeightsLimits = append(req.WeightsLimits, routing.WeightsLimit{Below: known.Version, BeginBy: known.Since.Add(sel.weightsBound)})
		}
	}
	if n := len(versions); n > 0 && now.Sub(versions[n-1].Since) >= preferAfter {
		req.PreferredWeightsVersion = versions[n-1].Version
	}
}

// beginBy returns the time by which calls must begin on a version of a model's weights; limited is false if
// there is none.
func (sel *backendSelector) beginBy(model string, version uint64) (at time.Time, limited bool) {
	since, outdated := sel.targetHistory.OutdatedSince(model, version)
	return since.Add(sel.weightsBound), outdated && sel.weightsBound > 0
}

// outdatedFor returns for how long the weights of the chosen engine can have been outdated; 0 if they
// are not. It is at most fleet.MaxTargetAge, which also stands for a time that is not known.
func (sel *backendSelector) outdatedFor(d *routing.Decision) time.Duration {
	if d.WeightsVersion == 0 {
		return 0
	}
	since, outdated := sel.targetHistory.OutdatedSince(d.Model, d.WeightsVersion)
	if !outdated {
		return 0
	}
	return min(sel.clock().Sub(since), fleet.MaxTargetAge)
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

// tryRetryInTime does the same as tryRetry, unless the weights of all engines are too old for the request.
func (sel *backendSelector) tryRetryInTime(service string, req *routing.Request) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clock()
	sel.setWeights(now, req)
	return !sel.router.WeightsTooOld(now, req) && sel.budgetFor(service).tryWithdraw(now, sel.router.RequestShare())
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
