// Command frozenwall is a case of the third review: whether a router that wakes after a freeze lets an isolated account use
// cached state of another account.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"parsleypulley/review/kit3"
)

const (
	host = "farm.example"
	// requests is the number of requests that wait at the router when it wakes.
	requests = 100
	// parts is the prompt of all requests but for its last part, which is each request's own.
	parts = "5c1e07a2:800,91bd3f06:410"
)

// keys holds the keys of the accounts.
var keys = map[string]string{"sese880": "ctnfzs989anu6wsjnban", "lopu12": "fqasnmgkcuyj8pjbvk9m"}

func main() { kit3.Main(run) }

func run(record *kit3.Record, trouble bool) (broken bool, err error) {
	config := func(isolated bool) map[string]any {
		return map[string]any{
			"Routes": []any{map[string]any{"Name": "r-verdict", "Host": host, "Prefix": "/verdict/", "Kind": "stream", "TimeoutMs": 6000, "GoalMs": 600, "Priority": 1,
				"Service": "assessor", "Attempts": 2, "Public": false, "Sticky": true, "CanResume": true, "GapAimMs": 300}},
			"Services": []any{map[string]any{"Name": "assessor", "HealthPath": "/health", "MaxConns": 620, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Slots": 48, "KvCap": 109697, "KvTokenBytes": 327680, "LinkMbps": 280000.0, "Moves": true, "Backups": true, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": "daka510000"}}}}},
			"Limits": kit3.Limits(),
			"Tenants": []any{
				map[string]any{"Name": "sese880", "ApiKeys": []any{keys["sese880"]}, "Priority": 1, "Isolated": isolated},
				map[string]any{"Name": "lopu12", "ApiKeys": []any{keys["lopu12"]}, "Priority": 1, "Isolated": false},
			},
		}
	}
	in, err := kit3.Start(record, config(false))
	if err != nil {
		return false, err
	}
	defer in.Stop()
	engine, err := in.StartBackend("i-7f3a91c2", "assessor", "zone-a", in.VMs[0].IP, "daka510000")
	if err != nil {
		return false, err
	}
	defer engine.Close()
	request := func(id, account string) kit3.Request {
		return kit3.Request{Method: http.MethodPost, Target: "/verdict/2f", Host: host, ID: id, Key: keys[account], Body: "clamp report",
			Header: map[string]string{"X-Model": "daka510000", "X-Token-Usage": "1460,80", "X-Prefix-Hash": parts + "," + fmt.Sprintf("%x", id) + ":250"}}
	}
	// The other account's requests fill the cache.
	for i, v := range in.VMs {
		n := 0
		for end := time.Now().Add(20 * time.Second); in.Do(v, request(fmt.Sprintf("ready-%d-%d", i, n), "lopu12")).Status != http.StatusOK; time.Sleep(200 * time.Millisecond) {
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
		if a := c.Do(request(fmt.Sprintf("first%d", i), "lopu12")); a.Status != http.StatusOK {
			return false, fmt.Errorf("a first request was answered %d", a.Status)
		}
		callers = append(callers, c)
	}
	if trouble {
		in.Freeze(v)
	}
	frozen := time.Now()
	if err := in.PutConfig(config(true), 2*time.Second); err != nil {
		return false, err
	}
	record.Addf("operator: sese880 is isolated; waits for the bound of %v", kit3.ApplyBound)
	time.Sleep(kit3.ApplyBound + 100*time.Millisecond)
	var sent sync.WaitGroup
	late := map[string]bool{}
	for i, c := range callers {
		id := fmt.Sprintf("late%d", i)
		late[id] = true
		sent.Go(func() { c.Do(request(id, "sese880")) })
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		in.Wake(v)
		record.Addf("platform: %s was frozen for %v", v.Name, time.Since(frozen).Round(time.Millisecond))
	}
	sent.Wait()
	return foreign(record, engine.Runs(), late) > 0, nil
}

// foreign returns the number of late requests, all of an isolated account, that found a part of their prompt which
// a request of another account had left under the same salt. The engine has room for all parts.
func foreign(record *kit3.Record, runs []kit3.Run, late map[string]bool) (n int) {
	madeBy := map[string]string{} // account by salt and part
	ran := 0
	for _, r := range runs {
		used := ""
		for part := range strings.SplitSeq(r.Parts, ",") {
			key := r.Salt + " " + part
			if by, cached := madeBy[key]; !cached {
				madeBy[key] = r.Tenant
			} else if by != r.Tenant && used == "" {
				used = fmt.Sprintf("part %s of %s", part, by)
			}
		}
		if !late[r.ID] {
			continue
		}
		ran++
		if used != "" {
			n++
			record.Addf("check: request %s of %s, which is isolated, used %s", r.ID, r.Tenant, used)
		}
	}
	record.Addf("check: %d of %d requests ran, %d with cached state of another account", ran, len(late), n)
	return n
}
