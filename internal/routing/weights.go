package routing

import (
	"errors"
	"time"

	"parsleypulley/internal/fault"
)

const (
	// TakeBackMargin is the time before BeginBy at which an attempt that has not begun is taken back. It
	// covers a late timer of a busy router (watchers of attempts allow the same; see maxTickDelay in package
	// forward), and the way of the connection's end to the engine.
	TakeBackMargin = 300 * time.Millisecond
	// sendMargin is the time between the choice and the arrival at the engine that is allowed for: opening a
	// connection to another failure domain takes a few milliseconds, on a busy router some tens.
	sendMargin = 50 * time.Millisecond
	// beginFactor is the multiple of the predicted time to the first token that must be left until BeginBy.
	// In a burst, calls waited 1.7 to 2.4 s where 0 to 1.2 s were predicted (docs/incidents/calls-on-old-weights.md).
	beginFactor = 2.0
	// lastAttemptFactor and lastAttemptError take the place of beginFactor for a request that is lost if
	// the prediction is wrong: the multiple, and the error that is allowed for beside it. In that burst the
	// predictions were at least 0.5 s and at most 2.4 s too low; both values were chosen, not measured.
	lastAttemptFactor = 4.0
	lastAttemptError  = time.Second
	// lastAttemptDurations is how many mean durations must be left beside that if the response is no stream; one is
	// enough if another attempt may follow. The mean is that of such requests. One that runs for longer is taken back.
	lastAttemptDurations = 2.0
	// outdatedRetryAfter is the time after which a request may come back that no engine can begin in time. It
	// can run once an engine has loaded the new weights. Rollouts take further engines each second; sooner,
	// callers would use up their few retries, and later, engines that are back would be idle.
	outdatedRetryAfter = time.Second
)

// ErrWeightsOutdated is wrapped by the error of Choose if the request could be sent to backend servers, but
// only to such with weights so old that it would begin there too late.
var ErrWeightsOutdated = errors.New("no backend server with new enough weights can begin the request in time")

// WeightsLimit bounds the time at which requests begin on outdated weights. A request begins with its first
// token.
type WeightsLimit struct {
	// Below is a version of the weights: the limit applies to older ones.
	Below uint64
	// BeginBy is the time by which a request must have begun; the zero time is long ago.
	BeginBy time.Time
}

// beginBy returns the time by which the request must begin on a version of the weights. limited is false if
// there is no such time. None is needed if the request's own deadline ends its wait before.
func (req *Request) beginBy(version uint64) (at time.Time, limited bool) {
	for _, l := range req.WeightsLimits {
		if version < l.Below && (!limited || l.BeginBy.Before(at)) {
			at, limited = l.BeginBy, true
		}
	}
	if limited && !req.Deadline.IsZero() && !at.Before(req.Deadline.Add(TakeBackMargin)) {
		return time.Time{}, false
	}
	return at, limited
}

// timeToBegin returns the time that must be left until BeginBy when a request is sent to a candidate whose
// cost has been predicted. That a request whose response is no stream has begun is known only at its end.
func (req *Request) timeToBegin(p *pool, c *candidate) time.Duration {
	factor, durations, margin := beginFactor, 1.0, time.Duration(0)
	if req.LastAttempt {
		factor, durations, margin = lastAttemptFactor, lastAttemptDurations, lastAttemptError
	}
	if req.Streamed {
		durations = 0
	}
	return seconds(factor*(c.wait+c.prefill)+durations*p.meanUnstreamed) + margin
}

// beginsInTime reports whether a request is expected to begin in time at a candidate whose cost has been
// predicted.
func (req *Request) beginsInTime(now time.Time, p *pool, c *candidate) bool {
	at, limited := req.beginBy(c.model.weightsVersion)
	return !limited || !now.Add(sendMargin+TakeBackMargin+req.timeToBegin(p, c)).After(at)
}

// beginCheck is what the check of backend servers needs that are no candidates yet.
type beginCheck struct {
	pool   *pool
	prompt *prompt
	// typical is the number of requests that an engine of unknown load is assumed to have.
	typical float64
}

// newBeginCheck returns the check for the backend servers of a pool.
func newBeginCheck(now time.Time, p *pool, pr *prompt) *beginCheck {
	return &beginCheck{pool: p, prompt: pr, typical: typicalOf(now, p.ready.servers)}
}

// passes reports whether the request is expected to begin in time at a backend server, even if nothing of
// its prompt is cached there.
func (b *beginCheck) passes(r *Router, now time.Time, s *server, req *Request) bool {
	c := newCandidate(now, s, req.Model, 0)
	if _, limited := req.beginBy(c.model.weightsVersion); !limited {
		return true
	}
	r.predictCost(now, b.pool, b.prompt, &c, nil, b.typical)
	return req.beginsInTime(now, b.pool, &c)
}

// typicalOf returns the mean number of requests at the backend servers whose load is known.
func typicalOf(now time.Time, servers []*server) float64 {
	total, known := 0.0, 0.0
	for _, s := range servers {
		if age := s.reportAge(now); age < maxReportAge {
			requests, _ := s.predict(age)
			total += requests
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return total / known
}

// noneInTime returns the error of Choose when no backend server is eligible and one would be, now or after its
// quiet time, if it did not matter how old its weights are, and nil otherwise.
func (r *Router) noneInTime(now time.Time, p *pool, req *Request) error {
	unlimited := *req
	unlimited.WeightsLimits, unlimited.MinWeightsVersion, unlimited.check, unlimited.lastResort = nil, 0, nil, true
	for _, g := range []group{p.ready, p.fallback} {
		for _, s := range g.servers {
			quiet := !s.notices.leaving && s.notices.quiet(now) && !s.triedBy(req)
			if s.eligible(now, &unlimited) || quiet && s.fits(&unlimited) {
				return fault.New(fault.NoBackend, fault.NotRun, "%w (model %s)", ErrWeightsOutdated, req.Model).WithRetryAfter(outdatedRetryAfter)
			}
		}
	}
	return nil
}

// WeightsTooOld reports whether Choose would fail with ErrWeightsOutdated. It changes nothing.
func (r *Router) WeightsTooOld(now time.Time, req *Request) bool {
	p := r.poolOf(req)
	if p == nil {
		return false
	}
	pr := newPrompt(req)
	checked := *req
	checked.check, checked.lastResort = newBeginCheck(now, p, &pr), true
	for _, g := range []group{p.ready, p.fallback} {
		for _, s := range g.servers {
			if s.eligible(now, &checked) && r.beginsInTime(now, s, &checked) {
				return false
			}
		}
	}
	return r.noneInTime(now, p, req) != nil
}

// MayBeSent reports whether the attempt is still expected to begin by BeginBy if it is sent now.
func (d *Decision) MayBeSent(now time.Time) bool {
	return d.BeginBy.IsZero() || !now.Add(TakeBackMargin+d.timeToBegin).After(d.BeginBy)
}
