package gateway

import (
	"context"
	"net/http"
	"time"

	"parsleypulley/internal/prefix"
)

// Kind is the kind of call that a caller makes.
type Kind uint8

// The kinds of calls.
const (
	Chat Kind = iota
	Completion
	Service
)

// Idempotency states how often a call may run at a backend server.
type Idempotency uint8

// The classes of calls.
const (
	// Idempotent calls may be retried and hedged.
	Idempotent Idempotency = iota
	// NonIdempotent calls are not repeated once they may have begun, but no record of
	// them is kept.
	NonIdempotent
	// AtMostOnce calls carry an idempotency key and are recorded.
	AtMostOnce
)

// Caller is an authenticated client account.
type Caller struct {
	Account string
}

// Request is one authenticated and checked call of a caller.
type Request struct {
	// ID is unique over all routers; CallerRequestID is the caller's own name for it.
	ID, CallerRequestID string
	Caller              Caller
	Kind                Kind
	// Model and Adapter are set for model calls.
	Model, Adapter string
	Prompt         prefix.Prompt
	// MaxTokens is the caller's bound on output tokens; 0 is none.
	MaxTokens int
	Stream    bool
	// Service is set for calls to plain services.
	Service string
	Method  string
	// Path is the escaped path and query at the backend server.
	Path           string
	Header         http.Header
	Body           []byte
	Idempotency    Idempotency
	IdempotencyKey string
	// Arrived and Deadline are absolute times.
	Arrived, Deadline time.Time
}

// ServiceClass tells whether the named service exists and how a call to it may
// be repeated.
type ServiceClass struct {
	Idempotency Idempotency
}

// Directory answers what the configuration in force says.
type Directory interface {
	// Ready tells whether there is a configuration to answer from.
	Ready() bool
	// Authenticate returns the caller whose API key this is.
	Authenticate(key string) (Caller, bool)
	// Models lists the models that callers may name.
	Models() []string
	// ResolveModel splits a caller's model name into model and adapter.
	ResolveModel(name string) (model, adapter string, ok bool)
	// ClassifyService tells how a call to a plain service may be repeated.
	ClassifyService(service, method, path string, hasKey bool) (ServiceClass, bool)
	// Revision is the configuration revision in force.
	Revision() uint64
	// DefaultTimeout applies to calls without a deadline header.
	DefaultTimeout() time.Duration
}

// Responder takes the parts of an answer. Head comes first and once.
type Responder interface {
	Head(h Head) error
	// Chunk forwards a part of the body.
	Chunk(data []byte) error
}

// Head is the start of an answer.
type Head struct {
	Status  int
	Header  http.Header
	Backend string
	// ContentLength is the size of the whole body, or -1 for a stream.
	ContentLength int64
	// Replayed is set when the answer comes from the record of an earlier call.
	Replayed bool
}

// Server runs calls. An error before Head becomes an error answer; an error
// after it ends the stream with an explicit error.
type Server interface {
	Serve(ctx context.Context, req *Request, w Responder) error
}
