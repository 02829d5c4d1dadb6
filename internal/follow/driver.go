// Package follow connects a process's view to other processes: it performs the
// calls that a view.Follower decides on, and serves the view to other processes.
package follow

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// tickInterval is the time between two calls of Follower.Tick.
	tickInterval = 50 * time.Millisecond
	// fetchTimeout limits the duration of a fetch.
	fetchTimeout = time.Second
	// maxAgentSources limits the agents of the view that are used as sources.
	maxAgentSources = 8
)

// Options configure a Driver.
type Options struct {
	// Role is the role of the process that follows.
	Role view.Role
	// Seed distributes the processes over their sources. It must differ between
	// processes.
	Seed uint64
	// Log receives the updates.
	Log *view.Log
	// Pool opens the calls to other processes.
	Pool *link.Pool
	// Sources are the processes listed in the settings.
	Sources []view.Source
	// SelfAddress is the link address of this process, which is never used as a
	// source.
	SelfAddress string
	// OnControlChanged is called with the link addresses of the control replicas
	// when a source reports that they have changed. It may be nil.
	OnControlChanged func(addresses []string)
	// OnLoads is called with each load digest. It may be nil.
	OnLoads func(digest *wire.LoadDigest)
}

// Driver keeps a view.Log up to date with the view of other processes.
type Driver struct {
	opts Options

	mu sync.Mutex
	// controlAddresses are the link addresses of the control replicas as last
	// reported.
	controlAddresses []string
	follower         *view.Follower
	// cancels holds the cancel functions of open calls by call ID.
	cancels map[uint64]context.CancelFunc
}

// New returns a Driver. Run starts it.
func New(opts Options) *Driver {
	d := &Driver{opts: opts, cancels: map[uint64]context.CancelFunc{}}
	d.follower = view.NewFollower(view.FollowerConfig{Role: opts.Role, Seed: opts.Seed, Log: opts.Log}, steady.Now())
	d.follower.SetSources(opts.Sources)
	return d
}

// Run follows other processes until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var version uint64
	for {
		if s := d.opts.Log.Snapshot(); s.Version != version {
			version = s.Version
			d.mu.Lock()
			d.setSources(s)
			d.mu.Unlock()
		}
		d.step(ctx, func(now time.Time) []view.Action { return d.follower.Tick(now) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// SetConfiguredSources replaces the sources listed in the settings.
func (d *Driver) SetConfiguredSources(sources []view.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opts.Sources = sources
	d.setSources(d.opts.Log.Snapshot())
}

// setSources passes the configured sources and a few agents of the view to the
// follower. The seed selects the agents, so that processes choose different ones.
// d.mu must be held.
func (d *Driver) setSources(s *view.Snapshot) {
	sources := d.configuredSources()
	members := s.Members()
	for i := range min(maxAgentSources, len(members)) {
		m := members[(int(d.opts.Seed%uint64(len(members)))+i)%len(members)]
		if m.Backend.AgentAddress != d.opts.SelfAddress {
			sources = append(sources, view.Source{Address: m.Backend.AgentAddress, Role: view.RoleAgent})
		}
	}
	d.follower.SetSources(sources)
}

// configuredSources returns the sources listed in the settings. Once the control
// replicas are known, other control addresses get the role of routers, since they
// are not replicas. d.mu must be held.
func (d *Driver) configuredSources() []view.Source {
	sources := slices.Clone(d.opts.Sources)
	for i, source := range sources {
		if source.Role == view.RoleControl && len(d.controlAddresses) > 0 && !slices.Contains(d.controlAddresses, source.Address) {
			sources[i].Role = view.RoleRouter
		}
	}
	return sources
}

// step calls f, which runs one step of the follower, and performs the resulting
// actions.
func (d *Driver) step(ctx context.Context, f func(now time.Time) []view.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range f(steady.Now()) {
		switch a.Kind {
		case view.StartWatch, view.StartFetch:
			callCtx, cancel := context.WithCancel(ctx)
			d.cancels[a.CallID] = cancel
			go d.runCall(ctx, callCtx, a)
		case view.StopCall:
			d.cancelCall(a.CallID)
		}
	}
}

// cancelCall cancels a call. d.mu must be held.
func (d *Driver) cancelCall(callID uint64) {
	if cancel := d.cancels[callID]; cancel != nil {
		cancel()
		delete(d.cancels, callID)
	}
}

// runCall runs one call, passes its updates to the follower and reports its end.
// callCtx limits this call; calls that the follower opens in response run under
// ctx.
func (d *Driver) runCall(ctx, callCtx context.Context, a view.Action) {
	err := recovery.Call("view updates", func() error { return d.receive(ctx, callCtx, a) })
	if err != nil && callCtx.Err() == nil {
		event.ViewSourceFailed(a.Address, err)
	}
	d.step(ctx, func(now time.Time) []view.Action {
		d.cancelCall(a.CallID)
		return d.follower.CallEnded(now, a.CallID, err)
	})
}

// receive opens the call of a and passes its updates to the follower until the
// call ends. The contexts are those of runCall.
func (d *Driver) receive(ctx, callCtx context.Context, a view.Action) error {
	req := &wire.Request{ViewVersion: a.FromVersion}
	if a.Kind == view.StartWatch {
		req.Body = &wire.Request_Watch{Watch: &wire.Watch{FromVersion: a.FromVersion}}
	} else {
		req.Body = &wire.Request_FetchView{FetchView: &wire.FetchView{FromVersion: a.FromVersion}}
		var cancel context.CancelFunc
		callCtx, cancel = context.WithTimeout(callCtx, fetchTimeout)
		defer cancel()
	}
	stream, err := d.opts.Pool.Open(callCtx, a.Address, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		resp, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		update := resp.GetViewUpdate()
		if update == nil {
			return fault.New(fault.Internal, fault.Unknown, "answer to a watch without an update")
		}
		if loads := update.GetLoads(); loads != nil {
			if d.opts.OnLoads != nil {
				d.opts.OnLoads(loads)
			}
			continue
		}
		d.updateControlAddresses(update.GetControl())
		d.step(ctx, func(now time.Time) []view.Action { return d.follower.Update(now, a.CallID, update) })
	}
}

// updateControlAddresses adds the control replicas reported by a source to the
// sources. If they have changed, it logs the change and calls OnControlChanged.
func (d *Driver) updateControlAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	if !d.setControlAddresses(addresses) {
		return
	}
	event.ControlReplicasChanged(strings.Join(addresses, ","))
	if d.opts.OnControlChanged != nil {
		d.opts.OnControlChanged(addresses)
	}
}

// setControlAddresses sets the control replicas, adds them to the sources, and
// reports whether they have changed.
func (d *Driver) setControlAddresses(addresses []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(addresses, d.controlAddresses) {
		return false
	}
	d.controlAddresses = addresses
	d.setSources(d.opts.Log.Snapshot())
	for _, address := range addresses {
		if address != d.opts.SelfAddress {
			d.follower.Learn(view.Source{Address: address, Role: view.RoleControl})
		}
	}
	return true
}

// ControlAddresses returns the link addresses of the control replicas as last
// reported.
func (d *Driver) ControlAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controlAddresses
}

// ObserveVersion records the view version contained in a message from the process
// at address.
func (d *Driver) ObserveVersion(version uint64, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.ObserveVersion(steady.Now(), address, version)
}

// Learn adds a source found at runtime.
func (d *Driver) Learn(source view.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.Learn(source)
}

// Freshness returns whether the view is known to be the newest, and the age of
// the last confirmation.
func (d *Driver) Freshness() view.Freshness {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follower.Freshness(steady.Now())
}

// SourceAddress returns the link address of the process that is followed, or an
// empty string.
func (d *Driver) SourceAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follower.SourceAddress()
}
