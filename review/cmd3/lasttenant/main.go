// Command lasttenant is a case of the third review: whether a key still opens a route after a configuration has taken away
// the last client account.
package main

import (
	"fmt"
	"net/http"
	"time"

	"parsleypulley/review/kit3"
)

const (
	host = "desk.example"
	key  = "ctnfzs989anu6wsjnban"
)

// requests is the number of requests to each VM after the bound.
const requests = 5

func main() { kit3.Main(run) }

func run(record *kit3.Record, trouble bool) (broken bool, err error) {
	config := func(tenants []any) map[string]any {
		return map[string]any{
			"Routes": []any{map[string]any{"Name": "r-desk", "Host": host, "Prefix": "/desk/", "Kind": "unsafe", "TimeoutMs": 2000, "GoalMs": 150, "Priority": 2,
				"Service": "farmdesk", "Attempts": 1, "Public": false, "Sticky": false, "CanResume": false}},
			"Services": []any{map[string]any{"Name": "farmdesk", "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}},
			"Limits":   kit3.Limits(),
			"Tenants":  tenants,
		}
	}
	account := func(keys ...any) []any {
		return []any{map[string]any{"Name": "sese880", "ApiKeys": append([]any{}, keys...), "Priority": 1, "Isolated": false}}
	}
	in, err := kit3.Start(record, config(account(key)))
	if err != nil {
		return false, err
	}
	defer in.Stop()
	farm, err := in.StartBackend("i-farm1", "farmdesk", "zone-a", in.VMs[0].IP, "")
	if err != nil {
		return false, err
	}
	defer farm.Close()
	book := func(v *kit3.VM, id, key string) kit3.Answer {
		return in.Do(v, kit3.Request{Method: http.MethodPost, Target: "/desk/clamp/2026-12", Host: host, ID: id, Key: key, Body: `{"booking":1}`})
	}
	for i, v := range in.VMs {
		n := 0
		for end := time.Now().Add(20 * time.Second); book(v, fmt.Sprintf("ready-%d-%d", i, n), key).Status != http.StatusOK; time.Sleep(200 * time.Millisecond) {
			if n++; time.Now().After(end) {
				return false, fmt.Errorf("%s does not serve", v.Name)
			}
		}
	}
	last := account() // the account stays, and has no key any more
	if trouble {
		last = []any{} // the account goes too
	}
	if err := in.PutConfig(config(last), 10*time.Second); err != nil {
		return false, err
	}
	record.Addf("operator: key %q is taken away; waits for the bound of %v", key, kit3.RevokeBound)
	time.Sleep(kit3.RevokeBound + 500*time.Millisecond)
	late := map[string]bool{}
	for i := range requests {
		for _, v := range in.VMs {
			for j, k := range []string{key, "neverheld"} {
				id := fmt.Sprintf("late%d-%s-%d", i, v.Zone, j)
				late[id] = true
				book(v, id, k)
			}
		}
	}
	ran := 0
	for _, r := range farm.Runs() {
		if late[r.ID] {
			ran++
			record.Addf("check: request %s ran %v after the bound, for tenant %q", r.ID, kit3.RevokeBound, r.Tenant)
		}
	}
	record.Addf("check: %d of %d requests ran", ran, len(late))
	return ran > 0, nil
}
