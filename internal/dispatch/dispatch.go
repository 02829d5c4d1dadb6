// Package dispatch decides how a request is attempted on backend servers: when to
// launch, retry, hedge, resume and cancel attempts, and what the caller receives.
//
// Machine and OnceMachine are deterministic state machines. They take events and
// the current time and return actions. The router is their driver: it carries out
// the actions and reports events from links and from the caller.
package dispatch

import (
	"slices"
	"time"

	"parsleypulley/internal/fault"
)

// Limits of one request.
const (
	// MaxAttempts is the maximum number of attempts per request, including hedges,
	// and the maximum number of claims per at-most-once call.
	MaxAttempts = 4
	// maxStreamResumes is how often the stream of one attempt may be resumed
	// after its link broke.
	maxStreamResumes = 3
	// MaxBufferedBytes is the maximum size of a body that is buffered until it
	// is complete. A longer body is forwarded as it arrives, and the request
	// can't be retried from then on.
	MaxBufferedBytes = 4 << 20
)

// Request describes a request to a Machine.
type Request struct {
	Account string
	// Idempotent requests may be retried after they may have run.
	Idempotent bool
	// Stream is set if chunks are forwarded as they arrive. Otherwise the
	// response is buffered until it is complete.
	Stream bool
	// Resumable requests can continue on another backend server from a token
	// offset.
	Resumable bool
	Deadline  time.Time
}

type attemptState uint8

const (
	launching attemptState = iota
	running
	// reportingCrash means that the engine crashed and the crash report is in
	// progress.
	reportingCrash
	ended
)

type attempt struct {
	number  uint32
	state   attemptState
	backend string
	head    *Head
	// softwareVersion is the version of the backend server's software.
	softwareVersion string
	// nextSequence is the sequence number of the next expected chunk.
	nextSequence uint64
	// resumes is how often the stream was resumed.
	resumes int
	// hedgeAt is when a hedge attempt starts, or zero if none is planned.
	hedgeAt time.Time
}

// Machine is the state machine of one request.
type Machine struct {
	req      Request
	budget   *Budget
	attempts []*attempt
	// exclude names the backend servers already used.
	exclude []string
	// winner is the attempt whose response is used. It is nil until an attempt
	// delivers its first chunk or its end.
	winner *attempt
	// headSent is set once the head of the response was sent to the caller, and streaming if that
	// was the head of an event stream.
	headSent, streaming bool
	// buffer holds the body of a buffered response so far.
	buffer []byte
	// tokens is the number of output tokens sent to the caller.
	tokens uint64
	// weightsVersion is the weights version of the first launched attempt.
	weightsVersion string
	// softwareVersion is that of the backend server whose head was sent to the caller.
	softwareVersion string
	// crashes counts the engine crashes during the request's attempts.
	crashes int
	// mayHaveRun is set once an attempt may have run: it was cancelled, its engine
	// crashed, or it failed with another outcome than fault.NotRun.
	mayHaveRun bool
	done       bool
	actions    []Action
	// StrayChunks counts the dropped chunks: duplicates, chunks of attempts that
	// have ended or lost to the winner, and chunks after the end of the request.
	StrayChunks int
}

// New returns the state machine of one request. Retries are taken from budget.
func New(req Request, budget *Budget) *Machine {
	return &Machine{req: req, budget: budget}
}

// Start returns the first actions. The driver must send a Tick at the deadline.
func (m *Machine) Start() []Action {
	m.budget.CreditAccount(m.req.Account)
	m.launch()
	return m.takeActions()
}

// Done reports whether the request has ended.
func (m *Machine) Done() bool { return m.done }

// Step applies one event and returns the resulting actions.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.done {
		m.countStrayChunk(ev)
		return nil
	}
	switch ev := ev.(type) {
	case Launched:
		m.launched(now, ev)
	case HeadReceived:
		m.headReceived(ev)
	case ChunkReceived:
		m.chunkReceived(ev)
	case EndReceived:
		m.endReceived(ev)
	case Failed:
		m.failed(ev)
	case CrashCounted:
		m.crashCounted(ev)
	case Suspected:
		m.suspected(ev)
	case CallerDisconnected:
		m.finish(Fail{m.withRequestOutcome(fault.New(fault.Cancelled, fault.Unknown, "the caller is gone"))})
	case Stopped:
		m.stopped()
	case Tick:
		m.tick(now)
	}
	return m.takeActions()
}

func (m *Machine) countStrayChunk(ev Event) {
	if _, ok := ev.(ChunkReceived); ok {
		m.StrayChunks++
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) takeActions() []Action {
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
	a := &attempt{number: uint32(len(m.attempts) + 1), nextSequence: 1}
	m.attempts = append(m.attempts, a)
	m.emit(Launch{
		Attempt:         a.number,
		ResumeOffset:    m.tokens,
		WeightsVersion:  m.weightsVersion,
		SoftwareVersion: m.softwareVersion,
		BoundToSoftware: m.headSent,
		Exclude:         slices.Clone(m.exclude),
		Suspect:         m.crashes > 0,
	})
}

func (m *Machine) launched(now time.Time, ev Launched) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != launching {
		return
	}
	a.state = running
	a.backend, a.softwareVersion = ev.Backend, ev.SoftwareVersion
	m.exclude = append(m.exclude, ev.Backend)
	if ev.HedgeAfter > 0 && m.req.Idempotent && m.winner == nil {
		a.hedgeAt = now.Add(ev.HedgeAfter)
		m.emit(WakeAt{a.hedgeAt})
	}
	if m.weightsVersion == "" {
		m.weightsVersion = ev.WeightsVersion
	}
}

func (m *Machine) headReceived(ev HeadReceived) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != running || a.head != nil {
		return
	}
	if m.headSent && !(m.streaming && ev.Head.isEventStream()) {
		// The body would stand in the middle of the stream, and its end would complete the stream.
		m.cancel(a)
		m.endAttempt(a, fault.New(fault.StreamBroken, fault.Unknown, "an answer of status %d does not go on with the stream", ev.Head.Status))
		return
	}
	a.head = &ev.Head
}

// streams reports whether the response of a is forwarded as it arrives. Other responses to requests
// for a stream, such as errors, are buffered.
func (m *Machine) streams(a *attempt) bool { return m.req.Stream && a.head.isEventStream() }

func (m *Machine) chunkReceived(ev ChunkReceived) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != running || ev.Sequence < a.nextSequence || (m.winner != nil && m.winner != a) {
		m.StrayChunks++
		return
	}
	if ev.Sequence > a.nextSequence || a.head == nil {
		m.resumeStream(a, "chunk %d came where %d was due", ev.Sequence, a.nextSequence)
		return
	}
	m.selectWinner(a)
	a.nextSequence++
	m.forward(a, ev)
}

// selectWinner uses the response of a and cancels the other attempts.
func (m *Machine) selectWinner(a *attempt) {
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
	if a.state == ended {
		return
	}
	a.state = ended
	m.mayHaveRun = true
	m.emit(Cancel{a.number})
}

func (m *Machine) forward(a *attempt, ev ChunkReceived) {
	if !m.streams(a) && !m.headSent {
		m.buffer = append(m.buffer, ev.Data...)
		if len(m.buffer) <= MaxBufferedBytes {
			return
		}
		m.sendHead(a, -1)
		m.emit(SendChunk{m.buffer})
		m.buffer = nil
		return
	}
	m.sendHead(a, -1)
	m.tokens = max(m.tokens, ev.Tokens)
	m.emit(SendChunk{ev.Data})
}

func (m *Machine) sendHead(a *attempt, length int64) {
	if m.headSent {
		return
	}
	m.headSent, m.streaming, m.softwareVersion = true, m.streams(a), a.softwareVersion
	m.emit(SendHead{Head: *a.head, Backend: a.backend, ContentLength: length})
}

func (m *Machine) endReceived(ev EndReceived) {
	a := m.attempt(ev.Attempt)
	if a == nil || a.state != running || (m.winner != nil && m.winner != a) {
		return
	}
	if ev.Chunks != a.nextSequence-1 || a.head == nil {
		m.resumeStream(a, "the answer ended at chunk %d where %d was due", ev.Chunks, a.nextSequence)
		return
	}
	m.selectWinner(a)
	a.state = ended
	if m.streams(a) {
		m.sendHead(a, -1)
	} else if !m.headSent {
		m.sendHead(a, int64(len(m.buffer)))
		m.emit(SendChunk{m.buffer})
	}
	if m.crashes > 0 {
		m.emit(ClearCrash{})
	}
	m.finish(Complete{})
}

func (m *Machine) finish(last Action) {
	m.done = true
	for _, a := range m.attempts {
		m.cancel(a)
	}
	m.emit(last)
}
