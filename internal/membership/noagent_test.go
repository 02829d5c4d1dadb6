package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

func bare(name, address string, born uint64) *wire.Backend {
	return &wire.Backend{Name: name, Address: address, AgentIncarnation: born, Service: "assessor",
		Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: "1"}}}
}

func joinBare(b *wire.Backend) *wire.BackendChange {
	return &wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: b.Name, AgentIncarnation: b.AgentIncarnation, Backend: b}
}

// An address that is reused belongs to the backend server that started last.
func TestAddressesPassOn(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(s.Apply(joinBare(bare("old", "10.0.0.1:80", 5)), 1).Result.GetAccepted())
	is.True(s.Apply(joinBare(bare("other", "10.0.0.2:80", 5)), 2).Result.GetAccepted())
	outcome := s.Apply(joinBare(bare("new", "10.0.0.1:80", 9)), 3)
	is.True(outcome.Result.GetAccepted())
	is.Equal(outcome.Displaced, []string{"old"})
	is.True(s.Member("old") == nil)
	is.True(s.Member("other") != nil)
	// A heartbeat of the former holder that comes late changes nothing.
	late := s.Apply(joinBare(bare("old", "10.0.0.1:80", 5)), 4)
	is.True(!late.Result.GetAccepted())
	is.True(s.Member("new") != nil)
}

func TestAddressOfABackendWithoutAnAgentIsChecked(t *testing.T) {
	is := is.New(t)
	is.Equal(ValidateBackend(bare("a", "10.0.0.1:80", 1)), "")
	is.True(ValidateBackend(bare("a", "nowhere", 1)) != "")
	is.True(ValidateBackend(bare("a", "", 1)) != "")
}

// Heartbeats that overtake one another: the highest number of a life holds.
func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewState()
	l := NewLeases(DefaultLeaseConfig(), now)
	beat := func(sequence uint64, version string, leaving bool) []*wire.BackendChange {
		b := bare("a", "10.0.0.1:80", 5)
		b.Models[0].WeightsVersion = version
		changes, _ := l.Heartbeat(now, s, &wire.Announce{Backend: b, Sequence: sequence, Leaving: leaving})
		for _, c := range changes {
			s.Apply(c, 1)
		}
		return changes
	}
	is.Equal(len(beat(3, "1", false)), 1)
	now = now.Add(2 * time.Second)
	is.Equal(len(beat(7, "2", false)), 1)
	now = now.Add(2 * time.Second)
	is.Equal(len(beat(5, "1", false)), 0) // overtaken
	is.Equal(s.Member("a").Backend.Models[0].WeightsVersion, "2")
	is.Equal(len(beat(8, "2", true)), 1)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_DRAINING)
	now = now.Add(2 * time.Second)
	beat(6, "2", false)
	beat(9, "2", false)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_DRAINING) // it stays
}

func TestLoadingEnginesComeBackWithTheirWeights(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Apply(joinBare(bare("a", "10.0.0.1:80", 5)), 1)
	on := func(kind wire.BackendChange_Kind, b *wire.Backend) {
		s.Apply(&wire.BackendChange{Kind: kind, Name: "a", AgentIncarnation: 5, Backend: b}, 2)
	}
	on(wire.BackendChange_KIND_LOAD, nil)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_LOADING)
	held := bare("a", "10.0.0.1:80", 5)
	held.Models[0].WeightsVersion = "2"
	on(wire.BackendChange_KIND_LOADED, held)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_READY)
	is.Equal(s.Member("a").Backend.Models[0].WeightsVersion, "2")
	// One that leaves meanwhile does not come back.
	on(wire.BackendChange_KIND_LOAD, nil)
	on(wire.BackendChange_KIND_DRAIN, nil)
	on(wire.BackendChange_KIND_LOADED, held)
	is.Equal(s.Member("a").State, wire.BackendState_BACKEND_STATE_DRAINING)
}
