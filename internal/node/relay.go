package node

import (
	"context"
	"errors"

	"parsleypulley/internal/control"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// runRelay serves operators and backend servers on a VM without a disk. It follows the
// view and forwards calls to the leader.
func runRelay(o ControlOptions) error {
	p, err := daemon.NewProcess(o.Settings, link.RoleControl)
	if err != nil {
		return err
	}
	p.StartReason = "no data folder: passes calls on"
	views := view.NewLog(view.DefaultLogLimits())
	leaderClient := controlclient.New(p.Pool, o.Settings.Control, views.Version)
	leaderClient.SetCallTimeout(forwardTimeout)
	var service *control.RelayService
	driver := follow.New(follow.Options{
		Role: view.RoleControl, Seed: RandomSeed(o.Settings.Name), Log: views, Pool: p.Pool,
		Sources: controlSources(o.Settings.Control, o.Settings.Address()), SelfAddress: o.Settings.Address(),
		OnControlChanged: leaderClient.SetAddresses,
		OnLoads:          func(digest *wire.LoadDigest) { service.Loads(digest) },
	})
	joining := &control.JoinQueue{}
	formation := o.newFormation(p, joining, func() bool { return len(driver.ControlAddresses()) > 0 }, func() bool { return true }, func() bool { return true })
	service = control.NewRelayService(control.RelayOptions{
		Log: views, Freshness: driver.Freshness, Control: driver.ControlAddresses, Joining: joining, Formation: formation,
		Learn: func(address string) { driver.Learn(view.Source{Address: address, Role: view.RoleControl}) },
		Call:  p.Pool.Call,
	})
	daemon.PublishView(views, driver)
	if err := p.Serve(service, func() error { return relayReady(driver) }); err != nil {
		return err
	}
	stop, err := o.serveControlAPI(p, control.NewRelay(leaderClient, views.Snapshot), views)
	if err != nil {
		return err
	}
	if o.WatchControlAddresses != nil {
		go o.WatchControlAddresses(p.Context, func(addresses []string) {
			driver.SetConfiguredSources(controlSources(addresses, o.Settings.Address()))
		})
	}
	go driver.Run(p.Context)
	go o.runFormation(p.Context, formation)
	return p.Wait(func(ctx context.Context) {
		service.StopWatches()
		stop(ctx)
	})
}

// relayReady returns the reason why a relay can't serve, or nil.
func relayReady(driver *follow.Driver) error {
	if len(driver.ControlAddresses()) == 0 {
		return errors.New("no replica is known")
	}
	return nil
}
