package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/consensus"
	"parsleypulley/internal/control"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/wire"
)

const (
	// bootstrapPingInterval is the time between two rounds of pings to the configured
	// control addresses while this replica belongs to no cluster, or to one that is forming.
	bootstrapPingInterval = 50 * time.Millisecond
	// memberPingInterval is the same time once it belongs to a cluster. These pings let
	// processes that know only relays find the replicas again.
	memberPingInterval = time.Second
	// pingTimeout bounds one round of pings.
	pingTimeout = 400 * time.Millisecond
)

// bootstrapper announces a replica to the configured control addresses, and takes part in
// the formation of the cluster as decideFormation says.
type bootstrapper struct {
	process *daemon.Process
	node    *consensus.Node
	// self is the link address of this replica.
	self string
	// firstStart is set when the whole installation starts for the first time.
	firstStart bool
	// founders are the first voters of a new cluster, if they form it together.
	founders []*wire.Replica
	// formation is the part of this process in the choice of other first voters; it may be nil.
	formation *control.Formation
	// giveUpFounder restarts the replica with another identity than that of a founder.
	giveUpFounder func()

	mu sync.Mutex
	// configured holds the configured control addresses.
	configured []string
}

// configure replaces the configured control addresses.
func (b *bootstrapper) configure(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configured = addresses
}

// run pings the configured addresses periodically until ctx ends.
func (b *bootstrapper) run(ctx context.Context) {
	for ctx.Err() == nil {
		status := b.node.Status()
		seeds := b.ping(ctx, status)
		wait := memberPingInterval
		if len(status.Replicas) == 0 || status.Forming {
			wait = bootstrapPingInterval
		}
		chosen := b.formation.ChosenVoters()
		if chosen == nil {
			chosen = chosenVoters(seeds)
		}
		excluded := chosen != nil || b.formation.FoundersExcluded() || foundersExcluded(seeds)
		var err error
		switch {
		case excluded && status.ID == founderAt(b.founders, b.self) && (len(status.Replicas) == 0 || status.Forming):
			// The founders have no majority any more, so that what they began together never commits.
			b.giveUpFounder()
			return
		case len(status.Replicas) == 0:
			err = b.form(ctx, status.ID, seeds, chosen)
		case status.Forming && status.Role == consensus.Leader:
			b.removeRelays(ctx, status, seeds)
		}
		if err != nil && !errors.Is(err, consensus.ErrInCluster) {
			event.ComponentEnded("bootstrap", err)
		}
		backoff.Sleep(ctx, wait)
	}
}

// form begins a new cluster if this replica is to do so. A founder that was restarted
// before it began its log is still one.
func (b *bootstrapper) form(ctx context.Context, id uint64, seeds []seed, chosen []*wire.Replica) error {
	// Also beside a cluster: the chosen voters are the same for all, and this one must not depend on
	// those that have begun, as they may lose their disks.
	if slices.ContainsFunc(chosen, func(r *wire.Replica) bool { return r.GetId() == id }) {
		return b.node.Found(ctx, chosen)
	}
	switch decideFormation(b.self, len(b.founders), seeds) {
	case foundTogether:
		if founderAt(b.founders, b.self) == id {
			return b.node.Found(ctx, b.founders)
		}
	case bootstrapAlone:
		if b.firstStart {
			return b.node.Bootstrap(ctx)
		}
	}
	return nil
}

// removeRelays removes the founders that turn out to be relays, which never vote.
func (b *bootstrapper) removeRelays(ctx context.Context, status consensus.Status, seeds []seed) {
	for _, s := range seeds {
		for _, r := range status.Replicas {
			if s.pong.GetRelay() && r.Address == s.address {
				_ = b.node.Remove(ctx, r.Id) // on an error the next round retries
			}
		}
	}
}

// ping pings the configured addresses concurrently, except this replica and, once the
// cluster is formed, those that are known to be replicas.
func (b *bootstrapper) ping(ctx context.Context, status consensus.Status) []seed {
	b.mu.Lock()
	configured := b.configured
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	seeds := make([]seed, len(configured))
	var pings sync.WaitGroup
	for i, address := range configured {
		seeds[i].address = address
		known := slices.ContainsFunc(status.Replicas, func(r *wire.Replica) bool { return r.GetAddress() == address })
		if address == b.self || known && !status.Forming {
			continue
		}
		pings.Go(func() {
			resp, err := b.process.Pool.Call(ctx, address, &wire.Request{FromAddress: b.self, Body: &wire.Request_Ping{Ping: &wire.Ping{}}})
			if err == nil { // an unreachable address is pinged again in the next round
				seeds[i].pong = resp.GetPong()
			}
		})
	}
	pings.Wait()
	return seeds
}
