package node

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/control"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/lag"
	"parsleypulley/internal/link"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// replicaHost runs the control replica of a process. If the replica stops because its
// disk is full, the host starts it anew from its files once the disk accepts writes. In
// the meantime calls reach the stopped replica, which refuses them.
//
// It implements link.Handler, ControlAPI and daemon.Views for the current replica.
type replicaHost struct {
	options *ControlOptions
	process *daemon.Process

	mu sync.Mutex
	// current is the replica that runs, or has stopped last.
	current *servedReplica
	// configured holds the configured control addresses.
	configured []string
	// closed is set when no further replica may be started.
	closed bool

	// joining and formation are the part of this process in the formation of a new cluster.
	joining   control.JoinQueue
	formation *control.Formation
	// replacing serializes the replacement of replicas that give up their identity.
	replacing sync.Mutex
}

// servedReplica is a replica with its service.
type servedReplica struct {
	*Replica
	service   *control.Service
	bootstrap *bootstrapper
	// cancel ends the goroutines that belong to the replica.
	cancel context.CancelFunc
	end    sync.Once
	// replaced is closed once another replica runs in place of this one, which gave up its
	// identity, or none could be started because of replaceError.
	replaced     chan struct{}
	replaceError error
	// givenUp is set before such a replica stops.
	givenUp atomic.Bool
}

// stop stops the replica, closes its files and ends its goroutines.
func (r *servedReplica) stop() {
	r.end.Do(func() {
		r.service.StopWatches()
		r.cancel()
		r.Close()
	})
}

// start waits until the disk accepts writes, and starts a replica from the data folder.
func (h *replicaHost) start() error {
	awaitDiskSpace(h.process.Context, h.options.Data, h.options.Storage)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	ctx, cancel := context.WithCancel(h.process.Context)
	r, err := h.newReplica(ctx)
	if err != nil {
		cancel()
		return err
	}
	r.cancel = cancel
	h.current = r
	return nil
}

func (h *replicaHost) newReplica(ctx context.Context) (*servedReplica, error) {
	settings := h.options.Settings
	voters := h.options.founders()
	files := h.options.Storage
	if h.options.Bootstrap {
		files.NewIdentity = founderAt(voters, settings.Address())
	}
	replica, err := StartReplica(h.process, ReplicaOptions{
		Data: h.options.Data, Storage: files, Peers: settings.Control,
		DeclaredLosses: h.options.DeclaredLosses, FormingVoters: h.options.FormingVoters, DeclaresAccounts: h.options.DeclaresAccounts,
	})
	if err != nil {
		return nil, err
	}
	pool := h.process.Pool
	leaderClient := controlclient.New(pool, settings.Control, replica.Machine.Log().Version)
	leaderClient.SetCallTimeout(forwardTimeout)
	options := h.options.Control
	options.LeaderClient = leaderClient
	options.Behind = lag.Process.Behind
	options.SendToReplica = func(ctx context.Context, address string, req *wire.Request) error {
		_, err := pool.Call(ctx, address, req)
		return err
	}
	options.Formation, options.Joining = h.formation, &h.joining
	h.joining.Add(time.Now(), &wire.Replica{Id: replica.Status().ID, Address: settings.Address()})
	options.Peers = &control.Peers{Call: pool.Call, ControlAddresses: h.controlAddresses}
	if h.current != nil { // this process has run a replica before
		now := steady.Now() // read before Ages, so that a pause makes weights older, not newer
		replica.Machine.Log().Targets().Merge(now, h.current.Machine.Log().Targets().Ages(steady.Now()))
	}
	configured := h.configured
	if configured == nil {
		configured = settings.Control
	}
	r := &servedReplica{Replica: replica, service: control.NewService(replica.Node, replica.Machine, options), replaced: make(chan struct{}),
		bootstrap: &bootstrapper{process: h.process, node: replica.Node, self: settings.Address(), firstStart: h.options.Bootstrap, founders: voters, formation: h.formation, configured: configured}}
	r.bootstrap.giveUpFounder = func() { h.giveUpFounder(r) }
	go r.bootstrap.run(ctx)
	go r.service.Run(ctx)
	go followReplicas(ctx, replica.Node, leaderClient)
	return r, nil
}

// run starts the replica anew whenever it has stopped because of a full disk. It returns
// the error of a replica that has stopped for another reason, and nil after close.
func (h *replicaHost) run() error {
	for {
		r := h.replica()
		<-r.Done()
		if r.givenUp.Load() {
			<-r.replaced
			if r.replaceError != nil || h.replica() == r {
				return r.replaceError
			}
			continue
		}
		err := r.Err()
		if !isDiskFull(err) {
			return err
		}
		event.ReplicaWaitsForDisk(err)
		r.stop()
		if err := h.start(); err != nil {
			return err
		}
		if h.replica() == r {
			return nil // closed
		}
	}
}

// replica returns the current replica.
func (h *replicaHost) replica() *servedReplica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// controlAddresses returns the configured control addresses.
func (h *replicaHost) controlAddresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configured == nil {
		return h.options.Settings.Control
	}
	return h.configured
}

// configure replaces the configured control addresses.
func (h *replicaHost) configure(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configured = addresses
	h.current.bootstrap.configure(addresses)
}

// beginStop prepares the replica for a planned stop.
func (h *replicaHost) beginStop(ctx context.Context) {
	r := h.replica()
	r.service.StopWatches()
	HandOver(ctx, r.Node)
}

// close stops the replica.
func (h *replicaHost) close() {
	h.mu.Lock()
	h.closed = true
	r := h.current
	h.mu.Unlock()
	r.stop()
}

func (h *replicaHost) ready() error { return ReplicaReady(h.replica().Node) }

func (h *replicaHost) status() consensus.Status { return h.replica().Status() }

// ServeLink implements link.Handler.
func (h *replicaHost) ServeLink(ctx context.Context, call *link.Call) error {
	// A process that starts is dialled at once when it has called, so that a cluster that
	// forms doesn't wait for the next attempt.
	if address := cmp.Or(call.Request.GetFromAddress(), call.Request.GetConsensus().GetSender().GetAddress()); address != "" {
		h.process.Pool.Heard(address)
	}
	return h.replica().service.ServeLink(ctx, call)
}

// Snapshot implements daemon.Views.
func (h *replicaHost) Snapshot() *view.Snapshot { return h.replica().Machine.Log().Snapshot() }

// Version implements daemon.Views.
func (h *replicaHost) Version() uint64 { return h.replica().Machine.Log().Version() }

// PutRoutes implements ControlAPI.
func (h *replicaHost) PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error) {
	return h.replica().service.PutRoutes(ctx, change)
}

// PutWeights implements ControlAPI.
func (h *replicaHost) PutWeights(ctx context.Context, target *wire.WeightsTarget) error {
	return h.replica().service.PutWeights(ctx, target)
}

// ReadRoutes implements ControlAPI.
func (h *replicaHost) ReadRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	return h.replica().service.ReadRoutes(ctx)
}

// Announce implements ControlAPI.
func (h *replicaHost) Announce(ctx context.Context, announce *wire.Announce) error {
	return h.replica().service.Announce(ctx, announce)
}
