package membership

import (
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// Guards against departures that are accepted and have no effect: a late announcement, or one for a start that the
// table does not know, gave the backend server work after its departure was acknowledged.
func TestDepartures(t *testing.T) {
	type changes = []*wire.BackendChange
	for _, row := range []struct {
		name    string
		changes changes
		// state and incarnation are the member's after the last change.
		state       wire.BackendState
		incarnation uint64
		// refused is set when the last change is refused.
		refused bool
	}{
		{"before the first announcement", changes{changeOf(depart, 5), join(5)}, absent, 0, true},
		{"before the first announcement, twice", changes{changeOf(depart, 5), changeOf(depart, 5)}, absent, 0, false},
		{"an announcement commits first", changes{join(5), changeOf(depart, 5)}, draining, 5, false},
		{"restart after it", changes{changeOf(depart, 5), join(6)}, ready, 6, false},
		{"restart after it, its clock set back", changes{changeOf(depart, 5), join(4)}, ready, 4, false},
		{"repeated after a restart", changes{changeOf(depart, 5), join(6), changeOf(depart, 5)}, ready, 6, false},
		{"of a member that expires then", changes{join(5), changeOf(depart, 5), changeOf(expire, 5), join(5)}, absent, 0, true},
		{"of a suspected member", changes{join(5), changeOf(suspect, 5), changeOf(depart, 5), changeOf(recover, 5)}, draining, 5, false},
		{"undrained by an operator", changes{join(5), changeOf(depart, 5), changeOf(undrain, 0)}, draining, 5, false},
		{"of a start that an operator drained and undrains", changes{join(5), changeOf(drain, 0), changeOf(depart, 5), changeOf(undrain, 0)}, draining, 5, false},
		{"of a retired member, undrained", changes{join(5), changeOf(retire, 0), changeOf(depart, 5), changeOf(undrain, 0)}, draining, 5, false},
		{"of a start later than the member's", changes{join(5), changeOf(depart, 6)}, draining, 5, false},
		{"of a start later than the member's, which announces itself late", changes{join(5), changeOf(depart, 6), join(6)}, draining, 5, true},
		{"of a start later than the member's, then one of that", changes{join(5), changeOf(depart, 6), changeOf(leave, 5), join(5)}, absent, 0, true},
		{"of a start later than the member's, then a restart", changes{join(5), changeOf(depart, 6), join(7)}, ready, 7, false},
		{"of a start before the member's", changes{join(6), changeOf(depart, 5)}, ready, 6, true},
		{"of a start with a clock set back", changes{join(6), changeOf(suspect, 6), changeOf(depart, 5)}, absent, 0, false},
		{"of a start with a clock set back, then an announcement of that", changes{join(6), changeOf(suspect, 6), changeOf(depart, 5), join(5)}, absent, 0, true},
		{"late, while the later start is suspected", changes{join(6), changeOf(suspect, 6), changeOf(depart, 5), join(6)}, ready, 6, false},
		{"of a start whose predecessor announces itself late", changes{join(5), join(6), changeOf(depart, 6), changeOf(leave, 6), join(5)}, absent, 0, true},
		{"without a start", changes{join(5), changeOf(depart, 0), changeOf(undrain, 0)}, draining, 5, false},
		{"without a start, of an unknown name", changes{changeOf(depart, 0)}, absent, 0, true},
		{"without a start, again", changes{join(5), changeOf(depart, 0), changeOf(depart, 0)}, draining, 5, false},
		{"without a start, after an earlier one has left", changes{join(5), changeOf(depart, 5), changeOf(leave, 5), changeOf(depart, 0)}, absent, 0, true},
		{"without a name", changes{{Kind: depart, AgentIncarnation: 5}}, absent, 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s, restored := NewState(), NewState()
			var last, lastRestored Outcome
			for i, c := range row.changes {
				last = s.Apply(c, uint64(i+1))
				// The same at a replica that starts from a snapshot before each change.
				lastRestored = restored.Apply(c, uint64(i+1))
				next := NewState()
				next.Restore(restored.Members(), restored.Drained(), restored.Retired(), restored.Departed())
				restored = next
			}
			for state, outcome := range map[*State]Outcome{s: last, restored: lastRestored} {
				is.Equal(outcome.Result.GetAccepted(), !row.refused)
				is.Equal(outcome.Result.GetProblem() != "", row.refused)
				is.Equal(state.Member("b").GetState(), row.state)
				is.Equal(state.Member("b").GetBackend().GetAgentIncarnation(), row.incarnation)
			}
		})
	}
}
