package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// admit finds route and account and reads the body.
func (x *forwarding) admit() error {
	call, err := x.f.dialect.ReadCall(x.r)
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%w", err)
	}
	x.call = call
	if err := x.findRoute(); err != nil {
		return err
	}
	limit := int64(x.snapshot.Routes.Table.GetLimits().GetBodyBytes())
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.BodyTooLarge, fault.NotRun, "the body has more than %d bytes", limit)
	case err != nil:
		return fault.New(fault.Cancelled, fault.NotRun, "the body did not come whole: %w", err)
	}
	x.body = body
	if x.f.stopping.Load() && x.route.GetStream() && !x.route.GetResumable() {
		// It might last longer than the planned stop, and can't go on elsewhere.
		return fault.New(fault.Shutdown, fault.NotRun, "this router stops").WithRetryAfter(stopRetry)
	}
	return nil
}

// findRoute finds route and account. What the table at hand does not allow may
// be allowed by a newer one, so that an unconfirmed view refuses nothing for
// good.
func (x *forwarding) findRoute() error {
	table := x.snapshot.Routes
	if table.Version() == 0 {
		return fault.New(fault.Unavailable, fault.NotRun, "no route table yet")
	}
	fresh := x.f.opts.Freshness()
	x.route = table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		if !fresh.Confirmed {
			return stale(fresh)
		}
		return fault.New(fault.NotFound, fault.NotRun, "no route for this host and path")
	}
	if !table.Table.GetKeysRequired() || x.route.GetPublic() {
		return nil
	}
	if fresh.Age >= x.f.opts.RevokeBound || !fresh.Confirmed && fresh.Age == 0 {
		return stale(fresh)
	}
	x.account = table.Account(x.call.APIKey)
	if x.account == nil {
		if !fresh.Confirmed {
			return stale(fresh)
		}
		return fault.New(fault.Unauthenticated, fault.NotRun, "unknown API key")
	}
	return nil
}

func stale(fresh view.Freshness) error {
	return fault.New(fault.Unavailable, fault.NotRun, "the view is not confirmed (age %v)", fresh.Age.Round(time.Millisecond))
}

// saltOf returns the cache salt of an account: its own, or one for all that
// share cached state.
func saltOf(a *wire.Account) string {
	switch {
	case a == nil || a.GetSharesCache():
		return "shared"
	case a.GetCacheSalt() != "":
		return "own/" + a.GetCacheSalt()
	default:
		return "account/" + a.GetName()
	}
}

// patience returns how long the first token of a call may be predicted to take
// before the call is refused; 0 is no bound. What takes longer would be given up
// by its caller, and would only hold up others.
func (x *forwarding) patience() time.Duration {
	if !x.route.GetPrompts() || x.PossibleExecutions() > 0 {
		return 0
	}
	objective := time.Duration(x.route.GetObjectiveMs()) * time.Millisecond
	return max(patienceObjectives*objective, minPatience)
}

// urgencyOf returns the urgency of an account's calls on a route.
func urgencyOf(route *wire.ForwardRoute, a *wire.Account) uint32 {
	if a != nil && a.Urgency != nil {
		return a.GetUrgency()
	}
	return route.GetUrgency()
}

// cacheSalt returns the salt for a call with a prompt on a version of weights:
// what was made on others must not be found.
func (x *forwarding) cacheSalt(weights uint64) string {
	if !x.route.GetPrompts() {
		return ""
	}
	return fleet.VersionedSalt(x.salt, weights)
}

// cacheMoves returns the address from which the engine may import cached state,
// and the store to which it is to save what it reads. Engines import only what
// they lack, so that the prediction of what one holds decides nothing here. An
// engine that is reported to hold the whole opening goes before the store, whose
// link all engines share.
func (x *forwarding) cacheMoves(d *routing.Decision) (from, to string) {
	opening := sharedTokens(x.levels)
	if !x.route.GetPrompts() || d.Weights == 0 || opening < minMove {
		return "", ""
	}
	if d.KVSourceTokens == opening {
		return d.KVSource, ""
	}
	store := x.f.stores.home(x.snapshot, x.levels[0].GetKey())
	context := x.levels[len(x.levels)-2].GetKey()
	switch {
	case store == "":
		return d.KVSource, ""
	case x.f.stores.holds(store, prefix.Versioned(context, d.Weights)):
		return store, ""
	case d.KVSourceTokens > 0:
		return d.KVSource, store
	}
	return store, store
}

// sharedTokens returns the length of the parts of a prompt that other calls
// share: all but the last.
func sharedTokens(levels []*wire.PrefixLevel) uint32 {
	if len(levels) < 2 {
		return 0
	}
	return levels[len(levels)-2].GetTokens()
}
