package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// Guards against requests that the router ends at a sound backend server which reads a long body late: its
// kernel answers every probe with a closed window, and TCP_USER_TIMEOUT counts that as silence.
func TestLongBodyThatIsReadLateIsKept(t *testing.T) {
	for _, early := range []bool{false, true} {
		t.Run(map[bool]string{false: "answer behind the body", true: "answer before the body"}[early], func(t *testing.T) {
			is := is.New(t)
			const pause = 3 * time.Second
			backend := startListener(t, func(c net.Conn) {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				answer := func() { writeResponse(c, r, 200, "", "done") }
				if early {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall: %s\r\nSigned: yes\r\nContent-Length: 4\r\n\r\ndo", r.Header.Get("Call"))
					answer = func() { fmt.Fprint(c, "ne") }
				}
				time.Sleep(pause)
				_, _ = io.Copy(io.Discard, r.Body)
				answer()
			})
			r := newFixture(t, forwardRoute(func(route *wire.ForwardRoute) { route.TimeoutMs = 15_000 }), backend)
			status, body, err := r.callWithLongBody()
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, "done")
		})
	}
}

// Guards against requests with a long body that wait until their deadline for a machine that is gone, since
// TCP_USER_TIMEOUT does not end their connections.
func TestLongBodyToDarkServerGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	dialer := newCheckDialer()
	var requests atomic.Int32
	backend := func() string {
		return startListener(t, func(c net.Conn) {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if requests.Add(1) == 1 {
				dialer.setDark(c.LocalAddr().String())
				time.Sleep(3 * time.Second)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			writeResponse(c, r, 200, "", "done")
		})
	}
	r := newFixtureWith(t, func(o *Options) { o.CheckDialer = dialer }, forwardRoute(nil), backend(), backend())
	began := time.Now()
	status, body, err := r.callWithLongBody()
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "done")
	is.True(time.Since(began) < 1400*time.Millisecond)
	is.Equal(requests.Load(), int32(2))
}

// callWithLongBody sends a call whose body exceeds the buffers of a connection that nobody reads.
func (r *fixture) callWithLongBody() (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, r.server.URL+"/p/x", strings.NewReader(strings.Repeat("x", 1<<20)))
	if err != nil {
		return 0, "", err
	}
	req.Host = "one.example"
	req.Header.Set("Call", "c1")
	req.Header.Set("Key", "k")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
