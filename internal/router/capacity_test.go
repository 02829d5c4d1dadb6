package router

import (
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"

	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// sizedView returns the log of a view with the given numbers of backend servers and
// accounts.
func sizedView(b *testing.B, backends, accounts int) *view.Log {
	v := &wire.View{Version: 1, Config: &wire.Config{Revision: 1, PresetInForce: "ordinary",
		Models:  []*wire.Model{{Name: "assessor", WeightsVersion: "1"}},
		Presets: []*wire.Preset{{Name: "ordinary"}}}}
	for i := range accounts {
		digest := sha256.Sum256(fmt.Append(nil, i))
		v.Config.Accounts = append(v.Config.Accounts, &wire.Account{Name: fmt.Sprintf("account-%05d", i), KeySha256: [][]byte{digest[:]}})
	}
	for i := range backends {
		v.Members = append(v.Members, &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: &wire.Backend{
			Name: fmt.Sprintf("runner-%05d", i), AgentAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
			FailureDomain: fmt.Sprintf("domain-%d", i%20), AgentIncarnation: 1, EngineIncarnation: 1, MaxRunning: 16,
			Models: []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "1"}}}})
	}
	log := view.NewLog(view.DefaultLogLimits())
	if err := log.Reset(v); err != nil {
		b.Fatal(err)
	}
	return log
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRouterState measures the heap used by a router and its view, and the time to
// apply a view with one changed member.
func BenchmarkRouterState(b *testing.B) {
	for _, size := range []struct{ backends, accounts int }{{18, 8}, {100, 8}, {400, 8}, {4000, 8}, {18, 1000}, {18, 13000}, {4000, 13000}} {
		b.Run(fmt.Sprintf("backends=%d/accounts=%d", size.backends, size.accounts), func(b *testing.B) {
			before := heapBytes()
			log := sizedView(b, size.backends, size.accounts)
			r := New(Options{Name: "router-0", Domain: "domain-0", Seed: 1, Views: log.Store(), Pool: link.NewPool(nil)})
			used := heapBytes() - before
			member := log.Snapshot().Members()[0]
			b.ResetTimer()
			for n := range b.N {
				changed := &wire.Member{Backend: member.Backend, State: wire.BackendState(1 + n%2)}
				version := log.Version() + 1
				if err := log.Append(&wire.ViewEvent{Version: version, Body: &wire.ViewEvent_Member{Member: changed}}); err != nil {
					b.Fatal(err)
				}
				r.applyView(log.Snapshot())
			}
			b.StopTimer()
			b.ReportMetric(float64(used), "heap-bytes")
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkIdleLinks measures the memory and goroutines of an idle link, both ends
// together.
func BenchmarkIdleLinks(b *testing.B) {
	s := &stack{t: b}
	pool := link.NewPool(nil)
	defer pool.Close()
	before := heapBytes()
	goroutines := runtime.NumGoroutine()
	const links = 200
	var addresses []string
	for range links {
		addresses = append(addresses, s.serveLink(link.HandlerFunc(servePing)))
	}
	for _, address := range addresses {
		if _, err := pool.Call(b.Context(), address, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}}); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	b.ReportMetric(float64(heapBytes()-before)/links, "heap-bytes/link")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/links, "goroutines/link")
	for range b.N {
	}
}

func servePing(_ context.Context, call *link.Call) error {
	return call.Send(&wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{}}})
}
