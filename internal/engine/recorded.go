package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/connend"
	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/responsescan"
)

const (
	// maxRecordedBytes limits what a connection records of a response. An answer that an engine writes right
	// behind a refusal arrives within it.
	maxRecordedBytes = readBufferBytes
	// refusalBodyTime and maxRefusalBytes limit the reading of a refusal's body.
	refusalBodyTime = 20 * time.Millisecond
	maxRefusalBytes = 64 << 10
)

// recordedConn records the beginning of the response to each request, until the response is known not to be a
// refusal: net/http does not tell what has arrived behind a response.
type recordedConn struct {
	*connend.Conn
	// requestWritten is set if the current response ends with the connection, and closed when its request is written.
	requestWritten atomic.Pointer[chan struct{}]

	mu sync.Mutex
	// request is the number of the request that got the connection last.
	request   int
	recording bool
	data      []byte
}

func dialRecorded(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &recordedConn{Conn: connend.New(c)}, nil
}

func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if written := c.requestWritten.Load(); written != nil && errors.Is(err, io.EOF) {
		if cut := c.AwaitDelivery(*written); cut != nil {
			err = cut
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording && n > 0 {
		c.data = append(c.data, p[:min(n, maxRecordedBytes-len(c.data))]...)
	}
	return n, err
}

// begin starts the record of the next request and returns its number.
func (c *recordedConn) begin() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request++
	c.recording, c.data = true, nil
	return c.request
}

// end ends the record of a request and returns what was read; nil if another request has got the connection.
func (c *recordedConn) end(request int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request != request {
		return nil
	}
	data := c.data
	c.recording, c.data = false, nil
	return data
}

// record is the record of the response to one request.
type record struct {
	conn    *recordedConn
	request int
	// written is closed by endWrite when the request is written, or can't be.
	written  chan struct{}
	endWrite func()
}

func newRecord() *record {
	written := make(chan struct{})
	return &record{written: written, endWrite: sync.OnceFunc(func() { close(written) })}
}

// endsWithConnection is called for a response whose end only the end of its connection marks, before its body is read.
// The body then ends with io.EOF only if the connection ended in an orderly way behind the whole request.
func (r *record) endsWithConnection() {
	if r.conn != nil {
		r.conn.requestWritten.Store(&r.written)
	}
}

// trace returns a context with which the connection of the request records the response.
func (r *record) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if r.conn, _ = info.Conn.(*recordedConn); r.conn != nil {
			r.request = r.conn.begin()
		}
	}, WroteRequest: func(httptrace.WroteRequestInfo) { r.endWrite() }}) // a request with a body is written once
}

func (r *record) end() []byte {
	if r.conn == nil {
		return nil
	}
	return r.conn.end(r.request)
}

// endMismatched ends the connection of a response to another request, also if it is in use again: each response
// on it would be taken for that to the request after its own. The idle ones end too, since net/http would use
// this one until it has noticed its end.
func (h *HTTP) endMismatched(r *record) {
	h.client.CloseIdleConnections()
	if r.conn != nil {
		_ = r.conn.Close() // it may be closed already
	}
}

// isContradicted reads the body of a refusal and reports whether a response to the same attempt that is no
// refusal has arrived with it.
func (r *httpResponse) isContradicted(req *Request) bool {
	timer := time.AfterFunc(refusalBodyTime, func() { r.cancel(nil) })
	_, _ = io.Copy(io.Discard, io.LimitReader(r.resp.Body, maxRefusalBytes)) // an error ends the connection
	timer.Stop()
	return responsescan.Contains(responsescan.BehindHead(r.record.end()), func(_ int, header http.Header) bool {
		return header.Get(dialect.Refusal) == "" && header.Get(dialect.RequestID) == req.ID &&
			(header.Get(dialect.Attempt) == "" || isAttempt(header, req))
	})
}
