package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

func TestCallsPerLinkAreLimited(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	release := make(chan struct{})
	s := NewServer(HandlerFunc(func(_ context.Context, call *Call) error {
		if err := call.Send(&wire.Response{}); err != nil {
			return err
		}
		<-release
		return nil
	}), nil)
	s.maxCalls = 2
	go s.Serve(ln)
	defer s.Close()
	defer close(release)
	pool := NewPool(nil)
	defer pool.Close()
	open := func() error {
		stream, err := pool.Open(context.Background(), ln.Addr().String(), &wire.Request{})
		is.NoErr(err)
		t.Cleanup(stream.Close)
		_, err = stream.Recv()
		return err
	}
	is.NoErr(open())
	is.NoErr(open())
	err = open()
	is.True(fault.Is(err, fault.Overloaded))
	is.Equal(fault.From(err).Outcome, fault.NotRun)
}

// A peer that connects and sends nothing, or does not use the protocol, must be
// disconnected.
func TestInactivePeersAreDisconnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(HandlerFunc(pong), nil)
	s.pingInterval, s.idleTimeout = 50*time.Millisecond, 200*time.Millisecond
	go s.Serve(ln)
	defer s.Close()
	for name, text := range map[string]string{
		"nothing":              "",
		"another protocol":     "GET / HTTP/1.1\r\n\r\n",
		"a stream, no request": "\x00\x01\x00\x01\x00\x00\x00\x01\x00\x00\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte(text))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
			for err == nil {
				_, err = conn.Read(make([]byte, 64))
			}
			timeout, ok := err.(net.Error)
			is.True(!ok || !timeout.Timeout()) // the server closed the connection
		})
	}
}
