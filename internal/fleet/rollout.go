package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// Timing of a Rollout.
const (
	// orderRetryDelay is the delay after an order that was refused or got no clear
	// answer. The engine is queried for its state before the next order.
	orderRetryDelay = 400 * time.Millisecond
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
	// progressTimeout is the time without progress after which the load of an engine
	// is abandoned, so that another engine can load.
	progressTimeout = 6 * time.Second
)

// initialRolloutShare is the share of the engines without an agent that may be out of
// service for new weights at the same time, at the start of a rollout. In the smallest
// deployment it is twice the number of loads that the weight store serves at full speed:
// half of these engines load while the other half finish their requests.
const initialRolloutShare = 0.25

// Once an engine has been outdated for longer than shareGrowthDelay, the share grows
// by shareGrowthPerSecond for each further second, up to maxRolloutShare: by then,
// answers from outdated weights do more harm than missing engines.
const (
	shareGrowthDelay     = 1500 * time.Millisecond
	shareGrowthPerSecond = 0.09
	maxRolloutShare      = 0.75
)

// maxOutOfService returns how many of the given number of engines may be out of service
// at the same time, if the longest outdated one has been outdated for the given time.
func maxOutOfService(engines int, outdated time.Duration) int {
	share := initialRolloutShare + shareGrowthPerSecond*max(0, (outdated-shareGrowthDelay).Seconds())
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
	// startedAt is when the engine was taken out of service.
	startedAt time.Time
	// lastProgress is the time of the last successful step.
	lastProgress time.Time
	// hasRequests is set when the engine had requests at its last report.
	hasRequests bool
	// orders is the engine's number of accepted orders at its last report.
	orders uint64
	// outOfService is set once the change to LOADING has been proposed.
	outOfService bool
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
	// history tells for how long engines have been outdated.
	history *TargetHistory
}

// NewRollout returns the rollout for the leader of term. It issues no order until
// previousLease has passed, because the previous leader may still issue orders during
// its lease. All times passed to the rollout must be of the clock of history, which tells when the
// targets were named.
func NewRollout(term uint64, now time.Time, previousLease time.Duration, history *TargetHistory) *Rollout {
	return &Rollout{term: term, start: now.Add(previousLease), loads: map[string]*load{}, retryAt: map[string]time.Time{},
		history: history}
}

// Plan returns the actions that are due. It must be called every 50 to 100 ms with
// the members sorted by name.
func (r *Rollout) Plan(now time.Time, members []*wire.Member, targets []*wire.WeightsTarget) []RolloutAction {
	if now.Before(r.start) {
		return nil
	}
	r.dropStaleLoads(members)
	var actions []RolloutAction
	for _, m := range members {
		if l := r.loads[m.GetBackend().GetName()]; l != nil {
			actions = r.advance(now, m, l, targets, actions)
		}
	}
	waiting := r.candidates(now, members, targets)
	limit := maxOutOfService(countEngines(members), r.longestOutdated(now, waiting, targets))
	for _, m := range waiting {
		if len(r.loads) >= limit {
			break
		}
		actions = r.startLoad(now, m, targets, actions)
	}
	return actions
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
	for name := range r.retryAt {
		if findMember(members, name) == nil {
			delete(r.retryAt, name)
		}
	}
}

// candidates returns the engines that need new weights. Engines that an earlier leader
// left in LOADING come first, then those with the oldest version, and among these
// the ones whose failure domain has the fewest loads.
func (r *Rollout) candidates(now time.Time, members []*wire.Member, targets []*wire.WeightsTarget) []*wire.Member {
	loadsByDomain := map[string]int{}
	for name := range r.loads {
		loadsByDomain[findMember(members, name).GetBackend().GetFailureDomain()]++
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
// has finished its requests.
func (r *Rollout) startLoad(now time.Time, m *wire.Member, targets []*wire.WeightsTarget, actions []RolloutAction) []RolloutAction {
	b := m.GetBackend()
	model, _ := outdatedModel(b, targets)
	l := &load{incarnation: b.GetAgentIncarnation(), phase: draining, model: model, startedAt: now, lastProgress: now, nextStep: now.Add(drainPollInterval)}
	r.loads[b.GetName()] = l
	return append(actions, r.takeOutOfService(l, b)...)
}

// advance takes the next step of a load in progress.
func (r *Rollout) advance(now time.Time, m *wire.Member, l *load, targets []*wire.WeightsTarget, actions []RolloutAction) []RolloutAction {
	b := m.GetBackend()
	if now.Sub(l.lastProgress) >= progressTimeout {
		delete(r.loads, b.GetName())
		r.retryAt[b.GetName()] = now.Add(progressTimeout)
		return append(actions, r.returnToService(b, nil))
	}
	if l.awaitingReply || now.Before(l.nextStep) {
		return actions
	}
	l.awaitingReply = true
	if l.phase == ordering {
		return append(actions, RolloutAction{Order: &LoadOrder{
			Backend: b, Model: l.model, Version: targetVersionOf(l.model, targets), Fencing: r.term, Orders: l.orders, KeepRunning: l.hasRequests,
		}})
	}
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
		l.nextStep = now.Add(orderRetryDelay)
		return nil
	}
	l.lastProgress = now
	if report.Busy {
		l.phase, l.nextStep = loading, now.Add(loadPollInterval)
		return r.takeOutOfService(l, b)
	}
	updated := withWeights(b, report.Weights)
	model, _ := outdatedModel(updated, targets)
	if model == "" || l.phase == loading && !proto.Equal(updated, b) {
		// A finished load ends here even if there is a newer target by now.
		delete(r.loads, b.GetName())
		return []RolloutAction{r.returnToService(b, updated)}
	}
	l.model, l.orders, l.hasRequests = model, report.Orders, report.Answering+report.Waiting > 0
	if l.hasRequests && now.Sub(l.startedAt) < maxDrainTime {
		l.phase, l.nextStep = draining, now.Add(drainPollInterval)
		return nil
	}
	l.phase, l.nextStep, l.awaitingReply = ordering, now, true
	return []RolloutAction{{Order: &LoadOrder{
		Backend: b, Model: l.model, Version: targetVersionOf(l.model, targets), Fencing: r.term, Orders: l.orders, KeepRunning: l.hasRequests,
	}}}
}

// ObserveReport processes a report that was requested for its load figures. It shows
// whether an order that got no answer has been carried out after all.
func (r *Rollout) ObserveReport(now time.Time, b *wire.Backend, report *EngineReport, targets []*wire.WeightsTarget) []RolloutAction {
	if l := r.loads[b.GetName()]; l != nil {
		if l.phase != loading || l.awaitingReply {
			return nil
		}
		return r.Report(now, b, report, nil, targets)
	}
	if report.Busy {
		l := &load{incarnation: b.GetAgentIncarnation(), phase: loading, lastProgress: now, nextStep: now.Add(loadPollInterval)}
		r.loads[b.GetName()] = l
		return r.takeOutOfService(l, b)
	}
	if updated := withWeights(b, report.Weights); !proto.Equal(updated, b) {
		return []RolloutAction{r.returnToService(b, updated)}
	}
	return nil
}

// OrderReply processes an engine's reply to an order. A nil error means that the
// order was accepted. The returned actions must be carried out immediately.
func (r *Rollout) OrderReply(now time.Time, b *wire.Backend, err error) []RolloutAction {
	l := r.currentLoad(b)
	if l == nil {
		return nil
	}
	l.awaitingReply = false
	if err != nil {
		// The order may still be carried out; the next report will show that. Until
		// then the engine serves requests.
		delete(r.loads, b.GetName())
		r.retryAt[b.GetName()] = now.Add(orderRetryDelay)
		return []RolloutAction{r.returnToService(b, nil)}
	}
	l.lastProgress = now
	l.phase, l.nextStep = loading, now.Add(firstLoadPollDelay)
	return nil
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
