package routing

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

const (
	// defaultPrefillRate is assumed until observed, in tokens a second.
	defaultPrefillRate = 10000
	// defaultMaxRunning is assumed when a backend server announces none.
	defaultMaxRunning = 64
	// staleReport is the age at which a load report counts no more.
	staleReport = 5 * time.Second
	// eventLag is how far reports on engines without an agent lie behind what the
	// engines hold: their events are late, and are gathered for a second.
	eventLag = time.Second
	// sentMemory is the number of requests sent that are kept to correct load
	// reports.
	sentMemory = 32
	// refusal is how long a backend server that refused new work is left alone,
	// unless a probe says otherwise.
	refusal = 2 * time.Second
	// unreachablePause is how long a backend server without an agent is left alone
	// that could not be reached: about the time in which control suspects it.
	unreachablePause = time.Second
	// fullPause is how long one is left alone that refused work as full or loading:
	// less than the time between two load reports.
	fullPause = 200 * time.Millisecond
)

// server is what a router knows of one life of a backend server.
type server struct {
	backend *wire.Backend
	state   wire.BackendState
	weights uint64
	seed    uint64
	near    bool
	life    prefix.EngineID
	// emptyAt is when the engine began this life; zero when not known.
	emptyAt time.Time
	breaker breaker
	// refusingUntil is set when the agent has refused new work.
	refusingUntil time.Time
	speed         speed

	// running counts this router's requests that have not ended.
	running int
	// pending is this router's predicted prefill work without first token.
	pending work

	// waiting lists this router's requests without first token, oldest first.
	waiting []*Decision
	// sent keeps the last requests sent, for correcting reports made earlier.
	sent     [sentMemory]sentWork
	sentNext int

	// mean is the mean work of the requests at engines such as this one; nil where it
	// belongs to no pool.
	mean *meanWork

	report   loadReport
	reportAt time.Time
	// busy is the utilization by prefill that the agent reported, 0 to 1.
	busy float64
	// held is what the last report says the engine holds, if it does.
	held      prefix.Filter
	heldKnown bool
	heldAt    time.Time
}

// loadReport is what counts of a wire.Load.
type loadReport struct {
	requests int
	prefill  work
}

// work is prefill work in tokens: all of it, and that of short requests, which
// runs first.
type work struct{ all, short float64 }

// add counts a request.
func (w *work) add(tokens float64) {
	w.all += tokens
	if tokens <= shortWork {
		w.short += tokens
	}
}

// remove takes a request out.
func (w *work) remove(tokens float64) {
	w.all = max(0, w.all-tokens)
	if tokens <= shortWork {
		w.short = max(0, w.short-tokens)
	}
}

// before returns the work that runs before a new request.
func (w work) before(tokens float64) float64 {
	if tokens <= shortWork {
		return w.short
	}
	return w.all
}

// sentWork is one request sent.
type sentWork struct {
	at      time.Time
	prefill float64 // tokens
}

// eligible tells whether a request may go to the backend server.
func (s *server) eligible(now time.Time, req *Request) bool {
	if s.breaker.open(now) || now.Before(s.refusingUntil) {
		return false
	}
	return s.weights >= req.MinWeightsVersion && !slices.Contains(req.Tried, s.backend.Name)
}

// avoid leaves a backend server without an agent alone for a while: nobody else
// tells that it can't be reached or is full.
func (s *server) avoid(now time.Time, kind fault.Kind) {
	pause := time.Duration(0)
	switch kind {
	case fault.BackendRefused:
		pause = unreachablePause
	case fault.Overloaded:
		pause = fullPause
	}
	if until := now.Add(pause); until.After(s.refusingUntil) {
		s.refusingUntil = until
	}
}

// maxRunning returns how many requests the backend server runs at once.
func (s *server) maxRunning() float64 {
	if s.backend.MaxRunning > 0 {
		return float64(s.backend.MaxRunning)
	}
	return defaultMaxRunning
}

// reportAge returns the age of the last load report; staleReport or more when
// it does not count.
func (s *server) reportAge(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return staleReport
	}
	return now.Sub(s.reportAt)
}

// predict predicts what is at the backend server when its last report is of
// the given age: the number of requests, and the prefill work in tokens before
// it has worked off any since.
func (s *server) predict(age time.Duration) (requests float64, prefill work) {
	if age >= staleReport {
		return float64(s.running), s.pending
	}
	count, sent := s.sentAfter(s.reportAt)
	requests = float64(max(s.running, s.report.requests+count))
	return requests, work{s.report.prefill.all + sent.all, s.report.prefill.short + sent.short}
}

// backlog predicts the prefill work that runs before a new request of the given
// work, in tokens: what predict returned, less what has been worked off since
// the report, and no less than this router's own work.
func (s *server) backlog(age time.Duration, prefill work, tokens, rate float64) float64 {
	own := s.pending.before(tokens)
	if age >= staleReport {
		return own
	}
	return max(own, prefill.before(tokens)-age.Seconds()*rate)
}

// sentAfter returns the number of requests sent after a time, and their
// predicted prefill work in tokens.
func (s *server) sentAfter(at time.Time) (count int, prefill work) {
	for i := range s.sent {
		w := &s.sent[(s.sentNext+sentMemory-1-i)%sentMemory]
		if !w.at.After(at) {
			break
		}
		count++
		prefill.add(w.prefill)
	}
	return count, prefill
}

// noteSent keeps a request sent.
func (s *server) noteSent(now time.Time, prefill float64) {
	s.sent[s.sentNext] = sentWork{at: now, prefill: prefill}
	s.sentNext = (s.sentNext + 1) % sentMemory
}

// overdue returns by how much the oldest request without first token exceeds
// its prediction: a stalled or slow engine shows so before it answers.
func (s *server) overdue(now time.Time) time.Duration {
	if len(s.waiting) == 0 {
		return 0
	}
	oldest := s.waiting[0]
	const patience = 2
	return max(0, now.Sub(oldest.started)-patience*(oldest.Wait+oldest.Prefill))
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

// takeReport takes a load report unless a newer one is known or it is of
// another life of the engine.
func (s *server) takeReport(now time.Time, load *wire.Load) bool {
	if load.EngineIncarnation != 0 && load.EngineIncarnation != s.backend.EngineIncarnation {
		return false
	}
	at := now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	if !at.After(s.reportAt) {
		return false
	}
	s.report.requests = int(load.Running + load.Waiting)
	s.report.prefill = work{float64(load.QueuedPrefillTokens), float64(load.QueuedShortTokens)}
	if s.backend.Address != "" {
		// An engine without an agent tells only how many requests wait.
		waiting := 0.0
		if s.mean != nil {
			waiting = float64(load.Waiting) * s.mean.tokens
		}
		s.report.prefill = work{waiting, waiting}
	}
	s.reportAt = at
	if len(load.Held) > 0 || s.backend.Address == "" {
		// Reports on engines without an agent don't all tell what they hold.
		s.heldKnown = s.held.Unmarshal(load.Held)
		s.heldAt = at
	}
	s.busy = float64(load.BusyPermille) / 1000
	return true
}

// holds reports whether the last report says that the engine holds a level. Engines
// without an agent report levels by the version of their weights.
func (s *server) holds(key uint64) bool {
	if s.backend.Address != "" {
		key = prefix.Versioned(key, s.weights)
	}
	return s.held.Has(key)
}

// reported returns how many tokens of the shared levels of a prompt the engine is
// reported to hold; 0 without a fresh report.
func (s *server) reported(now time.Time, pr *prompt) uint32 {
	if !s.heldKnown || s.heldAge(now) >= staleReport {
		return 0
	}
	tokens := uint32(0)
	for _, level := range pr.levels[:len(pr.levels)-1] {
		if !s.holds(level.Key) {
			break
		}
		tokens = level.Tokens
	}
	return tokens
}

// heldAge returns how old what is reported of the cached state is.
func (s *server) heldAge(now time.Time) time.Duration {
	if s.backend.Address == "" {
		return s.reportAge(now)
	}
	if s.heldAt.IsZero() {
		return staleReport
	}
	return now.Sub(s.heldAt) + eventLag
}
