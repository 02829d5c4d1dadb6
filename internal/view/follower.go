package view

import (
	"errors"
	"math/rand/v2"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Timing of a Follower.
const (
	// MaxConfirmationAge is the maximum age of a confirmation. A process is
	// confirmed while the last confirmation of its view is not older.
	MaxConfirmationAge = 1500 * time.Millisecond
	// A follower abandons a source that has sent no update for minUpdateTimeout
	// plus a random time of at most updateTimeoutJitter, which each follower
	// draws once.
	minUpdateTimeout    = 900 * time.Millisecond
	updateTimeoutJitter = 200 * time.Millisecond
	// trialTimeout is the time within which a new source must send a confirmed
	// update.
	trialTimeout = 500 * time.Millisecond
	// After maxQuickTrials consecutive failed trials, followers wait for
	// trialInterval on average between trials, since all sources may have lost
	// the quorum.
	maxQuickTrials = 4
	trialInterval  = time.Second
	// minRetryDelay is the average delay before a source is tried again after its
	// first failure. It doubles with each further failure up to maxRetryDelay.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// overloadedRetryDelay is the average delay after a source refused a watch
	// because it already serves enough others.
	overloadedRetryDelay = 10 * time.Second
	// upgradeInterval is the average time after which a follower tries a source
	// of a preferred role.
	upgradeInterval = 30 * time.Second
	// standstillTime is the time without a Tick or an Update from which on the process counts as
	// having stood still: many times the interval between two ticks. With minUpdateTimeout, a
	// process that stands still for less has a view younger than two seconds.
	standstillTime = time.Second
	// watchLifetime is the average time after which a follower opens its watch anew: the
	// clocks of two processes drift apart, by at most half a millisecond a second (see
	// call.madeAt).
	watchLifetime = time.Minute
)

// ActionKind is the kind of an Action.
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

// Action is an instruction to the driver of a Follower.
type Action struct {
	Kind ActionKind
	// CallID identifies the call. Later updates and the end of the call refer to
	// it.
	CallID uint64
	// Address is the link address of the source.
	Address string
	// FromVersion is the version to put into the Watch or FetchView request.
	FromVersion uint64
}

// FollowerConfig describes the process that follows.
type FollowerConfig struct {
	// Role is the role of the process.
	Role Role
	// Seed must differ between processes. It distributes them over the sources.
	Seed uint64
	// Log receives the updates.
	Log *Log
}

// call is an open call to a source.
type call struct {
	id      uint64
	address string
	role    Role
	started time.Time
	// lastUpdate is the time of the newest update, or the start of the call.
	lastUpdate time.Time
	// confirmed is set if the newest update was confirmed.
	confirmed bool
	// confirmedAt is the newest time at which the view sent on this call was
	// confirmed.
	confirmedAt time.Time
	// firstClockUs is the source's clock in the first update of the call; 0 before it.
	firstClockUs uint64
}

// madeAt returns a time at or before the one at which the source made an update, whatever
// the update has waited for since: in a socket while this process or the link stood still.
// The first update of the call was made after the call was started; the source's clock
// tells how much later this one was.
func (c *call) madeAt(now time.Time, update *wire.ViewUpdate) time.Time {
	if update.GetClockUs() == 0 {
		return now // a source of an earlier version does not say
	}
	if c.firstClockUs == 0 {
		c.firstClockUs = update.GetClockUs()
	}
	at := c.started.Add(time.Duration(int64(update.GetClockUs()-c.firstClockUs)) * time.Microsecond)
	if at.After(now) {
		return now
	}
	return at
}

// isConfirmed reports whether the view received on the call is confirmed.
func (c *call) isConfirmed(now time.Time) bool {
	return c != nil && c.confirmed && now.Sub(c.confirmedAt) <= MaxConfirmationAge
}

// Follower keeps the view of a process up to date. It decides which sources to
// follow; the driver performs the calls. It is not safe for concurrent use.
//
// It follows one source. If that source sends no updates or is not confirmed, it
// switches to one that is confirmed. Updates contain the age of their
// confirmation, which grows along a chain of sources. Processes that follow each
// other in a cycle therefore do not stay confirmed.
type Follower struct {
	log     *Log
	sources candidates
	random  *rand.Rand
	// lastID is the ID of the newest call.
	lastID  uint64
	started time.Time

	// current is the watch of the source followed, or nil.
	current *call
	// trial is the watch of another source that may replace current, or nil.
	trial *call
	// fetchState holds the fetches of the view.
	fetchState fetchState
	// failedTrials is the number of consecutive trials that failed.
	failedTrials int
	// avoidRole is the role of the source whose trial failed last, or roleCount
	// for none.
	avoidRole Role
	// nextTrial is the earliest time of the next trial.
	nextTrial time.Time
	// nextUpgrade is when a source of a preferred role may be tried next.
	nextUpgrade time.Time
	// watchLifetime is the time after which the watch of the current source is opened
	// anew.
	watchLifetime time.Duration
	// updateTimeout is the time without an update after which the current source
	// is abandoned.
	updateTimeout time.Duration
	// confirmedAt is the newest time at which the view was confirmed.
	confirmedAt time.Time
	// lastStep is the time of the last Tick or Update, and resumedAt the time at which the process
	// was found to have stood still last.
	lastStep, resumedAt time.Time
}

// NewFollower returns a follower whose time starts at now.
func NewFollower(config FollowerConfig, now time.Time) *Follower {
	f := &Follower{
		log:       config.Log,
		sources:   candidates{ownRole: config.Role, seed: config.Seed},
		random:    rand.New(rand.NewPCG(config.Seed, uint64(config.Role))),
		started:   now,
		lastStep:  now,
		avoidRole: roleCount,
	}
	f.updateTimeout = minUpdateTimeout + time.Duration(f.random.Int64N(int64(updateTimeoutJitter)))
	f.log.SetNewestAt(func() time.Time { return f.confirmedAt })
	f.nextUpgrade = now.Add(jitter(f.random, upgradeInterval))
	f.watchLifetime = jitter(f.random, watchLifetime)
	return f
}

// SetSources replaces the configured sources. They must not include the process
// itself.
func (f *Follower) SetSources(sources []Source) { f.sources.set(sources) }

// Learn adds a source found at runtime, such as a router that called this
// process.
func (f *Follower) Learn(source Source) { f.sources.learn(source) }

// Freshness returns whether the view is confirmed to be the newest, and the age
// of the last confirmation.
func (f *Follower) Freshness(now time.Time) Freshness {
	if f.confirmedAt.IsZero() {
		return Freshness{}
	}
	age := now.Sub(f.confirmedAt)
	fresh := Freshness{Confirmed: age <= MaxConfirmationAge, Age: age}
	switch {
	case f.isStandstill(now):
		fresh.StoodStill = true // and no step has found it yet
	case !f.confirmedAt.After(f.resumedAt):
		fresh.StoodStill, fresh.ResumedFor = true, now.Sub(f.resumedAt)
	}
	return fresh
}

// isStandstill reports whether the process has done nothing for so long that it stood still.
func (f *Follower) isStandstill(now time.Time) bool { return now.Sub(f.lastStep) >= standstillTime }

// step records that the process runs.
func (f *Follower) step(now time.Time) {
	if f.isStandstill(now) {
		f.resumedAt = now
	}
	f.lastStep = now
}

// SourceAddress returns the link address of the process that is followed, or an
// empty string.
func (f *Follower) SourceAddress() string {
	if f.current == nil {
		return ""
	}
	return f.current.address
}

// Tick returns the actions that are due. It must be called every 50 to 100 ms.
func (f *Follower) Tick(now time.Time) []Action {
	f.step(now)
	var actions []Action
	actions = f.checkCurrent(now, actions)
	actions = f.checkTrial(now, actions)
	actions = f.startTrial(now, actions)
	return f.checkFetches(now, actions)
}

// Update applies an update received on the call with the given ID, and returns the
// actions that follow.
func (f *Follower) Update(now time.Time, id uint64, update *wire.ViewUpdate) []Action {
	f.step(now)
	from := f.call(id)
	if from == nil {
		return nil
	}
	from.lastUpdate = now
	from.confirmed = update.GetConfirmed()
	if update.GetClockUs() > 0 { // else the time at which the ages held is not known
		f.log.Targets().Merge(from.madeAt(now, update), update.GetWeightsAges())
	}
	err := f.apply(update) // f.confirmedAt is still that of the view before
	switch {
	case errors.Is(err, ErrGap):
		f.fetchState.setWanted(now.Add(-fetchDelay), from.address, update.GetVersion(), true)
	case err != nil:
		return f.endCall(now, from, err)
	case from.confirmed && f.log.Version() >= update.GetVersion():
		f.recordConfirmation(now, from, update)
	case from.confirmed:
		f.ObserveVersion(now, from.address, update.GetVersion())
	}
	f.fetchState.endFetch(now, from, f)
	return append(f.promote(now, from), f.Tick(now)...)
}

// CallEnded records that the call with the given ID has ended, with an error or
// without, and returns the actions that follow.
func (f *Follower) CallEnded(now time.Time, id uint64, err error) []Action {
	from := f.call(id)
	if from == nil {
		return nil
	}
	return f.endCall(now, from, err)
}

// apply applies an update. While the process has no view, it keeps an unconfirmed
// view aside, since a confirmed one may still arrive.
func (f *Follower) apply(update *wire.ViewUpdate) error {
	if f.log.Version() == 0 && !update.GetConfirmed() {
		f.fetchState.keepUnconfirmed(update)
		return nil
	}
	_, err := f.log.Apply(update)
	return err
}

// call returns the open call with the given ID, or nil.
func (f *Follower) call(id uint64) *call {
	for _, open := range append([]*call{f.current, f.trial}, f.fetchState.calls...) {
		if open != nil && open.id == id {
			return open
		}
	}
	return nil
}

// recordConfirmation records when the view was confirmed, according to an update
// from a source.
func (f *Follower) recordConfirmation(now time.Time, from *call, update *wire.ViewUpdate) {
	confirmedAt := from.madeAt(now, update).Add(-time.Duration(update.GetAgeMs()) * time.Millisecond)
	if confirmedAt.After(from.confirmedAt) {
		from.confirmedAt = confirmedAt
	}
	if confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
}

// promote makes the trial the current source once it is confirmed.
func (f *Follower) promote(now time.Time, from *call) []Action {
	if from != f.trial || !from.isConfirmed(now) {
		return nil
	}
	var actions []Action
	if f.current != nil {
		actions = append(actions, stopAction(f.current))
	}
	f.current, f.trial = f.trial, nil
	f.failedTrials = 0
	f.avoidRole = roleCount
	if known := f.sources.find(from.address); known != nil {
		known.failures = 0
	}
	return actions
}

// endCall removes a call that has ended.
func (f *Follower) endCall(now time.Time, from *call, err error) []Action {
	switch from {
	case f.current:
		f.delayRetry(now, from, err)
		f.current = nil
	case f.trial:
		f.trialFailed(now, err)
		f.trial = nil
	default:
		f.fetchState.endFetch(now, from, f)
	}
	return f.Tick(now)
}

// delayRetry delays the next attempt to follow a source.
func (f *Follower) delayRetry(now time.Time, from *call, err error) {
	f.sources.failed(now, from.address, fault.Is(err, fault.Overloaded), f.random)
}

// openCall returns a new call and the action that starts it.
func (f *Follower) openCall(now time.Time, kind ActionKind, source Source, version uint64) (*call, Action) {
	f.lastID++
	c := &call{id: f.lastID, address: source.Address, role: source.Role, started: now, lastUpdate: now}
	return c, Action{Kind: kind, CallID: c.id, Address: c.address, FromVersion: version}
}

func stopAction(c *call) Action {
	return Action{Kind: StopCall, CallID: c.id, Address: c.address}
}
