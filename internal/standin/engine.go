package standin

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/engine/dialect"
)

// engineState is the state of one engine instance.
type engineState struct {
	options     Options
	incarnation uint64
	cache       *cache
	// prefill is occupied while a prompt is computed.
	prefill chan struct{}

	mu     sync.Mutex
	models []dialect.Model
	role   string
	// fencing is the newest fencing token seen.
	fencing uint64
	// loadsInProgress is the number of accepted orders that haven't finished.
	loadsInProgress int
	running         map[runKey]context.CancelFunc
	// freeSlots is the number of requests that may still join the batch.
	freeSlots           int
	waiting             waiters
	queuedPrefillTokens int
	// arrivals counts the requests that had to wait.
	arrivals uint64
	// loadReports are the reports of the last LoadLag, the oldest first.
	loadReports []timedLoad
}

// runKey identifies an attempt of a request.
type runKey struct {
	id      string
	attempt uint32
}

type timedLoad struct {
	dialect.Load
	measuredAt time.Time
}

func newEngineState(options Options, incarnation uint64) *engineState {
	return &engineState{
		options:     options,
		incarnation: incarnation,
		cache:       newCache(options, incarnation),
		prefill:     make(chan struct{}, 1),
		models:      slices.Clone(options.Models),
		running:     map[runKey]context.CancelFunc{},
		freeSlots:   options.MaxRunning,
	}
}

// loadedVersion returns the loaded weights version of model. ok is false when the
// model or the adapter isn't loaded.
func (e *engineState) loadedVersion(model, adapter string) (version string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.models {
		if m.Model == model {
			return m.WeightsVersion, adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return "", false
}

// waiter is a request that waits for a slot in the batch.
type waiter struct {
	priority int
	// arrival numbers the waiting requests in order of arrival.
	arrival uint64
	// ready is closed when the request gets a slot.
	ready chan struct{}
	// heapIndex is the index in waiters, or -1 once the request got a slot.
	heapIndex int
}

// waiters is a heap of waiting requests, the next one to get a slot first.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.heapIndex = len(*w)
	*w = append(*w, item)
}
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.heapIndex = -1
	*w = old[:len(old)-1]
	return last
}

// acquireSlot waits for a slot in the batch. Slots go to the highest priority
// first, then in order of arrival. tokens is the length of the prompt.
func (e *engineState) acquireSlot(ctx context.Context, priority, tokens int) error {
	e.mu.Lock()
	if e.freeSlots > 0 && len(e.waiting) == 0 {
		e.freeSlots--
		e.mu.Unlock()
		return nil
	}
	e.arrivals++
	w := &waiter{priority: priority, arrival: e.arrivals, ready: make(chan struct{})}
	heap.Push(&e.waiting, w)
	e.queuedPrefillTokens += tokens
	e.mu.Unlock()
	var err error
	select {
	case <-w.ready:
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedPrefillTokens -= tokens
	if err == nil {
		return nil
	}
	if w.heapIndex >= 0 {
		heap.Remove(&e.waiting, w.heapIndex)
	} else {
		e.releaseSlotLocked()
	}
	return err
}

func (e *engineState) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked()
}

// releaseSlotLocked hands a slot to the next waiting request, or frees it. The
// caller holds e.mu.
func (e *engineState) releaseSlotLocked() {
	if len(e.waiting) == 0 {
		e.freeSlots++
		return
	}
	close(heap.Pop(&e.waiting).(*waiter).ready)
}

// register records the function that cancels a running attempt.
func (e *engineState) register(key runKey, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[key] = cancel
}

func (e *engineState) unregister(key runKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, key)
}

// cancel cancels a running attempt. It returns false when the attempt isn't running.
func (e *engineState) cancel(key runKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	cancel := e.running[key]
	if cancel != nil {
		cancel()
	}
	return cancel != nil
}

// loadReport records the current load. It returns the newest report that is at
// least LoadLag old, or the oldest one.
func (e *engineState) loadReport(now time.Time) dialect.Load {
	usedBlocks := e.cache.usedBlocks()
	e.mu.Lock()
	defer e.mu.Unlock()
	present := dialect.Load{
		Incarnation:         e.incarnation,
		Running:             e.options.MaxRunning - e.freeSlots,
		Waiting:             len(e.waiting),
		QueuedPrefillTokens: e.queuedPrefillTokens,
		CacheBlocksUsed:     usedBlocks,
		CacheBlocksTotal:    e.options.CacheBlocks,
	}
	e.loadReports = append(e.loadReports, timedLoad{present, now})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].measuredAt) >= e.options.LoadLag {
		e.loadReports = e.loadReports[1:]
	}
	report := e.loadReports[0]
	report.AgeMS = now.Sub(report.measuredAt).Milliseconds()
	return report.Load
}

// stepGrowth is the fraction by which each further running request lengthens a
// decoding step.
const stepGrowth = 0.02

// stepTime returns the duration of one decoding step of the current batch.
func (e *engineState) stepTime() time.Duration {
	if e.options.DecodePerToken == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	others := e.options.MaxRunning - e.freeSlots - 1
	return time.Duration(float64(e.options.DecodePerToken) * (1 + stepGrowth*float64(others)))
}
