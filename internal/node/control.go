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
	"parsleypulley/internal/lag"
	"parsleypulley/internal/link"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// ControlOptions configures a control process.
type ControlOptions struct {
	Settings *daemon.Settings
	// Data is the data folder. It is empty on a VM without a replica, which forwards
	// calls to the leader.
	Data string
	// Storage configures the files in Data. The zero value selects the defaults.
	Storage storage.Options
	// DeclaredLosses and FormingVoters are as in ReplicaOptions.
	DeclaredLosses, FormingVoters int
	// Listen is the address (ip:port) for calls of operators and backend servers.
	Listen string
	// Bootstrap is set when the whole installation starts for the first time.
	Bootstrap bool
	// Control holds the options of the replica. LeaderClient and SendToReplica are set by
	// RunControl.
	Control control.Options
	// Handler returns the HTTP handler for calls at Listen.
	Handler func(ControlAPI, daemon.Views) http.Handler
	// DeclaresAccounts is as in ReplicaOptions.
	DeclaresAccounts func(document []byte) bool
	// WatchControlAddresses calls update whenever the link addresses of the control
	// replicas in the settings change, until ctx ends. It may be nil.
	WatchControlAddresses func(ctx context.Context, update func(addresses []string))
}

// founders returns the first voters of a new cluster that has enough replicas among the
// configured addresses; see the function of that name.
func (o *ControlOptions) founders() []*wire.Replica {
	return founders(o.Settings.Control, declaredLosses(o.DeclaredLosses, len(o.Settings.Control)))
}

// ControlAPI holds the calls of operators and backend servers. It is implemented by
// control.Service at a replica and by control.Relay at a relay.
type ControlAPI interface {
	PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error)
	PutWeights(ctx context.Context, target *wire.WeightsTarget) error
	ReadRoutes(ctx context.Context) (*wire.RouteDocument, error)
	Announce(ctx context.Context, announce *wire.Announce) error
}

// Limits and timing of the listener for operators and backend servers, and of the calls
// that are forwarded to the leader.
const (
	apiReadTimeout    = 10 * time.Second
	apiIdleTimeout    = 15 * time.Second
	maxAPIConnections = 1024
	// replicaPollInterval is the time between two updates of the leader client's replica
	// addresses.
	replicaPollInterval = 200 * time.Millisecond
	// forwardTimeout bounds one attempt to forward a call to the leader. Callers wait
	// for one second in total, and another replica may lead before that has passed.
	forwardTimeout = 400 * time.Millisecond
	// leaveTimeout bounds the wait until the vote of a replica that stops is taken. The
	// leader takes the vote of a silent one after the same time.
	leaveTimeout = consensus.DefaultElectionTimeout
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
	host := &replicaHost{options: &o, process: p}
	host.formation = o.newFormation(p, &host.joining, func() bool { return len(host.status().Replicas) > 0 }, host.canAdmitFormation, host.admitFormation)
	if err := host.start(); err != nil {
		return err
	}
	defer host.close()
	daemon.PublishView(host, nil)
	daemon.PublishReplica(host.status)
	if err := p.Serve(host, host.ready); err != nil {
		return err
	}
	stop, err := o.serveControlAPI(p, host, host)
	if err != nil {
		return err
	}
	if o.WatchControlAddresses != nil {
		go o.WatchControlAddresses(p.Context, host.configure)
	}
	go o.runFormation(p.Context, host.formation)
	p.Go(host.run)
	return p.Wait(func(ctx context.Context) {
		host.beginStop(ctx)
		stop(ctx)
	})
}

// serveControlAPI serves operators and backend servers, and returns the function that
// stops the listener.
func (o *ControlOptions) serveControlAPI(p *daemon.Process, api ControlAPI, views daemon.Views) (func(context.Context), error) {
	go lag.Process.Run(p.Context)
	return ServeHTTP(p, o.Listen, "outside", maxAPIConnections, &http.Server{
		Handler: o.Handler(api, views), ReadTimeout: apiReadTimeout, IdleTimeout: apiIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, nil)
}

// ServeHTTP serves on address with at most maxConnections concurrent connections. It
// returns the function that stops the server. beforeCut is called before a stop closes the
// connections of running requests; it may be nil.
func ServeHTTP(p *daemon.Process, address, name string, maxConnections int, server *http.Server, beforeCut func()) (func(context.Context), error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	ln = daemon.LimitListener(ln, name, maxConnections)
	stoppable := daemon.NewHTTPServer(server, ln)
	stoppable.BeforeCut = beforeCut
	p.Go(stoppable.Serve)
	return func(ctx context.Context) {
		if cut := (*daemon.CutError)(nil); errors.As(stoppable.Stop(ctx), &cut) {
			event.PlannedStopCutRunning(name, cut.Requests)
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
	switch status := node.Status(); {
	case status.Forming:
		return fmt.Errorf("the cluster is forming and has %d voters", status.Voters())
	case !status.Confirmed:
		return errors.New("no quorum contact")
	}
	return nil
}

// TransferLeadership transfers leadership to another replica before a planned stop.
func TransferLeadership(ctx context.Context, node *consensus.Node) {
	if node.Status().Role != consensus.Leader {
		return
	}
	if err := transferWithin(ctx, node.Transfer); err != nil && !fault.Is(err, fault.NotLeader) {
		event.LeadershipTransferFailed(err)
	}
}

// HandOver transfers leadership to another replica and gives up the vote of this one, before
// a planned stop.
func HandOver(ctx context.Context, node *consensus.Node) {
	TransferLeadership(ctx, node)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_ = node.Leave(ctx) // on an error the leader takes the vote when it notices the silence
}

// transferWithin runs a transfer for at most half of the time that ctx leaves. A replica that is live but
// does not take over would else use up the planned stop, and the requests that run would be cut.
func transferWithin(ctx context.Context, transfer func(context.Context) error) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	return transfer(ctx)
}
