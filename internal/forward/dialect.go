// Package forward implements the reverse proxy for the routes of the route table.
// It matches the HTTP requests of callers by host and path and forwards them to
// backend servers that have no agent.
//
// A call is a request of a caller together with all attempts to serve it.
// RetryState decides without I/O whether a call may be tried again, based on the
// route and on the outcome of each attempt.
package forward

import (
	"net/http"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Call describes a caller's request, as read by a Dialect.
type Call struct {
	// ID identifies the call. Backend servers repeat it in their responses.
	ID string
	// Timeout is how long the caller waits for the response; 0 if the request
	// does not say.
	Timeout time.Duration
	// APIKey is the caller's API key; empty if the request has none.
	APIKey string
	// PromptParts are the parts of the prompt in order. Other prompts may share
	// all but the last part. It is empty if there is no prompt.
	PromptParts []PromptPart
	// InputTokens is the length of the prompt in tokens.
	InputTokens uint32
	// OutputTokens is the maximum length of the response in tokens.
	OutputTokens uint32
	// LastEventID is the ID of the last stream event that the caller has
	// received; empty if the call starts a new stream.
	LastEventID string
	// BeganAs is the ID of the call that brought the stream's first event; empty if the
	// call starts a new stream or does not say.
	BeganAs string
	// Model is the name of the requested model; empty for a service without
	// models.
	Model string
}

// PromptPart is a part of a prompt. Other prompts may contain the same part.
type PromptPart struct {
	ID     string
	Tokens uint32
}

// Attempt holds the values that Dialect.PrepareAttempt adds to the caller's own
// headers.
type Attempt struct {
	// Backend is the only backend server that may execute the attempt.
	Backend *wire.Backend
	// Account is the name of the client account; empty on public routes.
	Account string
	// Remaining is the time left until the deadline of the call.
	Remaining time.Duration
	// CacheSalt separates the cached state of accounts and weights versions;
	// empty if the route has no prompts.
	CacheSalt string
	// CacheImportAddress is the address of an engine or a store from which the
	// backend server may import cached state; empty for none.
	CacheImportAddress string
	// CacheSaveAddress is the address of the store to which the backend server
	// saves cached state; empty for none.
	CacheSaveAddress string
	// Urgency is the urgency of the call; 0 is the most urgent.
	Urgency uint32
	// LastEventID is the ID of the event after which the stream resumes; empty if
	// the stream starts from the beginning.
	LastEventID string
	// WeightsVersion is the version of the weights that must be used; 0 allows
	// any version.
	WeightsVersion uint64
}

// ResponseInfo describes the status and the headers of a backend server's
// response, as read by a Dialect.
type ResponseInfo struct {
	// ID is the ID of the call that the response belongs to; empty if the
	// response has none.
	ID string
	// FromBackend is set if the response carries the header that only backend
	// servers add.
	FromBackend bool
	// NotExecuted is set if the backend server states that it did not execute the
	// call.
	NotExecuted bool
	// Misdirected is set if the attempt was meant for another backend server or
	// for another weights version.
	Misdirected bool
	// WeightsVersion is the version of the weights that produced the response; 0
	// if the response does not say.
	WeightsVersion uint64
	// Leaving is set if the backend server states that it leaves.
	Leaving bool
	// RetryAfter is how long the backend server, which turned the call away, wants no
	// further calls from this VM; 0 if it does not say.
	RetryAfter time.Duration
	// LimitPerSecond is the number of requests a second that the backend server takes from
	// all routers together; 0 if it names no limit.
	LimitPerSecond float64
	// InvalidLimit is such a statement that can't be used; empty if there is none.
	InvalidLimit string
	// InvalidRetryAfter is such a statement that can't be used; empty if there is
	// none.
	InvalidRetryAfter string
}

// Dialect maps the HTTP headers of an API to Call, Attempt and ResponseInfo. Its
// methods must not retain their arguments.
type Dialect interface {
	// ReadCall reads a caller's request. It returns an error if the request is
	// malformed.
	ReadCall(r *http.Request) (*Call, error)
	// PrepareAttempt sets and removes headers for an attempt. h initially holds
	// the caller's end-to-end headers.
	PrepareAttempt(h http.Header, a *Attempt)
	// ReadResponse reads the status and the headers of a response.
	ReadResponse(status int, h http.Header) ResponseInfo
	// ErrorStatus returns the status of the response to a call that ends with an error of
	// the given kind.
	ErrorStatus(kind fault.Kind) int
}
