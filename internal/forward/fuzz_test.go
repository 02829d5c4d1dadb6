package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// FuzzBackendBytes guards against bytes of a backend server that end the router, or are passed on as an
// answer of another call.
func FuzzBackendBytes(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nCall: c1\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nCall: c1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\n\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 503 X\r\nNot-Run: 1\r\nQuiet: 1h\r\n\r\n",
		"HTTP/1.1 200 OK\r\nCall: c0\r\nContent-Length: 1\r\n\r\nxHTTP/1.0 421 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 999 X\r\nKeep-Alive: timeout=-9223372036854775808\r\n\r\n", "\x00",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head := &headLimiter{r: bytes.NewReader(data)}
		c := &conn{r: bufio.NewReaderSize(head, readBuffer), head: head}
		req, _ := http.NewRequest(http.MethodPost, "http://x/", nil)
		for range maxStrayResponses + 1 {
			resp, err := c.readHead(req)
			if err != nil {
				return
			}
			r := &response{status: resp.StatusCode, header: resp.Header, info: testDialect{}.ReadResponse(resp.StatusCode, resp.Header), length: resp.ContentLength, body: resp.Body}
			classifyResponse(r)
			if keep := keepFor(resp); keep < 0 {
				t.Fatalf("a connection is kept for %v", keep)
			}
			endToEndHeaders(resp.Header)
			events := eventReader{r: bufio.NewReaderSize(io.LimitReader(resp.Body, maxBufferedBody), 16)}
			for {
				event, id, err := events.next()
				if err != nil {
					break
				}
				if len(event) > maxEventBytes || strings.ContainsAny(id, "\r\n") {
					t.Fatalf("event %q with ID %q", event, id)
				}
			}
		}
	})
}

// FuzzLoadDigest guards against a malformed digest of the leader, or of a router that is followed, that
// ends the router.
func FuzzLoadDigest(f *testing.F) {
	for _, digest := range []*wire.LoadDigest{
		{Loads: []*wire.BackendLoad{{Backend: "b0", Load: &wire.Load{Running: 1 << 31, Waiting: 1 << 31, Held: []byte{1, 2, 3}}}, {Backend: "b0"}, {}},
			Limits: []*wire.ServerLimit{{Server: 1, PerSecond: 1e38}, {}}, Stores: []*wire.StoreHoldings{{Address: "10.0.0.1:1", Held: []byte{0xff}}, {}}, Routers: []string{""}},
		{},
	} {
		data, err := proto.Marshal(digest)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		digest := &wire.LoadDigest{}
		if proto.Unmarshal(data, digest) != nil {
			return
		}
		r := &Forwarder{selector: newBackendSelector("a", 1, DefaultRetryBudgetLimits(), time.Second), storeMonitor: newStoreMonitor()}
		now := r.selector.clock()
		r.selector.router.SetBackends(now, []*wire.Member{{State: wire.BackendState_BACKEND_STATE_READY,
			Backend: &wire.Backend{Name: "b0", Address: "10.0.0.1:1", Service: "lab", MaxRunning: 4, Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: "1"}}}}})
		r.ApplyLoads(digest)
		req := &routing.Request{Service: "lab", Model: "m", Levels: []*wire.PrefixLevel{{Key: 1, Tokens: 100}, {Key: 2, Tokens: 200}}}
		if d, err := r.selector.selectBackend(req, startLimits{}); err == nil {
			r.selector.finished(d)
		}
	})
}
