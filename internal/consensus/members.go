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

func (m *replicaSets) current() *wire.ReplicaSet {
	if len(m.history) == 0 {
		return nil
	}
	return m.history[len(m.history)-1].set
}

// index returns the log index of the newest replica set, or 0 if there is none.
func (m *replicaSets) index() uint64 {
	if len(m.history) == 0 {
		return 0
	}
	return m.history[len(m.history)-1].index
}

func (m *replicaSets) add(index uint64, set *wire.ReplicaSet) {
	m.history = append(m.history, replicaSetChange{index: index, set: set})
}

// truncate removes the replica sets at index and after it.
func (m *replicaSets) truncate(index uint64) {
	for len(m.history) > 0 && m.index() >= index {
		m.history = m.history[:len(m.history)-1]
	}
}

// compact removes the replica sets that a newer set at or before index replaced.
func (m *replicaSets) compact(index uint64) {
	for len(m.history) > 1 && m.history[1].index <= index {
		m.history = m.history[1:]
	}
}

// at returns the replica set in force at index, or nil.
func (m *replicaSets) at(index uint64) *wire.ReplicaSet {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].index <= index {
			return m.history[i].set
		}
	}
	return nil
}

// find returns the replica with the identity id in the current set, or nil.
func (m *replicaSets) find(id uint64) *wire.Replica {
	for _, r := range m.current().GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

func (m *replicaSets) isVoter(id uint64) bool {
	r := m.find(id)
	return r != nil && !r.Learner
}

func (m *replicaSets) voters() []uint64 {
	var ids []uint64
	for _, r := range m.current().GetReplicas() {
		if !r.Learner {
			ids = append(ids, r.Id)
		}
	}
	return ids
}

// quorumValue returns the highest number n such that value is at least n for a
// majority of the voters. It returns 0 if there are no voters.
func (m *replicaSets) quorumValue(value func(id uint64) uint64) uint64 {
	var buffer [DefaultMaxVoters]uint64
	values := buffer[:0]
	for _, r := range m.current().GetReplicas() {
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

func withPromoted(set *wire.ReplicaSet, id uint64) *wire.ReplicaSet {
	next := proto.Clone(set).(*wire.ReplicaSet)
	for _, r := range next.Replicas {
		if r.Id == id {
			r.Learner = false
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
