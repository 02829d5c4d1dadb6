package daemon

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
)

// blockedWriter is an output whose writes block until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	out       bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	return w.out.Write(p)
}

// setLogHandler makes h the log handler until the test ends.
func setLogHandler(t *testing.T, h log.Handler) {
	t.Helper()
	before := log.Log.(*log.Logger).Handler
	log.SetHandler(h)
	t.Cleanup(func() { log.SetHandler(before) })
}

// Requests are served while writes to standard output block. Then lines about
// successful calls are dropped first and those about failures last, and the number of
// dropped lines is logged.
func TestLoggingDoesNotWaitForOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblocked: make(chan struct{})}
	w := newLogWriter(out)
	setLogHandler(t, w)
	now := time.Unix(0, 0)
	log.Now = func() time.Time { now = now.Add(time.Second / maxLinesPerSecond); return now }
	defer func() { log.Now = time.Now }()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		event.ForwardedCallServed(event.ForwardedCall{Request: r.URL.Query().Get("id")})
	}))
	defer server.Close()
	for range 2 * logQueueLines {
		resp, err := http.Get(server.URL + "?id=well")
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	for range logQueueLines / 8 {
		event.CacheStoreChanged("10.0.0.1:1", false, nil)
		event.ForwardedCallFailed(event.ForwardedCall{Request: "badly"}, fault.New(fault.Overloaded, fault.NotRun, "full"))
	}
	close(out.unblocked)
	w.flush(10 * time.Second)
	text := out.out.String()
	is.True(strings.Count(text, "request=well") <= logQueueLines/2+1)
	is.Equal(strings.Count(text, "request=badly"), logQueueLines/8)
	is.Equal(strings.Count(text, "store=10.0.0.1:1"), logQueueLines/8)
	is.True(strings.Contains(text, "log lines dropped"))
}

// A process never logs more lines or bytes in a second than its budget allows.
func TestLogRateLimit(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := newLogWriter(&out)
	setLogHandler(t, w)
	now := time.Unix(0, 0)
	log.Now = func() time.Time { return now }
	defer func() { log.Now = time.Now }()
	longError := errors.New(strings.Repeat("x", 2<<10))
	const seconds = 3
	for range seconds {
		for range 4 * maxLinesPerSecond {
			event.ForwardedCallServed(event.ForwardedCall{Request: "well"})
			event.ProbeFailed("b", nil)
			event.ForwardedCallFailed(event.ForwardedCall{Request: "badly"}, longError)
		}
		w.flush(10 * time.Second)
		now = now.Add(time.Second)
	}
	w.flush(10 * time.Second)
	is.True(strings.Count(out.String(), "\n") <= (seconds+1)*maxLinesPerSecond)
	is.True(out.Len() <= (seconds+1)*maxBytesPerSecond)
	is.True(strings.Count(out.String(), "request=badly") > 100) // failures are still logged
}

// BenchmarkLogLine measures the cost of logging one served call.
func BenchmarkLogLine(b *testing.B) {
	w := newLogWriter(io.Discard)
	log.SetHandler(w)
	defer log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil }))
	// The clock advances fast enough for the budget to allow every line.
	now := time.Unix(0, 0)
	log.Now = func() time.Time { now = now.Add(time.Millisecond); return now }
	defer func() { log.Now = time.Now }()
	call := event.ForwardedCall{Request: "r-123456", Route: "clamp-verdict", Account: "account-7", Backend: "engine-11", Attempts: 1, ViewVersion: 812, RouteTableVersion: 4,
		ViewAge: 30 * time.Millisecond, Duration: 410 * time.Millisecond, TimeToFirstEvent: 180 * time.Millisecond,
		Prompt: &event.PromptRouting{Tokens: 9190, SharedPrefixTokens: 6300, ExpectedCachedTokens: 6300, Wait: time.Millisecond, Prefill: 60 * time.Millisecond, Weights: 3}}
	b.ReportAllocs()
	for b.Loop() {
		event.ForwardedCallServed(call)
	}
}

// exitVariable is set in the process that TestFailureIsLoggedBeforeExit starts.
const exitVariable = "PARSLEYPULLEY_TEST_EXIT"

// A process that fails logs the reason before it ends.
func TestFailureIsLoggedBeforeExit(t *testing.T) {
	if os.Getenv(exitVariable) != "" {
		(&Settings{LogLevel: "info"}).StartLog()
		Exit(errors.New("the address is in use"))
	}
	is := is.New(t)
	for range 5 {
		process := exec.Command(os.Args[0], "-test.run=^TestFailureIsLoggedBeforeExit$")
		process.Env = append(os.Environ(), exitVariable+"=1")
		out, err := process.Output()
		var exit *exec.ExitError
		is.True(errors.As(err, &exit))
		is.Equal(exit.ExitCode(), 1)
		is.True(strings.Contains(string(out), "the address is in use"))
	}
}
