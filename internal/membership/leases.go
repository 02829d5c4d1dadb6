package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// Members is an immutable view of the replicated table.
type Members interface {
	// Member returns the member called name, or nil.
	Member(name string) *wire.Member
	// Members returns all members in the order of their names.
	Members() []*wire.Member
}

// scansPerInterval is the number of times that the leases are looked through in
// each heartbeat interval.
const scansPerInterval = 4

// lease is what the leader knows of one backend server's heartbeats.
type lease struct {
	incarnation uint64
	heard       time.Time
	// sequence is the highest number of an announcement of the incarnation.
	sequence uint64
	// leaving is set once the incarnation has announced that it stops.
	leaving bool
	flaps   flapCounter
	// pending is the kind of change proposed last, at pendingSince.
	pending      wire.BackendChange_Kind
	pendingSince time.Time
}

// Leases is the leader's failure detector. It lives for one term of leadership:
// a new leader starts with a new one, which grants every member a fresh lease.
// It changes nothing itself but returns the changes to propose.
type Leases struct {
	config  LeaseConfig
	started time.Time
	// lastSeen is the newest time that was passed in.
	lastSeen time.Time
	lastScan time.Time
	leases   map[string]*lease
	// dampRoom is how many more members may be damped before the next Tick.
	dampRoom int
}

// NewLeases returns a detector that grants every member a lease from now on.
func NewLeases(config LeaseConfig, now time.Time) *Leases {
	return &Leases{config: config, started: now, lastSeen: now, leases: map[string]*lease{}}
}

// Interval returns the time between heartbeats for a number of members.
func (l *Leases) Interval(members int) time.Duration {
	interval := time.Duration(members) * l.config.IntervalPerMember
	return min(max(interval, l.config.MinInterval), l.config.MaxInterval)
}

// suspectAfter and leaseTime derive from the interval.
func (l *Leases) suspectAfter(members int) time.Duration {
	return time.Duration(l.config.SuspectIntervals) * l.Interval(members)
}

func (l *Leases) leaseTime(members int) time.Duration {
	return time.Duration(l.config.LeaseIntervals) * l.Interval(members)
}

// Heartbeat renews the lease of the announcing backend server and returns the
// changes to propose. The reply tells the agent its lease and whether to drain.
func (l *Leases) Heartbeat(now time.Time, members Members, announce *wire.Announce) ([]*wire.BackendChange, *wire.AnnounceReply) {
	backend := announce.GetBackend()
	name := backend.GetName()
	member := members.Member(name)
	size := len(members.Members())
	l.creditPause(now, size)
	reply := &wire.AnnounceReply{LeaseMs: uint32(l.leaseTime(size).Milliseconds())}
	if ValidateBackend(backend) != "" {
		return nil, reply
	}
	known := l.lease(name)
	joined := member.GetBackend().GetAgentIncarnation()
	if backend.GetAgentIncarnation() < max(known.incarnation, joined) {
		return nil, reply
	}
	if isOutdated(known, announce) {
		return nil, reply
	}
	l.renew(now, known, announce, size)
	reply.Draining = known.leaving || member.GetState() == wire.BackendState_BACKEND_STATE_DRAINING
	change := l.answerHeartbeat(now, known, member, backend)
	if change == nil || !l.propose(now, known, change.Kind) {
		return nil, reply
	}
	return []*wire.BackendChange{change}, reply
}

// isOutdated reports whether a later announcement of the same incarnation has
// been taken.
func isOutdated(known *lease, announce *wire.Announce) bool {
	sequence := announce.GetSequence()
	return sequence != 0 && known.incarnation == announce.GetBackend().GetAgentIncarnation() && sequence < known.sequence
}

// renew notes a heartbeat. A new incarnation or the end of a long silence counts
// as one return.
func (l *Leases) renew(now time.Time, known *lease, announce *wire.Announce, size int) {
	incarnation := announce.GetBackend().GetAgentIncarnation()
	restarted := known.incarnation != 0 && incarnation > known.incarnation
	silent := !known.heard.IsZero() && now.Sub(known.heard) > l.suspectAfter(size)
	if restarted || silent {
		known.flaps.add(now, l.config.Flap)
	}
	if incarnation > known.incarnation {
		known.incarnation = incarnation
		known.leaving = false
		known.sequence = 0
		known.pending = wire.BackendChange_KIND_UNSPECIFIED
	}
	known.heard = now
	known.sequence = max(known.sequence, announce.GetSequence())
	known.leaving = known.leaving || announce.GetLeaving()
}

// answerHeartbeat returns the change that a heartbeat calls for, or nil.
func (l *Leases) answerHeartbeat(now time.Time, known *lease, member *wire.Member, backend *wire.Backend) *wire.BackendChange {
	if member == nil || member.GetBackend().GetAgentIncarnation() != known.incarnation {
		if known.leaving {
			return nil
		}
		return change(wire.BackendChange_KIND_JOIN, backend)
	}
	switch {
	case known.leaving:
		if member.GetState() == wire.BackendState_BACKEND_STATE_DRAINING {
			return nil
		}
		return change(wire.BackendChange_KIND_DRAIN, backend)
	case !proto.Equal(member.GetBackend(), backend):
		return change(wire.BackendChange_KIND_UPDATE, backend)
	case member.GetState() == wire.BackendState_BACKEND_STATE_SUSPECTED:
		if l.mustDamp(now, known) {
			return change(wire.BackendChange_KIND_DAMP, backend)
		}
		return change(wire.BackendChange_KIND_RECOVER, backend)
	}
	return nil
}

// Tick returns the changes that the time calls for. Call it at least once in
// each heartbeat interval. It looks through the leases scansPerInterval times in
// an interval, however often it is called.
func (l *Leases) Tick(now time.Time, members Members) []*wire.BackendChange {
	all := members.Members()
	l.creditPause(now, len(all))
	if now.Sub(l.lastScan) < l.Interval(len(all))/scansPerInterval {
		return nil
	}
	l.lastScan = now
	known := l.memberLeases(all)
	held := l.silentTogether(now, all, known)
	l.dampRoom = l.countDampRoom(now, all, known)
	var changes []*wire.BackendChange
	for i, member := range all {
		if len(changes) >= l.config.MaxProposalsPerTick {
			break
		}
		kind := l.due(now, known[i], member, len(all), held)
		if kind != wire.BackendChange_KIND_UNSPECIFIED && l.propose(now, known[i], kind) {
			changes = append(changes, change(kind, member.GetBackend()))
		}
	}
	l.forget(now, members)
	return changes
}

// due returns the kind of change that is due for member, or UNSPECIFIED.
func (l *Leases) due(now time.Time, known *lease, member *wire.Member, size int, held map[string]bool) wire.BackendChange_Kind {
	silence := now.Sub(known.heard)
	over := l.leaseTime(size)
	if held[member.GetBackend().GetRegion()] {
		over += l.config.CorrelatedLeaseExtension
	}
	switch {
	case known.leaving && silence > l.suspectAfter(size):
		return wire.BackendChange_KIND_LEAVE
	case silence > over:
		return wire.BackendChange_KIND_EXPIRE
	}
	switch member.GetState() {
	case wire.BackendState_BACKEND_STATE_READY:
		if silence > l.suspectAfter(size) {
			return wire.BackendChange_KIND_SUSPECT
		}
		if l.mustDamp(now, known) {
			return wire.BackendChange_KIND_DAMP
		}
	case wire.BackendState_BACKEND_STATE_DAMPED:
		if silence <= l.suspectAfter(size) && known.flaps.settled(now, l.config.Flap) {
			return wire.BackendChange_KIND_RECOVER
		}
	}
	return wire.BackendChange_KIND_UNSPECIFIED
}

// MarkRefused tells that a proposed change was committed and refused, so that it
// is not proposed again soon.
func (l *Leases) MarkRefused(now time.Time, change *wire.BackendChange) {
	known := l.lease(change.GetName())
	known.pending = change.GetKind()
	known.pendingSince = now.Add(l.config.RefusedRetryDelay)
}

// propose reports whether a change of kind should be proposed now, and notes it.
func (l *Leases) propose(now time.Time, known *lease, kind wire.BackendChange_Kind) bool {
	if known.pending == kind && now.Sub(known.pendingSince) < l.config.ProposalRetryInterval {
		return false
	}
	known.pending = kind
	known.pendingSince = now
	if kind == wire.BackendChange_KIND_DAMP {
		l.dampRoom--
	}
	return true
}

// lease returns the lease of name, new if need be.
func (l *Leases) lease(name string) *lease {
	known := l.leases[name]
	if known == nil {
		known = &lease{}
		l.leases[name] = known
	}
	return known
}

func (l *Leases) memberLeases(members []*wire.Member) []*lease {
	leases := make([]*lease, len(members))
	for i, member := range members {
		leases[i] = l.memberLease(member)
	}
	return leases
}

// memberLease returns the lease of a member; a member not heard yet in this
// term has one that began with the term.
func (l *Leases) memberLease(member *wire.Member) *lease {
	known := l.lease(member.GetBackend().GetName())
	if known.heard.IsZero() {
		known.heard = l.started
	}
	if known.incarnation == 0 {
		known.incarnation = member.GetBackend().GetAgentIncarnation()
		if member.GetState() == wire.BackendState_BACKEND_STATE_DAMPED {
			known.flaps.set(l.started, l.config.Flap.DampThreshold)
		}
	}
	return known
}

// forget drops what is known of names that are no longer members, once their
// flaps have decayed.
func (l *Leases) forget(now time.Time, members Members) {
	for name, known := range l.leases {
		if members.Member(name) != nil || now.Sub(known.heard) < l.config.CorrelatedLeaseExtension {
			continue
		}
		if known.flaps.settled(now, l.config.Flap) {
			delete(l.leases, name)
		}
	}
}

func change(kind wire.BackendChange_Kind, backend *wire.Backend) *wire.BackendChange {
	c := &wire.BackendChange{
		Kind:             kind,
		Name:             backend.GetName(),
		AgentIncarnation: backend.GetAgentIncarnation(),
	}
	if kind == wire.BackendChange_KIND_JOIN || kind == wire.BackendChange_KIND_UPDATE {
		c.Backend = backend
	}
	return c
}
