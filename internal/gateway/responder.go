package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"parsleypulley/internal/fault"
)

// statusLimit is above all HTTP status codes.
const statusLimit = 600

// ValidStatus tells whether status can be that of a final answer.
func ValidStatus(status int) bool { return status >= http.StatusOK && status < statusLimit }

const contentTypeJSON = "application/json"

// responder writes one answer; it implements Responder.
type responder struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	directory Directory
	callerID  string
	// limit bounds the writing of one chunk.
	limit time.Duration
	// stream is set when the caller asked for server-sent events.
	stream  bool
	sse     bool
	status  int
	chunks  int
	length  int64
	written int64
}

func (g *Gateway) responder(w http.ResponseWriter, callerID string) *responder {
	return &responder{w: w, rc: http.NewResponseController(w), directory: g.directory, callerID: callerID, limit: g.Limits.Write}
}

// Head implements Responder.
func (r *responder) Head(h Head) error {
	if !ValidStatus(h.Status) {
		return fault.New(fault.Internal, fault.Unknown, "%d is no status of an answer", h.Status)
	}
	header := r.w.Header()
	for name, values := range forwardHeaders(h.Header) {
		if name == HeaderRequestID || name == "Content-Length" {
			continue
		}
		header[name] = values
	}
	r.setCommon(header)
	header.Set(HeaderBackend, h.Backend)
	if h.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	r.length = h.ContentLength
	if h.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(h.ContentLength, 10))
	}
	r.status = h.Status
	r.sse = r.stream && h.Status == http.StatusOK
	r.w.WriteHeader(h.Status)
	return nil
}

func (r *responder) setCommon(header http.Header) {
	header.Set(HeaderRevision, strconv.FormatUint(r.directory.Revision(), 10))
	if r.callerID != "" {
		header.Set(HeaderRequestID, r.callerID)
	}
}

// Chunk implements Responder. Streams are flushed with each chunk.
func (r *responder) Chunk(data []byte) error {
	r.chunks++
	r.written += int64(len(data))
	_ = r.rc.SetWriteDeadline(time.Now().Add(r.limit))
	if _, err := r.w.Write(data); err != nil {
		return fault.New(fault.Cancelled, fault.Unknown, "the caller is gone: %w", err)
	}
	if r.length >= 0 {
		return nil
	}
	if err := r.rc.Flush(); err != nil {
		return fault.New(fault.Cancelled, fault.Unknown, "the caller is gone: %w", err)
	}
	return nil
}

// streamEnd is the terminator of a whole stream.
var streamEnd = []byte("data: [DONE]\n\n")

// finish ends a complete answer.
func (r *responder) finish() error {
	if r.sse {
		if err := r.Chunk(streamEnd); err != nil {
			return err
		}
	}
	return r.clearDeadline()
}

// clearDeadline keeps the write deadline of the last chunk from outliving the
// answer on a connection that is kept alive.
func (r *responder) clearDeadline() error {
	_ = r.rc.SetWriteDeadline(time.Time{})
	return nil
}

func (r *responder) json(status int, v any) error {
	r.setCommon(r.w.Header())
	r.w.Header().Set("Content-Type", contentTypeJSON)
	r.status = status
	r.w.WriteHeader(status)
	return json.NewEncoder(r.w).Encode(v)
}

// errorBody is the error object in the OpenAI shape. Ran tells whether the
// request ran: not_run, ran or unknown.
type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Ran     string  `json:"ran"`
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

func newErrorAnswer(e *fault.Error) errorAnswer {
	a := e.Kind.Response()
	return errorAnswer{Error: errorBody{Message: e.Text(), Type: a.Type, Code: a.Code, Ran: e.Outcome.String()}}
}

// fail answers with err. After the head of a stream it sends the error as an
// event, without the terminator; after the head of another answer it breaks the
// connection, so that the caller can't take the part for the whole.
func (g *Gateway) fail(w http.ResponseWriter, r *responder, err error) {
	e := fault.From(err)
	if r.status != 0 {
		r.failAfterHead(e)
		return
	}
	header := w.Header()
	if d := e.RetryDelay(); d > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
		header.Set("Retry-After-Ms", strconv.FormatInt(d.Milliseconds(), 10))
	}
	_ = r.json(e.Kind.Response().Status, newErrorAnswer(e))
}

func (r *responder) failAfterHead(e *fault.Error) {
	if !r.sse || e.Kind == fault.Cancelled {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(newErrorAnswer(e))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = r.Chunk([]byte("data: " + string(data) + "\n\n"))
	_ = r.clearDeadline()
}
