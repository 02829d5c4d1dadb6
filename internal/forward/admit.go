package forward

import (
	"errors"
	"math"
	"net/http"
	"os"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/httptarget"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// refusedBodyTime limits the time for which the body of a refused call is read.
const refusedBodyTime = 5 * time.Second

// admit reads the request, finds its route and its client account and reads its
// body.
func (c *forwardedCall) admit() error {
	call, err := c.f.dialect.ReadCall(c.r)
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%w", err)
	}
	c.call = call
	if c.freshness.StoodStill {
		c.awaitConfirmation()
		c.snapshot, c.freshness = c.f.currentView()
	}
	if err := c.findRoute(); err != nil {
		// The server reads the body before it sends the refusal.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(refusedBodyTime)) // not supported by all writers of tests
		return err
	}
	limit := int64(c.snapshot.Routes.Table.GetLimits().GetBodyBytes())
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	endBody := c.f.shutdown.beginBody(c.stop, http.NewResponseController(c.w), c.arrivedAt.Add(c.timeout()))
	limited := http.MaxBytesReader(c.w, c.r.Body, limit)
	c.bodyHold = c.f.bodies.Hold(c.r.RemoteAddr, freeBodyMemory)
	length := c.r.ContentLength
	if length > limit {
		length = -1 // the limit ends the read
	}
	body, err := readBody(limited, length, c.bodyHold)
	endBody()
	if fault.Is(err, fault.Overloaded) {
		c.discardBody(limited)
		c.w.Header().Set("Connection", "close")
		return err
	}
	if err != nil {
		c.w.Header().Set("Connection", "close") // else the server would wait for the rest of the body
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.BodyTooLarge, fault.NotRun, "the body has more than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded) && c.f.shutdown.Stopping():
		c.stop.Refuse()
		return shutdownError("this router stops, the body did not come whole")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "the body did not come whole in time")
	case err != nil:
		return fault.New(fault.Cancelled, fault.NotRun, "the body did not come whole: %w", err)
	}
	c.body = body
	now := time.Now()
	return c.f.shutdown.admit(now, c.stop, c.route, c.arrivedAt.Add(c.timeout()).Sub(now))
}

// findRoute finds the route and the client account. A newer route table may allow
// what this one does not. While the view is unconfirmed, calls are therefore
// refused as unavailable, which callers may retry, and not as not found or
// unauthenticated.
func (c *forwardedCall) findRoute() error {
	table := c.snapshot.Routes
	if table.Version() == 0 {
		return fault.New(fault.Unavailable, fault.NotRun, "no route table yet").WithRetryAfter(startRetryAfter)
	}
	c.route = table.Match(c.r.Host, httptarget.Path(c.r))
	if c.route == nil {
		if !c.freshness.Confirmed {
			return staleViewError("no route for this host and path", c.freshness, view.MaxConfirmationAge)
		}
		return fault.New(fault.NotFound, fault.NotRun, "no route for this host and path")
	}
	account, err := c.authorize(c.snapshot, c.freshness, c.route)
	c.account = account
	return err
}

// maxSelectionAge is how long after the selection of a backend server the request may be sent to
// it: longer than it takes to open a connection (dialTimeout), and shorter than a permit is valid
// (permit.Lifetime).
const maxSelectionAge = 500 * time.Millisecond

// errSelectionOutdated is the failure of an attempt that was not sent in time.
var errSelectionOutdated = errors.New("the backend server was selected too long ago")

// checkSend returns a function that returns an error if the request must not be sent any more. It
// is called after the wait for a connection.
func (c *forwardedCall) checkSend(d *routing.Decision) func() error {
	selectedAt, scope := c.f.selector.clock(), c.cacheScope
	return func() error {
		now := c.f.selector.clock()
		if now.Sub(selectedAt) > maxSelectionAge {
			return errSelectionOutdated
		}
		if err := c.mayBegin(now, d); err != nil {
			return err
		}
		if c.isFinal() {
			return errStopEnds
		}
		if c.route.GetPrompts() && c.currentCacheScope() != scope {
			return errCacheScopeChanged
		}
		return c.mayStillSend()
	}
}

// startLimits bound the predicted start of a call. A call beyond them is refused at once: its
// caller would give up before the response, and the work would only delay other calls.
type startLimits struct {
	// firstToken limits the time to the first token, and wait the part of it until the engine
	// begins with what is the call's own: the wait, and the time to prefill the part of the
	// prompt that other calls share and that is not cached. 0 means no limit.
	firstToken, wait time.Duration
}

// startLimits returns the limits of the call. A call that may already have been executed has
// none.
func (c *forwardedCall) startLimits() startLimits {
	if !c.route.GetPrompts() || c.PossibleExecutions() > 0 {
		return startLimits{}
	}
	objective := time.Duration(c.route.GetObjectiveMs()) * time.Millisecond
	return startLimitsOf(objective, c.timeout(), c.route.GetUrgency())
}

// startLimitsOf returns the limits of a call on a route with an objective for its first token, a
// timeout and an urgency. A call on a less urgent route may wait for a part of its timeout that
// is the smaller the less urgent the route is: while prompts wait, each step of an engine
// prefills a chunk, so that the urgent answers that run there take many times as long. What is
// the call's own does not count, so that long questions are not refused more often.
func startLimitsOf(objective, timeout time.Duration, urgency uint32) startLimits {
	limits := startLimits{firstToken: max(firstTokenObjectives*objective, minFirstTokenLimit)}
	if urgency > 0 {
		limits.wait = time.Duration(maxWaitShare / math.Pow(waitShareStep, float64(urgency-1)) * float64(timeout))
	}
	return limits
}

// check returns an error if a decision is beyond the limits, with the excess as the time after
// which the caller may come back. sharedTokens is the length of the part of the prompt that
// other calls share.
func (l startLimits) check(d *routing.Decision, sharedTokens uint32) error {
	excess := time.Duration(0)
	if l.firstToken > 0 {
		excess = d.Wait + d.Prefill - l.firstToken
	}
	if l.wait > 0 {
		excess = max(excess, d.Wait+sharedPrefill(d, sharedTokens)-l.wait)
	}
	if excess <= 0 {
		return nil
	}
	return fault.New(fault.Overloaded, fault.NotRun, "the first token would take %v: %v until there is room at %s, %v to read the prompt",
		(d.Wait + d.Prefill).Round(time.Millisecond), d.Wait.Round(time.Millisecond), d.Backend.GetName(), d.Prefill.Round(time.Millisecond)).WithRetryAfter(excess)
}

// sharedPrefill returns the predicted time to prefill the part of the prompt that other calls share
// and that is not cached.
func sharedPrefill(d *routing.Decision, sharedTokens uint32) time.Duration {
	if sharedTokens <= d.CachedTokens || d.PromptTokens <= d.CachedTokens {
		return 0
	}
	part := float64(sharedTokens-d.CachedTokens) / float64(d.PromptTokens-d.CachedTokens)
	return time.Duration(min(part, 1) * float64(d.Prefill))
}

// urgencyOf returns the urgency of a client account's calls on a route.
func urgencyOf(route *wire.ForwardRoute, a *wire.Account) uint32 {
	if a != nil && a.Urgency != nil {
		return a.GetUrgency()
	}
	return route.GetUrgency()
}

// cacheTransfers returns the address from which the engine may import cached
// state, and the address of the store to which it saves the cached state of the
// prompt. Engines import only what they lack, so the predicted cache content of
// the chosen engine is not considered here. An engine that is reported to hold
// the whole shared prefix is preferred to the store, whose link all engines
// share.
func (c *forwardedCall) cacheTransfers(d *routing.Decision) (importAddress, saveAddress string) {
	sharedTokens := sharedPrefixTokens(c.promptLevels)
	if !c.route.GetPrompts() || d.WeightsVersion == 0 || sharedTokens < minTransferTokens {
		return "", ""
	}
	if d.KVSourceTokens == sharedTokens {
		return d.KVSource, ""
	}
	store := c.f.storeMonitor.homeStore(c.snapshot, c.promptLevels[0].GetKey())
	contextKey := c.promptLevels[len(c.promptLevels)-2].GetKey()
	switch {
	case store == "":
		return d.KVSource, ""
	case c.f.storeMonitor.holds(store, prefix.Versioned(contextKey, d.Model, d.CacheVersion)):
		return store, ""
	case d.KVSourceTokens > 0:
		return d.KVSource, store
	}
	return store, store
}

// sharedPrefixTokens returns the length of a prompt without its last part, which
// is the only part that other calls do not share.
func sharedPrefixTokens(levels []*wire.PrefixLevel) uint32 {
	if len(levels) < 2 {
		return 0
	}
	return levels[len(levels)-2].GetTokens()
}
