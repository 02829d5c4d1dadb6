package forward

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
)

// writeHead writes the head of an answer; length -1 is not told.
func (x *forwarding) writeHead(r *reply, length int64) {
	h := x.w.Header()
	for name, values := range endToEnd(r.header) {
		h[name] = values
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, told := h["Content-Type"]; !told {
		h["Content-Type"] = nil // net/http would guess one
	}
	x.w.WriteHeader(r.status)
	x.begun = true
	x.RecordDelivery()
}

// write writes a part of the answer and flushes it.
func (x *forwarding) write(p []byte) error {
	if len(p) > 0 {
		if _, err := x.w.Write(p); err != nil {
			return err
		}
	}
	if !x.route.GetStream() {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// finish gives the final answer of a call that failed, and logs the call.
func (x *forwarding) finish(err error) {
	about := x.about()
	if err == nil {
		countCall(x.route, served)
		recordTimes(x.route, time.Now(), x.arrived, x.first)
		event.ForwardedCallServed(about)
		return
	}
	e := fault.From(err)
	countCall(x.route, e.Kind.String())
	event.ForwardedCallFailed(about, err)
	if errors.Is(err, errAborted) || e.Kind == fault.Cancelled {
		panic(http.ErrAbortHandler)
	}
	x.refuse(e)
}

// about returns what the log says of the call.
func (x *forwarding) about() event.ForwardedCall {
	call := event.ForwardedCall{
		Route: x.route.GetName(), Account: x.account.GetName(), Backend: x.backend, Attempts: x.AttemptCount(), Outcomes: x.outcomes,
		ViewVersion: x.snapshot.Version, RouteTableVersion: x.snapshot.Routes.Version(), ViewAge: x.f.opts.Freshness().Age,
		Duration: time.Since(x.arrived), TimeToFirstEvent: x.first,
	}
	if x.call != nil {
		call.Request = x.call.ID
	}
	if d := x.choice; d != nil && len(x.levels) > 0 {
		call.Prompt = &event.Prompt{SharedPrefixKey: x.levels[max(0, len(x.levels)-2)].GetKey(), Tokens: d.PromptTokens, SharedPrefixTokens: sharedTokens(x.levels), ExpectedCachedTokens: d.CachedTokens,
			Wait: d.Wait, Prefill: d.Prefill, Weights: d.Weights, CacheImportAddress: x.from, CacheSaveAddress: x.to}
	}
	return call
}

// refuse writes the answer to a call that failed.
func (x *forwarding) refuse(e *fault.Error) {
	status := e.Kind.Response().Status
	if e.Outcome != fault.NotRun && promises(status) {
		status = http.StatusBadGateway
	}
	if promises(status) {
		after := max(e.RetryAfter, retryMin) + rand.N(retrySpread)
		if e.Kind == fault.Shutdown {
			after = e.RetryAfter // other routers are there
		}
		x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	fmt.Fprintln(x.w, e.Kind)
}
