package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/link"
	"parsleypulley/internal/node"
	"parsleypulley/internal/router"
	"parsleypulley/internal/view"
)

type routerCommand struct {
	daemon.Settings `embed:""`
	Listen          string   `help:"Address for callers, ip:port." required:"" env:"PARSLEYPULLEY_LISTEN"`
	MaxConnections  int      `help:"Connections of callers at once; further ones are closed." default:"16384" env:"PARSLEYPULLEY_MAX_CONNECTIONS"`
	Peers           []string `help:"Link addresses of other routers, asked for the view when control is out of reach." env:"PARSLEYPULLEY_PEERS"`
	PeerAgents      []string `help:"Link addresses of agents, asked likewise." env:"PARSLEYPULLEY_PEER_AGENTS"`

	RevokeBound time.Duration `help:"Age of the last confirmation of the view from which on calls are refused, since their key may have been revoked; 0 is none." default:"0" env:"PARSLEYPULLEY_REVOKE_BOUND"`
}

// minRevokeBound is the smallest bound that can be set: views of routers that are in contact with control are
// confirmed anew before they are view.MaxConfirmationAge old, and a follower needs up to view.HeartbeatInterval to
// hear of it.
const minRevokeBound = view.MaxConfirmationAge + view.HeartbeatInterval

// Run runs a router until the process is stopped.
func (c *routerCommand) Run() error {
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if c.MaxConnections <= 0 {
		return errors.New("--max-connections must be positive")
	}
	if c.RevokeBound != 0 && c.RevokeBound < minRevokeBound {
		return fmt.Errorf("--revoke-bound must be 0 or at least %v", minRevokeBound)
	}
	p, err := daemon.NewProcess(&c.Settings, link.RoleRouter)
	if err != nil {
		return err
	}
	views := view.NewLog(view.DefaultLogLimits())
	control := controlclient.New(p.Pool, c.Control, views.Version)
	driver := follow.New(follow.Options{
		Role:        view.RoleRouter,
		Seed:        node.RandomSeed(c.Name),
		Log:         views,
		Pool:        p.Pool,
		Sources:     viewSources(c.Control, c.Peers, c.PeerAgents),
		SelfAddress: c.Address(),

		OnControlChanged: control.SetAddresses,
	})
	trust := router.KeyTrust{Freshness: driver.Freshness, Bound: c.RevokeBound}
	r := router.New(router.Options{
		Name:        c.Name,
		Address:     c.Address(),
		Domain:      c.Domain,
		Seed:        node.RandomSeed(c.Name),
		Views:       views.Store(),
		KeyTrust:    trust,
		Pool:        p.Pool,
		Control:     control,
		OnNewerView: driver.ObserveVersion,
	})
	r.Metrics().Publish()
	daemon.PublishView(views, driver)
	go driver.Run(p.Context)
	go r.Run(p.Context)
	watchServer := follow.NewServer(views, driver.Freshness, view.MaxWatchesOther)
	watchServer.ControlAddresses = driver.ControlAddresses
	if err := p.Serve(node.ViewHandler(watchServer, link.RoleRouter), func() error { return viewReady(views) }); err != nil {
		return err
	}
	return c.serveCallers(p, r, gateway.New(router.NewDirectory(views.Store(), trust), r), watchServer)
}

// firstViewTimeout is the maximum time that a starting router waits for its first
// view before it accepts connections. After that, it refuses calls until it has a
// view.
const firstViewTimeout = 2 * time.Second

// waitForView waits until r has its first view, but at most for firstViewTimeout.
// Meanwhile, new connections wait in the backlog of the listener, so that a
// restarted router does not refuse their calls.
func waitForView(ctx context.Context, r *router.Router) {
	timer := time.NewTimer(firstViewTimeout)
	defer timer.Stop()
	select {
	case <-r.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *routerCommand) serveCallers(p *daemon.Process, r *router.Router, g *gateway.Gateway, watchServer *follow.Server) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ln = daemon.LimitListener(ln, "callers", c.MaxConnections)
	server := daemon.NewHTTPServer(g.HTTPServer(), ln)
	p.Go(func() error {
		waitForView(p.Context, r)
		return server.Serve()
	})
	event.Listening(c.Listen, "callers")
	p.OnStop, p.StopCounts = g.BeginShutdown, g.StopCounts
	return p.Wait(func(ctx context.Context) {
		watchServer.Close()
		g.Shutdown(ctx, server.Stop)
	})
}

// viewReady returns an error while the process has no view.
func viewReady(views *view.Log) error {
	if views.Version() == 0 {
		return errors.New("no view yet")
	}
	return nil
}

// viewSources returns the processes from which views are fetched, with their
// roles.
func viewSources(control, routers, agents []string) []view.Source {
	var out []view.Source
	for _, address := range control {
		out = append(out, view.Source{Address: address, Role: view.RoleControl})
	}
	for _, address := range routers {
		out = append(out, view.Source{Address: address, Role: view.RoleRouter})
	}
	for _, address := range agents {
		out = append(out, view.Source{Address: address, Role: view.RoleAgent})
	}
	return out
}
