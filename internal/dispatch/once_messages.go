package dispatch

import (
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// OnceEvent is an input of a OnceMachine.
type OnceEvent interface{ onceEvent() }

// Claimed carries the result of a Claim or Lookup action.
type Claimed struct {
	Result *wire.OnceResult
	Err    *fault.Error
}

// NoBackend reports that a Claim action found no backend server.
type NoBackend struct {
	// Record is the existing record of the key, or nil if there is none.
	Record *wire.OnceRecord
	Err    *fault.Error
}

// AnswerReceived carries the complete response to a dispatched call.
type AnswerReceived struct{ Answer *wire.StoredAnswer }

// DispatchFailed reports that the dispatch ended without a complete response.
type DispatchFailed struct{ Err *fault.Error }

// ClaimQueried carries the result of a QueryClaim action.
type ClaimQueried struct {
	// Fate tells whether the claimed call has run. It is nil if Err is set.
	Fate *wire.ClaimFate
	Err  *fault.Error
}

// IncarnationEnded reports that the agent incarnation named by the claim has ended.
type IncarnationEnded struct{}

// ClaimFinished carries the result of a FinishClaim action.
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
func (Stopped) onceEvent()            {}
func (Tick) onceEvent()               {}

// OnceAction is an output of a OnceMachine for the driver to carry out.
type OnceAction interface{ onceAction() }

// Claim chooses a backend server that is not in Exclude and claims the key for it.
// A claim is the replicated right to run the call once.
type Claim struct{ Exclude []string }

// Lookup reads the record of the key from the control replicas.
type Lookup struct{}

// DispatchClaim sends the call to the backend server named in the claim's record.
type DispatchClaim struct{ Record *wire.OnceRecord }

// QueryClaim asks the agent named in Record whether the claimed call has run.
type QueryClaim struct{ Record *wire.OnceRecord }

// FinishClaim records the outcome of the claim.
type FinishClaim struct{ Finish *wire.OnceFinish }

// AnswerCall sends the recorded response to the caller.
type AnswerCall struct {
	Answer  *wire.StoredAnswer
	Backend string
	// Replayed is set if the response was recorded by an earlier call.
	Replayed bool
}

// FailCall ends the call with an error.
type FailCall struct{ Err *fault.Error }

func (Claim) onceAction()         {}
func (Lookup) onceAction()        {}
func (DispatchClaim) onceAction() {}
func (QueryClaim) onceAction()    {}
func (FinishClaim) onceAction()   {}
func (AnswerCall) onceAction()    {}
func (FailCall) onceAction()      {}
func (WakeAt) onceAction()        {}
