//go:build faults

package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"parsleypulley/internal/operator"
	"parsleypulley/internal/standin"
)

// drainTimeout is the time within which a drained backend server must stop receiving
// requests.
const drainTimeout = 3 * time.Second

// longStreamTimeout is the deadline of streams that must complete during a drain.
const longStreamTimeout = time.Minute

// isControl reports whether name is the name of a control process.
func isControl(name string) bool { return strings.HasPrefix(name, "control-") }

// cutFromControl returns the function to pass to network.cut in order to isolate the
// named processes from all control replicas.
func cutFromControl(names ...string) func(a, b string) bool {
	return func(a, b string) bool {
		for _, name := range names {
			if a == name && isControl(b) {
				return true
			}
		}
		return false
	}
}

// TestDrainStopsNewRequests drains an engine and a plain service under load. They
// must not get new requests, not even when a router or their agents are cut off from
// control and have an outdated view. Running streams must complete.
func TestDrainStopsNewRequests(t *testing.T) {
	tests := map[string]func(a, b string) bool{
		"all links up":                       nil,
		"router cut from control":            cutFromControl("router-0"),
		"agents cut from control":            cutFromControl("runner-0", "farmdesk-0"),
		"router and agents cut from control": cutFromControl("router-0", "runner-0", "farmdesk-0"),
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			in := newInstallation(t, layout{network: true})
			l := startLoad(in)
			l.waitForProgress("requests before the drain")
			streams := startLongStreams(in, l)
			if cut != nil {
				in.network.cut(cut)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			for _, backend := range []string{"runner-0", "farmdesk-0"} {
				if result, err := in.client.ChangeBackend(ctx, backend, operator.Drain); err != nil || !result.Accepted {
					t.Fatalf("drain of %s: %+v, %v", backend, result, err)
				}
			}
			time.Sleep(drainTimeout)
			before := in.requestsBegun("runner-0") + in.requestsBegun("farmdesk-0")
			l.waitForProgress("requests after the drain")
			if after := in.requestsBegun("runner-0") + in.requestsBegun("farmdesk-0"); after != before {
				t.Errorf("%d requests began at drained backend servers %v after the drain", after-before, drainTimeout)
			}
			for range cap(streams) {
				if err := <-streams; err != nil {
					t.Error(err)
				}
			}
			l.stopAndCheck(t)
		})
	}
}

// requestsBegun returns the number of requests that have started at a backend server.
func (in *installation) requestsBegun(backend string) int {
	n := 0
	for _, runs := range in.counts(backend, 0).Requests {
		n += runs
	}
	return n
}

// startLongStreams starts streams that last longer than a drain, enough of them to
// reach every engine. It returns a channel that receives the error of each.
func startLongStreams(in *installation, l *load) chan error {
	const n, tokens = 9, 1500
	results := make(chan error, n)
	for i := range n {
		router := fmt.Sprint("router-", i%routers)
		body := fmt.Sprintf(`{"model":"assessor","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"long %d"}]}`, tokens, i)
		resp, err := l.postWithTimeout(longStreamTimeout, router, "/v1/chat/completions", "", body)
		if err != nil || resp.StatusCode != http.StatusOK {
			in.t.Fatalf("long stream %d through %s did not start: %v", i, router, err)
		}
		go func() {
			defer resp.Body.Close()
			text, complete := readStream(resp.Body)
			prompt, _ := standin.Prompt([]byte(body))
			if !complete || text != standin.Output(prompt, "assessor", "1", tokens) {
				results <- fmt.Errorf("long stream %d at %s was cut: complete %t after %d bytes", i, resp.Header.Get("X-Backend-Server"), complete, len(text))
				return
			}
			results <- nil
		}()
	}
	return results
}
