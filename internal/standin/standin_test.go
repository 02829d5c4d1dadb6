package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/engine/dialect"
)

func start(t *testing.T, o Options) *Server {
	t.Helper()
	o.Models = []dialect.Model{{Model: "m", WeightsVersion: "v1"}}
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// complete sends a completion and returns the answer's text and headers.
func complete(t *testing.T, s *Server, headers http.Header, prompt string, tokens int, stream bool) (string, *http.Response) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream)
	req, err := http.NewRequest(http.MethodPost, s.URL()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range headers {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), resp
}

func get(t *testing.T, s *Server, path string, out any) {
	t.Helper()
	resp, err := http.Get(s.URL() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}

// Tokens are cached only for prompts with the same salt and prefix, and until they
// are evicted.
func TestCachedTokensDependOnSaltAndPrefix(t *testing.T) {
	is := is.New(t)
	s := start(t, Options{CacheBlocks: 40})
	sharedPrefix := strings.Repeat("0123456789abcdef", 16) // 64 tokens, 4 blocks
	cached := func(salt, prompt string) string {
		_, resp := complete(t, s, http.Header{dialect.CacheSalt: {salt}}, prompt, 1, false)
		return resp.Header.Get(dialect.CachedTokens)
	}
	is.Equal(cached("a", sharedPrefix+"question one, long enough to fill a block of sixteen tokens......"), "0")
	is.Equal(cached("a", sharedPrefix+"another"), "64")
	is.Equal(cached("b", sharedPrefix+"another"), "0")        // another account's salt
	is.Equal(cached("a", "x"+sharedPrefix), "0")              // another prefix
	is.Equal(cached("c", strings.Repeat("fill", 16*40)), "0") // evicts all others
	is.Equal(cached("a", sharedPrefix+"another"), "0")
	var events dialect.Events
	get(t, s, "/events?from=1", &events)
	is.Equal(events.Next, uint64(len(events.Events)+1)) // no event is missing
	var load dialect.Load
	get(t, s, "/load", &load)
	is.True(load.CacheBlocksUsed <= 40)
}

func TestOutputIsDeterministicAndResumes(t *testing.T) {
	is := is.New(t)
	s := start(t, Options{})
	whole, _ := complete(t, s, nil, "p", 10, true)
	rest, _ := complete(t, s, http.Header{dialect.LastEventID: {"6"}}, "p", 10, true)
	texts := func(events string) (out string) {
		for line := range strings.SplitSeq(events, "\n") {
			var e struct{ Choices []struct{ Text string } }
			if data, ok := strings.CutPrefix(line, "data: {"); ok && json.Unmarshal([]byte("{"+data), &e) == nil {
				out += e.Choices[0].Text
			}
		}
		return out
	}
	is.Equal(texts(whole), Output("p", "m", "v1", 10))
	is.Equal(Output("p", "m", "v1", 6)+texts(rest), texts(whole))
	is.True(strings.HasSuffix(whole, "data: [DONE]\n\n"))
	is.True(Output("p", "m", "v2", 10) != Output("p", "m", "v1", 10))
}

func TestHigherPrioritiesGoFirst(t *testing.T) {
	is := is.New(t)
	s := start(t, Options{MaxRunning: 1, DecodePerToken: 2 * time.Millisecond})
	waitUntilQueued := func(n int) {
		for range 1000 {
			var load dialect.Load
			get(t, s, "/load", &load)
			if load.Running == 1 && load.Waiting == n {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatalf("no %d requests are waiting", n)
	}
	var order []string
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, priority := range []string{"0", "1", "2"} {
		tokens := 5
		if i == 0 {
			tokens = 400 // long enough to occupy the only slot until the others wait
		}
		all.Go(func() {
			complete(t, s, http.Header{dialect.Priority: {priority}}, "p", tokens, false)
			mu.Lock()
			defer mu.Unlock()
			order = append(order, priority)
		})
		waitUntilQueued(i)
	}
	all.Wait()
	is.Equal(order, []string{"0", "2", "1"})
}

// An engine that checks fencing tokens refuses an order with an older one; an engine
// that doesn't accepts it.
func TestOrdersWithOldFencingToken(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %t", checks), func(t *testing.T) {
			is := is.New(t)
			s := start(t, Options{ChecksFencing: checks})
			order := func(fencing int, version string) int {
				body := fmt.Sprintf(`{"fencing":%d,"model":"m","weights_version":%q}`, fencing, version)
				resp, err := http.Post(s.URL()+"/orders", "application/json", bytes.NewBufferString(body))
				is.NoErr(err)
				resp.Body.Close()
				return resp.StatusCode
			}
			is.Equal(order(8, "v3"), http.StatusOK)
			is.Equal(order(7, "v2") == http.StatusOK, !checks)
			var health dialect.Health
			get(t, s, "/health", &health)
			is.Equal(health.Models[0].WeightsVersion == "v3", checks)
		})
	}
}

// After a crash the server runs with another incarnation and an empty cache.
func TestRestartAfterCrashStartsEmpty(t *testing.T) {
	is := is.New(t)
	s := start(t, Options{})
	complete(t, s, http.Header{dialect.RequestID: {"r1"}}, strings.Repeat("p", 1000), 1, false)
	old := s.Incarnation()
	s.Crash()
	for s.Incarnation() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(s.Incarnation() != old)
	var load dialect.Load
	get(t, s, "/load", &load)
	is.Equal(load.CacheBlocksUsed, 0)
	is.Equal(s.Counts().Requests["r1"], 1) // counts survive a crash
}
