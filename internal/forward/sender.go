package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// maxAnswer is the greatest length of an answer that is read whole before any of
// it is passed on; of a longer one the rest is passed on as it comes.
const maxAnswer = 256 << 10

// reply is a backend server's answer under way. close must be called.
type reply struct {
	status int
	header http.Header
	answer ResponseInfo
	// length is the length of the body, or -1 if it isn't told.
	length int64
	body   io.Reader

	up      *upstream
	conn    *conn
	resp    *http.Response
	written *writing
	stop    func() bool
}

// failure is the end of an attempt without a usable answer.
type failure struct {
	outcome Outcome
	err     error
}

// send sends an attempt to address and returns the head of its answer.
func (f *Forwarder) send(ctx context.Context, address string, req *http.Request, body []byte, callID string, once bool) (*reply, *failure) {
	maxAge := time.Duration(0)
	if once {
		maxAge = freshLimit
	}
	c, err := f.upstream.get(ctx, address, maxAge)
	if err != nil {
		return nil, &failure{Unsent, err}
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline) // fails only on a closed connection, as the write then does
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	var answer ResponseInfo
	resp, written, sent, err := c.roundTrip(ctx, req, len(body), func(resp *http.Response) bool {
		answer = f.dialect.ReadResponse(resp.StatusCode, resp.Header)
		return answer.ID == callID || answer.ID == "" && !answer.FromBackend
	})
	if err != nil {
		stop()
		c.Close()
		err = endOf(ctx, err)
		switch {
		case !sent:
			return nil, &failure{Unsent, err}
		case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) || isTimeout(err):
			return nil, &failure{TimedOut, err}
		}
		return nil, &failure{InvalidResponse, err}
	}
	return &reply{status: resp.StatusCode, header: resp.Header, answer: answer, length: resp.ContentLength,
		body: resp.Body, up: f.upstream, conn: c, resp: resp, written: written, stop: stop}, nil
}

// endOf adds to the error of a connection that ctx has closed why it did.
func endOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// close ends the reply. The connection is kept if the answer was read whole.
func (r *reply) close(whole bool) {
	stopped := r.stop()
	keep := keepFor(r.resp)
	if !whole || !stopped || keep <= 0 || !r.written.whole() {
		r.conn.Close()
		return
	}
	if err := r.conn.SetDeadline(time.Time{}); err != nil {
		r.conn.Close()
		return
	}
	r.up.put(r.conn, keep)
}

// readAll reads the body up to maxAnswer. more is set when there is more.
func (r *reply) readAll() (body []byte, more bool, err error) {
	buf := bytes.Buffer{}
	n, err := io.Copy(&buf, io.LimitReader(r.body, maxAnswer))
	return buf.Bytes(), n == maxAnswer, err
}

// newRequest returns the request of an attempt: the caller's method, target and
// body with the headers given.
func newRequest(r *http.Request, address string, header http.Header, body []byte) *http.Request {
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Opaque: r.URL.RequestURI()},
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

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range bytes.SplitSeq([]byte(value), []byte(",")) {
			out.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
