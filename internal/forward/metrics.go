package forward

import (
	"expvar"
	"maps"
	"sync"
	"time"

	"parsleypulley/internal/latency"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// calls counts calls by outcome: served, or the kind of error; attempts counts
// attempts by how they ended. The tables have them by route and by backend server.
var (
	calls           = expvar.NewMap("forward_calls")
	attempts        = expvar.NewMap("forward_attempts")
	routeCalls      = publishTable("forward_calls_by_route", maxRouteRows)
	backendAttempts = publishTable("forward_attempts_by_backend", maxBackendRows)
)

const (
	// served and answered count the calls and attempts that went well.
	served   = "served"
	answered = "answered"
	// maxRouteRows and maxBackendRows bound the tables: the routes of a large
	// table, and the backend servers of a region.
	maxRouteRows   = 64
	maxBackendRows = 512
	// otherRow takes what comes when a table is full.
	otherRow = "other"
)

// table counts events by row and column. It is safe for concurrent use.
type table struct {
	limit int
	mu    sync.Mutex
	rows  map[string]map[string]int64
}

func publishTable(name string, limit int) *table {
	t := &table{limit: limit, rows: map[string]map[string]int64{}}
	expvar.Publish(name, expvar.Func(func() any { return t.copy() }))
	return t
}

func (t *table) add(row, column string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.rows[row]
	if counts == nil && len(t.rows) >= t.limit {
		row = otherRow
		counts = t.rows[row]
	}
	if counts == nil {
		counts = map[string]int64{}
		t.rows[row] = counts
	}
	counts[column]++
}

// retain forgets the rows for which keep is false.
func (t *table) retain(keep func(row string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.rows, func(row string, _ map[string]int64) bool { return row != otherRow && !keep(row) })
}

func (t *table) copy() map[string]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[string]int64, len(t.rows))
	for row, counts := range t.rows {
		out[row] = maps.Clone(counts)
	}
	return out
}

// retainMetrics forgets the counts of routes and backend servers that a view does
// not have.
func retainMetrics(s *view.Snapshot) {
	backendAttempts.retain(func(row string) bool { return s.Member(row) != nil })
	routeCalls.retain(func(row string) bool { return row == "" || s.Routes.HasRoute(row) })
}

func countCall(route *wire.ForwardRoute, outcome string) {
	calls.Add(outcome, 1)
	routeCalls.add(route.GetName(), outcome)
}

func countAttempt(backend, outcome string) {
	attempts.Add(outcome, 1)
	backendAttempts.add(backend, outcome)
}

// distributions hold, by kind of route, the times from a call's arrival to its
// first event and to its end.
var distributions = map[string]*struct{ first, whole latency.Distribution }{
	"stream": {}, "idempotent": {}, "once": {},
}

// hops holds the times of the parts of an attempt: opening a connection to a
// backend server, and from the choice to the head of the answer.
var hops struct{ connect, head latency.Distribution }

func init() {
	expvar.Publish("forward_latency", expvar.Func(func() any {
		now := time.Now()
		out := map[string]latency.Quantiles{}
		for kind, d := range distributions {
			out[kind+"_whole"] = d.whole.Quantiles(now)
		}
		out["stream_first"] = distributions["stream"].first.Quantiles(now)
		out["hop_connect"] = hops.connect.Quantiles(now)
		out["hop_head"] = hops.head.Quantiles(now)
		return out
	}))
}

// kindOf returns the kind of a route in the metrics.
func kindOf(route *wire.ForwardRoute) string {
	switch {
	case route.GetStream():
		return "stream"
	case route.GetRepetition() == wire.Repetition_REPETITION_IDEMPOTENT:
		return "idempotent"
	}
	return "once"
}

// recordTimes records the times of a call that was served.
func recordTimes(route *wire.ForwardRoute, now, arrived time.Time, first time.Duration) {
	d := distributions[kindOf(route)]
	d.whole.Record(now, now.Sub(arrived))
	if first > 0 {
		d.first.Record(now, first)
	}
}
