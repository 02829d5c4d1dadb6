package operator

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"parsleypulley/internal/fault"
)

// request is one call of the API, which may take several attempts.
type request struct {
	method, path string
	body         []byte
	decode       func(body []byte) error
}

// do tries one address after another until one answers. It reports whether an
// answer was lost on the way, after which the request may have run.
func (c *Client) do(ctx context.Context, r request) (lost bool, err error) {
	wait := c.options.InitialBackoff
	next := 0
	for n := 1; ; n++ {
		err = c.attempt(ctx, c.addresses[next], r)
		if !mayRetry(err) {
			return lost, err
		}
		e := fault.From(err)
		lost = lost || e.Outcome != fault.NotRun
		next = c.following(next, e.Leader)
		if n%len(c.addresses) != 0 {
			continue
		}
		if !c.sleep(ctx, wait/2+rand.N(wait/2+1)) {
			return lost, gaveUp(lost, err)
		}
		wait = min(2*wait, maxBackoff)
	}
}

// mayRetry reports whether another attempt may succeed. Every call of do may
// be sent again without harm.
func mayRetry(err error) bool {
	if err == nil {
		return false
	}
	switch fault.From(err).Kind {
	case fault.NotLeader, fault.Unavailable, fault.LinkDown, fault.Shutdown, fault.OutcomeUnknown:
		return true
	}
	return false
}

// gaveUp is the error after the time for all attempts is over.
func gaveUp(lost bool, last error) error {
	if lost {
		return fault.New(fault.OutcomeUnknown, fault.Unknown, "no control replica answered in time, and the request may have run; last: %w", last)
	}
	return fault.New(fault.Unavailable, fault.NotRun, "no control replica served the request in time; last: %w", last)
}

// following returns the address to try after the one at index current: that of
// the leader if the hint names exactly one host among the addresses, else the
// next.
func (c *Client) following(current int, leader string) int {
	next := (current + 1) % len(c.addresses)
	host, _, err := net.SplitHostPort(leader)
	if err != nil {
		return next
	}
	found := -1
	for i, u := range c.addresses {
		if u.Hostname() != host {
			continue
		}
		if found >= 0 {
			return next
		}
		found = i
	}
	if found < 0 || found == current {
		return next
	}
	return found
}

// attempt sends the request to one address.
func (c *Client) attempt(ctx context.Context, address *url.URL, r request) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	// The request may have run once it had a connection.
	outcome := fault.NotRun
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { outcome = fault.Unknown },
	})
	target := address.Scheme + "://" + address.Host + r.path
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Key)
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.New(fault.LinkDown, outcome, "no answer from control replica %s: %w", address.Host, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fault.New(fault.LinkDown, fault.Unknown, "answer of control replica %s broke off: %w", address.Host, err)
	}
	if err := decodeAnswer(resp.StatusCode, body); err != nil {
		return err
	}
	if err := r.decode(body); err != nil {
		return fault.New(fault.Internal, fault.Unknown, "bad answer from control replica %s: %w", address.Host, err)
	}
	return nil
}
