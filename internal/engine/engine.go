// Package engine is the edge towards backend servers: the interface that an
// agent needs of a model engine or a plain service, and its HTTP dialect.
// Another dialect is another implementation of Engine.
package engine

import (
	"context"
	"net/http"
	"time"

	"parsleypulley/internal/engine/dialect"
)

// Engine is one backend server. Errors are of type *fault.Error; an error with
// outcome NotRun proves that the request did not begin.
type Engine interface {
	// Run starts a request and returns once the head of its answer is there. The
	// request is cancelled when ctx ends.
	Run(ctx context.Context, req *Request) (Response, error)
	// Cancel ends a running request. It is not an error when there is none.
	Cancel(ctx context.Context, requestID string, attempt uint32) error
	Health(ctx context.Context) (*Health, error)
	Load(ctx context.Context) (*dialect.Load, error)
	// Events returns cache events from a sequence number on.
	Events(ctx context.Context, from uint64) (*dialect.Events, error)
	// ExportKV returns the cached state of a chain of blocks, and Import stores it.
	ExportKV(ctx context.Context, req dialect.KVExport) ([]byte, error)
	ImportKV(ctx context.Context, blob []byte) error
	// InspectKV tells what exported state is of, without its blocks' content.
	InspectKV(blob []byte) (*KVInfo, error)
	// Order makes the engine load or change something; it returns when that is done.
	Order(ctx context.Context, order dialect.Order) error
	// PlainService reports whether the backend server is a plain service, which has only
	// requests and health.
	PlainService() bool
}

// Health is what a backend server says of itself.
type Health = dialect.Health

// KVInfo tells what exported cached state is of.
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
	Stream  bool
	// AtMostOnce is set for a request that must not reach the backend server twice.
	AtMostOnce     bool
	CacheSalt      string
	Priority       int32
	WeightsVersion string
	Adapter        string
	// Incarnation, when not 0, is the only engine life that may run the request.
	Incarnation uint64
	// ResumeOffset is the number of output tokens that the reader has.
	ResumeOffset uint64
}

// Response is the answer to a request, read to its end or closed.
type Response interface {
	Head() *Head
	// Next returns the next chunk, or io.EOF after the last one of a complete
	// answer. The end marker of a stream is not a chunk: whoever writes to the
	// caller adds it.
	Next() (Chunk, error)
	// Close releases the answer and cancels the request when it still runs.
	Close()
}

// Head is the begin of an answer.
type Head struct {
	Status  int
	Headers http.Header
	// Incarnation and WeightsVersion tell who answers; zero when not told.
	Incarnation    uint64
	WeightsVersion string
	PromptTokens   uint32
	CachedTokens   uint32
}

// Chunk is one piece of an answer: one event of a stream, or a part of a body.
type Chunk struct {
	Data []byte
	// Tokens is the position in the output after this chunk, in tokens.
	Tokens uint64
}

// Limits bound what is read from a backend server.
type Limits struct {
	// EventBytes bounds one event of a stream.
	EventBytes int
	// ControlBytes bounds the answer to a control request.
	ControlBytes int64
	// KVBytes bounds exported cached state.
	KVBytes int64
	// ControlTimeout bounds a control request other than an order.
	ControlTimeout time.Duration
	// OrderTimeout bounds an order, weights loaded included.
	OrderTimeout time.Duration
	// IdleTimeout bounds the time without a byte of an answer.
	IdleTimeout time.Duration
}

// DefaultLimits returns the limits that an agent uses.
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
