package view

import (
	"time"

	"parsleypulley/internal/wire"
)

// HeartbeatInterval is the time between the updates of a watch while the view
// does not change.
const HeartbeatInterval = 400 * time.Millisecond

// Freshness describes whether the view of a process is confirmed to be the
// newest.
type Freshness struct {
	// Confirmed is set if a control replica in contact with a quorum confirmed
	// the view within MaxConfirmationAge.
	Confirmed bool
	// Age is the time since the last confirmation. A Follower reports 0 if there
	// has been none.
	Age time.Duration
	// StoodStill is set if the process has stood still for standstillTime or longer, as it was
	// stopped or its VM suspended, and the view has not been confirmed since. The view may be
	// older than one of a running process gets before its source is replaced.
	StoodStill bool
	// ResumedFor is the time for which the process has gone on since; 0 unless StoodStill is set.
	ResumedFor time.Duration
	// ClockUs is a reading of the process's clock, in microseconds, from before Age was
	// taken; 0 if there is none. See wire.ViewUpdate.
	ClockUs uint64
}

// WatchSession is the server side of one watch. It decides which updates to send
// and when.
type WatchSession struct {
	log *Log
	// withholdUnconfirmed is set at control replicas, which send no view that
	// they cannot confirm.
	withholdUnconfirmed bool
	// sentVersion is the newest version sent.
	sentVersion uint64
	// confirmed is the confirmation sent last.
	confirmed bool
	// started is set once an update has been sent.
	started bool
	// lastSent is the time of the last update.
	lastSent time.Time
	// sentTargets is the number of changes of the log's target history that have been sent.
	sentTargets uint64
}

// NewWatchSession returns the server side of a watch that starts at version from.
// Control replicas set withholdUnconfirmed.
func NewWatchSession(log *Log, from uint64, withholdUnconfirmed bool) *WatchSession {
	return &WatchSession{log: log, sentVersion: from, withholdUnconfirmed: withholdUnconfirmed}
}

// Next returns the update to send now, or nil. It must be called when the log's
// store has changed, and at least once per HeartbeatInterval. now must be read after fresh, so
// that a pause in between makes weights look older, not newer.
func (w *WatchSession) Next(now time.Time, fresh Freshness) *wire.ViewUpdate {
	due := !w.started || now.Sub(w.lastSent) >= HeartbeatInterval
	newEvents := w.log.Version() > w.sentVersion && (fresh.Confirmed || !w.withholdUnconfirmed)
	targets := w.log.Targets().Changes()
	newTargets := !w.started || targets != w.sentTargets
	if !due && !newEvents && !newTargets && fresh.Confirmed == w.confirmed {
		return nil
	}
	update := buildUpdate(w.log, w.sentVersion, fresh, w.withholdUnconfirmed)
	if newTargets {
		update.WeightsAges = w.log.Targets().Ages(now)
		w.sentTargets = targets
	}
	w.sentVersion = max(w.sentVersion, resultingVersion(update))
	w.started = true
	w.confirmed = fresh.Confirmed
	w.lastSent = now
	return update
}

// BuildUpdate returns an update from a version to the newest one of log. If
// withholdUnconfirmed is set, as at control replicas, the update of an
// unconfirmed view contains neither events nor a snapshot. now must be read after fresh.
func BuildUpdate(now time.Time, log *Log, from uint64, fresh Freshness, withholdUnconfirmed bool) *wire.ViewUpdate {
	update := buildUpdate(log, from, fresh, withholdUnconfirmed)
	update.WeightsAges = log.Targets().Ages(now)
	return update
}

func buildUpdate(log *Log, from uint64, fresh Freshness, withholdUnconfirmed bool) *wire.ViewUpdate {
	var update *wire.ViewUpdate
	if withholdUnconfirmed && !fresh.Confirmed {
		update = &wire.ViewUpdate{FromVersion: from, Version: log.Version()}
	} else {
		update = log.UpdateSince(from)
	}
	update.Confirmed = fresh.Confirmed
	update.AgeMs = uint32((fresh.Age + time.Millisecond - 1).Milliseconds())
	update.ClockUs = fresh.ClockUs
	return update
}

// resultingVersion returns the version of a receiver that has applied update, or
// 0 if the update contains no events and no snapshot.
func resultingVersion(update *wire.ViewUpdate) uint64 {
	if update.GetSnapshot() != nil || len(update.GetEvents()) > 0 {
		return update.GetVersion()
	}
	return 0
}
