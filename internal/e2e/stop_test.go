package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"parsleypulley/internal/standin"
)

// TestRouterStopAnswersCalls stops a router process with SIGTERM while calls run that outlast its stop.
// It guards against calls that are accepted and then closed without a response, against a cut stream that
// looks complete, and against a stop that says nothing of them.
func TestRouterStopAnswersCalls(t *testing.T) {
	const stopDeadline = 3 * time.Second
	in := newInstallation(t, layout{controls: 1, args: func(_ *installation, role, _ string) []string {
		if role == "router" {
			return []string{"--stop-deadline", stopDeadline.String(), "--log-level", "debug"}
		}
		return nil
	}})
	l := &load{in: in}
	for _, backend := range []string{"farmdesk-0", "farmdesk-1"} {
		in.inject(backend, standin.Fault{Kind: standin.FaultSlow, Factor: 400}) // a booking takes 8 s
	}
	booking := make(chan string, 1)
	go func() {
		resp, err := l.postWithTimeout(20*time.Second, "router-0", "/services/farmdesk/bookings", "k1", `{"sample":1}`)
		if err != nil {
			booking <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		booking <- fmt.Sprint(resp.StatusCode, " ", err, " ", string(text))
	}()
	in.waitFor("the booking runs", func() bool { return in.counts("farmdesk-", services).Keys["k1"] == 1 })
	stream, err := l.postWithTimeout(time.Minute, "router-0", "/v1/chat/completions", "",
		`{"model":"assessor","stream":true,"max_tokens":5000,"messages":[{"role":"user","content":"long"}]}`)
	if err != nil || stream.StatusCode != http.StatusOK {
		t.Fatalf("the stream did not start: %v", err)
	}
	defer stream.Body.Close()
	conn, err := net.Dial("tcp", in.externalAddress("router-0", "router-0/callers"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	short := func(timeout time.Duration) (*http.Response, string) {
		t.Helper()
		body := `{"model":"assessor","max_tokens":2,"messages":[{"role":"user","content":"short"}]}`
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Request-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			callerKey, timeout.Milliseconds(), len(body), body)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp, string(text)
	}
	if resp, text := short(10 * time.Second); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("before the stop: %d %s", resp.StatusCode, text)
	}
	router := in.processes["router-0"]
	began := time.Now()
	router.signal(syscall.SIGTERM)
	in.waitFor("the stop begins", func() bool {
		log, _ := os.ReadFile(router.log)
		return strings.Contains(string(log), "planned stop begins")
	})
	time.Sleep(time.Second) // the listener is closed
	if resp, text := short(10 * time.Second); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close || !strings.Contains(text, `"ran":"not_run"`) {
		t.Errorf("a call that may outlast the stop: %d, close %t, %s", resp.StatusCode, resp.Close, text)
	}
	if text := <-booking; !strings.HasPrefix(text, "502 <nil>") || !strings.Contains(text, `"ran":"unknown"`) {
		t.Errorf("booking: %s", text)
	}
	text, err := io.ReadAll(stream.Body)
	if err == nil || strings.Contains(string(text), "[DONE]") || strings.Contains(string(text), `"error"`) {
		t.Errorf("the cut stream ends with %v and %q", err, string(text[max(0, len(text)-100):]))
	}
	<-router.done
	if took := time.Since(began); took < stopDeadline || took > stopDeadline+time.Second {
		t.Errorf("the stop took %v", took)
	}
	log, _ := os.ReadFile(router.log)
	for _, want := range []string{"accepted=0", "refused=1", "answered=1", "cut=1", "running=2", "left=0", "cut_by=stop", "requests were cut at the planned stop"} {
		if !strings.Contains(string(log), want) {
			t.Errorf("the log has no %q", want)
		}
	}
	if n := in.counts("farmdesk-", services).Keys["k1"]; n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}
