package forward

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/permit"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

// revokeKey takes the API key out of the view.
func (r *fixture) revokeKey() {
	table := proto.CloneOf(r.log.Snapshot().Routes.Table)
	table.Version++
	table.Accounts[0].KeySha256 = nil
	r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_RouteTable{RouteTable: table}})
}

// jumpingClock is the steady clock, put forward by jumps.
type jumpingClock struct{ ahead atomic.Int64 }

func (c *jumpingClock) now() time.Time           { return steady.Now().Add(time.Duration(c.ahead.Load())) }
func (c *jumpingClock) jump(pause time.Duration) { c.ahead.Add(int64(pause)) }

// Guards against a call that runs by a key that was revoked after the call was admitted: while its body
// came slowly, while the router stood still before it sent the call, and before it is tried again.
func TestKeyRevokedAfterAdmission(t *testing.T) {
	t.Run("while the body comes", func(t *testing.T) {
		is := is.New(t)
		var arrived atomic.Int32
		r := newFixture(t, forwardRoute(nil), startBackend(t, func(c net.Conn, r *http.Request) {
			arrived.Add(1)
			writeResponse(c, r, 200, "", "whole")
		}))
		c, err := net.Dial("tcp", r.server.Listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		fmt.Fprint(c, "POST /p/x HTTP/1.1\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: 10\r\n\r\nhalf ")
		time.Sleep(50 * time.Millisecond) // admitted
		r.revokeKey()
		fmt.Fprint(c, "whole")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusUnauthorized)
		is.Equal(arrived.Load(), int32(0))
	})
	t.Run("while a connection is opened", func(t *testing.T) {
		is := is.New(t)
		var arrived atomic.Int32
		r := newFixture(t, forwardRoute(nil), startBackend(t, func(c net.Conn, r *http.Request) {
			arrived.Add(1)
			writeResponse(c, r, 200, "", "whole")
		}))
		var paused atomic.Bool
		r.f.connPool.dialer.Control = func(network, address string, c syscall.RawConn) error {
			if !paused.Swap(true) {
				r.revokeKey()
			}
			return controlSocket(network, address, c)
		}
		status, _, _, err := r.call()
		is.NoErr(err)
		is.Equal(status, http.StatusUnauthorized)
		is.Equal(arrived.Load(), int32(0))
	})
	t.Run("before it is tried again", func(t *testing.T) {
		is := is.New(t)
		var r *fixture
		var arrived atomic.Int32
		script := func(c net.Conn, _ *http.Request) {
			if arrived.Add(1) == 1 {
				r.revokeKey() // and the connection breaks
			}
		}
		r = newFixture(t, forwardRoute(nil), startBackend(t, script), startBackend(t, script))
		status, _, _, err := r.call()
		is.NoErr(err)
		is.Equal(status, http.StatusBadGateway) // it may have run
		is.Equal(arrived.Load(), int32(1))
	})
}

// Guards against a sound backend server that is avoided for a second, and by the call for good, since
// the router itself withdrew a call to it.
func TestWithdrawnCallDoesNotCountAgainstItsServer(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, forwardRoute(setAtMostOnce), startBackend(t, func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "", "whole") }))
	clock := &jumpingClock{}
	r.f.selector.mu.Lock()
	r.f.selector.clock = clock.now
	r.f.selector.mu.Unlock()
	var dials atomic.Int32
	r.f.connPool.dialer.Control = func(network, address string, c syscall.RawConn) error {
		if dials.Add(1) == 1 {
			clock.jump(10 * time.Second)
		}
		return controlSocket(network, address, c)
	}
	for range 2 {
		status, _, _, err := r.call()
		is.NoErr(err)
		is.Equal(status, 200)
	}
}

// Guards against a call that is sent by a selection, with its permit and weights, from before a pause of
// the process.
func TestCallSelectedBeforeAPauseIsSelectedAnew(t *testing.T) {
	is := is.New(t)
	var attempts []string
	script := func(c net.Conn, r *http.Request) {
		attempts = append(attempts, r.Header.Get("For"))
		writeResponse(c, r, 200, "", "whole")
	}
	r := newFixture(t, forwardRoute(setAtMostOnce), startBackend(t, script), startBackend(t, script))
	clock := &jumpingClock{}
	r.f.selector.mu.Lock()
	r.f.selector.clock = clock.now
	r.f.selector.mu.Unlock()
	var dials atomic.Int32
	r.f.connPool.dialer.Control = func(network, address string, c syscall.RawConn) error {
		if dials.Add(1) == 1 {
			clock.jump(10 * time.Second)
		}
		return controlSocket(network, address, c)
	}
	status, _, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(len(attempts), 1) // the first selection was not used
	is.Equal(dials.Load(), int32(2))
}

// Guards against a permit that is used after it has ended: while the call waited for the selector's lock
// or the process stood still, or while the VM was suspended, which the clock of time.Now leaves out.
func TestPermitEndsDuringAPause(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		ok    bool
	}{"no pause": {0, true}, "pause": {permit.Lifetime, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newFixture(t, forwardRoute(nil), "127.0.0.1:9")
			sel := r.f.selector
			clock := &jumpingClock{}
			sel.mu.Lock()
			sel.clock = clock.now
			sel.mu.Unlock()
			d, err := sel.selectBackend(&routing.Request{Service: "lab"}, startLimits{})
			is.NoErr(err)
			sel.recordNotices(d, ResponseInfo{FromBackend: true, LimitPerSecond: 10})
			_, err = sel.selectBackend(&routing.Request{Service: "lab"}, startLimits{})
			is.True(errors.Is(err, routing.ErrPermitsNeeded))
			_, sentAt := sel.permitRequest()
			sel.permitsReceived(sentAt, &wire.PermitReply{Grants: []*wire.PermitGrant{{Server: uint64(permit.KeyOf(d.Backend)), Permits: []uint32{5}}}})
			clock.jump(test.pause)
			_, err = sel.selectBackend(&routing.Request{Service: "lab"}, startLimits{})
			is.Equal(err == nil, test.ok)
		})
	}
}

// Guards against a reply to a request for permits that waited in a socket while the router stood still:
// the permits in it are counted from the request.
func TestPermitsOfALateReplyHaveEnded(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, forwardRoute(nil), "127.0.0.1:9")
	sel := r.f.selector
	clock := &jumpingClock{}
	sel.mu.Lock()
	sel.clock = clock.now
	sel.mu.Unlock()
	d, err := sel.selectBackend(&routing.Request{Service: "lab"}, startLimits{})
	is.NoErr(err)
	sel.recordNotices(d, ResponseInfo{FromBackend: true, LimitPerSecond: 10})
	_, sentAt := sel.permitRequest()
	clock.jump(time.Second)
	sel.permitsReceived(sentAt, &wire.PermitReply{Grants: []*wire.PermitGrant{{Server: uint64(permit.KeyOf(d.Backend)), Permits: []uint32{5}}}})
	_, err = sel.selectBackend(&routing.Request{Service: "lab"}, startLimits{})
	is.True(err != nil)
}

// Guards against retries that a router counts in a window that is over, or does not count, as it stood
// still or its VM was suspended in between.
func TestRetryBudgetAfterAPause(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, forwardRoute(nil), "127.0.0.1:9")
	sel := r.f.selector
	clock := &jumpingClock{}
	sel.mu.Lock()
	sel.clock = clock.now
	sel.mu.Unlock()
	for range 1000 {
		sel.recordCall("lab")
	}
	clock.jump(sel.limits.Window) // these calls allow no retries any more
	allowed := 0
	for sel.tryRetry("lab") {
		allowed++
	}
	is.True(allowed <= int(sel.limits.ExtraRetries)/sel.limits.Routers)
	is.True(!strings.Contains(fmt.Sprint(sel.budgets["lab"].calls), "1000"))
}
