package routing

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// defaultPrefillRate is the prefill rate assumed until one is observed, in
	// tokens a second.
	defaultPrefillRate = 10000
	// defaultMaxRunning is assumed for a backend server that announces no
	// limit.
	defaultMaxRunning = 64
	// maxReportAge is the age at which a load report is no longer used.
	maxReportAge = 5 * time.Second
	// eventLag is how far reports on the cached state of engines without an
	// agent lag behind the engines: the engines' events arrive late and are
	// collected for a second.
	eventLag = time.Second
	// sentHistory is the number of sent requests that are kept to correct load
	// reports.
	sentHistory = 32
	// refusalPause is how long a backend server that refused new work is not
	// used, unless a probe shows that it accepts work again.
	refusalPause = 2 * time.Second
	// unreachablePause is how long a backend server without an agent is not
	// used after it could not be reached. The control replicas take about as
	// long to suspect it.
	unreachablePause = time.Second
	// fullPause is how long a backend server without an agent is not used after
	// it refused work as full or loading: less than the time between two load
	// reports.
	fullPause = 200 * time.Millisecond
)

// server is the state that a router keeps of one incarnation of a backend
// server.
type server struct {
	backend *wire.Backend
	state   wire.BackendState
	// models holds the state of each model that the backend server announces, and otherModel
	// that of requests without a known model; nil if there is one model.
	models     []*modelState
	otherModel *modelState
	// nameHash is the hash of the backend server's name, for rendezvous
	// hashing.
	nameHash uint64
	// sameDomain is set if the backend server is in the router's failure
	// domain.
	sameDomain bool
	// key identifies the incarnation in Router.permits.
	key     permit.Key
	breaker currentBreaker
	// lastResort is a breaker that counts all results. If there is no other backend server, it
	// decides in the place of breaker, so that most calls are served if all backend servers fail
	// a part of their requests.
	lastResort breaker
	// pausedUntil is the time until which the backend server is not used, because
	// it has refused work or could not be reached.
	pausedUntil time.Time
	speed       speed
	// notices is shared by all states of the same incarnation.
	notices *notices

	// running counts this router's requests that have not ended.
	running int
	// pending is the predicted prefill work of this router's requests that have
	// no first token yet.
	pending prefillWork

	// waiting lists this router's requests that have no first token yet, oldest
	// first.
	waiting []*Decision
	// sent is a ring of the last requests sent, used to correct older reports.
	sent [sentHistory]sentWork
	// sentNext is the index in sent of the next request.
	sentNext int

	// meanWork is the mean work of the requests in the backend server's pool; nil if it
	// has belonged to none.
	meanWork *meanWork

	// report is the last load report.
	report loadReport
	// reportAt is when the reported state was current.
	reportAt time.Time
	// utilization is the reported part of the time in which requests waited for
	// their first token, from 0 to 1.
	utilization float64
	// learntSpeed is the speed of the engine relative to the typical one of its service, as the
	// leader has learnt from all routers; 0 if it is not known, or typical.
	learntSpeed float64
	// held is the set of levels that the engine holds according to the last
	// report that says so.
	held prefix.Filter
	// heldKnown is set if held is valid.
	heldKnown bool
	// heldAt is when held was current.
	heldAt time.Time
}

// loadReport is the part of a wire.Load that predictions use.
type loadReport struct {
	requests int
	prefill  prefillWork
}

// prefillWork is prefill work in tokens: that of all requests, and that of
// short requests, which runs first.
type prefillWork struct{ all, short float64 }

// add adds the work of a request.
func (w *prefillWork) add(tokens float64) {
	w.all += tokens
	if tokens <= maxShortPrefill {
		w.short += tokens
	}
}

// remove removes the work of a request.
func (w *prefillWork) remove(tokens float64) {
	w.all = max(0, w.all-tokens)
	if tokens <= maxShortPrefill {
		w.short = max(0, w.short-tokens)
	}
}

// ahead returns the work that runs before a new request with the given work.
func (w prefillWork) ahead(tokens float64) float64 {
	if tokens <= maxShortPrefill {
		return w.short
	}
	return w.all
}

// sentWork is one request that was sent.
type sentWork struct {
	at      time.Time
	prefill float64 // tokens
}

// keepLoad takes over the load report of an earlier state of the same engine, which has
// loaded other weights: its requests go on. If it has other models, it may still hold what it
// has reported; the keys of held levels tell models and versions apart.
func (s *server) keepLoad(before *server) {
	s.report, s.reportAt, s.utilization, s.learntSpeed = before.report, before.reportAt, before.utilization, before.learntSpeed
	if len(before.models) > 1 {
		s.held, s.heldKnown, s.heldAt = before.held, before.heldKnown, before.heldAt
	}
}

// eligible reports whether a request may go to the backend server.
func (s *server) eligible(now time.Time, req *Request) bool {
	return s.notices.allows(now) && s.available(now, req.lastResort) && s.fits(req) && s.modelState(req.Model).available(now) && !s.triedBy(req)
}

// available reports whether the backend server is used, as far as this router's own
// failures show. lastResort is set if there is no other; see server.lastResort.
func (s *server) available(now time.Time, lastResort bool) bool {
	if s.breaker.open(now) && (!lastResort || s.lastResort.open(now)) {
		return false
	}
	return !now.Before(s.pausedUntil)
}

// fits reports whether the backend server can serve the request.
func (s *server) fits(req *Request) bool {
	return s.modelState(req.Model).weightsVersion >= req.MinWeightsVersion && (!req.BoundToSoftware || s.backend.SoftwareVersion == req.SoftwareVersion)
}

// triedBy reports whether the request was sent to the backend server before.
func (s *server) triedBy(req *Request) bool { return slices.Contains(req.Tried, s.backend.Name) }

// pauseAfter stops using a backend server without an agent for a while, after an
// error that says that it can't be reached or is full: there is no agent to
// report this.
func (s *server) pauseAfter(now time.Time, kind fault.Kind) {
	pause := time.Duration(0)
	switch kind {
	case fault.BackendRefused:
		pause = unreachablePause
	case fault.Overloaded:
		pause = fullPause
	}
	if until := now.Add(pause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// maxRunning returns how many requests the backend server runs concurrently.
func (s *server) maxRunning() float64 {
	if s.backend.MaxRunning > 0 {
		return float64(s.backend.MaxRunning)
	}
	return defaultMaxRunning
}

// reportAge returns the age of the last load report; maxReportAge if there is
// none.
func (s *server) reportAge(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return maxReportAge
	}
	return now.Sub(s.reportAt)
}

// predict predicts the number of requests at the backend server, and the
// prefill work in tokens, from its last report, which is of the given age, and
// the requests sent since. It does not subtract the work done since the report;
// backlog does.
func (s *server) predict(age time.Duration) (requests float64, prefill prefillWork) {
	if age >= maxReportAge {
		return float64(s.running), s.pending
	}
	count, sent := s.sentAfter(s.reportAt)
	requests = float64(max(s.running, s.report.requests+count))
	return requests, prefillWork{s.report.prefill.all + sent.all, s.report.prefill.short + sent.short}
}

// backlog predicts the prefill work, in tokens, that runs before a new request
// with the given work: the result of predict minus the work done since the
// report at the given rate, but at least the work of this router's own
// requests.
func (s *server) backlog(age time.Duration, prefill prefillWork, tokens, rate float64) float64 {
	own, reported := s.pending.ahead(tokens), prefill.ahead(tokens)
	if s.backend.Address != "" {
		own, reported = s.pending.all, prefill.all // no agent runs short requests first
	}
	if age >= maxReportAge {
		return own
	}
	return max(own, reported-age.Seconds()*rate)
}

// sentAfter returns the number of requests sent after a time, and their
// predicted prefill work in tokens.
func (s *server) sentAfter(at time.Time) (count int, prefill prefillWork) {
	for i := range s.sent {
		w := &s.sent[(s.sentNext+sentHistory-1-i)%sentHistory]
		if !w.at.After(at) {
			break
		}
		count++
		prefill.add(w.prefill)
	}
	return count, prefill
}

// recordSent records a request that was sent.
func (s *server) recordSent(now time.Time, prefill float64) {
	s.sent[s.sentNext] = sentWork{at: now, prefill: prefill}
	s.sentNext = (s.sentNext + 1) % sentHistory
}

// overdue returns by how much the oldest request without a first token has
// exceeded a multiple of its predicted time. It reveals a stalled or slow engine
// before the engine answers.
func (s *server) overdue(now time.Time) time.Duration {
	if len(s.waiting) == 0 {
		return 0
	}
	oldest := s.waiting[0]
	const tolerance = 2
	return max(0, now.Sub(oldest.started)-tolerance*(oldest.Wait+oldest.Prefill))
}

// stopWaiting removes a request that has its first token or has ended.
func (s *server) stopWaiting(d *Decision) {
	for i, w := range s.waiting {
		if w == d {
			copy(s.waiting[i:], s.waiting[i+1:])
			s.waiting[len(s.waiting)-1] = nil
			s.waiting = s.waiting[:len(s.waiting)-1]
			return
		}
	}
}

// applyReport stores a load report, unless a newer one is known or the report
// is of another engine incarnation. It returns whether it was stored.
func (s *server) applyReport(now time.Time, load *wire.Load) bool {
	if load.EngineIncarnation != 0 && load.EngineIncarnation != s.backend.EngineIncarnation {
		return false
	}
	at := now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	if !at.After(s.reportAt) {
		return false
	}
	s.report.requests = int(load.Running + load.Waiting)
	s.report.prefill = prefillWork{float64(load.QueuedPrefillTokens), float64(load.QueuedShortTokens)}
	if s.backend.Address != "" {
		// An engine without an agent reports only how many requests wait, not
		// their work.
		waiting := 0.0
		if s.meanWork != nil {
			waiting = float64(load.Waiting) * s.meanWork.tokens
		}
		s.report.prefill = prefillWork{waiting, waiting}
	}
	s.reportAt = at
	if len(load.Held) > 0 || s.backend.Address == "" {
		// Not every report on an engine without an agent says what it holds.
		s.heldKnown = s.held.Unmarshal(load.Held)
		s.heldAt = at
	}
	s.utilization = float64(load.BusyPermille) / 1000
	s.learntSpeed = float64(load.SpeedPercent) / 100
	return true
}

// relativeSpeed returns the speed relative to the typical backend server of the pool.
func (s *server) relativeSpeed(now time.Time, p *pool) float64 {
	if s.learntSpeed > 0 {
		return s.learntSpeed
	}
	return 1 / s.speed.slowdown(now, p.meanSpeedRatio)
}

// reportsHeld reports whether, according to the last report, the engine holds a
// level. In reports on engines without an agent the key of a level depends on
// the model and the version of its weights.
func (s *server) reportsHeld(key uint64, m *modelState) bool {
	if s.backend.Address != "" {
		key = prefix.Versioned(key, m.name, m.cacheVersion)
	}
	return s.held.Has(key)
}

// reportedTokens returns how many tokens of the shared levels of a prompt the
// engine holds according to its last report; 0 if that report is too old.
func (s *server) reportedTokens(now time.Time, pr *prompt) uint32 {
	if !s.heldKnown || s.heldAge(now) >= maxReportAge {
		return 0
	}
	m := s.modelState(pr.model)
	tokens := uint32(0)
	for _, level := range pr.levels[:len(pr.levels)-1] {
		if !s.reportsHeld(level.Key, m) {
			break
		}
		tokens = level.Tokens
	}
	return tokens
}

// heldAge returns the age of what is reported about cached prefixes.
func (s *server) heldAge(now time.Time) time.Duration {
	if s.backend.Address == "" {
		return s.reportAge(now)
	}
	if s.heldAt.IsZero() {
		return maxReportAge
	}
	return now.Sub(s.heldAt) + eventLag
}
