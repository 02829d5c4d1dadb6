// Package node assembles the roles that serve deployments without agents: a
// control replica whose operators and backend servers call it over HTTP, and a
// router that forwards calls by the route table.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/control"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// ControlOptions are the parts of a control replica.
type ControlOptions struct {
	Settings *daemon.Settings
	// Data is the data folder; empty on a VM that keeps no replica and passes calls
	// on.
	Data string
	// Listen is the address for operators and backend servers, ip:port.
	Listen string
	// Bootstrap is set when the whole installation starts for the first time.
	Bootstrap bool
	Control   control.Options
	// Handler returns the handler of Listen.
	Handler func(ControlAPI, *view.Store) http.Handler
	// WatchControlAddresses calls update whenever the link addresses of the control replicas
	// in the settings change, until ctx ends; nil is not called.
	WatchControlAddresses func(ctx context.Context, update func(addresses []string))
}

// ControlAPI is what control offers to operators and backend servers.
type ControlAPI interface {
	PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error)
	PutWeights(ctx context.Context, target *wire.WeightsTarget) error
	ReadRoutes(ctx context.Context) (*wire.RouteDocument, error)
	Announce(ctx context.Context, announce *wire.Announce) error
}

// Times of the listener for operators and backend servers.
const (
	outsideReadTimeout = 10 * time.Second
	outsideIdleTimeout = 15 * time.Second
	maxOutside         = 1024
	replicaSync        = 200 * time.Millisecond
	// forwardTimeout bounds a call that is passed on to the leader: callers wait for
	// a second in all, and another replica may lead by then.
	forwardTimeout = 400 * time.Millisecond
)

// RunControl serves operators and backend servers until the planned stop, and
// keeps a replica of the state where there is a data folder.
func RunControl(o ControlOptions) error {
	if o.Data == "" {
		return runRelay(o)
	}
	return runReplica(o)
}

func runReplica(o ControlOptions) error {
	p, err := daemon.NewProcess(o.Settings, link.RoleControl)
	if err != nil {
		return err
	}
	awaitSpace(p.Context, o.Data)
	replica, err := StartReplica(p, o.Data, o.Settings.Control)
	if err != nil {
		return err
	}
	defer replica.Close()
	node, machine := replica.Node, replica.Machine
	leader := controlclient.New(p.Pool, o.Settings.Control, machine.Log().Version)
	leader.SetCallTimeout(forwardTimeout)
	o.Control.LeaderClient = leader
	o.Control.SendToReplica = func(ctx context.Context, address string, req *wire.Request) error {
		_, err := p.Pool.Call(ctx, address, req)
		return err
	}
	service := control.NewService(node, machine, o.Control)
	daemon.PublishView(machine.Log(), nil)
	daemon.PublishReplica(node)
	if err := p.Serve(link.Handler(service), func() error { return ReplicaReady(node) }); err != nil {
		return err
	}
	stop, err := o.serveOutside(p, service, machine.Log())
	if err != nil {
		return err
	}
	present := &presence{process: p, node: node, self: o.Settings.Address(), begins: o.Bootstrap, configured: o.Settings.Control}
	if o.WatchControlAddresses != nil {
		go o.WatchControlAddresses(p.Context, present.configure)
	}
	go present.run(p.Context)
	go service.Run(p.Context)
	go followReplicas(p.Context, node, leader)
	p.Go(func() error {
		<-node.Done()
		if isFull(node.Err()) {
			event.ReplicaWaitsForDisk(node.Err())
			awaitSpace(p.Context, o.Data)
		}
		return node.Err()
	})
	return p.Wait(func(ctx context.Context) {
		service.StopWatches()
		TransferLeadership(ctx, node)
		stop(ctx)
	})
}

// serveOutside serves operators and backend servers.
func (o *ControlOptions) serveOutside(p *daemon.Process, outside ControlAPI, views *view.Log) (func(context.Context), error) {
	return ServeHTTP(p, o.Listen, "outside", maxOutside, &http.Server{
		Handler: o.Handler(outside, views.Store()), ReadTimeout: outsideReadTimeout, IdleTimeout: outsideIdleTimeout,
	})
}

// ServeHTTP serves on address, to at most maxConnections at once, and returns how to
// stop it.
func ServeHTTP(p *daemon.Process, address, name string, maxConnections int, server *http.Server) (func(context.Context), error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	ln = daemon.LimitListener(ln, name, maxConnections)
	p.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return func(ctx context.Context) {
		if err := server.Shutdown(ctx); err != nil {
			event.PlannedStopCutRequests(name, err)
		}
	}, nil
}

// followReplicas tells the client of the leader which replicas there are.
func followReplicas(ctx context.Context, node *consensus.Node, leader *controlclient.Client) {
	ticker := time.NewTicker(replicaSync)
	defer ticker.Stop()
	for {
		var addresses []string
		for _, r := range node.Status().Replicas {
			addresses = append(addresses, r.GetAddress())
		}
		leader.SetAddresses(addresses)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ReplicaReady reports why a replica can't serve, or nil.
func ReplicaReady(node *consensus.Node) error {
	if !node.Status().Confirmed {
		return errors.New("no quorum contact")
	}
	return nil
}

// TransferLeadership passes leadership on before a planned stop.
func TransferLeadership(ctx context.Context, node *consensus.Node) {
	if node.Status().Role != consensus.Leader {
		return
	}
	if err := node.Transfer(ctx); err != nil && !fault.Is(err, fault.NotLeader) {
		event.LeadershipTransferFailed(err)
	}
}
