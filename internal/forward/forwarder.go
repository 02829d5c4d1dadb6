package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"parsleypulley/internal/routes"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// Options are the parts of a Forwarder.
type Options struct {
	// Domain is the failure domain of this router.
	Domain string
	// Seed draws the random choices.
	Seed  uint64
	Views *view.Store
	// Freshness tells how well the view is known to be the newest, and Source from
	// which address it is followed; nil is not told.
	Freshness func() view.Freshness
	Source    func() string
	Dialect   Dialect
	Budget    RetryBudgetLimits
	// RevokeBound is the greatest age of a confirmation by which calls with a key
	// are still served; 0 stands for DefaultRevokeBound.
	RevokeBound time.Duration
	// WeightsBound is the time after which engines with outdated weights are not
	// used; 0 is never.
	WeightsBound time.Duration
}

const (
	// DefaultRevokeBound is the age of a confirmation from which on keys may have
	// been revoked unnoticed.
	DefaultRevokeBound = 4 * time.Second
	// defaultBodyLimit bounds bodies when the table sets no limit.
	defaultBodyLimit = 4 << 20
	// defaultTimeout bounds calls whose route sets no timeout; valid ones do.
	defaultTimeout = time.Minute
	// sweepInterval is the time between two searches for expired connections.
	sweepInterval = time.Second
	// minMove is the least length of an opening, in tokens, that is worth a move
	// of cached state: less is computed in the time that a miss costs.
	minMove = 256
	// stopRetry is the time to come back to another router when this one stops.
	stopRetry = 20 * time.Millisecond
	// patienceObjectives and minPatience bound the predicted time to the first
	// token, in objectives and at least: callers leave soon after.
	patienceObjectives = 3
	minPatience        = 1500 * time.Millisecond
	// retryMin and retrySpread bound the time to come back that a refusal tells:
	// drawn at random, so that callers don't return together.
	retryMin    = 200 * time.Millisecond
	retrySpread = 400 * time.Millisecond
)

// Forwarder serves callers by the route table. It implements http.Handler.
type Forwarder struct {
	opts     Options
	dialect  Dialect
	upstream *upstream
	choose   *chooser
	stores   *stores
	stopping atomic.Bool
}

// New returns a forwarder; Run keeps it up to date.
func New(opts Options) *Forwarder {
	if opts.RevokeBound <= 0 {
		opts.RevokeBound = DefaultRevokeBound
	}
	return &Forwarder{opts: opts, dialect: opts.Dialect, upstream: newUpstream(), choose: newChooser(opts.Domain, opts.Seed, opts.Budget, opts.WeightsBound), stores: newStores()}
}

// Run follows the views until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	belief := belief{source: f.opts.Source}
	for {
		changed := f.opts.Views.Changed()
		s := f.opts.Views.Load()
		f.choose.adopt(time.Now(), s)
		f.stores.follow(ctx, s)
		belief.adopt(s)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			f.upstream.sweep(now, addresses(s))
			belief.confirm(s, f.opts.Freshness())
		}
	}
}

func addresses(s *view.Snapshot) map[string]bool {
	current := map[string]bool{}
	for _, m := range s.Members() {
		current[m.GetBackend().GetAddress()] = true
	}
	return current
}

// Loads takes a digest of load reports.
func (f *Forwarder) Loads(digest *wire.LoadDigest) {
	f.choose.loads(time.Now(), digest)
	f.stores.take(digest.GetStores())
}

// BeginShutdown tells callers from now on to use other connections.
func (f *Forwarder) BeginShutdown() { f.stopping.Store(true) }

// Ready returns nil once calls can be served.
func (f *Forwarder) Ready() error {
	if f.opts.Views.Load().Routes.Version() == 0 {
		return errors.New("no route table yet")
	}
	if fresh := f.opts.Freshness(); !fresh.Confirmed {
		return fmt.Errorf("the view is %v old", fresh.Age.Round(time.Millisecond))
	}
	return nil
}

// forwarding is one call with all its attempts.
type forwarding struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrived time.Time

	snapshot *view.Snapshot
	route    *wire.ForwardRoute
	account  *wire.Account
	call     *Call
	body     []byte
	service  string
	salt     string
	levels   []*wire.PrefixLevel
	RetryState

	header  http.Header
	tried   []string
	backend string
	// lastEvent is the ID of the newest event that the caller holds.
	lastEvent string
	begun     bool
	first     time.Duration
	outcomes  []string
	// choice is the last decision, with the moves of cached state that it led to.
	choice   *routing.Decision
	from, to string
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &forwarding{f: f, w: w, r: r, arrived: time.Now(), snapshot: f.opts.Views.Load()}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	err := x.admit()
	if err == nil {
		err = x.serve()
	}
	x.finish(err)
}

// serve runs attempts until there is a final answer.
func (x *forwarding) serve() error {
	timeout := time.Duration(x.route.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	x.RetryState = RetryState{
		Idempotent:  x.route.GetRepetition() == wire.Repetition_REPETITION_IDEMPOTENT,
		Resumable:   x.route.GetResumable(),
		MaxAttempts: max(1, int(x.route.GetAttempts())),
		Deadline:    x.arrived.Add(timeout),
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.Deadline)
	defer cancel()
	x.ctx = ctx
	x.service = routes.Pick(x.route, rand.Uint64N(routes.Total(x.route)))
	x.salt = saltOf(x.account)
	x.levels = levelsOf(x.route, x.call, x.salt)
	x.lastEvent = x.call.LastEventID
	x.header = endToEnd(x.r.Header)
	x.f.choose.called(x.arrived, x.service)
	for {
		step := x.attempt()
		switch {
		case step.Retry:
		case step.Abort:
			return errAborted
		case step.Err != nil:
			return step.Err
		default:
			return nil
		}
	}
}

// errAborted tells that an answer which the caller has begun to receive can't be
// completed.
var errAborted = errors.New("the answer was broken off")
