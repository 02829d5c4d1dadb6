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

// Server answers the Watch and FetchView calls of other processes.
type Server struct {
	log        *view.Log
	fresh      func() view.Freshness
	maxWatches int64
	// WithholdUnconfirmed is set at control replicas, which hand out nothing that they
	// can't confirm. It must not change while calls are served.
	WithholdUnconfirmed bool
	// Control returns the link addresses of the control replicas, handed out with
	// each update; nil hands out none. It must not change while calls are served.
	Control func() []string
	// Loads returns the newest load digest and a channel that is closed once there
	// is a newer one; nil hands out none. It must not change while calls are served.
	Loads func() (*wire.LoadDigest, <-chan struct{})

	watches atomic.Int64
	once    sync.Once
	closed  chan struct{}
}

// NewServer returns a server of log for at most maxWatches watches at once.
// fresh tells how well this process knows that its view is the newest.
func NewServer(log *view.Log, fresh func() view.Freshness, maxWatches int64) *Server {
	return &Server{log: log, fresh: fresh, maxWatches: maxWatches, closed: make(chan struct{})}
}

// Close ends all watches, so that a planned stop need not wait for them.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// Serve answers call if it asks for the view, and reports whether it did.
func (s *Server) Serve(ctx context.Context, call *link.Call) (bool, error) {
	switch body := call.Request.Body.(type) {
	case *wire.Request_Watch:
		return true, s.watch(ctx, call, body.Watch.GetFromVersion())
	case *wire.Request_FetchView:
		return true, s.send(call, view.BuildUpdate(s.log, body.FetchView.GetFromVersion(), s.fresh(), s.WithholdUnconfirmed))
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
	watcher := view.NewWatchSession(s.log, from, s.WithholdUnconfirmed)
	ticker := time.NewTicker(view.HeartbeatInterval / 2)
	defer ticker.Stop()
	var sent *wire.LoadDigest
	for {
		changed := s.log.Store().Changed()
		loads, newer := s.loads()
		if loads != sent {
			sent = loads
			if err := s.send(call, &wire.ViewUpdate{Loads: loads}); err != nil {
				return nil // the follower is gone
			}
		}
		if update := watcher.Next(time.Now(), s.fresh()); update != nil {
			if err := s.send(call, update); err != nil {
				return nil // the follower is gone
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

// loads returns the newest load digest and a channel that is closed once there
// is a newer one, or nil for both.
func (s *Server) loads() (*wire.LoadDigest, <-chan struct{}) {
	if s.Loads == nil {
		return nil, nil
	}
	return s.Loads()
}
