package forward

import (
	"bytes"
	"errors"
	"expvar"
	"io"
	"net/http"

	"parsleypulley/internal/membudget"
)

const (
	// memoryShare is the part of the Go runtime's memory limit that all parts of responses together may take
	// that are kept until more of them has come. defaultResponseMemory holds if there is no limit.
	memoryShare           = 0.25
	defaultResponseMemory = 64 << 20
	// Each reader has a part that it needs not take from the common memory, so that short responses are
	// read whatever other servers send.
	freeHeadMemory, freePartMemory = 16 << 10, 4 << 10
	// headLineCost is the memory in bytes that a line of a head takes beside its text: a line of 4 bytes
	// becomes an entry of a map.
	headLineCost = 128
)

// responseMemoryFull counts the parts of responses for which no common memory was left, by what they were.
var responseMemoryFull = expvar.NewMap("forward_response_memory_full")

// errMemoryFull is returned when a part of a response would have to be kept and no common memory is left.
var errMemoryFull = errors.New("the parts of other responses take all memory set aside for them")

// newMemoryBudget returns the budget for the parts of responses that are kept until more of them has come.
func newMemoryBudget() *membudget.Budget {
	return membudget.NewShare(memoryShare, defaultResponseMemory)
}

// headCost returns the memory that the head of a response takes: its text is kept by the parser and once more when it
// is forwarded.
func headCost(size, lines int) int { return 2*size + headLineCost*lines }

// headerCost returns that of a parsed head.
func headerCost(h http.Header) int {
	size, lines := 0, 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return headCost(size, lines)
}

// headLines returns the number of lines in p that belong to heads, where p begins in a head. A head may be followed by
// another one if it is that of an interim response.
func headLines(p []byte) (lines int) {
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			return lines
		}
		lines++
		p = p[i+1:]
		rest, blank := bytes.CutPrefix(p, []byte("\r\n"))
		if !blank {
			rest, blank = bytes.CutPrefix(p, []byte("\n"))
		}
		if blank && !bytes.HasPrefix(rest, []byte("HTTP/")) {
			return lines
		}
	}
}

// byteRecord records bytes as they arrive.
type byteRecord struct {
	data []byte
	hold membudget.Hold
	// incomplete is set if there was no memory for all of them.
	incomplete bool
}

func (r *byteRecord) add(p []byte) {
	if r.incomplete || !r.hold.Cover(2*(len(r.data)+len(p))) { // the record may grow to twice its size
		if !r.incomplete {
			responseMemoryFull.Add("refusal", 1)
		}
		r.incomplete = true
		return
	}
	r.data = append(r.data, p...)
}

// bufferBody reads at most maxBufferedBody bytes of the body, and fewer if hold has no memory for them. more is set if
// there may be more.
func (r *response) bufferBody(hold *membudget.Hold) (body []byte, more bool, err error) {
	body = make([]byte, 0, freePartMemory)
	for {
		if len(body) == maxBufferedBody {
			return body, true, nil
		}
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBufferedBody)
			if !hold.Cover(size) {
				responseMemoryFull.Add("body", 1)
				return body, true, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, len(body) == maxBufferedBody, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}
