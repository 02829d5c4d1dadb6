// Command large-bodies shows what happens to a router when requests whose bodies stay within the
// configured limit come a little more often than usual.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"parsleypulley/review/kit2"
)

const (
	host, key = "desk.example", "key-of-tenant-one"
	// memoryMb is the limit of a front machine's process, and bodyBytes the size of a photo, which is
	// BodyBytes of the configuration.
	memoryMb  = 120
	bodyBytes = 4194304
	// work is how long a runner takes for a request, and usual the requests a second at one machine.
	work  = 2500 * time.Millisecond
	usual = 6.4
	// burstX and burstTime are the strength and the length of the burst.
	burstX    = 1.7
	burstTime = 3 * time.Second
)

func main() { kit2.Main(kit2.Options{Disks: 3, Memory: memoryMb}, play) }

// residentMb returns the memory of a process that is in use; 0 if it has ended.
func residentMb(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}

// watchMemory ends the process, as the platform does, once it uses more memory than it may. It returns
// when done is closed, or the process was ended.
func watchMemory(f *kit2.Fleet, peak *atomic.Int64, killed *atomic.Bool, done <-chan struct{}) {
	process := f.Process("router", 0).Process
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMb(process.Pid)
		if int64(mb) > peak.Load() {
			peak.Store(int64(mb))
		}
		if mb > memoryMb {
			killed.Store(true)
			_ = process.Signal(syscall.SIGKILL)
			f.Record.Add("platform: the router of front-1 uses %d MB, more than %d MB, and is killed", mb, memoryMb)
			return
		}
	}
}

func play(f *kit2.Fleet) (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	config := kit2.Config(7, []kit2.Route{kit2.PlainRoute("photos", host, "/photo/", "unsafe", "farmdesk", 10000, 1)},
		[]kit2.Service{kit2.PlainService("farmdesk")}, []kit2.Tenant{{"Name": "one", "ApiKeys": []string{key}, "Priority": 1, "Isolated": false}})
	if err := f.Configure(config); err != nil {
		return 0, err
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	var passedOn sync.Map
	for i := range 4 {
		r, err := f.StartRunner(fmt.Sprint("i-", i), "farmdesk", fmt.Sprint(f.Net, 101+i, ":8080"), "zone-a", work, func(r *http.Request) {
			f.Record.Add("runner i-%d: runs %s", i, r.Header.Get("X-Request-Id"))
			passedOn.Store(r.Header.Get("X-Request-Id"), true)
		})
		if err != nil {
			return 0, err
		}
		r.Beat(0)
		defer r.Crash()
	}
	time.Sleep(4 * time.Second) // the core has been stable for ContactMs

	// The clients have kept connections: each has sent a short request before.
	idle := make(chan *kit2.Client, 200)
	var warm sync.WaitGroup
	for i := range cap(idle) / 4 {
		warm.Go(func() {
			c := kit2.NewClient(f.Front(0), host, key)
			c.Do(http.MethodPost, "/photo/x", fmt.Sprint("warm-", i), 10*time.Second, []byte("a note"))
			idle <- c
		})
	}
	warm.Wait()

	var peak atomic.Int64
	var killed atomic.Bool
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { watchMemory(f, &peak, &killed, done) })

	body := bytes.Repeat([]byte("p"), bodyBytes)
	var sent, lost atomic.Int64
	var requests sync.WaitGroup
	began, n := time.Now(), 0
	for time.Since(began) < 12*time.Second && !killed.Load() {
		rate := usual
		if at := time.Since(began); trouble && at > 6*time.Second && at < 6*time.Second+burstTime {
			rate *= burstX
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
		var c *kit2.Client
		select {
		case c = <-idle:
		default:
			continue
		}
		id := fmt.Sprintf("photo-%03d", n)
		n++
		requests.Go(func() {
			sent.Add(1)
			f.Record.Add("client: sends %s", id)
			a := c.Do(http.MethodPost, "/photo/x", id, 10*time.Second, body)
			f.Record.Add("client: %s is answered %d in %v by %q", id, a.Status, a.Took.Round(time.Millisecond), a.Stamp)
			if _, ran := passedOn.Load(id); ran && a.Status == 0 {
				lost.Add(1)
			}
			idle <- c
		})
	}
	requests.Wait()
	close(done)
	watch.Wait()
	verdict := fmt.Sprintf("%d requests; the router used up to %d of %d MB; killed: %v; %d requests were passed on to a runner and their connections closed without an answer", sent.Load(), peak.Load(), memoryMb, killed.Load(), lost.Load())
	f.Record.Add("%s", verdict)
	fmt.Println(verdict)
	if lost.Load() > 3 {
		return 1, nil
	}
	return 0, nil
}
