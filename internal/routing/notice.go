package routing

import (
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

const (
	// noticeExpiry is how long the notices of a backend server outside the view are
	// kept. A view may lose a backend server and list it again.
	noticeExpiry = 10 * time.Minute
	// quietProbeDelay is the time after a request for quiet before a request may be
	// sent nevertheless, as a probe.
	quietProbeDelay = 500 * time.Millisecond
	// MaxQuiet limits the time for which a backend server may want no requests. A longer
	// time counts as MaxQuiet.
	MaxQuiet = 10 * time.Minute
)

// instance identifies one run of a backend server.
type instance struct {
	name                                string
	agentIncarnation, engineIncarnation uint64
}

func instanceOf(b *wire.Backend) instance {
	return instance{b.GetName(), b.GetAgentIncarnation(), b.GetEngineIncarnation()}
}

// notices holds what one run of a backend server has said of itself in its responses.
// They outlive changes of the view: a view that still lists the backend server as ready,
// or lists it again, does not revoke them.
type notices struct {
	// key identifies the run in Router.permits.
	key permit.Key
	// leaving is set once the backend server has said that it leaves.
	leaving bool
	// quietSince and quietUntil bound the time in which the backend server wants no
	// requests.
	quietSince, quietUntil time.Time
	// probed is set once a request was sent in that time.
	probed bool
	// returning is set from the first notice until, after that time, a request has
	// succeeded. trial is the request that is to show it, or nil.
	returning bool
	trial     *Decision
	// changedAt is when the newest notice came.
	changedAt time.Time
}

// quiet reports whether the backend server wants no requests now.
func (n *notices) quiet(now time.Time) bool { return now.Before(n.quietUntil) }

// allows reports whether a request may be sent to the backend server. After a quiet time
// it allows one at a time until one succeeds, so that the requests held back don't arrive
// together.
func (n *notices) allows(now time.Time) bool {
	return !n.leaving && !n.quiet(now) && n.trial == nil
}

// allowsProbe reports whether one request may be sent in spite of the quiet time.
func (n *notices) allowsProbe(now time.Time) bool {
	return !n.leaving && n.quiet(now) && !n.probed && now.Sub(n.quietSince) >= quietProbeDelay
}

// sent records that a request was sent.
func (n *notices) sent(now time.Time, d *Decision) {
	switch {
	case n.quiet(now):
		n.probed = true
	case n.returning:
		n.trial = d
	}
}

// ended records that a request has ended or, if succeeded is set, that its answer has
// begun.
func (n *notices) ended(d *Decision, succeeded bool) {
	if n.trial != d {
		return
	}
	n.trial = nil
	n.returning = n.returning && !succeeded
}

// noticesOf returns the notices of a backend server's incarnation.
func (r *Router) noticesOf(b *wire.Backend) *notices {
	id := instanceOf(b)
	n := r.notices[id]
	if n == nil {
		n = &notices{key: permit.KeyOf(b)}
		r.notices[id] = n
	}
	return n
}

// dropNotices forgets the notices of incarnations that are no longer in the view.
func (r *Router) dropNotices(now time.Time) {
	for id, n := range r.notices {
		if s := r.servers[id.name]; s != nil && s.notices == n {
			continue
		}
		if now.Sub(n.changedAt) >= noticeExpiry && !n.quiet(now) {
			delete(r.notices, id)
		}
	}
}

// SaidLeaving records that the backend server of an attempt has said in a response that
// it leaves. From then on it gets no new requests, whatever the view says. It reports
// whether that is news.
func (r *Router) SaidLeaving(now time.Time, d *Decision) bool {
	n := d.server.notices
	n.changedAt = now
	news := !n.leaving
	n.leaving = true
	return news
}

// AskedForQuiet records that the backend server of an attempt turned a request away and
// wants no more for a time. It reports whether no such time was running.
func (r *Router) AskedForQuiet(now time.Time, d *Decision, quiet time.Duration) bool {
	n := d.server.notices
	n.changedAt = now
	news := !n.quiet(now)
	if news {
		n.quietSince, n.probed = now, false
	}
	n.returning, n.trial = true, nil
	if until := now.Add(min(quiet, MaxQuiet)); until.After(n.quietUntil) {
		n.quietUntil = until
	}
	return news
}

// quietCandidate returns the backend server of the pool whose quiet time ends first among
// those that fit the request, allow a probe and were not tried, or nil. rest is the time until the first
// of those that fit wants requests again; 0 if there are none.
func (r *Router) quietCandidate(now time.Time, p *pool, req *Request) (probe *server, rest time.Duration) {
	for _, g := range []group{p.ready, p.fallback} {
		for _, s := range g.servers {
			n := s.notices
			if n.leaving || !n.quiet(now) || !s.fits(req) || !r.beginsInTime(now, s, req) {
				continue
			}
			if left := n.quietUntil.Sub(now); rest == 0 || left < rest {
				rest = left
			}
			if n.allowsProbe(now) && s.available(now, true) && s.modelState(req.Model).available(now) && !s.triedBy(req) && r.hasRoom(now, s, req) && (probe == nil || n.quietUntil.Before(probe.notices.quietUntil)) {
				probe = s
			}
		}
	}
	return probe, rest
}

// allQuiet returns the error of Choose when all backend servers that a request could
// use want no requests for at least rest.
func allQuiet(rest time.Duration) error {
	return fault.New(fault.Overloaded, fault.NotRun, "all backend servers want no calls for %v", rest.Round(time.Millisecond)).WithRetryAfter(rest)
}
