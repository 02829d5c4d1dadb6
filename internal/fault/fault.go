// Package fault defines all kinds of errors that callers can get, and the HTTP
// response for each kind.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is a kind of error. The values are part of the link protocol: add new kinds
// at the end.
type Kind uint32

// All error kinds. For the response to each, see the table responses.
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
	// IdempotencyKeyReused means that the key was used before for another request.
	IdempotencyKeyReused
	// IdempotencyKeyInProgress means that an earlier call with the key has not ended.
	IdempotencyKeyInProgress
	Overloaded
	AccountLimit
	// DeadlineInfeasible means that the predicted wait is longer than the time left
	// until the deadline.
	DeadlineInfeasible
	DeadlineExceeded
	NoBackend
	Draining
	// StaleIncarnation means that the engine or its agent has restarted since the
	// request was routed to it.
	StaleIncarnation
	// StaleWeights means that the engine has not loaded the weights or the adapter that
	// the request needs.
	StaleWeights
	// StaleFencing means that an order is older than one that was received before.
	StaleFencing
	// BackendRefused means that a backend server or its agent did not accept the request.
	BackendRefused
	BackendCrashed
	BackendTimeout
	// StreamBroken means that a response was interrupted or malformed.
	StreamBroken
	// Quarantined means that the request is blocked because engines crashed while they
	// ran it.
	Quarantined
	// OutcomeUnknown means that it can't be determined whether the request ran.
	OutcomeUnknown
	// ClaimRefused means that the agent does not run the call of a claim: it has run it
	// already, has rejected the claim before, or does not know it any more.
	ClaimRefused
	// NotLeader means that the control replica is not the leader.
	NotLeader
	// Unavailable means that control could not serve the call, or that a router has no
	// confirmed state from control.
	Unavailable
	// LinkDown means that a connection to another process failed or was lost.
	LinkDown
	// Cancelled means that the caller has cancelled the call or has disconnected.
	Cancelled
	// Conflict means that a change was made for another configuration revision, or that
	// an attempt runs already.
	Conflict
	// Shutdown means that the router or agent is stopping.
	Shutdown
	kindCount
)

// Outcome states whether a failed request ran at a backend server.
type Outcome uint8

// All outcomes, with the values of wire.Outcome. Callers see the text from String.
const (
	NotRun Outcome = iota + 1
	Ran
	Unknown
)

// String returns the value of the field "ran" in an error response.
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

// Response describes the HTTP response to errors of one kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Type is the field "type" of the OpenAI error object.
	Type string
	// Code is the field "code" of the OpenAI error object, unique to the kind.
	Code string
	// Retryable is set when another attempt at an idempotent request may succeed at
	// another backend server.
	Retryable bool
	// RetryAfter is sent as Retry-After unless the error sets a time of its own; 0
	// sends no Retry-After.
	RetryAfter time.Duration
}

var responses = [kindCount]Response{
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

// Kinds returns all error kinds, for tests and documentation.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the response to errors of kind k. Unknown kinds are treated as
// Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the error code of k.
func (k Kind) String() string { return k.Response().Code }

// Error is an error with a kind and, for a failed request, its outcome.
type Error struct {
	Kind Kind
	// Outcome states whether the request ran; 0 is treated as Unknown.
	Outcome Outcome
	// RetryAfter is the time after which the caller may retry; 0 stands for the
	// default of the kind.
	RetryAfter time.Duration
	// Leader is the link address of the control leader for NotLeader errors.
	Leader string
	err    error
}

// New returns an error of the given kind and outcome. format and args make its
// message as in fmt.Errorf, including %w.
func New(kind Kind, outcome Outcome, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, err: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.err.Error() }

// Text returns the error message without the kind.
func (e *Error) Text() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// RetryDelay returns the time after which the caller may retry; 0 means that the
// caller is not asked to retry.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Response().RetryAfter
}

// WithRetryAfter sets e.RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithUnverifiedOutcome returns the error to send when a call with an idempotency
// key fails before the record of the key was read. This request did not run, but an
// earlier one with the same key may have run. So if the caller is asked to retry,
// outcome NotRun becomes Unknown; all other errors are returned as they are.
func WithUnverifiedOutcome(err error) error {
	e := From(err)
	if e == nil || e.Outcome != NotRun || e.RetryDelay() == 0 {
		return err
	}
	out := *e
	out.Outcome = Unknown
	return &out
}

// From returns the Error that err is or wraps. Other errors become Internal errors
// with outcome Unknown; nil stays nil.
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

// Is reports whether err is or wraps an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
