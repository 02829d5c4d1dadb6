package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// Server serves the Watch and FetchView calls of other processes.
type Server struct {
	log       *view.Log
	freshness func() view.Freshness
	// maxWatches is the maximum number of concurrent watches.
	maxWatches int64
	// WithholdUnconfirmed is set at control replicas, which send no view that
	// they cannot confirm. It must not change while calls are served.
	WithholdUnconfirmed bool
	// ControlAddresses returns the link addresses of the control replicas, which
	// are sent with each update. If it is nil, none are sent. It must not change
	// while calls are served.
	ControlAddresses func() []string
	// LoadDigest returns the newest load digest and a channel that is closed when a
	// newer one is available. If it is nil, no digests are sent. It must not
	// change while calls are served.
	LoadDigest func() (*wire.LoadDigest, <-chan struct{})

	digests encodedLoads

	// watches is the number of watches being served.
	watches   atomic.Int64
	closeOnce sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

// NewServer returns a server of the view in log. It serves at most maxWatches
// concurrent watches. freshness returns whether this process knows that its view
// is the newest.
func NewServer(log *view.Log, freshness func() view.Freshness, maxWatches int64) *Server {
	return &Server{log: log, freshness: freshness, maxWatches: maxWatches, closed: make(chan struct{})}
}

// clockOrigin is the origin of the clock that updates carry.
var clockOrigin = steady.Now()

// stampedFreshness returns the freshness with a reading of the clock from before it, so
// that a pause of this process in between makes the view look older, not newer.
func (s *Server) stampedFreshness() view.Freshness {
	clock := uint64(steady.Since(clockOrigin).Microseconds()) + 1 // 0 would mean no reading
	fresh := s.freshness()
	fresh.ClockUs = clock
	return fresh
}

// Close ends all watches, so that a planned stop does not wait for them.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

// Serve handles call if it is a Watch or a FetchView call, and reports whether it
// is.
func (s *Server) Serve(ctx context.Context, call *link.Call) (bool, error) {
	switch body := call.Request.Body.(type) {
	case *wire.Request_Watch:
		return true, s.watch(ctx, call, body.Watch.GetFromVersion())
	case *wire.Request_FetchView:
		fresh := s.stampedFreshness() // before the time of the ages; see view.BuildUpdate
		return true, s.send(call, view.BuildUpdate(steady.Now(), s.log, body.FetchView.GetFromVersion(), fresh, s.WithholdUnconfirmed))
	}
	return false, nil
}

func (s *Server) send(call *link.Call, update *wire.ViewUpdate) error {
	if s.ControlAddresses != nil {
		update.Control = s.ControlAddresses()
	}
	return call.Send(&wire.Response{
		ViewVersion: s.log.Version(),
		Body:        &wire.Response_ViewUpdate{ViewUpdate: update},
	})
}

// watch serves a watch that starts at version from, until ctx ends, the follower
// disconnects or Close is called.
func (s *Server) watch(ctx context.Context, call *link.Call, from uint64) error {
	if s.watches.Add(1) > s.maxWatches {
		s.watches.Add(-1)
		return fault.New(fault.Overloaded, fault.NotRun, "%d watches are served already", s.maxWatches)
	}
	defer s.watches.Add(-1)
	session := view.NewWatchSession(s.log, from, s.WithholdUnconfirmed)
	ticker := time.NewTicker(view.HeartbeatInterval / 2)
	defer ticker.Stop()
	var sent *wire.LoadDigest
	for {
		changed := s.log.Store().Changed()
		loads, newer := s.loads()
		if loads != sent {
			sent = loads
			if err := s.sendLoads(call, loads); err != nil {
				return nil // the follower has disconnected
			}
		}
		fresh := s.stampedFreshness() // before the time of the ages; see view.WatchSession.Next
		if update := session.Next(steady.Now(), fresh); update != nil {
			if err := s.send(call, update); err != nil {
				return nil // the follower has disconnected
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.closed:
			return nil
		case <-changed:
		case <-newer:
		case <-ticker.C:
		}
	}
}

// loads returns the result of s.LoadDigest, or nil values if it is not set.
func (s *Server) loads() (*wire.LoadDigest, <-chan struct{}) {
	if s.LoadDigest == nil {
		return nil, nil
	}
	return s.LoadDigest()
}
