package standin

import (
	"io"
	"net/http"

	"parsleypulley/internal/engine/dialect"
)

// Echo is the answer of a plain service.
type Echo struct {
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Query   string      `json:"query,omitempty"`
	Headers http.Header `json:"headers"`
	Body    string      `json:"body"`
	// Run is the number of times that a request with this body has run.
	Run int `json:"run"`
}

// serveCall answers any method and path of a plain service.
func (l *life) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
		return
	}
	if l.faults.takeRefusal() {
		refuse(w, http.StatusServiceUnavailable, dialect.RefusalOverloaded, "refused on command")
		return
	}
	id := r.Header.Get(dialect.RequestID)
	l.server.counts.ran(id, r.Header.Get("Idempotency-Key"), string(body))
	if l.server.poison.matches(string(body)) || l.faults.crashes(1) {
		l.server.Crash()
		panic(http.ErrAbortHandler)
	}
	if err := l.sleep(r.Context(), l.faults.scale(l.options.Latency)); err != nil {
		l.server.counts.cancelled()
		panic(http.ErrAbortHandler)
	}
	if l.faults.takeCrossed() {
		id = "another-request"
	}
	w.Header().Set(dialect.RequestID, id)
	l.faults.thaw(r.Context())
	writeJSON(w, http.StatusOK, Echo{
		Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Headers: r.Header, Body: string(body), Run: l.server.counts.bodyRuns(string(body)),
	})
}

func (c *counts) bodyRuns(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now.Bodies[body]
}
