package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"parsleypulley/internal/admission"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

const (
	// serverCount is the number of backend servers of a deployment.
	serverCount = 18
	// runLength is the virtual duration of a run.
	runLength = 40 * time.Second
	// warmUp is the first part of a run, which isn't measured.
	warmUp = 10 * time.Second
	// faultAt is the time of a scenario's fault.
	faultAt = 15 * time.Second
	// detectionDelay is the time until the view of the routers shows a crash or a
	// restart.
	detectionDelay = 1500 * time.Millisecond
	// outageDuration is the time between the crash and the restart of an engine.
	outageDuration = 10 * time.Second
	// probeInterval is the interval between two load probes of a router.
	probeInterval = 500 * time.Millisecond
	// hopDelay is the one-way network delay between a router and an agent.
	hopDelay = 200 * time.Microsecond
	// crossDomainDelay is added to hopDelay between different failure domains.
	crossDomainDelay = 500 * time.Microsecond
	// maxAttempts is the maximum number of attempts for a call.
	maxAttempts = 4
)

// router is one router with its routing policy and admission control.
type router struct {
	domain    string
	policy    policy
	admission *admission.Controller
	// waiting holds the calls that wait for admission, by ID.
	waiting map[uint64]*pendingCall
}

// pendingCall is a call that a router has received and not finished.
type pendingCall struct {
	id     uint64
	call   *call
	router *router
	// tried holds the names of the engines of all attempts so far.
	tried    []string
	demotion int32
	// answered is set by the first token of any attempt.
	answered bool
}

// run is the state of one run.
type run struct {
	clock    clock
	trace    *Trace
	scenario Scenario
	// policy is the name of the policy of all routers.
	policy           string
	random           *rand.Rand
	engines          []*engine
	byName           map[string]*engine
	routers          []*router
	recomputedTokens uint64
	nextID           uint64
	result           Result
}

// Run simulates one policy in one scenario. The same seed gives the same result.
func Run(tr *Trace, sc Scenario, policyName string, seed uint64) *Result {
	r := &run{
		clock: clock{now: epoch}, trace: tr, scenario: sc, policy: policyName,
		random: rand.New(rand.NewPCG(seed, 1)),
		byName: make(map[string]*engine),
	}
	r.result.FirstTokenTimesByAccount = make(map[string][]time.Duration)
	r.result.RefusedByAccount = make(map[string]int)
	r.startEngines(seed)
	if r.scenario.Routers == 0 {
		r.scenario.Routers = 3
	}
	for i := range r.scenario.Routers {
		r.routers = append(r.routers, r.newRouter(i, seed))
	}
	shift := time.Duration(0)
	if sc.ShiftHotContexts {
		shift = faultAt
	}
	calls := tr.generate(rand.New(rand.NewPCG(seed, 2)), sc.LoadFactor, runLength, shift, sc.ExtraFirstAccount)
	for i := range calls {
		c := &calls[i]
		r.clock.after(c.at, func() { r.arrive(c) })
	}
	r.clock.after(faultAt, func() { r.injectFault(seed) })
	recomputedBefore := uint64(0)
	r.clock.after(r.countingStart(), func() { recomputedBefore = r.recomputedTokens })
	r.clock.run(epoch.Add(runLength))
	r.result.RecomputedTokens = r.recomputedTokens - recomputedBefore
	slices.Sort(r.result.FirstTokenTimes)
	for _, times := range r.result.FirstTokenTimesByAccount {
		slices.Sort(times)
	}
	return &r.result
}

// countingStart returns the time from which calls are measured, which is the time
// of the fault in a scenario that has one.
func (r *run) countingStart() time.Duration {
	sc := r.scenario
	if sc.ShiftHotContexts || sc.CrashedEngines > 0 || sc.RestartRouters || sc.SlowFactor > 0 {
		return faultAt
	}
	return warmUp
}

func (r *run) startEngines(seed uint64) {
	computedKeys := make(map[uint64]bool)
	for i := range serverCount {
		e := &engine{
			clock: &r.clock, random: rand.New(rand.NewPCG(seed, uint64(100+i))), slowFactor: 1,
			capacity: r.trace.CacheTokens, computedKeys: computedKeys, recomputedTokens: &r.recomputedTokens,
			backend: &wire.Backend{
				Name: fmt.Sprintf("runner-%d", i), AgentAddress: fmt.Sprintf("10.0.0.%d:1", i),
				FailureDomain: r.trace.Domains[i%len(r.trace.Domains)], EngineIncarnation: 1, MaxRunning: maxRunning,
				Models: []*wire.LoadedModel{{Model: modelName, WeightsVersion: weightsVersion}},
			},
		}
		e.clear()
		r.clock.after(time.Duration(i)*sampleInterval/serverCount, e.sampleUtilization)
		r.engines = append(r.engines, e)
		r.byName[e.backend.Name] = e
	}
}

func (r *run) newRouter(i int, seed uint64) *router {
	n := &router{
		domain:    r.trace.Domains[i%len(r.trace.Domains)],
		admission: admission.New(admission.Settings{}),
		waiting:   make(map[uint64]*pendingCall),
	}
	settings := r.trace.Settings
	if r.scenario.KVImport {
		settings.ImportRate = importRate
	}
	if r.policy == routingPolicyName {
		p := &routingPolicy{Router: routing.New(n.domain, seed*10+uint64(i)), engines: r.byName}
		p.SetSettings(settings)
		n.policy = p
	} else {
		n.policy = &baseline{
			name: r.policy, settings: settings, engines: r.byName,
			choices:      i * 7,
			reportedLoad: make(map[string]int), sentSinceReport: make(map[string]int),
		}
	}
	r.updateView(n)
	r.clock.after(time.Duration(i)*time.Millisecond, func() { r.probeAll(n) })
	return n
}

// updateView gives a router the current view of the engines that are up.
func (r *run) updateView(n *router) {
	var members []*wire.Member
	for _, e := range r.engines {
		if !e.down {
			members = append(members, &wire.Member{Backend: e.backend, State: wire.BackendState_BACKEND_STATE_READY})
		}
	}
	n.policy.setBackends(r.clock.now, members)
	r.applyActions(n, n.admission.SetCapacity(r.clock.now, modelName, len(members), len(members)*maxRunning))
}

// probeAll requests the engines' load for a router, and again after every
// probeInterval. It ends when the router has been replaced by a restart.
func (r *run) probeAll(n *router) {
	if !slices.Contains(r.routers, n) && len(r.routers) == r.scenario.Routers {
		return
	}
	n.policy.probe(r.clock.now)
	r.applyActions(n, n.admission.SetOccupancy(r.clock.now, modelName, n.policy.occupancy(r.clock.now)))
	r.clock.after(probeInterval, func() { r.probeAll(n) })
}

// injectFault injects the scenario's faults.
func (r *run) injectFault(seed uint64) {
	if r.scenario.SlowFactor > 0 {
		r.engines[3].slowFactor = r.scenario.SlowFactor
	}
	if r.scenario.RestartRouters {
		for i := range r.routers {
			r.routers[i] = r.newRouter(i, seed+1000)
		}
	}
	if r.scenario.CrashedEngines == 0 {
		return
	}
	for i := range r.scenario.CrashedEngines {
		e := r.engines[(i*len(r.trace.Domains))%serverCount]
		e.crash()
		r.clock.after(outageDuration, e.restart)
	}
	for _, wait := range []time.Duration{detectionDelay, outageDuration + detectionDelay} {
		r.clock.after(wait, func() {
			for _, n := range r.routers {
				r.updateView(n)
			}
		})
	}
}

// arrive submits a call to a random router.
func (r *run) arrive(c *call) {
	now := r.clock.now
	n := r.routers[r.random.IntN(len(r.routers))]
	r.nextID++
	pending := &pendingCall{id: r.nextID, call: c, router: n}
	if r.isCounted(c) {
		r.result.Calls++
	}
	expected := n.policy.choose(now, c, nil, 0)
	n.waiting[pending.id] = pending
	r.applyActions(n, n.admission.Admit(now, admission.Request{
		ID: pending.id, Pool: modelName, Account: c.account, Tokens: expected.recomputeTokens,
		Deadline: now.Add(r.trace.Deadline),
	}))
	r.scheduleTick(n)
}

// isCounted reports whether a call is measured.
func (r *run) isCounted(c *call) bool { return c.at >= r.countingStart() }

// scheduleTick schedules the next Tick of a router's admission control.
func (r *run) scheduleTick(n *router) {
	due := n.admission.NextTick()
	if due.IsZero() {
		return
	}
	r.clock.after(due.Sub(r.clock.now), func() { r.applyActions(n, n.admission.Tick(r.clock.now)) })
}

// applyActions dispatches the calls that admission has admitted, and counts those
// that it has refused.
func (r *run) applyActions(n *router, actions []admission.Action) {
	for _, action := range actions {
		pending := n.waiting[action.ID]
		delete(n.waiting, action.ID)
		if action.Refusal != nil {
			if r.isCounted(pending.call) {
				r.result.Refused++
				r.result.RefusedByAccount[pending.call.account]++
			}
			continue
		}
		pending.demotion = action.Demotion
		r.dispatch(pending)
	}
}

// dispatch starts the next attempt of a call. The call fails when no engine is left
// or maxAttempts is reached.
func (r *run) dispatch(pending *pendingCall) {
	now := r.clock.now
	ch := pending.router.policy.choose(now, pending.call, pending.tried, pending.demotion)
	if ch.engine == nil || len(pending.tried) >= maxAttempts {
		if r.isCounted(pending.call) {
			r.result.Failed++
		}
		r.applyActions(pending.router, pending.router.admission.Finish(now, pending.id, admission.Result{}))
		return
	}
	e := ch.engine
	pending.tried = append(pending.tried, e.backend.Name)
	pending.router.policy.started(now, &ch)
	delay := hopDelay
	if e.backend.FailureDomain != pending.router.domain {
		delay += crossDomainDelay
	}
	j := &job{id: fmt.Sprint(pending.id, len(pending.tried)), levels: pending.call.levels, output: pending.call.output, priority: -pending.demotion, kvSource: ch.kvSource}
	j.onFirst = func() { r.clock.after(delay, func() { r.handleFirstToken(pending, &ch, now) }) }
	j.onEnd = func(cached uint32) {
		end := &wire.End{CachedTokens: cached, Load: e.loadTracker.Load(r.clock.now)}
		r.clock.after(delay, func() { r.end(pending, &ch, end) })
	}
	j.onCrash = func() { r.clock.after(delay, func() { r.crashed(pending, &ch) }) }
	r.clock.after(delay, func() {
		e.submit(j)
		if e.down {
			return
		}
		load := e.loadTracker.Load(r.clock.now)
		r.clock.after(delay, func() { pending.router.policy.accepted(r.clock.now, &ch, load) })
	})
}

// handleFirstToken handles the first token of an attempt that was sent to its engine at
// the time sent.
func (r *run) handleFirstToken(pending *pendingCall, ch *choice, sent time.Time) {
	now := r.clock.now
	pending.router.policy.firstToken(now, ch)
	if !pending.answered && r.isCounted(pending.call) {
		latency := now.Sub(epoch.Add(pending.call.at))
		r.result.FirstTokenTimes = append(r.result.FirstTokenTimes, latency)
		r.result.FirstTokenTimesByAccount[pending.call.account] = append(r.result.FirstTokenTimesByAccount[pending.call.account], latency)
		if latency > r.trace.Deadline {
			r.result.MissedDeadlines++
		}
	}
	pending.answered = true
	r.applyActions(pending.router, pending.router.admission.FirstToken(now, pending.id, now.Sub(sent)-ch.prefillTime))
}

// end handles the end of a successful attempt.
func (r *run) end(pending *pendingCall, ch *choice, end *wire.End) {
	now := r.clock.now
	pending.router.policy.finished(now, ch, end)
	if r.isCounted(pending.call) {
		r.result.Served++
		r.result.PromptTokens += uint64(pending.call.levels[len(pending.call.levels)-1].Tokens)
		r.result.CachedPromptTokens += uint64(end.CachedTokens)
	}
	r.applyActions(pending.router, pending.router.admission.Finish(now, pending.id, admission.Result{}))
}

// crashed handles the crash of an attempt's engine, and starts the next attempt.
func (r *run) crashed(pending *pendingCall, ch *choice) {
	pending.router.policy.failed(r.clock.now, ch)
	r.dispatch(pending)
}
