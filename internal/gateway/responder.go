package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/shutdown"
)

// statusLimit is greater than all HTTP status codes.
const statusLimit = 600

// ValidStatus reports whether status can be the status of a final response.
func ValidStatus(status int) bool { return status >= http.StatusOK && status < statusLimit }

const contentTypeJSON = "application/json"

// responder writes the response to one call. It implements Responder.
type responder struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	directory Directory
	shutdown  *shutdown.Guard
	// call is what the graceful shutdown knows of the call; nil if it was not accepted.
	call            *shutdown.Call
	callerRequestID string
	// writeTimeout is the timeout for writing one chunk.
	writeTimeout time.Duration
	// noBody is set if the response has no body because of the method. Its length is that of another response.
	noBody bool
	// stream is set if the caller asked for server-sent events.
	stream bool
	// sse is set if the response is a stream of server-sent events.
	sse bool
	// status is the status that was sent, or 0 before the head.
	status int
	// chunks is the number of chunks written.
	chunks int
	// contentLength is the announced size of the body, or -1 for a stream.
	contentLength int64
	// written is the number of body bytes written.
	written int64
}

func (g *Gateway) responder(w http.ResponseWriter, callerRequestID string) *responder {
	return &responder{w: w, rc: http.NewResponseController(w), directory: g.directory, shutdown: g.shutdown, callerRequestID: callerRequestID, writeTimeout: g.Limits.Write}
}

// Head implements Responder.
func (r *responder) Head(h Head) error {
	if !ValidStatus(h.Status) {
		return fault.New(fault.Internal, fault.Unknown, "%d is no status of an answer", h.Status)
	}
	if !r.call.Begin() {
		return shutdown.Unknown()
	}
	header := r.w.Header()
	for name, values := range forwardHeaders(h.Header) {
		if name == HeaderRequestID || name == "Content-Length" {
			continue
		}
		header[name] = values
	}
	r.setCommonHeaders(header)
	header.Set(HeaderBackend, h.Backend)
	if h.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	r.contentLength = h.ContentLength
	if h.ContentLength >= 0 && !r.noBody {
		header.Set("Content-Length", strconv.FormatInt(h.ContentLength, 10))
	}
	r.status = h.Status
	r.sse = r.stream && h.Status == http.StatusOK && strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	r.w.WriteHeader(h.Status)
	return nil
}

func (r *responder) setCommonHeaders(header http.Header) {
	if r.shutdown.Stopping() {
		header.Set("Connection", "close") // the caller's next call goes to another router
	}
	header.Set(HeaderRevision, strconv.FormatUint(r.directory.Revision(), 10))
	if r.callerRequestID != "" {
		header.Set(HeaderRequestID, r.callerRequestID)
	}
}

// Chunk implements Responder. It flushes each chunk of a stream.
func (r *responder) Chunk(data []byte) error {
	r.chunks++
	r.written += int64(len(data))
	_ = r.rc.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	if _, err := r.w.Write(data); err != nil {
		return fault.New(fault.Cancelled, fault.Unknown, "the caller is gone: %w", err)
	}
	if r.contentLength >= 0 {
		return nil
	}
	if err := r.rc.Flush(); err != nil {
		return fault.New(fault.Cancelled, fault.Unknown, "the caller is gone: %w", err)
	}
	return nil
}

// streamTerminator is the last event of a complete stream.
var streamTerminator = []byte("data: [DONE]\n\n")

// finish completes a successful response.
func (r *responder) finish() error {
	if r.sse {
		if err := r.Chunk(streamTerminator); err != nil {
			return err
		}
	}
	return r.clearDeadline()
}

// clearDeadline removes the write deadline of the last chunk, so that it does not
// apply to the next response on the same connection.
func (r *responder) clearDeadline() error {
	_ = r.rc.SetWriteDeadline(time.Time{})
	return nil
}

func (r *responder) json(status int, v any) error {
	r.setCommonHeaders(r.w.Header())
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	data = append(data, '\n')
	r.w.Header().Set("Content-Type", contentTypeJSON)
	r.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	r.status = status
	r.w.WriteHeader(status)
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	if r.shutdown.Stopping() {
		_ = r.rc.Flush() // the connection may be closed as soon as the call has ended
	}
	return nil
}

// errorBody is the error object in the OpenAI format.
type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Ran states whether the request ran: not_run, ran or unknown.
	Ran string `json:"ran"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

func newErrorResponse(e *fault.Error) errorResponse {
	response := e.Kind.Response()
	return errorResponse{Error: errorBody{Message: e.Text(), Type: response.Type, Code: response.Code, Ran: e.Outcome.String()}}
}

// writeError sends err to the caller. Before the head of the response it sends an
// error response. After the head of a stream it sends an error event and no
// terminator. After the head of any response it closes the connection without the
// last chunk, so that the caller can't mistake the partial body for a complete one.
func (g *Gateway) writeError(w http.ResponseWriter, r *responder, err error) {
	e := fault.From(err)
	if r.status != 0 {
		r.writeErrorAfterHead(e)
		return
	}
	header := w.Header()
	if d := e.RetryDelay(); d > 0 {
		header.Set("Retry-After", strconv.FormatInt(retryAfterSeconds(d), 10))
		header.Set("Retry-After-Ms", strconv.FormatInt(d.Milliseconds(), 10))
	}
	_ = r.json(e.Kind.Response().Status, newErrorResponse(e))
}

// retryAtOnce is the delay below which Retry-After, which counts whole seconds, says 0: rounded up, it would
// keep the callers of a router that stops from another router for a second.
const retryAtOnce = 100 * time.Millisecond

func retryAfterSeconds(d time.Duration) int64 {
	if d < retryAtOnce {
		return 0
	}
	return int64((d + time.Second - 1) / time.Second)
}

func (r *responder) writeErrorAfterHead(e *fault.Error) {
	if !r.sse || e.Kind == fault.Cancelled || r.call.Ended() {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(newErrorResponse(e))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = r.Chunk([]byte("data: " + string(data) + "\n\n"))
	panic(http.ErrAbortHandler)
}
