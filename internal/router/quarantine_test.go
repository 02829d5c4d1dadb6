package router

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

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
