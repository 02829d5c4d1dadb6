// Package link implements calls between the processes of parsleypulley. A link is
// a TCP or mutual TLS connection. Calls are yamux streams on a link that carry
// length-delimited protobuf messages.
//
// Each stream is one call. The caller sends a wire.Request and keeps the stream
// open until the response is complete. Closing it earlier cancels the call.
package link

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Limits of a link. If a call is open, the caller detects an unreachable peer after
// at most 2*callerPingInterval + writeTimeout.
const (
	writeTimeout      = 2 * time.Second
	dialTimeout       = 2 * time.Second
	streamOpenTimeout = 2 * time.Second
	acceptBacklog     = 1024
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = false // keepAlive sends the pings
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.LogOutput = io.Discard
	return c
}
