package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against responses to HTTP/1.0 callers that look complete although they are cut: without a length, only
// the way in which the connection ends tells.
func TestCutResponsesToHTTP10(t *testing.T) {
	for name, test := range map[string]struct {
		// end ends the handler; stop is set if the planned stop cuts the response.
		end  func()
		stop bool
		// complete is set if the response is whole.
		complete bool
	}{
		"complete":        {func() {}, false, true},
		"aborted":         {func() { panic(http.ErrAbortHandler) }, false, false},
		"panic":           {func() { panic("test") }, false, false},
		"cut by the stop": {func() { time.Sleep(200 * time.Millisecond) }, true, false},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				is := is.New(t)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				begun := make(chan struct{})
				s := NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					fmt.Fprint(w, "data: x\n\n")
					_ = http.NewResponseController(w).Flush()
					close(begun)
					time.Sleep(20 * time.Millisecond)
					test.end()
				})}, LimitListener(ln, "test", 10))
				go func() { _ = s.Serve() }()
				c, err := net.Dial("tcp", ln.Addr().String())
				is.NoErr(err)
				defer c.Close()
				is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
				fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: x\r\nConnection: close\r\n\r\n", version)
				<-begun
				if test.stop {
					ended, cancel := context.WithCancel(context.Background())
					cancel()
					_ = s.Stop(ended)
				}
				data, err := io.ReadAll(c)
				is.True(strings.Contains(string(data), "data: x\n\n"))
				if version == "1.0" {
					is.Equal(errors.Is(err, syscall.ECONNRESET), !test.complete)
					return
				}
				is.NoErr(err)
				is.Equal(strings.HasSuffix(string(data), "\r\n0\r\n\r\n"), test.complete)
			})
		}
	}
}
