package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/wire"
)

// Guards against callers that get a closed connection instead of a final answer since the process got no
// processor time from before the final answers until after the end of the stop.
func TestFinalAnswersOfAStopThatStoodStill(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 10)
	hold := make(chan struct{})
	defer close(hold)
	backend := startBackend(t, func(net.Conn, *http.Request) {
		arrived <- struct{}{}
		<-hold
	})
	r := newFixture(t, forwardRoute(func(route *wire.ForwardRoute) { route.TimeoutMs = 60_000 }), backend)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewHTTPServer(&http.Server{Handler: r.f}, ln)
	server.BeforeCut = r.f.AnswerWaiting
	go func() { _ = server.Serve() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	fmt.Fprint(c, "POST /p/x HTTP/1.1\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	<-arrived
	now := time.Now() // both times have passed when the process goes on
	r.f.BeginShutdown(StopTimes{Began: now.Add(-8 * time.Second), ListenerCloses: now.Add(-5 * time.Second), Ends: now.Add(-time.Millisecond)})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	go func() { _ = server.Stop(ended) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}
