package forward

import (
	"bytes"
	"errors"
	"expvar"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"sync"
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

// memoryBudget limits the memory of the parts of all responses that are kept until more of them has come. Limits
// on one response alone do not bound it: servers that send nearly as much, and then a byte now and then, hold it for
// as many calls as there are. A server may take no more than what it leaves: faulty ones would otherwise leave nothing
// for the responses of sound ones, which are cut without memory. It is safe for concurrent use.
type memoryBudget struct {
	limit int64

	mu    sync.Mutex
	taken int64
	// takenBy is what was taken for the responses of each server, by address.
	takenBy map[string]int64
}

// newMemoryBudget returns a budget that is a part of the Go runtime's memory limit.
func newMemoryBudget() *memoryBudget {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return &memoryBudget{limit: defaultResponseMemory}
	}
	return &memoryBudget{limit: int64(memoryShare * float64(limit))}
}

// take takes n bytes for a response of a server, and reports whether they were left for it.
func (b *memoryBudget) take(server string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.takenBy[server]+n > b.limit-b.taken-n {
		return false
	}
	if b.takenBy == nil {
		b.takenBy = map[string]int64{}
	}
	b.taken += n
	b.takenBy[server] += n
	return true
}

// giveBack gives back n bytes that were taken for a response of a server.
func (b *memoryBudget) giveBack(server string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken -= n
	if b.takenBy[server] -= n; b.takenBy[server] == 0 {
		delete(b.takenBy, server)
	}
}

// hold returns a hold for a response of a server that covers free bytes without taking them.
func (b *memoryBudget) hold(server string, free int64) *memoryHold {
	return &memoryHold{budget: b, server: server, free: free}
}

// memoryHold is what one reader has taken of a budget. It is not safe for concurrent use. The zero value is
// without a limit.
type memoryHold struct {
	budget *memoryBudget
	// server is the address of the server whose response is read.
	server string
	// free is what needs not be taken, and taken what was.
	free, taken int64
}

// cover takes so much that n bytes are covered, and reports whether it was left.
func (h *memoryHold) cover(n int) bool {
	more := int64(n) - h.free - h.taken
	if h.budget == nil || more <= 0 {
		return true
	}
	if !h.budget.take(h.server, more) {
		return false
	}
	h.taken += more
	return true
}

// shrink gives back what is more than n bytes need.
func (h *memoryHold) shrink(n int) {
	if less := h.taken - max(0, int64(n)-h.free); h.budget != nil && less > 0 {
		h.budget.giveBack(h.server, less)
		h.taken -= less
	}
}

// release gives back all that was taken.
func (h *memoryHold) release() { h.shrink(0) }

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
	hold memoryHold
	// incomplete is set if there was no memory for all of them.
	incomplete bool
}

func (r *byteRecord) add(p []byte) {
	if r.incomplete || !r.hold.cover(2*(len(r.data)+len(p))) { // the record may grow to twice its size
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
func (r *response) bufferBody(hold *memoryHold) (body []byte, more bool, err error) {
	body = make([]byte, 0, freePartMemory)
	for {
		if len(body) == maxBufferedBody {
			return body, true, nil
		}
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBufferedBody)
			if !hold.cover(size) {
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
