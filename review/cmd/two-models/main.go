// Command two-models shows that engines with two models get no more calls that they may run for one of them once
// new weights of only that one were named.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"parsleypulley/review/kit"
)

const (
	first, second = "daka510000", "mofi220000"
	// loadTime is how long new weights take an engine.
	loadTime = 570 * time.Millisecond
	// downFor is how long the processes are down in the final fault.
	downFor = 500 * time.Millisecond
	// phase is how long calls are counted, and callInterval the time between two.
	phase        = 6 * time.Second
	callInterval = 50 * time.Millisecond
)

// engine is the state of a model engine with two models.
type engine struct {
	backend *kit.Backend

	mu       sync.Mutex
	versions map[string]int
	busy     bool
	orders   int
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"Name": first, "Version": e.versions[first], "Adapters": []any{}}, {"Name": second, "Version": e.versions[second], "Adapters": []any{}}}
}

// serveOwn answers reports and orders, as the pages describe them.
func (e *engine) serveOwn(s *kit.System, w http.ResponseWriter, r *http.Request, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/parsleypulley/report" {
		_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "colocated", "Models": e.models(), "Busy": e.busy, "Seq": e.orders, "Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "Runs": []any{}})
		return
	}
	var order struct {
		Op, Model, Mode, Holder string
		Version, Fence          int
		Expected                *int
	}
	switch err := json.Unmarshal([]byte(body), &order); {
	case err != nil || order.Op != "Version" || order.Holder == "" || order.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
		return
	case e.versions[order.Model] == order.Version:
		w.WriteHeader(http.StatusOK)
		return
	case e.busy || order.Expected != nil && *order.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.busy = true
	e.orders++
	s.Log("%s loads version %d of %s by order of %s, fence %d", e.backend.ID, order.Version, order.Model, order.Holder, order.Fence)
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.versions[order.Model] = false, order.Version
		e.backend.SetModels(e.models())
		s.Log("%s has version %d of %s", e.backend.ID, order.Version, order.Model)
	})
	w.WriteHeader(http.StatusAccepted)
}

// serve runs a request, unless it names another version of its model's weights.
func (e *engine) serve(s *kit.System, w http.ResponseWriter, r *http.Request) {
	model := r.Header.Get("X-Model")
	e.mu.Lock()
	version, busy := e.versions[model], e.busy
	e.mu.Unlock()
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	if expected := r.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.Itoa(version) {
		s.Log("%s rejects %s: it is for version %s of %s, and the engine has %d", e.backend.ID, r.Header.Get("X-Request-Id"), expected, model, version)
		w.Header().Del("X-Server-Stamp")
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		w.Header().Del("X-Server-Stamp")
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Log("%s runs %s on version %d of %s", e.backend.ID, r.Header.Get("X-Request-Id"), version, model)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
	}
	_, _ = io.WriteString(w, "")
}

func main() {
	s := kit.Open(os.Args[1], 4, 0)
	s.StartAll()
	config := map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{"Name": "r-1", "Host": "jepu9.example", "Prefix": "/lepu270/", "Kind": "stream", "TimeoutMs": 6000, "GoalMs": 600, "Priority": 1, "Service": "huvo11a", "Attempts": 2, "Public": true,
			"Sticky": true, "CanResume": true, "GapAimMs": 300}},
		"Services": []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 620, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": 48, "KvCap": 107841, "KvTokenBytes": 327680, "LinkMbps": 370000.0,
			"Moves": true, "Backups": true, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": first}, map[string]any{"Name": second}}}}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	time.Sleep(kit.Contact)
	if s.PutUntilAcknowledged(s.VMs, 20*time.Second, config) == nil {
		s.Finish(2, "version 1 was not acknowledged")
	}
	for _, zone := range []string{"punjab-a", "punjab-b", "punjab-c", "punjab-d"} {
		e := &engine{versions: map[string]int{first: 1, second: 1}}
		e.backend = s.NewBackend("huvo11a", zone)
		e.backend.Models = e.models()
		e.backend.Handle = func(w http.ResponseWriter, r *http.Request, _ string) { e.serve(s, w, r) }
		e.backend.Own = func(w http.ResponseWriter, r *http.Request, body string) { e.serveOwn(s, w, r, body) }
		e.backend.Start()
	}
	for _, vm := range s.VMs {
		s.Await(vm.Name+" is ready", 20*time.Second, func() bool { return s.Ready(vm) })
	}
	time.Sleep(kit.HeartbeatInterval)
	// One call in eight is for the first model.
	count := func(what string) (served, sent int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		byModel := map[string][2]int{}
		for began := time.Now(); time.Since(began) < phase; time.Sleep(callInterval) {
			model := second
			if sent%8 == 0 {
				model = first
			}
			vm := s.VMs[sent%len(s.VMs)]
			sent++
			wg.Go(func() {
				a := s.Request(vm, http.MethodPost, "/lepu270/2f", "question", map[string]string{"X-Model": model, "X-Token-Usage": "1460,80", "X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"})
				mu.Lock()
				defer mu.Unlock()
				n := byModel[model]
				n[1]++
				if a.Status == http.StatusOK {
					n[0]++
					served++
				}
				byModel[model] = n
			})
		}
		wg.Wait()
		s.Log("%s: %d of %d calls are served; of %s %v, of %s %v", what, served, sent, first, byModel[first], second, byModel[second])
		return served, sent
	}
	before, sentBefore := count("before the final fault")
	if 4*before < sentBefore {
		s.Finish(2, "only %d of %d calls were served before the disruption", before, sentBefore)
	}
	if s.Trouble {
		named := false
		for end := time.Now().Add(20 * time.Second); !named && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, vm := range s.VMs {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				status, _, _ := kit.Call(ctx, http.MethodPost, vm.ControlURL("/parsleypulley/version-put"), fmt.Appendf(nil, `{"Model":%q,"Version":2}`, second), nil)
				cancel()
				s.Log("the operator names version 2 of %s at %s: %d", second, vm.Name, status)
				if named = status/100 == 2; named {
					break
				}
			}
		}
		if !named {
			s.Finish(2, "the new weights were not acknowledged")
		}
	}
	s.Log("the final fault: all processes are killed")
	for _, vm := range s.VMs {
		vm.Control.Kill()
		vm.Router.Kill()
	}
	time.Sleep(downFor)
	for _, vm := range s.VMs {
		vm.Control.Start()
		vm.Router.Start()
	}
	s.Log("all processes start again")
	time.Sleep(kit.Recover + time.Second)
	after, sentAfter := count("after the recovery")
	if 4*after < sentAfter {
		s.Finish(1, "%d of %d calls were served before the final fault, and %d of %d later than %v after it", before, sentBefore, after, sentAfter, kit.Recover)
	}
	s.Finish(0, "%d of %d calls were served before the final fault, and %d of %d later than %v after it", before, sentBefore, after, sentAfter, kit.Recover)
}
