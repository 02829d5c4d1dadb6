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

	"github.com/matryer/is"

	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/wire"
)

// Guards against the response to a HEAD request being taken for a stream that broke off, or getting the length
// of the body that it does not have.
func TestResponsesToHEAD(t *testing.T) {
	for name, test := range map[string]struct {
		stream bool
		status int
		// headers are those of the server, and length is the Content-Length that the caller gets.
		headers, length string
		// want is the status that the caller gets.
		want int
	}{
		"event stream in chunks":    {true, 200, streamType + "Transfer-Encoding: chunked\r\n", "", 200},
		"event stream, no length":   {true, 200, streamType, "", 200},
		"event stream, with length": {true, 200, streamType + "Content-Length: 70\r\n", "70", 200},
		"503 of a stream, not run":  {true, 503, "Not-Run: 1\r\nContent-Length: 7\r\n", "11", 503},
		"404 of a stream":           {true, 404, "Content-Length: 7\r\n", "7", 404},
		"500 of a stream":           {true, 500, "Content-Length: 7\r\n", "7", 500},
		"page for a stream":         {true, 200, "Content-Type: text/html\r\nContent-Length: 7\r\n", "7", 200},
		"with a length":             {false, 200, "Content-Length: 70\r\n", "70", 200},
		"length 0":                  {false, 200, "Content-Length: 0\r\n", "0", 200},
		"no length":                 {false, 200, "", "", 200},
		"304":                       {false, 304, "", "", 304},
	} {
		for _, headers := range []string{"", "After: 3\r\nBegan: c0\r\n"} { // new, and taken up
			if headers != "" && !test.stream {
				continue
			}
			t.Run(fmt.Sprintf("%s, taken up %t", name, headers != ""), func(t *testing.T) {
				is := is.New(t)
				var made atomic.Int32
				f := softwareFixture(t, []string{"v1", "v1"}, func(_ string, c net.Conn, r *http.Request) {
					made.Add(1)
					is.Equal(r.Method, http.MethodHead)
					fmt.Fprintf(c, "HTTP/1.1 %d X\r\nCall: %s\r\nSigned: yes\r\n%s\r\n", test.status, r.Header.Get("Call"), test.headers)
				})
				f.setRoute(forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.Resumable = test.stream, test.stream }))
				f.f.opts.Streams.Began(streamrecord.KeyOf("indus", "c0"), streamrecord.SoftwareOf("lab", "v1"))
				c, err := net.Dial("tcp", f.server.Listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				fmt.Fprintf(c, "HEAD /p/x HTTP/1.1\r\nHost: one.example\r\nCall: c1\r\nKey: k\r\n%sConnection: close\r\n\r\n", headers)
				data, err := io.ReadAll(bufio.NewReader(c))
				is.NoErr(err)
				head, body, _ := strings.Cut(string(data), "\r\n\r\n")
				t.Logf("%q", data)
				is.True(strings.HasPrefix(head, fmt.Sprint("HTTP/1.1 ", test.want)))
				is.Equal(body, "")
				_, length, _ := strings.Cut(head, "\r\nContent-Length: ")
				length, _, _ = strings.Cut(length, "\r\n")
				is.Equal(length, test.length)
			})
		}
	}
}

// Guards against a response whose head is cut short and that reaches the caller with status 200 and an empty or short
// body that looks complete. The server stops after each byte of the head and closes or resets the connection.
func TestResponseWithHeadCutShortIsNoResponse(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 13\r\n\r\n", "length 0": "Content-Length: 0\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n",
		"end of the connection": "Connection: close\r\n\r\n", "event stream": streamType + "\r\n", "behind an interim response": "Content-Length: 13\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				head := func(r *http.Request) string {
					text := "HTTP/1.1 200 OK\r\nCall: " + r.Header.Get("Call") + "\r\nSigned: yes\r\n" + framing
					if name == "behind an interim response" {
						text = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + text
					}
					return text
				}
				stream := name == "event stream"
				length := 1
				for cut := 0; cut < length; cut++ {
					var made atomic.Int32 // bytes of the whole head, once the server has been asked
					f := softwareFixture(t, []string{"v1"}, func(_ string, c net.Conn, r *http.Request) {
						text := head(r)
						made.Store(int32(len(text)))
						_, _ = io.WriteString(c, text[:cut])
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						c.Close()
					})
					f.setRoute(forwardRoute(func(r *wire.ForwardRoute) { r.Stream, r.Resumable, r.Attempts = stream, stream, 1 }))
					status, body, _, err := f.call()
					is.NoErr(err) // the response of the router is whole
					length = int(made.Load())
					if status < 500 {
						t.Fatalf("cut after %d of %d bytes: the caller got %d with the body %q", cut, length, status, body)
					}
				}
				is.True(length > 60)
			})
		}
	}
}
