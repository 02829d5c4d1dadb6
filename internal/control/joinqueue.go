package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"parsleypulley/internal/wire"
)

// JoinQueue holds the replicas that asked to join. The zero value is empty. It is safe for
// concurrent use.
type JoinQueue struct {
	mu sync.Mutex
	// replicas holds one replica for each address.
	replicas []*wire.Replica
	// firstRequest is the time of the first join request.
	firstRequest time.Time
}

// Add adds a replica. One that has lost its disk asks again with another identity.
func (q *JoinQueue) Add(now time.Time, replica *wire.Replica) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.IndexFunc(q.replicas, func(r *wire.Replica) bool { return r.GetAddress() == replica.GetAddress() }); i >= 0 {
		q.replicas[i] = replica
		return
	}
	if len(q.replicas) >= maxJoiners {
		return
	}
	if len(q.replicas) == 0 {
		q.firstRequest = now
	}
	q.replicas = append(q.replicas, replica)
}

// others returns all addresses except the given one.
func (q *JoinQueue) others(address string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []string
	for _, r := range q.replicas {
		if r.GetAddress() != address {
			out = append(out, r.GetAddress())
		}
	}
	return out
}

// collected reports whether so many replicas have asked, and others have had the time to.
func (q *JoinQueue) collected(now time.Time, count int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.replicas) >= count && now.Sub(q.firstRequest) >= joinCollectTime
}

// firstVoters returns the given number of the replicas that may vote, those with the first
// addresses in lexical order, or nil if there are fewer.
func (q *JoinQueue) firstVoters(count int, mayVote func(*wire.Replica) bool) []*wire.Replica {
	q.mu.Lock()
	defer q.mu.Unlock()
	var voters []*wire.Replica
	for _, r := range q.replicas {
		if mayVote(r) {
			voters = append(voters, r)
		}
	}
	if len(voters) < count {
		return nil
	}
	slices.SortFunc(voters, func(a, b *wire.Replica) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	return voters[:count]
}

// joinRequests returns those messages of a batch by which a replica asks to join any
// cluster.
func joinRequests(batch *wire.ConsensusBatch) []*wire.ConsensusMessage {
	var joins []*wire.ConsensusMessage
	for _, m := range batch.GetMessages() {
		if m.GetType() == wire.ConsensusMessage_TYPE_JOIN && m.GetTo() == 0 && m.GetFromAddress() != "" {
			joins = append(joins, m)
		}
	}
	return joins
}
