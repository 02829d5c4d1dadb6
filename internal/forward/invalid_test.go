package forward

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// Guards against a member that an earlier version has taken into the view, and that fails the calls which the
// valid members beside it can serve.
func TestUnusableMembersFailNoCalls(t *testing.T) {
	for name, odd := range map[string]*wire.Backend{
		"port 0":                 {Name: "odd", Address: "127.0.0.1:0"},
		"a zone":                 {Name: "odd", Address: "[fe80::1%none]:80"},
		"unspecified":            {Name: "odd", Address: "0.0.0.0:1"},
		"multicast":              {Name: "odd", Address: "224.0.0.1:80"},
		"broadcast":              {Name: "odd", Address: "255.255.255.255:80"},
		"no address":             {Name: "odd"},
		"no ip":                  {Name: "odd", Address: "nowhere"},
		"name with a line break": {Name: "odd\r\nAccount: other\r\n", Address: "127.0.0.1:0"},
		"name of 60 KiB":         {Name: strings.Repeat("n", 60<<10), Address: "127.0.0.1:0"},
		"greatest numbers":       {Name: "odd", Address: "127.0.0.1:0", AgentIncarnation: math.MaxUint64, EngineIncarnation: math.MaxUint64, MaxRunning: math.MaxUint32},
		"models without fields":  {Name: "odd", Address: "127.0.0.1:0", Models: []*wire.LoadedModel{{}, {WeightsVersion: "1e400"}}},
	} {
		for kind, change := range map[string]func(*wire.ForwardRoute){"idempotent": nil, "at most once": setAtMostOnce} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				answer := func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "", r.Header.Get("Account")) }
				valid := []string{startBackend(t, answer), startBackend(t, answer), startBackend(t, answer)}
				r := newFixture(t, forwardRoute(change), valid...)
				odd.Service, odd.FailureDomain = "lab", "a"
				r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Member{Member: &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: odd}}})
				r.f.selector.setView(r.log.Snapshot())
				for i := range 100 {
					status, body, _, err := r.call("Call", fmt.Sprint("c", i), "Stay", "yes")
					is.NoErr(err)
					if status != http.StatusOK || body != "indus" {
						t.Fatalf("call %d: status %d, %q", i, status, body)
					}
				}
			})
		}
	}
}
