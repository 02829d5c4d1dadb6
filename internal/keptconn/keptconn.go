// Package keptconn sends HTTP queries over kept connections to servers whose responses do not identify the
// query. A faulty server may write an earlier response once more where the next one is expected; the copy
// can't be told from the response by its content. But the response then arrives behind the copy: if more bytes
// arrive behind a response, the query is sent again.
package keptconn

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"parsleypulley/internal/connend"
)

// SettleTime is how long a Client waits for bytes behind a response by default. A server that writes a copy
// when it gets a query writes its response to the query right behind it.
const SettleTime = 5 * time.Millisecond

// firstSettleTime is how long a Client waits behind the first response on a connection, which is no copy: net/http
// closes a connection on which it has read more than the response, but may use it before that.
const firstSettleTime = time.Millisecond

// ErrTooLong is returned for a response whose body exceeds the limit.
var ErrTooLong = errors.New("the response is too long")

// Client sends queries. It is safe for concurrent use.
type Client struct {
	// kept keeps connections, and fresh opens one for each query.
	kept, fresh *http.Client
	settle      time.Duration
}

// New returns a client that uses the connections of t, which must keep connections and must not be used
// otherwise. It returns redirects instead of following them. The client replaces the limits of t on the
// number of idle connections, because a connection closed for such a limit would look like one on which
// more bytes have arrived. IdleConnTimeout still bounds them.
func New(t *http.Transport, settle time.Duration) *Client {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.MaxIdleConns, t.MaxIdleConnsPerHost = 0, math.MaxInt
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: connend.New(c), changed: make(chan struct{})}, nil
	}
	fresh := t.Clone()
	fresh.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{kept: &http.Client{Transport: t, CheckRedirect: noRedirect}, fresh: &http.Client{Transport: fresh, CheckRedirect: noRedirect}, settle: settle}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() { c.kept.CloseIdleConnections() }

// Do sends a query, which may be sent twice, and returns the response with its body, which has at most limit bytes.
// A response behind which more bytes arrive is used only if it is the first one on its connection: that is no
// copy. Else the query is sent again on a new connection. That happens too if queries to one server follow one
// another within the settle time.
func (c *Client) Do(req *http.Request, limit int64) (resp *http.Response, body []byte, err error) {
	resp, body, certain, err := c.try(c.kept, req, limit)
	if err != nil || certain {
		return resp, body, err
	}
	if req.GetBody != nil {
		if req.Body, err = req.GetBody(); err != nil {
			return nil, nil, err
		}
	}
	resp, body, _, err = c.try(c.fresh, req, limit)
	return resp, body, err
}

// try sends a query once. certain is set if the response is no copy.
func (c *Client) try(client *http.Client, req *http.Request, limit int64) (resp *http.Response, body []byte, certain bool, err error) {
	var used *conn // of the last one, if net/http has sent the query again
	use := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if used, _ = info.Conn.(*conn); used != nil {
			used.change(func() { used.uses++; use = used.uses })
		}
	}}
	resp, err = client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, nil, false, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, false, err
	}
	if int64(len(body)) > limit {
		return nil, nil, false, ErrTooLong
	}
	if resp.Close || used == nil || client == c.fresh {
		return resp, body, true, nil
	}
	settle := c.settle
	if use == 1 {
		settle = min(settle, firstSettleTime)
	}
	alone, err := used.isAlone(req.Context(), use, settle)
	if use == 1 {
		return resp, body, true, nil
	}
	return resp, body, alone, err
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

// isAlone waits for d and reports whether no more was read than the response to the query with number use, which
// must have been read completely. It closes the connection if there was more. If the next query has got the
// connection, this can't be told.
func (c *conn) isAlone(ctx context.Context, use int, d time.Duration) (bool, error) {
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
		case inUse || closed && !ended:
			return false, nil
		case ended:
			return true, nil
		case reads > first:
			_ = c.Close() // a response behind this one must not be taken for that to the next query
			return false, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return true, nil
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
