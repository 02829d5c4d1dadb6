// Command frozenkey is a case of the third review: whether a router that wakes after a freeze gives requests to the account that
// held their key before.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"parsleypulley/review/kit3"
)

const (
	host = "desk.example"
	key  = "ctnfzs989anu6wsjnban"
	// requests is the number of requests that wait at the router when it wakes.
	requests = 40
)

func main() { kit3.Main(run) }

func run(record *kit3.Record, trouble bool) (broken bool, err error) {
	config := func(holder string) map[string]any {
		keys := map[string][]any{"sese880": {"fqasnmgkcuyj8pjbvk9m"}, "lopu12": {"a8hwk2gd0pz5mrt3vxqe"}}
		keys[holder] = append(keys[holder], key)
		return map[string]any{
			"Routes": []any{map[string]any{"Name": "r-desk", "Host": host, "Prefix": "/desk/", "Kind": "unsafe", "TimeoutMs": 4000, "GoalMs": 150, "Priority": 2,
				"Service": "farmdesk", "Attempts": 1, "Public": false, "Sticky": false, "CanResume": false}},
			"Services": []any{map[string]any{"Name": "farmdesk", "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}},
			"Limits":   kit3.Limits(),
			"Tenants":  []any{map[string]any{"Name": "sese880", "ApiKeys": keys["sese880"], "Priority": 1, "Isolated": false}},
		}
	}
	in, err := kit3.Start(record, config("sese880"))
	if err != nil {
		return false, err
	}
	defer in.Stop()
	farm, err := in.StartBackend("i-farm1", "farmdesk", "zone-a", in.VMs[0].IP, "")
	if err != nil {
		return false, err
	}
	defer farm.Close()
	request := func(id string) kit3.Request {
		return kit3.Request{Method: http.MethodPost, Target: "/desk/clamp/2026-12", Host: host, ID: id, Key: key, Body: `{"booking":1}`}
	}
	for i, v := range in.VMs {
		n := 0
		for end := time.Now().Add(20 * time.Second); in.Do(v, request(fmt.Sprintf("ready-%d-%d", i, n))).Status != http.StatusOK; time.Sleep(200 * time.Millisecond) {
			if n++; time.Now().After(end) {
				return false, fmt.Errorf("%s does not serve", v.Name)
			}
		}
	}
	v, err := in.FollowerVM()
	if err != nil {
		return false, err
	}
	var callers []*kit3.Caller
	for i := range requests {
		c, err := in.Dial(v)
		if err != nil {
			return false, err
		}
		defer c.Close()
		if a := c.Do(request(fmt.Sprintf("first%d", i))); a.Status != http.StatusOK {
			return false, fmt.Errorf("a first request was answered %d", a.Status)
		}
		callers = append(callers, c)
	}
	if trouble {
		in.Freeze(v)
	}
	frozen := time.Now()
	if err := in.PutConfig(config("lopu12"), 2*time.Second); err != nil {
		return false, err
	}
	record.Addf("operator: key %q is now that of lopu12; waits for the bound of %v", key, kit3.ApplyBound)
	time.Sleep(kit3.ApplyBound + 100*time.Millisecond)
	var sent sync.WaitGroup
	late := map[string]bool{}
	for i, c := range callers {
		id := fmt.Sprintf("late%d", i)
		late[id] = true
		sent.Go(func() { c.Do(request(id)) })
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		in.Wake(v)
		record.Addf("platform: %s was frozen for %v", v.Name, time.Since(frozen).Round(time.Millisecond))
	}
	sent.Wait()
	ran, wrong := 0, 0
	for _, r := range farm.Runs() {
		if !late[r.ID] {
			continue
		}
		ran++
		if r.Tenant != "lopu12" {
			wrong++
			record.Addf("check: request %s ran for tenant %q; its key is that of lopu12", r.ID, r.Tenant)
		}
	}
	record.Addf("check: %d of %d requests ran, %d for another tenant", ran, len(late), wrong)
	return wrong > 0, nil
}
