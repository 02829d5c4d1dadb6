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

// scansPerInterval is the number of scans of all leases in each heartbeat interval.
const scansPerInterval = 4

// lease records the heartbeats of one backend server, as seen by the leader.
type lease struct {
	incarnation   uint64
	lastHeartbeat time.Time
	// sequence is the highest sequence number announced by this incarnation.
	sequence uint64
	// leaving is set once this incarnation has announced that it is stopping.
	leaving bool
	// unusable is set for a member of the term before that routers can't use. Earlier versions took
	// such members into the log; they may have a later incarnation than any valid one.
	unusable bool
	// flaps counts the returns of the backend server.
	flaps flapCounter
	// proposedKind is the kind of the last proposed change.
	proposedKind wire.BackendChange_Kind
	// proposedAt is the time of the last proposal.
	proposedAt time.Time
	// removalsBefore is Leases.removals at the time of the last proposal.
	removalsBefore uint64
	// refusedUntil delays the retry after a refusal.
	refusedUntil time.Time
}

// Leases is the leader's failure detector. It is used for one leadership term: a new
// leader creates a new one, which grants every member a fresh lease. It does not
// modify the table but returns the changes to propose.
type Leases struct {
	config  LeaseConfig
	started time.Time
	// lastNow is the time passed to the previous call.
	lastNow time.Time
	// lastScan is when Tick last scanned the leases.
	lastScan time.Time
	leases   map[string]*lease
	// removals counts the members that were removed in this term.
	removals uint64
	// availableDampings is the number of members that may still be damped before the
	// next Tick.
	availableDampings int
}

// NewLeases returns a detector that grants every member a lease from now on.
func NewLeases(config LeaseConfig, now time.Time) *Leases {
	return &Leases{config: config, started: now, lastNow: now, leases: map[string]*lease{}}
}

// Interval returns the time between heartbeats for a number of members.
func (l *Leases) Interval(members int) time.Duration {
	return l.config.interval(members)
}

// suspectAfter returns the time without a heartbeat after which a member is suspected.
func (l *Leases) suspectAfter(members int) time.Duration {
	return time.Duration(l.config.SuspectIntervals) * l.Interval(members)
}

// leaseTime returns the time without a heartbeat after which a member's lease expires.
func (l *Leases) leaseTime(members int) time.Duration {
	return time.Duration(l.config.LeaseIntervals) * l.Interval(members)
}

// Heartbeat renews the lease of the announcing backend server and returns the
// changes to propose. The reply tells the agent its lease and whether to drain.
func (l *Leases) Heartbeat(now time.Time, members Members, announce *wire.Announce) ([]*wire.BackendChange, *wire.AnnounceReply) {
	backend := announce.GetBackend()
	name := backend.GetName()
	member := members.Member(name)
	memberCount := len(members.Members())
	l.extendForPause(now, memberCount)
	reply := &wire.AnnounceReply{LeaseMs: uint32(l.leaseTime(memberCount).Milliseconds())}
	if !isUsable(backend) {
		return nil, reply // a control process of an earlier version has accepted it
	}
	entry := l.lease(name)
	known := member.GetBackend().GetAgentIncarnation()
	over := entry.leaving || now.Sub(entry.lastHeartbeat) > l.suspectAfter(memberCount)
	if member != nil || !over {
		known = max(known, entry.incarnation)
	} // else a further start joins, also if its clock was set back
	if backend.GetAgentIncarnation() < known {
		return nil, reply
	}
	if isOutdated(entry, announce) {
		return nil, reply
	}
	l.renew(now, entry, announce, memberCount)
	reply.Draining = entry.leaving || member.GetState() == wire.BackendState_BACKEND_STATE_DRAINING
	change := l.changeForHeartbeat(now, entry, member, backend)
	if change == nil || !l.startProposal(now, entry, change.Kind) {
		return nil, reply
	}
	return []*wire.BackendChange{change}, reply
}

// isOutdated reports whether a later announcement of the same incarnation has
// already been processed. Announcements without a sequence number are never
// outdated.
func isOutdated(entry *lease, announce *wire.Announce) bool {
	sequence := announce.GetSequence()
	return sequence != 0 && entry.incarnation == announce.GetBackend().GetAgentIncarnation() && sequence < entry.sequence
}

// renew records a heartbeat. A new incarnation or the end of a silence longer than
// suspectAfter counts as one return for flap damping.
func (l *Leases) renew(now time.Time, entry *lease, announce *wire.Announce, memberCount int) {
	incarnation := announce.GetBackend().GetAgentIncarnation()
	restarted := entry.incarnation != 0 && incarnation != entry.incarnation
	silent := !entry.lastHeartbeat.IsZero() && now.Sub(entry.lastHeartbeat) > l.suspectAfter(memberCount)
	if restarted || silent {
		entry.flaps.add(now, l.config.Flap)
	}
	if incarnation != entry.incarnation {
		entry.incarnation = incarnation
		entry.leaving = false
		entry.sequence = 0
		entry.proposedKind = wire.BackendChange_KIND_UNSPECIFIED
	}
	entry.lastHeartbeat = now
	entry.unusable = false
	entry.sequence = max(entry.sequence, announce.GetSequence())
	entry.leaving = entry.leaving || announce.GetLeaving()
}

// changeForHeartbeat returns the change to propose on a heartbeat, or nil.
func (l *Leases) changeForHeartbeat(now time.Time, entry *lease, member *wire.Member, backend *wire.Backend) *wire.BackendChange {
	if member == nil || member.GetBackend().GetAgentIncarnation() != entry.incarnation {
		if entry.leaving {
			return nil
		}
		return newChange(wire.BackendChange_KIND_JOIN, backend)
	}
	switch {
	case entry.leaving:
		if member.GetState() == wire.BackendState_BACKEND_STATE_DRAINING {
			return nil
		}
		return newChange(wire.BackendChange_KIND_DRAIN, backend)
	case !proto.Equal(member.GetBackend(), backend):
		return newChange(wire.BackendChange_KIND_UPDATE, backend)
	case member.GetState() == wire.BackendState_BACKEND_STATE_SUSPECTED:
		if l.shouldDamp(now, entry) {
			return newChange(wire.BackendChange_KIND_DAMP, backend)
		}
		return newChange(wire.BackendChange_KIND_RECOVER, backend)
	}
	return nil
}

// Tick returns the changes that are due at time now. It must be called at least once
// in each heartbeat interval. It scans the leases scansPerInterval times in an
// interval, however often it is called.
func (l *Leases) Tick(now time.Time, members Members) []*wire.BackendChange {
	all := members.Members()
	l.extendForPause(now, len(all))
	if now.Sub(l.lastScan) < l.Interval(len(all))/scansPerInterval {
		return nil
	}
	l.lastScan = now
	entries := l.memberLeases(all)
	extended := l.correlatedRegions(now, all, entries)
	l.availableDampings = l.countAvailableDampings(now, all, entries)
	var changes []*wire.BackendChange
	for i, member := range all {
		if len(changes) >= l.config.MaxProposalsPerTick {
			break
		}
		kind := l.dueChange(now, entries[i], member, len(all), extended)
		if kind != wire.BackendChange_KIND_UNSPECIFIED && l.startProposal(now, entries[i], kind) {
			changes = append(changes, newChange(kind, member.GetBackend()))
		}
	}
	l.dropStaleLeases(now, members)
	return changes
}

// dueChange returns the kind of change that is due for member, or UNSPECIFIED.
func (l *Leases) dueChange(now time.Time, entry *lease, member *wire.Member, memberCount int, extended map[string]bool) wire.BackendChange_Kind {
	silence := now.Sub(entry.lastHeartbeat)
	expiry := l.leaseTime(memberCount)
	if extended[member.GetBackend().GetRegion()] {
		expiry += l.config.CorrelatedLeaseExtension
	}
	switch {
	case entry.unusable:
		return wire.BackendChange_KIND_EXPIRE
	case entry.leaving && silence > l.suspectAfter(memberCount):
		return wire.BackendChange_KIND_LEAVE
	case silence > expiry:
		return wire.BackendChange_KIND_EXPIRE
	}
	switch member.GetState() {
	case wire.BackendState_BACKEND_STATE_READY:
		if silence > l.suspectAfter(memberCount) {
			return wire.BackendChange_KIND_SUSPECT
		}
		if l.shouldDamp(now, entry) {
			return wire.BackendChange_KIND_DAMP
		}
	case wire.BackendState_BACKEND_STATE_DAMPED:
		if silence <= l.suspectAfter(memberCount) && entry.flaps.belowReuseThreshold(now, l.config.Flap) {
			return wire.BackendChange_KIND_RECOVER
		}
	}
	return wire.BackendChange_KIND_UNSPECIFIED
}

// MarkRefused records that the table has refused a proposed change, and delays the next
// proposal of it.
func (l *Leases) MarkRefused(now time.Time, change *wire.BackendChange) {
	entry := l.lease(change.GetName())
	entry.proposedKind = change.GetKind()
	entry.refusedUntil = now.Add(l.config.RefusedRetryDelay)
}

// MarkRemoved records that a member was removed. A server that was refused because the member held its address may then
// be proposed without the delay.
func (l *Leases) MarkRemoved() { l.removals++ }

// startProposal reports whether a change of kind should be proposed now. If so, it
// records the proposal.
func (l *Leases) startProposal(now time.Time, entry *lease, kind wire.BackendChange_Kind) bool {
	if entry.proposedKind == kind {
		refused := now.Before(entry.refusedUntil) && entry.removalsBefore == l.removals
		if refused || now.Sub(entry.proposedAt) < l.config.ProposalRetryInterval {
			return false
		}
	}
	entry.refusedUntil = time.Time{}
	entry.removalsBefore = l.removals
	entry.proposedKind = kind
	entry.proposedAt = now
	if kind == wire.BackendChange_KIND_DAMP {
		l.availableDampings--
	}
	return true
}

// lease returns the lease of name and creates it if there is none.
func (l *Leases) lease(name string) *lease {
	entry := l.leases[name]
	if entry == nil {
		entry = &lease{}
		l.leases[name] = entry
	}
	return entry
}

func (l *Leases) memberLeases(members []*wire.Member) []*lease {
	leases := make([]*lease, len(members))
	for i, member := range members {
		leases[i] = l.memberLease(member)
	}
	return leases
}

// memberLease returns the lease of a member. The lease of a member that has sent no
// heartbeat in this term starts with the term.
func (l *Leases) memberLease(member *wire.Member) *lease {
	entry := l.lease(member.GetBackend().GetName())
	if entry.lastHeartbeat.IsZero() {
		entry.lastHeartbeat = l.started
		entry.unusable = !isUsable(member.GetBackend())
	}
	if entry.incarnation == 0 && !entry.unusable {
		entry.incarnation = member.GetBackend().GetAgentIncarnation()
		if member.GetState() == wire.BackendState_BACKEND_STATE_DAMPED {
			entry.flaps.set(l.started, l.config.Flap.DampThreshold)
		}
	}
	return entry
}

// dropStaleLeases deletes the leases of names that are no longer members, once their
// flap counts have decayed.
func (l *Leases) dropStaleLeases(now time.Time, members Members) {
	for name, entry := range l.leases {
		if members.Member(name) != nil || now.Sub(entry.lastHeartbeat) < l.config.CorrelatedLeaseExtension {
			continue
		}
		if entry.flaps.belowReuseThreshold(now, l.config.Flap) {
			delete(l.leases, name)
		}
	}
}

func newChange(kind wire.BackendChange_Kind, backend *wire.Backend) *wire.BackendChange {
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
