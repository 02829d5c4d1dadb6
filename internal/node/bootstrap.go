package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/consensus"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/wire"
)

const (
	// bootstrapPingInterval is the time between two pings of the configured control
	// addresses while this replica belongs to no cluster.
	// memberPingInterval is the same time once it belongs to a cluster. These pings let
	// processes that know only relays find the replicas again.
	bootstrapPingInterval = 100 * time.Millisecond
	memberPingInterval    = time.Second
	pingTimeout           = 400 * time.Millisecond
)

// seed is a configured control address and its answer to a ping.
type seed struct {
	address string
	// pong is nil if there was no answer.
	pong *wire.Pong
}

// shouldBootstrap reports whether the replica at self bootstraps the cluster. This is
// the case if self is the first of the configured addresses, in lexical order, that has
// a replica. If all configured addresses are relays, it is the case if the first relay
// has chosen self. While that is not known, or if any seed belongs to a cluster, it
// returns false. seeds may be in any order and must include self if it is configured.
func shouldBootstrap(self string, seeds []seed) bool {
	if len(seeds) == 0 {
		return true
	}
	seeds = slices.Clone(seeds)
	slices.SortFunc(seeds, func(a, b seed) int { return cmp.Compare(a.address, b.address) })
	for _, s := range seeds {
		if s.pong.GetInCluster() {
			return false
		}
	}
	for _, s := range seeds {
		switch {
		case s.address == self:
			return true
		case !s.pong.GetRelay():
			return false // that address bootstraps itself, or has not answered yet
		}
	}
	return seeds[0].pong.GetFirstReplica() == self
}

// bootstrapper announces a replica to the configured control addresses, and bootstraps
// the cluster if shouldBootstrap selects this replica.
type bootstrapper struct {
	process *daemon.Process
	node    *consensus.Node
	self    string
	// firstStart is set when the whole installation starts for the first time.
	firstStart bool

	mu         sync.Mutex
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
		replicas := b.node.Status().Replicas
		seeds := b.ping(ctx, replicas)
		wait := memberPingInterval
		if len(replicas) == 0 {
			wait = bootstrapPingInterval
			if b.firstStart && shouldBootstrap(b.self, seeds) {
				if err := b.node.Bootstrap(ctx); err != nil && !errors.Is(err, consensus.ErrInCluster) {
					event.ComponentEnded("bootstrap", err)
				}
			}
		}
		backoff.Sleep(ctx, wait)
	}
}

// ping pings the configured addresses concurrently, except this replica and those that
// are known to be replicas.
func (b *bootstrapper) ping(ctx context.Context, replicas []*wire.Replica) []seed {
	b.mu.Lock()
	configured := b.configured
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	seeds := make([]seed, len(configured))
	var pings sync.WaitGroup
	for i, address := range configured {
		seeds[i].address = address
		if address == b.self || slices.ContainsFunc(replicas, func(r *wire.Replica) bool { return r.GetAddress() == address }) {
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
