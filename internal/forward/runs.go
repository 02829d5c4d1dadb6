package forward

import (
	"context"
	"expvar"
	"maps"
	"sync"
	"time"

	"parsleypulley/internal/membership"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// runInterval is the time between two looks at whether this router follows the view. It is much shorter than
// the time without a confirmation that counts as a gap (view.MaxConfirmationAge).
const runInterval = 250 * time.Millisecond

// absentRunTime is how long the doubt about a backend server that the view no longer has is kept: it may
// come back with a heartbeat that it sent before.
const absentRunTime = time.Minute

// Signs that another process may have taken the place of a backend server.
const (
	// signGap: the view was not followed for a while.
	signGap = "gap"
	// signSuspected: its heartbeats are late.
	signSuspected = "suspected"
	// signBroken: a connection broke or was refused.
	signBroken = "broken"
	// signUnreachable: its machine does not answer.
	signUnreachable = "unreachable"
)

// runDoubts counts what makes the run of a backend server doubtful (the first sign), what
// ends the doubt ("confirmed" by heartbeats, "survived" by a connection), and streams that were not moved
// for it ("not_moved") or whose new server was not used for it ("not_joined").
var runDoubts = expvar.NewMap("server_run_doubts")

// doubtfulRuns is the number of backend servers whose run is doubtful.
var doubtfulRuns = expvar.NewInt("server_runs_doubtful")

// runKnowledge is what this router knows of the runs of backend servers. The view tells which run of a
// server there is, and so its software, but not when: a server may have started anew under its name
// since. Until the heartbeat of the new start is in the view, only its broken connections show that.
//
// A server's run is doubtful from any sign that another process may have taken its place: a connection
// to it broke or was refused, its heartbeats are late, or this router has not followed the view (it has
// just started, stood still, or was cut off). The doubt ends with a proof that is newer than the sign: a
// later run, a heartbeat of the same run that was sent later, or a response on a connection that was open
// before the sign.
//
// The time is passed in, by the steady clock. It is not safe for concurrent use.
type runKnowledge struct {
	heartbeatBound func(members int) time.Duration
	servers        map[string]*serverRun
	// confirmedAt is the newest time at which the view was confirmed, and gap is set if it was not
	// confirmed since.
	confirmedAt time.Time
	gap         bool
	// term is the leader's term in the newest view, and ledSince the time at which it was first seen, or
	// at which a gap ended: a new leader, and one that has stood still, extends the leases, so that a
	// member is ready although it has sent no heartbeat.
	term     uint64
	ledSince time.Time
}

// serverRun is the run of a backend server that the view tells.
type serverRun struct {
	backend *wire.Backend
	// proved is the newest time at which the server was this run, as a later heartbeat proves, and known
	// that at which it was the same process as before the doubt that was ended.
	proved, known time.Time
	// doubtedSince is the time of the first sign since the run was known, and doubted that of the newest
	// one; both are zero if there is no doubt.
	doubtedSince, doubted time.Time
	// silent is set if a sign was of another kind than a broken connection: the server's machine may have
	// been lost, and open connections prove nothing until something arrives on them.
	silent bool
	// seen is the time of the newest view that has the server.
	seen time.Time
}

func newRunKnowledge() *runKnowledge {
	return &runKnowledge{heartbeatBound: membership.DefaultLeaseConfig().HeartbeatBound, servers: map[string]*serverRun{}}
}

// observe applies a view. fresh must have been read before s.
func (k *runKnowledge) observe(now time.Time, s *view.Snapshot, fresh view.Freshness) {
	if !fresh.Confirmed {
		k.gap = true
		return
	}
	followed := k.confirmedAt
	confirmedAt := now.Add(-fresh.Age)
	gap := k.gap || followed.IsZero() || confirmedAt.Sub(followed) > view.MaxConfirmationAge
	k.gap = false
	if confirmedAt.After(followed) {
		k.confirmedAt = confirmedAt
	}
	if s.FencingToken != k.term || gap {
		k.term, k.ledSince = s.FencingToken, now
	}
	heartbeat := k.confirmedAt.Add(-k.heartbeatBound(len(s.Members())))
	led := !heartbeat.Before(k.ledSince)
	for _, m := range s.Members() {
		run := k.servers[m.GetBackend().GetName()]
		switch {
		case run == nil || isOtherRun(s, run.backend):
			run = &serverRun{backend: m.GetBackend(), proved: now}
			k.servers[m.GetBackend().GetName()] = run
			if gap {
				run.proved = followed
				run.doubt(now, followed, signGap)
			}
		case gap:
			run.doubt(now, followed, signGap)
		}
		run.seen = now
		switch m.GetState() {
		case wire.BackendState_BACKEND_STATE_SUSPECTED:
			run.doubt(now, now, signSuspected)
		case wire.BackendState_BACKEND_STATE_READY:
			if led && heartbeat.After(run.proved) {
				run.proved = heartbeat
			}
			if !run.doubted.IsZero() && run.proved.After(run.doubted) {
				run.trust("confirmed")
			}
		}
	}
	maps.DeleteFunc(k.servers, func(_ string, run *serverRun) bool { return now.Sub(run.seen) > absentRunTime })
}

// doubt records a sign at time now, of something that may have happened at any time from since on.
func (r *serverRun) doubt(now, since time.Time, sign string) {
	if r.doubted.IsZero() {
		r.doubtedSince = since
		runDoubts.Add(sign, 1)
	}
	r.doubted = now
	r.silent = r.silent || sign != signBroken
}

func (r *serverRun) trust(proof string) {
	r.doubtedSince, r.doubted, r.silent = time.Time{}, time.Time{}, false
	runDoubts.Add(proof, 1)
}

// get returns what is known of a run of a backend server; nil if that is not the one in the view.
func (k *runKnowledge) get(b *wire.Backend) *serverRun {
	run := k.servers[b.GetName()]
	if run == nil || run.backend.GetAgentIncarnation() != b.GetAgentIncarnation() || run.backend.GetSoftwareVersion() != b.GetSoftwareVersion() {
		return nil
	}
	return run
}

// sign records a sign that has just come.
func (k *runKnowledge) sign(now time.Time, b *wire.Backend, sign string) {
	if run := k.get(b); run != nil {
		run.doubt(now, now, sign)
	}
}

// stillOpen records that a connection to a backend server, open since a time, is still open, and reports
// whether that ends a doubt: a process that ends closes all its connections.
func (k *runKnowledge) stillOpen(b *wire.Backend, since, now time.Time) bool {
	run := k.get(b)
	return run != nil && !run.silent && k.survived(b, since, now)
}

// survived records that a backend server was the same process from one time to another, and reports
// whether that ends a doubt.
func (k *runKnowledge) survived(b *wire.Backend, from, to time.Time) bool {
	run := k.get(b)
	if run == nil || run.doubted.IsZero() || !from.Before(run.doubtedSince) || to.Before(run.doubted) {
		return false
	}
	run.known = to
	run.trust("survived")
	return true
}

// isKnown reports whether a backend server is the run that the view tells.
func (k *runKnowledge) isKnown(b *wire.Backend) bool {
	run := k.get(b)
	return !k.gap && run != nil && run.doubted.IsZero()
}

// runAt reports whether a backend server, whose run was doubtful at time t, is known by now to have been
// the run that the view tells, and whether a heartbeat proves that, whatever happened before t.
func (k *runKnowledge) runAt(b *wire.Backend, t time.Time) (known, proved bool) {
	run := k.get(b)
	if run == nil {
		return false, false
	}
	proved = run.proved.After(t)
	return proved || run.known.After(t), proved
}

// runTracker binds runKnowledge to the views and the clock. It is safe for concurrent use.
type runTracker struct {
	views     *view.Store
	freshness func() view.Freshness

	mu        sync.Mutex
	knowledge *runKnowledge
}

func newRunTracker(views *view.Store, freshness func() view.Freshness) *runTracker {
	return &runTracker{views: views, freshness: freshness, knowledge: newRunKnowledge()}
}

// update applies the newest view and returns the time. t.mu must be held.
func (t *runTracker) update() time.Time {
	fresh := t.freshness() // before the view, which is then at least as new as the one that was confirmed
	s, now := t.views.Load(), steady.Now()
	t.knowledge.observe(now, s, fresh)
	return now
}

// observe applies the newest view.
func (t *runTracker) observe() { doubtfulRuns.Set(int64(len(t.doubtful()))) }

// sign records a sign that has just come.
func (t *runTracker) sign(b *wire.Backend, sign string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.knowledge.sign(t.update(), b, sign) // also of a server that has just joined
}

// survived records that a backend server is the same process as at time from, by the clock of time.Now, and
// reports whether that ends a doubt. A zero time stands for one that is not known.
func (t *runTracker) survived(b *wire.Backend, from time.Time) bool {
	if from.IsZero() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := steady.Now()
	return t.knowledge.survived(b, now.Add(-time.Since(from)), now)
}

// stillOpen records that a connection is open, as it was at time since, by the clock of time.Now.
func (t *runTracker) stillOpen(b *wire.Backend, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := steady.Now()
	t.knowledge.stillOpen(b, now.Add(-time.Since(since)), now)
}

// isKnown reports whether a backend server is now the run that the view tells.
func (t *runTracker) isKnown(b *wire.Backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	return t.knowledge.isKnown(b)
}

// runAt reports what is known by now of the run of a backend server at time at; see runKnowledge.
func (t *runTracker) runAt(b *wire.Backend, at time.Time) (known, proved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	return t.knowledge.runAt(b, at)
}

// doubtful returns the names of the backend servers whose run is not known. All are if the view is not
// confirmed.
func (t *runTracker) doubtful() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	var names []string
	for _, m := range t.views.Load().Members() {
		if !t.knowledge.isKnown(m.GetBackend()) {
			names = append(names, m.GetBackend().GetName())
		}
	}
	return names
}

// doubted returns the backend servers in the view with a sign that another process may have taken their
// place.
func (t *runTracker) doubted() []*wire.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	var out []*wire.Backend
	for _, run := range t.knowledge.servers {
		if !run.doubted.IsZero() {
			out = append(out, run.backend)
		}
	}
	return out
}

// followRuns keeps up to date what is known of the runs of backend servers, until ctx ends.
func (f *Forwarder) followRuns(ctx context.Context) {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			recovery.Run("runs", f.updateRuns)
		}
	}
}

// updateRuns applies the newest view and what idle connections prove.
func (f *Forwarder) updateRuns() {
	for _, b := range f.runs.doubted() {
		f.proveByIdle(b)
	}
	f.runs.observe()
	f.compareStarts()
}

// proveByIdle looks for an idle connection to a backend server that was open before a doubt about its run
// and still is.
func (f *Forwarder) proveByIdle(b *wire.Backend) {
	if since := f.connPool.idleSince(b.GetAddress()); !since.IsZero() {
		f.runs.stillOpen(b, since.Add(minRestartTime)) // the sign may have been noticed late
	}
}

// compareStarts compares the starts of streams with the newest view.
func (f *Forwarder) compareStarts() {
	f.starts.compare(steady.Now(), f.opts.Views, f.opts.Freshness, f.runs.runAt)
}

// idleSince returns since when the oldest idle connection to an address that is still open has been idle;
// the zero time if there is none.
func (p *connPool) idleSince(address string) (since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		if (since.IsZero() || c.lastUsed.Before(since)) && c.isReusable() {
			since = c.lastUsed
		}
	}
	return since
}
