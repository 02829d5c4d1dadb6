package routing

import (
	"math"
	"time"
)

// homeWeightExponent is the exponent of an engine's speed in its weight.
const homeWeightExponent = 0.5

// scoredServer is a backend server with its rendezvous hashing score for one
// key.
type scoredServer struct {
	score  uint64
	server *server
}

// candidates appends to dst the eligible backend servers of the group among
// which to choose for a request, in the rendezvous order of key, and returns
// the extended slice. If the group is larger than the capacity of dst, only the
// first rendezvousCandidates of that order are taken, and some random backend
// servers are added.
func (r *Router) candidates(now time.Time, group group, key uint64, req *Request, dst []candidate) []candidate {
	limit := cap(dst)
	if len(group.servers) > limit {
		limit = rendezvousCandidates
	}
	var buf [maxCandidates]scoredServer
	order := buf[:0]
	lowest := uint64(0)
	uneven := now.Before(r.unevenUntil)
	for i, nameHash := range group.nameHashes {
		score := mix(key ^ nameHash)
		if uneven {
			score = weightedScore(score, group.servers[i].homeWeight())
		}
		if len(order) == limit && score <= lowest {
			continue
		}
		s := group.servers[i]
		if !r.eligible(now, s, req) {
			continue
		}
		order = insertByScore(order, scoredServer{score, s}, limit)
		lowest = order[len(order)-1].score
	}
	for rank, scored := range order {
		dst = append(dst, newCandidate(now, scored.server, req.Model, rank))
	}
	if len(group.servers) <= cap(dst) {
		return dst
	}
	return r.addRandom(now, group.servers, req, dst)
}

// poolCandidates returns the candidates of the ready group or, if there are none, of the fallback
// group, and the request with which they were found. In each group, backend servers with an open
// breaker are candidates only if there are no others; see server.lastResort.
func (r *Router) poolCandidates(now time.Time, p *pool, key uint64, req *Request, dst []candidate) ([]candidate, *Request) {
	for _, g := range []group{p.ready, p.fallback} {
		if found := r.candidates(now, g, key, req, dst); len(found) > 0 {
			return found, req
		}
		lastResort := *req
		lastResort.lastResort = true
		if found := r.candidates(now, g, key, &lastResort, dst); len(found) > 0 {
			return found, &lastResort
		}
	}
	return dst, req
}

func newCandidate(now time.Time, s *server, model string, rank int) candidate {
	c := candidate{server: s, model: s.modelState(model), rank: rank, age: s.reportAge(now), heldAge: s.heldAge(now)}
	if !c.model.startedAt.IsZero() {
		c.recentlyStarted = now.Sub(c.model.startedAt) < assumedEmptyPeriod
	}
	return c
}

// eligible reports whether a request may go to a backend server.
func (r *Router) eligible(now time.Time, s *server, req *Request) bool {
	return s.eligible(now, req) && (!req.withRoom || r.hasRoom(now, s, req)) && r.beginsInTime(now, s, req)
}

// beginsInTime reports whether a request is expected to begin in time at a backend server, if it has a check
// for that.
func (r *Router) beginsInTime(now time.Time, s *server, req *Request) bool {
	return req.check == nil || req.check.passes(r, now, s, req)
}

// addRandom draws randomCandidates backend servers, appends to dst those that
// are eligible and not yet in it, and returns the extended slice.
func (r *Router) addRandom(now time.Time, servers []*server, req *Request, dst []candidate) []candidate {
	for range randomCandidates {
		s := servers[r.random.IntN(len(servers))]
		if !r.eligible(now, s, req) || containsServer(dst, s) {
			continue
		}
		dst = append(dst, newCandidate(now, s, req.Model, len(servers)))
	}
	return dst
}

// insertByScore inserts a server into order, which stays sorted by descending
// score and at most limit long: at the limit, the new server replaces the last
// one.
func insertByScore(order []scoredServer, scored scoredServer, limit int) []scoredServer {
	if len(order) < limit {
		order = append(order, scored)
	}
	i := len(order) - 1
	for i > 0 && order[i-1].score < scored.score {
		order[i] = order[i-1]
		i--
	}
	order[i] = scored
	return order
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func containsServer(found []candidate, s *server) bool {
	for i := range found {
		if found[i].server == s {
			return true
		}
	}
	return false
}

// homeWeight returns the weight of the backend server in the rendezvous order: a faster engine is
// the home of more contexts.
func (s *server) homeWeight() float64 {
	if s.learntSpeed > 0 {
		return math.Pow(s.learntSpeed, homeWeightExponent)
	}
	return 1
}

// weightedScore returns the score of a backend server with a weight (weighted rendezvous
// hashing): it comes first in the order for a part of the keys that is proportional to its
// weight. With equal weights, the order is that of the scores.
func weightedScore(score uint64, weight float64) uint64 {
	u := (float64(score>>11) + 0.5) / (1 << 53)
	return math.Float64bits(-weight / math.Log(u)) // positive numbers are ordered as their bits
}
