package forward

import (
	"expvar"
	"io"
	"net/http"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/membudget"
)

const (
	// bodyMemoryShare is the part of the Go runtime's memory limit that the request bodies of all calls together may
	// take. That limit leaves 40% of the process's memory for everything else. defaultBodyMemory holds if there is no
	// limit.
	bodyMemoryShare   = 1.0
	defaultBodyMemory = 256 << 20
	// freeBodyMemory is the part of each body that needs not be taken from the common memory, so that short bodies are
	// read whatever long ones come.
	freeBodyMemory = 64 << 10
	// firstBodyBuffer is the buffer in bytes with which a body of unknown length begins. Most bodies are short.
	firstBodyBuffer = 512
)

// bodyMemoryFull counts the calls that were refused since no memory was left for their bodies.
var bodyMemoryFull = expvar.NewInt("forward_body_memory_full")

// newBodyBudget returns the budget for request bodies.
func newBodyBudget() *membudget.Budget { return membudget.NewShare(bodyMemoryShare, defaultBodyMemory) }

// bodyMemoryError is the error of a call for whose body no memory is left.
func bodyMemoryError() error {
	bodyMemoryFull.Add(1)
	return fault.New(fault.Overloaded, fault.NotRun, "the bodies of other calls take all memory set aside for them")
}

// readBody reads a request body of the given length, or of any length if that is -1. The memory grows as the bytes
// arrive, so that a caller that only names a length takes none.
func readBody(r io.Reader, length int64, hold *membudget.Hold) ([]byte, error) {
	first := int64(firstBodyBuffer)
	if length >= 0 {
		first = min(length, freeBodyMemory)
	}
	body := make([]byte, 0, first)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == length {
				// The server looks for a caller that leaves once it has seen the end of the body.
				_, err := r.Read(make([]byte, 1))
				if err == io.EOF {
					err = nil
				}
				return body, err
			}
			next := 2 * cap(body)
			if length >= 0 {
				next = int(length)
			}
			if !hold.Cover(next) {
				return nil, bodyMemoryError()
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// releaseBody gives back what the body takes of the memory for bodies.
func (c *forwardedCall) releaseBody() {
	if c.bodyHold != nil {
		c.bodyHold.Release()
	}
}

// discardBody reads the rest of a body whose call is refused, for a limited time: the caller would not see the refusal on a
// connection that is closed while it sends.
func (c *forwardedCall) discardBody(body io.Reader) {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(refusedBodyTime)) // not supported by all writers of tests
	_, _ = io.Copy(io.Discard, body)                                                     // the connection is closed in any case
}
