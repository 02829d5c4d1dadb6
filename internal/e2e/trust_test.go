package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"

	"parsleypulley/internal/account"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

// authority is a certificate authority created by the operators' command line tool.
type authority struct {
	t   *testing.T
	dir string
}

func newAuthority(t *testing.T) *authority {
	return &authority{t: t, dir: filepath.Join(t.TempDir(), "keys")}
}

// issue issues a certificate unless it exists, and returns the paths of its files.
func (a *authority) issue(role, name string) (cert, key string) {
	cert = filepath.Join(a.dir, role+"-"+name+".pem")
	if _, err := os.Stat(cert); errors.Is(err, os.ErrNotExist) {
		tool := exec.Command(filepath.Join(binaryDir, "parsleypulley"), "keys", "--dir", a.dir, role+":"+name)
		if out, err := tool.CombinedOutput(); err != nil {
			a.t.Fatalf("parsleypulley keys: %v\n%s", err, out)
		}
	}
	return cert, filepath.Join(a.dir, role+"-"+name+"-key.pem")
}

func (a *authority) args(role, name string) []string {
	cert, key := a.issue(role, name)
	return []string{"--tls-ca", filepath.Join(a.dir, "ca.pem"), "--tls-cert", cert, "--tls-key", key}
}

// call makes one call to a process, with a certificate of a for the given role. The
// process called must have a certificate of trusted.
func (a *authority) call(trusted *authority, role, address string, req *wire.Request) error {
	cert, key := a.issue(role, "caller")
	config, err := link.LoadTLS(filepath.Join(trusted.dir, "ca.pem"), cert, key)
	if err != nil {
		a.t.Fatal(err)
	}
	pool := link.NewPool(config)
	defer pool.Close()
	return callOnce(pool, address, req)
}

func callOnce(pool *link.Pool, address string, req *wire.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := pool.Call(ctx, address, req)
	return err
}

// TestMutualTLS runs an installation with certificates of one authority. Its processes
// must refuse calls with a certificate of another authority, without a certificate,
// or of a role that may not make the call.
func TestMutualTLS(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	in := newInstallation(t, layout{args: func(_ *installation, role, name string) []string { return own.args(role, name) }})
	l := startLoad(in)
	l.waitForProgress("requests over TLS")
	l.stopAndCheck(t)
	ping := &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}}
	claim := &wire.Request{Body: &wire.Request_ClaimLookup{ClaimLookup: &wire.ClaimLookup{Account: "indus", Key: "k"}}}
	dispatch := &wire.Request{Body: &wire.Request_Dispatch{Dispatch: &wire.Dispatch{RequestId: "r", Attempt: 1, Account: "indus"}}}
	announce := &wire.Request{Body: &wire.Request_Announce{Announce: &wire.Announce{Backend: &wire.Backend{Name: "intruder"}}}}
	consensus := &wire.Request{Body: &wire.Request_Consensus{Consensus: &wire.ConsensusBatch{}}}
	change := &wire.Request{Body: &wire.Request_Propose{Propose: &wire.Propose{Command: &wire.Command{
		Body: &wire.Command_Config{Config: &wire.ConfigChange{ChangeId: "c", PresetInForce: "peak"}}}}}}
	leader := in.leader()
	for _, process := range in.daemons() {
		address := in.addr(process + "/link")
		if err := other.call(own, "control", address, ping); err == nil {
			t.Errorf("%s answered a process of another authority", process)
		}
		if err := callOnce(link.NewPool(nil), address, ping); err == nil {
			t.Errorf("%s answered a process without a certificate", process)
		}
		if err := own.call(own, "router", address, ping); err != nil {
			t.Errorf("%s refused a router's ping: %v", process, err)
		}
	}
	for _, tt := range []struct {
		role, process string
		req           *wire.Request
	}{
		{"router", leader, announce}, {"control", leader, announce},
		{"agent", leader, claim}, {"agent", leader, change}, {"router", leader, change},
		{"router", leader, consensus}, {"agent", leader, consensus},
		{"agent", "runner-0", dispatch}, {"control", "runner-0", dispatch},
	} {
		err := own.call(own, tt.role, in.addr(tt.process+"/link"), tt.req)
		if !fault.Is(err, fault.Forbidden) {
			t.Errorf("%s answered %T of role %s with %v", tt.process, tt.req.Body, tt.role, err)
		}
	}
}

// span contains the fields of an exported span that the test uses.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
}

// The W3C trace context of callers, with its trace ID and span ID.
const (
	callerTrace = "4bf92f3577b34da6a3ce929d0e0e4736"
	callerSpan  = "00f067aa0ba902b7"
	traceparent = "00-" + callerTrace + "-" + callerSpan + "-01"
)

// secretSalt is a cache salt. No log, trace or metric may contain it.
const secretSalt = "e2e-secret-salt"

// TestTracesAndLogs sends a chat request, a booking and some refused requests through
// an installation with debug logs and traces. It checks the format of the logs, that
// no secret appears anywhere, and that the spans form complete chains.
func TestTracesAndLogs(t *testing.T) {
	in := newInstallation(t, layout{args: func(in *installation, _, name string) []string {
		return []string{"--log-level", "debug", "--trace", filepath.Join(in.dir, name+".spans")}
	}})
	in.setCacheSalt()
	chat := in.postTraced("/v1/chat/completions", "", `{"model":"assessor","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`)
	booking := in.postTraced("/services/farmdesk/bookings", "booking-1", `{"sample":1}`)
	var echo standin.Echo
	if err := json.Unmarshal(booking, &echo); err != nil {
		t.Fatal(err)
	}
	if sent := echo.Headers.Get("Traceparent"); !strings.HasPrefix(sent, "00-"+callerTrace+"-") || strings.Contains(sent, callerSpan) {
		t.Errorf("the plain service got traceparent %q", sent)
	}
	in.postTraced("/v1/chat/completions", "", `{"model":"none","messages":[{}]}`)
	in.postTraced("/services/farmdesk/bookings", "", `{}`)
	texts := map[string][]byte{"answer to a chat": chat}
	for _, name := range in.daemons() {
		texts["metrics of "+name] = in.metricsText(name)
	}
	for _, name := range in.daemons() {
		in.processes[name].signal(syscall.SIGTERM)
	}
	for _, name := range in.daemons() {
		<-in.processes[name].done
		texts["log of "+name] = readFile(t, in.processes[name].log)
		texts["spans of "+name] = readFile(t, filepath.Join(in.dir, name+".spans"))
		checkLog(t, name, texts["log of "+name])
	}
	for what, text := range texts {
		for _, secret := range []string{callerKey, operatorKey, secretSalt, account.DerivedSaltPrefix} {
			if bytes.Contains(text, []byte(secret)) {
				t.Errorf("the %s contains %q", what, secret)
			}
		}
	}
	in.checkSpanChains(t)
}

// setCacheSalt gives the caller's account a cache salt of its own.
func (in *installation) setCacheSalt() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	config, err := in.client.Config(ctx)
	if err != nil {
		in.t.Fatal(err)
	}
	a := config.Accounts[0]
	a.CacheSalt = secretSalt
	result, err := in.client.Change(ctx, &wire.ConfigChange{BaseRevision: config.Revision, PutAccounts: []*wire.Account{a}})
	if err != nil {
		in.t.Fatalf("%+v, %v", result, err)
	}
	in.waitFor("the salt is in force", func() bool { return in.metrics("router-0").Revision == result.Revision })
}

// postTraced sends a request with the caller's trace context and returns the answer.
func (in *installation) postTraced(path, key, body string) []byte {
	req, err := http.NewRequest("POST", "http://"+in.addr("router-0/callers")+path, strings.NewReader(body))
	if err != nil {
		in.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Traceparent", traceparent)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		in.t.Fatal(err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get("Traceparent"); !strings.Contains(got, callerTrace) {
		in.t.Errorf("%s answered with traceparent %q", path, got)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		in.t.Fatal(err)
	}
	return text
}

func (in *installation) metricsText(name string) []byte {
	resp, err := http.Get("http://" + in.addr(name) + "/debug/vars")
	if err != nil {
		in.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		in.t.Fatal(err)
	}
	return text
}

func readFile(t *testing.T, path string) []byte {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkLog checks that every line consists of key=value pairs with timestamp, level
// and message.
func checkLog(t *testing.T, name string, text []byte) {
	for line := range strings.Lines(string(text)) {
		decoder := logfmt.NewDecoder(strings.NewReader(line))
		seen := map[string]bool{}
		for decoder.ScanRecord() {
			for decoder.ScanKeyval() {
				seen[string(decoder.Key())] = len(decoder.Value()) > 0
			}
		}
		if err := decoder.Err(); err != nil || !seen["timestamp"] || !seen["level"] || !seen["message"] {
			t.Errorf("%s logged a malformed line (%v): %s", name, err, line)
		}
	}
}

// checkSpanChains checks that the chat request and the booking each have a chain of
// parent spans from the agent's span to the caller's.
func (in *installation) checkSpanChains(t *testing.T) {
	spans := map[string]span{}
	for _, name := range in.daemons() {
		decoder := json.NewDecoder(bytes.NewReader(readFile(t, filepath.Join(in.dir, name+".spans"))))
		for {
			var s span
			if err := decoder.Decode(&s); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatal(err)
			}
			if s.SpanContext.TraceID == callerTrace {
				spans[s.SpanContext.SpanID] = s
			}
		}
	}
	chains := map[string]int{}
	for _, s := range spans {
		if s.Name != "agent.dispatch" {
			continue
		}
		chain := s.Name
		for p, ok := spans[s.Parent.SpanID]; ok; p, ok = spans[s.Parent.SpanID] {
			s = p
			chain = p.Name + " > " + chain
		}
		chains[fmt.Sprintf("%s from %s", chain, s.Parent.SpanID)]++
	}
	want := "gateway POST > router serve > router attempt > agent.dispatch from " + callerSpan
	if chains[want] != 2 || len(chains) != 1 {
		t.Errorf("chains of spans are %v, want 2 of %q", chains, want)
	}
}
