package control

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/config"
	"parsleypulley/internal/event"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/routes"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// quotaLogInterval is the time between two rounds of log lines about quotas.
	quotaLogInterval = 10 * time.Second
	// maxQuotaRows limits the accounts in the metrics and in one round of log lines.
	maxQuotaRows = 64
)

// quotaGrants grants the quotas of client accounts to routers. Apart from terms, its fields
// are guarded by leader.mu. Its times are those of package steady: what was granted counts on
// while the VM is suspended.
type quotaGrants struct {
	tolerance quota.Tolerance
	// termsMu guards terms: the replicated state machine records terms.
	termsMu sync.Mutex
	terms   *quota.Terms
	// term is the term that allocator belongs to. It outlives a time in which the leadership
	// of the term is not confirmed: nobody else can have granted meanwhile if the term is
	// still the same.
	term      uint64
	allocator *quota.Allocator

	// limits holds the limits of all accounts with a quota, and names their names, as of the
	// configuration and the route table below.
	limits map[quota.Key]quota.Limit
	names  map[quota.Key]string
	config *config.Compiled
	routes *routes.Compiled

	loggedAt time.Time
}

// newQuotaGrants returns the quotaGrants of a replica in which the term has begun before.
func newQuotaGrants(t quota.Tolerance, term uint64) *quotaGrants {
	if t.Window <= 0 {
		t.Window = quota.DefaultTolerance().Window
	}
	if t.Over <= 0 {
		t.Over = quota.DefaultTolerance().Over
	}
	return &quotaGrants{tolerance: t, terms: quota.NewTerms(t, term)}
}

// termStarted records that the term of a leader begins, or that it grants units from now on.
func (q *quotaGrants) termStarted(start *wire.LeaderStart) {
	q.termsMu.Lock()
	defer q.termsMu.Unlock()
	if start.GetQuotasResumed() {
		q.terms.Resumed(steady.Now(), start.GetTerm())
		return
	}
	q.terms.Began(steady.Now(), start.GetTerm(), start.GetQuotasWithheld())
}

// recentTerms returns the number of terms before a term that have begun to grant units lately, and
// a time at which the last one of them had ended.
func (q *quotaGrants) recentTerms(term uint64) (recent int, ended time.Time) {
	q.termsMu.Lock()
	defer q.termsMu.Unlock()
	return q.terms.Before(steady.Now(), term)
}

// startTerm begins a term of this replica, whose LeaderStart is committed. announced is the number of
// recent terms when it was proposed: if units were to be withheld then, they are. startTerm returns
// the number of earlier terms that may have granted units which are not used yet.
func (q *quotaGrants) startTerm(term uint64, announced int) (recent int) {
	recent, ended := q.recentTerms(term)
	recent = max(recent, announced)
	if q.allocator != nil && q.term == term {
		return recent
	}
	started := steady.Now()
	if quota.Withholds(recent) {
		started = ended
	}
	q.term, q.allocator = term, quota.NewAllocator(q.tolerance, recent, started)
	return recent
}

// mayResume reports whether units are withheld that can be granted once all replicas know it.
func (q *quotaGrants) mayResume() bool {
	return q.allocator != nil && q.allocator.MayResume(steady.Now())
}

// handle answers what a request says of quotas, by the limits of a view.
func (q *quotaGrants) handle(req *wire.PermitRequest, s *view.Snapshot) []*wire.QuotaGrant {
	if len(req.GetQuotas()) == 0 {
		return nil
	}
	if q.config != s.Config || q.routes != s.Routes {
		q.config, q.routes = s.Config, s.Routes
		q.readLimits()
	}
	return q.allocator.Handle(steady.Now(), req, func(key quota.Key) (quota.Limit, bool) {
		limit, ok := q.limits[key]
		return limit, ok
	})
}

// readLimits reads the limits of all client accounts that have a quota.
func (q *quotaGrants) readLimits() {
	q.limits, q.names = map[quota.Key]quota.Limit{}, map[quota.Key]string{}
	add := func(name string, declared *wire.Quota) {
		if limit, ok := quota.LimitOf(declared); ok {
			q.limits[quota.KeyOf(name)], q.names[quota.KeyOf(name)] = limit, name
		}
	}
	for _, a := range q.routes.Table.GetAccounts() {
		add(a.GetName(), a.GetQuota())
	}
	for a := range q.config.EachAccount {
		add(a.Name, a.Quota)
	}
}

// quotaRow is what the metrics show of an account at the leader, in units of its quota.
type quotaRow struct {
	// Rate and Burst are the quota, and Demand is what requests at all routers ask for a second.
	Rate, Burst, Demand float64
	// Left is what can be granted, and Held what routers hold.
	Left, Held float64
	// Routers is the number of routers that hold or need units.
	Routers int
}

// rows returns a row for each of the accounts with the largest demand.
func (q *quotaGrants) rows() map[string]quotaRow {
	if q.allocator == nil || q.config == nil {
		return nil
	}
	status := q.allocator.Status(steady.Now())
	slices.SortStableFunc(status, func(a, b quota.AccountStatus) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	rows := map[string]quotaRow{}
	for _, s := range status[:min(len(status), maxQuotaRows)] {
		if name, known := q.names[s.Key]; known {
			rows[name] = quotaRow{s.Limit.PerSecond, s.Limit.Burst, s.PerSecond, s.Level, s.Held, s.Routers}
		}
	}
	return rows
}

// log logs how the quotas are shared out, once in quotaLogInterval.
func (q *quotaGrants) log() {
	now := steady.Now()
	if now.Sub(q.loggedAt) < quotaLogInterval {
		return
	}
	q.loggedAt = now
	for name, r := range q.rows() {
		event.QuotaShared(event.Quota{Account: name, PerSecond: r.Rate, Burst: r.Burst, Demand: r.Demand, Level: r.Left, Held: r.Held}, r.Routers)
	}
}

// shownLeader is the leader's part of this process, which the metrics are about.
var shownLeader atomic.Pointer[leader]

func init() {
	expvar.Publish("control_quotas", expvar.Func(func() any {
		if l := shownLeader.Load(); l != nil {
			return l.quotaRows()
		}
		return nil
	}))
}
