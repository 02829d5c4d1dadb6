package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// Guards against answers whose status is none, and against those that switch the protocol, which reach a caller, or
// behind which another answer is taken for that of the call.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "799", "999"} {
		for name, end := range map[string]string{
			"length": "Content-Length: 4\r\n\r\ntext", "no length": "\r\ntext", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
			"events": streamType + "\r\n" + eventText(1, 3), "events in chunks": streamType + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(eventText(1, 3)), eventText(1, 3)),
			"an answer behind the head": "\r\nHTTP/1.1 200 OK\r\nCall: ID\r\nSigned: yes\r\n" + streamType + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(eventText(1, 3)), eventText(1, 3)),
		} {
			for _, stream := range []bool{false, true} {
				for _, atMostOnce := range []bool{false, true} {
					for _, kept := range []bool{false, true} {
						for _, signed := range []bool{false, true} {
							t.Run(fmt.Sprint(status, " ", name, ", stream ", stream, ", at most once ", atMostOnce, ", kept ", kept, ", signed ", signed), func(t *testing.T) {
								t.Parallel()
								is := is.New(t)
								backend := cuttingBackend(t, 0, kept, func(c net.Conn, r *http.Request) {
									_, _ = io.Copy(io.Discard, r.Body)
									headers := ""
									if signed {
										headers = "Call: " + r.Header.Get("Call") + "\r\nSigned: yes\r\n"
									}
									fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%s%s", status, headers, strings.Replace(end, "Call: ID", "Call: "+r.Header.Get("Call"), 1))
								})
								r := newFixture(t, forwardRoute(func(r *wire.ForwardRoute) {
									r.Stream, r.Attempts = stream, 1
									if atMostOnce {
										setAtMostOnce(r)
									}
								}), backend)
								caller := newCaller(t)
								r.callWithBody(caller, warmUp)
								got, _, complete := r.callWithBody(caller, "longer")
								is.True(complete)
								is.Equal(got, http.StatusBadGateway)
							})
						}
					}
				}
			}
		}
	}
}
