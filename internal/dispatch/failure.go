package dispatch

import (
	"time"

	"parsleypulley/internal/fault"
)

// relink asks the agent again for what is missing of a's stream, or gives the
// attempt up.
func (m *Machine) relink(a *attempt, format string, args ...any) {
	if a.resumes >= maxLinkResumes {
		m.lost(a, fault.New(fault.StreamBroken, fault.Unknown, format, args...))
		return
	}
	a.resumes++
	m.do(ResumeStream{Attempt: a.number, NextSequence: a.next})
}

func (m *Machine) failed(ev Failed) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state == over || a.state == counting {
		return
	}
	if ev.Err.Kind == fault.LinkDown && ev.Err.Outcome != fault.NotRun && a.state == running && m.worthRelinking(a) {
		m.relink(a, "%s", ev.Err.Text())
		return
	}
	if ev.Err.Kind == fault.BackendCrashed && ev.Err.Outcome != fault.NotRun {
		m.crashed(a)
		return
	}
	m.lost(a, ev.Err)
}

// worthRelinking reports whether a's agent is to be asked again after its link
// broke. An answer of which nothing has come is as well started elsewhere, where
// no second silence has to be waited for, if the request may run twice.
func (m *Machine) worthRelinking(a *attempt) bool { return a.next > 1 || !m.req.Idempotent }

// crashed counts the crash before anything else may run, and before the caller
// hears of a quarantine: a request that crashes engines must not reach a third
// one, neither by a retry nor by a resend.
func (m *Machine) crashed(a *attempt) {
	a.state = counting
	m.mayHaveRun = true
	m.crashes++
	m.do(ReportCrash{Attempt: a.number, Backend: a.backend})
}

// QuarantineCrashes is the number of engine crashes after which a request is
// refused everywhere.
const QuarantineCrashes = 2

func quarantineError() *fault.Error {
	return fault.New(fault.Quarantined, fault.Unknown, "this request is refused: it crashed the engines that ran it")
}

func (m *Machine) crashCounted(ev CrashCounted) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != counting {
		return
	}
	if ev.Quarantined || m.crashes >= QuarantineCrashes {
		m.finish(Fail{quarantineError()})
		return
	}
	m.lost(a, fault.New(fault.BackendCrashed, fault.Unknown, "the engine at %s crashed", a.backend))
}

// lost ends attempt a with err and decides what follows.
func (m *Machine) lost(a *attempt, err *fault.Error) {
	a.state = over
	if err.Outcome != fault.NotRun {
		m.mayHaveRun = true
	}
	if m.othersRun() {
		return
	}
	if !m.mayRetry(a, err) {
		m.finish(Fail{m.outcome(err)})
		return
	}
	m.winner = nil
	if !m.headSent {
		m.buffer = nil
	}
	m.launch()
}

func (m *Machine) othersRun() bool {
	for _, a := range m.attempts {
		if a.state != over {
			return true
		}
	}
	return false
}

func (m *Machine) mayRetry(a *attempt, err *fault.Error) bool {
	if !err.Kind.Answer().Retryable || len(m.attempts) >= MaxAttempts {
		return false
	}
	if err.Kind == fault.NoBackend {
		return false
	}
	if !m.req.Idempotent && m.mayHaveRun {
		return false
	}
	if m.headSent && !m.req.Resumable {
		return false
	}
	return m.budget.Withdraw(m.req.Account, a.backend)
}

// outcome returns err with the outcome of the whole request: "not run" only
// when that holds for every attempt.
func (m *Machine) outcome(err *fault.Error) *fault.Error {
	out := *err
	if m.mayHaveRun && out.Outcome == fault.NotRun {
		out.Outcome = fault.Unknown
	}
	if !m.mayHaveRun && !m.othersRun() {
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
	m.finish(Fail{m.outcome(fault.New(fault.DeadlineExceeded, fault.Unknown, "the deadline has passed"))})
}

func (m *Machine) suspected(ev Suspected) {
	for _, a := range m.attempts {
		if a.state == running && a.backend == ev.Backend {
			m.hedge(a.backend)
			return
		}
	}
}

// hedge starts a second attempt next to one that has sent nothing yet.
func (m *Machine) hedge(backend string) {
	if !m.req.Idempotent || m.winner != nil || m.aliveAttempts() > 1 || len(m.attempts) >= MaxAttempts {
		return
	}
	if m.budget.Withdraw(m.req.Account, backend) {
		m.launch()
	}
}

func (m *Machine) aliveAttempts() int {
	n := 0
	for _, a := range m.attempts {
		if a.state != over {
			n++
		}
	}
	return n
}

// Bounds of the time without a first chunk after which a hedge is launched.
const (
	minHedgeDelay = 100 * time.Millisecond
	// hedgeFactor multiplies the predicted time to the first chunk.
	hedgeFactor = 3
)

// HedgeDelay returns the time after which an attempt without a first chunk is
// late, from its predicted wait and prefill.
func HedgeDelay(wait, prefill time.Duration) time.Duration {
	return max(hedgeFactor*(wait+prefill), minHedgeDelay)
}
