// Package permit keeps the requests that backend servers get within the limits that they
// name, summed over all routers.
//
// The leader of control has an Allocator: it counts what each limit allows and hands it out
// in permits, one for each request, to the routers that want them. Each router has a Holder:
// it keeps the permits and knows which backend servers have a limit. A permit ends soon
// after the router has asked for it; what is not used is returned. A router out of contact
// has no permits, so the sum holds whoever is cut off, restarts, joins or leaves.
//
// Both are deterministic state machines without I/O: the time is passed in. They are not safe
// for concurrent use.
package permit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/wire"
)

const (
	// Lifetime is how long a permit is valid after the router has asked for it.
	Lifetime = 750 * time.Millisecond
	// claimTime is how long the Allocator keeps a permit for a router that does not ask
	// again. A limit of L requests a second lets L(w + Lifetime + claimTime + burstTime) + 1
	// requests through in any time w, and w L in the long run.
	claimTime = time.Second
	// MinInterval and MaxInterval bound the time between two requests of a router for
	// permits. MaxInterval is less than claimTime.
	MinInterval = 250 * time.Millisecond
	MaxInterval = 750 * time.Millisecond
	// intervalPerRouter is the time between two requests at the Allocator.
	intervalPerRouter = 6 * time.Millisecond
	// MaxServers limits the backend servers in one message, and so its size.
	MaxServers = 32
	// MinPerSecond is the lowest limit that counts: without any request nobody would learn
	// that a limit has ended.
	MinPerSecond = 0.25
	// maxFall is the ratio of a later limit to an earlier one at which the permits given out
	// for the earlier one are dropped.
	maxFall = 0.75
	// paceLifetime is how long a router keeps to a pace that the leader does not repeat: the
	// next leader knows nothing of it. The digest repeats those of MaxServers servers every
	// half second.
	paceLifetime = 3 * time.Second
	// noStatement is the age in a message on a backend server that has named no limit.
	noStatement = math.MaxUint32
	// urgencies is the number of urgencies, 0 to 9. Less urgent requests count as the last.
	urgencies = 10
)

// Key identifies one run of a backend server.
type Key uint64

// KeyOf returns the key of a backend server's run.
func KeyOf(b *wire.Backend) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(b.GetName()) // never fails
	var incarnations [16]byte
	binary.LittleEndian.PutUint64(incarnations[:8], b.GetAgentIncarnation())
	binary.LittleEndian.PutUint64(incarnations[8:], b.GetEngineIncarnation())
	_, _ = d.Write(incarnations[:])
	return Key(d.Sum64())
}

// statement is what a backend server has said of its limit.
type statement struct {
	// perSecond is the limit in requests a second; 0 for no limit.
	perSecond float64
	// at is a time at which it held; zero if nothing was said.
	at time.Time
}

func newStatement(perSecond float64, at time.Time) statement {
	if perSecond > 0 {
		perSecond = max(perSecond, MinPerSecond)
	}
	return statement{perSecond, at}
}

// message returns the statement as sent at time now.
func (s statement) message(now time.Time, key Key) *wire.ServerLimit {
	age := uint32(noStatement)
	if !s.at.IsZero() {
		age = uint32(min(max(0, now.Sub(s.at).Milliseconds()), noStatement-1))
	}
	return &wire.ServerLimit{Server: uint64(key), PerSecond: float32(s.perSecond), AgeMs: age}
}

// lowest returns the lower of two limits, each 0 for none.
func lowest(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// falls reports whether a limit falls so far that the permits given out for it are too many
// for the later one.
func falls(before, later float64) bool { return before > 0 && later > 0 && later < maxFall*before }

// statementOf returns the statement in a message received at time now.
func statementOf(now time.Time, m *wire.ServerLimit) statement {
	perSecond := float64(m.GetPerSecond())
	if !(perSecond > 0) || math.IsInf(perSecond, 0) {
		perSecond = 0 // also if it is not a number
	}
	return newStatement(perSecond, now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond))
}

// urgencyIndex returns the index of an urgency in arrays of length urgencies.
func urgencyIndex(urgency uint32) int { return int(min(urgency, urgencies-1)) }
