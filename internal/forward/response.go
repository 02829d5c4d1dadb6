package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
)

// writeHeader writes the status and the headers of a response. A negative length
// omits the Content-Length header.
func (c *forwardedCall) writeHeader(r *response, length int64) {
	h := c.w.Header()
	for name, values := range endToEndHeaders(r.header) {
		h[name] = values
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.closeIfStopping()
	if _, hasType := h["Content-Type"]; !hasType {
		h["Content-Type"] = nil // nil keeps net/http from guessing a content type
	}
	c.w.WriteHeader(r.status)
	c.headerWritten = true
	c.RecordDelivery()
}

// closeIfStopping makes the answer the last one on its connection if the router stops. The stop may
// have begun after the call arrived.
func (c *forwardedCall) closeIfStopping() {
	if c.f.shutdown.Stopping() {
		c.w.Header().Set("Connection", "close")
	}
}

// eventWriteTimeout limits the time to write one event. The buffers of a connection hold many
// events, so a caller that takes longer hardly reads, and its stream would hold a backend server
// until the deadline of the call.
const eventWriteTimeout = 5 * time.Second

// writeBody writes a part of the response body. On streaming routes it also
// flushes the part to the caller.
func (c *forwardedCall) writeBody(p []byte) error {
	deadline := c.Deadline
	if event := time.Now().Add(eventWriteTimeout); c.route.GetStream() && event.Before(deadline) {
		deadline = event
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline) // not supported by all writers of tests
	if len(p) > 0 {
		if _, err := c.w.Write(p); err != nil {
			return err
		}
	}
	if !c.route.GetStream() {
		return nil
	}
	return http.NewResponseController(c.w).Flush()
}

// errCutByStop is returned for a call whose connection was closed at the end of the planned stop.
var errCutByStop = errors.New("the end of the planned stop cut the call")

// endOf returns how a call with the final result err ends.
func (c *forwardedCall) endOf(err error) callEnd {
	switch {
	case err == nil:
		return endServed
	case c.cutByStop():
		return endCut
	case errors.Is(err, errAborted) || fault.Is(err, fault.Cancelled):
		return endLeft
	case c.AttemptCount() > 0:
		return endFailed
	}
	return endRefused
}

// finish counts and logs the call, which ends as end. If the call failed, finish also writes the
// error response, or aborts the connection if the caller has disconnected or has
// already been sent the headers of a response: an error would stand in its body.
func (c *forwardedCall) finish(err error, end callEnd) {
	logEntry := c.logEntry()
	if err == nil {
		if !c.f.crashes.reporter.Empty() {
			c.f.crashes.reporter.Completed(c.quarantineKey(), logEntry.Request)
		}
		countCall(c.route, served)
		recordLatency(c.route, time.Now(), c.arrivedAt, c.firstEventDelay)
		event.ForwardedCallServed(logEntry)
		return
	}
	if end == endCut {
		err = fault.New(fault.Cancelled, fault.From(err).Outcome, "%w", errCutByStop)
		logEntry.CutBy, logEntry.Begun = "stop", c.headerWritten
	}
	e := fault.From(err)
	countCall(c.route, e.Kind.String())
	event.ForwardedCallFailed(logEntry, err)
	if c.headerWritten || errors.Is(err, errAborted) || e.Kind == fault.Cancelled {
		panic(http.ErrAbortHandler)
	}
	c.writeError(e)
}

// logEntry returns the fields of the call that are logged.
func (c *forwardedCall) logEntry() event.ForwardedCall {
	call := event.ForwardedCall{
		Route: c.route.GetName(), Account: c.account.GetName(), Backend: c.backend, Attempts: c.AttemptCount(), Outcomes: c.outcomes,
		ViewVersion: c.snapshot.Version, RouteTableVersion: c.snapshot.Routes.Version(), ViewAge: c.f.opts.Freshness().Age,
		Duration: time.Since(c.arrivedAt), TimeToFirstEvent: c.firstEventDelay, LongestPause: c.longestPause,
	}
	if c.call != nil {
		call.Request = c.call.ID
	}
	if c.stop != nil {
		call.Stop = c.stop.admission
	}
	if d := c.decision; d != nil && len(c.promptLevels) > 0 {
		call.Prompt = &event.PromptRouting{SharedPrefixKey: c.promptLevels[max(0, len(c.promptLevels)-2)].GetKey(), Tokens: d.PromptTokens, SharedPrefixTokens: sharedPrefixTokens(c.promptLevels), ExpectedCachedTokens: d.CachedTokens,
			Wait: d.Wait, Prefill: d.Prefill, Model: d.Model, Weights: d.WeightsVersion, WeightsRequired: d.MinWeightsVersion, WeightsOutdatedFor: c.outdatedFor, BeginIn: c.beginIn, CacheImportAddress: c.cacheImportAddress, CacheSaveAddress: c.cacheSaveAddress}
	}
	return call
}

// writeError writes the response to a call that failed. A status that callers
// understand as "not executed" is used only if no attempt can have run.
func (c *forwardedCall) writeError(e *fault.Error) {
	status := c.f.dialect.ErrorStatus(e.Kind)
	if e.Outcome != fault.NotRun && impliesNotExecuted(status) {
		status = http.StatusBadGateway
	}
	if impliesNotExecuted(status) {
		retryAfter := max(e.RetryAfter, minRetryAfter) + rand.N(retryAfterJitter)
		switch e.Kind {
		case fault.Shutdown:
			retryAfter = e.RetryAfter // no added delay: the caller can use another router right away
		case fault.AccountLimit:
			retryAfter = e.RetryAfter // no added delay: the quota's holder gives each caller a time of its own
		}
		c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.closeIfStopping()
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := e.Kind.String() + "\n"
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, body)
	if c.isFinal() { // the connection may be closed as soon as the call has ended
		_ = http.NewResponseController(c.w).Flush()
	}
}
