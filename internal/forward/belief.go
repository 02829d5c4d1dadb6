package forward

import (
	"parsleypulley/internal/event"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// belief logs what a router believes of the state when that changes.
type belief struct {
	// source tells where the view is followed from; nil is not told.
	source    func() string
	version   uint64
	confirmed bool
}

// adopt notes the view that the router decides by.
func (b *belief) adopt(s *view.Snapshot) {
	if s.Version == b.version {
		return
	}
	b.version = s.Version
	ready := 0
	for _, m := range s.Members() {
		if m.GetState() == wire.BackendState_BACKEND_STATE_READY {
			ready++
		}
	}
	retainMetrics(s)
	event.ViewAdopted(s.Version, s.Routes.Version(), len(s.Members()), ready)
}

// confirm notes whether the view is known to be the newest.
func (b *belief) confirm(s *view.Snapshot, f view.Freshness) {
	if f.Confirmed == b.confirmed {
		return
	}
	b.confirmed = f.Confirmed
	if f.Confirmed {
		event.ViewConfirmed(s.Version, b.from())
	} else {
		event.ViewUnconfirmed(s.Version, f.Age, b.from())
	}
}

func (b *belief) from() string {
	if b.source == nil {
		return ""
	}
	return b.source()
}
