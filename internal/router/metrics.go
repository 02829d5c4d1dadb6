package router

import (
	"expvar"
	"time"

	"parsleypulley/internal/latency"
)

// Metrics holds the counters of a router.
type Metrics struct {
	// Requests counts the calls received from the gateway.
	Requests expvar.Int
	// Failures counts the calls that ended with an error.
	Failures expvar.Int
	// Attempts counts the attempts that were started.
	Attempts expvar.Int
	// Retries counts the attempts after the first one of a request.
	Retries expvar.Int
	// Replays counts the responses sent from at-most-once records.
	Replays expvar.Int
	// Crashes counts the attempts that ended with a crash of their engine.
	Crashes expvar.Int
	// StrayChunks counts the dropped chunks: duplicates, and chunks of attempts
	// that had ended or were not used.
	StrayChunks expvar.Int
	// PromptTokens counts the prompt tokens of complete responses.
	PromptTokens expvar.Int
	// CachedTokens counts those of PromptTokens that engines took from their cache.
	CachedTokens expvar.Int
	// FirstChunk records the times from a call's arrival to its first chunk.
	FirstChunk latency.Distribution
}

// Publish publishes the counters with expvar.
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
