// Package view holds the state that every process replicates: the configuration
// in force, the backend servers, the quarantined requests, the route table, the
// weights versions and the newest fencing token. Its version increases by one
// with each event.
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

// ErrGap is returned when events do not follow the local version: an event is
// missing, or an event is based on another state. A snapshot is needed then.
var ErrGap = errors.New("events do not join the view")

// Snapshot is the view at one version. It is immutable and safe for concurrent
// use. Its parts must not be modified.
type Snapshot struct {
	// Version is the number of events applied since the empty view.
	Version uint64
	// Config is the configuration in force.
	Config *config.Compiled
	// FencingToken is the newest fencing token, which is the term of a control
	// leader.
	FencingToken uint64
	// Routes is the route table in force. It is empty before the first one is
	// set.
	Routes *routes.Compiled

	weights    []*wire.WeightsTarget
	members    []*wire.Member
	quarantine []*wire.QuarantineEntry
	// message returns the snapshot as a message, built on the first call.
	message func() *wire.View
}

// Empty returns the view before the first event.
func Empty() *Snapshot {
	return (&Snapshot{Config: config.Empty(), Routes: routes.Compile(nil)}).initMessage()
}

// FromMessage returns the snapshot that a message contains. The message must not
// be modified afterwards.
func FromMessage(v *wire.View) (*Snapshot, error) {
	compiled, err := config.Compile(v.GetConfig())
	if err != nil {
		return nil, fmt.Errorf("compile view %d: %w", v.GetVersion(), err)
	}
	s := &Snapshot{
		Version:      v.GetVersion(),
		Config:       compiled,
		FencingToken: v.GetFencing(),
		Routes:       routes.Compile(v.GetRouteTable()),
		weights:      v.GetWeights(),
		members:      slices.DeleteFunc(slices.Clone(v.GetMembers()), namesNoBackend),
		quarantine:   slices.Clone(v.GetQuarantine()),
	}
	slices.SortFunc(s.members, compareMembers)
	slices.SortFunc(s.quarantine, compareEntries)
	return s.initMessage(), nil
}

// lacksKeyStatement reports whether the view has a route table of an earlier build that does not state whether
// calls need API keys.
func (s *Snapshot) lacksKeyStatement() bool {
	return s.Routes.Version() > 0 && !s.Routes.StatesKeys()
}

// supersedes reports whether s may replace another snapshot: its version is higher, or it is the same and only
// s states whether calls need API keys. Control replicas complete what earlier builds recorded, so that a router
// may first have got a version from one of those builds.
func (s *Snapshot) supersedes(other *Snapshot) bool {
	return s.Version > other.Version || s.Version == other.Version && other.lacksKeyStatement() && !s.lacksKeyStatement()
}

// initMessage sets the function that builds the message on first use, and returns
// s.
func (s *Snapshot) initMessage() *Snapshot {
	s.message = sync.OnceValue(func() *wire.View {
		return &wire.View{
			Version:    s.Version,
			Config:     s.Config.Config(),
			Members:    s.members,
			Quarantine: s.quarantine,
			Fencing:    s.FencingToken,
			RouteTable: s.Routes.Table,
			Weights:    s.weights,
		}
	})
	return s
}

// Message returns the snapshot as a message. The message must not be modified.
func (s *Snapshot) Message() *wire.View { return s.message() }

// WeightsTargets returns the weights versions that engines should hold. The slice
// must not be modified.
func (s *Snapshot) WeightsTargets() []*wire.WeightsTarget { return s.weights }

// Members returns the members ordered by name. The slice must not be modified.
func (s *Snapshot) Members() []*wire.Member { return s.members }

// Member returns the member with the given name, or nil.
func (s *Snapshot) Member(name string) *wire.Member {
	i, found := s.findMember(name)
	if !found {
		return nil
	}
	return s.members[i]
}

// Quarantined reports whether requests of an account with this fingerprint are
// quarantined.
func (s *Snapshot) Quarantined(account string, fingerprint []byte) bool {
	entry := s.QuarantineEntry(quarantine.Key{Account: account, Fingerprint: string(fingerprint)})
	return entry != nil && !entry.GetSuspect()
}

// QuarantineEntry returns the entry of a key, or nil.
func (s *Snapshot) QuarantineEntry(key quarantine.Key) *wire.QuarantineEntry {
	i, found := s.findEntry(key)
	if !found {
		return nil
	}
	return s.quarantine[i]
}

// QuarantinedCount returns the number of quarantined requests and parts of prompts.
func (s *Snapshot) QuarantinedCount() int {
	n := 0
	for _, entry := range s.quarantine {
		if !entry.GetSuspect() {
			n++
		}
	}
	return n
}

// Quarantine returns the quarantined requests and parts of prompts, and the parts that are
// suspected, ordered by account and fingerprint. The slice must not be modified.
func (s *Snapshot) Quarantine() []*wire.QuarantineEntry { return s.quarantine }

// With returns the view after further events, the first of which must have the
// next version. The two snapshots share what the events do not change, so the
// cost depends on the number of events and, because the slice of members is
// copied once, on the number of members. If With fails, the error wraps ErrGap
// and s is unchanged.
func (s *Snapshot) With(events ...*wire.ViewEvent) (*Snapshot, error) {
	if len(events) == 0 {
		return s, nil
	}
	next := &snapshotBuilder{Snapshot: Snapshot{
		Version:      s.Version,
		Config:       s.Config,
		FencingToken: s.FencingToken,
		Routes:       s.Routes,
		weights:      s.weights,
		members:      s.members,
		quarantine:   s.quarantine,
	}}
	for _, event := range events {
		if err := next.apply(event); err != nil {
			return nil, err
		}
	}
	return next.Snapshot.initMessage(), nil
}

// snapshotBuilder is a snapshot under construction.
type snapshotBuilder struct {
	Snapshot
	// membersCloned is set once members is no longer shared with another snapshot.
	membersCloned bool
	// quarantineCloned is set once quarantine is no longer shared.
	quarantineCloned bool
}

func (b *snapshotBuilder) apply(event *wire.ViewEvent) error {
	if event.GetVersion() != b.Version+1 {
		return fmt.Errorf("%w: event %d after version %d", ErrGap, event.GetVersion(), b.Version)
	}
	switch body := event.GetBody().(type) {
	case *wire.ViewEvent_Config:
		compiled, err := b.Config.With(body.Config)
		if err != nil {
			return fmt.Errorf("%w: event %d: %w", ErrGap, event.GetVersion(), err)
		}
		b.Config = compiled
	case *wire.ViewEvent_Member:
		b.putMember(body.Member)
	case *wire.ViewEvent_MemberRemoved:
		b.removeMember(body.MemberRemoved)
	case *wire.ViewEvent_Quarantine:
		b.putEntry(body.Quarantine)
	case *wire.ViewEvent_Fencing:
		b.FencingToken = max(b.FencingToken, body.Fencing)
	case *wire.ViewEvent_RouteTable:
		b.Routes = routes.Compile(body.RouteTable)
	case *wire.ViewEvent_Weights:
		b.weights, _ = routes.ReplaceWeightsTarget(b.weights, body.Weights)
	default:
		return fmt.Errorf("%w: event %d has an unknown body", ErrGap, event.GetVersion())
	}
	b.Version++
	return nil
}

func (b *snapshotBuilder) putMember(member *wire.Member) {
	if namesNoBackend(member) {
		return
	}
	b.cloneMembersOnce()
	i, found := b.findMember(member.GetBackend().GetName())
	if found {
		b.members[i] = member
		return
	}
	b.members = slices.Insert(b.members, i, member)
}

func (b *snapshotBuilder) removeMember(name string) {
	i, found := b.findMember(name)
	if !found {
		return
	}
	b.cloneMembersOnce()
	b.members = slices.Delete(b.members, i, i+1)
}

func (b *snapshotBuilder) putEntry(entry *wire.QuarantineEntry) {
	if !b.quarantineCloned {
		b.quarantine = slices.Clone(b.quarantine)
		b.quarantineCloned = true
	}
	i, found := b.findEntry(quarantine.KeyOf(entry))
	switch {
	case found && entry.GetCrashes() == 0:
		b.quarantine = slices.Delete(b.quarantine, i, i+1)
	case found:
		b.quarantine[i] = entry
	case entry.GetCrashes() > 0:
		b.quarantine = slices.Insert(b.quarantine, i, entry)
	}
}

func (b *snapshotBuilder) cloneMembersOnce() {
	if !b.membersCloned {
		b.members = slices.Clone(b.members)
		b.membersCloned = true
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

// namesNoBackend reports whether a member is an entry without a backend server. Such an entry is not
// taken into the view, whose readers rely on the backend server of each member.
func namesNoBackend(m *wire.Member) bool { return m.GetBackend().GetName() == "" }

func compareMembers(a, b *wire.Member) int {
	return strings.Compare(a.GetBackend().GetName(), b.GetBackend().GetName())
}

func compareEntries(a, b *wire.QuarantineEntry) int {
	return quarantine.Compare(quarantine.KeyOf(a), quarantine.KeyOf(b))
}
