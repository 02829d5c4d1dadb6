package control

import (
	"context"
	"time"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

// grantPermits answers a router's request for permits and quotas if this replica leads.
func (l *leader) grantPermits(req *wire.PermitRequest) (*wire.PermitReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.permits == nil {
		return nil, l.notLeading()
	}
	if !l.leads(l.node.Status()) {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "the leadership of term %d is not confirmed", l.term)
	}
	now := time.Now()
	l.speeds.Record(now, req.GetSpeeds())
	l.pace.Observe(now, req.GetRouter(), req.GetRates())
	l.pace.Speeds(req.GetSpeeds())
	reply := l.permits.Handle(now, req)
	reply.Quotas = l.quotas.handle(req, l.machine.Log().Snapshot())
	return reply, nil
}

// resumeQuotas begins to grant units of quotas that were withheld since the term began, once those of
// earlier terms have expired. All replicas learn it before: a later leader counts this term then.
func (l *leader) resumeQuotas(ctx context.Context, term uint64) {
	l.mu.Lock()
	due := l.term == term && l.quotas.mayResume()
	l.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command := &wire.Command{Body: &wire.Command_LeaderStart{LeaderStart: &wire.LeaderStart{Term: term, QuotasResumed: true}}}
	if _, err := Propose(ctx, l.node, command); err != nil {
		event.CommandNotCommitted(err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term && l.quotas.mayResume() {
		l.quotas.allocator.Resume(steady.Now())
		event.QuotasResumed(term)
	}
}

// logQuotas logs how the quotas are shared out, once in quotaLogInterval.
func (l *leader) logQuotas() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != 0 {
		l.quotas.log()
	}
}

// quotaRows returns what the metrics show of quotas while this replica leads.
func (l *leader) quotaRows() map[string]quotaRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return nil
	}
	return l.quotas.rows()
}

// leads reports whether this replica leads now, by a status read while l.mu was held. A process
// that stood still keeps the memory of its term until the next tick, while another one may lead
// already. l.mu must be held.
func (l *leader) leads(status consensus.Status) bool {
	return l.term != 0 && l.permits != nil && status.Role == consensus.Leader && status.Confirmed && status.Term == l.term
}

// limits returns limits of backend servers for the load digest.
func (l *leader) limits(members []*wire.Member) []*wire.ServerLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limitsLocked(time.Now(), members)
}

// limitsLocked is limits for callers that hold l.mu.
func (l *leader) limitsLocked(now time.Time, members []*wire.Member) []*wire.ServerLimit {
	if l.permits == nil || l.permits.Empty() {
		return nil
	}
	known := make(map[permit.Key]bool, len(members))
	for _, m := range members {
		known[permit.KeyOf(m.GetBackend())] = true
	}
	return l.permits.Limits(now, func(key permit.Key) bool { return known[key] })
}
