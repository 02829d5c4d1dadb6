package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Timing of a Rollout.
const (
	// orderRetryDelay is the delay after the first order that was refused or got no
	// answer; it grows by half with each further one, up to maxOrderRetryDelay. While orders
	// are mostly lost, delays are half as long: an order that is sent earlier is carried out
	// earlier. The engine is queried for its state before the next order.
	orderRetryDelay    = 300 * time.Millisecond
	maxOrderRetryDelay = 6400 * time.Millisecond
	// minReplyTime is the least time within which engines answer an order that is not
	// lost: two round trips of 250 ms, for the connection and for the order.
	minReplyTime = 500 * time.Millisecond
	// lostReplyTime replaces it while orders are mostly lost. Few are answered
	// then, and an order that is sent earlier is carried out earlier.
	lostReplyTime = 200 * time.Millisecond
	// outcomeMemory is the time for which the outcome of an order counts for whether
	// orders are lost. Weights are named every few seconds on some days.
	outcomeMemory = 30 * time.Second
	// drainPollInterval is the time between two queries whether an engine has
	// finished its requests.
	drainPollInterval = 200 * time.Millisecond
	// maxDrainTime is the longest wait for the requests of an engine. After it, the
	// load starts while requests are still running, because waiting longer would
	// leave the engine nearly idle for the sake of a few long answers.
	maxDrainTime = 1200 * time.Millisecond
	// loadPollInterval is the time between two queries whether a load is done.
	loadPollInterval = 150 * time.Millisecond
	// firstLoadPollDelay is the delay before the first such query. It is close to the
	// shortest load time in the known deployments.
	firstLoadPollDelay = 450 * time.Millisecond
	// maxReportAge is the longest time by which the state in a report is behind. Engines
	// answer with a state of some hundred milliseconds ago.
	maxReportAge = time.Second
	// maxLateReport is the longest time after the end of a load at which a report from
	// before it may be handled: the age of its state, and the time until the slowest
	// engine that was queried together with it has answered, half a second.
	maxLateReport = maxReportAge + 500*time.Millisecond
	// progressTimeout is the time without progress after which the load of an engine
	// is abandoned, so that another engine can load.
	progressTimeout = 6 * time.Second
)

// initialRolloutShare is the share of the engines without an agent that may be out of
// service for new weights at the same time, at the start of a rollout. In the smallest
// deployment it is twice the number of loads that the weight store serves at full speed:
// half of these engines load while the other half finish their requests.
const initialRolloutShare = 0.25

// DefaultWeightsBound is the time within which calls must have begun on new weights, if none is set.
const DefaultWeightsBound = 8 * time.Second

// Once an engine has been outdated for longer than shareGrowthDelay, a part of the bound
// for outdated weights, the share grows by shareGrowth for each further time of the length
// of the bound, up to maxRolloutShare: by the bound, answers from outdated weights do more
// harm than missing engines. With a longer bound there is more time, and a store that
// serves few loads at full speed gains nothing from more loads at once.
const (
	shareGrowthDelay = 0.1875
	shareGrowth      = 0.72
	maxRolloutShare  = 0.75
)

// inDoubtShare is the share of the engines by which those whose order is in doubt may
// exceed those that may be out of service. Even if all these orders are carried out at the
// same time, a quarter of the engines serves at first, and fewer as that share grows.
const inDoubtShare = 0.5

// maxOutOfService returns how many of the given number of engines may be out of service
// at the same time, if the longest outdated one has been outdated for the given time. bound
// is the time within which calls must have begun on new weights.
func maxOutOfService(engines int, outdated, bound time.Duration) int {
	elapsed := outdated.Seconds() / bound.Seconds()
	share := initialRolloutShare + shareGrowth*max(0, elapsed-shareGrowthDelay)
	return max(1, int(min(share, maxRolloutShare)*float64(engines)))
}

// EngineReport is the state that an engine without an agent reports.
type EngineReport struct {
	// Weights holds the loaded version of each model.
	Weights map[string]uint64
	// Busy is set while an order is being carried out.
	Busy bool
	// Orders is the number of orders that the engine has accepted since it started.
	Orders uint64
	// Answering is the number of requests whose answers have begun.
	Answering uint32
	// Waiting is the number of queued or running requests without a first token.
	Waiting uint32
	// Leaving is set if the engine says that it leaves.
	Leaving bool
}

// LoadOrder orders an engine to load the weights of a model.
type LoadOrder struct {
	Backend *wire.Backend
	Model   string
	Version uint64
	// Fencing is the leader's term.
	Fencing uint64
	// KeepRunning lets running requests continue with the new weights.
	KeepRunning bool
	// Orders must equal the engine's number of accepted orders when this order is
	// carried out, so that a delayed order does not undo a later one.
	Orders uint64
	// sentAt is when the order was sent.
	sentAt time.Time
}

// RolloutAction is an action that the caller of a Rollout must carry out. Exactly one
// field is set.
type RolloutAction struct {
	// Propose is a change of a member to be committed.
	Propose *wire.BackendChange
	// Report is an engine to be queried for its state. The answer must be passed to
	// Rollout.Report.
	Report *wire.Backend
	// Order is to be sent to its engine. The answer must be passed to
	// Rollout.OrderReply.
	Order *LoadOrder
}

// loadPhase is the phase of a load.
type loadPhase uint8

const (
	// draining means that the engine gets no new work and finishes its requests.
	draining loadPhase = iota + 1
	// ordering means that an order is being sent.
	ordering
	// loading means that the engine has accepted an order.
	loading
	// inDoubt means that the last order was refused or got no answer. The engine serves
	// requests. It may carry out the order at any time, or get another one.
	inDoubt
)

// load is a load of new weights in progress on one engine.
type load struct {
	incarnation uint64
	phase       loadPhase
	model       string
	// nextStep is the time of the next step.
	nextStep time.Time
	// awaitingReply is set while the reply to the last action is outstanding.
	awaitingReply bool
	// startedAt is when the load was started.
	startedAt time.Time
	// keepServing is set if the engine serves requests until it loads.
	keepServing bool
	// order is the last order that was sent, or nil.
	order *LoadOrder
	// failures is the number of orders in a row that were refused or got no answer.
	failures int
	// conflict is set if the load was begun for an order that was refused because of
	// another one, and conflicts is the number of such refusals in a row.
	conflict  bool
	conflicts int
	// lastProgress is the time of the last successful step.
	lastProgress time.Time
	// hasRequests is set when the engine had requests at its last report.
	hasRequests bool
	// orders is the engine's number of accepted orders at its last report.
	orders uint64
	// outOfService is set once the change to LOADING has been proposed.
	outOfService bool
	// loadingSince is when the engine accepted the order or was first seen to load, and
	// loadingOrders the number of orders that it has accepted since then.
	loadingSince  time.Time
	loadingOrders uint64
}

// Rollout updates the engines without an agent to the target versions of the weights.
// It is used for one leadership term; a new leader queries the engines for the
// versions that they have loaded. It is a state machine without I/O and not safe for
// concurrent use.
type Rollout struct {
	term uint64
	// start is the time from which on the leader may issue orders.
	start time.Time
	// loads holds the loads in progress by engine name.
	loads map[string]*load
	// retryAt holds the time before which an engine whose load failed is not tried
	// again, by name.
	retryAt map[string]time.Time
	// outcomes holds the outcome of the last order to each engine, by name, and
	// ordersLost whether orders mostly got no answer, by them, at the last Plan.
	outcomes   map[string]orderOutcome
	ordersLost bool
	// finished holds the last load of each engine that a report has shown to be done, by name.
	finished map[string]finishedLoad
	// slowestAnswer is the longest time that an engine took to answer an order.
	slowestAnswer time.Duration
	// history tells for how long engines have been outdated, and bound is the time within
	// which calls must have begun on new weights.
	history *TargetHistory
	bound   time.Duration
}

// orderOutcome tells whether an engine has answered an order.
type orderOutcome struct {
	at   time.Time
	lost bool
}

// finishedLoad is a load that a report has shown to be done.
type finishedLoad struct {
	incarnation uint64
	at          time.Time
	// orders is the number of accepted orders in that report.
	orders uint64
}

// NewRollout returns the rollout for the leader of term. It issues no order until
// previousLease has passed, because the previous leader may still issue orders during
// its lease. All times passed to the rollout must be of the clock of history, which tells when the
// targets were named. bound is the time within which calls must have begun on new weights; 0
// selects DefaultWeightsBound.
func NewRollout(term uint64, now time.Time, previousLease, bound time.Duration, history *TargetHistory) *Rollout {
	if bound <= 0 {
		bound = DefaultWeightsBound
	}
	return &Rollout{bound: bound, term: term, start: now.Add(previousLease), loads: map[string]*load{}, retryAt: map[string]time.Time{},
		outcomes: map[string]orderOutcome{}, finished: map[string]finishedLoad{}, history: history}
}

// Plan returns the actions that are due. It must be called every 50 to 100 ms with
// the members sorted by name.
func (r *Rollout) Plan(now time.Time, members []*wire.Member, targets []*wire.WeightsTarget) []RolloutAction {
	if now.Before(r.start) {
		return nil
	}
	r.dropStaleLoads(members)
	r.ordersLost = r.ordersAreLost(now)
	var actions []RolloutAction
	for _, m := range members {
		if l := r.loads[m.GetBackend().GetName()]; l != nil {
			actions = r.advance(now, m, l, targets, actions)
		}
	}
	waiting, retries := r.candidates(now, members, targets), r.inDoubt(members, targets)
	engines := countEngines(members)
	limit := maxOutOfService(engines, r.longestOutdated(now, slices.Concat(waiting, retries), targets), r.bound)
	maxLoads := limit + int(inDoubtShare*float64(engines))
	free := limit - r.countLoads()
	// Engines that have no order yet come first: one more order to an engine that may
	// carry out an earlier one is of less use.
	for _, m := range waiting {
		if free <= 0 || len(r.loads) >= maxLoads {
			break
		}
		free--
		actions = r.startLoad(now, m, targets, actions)
	}
	for _, m := range retries {
		if free <= 0 {
			break
		}
		if l := r.loads[m.GetBackend().GetName()]; r.retryDue(now, l, targets) {
			free--
			l.phase, l.awaitingReply, l.lastProgress = draining, true, now
			actions = append(actions, RolloutAction{Report: m.GetBackend()})
		}
	}
	return actions
}

// countLoads returns the number of engines that are out of service, or may go out of
// service at any moment because an order is on its way to them. An engine whose order is
// in doubt is not counted until it is seen to load.
func (r *Rollout) countLoads() int {
	n := 0
	for _, l := range r.loads {
		if l.phase != inDoubt {
			n++
		}
	}
	return n
}

// inDoubt returns the engines that are due for another order or wait for it, those
// first whose last order was sent earliest.
func (r *Rollout) inDoubt(members []*wire.Member, targets []*wire.WeightsTarget) []*wire.Member {
	var found []*wire.Member
	for _, m := range members {
		l := r.loads[m.GetBackend().GetName()]
		if l == nil || l.phase != inDoubt || m.GetState() != wire.BackendState_BACKEND_STATE_READY {
			continue
		}
		if model, _ := outdatedModel(m.GetBackend(), targets); model == "" {
			delete(r.loads, m.GetBackend().GetName())
			continue
		}
		found = append(found, m)
	}
	lastOrder := func(m *wire.Member) time.Time {
		if o := r.loads[m.GetBackend().GetName()].order; o != nil {
			return o.sentAt
		}
		return time.Time{}
	}
	slices.SortStableFunc(found, func(a, b *wire.Member) int { return lastOrder(a).Compare(lastOrder(b)) })
	return found
}

// replyTime returns how long an order counts as one that may be answered at any moment.
func (r *Rollout) replyTime() time.Duration {
	if r.ordersLost {
		return lostReplyTime
	}
	return max(minReplyTime, r.slowestAnswer+r.slowestAnswer/2)
}

// retryDelay returns the delay after an order that was refused or got no answer, as the
// given number of orders before it.
func retryDelay(failures int) time.Duration {
	delay := orderRetryDelay
	for ; failures > 0 && delay < maxOrderRetryDelay; failures-- {
		delay += delay / 2
	}
	return min(delay, maxOrderRetryDelay)
}

// retryDue reports whether an engine whose order is in doubt is due for another one. An
// order for a newer version does not wait: whichever the engine carries out first voids
// the others, which expect the same number of accepted orders.
func (r *Rollout) retryDue(now time.Time, l *load, targets []*wire.WeightsTarget) bool {
	if l.order != nil && targetVersionOf(l.order.Model, targets) > l.order.Version && now.Sub(l.lastProgress) >= orderRetryDelay {
		l.failures = 0
		return true
	}
	return !now.Before(l.nextStep)
}

// ordersAreLost reports whether orders mostly get no answer: at least two engines, and at
// least half of those that got an order lately, have not answered the last one. Counted by
// engine, so that one that never answers does not count for all.
func (r *Rollout) ordersAreLost(now time.Time) bool {
	lost, all := 0, 0
	for _, o := range r.outcomes {
		if now.Sub(o.at) < outcomeMemory {
			all++
			if o.lost {
				lost++
			}
		}
	}
	return lost >= 2 && 2*lost >= all
}

// longestOutdated returns the longest time for which any of the engines can have been
// outdated. A time that is not known is very long, so that the share is the largest.
func (r *Rollout) longestOutdated(now time.Time, waiting []*wire.Member, targets []*wire.WeightsTarget) time.Duration {
	longest := time.Duration(0)
	for _, m := range waiting {
		model, loaded := outdatedModel(m.GetBackend(), targets)
		if model == "" {
			continue // a load that an earlier leader began is done
		}
		if since, outdated := r.history.OutdatedSince(model, loaded); outdated {
			longest = max(longest, now.Sub(since))
		}
	}
	return longest
}

// IsAgentlessEngine reports whether b is an engine that is called without an agent.
func IsAgentlessEngine(b *wire.Backend) bool { return b.GetAddress() != "" && len(b.GetModels()) > 0 }

// countEngines returns the number of engines without an agent that are serving or
// loading.
func countEngines(members []*wire.Member) int {
	n := 0
	for _, m := range members {
		serves := m.GetState() == wire.BackendState_BACKEND_STATE_READY || m.GetState() == wire.BackendState_BACKEND_STATE_LOADING
		if serves && IsAgentlessEngine(m.GetBackend()) {
			n++
		}
	}
	return n
}

// dropStaleLoads drops the loads of engines that have left, restarted or are being
// drained.
func (r *Rollout) dropStaleLoads(members []*wire.Member) {
	for name, l := range r.loads {
		m := findMember(members, name)
		if m.GetBackend().GetAgentIncarnation() != l.incarnation || m.GetState() == wire.BackendState_BACKEND_STATE_DRAINING {
			delete(r.loads, name)
		}
	}
	maps.DeleteFunc(r.retryAt, func(name string, _ time.Time) bool { return findMember(members, name) == nil })
	maps.DeleteFunc(r.outcomes, func(name string, _ orderOutcome) bool { return findMember(members, name) == nil })
	maps.DeleteFunc(r.finished, func(name string, _ finishedLoad) bool { return findMember(members, name) == nil })
}

// candidates returns the engines that need new weights. Engines that an earlier leader
// left in LOADING come first, then those with the oldest version, and among these
// the ones whose failure domain has the fewest loads.
func (r *Rollout) candidates(now time.Time, members []*wire.Member, targets []*wire.WeightsTarget) []*wire.Member {
	loadsByDomain := map[string]int{}
	for name, l := range r.loads {
		if l.phase != inDoubt {
			loadsByDomain[findMember(members, name).GetBackend().GetFailureDomain()]++
		}
	}
	var found []*wire.Member
	for _, m := range members {
		name := m.GetBackend().GetName()
		if m.GetBackend().GetAddress() == "" || r.loads[name] != nil || now.Before(r.retryAt[name]) {
			continue
		}
		model, _ := outdatedModel(m.GetBackend(), targets)
		switch m.GetState() {
		case wire.BackendState_BACKEND_STATE_LOADING:
		case wire.BackendState_BACKEND_STATE_READY:
			if model == "" {
				continue
			}
		default:
			continue
		}
		found = append(found, m)
	}
	slices.SortStableFunc(found, func(a, b *wire.Member) int {
		return cmp.Or(
			cmp.Compare(candidateRank(a), candidateRank(b)),
			cmp.Compare(loadedVersion(a, targets), loadedVersion(b, targets)),
			cmp.Compare(loadsByDomain[a.GetBackend().GetFailureDomain()], loadsByDomain[b.GetBackend().GetFailureDomain()]),
		)
	})
	return found
}

func loadedVersion(m *wire.Member, targets []*wire.WeightsTarget) uint64 {
	_, version := outdatedModel(m.GetBackend(), targets)
	return version
}

func candidateRank(m *wire.Member) int {
	if m.GetState() == wire.BackendState_BACKEND_STATE_LOADING {
		return 0
	}
	return 1
}

// outdatedModel returns the first model of a backend server whose loaded version is
// older than the target, with that version. It returns an empty model if there is
// none.
func outdatedModel(b *wire.Backend, targets []*wire.WeightsTarget) (string, uint64) {
	for _, loaded := range b.GetModels() {
		version, _ := strconv.ParseUint(loaded.GetWeightsVersion(), 10, 64)
		if version < targetVersionOf(loaded.GetModel(), targets) {
			return loaded.GetModel(), version
		}
	}
	return "", 0
}

func targetVersionOf(model string, targets []*wire.WeightsTarget) uint64 {
	for _, t := range targets {
		if t.GetModel() == model {
			return t.GetVersion()
		}
	}
	return 0
}

// startLoad takes an engine out of service for a load. Its order follows once the engine
// has finished its requests. If orders are mostly lost, the engine gets the order while
// it serves requests: many seconds may pass until it loads.
func (r *Rollout) startLoad(now time.Time, m *wire.Member, targets []*wire.WeightsTarget, actions []RolloutAction) []RolloutAction {
	b := m.GetBackend()
	model, _ := outdatedModel(b, targets)
	l := &load{incarnation: b.GetAgentIncarnation(), phase: draining, model: model, startedAt: now, lastProgress: now, nextStep: now.Add(drainPollInterval)}
	r.loads[b.GetName()] = l
	if m.GetState() == wire.BackendState_BACKEND_STATE_READY && r.ordersLost {
		l.keepServing, l.awaitingReply = true, true
		return append(actions, RolloutAction{Report: b})
	}
	return append(actions, r.takeOutOfService(l, b)...)
}

// advance takes the next step of a load in progress.
func (r *Rollout) advance(now time.Time, m *wire.Member, l *load, targets []*wire.WeightsTarget, actions []RolloutAction) []RolloutAction {
	b := m.GetBackend()
	if l.phase == inDoubt {
		if m.GetState() != wire.BackendState_BACKEND_STATE_LOADING || now.Before(l.nextStep) {
			return actions
		}
		// The change that returns the engine to service has not been committed.
		l.nextStep = now.Add(orderRetryDelay)
		return append(actions, r.returnToService(b, nil))
	}
	if now.Sub(l.lastProgress) >= progressTimeout {
		if !l.outOfService {
			return append(actions, r.doubt(now, l, b)...)
		}
		delete(r.loads, b.GetName())
		r.retryAt[b.GetName()] = now.Add(progressTimeout)
		return append(actions, r.returnToService(b, nil))
	}
	if l.phase == ordering && now.Sub(l.order.sentAt) >= r.replyTime() {
		r.outcomes[b.GetName()] = orderOutcome{at: now, lost: true}
		return append(actions, r.doubt(now, l, b)...)
	}
	if l.awaitingReply || now.Before(l.nextStep) {
		return actions
	}
	l.awaitingReply = true
	return append(actions, RolloutAction{Report: b})
}

// Report processes the reply to a RolloutAction.Report: the state of the engine, or the
// error of the query. The returned actions must be carried out immediately.
func (r *Rollout) Report(now time.Time, b *wire.Backend, report *EngineReport, err error, targets []*wire.WeightsTarget) []RolloutAction {
	l := r.currentLoad(b)
	if l == nil {
		return nil
	}
	l.awaitingReply = false
	if err != nil {
		if !l.outOfService {
			return r.doubt(now, l, b)
		}
		l.nextStep = now.Add(orderRetryDelay)
		return nil
	}
	l.lastProgress = now
	l.forgetVoidOrders(now, report)
	if report.Busy {
		l.startLoading(now, report.Orders)
		l.nextStep = now.Add(loadPollInterval)
		return r.takeOutOfService(l, b)
	}
	updated := withWeights(b, report.Weights)
	model, _ := outdatedModel(updated, targets)
	if model == "" || l.phase == loading && !proto.Equal(updated, b) {
		// A finished load ends here even if there is a newer target by now.
		delete(r.loads, b.GetName())
		r.finished[b.GetName()] = finishedLoad{incarnation: b.GetAgentIncarnation(), at: now, orders: report.Orders}
		return []RolloutAction{r.returnToService(b, updated)}
	}
	if l.phase == loading && report.Orders < l.loadingOrders && now.Sub(l.loadingSince) < maxReportAge {
		// The state in the report is older than the load.
		l.nextStep = now.Add(loadPollInterval)
		return nil
	}
	l.model, l.orders, l.hasRequests = model, report.Orders, report.Answering+report.Waiting > 0
	if l.phase == loading && l.conflict {
		return r.doubt(now, l, b)
	}
	if l.hasRequests && !l.keepServing && !r.ordersLost && now.Sub(l.startedAt) < maxDrainTime {
		l.phase, l.nextStep = draining, now.Add(drainPollInterval)
		return nil
	}
	return r.sendOrder(now, l, b, targets)
}

// sendOrder sends an order to an engine. Running requests continue if there were any at
// the last report. They also do if the order may be carried out while the engine serves:
// otherwise it would refuse all requests until the longest running one has ended, which
// takes longer than the load.
func (r *Rollout) sendOrder(now time.Time, l *load, b *wire.Backend, targets []*wire.WeightsTarget) []RolloutAction {
	if now.Before(r.start) {
		l.nextStep = r.start
		return nil
	}
	l.phase, l.awaitingReply = ordering, true
	l.order = &LoadOrder{
		Backend: b, Model: l.model, Version: targetVersionOf(l.model, targets), Fencing: r.term, Orders: l.orders, sentAt: now,
		KeepRunning: l.hasRequests || l.keepServing || r.ordersLost,
	}
	return []RolloutAction{{Order: l.order}}
}

// ObserveReport processes a report that was requested for its load figures. It shows
// whether an order that got no answer has been carried out after all.
func (r *Rollout) ObserveReport(now time.Time, b *wire.Backend, report *EngineReport, targets []*wire.WeightsTarget) []RolloutAction {
	if r.isOlderThanItsLoad(now, b, report) {
		return nil
	}
	l := r.currentLoad(b)
	if l != nil && l.phase == loading && !l.awaitingReply {
		return r.Report(now, b, report, nil, targets)
	}
	if l == nil && r.loads[b.GetName()] != nil || l != nil && l.outOfService {
		return nil
	}
	if l != nil && l.order != nil && report.Orders <= l.orders {
		return nil // the last order has not been carried out yet
	}
	if l != nil {
		l.forgetVoidOrders(now, report)
	}
	if report.Busy {
		if l == nil {
			l = &load{incarnation: b.GetAgentIncarnation()}
			r.loads[b.GetName()] = l
		}
		l.startLoading(now, report.Orders)
		l.lastProgress, l.nextStep, l.awaitingReply, l.conflict = now, now.Add(loadPollInterval), false, false
		return r.takeOutOfService(l, b)
	}
	if updated := withWeights(b, report.Weights); !proto.Equal(updated, b) {
		delete(r.loads, b.GetName())
		return []RolloutAction{r.returnToService(b, updated)}
	}
	return nil
}

// isOlderThanItsLoad reports whether a report shows a load that another one has shown to be done.
func (r *Rollout) isOlderThanItsLoad(now time.Time, b *wire.Backend, report *EngineReport) bool {
	last, ok := r.finished[b.GetName()]
	return ok && report.Busy && last.incarnation == b.GetAgentIncarnation() && report.Orders <= last.orders && now.Sub(last.at) < maxLateReport
}

// OrderReply processes an engine's reply to an order. A nil error means that the
// order was accepted, a fault.Conflict that the engine carries out another order or has
// accepted one since its last report. Any other error with the outcome fault.NotRun is a
// refusal; without it, the order may still be carried out. The returned actions must be
// carried out immediately.
func (r *Rollout) OrderReply(now time.Time, order *LoadOrder, err error) []RolloutAction {
	b := order.Backend
	l := r.currentLoad(b)
	if l == nil || l.order == nil || l.phase == loading {
		return nil
	}
	answered := err == nil || fault.From(err).Outcome == fault.NotRun
	if answered {
		r.slowestAnswer = max(r.slowestAnswer, now.Sub(order.sentAt))
	}
	// An order may be accepted late, when the next one has been sent already. It voids
	// that one, which expects the same number of accepted orders.
	late := l.order != order || l.phase != ordering
	if late && (err != nil || order.Orders != l.order.Orders) {
		return nil
	}
	r.outcomes[b.GetName()] = orderOutcome{at: now, lost: !answered}
	switch {
	case err == nil:
		l.failures, l.conflicts = 0, 0
		l.startLoading(now, order.Orders+1)
	case answered && fault.Is(err, fault.Conflict) && l.conflicts == 0:
		// The engine loads, or has loaded since its last report.
		l.failures, l.conflicts, l.conflict = l.failures+1, 1, true
		l.startLoading(now, order.Orders)
	default:
		return r.doubt(now, l, b)
	}
	l.lastProgress, l.nextStep, l.awaitingReply = now, now.Add(firstLoadPollDelay), false
	return r.takeOutOfService(l, b)
}

// forgetVoidOrders begins the delays between orders anew if a report shows that the engine has accepted an order since
// it got the last one. All orders that it has not answered are void then: they expect fewer accepted orders.
func (l *load) forgetVoidOrders(now time.Time, report *EngineReport) {
	if l.order == nil || report.Orders <= l.order.Orders {
		return
	}
	l.failures = 0
	if l.phase == inDoubt {
		l.nextStep = now
	}
}

// startLoading records that the engine loads and that it has accepted the given number
// of orders by then.
func (l *load) startLoading(now time.Time, orders uint64) {
	if l.phase != loading {
		l.loadingSince = now
	}
	l.phase, l.loadingOrders = loading, orders
}

// doubt lets an engine serve whose order was refused or got no answer. It gets the next
// order after a delay, without being taken out of service: most engines that fail to
// answer once do so again, and each time would cost them their work.
func (r *Rollout) doubt(now time.Time, l *load, b *wire.Backend) []RolloutAction {
	l.phase, l.keepServing, l.awaitingReply, l.conflict = inDoubt, true, false, false
	delay := retryDelay(l.failures)
	if r.ordersLost {
		delay /= 2
	}
	l.nextStep = now.Add(delay)
	l.failures++
	return r.serveAgain(l, b)
}

// serveAgain returns an engine to service without an end of its load.
func (r *Rollout) serveAgain(l *load, b *wire.Backend) []RolloutAction {
	if !l.outOfService {
		return nil
	}
	l.outOfService = false
	return []RolloutAction{r.returnToService(b, nil)}
}

// takeOutOfService proposes the change to LOADING once for each load.
func (r *Rollout) takeOutOfService(l *load, b *wire.Backend) []RolloutAction {
	if l.outOfService {
		return nil
	}
	l.outOfService = true
	return []RolloutAction{{Propose: &wire.BackendChange{
		Kind: wire.BackendChange_KIND_LOAD, Name: b.GetName(), AgentIncarnation: b.GetAgentIncarnation(),
	}}}
}

// currentLoad returns the load of this incarnation of a backend server, or nil.
func (r *Rollout) currentLoad(b *wire.Backend) *load {
	l := r.loads[b.GetName()]
	if l == nil || l.incarnation != b.GetAgentIncarnation() {
		return nil
	}
	return l
}

// returnToService ends the LOADING state of an engine. updated describes the backend
// server with its new versions, or is nil if they have not changed.
func (r *Rollout) returnToService(b, updated *wire.Backend) RolloutAction {
	return RolloutAction{Propose: &wire.BackendChange{
		Kind: wire.BackendChange_KIND_LOADED, Name: b.GetName(), AgentIncarnation: b.GetAgentIncarnation(), Backend: updated,
	}}
}

// withWeights returns a copy of b with the versions that the engine reports.
func withWeights(b *wire.Backend, weights map[string]uint64) *wire.Backend {
	updated := proto.CloneOf(b)
	for _, m := range updated.GetModels() {
		if version, known := weights[m.GetModel()]; known {
			m.WeightsVersion = strconv.FormatUint(version, 10)
		}
	}
	return updated
}
