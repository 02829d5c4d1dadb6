package view

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Role is the role of a process that can be followed.
type Role uint8

// The roles of processes.
const (
	RoleControl Role = iota
	RoleRouter
	RoleAgent
	roleCount
)

// rolePreference maps the role of a follower to the preference of each source
// role; lower values are preferred. Agents prefer routers, so that the control replicas
// only serve about as many watches as there are routers.
var rolePreference = [roleCount][roleCount]int{
	RoleControl: {RoleControl: 0, RoleRouter: 1, RoleAgent: 2},
	RoleRouter:  {RoleControl: 0, RoleRouter: 1, RoleAgent: 2},
	RoleAgent:   {RoleRouter: 0, RoleControl: 1, RoleAgent: 2},
}

// Limits of the watches that a process serves. It refuses further ones with
// fault.Overloaded, and the follower tries its next source.
const (
	// MaxWatchesControl is the limit of a control replica.
	MaxWatchesControl = 160
	// MaxWatchesOther is the limit of any other process.
	MaxWatchesOther = 32
)

// maxSources is the maximum number of sources per role that a follower keeps.
const maxSources = 16

// maxLearnedFailures is the number of consecutive failures after which a learned
// source is removed.
const maxLearnedFailures = 3

// Source is a process that can be followed.
type Source struct {
	// Address is the link address.
	Address string
	Role    Role
}

// candidate is a source and the follower's history with it.
type candidate struct {
	Source
	// rank orders the sources of one role. It differs between followers.
	rank uint64
	// learned is set if the source was found at runtime and is not configured.
	learned bool
	// failures is the number of consecutive failures.
	failures int
	// retryAt is the earliest time of the next attempt.
	retryAt time.Time
}

// candidates holds the sources that a follower may choose from.
type candidates struct {
	// ownRole is the role of the follower.
	ownRole Role
	// seed determines the ranks of the sources.
	seed uint64
	// list holds the sources, best first.
	list []*candidate
}

// set replaces the configured sources. It keeps the learned sources, and the
// history of configured ones that remain.
func (c *candidates) set(sources []Source) {
	old := c.list
	c.list = nil
	for _, source := range sources {
		c.add(source, false, old)
	}
	for _, known := range old {
		if known.learned && c.find(known.Address) == nil {
			c.list = append(c.list, known)
		}
	}
	c.sort()
}

// learn adds a source found at runtime. It is removed after maxLearnedFailures
// consecutive failures.
func (c *candidates) learn(source Source) {
	if c.find(source.Address) != nil {
		return
	}
	c.add(source, true, nil)
	c.sort()
}

// add appends a source to the list. If old contains it, its history is kept.
func (c *candidates) add(source Source, learned bool, old []*candidate) {
	for _, known := range old {
		if known.Source == source {
			known.learned = learned
			c.list = append(c.list, known)
			return
		}
	}
	c.list = append(c.list, &candidate{Source: source, rank: c.rank(source.Address), learned: learned})
}

// sort orders the sources from best to worst and drops the lowest-ranked sources
// of each role beyond maxSources.
func (c *candidates) sort() {
	slices.SortFunc(c.list, func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(rolePreference[c.ownRole][a.Role], rolePreference[c.ownRole][b.Role]),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.Address, b.Address),
		)
	})
	var kept [roleCount]int
	c.list = slices.DeleteFunc(c.list, func(known *candidate) bool {
		kept[known.Role]++
		return kept[known.Role] > maxSources
	})
}

// failed records a failure of the source at address and delays its next attempt.
func (c *candidates) failed(now time.Time, address string, overloaded bool, random *rand.Rand) {
	known := c.find(address)
	if known == nil {
		return
	}
	if overloaded {
		known.retryAt = now.Add(jitter(random, overloadedRetryDelay))
		return
	}
	delay := min(minRetryDelay<<min(known.failures, 8), maxRetryDelay)
	known.failures++
	known.retryAt = now.Add(jitter(random, delay))
	if known.learned && known.failures >= maxLearnedFailures {
		c.list = slices.DeleteFunc(c.list, func(k *candidate) bool { return k == known })
	}
}

// rank returns the rank of the source at address.
func (c *candidates) rank(address string) uint64 {
	digest := xxhash.NewWithSeed(c.seed)
	digest.WriteString(address)
	return digest.Sum64()
}

// find returns the candidate at address, or nil.
func (c *candidates) find(address string) *candidate {
	for _, known := range c.list {
		if known.Address == address {
			return known
		}
	}
	return nil
}

// best returns the best source that may be tried now, or nil. It skips the source
// at exceptAddress, and returns a source of avoidRole only if there is no other. If
// avoidRole is roleCount, no role is avoided.
func (c *candidates) best(now time.Time, exceptAddress string, avoidRole Role) *candidate {
	var last *candidate
	for _, known := range c.list {
		if now.Before(known.retryAt) || known.Address == exceptAddress {
			continue
		}
		if known.Role != avoidRole {
			return known
		}
		if last == nil {
			last = known
		}
	}
	return last
}

// preference returns the preference of a source role for this follower; lower
// values are preferred.
func (c *candidates) preference(role Role) int { return rolePreference[c.ownRole][role] }

// jitter returns a random duration between half of d and one and a half times d;
// its average is d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)+1))
}
