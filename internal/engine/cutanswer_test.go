package engine

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
)

// serveCutting serves requests whose body is "{}" with a complete answer on a kept connection, and others with cut
// after the head and the first read bytes of the body, after which it closes the connection.
func serveCutting(t *testing.T, read int64, cut func(c net.Conn, r *http.Request)) string {
	return serveConnections(t, func(c net.Conn, _ *bufio.Reader) {
		br := bufio.NewReaderSize(c, 16) // reads no more than it is asked for
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.ContentLength == 2 {
				_, _ = io.Copy(io.Discard, r.Body)
				io.WriteString(c, answerText("r1", "2", "whole"))
				continue
			}
			_, _ = io.CopyN(io.Discard, r.Body, read)
			cut(c, r)
			return
		}
	})
}

// Guards against a part of an answer without a length that is taken for a whole one: the engine resets the connection
// while the request is still being written, the write takes the error, and the read after it sees an orderly end.
func TestAnswersThatAreResetAreNotWhole(t *testing.T) {
	const calls = 20
	for name, head := range map[string]string{
		"no length":              "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "\r\npart",
		"no length, close":       "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Connection: close\r\n\r\npart",
		"HTTP 1.0":               "HTTP/1.0 200 OK\r\n" + echo("r1", "2") + "\r\npart",
		"no length, long part":   "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "\r\n" + strings.Repeat("x", 2*bodyChunkBytes),
		"length":                 "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Content-Length: 8\r\n\r\npart",
		"chunks":                 "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"events without an end":  "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Content-Type: text/event-stream\r\n\r\ndata: x\n\n",
		"error without a length": "HTTP/1.1 404 X\r\n" + echo("r1", "2") + "\r\npart",
	} {
		for _, test := range []struct {
			size, read int
			kept       bool
		}{{200, 0, false}, {64 << 10, 0, false}, {64 << 10, 0, true}, {1 << 20, 4 << 10, false}, {1 << 20, 200_000, true}} {
			for _, plain := range []bool{false, true} {
				for _, once := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %+v, plain %v, at most once %v", name, test, plain, once), func(t *testing.T) {
						whole := 0
						h := newClient(t, serveCutting(t, int64(test.read), func(c net.Conn, r *http.Request) {
							io.WriteString(c, head)
							_ = c.(*net.TCPConn).SetLinger(0)
						}), plain, Limits{})
						for range calls {
							if test.kept {
								_, _, err := readAll(h, testRequest(false))
								is.New(t).NoErr(err)
							}
							req := testRequest(strings.HasPrefix(name, "events"))
							req.Body, req.AtMostOnce = []byte(strings.Repeat("x", test.size)), once
							if _, _, err := readAll(h, req); err == nil {
								whole++
							}
						}
						is.New(t).Equal(whole, 0) // parts taken for whole answers
					})
				}
			}
		}
	}
}

// Guards against answers without a length that are refused although they are whole, or taken for whole although the
// server has not got the whole request.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const size = 16 << 20 // more than the buffers of a connection that nobody reads
	head := "HTTP/1.1 200 OK\r\n" + echo("r1", "2") + "\r\nwhole"
	for name, test := range map[string]struct {
		read  int64
		cut   func(c net.Conn, r *http.Request)
		whole bool
	}{
		"whole request read": {size, func(c net.Conn, r *http.Request) { io.WriteString(c, head) }, true},
		"request read after the end": {1000, func(c net.Conn, r *http.Request) {
			io.WriteString(c, head)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
		}, true},
		"request not read, closed": {1000, func(c net.Conn, r *http.Request) { io.WriteString(c, head) }, false},
		"request not read, closed long after the end": {1000, func(c net.Conn, r *http.Request) {
			io.WriteString(c, head)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(2 * time.Second)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newClient(t, serveCutting(t, test.read, test.cut), false, Limits{})
			req := testRequest(false)
			req.Body = make([]byte, size)
			began := time.Now()
			text, _, err := readAll(h, req)
			is.Equal(err == nil, test.whole)
			if test.whole {
				is.Equal(text, "whole")
			}
			is.True(time.Since(began) < 1500*time.Millisecond)
		})
	}
}

// Guards against a control request with a long body that counts as done after an answer without a length that was reset.
func TestControlAnswersThatAreResetAreNotWhole(t *testing.T) {
	h := newClient(t, serveCutting(t, 0, func(c net.Conn, r *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
		_ = c.(*net.TCPConn).SetLinger(0)
	}), false, Limits{})
	whole := 0
	for range 50 {
		if err := h.ImportKV(context.Background(), make([]byte, 1<<20)); err == nil {
			whole++
		}
	}
	is.New(t).Equal(whole, 0)
}

// lateErrors is a connection whose writes return their errors late, as if their goroutine had got no processor time.
type lateErrors struct{ *net.TCPConn }

func (c lateErrors) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// Guards against a part of an answer that is taken for a whole one in the moment in which net/http has not closed the
// connection yet on which writing the request has failed.
func TestResetIsSeenBeforeTheWriteReturns(t *testing.T) {
	for _, once := range []bool{false, true} {
		whole := 0
		h := newClient(t, serveCutting(t, 0, func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo("r1", "2")+"\r\npart")
			_ = c.(*net.TCPConn).SetLinger(0)
		}), false, Limits{})
		client := h.client
		if once {
			client = h.singleUseClient
		}
		client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialRecorded(ctx, network, address)
			if err != nil {
				return nil, err
			}
			inner := &c.(*recordedConn).Conn.Conn
			*inner = lateErrors{(*inner).(*net.TCPConn)}
			return c, nil
		}
		for range 20 {
			req := testRequest(false)
			req.Body, req.AtMostOnce = make([]byte, 1<<20), once
			if _, _, err := readAll(h, req); err == nil {
				whole++
			}
		}
		if whole > 0 {
			t.Errorf("at most once %v: %d of 20 parts were taken for whole answers", once, whole)
		}
	}
}

// Guards against answers of HTTP/1.0 with chunks, which that does not have and which were taken for the body as they are.
func TestChunksInHTTP10(t *testing.T) {
	for _, plain := range []bool{false, true} {
		h := newClient(t, serveConnections(t, func(c net.Conn, br *bufio.Reader) {
			if readRequest(br) != nil {
				io.WriteString(c, "HTTP/1.0 200 OK\r\n"+echo("r1", "2")+"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
			}
		}), plain, Limits{})
		_, _, err := readAll(h, testRequest(false))
		is.New(t).True(err != nil)
	}
}
