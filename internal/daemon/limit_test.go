package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Connections over the limit are closed and counted. Closing a connection twice frees
// only one place.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	// The counter is global, so that each run of the test needs a unique name.
	name := inner.Addr().String()
	ln := LimitListener(inner, name, 2)
	defer ln.Close()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		return conn
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	is.True(err != nil) // the third is closed
	is.Equal(len(accepted), 0)
	is.Equal(refusedConnections.Get(name).String(), "1")
	is.NoErr(first.Close())
	first.Close() // a second Close must not free another place
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	is.True(err != nil)
}
