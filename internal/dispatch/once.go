package dispatch

import (
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Timings of at-most-once calls.
const (
	// inquiryDelay is the time that the owner of a claim is left alone before
	// another router asks the agent about it.
	inquiryDelay = 500 * time.Millisecond
	// inquiryInterval separates questions about a claim.
	inquiryInterval = 200 * time.Millisecond
	// MaxStoredAnswerBytes bounds a recorded answer.
	MaxStoredAnswerBytes = 256 << 10
)

// OnceRequest is what the once machine needs to know of a call.
type OnceRequest struct {
	// Owner names this call at this router; no two calls share one.
	Owner    string
	Deadline time.Time
}

type onceState uint8

const (
	claiming onceState = iota
	dispatching
	// waiting: another call owns the claim.
	waiting
	inquiring
	finishing
	onceDone
)

// OnceMachine decides one at-most-once call: claim, dispatch, record, answer;
// and inquiry where the outcome is in doubt.
//
// Invariant: the caller hears "not run" only after the record says NOT_RUN or
// proves that there is none for this request, and hears an answer only after
// the record says DONE.
type OnceMachine struct {
	req    OnceRequest
	budget *Budget
	// account draws on the retry budget.
	account string
	state   onceState
	record  *wire.OnceRecord
	pending *wire.OnceFinish
	exclude []string
	claims  int
	// cause is the error that is told when the claim is proved not to have run.
	cause *fault.Error
	// nextAt is when the next question or lookup is due.
	nextAt  time.Time
	actions []OnceAction
}

// NewOnce returns the machine of one call of account.
func NewOnce(req OnceRequest, account string, budget *Budget) *OnceMachine {
	return &OnceMachine{req: req, account: account, budget: budget}
}

// Start returns the first actions. The driver sends a Tick at the deadline.
func (m *OnceMachine) Start() []OnceAction {
	m.budget.CreditAccount(m.account)
	m.claim()
	return m.take()
}

// Done reports whether the call has its final answer.
func (m *OnceMachine) Done() bool { return m.state == onceDone }

// Step applies one event.
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
		m.answered(ev)
	case DispatchFailed:
		m.dispatchFailed(ev)
	case ClaimQueried:
		m.fateKnown(now, ev)
	case IncarnationEnded:
		m.lifeOver()
	case ClaimFinished:
		m.finished(now, ev)
	case CallerDisconnected:
		// The call goes on: its answer has to be recorded for a resend.
	case Tick:
		m.tick(now)
	}
	return m.take()
}

func (m *OnceMachine) do(a OnceAction) { m.actions = append(m.actions, a) }

func (m *OnceMachine) take() []OnceAction {
	out := m.actions
	m.actions = nil
	return out
}

func (m *OnceMachine) claim() {
	if m.claims >= MaxAttempts {
		m.fail(fault.New(fault.InProgress, fault.Unknown, "calls with this key keep ending and starting; send it again later"))
		return
	}
	m.state = claiming
	m.claims++
	m.do(Claim{Exclude: m.exclude})
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
		m.exists(now, record)
	case wire.OnceResult_STATUS_MISMATCH:
		m.fail(fault.New(fault.KeyReused, fault.NotRun, "the idempotency key was used with another request"))
	case wire.OnceResult_STATUS_FULL:
		m.fail(fault.New(fault.AccountLimit, fault.NotRun, "too many at-most-once records are kept for this account"))
	case wire.OnceResult_STATUS_REFUSED:
		m.fail(fault.New(fault.BadRequest, fault.NotRun, "the idempotency key is empty or too long"))
	default:
		m.fail(fault.New(fault.Internal, fault.Unknown, "claim answered with status %s", ev.Result.GetStatus()))
	}
}

// noBackend ends the call when nothing can take it; what the record says of an
// earlier call goes first.
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
	m.exists(now, ev.Record)
}

// claimFailed ends the call when the record can't be reached. This call was not
// dispatched, but an earlier one with the same key may have been.
func (m *OnceMachine) claimFailed(now time.Time, err *fault.Error) {
	if m.state == waiting {
		m.wakeLater(now, inquiryInterval)
		return
	}
	out := *err
	out.Outcome = fault.Unknown
	m.fail(&out)
}

func (m *OnceMachine) dispatch(record *wire.OnceRecord) {
	m.state = dispatching
	m.record = record
	m.do(DispatchClaim{record})
}

// exists handles a record made by an earlier call, or by this one through a
// proposal whose answer was lost.
func (m *OnceMachine) exists(now time.Time, record *wire.OnceRecord) {
	switch record.GetState() {
	case wire.OnceRecord_STATE_DONE:
		m.answer(record, true)
	case wire.OnceRecord_STATE_UNKNOWN:
		m.fail(unknownOutcome())
	case wire.OnceRecord_STATE_NOT_RUN:
		m.claim()
	default:
		m.existsClaimed(now, record)
	}
}

func (m *OnceMachine) existsClaimed(now time.Time, record *wire.OnceRecord) {
	if record.GetRouter() == m.req.Owner {
		m.dispatch(record)
		return
	}
	first := m.state != waiting
	m.state = waiting
	m.record = record
	if first {
		m.wakeLater(now, inquiryDelay)
		return
	}
	m.inquire()
}

func (m *OnceMachine) wakeLater(now time.Time, d time.Duration) {
	m.nextAt = now.Add(d)
	m.do(WakeAt{m.nextAt})
}

func (m *OnceMachine) inquire() {
	m.state = inquiring
	m.do(QueryClaim{m.record})
}

func (m *OnceMachine) answered(ev AnswerReceived) {
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
	m.inquire()
}

func (m *OnceMachine) fateKnown(now time.Time, ev ClaimQueried) {
	if m.state != inquiring {
		return
	}
	if ev.Err != nil {
		m.wakeLater(now, inquiryInterval)
		return
	}
	switch ev.Fate.GetFate() {
	case wire.ClaimFate_FATE_NEVER_RUN:
		m.finishWith(wire.OnceRecord_STATE_NOT_RUN, nil)
	case wire.ClaimFate_FATE_DONE:
		m.finishWith(wire.OnceRecord_STATE_DONE, ev.Fate.GetAnswer())
	case wire.ClaimFate_FATE_RUNNING:
		m.wakeLater(now, inquiryInterval)
	default:
		m.finishWith(wire.OnceRecord_STATE_UNKNOWN, nil)
	}
}

func (m *OnceMachine) lifeOver() {
	switch m.state {
	case dispatching, waiting, inquiring:
		m.finishWith(wire.OnceRecord_STATE_UNKNOWN, nil)
	}
}

func (m *OnceMachine) finishWith(state wire.OnceRecord_State, answer *wire.StoredAnswer) {
	m.state = finishing
	m.pending = &wire.OnceFinish{Id: m.record.GetId(), State: state, Answer: answer}
	m.do(FinishClaim{m.pending})
}

func (m *OnceMachine) finished(now time.Time, ev ClaimFinished) {
	if m.state != finishing {
		return
	}
	if ev.Err != nil {
		// Unrecorded: the answer may not be given. The driver asked until the
		// deadline, or the proposal was refused for good.
		m.fail(m.unrecorded(ev.Err))
		return
	}
	record := ev.Result.GetRecord()
	switch record.GetState() {
	case wire.OnceRecord_STATE_DONE:
		m.answer(record, ev.Result.GetStatus() == wire.OnceResult_STATUS_STALE)
	case wire.OnceRecord_STATE_NOT_RUN:
		m.notRun(record)
	case wire.OnceRecord_STATE_CLAIMED:
		// The key was claimed anew by another call after this claim ended.
		m.existsClaimed(now, record)
	default:
		m.fail(unknownOutcome())
	}
}

// notRun tries another backend server, or tells the caller.
func (m *OnceMachine) notRun(record *wire.OnceRecord) {
	m.exclude = append(m.exclude, record.GetBackend())
	retryable := m.cause == nil || m.cause.Kind.Answer().Retryable
	if retryable && m.claims < MaxAttempts && m.budget.Withdraw(m.account, record.GetBackend()) {
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

func (m *OnceMachine) unrecorded(err *fault.Error) *fault.Error {
	outcome := fault.Unknown
	if m.pending.GetState() == wire.OnceRecord_STATE_DONE {
		outcome = fault.Ran
	}
	return fault.New(fault.OutcomeUnknown, outcome, "the outcome could not be recorded; send the call again with the same key: %s", err.Text())
}

func unknownOutcome() *fault.Error {
	return fault.New(fault.OutcomeUnknown, fault.Unknown, "the backend server was lost while the call may have run; it will not be run again")
}

func (m *OnceMachine) answer(record *wire.OnceRecord, replayed bool) {
	m.state = onceDone
	m.do(AnswerCall{Answer: record.GetAnswer(), Backend: record.GetBackend(), Replayed: replayed})
}

func (m *OnceMachine) fail(err *fault.Error) {
	m.state = onceDone
	m.do(FailCall{err})
}

func (m *OnceMachine) tick(now time.Time) {
	if !now.Before(m.req.Deadline) {
		m.atDeadline()
		return
	}
	if m.nextAt.IsZero() || now.Before(m.nextAt) {
		return
	}
	m.nextAt = time.Time{}
	switch m.state {
	case waiting:
		m.do(Lookup{})
	case inquiring:
		m.do(QueryClaim{m.record})
	}
}

// atDeadline tells a waiting caller that the outcome is in doubt until a resend
// learns more.
func (m *OnceMachine) atDeadline() {
	switch m.state {
	case waiting:
		m.fail(fault.New(fault.InProgress, fault.Unknown, "an earlier call with this key is still in progress"))
	default:
		m.fail(fault.New(fault.DeadlineExceeded, fault.Unknown, "the deadline passed; send the call again with the same key to learn its outcome"))
	}
}
