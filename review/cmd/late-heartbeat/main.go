// Command late-heartbeat shows that a heartbeat which arrives late, after a change of the control
// leader, brings a backend server back that has left, so that it gets new work.
package main

import (
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/review/kit"
)

// Times after the acknowledgement that the backend server leaves.
const (
	// killAfter is when the control leader is killed, and restartAfter when it starts again.
	killAfter    = 4200 * time.Millisecond
	restartAfter = 4700 * time.Millisecond
	// arriveAfter is when the delayed heartbeat arrives.
	arriveAfter = 6500 * time.Millisecond
	// endAfter is when the backend server exits, some seconds after it has left.
	endAfter = 9 * time.Second
	// work is how long a booking takes.
	work = 100 * time.Millisecond
	// callInterval is the time between two calls of callers.
	callInterval = 50 * time.Millisecond
)

func main() {
	s := kit.Open(os.Args[1], 4, 2)
	s.StartAll()
	config := map[string]any{
		"Version":  1,
		"Routes":   []any{map[string]any{"Name": "r-1", "Host": "jepu9.example", "Prefix": "/fiti832/", "Kind": "unsafe", "TimeoutMs": 3000, "GoalMs": 150, "Priority": 1, "Service": "desk", "Attempts": 1, "Public": true}},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	time.Sleep(kit.Contact) // the installation has formed
	if s.PutUntilAcknowledged(s.VMs, 20*time.Second, config) == nil {
		s.Finish(2, "version 1 was not acknowledged")
	}
	book := func(w http.ResponseWriter, _ *http.Request, _ string) {
		time.Sleep(work)
		_, _ = io.WriteString(w, "booked")
	}
	leaving := s.StartBackend("desk", "punjab-a", book)
	s.StartBackend("desk", "punjab-b", book)
	s.StartBackend("desk", "punjab-c", book)
	for _, vm := range s.VMs {
		s.Await(vm.Name+" is ready", 20*time.Second, func() bool { return s.Ready(vm) })
	}
	served := func(b *kit.Backend) func() bool {
		return func() bool { s.Request(s.VMs[0], "POST", "/fiti832/book", "", nil); return len(b.Arrivals()) > 0 }
	}
	s.Await("the backend server gets calls", 20*time.Second, served(leaving))
	time.Sleep(kit.Contact)

	// The network delays one heartbeat. The next ones arrive at once.
	delayed := leaving.NextHeartbeat()
	s.Log("%s is sent, and delayed on its way", delayed.Text())
	time.Sleep(kit.HeartbeatInterval + 500*time.Millisecond)

	acknowledgedBy := leaving.Delete(s.VMs)
	if acknowledgedBy == nil {
		s.Finish(2, "the notice of the backend server was not acknowledged")
	}
	left := time.Now()
	s.Log("%s acknowledges that %s has left", acknowledgedBy.Name, leaving.ID)
	var ended atomic.Bool
	var mu sync.Mutex
	answers := map[string]int{}
	go func() {
		for i := 0; !ended.Load(); i++ {
			go func() {
				a := s.Request(s.VMs[i%len(s.VMs)], "POST", "/fiti832/book", "", nil)
				mu.Lock()
				defer mu.Unlock()
				answers[a.ID] = a.Status
			}()
			time.Sleep(callInterval)
		}
	}()

	stable := left
	if s.Trouble {
		time.Sleep(time.Until(left.Add(killAfter)))
		var leader *kit.VM
		for _, vm := range s.VMs {
			if vm.Disk && s.Leads(vm) {
				leader = vm
			}
		}
		if leader == nil {
			s.Finish(2, "there is no leader")
		}
		leader.Control.Kill()
		s.Log("the control process of %s is killed", leader.Name)
		time.Sleep(time.Until(left.Add(restartAfter)))
		leader.Control.Start()
		s.Log("the control process of %s starts again", leader.Name)
		// Requests count once all machines are in touch again: a machine that took part in nothing
		// has a stable core from then on, and the last event was the start.
		stable = time.Now().Add(kit.Contact)
	}
	time.Sleep(time.Until(left.Add(arriveAfter)))
	for _, vm := range s.VMs {
		if acknowledged := delayed.Deliver(vm); acknowledged {
			s.Log("%s arrives at %s, which acknowledges it", delayed.Text(), vm.Name)
			break
		}
	}
	time.Sleep(time.Until(left.Add(endAfter)))
	leaving.Stop()
	ended.Store(true)
	time.Sleep(time.Second)

	late, counted, lost := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range leaving.Arrivals() {
		if a.At.Sub(left) <= kit.Drain {
			continue
		}
		late++
		if a.At.After(stable) {
			counted++
		}
		if answers[a.ID] != http.StatusOK {
			lost++
		}
		s.Log("%s reached %s %.2f s after its leave was acknowledged, counted: %v, answer %d", a.ID, leaving.ID, a.At.Sub(left).Seconds(), a.At.After(stable), answers[a.ID])
	}
	if counted > 0 {
		s.Finish(1, "%d requests reached the backend server more than %v after the acknowledgement, from machines in touch (%d in all); %d of them were lost when it exited", counted, kit.Drain, late, lost)
	}
	s.Finish(0, "no request that counts reached the backend server more than %v after the acknowledgement (%d in all)", kit.Drain, late)
}
