// Package keptconn sends HTTP queries over kept connections to servers whose responses do not identify the
// query. A faulty server may write an earlier response once more where the next one is expected; the copy
// can't be told from the response by its content. But the response then arrives behind the copy, so a
// response behind which more bytes arrive is not used.
package keptconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// SettleTime is how long a Client waits for bytes behind a response by default. A server that writes a copy
// when it gets a query writes its response to the query right behind it.
const SettleTime = 5 * time.Millisecond

// ErrFollowed is returned for a response behind which more bytes arrived: it may be a copy of an earlier one.
var ErrFollowed = errors.New("more bytes arrived behind the response")

// errTooLong is returned for a response whose body exceeds the limit.
var errTooLong = errors.New("the response is too long")

// Client sends queries. It is safe for concurrent use.
type Client struct {
	client *http.Client
	settle time.Duration
}

// New returns a client whose connections are those of t, which must not be used otherwise and must keep
// connections. Its DialContext and its limits on idle connections are replaced: a connection that is closed as
// there are too many would look like one with more bytes. IdleConnTimeout bounds them.
func New(t *http.Transport, settle time.Duration) *Client {
	var dialer net.Dialer
	t.MaxIdleConns, t.MaxIdleConnsPerHost = 0, math.MaxInt
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, changed: make(chan struct{})}, nil
	}
	return &Client{client: &http.Client{Transport: t}, settle: settle}
}

// Do sends a query and returns the response with its body, which has at most limit bytes.
func (c *Client) Do(req *http.Request, limit int64) (*http.Response, []byte, error) {
	var used *conn // of the last try, if net/http has sent the query again
	use := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if used, _ = info.Conn.(*conn); used != nil {
			used.change(func() { used.uses++; use = used.uses })
		}
	}}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(body)) > limit {
		return nil, nil, errTooLong
	}
	if resp.Close || used == nil {
		return resp, body, nil // nothing can follow
	}
	followed, err := used.isFollowed(req.Context(), use, c.settle)
	switch {
	case err != nil:
		return nil, nil, err
	case followed:
		_ = used.Close() // the response behind this one must not be taken for that to the next query
		return nil, nil, fmt.Errorf("status %d: %w", resp.StatusCode, ErrFollowed)
	}
	return resp, body, nil
}

// conn is a connection of a transport of net/http. That reads ahead as soon as a response has been read
// completely: it closes the connection if it has read more than the response already, and waits for more
// otherwise.
type conn struct {
	net.Conn

	mu sync.Mutex
	// uses counts the queries that got the connection, and reads the reads that have returned bytes.
	uses, reads int
	// closed is set when this end has closed the connection, and ended when the server has ended it before.
	closed, ended bool
	// changed is closed, and replaced, when a field above has changed.
	changed chan struct{}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.change(func() {
		if n > 0 {
			c.reads++
		}
		c.ended = c.ended || err != nil && !c.closed
	})
	return n, err
}

func (c *conn) Close() error {
	c.change(func() { c.closed = true })
	return c.Conn.Close()
}

func (c *conn) change(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
	close(c.changed)
	c.changed = make(chan struct{})
}

// isFollowed waits for d, or until the next query gets the connection, and reports whether more was read than
// the response to the query with number use. That must have been read completely.
func (c *conn) isFollowed(ctx context.Context, use int, d time.Duration) (bool, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	first := -1
	for {
		c.mu.Lock()
		reads, inUse, ended, closed, changed := c.reads, c.uses > use, c.ended, c.closed, c.changed
		c.mu.Unlock()
		if first < 0 {
			first = reads
		}
		switch {
		case inUse || ended:
			return false, nil
		case closed || reads > first:
			return true, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return false, nil
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
