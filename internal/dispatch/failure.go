package dispatch

import (
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/shutdown"
)

// resumeStream requests the missing part of a's stream from its agent. If the
// stream was already resumed maxStreamResumes times, it ends the attempt with
// StreamBroken and the text given by format and args.
func (m *Machine) resumeStream(a *attempt, format string, args ...any) {
	if a.resumes >= maxStreamResumes {
		m.endAttempt(a, fault.New(fault.StreamBroken, fault.Unknown, format, args...))
		return
	}
	a.resumes++
	m.emit(ResumeStream{Attempt: a.number, NextSequence: a.nextSequence})
}

func (m *Machine) failed(ev Failed) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state == ended || a.state == reportingCrash {
		return
	}
	if ev.Err.Kind == fault.LinkDown && ev.Err.Outcome != fault.NotRun && a.state == running && m.shouldResumeStream(a) {
		m.resumeStream(a, "%s", ev.Err.Text())
		return
	}
	if ev.Err.Kind == fault.BackendCrashed && ev.Err.Outcome != fault.NotRun {
		m.reportCrash(a)
		return
	}
	m.endAttempt(a, ev.Err)
}

// shouldResumeStream reports whether to resume a's stream after its link broke.
// If no chunk has arrived and the request may run twice, a new attempt elsewhere
// is better: it does not risk another timeout on the same agent.
func (m *Machine) shouldResumeStream(a *attempt) bool { return a.nextSequence > 1 || !m.req.Idempotent }

// reportCrash counts a crash against the request. Until the driver sends CrashCounted,
// the request is not retried and the caller gets no quarantine error: a request that
// crashes engines must not reach a third one by a retry or a resend.
func (m *Machine) reportCrash(a *attempt) {
	a.state = reportingCrash
	m.mayHaveRun = true
	m.crashes++
	m.emit(ReportCrash{Attempt: a.number, Backend: a.backend})
}

// QuarantineCrashes is the number of engine crashes after which all routers refuse
// a request.
const QuarantineCrashes = 2

func quarantineError() *fault.Error {
	return fault.New(fault.Quarantined, fault.Unknown, "this request is refused: it crashed the engines that ran it")
}

func (m *Machine) crashCounted(ev CrashCounted) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != reportingCrash {
		return
	}
	if ev.Quarantined || m.crashes >= QuarantineCrashes {
		m.finish(Fail{quarantineError()})
		return
	}
	m.endAttempt(a, fault.New(fault.BackendCrashed, fault.Unknown, "the engine at %s crashed", a.backend))
}

// endAttempt ends attempt a with err. If no other attempt is active, it retries
// the request or fails it.
func (m *Machine) endAttempt(a *attempt, err *fault.Error) {
	a.state = ended
	if err.Outcome != fault.NotRun {
		m.mayHaveRun = true
	}
	if m.hasActiveAttempts() {
		return
	}
	if !m.mayRetry(a, err) {
		m.finish(Fail{m.withRequestOutcome(err)})
		return
	}
	m.winner = nil
	if !m.headSent {
		m.buffer = nil
	}
	m.launch()
}

func (m *Machine) hasActiveAttempts() bool {
	for _, a := range m.attempts {
		if a.state != ended {
			return true
		}
	}
	return false
}

func (m *Machine) mayRetry(a *attempt, err *fault.Error) bool {
	if !err.Kind.Response().Retryable || len(m.attempts) >= MaxAttempts {
		return false
	}
	if err.Kind == fault.NoBackend {
		return false
	}
	if !m.req.Idempotent && m.mayHaveRun {
		return false
	}
	if m.headSent && !(m.req.Resumable && m.streaming) {
		return false
	}
	return m.budget.Withdraw(m.req.Account, a.backend)
}

// withRequestOutcome returns a copy of err with the outcome of the whole request,
// which is "not run" only if no attempt can have run.
func (m *Machine) withRequestOutcome(err *fault.Error) *fault.Error {
	out := *err
	if m.mayHaveRun && out.Outcome == fault.NotRun {
		out.Outcome = fault.Unknown
	}
	if !m.mayHaveRun && !m.hasActiveAttempts() {
		out.Outcome = fault.NotRun
	}
	return &out
}

func (m *Machine) tick(now time.Time) {
	if !now.Before(m.req.Deadline) {
		m.finishAtDeadline()
		return
	}
	for _, a := range m.attempts {
		if a.state == running && !a.hedgeAt.IsZero() && !now.Before(a.hedgeAt) {
			a.hedgeAt = time.Time{}
			m.hedge(a.backend)
			return
		}
	}
}

func (m *Machine) finishAtDeadline() {
	for _, a := range m.attempts {
		m.cancel(a)
	}
	m.finish(Fail{m.withRequestOutcome(fault.New(fault.DeadlineExceeded, fault.Unknown, "the deadline has passed"))})
}

// stopped ends the request because the router stops. An attempt that is being launched may have been sent.
func (m *Machine) stopped() {
	if m.mayHaveRun || m.hasActiveAttempts() {
		m.finish(Fail{shutdown.Unknown()})
		return
	}
	m.finish(Fail{shutdown.NotRun()})
}

func (m *Machine) suspected(ev Suspected) {
	for _, a := range m.attempts {
		if a.state == running && a.backend == ev.Backend {
			m.hedge(a.backend)
			return
		}
	}
}

// hedge starts a second attempt in parallel with the one on backend. It does nothing
// if a chunk has already arrived, if two attempts are active, if the request is not
// idempotent, or if no attempt or retry budget is left.
func (m *Machine) hedge(backend string) {
	if !m.req.Idempotent || m.winner != nil || m.activeAttempts() > 1 || len(m.attempts) >= MaxAttempts {
		return
	}
	if m.budget.Withdraw(m.req.Account, backend) {
		m.launch()
	}
}

func (m *Machine) activeAttempts() int {
	n := 0
	for _, a := range m.attempts {
		if a.state != ended {
			n++
		}
	}
	return n
}

// Parameters of HedgeDelay.
const (
	minHedgeDelay = 100 * time.Millisecond
	// hedgeFactor is the ratio of the hedge delay to the predicted time to the
	// first chunk.
	hedgeFactor = 3
)

// HedgeDelay returns how long to wait for the first chunk of an attempt before
// hedging it, given the predicted times for queueing and prefill.
func HedgeDelay(wait, prefill time.Duration) time.Duration {
	return max(hedgeFactor*(wait+prefill), minHedgeDelay)
}
