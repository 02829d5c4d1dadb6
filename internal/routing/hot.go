package routing

import (
	"math"
	"time"
)

const (
	// keyLoadHalfLife is the time in which the load of an unused key halves.
	keyLoadHalfLife = 4 * time.Second
	// maxHotKeys limits the number of keys whose load is kept.
	maxHotKeys = 1 << 13
	// maxKeyUtilization is the part of a backend server's time that one key may
	// use before it is spread over another backend server.
	maxKeyUtilization = 0.25
)

// hotKeys keeps the recent load of each context by its key, in seconds of work
// for each second of time: a load of 1 keeps one backend server busy.
type hotKeys struct {
	keyLoad map[uint64]*keyLoad
	// ring lists the keys in the order of their insertion.
	ring []uint64
	// hand is the index in ring at which the next search for a key to replace
	// begins.
	hand int
}

// keyLoad is the load of a key as of a time.
type keyLoad struct {
	value float64
	at    time.Time
}

func newHotKeys() *hotKeys { return &hotKeys{keyLoad: make(map[uint64]*keyLoad)} }

// decayed returns the load at the given time.
func (l *keyLoad) decayed(now time.Time) float64 {
	age := now.Sub(l.at)
	if age <= 0 {
		return l.value
	}
	return l.value * math.Exp2(-float64(age)/float64(keyLoadHalfLife))
}

// add adds the work of a request with the key, and returns the load of the key.
func (k *hotKeys) add(now time.Time, key uint64, work time.Duration) float64 {
	l, known := k.keyLoad[key]
	if !known {
		l = &keyLoad{at: now}
		k.insert(now, key, l)
	}
	l.value = l.decayed(now) + work.Seconds()*math.Ln2/keyLoadHalfLife.Seconds()
	l.at = now
	return l.value
}

// load returns the load of a key.
func (k *hotKeys) load(now time.Time, key uint64) float64 {
	l, known := k.keyLoad[key]
	if !known {
		return 0
	}
	return l.decayed(now)
}

// insert adds a key. At maxHotKeys it replaces the key with the lowest load
// among the next few of the ring.
func (k *hotKeys) insert(now time.Time, key uint64, l *keyLoad) {
	k.keyLoad[key] = l
	if len(k.ring) < maxHotKeys {
		k.ring = append(k.ring, key)
		return
	}
	const samples = 8
	lowest := k.hand
	for i := range samples {
		at := (k.hand + i) % maxHotKeys
		if k.load(now, k.ring[at]) < k.load(now, k.ring[lowest]) {
			lowest = at
		}
	}
	delete(k.keyLoad, k.ring[lowest])
	k.ring[lowest] = key
	k.hand = (k.hand + samples) % maxHotKeys
}

// replicas returns over how many of n backend servers the context with the
// given load is spread, from 1 to n.
func replicas(load float64, n int) int {
	return min(max(1, int(math.Ceil(load/maxKeyUtilization))), n)
}

// shareEstimate estimates which part of all requests passes through this
// router. It compares the router's own requests with those in load reports.
type shareEstimate struct{ own, all float64 }

func newShareEstimate() shareEstimate { return shareEstimate{own: 1, all: 2} }

// observe records the number of the router's own running requests at a backend
// server, and that of all requests there according to its load report.
func (s *shareEstimate) observe(own, all int) {
	const window = 100
	if s.all > window {
		s.own /= 2
		s.all /= 2
	}
	s.own += float64(min(own, all))
	s.all += float64(all)
}

// minRequestShare is the least estimate of a router's part of all requests.
const minRequestShare = 0.002

// value returns the estimated part, from minRequestShare to 1.
func (s *shareEstimate) value() float64 { return min(max(s.own/s.all, minRequestShare), 1) }
