// Package operator implements the HTTP API through which operators manage the
// control replicas: its types, its server and its client.
//
// Every request carries an operator's key as a bearer token. Package fault defines
// the status, type and code of error responses. Their body is a JSON error object
// that also says whether the request ran.
package operator

import (
	"context"
	"fmt"
	"strconv"

	"parsleypulley/internal/wire"
)

// Control is implemented by a control replica to serve the API. Its errors are of
// type *fault.Error. Those of kind NotLeader may contain the address of the leader.
type Control interface {
	// Config returns the configuration in force, after a quorum has confirmed that
	// it is current.
	Config(ctx context.Context) (*wire.Config, error)
	// Change replicates a change and returns its result.
	Change(ctx context.Context, change *wire.ConfigChange) (*wire.ConfigResult, error)
	// Backends returns the backend servers with their states.
	Backends(ctx context.Context) ([]*wire.Member, error)
	// ChangeBackend drains, undrains or retires a backend server.
	ChangeBackend(ctx context.Context, change *wire.BackendChange) (*wire.BackendResult, error)
	// Status returns the status of the installation according to the state of this
	// replica, which may be out of date.
	Status(ctx context.Context) (*Status, error)
	// Bootstrap makes this replica the first one of a new installation.
	Bootstrap(ctx context.Context) error
	// RemoveReplica removes a replica that has failed permanently.
	RemoveReplica(ctx context.Context, id uint64) error
}

// ReplicaID is the identity of a control replica. Responses, logs and the command
// line contain it in hexadecimal.
type ReplicaID uint64

// String returns the identity in hexadecimal.
func (id ReplicaID) String() string { return strconv.FormatUint(uint64(id), 16) }

// MarshalText implements encoding.TextMarshaler.
func (id ReplicaID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts 0, which means no
// replica.
func (id *ReplicaID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("%q is no identity of a control replica: use the hexadecimal number that status shows", text)
	}
	*id = ReplicaID(n)
	return nil
}

// Status is the status of the installation according to the state of one control
// replica.
type Status struct {
	// Node is the name of the replica.
	Node string `json:"node"`
	// ID is the identity of the replica.
	ID ReplicaID `json:"id"`
	// Role is the role of the replica in the consensus, such as leader.
	Role string `json:"role"`
	Term uint64 `json:"term"`
	// Leader is the identity of the leader, or 0 if it is unknown.
	Leader ReplicaID `json:"leader"`
	// LeaderAddress is the link address of the leader.
	LeaderAddress string `json:"leader_address"`
	// Commit is the index of the last committed log entry.
	Commit uint64 `json:"commit"`
	// Applied is the index of the last applied log entry.
	Applied uint64 `json:"applied"`
	// Confirmed is set if the replica had contact with a quorum within the lease.
	// If it is not set, the status may be out of date.
	Confirmed bool `json:"confirmed"`
	// DeclaredLosses is the number of control VMs whose loss must be borne.
	DeclaredLosses int `json:"declared_losses"`
	// BearableLosses is the number of voters that may be lost now before there is no
	// majority. It is 0 if this replica does not lead.
	BearableLosses int `json:"bearable_losses"`
	// Replicas holds the members of the replica set.
	Replicas    []Replica `json:"replicas"`
	ViewVersion uint64    `json:"view_version"`
	// Revision is the revision of the configuration in force.
	Revision      uint64 `json:"revision"`
	PresetInForce string `json:"preset_in_force"`
	// Backends holds the number of backend servers in each state.
	Backends map[string]int `json:"backends"`
	// Quarantined is the number of quarantined requests.
	Quarantined int `json:"quarantined"`
}

// Replica is one control replica.
type Replica struct {
	ID      ReplicaID `json:"id"`
	Address string    `json:"address"`
	// Learner is set if the replica does not vote yet.
	Learner bool `json:"learner"`
}

// ChangeStatus is the status of a change after the replicas have processed it.
type ChangeStatus string

// Values of ChangeStatus.
const (
	Accepted ChangeStatus = "accepted"
	Conflict ChangeStatus = "conflict"
	Invalid  ChangeStatus = "invalid"
)

// ChangeResult is the result of a change of the configuration.
type ChangeResult struct {
	Status ChangeStatus `json:"status"`
	// Revision is the revision that an accepted change created, or the revision
	// in force when a change was not accepted.
	Revision uint64   `json:"revision"`
	Problems []string `json:"problems,omitempty"`
	// Repeated is set if the change was sent again and this is its first result.
	Repeated bool `json:"repeated,omitempty"`
}

func newChangeResult(r *wire.ConfigResult) *ChangeResult {
	result := &ChangeResult{Revision: r.Revision, Problems: r.Problems, Repeated: r.RepeatedChange}
	switch r.Status {
	case wire.ConfigResult_STATUS_ACCEPTED:
		result.Status = Accepted
	case wire.ConfigResult_STATUS_CONFLICT:
		result.Status = Conflict
	default:
		result.Status = Invalid
	}
	return result
}

// Action is an action of an operator on a backend server.
type Action string

// Values of Action.
const (
	Drain   Action = "drain"
	Undrain Action = "undrain"
	Retire  Action = "retire"
)

// kind returns the kind of the replicated change for the action. It returns false
// for an unknown action.
func (a Action) kind() (wire.BackendChange_Kind, bool) {
	switch a {
	case Drain:
		return wire.BackendChange_KIND_DRAIN, true
	case Undrain:
		return wire.BackendChange_KIND_UNDRAIN, true
	case Retire:
		return wire.BackendChange_KIND_RETIRE, true
	}
	return 0, false
}

// BackendResult is the result of an action on a backend server.
type BackendResult struct {
	Accepted bool `json:"accepted"`
	// Problem says why the action was refused.
	Problem string `json:"problem,omitempty"`
}

// Backend describes a backend server in responses.
type Backend struct {
	Name string `json:"name"`
	// State is a name that StateName returns.
	State         string `json:"state"`
	Retired       bool   `json:"retired,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	AgentAddress  string `json:"agent_address"`
	// Service is the name of the plain service. It is empty for a model engine.
	Service string        `json:"service,omitempty"`
	Models  []LoadedModel `json:"models,omitempty"`
	// ChecksFencing is set if the engine itself refuses old fencing tokens.
	ChecksFencing     bool   `json:"checks_fencing"`
	AgentIncarnation  uint64 `json:"agent_incarnation,string"`
	EngineIncarnation uint64 `json:"engine_incarnation,string"`
}

// LoadedModel is a model that a backend server has loaded.
type LoadedModel struct {
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
}

// StateName returns the name of a state in responses and statistics.
func StateName(s wire.BackendState) string {
	switch s {
	case wire.BackendState_BACKEND_STATE_READY:
		return "ready"
	case wire.BackendState_BACKEND_STATE_SUSPECTED:
		return "suspected"
	case wire.BackendState_BACKEND_STATE_DRAINING:
		return "draining"
	case wire.BackendState_BACKEND_STATE_LOADING:
		return "loading"
	case wire.BackendState_BACKEND_STATE_DAMPED:
		return "damped"
	}
	return "unknown"
}

func backendFromMember(m *wire.Member) Backend {
	b := m.GetBackend()
	out := Backend{
		Name:              b.GetName(),
		State:             StateName(m.GetState()),
		Retired:           m.GetRetired(),
		FailureDomain:     b.GetFailureDomain(),
		Region:            b.GetRegion(),
		AgentAddress:      b.GetAgentAddress(),
		Service:           b.GetService(),
		ChecksFencing:     b.GetChecksFencing(),
		AgentIncarnation:  b.GetAgentIncarnation(),
		EngineIncarnation: b.GetEngineIncarnation(),
	}
	for _, loaded := range b.GetModels() {
		out.Models = append(out.Models, LoadedModel{
			Model:          loaded.GetModel(),
			WeightsVersion: loaded.GetWeightsVersion(),
			Adapters:       loaded.GetAdapters(),
		})
	}
	return out
}

// backendList is the response to a request for all backend servers.
type backendList struct {
	Backends []Backend `json:"backends"`
}
