// Package fault holds the closed list of error kinds and the table from each
// kind to the answer that a caller gets.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is one kind of error. The values are part of the link protocol: new
// kinds go at the end.
type Kind uint32

// The closed list of error kinds.
const (
	Internal Kind = iota
	BadRequest
	BodyTooLarge
	Unauthenticated
	Forbidden
	UnknownModel
	UnknownService
	NotFound
	MethodNotAllowed
	IdempotencyKeyRequired
	IdempotencyKeyReused
	IdempotencyKeyInProgress
	Overloaded
	AccountLimit
	DeadlineInfeasible
	DeadlineExceeded
	NoBackend
	Draining
	StaleIncarnation
	StaleWeights
	StaleFencing
	BackendRefused
	BackendCrashed
	BackendTimeout
	StreamBroken
	Quarantined
	OutcomeUnknown
	ClaimRefused
	NotLeader
	Unavailable
	LinkDown
	Cancelled
	Conflict
	Shutdown
	kindCount
)

// Outcome tells whether a failed request ran at a backend server.
type Outcome uint8

// The outcomes, with the strings that callers see.
const (
	NotRun Outcome = iota + 1
	Ran
	Unknown
)

// String returns the value of the error field "ran" of an answer.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Response is what a caller gets for a kind of error.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Type and Code fill the fields of the OpenAI error object.
	Type, Code string
	// Retryable tells the router that another attempt at an idempotent request
	// may succeed elsewhere.
	Retryable bool
	// RetryAfter is the time to come back when the error carries none; 0 sends
	// no Retry-After.
	RetryAfter time.Duration
}

var answers = [kindCount]Response{
	Internal:                 {500, "server_error", "internal", false, 0},
	BadRequest:               {400, "invalid_request_error", "bad_request", false, 0},
	BodyTooLarge:             {413, "invalid_request_error", "body_too_large", false, 0},
	Unauthenticated:          {401, "authentication_error", "invalid_api_key", false, 0},
	Forbidden:                {403, "permission_error", "forbidden", false, 0},
	UnknownModel:             {404, "invalid_request_error", "model_not_found", false, 0},
	UnknownService:           {404, "invalid_request_error", "service_not_found", false, 0},
	NotFound:                 {404, "invalid_request_error", "not_found", false, 0},
	MethodNotAllowed:         {405, "invalid_request_error", "method_not_allowed", false, 0},
	IdempotencyKeyRequired:   {400, "invalid_request_error", "idempotency_key_required", false, 0},
	IdempotencyKeyReused:     {422, "invalid_request_error", "idempotency_key_reused", false, 0},
	IdempotencyKeyInProgress: {409, "conflict_error", "idempotency_key_in_progress", false, time.Second},
	Overloaded:               {429, "rate_limit_error", "overloaded", false, time.Second},
	AccountLimit:             {429, "rate_limit_error", "account_limit", false, time.Second},
	DeadlineInfeasible:       {429, "rate_limit_error", "deadline_cannot_be_met", false, time.Second},
	DeadlineExceeded:         {504, "timeout_error", "deadline_exceeded", false, 0},
	NoBackend:                {503, "server_error", "no_backend", true, time.Second},
	Draining:                 {503, "server_error", "backend_draining", true, time.Second},
	StaleIncarnation:         {503, "server_error", "engine_restarted", true, time.Second},
	StaleWeights:             {503, "server_error", "weights_changed", true, time.Second},
	StaleFencing:             {409, "conflict_error", "stale_fencing", false, 0},
	BackendRefused:           {503, "server_error", "backend_refused", true, time.Second},
	BackendCrashed:           {502, "server_error", "backend_crashed", true, time.Second},
	BackendTimeout:           {504, "timeout_error", "backend_timeout", true, time.Second},
	StreamBroken:             {502, "server_error", "stream_broken", true, time.Second},
	Quarantined:              {422, "invalid_request_error", "request_quarantined", false, 0},
	OutcomeUnknown:           {502, "server_error", "outcome_unknown", false, 0},
	ClaimRefused:             {409, "conflict_error", "claim_refused", false, 0},
	NotLeader:                {503, "server_error", "not_leader", false, time.Second},
	Unavailable:              {503, "server_error", "unavailable", false, time.Second},
	LinkDown:                 {502, "server_error", "link_down", true, time.Second},
	Cancelled:                {499, "invalid_request_error", "cancelled", false, 0},
	Conflict:                 {409, "conflict_error", "revision_conflict", false, 0},
	Shutdown:                 {503, "server_error", "shutting_down", true, time.Second},
}

// Kinds returns all kinds, for tests and documentation.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the table row of k. Unknown values answer as Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the error code of k.
func (k Kind) String() string { return k.Response().Code }

// Error is an error with its kind and, for a request, its outcome.
type Error struct {
	Kind Kind
	// Outcome tells whether the request ran; zero counts as Unknown.
	Outcome Outcome
	// RetryAfter is the time to come back; 0 takes the value of the table.
	RetryAfter time.Duration
	// Leader is the link address of the control leader for NotLeader errors.
	Leader string
	err    error
}

// New returns an error of kind whose text is built like that of fmt.Errorf.
func New(kind Kind, outcome Outcome, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, err: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.err.Error() }

// Text returns the message without the kind.
func (e *Error) Text() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// RetryDelay returns the time after which the caller may ask again; 0 is none.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Response().RetryAfter
}

// WithRetryAfter sets the time to come back and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithUnverifiedOutcome returns err as the refusal of a call with an idempotency key whose record
// was not read. This send did not run, but an earlier one with the key may have:
// where the caller is to come back, nothing is promised.
func WithUnverifiedOutcome(err error) error {
	e := From(err)
	if e == nil || e.Outcome != NotRun || e.RetryDelay() == 0 {
		return err
	}
	out := *e
	out.Outcome = Unknown
	return &out
}

// From returns err as an Error; other errors become Internal with an unknown
// outcome. A nil error gives nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Outcome: Unknown, err: err}
}

// Is reports whether err is an Error of kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
