package dispatch

import (
	"net/http"
	"strings"
	"time"

	"parsleypulley/internal/fault"
)

// Head is the status and header of a response.
type Head struct {
	Status  uint32
	Headers []Header
}

// isEventStream reports whether a response is a stream of server-sent events.
func (h *Head) isEventStream() bool {
	for _, header := range h.Headers {
		if header.Name == "Content-Type" {
			return h.Status == http.StatusOK && len(header.Values) > 0 && strings.HasPrefix(header.Values[0], "text/event-stream")
		}
	}
	return false
}

// Header is one header field.
type Header struct {
	Name   string
	Values []string
}

// Event is an input of a Machine.
type Event interface{ event() }

// Launched reports the backend server on which an attempt starts.
type Launched struct {
	Attempt uint32
	Backend string
	// WeightsVersion is the weights version that the attempt runs on. All later
	// attempts of the request must use the same version.
	WeightsVersion string
	// SoftwareVersion is the version of the backend server's software. Once the caller has a
	// part of the response, all later attempts must use the same version.
	SoftwareVersion string
	// HedgeAfter is how long to wait for the first chunk before a hedge attempt
	// starts. Zero disables hedging.
	HedgeAfter time.Duration
}

// HeadReceived carries the head of an attempt's response.
type HeadReceived struct {
	Attempt uint32
	Head    Head
}

// ChunkReceived carries a chunk of an attempt's response body.
type ChunkReceived struct {
	Attempt uint32
	// Sequence numbers the chunks of an attempt from 1.
	Sequence uint64
	Data     []byte
	// Tokens is the number of output tokens up to the end of this chunk,
	// including those before the attempt's resume offset.
	Tokens uint64
}

// EndReceived reports that an attempt's response is complete.
type EndReceived struct {
	Attempt uint32
	// Chunks is the number of chunks that the attempt sent.
	Chunks uint64
}

// Failed reports that an attempt ended without a complete response.
type Failed struct {
	Attempt uint32
	Err     *fault.Error
}

// CrashCounted reports that a ReportCrash action is done.
type CrashCounted struct {
	Attempt uint32
	// Quarantined is set when the request is now quarantined.
	Quarantined bool
}

// Suspected reports that a backend server is suspected to have failed.
type Suspected struct{ Backend string }

// CallerDisconnected reports that the caller no longer waits for the response.
type CallerDisconnected struct{}

// Stopped reports that the graceful shutdown of the router ends the call.
type Stopped struct{}

// Tick reports that a timer fired: the deadline or a time set by WakeAt.
type Tick struct{}

func (Launched) event()           {}
func (HeadReceived) event()       {}
func (ChunkReceived) event()      {}
func (EndReceived) event()        {}
func (Failed) event()             {}
func (CrashCounted) event()       {}
func (Suspected) event()          {}
func (CallerDisconnected) event() {}
func (Stopped) event()            {}
func (Tick) event()               {}

// Action is an output of a Machine. The driver carries out actions in order.
type Action interface{ action() }

// Launch starts an attempt on a backend server that is not in Exclude.
type Launch struct {
	Attempt uint32
	// ResumeOffset is the number of output tokens already sent to the caller.
	ResumeOffset uint64
	// WeightsVersion is the only weights version that may serve the attempt. If
	// it is empty, any version may.
	WeightsVersion string
	// SoftwareVersion is the only version of the backend servers' software that may serve the
	// attempt, if BoundToSoftware is set.
	SoftwareVersion string
	BoundToSoftware bool
	// Exclude names the backend servers that earlier attempts used.
	Exclude []string
	// Suspect is set when an engine crashed while it ran this request.
	Suspect bool
}

// ResumeStream requests the rest of a running attempt's stream after its link
// broke or a chunk was missing.
type ResumeStream struct {
	Attempt uint32
	// NextSequence is the sequence number of the first missing chunk.
	NextSequence uint64
}

// Cancel aborts an attempt that is no longer needed.
type Cancel struct{ Attempt uint32 }

// ReportCrash counts an engine crash against the request. The driver replies
// with CrashCounted.
type ReportCrash struct {
	Attempt uint32
	Backend string
}

// ClearCrash resets the crash count of a request that completed after a crash.
type ClearCrash struct{}

// SendHead sends the head of the response to the caller.
type SendHead struct {
	Head    Head
	Backend string
	// ContentLength is the length of the body in bytes, or negative if it is
	// unknown.
	ContentLength int64
}

// SendChunk sends a part of the body to the caller.
type SendChunk struct{ Data []byte }

// Complete ends the request after a complete response.
type Complete struct{}

// Fail ends the request with an error, which the driver sends to the caller.
type Fail struct{ Err *fault.Error }

// WakeAt requests a Tick at the given time.
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
