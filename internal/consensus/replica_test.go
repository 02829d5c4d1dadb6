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

// three returns replica 1 of a set of three, with a log of a set and one command
// for each of terms.
func three(is *is.I, hs storage.HardState, terms ...uint64) *Replica {
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

func settle(r *Replica, now time.Time) (sent []*wire.ConsensusMessage) {
	for r.HasReady() {
		rd := r.Ready()
		sent = append(append(sent, rd.ImmediateMessages...), rd.Messages...)
		r.Advance(now, rd)
	}
	return sent
}

// An entry of an older term is only committed together with one of the leader's
// own term, since a later leader may still replace it.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	r := three(is, storage.HardState{Term: 3, Commit: 1}, 2)
	now := start.Add(2 * DefaultElectionTimeout)
	r.Tick(now)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY, From: 2, To: 1, Term: 4})
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_VOTE_REPLY, From: 2, To: 1, Term: 4})
	settle(r, now)
	is.Equal(r.role, Leader)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 4, LogIndex: 2})
	is.Equal(r.log.committed, uint64(1))
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 4, LogIndex: 3})
	is.Equal(r.log.committed, uint64(3))
}

// A replica set that a new leader's log doesn't hold is out of force again.
func TestReplacedReplicaSetIsOutOfForce(t *testing.T) {
	is := is.New(t)
	r := three(is, storage.HardState{Term: 2, Commit: 1})
	data, err := proto.Marshal(&wire.ReplicaSet{Replicas: []*wire.Replica{{Id: 1}, {Id: 3}}})
	is.NoErr(err)
	entry := func(term uint64, kind wire.LogEntry_Kind) *wire.ConsensusMessage {
		return &wire.ConsensusMessage{
			Type: wire.ConsensusMessage_TYPE_APPEND, From: 2, To: 1, Term: term, LogIndex: 1, LogTerm: 1,
			Entries: []*wire.LogEntry{{Index: 2, Term: term, Kind: kind, Data: data}},
		}
	}
	r.Step(start, entry(2, wire.LogEntry_KIND_MEMBERS))
	settle(r, start)
	is.Equal(r.set.voters(), []uint64{1, 3})
	r.Step(start, entry(3, wire.LogEntry_KIND_COMMAND))
	settle(r, start)
	is.Equal(r.set.voters(), []uint64{1, 2, 3})
}

// A leader whose entries contradict committed ones is never obeyed.
func TestCommittedEntryIsNeverReplaced(t *testing.T) {
	is := is.New(t)
	r := three(is, storage.HardState{Term: 2, Commit: 2}, 2)
	r.Step(start, &wire.ConsensusMessage{
		Type: wire.ConsensusMessage_TYPE_APPEND, From: 2, To: 1, Term: 9, LogIndex: 2, LogTerm: 9,
		Entries: []*wire.LogEntry{{Index: 3, Term: 9}},
	})
	is.Equal(r.log.last(), storage.EntryID{Index: 2, Term: 2})
	is.True(!r.log.holds(storage.EntryID{Index: 2, Term: 9}))
	_, ok := r.log.merge([]*wire.LogEntry{{Index: 2, Term: 9}})
	is.True(!ok)
}

// A leader sends a follower no more than the window, and goes on as answers come.
func TestFlowControlBoundsWhatIsUnanswered(t *testing.T) {
	is := is.New(t)
	r := three(is, storage.HardState{Term: 1, Commit: 1})
	now := start.Add(2 * DefaultElectionTimeout)
	r.Tick(now)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_PRE_VOTE_REPLY, From: 2, To: 1, Term: 2})
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_VOTE_REPLY, From: 2, To: 1, Term: 2})
	settle(r, now)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 2, LogIndex: 2})
	appends := func() (count int) {
		for _, m := range settle(r, now) {
			if m.Type == wire.ConsensusMessage_TYPE_APPEND && m.To == 2 && len(m.Entries) > 0 {
				count++
			}
		}
		return count
	}
	settle(r, now)
	for range 3 * DefaultMaxInflight {
		r.Propose([]byte("x"))
	}
	is.Equal(appends(), DefaultMaxInflight)
	r.Step(now, &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_APPEND_REPLY, From: 2, To: 1, Term: 2, LogIndex: 3})
	is.Equal(appends(), 1) // all that waits fits into one message
}

// While a leader is heard, only its own successor gets a vote.
func TestVoteWhileLeaderIsHeard(t *testing.T) {
	is := is.New(t)
	r := three(is, storage.HardState{Term: 1, Commit: 1})
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

// No message, however wrong, makes a replica panic or its log lose an entry that
// is committed.
func TestGarbageMessagesAreSurvived(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	small := func() uint64 { return random.Uint64N(8) }
	for range 300 {
		r := three(is, storage.HardState{Term: 2, Commit: 2}, 1, 2, 2)
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
			before := r.log.committed
			r.Step(now, m)
			r.Tick(now)
			r.Propose([]byte("x"))
			settle(r, now)
			is.True(r.log.committed >= before)
			for i, e := range r.log.entries {
				is.Equal(e.Index, r.log.base.Index+uint64(i)+1)
			}
		}
	}
}

// What a heartbeat confirms to a follower.
func TestConfirmationOfFollower(t *testing.T) {
	const offsetUs = uint64(1 << 40)
	tests := map[string]struct {
		echo  time.Duration
		age   uint64
		later time.Duration
		want  bool
	}{
		"fresh":                          {900 * time.Millisecond, 100, 0, true},
		"leader without quorum contact":  {900 * time.Millisecond, 0, 0, false},
		"contact too old":                {900 * time.Millisecond, 700, 0, false},
		"message long under way":         {100 * time.Millisecond, 1, 0, false},
		"echo of a life before this one": {5 * time.Second, 1, 0, false},
		"no heartbeat since":             {900 * time.Millisecond, 100, 600 * time.Millisecond, false},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			r := three(is, storage.HardState{Term: 1})
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

// An empty replica may know only followers: its request reaches the leader through
// one of them, and is passed on once.
func TestJoinIsPassedOnToTheLeader(t *testing.T) {
	is := is.New(t)
	p := settled(t, 5, 3)
	leader, follower := p.leader(), p.follower()
	join := &wire.ConsensusMessage{Type: wire.ConsensusMessage_TYPE_JOIN, From: 999, FromAddress: "10.0.0.9:1"}
	passedOn := func(m *wire.ConsensusMessage) []*wire.ConsensusMessage {
		follower.replica.Step(p.now, m)
		if !follower.replica.HasReady() {
			return nil
		}
		rd := follower.replica.Ready()
		follower.replica.Advance(p.now, rd)
		var joins []*wire.ConsensusMessage
		for _, out := range append(rd.ImmediateMessages, rd.Messages...) {
			if out.Type == wire.ConsensusMessage_TYPE_JOIN {
				joins = append(joins, out)
			}
		}
		return joins
	}
	joins := passedOn(join)
	is.Equal(len(joins), 1)
	is.Equal(joins[0].To, leader.id)
	is.Equal(joins[0].From, uint64(999)) // the joining replica's, not the follower's
	is.Equal(len(passedOn(joins[0])), 0) // what was passed on already goes no further
	leader.replica.Step(p.now, joins[0])
	is.True(leader.replica.set.find(999) != nil)
}
