package membership

import (
	"fmt"
	"net/netip"
	"slices"

	"parsleypulley/internal/wire"
)

// Limits on the contents of an announcement.
const (
	maxNameBytes    = 128
	maxLoadedModels = 64
	maxAdapters     = 256
)

// ValidateBackend returns a description of the first problem in an announced
// backend server, or an empty string if it is valid.
func ValidateBackend(b *wire.Backend) string {
	name := b.GetName()
	switch {
	case name == "":
		return "backend server has no name"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("backend server's name has %d bytes, more than %d", len(name), maxNameBytes)
	case len(b.GetFailureDomain()) > maxNameBytes || len(b.GetRegion()) > maxNameBytes || len(b.GetService()) > maxNameBytes:
		return fmt.Sprintf("backend server %q: a name in its announcement has more than %d bytes", name, maxNameBytes)
	case b.GetAgentIncarnation() == 0:
		return fmt.Sprintf("backend server %q has no agent incarnation", name)
	case len(b.GetModels()) > maxLoadedModels:
		return fmt.Sprintf("backend server %q announces %d models, more than %d", name, len(b.GetModels()), maxLoadedModels)
	}
	if problem := validateAddress(b); problem != "" {
		return fmt.Sprintf("backend server %q: %s", name, problem)
	}
	for _, model := range b.GetModels() {
		if len(model.GetAdapters()) > maxAdapters {
			return fmt.Sprintf("backend server %q: model %q has more than %d adapters", name, model.GetModel(), maxAdapters)
		}
	}
	return ""
}

// validateAddress checks that the backend server has a valid address of its own or
// of its agent.
func validateAddress(b *wire.Backend) string {
	if b.GetAddress() != "" && b.GetAgentAddress() == "" {
		if _, err := netip.ParseAddrPort(b.GetAddress()); err != nil {
			return fmt.Sprintf("address %q is not ip:port", b.GetAddress())
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(b.GetAgentAddress()); err != nil {
		return fmt.Sprintf("agent address %q is not ip:port", b.GetAgentAddress())
	}
	return ""
}

// nameSet is a bounded set of names in insertion order. When it is full, adding a
// name evicts the oldest one.
type nameSet struct {
	names []string
	index map[string]bool
}

func newNameSet(names []string) nameSet {
	var set nameSet
	for _, name := range names {
		set.add(name)
	}
	return set
}

func (s *nameSet) has(name string) bool { return s.index[name] }

func (s *nameSet) add(name string) {
	if s.index[name] {
		return
	}
	if s.index == nil {
		s.index = map[string]bool{}
	}
	if len(s.names) >= maxRetainedNames {
		delete(s.index, s.names[0])
		s.names = slices.Delete(s.names, 0, 1)
	}
	s.names = append(s.names, name)
	s.index[name] = true
}

func (s *nameSet) remove(name string) bool {
	if !s.index[name] {
		return false
	}
	delete(s.index, name)
	s.names = slices.DeleteFunc(s.names, func(n string) bool { return n == name })
	return true
}
