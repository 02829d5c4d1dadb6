package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/wire"
)

// smallBufferListener accepts connections that hold little of what their peers have not read.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(4096)
}

// Guards against a whole response of which the end of the planned stop cuts the last part, since the caller
// reads slowly, being counted and logged as complete. It must not look complete to the caller either.
func TestCutOfABufferedResponseIsCounted(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	backend := startBackend(t, func(c net.Conn, r *http.Request) {
		writeResponse(c, r, 200, "", strings.Repeat("x", maxBufferedBody-1))
		close(answered)
	})
	r := newFixture(t, forwardRoute(func(route *wire.ForwardRoute) { route.TimeoutMs = 60_000 }), backend)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewHTTPServer(&http.Server{Handler: r.f}, smallBufferListener{ln})
	go func() { _ = server.Serve() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(4096))
	fmt.Fprint(c, "POST /p/x HTTP/1.1\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	<-answered
	now := time.Now()
	const stop = 200 * time.Millisecond
	r.f.BeginShutdown(StopTimes{Began: now, ListenerCloses: now, Ends: now.Add(stop + finalAnswerMargin)})
	ctx, cancel := context.WithTimeout(context.Background(), stop+finalAnswerMargin)
	defer cancel()
	is.Equal(server.Stop(ctx), error(&daemon.CutError{Requests: 1}))
	is.Equal(r.f.StopCounts(), event.StopCounts{Running: 1, Cut: 1})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.Equal(err, io.ErrUnexpectedEOF)
}
