package operator

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/matryer/is"

	"parsleypulley/internal/account"
	"parsleypulley/internal/config"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

const testKey = "operator-test-key"

func TestMain(m *testing.M) {
	log.SetHandler(logfmt.New(io.Discard))
	os.Exit(m.Run())
}

// fakeControl is a control replica in memory. It is safe for concurrent use.
type fakeControl struct {
	mu       sync.Mutex
	state    *config.State
	calls    int
	backends []*wire.BackendChange
	removed  []uint64
	// err, when set, answers every call.
	err error
}

func newFakeControl() *fakeControl { return &fakeControl{state: config.NewState()} }

func (f *fakeControl) lockAndCount() error {
	f.mu.Lock()
	f.calls++
	return f.err
}

func (f *fakeControl) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeControl) Config(context.Context) (*wire.Config, error) {
	defer f.mu.Unlock()
	return f.state.Config(), f.lockAndCount()
}

func (f *fakeControl) Change(_ context.Context, change *wire.ConfigChange) (*wire.ConfigResult, error) {
	defer f.mu.Unlock()
	if err := f.lockAndCount(); err != nil {
		return nil, err
	}
	return f.state.Apply(change), nil
}

func (f *fakeControl) Backends(context.Context) ([]*wire.Member, error) {
	defer f.mu.Unlock()
	return []*wire.Member{{
		State: wire.BackendState_BACKEND_STATE_DRAINING,
		Backend: &wire.Backend{
			Name:              "runner-1",
			FailureDomain:     "punjab-a",
			AgentAddress:      "10.0.0.1:7000",
			EngineIncarnation: 1 << 63,
			Models:            []*wire.LoadedModel{{Model: "assessor", WeightsVersion: "1"}},
		},
	}}, f.lockAndCount()
}

func (f *fakeControl) ChangeBackend(_ context.Context, change *wire.BackendChange) (*wire.BackendResult, error) {
	defer f.mu.Unlock()
	if err := f.lockAndCount(); err != nil {
		return nil, err
	}
	f.backends = append(f.backends, change)
	if change.Name == "unknown" {
		return &wire.BackendResult{Problem: "no such backend server"}, nil
	}
	return &wire.BackendResult{Accepted: true}, nil
}

func (f *fakeControl) Status(context.Context) (*Status, error) {
	defer f.mu.Unlock()
	return &Status{Node: "control-0", ID: 1<<64 - 1, Replicas: []Replica{{ID: 7, Learner: true}}}, f.lockAndCount()
}

func (f *fakeControl) Bootstrap(context.Context) error {
	defer f.mu.Unlock()
	return f.lockAndCount()
}

func (f *fakeControl) RemoveReplica(_ context.Context, id uint64) error {
	defer f.mu.Unlock()
	if err := f.lockAndCount(); err != nil {
		return err
	}
	for _, gone := range f.removed {
		if gone == id {
			return fault.New(fault.NotFound, fault.NotRun, "no such replica")
		}
	}
	f.removed = append(f.removed, id)
	return nil
}

func newTestHandler(c Control) http.Handler {
	return Handler(c, account.Keyring{account.Digest("another key"), account.Digest(testKey)})
}

// serve serves h on host and returns the address.
func startServer(t *testing.T, host string, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &httptest.Server{Listener: ln, Config: &http.Server{Handler: h}}
	s.Start()
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

// loseAnswers serves requests but cuts the connection instead of answering the
// first n of them.
func dropResponses(n int, h http.Handler) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		lose := n > 0
		n--
		mu.Unlock()
		if !lose {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func newTestClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := NewClient(Options{Addresses: addresses, Key: testKey, InitialBackoff: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func initialChange() *wire.ConfigChange {
	return &wire.ConfigChange{
		ChangeId:      "first",
		Operator:      "tester",
		PutAccounts:   []*wire.Account{{Name: "a", KeySha256: [][]byte{bytes.Repeat([]byte{7}, 32)}}},
		PutPresets:    []*wire.Preset{{Name: "ordinary"}, {Name: "peak"}},
		PresetInForce: "ordinary",
	}
}

func TestClientAndHandlerAgree(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	control := newFakeControl()
	c := newTestClient(t, startServer(t, "127.0.0.1", newTestHandler(control)))

	result, err := c.Change(ctx, initialChange())
	is.NoErr(err)
	is.Equal(*result, ChangeResult{Status: Accepted, Revision: 1})
	result, err = c.Change(ctx, initialChange())
	is.NoErr(err)
	is.Equal(*result, ChangeResult{Status: Accepted, Revision: 1, Repeated: true})
	result, err = c.Change(ctx, &wire.ConfigChange{PresetInForce: "peak"})
	is.NoErr(err)
	is.Equal(*result, ChangeResult{Status: Conflict, Revision: 1})
	result, err = c.Change(ctx, &wire.ConfigChange{BaseRevision: 1, PresetInForce: "night"})
	is.NoErr(err)
	is.Equal(result.Status, Invalid)
	is.Equal(len(result.Problems), 1)

	current, err := c.Config(ctx)
	is.NoErr(err)
	is.Equal(current.PresetInForce, "ordinary")
	is.Equal(current.Accounts[0].KeySha256[0], bytes.Repeat([]byte{7}, 32))

	backends, err := c.Backends(ctx)
	is.NoErr(err)
	is.Equal(backends[0].State, "draining")
	is.Equal(backends[0].EngineIncarnation, uint64(1<<63)) // not rounded on the way
	is.Equal(backends[0].Models[0].Model, "assessor")

	status, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(status.ID, ReplicaID(1<<64-1))
	is.Equal(status.Replicas, []Replica{{ID: 7, Learner: true}})

	is.NoErr(c.Bootstrap(ctx))
	is.NoErr(c.RemoveReplica(ctx, 0xa7))
	is.True(fault.Is(c.RemoveReplica(ctx, 0xa7), fault.NotFound))
	is.Equal(control.removed, []uint64{0xa7})
}

func TestBackendActions(t *testing.T) {
	for action, kind := range map[Action]wire.BackendChange_Kind{
		Drain:   wire.BackendChange_KIND_DRAIN,
		Undrain: wire.BackendChange_KIND_UNDRAIN,
		Retire:  wire.BackendChange_KIND_RETIRE,
	} {
		t.Run(string(action), func(t *testing.T) {
			is := is.New(t)
			control := newFakeControl()
			c := newTestClient(t, startServer(t, "127.0.0.1", newTestHandler(control)))
			result, err := c.ChangeBackend(t.Context(), "a/b c", action)
			is.NoErr(err)
			is.True(result.Accepted)
			is.Equal(control.backends[0].Kind, kind)
			is.Equal(control.backends[0].Name, "a/b c") // any name comes through whole
			result, err = c.ChangeBackend(t.Context(), "unknown", action)
			is.NoErr(err)
			is.Equal(*result, BackendResult{Problem: "no such backend server"})
		})
	}
}

func TestEveryErrorKindIsDecodedByClient(t *testing.T) {
	for _, kind := range fault.Kinds() {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			control := newFakeControl()
			control.err = fault.New(kind, fault.NotRun, "secret detail").WithRetryAfter(1500 * time.Millisecond)
			address := startServer(t, "127.0.0.1", newTestHandler(control))
			resp, body := sendRequest(t, http.MethodGet, "http://"+address+"/v1/config", "Bearer "+testKey, nil)
			is.Equal(resp.StatusCode, kind.Response().Status)
			is.Equal(resp.Header.Get("Retry-After"), "2") // whole seconds, rounded up
			got := fault.From(decodeResponseError(resp.StatusCode, body))
			is.Equal(got.Kind, kind)
			is.Equal(got.Outcome, fault.NotRun)
			is.Equal(got.RetryAfter, 1500*time.Millisecond)
			is.Equal(strings.Contains(got.Text(), "secret detail"), kind != fault.Internal)
		})
	}
}

// raw sends one request and returns the answer with its body.
func sendRequest(t *testing.T, method, url, authorization string, body io.Reader) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, data
}

func TestRequestsWithoutKnownKeyAreRefused(t *testing.T) {
	control := newFakeControl()
	address := startServer(t, "127.0.0.1", newTestHandler(control))
	noKeysAddress := startServer(t, "127.0.0.1", Handler(control, nil))
	for _, test := range []struct{ name, address, authorization string }{
		{"no key", address, ""},
		{"unknown key", address, "Bearer nonsense"},
		{"empty key", address, "Bearer "},
		{"other scheme", address, "Basic " + testKey},
		{"digest in place of the key", address, "Bearer " + account.Digest(testKey).String()},
		{"no keys are set", noKeysAddress, "Bearer " + testKey},
		{"no keys are set and none is sent", noKeysAddress, ""},
	} {
		for _, path := range []string{"GET /v1/config", "POST /v1/changes", "GET /v1/backends", "POST /v1/backends/a/drain", "GET /v1/status", "POST /v1/bootstrap", "POST /v1/replicas/1/remove", "GET /nowhere"} {
			t.Run(test.name+" "+path, func(t *testing.T) {
				is := is.New(t)
				method, path, _ := strings.Cut(path, " ")
				resp, body := sendRequest(t, method, "http://"+test.address+path, test.authorization, strings.NewReader("{}"))
				is.Equal(resp.StatusCode, http.StatusUnauthorized)
				is.True(fault.Is(decodeResponseError(resp.StatusCode, body), fault.Unauthenticated))
				is.Equal(control.callCount(), 0)
			})
		}
	}
}

func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	control := newFakeControl()
	address := startServer(t, "127.0.0.1", newTestHandler(control))
	for _, test := range []struct {
		name, method, path, body string
		kind                     fault.Kind
	}{
		{"wrong method", "DELETE", "/v1/config", "", fault.MethodNotAllowed},
		{"POST to a path for GET", "POST", "/v1/status", "", fault.MethodNotAllowed},
		{"unknown path", "GET", "/v1/secrets", "", fault.NotFound},
		{"unknown action", "POST", "/v1/backends/a/destroy", "", fault.NotFound},
		{"long name", "POST", "/v1/backends/" + strings.Repeat("x", maxNameBytes+1) + "/drain", "", fault.BadRequest},
		{"replica ID is not a number", "POST", "/v1/replicas/x/remove", "", fault.BadRequest},
		{"replica ID 0", "POST", "/v1/replicas/0/remove", "", fault.BadRequest},
		{"empty body", "POST", "/v1/changes", "", fault.BadRequest},
		{"body is not JSON", "POST", "/v1/changes", "presets:", fault.BadRequest},
		{"unknown field", "POST", "/v1/changes", `{"colour":"red"}`, fault.BadRequest},
		{"null in a list", "POST", "/v1/changes", `{"put_accounts":[null]}`, fault.BadRequest},
		{"body too large", "POST", "/v1/changes", strings.Repeat(" ", MaxChangeBytes+1), fault.BodyTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			resp, body := sendRequest(t, test.method, "http://"+address+test.path, "Bearer "+testKey, strings.NewReader(test.body))
			err := fault.From(decodeResponseError(resp.StatusCode, body))
			is.Equal(err.Kind, test.kind)
			is.Equal(err.Outcome, fault.NotRun)
			is.Equal(resp.StatusCode, test.kind.Response().Status)
			is.Equal(control.callCount(), 0)
		})
	}
}

func TestKeysAreNeverLogged(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	log.SetHandler(logfmt.New(&lines))
	defer log.SetHandler(logfmt.New(io.Discard))
	h := newTestHandler(newFakeControl())
	for _, key := range []string{testKey, "unknown-key"} {
		for _, path := range []string{"/v1/changes", "/v1/bootstrap", "/v1/replicas/x/remove"} {
			req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"change_id":"c"}`))
			req.Header.Set("Authorization", "Bearer "+key)
			h.ServeHTTP(httptest.NewRecorder(), req)
		}
	}
	is.True(strings.Contains(lines.String(), "configuration change decided"))
	is.True(!strings.Contains(lines.String(), testKey))
	is.True(!strings.Contains(lines.String(), "unknown-key"))
}

func TestNewClientReportsAllInvalidOptions(t *testing.T) {
	is := is.New(t)
	_, err := NewClient(Options{Addresses: []string{"nowhere", "ftp://a:1", "http://a:1/path"}})
	for _, part := range []string{`"nowhere"`, `"ftp"`, "/path", "no operator key"} {
		is.True(strings.Contains(err.Error(), part))
	}
	_, err = NewClient(Options{Key: testKey})
	is.True(err != nil)
	_, err = NewClient(Options{Addresses: []string{"a:1", "https://[::1]:2"}, Key: testKey})
	is.NoErr(err)
}
