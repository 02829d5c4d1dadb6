package control

import (
	"context"
	"expvar"
	"maps"
	"sync"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/reach"
	"parsleypulley/internal/wire"
)

const (
	// slowReport is the time after which an engine whose load report has not come is checked.
	// An engine that is not overloaded answers within some milliseconds.
	slowReport = 150 * time.Millisecond
	// maxChecksPerReports limits the checks that one round of load queries leads to: a leader
	// that is short of processor time gets all reports late.
	maxChecksPerReports = 32
	// maxChecks limits the checks that run at once, and maxPendingChecks those that wait.
	maxChecks        = 32
	maxPendingChecks = 256
	// suspectAgainAfter is the time until a backend server that stays unreachable is suspected
	// again. A server that the leader alone can't reach recovers with each heartbeat, and must
	// not change its state each time.
	suspectAgainAfter = 10 * time.Second
)

// reachChecks counts checks of the leader by result, and "suspected" those that led to a
// suspicion.
var reachChecks = expvar.NewMap("control_reach_checks")

// checkPlan decides which backend servers the leader checks, and which it suspects for that. It
// performs no I/O and is not safe for concurrent use.
type checkPlan struct {
	// running holds the names of the servers that are checked now, and pending the servers that
	// are to be checked next.
	running map[string]bool
	pending []*wire.Backend
	// suspected holds when servers that were unreachable since were suspected, by name.
	suspected map[string]suspicion
}

// suspicion is a suspicion of one incarnation of a backend server.
type suspicion struct {
	at          time.Time
	incarnation uint64
}

func newCheckPlan() *checkPlan {
	return &checkPlan{running: map[string]bool{}, suspected: map[string]suspicion{}}
}

// request records that a backend server should be checked and reports whether to begin now.
func (p *checkPlan) request(b *wire.Backend) bool {
	if p.running[b.GetName()] {
		return false
	}
	if len(p.running) < maxChecks {
		p.running[b.GetName()] = true
		return true
	}
	for _, waiting := range p.pending {
		if waiting.GetName() == b.GetName() {
			return false
		}
	}
	if len(p.pending) < maxPendingChecks {
		p.pending = append(p.pending, b)
	}
	return false
}

// finished records the result of a check. It returns whether the server is to be suspected, and
// the next server to check, which is nil if there is none. member is the server's present state.
func (p *checkPlan) finished(now time.Time, b *wire.Backend, result reach.Result, member *wire.Member) (suspect bool, next *wire.Backend) {
	name := b.GetName()
	delete(p.running, name)
	if len(p.pending) > 0 {
		next, p.pending = p.pending[0], p.pending[1:]
		p.running[next.GetName()] = true
	}
	maps.DeleteFunc(p.suspected, func(_ string, s suspicion) bool { return now.Sub(s.at) >= suspectAgainAfter })
	switch before, known := p.suspected[name]; {
	case result == reach.Reachable:
		delete(p.suspected, name)
	case result != reach.Unreachable || member.GetState() != wire.BackendState_BACKEND_STATE_READY ||
		member.GetBackend().GetAgentIncarnation() != b.GetAgentIncarnation():
	case known && before.incarnation == b.GetAgentIncarnation():
	default:
		p.suspected[name] = suspicion{now, b.GetAgentIncarnation()}
		return true, next
	}
	return false, next
}

// reachability checks backend servers for the leader and proposes to suspect those that it can't
// reach. It is safe for concurrent use.
type reachability struct {
	monitor *reach.Monitor
	// member returns the present state of a backend server, or nil.
	member func(name string) *wire.Member
	// propose commits a change if this replica leads.
	propose func(change *wire.BackendChange)

	mu   sync.Mutex
	plan *checkPlan
	// nextSlow is the index in the next round of load queries of the first engine to check.
	nextSlow int
}

func newReachability(dialer reach.Dialer, member func(name string) *wire.Member, propose func(change *wire.BackendChange)) *reachability {
	observe := func(_ string, r reach.Result) { reachChecks.Add(r.String(), 1) }
	return &reachability{monitor: reach.NewMonitor(dialer, observe), member: member, propose: propose, plan: newCheckPlan()}
}

// check checks a backend server in the background, unless too many checks are under way.
func (r *reachability) check(b *wire.Backend) {
	r.mu.Lock()
	begin := r.plan.request(b)
	r.mu.Unlock()
	if begin {
		go r.run(b)
	}
}

// run checks a backend server and those that wait after it.
func (r *reachability) run(b *wire.Backend) {
	for b != nil {
		result := r.monitor.Check(context.Background(), b.GetAddress(), nil).Result
		r.mu.Lock()
		suspect, next := r.plan.finished(time.Now(), b, result, r.member(b.GetName()))
		r.mu.Unlock()
		if suspect {
			reachChecks.Add("suspected", 1)
			event.LeaderCannotReachBackend(b.GetName(), b.GetAddress())
			change := &wire.BackendChange{Kind: wire.BackendChange_KIND_SUSPECT, Name: b.GetName(), AgentIncarnation: b.GetAgentIncarnation()}
			go r.propose(change)
		}
		b = next
	}
}

// checkSlow checks ready engines of a round of load queries that have not answered, at most
// maxChecksPerReports of them and each time the next ones.
func (r *reachability) checkSlow(replies []engineReply, answered func(i int) bool) {
	r.mu.Lock()
	first := r.nextSlow
	r.mu.Unlock()
	checks := 0
	for n := range replies {
		i := (first + n) % len(replies)
		if answered(i) || r.member(replies[i].backend.GetName()).GetState() != wire.BackendState_BACKEND_STATE_READY {
			continue
		}
		r.check(replies[i].backend)
		if checks++; checks == maxChecksPerReports {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.nextSlow = i + 1
			return
		}
	}
}

// unreachable takes a router's message that it can't reach a backend server.
func (l *leader) unreachable(server *wire.UnreachableServer) error {
	if l.leadingTerm() == 0 {
		return l.notLeading()
	}
	b := l.machine.Log().Snapshot().Member(server.GetBackend()).GetBackend()
	if b.GetAddress() == "" || b.GetAgentIncarnation() != server.GetIncarnation() {
		return nil // gone, replaced, or with an agent
	}
	l.reachability.check(b)
	return nil
}

// proposeSuspicion proposes a change of a backend server if this replica leads.
func (l *leader) proposeSuspicion(change *wire.BackendChange) {
	if l.leadingTerm() != 0 {
		l.proposeOne(context.Background(), backendCommands([]*wire.BackendChange{change})[0])
	}
}

// isAnswer reports whether the result of a load query came from the engine.
func isAnswer(r engineReply) bool { return r.err == nil || fault.From(r.err).RetryAfter > 0 }
