package view

import (
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

// Timing of fetches.
const (
	// startFetchInterval is the interval at which a process without a view
	// fetches from one more source.
	startFetchInterval = 50 * time.Millisecond
	// maxStartFetches is the maximum number of such fetches at the same time.
	maxStartFetches = 4
	// unconfirmedStartDelay is the time after which a process without a view
	// accepts an unconfirmed one.
	unconfirmedStartDelay = 150 * time.Millisecond
	// fetchDelay is how long a process waits for its source to deliver a newer
	// version before it fetches that version from the process that has it.
	fetchDelay = 400 * time.Millisecond
	// fetchTimeout limits the duration of a fetch.
	fetchTimeout = time.Second
	// fetchRetryDelay is the average delay after a fetch that did not deliver the
	// wanted version.
	fetchRetryDelay = 500 * time.Millisecond
)

// fetchState is the state of the fetches, which are separate calls that request
// the view once. They are needed at the start, when another process has a newer
// version, and when an update does not follow the local version.
type fetchState struct {
	// calls are the fetches in progress.
	calls []*call
	// wantedVersion is a version that another process is reported to have.
	wantedVersion wantedVersion
	// nextFetch is the earliest time of the next fetch.
	nextFetch time.Time
	// unconfirmed is the newest unconfirmed view received before there was any
	// view.
	unconfirmed *wire.ViewUpdate
}

// wantedVersion is a version newer than the local one, and the process that has
// it.
type wantedVersion struct {
	version uint64
	// address is the link address of the process that has the version.
	address string
	// since is when the version was first reported. After a gap in the events it
	// is fetchDelay earlier, so that the fetch is due at once.
	since time.Time
	// needsSnapshot is set if the events of a source do not follow the local
	// version.
	needsSnapshot bool
}

// ObserveVersion records the view version contained in a message from a process.
// If it is newer than the local one and the source does not deliver it soon, the
// view is fetched from that process.
func (f *Follower) ObserveVersion(now time.Time, address string, version uint64) {
	if address == "" || version <= f.log.Version() {
		return
	}
	w := &f.fetchState.wantedVersion
	if w.version <= f.log.Version() {
		f.fetchState.setWanted(now, address, version, false)
	} else if version > w.version {
		w.version = version
		w.address = address
	}
}

// setWanted sets the wanted version. The fetch is due fetchDelay after since.
func (s *fetchState) setWanted(since time.Time, address string, version uint64, needsSnapshot bool) {
	s.wantedVersion = wantedVersion{version: version, address: address, since: since, needsSnapshot: needsSnapshot}
}

// keepUnconfirmed keeps the newest unconfirmed view.
func (s *fetchState) keepUnconfirmed(update *wire.ViewUpdate) {
	if update.GetSnapshot() != nil && update.GetVersion() > s.unconfirmed.GetVersion() {
		s.unconfirmed = update
	}
}

// endFetch removes a fetch that has ended. If the wanted version was not
// delivered, it is no longer wanted until a process reports it again.
func (s *fetchState) endFetch(now time.Time, from *call, f *Follower) {
	i := slices.Index(s.calls, from)
	if i < 0 {
		return
	}
	s.calls = slices.Delete(s.calls, i, i+1)
	if s.wantedVersion.address == from.address && s.wantedVersion.version > f.log.Version() {
		s.wantedVersion = wantedVersion{}
		s.nextFetch = now.Add(jitter(f.random, fetchRetryDelay))
	}
}

// checkFetches ends fetches that have timed out and starts new ones.
func (f *Follower) checkFetches(now time.Time, actions []Action) []Action {
	s := &f.fetchState
	for _, fetch := range slices.Clone(s.calls) {
		if now.Sub(fetch.started) >= fetchTimeout {
			actions = append(actions, stopAction(fetch))
			s.endFetch(now, fetch, f)
		}
	}
	if f.log.Version() == 0 {
		f.applyUnconfirmed(now)
		return f.fetchInitialView(now, actions)
	}
	w := s.wantedVersion
	switch {
	case w.version <= f.log.Version():
		return actions
	case now.Sub(w.since) < fetchDelay, now.Before(s.nextFetch), f.isFetching(w.address):
		return actions
	}
	version := f.log.Version()
	if w.needsSnapshot {
		version = 0
	}
	return f.startFetch(now, Source{Address: w.address}, version, actions)
}

// fetchInitialView fetches a first view from several sources in turn. It
// alternates between the roles of the sources, since all processes of one role
// may be unreachable.
func (f *Follower) fetchInitialView(now time.Time, actions []Action) []Action {
	due := int(now.Sub(f.started) / startFetchInterval)
	if len(f.fetchState.calls) >= min(due, maxStartFetches) || now.Before(f.fetchState.nextFetch) {
		return actions
	}
	var callsByRole [roleCount]int
	addressesInUse := []string{f.SourceAddress()}
	for _, open := range append([]*call{f.trial}, f.fetchState.calls...) {
		if open != nil {
			callsByRole[open.role]++
			addressesInUse = append(addressesInUse, open.address)
		}
	}
	var next *candidate
	for _, known := range f.sources.list {
		if slices.Contains(addressesInUse, known.Address) || now.Before(known.retryAt) {
			continue
		}
		if next == nil || callsByRole[known.Role] < callsByRole[next.Role] {
			next = known
		}
	}
	if next == nil {
		return actions
	}
	return f.startFetch(now, next.Source, 0, actions)
}

// startFetch opens a fetch of the view from a version on.
func (f *Follower) startFetch(now time.Time, source Source, version uint64, actions []Action) []Action {
	fetch, action := f.openCall(now, StartFetch, source, version)
	f.fetchState.calls = append(f.fetchState.calls, fetch)
	return append(actions, action)
}

func (f *Follower) isFetching(address string) bool {
	return slices.ContainsFunc(f.fetchState.calls, func(c *call) bool { return c.address == address })
}

// applyUnconfirmed applies the unconfirmed view if no confirmed one has arrived
// in time.
func (f *Follower) applyUnconfirmed(now time.Time) {
	if f.fetchState.unconfirmed == nil || now.Sub(f.started) < unconfirmedStartDelay {
		return
	}
	// After an error the process still has no view and continues to fetch one.
	_, _ = f.log.Apply(f.fetchState.unconfirmed)
	f.fetchState.unconfirmed = nil
}
