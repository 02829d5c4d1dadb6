package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// Server serves the Watch and FetchView calls of other processes.
type Server struct {
	log        *view.Log
	freshness  func() view.Freshness
	maxWatches int64
	// WithholdUnconfirmed is set at control replicas, which send no view that
	// they cannot confirm. It must not change while calls are served.
	WithholdUnconfirmed bool
	// Control returns the link addresses of the control replicas, which are sent
	// with each update. If it is nil, none are sent. It must not change while
	// calls are served.
	Control func() []string
	// Loads returns the newest load digest and a channel that is closed when a
	// newer one is available. If it is nil, no digests are sent. It must not
	// change while calls are served.
	Loads func() (*wire.LoadDigest, <-chan struct{})

	watches   atomic.Int64
	closeOnce sync.Once
	closed    chan struct{}
}

// NewServer returns a server of the view in log. It serves at most maxWatches
// concurrent watches. freshness returns whether this process knows that its view
// is the newest.
func NewServer(log *view.Log, freshness func() view.Freshness, maxWatches int64) *Server {
	return &Server{log: log, freshness: freshness, maxWatches: maxWatches, closed: make(chan struct{})}
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
		return true, s.send(call, view.BuildUpdate(s.log, body.FetchView.GetFromVersion(), s.freshness(), s.WithholdUnconfirmed))
	}
	return false, nil
}

func (s *Server) send(call *link.Call, update *wire.ViewUpdate) error {
	if s.Control != nil && update.Loads == nil {
		update.Control = s.Control()
	}
	return call.Send(&wire.Response{
		ViewVersion: s.log.Version(),
		Body:        &wire.Response_ViewUpdate{ViewUpdate: update},
	})
}

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
			if err := s.send(call, &wire.ViewUpdate{Loads: loads}); err != nil {
				return nil // the follower has disconnected
			}
		}
		if update := session.Next(time.Now(), s.freshness()); update != nil {
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

// loads returns the result of s.Loads, or nil values if it is not set.
func (s *Server) loads() (*wire.LoadDigest, <-chan struct{}) {
	if s.Loads == nil {
		return nil, nil
	}
	return s.Loads()
}
