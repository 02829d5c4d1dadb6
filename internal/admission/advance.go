package admission

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
)

const (
	// minRetryAfter and maxRetryAfter limit the time after which a refused
	// request may be repeated.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// enqueue adds a request to its flow. If the deadline can't be met, it refuses
// the request. If the queue is full, it refuses the request or displaces
// another one, of the flow with the largest backlog.
func (c *Controller) enqueue(now time.Time, t *trackedRequest) []Action {
	p := t.pool
	t.flow = p.flowOf(t)
	p.offeredUsage.add(now, p, t.flow, float64(t.Tokens))
	if wait := p.predictWait(t.flow); p.missesDeadline(now, t, wait) {
		return []Action{p.refuse(now, t, fault.DeadlineInfeasible, wait)}
	}
	var actions []Action
	if p.waiting >= c.settings.MaxQueue {
		victim := p.flowToDisplace(t)
		if victim == t.flow {
			return []Action{p.refuse(now, t, overloadKind(t.flow), p.predictWait(t.flow))}
		}
		last := victim.queue[len(victim.queue)-1]
		p.remove(last)
		delete(c.active, last.ID)
		actions = append(actions, p.refuse(now, last, overloadKind(victim), p.predictWait(victim)))
	}
	c.active[t.ID] = t
	p.push(t)
	return actions
}

// overloadKind returns the kind of error for a request of the flow when the
// queue is full: AccountLimit if the account runs as many requests as it may,
// otherwise Overloaded.
func overloadKind(f *flow) fault.Kind {
	if f.limit > 0 && f.running >= f.limit {
		return fault.AccountLimit
	}
	return fault.Overloaded
}

// advance grants the waiting requests that fit, and refuses those whose
// deadline can't be met any more.
func (c *Controller) advance(now time.Time, p *pool, actions []Action) []Action {
	for {
		t := p.next(now)
		if t == nil {
			break
		}
		p.grant(now, t)
		actions = append(actions, Action{ID: t.ID, Demotion: t.demotion})
	}
	if len(p.ready) > 0 {
		p.queuedAt = now
	}
	for len(p.due) > 0 && p.missesDeadline(now, p.due[0], 0) {
		t := p.due[0]
		p.remove(t)
		delete(c.active, t.ID)
		actions = append(actions, p.refuse(now, t, fault.DeadlineInfeasible, p.predictWait(t.flow)))
	}
	return actions
}

// refuseAll refuses the waiting requests of a pool that has been removed.
func (c *Controller) refuseAll(p *pool) []Action {
	var actions []Action
	for _, account := range p.accounts() {
		for _, t := range slices.Clone(p.flows[account].queue) {
			p.remove(t)
			delete(c.active, t.ID)
			err := fault.New(fault.NoBackend, fault.NotRun, "no backend server for %s any more", p.name)
			actions = append(actions, Action{ID: t.ID, Refusal: err})
		}
	}
	return actions
}

// accounts returns the sorted names of the accounts that have a flow.
func (p *pool) accounts() []string {
	names := make([]string, 0, len(p.flows))
	for name := range p.flows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// predictWait predicts how long a new request of the flow would wait in the queue.
func (p *pool) predictWait(f *flow) time.Duration {
	if p.waiting == 0 || p.backendWindow.rate <= 0 {
		return 0
	}
	start := max(f.startTag, p.virtualTime) + f.backlog/f.weight
	ahead := f.backlog
	for _, other := range p.ready {
		if other == f || other.priority < f.priority {
			continue
		}
		if other.priority > f.priority {
			ahead += other.backlog
			continue
		}
		ahead += min(other.backlog, max(0, start-other.startTag)*other.weight)
	}
	return time.Duration(ahead / p.backendWindow.rate * float64(time.Second))
}

// missesDeadline reports whether a request that waits for the given time can't
// have its first token by its deadline. A request that arrives while nothing
// waits misses its deadline only if that has passed already.
func (p *pool) missesDeadline(now time.Time, t *trackedRequest, wait time.Duration) bool {
	if t.Deadline.IsZero() {
		return false
	}
	if p.waiting == 0 && t.state == waiting && t.arrivedAt.Equal(now) {
		return !now.Before(t.Deadline)
	}
	return !now.Add(wait + p.backendWindow.meanTimeToFirst).Before(t.Deadline)
}

// nextDue returns when the waiting request with the earliest deadline begins to
// miss it; zero if no waiting request has a deadline.
func (p *pool) nextDue() time.Time {
	if len(p.due) == 0 {
		return time.Time{}
	}
	return p.due[0].Deadline.Add(-p.backendWindow.meanTimeToFirst)
}

// refuse returns the refusal of a request. The caller is asked to retry after
// the predicted wait, or, if the request has a deadline, after the lateness of
// its first token: the time from the deadline to the predicted first token.
// Both are limited by minRetryAfter and maxRetryAfter.
func (p *pool) refuse(now time.Time, t *trackedRequest, kind fault.Kind, wait time.Duration) Action {
	retryAfter := wait
	if !t.Deadline.IsZero() {
		retryAfter = now.Add(wait + p.backendWindow.meanTimeToFirst).Sub(t.Deadline)
	}
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	err := fault.New(kind, fault.NotRun, "%d requests wait for %s, about %s", p.waiting, p.name, wait.Round(time.Millisecond))
	return Action{ID: t.ID, Refusal: err.WithRetryAfter(retryAfter)}
}

// flowToDisplace returns the flow that loses a request when the queue is full:
// of the flows with the lowest priority, the one with the most waiting work
// relative to its weight. The new request t is counted.
func (p *pool) flowToDisplace(t *trackedRequest) *flow {
	worst, most := t.flow, (t.flow.backlog+float64(t.Tokens))/t.flow.weight
	for _, f := range p.flows {
		if len(f.queue) == 0 || f == t.flow || f.priority > worst.priority {
			continue
		}
		held := f.backlog / f.weight
		tie := held == most && f.account > worst.account
		if f.priority < worst.priority || held > most || tie {
			worst, most = f, held
		}
	}
	return worst
}
