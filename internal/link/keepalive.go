package link

import (
	"time"

	"github.com/hashicorp/yamux"
)

// Keepalive timings of a link. A ping is sent only on a link that has open calls
// and has received no bytes since the last check. In a system of thousands of
// processes few links need pings: most are idle, and those that carry streams
// receive bytes.
const (
	// callerPingInterval is the interval at which the caller's side, which dialled the
	// link, checks it. It pings the peer if no byte has arrived since the last check.
	callerPingInterval = time.Second
	// serverPingInterval is the same interval for the server's side.
	serverPingInterval = 5 * time.Second
	// idleTimeout is the time after which the caller's side closes a link without
	// calls.
	idleTimeout = 30 * time.Second
	// serverIdleTimeout is the time after which the server's side closes a link
	// without calls. It is longer than idleTimeout, so it expires only if the caller
	// has stopped or is unreachable, or has never used the protocol.
	serverIdleTimeout = 2 * idleTimeout
)

// keepAlive monitors session until it ends. It closes the session if the peer does
// not respond to a ping. If idle is positive and the session had no call for that
// time, keepAlive calls closeIdle, which reports whether it closed the session.
func keepAlive(session *yamux.Session, conn *batchConn, interval, idle time.Duration, closeIdle func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lastBytesRead uint64
	lastUsed := time.Now()
	for {
		select {
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
		silent := conn.bytesRead.Load() == lastBytesRead
		lastBytesRead = conn.bytesRead.Load()
		if session.NumStreams() == 0 {
			if idle > 0 && time.Since(lastUsed) >= idle && closeIdle() {
				return
			}
			continue
		}
		lastUsed = time.Now()
		if !silent {
			continue
		}
		if _, err := session.Ping(); err != nil {
			session.Close()
			return
		}
	}
}
