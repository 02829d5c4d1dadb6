// Command departure-before-heartbeat shows what happens when the first heartbeat of a new runner arrives
// after the runner has said that it is gone.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"parsleypulley/review/kit2"
)

const (
	host, key, tenant = "desk.example", "key-of-tenant-one", "one"
	// late is how long the first heartbeat of the new runner is under way.
	late = 2 * time.Second
	// serveOn is how long the runner serves on after its departure was acknowledged: DrainMs and a little longer.
	serveOn = 5 * time.Second
)

func main() { kit2.Main(kit2.Options{Disks: 3, Memory: 134}, play) }

// arrivals holds when requests reached the runner that leaves.
type arrivals struct {
	mu sync.Mutex
	at map[string]time.Time
}

func play(f *kit2.Fleet) (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	service := "farmdesk"
	config := kit2.Config(7, []kit2.Route{kit2.PlainRoute("bookings", host, "/book/", "unsafe", service, 1000, 1)},
		[]kit2.Service{kit2.PlainService(service)}, []kit2.Tenant{{"Name": tenant, "ApiKeys": []string{key}, "Priority": 1, "Isolated": false}})
	if err := f.Configure(config); err != nil {
		return 0, err
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	reached := &arrivals{at: map[string]time.Time{}}
	onRun := func(r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		reached.mu.Lock()
		reached.at[id] = time.Now()
		reached.mu.Unlock()
		f.Record.Add("runner i-new: runs %s", id)
	}
	work := 400 * time.Millisecond
	two, err := f.StartRunner("i-two", service, f.Net+"102:8080", "zone-b", work, nil)
	if err != nil {
		return 0, err
	}
	two.Beat(0)
	defer two.Crash()

	// Ten clients send bookings, four a second each.
	var clients sync.WaitGroup
	ended := make(chan struct{})
	var lost sync.Map
	for n := range 10 {
		clients.Go(func() {
			c := kit2.NewClient(f.Front(n%3), host, key)
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(250 * time.Millisecond):
				}
				id := fmt.Sprintf("%02d-%04d", n, i)
				f.Record.Add("client %02d: sends %s", n, id)
				a := c.Do(http.MethodPost, "/book/x", id, time.Second, []byte("a booking"))
				f.Record.Add("client %02d: %s is answered %d in %v by %q", n, id, a.Status, a.Took.Round(time.Millisecond), a.Stamp)
				if a.Status != http.StatusOK {
					lost.Store(id, a.Status)
				}
			}
		})
	}
	time.Sleep(8 * time.Second) // the core has been stable for ContactMs

	one, err := f.StartRunner("i-new", service, f.Net+"101:8080", "zone-a", work, onRun)
	if err != nil {
		return 0, err
	}
	first := one.Message("ready")
	arrived := make(chan struct{})
	deliver := func() {
		defer close(arrived)
		_, ok := one.Send(first)
		f.Record.Add("runner i-new: its first heartbeat has arrived, acknowledged: %v", ok)
	}
	if trouble {
		f.Record.Add("runner i-new: its first heartbeat is under way")
		time.AfterFunc(late, deliver)
	} else {
		deliver()
	}
	time.Sleep(600 * time.Millisecond)
	acknowledged, err := one.Depart()
	if err != nil {
		return 0, err
	}
	time.Sleep(serveOn)
	<-arrived
	one.Crash()
	leftAt := time.Now()
	time.Sleep(3 * time.Second)
	close(ended)
	clients.Wait()

	bound := acknowledged.Add(kit2.DrainMs * time.Millisecond)
	reached.mu.Lock()
	defer reached.mu.Unlock()
	after, cut := 0, 0
	for id, at := range reached.at {
		if at.After(bound) {
			after++
			if _, found := lost.Load(id); found && leftAt.Sub(at) < time.Second {
				cut++
			}
		}
	}
	verdict := fmt.Sprintf("%d requests reached i-new later than DrainMs after its departure was acknowledged; %d of them were running when it left and got no answer of it", after, cut)
	f.Record.Add("%s", verdict)
	fmt.Println(verdict)
	if after > 0 {
		return 1, nil
	}
	return 0, nil
}
