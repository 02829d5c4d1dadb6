package forward

import (
	"mime"
	"net/http"
)

// isEventStream reports whether a response can be an event stream. One that states no type can: not
// all servers state it.
func isEventStream(r *response) bool {
	if r.status != http.StatusOK {
		return false
	}
	contentType := r.header.Get("Content-Type")
	mediaType, _, _ := mime.ParseMediaType(contentType) // empty if it can't be parsed
	return contentType == "" || mediaType == "text/event-stream"
}

// noStreamOutcome returns the outcome of an attempt on a streaming route whose response shows no failure
// but is no event stream, or 0 if the caller gets the response. A success would look like a complete
// stream. Once headers were sent, anything would stand in the middle of the stream.
func noStreamOutcome(r *response, headersSent bool) Outcome {
	switch {
	case r.status < http.StatusMultipleChoices:
		return InvalidResponse
	case headersSent:
		return Failed
	}
	return 0
}

// endsStream reports whether a response without events says that the stream has none left after the
// last event that the caller has. Any empty body could be taken for that, so it counts only if the
// server has begun an event stream and ended it: with a last chunk, and with a stated type unless
// the stream began without one. A length of 0 or the end of the connection also follows errors.
func (c *forwardedCall) endsStream(r *response) bool {
	if c.position.lastID == "" || len(r.resp.TransferEncoding) == 0 {
		return false
	}
	return r.header.Get("Content-Type") != "" || c.headerWritten && c.w.Header().Get("Content-Type") == ""
}
