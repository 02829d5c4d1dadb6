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

// request is one request to the API. It may take several attempts.
type request struct {
	method, path string
	body         []byte
	// decode decodes the body of a successful response.
	decode func(body []byte) error
}

// do sends the request to one address after another until an attempt succeeds or
// fails with an error that is not retried. After each round over all addresses it
// waits with exponential backoff and jitter. It also reports whether the request
// may have run in a failed attempt, for example because its response was lost.
func (c *Client) do(ctx context.Context, r request) (mayHaveRun bool, err error) {
	wait := c.options.InitialBackoff
	index := 0
	for n := 1; ; n++ {
		err = c.attempt(ctx, c.addresses[index], r)
		if !mayRetry(err) {
			return mayHaveRun, err
		}
		e := fault.From(err)
		mayHaveRun = mayHaveRun || e.Outcome != fault.NotRun
		index = c.nextAddress(index, e.Leader)
		if n%len(c.addresses) != 0 {
			continue
		}
		if !c.sleep(ctx, wait/2+rand.N(wait/2+1)) {
			return mayHaveRun, retriesExhausted(mayHaveRun, err)
		}
		wait = min(2*wait, maxBackoff)
	}
}

// mayRetry reports whether another attempt may succeed after err. It does not
// need to check whether the failed attempt ran, because all requests passed to do
// are idempotent.
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

// retriesExhausted returns the error for a request that did not succeed before
// its deadline.
func retriesExhausted(mayHaveRun bool, last error) error {
	if mayHaveRun {
		return fault.New(fault.OutcomeUnknown, fault.Unknown, "no control replica answered in time, and the request may have run; last: %w", last)
	}
	return fault.New(fault.Unavailable, fault.NotRun, "no control replica served the request in time; last: %w", last)
}

// nextAddress returns the index of the address to try after the one at index
// current. It is the address of the leader if its host equals that of exactly one
// address, and otherwise the following address. Only hosts are compared, because
// the leader hint is a link address, which has another port than the API.
func (c *Client) nextAddress(current int, leader string) int {
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
	// After a connection was obtained, the request may have been sent and run.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.New(fault.LinkDown, fault.Unknown, "answer of control replica %s broke off: %w", address.Host, err)
	}
	if err := decodeResponseError(resp.StatusCode, body); err != nil {
		return err
	}
	if err := r.decode(body); err != nil {
		return fault.New(fault.Internal, fault.Unknown, "bad answer from control replica %s: %w", address.Host, err)
	}
	return nil
}
