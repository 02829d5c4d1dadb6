// Package follow binds the view of a process to its links: it carries the calls
// that a view.Follower decides on, and serves the view to other processes.
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
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	tickInterval = 50 * time.Millisecond
	fetchTimeout = time.Second
	// maxAgentSources bounds the agents of the view that are kept as sources.
	maxAgentSources = 8
)

// Options are the parts of a Driver.
type Options struct {
	Role view.Role
	// Seed differs between processes.
	Seed uint64
	Log  *view.Log
	Pool *link.Pool
	// Sources are the processes known from the settings.
	Sources []view.Source
	// SelfAddress is the process's own link address, never followed.
	SelfAddress string
	// OnControlChanged is called with the link addresses of the control replicas
	// whenever a source names others; nil is not called.
	OnControlChanged func(addresses []string)
	// Loads is called with each load digest; nil is not called.
	Loads func(digest *wire.LoadDigest)
}

// Driver keeps a view.Log up to date from other processes.
type Driver struct {
	opts Options

	mu sync.Mutex
	// control holds the link addresses of the control replicas last heard.
	control  []string
	follower *view.Follower
	cancels  map[uint64]context.CancelFunc
}

// New returns a driver; Run starts it.
func New(opts Options) *Driver {
	d := &Driver{opts: opts, cancels: map[uint64]context.CancelFunc{}}
	d.follower = view.NewFollower(view.FollowerConfig{Role: opts.Role, Seed: opts.Seed, Log: opts.Log}, time.Now())
	d.follower.SetSources(opts.Sources)
	return d
}

// Run follows until ctx ends.
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

// SetConfiguredSources replaces the sources known from the settings.
func (d *Driver) SetConfiguredSources(sources []view.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opts.Sources = sources
	d.setSources(d.opts.Log.Snapshot())
}

// setSources offers the sources known from the settings and a few agents of the
// view, spread by the seed; d.mu is held.
func (d *Driver) setSources(s *view.Snapshot) {
	sources := d.configured()
	members := s.Members()
	for i := range min(maxAgentSources, len(members)) {
		m := members[(int(d.opts.Seed%uint64(len(members)))+i)%len(members)]
		if m.Backend.AgentAddress != d.opts.SelfAddress {
			sources = append(sources, view.Source{Address: m.Backend.AgentAddress, Role: view.RoleAgent})
		}
	}
	d.follower.SetSources(sources)
}

// configured returns the sources known from the settings. Once the control
// replicas are known, other control addresses rank as routers: they keep no replica.
// d.mu is held.
func (d *Driver) configured() []view.Source {
	sources := slices.Clone(d.opts.Sources)
	for i, source := range sources {
		if source.Role == view.RoleControl && len(d.control) > 0 && !slices.Contains(d.control, source.Address) {
			sources[i].Role = view.RoleRouter
		}
	}
	return sources
}

// step runs one step of the follower and carries out what it decides.
func (d *Driver) step(ctx context.Context, f func(now time.Time) []view.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range f(time.Now()) {
		switch a.Kind {
		case view.StartWatch, view.StartFetch:
			callCtx, cancel := context.WithCancel(ctx)
			d.cancels[a.Call] = cancel
			go d.carry(ctx, callCtx, a)
		case view.StopCall:
			d.end(a.Call)
		}
	}
}

// end cancels a call; d.mu is held.
func (d *Driver) end(call uint64) {
	if cancel := d.cancels[call]; cancel != nil {
		cancel()
		delete(d.cancels, call)
	}
}

// carry runs one call and hands its updates to the follower.
func (d *Driver) carry(ctx, callCtx context.Context, a view.Action) {
	err := d.receive(ctx, callCtx, a)
	if err != nil && callCtx.Err() == nil {
		event.ViewSourceFailed(a.Address, err)
	}
	d.step(ctx, func(now time.Time) []view.Action {
		d.end(a.Call)
		return d.follower.CallEnded(now, a.Call, err)
	})
}

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
			if d.opts.Loads != nil {
				d.opts.Loads(loads)
			}
			continue
		}
		d.noteControl(update.GetControl())
		d.step(ctx, func(now time.Time) []view.Action { return d.follower.Update(now, a.Call, update) })
	}
}

// noteControl takes the control replicas that a source names as further sources.
func (d *Driver) noteControl(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	if !d.takeControl(addresses) {
		return
	}
	event.ControlReplicasChanged(strings.Join(addresses, ","))
	if d.opts.OnControlChanged != nil {
		d.opts.OnControlChanged(addresses)
	}
}

// takeControl takes the control replicas as sources, and reports whether they are
// others than before.
func (d *Driver) takeControl(addresses []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(addresses, d.control) {
		return false
	}
	d.control = addresses
	d.setSources(d.opts.Log.Snapshot())
	for _, address := range addresses {
		if address != d.opts.SelfAddress {
			d.follower.Learn(view.Source{Address: address, Role: view.RoleControl})
		}
	}
	return true
}

// Control returns the link addresses of the control replicas last heard.
func (d *Driver) Control() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.control
}

// ObserveVersion tells of a newer view version seen in a message from address.
func (d *Driver) ObserveVersion(version uint64, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.ObserveVersion(time.Now(), address, version)
}

// Learn adds a process that was met as a source.
func (d *Driver) Learn(source view.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.Learn(source)
}

// Freshness returns how well the view is known to be the newest.
func (d *Driver) Freshness() view.Freshness {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follower.Freshness(time.Now())
}

// Source returns the address of the process followed, or an empty string.
func (d *Driver) Source() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follower.Source()
}
