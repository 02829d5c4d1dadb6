package keptconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// server answers the n-th query of a connection, counted from 0, by write, until that returns false.
type server struct {
	address string
	// accepted counts the connections.
	accepted atomic.Int32
}

func startServer(t *testing.T, write func(c net.Conn, r *http.Request, n int) bool) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &server{address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil || !write(c, r, n) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *server) query(t *testing.T, c *Client, text string) (string, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address+"/"+text, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, body, err := c.Do(req, 100)
	return string(body), err
}

func responseTo(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// Guards against a copy of an earlier response, or its rest, that is taken for the response to the next query.
func TestCopiesAreNotResponses(t *testing.T) {
	const settle = 300 * time.Millisecond // longer than load on the machine keeps the parts apart
	for name, write := range map[string]func(c net.Conn, copied, own string){
		"in one piece": func(c net.Conn, copied, own string) { io.WriteString(c, copied+own) },
		"a moment earlier": func(c net.Conn, copied, own string) {
			io.WriteString(c, copied)
			time.Sleep(time.Millisecond)
			io.WriteString(c, own)
		},
		"behind the response": func(c net.Conn, copied, own string) { io.WriteString(c, own+copied) },
		"and then the end":    func(c net.Conn, copied, own string) { io.WriteString(c, copied+own); c.Close() },
		"of a chunked response": func(c net.Conn, _, own string) {
			io.WriteString(c, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n0\r\n0\r\n\r\n"+own)
		},
		"of an empty response": func(c net.Conn, _, own string) { io.WriteString(c, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"+own) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(c net.Conn, r *http.Request, n int) bool {
				if n == 0 {
					io.WriteString(c, responseTo(r.URL.Path[1:]))
					return true
				}
				write(c, responseTo("0"), responseTo(r.URL.Path[1:]))
				return true
			})
			client := New(&http.Transport{}, settle)
			for i := range 6 {
				got, err := s.query(t, client, fmt.Sprint(i))
				is.NoErr(err)
				is.Equal(got, fmt.Sprint(i))
			}
			is.Equal(s.accepted.Load(), int32(6)) // no connection is used after a copy
		})
	}
}

// Guards against a server that can't be queried as it writes more than each response.
func TestServersThatAlwaysWriteMore(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, responseTo(r.URL.Path[1:])+"more")
		return true
	})
	client := New(&http.Transport{}, SettleTime)
	for i := range 6 {
		got, err := s.query(t, client, fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(got, fmt.Sprint(i))
	}

	// Queries that overlap may get a connection before net/http has noticed the copy on it.
	s = startServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, strings.Repeat(responseTo(r.URL.Path[1:]), 2))
		return true
	})
	client = New(&http.Transport{}, 300*time.Millisecond)
	var group sync.WaitGroup
	for caller := range 6 {
		group.Go(func() {
			for range 5 {
				got, err := s.query(t, client, fmt.Sprint(caller))
				is.NoErr(err)
				is.Equal(got, fmt.Sprint(caller))
			}
		})
	}
	group.Wait()
}

// Guards against the responses of a sound server that are not used, and connections that are not kept. Queries that
// follow one another closely on a connection may open new ones, two for a query at most.
func TestSoundServersAreNotSuspected(t *testing.T) {
	for name, test := range map[string]struct {
		write   func(c net.Conn, r *http.Request, n int) bool
		callers int
		// connections is the largest number of connections for 20 queries of each caller.
		connections int32
	}{
		"one after the other": {func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, responseTo(r.URL.Path[1:]))
			return true
		}, 1, 1},
		"overlapping": {func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, responseTo(r.URL.Path[1:]))
			return true
		}, 4, 160},
		"in two parts": {func(c net.Conn, r *http.Request, _ int) bool {
			text := responseTo(r.URL.Path[1:])
			io.WriteString(c, text[:len(text)-1])
			time.Sleep(time.Millisecond)
			io.WriteString(c, text[len(text)-1:])
			return true
		}, 2, 80},
		"closes behind the response": {func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, responseTo(r.URL.Path[1:]))
			return false
		}, 2, 80},
		"says that it closes": {func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 1\r\n\r\n"+r.URL.Path[1:2])
			return false
		}, 2, 80},
		"without a length": {func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 X\r\n\r\n"+r.URL.Path[1:])
			return false
		}, 2, 80},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, test.write)
			client := New(&http.Transport{}, SettleTime)
			var group sync.WaitGroup
			for caller := range test.callers {
				group.Go(func() {
					for range 20 {
						got, err := s.query(t, client, fmt.Sprint(caller))
						is.NoErr(err)
						is.Equal(got, fmt.Sprint(caller))
					}
				})
			}
			group.Wait()
			t.Logf("%d connections", s.accepted.Load())
			is.True(s.accepted.Load() <= test.connections)
		})
	}
}

// Guards against a query that outlives its context, or takes more memory than its limit.
func TestQueriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, _ *http.Request, _ int) bool { io.WriteString(c, responseTo("0")); return true })
	client := New(&http.Transport{}, time.Minute)
	_, err := s.query(t, client, "0")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/", nil)
	is.NoErr(err)
	_, _, err = client.Do(req, 100)
	is.True(errors.Is(err, context.DeadlineExceeded))
	req, err = http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address+"/", nil)
	is.NoErr(err)
	_, _, err = client.Do(req, 0)
	is.True(errors.Is(err, ErrTooLong))
}

// Guards against a part of a response without a length that is taken for a whole one: the server resets the connection
// while the query is still being written.
func TestResponsesThatAreResetAreNotWhole(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	whole := 0
	c := New(&http.Transport{}, SettleTime)
	for range 50 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/", strings.NewReader(strings.Repeat("x", 1<<20)))
		is.NoErr(err)
		if _, _, err := c.Do(req, 1000); err == nil {
			whole++
		}
	}
	is.Equal(whole, 0)
}
