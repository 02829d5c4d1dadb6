package gateway

import (
	"context"
	"net/http"
	"time"

	"parsleypulley/internal/account"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/shutdown"
)

// Kind is the kind of call that a caller makes.
type Kind uint8

// The kinds of calls.
const (
	Chat Kind = iota
	Completion
	Service
)

// Idempotency states whether a call may run more than once.
type Idempotency uint8

// The idempotency classes of calls.
const (
	// Idempotent calls may be retried and hedged.
	Idempotent Idempotency = iota
	// NonIdempotent calls are not retried after they may have started. No record of
	// them is kept.
	NonIdempotent
	// AtMostOnce calls carry an idempotency key. A record of each call ensures that
	// it runs at most once.
	AtMostOnce
)

// Caller is an authenticated client account.
type Caller struct {
	Account string
	// Key is the digest of the API key that the caller sent.
	Key account.KeyDigest
}

// Request is one authenticated and checked call of a caller.
type Request struct {
	// ID is unique across all routers.
	ID string
	// CallerRequestID is the request ID that the caller sent, or ID if there is
	// none.
	CallerRequestID string
	Caller          Caller
	Kind            Kind
	// Model is the model of a model call.
	Model string
	// Adapter is the adapter of a model call, or empty.
	Adapter string
	Prompt  prefix.Prompt
	// MaxTokens is the caller's limit on output tokens, or 0 for no limit.
	MaxTokens int
	// Stream is set if the caller asked for a stream of server-sent events.
	Stream bool
	// Service is the name of the plain service. It is empty for model calls.
	Service string
	Method  string
	// Path is the escaped path and query for the backend server.
	Path           string
	Header         http.Header
	Body           []byte
	Idempotency    Idempotency
	IdempotencyKey string
	// Arrived is when the gateway received the call.
	Arrived time.Time
	// Deadline is when the caller needs the response.
	Deadline time.Time
	// Stopped is closed when the graceful shutdown of the router ends the call. The context of the call
	// ends too, unless it has ended before, with shutdown.ErrEnded as its cause.
	Stopped <-chan struct{}
	// apiKey is the caller's API key.
	apiKey string
	// call is what the graceful shutdown knows of the call.
	call *shutdown.Call
	// broken is set if the response has broken off.
	broken bool
}

// ServiceClass describes how a call to a plain service must be handled.
type ServiceClass struct {
	Idempotency Idempotency
}

// Directory looks up accounts, models and services in the configuration in force.
type Directory interface {
	// Ready reports whether a configuration has been received.
	Ready() bool
	// Authenticate returns the caller that key belongs to. Its error says whether the key is
	// unknown or can't be checked now.
	Authenticate(key string) (Caller, error)
	// Models lists the models that callers may name.
	Models() []string
	// ResolveModel returns the model and the adapter for a model name that a caller
	// sent. ok is false if the model does not exist.
	ResolveModel(name string) (model, adapter string, ok bool)
	// ClassifyService returns the class of a call to a plain service. hasKey reports
	// whether the call carries an idempotency key. The second result is false if the
	// service does not exist.
	ClassifyService(service, method, path string, hasKey bool) (ServiceClass, bool)
	// Revision returns the revision of the configuration in force.
	Revision() uint64
	// DefaultTimeout returns the timeout of calls without a HeaderTimeout header.
	DefaultTimeout() time.Duration
}

// Responder writes the response to a call.
type Responder interface {
	// Head writes the head. It must be called once, before Chunk.
	Head(h Head) error
	// Chunk writes a part of the body.
	Chunk(data []byte) error
}

// Head is the head of a response.
type Head struct {
	Status int
	Header http.Header
	// Backend is the name of the backend server.
	Backend string
	// ContentLength is the size of the body, or -1 for a stream.
	ContentLength int64
	// Replayed is set if the response was stored for an earlier call with the same
	// idempotency key.
	Replayed bool
}

// Server runs calls.
type Server interface {
	// Serve runs a call and writes its response to w. If it returns an error before
	// it has called Head, the gateway sends an error response. If it returns an error
	// later, the gateway ends a stream with an error event, and closes the connection
	// for any other response.
	Serve(ctx context.Context, req *Request, w Responder) error
}
