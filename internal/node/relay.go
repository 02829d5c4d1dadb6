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

// runRelay serves operators and backend servers on a VM without a disk: it
// follows the view and passes calls on to the leader.
func runRelay(o ControlOptions) error {
	p, err := daemon.NewProcess(o.Settings, link.RoleControl)
	if err != nil {
		return err
	}
	p.StartReason = "no data folder: passes calls on"
	views := view.NewLog(view.DefaultLogLimits())
	leader := controlclient.New(p.Pool, o.Settings.Control, views.Version)
	leader.SetCallTimeout(forwardTimeout)
	var service *control.RelayService
	driver := follow.New(follow.Options{
		Role: view.RoleControl, Seed: RandomSeed(o.Settings.Name), Log: views, Pool: p.Pool,
		Sources: controlSources(o.Settings.Control, o.Settings.Address()), SelfAddress: o.Settings.Address(),
		OnControlChanged: leader.SetAddresses,
		Loads:            func(digest *wire.LoadDigest) { service.Loads(digest) },
	})
	service = control.NewRelayService(control.RelayOptions{
		Log: views, Freshness: driver.Freshness, Control: driver.Control, ChooseFirstReplica: o.Bootstrap,
		Learn: func(address string) { driver.Learn(view.Source{Address: address, Role: view.RoleControl}) },
		Send: func(ctx context.Context, address string, req *wire.Request) error {
			_, err := p.Pool.Call(ctx, address, req)
			return err
		},
	})
	daemon.PublishView(views, driver)
	if err := p.Serve(service, func() error { return relayReady(driver) }); err != nil {
		return err
	}
	stop, err := o.serveOutside(p, control.NewRelay(leader), views)
	if err != nil {
		return err
	}
	if o.WatchControlAddresses != nil {
		go o.WatchControlAddresses(p.Context, func(addresses []string) {
			driver.SetConfiguredSources(controlSources(addresses, o.Settings.Address()))
		})
	}
	go driver.Run(p.Context)
	return p.Wait(func(ctx context.Context) {
		service.StopWatches()
		stop(ctx)
	})
}

// relayReady reports why a relay can't serve, or nil.
func relayReady(driver *follow.Driver) error {
	if len(driver.Control()) == 0 {
		return errors.New("no replica is known")
	}
	return nil
}
