package kit3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Run is a request that a backend server has run.
type Run struct {
	At                    time.Time
	Backend, Service      string
	ID, Method, Target    string
	Tenant, Authorization string
	ExpectedVersion, Salt string
	// Parts are the parts of the prompt, as the client sent them.
	Parts   string
	Version int
}

// Order is an order that a backend server has got.
type Order struct {
	At             time.Time
	Holder         string
	Fence, Version int
}

// Backend is a stand-in for a backend server of a plain service or a model engine: it announces itself, answers 421 to
// requests for another instance or version, and otherwise runs them.
type Backend struct {
	ID, Service, Zone, Addr string
	Born                    int64
	in                      *Installation
	server                  *http.Server
	stop                    chan struct{}
	// Work is how long a request takes.
	Work time.Duration
	// Late returns how much later than it was sent an order arrives; nil if none does.
	Late func(Order) time.Duration

	mu      sync.Mutex
	seq     int
	model   string
	version int
	orders  int
	runs    []Run
	got     []Order
}

// StartBackend starts a backend server at an address on the given loopback IP. model is empty for a plain service.
func (in *Installation) StartBackend(id, service, zone, ip, model string) (*Backend, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	b := &Backend{ID: id, Service: service, Zone: zone, Addr: ln.Addr().String(), Born: time.Now().UnixMilli(), in: in, stop: make(chan struct{}), model: model, version: 1, Work: 5 * time.Millisecond}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(ln) }() // ends with Close
	go b.announce()
	return b, nil
}

// Close stops the backend server without a word.
func (b *Backend) Close() {
	close(b.stop)
	_ = b.server.Close() // it is not used any more
}

// Message returns the heartbeat that the backend server would send next, without counting it.
func (b *Backend) Message() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := map[string]any{"Service": b.Service, "Addr": b.Addr, "Zone": b.Zone, "Version": "v1", "Slots": 48, "State": "ready", "ColdLeftMs": 0, "Seq": b.seq, "born": b.Born}
	if b.model != "" {
		body["Stage"] = "colocated"
		body["Models"] = b.models()
	}
	return body
}

func (b *Backend) models() []any {
	return []any{map[string]any{"Name": b.model, "Version": b.version, "Adapters": []any{}}}
}

// announce sends heartbeats.
func (b *Backend) announce() {
	ticker := time.NewTicker(HeartbeatMs * time.Millisecond)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		b.seq++
		b.mu.Unlock()
		if status, err := b.in.Heartbeat(b.ID, b.Message()); err != nil || status != http.StatusOK {
			b.in.Record.Addf("server %s: heartbeat answered %d, %v", b.ID, status, err)
		}
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
	}
}

// Runs returns the requests that were run so far.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Version returns the version of the loaded weights.
func (b *Backend) Version() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.ID)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/parsleypulley/report":
		b.report(w)
		return
	case r.URL.Path == "/parsleypulley/order":
		b.order(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/parsleypulley/"):
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"BootEpoch":%d,"Next":1,"Lost":false,"Events":[]}`, b.Born)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // broken off
	}
	version := b.Version()
	if expected := r.Header.Get("X-Expect-Version"); b.model != "" && expected != "" && expected != fmt.Sprint(version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{At: time.Now(), Backend: b.ID, Service: b.Service, ID: id, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("X-Tenant"),
		Authorization: r.Header.Get("Authorization"), ExpectedVersion: r.Header.Get("X-Expect-Version"), Salt: r.Header.Get("X-Cache-Salt"), Parts: r.Header.Get("X-Prefix-Hash"), Version: version}
	b.mu.Lock()
	b.runs = append(b.runs, run)
	b.mu.Unlock()
	b.in.Record.Addf("server %s (%s): runs %s %s, request %s, tenant %q, version %d, salt %q", b.ID, b.Service, run.Method, run.Target, id, run.Tenant, version, run.Salt)
	time.Sleep(b.Work)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", b.ID, id))
	if b.model != "" {
		w.Header().Set("X-Weight-Versions", fmt.Sprint(version))
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
		return
	}
	fmt.Fprintf(w, "%s ran %s", b.ID, id)
}

func (b *Backend) report(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"Stage":"colocated","Models":[{"Name":%q,"Version":%d,"Adapters":[]}],"Busy":false,"Seq":%d,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":90000,"Handles":0}`, b.model, b.version, b.orders)
}

// order carries out an order at once.
func (b *Backend) order(w http.ResponseWriter, r *http.Request) {
	var message struct {
		Version, Fence, Expected int
		Holder                   string
	}
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil || message.Holder == "" || message.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := Order{Holder: message.Holder, Fence: message.Fence, Version: message.Version}
	if b.Late != nil {
		time.Sleep(b.Late(o))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	o.At = time.Now()
	b.got = append(b.got, o)
	b.in.Record.Addf("server %s: order of %s with fence %d: version %d, expects %d of %d", b.ID, o.Holder, o.Fence, o.Version, message.Expected, b.orders)
	switch {
	case message.Expected != b.orders:
		w.WriteHeader(http.StatusConflict)
	case message.Version == b.version:
		w.WriteHeader(http.StatusOK)
	default:
		b.version, b.orders = message.Version, b.orders+1
		w.WriteHeader(http.StatusAccepted)
	}
}

// Orders returns the orders that have arrived so far.
func (b *Backend) Orders() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Order(nil), b.got...)
}

// Request is a request of a client.
type Request struct {
	Method, Target, Host, ID, Key string
	Header                        map[string]string
	Body                          string
}

// Answer is the answer to a request.
type Answer struct {
	Status int
	Stamp  string
	Body   string
	Err    error
}

// Caller is a client's connection to a router.
type Caller struct {
	in   *Installation
	vm   *VM
	conn net.Conn
	r    *bufio.Reader
}

// Dial opens a connection to the router of a VM.
func (in *Installation) Dial(v *VM) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", v.Front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Caller{in: in, vm: v, conn: conn, r: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Do sends a request on a new connection, its target as it is, and waits for the answer.
func (in *Installation) Do(v *VM, q Request) Answer {
	c, err := in.Dial(v)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return c.Do(q)
}

// Do sends a request, its target as it is, and waits for the answer.
func (c *Caller) Do(q Request) Answer {
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n", q.Method, q.Target, q.Host, q.ID)
	if q.Key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", q.Key)
	}
	for name, value := range q.Header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	c.in.Record.Addf("client: sends %s %s with key %q to %s, request %s", q.Method, q.Target, q.Key, c.vm.Name, q.ID)
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.in.Record.Addf("client: request %s gets no answer: %v", q.ID, err)
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Stamp: resp.Header.Get("X-Server-Stamp"), Body: string(body), Err: err}
	c.in.Record.Addf("client: request %s is answered %d, stamp %q", q.ID, a.Status, a.Stamp)
	return a
}
