package node

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"parsleypulley/internal/wire"
)

// seed is a configured control address and its answer to a ping.
type seed struct {
	address string
	// pong is nil if there was no answer.
	pong *wire.Pong
}

// founders returns the first voters of a new cluster: replicas at the first of the
// configured addresses, in lexical order, as many as bear the given losses. An identity
// is derived from the address and the list, so that all VMs know the same founders
// without a message. Only a replica that starts for the first time takes one: a replica
// that lost its disk has another identity, so it never counts as one that remembers.
func founders(configured []string, losses int) []*wire.Replica {
	addresses := slices.Sorted(slices.Values(configured))
	addresses = slices.Compact(addresses)
	addresses = addresses[:min(len(addresses), 2*losses+1)]
	var out []*wire.Replica
	for i, address := range addresses {
		sum := sha256.Sum256(fmt.Appendf(nil, "%d %q", i, addresses))
		out = append(out, &wire.Replica{Id: max(1, binary.LittleEndian.Uint64(sum[:])), Address: address})
	}
	return out
}

// founderAt returns the identity of the founder at an address, or 0.
func founderAt(founders []*wire.Replica, address string) uint64 {
	for _, f := range founders {
		if f.Address == address {
			return f.Id
		}
	}
	return 0
}

// participation is how a replica takes part in the formation of a new cluster.
type participation uint8

const (
	// awaitCluster: the replica asks to join a cluster that others form.
	awaitCluster participation = iota
	// foundTogether: the replica begins its log with all founders as the voters.
	foundTogether
	// bootstrapAlone: the replica begins its log as the only voter.
	bootstrapAlone
)

// decideFormation returns how the replica at self takes part. seeds are all configured
// addresses in any order; the first ones in lexical order are the founders.
//
// The founders form the cluster together once all of them have answered as replicas. Any
// minority of them may be lost afterwards. If one is a relay, or doesn't answer, a majority of
// the processes at their addresses chooses the first voters instead; see chosenVoters: without
// that founder the others would be too few to bear the loss of a disk while the cluster forms.
// A replica gives up the identity of a founder before it takes part in the choice, so at most
// one of the two majorities can exist.
func decideFormation(self string, founders int, seeds []seed) participation {
	if len(seeds) == 0 {
		return bootstrapAlone
	}
	seeds = slices.Clone(seeds)
	slices.SortFunc(seeds, func(a, b seed) int { return cmp.Compare(a.address, b.address) })
	founders = min(founders, len(seeds))
	replicas, isFounder := 0, false
	for i, s := range seeds {
		if s.pong.GetInCluster() || i < founders && s.pong.GetRelay() {
			return awaitCluster
		}
		if i < founders && (s.address == self || s.pong != nil) {
			replicas++
			isFounder = isFounder || s.address == self
		}
	}
	if isFounder && replicas == founders {
		return foundTogether
	}
	return awaitCluster
}

// chosenVoters returns the first voters on which the processes at the founders' addresses
// have agreed, as far as one of them has told, or nil. They are the same for all.
func chosenVoters(seeds []seed) []*wire.Replica {
	for _, s := range seeds {
		if voters := s.pong.GetChosenVoters(); len(voters) > 0 {
			return voters
		}
	}
	return nil
}

// foundersExcluded reports whether one of the processes has told that the founders have no
// majority any more.
func foundersExcluded(seeds []seed) bool {
	return slices.ContainsFunc(seeds, func(s seed) bool { return s.pong.GetFoundersExcluded() })
}
