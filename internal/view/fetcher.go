package view

import (
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

// Times of fetches.
const (
	// startStagger is the time after which a process without any view asks one
	// more source, up to startFetches.
	startStagger = 50 * time.Millisecond
	startFetches = 4
	// unconfirmedStart is the time after which a process without any view takes
	// an unconfirmed one.
	unconfirmedStart = 150 * time.Millisecond
	// heardGrace is how long a newer version may be on its way from the source
	// before it is fetched from the process that told of it.
	heardGrace = 400 * time.Millisecond
	// fetchTime is the time that a fetch may take, and fetchPause the average
	// time after one that brought nothing.
	fetchTime  = time.Second
	fetchPause = 500 * time.Millisecond
)

// fetcher decides on fetches of the view where the watch brings none: at the
// start, when a peer told of a newer version, and when events don't join.
type fetcher struct {
	calls []*call
	// wanted is a version that a process is known to have.
	wanted wanted
	// next is the earliest time of the next fetch.
	next time.Time
	// aside is the newest unconfirmed view that came while there was none.
	aside *wire.ViewUpdate
}

// wanted tells who has a version newer than the own one.
type wanted struct {
	version uint64
	address string
	since   time.Time
	// whole is set when events don't join and a snapshot is needed.
	whole bool
}

// ObserveVersion notes the view version that came with a message from a process. Only
// versions newer than the own one matter: the process is asked for its view
// unless the source delivers it soon.
func (f *Follower) ObserveVersion(now time.Time, address string, version uint64) {
	if address == "" || version <= f.log.Version() {
		return
	}
	w := &f.fetcher.wanted
	if w.version <= f.log.Version() {
		f.fetcher.want(now, address, version, false)
	} else if version > w.version {
		w.version = version
		w.address = address
	}
}

func (t *fetcher) want(since time.Time, address string, version uint64, whole bool) {
	t.wanted = wanted{version: version, address: address, since: since, whole: whole}
}

// putAside keeps the newest unconfirmed view.
func (t *fetcher) putAside(update *wire.ViewUpdate) {
	if update.GetSnapshot() != nil && update.GetVersion() > t.aside.GetVersion() {
		t.aside = update
	}
}

// done ends a fetch. If it did not bring what was wanted, the wish is dropped
// until a process tells of it again.
func (t *fetcher) done(now time.Time, from *call, f *Follower) {
	i := slices.Index(t.calls, from)
	if i < 0 {
		return
	}
	t.calls = slices.Delete(t.calls, i, i+1)
	if t.wanted.address == from.address && t.wanted.version > f.log.Version() {
		t.wanted = wanted{}
		t.next = now.Add(jitter(f.random, fetchPause))
	}
}

// checkFetches ends fetches that take too long and starts new ones.
func (f *Follower) checkFetches(now time.Time, actions []Action) []Action {
	t := &f.fetcher
	for _, fetch := range slices.Clone(t.calls) {
		if now.Sub(fetch.started) >= fetchTime {
			actions = append(actions, stop(fetch))
			t.done(now, fetch, f)
		}
	}
	if f.log.Version() == 0 {
		f.takeAside(now)
		return f.fetchFirst(now, actions)
	}
	w := t.wanted
	switch {
	case w.version <= f.log.Version():
		return actions
	case now.Sub(w.since) < heardGrace, now.Before(t.next), f.fetching(w.address):
		return actions
	}
	version := f.log.Version()
	if w.whole {
		version = 0
	}
	return f.startFetch(now, Source{Address: w.address}, version, actions)
}

// fetchFirst asks one source after the other for a first view, in turn of
// their roles, as all processes of one role may be out of reach.
func (f *Follower) fetchFirst(now time.Time, actions []Action) []Action {
	due := int(now.Sub(f.started) / startStagger)
	if len(f.fetcher.calls) >= min(due, startFetches) || now.Before(f.fetcher.next) {
		return actions
	}
	var asked [roleCount]int
	busy := []string{f.Source()}
	for _, open := range append([]*call{f.trial}, f.fetcher.calls...) {
		if open != nil {
			asked[open.role]++
			busy = append(busy, open.address)
		}
	}
	var next *candidate
	for _, known := range f.sources.list {
		if slices.Contains(busy, known.Address) || now.Before(known.retryAt) {
			continue
		}
		if next == nil || asked[known.Role] < asked[next.Role] {
			next = known
		}
	}
	if next == nil {
		return actions
	}
	return f.startFetch(now, next.Source, 0, actions)
}

func (f *Follower) startFetch(now time.Time, source Source, version uint64, actions []Action) []Action {
	fetch, action := f.open(now, StartFetch, source, version)
	f.fetcher.calls = append(f.fetcher.calls, fetch)
	return append(actions, action)
}

func (f *Follower) fetching(address string) bool {
	return slices.ContainsFunc(f.fetcher.calls, func(c *call) bool { return c.address == address })
}

// takeAside takes an unconfirmed view when no confirmed one came in time.
func (f *Follower) takeAside(now time.Time) {
	if f.fetcher.aside == nil || now.Sub(f.started) < unconfirmedStart {
		return
	}
	// An error leaves the process without a view, as before.
	_, _ = f.log.Apply(f.fetcher.aside)
	f.fetcher.aside = nil
}
