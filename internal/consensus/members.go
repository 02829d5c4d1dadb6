package consensus

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// replicaSets is the history of the replica sets (configurations) in the log. As
// in Raft, the newest set in the log is in force even before it is committed.
type replicaSets struct {
	history []replicaSetChange
}

type replicaSetChange struct {
	index uint64
	set   *wire.ReplicaSet
}

func (s *replicaSets) current() *wire.ReplicaSet {
	if len(s.history) == 0 {
		return nil
	}
	return s.history[len(s.history)-1].set
}

// index returns the log index of the newest replica set, or 0 if there is none.
func (s *replicaSets) index() uint64 {
	if len(s.history) == 0 {
		return 0
	}
	return s.history[len(s.history)-1].index
}

func (s *replicaSets) add(index uint64, set *wire.ReplicaSet) {
	s.history = append(s.history, replicaSetChange{index: index, set: set})
}

// truncate removes the replica sets at index and after it.
func (s *replicaSets) truncate(index uint64) {
	for len(s.history) > 0 && s.index() >= index {
		s.history = s.history[:len(s.history)-1]
	}
}

// compact removes the replica sets that a newer set at or before index replaced.
func (s *replicaSets) compact(index uint64) {
	for len(s.history) > 1 && s.history[1].index <= index {
		s.history = s.history[1:]
	}
}

// at returns the replica set in force at index, or nil.
func (s *replicaSets) at(index uint64) *wire.ReplicaSet {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].index <= index {
			return s.history[i].set
		}
	}
	return nil
}

// find returns the replica with the identity id in the current set, or nil.
func (s *replicaSets) find(id uint64) *wire.Replica {
	for _, r := range s.current().GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

func (s *replicaSets) isVoter(id uint64) bool {
	r := s.find(id)
	return r != nil && !r.Learner
}

func (s *replicaSets) voters() []uint64 {
	var ids []uint64
	for _, r := range s.current().GetReplicas() {
		if !r.Learner {
			ids = append(ids, r.Id)
		}
	}
	return ids
}

// quorumValue returns the highest number n such that value is at least n for a
// majority of the voters. It returns 0 if there are no voters.
func (s *replicaSets) quorumValue(value func(id uint64) uint64) uint64 {
	// Up to DefaultMaxVoters values need no allocation.
	var buffer [DefaultMaxVoters]uint64
	values := buffer[:0]
	for _, r := range s.current().GetReplicas() {
		if !r.Learner {
			values = append(values, value(r.Id))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[len(values)/2]
}

// withReplica returns a copy of set that contains replica: a new replica is added
// as a learner, a known one only gets its new address. Any other replica with the
// same address is removed, because the address now belongs to replica.
func withReplica(set *wire.ReplicaSet, replica *wire.Replica) *wire.ReplicaSet {
	next := &wire.ReplicaSet{}
	learner := true
	for _, r := range set.Replicas {
		switch {
		case r.Id == replica.Id:
			learner = r.Learner
		case r.Address != replica.Address:
			next.Replicas = append(next.Replicas, r)
		}
	}
	next.Replicas = append(next.Replicas, &wire.Replica{Id: replica.Id, Address: replica.Address, Learner: learner})
	return next
}

// withLearner returns a copy of set in which the replica id is a learner or a voter.
func withLearner(set *wire.ReplicaSet, id uint64, learner bool) *wire.ReplicaSet {
	next := proto.Clone(set).(*wire.ReplicaSet)
	for _, r := range next.Replicas {
		if r.Id == id {
			r.Learner = learner
		}
	}
	return next
}

func withoutReplica(set *wire.ReplicaSet, id uint64) *wire.ReplicaSet {
	next := &wire.ReplicaSet{}
	for _, r := range set.Replicas {
		if r.Id != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}
