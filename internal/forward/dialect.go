// Package forward serves declared routes: it takes callers' HTTP calls by host
// and path and forwards them to backend servers that have no agent.
//
// What may be tried again follows from the route and from what is known of each
// attempt; Exchange decides it without I/O.
package forward

import (
	"net/http"
	"time"

	"parsleypulley/internal/wire"
)

// Call is what a dialect reads from a caller's request.
type Call struct {
	// ID identifies the call; backend servers repeat it in their answers.
	ID string
	// Timeout is the time that the caller waits for the answer; 0 is not told.
	Timeout time.Duration
	// APIKey is the API key; empty for none.
	APIKey string
	// PromptParts are the parts of the prompt in order, the last one its own; empty where
	// there is none.
	PromptParts []PromptPart
	// InputTokens and OutputTokens are the length of the prompt and the greatest
	// length of the answer, in tokens.
	InputTokens, OutputTokens uint32
	// LastEventID is the ID of the last event that the caller holds already.
	LastEventID string
	// Model is the model that the call names; empty for a plain service.
	Model string
}

// PromptPart is a part of a prompt, which other prompts may share.
type PromptPart struct {
	ID     string
	Tokens uint32
}

// Attempt is what a backend server is told beside the caller's own request.
type Attempt struct {
	// Backend is the backend server meant; no other may run the call.
	Backend *wire.Backend
	// Account is the name of the client account; empty on public routes.
	Account string
	// Remaining is the time left.
	Remaining time.Duration
	// CacheSalt separates cached state; empty where there is no prompt.
	CacheSalt string
	// CacheImportAddress is the address of another engine from which cached state may be
	// imported; empty for none.
	CacheImportAddress string
	// CacheSaveAddress is the address of a store to which cached state is to be saved; empty
	// for none.
	CacheSaveAddress string
	// Urgency is 0 for the most urgent calls.
	Urgency uint32
	// LastEventID is the ID of the event after which a stream goes on; empty from
	// the start.
	LastEventID string
	// WeightsVersion is the only version to run on; 0 takes any.
	WeightsVersion uint64
}

// ResponseInfo is what a dialect reads from the head of a backend server's answer.
type ResponseInfo struct {
	// ID is the call that the answer belongs to; empty when it doesn't tell.
	ID string
	// FromBackend is set when the answer bears the mark of a backend server.
	FromBackend bool
	// NotExecuted is set when the backend server states that it did not run the call.
	NotExecuted bool
	// Misdirected is set when another backend server or other weights were meant.
	Misdirected bool
	// WeightsVersion is the version that the answer was made on; 0 is not told.
	WeightsVersion uint64
}

// Dialect translates between HTTP messages and their meaning. Its methods don't
// keep what they are given.
type Dialect interface {
	// ReadCall reads a caller's request. An error tells that it is malformed.
	ReadCall(r *http.Request) (*Call, error)
	// PrepareAttempt completes the headers of an attempt, which start as the caller's.
	PrepareAttempt(h http.Header, a *Attempt)
	// ReadResponse reads the head of an answer.
	ReadResponse(status int, h http.Header) ResponseInfo
}
