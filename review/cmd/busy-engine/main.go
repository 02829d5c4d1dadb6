// Command busy-engine shows that answers that have begun are cut in a planned stop because their engine is busy: it
// takes no new connections and makes no token for a while.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"parsleypulley/review/kit"
)

const (
	model = "daka510000"
	// events is the number of events of an answer, and eventInterval the time between two.
	events, eventInterval = 40, 100 * time.Millisecond
	// answers is the number of answers that run at each VM when the stop begins.
	answers = 12
	// busyAfter is the time from SIGTERM until the engine's queue of new connections is full, and busyFor how
	// long it is.
	busyAfter, busyFor = 200 * time.Millisecond, 3 * time.Second
	// pauseAfter is the time from then until the engine makes no token, and pauseFor how long it makes none.
	pauseAfter, pauseFor = 700 * time.Millisecond, 1700 * time.Millisecond
	// callInterval is the time between two further calls.
	callInterval = 30 * time.Millisecond
)

func main() {
	s := kit.Open(os.Args[1], 4, 0)
	s.StartAll()
	route := func(name, prefix string) map[string]any {
		return map[string]any{"Name": name, "Host": "jepu9.example", "Prefix": prefix, "Kind": "stream", "TimeoutMs": 15000, "GoalMs": 400, "Priority": 0, "Service": "huvo11a", "Attempts": 1, "Public": true, "Sticky": true, "CanResume": false, "GapAimMs": 300}
	}
	config := map[string]any{
		"Version": 1,
		"Routes":  []any{route("r-1", "/xapu221/ny95/")},
		"Services": []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 620, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": 48, "KvCap": 107841, "KvTokenBytes": 327680, "LinkMbps": 370000.0,
			"Moves": true, "Backups": true, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": model}}}}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	time.Sleep(kit.Contact)
	if s.PutUntilAcknowledged(s.VMs, 20*time.Second, config) == nil {
		s.Finish(2, "version 1 was not acknowledged")
	}
	var pausedUntil atomic.Int64 // Unix milliseconds
	var mu sync.Mutex
	cutAt := map[string]time.Time{} // by request, when the router closed the connection of a run
	stream := func(busy bool) func(w http.ResponseWriter, r *http.Request, _ string) {
		return func(w http.ResponseWriter, r *http.Request, _ string) {
			id := r.Header.Get("X-Request-Id")
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Weight-Versions", "1")
			for i := 1; i <= events; i++ {
				for busy && time.Now().UnixMilli() < pausedUntil.Load() {
					if r.Context().Err() != nil {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				if r.Context().Err() != nil {
					mu.Lock()
					cutAt[id] = time.Now()
					mu.Unlock()
					s.Log("the connection of %s is closed at event %d", id, i)
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
				w.(http.Flusher).Flush()
				time.Sleep(eventInterval)
			}
		}
	}
	models := []map[string]any{{"Name": model, "Version": 1, "Adapters": []any{}}}
	busyEngine := s.NewBackend("huvo11a", "punjab-a")
	busyEngine.Models, busyEngine.Handle, busyEngine.Backlog = models, stream(true), 64
	busyEngine.Start()
	s.StartEngine("huvo11a", "punjab-b", models, stream(false))
	s.StartEngine("huvo11a", "punjab-c", models, stream(false))
	for _, vm := range s.VMs {
		s.Await(vm.Name+" is ready", 20*time.Second, func() bool { return s.Ready(vm) })
	}
	time.Sleep(kit.Contact)

	var n atomic.Int64
	type result struct {
		vm       *kit.VM
		sent     time.Time
		ended    time.Time
		begun    bool
		complete bool
	}
	results := map[string]*result{}
	ask := func(vm *kit.VM) {
		a := s.Stream(vm, "/xapu221/ny95/2f", map[string]string{"X-Deadline-Ms": "15000", "X-Model": model, "X-Token-Usage": "826,80", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:119,91bd%04x:628", n.Add(1))}, func(id string, body io.Reader, r map[string]int) {
			lines := bufio.NewScanner(body)
			for lines.Scan() {
				if lines.Text() == "data: token" {
					r["events"]++
				}
			}
		})
		mu.Lock()
		defer mu.Unlock()
		results[a.ID] = &result{vm, a.Sent, time.Now(), a.Events > 0, a.Events == events}
		if a.Events > 0 && a.Events < events {
			s.Log("the answer to %s at %s ends after %d of %d events", a.ID, vm.Name, a.Events, events)
		}
	}
	var calls sync.WaitGroup
	for range answers {
		for _, vm := range s.VMs {
			calls.Go(func() { ask(vm) })
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(500 * time.Millisecond)
	stopping := s.VMs[0]
	term := time.Now()
	stopping.Router.Signal(syscall.SIGTERM)
	s.Log("SIGTERM for the router of %s", stopping.Name)
	var further atomic.Bool
	further.Store(true)
	go func() {
		for i := 1; further.Load(); i++ {
			vm := s.VMs[1+i%3]
			calls.Go(func() { ask(vm) })
			time.Sleep(callInterval)
		}
	}()
	time.Sleep(time.Until(term.Add(busyAfter)))
	if s.Trouble {
		ctx, cancel := context.WithTimeout(context.Background(), busyFor)
		defer cancel()
		go busyEngine.FillQueue(ctx)
		s.Log("the queue of new connections of %s is full", busyEngine.ID)
		time.Sleep(pauseAfter)
	} else {
		time.Sleep(pauseAfter)
	}
	pausedUntil.Store(time.Now().Add(pauseFor).UnixMilli())
	s.Log("%s makes no token for %v", busyEngine.ID, pauseFor)
	time.Sleep(busyFor)
	further.Store(false)
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, all := 0, 0
	for id, r := range results {
		at, cut := cutAt[id]
		if !r.begun || r.complete || !cut {
			continue
		}
		all++
		// Answers that the stopping VM has taken before SIGTERM; well before the last sixth of GraceS.
		if r.vm == stopping && r.sent.Before(term) && at.Sub(term) < 6500*time.Millisecond {
			lost++
			s.Log("%s was cut %.2f s after SIGTERM, its engine was at work", id, at.Sub(term).Seconds())
		}
	}
	if lost > 0 {
		s.Finish(1, "%d answers that had begun were cut in the planned stop while their engine was at work (%d at all VMs)", lost, all)
	}
	s.Finish(0, "no answer that had begun was cut in the planned stop (%d at all VMs)", all)
}
