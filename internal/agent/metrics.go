package agent

import "expvar"

// Metrics of all agents in this process.
var (
	refusals           = expvar.NewMap("agent_refusals_by_kind")
	failures           = expvar.NewMap("agent_failures_by_kind")
	resumedStreams     = expvar.NewInt("agent_streams_resumed")
	engineIncarnations = expvar.NewInt("agent_engine_lives_seen")
	lostCacheEvents    = expvar.NewInt("agent_cache_events_lost")
	kvImports          = expvar.NewMap("agent_kv_imports_by_result")
)
