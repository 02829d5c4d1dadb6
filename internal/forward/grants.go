package forward

import (
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/httptarget"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// currentView returns the newest view and its freshness. The freshness is read first, so that the view is at
// least as new as the one that was confirmed.
func (f *Forwarder) currentView() (*view.Snapshot, view.Freshness) {
	fresh := f.opts.Freshness()
	return f.opts.Views.Load(), fresh
}

const (
	// maxConfirmationWait is the time for which calls wait at a router since it has gone on after a standstill.
	// Sources confirm the view every view.HeartbeatInterval, and one that is silent is replaced meanwhile.
	maxConfirmationWait = 500 * time.Millisecond
	// confirmationWaitShare is the part of the time that the caller waits for which the call does.
	confirmationWaitShare = 0.25
	// confirmationPollInterval is the time between two looks at the freshness of the view.
	confirmationPollInterval = 10 * time.Millisecond
)

// awaitConfirmation waits until the view is confirmed, if this process has stood still since it last was. Calls that
// came meanwhile wait in its sockets and would all be served by the view of before: for the account that held the
// key then, and with cached state that the account shared then. If no confirmation comes soon after the process has
// gone on, as it is cut off too, calls go on by the old view and later ones do not wait.
func (c *forwardedCall) awaitConfirmation() {
	fresh := c.f.opts.Freshness()
	wait := maxConfirmationWait - fresh.ResumedFor
	if !fresh.StoodStill || wait <= 0 {
		return
	}
	if c.call.Timeout > 0 {
		wait = min(wait, time.Duration(confirmationWaitShare*float64(c.call.Timeout)))
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	poll := time.NewTicker(confirmationPollInterval)
	defer poll.Stop()
	for c.f.opts.Freshness().StoodStill {
		select {
		case <-poll.C:
		case <-timeout.C:
			return
		case <-c.r.Context().Done():
			return
		}
	}
}

// authorize returns the client account that a view gives to the call on a route, or nil if the call may run
// without one. All grants to the holder of an API key are made here.
//
// Invariant: a view whose confirmation is as old as RevokeBound lets no call with an API key run, on any
// ground. The key may have been revoked since, and the ground for needing none may be outdated as well: the
// route may have become private, or the first client accounts may have been declared. A call without a key
// loses nothing by a revocation and is served by views of any age.
func (c *forwardedCall) authorize(s *view.Snapshot, fresh view.Freshness, route *wire.ForwardRoute) (*wire.Account, error) {
	table := s.Routes
	keyNeeded, ground := false, ""
	switch {
	case !table.KeysRequired():
		ground = "a configuration that requires no keys"
	case route.GetPublic():
		ground = "a public route"
	default:
		keyNeeded, ground = true, "an API key"
	}
	if !keyNeeded && c.call.APIKey == "" {
		return nil, nil
	}
	if c.f.isOutdated(fresh) {
		return nil, staleViewError(ground, fresh, c.f.opts.RevokeBound)
	}
	if !keyNeeded {
		return nil, nil
	}
	account := table.Account(c.call.APIKey)
	if account == nil {
		if !fresh.Confirmed {
			return nil, staleViewError("unknown API key", fresh, view.MaxConfirmationAge)
		}
		if !table.StatesKeys() {
			return nil, fault.New(fault.Unavailable, fault.NotRun, "the route table does not state whether calls need API keys")
		}
		return nil, fault.New(fault.Unauthenticated, fault.NotRun, "unknown API key")
	}
	return account, nil
}

// isOutdated reports whether API keys in the view may have been revoked for longer than the
// bound allows.
func (f *Forwarder) isOutdated(fresh view.Freshness) bool {
	// An unconfirmed view of age 0 has never been confirmed.
	return fresh.Age >= f.opts.RevokeBound || !fresh.Confirmed && fresh.Age == 0
}

// mayStillSend returns an error if the newest view does not let the API key of the call be used any more: time
// has passed since the call was admitted, as its body came slowly, it waited or is tried again, or the process
// stood still. A call without a key goes on by the view that admitted it.
func (c *forwardedCall) mayStillSend() error {
	if c.call.APIKey == "" {
		return nil
	}
	s, fresh := c.f.currentView()
	account, err := c.authorize(s, fresh, c.routeIn(s))
	if err == nil && account != nil && c.account != nil && account.GetName() != c.account.GetName() {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the API key is not one of this account any more")
	}
	return err
}

// routeIn returns the route of the call in a view, or the route that admitted the call if the view has none:
// a call that has been admitted goes on if its route is removed.
func (c *forwardedCall) routeIn(s *view.Snapshot) *wire.ForwardRoute {
	if s.Routes == c.snapshot.Routes {
		return c.route
	}
	if route := s.Routes.Match(c.r.Host, httptarget.Path(c.r)); route != nil {
		return route
	}
	return c.route
}

// staleViewError returns the refusal of a call that a newer view might answer otherwise. what is the statement of
// the view that is not relied on, and bound the age from which on it is not.
func staleViewError(what string, fresh view.Freshness, bound time.Duration) error {
	if !fresh.Confirmed && fresh.Age == 0 {
		return fault.New(fault.Unavailable, fault.NotRun, "%s: not relied on, as the view has never been confirmed", what)
	}
	return fault.New(fault.Unavailable, fault.NotRun, "%s: not relied on, as the view is %v old, bound %v", what, fresh.Age.Round(time.Millisecond), bound)
}
