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
	"slices"
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
	// Data is the data folder.
	Data string
	// Listen is the address for operators and backend servers, ip:port.
	Listen string
	// Bootstrap is set when the whole installation starts for the first time. The
	// first of the control addresses, in their order as text, then begins it.
	Bootstrap bool
	Control   control.Options
	// Handler returns the handler of Listen.
	Handler func(*control.Service, *view.Store) http.Handler
	// WatchControl calls update whenever the link addresses of the control replicas
	// in the settings change, until ctx ends; nil is not called.
	WatchControl func(ctx context.Context, update func(addresses []string))
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

// RunControl keeps one replica of the state until the planned stop.
func RunControl(o ControlOptions) error {
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
	o.Control.Forward = leader
	o.Control.Push = func(ctx context.Context, address string, req *wire.Request) error {
		_, err := p.Pool.Call(ctx, address, req)
		return err
	}
	service := control.NewService(node, machine, o.Control)
	daemon.PublishView(machine.Log(), nil)
	daemon.PublishReplica(node)
	if err := p.Serve(link.Handler(service), func() error { return ReplicaReady(node) }); err != nil {
		return err
	}
	if o.Bootstrap && isFirst(o.Settings.Address(), o.Settings.Control) {
		if err := node.Bootstrap(p.Context); err != nil && !errors.Is(err, consensus.ErrInCluster) {
			return fmt.Errorf("bootstrap: %w", err)
		}
	}
	stop, err := serveHTTP(p, o.Listen, "outside", maxOutside, &http.Server{
		Handler: o.Handler(service, machine.Log().Store()), ReadTimeout: outsideReadTimeout, IdleTimeout: outsideIdleTimeout,
	})
	if err != nil {
		return err
	}
	if o.WatchControl != nil {
		// The replicas know one another; the settings count only at a start.
		go o.WatchControl(p.Context, func([]string) {})
	}
	go service.Run(p.Context)
	go followReplicas(p.Context, node, leader)
	p.Go(func() error {
		<-node.Done()
		if isFull(node.Err()) {
			event.ReplicaPaused(node.Err())
			awaitSpace(p.Context, o.Data)
		}
		return node.Err()
	})
	return p.Wait(func(ctx context.Context) {
		service.StopWatches()
		HandOver(ctx, node)
		stop(ctx)
	})
}

// isFirst reports whether address is the first of all in the order of their text.
func isFirst(address string, all []string) bool {
	return len(all) == 0 || slices.Min(all) == address
}

// serveHTTP serves on address and returns how to stop it.
func serveHTTP(p *daemon.Process, address, name string, maxConnections int, server *http.Server) (func(context.Context), error) {
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
			event.StopCut(name, err)
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

// HandOver passes leadership on before a planned stop.
func HandOver(ctx context.Context, node *consensus.Node) {
	if node.Status().Role != consensus.Leader {
		return
	}
	if err := node.Transfer(ctx); err != nil && !fault.Is(err, fault.NotLeader) {
		event.LeadershipKept(err)
	}
}
