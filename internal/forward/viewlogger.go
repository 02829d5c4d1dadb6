package forward

import (
	"parsleypulley/internal/event"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// viewLogger logs changes of the view that a router uses, and whether the view is
// confirmed.
type viewLogger struct {
	// source returns the address of the process from which the view is followed.
	// If it is nil, the log omits the address.
	source func() string
	// version is the version logged last.
	version uint64
	// confirmed is set if the view was confirmed when its freshness was last
	// logged.
	confirmed bool
}

// setView logs a new version of the view and drops the metrics of routes and
// backend servers that it no longer has.
func (l *viewLogger) setView(s *view.Snapshot) {
	if s.Version == l.version {
		return
	}
	l.version = s.Version
	ready := 0
	for _, m := range s.Members() {
		if m.GetState() == wire.BackendState_BACKEND_STATE_READY {
			ready++
		}
	}
	retainMetrics(s)
	event.ViewAdopted(s.Version, s.Routes.Version(), s.Routes.Table.GetSharedCacheGeneration(), len(s.Members()), ready)
}

// setFreshness logs when the view becomes confirmed or unconfirmed.
func (l *viewLogger) setFreshness(s *view.Snapshot, f view.Freshness) {
	if f.Confirmed == l.confirmed {
		return
	}
	l.confirmed = f.Confirmed
	if f.Confirmed {
		event.ViewConfirmed(s.Version, l.sourceAddress())
	} else {
		event.ViewUnconfirmed(s.Version, f.Age, l.sourceAddress())
	}
}

func (l *viewLogger) sourceAddress() string {
	if l.source == nil {
		return ""
	}
	return l.source()
}
