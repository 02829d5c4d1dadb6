// Command encoded-path shows which service runs a request whose path has an encoded slash, before and after
// a configuration that adds a route.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"parsleypulley/review/kit2"
)

const (
	host, key = "desk.example", "key-of-tenant-one"
	// path begins with the prefix /files/, and with no longer one of the configurations.
	path = "/files/2026%2Fmay/report"
)

func main() { kit2.Main(kit2.Options{Disks: 3, Memory: 134}, play) }

// config returns a configuration, in which desk serves all files. With archived set, archive serves those
// under /files/2026/.
func config(version int, archived bool) map[string]any {
	routes := []kit2.Route{kit2.PlainRoute("files", host, "/files/", "unsafe", "desk", 1000, 1)}
	if archived {
		routes = append(routes, kit2.PlainRoute("archive", host, "/files/2026/", "unsafe", "archive", 1000, 1))
	}
	return kit2.Config(version, routes, []kit2.Service{kit2.PlainService("desk"), kit2.PlainService("archive")},
		[]kit2.Tenant{{"Name": "one", "ApiKeys": []string{key}, "Priority": 1, "Isolated": false}})
}

func play(f *kit2.Fleet) (int, error) {
	if err := f.Configure(config(7, false)); err != nil {
		return 0, err
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	var wrong, right atomic.Int64
	for i, service := range []string{"desk", "archive"} {
		r, err := f.StartRunner("i-"+service, service, fmt.Sprint(f.Net, 101+i, ":8080"), "zone-a", 10*time.Millisecond, func(r *http.Request) {
			f.Record.Add("runner of %s: runs %s, path %s", service, r.Header.Get("X-Request-Id"), r.RequestURI)
			switch {
			case r.RequestURI != path:
			case service == "archive":
				wrong.Add(1)
			default:
				right.Add(1)
			}
		})
		if err != nil {
			return 0, err
		}
		r.Beat(0)
		defer r.Crash()
	}
	time.Sleep(4 * time.Second) // the core has been stable for ContactMs
	send := func(phase string) {
		for i := range 3 {
			c := kit2.NewClient(f.Front(i), host, key)
			for n := range 5 {
				for _, p := range []string{path, "/files/other/report"} {
					id := fmt.Sprintf("%s-%d-%d-%d", phase, i, n, len(p))
					a := c.Do(http.MethodPost, p, id, time.Second, []byte("a report"))
					f.Record.Add("client: %s to %s is answered %d by %q", id, p, a.Status, a.Stamp)
				}
			}
		}
	}
	send("before")
	if os.Getenv("TROUBLE") != "0" {
		if err := f.Configure(config(8, true)); err != nil {
			return 0, err
		}
	}
	time.Sleep(kit2.ApplyMs * time.Millisecond)
	send("after")
	verdict := fmt.Sprintf("requests to %s: %d run by desk, the service of /files/; %d run by archive, the service of /files/2026/", path, right.Load(), wrong.Load())
	f.Record.Add("%s", verdict)
	fmt.Println(verdict)
	if wrong.Load() > 0 {
		return 1, nil
	}
	return 0, nil
}
