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
	// startPing and presencePing are the times between two pings of the configured
	// control addresses: while this replica belongs to no cluster, and later, so
	// that processes which know only relays find the replicas again.
	startPing    = 100 * time.Millisecond
	presencePing = time.Second
	pingTimeout  = 400 * time.Millisecond
)

// seed is a configured control address with what it answered to a ping.
type seed struct {
	address string
	// pong is nil without an answer.
	pong *wire.Pong
}

// mayBegin reports whether the replica at self begins the installation: it is the
// first of the configured addresses, by their text, that keeps a replica, or the
// choice of the first relay when all are relays. A replica that does not know
// waits; seeds may come in any order and must include self if it is configured.
func mayBegin(self string, seeds []seed) bool {
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
			return false // it begins itself, or is not known yet
		}
	}
	return seeds[0].pong.GetFirstReplica() == self
}

// presence makes a replica known to the configured control addresses, and begins
// the installation where that falls to it.
type presence struct {
	process *daemon.Process
	node    *consensus.Node
	self    string
	// begins is set when the whole installation starts for the first time.
	begins bool

	mu         sync.Mutex
	configured []string
}

// configure replaces the configured control addresses.
func (s *presence) configure(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configured = addresses
}

// run works until ctx ends.
func (s *presence) run(ctx context.Context) {
	for ctx.Err() == nil {
		replicas := s.node.Status().Replicas
		seeds := s.ping(ctx, replicas)
		wait := presencePing
		if len(replicas) == 0 {
			wait = startPing
			if s.begins && mayBegin(s.self, seeds) {
				if err := s.node.Bootstrap(ctx); err != nil && !errors.Is(err, consensus.ErrInCluster) {
					event.ComponentEnded("bootstrap", err)
				}
			}
		}
		backoff.Sleep(ctx, wait)
	}
}

// ping asks the configured addresses that are no replicas.
func (s *presence) ping(ctx context.Context, replicas []*wire.Replica) []seed {
	s.mu.Lock()
	configured := s.configured
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	seeds := make([]seed, len(configured))
	var answered sync.WaitGroup
	for i, address := range configured {
		seeds[i].address = address
		if address == s.self || slices.ContainsFunc(replicas, func(r *wire.Replica) bool { return r.GetAddress() == address }) {
			continue
		}
		answered.Go(func() {
			resp, err := s.process.Pool.Call(ctx, address, &wire.Request{FromAddress: s.self, Body: &wire.Request_Ping{Ping: &wire.Ping{}}})
			if err == nil { // one that is out of reach is asked again
				seeds[i].pong = resp.GetPong()
			}
		})
	}
	answered.Wait()
	return seeds
}
