package dispatch

import (
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// OnceEvent is something that happened to an at-most-once call.
type OnceEvent interface{ onceEvent() }

// Claimed answers a Claim or Lookup action.
type Claimed struct {
	Result *wire.OnceResult
	Err    *fault.Error
}

// NoBackend answers a Claim action when no backend server could be chosen.
// Record is what is known of the key, or nil.
type NoBackend struct {
	Record *wire.OnceRecord
	Err    *fault.Error
}

// AnswerReceived carries the whole answer of the dispatched call.
type AnswerReceived struct{ Answer *wire.StoredAnswer }

// DispatchFailed tells that the dispatch ended without a whole answer.
type DispatchFailed struct{ Err *fault.Error }

// ClaimQueried answers a QueryFate action.
type ClaimQueried struct {
	Fate *wire.ClaimFate
	Err  *fault.Error
}

// IncarnationEnded tells that the agent life that the claim names has ended.
type IncarnationEnded struct{}

// ClaimFinished answers a FinishClaim action.
type ClaimFinished struct {
	Result *wire.OnceResult
	Err    *fault.Error
}

func (Claimed) onceEvent()            {}
func (NoBackend) onceEvent()          {}
func (AnswerReceived) onceEvent()     {}
func (DispatchFailed) onceEvent()     {}
func (ClaimQueried) onceEvent()       {}
func (IncarnationEnded) onceEvent()   {}
func (ClaimFinished) onceEvent()      {}
func (CallerDisconnected) onceEvent() {}
func (Tick) onceEvent()               {}

// OnceAction is something the driver has to do.
type OnceAction interface{ onceAction() }

// Claim chooses a backend server that is not in Exclude and claims the key for it.
type Claim struct{ Exclude []string }

// Lookup reads the record of the key.
type Lookup struct{}

// DispatchClaim sends the call under the claim.
type DispatchClaim struct{ Record *wire.OnceRecord }

// QueryClaim asks the agent that Record names what became of the claim.
type QueryClaim struct{ Record *wire.OnceRecord }

// FinishClaim records how the claim ended.
type FinishClaim struct{ Finish *wire.OnceFinish }

// AnswerCall gives the recorded answer to the caller.
type AnswerCall struct {
	Answer   *wire.StoredAnswer
	Backend  string
	Replayed bool
}

// FailCall gives the caller an error.
type FailCall struct{ Err *fault.Error }

func (Claim) onceAction()         {}
func (Lookup) onceAction()        {}
func (DispatchClaim) onceAction() {}
func (QueryClaim) onceAction()    {}
func (FinishClaim) onceAction()   {}
func (AnswerCall) onceAction()    {}
func (FailCall) onceAction()      {}
func (WakeAt) onceAction()        {}
