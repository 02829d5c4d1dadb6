// Package dispatch decides the attempts of one request: launch, retry, hedge,
// resume, cancel and the final answer.
//
// Machine and OnceMachine are deterministic: they take events and the time and
// return actions. The router binds them to links and to the caller.
package dispatch

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
)

// Limits of one request.
const (
	// MaxAttempts bounds the attempts at one request, hedges included.
	MaxAttempts = 4
	// maxLinkResumes bounds how often one attempt's stream is taken up again
	// after its link broke.
	maxLinkResumes = 3
	// MaxBufferedBytes bounds the body that is held back until it is whole.
	// A longer body is forwarded as it comes, and the request can't be retried
	// from then on.
	MaxBufferedBytes = 4 << 20
)

// Request is what the machine needs to know of a request.
type Request struct {
	Account string
	// Idempotent requests may be retried after they have begun.
	Idempotent bool
	// Stream requests forward chunks as they come; others are buffered until whole.
	Stream bool
	// Resumable requests can go on at another backend server from a token offset.
	Resumable bool
	Deadline  time.Time
}

type attemptState uint8

const (
	launching attemptState = iota
	running
	// counting: the engine crashed; the report is under way.
	counting
	over
)

type attempt struct {
	number  uint32
	state   attemptState
	backend string
	head    *Head
	// next is the number of the chunk that is due.
	next    uint64
	resumes int
	hedgeAt time.Time
}

// Machine decides the attempts of one request.
type Machine struct {
	req      Request
	budget   *Budget
	attempts []*attempt
	exclude  []string
	// winner is the attempt whose chunks are forwarded; nil before the first.
	winner   *attempt
	headSent bool
	buffer   []byte
	// tokens counts the output tokens delivered.
	tokens  uint64
	weights string
	crashes int
	// mayHaveRun is set once an attempt's outcome was not "not run".
	mayHaveRun bool
	done       bool
	actions    []Action
	// StrayChunks counts chunks that were dropped because they belonged to no
	// attempt in use, or had been delivered.
	StrayChunks int
}

// New returns the machine of one request. Retries draw on budget.
func New(req Request, budget *Budget) *Machine {
	return &Machine{req: req, budget: budget}
}

// Start returns the first actions. The driver sends a Tick at the deadline.
func (m *Machine) Start() []Action {
	m.budget.CreditAccount(m.req.Account)
	m.launch()
	return m.take()
}

// Done reports whether the request has its final answer.
func (m *Machine) Done() bool { return m.done }

// Step applies one event.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.done {
		m.countStray(ev)
		return nil
	}
	switch ev := ev.(type) {
	case Launched:
		m.launched(now, ev)
	case HeadReceived:
		m.gotHead(ev)
	case ChunkReceived:
		m.gotChunk(ev)
	case EndReceived:
		m.gotEnd(ev)
	case Failed:
		m.failed(ev)
	case CrashCounted:
		m.crashCounted(ev)
	case Suspected:
		m.suspected(ev)
	case CallerDisconnected:
		m.finish(Fail{m.outcome(fault.New(fault.Cancelled, fault.Unknown, "the caller is gone"))})
	case Tick:
		m.tick(now)
	}
	return m.take()
}

func (m *Machine) countStray(ev Event) {
	if _, ok := ev.(ChunkReceived); ok {
		m.StrayChunks++
	}
}

func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) take() []Action {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) attempt(number uint32) *attempt {
	if number == 0 || int(number) > len(m.attempts) {
		return nil
	}
	return m.attempts[number-1]
}

func (m *Machine) launch() {
	a := &attempt{number: uint32(len(m.attempts) + 1), next: 1}
	m.attempts = append(m.attempts, a)
	m.do(Launch{
		Attempt:        a.number,
		ResumeOffset:   m.tokens,
		WeightsVersion: m.weights,
		Exclude:        slices.Clone(m.exclude),
		Suspect:        m.crashes > 0,
	})
}

func (m *Machine) launched(now time.Time, ev Launched) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != launching {
		return
	}
	a.state = running
	a.backend = ev.Backend
	m.exclude = append(m.exclude, ev.Backend)
	if ev.HedgeAfter > 0 && m.req.Idempotent && m.winner == nil {
		a.hedgeAt = now.Add(ev.HedgeAfter)
		m.do(WakeAt{a.hedgeAt})
	}
	if m.weights == "" {
		m.weights = ev.WeightsVersion
	}
}

func (m *Machine) gotHead(ev HeadReceived) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != running || a.head != nil {
		return
	}
	a.head = &ev.Head
}

func (m *Machine) gotChunk(ev ChunkReceived) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != running || ev.Sequence < a.next || (m.winner != nil && m.winner != a) {
		m.StrayChunks++
		return
	}
	if ev.Sequence > a.next || a.head == nil {
		m.relink(a, "chunk %d came where %d was due", ev.Sequence, a.next)
		return
	}
	m.choose(a)
	a.next++
	m.forward(a, ev)
}

// choose makes a the attempt whose answer is used and cancels the others.
func (m *Machine) choose(a *attempt) {
	if m.winner == a {
		return
	}
	m.winner = a
	for _, other := range m.attempts {
		if other != a {
			m.cancel(other)
		}
	}
}

func (m *Machine) cancel(a *attempt) {
	if a.state == over {
		return
	}
	a.state = over
	m.mayHaveRun = true
	m.do(Cancel{a.number})
}

func (m *Machine) forward(a *attempt, ev ChunkReceived) {
	if !m.req.Stream && !m.headSent {
		m.buffer = append(m.buffer, ev.Data...)
		if len(m.buffer) <= MaxBufferedBytes {
			return
		}
		m.sendHead(a, -1)
		m.do(SendChunk{m.buffer})
		m.buffer = nil
		return
	}
	m.sendHead(a, -1)
	m.tokens = max(m.tokens, ev.Tokens)
	m.do(SendChunk{ev.Data})
}

func (m *Machine) sendHead(a *attempt, length int64) {
	if m.headSent {
		return
	}
	m.headSent = true
	m.do(SendHead{Head: *a.head, Backend: a.backend, ContentLength: length})
}

func (m *Machine) gotEnd(ev EndReceived) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != running || (m.winner != nil && m.winner != a) {
		return
	}
	if ev.Chunks != a.next-1 || a.head == nil {
		m.relink(a, "the answer ended at chunk %d where %d was due", ev.Chunks, a.next)
		return
	}
	m.choose(a)
	a.state = over
	if m.req.Stream {
		m.sendHead(a, -1)
	} else if !m.headSent {
		m.sendHead(a, int64(len(m.buffer)))
		m.do(SendChunk{m.buffer})
	}
	if m.crashes > 0 {
		m.do(ClearCrash{})
	}
	m.finish(Complete{})
}

func (m *Machine) finish(last Action) {
	m.done = true
	for _, a := range m.attempts {
		m.cancel(a)
	}
	m.do(last)
}
