package admission

import (
	"container/heap"
	"time"
)

// requestState is the progress of a request.
type requestState uint8

const (
	waiting requestState = iota
	granted
	answering
)

// trackedRequest is a request that has not ended.
type trackedRequest struct {
	Request
	pool      *pool
	flow      *flow
	state     requestState
	arrivedAt time.Time
	grantedAt time.Time
	// demotion is the Action.Demotion of the grant.
	demotion int32
	// dueIndex is the index of the request in pool.due; it is used only if the
	// request waits and has a deadline.
	dueIndex int
}

// pool is the queue and the window of one model or plain service.
//
// The queue uses start-time fair queueing. Each flow has a start tag in virtual
// time, which belongs to its first waiting request. Among the flows with the
// highest priority, the one with the lowest tag is next. When a request is
// granted, the tag of its flow increases by the work of the request divided by
// the weight of the flow.
type pool struct {
	name          string
	backendWindow window
	flows         map[string]*flow
	// ready holds the flows that have a waiting request and run fewer requests
	// than their limit.
	ready flowHeap
	// due holds the waiting requests that have a deadline.
	due dueHeap
	// virtualTime is the largest start tag of a granted request.
	virtualTime float64
	// waiting counts the waiting requests.
	waiting int
	// grantedUsage compares the flows by the recent work that was granted to them.
	grantedUsage usage
	// offeredUsage compares the flows by the recent work that they requested,
	// whether it was granted or not.
	offeredUsage usage
	// queuedAt is when a request last had to wait because it did not fit.
	queuedAt time.Time
}

// demotionPeriod is how long flows over their share stay demoted after a
// request last had to wait.
const demotionPeriod = 5 * time.Second

// flow is the state of one client account in one pool.
type flow struct {
	account  string
	weight   float64
	priority int32
	queue    []*trackedRequest
	// startTag is the virtual start time of the next request.
	startTag float64
	// backlog is the waiting work, in tokens.
	backlog float64
	// running counts the granted requests that have not ended.
	running int
	// limit is how many requests may run at once; 0 for no limit.
	limit int
	// recent is the recent work of each kind, in tokens; see usage.
	recent [workKinds]float64
	// readyIndex is the index in pool.ready; -1 if the flow is not in it.
	readyIndex int
}

func newPool(name string, now time.Time) *pool {
	return &pool{
		name:          name,
		backendWindow: newWindow(now),
		flows:         make(map[string]*flow),
		grantedUsage:  usage{kind: grantedWork},
		offeredUsage:  usage{kind: offeredWork},
	}
}

// flowOf returns the flow of a request's account, created if needed, with the
// account's weight, limit and priority as of this request.
func (p *pool) flowOf(t *trackedRequest) *flow {
	f := p.flows[t.Account]
	if f == nil {
		p.sweep()
		f = &flow{account: t.Account, readyIndex: -1}
		p.flows[t.Account] = f
	}
	f.weight = float64(t.Weight)
	f.limit = int(t.MaxConcurrent)
	if f.priority != t.Priority {
		f.priority = t.Priority
		p.place(f)
	}
	return f
}

// push adds a request to the end of its flow's queue.
func (p *pool) push(t *trackedRequest) {
	f := t.flow
	if len(f.queue) == 0 {
		f.startTag = max(f.startTag, p.virtualTime)
	}
	f.queue = append(f.queue, t)
	f.backlog += float64(t.Tokens)
	p.waiting++
	if !t.Deadline.IsZero() {
		heap.Push(&p.due, t)
	}
	p.place(f)
}

// remove removes a waiting request from the queue.
func (p *pool) remove(t *trackedRequest) {
	f := t.flow
	for i, q := range f.queue {
		if q == t {
			copy(f.queue[i:], f.queue[i+1:])
			f.queue[len(f.queue)-1] = nil
			f.queue = f.queue[:len(f.queue)-1]
			break
		}
	}
	f.backlog -= float64(t.Tokens)
	p.waiting--
	if !t.Deadline.IsZero() {
		heap.Remove(&p.due, t.dueIndex)
	}
	p.place(f)
}

// grant moves a waiting request to the granted ones.
func (p *pool) grant(now time.Time, t *trackedRequest) {
	f := t.flow
	p.virtualTime = max(p.virtualTime, f.startTag)
	f.startTag = p.virtualTime + float64(t.Tokens)/f.weight
	f.running++
	p.remove(t)
	t.state = granted
	t.grantedAt = now
	p.backendWindow.granted(t)
	p.grantedUsage.add(now, p, f, float64(t.Tokens))
}

// next returns the next request to grant; nil if none fits. If the request at
// the head of the queue is demoted and does not fit, the first request that is
// not demoted may pass it.
func (p *pool) next(now time.Time) *trackedRequest {
	if len(p.ready) == 0 {
		return nil
	}
	first := p.ready[0]
	demotion := p.demotion(now, first)
	if t := first.queue[0]; p.backendWindow.admits(float64(t.Tokens), demotion) {
		t.demotion = demotion
		return t
	}
	if demotion == 0 {
		return nil
	}
	best := -1
	for i, f := range p.ready {
		if p.demotion(now, f) == 0 && (best < 0 || p.ready.Less(i, best)) {
			best = i
		}
	}
	if best < 0 || !p.backendWindow.admits(float64(p.ready[best].queue[0].Tokens), 0) {
		return nil
	}
	return p.ready[best].queue[0]
}

// demotion returns the demotion of a flow. It is 0 unless requests recently had
// to wait. A flow that offers far more than its share stays demoted while it is
// held back, even though little of its work is then granted.
func (p *pool) demotion(now time.Time, f *flow) int32 {
	if p.queuedAt.IsZero() || now.Sub(p.queuedAt) > demotionPeriod {
		return 0
	}
	if p.grantedUsage.shareRatio(f) < 1 {
		return 0
	}
	if offered := p.offeredUsage.demotion(f); offered >= heavyDemotion {
		return offered
	}
	return p.grantedUsage.demotion(f)
}

// started records the first token of a granted request.
func (p *pool) started(now time.Time, t *trackedRequest, delay, target time.Duration) {
	p.backendWindow.started(now, t, delay, target, p.waiting > 0)
}

// finished records the end of a granted request.
func (p *pool) finished(now time.Time, t *trackedRequest, result Result) {
	f := t.flow
	f.running--
	p.backendWindow.finished(now, t)
	if result.Tokens > 0 {
		f.startTag += (float64(result.Tokens) - float64(t.Tokens)) / f.weight
	}
	p.place(f)
}

// place updates the position of a flow in the heap of ready flows. It adds a
// flow that has become ready and removes one that no longer is.
func (p *pool) place(f *flow) {
	ready := len(f.queue) > 0 && (f.limit == 0 || f.running < f.limit)
	switch {
	case ready && f.readyIndex < 0:
		heap.Push(&p.ready, f)
	case ready:
		heap.Fix(&p.ready, f.readyIndex)
	case f.readyIndex >= 0:
		heap.Remove(&p.ready, f.readyIndex)
	}
}

// sweep deletes idle flows whose start tag is not ahead of the virtual time.
// It does nothing while there are few flows, or fewer than twice as many as
// after the last sweep.
func (p *pool) sweep() {
	const many = 256
	if len(p.flows) < many || len(p.flows) < 2*p.grantedUsage.flowsAfterSweep {
		return
	}
	for account, f := range p.flows {
		if len(f.queue) == 0 && f.running == 0 && f.startTag <= p.virtualTime {
			delete(p.flows, account)
		}
	}
	p.grantedUsage.flowsAfterSweep = len(p.flows)
}

// flowHeap orders ready flows by descending priority, then by ascending start
// tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.account < b.account
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].readyIndex, h[j].readyIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.readyIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.readyIndex = -1
	return f
}

// dueHeap orders waiting requests by deadline.
type dueHeap []*trackedRequest

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

func (h *dueHeap) Push(x any) {
	t := x.(*trackedRequest)
	t.dueIndex = len(*h)
	*h = append(*h, t)
}

func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}
