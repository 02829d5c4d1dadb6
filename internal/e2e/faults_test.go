//go:build faults

package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"parsleypulley/internal/operator"
	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

// TestFaultsUnderLoad injects each fault while streams and bookings run through both
// routers.
func TestFaultsUnderLoad(t *testing.T) {
	freeze := func(in *installation, name string, d time.Duration) {
		in.processes[name].signal(syscall.SIGSTOP)
		time.Sleep(d)
		in.processes[name].signal(syscall.SIGCONT)
	}
	restart := func(in *installation, name string) {
		in.processes[name].kill()
		in.processes[name].start()
	}
	tests := map[string]func(in *installation){
		"router killed": func(in *installation) {
			restart(in, "router-0")
			in.waitReady("router-0")
		},
		"router frozen":       func(in *installation) { freeze(in, "router-0", 2*time.Second) },
		"engine agent killed": func(in *installation) { restart(in, "runner-0") },
		"engine agent frozen": func(in *installation) { freeze(in, "runner-0", 7*time.Second) },
		"service agent killed": func(in *installation) {
			restart(in, "farmdesk-0")
		},
		"service agent frozen": func(in *installation) { freeze(in, "farmdesk-0", 2*time.Second) },
		"control leader killed": func(in *installation) {
			restart(in, in.leader())
		},
		"control leader frozen": func(in *installation) { freeze(in, in.leader(), 4*time.Second) },
		"engine crashed": func(in *installation) {
			in.inject("runner-0", standin.Fault{Kind: standin.FaultCrash})
		},
		"engine frozen": func(in *installation) {
			in.inject("runner-1", standin.Fault{Kind: standin.FaultFreeze, DurationMS: 1500})
		},
		"service crashed": func(in *installation) {
			in.inject("farmdesk-1", standin.Fault{Kind: standin.FaultCrash})
		},
		"control data folder wiped": func(in *installation) {
			leader := in.leader()
			in.processes[leader].kill()
			if err := os.RemoveAll(filepath.Join(in.dir, leader)); err != nil {
				in.t.Fatal(err)
			}
			in.processes[leader].start()
			in.waitFor("the empty replica is a voter again", func() bool { return in.voters() == in.controls && in.leader() != "" })
		},
		"all control replicas killed": func(in *installation) {
			for i := range in.controls {
				in.processes[fmt.Sprint("control-", i)].kill()
			}
			for i := range in.controls {
				in.processes[fmt.Sprint("control-", i)].start()
			}
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			in := newInstallation(t, layout{})
			l := startLoad(in)
			l.waitForProgress("requests before the fault")
			fault(in)
			l.waitForProgress("requests after the fault")
			l.stopAndCheck(t)
		})
	}
}

// TestSilentlyCutAgentLink cuts an agent off while its connections stay open. Requests
// must go on through the other backend servers.
func TestSilentlyCutAgentLink(t *testing.T) {
	in := newInstallation(t, layout{network: true})
	l := startLoad(in)
	l.waitForProgress("requests before the cut")
	in.network.cut(func(a, _ string) bool { return a == "farmdesk-0" })
	l.waitForProgress("requests after the cut")
	l.stopAndCheck(t)
}

// TestChangesDuringRouterRestart makes 300 changes while one router is down and the
// other one serves. No router may use an older revision after a newer one.
func TestChangesDuringRouterRestart(t *testing.T) {
	in := newInstallation(t, layout{})
	l := &load{in: in}
	newest := map[string]string{}
	checkRevision := func(router string) string {
		resp, err := l.post(router, "/v1/chat/completions", "", `{"model":"assessor","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		revision := resp.Header.Get("X-Config-Revision")
		if len(revision) < len(newest[router]) || len(revision) == len(newest[router]) && revision < newest[router] {
			t.Errorf("%s went back from revision %s to %s", router, newest[router], revision)
		}
		newest[router] = revision
		return revision
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	in.processes["router-0"].kill()
	const changes = 300
	base := in.status().Revision
	for n := range changes {
		preset := []string{"peak", "ordinary"}[n%2]
		result, err := in.client.Change(ctx, &wire.ConfigChange{BaseRevision: base, PresetInForce: preset})
		if err != nil || result.Status != operator.Accepted {
			t.Fatalf("change %d: %+v, %v", n, result, err)
		}
		base = result.Revision
		if n%20 == 0 {
			checkRevision("router-1")
		}
	}
	accepted := time.Now()
	in.processes["router-0"].start()
	in.waitReady("router-0")
	want := fmt.Sprint(base)
	for _, router := range []string{"router-0", "router-1"} {
		in.waitFor(router+" has the newest revision", func() bool { return checkRevision(router) == want })
	}
	if d := time.Since(accepted); d > 4*time.Second {
		t.Errorf("the newest revision was in force everywhere only after %v", d)
	}
}
