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

// departedSet holds the incarnations that have left or have said that they leave.
//
// Invariant: an incarnation in the set never gets work again. It is not READY in the table, and no change makes it so:
// join refuses it, undrain leaves it draining, and all other changes keep a member DRAINING. So a committed record
// here is what the acknowledgement of a departure stands for, whichever message of the incarnation arrives later, at
// whichever leader. A further start under the same name is another incarnation, and joins at once.
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

func (s *departedSet) has(b *wire.Backend) bool { return s.set[departedKeyOf(b)] }

// messages returns the members of the set, oldest first.
func (s *departedSet) messages() []*wire.DepartedBackend {
	out := make([]*wire.DepartedBackend, 0, len(s.order))
	for _, key := range s.order {
		out = append(out, &wire.DepartedBackend{NameHash: key.nameHash, Incarnation: key.incarnation})
	}
	return out
}
