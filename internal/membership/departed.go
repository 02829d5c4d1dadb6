package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/wire"
)

// maxDeparted limits the incarnations that are remembered after they have left, which take some 20
// bytes each in a snapshot: four times as many as the largest installation has backend servers.
const maxDeparted = 16384

// departedKey identifies an incarnation of a backend server. Starts are compared for equality only: the
// clock of a backend server may go back between two of them.
type departedKey struct{ nameHash, incarnation uint64 }

func departedKeyOf(b *wire.Backend) departedKey {
	return departedKey{xxhash.Sum64String(b.GetName()), b.GetAgentIncarnation()}
}

// departedSet holds the incarnations that have left. An announcement that one of them sent before may arrive later,
// also at the leader of a later term, which has not seen it leave. It must not bring the backend server back.
type departedSet struct {
	// order holds the members of set, oldest first.
	order []departedKey
	set   map[departedKey]bool
}

func newDepartedSet(list []*wire.DepartedBackend) departedSet {
	var s departedSet
	for _, d := range list {
		s.add(departedKey{d.GetNameHash(), d.GetIncarnation()})
	}
	return s
}

func (s *departedSet) add(key departedKey) {
	if s.set[key] {
		return
	}
	if s.set == nil {
		s.set = map[departedKey]bool{}
	}
	if len(s.order) >= maxDeparted {
		delete(s.set, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
	s.order = append(s.order, key)
	s.set[key] = true
}

// messages returns the members of the set, oldest first.
func (s *departedSet) messages() []*wire.DepartedBackend {
	out := make([]*wire.DepartedBackend, 0, len(s.order))
	for _, key := range s.order {
		out = append(out, &wire.DepartedBackend{NameHash: key.nameHash, Incarnation: key.incarnation})
	}
	return out
}
