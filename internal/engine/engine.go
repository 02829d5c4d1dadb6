// Package engine connects an agent to its backend server, which is a model engine
// or a plain service. It defines the interface Engine and implements it for the
// HTTP messages of package dialect. Engines with other messages need another
// implementation of Engine.
package engine

import (
	"context"
	"net/http"
	"time"

	"parsleypulley/internal/engine/dialect"
)

// Engine is one backend server. Errors are of type *fault.Error, except those of
// InspectKV. An error with outcome NotRun proves that the request did not start.
type Engine interface {
	// Run starts a request and returns when the head of the response has arrived.
	// The request is cancelled when ctx ends.
	Run(ctx context.Context, req *Request) (Response, error)
	// Cancel cancels a running request. It returns nil if there is none.
	Cancel(ctx context.Context, requestID string, attempt uint32) error
	Health(ctx context.Context) (*Health, error)
	Load(ctx context.Context) (*dialect.Load, error)
	// Events returns the cache events from the given sequence number on.
	Events(ctx context.Context, from uint64) (*dialect.Events, error)
	// ExportKV returns the cached state of a chain of blocks.
	ExportKV(ctx context.Context, req dialect.KVExport) ([]byte, error)
	// ImportKV stores cached state that ExportKV has returned.
	ImportKV(ctx context.Context, blob []byte) error
	// InspectKV returns the description of exported cached state.
	InspectKV(blob []byte) (*KVInfo, error)
	// Order makes the engine load a model, weights or adapters, or change its role.
	// It returns when that is done.
	Order(ctx context.Context, order dialect.Order) error
	// Leaving returns the incarnation that has said in a response that it leaves, or 0.
	Leaving() uint64
	// Limit returns the limit in requests a second that the newest response names, or 0.
	Limit() float64
	// PlainService reports whether the backend server is a plain service, which is
	// any HTTP service other than a model engine. A plain service supports only Run
	// and Health.
	PlainService() bool
}

// Health is the health report of a backend server.
type Health = dialect.Health

// KVInfo describes exported cached state.
type KVInfo struct {
	Incarnation                      uint64
	Model, WeightsVersion, CacheSalt string
	Tokens                           int
}

// Request is one attempt of a request.
type Request struct {
	ID      string
	Attempt uint32
	Method  string
	// Path is the escaped path and query.
	Path    string
	Headers http.Header
	Body    []byte
	// Stream is set if the caller asked for a stream of server-sent events.
	Stream bool
	// AtMostOnce is set for a request that must not reach the backend server twice.
	AtMostOnce     bool
	CacheSalt      string
	Priority       int32
	WeightsVersion string
	Adapter        string
	// Incarnation is the only engine incarnation that may run the request. If it is
	// 0, any incarnation may.
	Incarnation uint64
	// ResumeOffset is the number of output tokens that were received from earlier
	// attempts. The response continues after them.
	ResumeOffset uint64
}

// Response is the response to a request. It must be closed.
type Response interface {
	Head() *Head
	// Next returns the next chunk, or io.EOF after the last chunk of a complete
	// response. The end marker of a stream is not returned as a chunk. The writer of
	// the response to the caller must add it.
	Next() (Chunk, error)
	// Close releases the response, and cancels the request if it is still running.
	Close()
}

// Head is the head of a response.
type Head struct {
	Status  int
	Headers http.Header
	// Incarnation is the incarnation of the engine, or 0 if the engine did not send
	// it.
	Incarnation uint64
	// WeightsVersion is the version of the weights that the engine used, or empty if
	// the engine did not send it.
	WeightsVersion string
	PromptTokens   uint32
	CachedTokens   uint32
}

// Chunk is a part of a response: one event of a stream, or a part of a body.
type Chunk struct {
	Data []byte
	// CumulativeTokens is the number of output tokens up to the end of this chunk.
	CumulativeTokens uint64
}

// Limits are the size limits and timeouts for data from a backend server.
type Limits struct {
	// EventBytes is the maximum size of one event of a stream.
	EventBytes int
	// ControlBytes is the maximum size of the response to a control request.
	ControlBytes int64
	// KVBytes is the maximum size of exported cached state.
	KVBytes int64
	// ControlTimeout is the timeout of a control request other than an order.
	ControlTimeout time.Duration
	// OrderTimeout is the timeout of an order. It includes the loading of weights.
	OrderTimeout time.Duration
	// IdleTimeout is the maximum time without a byte of a response.
	IdleTimeout time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		EventBytes:     1 << 20,
		ControlBytes:   4 << 20,
		KVBytes:        12 << 20,
		ControlTimeout: 2 * time.Second,
		OrderTimeout:   60 * time.Second,
		IdleTimeout:    60 * time.Second,
	}
}
