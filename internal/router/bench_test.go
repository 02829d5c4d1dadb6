package router

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/standin"
)

// benchClient keeps an idle connection for each concurrent caller of a benchmark.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// timedCall sends body and returns the times to the first byte and to the end of the
// response.
func timedCall(b *testing.B, url, body string) (first, whole time.Duration) {
	req, err := http.NewRequest("POST", url+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(dialect.RequestID, "bench")
	req.Header.Set(dialect.WeightsVersion, "1")
	began := time.Now()
	resp, err := benchClient.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	var one [1]byte
	if _, err := io.ReadFull(resp.Body, one[:]); err != nil || resp.StatusCode != http.StatusOK {
		b.Error(resp.Status, err)
		return
	}
	first = time.Since(began)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Error(err)
	}
	return first, time.Since(began)
}

const maxMicroseconds = 60_000_000

// sample sends n calls from concurrent callers and returns the times to the first byte
// in microseconds.
func sample(b *testing.B, url, body string, n, callers int) *hdrhistogram.Histogram {
	total := hdrhistogram.New(1, maxMicroseconds, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range n / callers {
				first, _ := timedCall(b, url, body)
				mu.Lock()
				total.RecordValue(max(first.Microseconds(), 1))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return total
}

func benchStack(b *testing.B) (direct, routed string) {
	s := newStack(b)
	options := standin.Options{MaxRunning: 1024, PrefillPerToken: time.Nanosecond, DecodePerToken: time.Nanosecond}
	for _, name := range []string{"runner-0", "runner-1", "runner-2"} {
		s.addBackend(name, "", options)
	}
	return s.backends["runner-0"].standin.URL(), s.addRouter()
}

// BenchmarkOverhead measures the time that router and agent add to the first byte. It
// compares routed calls with direct calls to the stand-in in the same run.
func BenchmarkOverhead(b *testing.B) {
	direct, routed := benchStack(b)
	body := strings.Replace(chatBody, `"max_tokens":8`, `"max_tokens":1`, 1)
	const callers = 4
	sample(b, direct, body, 200, callers)
	sample(b, routed, body, 200, callers)
	b.ResetTimer()
	n := max(b.N, 400)
	d := sample(b, direct, body, n, callers)
	r := sample(b, routed, body, n, callers)
	b.ReportMetric(float64(r.ValueAtQuantile(50)-d.ValueAtQuantile(50)), "added-us-p50")
	b.ReportMetric(float64(r.ValueAtQuantile(99)-d.ValueAtQuantile(99)), "added-us-p99")
	b.ReportMetric(float64(d.ValueAtQuantile(50)), "direct-us-p50")
	b.ReportMetric(float64(d.ValueAtQuantile(99)), "direct-us-p99")
}

// cpuTime returns the CPU time used by this process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkThroughput sends short requests through one router from many callers. The
// CPU time includes callers, router, agents and stand-ins. The CPU time of direct calls
// to the stand-in is measured in the same run for comparison.
func BenchmarkThroughput(b *testing.B) {
	direct, routed := benchStack(b)
	body := strings.Replace(chatBody, `"max_tokens":8`, `"max_tokens":1`, 1)
	const callers = 64
	sample(b, routed, body, 640, callers)
	var before, after runtime.MemStats
	n := max(b.N, callers) / callers * callers
	used := cpuTime(b)
	sample(b, direct, body, n, callers)
	usedDirect := cpuTime(b) - used
	runtime.ReadMemStats(&before)
	used = cpuTime(b)
	b.ResetTimer()
	began := time.Now()
	h := sample(b, routed, body, n, callers)
	elapsed := time.Since(began)
	used = cpuTime(b) - used
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(used.Microseconds())/float64(n), "cpu-us/request")
	b.ReportMetric(float64(usedDirect.Microseconds())/float64(n), "direct-cpu-us/request")
	b.ReportMetric(float64(n)/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "us-p99")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(n), "allocs/request")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(n), "B/request")
}

// BenchmarkChunk measures the time that agent and router add to a streamed chunk,
// compared with a direct stream from the stand-in.
func BenchmarkChunk(b *testing.B) {
	direct, routed := benchStack(b)
	const tokens = 2000
	body := strings.Replace(chatBody, `"max_tokens":8`, `"stream":true,"max_tokens":2000`, 1)
	n := max(b.N/tokens, 1)
	run := func(url string) time.Duration {
		var total time.Duration
		for range n {
			_, whole := timedCall(b, url, body)
			total += whole
		}
		return total
	}
	run(routed)
	b.ResetTimer()
	d, r := run(direct), run(routed)
	b.ReportMetric(float64(r-d)/float64(n*tokens), "added-ns/chunk")
	b.ReportMetric(float64(d)/float64(n*tokens), "direct-ns/chunk")
}

// BenchmarkHeap measures the heap size after 20,000, 50,000 and 100,000 requests with
// distinct prompts. Run it with -benchtime 1x; one iteration is enough.
func BenchmarkHeap(b *testing.B) {
	_, routed := benchStack(b)
	const callers = 64
	body := strings.Replace(chatBody, `"max_tokens":8`, `"max_tokens":1`, 1)
	var sent atomic.Int64
	ownPrompt := func() string {
		return strings.Replace(body, `"content":"`, fmt.Sprintf(`"content":"clamp %d: `, sent.Add(1)), 1)
	}
	if ownPrompt() == body {
		b.Fatal("the prompts are not distinct")
	}
	for _, total := range []int64{20_000, 50_000, 100_000} {
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for sent.Load() < total {
					timedCall(b, routed, ownPrompt())
				}
			})
		}
		wg.Wait()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		b.ReportMetric(float64(stats.HeapAlloc)/(1<<20), fmt.Sprintf("MB-heap-%d", total))
	}
}
