package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stop that closes connections without an answer: of requests that are read while it
// begins, that come first on an accepted connection or second on a kept one, or that run.
func TestStopDropsNoRequests(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	for name, test := range map[string]struct {
		// before is sent before the stop, and after soon after it has begun.
		before, after string
		// kept is set if an earlier request was answered on the connection.
		kept bool
	}{
		"accepted, not read":     {"", request, false},
		"head read in part":      {request[:20], request[20:], false},
		"body read in part":      {request[:len(request)-2], request[len(request)-2:], false},
		"second request":         {"", request, true},
		"second request in part": {request[:20], request[20:], true},
		"running":                {request, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(60 * time.Millisecond)
				fmt.Fprint(w, "done")
			})}, ln)
			served := make(chan error, 1)
			go func() { served <- s.Serve() }()
			c, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			r := bufio.NewReader(c)
			read := func() *http.Response {
				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				return resp
			}
			if test.kept {
				io.WriteString(c, request)
				is.True(!read().Close)
			}
			io.WriteString(c, test.before)
			time.Sleep(20 * time.Millisecond)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(context.Background()) }()
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, test.after)
			is.Equal(read().StatusCode, 200)
			is.NoErr(<-stopped)
			is.NoErr(<-served)
			_, err = r.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

// Guards against a stop that does not end: connections without a request, idle ones, and requests that
// outlast the planned stop.
func TestStopEnds(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	block, runs := make(chan struct{}), make(chan struct{})
	defer close(block)
	s := NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(runs); <-block })}, ln)
	go func() { _ = s.Serve() }()
	silent, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer silent.Close()
	began := time.Now()
	running, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer running.Close()
	io.WriteString(running, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-runs
	ctx, cancel := context.WithTimeout(context.Background(), 2*firstRequestTime)
	defer cancel()
	is.True(s.Stop(ctx) != nil) // cuts the request that runs
	is.True(time.Since(began) < 4*firstRequestTime)
}

// Guards against a stop that reports cut requests where none were running, or takes a request that its
// caller left for one that the stop cut.
func TestStopReportsTheRequestsThatItCuts(t *testing.T) {
	for name, running := range map[string]int{"none": 0, "two": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			runs, cut := make(chan struct{}), make(chan bool, 3)
			s := NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				runs <- struct{}{}
				<-r.Context().Done()
				cut <- CutByStop(r.Context())
			})}, ln)
			go func() { _ = s.Serve() }()
			request := func() net.Conn {
				c, err := net.Dial("tcp", ln.Addr().String())
				is.NoErr(err)
				t.Cleanup(func() { c.Close() })
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
				<-runs
				return c
			}
			request().Close()
			is.True(!<-cut) // the caller left
			for s.running() > 0 {
				time.Sleep(time.Millisecond)
			}
			for range running {
				request()
			}
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			err = s.Stop(ended)
			if running == 0 {
				is.NoErr(err)
				return
			}
			is.Equal(err, &CutError{running})
			for range running {
				is.True(<-cut)
			}
		})
	}
}

// Guards against a stop that closes the connections of running requests since it got no processor time
// between two checks: the time in which nothing was checked counted as time without requests.
func TestStopThatStandsStillCutsNothing(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	runs, answer := make(chan struct{}), make(chan struct{})
	s := NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(runs)
		<-answer
		fmt.Fprint(w, "done")
	})}, ln)
	go func() { _ = s.Serve() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-runs
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for range 3 { // the stop stands still while it looks for requests
		time.Sleep(4 * stopPoll)
		s.mu.Lock()
		time.Sleep(2 * stopSettleTime)
		s.mu.Unlock()
	}
	close(answer)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(<-stopped)
}

// Guards against a stop that closes a connection as idle while a request is read from it: a connection from
// which part of a head was read is kept until the rest has come or is late, and what comes on one that was closed
// is not read, so that no handler runs for a caller that gets no answer.
func TestIdleConnectionsAreClosedOrRead(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	idle := func(ago time.Duration) connStatus { return connStatus{http.StateIdle, now.Add(-ago)} }
	for name, test := range map[string]struct {
		status connStatus
		// read is how long ago bytes were read; 0 if none were.
		read   time.Duration
		closed bool
	}{
		"idle":                             {idle(time.Minute), 0, true},
		"idle, the last request long ago":  {idle(time.Minute), time.Minute + time.Second, true},
		"part of a head":                   {idle(time.Minute), 900 * time.Millisecond, false},
		"part of a head, the rest is late": {idle(time.Minute), 1100 * time.Millisecond, true},
		"read before the response ended":   {idle(10 * time.Millisecond), 11 * time.Millisecond, false},
		"new":                              {connStatus{http.StateNew, now.Add(-time.Millisecond)}, 0, false},
		"new for long":                     {connStatus{http.StateNew, now.Add(-2 * time.Second)}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ours, theirs := net.Pipe()
			defer theirs.Close()
			c := &stopConn{Conn: ours}
			if test.read > 0 {
				c.readAt = now.Add(-test.read)
			}
			is.Equal(c.closeIdle(now, test.status), test.closed)
			if !test.closed {
				go func() { _, _ = theirs.Write([]byte("x")) }()
			}
			n, err := c.Read(make([]byte, 1))
			is.Equal(n == 1 && err == nil, !test.closed)
		})
	}
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &stopConn{Conn: ours, ended: true} // closed while the read had its bytes already
	go func() { _, _ = theirs.Write([]byte("x")) }()
	n, err := c.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.True(err != nil)
}

// slowListener accepts connections with a delay, as in a process that gets little processor time.
type slowListener struct {
	*net.TCPListener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	return l.TCPListener.Accept()
}

// Guards against a stop that resets connections which callers have opened but the server has not accepted
// yet: each of them gets an answer.
func TestStopAcceptsQueuedConnections(t *testing.T) {
	const callers = 20
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	slow := slowListener{ln.(*net.TCPListener), 10 * time.Millisecond}
	s := NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, LimitListener(slow, "test", 100))
	go func() { _ = s.Serve() }()
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		defer c.Close()
		conns = append(conns, c)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
	}
	is.NoErr(s.Stop(t.Context()))
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}
