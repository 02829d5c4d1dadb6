package router

import (
	"time"

	"parsleypulley/internal/account"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/view"
)

// KeyTrust bounds how long a router relies on what its view says of client accounts and their
// API keys while nothing confirms it.
type KeyTrust struct {
	// Freshness returns whether the view is confirmed to be the newest, and the age of the last
	// confirmation. It must be set if Bound is.
	Freshness func() view.Freshness
	// Bound is the age of the last confirmation from which on calls are refused, since their key
	// may have been revoked or their account suspended. 0 means none: a router that is cut off
	// serves on by what it knows.
	Bound time.Duration
}

// check returns an error if the view must not be relied on. It must be called before the view is
// read, so that the view is at least as new as the one that was confirmed.
func (t KeyTrust) check() error {
	if t.Bound <= 0 {
		return nil
	}
	fresh := t.Freshness()
	switch {
	case !fresh.Confirmed && fresh.Age == 0:
		return fault.New(fault.Unavailable, fault.NotRun, "an API key: not relied on, as the view has never been confirmed")
	case fresh.Age >= t.Bound:
		return fault.New(fault.Unavailable, fault.NotRun, "an API key: not relied on, as the view is %v old, bound %v", fresh.Age.Round(time.Millisecond), t.Bound)
	}
	return nil
}

// authenticate returns the caller that an API key belongs to by the newest view.
func (t KeyTrust) authenticate(views *view.Store, key account.KeyDigest) (gateway.Caller, error) {
	if err := t.check(); err != nil {
		return gateway.Caller{}, err
	}
	a, ok := views.Load().Config.AccountByKey(key)
	if !ok || a.Suspended {
		return gateway.Caller{}, fault.New(fault.Unauthenticated, fault.NotRun, "unknown API key")
	}
	return gateway.Caller{Account: a.Name, Key: key}, nil
}

// mayStillSend returns an error if there is a bound and the newest view does not let the caller's
// key be used any more: the call may have waited, or the process stood still. Attempts that have
// begun go on.
func (r *Router) mayStillSend(p *plan) error {
	if r.opts.KeyTrust.Bound <= 0 {
		return nil
	}
	caller, err := r.opts.KeyTrust.authenticate(r.opts.Views, p.req.Caller.Key)
	if err == nil && caller.Account != p.req.Caller.Account {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the API key is not one of this account any more")
	}
	return err
}
