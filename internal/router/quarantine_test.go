package router

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// TestQuarantineIsCheckedBeforeEachAttempt checks that a request that is quarantined
// during its first attempt is not retried.
func TestQuarantineIsCheckedBeforeEachAttempt(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	var attempts atomic.Int32
	address := s.serveLink(link.HandlerFunc(func(_ context.Context, call *link.Call) error {
		d := call.Request.GetDispatch()
		if d == nil {
			return call.Send(&wire.Response{})
		}
		attempts.Add(1)
		for incarnation := range uint64(2) {
			s.apply(&wire.Command{Body: &wire.Command_Crash{Crash: &wire.CrashReport{Account: d.Account, Fingerprint: d.Fingerprint,
				RequestId: "of another router", Backend: "runner-9", EngineIncarnation: incarnation + 1}}})
		}
		return fault.New(fault.BackendRefused, fault.NotRun, "not this one")
	}))
	for i := range 2 {
		name := fmt.Sprint("runner-", i)
		s.apply(&wire.Command{Body: &wire.Command_Backend{Backend: &wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: name,
			Backend: &wire.Backend{Name: name, AgentAddress: address, FailureDomain: "punjab-a", AgentIncarnation: 1, EngineIncarnation: 1,
				MaxRunning: 16, Models: []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "1"}}}}}})
	}
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", s.addRouter()+"/v1/chat/completions", chatBody))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	code, ran := errorOf(t, resp)
	is.Equal(code, "request_quarantined")
	is.Equal(ran, "not_run")
	is.Equal(attempts.Load(), int32(1))
}

// An opening that crashes the engines of all requests that have it must be refused at all
// routers, and no other opening, however the requests go on.
func TestOpeningThatCrashesEnginesIsRefused(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	var crashes atomic.Int32
	join := func(name, address string, incarnation uint64) {
		s.apply(&wire.Command{Body: &wire.Command_Backend{Backend: &wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: name,
			Backend: &wire.Backend{Name: name, AgentAddress: address, FailureDomain: "punjab-a", AgentIncarnation: 1, EngineIncarnation: incarnation,
				MaxRunning: 16, Models: []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "1"}}}}}})
	}
	for i := range 6 {
		name, address := fmt.Sprint("runner-", i), ""
		address = s.serveLink(link.HandlerFunc(func(_ context.Context, call *link.Call) error {
			d := call.Request.GetDispatch()
			switch {
			case d == nil:
				return call.Send(&wire.Response{})
			case !strings.Contains(string(d.Body), "crashing opening"):
				return fault.New(fault.BackendRefused, fault.NotRun, "not this one")
			}
			crashes.Add(1)
			join(name, address, d.EngineIncarnation+1)
			return fault.New(fault.BackendCrashed, fault.Unknown, "crashed")
		}))
		join(name, address, 1)
	}
	urls := []string{s.addRouter(), s.addRouter()}
	call := func(i int, opening string) (code, ran string) {
		body := fmt.Sprintf(`{"model":"assessor","messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`, opening, i)
		resp, err := http.DefaultClient.Do(newRequest(t, "POST", urls[i%2]+"/v1/chat/completions", body))
		is.NoErr(err)
		return errorOf(t, resp)
	}
	for i := range 8 {
		call(i, "crashing opening")
		time.Sleep(300 * time.Millisecond) // the quarantine of an opening is confirmed first
	}
	is.True(crashes.Load() <= 6) // four are counted, and a request has two attempts
	code, ran := call(9, "crashing opening")
	is.Equal(code, "request_quarantined")
	is.Equal(ran, "not_run")
	code, _ = call(10, "another opening")
	is.True(code != "request_quarantined")
}

// While crashes could not be reported, a request crashed two more engines each time it came.
func TestCrashingRequestIsRefusedWhileControlIsOutOfReach(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	s.client.SetCallTimeout(50 * time.Millisecond)
	var crashes atomic.Int32
	address := s.serveLink(link.HandlerFunc(func(_ context.Context, call *link.Call) error {
		d := call.Request.GetDispatch()
		if d == nil {
			return call.Send(&wire.Response{})
		}
		crashes.Add(1)
		return fault.New(fault.BackendCrashed, fault.Unknown, "crashed")
	}))
	for i := range 8 {
		name := fmt.Sprint("runner-", i)
		s.apply(&wire.Command{Body: &wire.Command_Backend{Backend: &wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: name,
			Backend: &wire.Backend{Name: name, AgentAddress: address, FailureDomain: "punjab-a", AgentIncarnation: 1, EngineIncarnation: uint64(i + 1),
				MaxRunning: 16, Models: []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "1"}}}}}})
	}
	url := s.addRouter()
	s.outOfReach.Store(true)
	for range 4 {
		resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", chatBody))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	}
	is.Equal(crashes.Load(), int32(2))
}
