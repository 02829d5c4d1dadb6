// Package control implements the control role: the replicated state machine, and the
// services that it offers to other processes and to operators.
package control

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/config"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/membership"
	"parsleypulley/internal/once"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routes"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// Limits bounds the sizes of the replicated tables. They must be the same at all
// replicas.
type Limits struct {
	Once       once.Limits
	Quarantine quarantine.Limits
	ViewLog    view.LogLimits
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		Once:       once.DefaultLimits(),
		Quarantine: quarantine.DefaultLimits(),
		ViewLog:    view.DefaultLogLimits(),
	}
}

// Machine is the replicated state machine of the control replicas. It applies
// commands in log order and emits view events. It is safe for concurrent use.
type Machine struct {
	log *view.Log

	mu sync.RWMutex
	// applied is the index of the last applied command.
	applied    uint64
	clock      clock
	config     *config.State
	members    *membership.State
	once       *once.Table
	fleet      *fleet.State
	quarantine *quarantine.Table
	routes     *routes.State
	// events holds the view events emitted by the command being applied.
	events []*wire.ViewEvent
	// version is the view version after the last event.
	version uint64
	// termStarted, if set, is called with the lock held for each term of a leader that
	// begins, and when a leader resumes the grants of quotas.
	termStarted func(start *wire.LeaderStart)
}

// NewMachine returns the state before the first command.
func NewMachine(limits Limits) *Machine {
	return &Machine{
		log:        view.NewLog(limits.ViewLog),
		config:     config.NewState(),
		members:    membership.NewState(),
		once:       once.NewTable(limits.Once),
		fleet:      fleet.NewState(),
		quarantine: quarantine.NewTable(limits.Quarantine),
		routes:     routes.NewState(),
	}
}

// SetDeclaresAccounts sets the function that reports whether the declaration of a route table has a
// list of client accounts; see routes.State. It must be called before the first command.
func (m *Machine) SetDeclaresAccounts(declares func(document []byte) bool) {
	m.routes.SetDeclaresAccounts(declares)
}

// Log returns the view log to which the machine appends its events.
func (m *Machine) Log() *view.Log { return m.log }

// Apply applies the marshalled wire.Command committed at index and returns a
// *wire.CommandResult. A command at an index that is already applied has no effect.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.applied {
		return m.problem(fmt.Sprintf("index %d has been applied before", index))
	}
	m.applied = index
	command := &wire.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return m.problem(fmt.Sprintf("decode command: %v", err))
	}
	m.events = nil
	var result *wire.CommandResult
	// All replicas apply the command, also when they start anew: a panic must not end them. It is
	// the same at each of them, as they have the same state.
	err := recovery.Call("command", func() error {
		result = m.apply(index, command)
		if err := m.log.Append(m.events...); err != nil {
			return fmt.Errorf("append to the view: %w", err)
		}
		return nil
	})
	if err != nil {
		m.version = m.log.Version() // the view has none of the events; later ones must join it
		return m.problem(err.Error())
	}
	result.ViewVersion = m.version
	return result
}

func (m *Machine) apply(index uint64, command *wire.Command) *wire.CommandResult {
	switch body := command.GetBody().(type) {
	case *wire.Command_Config:
		return m.applyConfig(body.Config)
	case *wire.Command_Backend:
		return m.applyBackend(body.Backend)
	case *wire.Command_OnceClaim:
		return onceResult(m.applyClaim(index, body.OnceClaim))
	case *wire.Command_OnceFinish:
		return onceResult(m.once.Finish(m.clock.ms, body.OnceFinish))
	case *wire.Command_OnceExpire:
		return m.applyExpire(body.OnceExpire)
	case *wire.Command_Crash:
		return m.applyCrash(body.Crash)
	case *wire.Command_Crashes:
		results, events := m.quarantine.ReportAll(m.clock.ms, body.Crashes.GetReports())
		m.emitQuarantine(events)
		return &wire.CommandResult{Body: &wire.CommandResult_Crashes{Crashes: &wire.CrashResults{Results: results}}}
	case *wire.Command_Fleet:
		result := m.fleet.Apply(body.Fleet)
		return &wire.CommandResult{Body: &wire.CommandResult_Fleet{Fleet: result}}
	case *wire.Command_LeaderStart:
		return m.applyLeaderStart(body.LeaderStart)
	case *wire.Command_RouteTable:
		return m.applyRouteTable(body.RouteTable)
	case *wire.Command_Weights:
		if m.routes.SetWeightsTarget(body.Weights) {
			m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_Weights{Weights: body.Weights}})
		}
		return &wire.CommandResult{}
	}
	return m.problem("unknown kind of command")
}

func (m *Machine) applyConfig(change *wire.ConfigChange) *wire.CommandResult {
	result := m.config.Apply(change)
	if result.GetStatus() == wire.ConfigResult_STATUS_ACCEPTED && !result.GetRepeatedChange() {
		m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_Config{Config: change}})
	}
	return &wire.CommandResult{Body: &wire.CommandResult_Config{Config: result}}
}

func (m *Machine) applyRouteTable(change *wire.RouteTableChange) *wire.CommandResult {
	result, changed := m.routes.Apply(change)
	if changed {
		m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_RouteTable{RouteTable: m.routes.Table()}})
	}
	return &wire.CommandResult{Body: &wire.CommandResult_RouteTable{RouteTable: result}}
}

// RouteDocument returns the declaration from which the current route table was
// compiled.
func (m *Machine) RouteDocument() *wire.RouteDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return &wire.RouteDocument{Version: m.routes.Table().GetVersion(), Document: m.routes.Document()}
}

func (m *Machine) applyBackend(change *wire.BackendChange) *wire.CommandResult {
	outcome := m.members.Apply(change, m.version+1)
	if outcome.Member != nil {
		m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_Member{Member: outcome.Member}})
	}
	if outcome.Removed != "" {
		m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_MemberRemoved{MemberRemoved: outcome.Removed}})
	}
	for _, name := range outcome.Displaced {
		m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_MemberRemoved{MemberRemoved: name}})
	}
	return &wire.CommandResult{Body: &wire.CommandResult_Backend{Backend: outcome.Result}}
}

// applyClaim refuses claims of accounts that don't exist, because the table guarantees a
// number of records to every account that claims one. The total of these guarantees is
// thus bounded by the number of accounts.
func (m *Machine) applyClaim(index uint64, claim *wire.OnceClaim) *wire.OnceResult {
	if _, ok := m.config.Compiled().Account(claim.GetAccount()); !ok {
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_REFUSED}
	}
	return m.once.Claim(index, m.clock.ms, claim)
}

// applyExpire advances the clock, and removes the at-most-once records and quarantine
// entries that have expired.
func (m *Machine) applyExpire(expire *wire.OnceExpire) *wire.CommandResult {
	m.clock.advance(expire.GetNowMs())
	m.once.Expire(m.clock.ms)
	m.emitQuarantine(m.quarantine.Expire(m.clock.ms))
	return &wire.CommandResult{}
}

func (m *Machine) applyCrash(report *wire.CrashReport) *wire.CommandResult {
	outcome := m.quarantine.Report(m.clock.ms, report)
	m.emitQuarantine(outcome.Events)
	return &wire.CommandResult{Body: &wire.CommandResult_Crash{Crash: outcome.Result}}
}

func (m *Machine) applyLeaderStart(start *wire.LeaderStart) *wire.CommandResult {
	began := m.fleet.StartTerm(start.GetTerm())
	if began || start.GetQuotasResumed() {
		m.notifyTermStarted(start)
	}
	if began {
		m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_Fencing{Fencing: start.GetTerm()}})
	}
	return &wire.CommandResult{}
}

// onTermStarted sets the function that is called for each term of a leader that begins, and when a
// leader resumes the grants of quotas. It must not call the machine.
func (m *Machine) onTermStarted(f func(start *wire.LeaderStart)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.termStarted = f
}

func (m *Machine) notifyTermStarted(start *wire.LeaderStart) {
	if m.termStarted != nil {
		m.termStarted(start)
	}
}

func (m *Machine) emitQuarantine(entries []*wire.QuarantineEntry) {
	for _, entry := range entries {
		m.emit(&wire.ViewEvent{Body: &wire.ViewEvent_Quarantine{Quarantine: entry}})
	}
}

func (m *Machine) emit(event *wire.ViewEvent) {
	m.version++
	event.Version = m.version
	m.events = append(m.events, event)
}

func (m *Machine) problem(text string) *wire.CommandResult {
	return &wire.CommandResult{Problem: text, ViewVersion: m.version}
}

func onceResult(result *wire.OnceResult) *wire.CommandResult {
	return &wire.CommandResult{Body: &wire.CommandResult_Once{Once: result}}
}
