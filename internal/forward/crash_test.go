package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/crashreport"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// fakeControl counts crashes like the control replicas.
type fakeControl struct {
	mu      sync.Mutex
	table   *quarantine.Table
	reports []*wire.CrashReport
	// down makes all proposals fail.
	down bool
}

func newFakeControl() *fakeControl {
	return &fakeControl{table: quarantine.NewTable(quarantine.DefaultLimits())}
}

func (f *fakeControl) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeControl) Propose(_ context.Context, command *wire.Command) (*wire.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("no leader")
	}
	if reports := command.GetCrashes().GetReports(); reports != nil {
		f.reports = append(f.reports, reports...)
		results, _ := f.table.ReportAll(0, reports)
		return &wire.CommandResult{Body: &wire.CommandResult_Crashes{Crashes: &wire.CrashResults{Results: results}}}, nil
	}
	f.reports = append(f.reports, command.GetCrash())
	outcome := f.table.Report(0, command.GetCrash())
	return &wire.CommandResult{Body: &wire.CommandResult_Crash{Crash: outcome.Result}}, nil
}

// counted returns the numbers of crashes reported and of requests cleared.
func (f *fakeControl) counted() (crashes, cleared int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reports {
		if r.GetCleared() {
			cleared++
		} else {
			crashes++
		}
	}
	return crashes, cleared
}

// mortalBackend starts a backend server that ends under the first request that dies
// accepts. It returns its address.
func mortalBackend(t *testing.T, dies func(r *http.Request) bool) string {
	var ln net.Listener
	ready := make(chan struct{})
	script := func(c net.Conn, r *http.Request) {
		<-ready
		if dies(r) {
			ln.Close()
			return
		}
		writeResponse(c, r, 200, "", "whole")
	}
	ln = listenBackend(t, script)
	close(ready)
	return ln.Addr().String()
}

// A call that ends every backend server is refused after three, also while control can't
// count; the backend servers that are left serve other calls.
func TestCallThatEndsBackendsIsQuarantined(t *testing.T) {
	for name, down := range map[string]bool{"with control": false, "control out of reach": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ended atomic.Int32
			dies := func(r *http.Request) bool {
				if r.Header.Get("Deadly") == "" {
					return false
				}
				ended.Add(1)
				return true
			}
			var addresses []string
			for range 6 {
				addresses = append(addresses, mortalBackend(t, dies))
			}
			r := newFixture(t, forwardRoute(nil), addresses...)
			r.control.setDown(down)
			var statuses []int
			for i := range 6 {
				status, _, _, err := r.call("Call", fmt.Sprint("c", i), "Deadly", "1")
				is.NoErr(err)
				statuses = append(statuses, status)
			}
			is.Equal(ended.Load(), int32(3))
			refused := fault.Quarantined.Response().Status
			is.Equal(statuses, []int{502, refused, refused, refused, refused, refused})
			status, _, h, err := r.call("Call", "d")
			is.NoErr(err)
			is.Equal(status, refused) // the same call, whatever its own headers
			is.Equal(h.Get("Content-Type"), "text/plain; charset=utf-8")
		})
	}
}

// Guards against ends of backend servers that are not counted since their last event could not be
// sent to the caller: the router ends such an attempt before it sees that the connection has ended.
// A call that ends servers then reached further ones.
func TestEndsAfterUnusableEventsAreCounted(t *testing.T) {
	for name, second := range map[string]string{
		"begins anew":         eventText(1, 1),
		"leaves an event out": eventText(3, 3),
		"event without an ID": "data: x\n\n",
		"document":            "an error\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ended atomic.Int32
			var addresses []string
			for range 6 {
				var ln net.Listener
				ready := make(chan struct{})
				ln = listenBackend(t, func(c net.Conn, r *http.Request) {
					<-ready
					ended.Add(1)
					ln.Close()
					events := eventText(1, 1)
					if r.Header.Get("After") != "" {
						events = second
					}
					writeStream(c, r, streamType, events, false)
				})
				close(ready)
				addresses = append(addresses, ln.Addr().String())
			}
			r := newFixture(t, forwardRoute(setResumableStream), addresses...)
			for i := range 3 {
				_, _, _, _ = r.call("Call", fmt.Sprint("c", i)) // it breaks off, or is refused
			}
			is.Equal(ended.Load(), int32(quarantine.SharedCrashLimit))
			crashes, _ := r.control.counted()
			is.Equal(crashes, quarantine.SharedCrashLimit)
		})
	}
}

// A backend server that breaks off its answers but lives is not counted against calls.
func TestBrokenResponsesOfLivingBackendsAreNotCrashes(t *testing.T) {
	is := is.New(t)
	cut := startBackend(t, func(c net.Conn, r *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 100\r\n\r\npart")
	})
	r := newFixture(t, forwardRoute(setAtMostOnce), cut)
	for i := range 8 {
		_, _, _, err := r.call("Call", fmt.Sprint("c", i))
		is.NoErr(err)
	}
	crashes, _ := r.control.counted()
	is.Equal(crashes, 0)
}

// A call that was running when a backend server ended for another reason is cleared once
// it has completed.
func TestCallThatCompletesIsCleared(t *testing.T) {
	is := is.New(t)
	var once sync.Once
	dies := func(*http.Request) bool {
		first := false
		once.Do(func() { first = true })
		return first
	}
	r := newFixture(t, forwardRoute(nil), mortalBackend(t, dies), mortalBackend(t, dies))
	status, _, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, 200)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, cleared := r.control.counted(); cleared > 0 {
			break
		}
	}
	crashes, cleared := r.control.counted()
	is.Equal(crashes, 1)
	is.Equal(cleared, 1)
	is.True(r.f.crashes.reporter.Empty()) // further calls need no fingerprint
}

// A process that ends may close its listener a little after its connections.
func TestListenerThatClosesLate(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		if c, err := ln.Accept(); err == nil {
			ln.Close()
			c.Close()
		}
	}()
	r := newFixture(t, nil)
	ended, held := r.f.backendEnded(context.Background(), ln.Addr().String(), time.Second)
	is.True(ended && !held)
	living, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer living.Close()
	ended, held = r.f.backendEnded(context.Background(), living.Addr().String(), time.Millisecond)
	is.True(!ended && held)
}

// Ends of backend servers whose address another one takes at once were not counted: there
// was always one that listened.
func TestReplacedBackendCountsAsEnded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	snapshot := func(members ...*wire.Member) *view.Snapshot {
		s, err := view.FromMessage(&wire.View{Members: members})
		is.NoErr(err)
		return s
	}
	at := func(name, address string) *wire.Member {
		return &wire.Member{Backend: &wire.Backend{Name: name, Address: address}}
	}
	g := newCrashGuard(nil)
	g.addBrokenOff(now, "a:1", []*wire.CrashReport{{Backend: "i-1"}})
	g.addBrokenOff(now, "a:2", []*wire.CrashReport{{Backend: "i-2"}})
	is.Equal(len(g.replaced(now, snapshot(at("i-1", "a:1"), at("i-2", "a:2")))), 0) // both live
	is.Equal(len(g.replaced(now, snapshot(at("i-1", "a:1")))), 0)                   // gone, and nobody took its place
	reports := g.replaced(now.Add(time.Second), snapshot(at("i-1", "a:1"), at("i-3", "a:2")))
	is.Equal(len(reports), 1)
	is.Equal(reports[0].reports[0].GetBackend(), "i-2")
	g.replaced(now.Add(replacementTimeout), snapshot(at("i-1", "a:1")))
	is.Equal(len(g.brokenOff), 0) // forgotten
	for range maxBrokenOff + 1 {
		g.addBrokenOff(now, "a:1", []*wire.CrashReport{{Backend: "i-1"}})
	}
	is.Equal(len(g.brokenOff), maxBrokenOff)
}

// A quarantined call is refused as not run only if no attempt can have run.
func TestQuarantinedStep(t *testing.T) {
	is := is.New(t)
	s := RetryState{Idempotent: true, MaxAttempts: 2, Deadline: time.Unix(1000, 0)}
	is.Equal(s.Quarantined("").Err.Outcome, fault.NotRun)
	s.RecordAttempt()
	s.Next(time.Unix(900, 0), Refused, func() bool { return true })
	is.Equal(s.Quarantined("").Err.Outcome, fault.NotRun)
	s.RecordAttempt()
	s.Next(time.Unix(900, 0), InvalidResponse, func() bool { return true })
	is.Equal(s.Quarantined("").Err.Outcome, fault.Unknown)
	s.RecordDelivery()
	is.True(s.Quarantined("").Abort)
}

// A router that knows a quarantine by the view alone refuses the call.
func TestQuarantineOfTheViewIsKept(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Bool
	r := newFixture(t, forwardRoute(nil), startBackend(t, func(c net.Conn, r *http.Request) {
		arrived.Store(true)
		writeResponse(c, r, 200, "", "whole")
	}))
	c := &forwardedCall{r: &http.Request{Method: http.MethodPost, Host: "one.example", URL: &url.URL{Path: "/p/x"}}, account: &wire.Account{Name: "indus"}, body: []byte("body")}
	key := c.quarantineKey()
	r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Quarantine{Quarantine: &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint), Crashes: 3}}})
	is.True(!r.f.crashes.reporter.Empty())
	status, _, _, err := r.call()
	is.NoErr(err)
	is.Equal(status, fault.Quarantined.Response().Status)
	is.True(!arrived.Load())
	r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Quarantine{Quarantine: &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint)}}})
	status, _, _, err = r.call()
	is.NoErr(err)
	is.Equal(status, 200)
}

// partEvent returns the event that quarantines a part of the prompts of the account indus, or
// suspects it.
func partEvent(part string, suspect bool) *wire.ViewEvent {
	key := quarantine.PromptParts("indus", []string{part, ""})[0]
	return &wire.ViewEvent{Body: &wire.ViewEvent_Quarantine{Quarantine: &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint), Crashes: 4, Suspect: suspect}}}
}

// Calls that wait at a backend server with a part of their prompt that is quarantined would
// end it one after the other; others must go on there.
func TestWaitingCallsEndWhenTheirPartIsQuarantined(t *testing.T) {
	is := is.New(t)
	var waiting, cancelled atomic.Int32
	answer := make(chan struct{})
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Prompts = true }), startBackend(t, func(c net.Conn, r *http.Request) {
		waiting.Add(1)
		gone := make(chan struct{})
		go func() {
			_, _ = c.Read(make([]byte, 1)) // ends when the connection does
			close(gone)
		}()
		select {
		case <-gone:
			cancelled.Add(1)
		case <-answer:
			writeResponse(c, r, 200, "", "whole")
		}
	}))
	statuses := map[string]chan int{}
	for _, parts := range []string{"opening,x,last", "x,last", "opening,context,x"} {
		status := make(chan int, 1)
		statuses[parts] = status
		go func() {
			got, _, _, err := r.call("Call", parts, "Parts", parts)
			if err != nil {
				got = 0
			}
			status <- got
		}()
	}
	for end := time.Now().Add(5 * time.Second); waiting.Load() < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(waiting.Load(), int32(3))
	r.appendEvent(partEvent("context", true)) // no more than a suspicion
	r.appendEvent(partEvent("x", false))
	refused := fault.Quarantined.Response().Status
	is.Equal(<-statuses["opening,x,last"], refused)
	is.Equal(<-statuses["x,last"], refused)
	for end := time.Now().Add(5 * time.Second); cancelled.Load() < 2 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(cancelled.Load(), int32(2)) // their connections have ended
	close(answer)
	is.Equal(<-statuses["opening,context,x"], 200) // the last part is that of the call alone
	is.Equal(cancelled.Load(), int32(2))
	status, _, _, err := r.call("Call", "later", "Parts", "x,another last")
	is.NoErr(err)
	is.Equal(status, refused) // not sent at all
	is.Equal(waiting.Load(), int32(3))
}

// Guards against responses that have begun and are cut since a part of their prompt is quarantined: a long body, and
// a stream of which only a comment has come.
func TestQuarantineCutsNoBegunResponse(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+10)
	for name, test := range map[string]struct {
		stream              bool
		header, begin, rest string
		body                string
	}{
		"long body": {false, fmt.Sprintf("Content-Length: %d\r\n", len(long)+4), long, "rest", long + "rest"},
		"comment":   {true, "Content-Type: text/event-stream\r\nConnection: close\r\n", ":c\n\n", eventsText(1, 2), ":c\n\n" + eventsText(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			goOn := make(chan struct{})
			r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Prompts, r.Stream = true, test.stream }), startBackend(t, func(c net.Conn, r *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\n%s\r\n%s", r.Header.Get("Call"), test.header, test.begin)
				<-goOn
				fmt.Fprint(c, test.rest)
			}))
			time.AfterFunc(100*time.Millisecond, func() { r.appendEvent(partEvent("x", false)) })
			time.AfterFunc(300*time.Millisecond+crashreport.PartConfirmTime, func() { close(goOn) })
			status, body, _, err := r.call("Parts", "x,last")
			is.NoErr(err)
			is.Equal(status, 200)
			is.True(body == test.body)
		})
	}
}

// What a served call had in its prompt did not end a backend server, whoever suspects it.
func TestServedPartsAreCleared(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) { r.Prompts = true }), startBackend(t, func(c net.Conn, r *http.Request) {
		writeResponse(c, r, 200, "", "whole")
	}))
	r.appendEvent(partEvent("opening", true))
	r.appendEvent(partEvent("other", true))
	status, _, _, err := r.call("Parts", "opening,last")
	is.NoErr(err)
	is.Equal(status, 200)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, cleared := r.control.counted(); cleared > 0 {
			break
		}
	}
	_, cleared := r.control.counted()
	is.Equal(cleared, 1)
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	is.Equal(string(r.control.reports[0].GetFingerprint()), quarantine.PromptParts("indus", []string{"opening", ""})[0].Fingerprint)
}
