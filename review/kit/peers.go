package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Call sends one HTTP request on a new connection and returns the status, or 0 if there was no
// whole answer.
func Call(ctx context.Context, method, url string, body []byte, header map[string]string) (int, http.Header, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		Unable("%v", err)
	}
	for name, value := range header {
		if name == "Host" {
			req.Host = value
		}
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, resp.Header, answer
}

func callFor(limit time.Duration, method, url string, body []byte, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	status, _, answer := Call(ctx, method, url, body, header)
	return status, answer
}

// ControlURL returns the URL of a path at the control process of a VM.
func (vm *VM) ControlURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", vm.IP, controlPort, path)
}

// Put sends a configuration to one VM and returns the status.
func (s *System) Put(vm *VM, config map[string]any) int {
	body, err := json.Marshal(config)
	if err != nil {
		Unable("%v", err)
	}
	status, _ := callFor(time.Second, http.MethodPut, vm.ControlURL("/parsleypulley/config"), body, nil)
	s.Log("the operator sends version %v to %s: %d", config["Version"], vm.Name, status)
	return status
}

// PutUntilAcknowledged sends a configuration to the VMs in turn until one acknowledges it, which it
// returns; nil if none did in time.
func (s *System) PutUntilAcknowledged(vms []*VM, limit time.Duration, config map[string]any) *VM {
	wait := 50 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, vm := range vms {
			if s.Put(vm, config) == http.StatusOK {
				return vm
			}
		}
		time.Sleep(wait)
		wait = min(wait*3/2, time.Second)
	}
	return nil
}

// Get reads the configuration from a VM, and returns the status and the version.
func (s *System) Get(vm *VM) (status int, version float64) {
	status, body := callFor(time.Second, http.MethodGet, vm.ControlURL("/parsleypulley/config"), nil, nil)
	var config struct{ Version float64 }
	if status == http.StatusOK && json.Unmarshal(body, &config) != nil {
		return 0, 0
	}
	return status, config.Version
}

// Ready reports whether the router of a VM says that it takes calls.
func (s *System) Ready(vm *VM) bool {
	status, _ := callFor(time.Second, http.MethodGet, fmt.Sprintf("http://%s:%d/parsleypulley/readiness", vm.IP, readyPort), nil, nil)
	return status == http.StatusOK
}

// Leads reports whether the control replica of a VM says in its metrics that it leads.
func (s *System) Leads(vm *VM) bool {
	_, body := callFor(time.Second, http.MethodGet, fmt.Sprintf("http://%s:%d/debug/vars", vm.IP, controlAdminPort), nil, nil)
	var all struct {
		Role string `json:"consensus_role"`
	}
	return json.Unmarshal(body, &all) == nil && all.Role == "leader"
}

// Metric returns a metric of the router of a VM as JSON text.
func (s *System) Metric(vm *VM, name string) string {
	_, body := callFor(time.Second, http.MethodGet, fmt.Sprintf("http://%s:%d/debug/vars", vm.IP, routerAdminPort), nil, nil)
	all := map[string]json.RawMessage{}
	if json.Unmarshal(body, &all) != nil {
		return ""
	}
	return string(all[name])
}

// Arrival is a request that has reached a backend server.
type Arrival struct {
	At     time.Time
	ID     string
	Path   string
	Header http.Header
	Body   string
}

// Backend is a stand-in for a backend server, which registers itself.
type Backend struct {
	ID, Service, Zone, Addr string
	// Born is the start in Unix milliseconds.
	Born int64
	// Models is what an engine says of its models.
	Models []map[string]any
	// Handle answers a request that names this instance. It may be nil.
	Handle func(w http.ResponseWriter, r *http.Request, body string)
	// Own answers reports and orders to an engine; nil stands for an engine that reports no load.
	Own func(w http.ResponseWriter, r *http.Request, body string)
	// Backlog is the length of the queue of new connections; 0 stands for that of the machine.
	Backlog int

	listener *pausedListener
	system   *System
	server   *http.Server

	mu       sync.Mutex
	seq      int
	state    string
	silent   bool
	arrivals []Arrival
}

var nextBackend atomic.Int32

// NewBackend returns a backend server that does not run yet.
func (s *System) NewBackend(service, zone string) *Backend {
	n := nextBackend.Add(1)
	return &Backend{ID: fmt.Sprintf("i-%08x", 0x7f3a9100+n), Service: service, Zone: zone, Addr: fmt.Sprint(s.subnet, 100+n, ":8080"), Born: time.Now().UnixMilli(), system: s, state: "ready"}
}

// Start starts the backend server, which sends heartbeats to the VMs in turn.
func (b *Backend) Start() {
	b.listen()
	go b.beat()
}

// SetModels changes what an engine says of its models.
func (b *Backend) SetModels(models []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Models = models
}

// StartBackend starts a backend server that handle answers for.
func (s *System) StartBackend(service, zone string, handle func(w http.ResponseWriter, r *http.Request, body string)) *Backend {
	return s.StartEngine(service, zone, nil, handle)
}

// StartEngine starts a backend server that serves models.
func (s *System) StartEngine(service, zone string, models []map[string]any, handle func(w http.ResponseWriter, r *http.Request, body string)) *Backend {
	b := s.NewBackend(service, zone)
	b.Models, b.Handle = models, handle
	b.Start()
	return b
}

func (b *Backend) listen() {
	ln, err := net.Listen("tcp", b.Addr)
	if err != nil {
		Unable("%v", err)
	}
	if b.Backlog > 0 {
		setBacklog(ln, b.Backlog)
	}
	b.listener = &pausedListener{Listener: ln}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(b.listener) }()
}

// pausedListener accepts nothing while it is paused.
type pausedListener struct {
	net.Listener
	paused sync.RWMutex
}

// Accept implements net.Listener.
func (l *pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.paused.RLock() // waits while it is paused
	defer l.paused.RUnlock()
	return conn, err
}

// setBacklog sets the length of the queue of a listener.
func setBacklog(ln net.Listener, backlog int) {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		Unable("%v", err)
	}
	_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), backlog) })
	if err != nil {
		Unable("%v", err)
	}
}

// FillQueue accepts no connections until ctx ends, and fills the queue of new ones.
func (b *Backend) FillQueue(ctx context.Context) {
	b.listener.paused.Lock()
	defer b.listener.paused.Unlock()
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for range b.Backlog + 2 {
		conn, err := net.DialTimeout("tcp", b.Addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	<-ctx.Done()
}

// Stop ends the backend server.
func (b *Backend) Stop() {
	b.Silence()
	_ = b.server.Close()
	b.system.Log("backend server %s ends", b.ID)
}

// Crash ends the backend server at once, without a word.
func (b *Backend) Crash() {
	b.Silence()
	_ = b.server.Close()
}

// Silence ends the heartbeats.
func (b *Backend) Silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

// Heartbeat is one heartbeat of a backend server, as it is sent.
type Heartbeat struct {
	backend *Backend
	seq     int
	body    []byte
}

// NextHeartbeat makes a heartbeat.
func (b *Backend) NextHeartbeat() Heartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	fields := map[string]any{"Service": b.Service, "Addr": b.Addr, "Zone": b.Zone, "Version": "v1", "Slots": 48, "State": b.state, "ColdLeftMs": 0, "Seq": b.seq, "born": b.Born}
	if b.Models != nil {
		fields["Stage"], fields["Models"] = "colocated", b.Models
	}
	body, _ := json.Marshal(fields)
	return Heartbeat{b, b.seq, body}
}

// Deliver sends a heartbeat to a VM and reports whether it was acknowledged.
func (h Heartbeat) Deliver(vm *VM) bool {
	status, _ := callFor(time.Second, http.MethodPut, vm.ControlURL("/parsleypulley/instances/"+h.backend.ID), h.body, nil)
	return status/100 == 2
}

// Text describes a heartbeat.
func (h Heartbeat) Text() string { return fmt.Sprintf("heartbeat %d of %s", h.seq, h.backend.ID) }

// beat sends heartbeats until the backend server is silent. One that is not acknowledged within a second goes
// to the next VM.
func (b *Backend) beat() {
	for i := 0; ; i++ {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent {
			return
		}
		h := b.NextHeartbeat()
		for k := range b.system.VMs {
			if h.Deliver(b.system.VMs[(i+k)%len(b.system.VMs)]) {
				break
			}
		}
		time.Sleep(HeartbeatInterval)
	}
}

// Delete tells the VMs in turn that the backend server leaves, until one acknowledges that, which it returns.
func (b *Backend) Delete(vms []*VM) *VM {
	b.Silence()
	body := fmt.Appendf(nil, `{"born":%d}`, b.Born)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, vm := range vms {
			status, _ := callFor(time.Second, http.MethodDelete, vm.ControlURL("/parsleypulley/instances/"+b.ID), body, nil)
			b.system.Log("%s tells %s that it leaves: %d", b.ID, vm.Name, status)
			if status/100 == 2 {
				return vm
			}
		}
	}
	return nil
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/parsleypulley/") {
		b.serveOwn(w, r, string(data))
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.ID {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, Arrival{time.Now(), id, r.URL.Path, r.Header.Clone(), string(data)})
	b.mu.Unlock()
	b.system.Log("%s reaches %s", id, b.ID)
	w.Header().Set("X-Server-Stamp", b.ID+"."+id)
	if b.Handle != nil {
		b.Handle(w, r, string(data))
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}

// serveOwn answers the calls of the leader to an engine.
func (b *Backend) serveOwn(w http.ResponseWriter, r *http.Request, body string) {
	b.mu.Lock()
	models := b.Models
	b.mu.Unlock()
	if models == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch own := r.URL.Path == "/parsleypulley/report" || r.URL.Path == "/parsleypulley/order"; {
	case own && b.Own != nil:
		b.Own(w, r, body)
	case r.URL.Path == "/parsleypulley/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "colocated", "Models": models, "Busy": false, "Seq": 0, "Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 100000, "Handles": 0})
	case r.URL.Path == "/parsleypulley/kv-events":
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(w, `{"BootEpoch":1,"Next":0,"Lost":false,"Events":[]}`)
	case r.URL.Path == "/parsleypulley/kv-list":
		_, _ = io.WriteString(w, `{"BootEpoch":1,"Next":0,"Held":[]}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Arrivals returns the requests that have reached the backend server.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

var nextRequest atomic.Int64

// Answer is what a caller got; Status is 0 if there was no whole answer.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int
	Header http.Header
	Body   string
}

// Request sends a caller's request to the router of a VM and waits for the answer.
func (s *System) Request(vm *VM, method, path, body string, header map[string]string) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", 0x1c41d07be2000000+nextRequest.Add(1)), Sent: time.Now()}
	all := map[string]string{"Host": "jepu9.example", "X-Request-Id": a.ID, "X-Deadline-Ms": "3000"}
	for name, value := range header {
		all[name] = value
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s.Log("a caller sends %s to %s", a.ID, vm.Name)
	status, answerHeader, answer := Call(ctx, method, fmt.Sprintf("http://%s:%d%s", vm.IP, frontPort, path), []byte(body), all)
	a.Status, a.Header, a.Body = status, answerHeader, string(answer)
	s.Log("the answer to %s: %d", a.ID, status)
	return a
}

// StreamAnswer is what a caller got of a stream.
type StreamAnswer struct {
	ID     string
	Sent   time.Time
	Events int
}

// Stream sends a caller's request to the router of a VM, and read reads the answer as it comes.
func (s *System) Stream(vm *VM, path string, header map[string]string, read func(id string, body io.Reader, counts map[string]int)) StreamAnswer {
	a := StreamAnswer{ID: fmt.Sprintf("%016x", 0x1c41d07be2000000+nextRequest.Add(1)), Sent: time.Now()}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", vm.IP, frontPort, path), strings.NewReader("question"))
	if err != nil {
		Unable("%v", err)
	}
	req.Host = "jepu9.example"
	req.Header.Set("X-Request-Id", a.ID)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	s.Log("a caller sends %s to %s", a.ID, vm.Name)
	resp, err := (&http.Client{Transport: transport, Timeout: 20 * time.Second}).Do(req)
	if err != nil {
		s.Log("no answer to %s: %v", a.ID, err)
		return a
	}
	defer resp.Body.Close()
	counts := map[string]int{}
	if resp.StatusCode == http.StatusOK {
		read(a.ID, resp.Body, counts)
	}
	a.Events = counts["events"]
	s.Log("the answer to %s: %d, %d events", a.ID, resp.StatusCode, a.Events)
	return a
}
