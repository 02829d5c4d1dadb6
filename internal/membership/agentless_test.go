package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

func agentlessBackend(name, address string, incarnation uint64) *wire.Backend {
	return &wire.Backend{Name: name, Address: address, AgentIncarnation: incarnation, Service: "assessor",
		Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: "1"}}}
}

func joinChange(b *wire.Backend) *wire.BackendChange {
	return &wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: b.Name, AgentIncarnation: b.AgentIncarnation, Backend: b}
}

// A reused address belongs to the backend server that started last.
func TestReusedAddressDisplacesFormerMember(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(s.Apply(joinChange(agentlessBackend("old", "10.0.0.1:80", 5)), 1).Result.GetAccepted())
	is.True(s.Apply(joinChange(agentlessBackend("other", "10.0.0.2:80", 5)), 2).Result.GetAccepted())
	outcome := s.Apply(joinChange(agentlessBackend("new", "10.0.0.1:80", 9)), 3)
	is.True(outcome.Result.GetAccepted())
	is.Equal(outcome.Displaced, []string{"old"})
	is.True(s.Member("old") == nil)
	is.True(s.Member("other") != nil)
	// A delayed heartbeat of the former member at the address has no effect.
	late := s.Apply(joinChange(agentlessBackend("old", "10.0.0.1:80", 5)), 4)
	is.True(!late.Result.GetAccepted())
	is.True(s.Member("new") != nil)
}

func TestAgentlessBackendAddressIsValidated(t *testing.T) {
	is := is.New(t)
	is.Equal(ValidateBackend(agentlessBackend("a", "10.0.0.1:80", 1)), "")
	is.True(ValidateBackend(agentlessBackend("a", "nowhere", 1)) != "")
	is.True(ValidateBackend(agentlessBackend("a", "", 1)) != "")
}

// When heartbeats arrive out of order, the one with the highest sequence number of an
// incarnation is in effect.
func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewState()
	l := NewLeases(DefaultLeaseConfig(), now)
	heartbeat := func(sequence uint64, version string, leaving bool) []*wire.BackendChange {
		b := agentlessBackend("a", "10.0.0.1:80", 5)
		b.Models[0].WeightsVersion = version
		changes, _ := l.Heartbeat(now, s, &wire.Announce{Backend: b, Sequence: sequence, Leaving: leaving})
		for _, c := range changes {
			s.Apply(c, 1)
		}
		return changes
	}
	is.Equal(len(heartbeat(3, "1", false)), 1)
	now = now.Add(2 * time.Second)
	is.Equal(len(heartbeat(7, "2", false)), 1)
	now = now.Add(2 * time.Second)
	is.Equal(len(heartbeat(5, "1", false)), 0) // an older sequence number
	is.Equal(s.Member("a").Backend.Models[0].WeightsVersion, "2")
	is.Equal(len(heartbeat(8, "2", true)), 1)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_DRAINING)
	now = now.Add(2 * time.Second)
	heartbeat(6, "2", false)
	heartbeat(9, "2", false)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_DRAINING) // leaving is final
}

func TestLoadedEngineReturnsWithNewWeights(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Apply(joinChange(agentlessBackend("a", "10.0.0.1:80", 5)), 1)
	apply := func(kind wire.BackendChange_Kind, b *wire.Backend) {
		s.Apply(&wire.BackendChange{Kind: kind, Name: "a", AgentIncarnation: 5, Backend: b}, 2)
	}
	apply(wire.BackendChange_KIND_LOAD, nil)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_LOADING)
	loaded := agentlessBackend("a", "10.0.0.1:80", 5)
	loaded.Models[0].WeightsVersion = "2"
	apply(wire.BackendChange_KIND_LOADED, loaded)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_READY)
	is.Equal(s.Member("a").Backend.Models[0].WeightsVersion, "2")
	// A backend server that leaves during the load stays DRAINING.
	apply(wire.BackendChange_KIND_LOAD, nil)
	apply(wire.BackendChange_KIND_DRAIN, nil)
	apply(wire.BackendChange_KIND_LOADED, loaded)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_DRAINING)
}
