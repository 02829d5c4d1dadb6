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

// Call is a forwarded call at its end.
type Call struct {
	// Request is empty when the call was refused before it was read.
	Request, Route, Account string
	// Backend is the last backend server tried, and Outcomes how attempts failed.
	Backend  string
	Attempts int
	Outcomes []string
	// View and Table are the versions of the view and of the route table, and
	// ViewAge is the time since the view was confirmed as the newest.
	View, Table uint64
	ViewAge     time.Duration
	// Took and First are the times from arrival to the end and to the first event;
	// First is 0 when none came.
	Took, First time.Duration
	// Prompt is nil for calls without one.
	Prompt *Prompt
}

// Prompt is the decision on a call with a prompt.
type Prompt struct {
	// Key names the shared opening, the same at all routers and for all versions of
	// the weights.
	Key uint64
	// Tokens, Opening and Cached are the lengths of the prompt, of its shared
	// opening and of what the engine was expected to hold.
	Tokens, Opening, Cached uint32
	// Wait and Prefill are the predicted times for room and for reading.
	Wait, Prefill time.Duration
	// Weights is the version that the engine was believed to run.
	Weights uint64
	// Import and Save are the addresses between which cached state is moved.
	Import, Save string
}

func (c *Call) fields() log.Fields {
	fields := log.Fields{
		"route": c.Route, "account": c.Account, "backend": c.Backend, "attempts": c.Attempts,
		"view": c.View, "table": c.Table, "view_age_ms": milliseconds(c.ViewAge), "ms": milliseconds(c.Took),
	}
	if c.Request != "" {
		fields["request"] = c.Request
	}
	if c.First > 0 {
		fields["first_ms"] = milliseconds(c.First)
	}
	if p := c.Prompt; p != nil {
		fields["key"] = hexID(p.Key)
		fields["prompt"], fields["opening"], fields["cached"] = p.Tokens, p.Opening, p.Cached
		fields["wait_ms"], fields["prefill_ms"], fields["weights"] = milliseconds(p.Wait), milliseconds(p.Prefill), p.Weights
		fields["import"], fields["save"] = p.Import, p.Save
	}
	if len(c.Outcomes) > 0 {
		fields["outcomes"] = strings.Join(c.Outcomes, ",")
	}
	return fields
}

// CallServed tells how a forwarded call was answered.
func CallServed(c Call) {
	log.WithFields(c.fields()).Info(callServed)
}

// CallFailed tells why a forwarded call got an error.
func CallFailed(c Call, err error) {
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
	// View is the version of the view that the choice was made by; 0 is not told.
	View uint64
}

func (a Attempt) fields() log.Fields {
	fields := log.Fields{"request": a.Request, "backend": a.Backend, "attempt": a.Number}
	if a.Address != "" {
		fields["address"] = a.Address
	}
	if a.View != 0 {
		fields["view"] = a.View
	}
	return fields
}

// withFault adds an error of the closed list to fields.
func withFault(fields log.Fields, e *fault.Error) log.Fields {
	fields["kind"], fields["ran"], fields["error"] = e.Kind.String(), e.Outcome.String(), e.Text()
	return fields
}

// ForwardFailed tells how an attempt of a forwarded call failed.
func ForwardFailed(a Attempt, outcome string, err error) {
	fields := a.fields()
	fields["outcome"], fields["error"] = outcome, text(err)
	log.WithFields(fields).Warn(attemptFailed)
}

// ChatCall is a call of the product's own interface at its end.
type ChatCall struct {
	Request, Account string
	Status, Chunks   int
	Took             time.Duration
}

func (c ChatCall) fields() log.Fields {
	return log.Fields{"request": c.Request, "account": c.Account, "status": c.Status, "chunks": c.Chunks, "ms": milliseconds(c.Took)}
}

// ChatAnswered tells how a call of the product's own interface was answered.
func ChatAnswered(c ChatCall) {
	if debugLogged() {
		log.WithFields(c.fields()).Debug(callAnswered)
	}
}

// ChatFailed tells why a call of the product's own interface got an error.
func ChatFailed(c ChatCall, e *fault.Error) {
	log.WithFields(withFault(c.fields(), e)).Info(callFailed)
}

// AttemptFailed tells how an attempt through an agent failed.
func AttemptFailed(a Attempt, e *fault.Error) {
	log.WithFields(withFault(a.fields(), e)).Info(attemptFailed)
}

// OnceFailed tells that the dispatch of a call that may run only once failed.
func OnceFailed(request, backend string, e *fault.Error) {
	log.WithFields(withFault(log.Fields{"request": request, "backend": backend}, e)).Warn("at-most-once dispatch failed")
}

// DispatchFailed is the agent's side of a failed attempt.
func DispatchFailed(a Attempt, account string, e *fault.Error) {
	fields := withFault(a.fields(), e)
	fields["account"] = account
	log.WithFields(fields).Warn("dispatch failed")
}

// ImportFailed tells that cached state was not fetched; the prompt is read anew.
func ImportFailed(backend, request, source string, err error) {
	log.WithFields(log.Fields{"backend": backend, "request": request, "source": source, "error": text(err)}).
		Info("cached state not imported")
}

// CrashUnreported tells that the crash of an engine under a call is not known to
// the other routers.
func CrashUnreported(request string, err error) {
	log.WithFields(log.Fields{"request": request, "error": text(err)}).Warn("crash report failed")
}
