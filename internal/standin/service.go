package standin

import (
	"io"
	"net/http"

	"parsleypulley/internal/engine/dialect"
)

// Echo is the answer of a plain service. It describes the request.
type Echo struct {
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Query   string      `json:"query,omitempty"`
	Headers http.Header `json:"headers"`
	Body    string      `json:"body"`
	// Run is the number of requests with this body that have run, with this one.
	Run int `json:"run"`
}

// serveService answers requests to a plain service, for any method and path.
func (inst *instance) serveService(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
		return
	}
	if inst.refuseOnCommand(w) {
		return
	}
	id := r.Header.Get(dialect.RequestID)
	inst.server.counts.recordRun(id, r.Header.Get("Idempotency-Key"), string(body))
	if inst.server.crashTrigger.matches(string(body)) || inst.faults.shouldCrash(1) {
		inst.server.Crash()
		panic(http.ErrAbortHandler)
	}
	if err := inst.sleep(r.Context(), inst.faults.scale(inst.options.Latency)); err != nil {
		inst.server.counts.recordCancelled()
		panic(http.ErrAbortHandler)
	}
	if inst.faults.takeWrongAnswer() {
		id = "another-request"
	}
	w.Header().Set(dialect.RequestID, id)
	inst.faults.waitWhileFrozen(r.Context())
	writeJSON(w, http.StatusOK, Echo{
		Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Headers: r.Header, Body: string(body), Run: inst.server.counts.bodyRuns(string(body)),
	})
}

// bodyRuns returns the number of requests with this body that have run.
func (c *counts) bodyRuns(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals.Bodies[body]
}
