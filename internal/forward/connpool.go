package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"parsleypulley/internal/connend"
	"parsleypulley/internal/membudget"
	"parsleypulley/internal/responsescan"
)

// Timeouts and limits of connections to backend servers.
const (
	// dialTimeout limits the opening of a connection. It allows a few round trips
	// within a region and is shorter than the time that callers wait for a second
	// attempt.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the value of TCP_USER_TIMEOUT: sent bytes that stay
	// unacknowledged for this time end the connection. It detects peers that are
	// cut off without a reset. Bytes behind a closed window count too, so it does not hold on
	// connections that have carried a long body; see acceptClosedWindow and beginDelivery.
	userTimeout = 900 * time.Millisecond
	// keepAliveIdle is the idle time before the first TCP keep-alive probe on a
	// connection that waits for a response, and keepAliveInterval the time
	// between two probes. After keepAliveProbes without an answer the connection ends.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleTimeout is how long an idle connection is kept for reuse if the backend
	// server does not state its own timeout. Otherwise it is kept for the stated
	// timeout less idleMargin, so that it is not reused while the backend server
	// closes it.
	idleTimeout = 4 * time.Second
	idleMargin  = 600 * time.Millisecond
	// atMostOnceIdleTimeout is how long after its last response a connection is
	// reused for a call that may be executed only once.
	atMostOnceIdleTimeout = 250 * time.Millisecond
	// maxIdle limits the idle connections kept per backend server.
	maxIdle = 16
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 4 << 10
	// asyncBodySize is the size in bytes above which a request is written while
	// the response is read, since a backend server may respond before it has read
	// the whole body.
	asyncBodySize = 8 << 10
	// maxStrayResponses limits the responses to other calls that are skipped on
	// one connection.
	maxStrayResponses = 2
	// sentMemory is how long the IDs of sent calls are remembered at least, unless there are more
	// than maxSent of them. Late copies of responses come with one of the next calls on a
	// connection, and a connection with calls all the time may carry thousands.
	sentMemory = 30 * time.Second
	maxSent    = 1 << 15
	// maxCallsPerConn limits the calls on one connection. It remembers all of them, in 8 bytes each,
	// since a copy may come after sentMemory. One new connection in a thousand calls costs little.
	maxCallsPerConn = 1024
	// maxHeadBytes limits the head of a response, with the interim responses before it,
	// maxHeadLines its lines, as far as they do not arrive together with its end, and maxInterimResponses
	// the number of the interim responses.
	maxHeadBytes        = 64 << 10
	maxHeadLines        = 256
	maxInterimResponses = 5
	// A body that nobody gets is read, so that its connection can be reused, as long as it
	// ends within maxDiscardedBytes and discardTimeout. For the body of another call's
	// response, behind which this call's is due, the time is strayTimeout.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 20 * time.Millisecond
	strayTimeout      = 500 * time.Millisecond
)

// connections counts opened, reused and failed connections to backend servers.
var connections = expvar.NewMap("forward_connections")

// connPool keeps idle connections to backend servers for reuse. It is safe for
// concurrent use.
type connPool struct {
	dialer net.Dialer
	sent   *sentCalls
	// memory limits the parts of responses that are kept.
	memory *membudget.Budget

	mu sync.Mutex
	// idle holds the idle connections by address, the last used one last.
	idle map[string][]*conn
}

func newConnPool() *connPool {
	return &connPool{dialer: newDialer(), sent: newSentCalls(), memory: newMemoryBudget(), idle: map[string][]*conn{}}
}

// newDialer returns a dialer whose connections end soon after the peer becomes
// unreachable.
func newDialer() net.Dialer {
	return net.Dialer{Timeout: dialTimeout, Control: controlSocket,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
}

// controlSocket sets TCP_USER_TIMEOUT on a socket.
func controlSocket(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) }

// setUserTimeout sets TCP_USER_TIMEOUT on a socket; 0 stands for none.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// setUserTimeout sets TCP_USER_TIMEOUT on the connection; 0 stands for none.
func (c *conn) setUserTimeout(timeout time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, timeout)
}

// acceptClosedWindow removes the TCP_USER_TIMEOUT of the connection for good. A backend server may read a long body
// late, and meanwhile its kernel answers each probe with a closed window. TCP_USER_TIMEOUT ends such a
// connection too, also if the backend server has begun its response. The attempt's watch still notices a
// machine that does not answer.
func (c *conn) acceptClosedWindow() error {
	c.longBody = true
	return c.setUserTimeout(0)
}

// beginDelivery records that the caller receives the response as it arrives. With TCP_USER_TIMEOUT the kernel
// ends a connection after one probe that is not answered, and without it after two: one lost packet must not
// cut a response.
func (c *conn) beginDelivery() error {
	if c.longBody || c.delivering {
		return nil
	}
	c.delivering = true
	return c.setUserTimeout(0)
}

// endDelivery prepares the connection for the next call.
func (c *conn) endDelivery() error {
	if !c.delivering {
		return nil
	}
	c.delivering = false
	return c.setUserTimeout(userTimeout)
}

// conn is a connection to a backend server. It carries one call at a time.
type conn struct {
	*connend.Conn
	address string
	r       *bufio.Reader
	// head limits what is read for the head of a response.
	head   *headLimiter
	memory *membudget.Budget
	// deadline is the time by which the current call must be complete.
	deadline time.Time
	// expires is the time from which the connection must not be reused.
	expires time.Time
	// lastUsed is the time of the last response.
	lastUsed time.Time
	// calls holds the hashes of the IDs of all calls that were sent on the connection.
	calls []uint64
	// longBody is set once the connection has carried a long body, and delivering while a caller receives
	// the response as it arrives. TCP_USER_TIMEOUT holds if neither is set.
	longBody, delivering bool
}

// mayCarry reports whether a call may be sent on the connection: a late copy of the response to one with the
// same ID, however long ago that was, would be taken for its own.
func (c *conn) mayCarry(call uint64) bool {
	return len(c.calls) < maxCallsPerConn && !slices.Contains(c.calls, call)
}

// sentCalls remembers which calls were sent to which addresses. Copies of the responses to them may
// still come, and have the ID of the call. It is safe for concurrent use.
type sentCalls struct {
	seed maphash.Seed

	mu sync.Mutex
	// current and previous hold the hashes of addresses and IDs, the latter those before turnedAt.
	current, previous map[uint64]struct{}
	turnedAt          time.Time
}

func newSentCalls() *sentCalls { return &sentCalls{seed: maphash.MakeSeed()} }

func (s *sentCalls) hash(address, callID string) uint64 {
	return maphash.Comparable(s.seed, [2]string{address, callID})
}

// contains reports whether a call with the ID was sent to the address before.
func (s *sentCalls) contains(now time.Time, address, callID string) bool {
	h := s.hash(address, callID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.containsHash(now, h)
}

// containsHash does the same, and forgets what is too old. s.mu must be held.
func (s *sentCalls) containsHash(now time.Time, h uint64) bool {
	if age := now.Sub(s.turnedAt); age >= sentMemory || len(s.current) >= maxSent {
		s.previous, s.current, s.turnedAt = s.current, map[uint64]struct{}{}, now
		if age >= 2*sentMemory {
			s.previous = nil
		}
	}
	if _, found := s.current[h]; found {
		return true
	}
	_, found := s.previous[h]
	return found
}

// add records that a call is sent to the address, and reports whether one with the ID was before.
func (s *sentCalls) add(now time.Time, address, callID string) (again bool) {
	h := s.hash(address, callID)
	s.mu.Lock()
	defer s.mu.Unlock()
	again = s.containsHash(now, h)
	s.current[h] = struct{}{}
	return again
}

// get returns a connection to address: a reusable idle one, or a new one. If
// maxAge is positive, it limits the time since the last response on a reused
// connection. A call whose ID was sent to the address before gets a new connection: a late copy of the
// earlier response would be taken for its own.
func (p *connPool) get(ctx context.Context, address string, maxAge time.Duration, callID string) (*conn, error) {
	now, call := time.Now(), p.sent.hash(address, callID)
	for !p.sent.contains(now, address, callID) {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && (maxAge <= 0 || now.Sub(c.lastUsed) <= maxAge) && c.mayCarry(call) && c.isReusable() {
			connections.Add("reused", 1)
			return c, nil
		}
		c.Close()
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	attemptLatency.connect.Record(time.Now(), time.Since(now))
	return c, nil
}

// recordSent records that a call is sent on c, and reports whether one with the ID was sent to its address before.
func (p *connPool) recordSent(c *conn, callID string) (again bool) {
	c.calls = append(c.calls, p.sent.hash(c.address, callID))
	return p.sent.add(time.Now(), c.address, callID)
}

// dial opens a new connection to address.
func (p *connPool) dial(ctx context.Context, address string) (*conn, error) {
	dialed, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		connections.Add("failed", 1)
		return nil, err
	}
	connections.Add("opened", 1)
	raw := connend.New(dialed)
	head := &headLimiter{r: raw}
	return &conn{Conn: raw, address: address, r: bufio.NewReaderSize(head, readBuffer), head: head, memory: p.memory}, nil
}

// errHeadTooLong is returned when the head of a response exceeds maxHeadBytes.
var errHeadTooLong = errors.New("the head of the response is too long")

// headLimiter limits the bytes read while the head of a response is read.
type headLimiter struct {
	r io.Reader
	// reading is set while a head is read, and left is how much of it may be read still.
	reading bool
	left    int
	// lines is the number of lines of the head read so far, and hold the memory for it.
	lines int
	hold  *membudget.Hold
	// heardAt is when bytes arrived last, in nanoseconds since clockStart. Other goroutines
	// may read it.
	heardAt atomic.Int64
	// record gets what is read; nil for none.
	record *byteRecord
}

// clockStart is the start of the times kept in atomic variables, which count by the steady clock.
var clockStart = time.Now()

// lastHeard returns when bytes arrived last; the zero time if none have.
func (l *headLimiter) lastHeard() time.Time {
	at := l.heardAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return clockStart.Add(time.Duration(at))
}

// readRaw reads from the connection.
func (l *headLimiter) readRaw(p []byte) (int, error) {
	n, err := l.r.Read(p)
	if n > 0 {
		l.heardAt.Store(int64(time.Since(clockStart)))
		if l.record != nil {
			l.record.add(p[:n])
		}
	}
	return n, err
}

// begin starts the reading of a head, end ends it.
func (l *headLimiter) begin() { l.reading, l.left, l.lines = true, maxHeadBytes, 0 }
func (l *headLimiter) end()   { l.reading = false }

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.reading {
		return l.readRaw(p)
	}
	if l.left <= 0 || l.lines > maxHeadLines {
		return 0, errHeadTooLong
	}
	n, err := l.readRaw(p[:min(len(p), l.left)])
	l.left -= n
	l.lines += headLines(p[:n])
	if l.hold != nil && !l.hold.Cover(headCost(maxHeadBytes-l.left, l.lines)) {
		responseMemoryFull.Add("head", 1)
		return 0, errMemoryFull
	}
	return n, err
}

// setDeadline sets the time by which the current call must be complete; zero means none.
func (c *conn) setDeadline(deadline time.Time) error {
	c.deadline = deadline
	return c.SetDeadline(deadline)
}

// errBodyTooLong is returned when a body that nobody gets does not end.
var errBodyTooLong = errors.New("the body does not end")

// discard reads a body that nobody gets to its end, within limits.
func (c *conn) discard(body io.Reader, timeout time.Duration) error {
	limit := time.Now().Add(timeout)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		limit = c.deadline
	}
	if err := c.SetReadDeadline(limit); err != nil {
		return err
	}
	if b, ok := body.(*closeDelimitedBody); ok {
		body = b.ReadCloser // nobody gets the body, so whether it is whole does not matter
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes))
	switch {
	case err != nil:
		return err
	case n == maxDiscardedBytes:
		return errBodyTooLong
	}
	return c.SetReadDeadline(c.deadline)
}

// discardRecorded does the same and returns all bytes that have arrived behind the head, also those that are
// no part of the body. The caller must release the memory that they take.
func (c *conn) discardRecorded(body io.Reader, timeout time.Duration) (behind *byteRecord, err error) {
	behind = &byteRecord{hold: *c.memory.Hold(c.address, freeHeadMemory)}
	buffered, _ := c.r.Peek(c.r.Buffered())
	behind.add(buffered)
	c.head.record = behind
	defer func() { c.head.record = nil }()
	return behind, c.discard(body, timeout)
}

// staysOpen waits for d and reports whether the connection, on which nothing was sent, is
// still open and has received nothing.
func (c *conn) staysOpen(d time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := c.r.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

func (p *connPool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// put keeps a connection for reuse. Its last response must have been read
// completely.
func (p *connPool) put(c *conn, keepFor time.Duration) {
	now := time.Now()
	c.lastUsed, c.expires = now, now.Add(keepFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// closeIdle closes the idle connections to an address.
func (p *connPool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// sweep closes idle connections that have expired or whose address is not in
// current.
func (p *connPool) sweep(now time.Time, current map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		var live []*conn
		for _, c := range kept {
			if current[address] && now.Before(c.expires) {
				live = append(live, c)
			} else {
				c.Close()
			}
		}
		if len(live) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = live
	}
}

// isReusable reports whether an idle connection is open and has no unread bytes.
// Bytes received while idle belong to no call.
func (c *conn) isReusable() bool {
	unread, open := c.peek()
	return !unread && open
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *conn) hasUnread() bool {
	unread, _ := c.peek()
	return unread
}

// peek reports whether bytes have arrived that were not read, and whether the connection is open.
func (c *conn) peek() (unread, open bool) {
	if c.r.Buffered() > 0 {
		return true, true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, readErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread, open = readErr == nil && n > 0, errors.Is(readErr, unix.EAGAIN)
		return true
	})
	return unread, open && err == nil
}

// errOtherCall is returned when a connection delivered only responses to other
// calls.
var errOtherCall = errors.New("the answer belongs to another call")

// roundTrip sends req and reads the headers of the response. Responses for which
// isMatch returns false belong to other calls and are skipped. sent reports
// whether the backend server may have received any byte of the request. roundTrip
// does not watch ctx: the caller of roundTrip must close the connection when ctx
// ends.
func (c *conn) roundTrip(ctx context.Context, req *http.Request, bodyLength int, isMatch func(*http.Response) bool) (resp *http.Response, reqWrite *requestWrite, sent bool, err error) {
	reqWrite = c.write(req, bodyLength)
	if finished, err := reqWrite.result(); finished && err != nil {
		return nil, reqWrite, reqWrite.sent, err
	}
	for range maxStrayResponses + 1 {
		resp, err = c.readHead(req)
		if err != nil {
			return nil, reqWrite, true, err
		}
		if isMatch(resp) {
			if endsWithConnection(resp) {
				resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, conn: c.Conn, written: reqWrite.finished}
			}
			return resp, reqWrite, true, nil
		}
		if err := c.discard(resp.Body, strayTimeout); err != nil {
			return nil, reqWrite, true, fmt.Errorf("%w: %w", errOtherCall, err)
		}
	}
	return nil, reqWrite, true, errOtherCall
}

// endsWithConnection reports whether only the end of its connection marks the end of a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// closeDelimitedBody is a body whose end is that of its connection. It ends with io.EOF only if the connection ended in
// an orderly way behind the whole request.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *connend.Conn
	// written is closed when writing of the request has ended.
	written <-chan struct{}
	// end is the error that ended the body.
	end error
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cut := b.conn.AwaitDelivery(b.written); cut != nil {
			err = cut
		}
	}
	b.end = err
	return n, err
}

// requestWrite is the state of writing a request.
type requestWrite struct {
	// sent is set if any byte may have been written.
	sent bool
	// finished is closed when writing has ended. err must not be read before.
	finished chan struct{}
	// err is the error of the write, or nil if the whole request was written.
	err error
}

// result returns whether writing has ended, and if so its error.
func (w *requestWrite) result() (finished bool, err error) {
	select {
	case <-w.finished:
		return true, w.err
	default:
		return false, nil
	}
}

// complete reports whether the whole request has been written.
func (w *requestWrite) complete() bool {
	finished, err := w.result()
	return finished && err == nil
}

// write writes a request. It writes a request with a long body in the background.
func (c *conn) write(req *http.Request, bodyLength int) *requestWrite {
	out := &countingWriter{w: c.Conn}
	w := &requestWrite{finished: make(chan struct{})}
	if bodyLength <= asyncBodySize {
		w.err = req.Write(out)
		w.sent = out.n > 0
		close(w.finished)
		return w
	}
	w.sent = true
	go func() {
		defer close(w.finished)
		w.err = req.Write(out)
	}()
	return w
}

type countingWriter struct {
	w io.Writer
	n int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.n += n
	return n, err
}

// errFaultyFraming is returned for a response whose body has no certain end.
var errFaultyFraming = errors.New("the response has chunks, which its version of HTTP does not have")

// hasFaultyFraming reports whether the next head is one of HTTP/1.0 with a Transfer-Encoding. A head that does not fit
// into the read buffer is not looked at. Errors are left to the reader of the head.
func (c *conn) hasFaultyFraming() bool {
	const version = "HTTP/1.0"
	if start, _ := c.r.Peek(len(version)); string(start) != version {
		return false
	}
	for n := c.r.Buffered(); n <= c.r.Size(); n = max(n+1, c.r.Buffered()) {
		head, err := c.r.Peek(n)
		if bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n")) || err != nil {
			return responsescan.FaultyFraming(head)
		}
	}
	return false
}

// errInvalidStatus is returned for a response whose status is none.
var errInvalidStatus = errors.New("the status of the response is invalid")

// isStatus reports whether a response may have the status. 101 switches to another protocol, for which no request asks:
// what follows it is no response.
func isStatus(status int) bool {
	return status >= 100 && status < 600 && status != http.StatusSwitchingProtocols
}

// readHead reads the headers of the next response and skips interim (1xx)
// responses.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	for range maxInterimResponses + 1 {
		faulty := c.hasFaultyFraming()
		resp, err := http.ReadResponse(c.r, req)
		switch {
		case faulty:
			return nil, errFaultyFraming
		case err != nil:
			return nil, err
		case !isStatus(resp.StatusCode):
			return nil, fmt.Errorf("%w: %d", errInvalidStatus, resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			if c.head.hold != nil {
				c.head.hold.Shrink(headerCost(resp.Header)) // a part of the body may have counted as head
			}
			return resp, nil
		}
	}
	return nil, errHeadTooLong
}

// keepFor returns how long the connection may be kept for reuse after resp; 0 if
// it must be closed.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return 0
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return idleTimeout
}
