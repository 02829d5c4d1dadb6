// Command loadgen sends chat calls to routers, or directly to engines, and prints
// their latencies. It stops after the number of calls that --requests sets.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
)

type settings struct {
	URL          []string      `arg:"" name:"url" help:"Base URLs of routers or engines, used in turn."`
	Key          string        `help:"API key." default:"demo-key-indus" env:"LOADGEN_KEY"`
	Model        string        `help:"Model to name." default:"assessor" env:"LOADGEN_MODEL"`
	Version      string        `help:"Weights version, for calls straight to an engine." default:"1" env:"LOADGEN_VERSION"`
	Callers      int           `help:"Calls in flight at once." default:"16" env:"LOADGEN_CALLERS"`
	Requests     int           `help:"Calls in all." default:"1000" env:"LOADGEN_REQUESTS"`
	Stream       bool          `help:"Ask for streamed answers." env:"LOADGEN_STREAM"`
	OutputTokens int           `help:"Tokens of each answer." default:"1" env:"LOADGEN_OUTPUT_TOKENS"`
	Contexts     int           `help:"Number of shared contexts." default:"32" env:"LOADGEN_CONTEXTS"`
	ContextBytes int           `help:"Bytes of each context." default:"200" env:"LOADGEN_CONTEXT_BYTES"`
	Timeout      time.Duration `help:"Longest time of one call." default:"30s" env:"LOADGEN_TIMEOUT"`
	Seed         uint64        `help:"Seed of the choice of contexts." default:"1" env:"LOADGEN_SEED"`
}

// Validate is called by kong after it has parsed the command line.
func (s *settings) Validate() error {
	if s.Callers < 1 || s.Requests < 1 || s.OutputTokens < 1 || s.Contexts < 1 || s.ContextBytes < 0 {
		return errors.New("counts must be positive")
	}
	return nil
}

// maxLatencyMicros is the largest latency, in microseconds, that the histograms
// record.
const maxLatencyMicros = 600_000_000

// results collects the results of all calls.
type results struct {
	mu sync.Mutex
	// firstByte holds the times to the first byte of the response body, in
	// microseconds.
	firstByte *hdrhistogram.Histogram
	// complete holds the times to the end of the response body, in microseconds.
	complete *hdrhistogram.Histogram
	// failures counts the failed calls by error text.
	failures map[string]int
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("loadgen"), kong.Description("Bounded load of chat calls."))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	r := &results{
		firstByte: hdrhistogram.New(1, maxLatencyMicros, 3),
		complete:  hdrhistogram.New(1, maxLatencyMicros, 3),
		failures:  map[string]int{},
	}
	client := &http.Client{Timeout: s.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: s.Callers}}
	began := time.Now()
	var wg sync.WaitGroup
	for caller := range s.Callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(s.Seed, uint64(caller)))
			for n := caller; n < s.Requests; n += s.Callers {
				r.call(client, s, s.URL[n%len(s.URL)], random)
			}
		})
	}
	wg.Wait()
	return r.print(time.Since(began))
}

// call sends one chat call and records its result.
func (r *results) call(client *http.Client, s settings, url string, random *rand.Rand) {
	firstByte, complete, err := measureCall(client, s, url, requestBody(s, random))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failures[err.Error()]++
		return
	}
	_ = r.firstByte.RecordValue(max(firstByte.Microseconds(), 1))
	_ = r.complete.RecordValue(max(complete.Microseconds(), 1))
}

// requestBody returns the body of a chat call with a random shared context and a
// question that is almost always unique.
func requestBody(s settings, random *rand.Rand) []byte {
	shared := fmt.Sprintf("context %d %s", random.IntN(s.Contexts), strings.Repeat("x", s.ContextBytes))
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"system","content":"Answer."},{"role":"user","content":%q},{"role":"user","content":"question %d"}]}`,
		s.Model, s.Stream, s.OutputTokens, shared, random.Uint32())
}

// measureCall sends one chat call. It returns the times to the first byte and to
// the end of the response body.
func measureCall(client *http.Client, s settings, url string, body []byte) (firstByte, complete time.Duration, err error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Weights-Version", s.Version)
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, errors.New("no answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	answer := bufio.NewReader(resp.Body)
	if _, err := answer.ReadByte(); err != nil {
		return 0, 0, errors.New("empty answer")
	}
	firstByte = time.Since(began)
	rest, err := io.ReadAll(answer)
	if err != nil || s.Stream && !bytes.Contains(rest, []byte("[DONE]")) {
		return 0, 0, errors.New("broken answer")
	}
	return firstByte, time.Since(began), nil
}

// print prints the number of calls, the latencies and the failures. It returns an
// error if any call failed.
func (r *results) print(elapsed time.Duration) error {
	n := r.firstByte.TotalCount()
	fmt.Printf("calls=%d requests_per_second=%.0f\n", n, float64(n)/elapsed.Seconds())
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first_byte", r.firstByte}, {"whole", r.complete}} {
		fmt.Printf("%s_us p50=%d p95=%d p99=%d max=%d\n", row.name,
			row.h.ValueAtQuantile(50), row.h.ValueAtQuantile(95), row.h.ValueAtQuantile(99), row.h.Max())
	}
	failed := 0
	for cause, count := range r.failures {
		fmt.Printf("failed=%d cause=%q\n", count, cause)
		failed += count
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d calls failed", failed, int64(failed)+n)
	}
	return nil
}
