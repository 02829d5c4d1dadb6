package view

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fleet"
	"parsleypulley/internal/wire"
)

// LogLimits limit the events that a Log keeps.
type LogLimits struct {
	// Events is the maximum number of events.
	Events int
	// Bytes is the maximum encoded size of all events together.
	Bytes int
}

// DefaultLogLimits returns the limits for all deployments. They cover some hours
// of changes at 10,000 a day.
func DefaultLogLimits() LogLimits {
	return LogLimits{Events: 4096, Bytes: 4 << 20}
}

// Log holds the newest snapshot and the latest events that led to it, from which it
// builds updates for other processes. It is safe for concurrent use.
type Log struct {
	limits LogLimits
	store  *Store
	// targets tells when the weights targets of the view were named.
	targets *fleet.TargetHistory

	mu sync.Mutex
	// newestAt is set by SetNewestAt.
	newestAt func() time.Time
	// events are the newest events. The last one led to the newest snapshot.
	events []*wire.ViewEvent
	// sizes are the encoded sizes of the events.
	sizes []int
	// bytes is the sum of sizes.
	bytes int
}

// NewLog returns a log that holds the empty view and no events.
func NewLog(limits LogLimits) *Log {
	return &Log{limits: limits, store: NewStore(), targets: fleet.NewTargetHistory(), newestAt: func() time.Time { return time.Time{} }}
}

// SetNewestAt sets the function that returns when the view, or an earlier one, was last confirmed
// to be the newest, and a zero time if it never was. It is called before a view with other weights
// targets replaces the present one, and must not call the log. Until it is set, no view counts as
// confirmed.
func (l *Log) SetNewestAt(newestAt func() time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestAt = newestAt
}

// Targets tells when the weights targets of the view were named. It has those of a view before the
// view can be read.
func (l *Log) Targets() *fleet.TargetHistory { return l.targets }

// recordTargets records the weights targets of a view that is about to replace the present one.
func (l *Log) recordTargets(next *Snapshot) {
	if !slices.Equal(next.WeightsTargets(), l.store.Load().WeightsTargets()) {
		l.targets.Record(l.newestAt(), next.WeightsTargets())
	}
}

// Store returns the store that holds the newest snapshot.
func (l *Log) Store() *Store { return l.store }

// Snapshot returns the newest snapshot.
func (l *Log) Snapshot() *Snapshot { return l.store.Load() }

// Version returns the version of the newest snapshot.
func (l *Log) Version() uint64 { return l.store.Load().Version }

// watchFrom returns the version from which a source is asked for updates. A view of an earlier build is asked for
// in full, since the source may have the whole of the same version.
func (l *Log) watchFrom() uint64 {
	s := l.store.Load()
	if s.lacksKeyStatement() {
		return 0
	}
	return s.Version
}

// Append applies events that follow the newest snapshot. If it fails, the log is
// unchanged and the error wraps ErrGap.
func (l *Log) Append(events ...*wire.ViewEvent) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(events)
}

func (l *Log) append(events []*wire.ViewEvent) error {
	next, err := l.store.Load().With(events...)
	if err != nil {
		return err
	}
	for _, event := range events {
		l.appendEvent(event)
	}
	l.recordTargets(next)
	l.store.replace(next)
	return nil
}

// appendEvent stores an event and drops the oldest events that exceed the limits.
func (l *Log) appendEvent(event *wire.ViewEvent) {
	size := proto.Size(event)
	l.events = append(l.events, event)
	l.sizes = append(l.sizes, size)
	l.bytes += size
	drop := 0
	for len(l.events)-drop > l.limits.Events || l.bytes > l.limits.Bytes {
		l.bytes -= l.sizes[drop]
		l.events[drop] = nil
		drop++
	}
	l.events = l.events[drop:]
	l.sizes = l.sizes[drop:]
}

// Reset replaces the contents of the log with a snapshot if the snapshot is
// newer.
func (l *Log) Reset(v *wire.View) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reset(v)
}

func (l *Log) reset(v *wire.View) error {
	current := l.store.Load()
	if v.GetVersion() < current.Version || v.GetVersion() == current.Version && !current.lacksKeyStatement() {
		return nil // it can't supersede the current view, so it need not be compiled
	}
	next, err := FromMessage(v)
	if err != nil {
		return err
	}
	l.recordTargets(next)
	if l.store.replace(next) {
		l.events, l.sizes, l.bytes = nil, nil, 0
	}
	return nil
}

// UpdateSince returns an update from a version to the newest one. It is empty if
// there is nothing newer, and otherwise contains events, or a snapshot if the
// events are no longer stored. An update from version 0 always contains a
// snapshot.
func (l *Log) UpdateSince(from uint64) *wire.ViewUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.store.Load()
	update := &wire.ViewUpdate{FromVersion: from, Version: newest.Version}
	if from >= newest.Version {
		return update
	}
	missing := newest.Version - from
	if from == 0 || missing > uint64(len(l.events)) {
		update.Snapshot = newest.Message()
		return update
	}
	update.Events = append(update.Events, l.events[uint64(len(l.events))-missing:]...)
	return update
}

// Apply applies an update from another process and reports whether the view
// changed. It ignores updates, and events of an update, that are not newer than
// the view. The error wraps ErrGap if the events do not follow the view.
func (l *Log) Apply(update *wire.ViewUpdate) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.store.Load().Version
	if update.GetSnapshot() != nil {
		if err := l.reset(update.GetSnapshot()); err != nil {
			return false, fmt.Errorf("take snapshot: %w", err)
		}
	}
	events := update.GetEvents()
	for len(events) > 0 && events[0].GetVersion() <= l.store.Load().Version {
		events = events[1:]
	}
	if err := l.append(events); err != nil {
		return l.store.Load().Version > before, err
	}
	return l.store.Load().Version > before, nil
}
