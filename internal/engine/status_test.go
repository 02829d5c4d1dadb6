package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against answers whose status is none, and those that switch the protocol, which are taken for answers to calls
// or control requests.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, end := range map[string]string{
			"length": "Content-Length: 2\r\n\r\n{}", "no length": "\r\n{}", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
			"switch": "Connection: Upgrade\r\nUpgrade: x\r\n\r\n", "events": "Content-Type: text/event-stream\r\n\r\ndata: x\n\ndata: [DONE]\n\n",
			"an answer behind the head": "\r\nHTTP/1.1 200 OK\r\n" + echo("r1", "2") + "Content-Length: 2\r\n\r\n{}",
		} {
			for _, plain := range []bool{false, true} {
				t.Run(fmt.Sprint(status, " ", name, ", plain ", plain), func(t *testing.T) {
					is := is.New(t)
					h := newClient(t, serveConnections(t, func(c net.Conn, br *bufio.Reader) {
						if readRequest(br) != nil {
							io.WriteString(c, "HTTP/1.1 "+status+" X\r\n"+echo("r1", "2")+end)
						}
					}), plain, Limits{})
					for _, once := range []bool{false, true} {
						for _, stream := range []bool{false, true} {
							req := testRequest(stream)
							req.AtMostOnce = once
							_, _, err := readAll(h, req)
							is.True(err != nil)
						}
					}
					ctx := context.Background()
					_, err := h.Health(ctx)
					is.True(err != nil)
					_, err = h.Load(ctx)
					is.True(err != nil)
					is.True(h.ImportKV(ctx, []byte("{}")) != nil)
				})
			}
		}
	}
}
