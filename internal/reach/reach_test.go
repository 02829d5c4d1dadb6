package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// dialStep is what a fake dialer does with one connection: it returns err, or a connection
// if err is nil, after the time delay. A negative delay means that it hangs.
type dialStep struct {
	delay time.Duration
	err   error
}

// fakeDialer plays steps, the last one repeatedly.
type fakeDialer struct {
	steps []dialStep
	dials atomic.Int32
}

func (d *fakeDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	n := int(d.dials.Add(1))
	step := d.steps[min(n, len(d.steps))-1]
	var due <-chan time.Time
	if step.delay >= 0 {
		due = time.After(step.delay)
	}
	select {
	case <-due:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if step.err != nil {
		return nil, step.err
	}
	conn, peer := net.Pipe()
	_ = peer.Close()
	return conn, nil
}

// Guards against a lost packet, a refusal or an error of this process that counts as
// silence, and against silence that is found late.
func TestCheck(t *testing.T) {
	const hangs = -1
	for name, test := range map[string]struct {
		steps []dialStep
		want  Result
		took  time.Duration
		dials int32
	}{
		"established":                    {[]dialStep{{delay: time.Millisecond}}, Reachable, time.Millisecond, 1},
		"refused":                        {[]dialStep{{time.Millisecond, syscall.ECONNREFUSED}}, Reachable, time.Millisecond, 1},
		"slow but within the time":       {[]dialStep{{delay: 240 * time.Millisecond}}, Reachable, 240 * time.Millisecond, 2},
		"first packet lost":              {[]dialStep{{delay: hangs}, {delay: 2 * time.Millisecond}}, Reachable, 102 * time.Millisecond, 2},
		"no answer":                      {[]dialStep{{delay: hangs}}, Unreachable, checkTimeout, 2},
		"answer after the time":          {[]dialStep{{delay: 251 * time.Millisecond}}, Unreachable, checkTimeout, 2},
		"no route to the host":           {[]dialStep{{time.Millisecond, syscall.EHOSTUNREACH}}, Unreachable, 101 * time.Millisecond, 2},
		"no route at first":              {[]dialStep{{0, syscall.EHOSTUNREACH}, {delay: time.Millisecond}}, Reachable, 101 * time.Millisecond, 2},
		"no file descriptors":            {[]dialStep{{0, syscall.EMFILE}}, Unknown, 100 * time.Millisecond, 2},
		"no file descriptor, then hangs": {[]dialStep{{0, syscall.EMFILE}, {delay: hangs}}, Unknown, checkTimeout, 2},
		"unknown error":                  {[]dialStep{{0, errors.New("other")}}, Unknown, 100 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				dialer := &fakeDialer{steps: test.steps}
				began := time.Now()
				is.Equal(CheckWith(context.Background(), dialer, "a"), test.want)
				is.Equal(time.Since(began), test.took)
				is.Equal(dialer.dials.Load(), test.dials)
			})
		})
	}
}

// Guards against a check that says nothing since this process was short of processor time: streams of a dark
// server stood still until the next check, 1.15 s in all. A process that was paused for longer must not
// take a server that answers for a dark one.
// Guards against sound machines that count as silent since the network of the process that checks is
// slow or fails: then a machine that is known to run does not answer either.
func TestCheckWithWitness(t *testing.T) {
	const hangs = -1
	for name, test := range map[string]struct {
		checked, witness []dialStep
		want             Result
		took             time.Duration
	}{
		"machine gone":                    {[]dialStep{{delay: hangs}}, []dialStep{{delay: time.Millisecond}}, Unreachable, checkTimeout},
		"machine gone, witness refuses":   {[]dialStep{{delay: hangs}}, []dialStep{{time.Millisecond, syscall.ECONNREFUSED}}, Unreachable, checkTimeout},
		"no route to the host":            {[]dialStep{{0, syscall.EHOSTUNREACH}}, []dialStep{{delay: time.Millisecond}}, Unreachable, 101 * time.Millisecond},
		"own network slow":                {[]dialStep{{delay: 300 * time.Millisecond}}, []dialStep{{delay: 300 * time.Millisecond}}, NoneReachable, checkTimeout},
		"no route to any host":            {[]dialStep{{0, syscall.EHOSTUNREACH}}, []dialStep{{0, syscall.EHOSTUNREACH}}, NoneReachable, 100 * time.Millisecond},
		"no descriptor for the witness":   {[]dialStep{{delay: hangs}}, []dialStep{{0, syscall.EMFILE}}, Unknown, checkTimeout},
		"machine answers, witness is not": {[]dialStep{{delay: 200 * time.Millisecond}}, []dialStep{{delay: hangs}}, Reachable, 200 * time.Millisecond},
		"no witness":                      {[]dialStep{{delay: hangs}}, nil, Unreachable, checkTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				checked, other := &fakeDialer{steps: test.checked}, &fakeDialer{steps: test.witness}
				dialer := dialerFunc(func(ctx context.Context, network, address string) (net.Conn, error) {
					if address == "w" {
						return other.DialContext(ctx, network, address)
					}
					return checked.DialContext(ctx, network, address)
				})
				witness := func() string {
					if test.witness == nil {
						return ""
					}
					return "w"
				}
				began := time.Now()
				is.Equal(NewMonitor(dialer, nil).Check(context.Background(), "a", witness).Result, test.want)
				is.Equal(time.Since(began), test.took)
				is.True(other.dials.Load() <= 1)
			})
		})
	}
}

type dialerFunc func(ctx context.Context, network, address string) (net.Conn, error)

func (f dialerFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return f(ctx, network, address)
}

func TestCheckThatEndsLate(t *testing.T) {
	const hangs = -1
	type pause struct{ at, length time.Duration }
	dark := dialStep{delay: hangs}
	for name, test := range map[string]struct {
		steps  []dialStep
		pauses []pause
		want   Result
		took   time.Duration
	}{
		"dark, a little late":      {[]dialStep{dark}, []pause{{200 * time.Millisecond, maxOverrun}}, Unreachable, checkTimeout},
		"dark, late":               {[]dialStep{dark}, []pause{{200 * time.Millisecond, 130 * time.Millisecond}}, Unreachable, checkTimeout + lateCheckTimeout},
		"dark, late twice":         {[]dialStep{dark}, []pause{{200 * time.Millisecond, 130 * time.Millisecond}, {300 * time.Millisecond, 130 * time.Millisecond}}, Unknown, checkTimeout + lateCheckTimeout},
		"answers missed, late":     {[]dialStep{dark, dark, {delay: 90 * time.Millisecond}}, []pause{{200 * time.Millisecond, 10 * time.Second}}, Reachable, checkTimeout + 90*time.Millisecond},
		"no file descriptors":      {[]dialStep{dark, {0, syscall.EMFILE}, dark}, []pause{{200 * time.Millisecond, 130 * time.Millisecond}}, Unknown, checkTimeout},
		"no file descriptors then": {[]dialStep{dark, dark, {0, syscall.EMFILE}}, []pause{{200 * time.Millisecond, 130 * time.Millisecond}}, Unknown, checkTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				now := func() time.Time {
					at := time.Now()
					paused := time.Duration(0)
					for _, p := range test.pauses {
						if at.Sub(began) >= p.at {
							paused += p.length
						}
					}
					return at.Add(paused)
				}
				is.Equal(check(context.Background(), &fakeDialer{steps: test.steps}, "a", nil, now), test.want)
				is.Equal(time.Since(began), test.took)
			})
		})
	}
}

// Guards against a check that is broken off by its caller and counts as silence.
func TestCancelledCheckIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		is.Equal(CheckWith(ctx, &fakeDialer{steps: []dialStep{{delay: -1}}}, "a"), Unknown)
	})
}

// Guards against a check for each waiting attempt, and against a result that is used
// long after it was true.
func TestMonitorSharesChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dialer := &fakeDialer{steps: []dialStep{{delay: -1}}}
		checks := map[string]int{}
		m := NewMonitor(dialer, func(address string, r Result) { checks[address+" "+r.String()]++ })
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				if got := m.Check(context.Background(), "a", nil).Result; got != Unreachable {
					t.Errorf("got %v", got)
				}
			})
		}
		wg.Wait()
		is.Equal(checks["a unreachable"], 1)
		is.Equal(dialer.dials.Load(), int32(2))
		time.Sleep(ShareFor - checkTimeout - time.Millisecond)
		m.Check(context.Background(), "a", nil)
		is.Equal(checks["a unreachable"], 1)
		time.Sleep(time.Millisecond)
		m.Check(context.Background(), "b", nil) // another address
		is.Equal(checks["b unreachable"], 1)
		m.Check(context.Background(), "a", nil)
		is.Equal(checks["a unreachable"], 2)
		time.Sleep(2 * ShareFor)
		m.mu.Lock()
		defer m.mu.Unlock()
		is.Equal(len(m.known), 0)
	})
}

// Guards against a check that knows only the dialers of tests. A listener whose queue is full
// drops the packets of further connections, as a machine without power does.
func TestCheckOfDroppedConnections(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.Equal(Check(context.Background(), address), Reachable)
	raw, err := ln.(*net.TCPListener).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	is.NoErr(err)
	for full := false; !full; {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if full = err != nil; !full {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	is.Equal(Check(context.Background(), address), Unreachable)
	is.NoErr(ln.Close())
	is.Equal(Check(context.Background(), address), Reachable) // refused
}
