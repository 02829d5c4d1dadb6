package responsescan

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against heads of HTTP/1.0 with chunks that are not found, and others that are taken for such.
func TestFaultyFraming(t *testing.T) {
	for data, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                              true,
		"HTTP/1.0 200 OK\r\nA: b\r\ntransfer-encoding:chunked\r\n\r\n4\r\npart":              true,
		"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n":                                    true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                              false,
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx":                                      false,
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":                          false,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\n":                            false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n":                                  false,
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":       false,
		"HTTP/1.0 200 OK\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":       false,
		"HTTP/1.0":   false,
		"HTTP/1.0 1": false,
		"":           false,
	} {
		t.Run(data, func(t *testing.T) { is.New(t).Equal(FaultyFraming([]byte(data)), want) })
	}
}
