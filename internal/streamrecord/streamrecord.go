// Package streamrecord keeps the knowledge which version of a backend server's software began
// a stream. Only that version can go on with it, in the same answer or when the caller takes
// the stream up at another router.
//
// The router that delivers the first event of a stream tells a few other routers, which the
// hash of the stream's ID determines. A router that is asked to go on with a stream asks
// those. Routers know one another by the leader's list.
//
// Table, Registry and Peers are deterministic state machines without I/O: the time is passed
// in. They are not safe for concurrent use. Directory binds them to links.
package streamrecord

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCopies is the number of routers that are told of a stream, beside the one that
	// delivers it, and tellsPerSecond limits the number of routers told in a second: while
	// streams begin faster, there are fewer copies, but always one.
	maxCopies      = 3
	tellsPerSecond = 30
	// askedRouters is the number of routers that are asked for a stream: more than maxCopies,
	// as lists of routers differ while routers come and go.
	askedRouters = 5
	// generationTime and maxGeneration bound the records that a Table keeps: it drops a record
	// after two generations.
	generationTime = time.Minute
	maxGeneration  = 1 << 15
	// helloExpiry is how long the leader lists a router after its last hello, and listExpiry
	// how long a router uses another one that is no longer listed.
	helloExpiry = 4 * HelloInterval
	listExpiry  = 30 * time.Second
	// HelloInterval is the time between two hellos of a router.
	HelloInterval = 2 * time.Second
	// maxListed limits the routers in one message.
	maxListed = 32
)

// Key identifies a stream: the call that brought its first event.
type Key uint64

// KeyOf returns the key of a stream. Client accounts choose the IDs of their calls, so the hash
// resists collisions and covers the account.
func KeyOf(account, callID string) Key { return Key(digest(account, callID)) }

// Software identifies the software of backend servers: a version of one service. It is neither
// Unknown nor Contradicted.
type Software uint64

// SoftwareOf returns the identity of a version of a service's software.
func SoftwareOf(service, version string) Software {
	return Software(min(max(1, digest(service, version)), math.MaxUint64-1))
}

func digest(a, b string) uint64 {
	data := make([]byte, 0, 128)
	data = binary.AppendUvarint(data, uint64(len(a)))
	data = append(append(data, a...), b...)
	sum := sha256.Sum256(data)
	return binary.LittleEndian.Uint64(sum[:8])
}

// Table holds the records of one router in two generations.
type Table struct {
	current, previous map[Key]Software
	startedAt         time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{current: map[Key]Software{}} }

// Unknown stands for software that is not known.
const Unknown Software = 0

// Contradicted stands for a stream of which different software was told, or whose software was
// told wrongly. No server may go on with it.
const Contradicted Software = math.MaxUint64

// Put records which software began a stream.
func (t *Table) Put(now time.Time, key Key, software Software) {
	if now.Sub(t.startedAt) >= generationTime || len(t.current) >= maxGeneration {
		t.current, t.previous, t.startedAt = map[Key]Software{}, t.current, now
	}
	if earlier, known := t.Get(key); known && earlier != software {
		software = Contradicted
	}
	t.current[key] = software
}

// Get returns the software that began a stream, and whether there is a record of it.
func (t *Table) Get(key Key) (software Software, recorded bool) {
	if software, known := t.current[key]; known {
		return software, true
	}
	software, known := t.previous[key]
	return software, known
}

// rate is the rate at which streams begin at a router, counted by the second.
type rate struct {
	second time.Time
	// count is the number of streams in the current second, last that in the second before.
	count, last int
}

// copies counts a stream and returns how many other routers are to be told of it.
func (r *rate) copies(now time.Time) int {
	if elapsed := now.Sub(r.second); elapsed >= time.Second {
		r.last = r.count
		if elapsed >= 2*time.Second {
			r.last = 0
		}
		r.second, r.count = now, 0
	}
	r.count++
	return min(max(tellsPerSecond/max(r.count, r.last), 1), maxCopies)
}

// Registry is the leader's list of routers.
type Registry struct {
	// seen holds the time of each router's last hello, by link address.
	seen map[string]time.Time
	// listed is the address after which the next list begins.
	listed string
}

// NewRegistry returns an empty list.
func NewRegistry() *Registry { return &Registry{seen: map[string]time.Time{}} }

// Hello records that a router runs.
func (r *Registry) Hello(now time.Time, address string) { r.seen[address] = now }

// List returns routers that run, at most maxListed; the next call goes on behind them.
func (r *Registry) List(now time.Time) []string {
	maps.DeleteFunc(r.seen, func(_ string, at time.Time) bool { return now.Sub(at) > helloExpiry })
	all := slices.Sorted(maps.Keys(r.seen))
	if len(all) <= maxListed {
		return all
	}
	first, found := slices.BinarySearch(all, r.listed)
	if found {
		first++
	}
	list := append(slices.Clone(all[first:]), all[:first]...)[:maxListed]
	r.listed = list[maxListed-1]
	return list
}

// Peers are the other routers that one router knows.
type Peers struct {
	// self is the link address of this router.
	self string
	// listedAt holds the time at which each was listed last, by link address.
	listedAt map[string]time.Time
	// toldAt is the time of the newest list.
	toldAt time.Time
}

// NewPeers returns the list of the router with the link address self.
func NewPeers(self string) *Peers { return &Peers{self: self, listedAt: map[string]time.Time{}} }

// Told records a list of the leader. Routers that it has not listed for a while are
// forgotten; while no lists come, the known ones are kept.
func (p *Peers) Told(now time.Time, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	p.toldAt = now
	for _, address := range addresses {
		if address != p.self {
			p.listedAt[address] = now
		}
	}
	maps.DeleteFunc(p.listedAt, func(_ string, at time.Time) bool { return now.Sub(at) > listExpiry })
}

// Holders returns up to n routers for the record of a stream, by rendezvous hashing.
func (p *Peers) Holders(key Key, n int) []string {
	type scored struct {
		score   uint64
		address string
	}
	var best []scored
	for address := range p.listedAt {
		s := scored{scoreOf(key, address), address}
		i, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		if i < n {
			best = slices.Insert(best, i, s)[:min(n, len(best)+1)]
		}
	}
	holders := make([]string, len(best))
	for i, s := range best {
		holders[i] = s.address
	}
	return holders
}

func scoreOf(key Key, address string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(key))
	_, _ = d.WriteString(address) // never fails
	return d.Sum64()
}
