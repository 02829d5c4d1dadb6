package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/responsescan"
)

// httpResponse reads the HTTP response to one request. It implements Response.
type httpResponse struct {
	resp   *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	idle   *idleTimer
	limits Limits
	// record is the record of the response, which goes on until its head was read.
	record *record
	head   Head

	// events reads the events of a stream. It is nil for other responses.
	events *eventReader
	// reader is the pooled reader that events uses.
	reader *bufio.Reader
	// eventIDPrefix is the prefix that all event IDs of this response must have.
	eventIDPrefix []byte
	// tokens is the number of output tokens up to the last event of a stream,
	// including those of earlier attempts.
	tokens uint64
	// resuming is set until an event has shown that a stream goes on where the last attempt ended.
	resuming bool
	// outputTokens is the number of output tokens that the response header states.
	outputTokens uint64
	// buffer is the buffer for the next part of a body that is not a stream.
	buffer []byte
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// readHead checks the head of the response and prepares to read its body.
func (r *httpResponse) readHead(h *HTTP, req *Request) error {
	header := r.resp.Header
	if r.resp.StatusCode < http.StatusOK || r.resp.StatusCode >= statusLimit {
		return fault.New(fault.StreamBroken, fault.Unknown, "backend server answered with status %d", r.resp.StatusCode)
	}
	if refusal := header.Get(dialect.Refusal); refusal != "" && !h.plainService {
		// Without the ID and the attempt it may be a late copy, or written before the request was read.
		if id, attempt := header.Get(dialect.RequestID), header.Get(dialect.Attempt); id != req.ID || !isAttempt(header, req) {
			h.endMismatched(r.record)
			return fault.New(fault.StreamBroken, fault.Unknown, "backend server refused request ID %q, attempt %q with status %d: %s", id, attempt, r.resp.StatusCode, refusal)
		}
		if r.isContradicted(req) {
			return fault.New(fault.StreamBroken, fault.Unknown, "backend server refused with status %d: %s, and answered behind it", r.resp.StatusCode, refusal)
		}
		return r.refusal(refusal)
	}
	if responsescan.FaultyFraming(r.record.end()) {
		return fault.New(fault.StreamBroken, fault.Unknown, "backend server answered with chunks, which HTTP/1.0 does not have")
	}
	if err := r.checkRequestID(h, req); err != nil {
		return err
	}
	r.head = Head{
		Status:         r.resp.StatusCode,
		Headers:        http.Header{},
		Incarnation:    parseUint(header.Get(dialect.Incarnation), 64),
		WeightsVersion: header.Get(dialect.WeightsVersion),
		PromptTokens:   uint32(parseUint(header.Get(dialect.PromptTokens), 32)),
		CachedTokens:   uint32(parseUint(header.Get(dialect.CachedTokens), 32)),
	}
	for name, values := range header {
		if isEndToEnd(name, header, h.plainService) {
			r.head.Headers[name] = values
		}
	}
	r.outputTokens = parseUint(header.Get(dialect.OutputTokens), 64)
	r.resuming = req.ResumeOffset > 0
	if req.Stream && r.resp.StatusCode == http.StatusOK && strings.HasPrefix(header.Get("Content-Type"), "text/event-stream") {
		r.reader = readerPool.Get().(*bufio.Reader)
		r.reader.Reset(r.resp.Body)
		r.events = newEventReader(r.reader, r.limits.EventBytes)
		r.eventIDPrefix = []byte(req.ID + "." + strconv.FormatUint(uint64(req.Attempt), 10) + "/")
	}
	return nil
}

// isAttempt reports whether a response names the attempt of the request.
func isAttempt(header http.Header, req *Request) bool {
	return header.Get(dialect.Attempt) == strconv.FormatUint(uint64(req.Attempt), 10)
}

// statusLimit is greater than all HTTP status codes.
const statusLimit = 600

func parseUint(s string, bits int) uint64 {
	n, _ := strconv.ParseUint(s, 10, bits)
	return n
}

var refusalKinds = map[string]fault.Kind{
	dialect.RefusalOverloaded:  fault.BackendRefused,
	dialect.RefusalIncarnation: fault.StaleIncarnation,
	dialect.RefusalWeights:     fault.StaleWeights,
	dialect.RefusalFencing:     fault.StaleFencing,
}

// refusal returns the error for a response with a Refusal header, which
// proves that the request did not run.
func (r *httpResponse) refusal(value string) error {
	kind, ok := refusalKinds[value]
	if !ok {
		kind = fault.BackendRefused
	}
	err := fault.New(kind, fault.NotRun, "backend server refused with status %d: %s", r.resp.StatusCode, value)
	if seconds := parseUint(r.resp.Header.Get("Retry-After"), 31); seconds > 0 {
		err.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return err
}

// checkRequestID returns an error if the response belongs to another request. An
// engine must echo the request ID in a successful response. A plain service may
// omit it.
func (r *httpResponse) checkRequestID(h *HTTP, req *Request) error {
	id := r.resp.Header.Get(dialect.RequestID)
	attempt := r.resp.Header.Get(dialect.Attempt)
	required := !h.plainService && r.resp.StatusCode < http.StatusBadRequest
	if id == "" && !required {
		return nil
	}
	if id != req.ID || attempt != "" && parseUint(attempt, 32) != uint64(req.Attempt) {
		h.endMismatched(r.record)
		return fault.New(fault.StreamBroken, fault.Unknown, "backend server answered with request ID %q, attempt %q", id, attempt)
	}
	return nil
}

// Head implements Response.
func (r *httpResponse) Head() *Head { return &r.head }

// Next implements Response.
func (r *httpResponse) Next() (Chunk, error) {
	r.idle.beginRead()
	defer r.idle.endRead()
	if r.events == nil {
		return r.nextBodyChunk()
	}
	ev, err := r.events.next()
	if err == io.EOF {
		err = errNoEndMarker
	}
	if err != nil {
		return Chunk{}, r.readError(err)
	}
	if ev.done {
		return Chunk{}, io.EOF
	}
	if err := r.advance(ev.id); err != nil {
		return Chunk{}, err
	}
	return Chunk{Data: ev.data, CumulativeTokens: r.tokens}, nil
}

// advance sets the output position to the one in an event ID. The ID must belong to
// this response, and the position must grow by one. An event without an ID counts
// as one token, but not as the first event of a stream that goes on: an engine that
// begins it anew would not be noticed.
func (r *httpResponse) advance(id []byte) error {
	if len(id) == 0 && r.resuming {
		return fault.New(fault.StreamBroken, fault.Unknown, "the event after position %d has no ID", r.tokens)
	}
	if len(id) == 0 {
		r.tokens++
		return nil
	}
	number, ok := bytes.CutPrefix(id, r.eventIDPrefix)
	if !ok {
		return fault.New(fault.StreamBroken, fault.Unknown, "event %q belongs to another request", id)
	}
	n, err := strconv.ParseUint(string(number), 10, 64)
	if err != nil {
		return fault.New(fault.StreamBroken, fault.Unknown, "event %q has no position", id)
	}
	if n != r.tokens+1 {
		return fault.New(fault.StreamBroken, fault.Unknown, "event %q follows position %d", id, r.tokens)
	}
	r.tokens, r.resuming = n, false
	return nil
}

// nextBodyChunk returns the next part of a body that is not an event stream.
func (r *httpResponse) nextBodyChunk() (Chunk, error) {
	if r.buffer == nil {
		r.buffer = make([]byte, r.bodyChunkSize())
	}
	n, err := io.ReadFull(r.resp.Body, r.buffer)
	if n > 0 {
		data := r.buffer[:n:n]
		r.buffer = nil
		return Chunk{Data: data, CumulativeTokens: r.outputTokens}, nil
	}
	if err == io.EOF {
		return Chunk{}, io.EOF
	}
	return Chunk{}, r.readError(err)
}

func (r *httpResponse) bodyChunkSize() int64 {
	if length := r.resp.ContentLength; length > 0 && length < bodyChunkBytes {
		return length
	}
	return bodyChunkBytes
}

func (r *httpResponse) readError(err error) error {
	if errors.Is(err, errEventTooLarge) {
		return fault.New(fault.StreamBroken, fault.Ran, "backend server: %w", err)
	}
	return requestError(r.ctx, err, true)
}

// Close implements Response.
func (r *httpResponse) Close() {
	r.idle.stop()
	r.cancel(nil)
	r.resp.Body.Close()
	if r.reader != nil {
		r.reader.Reset(nil)
		readerPool.Put(r.reader)
		r.reader, r.events = nil, nil
	}
}

var errIdle = errors.New("no byte of the answer within the idle timeout")

// ErrStalled is the cause with which the context of a request is cancelled if the
// backend server has stopped responding. The request then fails with kind
// BackendTimeout.
var ErrStalled = errors.New("the backend server does not answer health checks and the request makes no progress")

// idleTimer cancels a request if a read waits too long for a byte. The time between
// two reads does not count.
type idleTimer struct {
	timer  *time.Timer
	limit  time.Duration
	cancel context.CancelCauseFunc
	// waiting is set while a read is in progress.
	waiting atomic.Bool
	// lastReset is when the timer was last started.
	lastReset time.Time
}

// idleGranularity is the divisor of the idle timeout that gives the minimum time
// between two resets of the timer. A fast stream thus does not reset it for every
// chunk. The timeout may therefore expire early by up to that time.
const idleGranularity = 8

// newIdleTimer returns a timer that starts immediately.
func newIdleTimer(limit time.Duration, cancel context.CancelCauseFunc) *idleTimer {
	t := &idleTimer{limit: limit, cancel: cancel, lastReset: time.Now()}
	t.waiting.Store(true)
	t.timer = time.AfterFunc(limit, t.expire)
	return t
}

func (t *idleTimer) expire() {
	if t.waiting.Load() {
		t.cancel(errIdle)
	}
}

func (t *idleTimer) beginRead() {
	t.waiting.Store(true)
	now := time.Now()
	if now.Sub(t.lastReset) < t.limit/idleGranularity {
		return
	}
	t.lastReset = now
	t.timer.Reset(t.limit)
}

func (t *idleTimer) endRead() { t.waiting.Store(false) }

func (t *idleTimer) stop() { t.timer.Stop() }

// requestBody is a request body that net/http can't rewind. This prevents net/http
// from retrying the request.
type requestBody struct{ r *bytes.Reader }

func newRequestBody(b []byte) io.Reader {
	if len(b) == 0 {
		return nil
	}
	return &requestBody{bytes.NewReader(b)}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) { return b.r.Read(p) }
