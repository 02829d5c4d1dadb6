package link

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxBatchBytes is the number of pending bytes of one connection at which further
// writes block.
const maxBatchBytes = 1 << 20

// closeTimeout limits the time for sending the pending bytes when a connection is
// closed.
const closeTimeout = 200 * time.Millisecond

// batchConn combines the writes that arrive during an earlier write into one
// system call. This saves system calls because yamux writes the header and the
// body of each frame separately.
type batchConn struct {
	net.Conn
	// bytesRead counts the bytes read from the connection.
	bytesRead atomic.Uint64

	mu sync.Mutex
	// changed signals changes of the fields below.
	changed *sync.Cond
	// pending holds the bytes that the write loop has not yet taken.
	pending []byte
	// err is the error of the write that failed, if any.
	err    error
	closed bool
}

func newBatchConn(conn net.Conn) *batchConn {
	b := &batchConn{Conn: conn}
	b.changed = sync.NewCond(&b.mu)
	go b.writeLoop()
	return b
}

// Read implements net.Conn and counts the bytes read.
func (b *batchConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	b.bytesRead.Add(uint64(n))
	return n, err
}

// Write appends p to the pending bytes. If sending them fails, a later call
// returns the error.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) >= maxBatchBytes && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	b.pending = append(b.pending, p...)
	b.changed.Broadcast()
	return len(p), nil
}

// writeLoop sends the pending bytes until the connection fails or is closed.
func (b *batchConn) writeLoop() {
	var spare []byte
	for {
		batch, ok := b.nextBatch(spare)
		if !ok {
			b.Conn.Close()
			return
		}
		_, err := b.Conn.Write(batch)
		if err != nil {
			b.fail(err)
			return
		}
		spare = batch[:0]
	}
}

// nextBatch waits for pending bytes and returns them. spare becomes the new
// buffer. After Close, nextBatch returns the remaining bytes and then false.
func (b *batchConn) nextBatch(spare []byte) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 && !b.closed {
		b.changed.Wait()
	}
	if len(b.pending) == 0 {
		return nil, false
	}
	batch := b.pending
	b.pending = spare
	b.changed.Broadcast()
	return batch, true
}

// fail records err for later writes and closes the connection.
func (b *batchConn) fail(err error) {
	b.mu.Lock()
	b.err = err
	b.changed.Broadcast()
	b.mu.Unlock()
	b.Conn.Close()
}

// Close makes the write loop send the pending bytes and close the connection,
// within closeTimeout. It does not wait for that. Reads end at once: until its receive
// loop has ended, a closed yamux session leaves the readers of its streams busy-waiting.
func (b *batchConn) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.closed = true
	b.changed.Broadcast()
	if b.err != nil {
		return b.err
	}
	now := time.Now()
	return errors.Join(b.Conn.SetReadDeadline(now), b.Conn.SetWriteDeadline(now.Add(closeTimeout)))
}
