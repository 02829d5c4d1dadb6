package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
)

// partServer begins a response of unknown length, and ends with err.
type partServer struct {
	contentType string
	err         error
}

func (s partServer) Serve(_ context.Context, _ *Request, w Responder) error {
	if err := w.Head(Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {s.contentType}}, ContentLength: -1}); err != nil {
		return err
	}
	if err := w.Chunk([]byte("data: 1\n\n")); err != nil {
		return err
	}
	return s.err
}

// Guards against callers that speak HTTP/1.0 and take a response that was cut for a complete one.
func TestCutResponsesToCallersWithHTTP10(t *testing.T) {
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		for _, err := range []error{nil, fault.New(fault.StreamBroken, fault.Unknown, "test"), fault.New(fault.Cancelled, fault.Unknown, "test")} {
			t.Run(fmt.Sprint(contentType, " ", err), func(t *testing.T) {
				is := is.New(t)
				server, address := serveStoppable(t, New(&fakeDirectory{}, partServer{contentType, err}))
				defer func() {
					ctx, cancel := context.WithCancel(context.Background())
					cancel()
					_ = server.Stop(ctx)
				}()
				conn, dialErr := net.Dial("tcp", address)
				is.NoErr(dialErr)
				defer conn.Close()
				is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
				body := `{"model":"assessor","stream":true,"messages":[{}]}`
				fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", strings.Replace(chatHead, "HTTP/1.1", "HTTP/1.0", 1), len(body), body)
				data, readErr := io.ReadAll(conn)
				is.Equal(readErr != nil, err != nil)
				is.True(strings.Contains(string(data), "\r\n\r\ndata: 1\n\n"))
				is.Equal(strings.Contains(string(data), "[DONE]"), err == nil && contentType == "text/event-stream")
			})
		}
	}
}
