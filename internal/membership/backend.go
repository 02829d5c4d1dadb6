package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"parsleypulley/internal/wire"
)

// Limits on the contents of an announcement.
const (
	maxNameBytes    = 128
	MaxLoadedModels = 64
	maxAdapters     = 256
)

// maxRunningBound is the largest number of concurrent requests that a backend server may
// announce, as many as there are ports for connections from one VM. Routers would send all
// calls to a server with a larger number.
const maxRunningBound = 1 << 16

// maxStartMs is the beginning of the year 2100 in Unix milliseconds. A backend server without an
// agent has the time of its start as its incarnation, and replaces earlier ones of the same name or
// address: a later time, such as one in microseconds, would keep valid servers out for good.
const maxStartMs = 4_102_444_800_000

// CheckDeparture returns the first problem of the name and the incarnation of a backend server, or nil.
func CheckDeparture(b *wire.Backend) error {
	if b.GetAgentIncarnation() >= maxStartMs {
		return fmt.Errorf("the start at %d ms is too late", b.GetAgentIncarnation())
	}
	if b.GetName() != strings.TrimSpace(b.GetName()) {
		return errors.New("the name begins or ends with a space")
	}
	return CheckName(b.GetName())
}

// CheckAnnounced returns the first problem of a backend server without an agent that
// announces itself, or nil if routers can use it. It is stricter than ValidateBackend, which
// must decide alike at all replicas, also of other versions, and on entries that are in the
// log already.
func CheckAnnounced(b *wire.Backend) error {
	if problem := ValidateBackend(b); problem != "" {
		return errors.New(problem)
	}
	if err := CheckDeparture(b); err != nil {
		return err
	}
	names := []string{b.GetName(), b.GetService(), b.GetFailureDomain(), b.GetRegion(), b.GetSoftwareVersion()}
	for _, m := range b.GetModels() {
		if m.GetModel() == "" {
			return errors.New("a model has no name")
		}
		names = append(names, m.GetModel(), m.GetWeightsVersion())
	}
	for _, name := range names {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	if b.GetMaxRunning() > maxRunningBound {
		return fmt.Errorf("%d concurrent requests are over the limit of %d", b.GetMaxRunning(), maxRunningBound)
	}
	return checkReachable(b.GetAddress())
}

// isUsable reports whether routers can use a backend server that announces itself.
func isUsable(b *wire.Backend) bool {
	if b.GetAddress() != "" && b.GetAgentAddress() == "" {
		return CheckAnnounced(b) == nil
	}
	return ValidateBackend(b) == ""
}

// CheckName returns an error if no backend server may announce a name, such as that of a model: it is too
// long, or can't be sent in a protobuf message or a header and would fail the whole message.
func CheckName(name string) error {
	if len(name) > maxNameBytes {
		return fmt.Errorf("a name has %d bytes, more than %d", len(name), maxNameBytes)
	}
	for _, r := range name {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return fmt.Errorf("name %q has an invalid or a control character", name)
		}
	}
	return nil
}

// checkReachable returns an error if no server of another VM can have the address.
func checkReachable(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address %q is not ip:port", address)
	}
	ip := a.Addr().Unmap()
	switch {
	case a.Port() == 0:
		return fmt.Errorf("address %q has no port", address)
	case ip.Zone() != "" || ip.Is6() && ip.IsLinkLocalUnicast():
		return fmt.Errorf("address %q is valid on one network only", address)
	case ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return fmt.Errorf("address %q is not that of one VM", address)
	}
	return nil
}

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
	case len(b.GetModels()) > MaxLoadedModels:
		return fmt.Sprintf("backend server %q announces %d models, more than %d", name, len(b.GetModels()), MaxLoadedModels)
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

// validateAddress returns a description of the problem if the backend server has no valid
// address of its own or of its agent, or an empty string.
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
