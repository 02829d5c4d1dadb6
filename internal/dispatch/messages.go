package dispatch

import (
	"time"

	"parsleypulley/internal/fault"
)

// Head is the start of an answer.
type Head struct {
	Status  uint32
	Headers []Header
}

// Header is one header field.
type Header struct {
	Name   string
	Values []string
}

// Event is something that happened to a request.
type Event interface{ event() }

// Launched tells that an attempt was sent to a backend server.
type Launched struct {
	Attempt uint32
	Backend string
	// WeightsVersion is what the attempt runs on; later attempts are held to it.
	WeightsVersion string
	// HedgeAfter is the time without a first chunk after which another attempt
	// is worth its cost; 0 is never.
	HedgeAfter time.Duration
}

// HeadReceived carries the head of an attempt's answer.
type HeadReceived struct {
	Attempt uint32
	Head    Head
}

// ChunkReceived carries a chunk of an attempt's answer.
type ChunkReceived struct {
	Attempt  uint32
	Sequence uint64
	Data     []byte
	// Tokens counts the output tokens of this attempt up to the end of the
	// chunk, the resume offset included.
	Tokens uint64
}

// EndReceived tells that an attempt's answer is complete.
type EndReceived struct {
	Attempt uint32
	Chunks  uint64
}

// Failed tells that an attempt ended without a complete answer.
type Failed struct {
	Attempt uint32
	Err     *fault.Error
}

// CrashCounted answers a ReportCrash action.
type CrashCounted struct {
	Attempt     uint32
	Quarantined bool
}

// Suspected tells that the backend server of a running attempt is suspected to
// have failed.
type Suspected struct{ Backend string }

// CallerDisconnected tells that nobody waits for the answer any more.
type CallerDisconnected struct{}

// Tick tells the time.
type Tick struct{}

func (Launched) event()           {}
func (HeadReceived) event()       {}
func (ChunkReceived) event()      {}
func (EndReceived) event()        {}
func (Failed) event()             {}
func (CrashCounted) event()       {}
func (Suspected) event()          {}
func (CallerDisconnected) event() {}
func (Tick) event()               {}

// Action is something the driver has to do, in order.
type Action interface{ action() }

// Launch starts an attempt at a backend server that is not in Exclude.
type Launch struct {
	Attempt uint32
	// ResumeOffset is the number of output tokens already delivered.
	ResumeOffset uint64
	// WeightsVersion, when set, is the only version that may serve the attempt.
	WeightsVersion string
	Exclude        []string
	// Suspect is set when an engine crashed while it ran the request.
	Suspect bool
}

// ResumeStream takes up the stream of a running attempt after its link broke.
type ResumeStream struct {
	Attempt      uint32
	NextSequence uint64
}

// Cancel ends an attempt that is no longer needed.
type Cancel struct{ Attempt uint32 }

// ReportCrash counts an engine crash against the request. The driver answers
// with CrashCounted.
type ReportCrash struct {
	Attempt uint32
	Backend string
}

// ClearCrash forgets the crash counted against a request that then ran to its end.
type ClearCrash struct{}

// SendHead forwards the head; the answer is ContentLength bytes long, or of
// unknown length when negative.
type SendHead struct {
	Head          Head
	Backend       string
	ContentLength int64
}

// SendChunk forwards a part of the body.
type SendChunk struct{ Data []byte }

// Complete ends a whole answer.
type Complete struct{}

// Fail ends the request with an error.
type Fail struct{ Err *fault.Error }

// WakeAt asks for a Tick at a time.
type WakeAt struct{ Time time.Time }

func (Launch) action()       {}
func (ResumeStream) action() {}
func (Cancel) action()       {}
func (ReportCrash) action()  {}
func (ClearCrash) action()   {}
func (SendHead) action()     {}
func (SendChunk) action()    {}
func (Complete) action()     {}
func (Fail) action()         {}
func (WakeAt) action()       {}
