package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// Times of a Rollout.
const (
	// orderRetry is the pause after an order that got no clear answer or was
	// refused; the engine is asked for its state before the next one.
	orderRetry = 400 * time.Millisecond
	// drainPoll is the time between two questions whether an engine has finished its
	// requests, and drainLimit the longest wait for that: a few long answers are
	// not worth an idle engine.
	drainPoll  = 200 * time.Millisecond
	drainLimit = 1200 * time.Millisecond
	// loadPoll is the time between two questions whether a load is done.
	loadPoll = 150 * time.Millisecond
	// firstPoll is the time of the first such question, near the shortest load
	// of the deployments known.
	firstPoll = 450 * time.Millisecond
	// abandonAfter is the time without progress after which an engine gives its
	// place to another one.
	abandonAfter = 6 * time.Second
)

// rolloutShare is the part of the engines of a model that are out of service for
// new weights at once, at first: what the weight store serves at full speed on the
// smallest deployment, and as many again that finish their requests.
const rolloutShare = 0.25

// The share grows by rolloutGrowth for each second beyond rolloutCalm for which
// an engine has been outdated, up to rolloutMost: outdated answers are then worse
// than missing engines.
const (
	rolloutCalm   = 1500 * time.Millisecond
	rolloutGrowth = 0.09
	rolloutMost   = 0.75
)

// maxRollouts returns how many of so many engines are taken out of service at
// once, when one has been outdated for the time given.
func maxRollouts(engines int, outdated time.Duration) int {
	share := rolloutShare + rolloutGrowth*max(0, (outdated-rolloutCalm).Seconds())
	return max(1, int(min(share, rolloutMost)*float64(engines)))
}

// EngineReport is what an engine without an agent says of itself.
type EngineReport struct {
	// Weights holds the version that is loaded of each model.
	Weights map[string]uint64
	// Busy is set while an order is being carried out.
	Busy bool
	// Orders counts the orders that the engine has accepted in this life.
	Orders uint64
	// Answering counts the requests whose answers have begun, and Waiting those
	// that run or wait without a first token.
	Answering, Waiting uint32
}

// LoadOrder tells one engine to load the weights of a model.
type LoadOrder struct {
	Backend *wire.Backend
	Model   string
	Version uint64
	// Fencing is the leader's term.
	Fencing uint64
	// KeepRunning lets running requests go on, on the new weights.
	KeepRunning bool
	// Orders must equal the engine's count of accepted orders when the order is
	// carried out, so that a delayed order doesn't undo a later one.
	Orders uint64
}

// RolloutAction is what the driver of a Rollout is to do: exactly one field is
// set.
type RolloutAction struct {
	// Propose has a change of a member committed.
	Propose *wire.BackendChange
	// Report asks the engine for its state; answer with Rollout.Report.
	Report *wire.Backend
	// Order is to be sent to the engine; answer with Rollout.OrderReply.
	Order *LoadOrder
}

// loadPhase is how far the load of one engine has come.
type loadPhase uint8

const (
	// draining: the engine gets no new work and finishes what it has.
	draining loadPhase = iota + 1
	// ordering: an order is on its way.
	ordering
	// loading: the engine has accepted an order.
	loading
)

// load is the load of one engine.
type load struct {
	incarnation uint64
	phase       loadPhase
	model       string
	// next is the time of the next step, and waiting is set while the answer to
	// the last one is due.
	next    time.Time
	waiting bool
	// began is when the engine was taken out of service, and progress the time of
	// the last step that went well.
	began, progress time.Time
	// running is set when the engine had requests at its last report.
	running bool
	orders  uint64
	// held is set once the engine has been taken out of service.
	held bool
}

// Rollout brings the engines without an agent to the versions named. It lives
// for one term of the leader; a new leader finds out from the engines what they
// hold. It is a state machine without I/O and not safe for concurrent use.
type Rollout struct {
	term  uint64
	start time.Time
	loads map[string]*load
	// failed holds back engines that were given up, by name.
	failed map[string]time.Time
	// named holds the versions that this leader learnt of.
	named TargetHistory
}

// NewRollout returns the rollout of the leader of term, which gives no order
// before oldLease is over.
func NewRollout(term uint64, now time.Time, oldLease time.Duration) *Rollout {
	return &Rollout{term: term, start: now.Add(oldLease), loads: map[string]*load{}, failed: map[string]time.Time{},
		named: TargetHistory{}}
}

// Plan returns what to do now. Call it every 50 to 100 ms with the members in
// the order of their names.
func (r *Rollout) Plan(now time.Time, members []*wire.Member, targets []*wire.WeightsTarget) []RolloutAction {
	if now.Before(r.start) {
		return nil
	}
	r.forget(members)
	var actions []RolloutAction
	for _, m := range members {
		if l := r.loads[m.GetBackend().GetName()]; l != nil {
			actions = r.advance(now, m, l, targets, actions)
		}
	}
	r.named.Record(now, targets)
	waiting := r.candidates(now, members, targets)
	limit := maxRollouts(countEngines(members), r.longestOutdated(now, waiting, targets))
	for _, m := range waiting {
		if len(r.loads) >= limit {
			break
		}
		actions = r.begin(now, m, targets, actions)
	}
	return actions
}

// longestOutdated returns for how long the most outdated of the engines has been
// so.
func (r *Rollout) longestOutdated(now time.Time, waiting []*wire.Member, targets []*wire.WeightsTarget) time.Duration {
	longest := time.Duration(0)
	for _, m := range waiting {
		model, held := outdated(m.GetBackend(), targets)
		for _, v := range r.named[model] {
			if v.Version > held {
				longest = max(longest, now.Sub(v.FirstSeen))
				break
			}
		}
	}
	return longest
}

// IsAgentlessEngine reports whether b is an engine that is called without an agent.
func IsAgentlessEngine(b *wire.Backend) bool { return b.GetAddress() != "" && len(b.GetModels()) > 0 }

// countEngines returns the number of engines without an agent that serve or load.
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

// forget drops the loads of engines that are gone.
func (r *Rollout) forget(members []*wire.Member) {
	for name, l := range r.loads {
		m := find(members, name)
		if m.GetBackend().GetAgentIncarnation() != l.incarnation || m.GetState() == wire.BackendState_BACKEND_STATE_DRAINING {
			delete(r.loads, name)
		}
	}
	for name := range r.failed {
		if find(members, name) == nil {
			delete(r.failed, name)
		}
	}
}

// candidates returns the engines that need new weights: those left in LOADING by
// an earlier leader first, then the most outdated, spread over failure domains.
func (r *Rollout) candidates(now time.Time, members []*wire.Member, targets []*wire.WeightsTarget) []*wire.Member {
	busy := map[string]int{}
	for name := range r.loads {
		busy[find(members, name).GetBackend().GetFailureDomain()]++
	}
	var found []*wire.Member
	for _, m := range members {
		name := m.GetBackend().GetName()
		if m.GetBackend().GetAddress() == "" || r.loads[name] != nil || now.Before(r.failed[name]) {
			continue
		}
		model, _ := outdated(m.GetBackend(), targets)
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
			cmp.Compare(rankOf(a), rankOf(b)),
			cmp.Compare(heldVersion(a, targets), heldVersion(b, targets)),
			cmp.Compare(busy[a.GetBackend().GetFailureDomain()], busy[b.GetBackend().GetFailureDomain()]),
		)
	})
	return found
}

func heldVersion(m *wire.Member, targets []*wire.WeightsTarget) uint64 {
	_, version := outdated(m.GetBackend(), targets)
	return version
}

func rankOf(m *wire.Member) int {
	if m.GetState() == wire.BackendState_BACKEND_STATE_LOADING {
		return 0
	}
	return 1
}

// outdated returns the model of a backend server that is behind its target, and
// the version that it holds; an empty model when there is none.
func outdated(b *wire.Backend, targets []*wire.WeightsTarget) (string, uint64) {
	for _, held := range b.GetModels() {
		version, _ := strconv.ParseUint(held.GetWeightsVersion(), 10, 64)
		if version < targetOf(held.GetModel(), targets) {
			return held.GetModel(), version
		}
	}
	return "", 0
}

func targetOf(model string, targets []*wire.WeightsTarget) uint64 {
	for _, t := range targets {
		if t.GetModel() == model {
			return t.GetVersion()
		}
	}
	return 0
}

// begin takes an engine out of service for a load.
func (r *Rollout) begin(now time.Time, m *wire.Member, targets []*wire.WeightsTarget, actions []RolloutAction) []RolloutAction {
	b := m.GetBackend()
	model, _ := outdated(b, targets)
	l := &load{incarnation: b.GetAgentIncarnation(), phase: draining, model: model, began: now, progress: now, next: now.Add(drainPoll)}
	r.loads[b.GetName()] = l
	return append(actions, r.hold(l, b)...)
}

// advance takes the next step of a load that is under way.
func (r *Rollout) advance(now time.Time, m *wire.Member, l *load, targets []*wire.WeightsTarget, actions []RolloutAction) []RolloutAction {
	b := m.GetBackend()
	if now.Sub(l.progress) >= abandonAfter {
		delete(r.loads, b.GetName())
		r.failed[b.GetName()] = now.Add(abandonAfter)
		return append(actions, r.release(b, nil))
	}
	if l.waiting || now.Before(l.next) {
		return actions
	}
	l.waiting = true
	if l.phase == ordering {
		return append(actions, RolloutAction{Order: &LoadOrder{
			Backend: b, Model: l.model, Version: targetOf(l.model, targets), Fencing: r.term, Orders: l.orders, KeepRunning: l.running,
		}})
	}
	return append(actions, RolloutAction{Report: b})
}

// Report takes an engine's answer about its state; err tells that there was
// none. The returned actions follow at once.
func (r *Rollout) Report(now time.Time, b *wire.Backend, report *EngineReport, err error, targets []*wire.WeightsTarget) []RolloutAction {
	l := r.current(b)
	if l == nil {
		return nil
	}
	l.waiting = false
	if err != nil {
		l.next = now.Add(orderRetry)
		return nil
	}
	l.progress = now
	if report.Busy {
		l.phase, l.next = loading, now.Add(loadPoll)
		return r.hold(l, b)
	}
	held := withWeights(b, report.Weights)
	model, _ := outdated(held, targets)
	if model == "" || l.phase == loading && !proto.Equal(held, b) {
		// What was loaded counts even if newer weights have been named meanwhile.
		delete(r.loads, b.GetName())
		return []RolloutAction{r.release(b, held)}
	}
	l.model, l.orders, l.running = model, report.Orders, report.Answering+report.Waiting > 0
	if l.running && now.Sub(l.began) < drainLimit {
		l.phase, l.next = draining, now.Add(drainPoll)
		return nil
	}
	l.phase, l.next, l.waiting = ordering, now, true
	return []RolloutAction{{Order: &LoadOrder{
		Backend: b, Model: l.model, Version: targetOf(l.model, targets), Fencing: r.term, Orders: l.orders, KeepRunning: l.running,
	}}}
}

// ObserveReport takes a report that was asked for other reasons: an order without an
// answer may have been carried out meanwhile.
func (r *Rollout) ObserveReport(now time.Time, b *wire.Backend, report *EngineReport, targets []*wire.WeightsTarget) []RolloutAction {
	if l := r.loads[b.GetName()]; l != nil {
		if l.phase != loading || l.waiting {
			return nil
		}
		return r.Report(now, b, report, nil, targets)
	}
	if report.Busy {
		l := &load{incarnation: b.GetAgentIncarnation(), phase: loading, progress: now, next: now.Add(loadPoll)}
		r.loads[b.GetName()] = l
		return r.hold(l, b)
	}
	if held := withWeights(b, report.Weights); !proto.Equal(held, b) {
		return []RolloutAction{r.release(b, held)}
	}
	return nil
}

// OrderReply takes the engine's answer to an order: accepted, or an error. The
// returned actions follow at once.
func (r *Rollout) OrderReply(now time.Time, b *wire.Backend, err error) []RolloutAction {
	l := r.current(b)
	if l == nil {
		return nil
	}
	l.waiting = false
	if err != nil {
		// The order may still be carried out, which the next report shows. Until
		// then the engine serves.
		delete(r.loads, b.GetName())
		r.failed[b.GetName()] = now.Add(orderRetry)
		return []RolloutAction{r.release(b, nil)}
	}
	l.progress = now
	l.phase, l.next = loading, now.Add(firstPoll)
	return nil
}

// hold takes an engine that loads out of service, once.
func (r *Rollout) hold(l *load, b *wire.Backend) []RolloutAction {
	if l.held {
		return nil
	}
	l.held = true
	return []RolloutAction{{Propose: &wire.BackendChange{
		Kind: wire.BackendChange_KIND_LOAD, Name: b.GetName(), AgentIncarnation: b.GetAgentIncarnation(),
	}}}
}

// current returns the load of one life of a backend server, or nil.
func (r *Rollout) current(b *wire.Backend) *load {
	l := r.loads[b.GetName()]
	if l == nil || l.incarnation != b.GetAgentIncarnation() {
		return nil
	}
	return l
}

// release puts an engine back into service; held is what it holds now, or nil.
func (r *Rollout) release(b, held *wire.Backend) RolloutAction {
	return RolloutAction{Propose: &wire.BackendChange{
		Kind: wire.BackendChange_KIND_LOADED, Name: b.GetName(), AgentIncarnation: b.GetAgentIncarnation(), Backend: held,
	}}
}

// withWeights returns b with the versions that the engine reports.
func withWeights(b *wire.Backend, weights map[string]uint64) *wire.Backend {
	held := proto.CloneOf(b)
	for _, m := range held.GetModels() {
		if version, known := weights[m.GetModel()]; known {
			m.WeightsVersion = strconv.FormatUint(version, 10)
		}
	}
	return held
}
