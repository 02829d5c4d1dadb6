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
	// servers is the number of backend servers at the brief's size.
	servers = 18
	// runLength is the virtual time of a run; the first part is not counted.
	runLength = 40 * time.Second
	warmUp    = 10 * time.Second
	// faultAt is when the fault of a scenario begins.
	faultAt = 15 * time.Second
	// detection is how long the view needs to learn of a crash.
	detection = 1500 * time.Millisecond
	// outage is how long a crashed engine stays away.
	outage     = 10 * time.Second
	probeEvery = 500 * time.Millisecond
	// hop is one way between router and agent; far adds for another failure
	// domain.
	hop         = 200 * time.Microsecond
	far         = 500 * time.Microsecond
	maxAttempts = 4
)

// node is one router instance.
type node struct {
	domain    string
	policy    policy
	admission *admission.Controller
	waiting   map[uint64]*attempt
}

// attempt is a call on its way.
type attempt struct {
	id       uint64
	call     *call
	node     *node
	tried    []string
	demotion int32
	answered bool
}

// run is one simulation.
type run struct {
	clock    clock
	trace    *Trace
	scenario Scenario
	policy   string
	random   *rand.Rand
	engines  []*engine
	byName   map[string]*engine
	nodes    []*node
	wasted   uint64
	nextID   uint64
	result   Result
}

// Run simulates one policy under one scenario.
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
		r.nodes = append(r.nodes, r.newNode(i, seed))
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
	r.clock.after(faultAt, func() { r.fail(seed) })
	atWarmUp := uint64(0)
	r.clock.after(r.countFrom(), func() { atWarmUp = r.wasted })
	r.clock.run(epoch.Add(runLength))
	r.result.RecomputedTokens = r.wasted - atWarmUp
	slices.Sort(r.result.FirstTokenTimes)
	for _, times := range r.result.FirstTokenTimesByAccount {
		slices.Sort(times)
	}
	return &r.result
}

// countFrom returns when the figures begin: with the fault, if there is one.
func (r *run) countFrom() time.Duration {
	sc := r.scenario
	if sc.ShiftHotContexts || sc.CrashedEngines > 0 || sc.RestartRouters || sc.SlowFactor > 0 {
		return faultAt
	}
	return warmUp
}

func (r *run) startEngines(seed uint64) {
	computed := make(map[uint64]bool)
	for i := range servers {
		e := &engine{
			clock: &r.clock, random: rand.New(rand.NewPCG(seed, uint64(100+i))), slowness: 1,
			capacity: r.trace.CacheTokens, computed: computed, wasted: &r.wasted,
			backend: &wire.Backend{
				Name: fmt.Sprintf("runner-%d", i), AgentAddress: fmt.Sprintf("10.0.0.%d:1", i),
				FailureDomain: r.trace.Domains[i%len(r.trace.Domains)], EngineIncarnation: 1, MaxRunning: maxRunning,
				Models: []*wire.LoadedModel{{Model: modelName, WeightsVersion: weightsVersion}},
			},
		}
		e.clear()
		r.clock.after(time.Duration(i)*sampleEvery/servers, e.sample)
		r.engines = append(r.engines, e)
		r.byName[e.backend.Name] = e
	}
}

func (r *run) newNode(i int, seed uint64) *node {
	n := &node{
		domain:    r.trace.Domains[i%len(r.trace.Domains)],
		admission: admission.New(admission.Settings{}),
		waiting:   make(map[uint64]*attempt),
	}
	settings := r.trace.Settings
	if r.scenario.KVImport {
		settings.ImportRate = importRate
	}
	if r.policy == routed {
		p := &own{Router: routing.New(n.domain, seed*10+uint64(i)), engines: r.byName}
		p.SetSettings(settings)
		n.policy = p
	} else {
		n.policy = &baseline{
			name: r.policy, settings: settings, engines: r.byName,
			turn:     i * 7,
			reported: make(map[string]int), sent: make(map[string]int),
		}
	}
	r.update(n)
	r.clock.after(time.Duration(i)*time.Millisecond, func() { r.probeAll(n) })
	return n
}

// update gives a router the view as it is.
func (r *run) update(n *node) {
	var members []*wire.Member
	for _, e := range r.engines {
		if !e.down {
			members = append(members, &wire.Member{Backend: e.backend, State: wire.BackendState_BACKEND_STATE_READY})
		}
	}
	n.policy.setBackends(r.clock.now, members)
	r.act(n, n.admission.SetCapacity(r.clock.now, modelName, len(members), len(members)*maxRunning))
}

func (r *run) probeAll(n *node) {
	if !slices.Contains(r.nodes, n) && len(r.nodes) == r.scenario.Routers {
		return
	}
	n.policy.probe(r.clock.now)
	r.act(n, n.admission.SetOccupancy(r.clock.now, modelName, n.policy.occupancy(r.clock.now)))
	r.clock.after(probeEvery, func() { r.probeAll(n) })
}

// fail brings about the scenario's fault.
func (r *run) fail(seed uint64) {
	if r.scenario.SlowFactor > 0 {
		r.engines[3].slowness = r.scenario.SlowFactor
	}
	if r.scenario.RestartRouters {
		for i := range r.nodes {
			r.nodes[i] = r.newNode(i, seed+1000)
		}
	}
	if r.scenario.CrashedEngines == 0 {
		return
	}
	for i := range r.scenario.CrashedEngines {
		e := r.engines[(i*len(r.trace.Domains))%servers]
		e.crash()
		r.clock.after(outage, e.revive)
	}
	for _, wait := range []time.Duration{detection, outage + detection} {
		r.clock.after(wait, func() {
			for _, n := range r.nodes {
				r.update(n)
			}
		})
	}
}

// arrive brings a call to one of the routers.
func (r *run) arrive(c *call) {
	now := r.clock.now
	n := r.nodes[r.random.IntN(len(r.nodes))]
	r.nextID++
	a := &attempt{id: r.nextID, call: c, node: n}
	if r.counts(c) {
		r.result.Calls++
	}
	expected := n.policy.choose(now, c, nil, 0)
	n.waiting[a.id] = a
	r.act(n, n.admission.Admit(now, admission.Request{
		ID: a.id, Pool: modelName, Account: c.account, Tokens: expected.recompute,
		Deadline: now.Add(r.trace.Deadline),
	}))
	r.wake(n)
}

func (r *run) counts(c *call) bool { return c.at >= r.countFrom() }

// wake calls Tick when it is due.
func (r *run) wake(n *node) {
	due := n.admission.NextTick()
	if due.IsZero() {
		return
	}
	r.clock.after(due.Sub(r.clock.now), func() { r.act(n, n.admission.Tick(r.clock.now)) })
}

// act carries out the actions of admission.
func (r *run) act(n *node, actions []admission.Action) {
	for _, action := range actions {
		a := n.waiting[action.ID]
		delete(n.waiting, action.ID)
		if action.Refusal != nil {
			if r.counts(a.call) {
				r.result.Refused++
				r.result.RefusedByAccount[a.call.account]++
			}
			continue
		}
		a.demotion = action.Demotion
		r.dispatch(a)
	}
}

// dispatch starts an attempt, or gives the call up.
func (r *run) dispatch(a *attempt) {
	now := r.clock.now
	ch := a.node.policy.choose(now, a.call, a.tried, a.demotion)
	if ch.engine == nil || len(a.tried) >= maxAttempts {
		if r.counts(a.call) {
			r.result.Failed++
		}
		r.act(a.node, a.node.admission.Finish(now, a.id, admission.Result{}))
		return
	}
	e := ch.engine
	a.tried = append(a.tried, e.backend.Name)
	a.node.policy.started(now, &ch)
	delay := hop
	if e.backend.FailureDomain != a.node.domain {
		delay += far
	}
	j := &job{id: fmt.Sprint(a.id, len(a.tried)), levels: a.call.levels, output: a.call.output, priority: -a.demotion, source: ch.source}
	j.onFirst = func() { r.clock.after(delay, func() { r.first(a, &ch, now) }) }
	j.onEnd = func(cached uint32) {
		end := &wire.End{CachedTokens: cached, Load: e.ledger.Load(r.clock.now)}
		r.clock.after(delay, func() { r.end(a, &ch, end) })
	}
	j.onCrash = func() { r.clock.after(delay, func() { r.crashed(a, &ch) }) }
	r.clock.after(delay, func() {
		e.submit(j)
		if e.down {
			return
		}
		load := e.ledger.Load(r.clock.now)
		r.clock.after(delay, func() { a.node.policy.accepted(r.clock.now, &ch, load) })
	})
}

// first takes the first token of an attempt sent at the given time.
func (r *run) first(a *attempt, ch *choice, sent time.Time) {
	now := r.clock.now
	a.node.policy.firstToken(now, ch)
	if !a.answered && r.counts(a.call) {
		took := now.Sub(epoch.Add(a.call.at))
		r.result.FirstTokenTimes = append(r.result.FirstTokenTimes, took)
		r.result.FirstTokenTimesByAccount[a.call.account] = append(r.result.FirstTokenTimesByAccount[a.call.account], took)
		if took > r.trace.Deadline {
			r.result.MissedDeadlines++
		}
	}
	a.answered = true
	r.act(a.node, a.node.admission.FirstToken(now, a.id, now.Sub(sent)-ch.prefill))
}

func (r *run) end(a *attempt, ch *choice, end *wire.End) {
	now := r.clock.now
	a.node.policy.finished(now, ch, end)
	if r.counts(a.call) {
		r.result.Served++
		r.result.PromptTokens += uint64(a.call.levels[len(a.call.levels)-1].Tokens)
		r.result.CachedPromptTokens += uint64(end.CachedTokens)
	}
	r.act(a.node, a.node.admission.Finish(now, a.id, admission.Result{}))
}

func (r *run) crashed(a *attempt, ch *choice) {
	a.node.policy.failed(r.clock.now, ch)
	r.dispatch(a)
}
