package forward

import (
	"expvar"
	"maps"
	"strconv"
	"sync"
	"time"

	"parsleypulley/internal/latency"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

var (
	// calls counts calls by result: served, or the kind of error.
	calls = expvar.NewMap("forward_calls")
	// attempts counts attempts by outcome.
	attempts = expvar.NewMap("forward_attempts")
	// routeCalls counts calls by route and result.
	routeCalls = publishCounterTable("forward_calls_by_route", maxRouteRows)
	// outdatedBegun counts the streams that began on outdated weights, by the whole seconds for which
	// the weights can have been outdated, up to maxOutdatedSeconds.
	outdatedBegun = expvar.NewMap("forward_begun_on_outdated_weights")
	// backendAttempts counts attempts by backend server and outcome.
	backendAttempts = publishCounterTable("forward_attempts_by_backend", maxBackendRows)
)

const (
	// served is the result of successful calls.
	served = "served"
	// answered is the outcome of attempts whose response could be used, error
	// responses of the backend server included.
	answered = "answered"
	// maxOutdatedSeconds is the last row of outdatedBegun. It is longer than the time within which calls
	// must begin on new weights in any known deployment.
	maxOutdatedSeconds = 30
	// maxRouteRows and maxBackendRows limit the rows of the tables. They are
	// enough for the routes of a large route table and for the backend servers of
	// a region.
	maxRouteRows   = 64
	maxBackendRows = 512
	// otherRow collects the counts of new rows once a table is full.
	otherRow = "other"
)

// countBegun counts a stream that began on weights that were outdated for the given time; 0 if they were not.
func countBegun(outdatedFor time.Duration) {
	if outdatedFor > 0 {
		outdatedBegun.Add(strconv.Itoa(min(int(outdatedFor.Seconds()), maxOutdatedSeconds)), 1)
	}
}

// counterTable counts events by row and column. Once it has limit rows, it counts
// the events of further rows in otherRow. It is safe for concurrent use.
type counterTable struct {
	// limit is the maximum number of rows, not counting otherRow.
	limit int
	mu    sync.Mutex
	// rows holds the counts by row and column.
	rows map[string]map[string]int64
}

func publishCounterTable(name string, limit int) *counterTable {
	t := &counterTable{limit: limit, rows: map[string]map[string]int64{}}
	expvar.Publish(name, expvar.Func(func() any { return t.copy() }))
	return t
}

func (t *counterTable) add(row, column string) {
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

// retain drops the rows for which keep returns false, except otherRow.
func (t *counterTable) retain(keep func(row string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.rows, func(row string, _ map[string]int64) bool { return row != otherRow && !keep(row) })
}

func (t *counterTable) copy() map[string]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[string]int64, len(t.rows))
	for row, counts := range t.rows {
		out[row] = maps.Clone(counts)
	}
	return out
}

// retainMetrics drops the counts of routes and backend servers that are not in a
// view.
func retainMetrics(s *view.Snapshot) {
	backendAttempts.retain(func(row string) bool { return s.Member(row) != nil })
	routeCalls.retain(func(row string) bool { return row == "" || s.Routes.HasRoute(row) })
}

func countCall(route *wire.ForwardRoute, result string) {
	calls.Add(result, 1)
	routeCalls.add(route.GetName(), result)
}

func countAttempt(backend, outcome string) {
	attempts.Add(outcome, 1)
	backendAttempts.add(backend, outcome)
}

// callLatency holds latencies of calls by kind of route: first is the time from
// the arrival of a call to its first event, whole the time to its end.
var callLatency = map[string]*struct{ first, whole latency.Distribution }{
	"stream": {}, "idempotent": {}, "once": {},
}

// attemptLatency holds latencies of attempts: connect is the time to open a
// connection to a backend server, head the time from the routing decision to the
// response headers.
var attemptLatency struct{ connect, head latency.Distribution }

func init() {
	expvar.Publish("forward_latency", expvar.Func(func() any {
		now := time.Now()
		out := map[string]latency.Quantiles{}
		for kind, d := range callLatency {
			out[kind+"_whole"] = d.whole.Quantiles(now)
		}
		out["stream_first"] = callLatency["stream"].first.Quantiles(now)
		out["hop_connect"] = attemptLatency.connect.Quantiles(now)
		out["hop_head"] = attemptLatency.head.Quantiles(now)
		return out
	}))
}

// routeKind returns the kind of a route as used in the metrics.
func routeKind(route *wire.ForwardRoute) string {
	switch {
	case route.GetStream():
		return "stream"
	case route.GetRepetition() == wire.Repetition_REPETITION_IDEMPOTENT:
		return "idempotent"
	}
	return "once"
}

// recordLatency records the latencies of a call that was served.
func recordLatency(route *wire.ForwardRoute, now, arrived time.Time, first time.Duration) {
	d := callLatency[routeKind(route)]
	d.whole.Record(now, now.Sub(arrived))
	if first > 0 {
		d.first.Record(now, first)
	}
}
