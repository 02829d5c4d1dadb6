//go:build faults

package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"parsleypulley/internal/operator"
)

// inForceLimitAllLinked replaces inForceLimit while all links are up.
const inForceLimitAllLinked = 2 * time.Second

// revisionWatcher polls the revision in force at every process and records when a
// process goes back to an older one.
type revisionWatcher struct {
	in   *installation
	wg   sync.WaitGroup
	stop chan struct{}

	mu          sync.Mutex
	newest      map[string]uint64
	regressions []string
}

func watchRevisions(in *installation) *revisionWatcher {
	r := &revisionWatcher{in: in, stop: make(chan struct{}), newest: map[string]uint64{}}
	for _, name := range in.daemons() {
		r.wg.Go(func() { r.poll(name) })
	}
	return r
}

func (r *revisionWatcher) poll(name string) {
	for {
		// A process without a view reports revision 0 and serves no requests.
		if revision := r.in.metrics(name).Revision; revision != 0 {
			r.mu.Lock()
			if revision < r.newest[name] {
				r.regressions = append(r.regressions, fmt.Sprintf("%s went back from revision %d to %d", name, r.newest[name], revision))
			}
			r.newest[name] = max(revision, r.newest[name])
			r.mu.Unlock()
		}
		select {
		case <-r.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// allReached reports whether every process, apart from the one called except, has
// reached revision.
func (r *revisionWatcher) allReached(revision uint64, except string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.in.daemons() {
		if name != except && r.newest[name] < revision {
			return false
		}
	}
	return true
}

func (r *revisionWatcher) stopAndReport(t *testing.T) {
	close(r.stop)
	r.wg.Wait()
	for _, text := range r.regressions {
		t.Error(text)
	}
}

// follower returns the name of a control process that isn't the leader.
func (in *installation) follower() string {
	leader := in.leader()
	for i := range in.controls {
		if name := fmt.Sprint("control-", i); name != leader {
			return name
		}
	}
	return ""
}

// viewSource returns the name of the control process from which router-0 gets its
// view.
func (in *installation) viewSource() string {
	name := ""
	in.waitFor("router-0 gets its view from a control replica", func() bool {
		source := in.metrics("router-0").Source
		for i := range in.controls {
			if in.linkAddress(fmt.Sprint("control-", i)) == source {
				name = fmt.Sprint("control-", i)
			}
		}
		return name != ""
	})
	return name
}

// isolate returns the function to pass to network.cut in order to isolate a process from
// all others.
func isolate(name string) func(a, b string) bool {
	return func(a, _ string) bool { return a == name }
}

// TestChangeInForceEverywhere checks the time until a change is in force at every
// process: with all links up, and with a control replica cut off without an error on
// its connections while another process restarts.
func TestChangeInForceEverywhere(t *testing.T) {
	tests := []struct {
		name    string
		cut     func(in *installation) string
		restart string
		limit   time.Duration
	}{
		{"all links up", nil, "", inForceLimitAllLinked},
		{"follower cut off, router restarted", (*installation).follower, "router-1", inForceLimit},
		{"follower cut off, agent restarted", (*installation).follower, "runner-1", inForceLimit},
		{"source of router-0 cut off, router restarted", (*installation).viewSource, "router-1", inForceLimit},
		{"leader cut off, router restarted", (*installation).leader, "router-1", inForceLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := newInstallation(t, layout{network: true})
			watcher := watchRevisions(in)
			cut := ""
			if tt.cut != nil {
				cut = tt.cut(in)
				in.network.cut(isolate(cut))
				in.client = in.operator(in.operatorAddressesExcept(cut)...)
			}
			for _, preset := range []string{"peak", "ordinary", "maintenance"} {
				if tt.restart != "" {
					in.processes[tt.restart].kill()
				}
				revision, accepted := in.change(preset)
				if tt.restart != "" {
					in.processes[tt.restart].start()
				}
				in.waitFor("in force everywhere", func() bool { return watcher.allReached(revision, cut) })
				took := time.Since(accepted)
				t.Logf("revision %d in force everywhere after %v", revision, took)
				if took > tt.limit {
					t.Errorf("revision %d in force everywhere after %v, limit %v", revision, took, tt.limit)
				}
			}
			in.network.heal()
			watcher.stopAndReport(t)
		})
	}
}

// operatorAddressesExcept returns the operator addresses of all control processes apart
// from the one called cut.
func (in *installation) operatorAddressesExcept(cut string) []string {
	var out []string
	for i := range in.controls {
		if name := fmt.Sprint("control-", i); name != cut {
			out = append(out, in.addr(name+"/operator"))
		}
	}
	return out
}

// TestIsolatedReplicaServesNothing cuts a control replica off for longer than an
// election takes, then reconnects it. While isolated it must not serve a view or a
// read that it can't confirm with a quorum. Its return must not cause an election.
func TestIsolatedReplicaServesNothing(t *testing.T) {
	for name, pick := range map[string]func(in *installation) string{
		"follower": (*installation).follower,
		"leader":   (*installation).leader,
	} {
		t.Run(name, func(t *testing.T) {
			in := newInstallation(t, layout{network: true})
			cut := pick(in)
			isolated := in.operator(in.addr(cut + "/operator"))
			in.network.cut(isolate(cut))
			in.client = in.operator(in.operatorAddressesExcept(cut)...)
			in.waitFor("the replica has noticed that it is isolated", func() bool { return !in.metrics(cut).Confirmed })
			revision, _ := in.change("peak")
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				in.checkServesNothing(t, cut, isolated)
			}
			leader := in.leader()
			term := in.metrics(leader).Term
			in.network.heal()
			in.waitFor("the replica has caught up", func() bool {
				v := in.metrics(cut)
				return v.Confirmed && v.Revision == revision
			})
			time.Sleep(2 * time.Second)
			if now := in.metrics(leader); now.Term != term || in.leader() != leader {
				t.Errorf("the return of %s changed the term from %d to %d and the leader from %s to %s", cut, term, now.Term, leader, in.leader())
			}
		})
	}
}

// checkServesNothing checks that an isolated replica returns no data through the
// operators' API or over its link.
func (in *installation) checkServesNothing(t *testing.T, cut string, isolated *operator.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if config, err := isolated.Config(ctx); err == nil {
		t.Errorf("%s served revision %d to an operator while isolated", cut, config.GetRevision())
	}
	if _, err := isolated.Backends(ctx); err == nil {
		t.Errorf("%s served the backend servers to an operator while isolated", cut)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	update, err := fetchView(ctx, in.addr(cut+"/link"))
	if err != nil {
		t.Fatal(err)
	}
	if update.GetSnapshot() != nil || len(update.GetEvents()) > 0 || update.GetConfirmed() {
		t.Errorf("%s served a view at version %d while isolated, confirmed %t", cut, update.GetVersion(), update.GetConfirmed())
	}
}
