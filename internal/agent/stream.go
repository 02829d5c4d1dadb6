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

// StreamLimits bound the memory of answers in progress and just finished.
type StreamLimits struct {
	// UnsentBytes is how far the backend server may be ahead of the router; a
	// slower router holds the backend server back.
	UnsentBytes int
	// ReplayBytes is how much of the sent part is kept for a resumed call. It covers
	// what can be under way on a link that breaks.
	ReplayBytes int
	// ClaimedBytes bounds the answer of a claimed call that is kept whole.
	ClaimedBytes int
	// FinishedBytes and FinishedStreams bound the finished streams that can be
	// read again.
	FinishedBytes, FinishedStreams int
}

// DefaultStreamLimits returns the limits that an agent uses.
func DefaultStreamLimits() StreamLimits {
	return StreamLimits{
		UnsentBytes:     256 << 10,
		ReplayBytes:     512 << 10,
		ClaimedBytes:    4 << 20,
		FinishedBytes:   32 << 20,
		FinishedStreams: 4096,
	}
}

// stream is the answer to one dispatch, from the backend server to whichever
// call reads it. Its chunks are numbered from 1.
type stream struct {
	key     gate.StreamKey
	claimed bool
	table   *streamTable

	mu     sync.Mutex
	head   *wire.Head
	chunks []*wire.Chunk // the tail that is kept; sequence numbers without gap
	first  uint64        // sequence of chunks[0], or of the next chunk
	bytes  int           // data bytes in chunks
	sent   uint64        // last sequence handed to the reader
	unsent int           // data bytes after sent
	whole  bool          // nothing was dropped from the tail

	ended   bool
	result  *wire.End
	failure *fault.Error

	reader  *follower
	room    chan struct{}
	abandon func(cause error)
	grace   *time.Timer
	expires time.Time
	// progress is when the backend server last sent something.
	progress time.Time
}

func newStream(t *streamTable, key gate.StreamKey, claimed bool) *stream {
	return &stream{key: key, claimed: claimed, table: t, first: 1, whole: true, room: make(chan struct{}, 1),
		abandon: func(error) {}, progress: time.Now()}
}

// Causes with which a run is cancelled.
var (
	errNoRouter   = errors.New("no router took the stream up again")
	errCallClosed = errors.New("the router closed the call")
)

// onAbandon sets what cancels the run. It is never called for a claimed call.
func (s *stream) onAbandon(f context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandon = f
}

// setHead stores the head of the answer.
func (s *stream) setHead(h *engine.Head) {
	head := &wire.Head{Status: uint32(h.Status), Headers: make([]*wire.Header, 0, len(h.Headers))}
	for name, values := range h.Headers {
		head.Headers = append(head.Headers, &wire.Header{Name: name, Values: values})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head
	s.progress = time.Now()
	s.wake()
}

// append numbers and stores a chunk. It waits while the reader is too far behind.
func (s *stream) append(ctx context.Context, c engine.Chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.claimed && s.unsent >= s.table.limits.UnsentBytes {
		if err := s.waitForRoom(ctx); err != nil {
			return err
		}
	}
	s.chunks = append(s.chunks, &wire.Chunk{Sequence: s.first + uint64(len(s.chunks)), Data: c.Data, Tokens: c.Tokens})
	s.bytes += len(c.Data)
	s.unsent += len(c.Data)
	s.progress = time.Now()
	s.trim()
	s.wake()
	return nil
}

func (s *stream) waitForRoom(ctx context.Context) error {
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-s.room:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Cancelled, fault.Unknown, "no router reads the stream: %w", context.Cause(ctx))
	}
}

// trim drops chunks from the front that were sent and are over the limit.
func (s *stream) trim() {
	limit := s.table.limits.ReplayBytes
	if s.claimed {
		limit = s.table.limits.ClaimedBytes
	}
	dropped := 0
	for s.bytes > limit && dropped < len(s.chunks) && s.chunks[dropped].Sequence <= s.sent {
		s.bytes -= len(s.chunks[dropped].Data)
		s.chunks[dropped] = nil
		dropped++
	}
	if dropped > 0 {
		s.whole = false
		s.first += uint64(dropped)
		s.chunks = s.chunks[dropped:]
	}
}

// end stores how the answer ended.
func (s *stream) end(result *wire.End, failure *fault.Error) {
	s.mu.Lock()
	s.ended = true
	s.result, s.failure = result, failure
	s.stopGrace()
	s.wake()
	size := s.bytes
	s.mu.Unlock()
	s.table.finished(s, size)
}

// stored returns the whole answer; nil when it was over the limit.
func (s *stream) stored() *wire.StoredAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head == nil || !s.whole || s.bytes > s.table.limits.ClaimedBytes {
		return nil
	}
	answer := &wire.StoredAnswer{Status: s.head.Status, Body: make([]byte, 0, s.bytes)}
	for _, h := range s.head.Headers {
		for _, v := range h.Values {
			answer.Headers = append(answer.Headers, &wire.StoredHeader{Name: h.Name, Value: v})
		}
	}
	for _, c := range s.chunks {
		answer.Body = append(answer.Body, c.Data...)
	}
	return answer
}

// wake tells the reader that there is something new; s.mu is held.
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

// detach starts the resume grace of a stream that has no reader.
func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startGrace()
}

// startGrace starts the resume grace; s.mu is held.
func (s *stream) startGrace() {
	if s.ended || s.claimed || s.grace != nil {
		return
	}
	s.grace = time.AfterFunc(s.table.grace, func() { s.abandon(errNoRouter) })
}

// stall cancels the run unless the backend server has sent something after since.
func (s *stream) stall(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && !s.claimed && s.progress.Before(since) {
		s.abandon(engine.ErrStalled)
	}
}

// rewind sets the last sent sequence; s.mu is held.
func (s *stream) rewind(sent uint64) {
	s.sent = sent
	s.unsent = 0
	for _, c := range s.chunks {
		if c.Sequence > sent {
			s.unsent += len(c.Data)
		}
	}
	s.signalRoom()
}

func (s *stream) signalRoom() {
	select {
	case s.room <- struct{}{}:
	default:
	}
}
