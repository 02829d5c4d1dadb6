package router

import (
	"expvar"
	"time"

	"parsleypulley/internal/latency"
)

// Metrics are the counters of a router.
type Metrics struct {
	// Requests counts calls taken from the gateway; Failures those that ended
	// with an error.
	Requests, Failures expvar.Int
	// Attempts counts attempts sent to agents; Retries those after the first.
	Attempts, Retries expvar.Int
	// Replays counts answers given from at-most-once records.
	Replays expvar.Int
	// Crashes counts attempts that ended with their engine's crash.
	Crashes expvar.Int
	// StrayChunks counts chunks that belonged to no attempt in use.
	StrayChunks expvar.Int
	// PromptTokens and CachedTokens count the prompts of whole answers and what
	// the engines did not recompute of them.
	PromptTokens, CachedTokens expvar.Int
	// FirstChunk holds the times from a call's arrival to its first chunk.
	FirstChunk latency.Distribution
}

// Publish makes the counters known to expvar.
func (m *Metrics) Publish() {
	expvar.Publish("router_requests_total", &m.Requests)
	expvar.Publish("router_failures_total", &m.Failures)
	expvar.Publish("router_attempts_total", &m.Attempts)
	expvar.Publish("router_retries_total", &m.Retries)
	expvar.Publish("router_replays_total", &m.Replays)
	expvar.Publish("router_engine_crashes_total", &m.Crashes)
	expvar.Publish("router_stray_chunks_total", &m.StrayChunks)
	expvar.Publish("router_prompt_tokens_total", &m.PromptTokens)
	expvar.Publish("router_cached_tokens_total", &m.CachedTokens)
	expvar.Publish("router_first_chunk", expvar.Func(func() any { return m.FirstChunk.Quantiles(time.Now()) }))
}

// Metrics returns the router's counters.
func (r *Router) Metrics() *Metrics { return r.metrics }
