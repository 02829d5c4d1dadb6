package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// faultyListener fails the first calls of Accept.
type faultyListener struct {
	net.Listener
	failures atomic.Int32
	err      error
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: l.err}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends, and cuts all its calls, since it had no descriptor left for one more
// link: the link is accepted once one is free. Other errors end the server.
func TestLinksAreAcceptedOnceDescriptorsAreFree(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		ends bool
	}{"too many open files": {syscall.EMFILE, false}, "listener broken": {errors.New("broken"), true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			faulty := &faultyListener{Listener: ln, err: test.err}
			faulty.failures.Store(3)
			s := NewServer(HandlerFunc(pong), nil)
			defer s.Close()
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(faulty) }()
			if test.ends {
				is.True(errors.Is(<-ended, test.err))
				return
			}
			pool := NewPool(nil)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err = pool.Call(ctx, ln.Addr().String(), &wire.Request{})
			is.NoErr(err)
			is.Equal(len(ended), 0)
		})
	}
}
