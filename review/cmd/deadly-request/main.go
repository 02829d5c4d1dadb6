// Command deadly-request shows that a request that ends each backend server that runs it is sent to backend servers
// again and again if many other calls of its account run beside it.
package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/review/kit"
)

const (
	// slots is how many calls a backend server runs at once; it queues further ones.
	slots = 48
	// beside is the number of other calls of the account that are under way at each backend server.
	beside = 100
	// work is how long a call runs, and deadlyAfter how long the deadly one runs.
	work, deadlyAfter = 400 * time.Millisecond, 50 * time.Millisecond
	// downFor is how long a backend server that has crashed is down.
	downFor = 2 * time.Second
	// resendAfter is the time after which the caller sends the deadly request again.
	resendAfter = 1500 * time.Millisecond
	// limit is the number of retries that may reach backend servers later than ContactMs after the third
	// crash.
	limit = 3
	// runFor is how long the caller goes on.
	runFor = 35 * time.Second
)

// deadlyBody is the body of the deadly request.
var deadlyBody = cmp.Or(os.Getenv("DEADLY"), "deadly 1")

func main() {
	s := kit.Open(os.Args[1], 4, 0)
	s.StartAll()
	config := map[string]any{
		"Version":  1,
		"Routes":   []any{map[string]any{"Name": "r-1", "Host": "jepu9.example", "Prefix": "/fiti832/", "Kind": "unsafe", "TimeoutMs": 3000, "GoalMs": 150, "Priority": 1, "Service": "desk", "Attempts": 1, "Public": false}},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConns": 620, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "sese880", "ApiKeys": []string{"key-of-sese880"}, "Priority": 1, "Isolated": false}},
	}
	time.Sleep(kit.Contact)
	if s.PutUntilAcknowledged(s.VMs, 20*time.Second, config) == nil {
		s.Finish(2, "version 1 was not acknowledged")
	}
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	var begin func(zone, address string)
	begin = func(zone, address string) {
		b := s.NewBackend("desk", zone)
		if address != "" {
			b.Addr = address
		}
		free := make(chan struct{}, slots)
		var ended sync.Once
		b.Handle = func(w http.ResponseWriter, r *http.Request, body string) {
			if body == deadlyBody {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
			}
			free <- struct{}{}
			defer func() { <-free }()
			if body != deadlyBody {
				time.Sleep(work)
				_, _ = io.WriteString(w, "booked")
				return
			}
			time.Sleep(deadlyAfter)
			ended.Do(func() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				s.Log("%s crashes under %s, crash %d", b.ID, r.Header.Get("X-Request-Id"), len(crashes))
				mu.Unlock()
				b.Crash()
				time.AfterFunc(downFor, func() { begin(zone, b.Addr) })
			})
		}
		b.Start()
	}
	zones := []string{"punjab-a", "punjab-b", "punjab-c"}
	for _, zone := range zones {
		begin(zone, "")
	}
	for _, vm := range s.VMs {
		s.Await(vm.Name+" is ready", 20*time.Second, func() bool { return s.Ready(vm) })
	}
	time.Sleep(kit.HeartbeatInterval)

	// Other calls of the account, each with a body of its own.
	others := beside * len(zones)
	if os.Getenv("BESIDE") != "" {
		fmt.Sscan(os.Getenv("BESIDE"), &others)
	}
	header := map[string]string{"Authorization": "Bearer key-of-sese880"}
	var number, lost atomic.Int64
	for i := range others {
		go func() {
			for {
				a := s.Request(s.VMs[i%len(s.VMs)], http.MethodPost, "/fiti832/book", fmt.Sprint("booking ", number.Add(1)), header)
				if a.Status == http.StatusBadGateway {
					lost.Add(1) // it may have run, and its caller doesn't know
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	time.Sleep(kit.Contact)
	if s.Trouble {
		for began, i := time.Now(), 0; time.Since(began) < runFor; i++ {
			a := s.Request(s.VMs[i%len(s.VMs)], http.MethodPost, "/fiti832/book", deadlyBody, header)
			s.Log("the deadly request %s is answered %d", a.ID, a.Status)
			time.Sleep(resendAfter)
		}
	} else {
		time.Sleep(runFor / 3)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		s.Finish(0, "%d crashes", len(crashes))
	}
	late := 0
	for _, at := range arrivals {
		if at.After(crashes[2].Add(kit.Contact)) {
			late++
		}
	}
	if late > limit {
		s.Finish(1, "the request crashed %d backend servers, and reached them %d times later than %v after it had crashed the third; %d other calls ended with 502", len(crashes), late, kit.Contact, lost.Load())
	}
	s.Finish(0, "the request crashed %d backend servers, and reached them %d times later than %v after it had crashed the third", len(crashes), late, kit.Contact)
}
