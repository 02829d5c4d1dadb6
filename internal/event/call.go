package event

import (
	"strings"
	"time"

	"github.com/apex/log"

	"parsleypulley/internal/fault"
)

// Names that the class of an event depends on.
const (
	callServed    = "call served"
	callAnswered  = "call answered"
	callFailed    = "call failed"
	attemptFailed = "attempt failed"
)

// ForwardedCall is a forwarded call at its end.
type ForwardedCall struct {
	// Request is empty when the call was refused before it was read.
	Request, Route, Account string
	// Backend is the last backend server tried, and Outcomes how attempts failed.
	Backend  string
	Attempts int
	Outcomes []string
	// ViewVersion and RouteTableVersion are the versions of the view and of the route table, and
	// ViewAge is the time since the view was confirmed as the newest.
	ViewVersion, RouteTableVersion uint64
	ViewAge                        time.Duration
	// Duration and TimeToFirstEvent are the times from arrival to the end and to the first event;
	// TimeToFirstEvent is 0 when none came.
	Duration, TimeToFirstEvent time.Duration
	// Prompt is nil for calls without one.
	Prompt *Prompt
}

// Prompt is the decision on a call with a prompt.
type Prompt struct {
	// SharedPrefixKey names the shared opening, the same at all routers and for all versions of
	// the weights.
	SharedPrefixKey uint64
	// Tokens, Opening and Cached are the lengths of the prompt, of its shared
	// opening and of what the engine was expected to hold.
	Tokens, SharedPrefixTokens, ExpectedCachedTokens uint32
	// Wait and Prefill are the predicted times for room and for reading.
	Wait, Prefill time.Duration
	// Weights is the version that the engine was believed to run.
	Weights uint64
	// CacheImportAddress and CacheSaveAddress are the addresses between which cached state is moved.
	CacheImportAddress, CacheSaveAddress string
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
	if p := c.Prompt; p != nil {
		fields["key"] = hexID(p.SharedPrefixKey)
		fields["prompt"], fields["opening"], fields["cached"] = p.Tokens, p.SharedPrefixTokens, p.ExpectedCachedTokens
		fields["wait_ms"], fields["prefill_ms"], fields["weights"] = milliseconds(p.Wait), milliseconds(p.Prefill), p.Weights
		fields["import"], fields["save"] = p.CacheImportAddress, p.CacheSaveAddress
	}
	if len(c.Outcomes) > 0 {
		fields["outcomes"] = strings.Join(c.Outcomes, ",")
	}
	return fields
}

// ForwardedCallServed tells how a forwarded call was answered.
func ForwardedCallServed(c ForwardedCall) {
	log.WithFields(c.fields()).Info(callServed)
}

// ForwardedCallFailed tells why a forwarded call got an error.
func ForwardedCallFailed(c ForwardedCall, err error) {
	e := fault.From(err)
	fields := c.fields()
	fields["kind"], fields["ran"], fields["error"] = e.Kind.String(), e.Outcome.String(), text(err)
	log.WithFields(fields).Warn(callFailed)
}

// Attempt is one attempt at a call.
type Attempt struct {
	Request, Backend, Address string
	// Number counts from 1.
	Number int
	// ViewVersion is the version of the view that the choice was made by; 0 is not told.
	ViewVersion uint64
}

func (a Attempt) fields() log.Fields {
	fields := log.Fields{"request": a.Request, "backend": a.Backend, "attempt": a.Number}
	if a.Address != "" {
		fields["address"] = a.Address
	}
	if a.ViewVersion != 0 {
		fields["view"] = a.ViewVersion
	}
	return fields
}

// withFault adds an error of the closed list to fields.
func withFault(fields log.Fields, e *fault.Error) log.Fields {
	fields["kind"], fields["ran"], fields["error"] = e.Kind.String(), e.Outcome.String(), e.Text()
	return fields
}

// ForwardAttemptFailed tells how an attempt of a forwarded call failed.
func ForwardAttemptFailed(a Attempt, outcome string, err error) {
	fields := a.fields()
	fields["outcome"], fields["error"] = outcome, text(err)
	log.WithFields(fields).Warn(attemptFailed)
}

// GatewayCall is a call of the product's own interface at its end.
type GatewayCall struct {
	Request, Account string
	Status, Chunks   int
	Duration         time.Duration
}

func (c GatewayCall) fields() log.Fields {
	return log.Fields{"request": c.Request, "account": c.Account, "status": c.Status, "chunks": c.Chunks, "ms": milliseconds(c.Duration)}
}

// GatewayCallAnswered tells how a call of the product's own interface was answered.
func GatewayCallAnswered(c GatewayCall) {
	if debugLogged() {
		log.WithFields(c.fields()).Debug(callAnswered)
	}
}

// GatewayCallFailed tells why a call of the product's own interface got an error.
func GatewayCallFailed(c GatewayCall, e *fault.Error) {
	log.WithFields(withFault(c.fields(), e)).Info(callFailed)
}

// AgentAttemptFailed tells how an attempt through an agent failed.
func AgentAttemptFailed(a Attempt, e *fault.Error) {
	log.WithFields(withFault(a.fields(), e)).Info(attemptFailed)
}

// AtMostOnceDispatchFailed tells that the dispatch of a call that may run only once failed.
func AtMostOnceDispatchFailed(request, backend string, e *fault.Error) {
	log.WithFields(withFault(log.Fields{"request": request, "backend": backend}, e)).Warn("at-most-once dispatch failed")
}

// DispatchFailed is the agent's side of a failed attempt.
func DispatchFailed(a Attempt, account string, e *fault.Error) {
	fields := withFault(a.fields(), e)
	fields["account"] = account
	log.WithFields(fields).Warn("dispatch failed")
}

// CacheImportFailed tells that cached state was not fetched; the prompt is read anew.
func CacheImportFailed(backend, request, source string, err error) {
	log.WithFields(log.Fields{"backend": backend, "request": request, "source": source, "error": text(err)}).
		Info("cached state not imported")
}

// CrashReportFailed tells that the crash of an engine under a call is not known to
// the other routers.
func CrashReportFailed(request string, err error) {
	log.WithFields(log.Fields{"request": request, "error": text(err)}).Warn("crash report failed")
}
