//go:build faults

package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// maxFirstAnswerTime is the maximum time from the start of a router to its first
// answer.
const maxFirstAnswerTime = 300 * time.Millisecond

// firstAnswer sends a request to a starting router until it answers. It returns the
// status and the time since the start.
func (l *load) firstAnswer(router string) (int, time.Duration) {
	startedAt := l.in.processes[router].startedAt
	body := `{"model":"assessor","max_tokens":1,"messages":[{"role":"user","content":"first"}]}`
	for time.Since(startedAt) < startTimeout {
		resp, err := l.post(router, "/v1/chat/completions", "", body)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		resp.Body.Close()
		return resp.StatusCode, time.Since(startedAt)
	}
	return 0, startTimeout
}

// TestRestartedRouterServesAtOnce restarts a router with all links up, and while
// control or the other router doesn't answer. The router must get the view from any
// process that does answer, in the worst case only from the agent given with
// --peer-agents.
func TestRestartedRouterServesAtOnce(t *testing.T) {
	tests := map[string]func(in *installation){
		"all links up":                       func(*installation) {},
		"all control replicas dead":          func(in *installation) { in.killControl() },
		"control and the other router dead":  func(in *installation) { in.killControl(); in.processes["router-1"].kill() },
		"control replicas frozen":            func(in *installation) { in.freezeControl() },
		"control cut off, other router dead": func(in *installation) { in.freezeControl(); in.processes["router-1"].kill() },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			in := newInstallation(t, layout{args: func(in *installation, role, _ string) []string {
				if role != "router" {
					return nil
				}
				return []string{"--peer-agents", in.linkAddress("runner-1")}
			}})
			l := &load{in: in}
			fault(in)
			in.processes["router-0"].kill()
			in.processes["router-0"].start()
			status, took := l.firstAnswer("router-0")
			t.Logf("first answer after %v", took)
			if status != http.StatusOK || took > maxFirstAnswerTime {
				t.Errorf("first answer has status %d, after %v", status, took)
			}
		})
	}
}

func (in *installation) killControl() {
	for i := range in.controls {
		in.processes[fmt.Sprint("control-", i)].kill()
	}
}

// freezeControl pauses the control replicas. Their connections stay open.
func (in *installation) freezeControl() {
	for i := range in.controls {
		in.processes[fmt.Sprint("control-", i)].signal(syscall.SIGSTOP)
	}
}

// TestRoutersRestartTogether restarts twenty routers at the same time. Each must
// serve, requests through other routers must not fail, and the number of view
// requests to control must be bounded.
func TestRoutersRestartTogether(t *testing.T) {
	const restarted = 20
	// maxCallsPerRouter is the maximum number of calls to control by a starting router.
	const maxCallsPerRouter = 10
	in := newInstallation(t, layout{})
	l := &load{in: in}
	var names []string
	for i := range restarted {
		names = append(names, in.addRouter(routers+i).name)
	}
	for _, name := range names {
		in.waitReady(name)
	}
	for _, name := range names {
		in.processes[name].kill()
	}
	time.Sleep(time.Second)
	before := in.controlCalls()
	for _, name := range names {
		in.processes[name].start()
	}
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			if status, took := l.firstAnswer(name); status != http.StatusOK {
				t.Errorf("the first answer of %s has status %d, after %v", name, status, took)
			}
		})
	}
	otherLoad := startLoad(in)
	wg.Wait()
	otherLoad.waitForProgress("requests through the other routers")
	otherLoad.stopAndCheck(t)
	if n := otherLoad.failures.Load(); n != 0 {
		t.Errorf("%d requests through other routers failed", n)
	}
	calls := in.controlCalls() - before
	t.Logf("%d calls to control for the view", calls)
	if calls == 0 || calls > restarted*maxCallsPerRouter {
		t.Errorf("%d routers made %d calls to control", restarted, calls)
	}
}

// controlCalls returns the number of view requests that all control replicas have
// received.
func (in *installation) controlCalls() int {
	n := 0
	for i := range in.controls {
		calls := in.metrics(fmt.Sprint("control-", i)).Calls
		n += calls["Watch"] + calls["FetchView"]
	}
	return n
}
