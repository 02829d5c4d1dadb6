package control

import (
	"context"
	"expvar"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/pace"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

// paceInterval is the time between two looks at the view for servers that start, and
// idlePaceInterval that while the view stays the same and no server is limited. With 3,000
// servers a look took 2.4 ms on a busy machine.
const (
	paceInterval     = 100 * time.Millisecond
	idlePaceInterval = 500 * time.Millisecond
)

var (
	// pacedServers is the number of backend servers that this replica, as the leader, limits
	// while they start or recover.
	pacedServers = expvar.NewInt("pace_servers")
	// paceChanges counts the limits that began, fell or ended, by cause.
	paceChanges = expvar.NewMap("pace_changes")
)

// paceServers limits the load of engines without an agent that start or recover. It returns a
// digest with the limits if routers should have it at once.
func (l *leader) paceServers(now time.Time) *wire.LoadDigest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pace == nil || l.options.Engines == nil || now.Sub(l.lastPace) < paceInterval {
		return nil
	}
	snapshot := l.machine.Log().Snapshot()
	if snapshot.Version == l.pacedVersion && now.Sub(l.lastPace) < idlePaceInterval && l.pace.Paced() == 0 {
		return nil
	}
	l.lastPace, l.pacedVersion = now, snapshot.Version
	members := snapshot.Members()
	for _, key := range l.pace.Limited() {
		l.pace.Used(key, l.permits.TakeUsed(key))
	}
	began := false
	for _, change := range l.pace.Update(now, pacedView(members)) {
		l.permits.SetPace(now, change.Key, change.PerSecond)
		if !change.News {
			continue
		}
		began = began || change.Cause == pace.CauseStart
		paceChanges.Add(string(change.Cause), 1)
		event.BackendPaced(change.Name, change.PerSecond, string(change.Cause))
	}
	pacedServers.Set(int64(l.pace.Paced()))
	if !began {
		return nil
	}
	return &wire.LoadDigest{Term: l.term, Number: l.digestNumber.Add(1), Limits: l.limitsLocked(now, members), Routers: l.routers.List(now)}
}

// sendPace sends the digest of paceServers, if there is one, to this process's followers and
// the other replicas.
func (l *leader) sendPace(ctx context.Context, digest *wire.LoadDigest) {
	if digest != nil {
		l.tracker.Put(digest)
		l.sendDigest(ctx, digest)
	}
}

// pacedView returns what pace.Controller needs to know of the members.
func pacedView(members []*wire.Member) []pace.Server {
	var view []pace.Server
	for _, m := range members {
		b := m.GetBackend()
		if !fleet.IsAgentlessEngine(b) || b.GetService() == "" {
			continue
		}
		state := m.GetState()
		view = append(view, pace.Server{
			Key: permit.KeyOf(b), Name: b.GetName(), Service: b.GetService(), Ready: state == wire.BackendState_BACKEND_STATE_READY,
			Interrupted: state == wire.BackendState_BACKEND_STATE_SUSPECTED || state == wire.BackendState_BACKEND_STATE_DAMPED,
		})
	}
	return view
}

// paceReplies passes the replies to load queries to the Controller.
func (l *leader) paceReplies(now time.Time, replies []engineReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pace == nil {
		return
	}
	for _, r := range replies {
		switch key := permit.KeyOf(r.backend); {
		case r.err == nil:
			l.pace.Load(now, key, r.report.Answering+r.report.Waiting)
		case wantsQuiet(r) == 0:
			l.pace.Failed(key)
		}
	}
}
