package agent

import (
	"context"
	"errors"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// streamReader reads a stream for one call. A stream has one reader: a new one
// replaces the previous one.
type streamReader struct {
	// ctx is the context of the call.
	ctx    context.Context
	stream *stream
	// nextSequence is the sequence number of the next chunk to return.
	nextSequence uint64
	// headSent is set after the head was returned.
	headSent bool
	// notify receives a value when the stream has changed.
	notify chan struct{}
	// batch is the result of the last call of next. Its memory is reused.
	batch []*wire.Response
}

// attach returns a new reader of s that starts at chunk number next. The previous
// reader, if any, fails.
func (s *stream) attach(ctx context.Context, next uint64) *streamReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	sr := &streamReader{ctx: ctx, stream: s, nextSequence: next, notify: make(chan struct{}, 1)}
	if s.reader != nil {
		s.reader.wake()
	}
	s.reader = sr
	s.stopGrace()
	s.setLastSent(next - 1)
	return sr
}

func (sr *streamReader) wake() {
	select {
	case sr.notify <- struct{}{}:
	default:
	}
}

// maxBatchBytes is the data size at which a batch is sent. The last chunk of a
// batch may exceed it.
const maxBatchBytes = 32 << 10

// next returns the available messages of the response. last reports whether
// they complete the response. next waits for at least one message. It fails
// when the context of the call ends or another reader has replaced this one.
func (sr *streamReader) next() (batch []*wire.Response, last bool, err error) {
	for {
		batch, last, err = sr.pollBatch()
		if len(batch) > 0 || err != nil {
			return batch, last, err
		}
		select {
		case <-sr.notify:
		case <-sr.ctx.Done():
			return nil, false, callError(sr.ctx)
		}
	}
}

// callError returns the error for a call whose context has ended.
func callError(ctx context.Context) error {
	kind := fault.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = fault.DeadlineExceeded
	}
	return fault.New(kind, fault.Unknown, "call: %w", ctx.Err())
}

// pollBatch returns the available messages without waiting. It returns an error
// only if no message precedes the error.
func (sr *streamReader) pollBatch() ([]*wire.Response, bool, error) {
	s := sr.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	sr.batch = sr.batch[:0]
	size := 0
	for size < maxBatchBytes {
		r, last, err := sr.nextMessage()
		if err != nil && len(sr.batch) == 0 {
			return nil, false, err
		}
		if err != nil || r == nil {
			break
		}
		sr.batch = append(sr.batch, r)
		if last {
			return sr.batch, true, nil
		}
		size += len(r.GetChunk().GetData())
	}
	return sr.batch, false, nil
}

// nextMessage returns the next message, or nil if it is not available yet. The
// caller must hold the stream's mutex.
func (sr *streamReader) nextMessage() (r *wire.Response, last bool, err error) {
	s := sr.stream
	if s.reader != sr {
		return nil, false, fault.New(fault.StreamBroken, fault.Unknown, "another call reads the stream")
	}
	if !sr.headSent && s.head != nil {
		sr.headSent = true
		return &wire.Response{Body: &wire.Response_Head{Head: s.head}}, false, nil
	}
	if sr.nextSequence < s.firstSequence {
		return nil, false, fault.New(fault.StreamBroken, fault.Unknown, "chunk %d is no longer kept, the first is %d", sr.nextSequence, s.firstSequence)
	}
	if i := sr.nextSequence - s.firstSequence; i < uint64(len(s.chunks)) {
		return sr.takeChunk(s.chunks[i]), false, nil
	}
	switch {
	case !s.ended:
		return nil, false, nil
	case s.failure != nil:
		return nil, false, s.failure
	case sr.nextSequence > s.firstSequence+uint64(len(s.chunks)):
		return nil, false, fault.New(fault.StreamBroken, fault.Unknown, "chunk %d is beyond the end of the stream", sr.nextSequence)
	default:
		return &wire.Response{Body: &wire.Response_End{End: s.result}}, true, nil
	}
}

// takeChunk returns the message for c and marks c as sent. This may unblock the
// goroutine that appends chunks.
func (sr *streamReader) takeChunk(c *wire.Chunk) *wire.Response {
	s := sr.stream
	sr.nextSequence++
	s.lastSent = c.Sequence
	s.unsentBytes -= sizeOf(c.Data)
	if !s.mustWait() {
		s.signalSpace()
	}
	return &wire.Response{Body: &wire.Response_Chunk{Chunk: c}}
}

// detach removes the reader from its stream, unless another reader has replaced
// it. If the router closed the call, detach cancels the run. If the link broke,
// the run is cancelled after the resume grace, unless a call resumes the stream.
// The run of a claimed call is not cancelled.
func (sr *streamReader) detach() {
	s := sr.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != sr {
		return
	}
	s.reader = nil
	s.signalSpace() // a claimed call goes on without a reader
	if errors.Is(context.Cause(sr.ctx), link.ErrCallClosed) && !s.claimed {
		s.cancelRun(errCallClosed)
		return
	}
	s.startGraceLocked()
}
