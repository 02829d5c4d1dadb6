package event

import (
	"strings"
	"time"

	"github.com/apex/log"

	"parsleypulley/internal/fault"
)

// Messages that decide the class of an event, see ClassOf.
const (
	messageCallServed    = "call served"
	messageCallAnswered  = "call answered"
	messageCallFailed    = "call failed"
	messageAttemptFailed = "attempt failed"
)

// ForwardedCall describes a finished call that the router forwarded by the route
// table.
type ForwardedCall struct {
	// Request is the request ID; empty if the call was rejected before its headers
	// were read.
	Request string
	Route   string
	Account string
	// Backend is the last backend server that was tried.
	Backend  string
	Attempts int
	// Outcomes lists how the failed attempts ended.
	Outcomes          []string
	ViewVersion       uint64
	RouteTableVersion uint64
	// ViewAge is the time since the view was last confirmed as the newest.
	ViewAge time.Duration
	// Duration is the time from the arrival of the call to its end.
	Duration time.Duration
	// TimeToFirstEvent is the time from the arrival of the call to the first event
	// of its response stream; 0 if there was no event.
	TimeToFirstEvent time.Duration
	// LongestPause is the longest time between two events of a response stream; 0 if there
	// were fewer than two.
	LongestPause time.Duration
	// Prompt is nil for calls without a prompt.
	Prompt *PromptRouting
	// Stop is nil unless the call came during a planned stop.
	Stop *StopAdmission
	// CutBy is "stop" for a call that the end of a planned stop cut, and Begun is set if its
	// response had begun.
	CutBy string
	Begun bool
}

// StopAdmission is what a router knew of a call that came during its planned stop when it
// accepted or refused it.
type StopAdmission struct {
	// After is the time since the beginning of the stop, and Left the time until its end.
	After, Left time.Duration
	// Predicted is the duration that was predicted for the response. It is the time limit of
	// the call if Responses is 0.
	Predicted time.Duration
	// Responses is the number of responses from which the duration was predicted.
	Responses int
}

// PromptRouting describes the routing decision for a call with a prompt.
type PromptRouting struct {
	// SharedPrefixKey is the hash key of the prefix that the prompt shares with
	// others. It is the same at all routers and for all versions of the weights.
	SharedPrefixKey uint64
	// Tokens is the length of the whole prompt.
	Tokens uint32
	// SharedPrefixTokens is the length of the shared prefix.
	SharedPrefixTokens uint32
	// ExpectedCachedTokens is the length of the part that the router expected the
	// engine to have cached.
	ExpectedCachedTokens uint32
	// Wait is the predicted time until the engine has a free slot.
	Wait time.Duration
	// Prefill is the predicted time to compute the prompt tokens.
	Prefill time.Duration
	// Model is the model, and Weights the version of its weights that the router assumed the
	// engine to serve.
	Model   string
	Weights uint64
	// WeightsRequired is the version below which the router used no engine, and WeightsOutdatedFor
	// the time for which Weights can have been outdated when it chose the engine; 0 if they were
	// not.
	WeightsRequired    uint64
	WeightsOutdatedFor time.Duration
	// BeginIn is the time within which the call had to begin at the engine, as its weights were outdated. It is not
	// logged if nil.
	BeginIn *time.Duration
	// CacheImportAddress is the address from which the engine may fetch cached state;
	// empty for none.
	CacheImportAddress string
	// CacheSaveAddress is the address of the store in which the engine must save its
	// cached state; empty for none.
	CacheSaveAddress string
}

func (c *ForwardedCall) fields() log.Fields {
	fields := log.Fields{
		"route": c.Route, "account": c.Account, "backend": c.Backend, "attempts": c.Attempts,
		"view": c.ViewVersion, "table": c.RouteTableVersion, "view_age_ms": milliseconds(c.ViewAge), "ms": milliseconds(c.Duration),
	}
	if c.Request != "" {
		fields["request"] = c.Request
	}
	if c.TimeToFirstEvent > 0 {
		fields["first_ms"] = milliseconds(c.TimeToFirstEvent)
	}
	if c.LongestPause > 0 {
		fields["max_pause_ms"] = milliseconds(c.LongestPause)
	}
	if p := c.Prompt; p != nil {
		fields["key"] = hexID(p.SharedPrefixKey)
		fields["prompt"], fields["opening"], fields["cached"] = p.Tokens, p.SharedPrefixTokens, p.ExpectedCachedTokens
		fields["wait_ms"], fields["prefill_ms"], fields["model"], fields["weights"] = milliseconds(p.Wait), milliseconds(p.Prefill), p.Model, p.Weights
		fields["weights_required"], fields["weights_outdated_ms"] = p.WeightsRequired, milliseconds(p.WeightsOutdatedFor)
		if p.BeginIn != nil {
			fields["begin_in_ms"] = milliseconds(*p.BeginIn)
		}
		fields["import"], fields["save"] = p.CacheImportAddress, p.CacheSaveAddress
	}
	if len(c.Outcomes) > 0 {
		fields["outcomes"] = strings.Join(c.Outcomes, ",")
	}
	if s := c.Stop; s != nil {
		fields["stop_after_ms"], fields["stop_left_ms"] = milliseconds(s.After), milliseconds(s.Left)
		fields["predicted_ms"], fields["predicted_from"] = milliseconds(s.Predicted), s.Responses
	}
	if c.CutBy != "" {
		fields["cut_by"], fields["begun"] = c.CutBy, c.Begun
	}
	return fields
}

// ForwardedCallServed logs a forwarded call that was answered.
func ForwardedCallServed(c ForwardedCall) {
	log.WithFields(c.fields()).Info(messageCallServed)
}

// ForwardedCallFailed logs a forwarded call that ended with an error.
func ForwardedCallFailed(c ForwardedCall, err error) {
	e := fault.From(err)
	fields := c.fields()
	fields["kind"], fields["ran"], fields["error"] = e.Kind.String(), e.Outcome.String(), errorText(err)
	log.WithFields(fields).Warn(messageCallFailed)
}

// Attempt describes one attempt at a call.
type Attempt struct {
	Request, Backend, Address string
	// Number counts the attempts of the call from 1.
	Number int
	// ViewVersion is the version of the view from which the backend server was
	// chosen. It is not logged if 0.
	ViewVersion uint64
	// BeginIn is the time left until the attempt had to begin, as the weights of the engine were outdated. It is
	// not logged if nil.
	BeginIn *time.Duration
}

func (a Attempt) fields() log.Fields {
	fields := log.Fields{"request": a.Request, "backend": a.Backend, "attempt": a.Number}
	if a.Address != "" {
		fields["address"] = a.Address
	}
	if a.ViewVersion != 0 {
		fields["view"] = a.ViewVersion
	}
	if a.BeginIn != nil {
		fields["begin_in_ms"] = milliseconds(*a.BeginIn)
	}
	return fields
}

// withFault adds the kind, outcome and text of e to fields.
func withFault(fields log.Fields, e *fault.Error) log.Fields {
	fields["kind"], fields["ran"], fields["error"] = e.Kind.String(), e.Outcome.String(), e.Text()
	return fields
}

// ForwardAttemptFailed logs a failed attempt of a forwarded call.
func ForwardAttemptFailed(a Attempt, outcome string, err error) {
	fields := a.fields()
	fields["outcome"], fields["error"] = outcome, errorText(err)
	log.WithFields(fields).Warn(messageAttemptFailed)
}

// BackendUnreachable logs that the machine of a backend server does not answer, how many attempts
// ended for that, and how many of these after their response had begun.
func BackendUnreachable(backend, address string, attempts, begun int) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "attempts": attempts, "begun": begun}).Warn("backend server is unreachable")
}

// UnreachableReportFailed logs that the leader could not be told of an unreachable backend
// server.
func UnreachableReportFailed(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": errorText(err)}).Info("unreachable backend server not reported")
}

// StreamStalled logs that an attempt at a reachable backend server was ended, as its stream
// made no progress for the time pause.
func StreamStalled(request, backend, address string, pause time.Duration) {
	log.WithFields(log.Fields{"request": request, "backend": backend, "address": address, "pause_ms": milliseconds(pause)}).Warn("stream has stalled")
}

// GatewayCall describes a finished call of the OpenAI-compatible API or of a plain
// service.
type GatewayCall struct {
	Request, Account string
	Status, Chunks   int
	// Duration is the time from the arrival of the call to its end.
	Duration time.Duration
	// CutBy is "stop" if the planned stop ended the call; empty otherwise.
	CutBy string
}

func (c GatewayCall) fields() log.Fields {
	fields := log.Fields{"request": c.Request, "account": c.Account, "status": c.Status, "chunks": c.Chunks, "ms": milliseconds(c.Duration)}
	if c.CutBy != "" {
		fields["cut_by"] = c.CutBy
	}
	return fields
}

// GatewayCallAnswered logs a gateway call that was answered.
func GatewayCallAnswered(c GatewayCall) {
	if debugEnabled() {
		log.WithFields(c.fields()).Debug(messageCallAnswered)
	}
}

// GatewayCallFailed logs a gateway call that ended with an error.
func GatewayCallFailed(c GatewayCall, e *fault.Error) {
	log.WithFields(withFault(c.fields(), e)).Info(messageCallFailed)
}

// AgentAttemptFailed logs a failed attempt that the router sent through an agent.
func AgentAttemptFailed(a Attempt, e *fault.Error) {
	log.WithFields(withFault(a.fields(), e)).Info(messageAttemptFailed)
}

// AtMostOnceDispatchFailed logs that the dispatch of an at-most-once call failed.
func AtMostOnceDispatchFailed(request, backend string, e *fault.Error) {
	log.WithFields(withFault(log.Fields{"request": request, "backend": backend}, e)).Warn("at-most-once dispatch failed")
}

// DispatchFailed logs a failed attempt at the agent that ran it.
func DispatchFailed(a Attempt, account string, e *fault.Error) {
	fields := withFault(a.fields(), e)
	fields["account"] = account
	log.WithFields(fields).Warn("dispatch failed")
}

// CacheImportFailed logs that cached state could not be fetched from another engine;
// the engine computes the whole prompt instead.
func CacheImportFailed(backend, request, source string, err error) {
	log.WithFields(log.Fields{"backend": backend, "request": request, "source": source, "error": errorText(err)}).
		Info("cached state not imported")
}

// BackendEndedUnderCall logs that a backend server without an agent ended while it ran a
// forwarded call. parts identify the parts of the call's prompt that others may share.
func BackendEndedUnderCall(c Crash, parts []string) {
	log.WithFields(c.fields()).WithField("parts", strings.Join(parts[:min(len(parts), maxLoggedParts)], ",")).Warn("backend server ended under a call")
}

// QuarantineInForce logs that this router refuses a request or a part of prompts, as the
// view says from the version on.
func QuarantineInForce(account, fingerprint string, crashes uint32, view uint64) {
	log.WithFields(log.Fields{"account": account, "fingerprint": fingerprint, "crashes": crashes, "view": view}).Info("quarantine in force")
}

// QuarantineEnded logs that this router does not refuse a request or a part of prompts any
// more.
func QuarantineEnded(account, fingerprint string, view uint64) {
	log.WithFields(log.Fields{"account": account, "fingerprint": fingerprint, "view": view}).Info("quarantine ended")
}

// CrashReportFailed logs that the crash of an engine during a call could not be
// reported, so that the other routers don't know of it.
func CrashReportFailed(request string, err error) {
	log.WithFields(log.Fields{"request": request, "error": errorText(err)}).Warn("crash report failed")
}
