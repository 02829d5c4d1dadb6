package view

import (
	"time"

	"parsleypulley/internal/wire"
)

// HeartbeatInterval is the time between the updates of a watch when nothing
// changes.
const HeartbeatInterval = 400 * time.Millisecond

// Freshness tells how well a process knows that its view is the newest.
type Freshness struct {
	// Confirmed is set when a control replica with quorum contact vouched for
	// the view within MaxAge.
	Confirmed bool
	// Age is the time since then.
	Age time.Duration
}

// WatchSession is the serving end of one watch: it decides what to send and when.
type WatchSession struct {
	log *Log
	// withhold is set at control replicas, which hand out nothing that they
	// can't confirm.
	withhold  bool
	sent      uint64
	confirmed bool
	started   bool
	lastSent  time.Time
}

// NewWatchSession returns the serving end of a watch from a version on. A control
// replica sets withhold.
func NewWatchSession(log *Log, from uint64, withhold bool) *WatchSession {
	return &WatchSession{log: log, sent: from, withhold: withhold}
}

// Next returns the update to send now, or nil. Call it when the log's store has
// changed, and at least once in each HeartbeatInterval.
func (w *WatchSession) Next(now time.Time, fresh Freshness) *wire.ViewUpdate {
	due := !w.started || now.Sub(w.lastSent) >= HeartbeatInterval
	news := w.log.Version() > w.sent && (fresh.Confirmed || !w.withhold)
	if !due && !news && fresh.Confirmed == w.confirmed {
		return nil
	}
	update := BuildUpdate(w.log, w.sent, fresh, w.withhold)
	w.sent = max(w.sent, reaches(update))
	w.started = true
	w.confirmed = fresh.Confirmed
	w.lastSent = now
	return update
}

// BuildUpdate returns the update that answers a FetchView. With withhold, as set at
// control replicas, an unconfirmed view is not handed out.
func BuildUpdate(log *Log, from uint64, fresh Freshness, withhold bool) *wire.ViewUpdate {
	var update *wire.ViewUpdate
	if withhold && !fresh.Confirmed {
		update = &wire.ViewUpdate{FromVersion: from, Version: log.Version()}
	} else {
		update = log.UpdateSince(from)
	}
	update.Confirmed = fresh.Confirmed
	update.AgeMs = uint32(fresh.Age.Milliseconds())
	return update
}

// reaches returns the version that a receiver of update has afterwards, as far
// as the update tells.
func reaches(update *wire.ViewUpdate) uint64 {
	if update.GetSnapshot() != nil || len(update.GetEvents()) > 0 {
		return update.GetVersion()
	}
	return 0
}
