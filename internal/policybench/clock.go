// Package policybench benchmarks the routing and admission policies by simulation
// in virtual time. Router instances that share no state send calls to simulated
// engines. Traces and faults are generated from fixed seeds, so that results are
// reproducible.
package policybench

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

// clock is a virtual clock that runs events in the order of their time.
type clock struct {
	now    time.Time
	events eventHeap
	// scheduled counts the events ever scheduled.
	scheduled uint64
}

type event struct {
	at time.Time
	// seq orders events of the same time.
	seq uint64
	run func()
}

// after schedules run after d, or at once when d is negative.
func (c *clock) after(d time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.events, event{c.now.Add(max(d, 0)), c.scheduled, run})
}

// run runs all events due up to end, and sets the clock to end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
