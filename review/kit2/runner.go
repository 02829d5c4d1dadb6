package kit2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Runner is a stand-in for one start of a plain runner. It runs a request if it is meant for this
// runner, answers with its stamp, and registers itself.
type Runner struct {
	fleet   *Fleet
	ID      string
	Service string
	Address string
	Zone    string
	Born    int64
	// Work is how long a request runs.
	Work time.Duration
	// OnRun is called when a request begins to run, with the request's ID; it may be nil.
	OnRun func(r *http.Request)

	seq      atomic.Uint64
	draining atomic.Bool
	server   *http.Server
	stop     context.CancelFunc
	runs     atomic.Uint64
	wg       sync.WaitGroup
}

// StartRunner starts a runner that listens at an address. It sends no heartbeat before Beat is called.
func (f *Fleet) StartRunner(id, service, address, zone string, work time.Duration, onRun func(r *http.Request)) (*Runner, error) {
	r := &Runner{fleet: f, ID: id, Service: service, Address: address, Zone: zone, Born: time.Now().UnixMilli(), Work: work, OnRun: onRun}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }() // returns when the runner ends
	f.Record.Add("runner %s at %s: started, born %d", id, address, r.Born)
	return r, nil
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if r.OnRun != nil {
		r.OnRun(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(r.Work):
	case <-req.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%d", r.ID, r.runs.Add(1)))
	answer := fmt.Sprintf("%s ran %s with %d bytes\n", r.ID, id, len(body))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// Message returns a heartbeat with the next number.
func (r *Runner) Message(state string) map[string]any {
	return map[string]any{"Service": r.Service, "Addr": r.Address, "Zone": r.Zone, "Version": "v1", "Slots": 48, "State": state, "ColdLeftMs": 0,
		"Seq": r.seq.Add(1), "born": r.Born}
}

// Send sends a heartbeat to one machine after another until one acknowledges it, and returns when that was.
func (r *Runner) Send(message map[string]any) (acknowledged time.Time, ok bool) {
	for i := range 2 * len(r.fleet.Machines) {
		machine := i % len(r.fleet.Machines)
		if r.fleet.Call(http.MethodPut, machine, "/parsleypulley/instances/"+r.ID, message) == http.StatusOK {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// Beat sends heartbeats until the runner ends. The first one is sent after a delay.
func (r *Runner) Beat(delay time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.wg.Go(func() {
		for wait := delay; ; wait = HeartbeatMs * time.Millisecond {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			state := "ready"
			if r.draining.Load() {
				state = "draining"
			}
			if _, ok := r.Send(r.Message(state)); !ok {
				r.fleet.Record.Add("runner %s: a heartbeat is not acknowledged", r.ID)
			}
		}
	})
}

// Drain reports that the runner leaves until that is acknowledged, and returns when it was. Later
// heartbeats say the same.
func (r *Runner) Drain() (time.Time, error) {
	r.draining.Store(true)
	for range 10 {
		if at, ok := r.Send(r.Message("draining")); ok {
			r.fleet.Record.Add("runner %s: draining is acknowledged", r.ID)
			return at, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("draining is not acknowledged")
}

// Depart says that the runner is gone until that is acknowledged, and returns when it was. The runner
// serves on.
func (r *Runner) Depart() (time.Time, error) {
	for i := range 10 * len(r.fleet.Machines) {
		machine := i % len(r.fleet.Machines)
		if r.fleet.Call(http.MethodDelete, machine, "/parsleypulley/instances/"+r.ID, map[string]any{"born": r.Born}) == http.StatusOK {
			r.fleet.Record.Add("runner %s: its departure is acknowledged", r.ID)
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the departure is not acknowledged")
}

// Crash ends the runner at once. Its connections are closed without a response.
func (r *Runner) Crash() {
	if r.stop != nil {
		r.stop()
	}
	_ = r.server.Close() // its listener and connections end
	r.wg.Wait()
	r.fleet.Record.Add("runner %s: ended", r.ID)
}
