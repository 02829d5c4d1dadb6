package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/once"
	"parsleypulley/internal/wire"
)

// Snapshot returns the whole state as a marshalled wire.MachineSnapshot. The encoding
// is deterministic: equal states produce equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	snapshot := &wire.MachineSnapshot{
		View:          m.log.Snapshot().Message(),
		Once:          m.once.Records(),
		ConfigResults: m.config.Results(),
		CrashCounts:   m.quarantine.Entries(),
		RecentCrashes: m.quarantine.Recent(),
		OpenOrders:    m.fleet.Open(),
		NextOrder:     m.fleet.LastID() + 1,
		FleetTerm:     m.fleet.Term(),
		Retired:       m.members.Retired(),
		Drained:       m.members.Drained(),
		Departed:      m.members.Departed(),
		AppliedIndex:  m.applied,
		ClockMs:       m.clock.ms,
		ClockSeenMs:   m.clock.lastLeaderMS,
		RouteDocument: m.routes.Document(),
	}
	m.mu.RUnlock()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	snapshot := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.routes.StateKeys(snapshot.GetView().GetRouteTable(), snapshot.GetRouteDocument()) // before the view has it
	if err := m.config.Restore(snapshot.GetView().GetConfig(), snapshot.GetConfigResults()); err != nil {
		return err
	}
	if err := m.log.Reset(snapshot.GetView()); err != nil {
		return fmt.Errorf("restore the view: %w", err)
	}
	m.members.Restore(snapshot.GetView().GetMembers(), snapshot.GetDrained(), snapshot.GetRetired(), snapshot.GetDeparted())
	m.once.Restore(snapshot.GetOnce())
	m.quarantine.Restore(snapshot.GetCrashCounts(), snapshot.GetRecentCrashes())
	m.routes.Restore(snapshot.GetView().GetRouteTable(), snapshot.GetRouteDocument(), snapshot.GetView().GetWeights())
	if term := snapshot.GetFleetTerm(); term > m.fleet.Term() {
		m.notifyTermStarted(&wire.LeaderStart{Term: term}) // the terms between the two are not known
	}
	m.fleet.Restore(snapshot.GetFleetTerm(), max(snapshot.GetNextOrder(), 1)-1, snapshot.GetOpenOrders())
	m.clock = clock{ms: snapshot.GetClockMs(), lastLeaderMS: snapshot.GetClockSeenMs()}
	m.applied = snapshot.GetAppliedIndex()
	m.version = snapshot.GetView().GetVersion()
	return nil
}

// LookupClaim returns the at-most-once record of an account's key, or nil. The read is
// linearizable if it follows a read barrier.
func (m *Machine) LookupClaim(account, key string) *wire.OnceRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.once.Lookup(m.clock.ms, once.Key{Account: account, Key: key})
}

// HasDeparted reports whether it is committed that an incarnation of a backend server gets no more work.
func (m *Machine) HasDeparted(b *wire.Backend) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.members.HasDeparted(b)
}

// OpenOrders returns the open orders to engines, oldest first.
func (m *Machine) OpenOrders() []*wire.Order {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet.Open()
}

// AppliedIndex returns the index of the last applied command.
func (m *Machine) AppliedIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.applied
}
