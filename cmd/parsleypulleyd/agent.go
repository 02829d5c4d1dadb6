package main

import (
	"context"
	"errors"

	"parsleypulley/internal/agent"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/engine"
	"parsleypulley/internal/event"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/link"
	"parsleypulley/internal/node"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

type agentCommand struct {
	daemon.Settings `embed:""`
	Backend         string   `help:"Base URL of the backend server, http://ip:port." required:"" env:"PARSLEYPULLEY_BACKEND"`
	Service         string   `help:"Name of the plain service; empty before a model engine." env:"PARSLEYPULLEY_SERVICE"`
	Region          string   `help:"Region of this VM." env:"PARSLEYPULLEY_REGION"`
	MaxRunning      int      `help:"Requests that the backend server runs well together; 0 takes what the engine tells." default:"0" env:"PARSLEYPULLEY_MAX_RUNNING"`
	Peers           []string `help:"Link addresses of routers, asked for the view when control is out of reach." env:"PARSLEYPULLEY_PEERS"`
}

// Run runs the agent of one backend server until the process is stopped.
func (c *agentCommand) Run() error {
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if c.MaxRunning < 0 {
		return errors.New("--max-running must not be negative")
	}
	p, err := daemon.NewProcess(&c.Settings, link.RoleAgent)
	if err != nil {
		return err
	}
	backend, err := engine.NewHTTP(engine.HTTPOptions{URL: c.Backend, PlainService: c.Service != "", Limits: engine.DefaultLimits()})
	if err != nil {
		return err
	}
	views := view.NewLog(view.DefaultLogLimits())
	control := controlclient.New(p.Pool, c.Control, views.Version)
	driver := follow.New(follow.Options{Role: view.RoleAgent, Seed: node.RandomSeed(c.Name), Log: views, Pool: p.Pool,
		Sources: viewSources(c.Control, c.Peers, nil), SelfAddress: c.Address(), OnControlChanged: control.SetAddresses})
	a, err := agent.New(agent.Config{
		Name:          c.Name,
		Address:       c.Address(),
		FailureDomain: c.Domain,
		Region:        c.Region,
		Service:       c.Service,
		Engine:        backend,
		MaxRunning:    c.MaxRunning,
		View: func() (uint64, uint64) {
			s := views.Snapshot()
			return s.Version, s.Config.Revision
		},
		Quarantined: func(account string, fingerprint []byte) bool {
			return views.Snapshot().Quarantined(account, fingerprint)
		},
		KV: agent.LinkKVFetcher{Pool: p.Pool},
	})
	if err != nil {
		return err
	}
	daemon.PublishView(views, driver)
	announcer := agent.NewAnnouncer(a, control, 0)
	go driver.Run(p.Context)
	go applyViewToAgent(p.Context, a, c.Name, views)
	go runAndLogError("agent", func() error { return a.Run(p.Context) })
	go runAndLogError("announcer", func() error { return announcer.Run(p.Context) })
	watchServer := follow.NewServer(views, driver.Freshness, view.MaxWatchesOther)
	watchServer.ControlAddresses = driver.ControlAddresses
	if err := p.Serve(agentHandler(a, node.ViewHandler(watchServer, link.RoleAgent), driver), func() error { return agentReady(a) }); err != nil {
		return err
	}
	p.OnStop = a.BeginStop
	return p.Wait(func(ctx context.Context) {
		watchServer.Close()
		_ = a.Drain(ctx) // its error is that of ctx
		if n := a.EndedByStop(); n > 0 {
			event.PlannedStopCutRunning("agent", n)
		}
		announcer.AwaitLeave(ctx)
	})
}

// runAndLogError runs f and logs its error, unless f was canceled.
func runAndLogError(name string, f func() error) {
	if err := f(); err != nil && !errors.Is(err, context.Canceled) {
		event.ComponentEnded(name, err)
	}
}

// agentReady returns an error while the backend server is down.
func agentReady(a *agent.Agent) error {
	if a.Backend().EngineIncarnation == 0 {
		return errors.New("the backend server is down")
	}
	return nil
}

// agentHandler returns a handler that serves calls about the view from views and
// all others from the agent. If a caller has a newer view, the driver fetches it.
// The driver also learns the address of each router that dispatches or probes, as
// another source of views.
func agentHandler(a *agent.Agent, views link.Handler, driver *follow.Driver) link.Handler {
	return link.HandlerFunc(func(ctx context.Context, call *link.Call) error {
		driver.ObserveVersion(call.Request.ViewVersion, call.Request.FromAddress)
		switch call.Request.Body.(type) {
		case *wire.Request_Watch, *wire.Request_FetchView, *wire.Request_Ping:
			return views.ServeLink(ctx, call)
		case *wire.Request_Dispatch, *wire.Request_Probe:
			if call.Request.FromAddress != "" {
				driver.Learn(view.Source{Address: call.Request.FromAddress, Role: view.RoleRouter})
			}
		}
		return a.ServeLink(ctx, call)
	})
}

// applyViewToAgent passes the drain state and the fencing token from each new view
// to the agent. They therefore also reach the agent while it can't connect to the
// control leader, since views also come from other processes.
func applyViewToAgent(ctx context.Context, a *agent.Agent, name string, views *view.Log) {
	for {
		changed := views.Store().Changed()
		s := views.Snapshot()
		a.ObserveFencingToken(s.FencingToken)
		if m := s.Member(name); m != nil && m.Backend.AgentIncarnation == a.Incarnation() {
			a.SetDraining(m.State == wire.BackendState_BACKEND_STATE_DRAINING || m.Retired)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
