package membership

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

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

// unusableBackends returns backend servers that earlier versions took into the log, and that routers can't use.
func unusableBackends(name, address string, started uint64) map[string]*wire.Backend {
	out := map[string]*wire.Backend{}
	for _, a := range []string{"10.0.0.9:0", "0.0.0.0:80", "[fe80::1%eth0]:80", "224.0.0.1:80"} {
		out[a] = agentlessBackend(name, a, started)
	}
	for born, incarnation := range map[string]uint64{"2^53": 1 << 53, "2^64-1": math.MaxUint64, "microseconds": started * 1000} {
		out["born "+born] = agentlessBackend(name, address, incarnation)
	}
	slots := agentlessBackend(name, address, started)
	slots.MaxRunning = math.MaxUint32
	version := agentlessBackend(name, address, started)
	version.SoftwareVersion = strings.Repeat("v", 60<<10)
	out["slots"], out["version"] = slots, version
	return out
}

// Guards against an entry that an earlier version has taken into the log, and that keeps a valid server of
// its name or address out: for as long as other heartbeats renewed it, and for ten minutes after it had expired.
func TestUnusableMembersOfEarlierVersionsKeepNoServerOut(t *testing.T) {
	const started = 1_787_242_372_604
	valid := agentlessBackend("a", "10.0.0.1:80", started+1)
	for _, place := range []struct{ name, member string }{{"name of a server", "a"}, {"address of a server", "odd"}} {
		for kind, odd := range unusableBackends(place.member, valid.Address, started) {
			t.Run(place.name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				now := time.Unix(1000, 0)
				s := NewState()
				apply := func(changes []*wire.BackendChange) {
					for _, c := range changes {
						s.Apply(c, 1)
					}
				}
				apply([]*wire.BackendChange{joinChange(odd), joinChange(agentlessBackend("other", "10.0.0.2:80", started))})
				is.True(s.Member(place.member) != nil)
				l := NewLeases(DefaultLeaseConfig(), now)
				for range 4 { // a second and a half of heartbeats of all three
					apply(l.Tick(now, s))
					is.True(!proto.Equal(s.Member(place.member).GetBackend(), odd))
					now = now.Add(l.Interval(3))
					for _, b := range []*wire.Backend{odd, valid, agentlessBackend("other", "10.0.0.2:80", started)} {
						changes, _ := l.Heartbeat(now, s, &wire.Announce{Backend: b, Sequence: uint64(now.UnixMilli())})
						apply(changes)
					}
				}
				is.Equal(s.Member("a").GetBackend().GetAgentIncarnation(), uint64(started+1))
				is.Equal(s.Member("a").GetState(), wire.BackendState_BACKEND_STATE_READY)
				is.True(s.Member("other") != nil)
				is.Equal(len(s.Members()), 2)
			})
		}
	}
}

// Guards against a server that stays out for half a minute because its first heartbeat came while an entry that was
// about to be removed held its address, and against one that is refused at each heartbeat for good.
func TestRefusedServersAreTriedAgain(t *testing.T) {
	const heartbeats = 100
	for name, test := range map[string]struct {
		// expires is the heartbeat before which the entry at the address is removed.
		expires  int
		joinedBy int
		// proposals is the largest number of proposals in all heartbeats.
		proposals int
	}{
		"the entry is removed at once": {1, 2, 2},
		"the entry expires":            {8, 9, 2},
		"the entry stays":              {heartbeats, heartbeats, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			s := NewState()
			s.Apply(joinChange(agentlessBackend("odd", "10.0.0.1:80", 9)), 1)
			l := NewLeases(DefaultLeaseConfig(), now)
			proposals, joined := 0, heartbeats
			for i := range heartbeats {
				if i == test.expires {
					s.Apply(&wire.BackendChange{Kind: expire, Name: "odd", AgentIncarnation: 9}, 2)
					l.MarkRemoved()
				}
				changes, _ := l.Heartbeat(now, s, &wire.Announce{Backend: agentlessBackend("a", "10.0.0.1:80", 5), Sequence: uint64(i + 1)})
				for _, c := range changes {
					proposals++
					if !s.Apply(c, 3).Result.GetAccepted() {
						l.MarkRefused(now, c)
					}
				}
				if s.Member("a") != nil {
					joined = min(joined, i)
				}
				now = now.Add(1200 * time.Millisecond)
			}
			t.Logf("joined with heartbeat %d, %d proposals", joined, proposals)
			is.True(joined <= test.joinedBy)
			is.True(proposals <= test.proposals)
		})
	}
}
