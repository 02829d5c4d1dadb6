package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"parsleypulley/internal/fault"
)

// errorObject is the error in the body of a response.
type errorObject struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran says whether the request ran: not_run, ran or unknown.
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// Leader is the link address of the leader, or empty if it is unknown.
	Leader string `json:"leader,omitempty"`
}

// errorResponse is the body of an error response. Error is nil in the body of any
// other response.
type errorResponse struct {
	Error *errorObject `json:"error"`
}

// writeError writes an error response with the status, type and code that package
// fault defines for the kind of err. The messages of internal errors are replaced,
// since they may contain details that only the log may show.
func writeError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	row := e.Kind.Response()
	object := &errorObject{
		Type:         row.Type,
		Code:         row.Code,
		Message:      e.Text(),
		Ran:          e.Outcome.String(),
		RetryAfterMS: e.RetryDelay().Milliseconds(),
		Leader:       e.Leader,
	}
	if e.Kind == fault.Internal {
		object.Message = "the request failed inside the control replica; its log tells more"
	}
	if wait := e.RetryDelay(); wait > 0 {
		seconds := (wait + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, row.Status, errorResponse{Error: object})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// fault returns the error that the object describes.
func (o *errorObject) fault() *fault.Error {
	kind, ok := parseKind(o.Code)
	if !ok {
		return fault.New(fault.Internal, fault.Unknown, "control answered with error %q: %s", o.Code, o.Message)
	}
	e := fault.New(kind, parseOutcome(o.Ran), "%s", o.Message)
	e.RetryAfter = time.Duration(o.RetryAfterMS) * time.Millisecond
	e.Leader = o.Leader
	return e
}

func parseKind(code string) (fault.Kind, bool) {
	for _, k := range fault.Kinds() {
		if k.String() == code {
			return k, true
		}
	}
	return 0, false
}

func parseOutcome(ran string) fault.Outcome {
	switch ran {
	case fault.NotRun.String():
		return fault.NotRun
	case fault.Ran.String():
		return fault.Ran
	}
	return fault.Unknown
}

// decodeResponseError returns the error in a response, or nil if it contains none.
func decodeResponseError(status int, body []byte) error {
	var response errorResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return fault.New(fault.LinkDown, fault.Unknown, "control answered with status %d and no JSON: %w", status, err)
	}
	if response.Error != nil {
		return response.Error.fault()
	}
	if status >= http.StatusInternalServerError {
		return fault.New(fault.LinkDown, fault.Unknown, "%w", fmt.Errorf("control answered with status %d", status))
	}
	return nil
}
