package gateway

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
	"parsleypulley/internal/shutdown"
)

// serveStoppable serves g as the router process does.
func serveStoppable(t *testing.T, g *Gateway) (server *daemon.HTTPServer, address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = daemon.NewHTTPServer(g.HTTPServer(), ln)
	go server.Serve()
	return server, ln.Addr().String()
}

// Guards against a call that outlasts its own time limit, by which a stopping router accepts it, because its
// body comes slowly.
func TestBodyIsNotReadBeyondTheDeadline(t *testing.T) {
	is := is.New(t)
	g := New(&fakeDirectory{}, &fakeServer{})
	server, address := serveStoppable(t, g)
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
	}()
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, chatHead+HeaderTimeout+": 100\r\nContent-Length: 1000\r\n\r\n{")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.True(strings.Contains(string(text), `"ran":"not_run"`))
}

// Guards against a stop that waits for a caller that does not read its stream, and does not count it.
func TestStopCutsStreamThatIsNotRead(t *testing.T) {
	is := is.New(t)
	s := endlessServer{ended: make(chan error, 1)}
	g := New(&fakeDirectory{}, s)
	server, address := serveStoppable(t, g)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	body := `{"model":"assessor","stream":true,"messages":[{}]}`
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", chatHead, len(body), body)
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1)) // the response has begun
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond) // buffers fill
	const stopTime = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	began := time.Now()
	g.BeginShutdown(began.Add(stopTime))
	g.Shutdown(ctx, server.Stop)
	is.True(time.Since(began) >= stopTime)
	is.True(time.Since(began) < 10*stopTime)
	select {
	case <-s.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the write goes on")
	}
	is.Equal(g.shutdown.Counts(), shutdown.Counts{Running: 1, Cut: 1})
}

// blockedServer waits until the call ends.
type blockedServer struct{ began chan struct{} }

func (s blockedServer) Serve(ctx context.Context, _ *Request, _ Responder) error {
	close(s.began)
	<-ctx.Done()
	if shutdown.Ended(ctx) {
		return shutdown.NotRun()
	}
	return ctx.Err()
}

// Guards against a second signal, which ends a stop early, that closes connections without a response.
func TestStopThatEndsEarlyAnswersCalls(t *testing.T) {
	is := is.New(t)
	s := blockedServer{began: make(chan struct{})}
	g := New(&fakeDirectory{}, s)
	server, address := serveStoppable(t, g)
	status := make(chan int, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(`{"model":"assessor","messages":[{}]}`))
		req.Header.Set("Authorization", "Bearer key")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-s.began
	g.BeginShutdown(time.Now().Add(10 * time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Shutdown(ctx, server.Stop)
	is.Equal(<-status, http.StatusServiceUnavailable)
	is.Equal(g.shutdown.Counts(), shutdown.Counts{Running: 1, Complete: 1})
}
