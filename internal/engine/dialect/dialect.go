// Package dialect defines the HTTP headers and JSON messages that the HTTP
// engine client and the stand-in backend server exchange in addition to the
// OpenAI-compatible request and response bodies.
package dialect

// Headers of requests to an engine and of its responses. A response repeats
// RequestID and Attempt and adds Incarnation, WeightsVersion and the token counts.
const (
	RequestID      = "X-Request-Id"
	Attempt        = "X-Request-Attempt"
	Priority       = "X-Priority"
	CacheSalt      = "X-Cache-Salt"
	WeightsVersion = "X-Weights-Version"
	Adapter        = "X-Adapter"
	Incarnation    = "X-Engine-Incarnation"
	PromptTokens   = "X-Prompt-Tokens"
	CachedTokens   = "X-Cached-Tokens"
	OutputTokens   = "X-Output-Tokens"
	// LastEventID is the standard header for resuming a stream of server-sent
	// events. It holds the number of output tokens already received.
	LastEventID = "Last-Event-Id"
	// Refusal marks a response which proves that the request did not run. It counts only with the
	// RequestID and Attempt of the request: otherwise it may belong to another one.
	Refusal = "X-Refusal"
	// Leaving is set to 1 on every response of a backend server that leaves.
	Leaving = "Server-Leaving"
	// Limit is the number of requests a second that a backend server takes, as long as its
	// responses name it.
	Limit = "Server-Limit"
)

// Values of the Refusal header.
const (
	RefusalOverloaded  = "overloaded"
	RefusalIncarnation = "incarnation"
	RefusalWeights     = "weights"
	RefusalFencing     = "fencing"
)

// Paths of the control requests of an engine.
const (
	PathHealth   = "/health"
	PathLoad     = "/load"
	PathEvents   = "/events"
	PathCancel   = "/cancel"
	PathOrders   = "/orders"
	PathKVExport = "/kv/export"
	PathKVImport = "/kv/import"
)

// Health is the response to GET /health.
type Health struct {
	Incarnation   uint64  `json:"incarnation"`
	Models        []Model `json:"models,omitempty"`
	Role          string  `json:"role,omitempty"`
	ChecksFencing bool    `json:"checks_fencing,omitempty"`
	MaxRunning    int     `json:"max_running,omitempty"`
	// SoftwareVersion is the version of the engine's software, not of its weights.
	SoftwareVersion string `json:"software_version,omitempty"`
	LoadingWeights  bool   `json:"loading_weights,omitempty"`
}

// Model is one loaded model.
type Model struct {
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
}

// Load is the response to GET /load.
type Load struct {
	Incarnation         uint64 `json:"incarnation"`
	Running             int    `json:"running"`
	Waiting             int    `json:"waiting"`
	QueuedPrefillTokens int    `json:"queued_prefill_tokens"`
	CacheBlocksUsed     int    `json:"cache_blocks_used"`
	CacheBlocksTotal    int    `json:"cache_blocks_total"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Event types.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
)

// Event is one change of the engine's prefix cache. A stored event lists blocks of
// the prompt of the request with RequestID and Attempt. A removed event has only
// blocks.
type Event struct {
	Sequence  uint64   `json:"sequence"`
	Type      string   `json:"type"`
	RequestID string   `json:"request_id,omitempty"`
	Attempt   uint32   `json:"attempt,omitempty"`
	Blocks    []string `json:"blocks"`
	// Tokens holds, for each block of a stored event, the number of prompt tokens up
	// to the end of the block.
	Tokens []int `json:"tokens,omitempty"`
}

// Events is the response to GET /events?from=N. Some events may be missing from it.
// Missing events from Oldest on can be requested again. Older ones are lost.
type Events struct {
	Incarnation uint64 `json:"incarnation"`
	// Oldest is the sequence number of the oldest event that can be requested.
	Oldest uint64 `json:"oldest"`
	// Next is the sequence number after the last event that this response covers.
	Next   uint64  `json:"next"`
	Events []Event `json:"events"`
}

// Cancel is the body of POST /cancel.
type Cancel struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// Order is the body of POST /orders. It makes the engine load a model, a version of
// its weights or adapters, or change its role.
type Order struct {
	Fencing        uint64   `json:"fencing"`
	Model          string   `json:"model,omitempty"`
	WeightsVersion string   `json:"weights_version,omitempty"`
	Adapters       []string `json:"adapters,omitempty"`
	Role           string   `json:"role,omitempty"`
}

// KVExport is the body of POST /kv/export. It requests the chain of cache blocks
// that ends with Block.
type KVExport struct {
	Block          string `json:"block"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	CacheSalt      string `json:"cache_salt"`
}

// KVBlob is the response to POST /kv/export and the body of POST /kv/import.
type KVBlob struct {
	Incarnation    uint64   `json:"incarnation"`
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	CacheSalt      string   `json:"cache_salt"`
	Blocks         []string `json:"blocks"`
	Tokens         int      `json:"tokens"`
}
