package view

import (
	"errors"
	"math/rand/v2"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Times of a Follower.
const (
	// MaxConfirmationAge is the greatest age of a confirmation: a process is confirmed as
	// long as its view was vouched for within this time.
	MaxConfirmationAge = 1500 * time.Millisecond
	// silentAfter is the time without an update after which a source is left;
	// each follower adds a random part of silentSpread.
	silentAfter  = 900 * time.Millisecond
	silentSpread = 200 * time.Millisecond
	// trialTime is the time that a new source has to send a confirmed update.
	trialTime = 500 * time.Millisecond
	// After quickTrials trials in a row without success, trialPause is the
	// average time between trials: all sources may have lost the quorum.
	quickTrials = 4
	trialPause  = time.Second
	// retryMin and retryMax bound the time after which a failed source is tried
	// again; retryFull applies to one that serves enough others.
	retryMin  = 250 * time.Millisecond
	retryMax  = 4 * time.Second
	retryFull = 10 * time.Second
	// upgradeAfter is the average time after which a better source is tried.
	upgradeAfter = 30 * time.Second
)

// ActionKind tells what the driver of a Follower is to do.
type ActionKind uint8

// The kinds of actions.
const (
	// StartWatch opens a Watch call.
	StartWatch ActionKind = iota + 1
	// StopCall ends a call.
	StopCall
	// StartFetch opens a FetchView call.
	StartFetch
)

// Action is an order to the driver of a Follower.
type Action struct {
	Kind ActionKind
	// Call numbers the call. Updates and the failure of a call carry it.
	Call    uint64
	Address string
	// FromVersion goes into Watch and FetchView.
	FromVersion uint64
}

// FollowerConfig describes the following process.
type FollowerConfig struct {
	Role Role
	// Seed differs between processes; it spreads them over the sources.
	Seed uint64
	// Log takes the updates.
	Log *Log
}

// call is an open call to a source.
type call struct {
	id      uint64
	address string
	role    Role
	started time.Time
	// heard is the time of the newest update, confirmed what it said, and
	// vouched the newest time for which it was confirmed.
	heard     time.Time
	confirmed bool
	vouched   time.Time
}

// fresh reports whether the call's view is confirmed.
func (c *call) fresh(now time.Time) bool {
	return c != nil && c.confirmed && now.Sub(c.vouched) <= MaxConfirmationAge
}

// Follower keeps a process's view up to date. It decides which sources to
// follow; the driver carries the calls. It is not safe for concurrent use.
//
// It follows one confirmed source and leaves one that is silent or not
// confirmed for one that is. Confirmations carry their age along a chain of
// sources, so that processes that follow each other in a circle lose theirs.
type Follower struct {
	log     *Log
	sources candidates
	random  *rand.Rand
	lastID  uint64
	started time.Time

	// current is the source followed, and trial a watch that may replace it;
	// each may be nil.
	current *call
	trial   *call
	fetcher fetcher
	// failedTrials counts trials in a row without success.
	failedTrials int
	// avoid is the role of the source that failed last, or roleCount.
	avoid       Role
	nextTrial   time.Time
	nextUpgrade time.Time
	// patience is the time without an update after which the source is left.
	patience time.Duration
	// vouched is the newest time for which the view was confirmed.
	vouched time.Time
}

// NewFollower returns a follower that starts at now.
func NewFollower(config FollowerConfig, now time.Time) *Follower {
	f := &Follower{
		log:     config.Log,
		sources: candidates{own: config.Role, seed: config.Seed},
		random:  rand.New(rand.NewPCG(config.Seed, uint64(config.Role))),
		started: now,
		avoid:   roleCount,
	}
	f.patience = silentAfter + time.Duration(f.random.Int64N(int64(silentSpread)))
	f.nextUpgrade = now.Add(jitter(f.random, upgradeAfter))
	return f
}

// SetSources replaces the configured sources, which must not include the process
// itself.
func (f *Follower) SetSources(sources []Source) { f.sources.set(sources) }

// Learn adds a source that the process has met, such as a router that called it.
func (f *Follower) Learn(source Source) { f.sources.learn(source) }

// Freshness returns how well the view is known to be the newest.
func (f *Follower) Freshness(now time.Time) Freshness {
	if f.vouched.IsZero() {
		return Freshness{}
	}
	age := now.Sub(f.vouched)
	return Freshness{Confirmed: age <= MaxConfirmationAge, Age: age}
}

// Source returns the address of the source followed, or an empty string.
func (f *Follower) Source() string {
	if f.current == nil {
		return ""
	}
	return f.current.address
}

// Tick returns the actions that the time calls for. Call it every 50 to 100 ms.
func (f *Follower) Tick(now time.Time) []Action {
	var actions []Action
	actions = f.checkCurrent(now, actions)
	actions = f.checkTrial(now, actions)
	actions = f.startTrial(now, actions)
	return f.checkFetches(now, actions)
}

// Update takes an update that came on a call.
func (f *Follower) Update(now time.Time, id uint64, update *wire.ViewUpdate) []Action {
	from := f.call(id)
	if from == nil {
		return nil
	}
	from.heard = now
	from.confirmed = update.GetConfirmed()
	err := f.take(update)
	switch {
	case errors.Is(err, ErrGap):
		f.fetcher.want(now.Add(-heardGrace), from.address, update.GetVersion(), true)
	case err != nil:
		return f.end(now, from, err)
	case from.confirmed && f.log.Version() >= update.GetVersion():
		f.confirm(now, from, update)
	case from.confirmed:
		f.ObserveVersion(now, from.address, update.GetVersion())
	}
	f.fetcher.done(now, from, f)
	return append(f.promote(now, from), f.Tick(now)...)
}

// CallEnded takes the end of a call, with or without an error.
func (f *Follower) CallEnded(now time.Time, id uint64, err error) []Action {
	from := f.call(id)
	if from == nil {
		return nil
	}
	return f.end(now, from, err)
}

// take applies an update. An unconfirmed view is put aside while the process
// has none, as a confirmed one may come.
func (f *Follower) take(update *wire.ViewUpdate) error {
	if f.log.Version() == 0 && !update.GetConfirmed() {
		f.fetcher.putAside(update)
		return nil
	}
	_, err := f.log.Apply(update)
	return err
}

func (f *Follower) call(id uint64) *call {
	for _, open := range append([]*call{f.current, f.trial}, f.fetcher.calls...) {
		if open != nil && open.id == id {
			return open
		}
	}
	return nil
}

// confirm notes that a source vouched for the view.
func (f *Follower) confirm(now time.Time, from *call, update *wire.ViewUpdate) {
	vouched := now.Add(-time.Duration(update.GetAgeMs()) * time.Millisecond)
	if vouched.After(from.vouched) {
		from.vouched = vouched
	}
	if vouched.After(f.vouched) {
		f.vouched = vouched
	}
}

// promote makes the trial the source followed once it is confirmed.
func (f *Follower) promote(now time.Time, from *call) []Action {
	if from != f.trial || !from.fresh(now) {
		return nil
	}
	var actions []Action
	if f.current != nil {
		actions = append(actions, stop(f.current))
	}
	f.current, f.trial = f.trial, nil
	f.failedTrials = 0
	f.avoid = roleCount
	if known := f.sources.find(from.address); known != nil {
		known.failures = 0
	}
	return actions
}

// end drops a call that is over.
func (f *Follower) end(now time.Time, from *call, err error) []Action {
	switch from {
	case f.current:
		f.punish(now, from, err)
		f.current = nil
	case f.trial:
		f.trialFailed(now, err)
		f.trial = nil
	default:
		f.fetcher.done(now, from, f)
	}
	return f.Tick(now)
}

// punish delays the next try of a source.
func (f *Follower) punish(now time.Time, from *call, err error) {
	f.sources.failed(now, from.address, fault.Is(err, fault.Overloaded), f.random)
}

// open starts a call.
func (f *Follower) open(now time.Time, kind ActionKind, source Source, version uint64) (*call, Action) {
	f.lastID++
	c := &call{id: f.lastID, address: source.Address, role: source.Role, started: now, heard: now}
	return c, Action{Kind: kind, Call: c.id, Address: c.address, FromVersion: version}
}

func stop(c *call) Action {
	return Action{Kind: StopCall, Call: c.id, Address: c.address}
}
