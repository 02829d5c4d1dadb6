package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"parsleypulley/internal/crashreport"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/membudget"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/quota/guard"
	"parsleypulley/internal/reach"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routes"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/shutdown"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// Options configure a Forwarder.
type Options struct {
	// Domain is the failure domain of this router.
	Domain string
	// Seed seeds the random choices of backend servers.
	Seed uint64
	// Views holds the view that the forwarder uses.
	Views *view.Store
	// Freshness returns whether the view is confirmed to be the newest, and the
	// age of the last confirmation.
	Freshness func() view.Freshness
	// SourceAddress returns the link address of the process from which the view
	// is followed. It is used for logging and may be nil.
	SourceAddress func() string
	// Dialect reads and writes the headers of the API that is served.
	Dialect Dialect
	// Budget limits retries.
	Budget RetryBudgetLimits
	// Control takes the reports of backend servers that end under a call.
	Control crashreport.Proposer
	// Permits gives the permits for backend servers that limit their calls, and the units of
	// the quotas of client accounts. If it is nil, there are none.
	Permits PermitSource
	// Unreachable tells the leader which backend servers this router can't reach. It may be
	// nil.
	Unreachable UnreachableReporter
	// CheckDialer opens the connections that check whether a backend server's machine answers;
	// nil stands for a *net.Dialer.
	CheckDialer reach.Dialer
	// Streams tells which software began a stream. If it is nil, streams that callers take up
	// again are refused.
	Streams StreamDirectory
	// RevokeBound limits the age of the last confirmation of the view. Calls that need
	// or carry an API key are refused once the age reaches it, since the key may have
	// been revoked. 0 selects DefaultRevokeBound.
	RevokeBound time.Duration
	// ReportRates is set if the leader is to be told the rates of calls by service.
	ReportRates bool
	// WeightsBound is the time within which calls must have begun on older weights, since the last time
	// before which no newer version was acknowledged, as far as Targets tells. Calls that would not are
	// not sent there, and those that have not are taken back. Engines of which Targets tells no time are
	// not used: since that may be so a minute after a version was named, longer bounds are not kept
	// exactly. 0 means that there is no such time.
	WeightsBound time.Duration
	// Targets tells when weights versions were named. It must be that of the log of Views. If it
	// is nil, engines with older weights are always used.
	Targets *fleet.TargetHistory
}

const (
	// DefaultRevokeBound is the default of Options.RevokeBound.
	DefaultRevokeBound = 4 * time.Second
	// defaultBodyLimit limits request bodies if the route table sets no limit.
	defaultBodyLimit = 4 << 20
	// defaultTimeout limits calls whose route sets no timeout. Valid routes
	// always set one.
	defaultTimeout = time.Minute
	// sweepInterval is the time between two scans for expired connections.
	sweepInterval = time.Second
	// minTransferTokens is the minimum length in tokens of a shared prefix for
	// which cached state is imported or saved. Computing a shorter one takes no
	// longer than a request for cached state that is not found.
	minTransferTokens = 256
	// shutdownRetryAfter is the Retry-After time that a stopping router returns.
	// Callers retry at another router.
	shutdownRetryAfter = shutdown.RetryAfter
	// startRetryAfter is the Retry-After time of a router that has started and has no
	// route table yet: the time in which replicas that have restarted too elect a
	// leader and routers get its view. Callers that came back sooner would be refused
	// again.
	startRetryAfter = time.Second
	// A call is refused if its predicted time to the first token exceeds a limit,
	// since callers give up soon after it. The limit is firstTokenObjectives
	// times the route's objective, or minFirstTokenLimit if that is longer.
	firstTokenObjectives = 3
	minFirstTokenLimit   = 1500 * time.Millisecond
	// maxWaitShare is the part of its timeout for which a call on a route of urgency 1 may wait;
	// see startLimitsOf. With each step that a route is less urgent it is divided by
	// waitShareStep.
	maxWaitShare  = 0.36
	waitShareStep = 3
	// The Retry-After time of an error response is that of the error, but at least
	// minRetryAfter, plus a random time of at most retryAfterJitter, so that
	// callers do not all retry at the same time.
	minRetryAfter    = 200 * time.Millisecond
	retryAfterJitter = 400 * time.Millisecond
)

// Forwarder forwards calls according to the route table. It implements
// http.Handler.
type Forwarder struct {
	opts     Options
	dialect  Dialect
	connPool *connPool
	// bodies limits the memory for request bodies.
	bodies       *membudget.Budget
	selector     *backendSelector
	storeMonitor *storeMonitor
	shutdown     *shutdownGuard
	crashes      *crashGuard
	permits      *permitClient
	silence      *silenceGuard
	quotas       *guard.Guard
	starts       *startTracker
	runs         *runTracker
	// invalidNotices limits log lines; see recordNotices.
	invalidNotices invalidNoticeLimiter
}

// New returns a Forwarder. Run must be called to keep it up to date.
func New(opts Options) *Forwarder {
	if opts.RevokeBound <= 0 {
		opts.RevokeBound = DefaultRevokeBound
	}
	quotas := guard.New()
	selector := newBackendSelector(opts.Domain, opts.Seed, opts.Budget, opts.WeightsBound)
	if opts.Targets != nil {
		selector.targetHistory = opts.Targets
	}
	if opts.ReportRates {
		selector.router.ReportRates()
	}
	pool := newConnPool()
	return &Forwarder{opts: opts, dialect: opts.Dialect, connPool: pool, bodies: newBodyBudget(), selector: selector, storeMonitor: newStoreMonitor(), shutdown: newShutdownGuard(),
		silence: newSilenceGuard(opts.CheckDialer, pool, opts.Unreachable), starts: newStartTracker(opts.Streams), runs: newRunTracker(opts.Views, opts.Freshness),
		permits: newPermitClient(opts.Permits, strconv.FormatUint(opts.Seed, 36), selector, quotas), quotas: quotas, crashes: newCrashGuard(crashreport.New(opts.Control, opts.Views))}
}

// Run applies new views and closes expired connections until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	go f.permits.run(ctx)
	go f.followRuns(ctx)
	viewLogger := viewLogger{source: f.opts.SourceAddress}
	for {
		changed := f.opts.Views.Changed()
		s := f.opts.Views.Load()
		recovery.Run("view", func() { f.applyView(ctx, s, &viewLogger) })
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			f.connPool.sweep(now, backendAddresses(s))
			f.crashes.reporter.Expire(now, s.Version)
			viewLogger.setFreshness(s, f.opts.Freshness())
		}
	}
}

// applyView applies a view, also one that has not changed.
func (f *Forwarder) applyView(ctx context.Context, s *view.Snapshot, logger *viewLogger) {
	f.updateRuns()
	f.selector.setView(s)
	f.storeMonitor.watchStores(ctx, s)
	logger.setView(s)
	f.silence.setView(s)
	f.silence.pauses.retain(s)
	if f.crashes.reporter.ApplyView(s) {
		time.AfterFunc(crashreport.PartConfirmTime, f.crashes.cancelQuarantined)
	}
	for _, b := range f.crashes.replaced(time.Now(), s) {
		go recovery.Run("crash report", func() { f.countCrash(b.reports) })
	}
}

// backendAddresses returns the addresses of the backend servers in a view.
func backendAddresses(s *view.Snapshot) map[string]bool {
	current := map[string]bool{}
	for _, m := range s.Members() {
		current[m.GetBackend().GetAddress()] = true
	}
	return current
}

// ApplyLoads applies a digest of load reports.
func (f *Forwarder) ApplyLoads(digest *wire.LoadDigest) {
	f.selector.applyLoads(digest)
	f.storeMonitor.setHoldings(digest.GetStores())
}

// BeginShutdown makes the forwarder close callers' connections after their next
// response, and refuse calls that might not be complete at the end of the planned stop,
// which cuts them. Calls whose response has not begun shortly before the end get an answer.
func (f *Forwarder) BeginShutdown(times StopTimes) {
	f.shutdown.begin(times)
}

// AnswerWaiting ends the calls whose response has not begun, and waits until their callers have an
// answer, at most lateAnswerTime. It is called at the end of the planned stop: a process that got no
// processor time for longer than finalAnswerMargin has not answered them yet.
func (f *Forwarder) AnswerWaiting() {
	f.shutdown.AnswerWaiting(lateAnswerTime)
}

// StopCounts returns the numbers of calls of the planned stop, at its end.
func (f *Forwarder) StopCounts() event.StopCounts { return event.StopCounts(f.shutdown.Counts()) }

// Ready returns nil if calls can be served, and otherwise an error with the
// reason.
func (f *Forwarder) Ready() error {
	if f.opts.Views.Load().Routes.Version() == 0 {
		return errors.New("no route table yet")
	}
	if fresh := f.opts.Freshness(); !fresh.Confirmed {
		return fmt.Errorf("the view is %v old", fresh.Age.Round(time.Millisecond))
	}
	return nil
}

// forwardedCall is the state of one call with all its attempts.
type forwardedCall struct {
	f *Forwarder
	w http.ResponseWriter
	r *http.Request
	// callCtx ends when the caller disconnects or at the deadline of the call. ctx is that of
	// the current attempt.
	callCtx, ctx context.Context
	arrivedAt    time.Time

	// snapshot is the view that the whole call is served from, and freshness its
	// confirmation.
	snapshot  *view.Snapshot
	freshness view.Freshness
	route     *wire.ForwardRoute
	// account is the client account, or nil if the route needs no API key.
	account *wire.Account
	// quota is what the call uses of the account's quota.
	quota guard.Use
	call  *Call
	body  []byte
	// bodyHold is what the body takes of the memory for bodies.
	bodyHold *membudget.Hold
	// service is the service selected from those of the route.
	service string
	// cacheScope is the scope of cached state of the latest attempt.
	cacheScope cacheScope
	// promptLevels are the nested prefixes of the prompt in this scope, shortest first. The
	// last one is the whole prompt. It is empty if the route has no prompts.
	promptLevels []*wire.PrefixLevel
	RetryState
	// stop is what the shutdown guard knows of the call.
	stop *stopCall

	// fingerprint identifies the same calls of the account; nil until it is needed.
	fingerprint []byte
	// partKeys identify the parts of the prompt that other calls may have too; nil until they
	// are needed.
	partKeys []quarantine.Key
	// knownCrashes holds what was known of these parts when the latest attempt was sent, and
	// answeredAt is the time of its first event.
	knownCrashes []uint32
	answeredAt   time.Time
	// header holds the caller's end-to-end headers.
	header http.Header
	// triedBackends are the names of the backend servers tried.
	triedBackends []string
	// backend is the name of the backend server tried last, and attemptedAt the time before that attempt.
	backend     string
	attemptedAt time.Time
	// bound is set once backend servers of one version of the software only, softwareVersion,
	// can go on with the stream.
	bound           bool
	softwareVersion string
	// startedBy is the backend server that sent the first event of this call; nil before it.
	startedBy *wire.Backend
	// startedAt is the time of that event, by the steady clock, and startKnown is set if startedBy was
	// then known to be the run that the view told.
	startedAt  time.Time
	startKnown bool
	// recordedAt is the time at which the software of the stream was recorded last.
	recordedAt time.Time
	// position is how far the caller has got in the stream.
	position streamPosition
	// headerWritten is set once the caller has been sent response headers.
	headerWritten bool
	// firstEventDelay is the time from the arrival of the call to the first event
	// of a stream; 0 if there has been none.
	firstEventDelay time.Duration
	// lastEventAt is when the newest event arrived, and longestPause the longest time between
	// two events.
	lastEventAt  time.Time
	longestPause time.Duration
	// watched is the watch of the latest attempt.
	watched *watchedAttempt
	// outcomes lists the failed attempts for the log, as BACKEND:OUTCOME.
	outcomes []string
	// decision is the latest routing decision.
	decision *routing.Decision
	// outdatedFor is the time for which the weights of the engine can have been outdated at the
	// latest attempt.
	outdatedFor time.Duration
	// beginIn is the time within which the latest attempt had to begin; nil if there was none.
	beginIn *time.Duration
	// cacheImportAddress and cacheSaveAddress are the cache transfers of the
	// latest attempt.
	cacheImportAddress, cacheSaveAddress string
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &forwardedCall{f: f, w: w, r: r, arrivedAt: time.Now()}
	c.snapshot, c.freshness = f.currentView()
	if f.shutdown.Stopping() {
		w.Header().Set("Connection", "close")
	}
	defer func() { c.quota.End() }()
	defer func() { c.releaseBody() }()
	c.stop = f.shutdown.arrive(c.arrivedAt)
	end := endLeft // also if the call panics
	defer func() { f.shutdown.finish(time.Now(), c.stop, end) }()
	err := c.admit()
	if err == nil {
		err = c.serve()
	}
	end = c.endOf(err)
	c.finish(err, end)
}

// serve makes attempts until the call has a final result.
func (c *forwardedCall) serve() error {
	c.RetryState = RetryState{
		Idempotent:  c.route.GetRepetition() == wire.Repetition_REPETITION_IDEMPOTENT,
		Resumable:   c.route.GetResumable(),
		MaxAttempts: max(1, int(c.route.GetAttempts())),
		Deadline:    c.arrivedAt.Add(c.timeout()),
	}
	stoppable, endAttempts := context.WithCancelCause(c.r.Context())
	defer endAttempts(nil)
	c.stop.OnEnd(func(bool) { endAttempts(errStopEnds) })
	ctx, cancel := context.WithDeadline(stoppable, c.Deadline)
	defer cancel()
	c.callCtx, c.ctx = ctx, ctx
	c.service = routes.PickService(c.route, rand.Uint64N(routes.TotalWeight(c.route)))
	if err := c.bindResumed(ctx); err != nil {
		return c.beforeAttempts(err)
	}
	c.position.lastID = c.call.LastEventID
	c.header = endToEndHeaders(c.r.Header)
	if err := c.takeQuota(); err != nil {
		return c.beforeAttempts(err)
	}
	c.f.selector.recordCall(c.service)
	defer c.dropSuccessor()
	for {
		step := c.attempt()
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

// beforeAttempts returns the error of a call that ends before its first attempt with err: what it
// waited for does not count if the end of the planned stop ended the wait.
func (c *forwardedCall) beforeAttempts(err error) error {
	if c.isFinal() && !fault.Is(err, fault.Cancelled) {
		return c.Stopped(Unsent).Err
	}
	return err
}

// takeQuota takes the cost of the call from the quota of its client account, if it has one.
func (c *forwardedCall) takeQuota() (err error) {
	cost := quota.Cost(c.account.GetQuota(), c.call.InputTokens, c.call.OutputTokens)
	c.quota, err = c.f.quotas.Take(c.callCtx, c.account, cost, c.f.permits.askQuotas)
	return err
}

// timeout returns how long the call may take: the shorter of the caller's time limit and
// that of the route.
func (c *forwardedCall) timeout() time.Duration {
	timeout := time.Duration(c.route.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.call.Timeout > 0 {
		timeout = min(timeout, c.call.Timeout)
	}
	return timeout
}

// errAborted is returned when a response of which the caller has already received
// a part cannot be completed.
var errAborted = errors.New("the answer was broken off")
