package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"parsleypulley/internal/agent/gate"
	"parsleypulley/internal/engine"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// StreamLimits limit the memory for responses that are in progress or have just
// finished.
type StreamLimits struct {
	// UnsentBytes is the size of the unsent data at which the agent stops reading
	// from the backend server. It continues when less than that is unsent.
	UnsentBytes int
	// ReplayBytes is the buffer size above which the oldest chunks that were sent
	// already are dropped. The other chunks are kept for a resumed call. The limit
	// must cover the data that can be lost in transit when a link breaks.
	ReplayBytes int
	// ClaimedBytes limits the size of the response of a claimed call. A larger
	// response is not stored, and only its newest part is kept while no call reads it.
	ClaimedBytes int
	// UnreadClaimedBytes limits what is read of the response of a claimed call while no call reads it:
	// a run whose response does not end would go on until the time limit of claimed calls.
	UnreadClaimedBytes int
	// FinishedBytes limits the total data size of the finished streams that can
	// still be resumed.
	FinishedBytes int
	// FinishedStreams limits the number of the finished streams that can still be
	// resumed.
	FinishedStreams int
}

// DefaultStreamLimits returns the default stream limits of an agent.
func DefaultStreamLimits() StreamLimits {
	return StreamLimits{
		UnsentBytes:        256 << 10,
		ReplayBytes:        512 << 10,
		ClaimedBytes:       4 << 20,
		UnreadClaimedBytes: 64 << 20,
		FinishedBytes:      32 << 20,
		FinishedStreams:    4096,
	}
}

// stream buffers the response to one dispatch between the backend server and the
// call that reads it. Its chunks are numbered from 1.
type stream struct {
	key     gate.StreamKey
	claimed bool
	table   *streamTable

	mu   sync.Mutex
	head *wire.Head
	// chunks are the buffered chunks. Their sequence numbers have no gap.
	chunks []*wire.Chunk
	// firstSequence is the sequence number of chunks[0], or of the next chunk if
	// chunks is empty.
	firstSequence uint64
	// bufferedBytes is the size of chunks.
	bufferedBytes int
	// lastSent is the sequence number of the last chunk that was given to a reader.
	lastSent uint64
	// unsentBytes is the size of the chunks after lastSent.
	unsentBytes int
	// unreadBytes is the size of what has come for a claimed call while nobody read it.
	unreadBytes int
	// complete is set while no chunk has been dropped from the buffer.
	complete bool

	// ended is set when the run has ended.
	ended bool
	// result is the last message of a successful response.
	result *wire.End
	// failure is the error of a failed run.
	failure *fault.Error

	// reader is the current reader, or nil.
	reader *streamReader
	// spaceFreed receives a value when append may continue.
	spaceFreed chan struct{}
	cancelRun  func(cause error)
	// grace cancels the run when the resume grace is over. It is nil while the
	// grace is not running.
	grace *time.Timer
	// expires is when a finished stream is dropped.
	expires time.Time
	// lastProgress is when the backend server last sent something.
	lastProgress time.Time
	// bound is set if no other backend server can go on with the stream once a part of it was sent.
	bound bool
}

func newStream(t *streamTable, key gate.StreamKey, claimed bool) *stream {
	return &stream{key: key, claimed: claimed, table: t, firstSequence: 1, complete: true, spaceFreed: make(chan struct{}, 1),
		cancelRun: func(error) {}, lastProgress: time.Now()}
}

// Causes of the cancellation of a run.
var (
	errNoRouter   = errors.New("no router took the stream up again")
	errCallClosed = errors.New("the router closed the call")
)

// setCancel sets the function that cancels the run. The function is not called for
// a claimed call.
func (s *stream) setCancel(f context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelRun = f
}

// setHead stores the head of the response.
func (s *stream) setHead(h *engine.Head) {
	head := &wire.Head{Status: uint32(h.Status), Headers: make([]*wire.Header, 0, len(h.Headers))}
	for name, values := range h.Headers {
		head.Headers = append(head.Headers, wire.NewHeader(name, values...))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head
	s.lastProgress = time.Now()
	s.wake()
}

// minChunkSize is the size in bytes at which a chunk counts at least. Beside its data it takes about 100 bytes of
// memory, so streams of very short events would take many times their limit.
const minChunkSize = 96

// sizeOf returns the size at which a chunk counts.
func sizeOf(data []byte) int { return max(len(data), minChunkSize) }

// errClaimedTooLong is returned for the response of a claimed call that nobody reads and that does not end.
var errClaimedTooLong = errors.New("nobody reads the response, which does not end")

// append numbers and stores a chunk. It blocks while the unsent data is at the
// limit. For a claimed call, which must finish without a reader, it blocks only if there is
// one: without, the oldest chunks are dropped, and the response is not stored.
func (s *stream) append(ctx context.Context, c engine.Chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.mustWait() {
		if err := s.waitForSpace(ctx); err != nil {
			return err
		}
	}
	if s.claimed && s.reader == nil {
		if s.unreadBytes += len(c.Data); s.unreadBytes > s.table.limits.UnreadClaimedBytes {
			return fault.New(fault.BodyTooLarge, fault.Ran, "%w", errClaimedTooLong)
		}
	}
	s.chunks = append(s.chunks, &wire.Chunk{Sequence: s.firstSequence + uint64(len(s.chunks)), Data: c.Data, Tokens: c.CumulativeTokens})
	s.bufferedBytes += sizeOf(c.Data)
	s.unsentBytes += sizeOf(c.Data)
	s.lastProgress = time.Now()
	s.trim()
	s.wake()
	return nil
}

// mustWait reports whether a further chunk must wait until a reader has taken others. The caller must hold s.mu.
func (s *stream) mustWait() bool {
	if s.claimed {
		return s.reader != nil && s.unsentBytes >= s.table.limits.ClaimedBytes
	}
	return s.unsentBytes >= s.table.limits.UnsentBytes
}

func (s *stream) waitForSpace(ctx context.Context) error {
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-s.spaceFreed:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Cancelled, fault.Unknown, "no router reads the stream: %w", context.Cause(ctx))
	}
}

// trim drops the oldest chunks while the buffer is over its limit. It keeps chunks
// that were not sent yet, unless the call is claimed and nobody reads the response.
func (s *stream) trim() {
	limit := s.table.limits.ReplayBytes
	if s.claimed {
		limit = s.table.limits.ClaimedBytes
	}
	dropped := 0
	unread := s.claimed && s.reader == nil
	for s.bufferedBytes > limit && dropped < len(s.chunks) && (unread || s.chunks[dropped].Sequence <= s.lastSent) {
		if s.chunks[dropped].Sequence > s.lastSent {
			s.unsentBytes -= sizeOf(s.chunks[dropped].Data)
		}
		s.bufferedBytes -= sizeOf(s.chunks[dropped].Data)
		s.chunks[dropped] = nil
		dropped++
	}
	if dropped > 0 {
		s.complete = false
		s.firstSequence += uint64(dropped)
		s.chunks = s.chunks[dropped:]
	}
}

// end stores the result of the response and adds the stream to the finished
// ones.
func (s *stream) end(result *wire.End, failure *fault.Error) {
	s.mu.Lock()
	s.ended = true
	s.result, s.failure = result, failure
	s.stopGrace()
	s.wake()
	size := s.bufferedBytes
	s.mu.Unlock()
	s.table.addFinished(s, size)
}

// storedAnswer returns the complete response of a claimed call, or nil if there is
// no head or the response exceeded the limit.
func (s *stream) storedAnswer() *wire.StoredAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head == nil || !s.complete || s.bufferedBytes > s.table.limits.ClaimedBytes {
		return nil
	}
	answer := &wire.StoredAnswer{Status: s.head.Status, Body: make([]byte, 0, s.bufferedBytes)}
	for _, h := range s.head.Headers {
		answer.Headers = append(answer.Headers, h.Stored()...)
	}
	for _, c := range s.chunks {
		answer.Body = append(answer.Body, c.Data...)
	}
	return answer
}

// wake notifies the reader of a change. The caller must hold s.mu.
func (s *stream) wake() {
	if s.reader != nil {
		s.reader.wake()
	}
}

func (s *stream) stopGrace() {
	if s.grace != nil {
		s.grace.Stop()
		s.grace = nil
	}
}

// startGrace starts the resume grace of a stream that has no reader.
func (s *stream) startGrace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startGraceLocked()
}

// startGraceLocked starts the resume grace. The caller must hold s.mu.
func (s *stream) startGraceLocked() {
	if s.ended || s.claimed || s.grace != nil {
		return
	}
	s.grace = time.AfterFunc(s.table.grace, func() { s.cancelRun(errNoRouter) })
}

// bind records that no other backend server can go on with the stream once a part of it was sent.
func (s *stream) bind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = true
}

// cancelIfStalled cancels the run if the backend server has sent nothing since the
// given time. Failed health checks are no proof against the connection of the run, so a stream
// that has begun and that nobody else can go on with is left to its deadline.
func (s *stream) cancelIfStalled(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && !s.claimed && !(s.bound && s.lastSent > 0) && s.lastProgress.Before(since) {
		s.cancelRun(engine.ErrStalled)
	}
}

// setLastSent sets the sequence number of the last sent chunk and recomputes the
// unsent bytes. The caller must hold s.mu.
func (s *stream) setLastSent(lastSent uint64) {
	s.lastSent = lastSent
	s.unsentBytes = 0
	for _, c := range s.chunks {
		if c.Sequence > lastSent {
			s.unsentBytes += sizeOf(c.Data)
		}
	}
	s.signalSpace()
}

func (s *stream) signalSpace() {
	select {
	case s.spaceFreed <- struct{}{}:
	default:
	}
}
