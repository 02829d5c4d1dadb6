// Package view holds what every process follows: the configuration in force,
// the backend servers, the quarantined requests and the newest fencing token.
// Its version grows by one with each event.
package view

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"parsleypulley/internal/config"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/routes"
	"parsleypulley/internal/wire"
)

// ErrGap tells that events don't join the version at hand: one is missing, or
// one builds on another state. A whole snapshot is needed.
var ErrGap = errors.New("events do not join the view")

// Snapshot is the view at one version. It is immutable and safe for concurrent
// use; its parts must not be modified.
type Snapshot struct {
	// Version is the number of events that led to the view.
	Version uint64
	// Config is the configuration in force.
	Config *config.Compiled
	// Fencing is the newest term of a control leader.
	Fencing uint64
	// Routes is the route table in force, empty before the first.
	Routes *routes.Compiled

	weights    []*wire.WeightsTarget
	members    []*wire.Member
	quarantine []*wire.QuarantineEntry
	message    func() *wire.View
}

// Empty returns the view before the first event.
func Empty() *Snapshot {
	return (&Snapshot{Config: config.Empty(), Routes: routes.Compile(nil)}).sealed()
}

// FromMessage returns the snapshot that a message describes. The message must
// not be modified afterwards.
func FromMessage(v *wire.View) (*Snapshot, error) {
	compiled, err := config.Compile(v.GetConfig())
	if err != nil {
		return nil, fmt.Errorf("compile view %d: %w", v.GetVersion(), err)
	}
	s := &Snapshot{
		Version:    v.GetVersion(),
		Config:     compiled,
		Fencing:    v.GetFencing(),
		Routes:     routes.Compile(v.GetRouteTable()),
		weights:    v.GetWeights(),
		members:    slices.Clone(v.GetMembers()),
		quarantine: slices.Clone(v.GetQuarantine()),
	}
	slices.SortFunc(s.members, compareMembers)
	slices.SortFunc(s.quarantine, compareEntries)
	return s.sealed(), nil
}

// sealed prepares the message, which is built on first use.
func (s *Snapshot) sealed() *Snapshot {
	s.message = sync.OnceValue(func() *wire.View {
		return &wire.View{
			Version:    s.Version,
			Config:     s.Config.Config(),
			Members:    s.members,
			Quarantine: s.quarantine,
			Fencing:    s.Fencing,
			RouteTable: s.Routes.Table,
			Weights:    s.weights,
		}
	})
	return s
}

// Message returns the snapshot as a message, which must not be modified.
func (s *Snapshot) Message() *wire.View { return s.message() }

// WeightsTargets returns the versions that engines are to hold. The slice must
// not be modified.
func (s *Snapshot) WeightsTargets() []*wire.WeightsTarget { return s.weights }

// Members returns the members in the order of their names. The slice must not
// be modified.
func (s *Snapshot) Members() []*wire.Member { return s.members }

// Member returns the member called name, or nil.
func (s *Snapshot) Member(name string) *wire.Member {
	i, found := s.findMember(name)
	if !found {
		return nil
	}
	return s.members[i]
}

// Quarantined reports whether the requests of an account with this fingerprint
// are quarantined.
func (s *Snapshot) Quarantined(account string, fingerprint []byte) bool {
	_, found := s.findEntry(quarantine.Key{Account: account, Fingerprint: string(fingerprint)})
	return found
}

// Quarantine returns the quarantined requests, ordered by account and
// fingerprint. The slice must not be modified.
func (s *Snapshot) Quarantine() []*wire.QuarantineEntry { return s.quarantine }

// With returns the view after further events, which must start at the next
// version. Both share what the events leave alone, so the cost follows the
// number of events and, by one copy of pointers, that of members. An error
// wraps ErrGap and leaves s as it is.
func (s *Snapshot) With(events ...*wire.ViewEvent) (*Snapshot, error) {
	if len(events) == 0 {
		return s, nil
	}
	next := &editor{Snapshot: Snapshot{
		Version:    s.Version,
		Config:     s.Config,
		Fencing:    s.Fencing,
		Routes:     s.Routes,
		weights:    s.weights,
		members:    s.members,
		quarantine: s.quarantine,
	}}
	for _, event := range events {
		if err := next.apply(event); err != nil {
			return nil, err
		}
	}
	return next.Snapshot.sealed(), nil
}

// editor is a snapshot under construction.
type editor struct {
	Snapshot
	ownsMembers    bool
	ownsQuarantine bool
}

func (e *editor) apply(event *wire.ViewEvent) error {
	if event.GetVersion() != e.Version+1 {
		return fmt.Errorf("%w: event %d after version %d", ErrGap, event.GetVersion(), e.Version)
	}
	switch body := event.GetBody().(type) {
	case *wire.ViewEvent_Config:
		compiled, err := e.Config.With(body.Config)
		if err != nil {
			return fmt.Errorf("%w: event %d: %w", ErrGap, event.GetVersion(), err)
		}
		e.Config = compiled
	case *wire.ViewEvent_Member:
		e.putMember(body.Member)
	case *wire.ViewEvent_MemberRemoved:
		e.removeMember(body.MemberRemoved)
	case *wire.ViewEvent_Quarantine:
		e.putEntry(body.Quarantine)
	case *wire.ViewEvent_Fencing:
		e.Fencing = max(e.Fencing, body.Fencing)
	case *wire.ViewEvent_RouteTable:
		e.Routes = routes.Compile(body.RouteTable)
	case *wire.ViewEvent_Weights:
		e.weights, _ = routes.ReplaceWeightsTarget(e.weights, body.Weights)
	default:
		return fmt.Errorf("%w: event %d has an unknown body", ErrGap, event.GetVersion())
	}
	e.Version++
	return nil
}

func (e *editor) putMember(member *wire.Member) {
	e.ownMembers()
	i, found := e.findMember(member.GetBackend().GetName())
	if found {
		e.members[i] = member
		return
	}
	e.members = slices.Insert(e.members, i, member)
}

func (e *editor) removeMember(name string) {
	i, found := e.findMember(name)
	if !found {
		return
	}
	e.ownMembers()
	e.members = slices.Delete(e.members, i, i+1)
}

func (e *editor) putEntry(entry *wire.QuarantineEntry) {
	if !e.ownsQuarantine {
		e.quarantine = slices.Clone(e.quarantine)
		e.ownsQuarantine = true
	}
	i, found := e.findEntry(quarantine.KeyOf(entry))
	switch {
	case found && entry.GetCrashes() == 0:
		e.quarantine = slices.Delete(e.quarantine, i, i+1)
	case found:
		e.quarantine[i] = entry
	case entry.GetCrashes() > 0:
		e.quarantine = slices.Insert(e.quarantine, i, entry)
	}
}

func (e *editor) ownMembers() {
	if !e.ownsMembers {
		e.members = slices.Clone(e.members)
		e.ownsMembers = true
	}
}

func (s *Snapshot) findMember(name string) (int, bool) {
	return slices.BinarySearchFunc(s.members, name, func(m *wire.Member, name string) int {
		return strings.Compare(m.GetBackend().GetName(), name)
	})
}

func (s *Snapshot) findEntry(key quarantine.Key) (int, bool) {
	return slices.BinarySearchFunc(s.quarantine, key, func(entry *wire.QuarantineEntry, key quarantine.Key) int {
		return quarantine.Compare(quarantine.KeyOf(entry), key)
	})
}

func compareMembers(a, b *wire.Member) int {
	return strings.Compare(a.GetBackend().GetName(), b.GetBackend().GetName())
}

func compareEntries(a, b *wire.QuarantineEntry) int {
	return quarantine.Compare(quarantine.KeyOf(a), quarantine.KeyOf(b))
}
