// Package node assembles the roles for deployments without agents: a control replica
// that operators and backend servers call over HTTP, and a router that forwards calls
// by the route table.
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

// ControlOptions configures a control process.
type ControlOptions struct {
	Settings *daemon.Settings
	// Data is the data folder. It is empty on a VM without a replica, which forwards
	// calls to the leader.
	Data string
	// Listen is the address (ip:port) for calls of operators and backend servers.
	Listen string
	// Bootstrap is set when the whole installation starts for the first time.
	Bootstrap bool
	Control   control.Options
	// Handler returns the HTTP handler for calls at Listen.
	Handler func(ControlAPI, *view.Store) http.Handler
	// WatchControlAddresses calls update whenever the link addresses of the control
	// replicas in the settings change, until ctx ends. It may be nil.
	WatchControlAddresses func(ctx context.Context, update func(addresses []string))
}

// ControlAPI is the interface of control for operators and backend servers.
type ControlAPI interface {
	PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error)
	PutWeights(ctx context.Context, target *wire.WeightsTarget) error
	ReadRoutes(ctx context.Context) (*wire.RouteDocument, error)
	Announce(ctx context.Context, announce *wire.Announce) error
}

// Limits and timing of the listener for operators and backend servers.
const (
	apiReadTimeout      = 10 * time.Second
	apiIdleTimeout      = 15 * time.Second
	maxAPIConnections   = 1024
	replicaPollInterval = 200 * time.Millisecond
	// forwardTimeout bounds one attempt to forward a call to the leader. Callers wait
	// for one second in total, and another replica may lead before that has passed.
	forwardTimeout = 400 * time.Millisecond
)

// RunControl serves operators and backend servers until the planned stop. If there is a
// data folder, it also runs a control replica.
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
	awaitDiskSpace(p.Context, o.Data)
	replica, err := StartReplica(p, o.Data, o.Settings.Control)
	if err != nil {
		return err
	}
	defer replica.Close()
	node, machine := replica.Node, replica.Machine
	leaderClient := controlclient.New(p.Pool, o.Settings.Control, machine.Log().Version)
	leaderClient.SetCallTimeout(forwardTimeout)
	o.Control.LeaderClient = leaderClient
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
	stop, err := o.serveControlAPI(p, service, machine.Log())
	if err != nil {
		return err
	}
	bootstrap := &bootstrapper{process: p, node: node, self: o.Settings.Address(), firstStart: o.Bootstrap, configured: o.Settings.Control}
	if o.WatchControlAddresses != nil {
		go o.WatchControlAddresses(p.Context, bootstrap.configure)
	}
	go bootstrap.run(p.Context)
	go service.Run(p.Context)
	go followReplicas(p.Context, node, leaderClient)
	p.Go(func() error {
		<-node.Done()
		if isDiskFull(node.Err()) {
			event.ReplicaWaitsForDisk(node.Err())
			awaitDiskSpace(p.Context, o.Data)
		}
		return node.Err()
	})
	return p.Wait(func(ctx context.Context) {
		service.StopWatches()
		TransferLeadership(ctx, node)
		stop(ctx)
	})
}

// serveControlAPI serves operators and backend servers, and returns the function that
// stops the listener.
func (o *ControlOptions) serveControlAPI(p *daemon.Process, api ControlAPI, views *view.Log) (func(context.Context), error) {
	return ServeHTTP(p, o.Listen, "outside", maxAPIConnections, &http.Server{
		Handler: o.Handler(api, views.Store()), ReadTimeout: apiReadTimeout, IdleTimeout: apiIdleTimeout,
	})
}

// ServeHTTP serves on address with at most maxConnections concurrent connections. It
// returns the function that stops the server.
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

// followReplicas keeps the replica addresses of the leader client up to date.
func followReplicas(ctx context.Context, node *consensus.Node, leaderClient *controlclient.Client) {
	ticker := time.NewTicker(replicaPollInterval)
	defer ticker.Stop()
	for {
		var addresses []string
		for _, r := range node.Status().Replicas {
			addresses = append(addresses, r.GetAddress())
		}
		leaderClient.SetAddresses(addresses)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ReplicaReady returns the reason why a replica can't serve, or nil.
func ReplicaReady(node *consensus.Node) error {
	if !node.Status().Confirmed {
		return errors.New("no quorum contact")
	}
	return nil
}

// TransferLeadership transfers leadership to another replica before a planned stop.
func TransferLeadership(ctx context.Context, node *consensus.Node) {
	if node.Status().Role != consensus.Leader {
		return
	}
	if err := node.Transfer(ctx); err != nil && !fault.Is(err, fault.NotLeader) {
		event.LeadershipTransferFailed(err)
	}
}
