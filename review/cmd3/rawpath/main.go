// Command rawpath is a case of the third review: whether a request whose path has a character that Go's package net/url
// would encode is forwarded with the path that its client sent, and to the service of its route.
package main

import (
	"fmt"
	"net/http"
	"time"

	"parsleypulley/review/kit3"
)

const host = "desk.example"

// requests is the number of requests to each VM.
const requests = 5

func main() { kit3.Main(run) }

func run(record *kit3.Record, trouble bool) (broken bool, err error) {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Kind": "unsafe", "TimeoutMs": 2000, "GoalMs": 150, "Priority": 2,
			"Service": service, "Attempts": 1, "Public": false, "Sticky": false, "CanResume": false}
	}
	in, err := kit3.Start(record, map[string]any{
		"Routes":   []any{route("r-desk", "/desk/", "farmdesk"), route("r-lab", "/desk/lab/", "labdesk")},
		"Services": []any{map[string]any{"Name": "farmdesk", "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}, map[string]any{"Name": "labdesk", "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}},
		"Limits":   kit3.Limits(),
		"Tenants":  []any{map[string]any{"Name": "sese880", "ApiKeys": []any{"ctnfzs989anu6wsjnban"}, "Priority": 1, "Isolated": false}},
	})
	if err != nil {
		return false, err
	}
	defer in.Stop()
	farm, err := in.StartBackend("i-farm1", "farmdesk", "zone-a", in.VMs[0].IP, "")
	if err != nil {
		return false, err
	}
	defer farm.Close()
	lab, err := in.StartBackend("i-lab1", "labdesk", "zone-b", in.VMs[1].IP, "")
	if err != nil {
		return false, err
	}
	defer lab.Close()
	// Waits until all routers know both servers, with requests that have nothing unusual.
	ready := func(v *kit3.VM) bool {
		for _, target := range []string{"/desk/ready", "/desk/lab/ready"} {
			a := in.Do(v, kit3.Request{Method: http.MethodPost, Target: target, Host: host, ID: fmt.Sprintf("ready-%d", time.Now().UnixNano()), Key: "ctnfzs989anu6wsjnban", Body: "{}"})
			if a.Status != http.StatusOK {
				return false
			}
		}
		return true
	}
	for _, v := range in.VMs {
		for end := time.Now().Add(20 * time.Second); !ready(v); time.Sleep(200 * time.Millisecond) {
			if time.Now().After(end) {
				return false, fmt.Errorf("%s does not serve", v.Name)
			}
		}
	}
	// The clients' targets. Both begin with the prefix of r-desk only.
	targets := []string{"/desk/lab%2Fclamp-7/2026-12", "/desk/clamp/2026-12"}
	if trouble {
		targets = []string{"/desk/lab%2Fclamp|7/2026-12", "/desk/clamp|2026-12"}
	}
	sent := map[string]string{}
	for i := range requests {
		for _, v := range in.VMs {
			for j, target := range targets {
				id := fmt.Sprintf("r%d-%s-%d", i, v.Zone, j)
				sent[id] = target
				in.Do(v, kit3.Request{Method: http.MethodPost, Target: target, Host: host, ID: id, Key: "ctnfzs989anu6wsjnban", Body: `{"booking":1}`})
			}
		}
	}
	changed, misrouted, ran := 0, 0, 0
	for _, r := range append(farm.Runs(), lab.Runs()...) {
		target, ok := sent[r.ID]
		if !ok {
			continue
		}
		ran++
		if r.Target != target {
			changed++
			record.Addf("check: request %s was sent with path %s and ran with path %s", r.ID, target, r.Target)
		}
		if r.Service != "farmdesk" {
			misrouted++
			record.Addf("check: request %s with path %s ran at service %s, to which only /desk/lab/ leads", r.ID, target, r.Service)
		}
	}
	record.Addf("check: %d of %d requests ran, %d with another path, %d at another service", ran, len(sent), changed, misrouted)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0 || misrouted > 0, nil
}
