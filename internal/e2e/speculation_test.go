//go:build faults

package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"parsleypulley/internal/operator"
	"parsleypulley/internal/wire"
)

// TestSpeculativeStart pauses one agent and sends requests, some of which are routed
// to it. It compares the time to first token under a preset that waits until a
// failure is detected with that under a preset that hedges: it starts the request
// elsewhere as soon as the agent is suspected.
func TestSpeculativeStart(t *testing.T) {
	in := newInstallation(t, layout{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	base := in.status().Revision
	slowest := map[string]time.Duration{}
	for n, preset := range []*wire.Preset{
		{Name: "waiting", RetryBudgetPercent: 50},
		{Name: "speculating", RetryBudgetPercent: 50, Hedge: true},
	} {
		result, err := in.client.Change(ctx, &wire.ConfigChange{BaseRevision: base, PutPresets: []*wire.Preset{preset}, PresetInForce: preset.Name})
		if err != nil || result.Status != operator.Accepted {
			t.Fatalf("change: %+v, %v", result, err)
		}
		base = result.Revision
		in.waitFor("the preset is in force", func() bool { return in.metrics("router-0").Revision == base })
		in.firstTokens(t, 24, fmt.Sprint("warm ", n))
		in.processes["runner-0"].signal(syscall.SIGSTOP)
		times := in.firstTokens(t, 24, fmt.Sprint("frozen ", n))
		in.processes["runner-0"].signal(syscall.SIGCONT)
		t.Logf("%s: first token p50 %v, p95 %v, slowest %v", preset.Name,
			times[len(times)/2], times[len(times)*95/100], times[len(times)-1])
		slowest[preset.Name] = times[len(times)-1]
		in.waitFor("the frozen agent is back", func() bool { return in.readyBackends() == engines+services })
	}
	if slowest["speculating"] >= slowest["waiting"] {
		t.Errorf("slowest first token %v with hedging, %v without", slowest["speculating"], slowest["waiting"])
	}
}

// firstTokens sends n streamed requests at the same time and returns their times to
// first token, sorted.
func (in *installation) firstTokens(t *testing.T, n int, what string) []time.Duration {
	l := &load{in: in}
	times := make([]time.Duration, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			body := fmt.Sprintf(`{"model":"assessor","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"%s clamp %d"},{"role":"user","content":"?"}]}`, what, i)
			began := time.Now()
			resp, err := l.post("router-0", "/v1/chat/completions", "", body)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("request %d: %v %v", i, resp, err)
				return
			}
			defer resp.Body.Close()
			if _, err := bufio.NewReader(resp.Body).ReadByte(); err != nil {
				t.Error(err)
			}
			times[i] = time.Since(began)
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times
}
