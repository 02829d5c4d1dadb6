package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

var start = time.Unix(1_000_000, 0)

// newVoterOfThree returns replica 1 of a set of three voters. Its log holds the replica
// set at index 1 in term 1, followed by one command for each element of terms, in that
// term.
func newVoterOfThree(is *is.I, hs storage.HardState, terms ...uint64) *Replica {
	set := &wire.ReplicaSet{}
	for id := uint64(1); id <= 3; id++ {
		set.Replicas = append(set.Replicas, &wire.Replica{Id: id})
	}
	data, err := proto.Marshal(set)
	is.NoErr(err)
	state := &storage.State{Identity: 1, HardState: hs}
	state.Entries = append(state.Entries, &wire.LogEntry{Index: 1, Term: 1, Kind: wire.LogEntry_KIND_MEMBERS, Data: data})
	for _, term := range terms {
		state.Entries = append(state.Entries, &wire.LogEntry{Index: state.LastIndex() + 1, Term: term})
	}
	r, err := NewReplica(start, Options{ID: 1, Random: rand.New(rand.NewPCG(1, 1))}, state)
	is.NoErr(err)
	return r
}

// tickUntil runs the timers of r in time from one time to another.
func tickUntil(r *Replica, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(DefaultTickInterval) {
		r.Tick(now)
	}
}

func processAllReady(r *Replica, now time.Time) (sent []*wire.ConsensusMessage) {
	for r.HasReady() {
		rd := r.Ready()
		sent = append(append(sent, rd.ImmediateMessages...), rd.Messages...)
		r.Advance(now, rd)
	}
	return sent
}

// A leader doesn't commit an entry of an earlier term by counting replicas, because a
// later leader may still replace it. It is committed together with an entry of the
// leader's own term.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	r := newVoterOfThree(is, storage.HardState{Term: 3, Commit: 1}, 2)
	now := start.Add(2 * DefaultElectionTimeout)
	tickUntil(r, start, now)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY, From: 2, To: 1, Term: 4})
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_VOTE_REPLY, From: 2, To: 1, Term: 4})
	processAllReady(r, now)
	is.Equal(r.role, Leader)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 4, LogIndex: 2})
	is.Equal(r.log.commitIndex, uint64(1))
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 4, LogIndex: 3})
	is.Equal(r.log.commitIndex, uint64(3))
}

// A replica set that isn't in the log of a new leader is no longer in force once the
// new leader replaces its entry.
func TestReplacedReplicaSetIsRolledBack(t *testing.T) {
	is := is.New(t)
	r := newVoterOfThree(is, storage.HardState{Term: 2, Commit: 1})
	data, err := proto.Marshal(&wire.ReplicaSet{Replicas: []*wire.Replica{{Id: 1}, {Id: 3}}})
	is.NoErr(err)
	entry := func(term uint64, kind wire.LogEntry_Kind) *wire.ConsensusMessage {
		return &wire.ConsensusMessage{
			Type: wire.ConsensusMessage_TYPE_APPEND, From: 2, To: 1, Term: term, LogIndex: 1, LogTerm: 1,
			Entries: []*wire.LogEntry{{Index: 2, Term: term, Kind: kind, Data: data}},
		}
	}
	r.Step(start, entry(2, wire.LogEntry_KIND_MEMBERS))
	processAllReady(r, start)
	is.Equal(r.set.voters(), []uint64{1, 3})
	r.Step(start, entry(3, wire.LogEntry_KIND_COMMAND))
	processAllReady(r, start)
	is.Equal(r.set.voters(), []uint64{1, 2, 3})
}

// Entries of a leader that conflict with committed entries are rejected.
func TestCommittedEntryIsNeverReplaced(t *testing.T) {
	is := is.New(t)
	r := newVoterOfThree(is, storage.HardState{Term: 2, Commit: 2}, 2)
	r.Step(start, &wire.ConsensusMessage{
		Type: wire.ConsensusMessage_TYPE_APPEND, From: 2, To: 1, Term: 9, LogIndex: 2, LogTerm: 9,
		Entries: []*wire.LogEntry{{Index: 3, Term: 9}},
	})
	is.Equal(r.log.last(), storage.EntryID{Index: 2, Term: 2})
	is.True(!r.log.contains(storage.EntryID{Index: 2, Term: 9}))
	_, ok := r.log.merge([]*wire.LogEntry{{Index: 2, Term: 9}})
	is.True(!ok)
}

// A leader has at most DefaultMaxInflight unanswered append messages to a follower and
// sends more as replies arrive.
func TestFlowControlBoundsUnansweredAppends(t *testing.T) {
	is := is.New(t)
	r := newVoterOfThree(is, storage.HardState{Term: 1, Commit: 1})
	now := start.Add(2 * DefaultElectionTimeout)
	tickUntil(r, start, now)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY, From: 2, To: 1, Term: 2})
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_VOTE_REPLY, From: 2, To: 1, Term: 2})
	processAllReady(r, now)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 2, LogIndex: 2})
	appends := func() (count int) {
		for _, m := range processAllReady(r, now) {
			if m.Type == wire.ConsensusMessage_TYPE_APPEND && m.To == 2 && len(m.Entries) > 0 {
				count++
			}
		}
		return count
	}
	processAllReady(r, now)
	for range 3 * DefaultMaxInflight {
		r.Propose([]byte("x"))
	}
	is.Equal(appends(), DefaultMaxInflight)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 2, LogIndex: 3})
	is.Equal(appends(), 1) // all remaining entries fit into one message
}

// While the leader is alive, a vote request is ignored unless it belongs to a leadership
// transfer.
func TestVoteRequestWhileLeaderIsAlive(t *testing.T) {
	is := is.New(t)
	r := newVoterOfThree(is, storage.HardState{Term: 1, Commit: 1})
	r.Step(start, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_HEARTBEAT, From: 2, To: 1, Term: 1})
	vote := &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_VOTE, From: 3, To: 1, Term: 2, LogIndex: 1, LogTerm: 1}
	r.Step(start, vote)
	is.Equal(r.term, uint64(1))
	is.Equal(r.leader, uint64(2))
	vote.Transfer = true
	r.Step(start, vote)
	is.Equal(r.term, uint64(2))
	is.Equal(r.vote, uint64(3))
}

// Random messages, most of them invalid, must not make a replica panic, lower its
// commit index or leave a gap in its log.
func TestInvalidMessagesCauseNoPanicOrLoss(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	small := func() uint64 { return random.Uint64N(8) }
	for range 300 {
		r := newVoterOfThree(is, storage.HardState{Term: 2, Commit: 2}, 1, 2, 2)
		now := start
		for range 300 {
			now = now.Add(time.Duration(small()) * DefaultElectionTimeout / 4)
			m := &wire.ConsensusMessage{
				Type: wire.ConsensusMessage_Type(random.IntN(14)), From: small(), To: 1, Term: r.term + small() - 2,
				LogIndex: small(), LogTerm: small(), Commit: small(), Reject: small() == 0, RejectHint: small(),
				ReadContext: small(), EchoUs: random.Uint64(), QuorumAgeMs: small(), FromAddress: "10.0.0.9:1",
			}
			for range random.IntN(3) {
				m.Entries = append(m.Entries, &wire.LogEntry{Index: small(), Term: small(), Kind: wire.LogEntry_Kind(random.IntN(3)), Data: []byte{byte(small())}})
			}
			if small() == 0 {
				m.Snapshot = &wire.SnapshotChunk{Index: small(), Term: small(), Offset: small(), Total: small(), Data: make([]byte, small())}
			}
			before := r.log.commitIndex
			r.Step(now, m)
			r.Tick(now)
			r.Propose([]byte("x"))
			processAllReady(r, now)
			is.True(r.log.commitIndex >= before)
			for i, e := range r.log.entries {
				is.Equal(e.Index, r.log.base.Index+uint64(i)+1)
			}
		}
	}
}

// A heartbeat confirms a follower only if its echoed clock reading and its quorum age
// show that the leader was in contact with a quorum within the last election timeout.
func TestConfirmationOfFollower(t *testing.T) {
	const offsetUs = uint64(1 << 40)
	tests := map[string]struct {
		// echo is the echoed clock reading, as the time since the follower's start.
		// The heartbeat arrives one second after the start.
		echo time.Duration
		// age is the quorum age in milliseconds; 0 means no contact.
		age uint64
		// later is the time from the heartbeat to the check.
		later time.Duration
		want  bool
	}{
		"fresh":                         {900 * time.Millisecond, 100, 0, true},
		"leader without quorum contact": {900 * time.Millisecond, 0, 0, false},
		"quorum contact too old":        {900 * time.Millisecond, 700, 0, false},
		"delayed message":               {100 * time.Millisecond, 1, 0, false},
		"echo from before a restart":    {5 * time.Second, 1, 0, false},
		"no heartbeat since":            {900 * time.Millisecond, 100, 600 * time.Millisecond, false},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			r := newVoterOfThree(is, storage.HardState{Term: 1})
			r.clockOffset = offsetUs
			now := start.Add(time.Second)
			r.Step(now, &wire.ConsensusMessage{
				Type: wire.ConsensusMessage_TYPE_HEARTBEAT, From: 2, To: 1, Term: 1,
				EchoUs: offsetUs + uint64(test.echo.Microseconds()), QuorumAgeMs: test.age,
			})
			is.Equal(r.Status(now.Add(test.later)).Confirmed, test.want)
		})
	}
}

// Guards against a follower that vouches for a view without entries that were acknowledged before, and against one
// that is never confirmed because the leader commits faster than the follower hears of it.
func TestContactCountsOnceItsEntriesAreCommitted(t *testing.T) {
	is := is.New(t)
	r := newVoterOfThree(is, storage.HardState{Term: 1, Commit: 1}, 1, 1, 1, 1)
	r.clockOffset = 1 << 40
	heartbeat := func(at time.Duration, quorumCommit, commit uint64) {
		r.Step(start.Add(at), &wire.ConsensusMessage{
			Type: wire.ConsensusMessage_TYPE_HEARTBEAT, From: 2, To: 1, Term: 1, Commit: commit,
			EchoUs: r.clockOffset + uint64(at.Microseconds()), QuorumAgeMs: 1, QuorumCommit: quorumCommit,
		})
	}
	heartbeat(100*time.Millisecond, 2, 1)
	is.True(r.ConfirmedAt().IsZero())
	for i := range 5 { // the leader commits on
		heartbeat(time.Duration(200+i)*time.Millisecond, 4, 1)
	}
	is.True(r.ConfirmedAt().IsZero())
	heartbeat(300*time.Millisecond, 4, 2)
	is.Equal(r.ConfirmedAt(), start.Add(99*time.Millisecond))
	heartbeat(400*time.Millisecond, 9, 4)
	is.Equal(r.ConfirmedAt(), start.Add(299*time.Millisecond))
}

// A new replica may know the addresses of followers only. Its join request reaches the
// leader through one of them and is forwarded at most once.
func TestJoinIsForwardedToLeader(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(t, 5, 3)
	leader, follower := sim.leader(), sim.follower()
	join := &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_JOIN, From: 999, FromAddress: "10.0.0.9:1"}
	forwardedJoins := func(m *wire.ConsensusMessage) []*wire.ConsensusMessage {
		follower.replica.Step(sim.now, m)
		if !follower.replica.HasReady() {
			return nil
		}
		rd := follower.replica.Ready()
		follower.replica.Advance(sim.now, rd)
		var joins []*wire.ConsensusMessage
		for _, out := range append(rd.ImmediateMessages, rd.Messages...) {
			if out.Type == wire.ConsensusMessage_TYPE_JOIN {
				joins = append(joins, out)
			}
		}
		return joins
	}
	joins := forwardedJoins(join)
	is.Equal(len(joins), 1)
	is.Equal(joins[0].To, leader.id)
	is.Equal(joins[0].From, uint64(999))       // the joining replica, not the follower
	is.Equal(len(forwardedJoins(joins[0])), 0) // not forwarded a second time
	leader.replica.Step(sim.now, joins[0])
	is.True(leader.replica.set.find(999) != nil)
}
