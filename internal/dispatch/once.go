package dispatch

import (
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/shutdown"
	"parsleypulley/internal/wire"
)

// Timings and limits of at-most-once calls.
const (
	// claimQueryDelay is how long a call waits for another call, which owns the
	// claim, to finish it before it queries the agent.
	claimQueryDelay = 500 * time.Millisecond
	// claimQueryInterval is the time between queries about one claim.
	claimQueryInterval = 200 * time.Millisecond
	// MaxStoredAnswerBytes is the maximum body size of a recorded response.
	MaxStoredAnswerBytes = 256 << 10
)

// OnceRequest describes an at-most-once call to a OnceMachine.
type OnceRequest struct {
	// Owner identifies this call among the calls of all routers.
	Owner    string
	Deadline time.Time
}

type onceState uint8

const (
	claiming onceState = iota
	dispatching
	// waiting means that another call owns the claim.
	waiting
	querying
	finishing
	onceDone
)

// OnceMachine is the state machine of one at-most-once call. It claims the
// idempotency key, dispatches the call, records the outcome and then responds to
// the caller. If the outcome is unknown, it queries the agent.
//
// Invariants: the caller receives "not run" only if the record of the key is
// NOT_RUN or no record exists for this request. It receives a response only once
// the record is DONE.
type OnceMachine struct {
	req    OnceRequest
	budget *Budget
	// account is the client account whose retry budget is used.
	account string
	state   onceState
	// record is the record of the claim that this call dispatches, waits for or
	// queries.
	record *wire.OnceRecord
	// pendingFinish is the last FinishClaim action's message.
	pendingFinish *wire.OnceFinish
	// exclude names the backend servers whose claims ended as not run.
	exclude []string
	// claimCount is the number of Claim actions so far.
	claimCount int
	// cause is why the dispatch failed. The caller receives it if the call turns
	// out not to have run.
	cause *fault.Error
	// nextQueryAt is when the next QueryClaim or Lookup is due, or zero.
	nextQueryAt time.Time
	actions     []OnceAction
}

// NewOnce returns the state machine of one call of account.
func NewOnce(req OnceRequest, account string, budget *Budget) *OnceMachine {
	return &OnceMachine{req: req, account: account, budget: budget}
}

// Start returns the first actions. The driver must send a Tick at the deadline.
func (m *OnceMachine) Start() []OnceAction {
	m.budget.CreditAccount(m.account)
	m.claim()
	return m.takeActions()
}

// Done reports whether the call has ended.
func (m *OnceMachine) Done() bool { return m.state == onceDone }

// Step applies one event and returns the resulting actions.
func (m *OnceMachine) Step(now time.Time, ev OnceEvent) []OnceAction {
	if m.state == onceDone {
		return nil
	}
	switch ev := ev.(type) {
	case Claimed:
		m.claimed(now, ev)
	case NoBackend:
		m.noBackend(now, ev)
	case AnswerReceived:
		m.answerReceived(ev)
	case DispatchFailed:
		m.dispatchFailed(ev)
	case ClaimQueried:
		m.claimQueried(now, ev)
	case IncarnationEnded:
		m.incarnationEnded()
	case ClaimFinished:
		m.claimFinished(now, ev)
	case CallerDisconnected:
		// The call continues so that its response is recorded for a resend.
	case Stopped:
		// The call or an earlier one with the key may run. A resend learns the outcome.
		m.fail(shutdown.Unknown())
	case Tick:
		m.tick(now)
	}
	return m.takeActions()
}

func (m *OnceMachine) emit(a OnceAction) { m.actions = append(m.actions, a) }

func (m *OnceMachine) takeActions() []OnceAction {
	out := m.actions
	m.actions = nil
	return out
}

func (m *OnceMachine) claim() {
	if m.claimCount >= MaxAttempts {
		m.fail(fault.New(fault.IdempotencyKeyInProgress, fault.Unknown, "calls with this key keep ending and starting; send it again later"))
		return
	}
	m.state = claiming
	m.claimCount++
	m.emit(Claim{Exclude: m.exclude})
}

func (m *OnceMachine) claimed(now time.Time, ev Claimed) {
	if m.state != claiming && m.state != waiting {
		return
	}
	if ev.Err != nil {
		m.claimFailed(now, ev.Err)
		return
	}
	record := ev.Result.GetRecord()
	switch ev.Result.GetStatus() {
	case wire.OnceResult_STATUS_GRANTED:
		m.dispatch(record)
	case wire.OnceResult_STATUS_EXISTS:
		m.handleExistingRecord(now, record)
	case wire.OnceResult_STATUS_MISMATCH:
		m.fail(fault.New(fault.IdempotencyKeyReused, fault.NotRun, "the idempotency key was used with another request"))
	case wire.OnceResult_STATUS_FULL:
		m.fail(fault.New(fault.AccountLimit, fault.NotRun, "too many at-most-once records are kept for this account"))
	case wire.OnceResult_STATUS_REFUSED:
		m.fail(fault.New(fault.BadRequest, fault.NotRun, "the idempotency key is empty or too long"))
	default:
		m.fail(fault.New(fault.Internal, fault.Unknown, "claim answered with status %s", ev.Result.GetStatus()))
	}
}

// noBackend fails the call if no backend server can take it, unless an earlier
// call has left a record that decides the outcome.
func (m *OnceMachine) noBackend(now time.Time, ev NoBackend) {
	if m.state != claiming {
		return
	}
	if ev.Record == nil || ev.Record.State == wire.OnceRecord_STATE_NOT_RUN {
		out := *ev.Err
		out.Outcome = fault.NotRun
		m.fail(&out)
		return
	}
	m.handleExistingRecord(now, ev.Record)
}

// claimFailed handles an error from the control replicas. A waiting call tries
// again later; any other fails. The outcome is unknown: this call was not
// dispatched, but an earlier one with the same key may have been.
func (m *OnceMachine) claimFailed(now time.Time, err *fault.Error) {
	if m.state == waiting {
		m.wakeAfter(now, claimQueryInterval)
		return
	}
	out := *err
	out.Outcome = fault.Unknown
	m.fail(&out)
}

func (m *OnceMachine) dispatch(record *wire.OnceRecord) {
	m.state = dispatching
	m.record = record
	m.budget.CreditBackend(record.GetBackend())
	m.emit(DispatchClaim{record})
}

// handleExistingRecord handles a record made by an earlier call, or by this call
// through a proposal whose reply was lost.
func (m *OnceMachine) handleExistingRecord(now time.Time, record *wire.OnceRecord) {
	switch record.GetState() {
	case wire.OnceRecord_STATE_DONE:
		m.answer(record, true)
	case wire.OnceRecord_STATE_UNKNOWN:
		m.fail(unknownOutcomeError())
	case wire.OnceRecord_STATE_NOT_RUN:
		m.claim()
	default:
		m.handleClaimedRecord(now, record)
	}
}

func (m *OnceMachine) handleClaimedRecord(now time.Time, record *wire.OnceRecord) {
	if record.GetRouter() == m.req.Owner {
		m.dispatch(record)
		return
	}
	// Another call owns the claim: give it claimQueryDelay to finish, then query
	// the agent.
	first := m.state != waiting
	m.state = waiting
	m.record = record
	if first {
		m.wakeAfter(now, claimQueryDelay)
		return
	}
	m.queryClaim()
}

func (m *OnceMachine) wakeAfter(now time.Time, d time.Duration) {
	m.nextQueryAt = now.Add(d)
	m.emit(WakeAt{m.nextQueryAt})
}

func (m *OnceMachine) queryClaim() {
	m.state = querying
	m.emit(QueryClaim{m.record})
}

func (m *OnceMachine) answerReceived(ev AnswerReceived) {
	if m.state != dispatching {
		return
	}
	m.finishWith(wire.OnceRecord_STATE_DONE, ev.Answer)
}

func (m *OnceMachine) dispatchFailed(ev DispatchFailed) {
	if m.state != dispatching {
		return
	}
	m.cause = ev.Err
	if ev.Err.Outcome == fault.NotRun {
		m.finishWith(wire.OnceRecord_STATE_NOT_RUN, nil)
		return
	}
	if ev.Err.Kind == fault.OutcomeUnknown { // the agent stops and won't know more
		m.finishWith(wire.OnceRecord_STATE_UNKNOWN, nil)
		return
	}
	m.queryClaim()
}

func (m *OnceMachine) claimQueried(now time.Time, ev ClaimQueried) {
	if m.state != querying {
		return
	}
	if ev.Err != nil {
		m.wakeAfter(now, claimQueryInterval)
		return
	}
	switch ev.Fate.GetFate() {
	case wire.ClaimFate_FATE_NEVER_RUN:
		m.finishWith(wire.OnceRecord_STATE_NOT_RUN, nil)
	case wire.ClaimFate_FATE_DONE:
		m.finishWith(wire.OnceRecord_STATE_DONE, ev.Fate.GetAnswer())
	case wire.ClaimFate_FATE_RUNNING:
		m.wakeAfter(now, claimQueryInterval)
	default:
		m.finishWith(wire.OnceRecord_STATE_UNKNOWN, nil)
	}
}

func (m *OnceMachine) incarnationEnded() {
	switch m.state {
	case dispatching, waiting, querying:
		m.finishWith(wire.OnceRecord_STATE_UNKNOWN, nil)
	}
}

func (m *OnceMachine) finishWith(state wire.OnceRecord_State, answer *wire.StoredAnswer) {
	m.state = finishing
	m.pendingFinish = &wire.OnceFinish{Id: m.record.GetId(), State: state, Answer: answer}
	m.emit(FinishClaim{m.pendingFinish})
}

func (m *OnceMachine) claimFinished(now time.Time, ev ClaimFinished) {
	if m.state != finishing {
		return
	}
	if ev.Err != nil {
		// A response that is not recorded must not reach the caller. The driver
		// retried until the deadline, or the proposal was rejected permanently.
		m.fail(m.unrecordedError(ev.Err))
		return
	}
	record := ev.Result.GetRecord()
	switch record.GetState() {
	case wire.OnceRecord_STATE_DONE:
		m.answer(record, ev.Result.GetStatus() == wire.OnceResult_STATUS_STALE)
	case wire.OnceRecord_STATE_NOT_RUN:
		m.retryOrFail(record)
	case wire.OnceRecord_STATE_CLAIMED:
		// Another call claimed the key after this claim ended.
		m.handleClaimedRecord(now, record)
	default:
		m.fail(unknownOutcomeError())
	}
}

// retryOrFail handles a claim that ended as not run: it claims the key again for
// another backend server, or fails the call.
func (m *OnceMachine) retryOrFail(record *wire.OnceRecord) {
	m.exclude = append(m.exclude, record.GetBackend())
	retryable := m.cause == nil || m.cause.Kind.Response().Retryable
	if retryable && m.claimCount < MaxAttempts && m.budget.Withdraw(m.account, record.GetBackend()) {
		m.claim()
		return
	}
	cause := m.cause
	if cause == nil {
		cause = fault.New(fault.Unavailable, fault.NotRun, "the call was not started")
	}
	out := *cause
	out.Outcome = fault.NotRun
	m.fail(&out)
}

func (m *OnceMachine) unrecordedError(err *fault.Error) *fault.Error {
	outcome := fault.Unknown
	if m.pendingFinish.GetState() == wire.OnceRecord_STATE_DONE {
		outcome = fault.Ran
	}
	return fault.New(fault.OutcomeUnknown, outcome, "the outcome could not be recorded; send the call again with the same key: %s", err.Text())
}

func unknownOutcomeError() *fault.Error {
	return fault.New(fault.OutcomeUnknown, fault.Unknown, "the backend server was lost while the call may have run; it will not be run again")
}

func (m *OnceMachine) answer(record *wire.OnceRecord, replayed bool) {
	m.state = onceDone
	m.emit(AnswerCall{Answer: record.GetAnswer(), Backend: record.GetBackend(), Replayed: replayed})
}

func (m *OnceMachine) fail(err *fault.Error) {
	m.state = onceDone
	m.emit(FailCall{err})
}

func (m *OnceMachine) tick(now time.Time) {
	if !now.Before(m.req.Deadline) {
		m.finishAtDeadline()
		return
	}
	if m.nextQueryAt.IsZero() || now.Before(m.nextQueryAt) {
		return
	}
	m.nextQueryAt = time.Time{}
	switch m.state {
	case waiting:
		m.emit(Lookup{})
	case querying:
		m.emit(QueryClaim{m.record})
	}
}

// finishAtDeadline fails the call with an unknown outcome. The caller can learn the
// outcome by sending the call again with the same key.
func (m *OnceMachine) finishAtDeadline() {
	switch m.state {
	case waiting:
		m.fail(fault.New(fault.IdempotencyKeyInProgress, fault.Unknown, "an earlier call with this key is still in progress"))
	default:
		m.fail(fault.New(fault.DeadlineExceeded, fault.Unknown, "the deadline passed; send the call again with the same key to learn its outcome"))
	}
}
