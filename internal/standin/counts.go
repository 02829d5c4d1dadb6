package standin

import (
	"maps"
	"net/http"
	"sync"
)

// Counts is the answer to GET /counts. The counts survive crashes, so that a test
// can verify which requests ran.
type Counts struct {
	// Requests counts runs by request ID.
	Requests map[string]int `json:"requests"`
	// Keys counts runs by Idempotency-Key.
	Keys map[string]int `json:"keys"`
	// Bodies counts runs of a plain service by request body.
	Bodies map[string]int `json:"bodies"`
	// Cancelled counts runs that ended because the client disconnected.
	Cancelled int `json:"cancelled"`
	// Refused counts requests that a fault refused.
	Refused int `json:"refused"`
}

// maxCounted bounds the entries of each map of Counts.
const maxCounted = 1 << 20

type counts struct {
	mu     sync.Mutex
	totals Counts
}

func newCounts() *counts {
	return &counts{totals: Counts{Requests: map[string]int{}, Keys: map[string]int{}, Bodies: map[string]int{}}}
}

func (c *counts) recordRun(requestID, key, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	increment(c.totals.Requests, requestID)
	increment(c.totals.Keys, key)
	increment(c.totals.Bodies, body)
}

func increment(m map[string]int, key string) {
	if key != "" && len(m) < maxCounted {
		m[key]++
	}
}

func (c *counts) recordCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Cancelled++
}

func (c *counts) recordRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Refused++
}

func (c *counts) serve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.copy())
}

func (c *counts) copy() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.totals
	out.Requests = maps.Clone(out.Requests)
	out.Keys = maps.Clone(out.Keys)
	out.Bodies = maps.Clone(out.Bodies)
	return out
}

// Counts returns the runs counted since Start.
func (s *Server) Counts() Counts { return s.counts.copy() }
