// Command isolation shows that a client account that becomes isolated by a change of the configuration
// goes on sharing the cached state that it made before.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"parsleypulley/review/kit"
)

// cachedPart is a part of a prompt that an engine keeps under a salt, with the account that made it.
type cachedPart struct{ salt, model, path string }

// engineCache is the cache of the only engine. Parts are found under the same salt only, and only behind the
// same parts.
type engineCache struct {
	mu    sync.Mutex
	parts map[cachedPart]string
	// used lists for each request the accounts whose parts it used.
	used map[string][]string
}

// read serves the prompt of a request from the cache, and keeps what it lacks.
func (c *engineCache) read(id, account, salt, model, prompt string) (found int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit, path := true, ""
	for part := range strings.SplitSeq(prompt, ",") {
		path += part + ","
		key := cachedPart{salt, model, path}
		maker, known := c.parts[key]
		if hit = hit && known; hit {
			found++
			c.used[id] = append(c.used[id], maker)
			continue
		}
		c.parts[key] = account
	}
	return found
}

const (
	sharedParts = "5c1e07a2:800,91bd3f06:410"
	model       = "daka510000"
)

func main() {
	s := kit.Open(os.Args[1], 4, 0)
	s.StartAll()
	// config has the accounts sese880, isolated or not, and toto114, which never is.
	config := func(version int, isolated bool) map[string]any {
		tenant := func(name, key string, isolated bool) map[string]any {
			return map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Isolated": isolated}
		}
		return map[string]any{
			"Version": version,
			"Routes": []any{map[string]any{"Name": "r-1", "Host": "jepu9.example", "Prefix": "/lepu270/", "Kind": "stream", "TimeoutMs": 6000, "GoalMs": 600, "Priority": 1, "Service": "huvo11a", "Attempts": 2, "Public": false,
				"Sticky": true, "CanResume": true, "GapAimMs": 300}},
			"Services": []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 620, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": 48, "KvCap": 107841, "KvTokenBytes": 327680, "LinkMbps": 370000.0,
				"Moves": true, "Backups": true, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": model}}}}},
			"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
			"Tenants": []any{tenant("sese880", "key-of-sese880", isolated), tenant("toto114", "key-of-toto114", false)},
		}
	}
	time.Sleep(kit.Contact)
	if s.PutUntilAcknowledged(s.VMs, 20*time.Second, config(1, !s.Trouble)) == nil {
		s.Finish(2, "version 1 was not acknowledged")
	}
	cache := &engineCache{parts: map[cachedPart]string{}, used: map[string][]string{}}
	models := []map[string]any{{"Name": model, "Version": 1, "Adapters": []any{}}}
	engine := s.StartEngine("huvo11a", "punjab-a", models, func(w http.ResponseWriter, r *http.Request, _ string) {
		id, account, salt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant"), r.Header.Get("X-Cache-Salt")
		found := cache.read(id, account, salt, r.Header.Get("X-Model"), r.Header.Get("X-Prefix-Hash"))
		s.Log("%s for %s under the salt %q: %d parts are found", id, account, salt, found)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Weight-Versions", "1")
		for i := 1; i <= 3; i++ {
			fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		}
		_, _ = io.WriteString(w, "")
	})
	for _, vm := range s.VMs {
		s.Await(vm.Name+" is ready", 20*time.Second, func() bool { return s.Ready(vm) })
	}
	question := 0
	ask := func(account string, vm *kit.VM) kit.Answer {
		question++
		return s.Request(vm, http.MethodPost, "/lepu270/2f", "question", map[string]string{"Authorization": "Bearer key-of-" + account, "X-Model": model, "X-Token-Usage": "1460,80",
			"X-Prefix-Hash": fmt.Sprintf("%s,e4402b%02x:250", sharedParts, question)})
	}
	s.Await("the engine answers", 20*time.Second, func() bool { return ask("sese880", s.VMs[0]).Status == http.StatusOK })
	s.Log("%s has read the shared parts at %s", "sese880", engine.ID)

	// The operator isolates the account; without the disruption it was isolated all the time.
	if s.PutUntilAcknowledged(s.VMs, 20*time.Second, config(2, true)) == nil {
		s.Finish(2, "version 2 was not acknowledged")
	}
	time.Sleep(kit.Apply + 500*time.Millisecond)
	broken := 0
	for _, vm := range s.VMs {
		for _, account := range []string{"toto114", "sese880"} {
			a := ask(account, vm)
			if a.Status != http.StatusOK {
				s.Finish(2, "the call of %s was answered %d", account, a.Status)
			}
			cache.mu.Lock()
			for _, maker := range cache.used[a.ID] {
				if maker != account {
					broken++
					s.Log("%s of %s used a part that %s made", a.ID, account, maker)
				}
			}
			cache.mu.Unlock()
		}
	}
	if broken > 0 {
		s.Finish(1, "%d parts of another account were used more than %v after the acknowledgement that one of the two is isolated", broken, kit.Apply)
	}
	s.Finish(0, "no part of another account was used")
}
