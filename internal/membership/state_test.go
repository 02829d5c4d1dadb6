package membership

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

func backend(name string, incarnation uint64) *wire.Backend {
	return &wire.Backend{
		Name:             name,
		AgentAddress:     "10.0.0.1:7000",
		FailureDomain:    "thamel",
		Region:           "valley",
		AgentIncarnation: incarnation,
	}
}

func join(incarnation uint64) *wire.BackendChange {
	return newChange(wire.BackendChange_KIND_JOIN, backend("b", incarnation))
}

// changeOf returns a change of backend server b for one incarnation, or for any if
// incarnation is 0.
func changeOf(kind wire.BackendChange_Kind, incarnation uint64) *wire.BackendChange {
	return &wire.BackendChange{Kind: kind, Name: "b", AgentIncarnation: incarnation}
}

// updateEngine returns an update of backend server b that announces another incarnation of
// its engine.
func updateEngine(incarnation, engine uint64) *wire.BackendChange {
	b := backend("b", incarnation)
	b.EngineIncarnation = engine
	return newChange(wire.BackendChange_KIND_UPDATE, b)
}

const (
	suspect = wire.BackendChange_KIND_SUSPECT
	recover = wire.BackendChange_KIND_RECOVER
	expire  = wire.BackendChange_KIND_EXPIRE
	drain   = wire.BackendChange_KIND_DRAIN
	undrain = wire.BackendChange_KIND_UNDRAIN
	retire  = wire.BackendChange_KIND_RETIRE
	leave   = wire.BackendChange_KIND_LEAVE
	damp    = wire.BackendChange_KIND_DAMP
	depart  = wire.BackendChange_KIND_DEPART

	ready     = wire.BackendState_BACKEND_STATE_READY
	suspected = wire.BackendState_BACKEND_STATE_SUSPECTED
	draining  = wire.BackendState_BACKEND_STATE_DRAINING
	damped    = wire.BackendState_BACKEND_STATE_DAMPED
	absent    = wire.BackendState_BACKEND_STATE_UNSPECIFIED
)

// Guards against a table that grows with each backend server that ever left, and one that forgets it after a
// restart from a snapshot.
func TestDepartedIncarnationsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for i := range uint64(maxDeparted + 10) {
		s.Apply(join(i+1), 1)
		s.Apply(changeOf(leave, i+1), 1)
	}
	is.Equal(len(s.Departed()), maxDeparted)
	restored := NewState()
	restored.Restore(s.Members(), s.Drained(), s.Retired(), s.Departed())
	for _, state := range []*State{s, restored} {
		is.True(!state.Apply(join(maxDeparted), 1).Result.GetAccepted())
		is.True(!state.Apply(join(11), 1).Result.GetAccepted())
		is.True(state.Apply(join(10), 1).Result.GetAccepted()) // forgotten
	}
}

func TestStateApply(t *testing.T) {
	type changes = []*wire.BackendChange
	for _, row := range []struct {
		name    string
		changes changes
		// state is the member's state after the last change.
		state wire.BackendState
		// incarnation is the member's incarnation after the last change.
		incarnation uint64
		// refused is set when the last change is refused.
		refused bool
	}{
		{"joins", changes{join(5)}, ready, 5, false},
		{"joins again", changes{join(5), join(5)}, ready, 5, false},
		{"later incarnation replaces", changes{join(5), join(6)}, ready, 6, false},
		{"earlier incarnation is refused", changes{join(6), join(5)}, ready, 6, true},
		{"suspicion", changes{join(5), changeOf(suspect, 5)}, suspected, 5, false},
		{"suspicion of an earlier incarnation", changes{join(5), join(6), changeOf(suspect, 5)}, ready, 6, true},
		{"recovery", changes{join(5), changeOf(suspect, 5), changeOf(recover, 5)}, ready, 5, false},
		{"recovery of an earlier incarnation", changes{join(6), changeOf(suspect, 6), changeOf(recover, 5)}, suspected, 6, true},
		{"restart ends suspicion", changes{join(5), changeOf(suspect, 5), join(6)}, ready, 6, false},
		{"expiry", changes{join(5), changeOf(expire, 5)}, absent, 0, false},
		{"expiry of an earlier incarnation", changes{join(5), join(6), changeOf(expire, 5)}, ready, 6, true},
		{"leave of an earlier incarnation", changes{join(5), join(6), changeOf(leave, 5)}, ready, 6, true},
		{"return after expiry", changes{join(5), changeOf(expire, 5), join(5)}, ready, 5, false},
		{"update of an earlier incarnation", changes{join(6), updateEngine(5, 9)}, ready, 6, true},
		{"drain", changes{join(5), changeOf(drain, 0)}, draining, 5, false},
		{"drain of an earlier incarnation", changes{join(6), changeOf(drain, 5)}, ready, 6, true},
		{"suspicion does not end a drain", changes{join(5), changeOf(drain, 0), changeOf(suspect, 5)}, draining, 5, false},
		{"operator's drain outlives a restart", changes{join(5), changeOf(drain, 0), join(6)}, draining, 6, false},
		{"operator's drain outlives expiry", changes{join(5), changeOf(drain, 0), changeOf(expire, 5), join(6)}, draining, 6, false},
		{"agent's drain ends with the incarnation", changes{join(5), changeOf(drain, 5), changeOf(leave, 5), join(6)}, ready, 6, false},
		{"late announcement after a leave", changes{join(5), changeOf(drain, 5), changeOf(leave, 5), join(5)}, absent, 0, true},
		{"late announcement after the expiry of one that drains", changes{join(5), changeOf(drain, 5), changeOf(expire, 5), join(5)}, absent, 0, true},
		{"late announcement of an incarnation before the last", changes{join(5), changeOf(leave, 5), join(6), changeOf(leave, 6), join(5)}, absent, 0, true},
		{"restart after a leave, its clock set back", changes{join(5), changeOf(leave, 5), join(4)}, ready, 4, false},
		{"return after the expiry of one that an operator drains", changes{join(5), changeOf(drain, 0), changeOf(expire, 5), join(5)}, draining, 5, false},
		{"return after a retirement", changes{join(5), changeOf(retire, 0), changeOf(expire, 5), changeOf(undrain, 0), join(5)}, ready, 5, false},
		{"undrain", changes{join(5), changeOf(drain, 0), changeOf(undrain, 0)}, ready, 5, false},
		{"undrain after expiry", changes{join(5), changeOf(drain, 0), changeOf(expire, 5), changeOf(undrain, 0), join(6)}, ready, 6, false},
		{"undrain without a drain", changes{join(5), changeOf(undrain, 0)}, ready, 5, false},
		{"undrain of an unknown name", changes{changeOf(undrain, 0)}, absent, 0, true},
		{"drain of an unknown name", changes{changeOf(drain, 0)}, absent, 0, true},
		{"retire drains", changes{join(5), changeOf(retire, 0)}, draining, 5, false},
		{"retired can't return", changes{join(5), changeOf(retire, 0), changeOf(expire, 5), join(6)}, absent, 0, true},
		{"retired can't restart in place", changes{join(5), changeOf(retire, 0), join(6)}, draining, 5, true},
		{"undrain ends retirement", changes{join(5), changeOf(retire, 0), changeOf(expire, 5), changeOf(undrain, 0), join(6)}, ready, 6, false},
		{"retire of an unknown name", changes{changeOf(retire, 0)}, absent, 0, true},
		{"damping", changes{join(5), changeOf(damp, 5)}, damped, 5, false},
		{"damping outlives a restart", changes{join(5), changeOf(damp, 5), join(6)}, damped, 6, false},
		{"damping ends", changes{join(5), changeOf(damp, 5), changeOf(recover, 5)}, ready, 5, false},
		{"damping does not end a drain", changes{join(5), changeOf(drain, 0), changeOf(damp, 5)}, draining, 5, false},
		{"unknown kind", changes{join(5), changeOf(99, 5)}, ready, 5, true},
		{"no name", changes{{Kind: wire.BackendChange_KIND_JOIN, Backend: &wire.Backend{AgentIncarnation: 1}}}, absent, 0, true},
		{"no incarnation", changes{join(0)}, absent, 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			var last Outcome
			for i, c := range row.changes {
				last = s.Apply(c, uint64(i+1))
			}
			is.Equal(last.Result.GetAccepted(), !row.refused)
			is.Equal(last.Result.GetProblem() != "", row.refused) // a refusal has a problem text
			is.Equal(s.Member("b").GetState(), row.state)
			is.Equal(s.Member("b").GetBackend().GetAgentIncarnation(), row.incarnation)
		})
	}
}

func TestChangeWithoutEffectReturnsNoMember(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(s.Apply(join(5), 1).Member != nil)
	is.True(s.Apply(join(5), 2).Member == nil)
	is.True(s.Apply(changeOf(recover, 5), 2).Member == nil)
	is.True(s.Apply(updateEngine(5, 9), 2).Member != nil)
	is.Equal(s.Member("b").GetJoinedVersion(), uint64(1)) // an update keeps the joined version
	is.Equal(s.Apply(changeOf(expire, 5), 3).Removed, "b")
}

func TestNameSetIsBounded(t *testing.T) {
	is := is.New(t)
	var set nameSet
	for i := range maxRetainedNames + 10 {
		set.add(strconv.Itoa(i))
	}
	is.Equal(len(set.names), maxRetainedNames)
	is.Equal(len(set.index), maxRetainedNames)
	is.True(!set.has("9")) // the oldest names are evicted
	is.True(set.has("10"))
	is.True(set.remove("10"))
	is.True(!set.remove("10"))
}
