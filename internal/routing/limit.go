package routing

import (
	"errors"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

// ErrPermitsNeeded is returned by Choose if all backend servers that a request could use
// limit their requests, and there is no permit: Choose may be called again with PermitsAsked
// once permits were asked for.
var ErrPermitsNeeded = errors.New("no permits for backend servers that limit their requests")

// hasRoom reports whether the limit of a backend server, if it has one, has room for a request.
func (r *Router) hasRoom(now time.Time, s *server, req *Request) bool {
	return r.permits.HasRoom(now, s.key, req.Urgency)
}

// bestWithRoom returns the candidate with the lowest cost among those whose limits have room; nil if there
// are none.
func (r *Router) bestWithRoom(now time.Time, p *pool, pr *prompt, req *Request, dst []candidate) *candidate {
	withRoom := *req
	withRoom.withRoom = true
	found := r.candidatesWithRoom(now, p, pr, &withRoom, dst)
	r.predictCached(now, pr, found)
	best, _ := r.cheapest(now, p, pr, &withRoom, found)
	if best == nil && len(req.WeightsLimits) > 0 && req.check == nil {
		withRoom.check = newBeginCheck(now, p, pr)
		found = r.candidatesWithRoom(now, p, pr, &withRoom, dst)
		r.predictCached(now, pr, found)
		best, _ = r.cheapest(now, p, pr, &withRoom, found)
	}
	return best
}

// candidatesWithRoom returns the candidates whose limits have room.
func (r *Router) candidatesWithRoom(now time.Time, p *pool, pr *prompt, withRoom *Request, dst []candidate) []candidate {
	found := r.candidates(now, p.ready, pr.key(), withRoom, dst)
	if len(found) == 0 {
		found = r.candidates(now, p.fallback, pr.key(), withRoom, dst)
	}
	return found
}

// noRoom returns the error of Choose if no limit has room. Any of the candidates would do.
func (r *Router) noRoom(now time.Time, found []candidate, req *Request) error {
	for i := range found {
		r.permits.Want(found[i].server.key, req.Urgency)
	}
	preferred := found[r.random.IntN(len(found))].server.key
	if !req.PermitsAsked && r.permits.Miss(now, preferred, req.Urgency) {
		return ErrPermitsNeeded
	}
	rest := r.permits.RetryAfter(now)
	return fault.New(fault.Overloaded, fault.NotRun, "all backend servers limit their requests, and there is no room for %v", rest.Round(time.Millisecond)).WithRetryAfter(rest)
}

// SaidLimit records the limit in requests a second that the backend server of an attempt has
// named in a response, or 0 if it named none. It reports whether a limit is new or has ended.
func (r *Router) SaidLimit(now time.Time, d *Decision, perSecond float64) (news bool) {
	if perSecond > 0 {
		d.server.notices.changedAt = now
	}
	return r.permits.Heard(now, d.started, d.server.key, perSecond)
}

// LimitsReported records limits in force that the leader tells.
func (r *Router) LimitsReported(now time.Time, limits []*wire.ServerLimit) {
	r.permits.Told(now, limits)
}

// PermitRequest returns the request for permits that is due, with the samples of engines'
// speeds, or nil.
func (r *Router) PermitRequest(now time.Time) *wire.PermitRequest {
	return r.speedSamples.fill(now, r.name, r.permits.Request(now))
}

// PermitsReceived records the reply to a request for permits that was sent at time sentAt.
func (r *Router) PermitsReceived(now, sentAt time.Time, reply *wire.PermitReply) {
	r.permits.Receive(now, sentAt, reply)
}

// forgetLimits forgets the limits of backend servers whose notices are forgotten.
func (r *Router) forgetLimits() {
	if r.permits.Empty() {
		return
	}
	known := make(map[permit.Key]bool, len(r.notices))
	for _, n := range r.notices {
		known[n.key] = true
	}
	r.permits.Forget(func(key permit.Key) bool { return known[key] })
}
