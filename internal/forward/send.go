package forward

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"time"

	"parsleypulley/internal/httptarget"
	"parsleypulley/internal/membudget"
	"parsleypulley/internal/responsescan"
)

// refusals counts the responses that state that a call was not executed: those that count as
// refusals, and those that may belong to another call or to none, by the reason.
var refusals = expvar.NewMap("forward_refusals")

// maxBufferedBody limits the part of a response body that is buffered before any
// of it is forwarded. The rest of a longer body is forwarded as it arrives.
const maxBufferedBody = 256 << 10

// response is a backend server's response whose body has not been read
// completely. close must be called when it is no longer needed.
type response struct {
	status int
	header http.Header
	info   ResponseInfo
	// length is the length of the body, or -1 if it is unknown.
	length int64
	body   io.Reader

	dialect Dialect
	// pool receives the connection for reuse.
	pool     *connPool
	conn     *conn
	resp     *http.Response
	reqWrite *requestWrite
	// stop keeps the end of the call's context from closing the connection. It
	// returns false if the context has already ended.
	stop func() bool
	// repeated is set if a call with the same ID was sent to the address before. The response may be
	// a copy of the one to it.
	repeated bool
	// headHold is the memory that the head takes.
	headHold *membudget.Hold
}

// release gives back the memory of the head. It must be called once the response was forwarded.
func (r *response) release() { r.headHold.Release() }

// failure describes an attempt that ended without a usable response.
type failure struct {
	outcome Outcome
	err     error
}

// errWithdrawn is wrapped by the failure of an attempt that this router decided not to send. It says
// nothing about the backend server.
var errWithdrawn = errors.New("the request was not sent")

// send sends an attempt to address and returns the response once its headers have
// arrived. It asks check, once it has a connection, whether the request may still be sent. It
// calls observe for each response on the connection, also for those of other calls, which are
// skipped.
func (f *Forwarder) send(ctx context.Context, watched *watchedAttempt, address string, req *http.Request, body []byte, callID string, atMostOnce bool, check func() error, observe func(ResponseInfo)) (*response, *failure) {
	maxAge := time.Duration(0)
	if atMostOnce {
		maxAge = atMostOnceIdleTimeout
	}
	c, err := f.connPool.get(ctx, address, maxAge, callID)
	if err != nil {
		return nil, &failure{Unsent, err}
	}
	if err := check(); err != nil {
		c.Close()
		return nil, &failure{Unsent, fmt.Errorf("%w: %w", errWithdrawn, err)}
	}
	repeated := f.connPool.recordSent(c, callID)
	watched.conn.Store(c)
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.setDeadline(deadline) // fails only on a closed connection, on which the write fails too
	}
	if len(body) > asyncBodySize {
		_ = c.acceptClosedWindow() // fails only on a closed connection
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	var info ResponseInfo
	hold := f.connPool.memory.Hold(address, freeHeadMemory)
	c.head.hold = hold
	resp, reqWrite, sent, err := c.roundTrip(ctx, req, len(body), func(resp *http.Response) bool {
		info = f.dialect.ReadResponse(resp.StatusCode, resp.Header)
		observe(info)
		return belongsTo(info, callID, atMostOnce)
	})
	if err != nil {
		stop()
		c.Close()
		hold.Release()
		err = withCause(ctx, err)
		switch {
		case !sent:
			return nil, &failure{Unsent, err}
		case endedByWatch(ctx):
			return nil, &failure{InvalidResponse, err}
		case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) || isTimeout(err):
			return nil, &failure{TimedOut, err}
		}
		return nil, &failure{InvalidResponse, err}
	}
	return &response{status: resp.StatusCode, header: resp.Header, info: info, length: resp.ContentLength,
		body: resp.Body, dialect: f.dialect, pool: f.connPool, conn: c, resp: resp, reqWrite: reqWrite, stop: stop, repeated: repeated, headHold: hold}, nil
}

// belongsTo reports whether a response is taken for the one to the call with the given ID. A
// refusal without an ID may be a copy of an earlier one, or written before the call was read,
// and then the call runs. A call that must not run twice waits for its own response behind it.
// Any other call is tried elsewhere at once; see classifyResponse.
func belongsTo(info ResponseInfo, callID string, atMostOnce bool) bool {
	switch {
	case info.ID == callID:
		return true
	case info.ID != "" || info.FromBackend:
		return false
	case info.NotExecuted || info.Misdirected:
		refusals.Add("without_id", 1)
		return !atMostOnce
	}
	return true
}

// withCause wraps the error of a connection with the reason why ctx ended, if it
// did.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// close ends the use of the response. The connection is kept for reuse if the
// body was read completely.
func (r *response) close(complete bool) {
	stopped := r.stop()
	keep := keepFor(r.resp)
	if r.info.ID == "" {
		keep = 0 // a late second copy could not be told from the answer to the next call
	}
	if !complete || !stopped || keep <= 0 || !r.reqWrite.complete() {
		r.conn.Close()
		return
	}
	if err := errors.Join(r.conn.setDeadline(time.Time{}), r.conn.endDelivery()); err != nil {
		r.conn.Close()
		return
	}
	r.pool.put(r.conn, keep)
}

// discard ends the use of the response, whose body nobody gets.
func (r *response) discard() { r.close(r.conn.discard(r.body, discardTimeout) == nil) }

// errRefusalContradicted is returned when a refusal is followed by another response to the call.
var errRefusalContradicted = errors.New("the refusal is followed by another response to the call")

// refuse ends the use of a response that states that the call was not executed, and returns the
// failure that it counts as. The connection is not kept if more has come with it.
func (r *response) refuse(outcome Outcome) *failure {
	record, err := r.conn.discardRecorded(r.body, discardTimeout)
	unread := err == nil && r.conn.hasUnread()
	// Without a length, or with a wrong one, the answer stands where the body of the refusal is due.
	contradicted := record.incomplete || responsescan.Contains(record.data, func(status int, header http.Header) bool {
		return r.contradicts(r.dialect.ReadResponse(status, header))
	})
	record.hold.Release()
	contradicted = contradicted || unread && r.isContradicted()
	r.close(err == nil && !unread && !contradicted)
	if contradicted {
		refusals.Add("contradicted", 1)
		return &failure{InvalidResponse, errRefusalContradicted}
	}
	refusals.Add("counted", 1)
	return &failure{outcome, fmt.Errorf("status %d", r.status)}
}

// contradicts reports whether another response is one to the same call that is no refusal.
func (r *response) contradicts(info ResponseInfo) bool {
	return info.ID == r.info.ID && !info.NotExecuted && !info.Misdirected
}

// isContradicted reports whether what has arrived behind a refusal may be a response to the same call
// that states something else. Copies of the refusal, responses to other calls and bytes that are no
// response belong to no call.
func (r *response) isContradicted() bool {
	for range maxStrayResponses + 1 {
		if !r.conn.hasUnread() {
			return false
		}
		if r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
			return true
		}
		resp, err := r.conn.readHead(r.resp.Request)
		if err != nil {
			return isTimeout(err) // a part of a response
		}
		if r.contradicts(r.dialect.ReadResponse(resp.StatusCode, resp.Header)) {
			return true
		}
		if r.conn.discard(resp.Body, discardTimeout) != nil {
			return false // it has no end behind which another response could come
		}
	}
	return true // not all of it was read
}

// newRequest returns the HTTP request of an attempt: the caller's method, target
// and body with the given headers.
func newRequest(r *http.Request, address string, header http.Header, body []byte) *http.Request {
	target := *r.URL
	target.Scheme, target.Host, target.User = "http", address, nil
	if path := httptarget.Path(r); path != target.EscapedPath() {
		_ = httptarget.SetPath(&target, r.Host, path) // net/http has refused paths that can't be decoded
	}
	req := &http.Request{
		Method:        r.Method,
		URL:           &target,
		Host:          r.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	} else {
		req.Body = http.NoBody
	}
	return req
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range bytes.SplitSeq([]byte(value), []byte(",")) {
			out.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
