package control

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// replica is a Machine that applies commands at successive log indexes. index is the
// index of the last one.
type replica struct {
	*Machine
	index uint64
}

func newReplica() *replica { return &replica{Machine: NewMachine(DefaultLimits())} }

func (r *replica) apply(c *wire.Command) *wire.CommandResult {
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	r.index++
	return r.Apply(r.index, data).(*wire.CommandResult)
}

func backendCommand(change *wire.BackendChange) *wire.Command {
	return &wire.Command{Body: &wire.Command_Backend{Backend: change}}
}

func joinCommand(name string, incarnation uint64) *wire.Command {
	return backendCommand(&wire.BackendChange{
		Kind: wire.BackendChange_KIND_JOIN,
		Name: name,
		Backend: &wire.Backend{
			Name: name, AgentAddress: "127.0.0.1:7000", AgentIncarnation: incarnation,
			FailureDomain: "punjab-a", Region: "punjab",
		},
	})
}

func configCommand(id string, base uint64, account string) *wire.Command {
	return &wire.Command{Body: &wire.Command_Config{Config: &wire.ConfigChange{
		ChangeId:      id,
		BaseRevision:  base,
		PutAccounts:   []*wire.Account{{Name: account, KeySha256: [][]byte{bytes.Repeat([]byte(account[:1]), 32)}}},
		PutPresets:    []*wire.Preset{{Name: "ordinary"}},
		PresetInForce: "ordinary",
	}}}
}

func claimCommand(account, key, proposal string) *wire.Command {
	return &wire.Command{Body: &wire.Command_OnceClaim{OnceClaim: &wire.OnceClaim{
		Account: account, Key: key, Proposal: proposal, RequestSha256: make([]byte, 32),
		Backend: "farmdesk-1", AgentIncarnation: 1, RetentionS: 60,
	}}}
}

func expireCommand(nowMS int64) *wire.Command {
	return &wire.Command{Body: &wire.Command_OnceExpire{OnceExpire: &wire.OnceExpire{NowMs: nowMS}}}
}

func crashCommand(account, backend string) *wire.Command {
	return &wire.Command{Body: &wire.Command_Crash{Crash: &wire.CrashReport{
		Account: account, Fingerprint: []byte("poison"), Backend: backend, EngineIncarnation: 1,
	}}}
}

func leaderCommand(term uint64) *wire.Command {
	return &wire.Command{Body: &wire.Command_LeaderStart{LeaderStart: &wire.LeaderStart{Term: term}}}
}

// allCommands returns a sequence of commands that covers every replicated table.
func allCommands() []*wire.Command {
	commands := []*wire.Command{
		leaderCommand(1),
		expireCommand(1_000_000),
		configCommand("c1", 0, "rahbar"),
		configCommand("c2", 1, "sajha"),
		joinCommand("assessor-1", 1),
		joinCommand("assessor-2", 1),
		claimCommand("rahbar", "booking-1", "p1"),
		claimCommand("rahbar", "booking-2", "p2"),
		crashCommand("rahbar", "assessor-1"),
		crashCommand("rahbar", "assessor-2"),
		crashCommand("sajha", "assessor-1"),
		backendCommand(&wire.BackendChange{Kind: wire.BackendChange_KIND_DRAIN, Name: "assessor-1"}),
		backendCommand(&wire.BackendChange{Kind: wire.BackendChange_KIND_RETIRE, Name: "assessor-2"}),
		{Body: &wire.Command_Fleet{Fleet: &wire.FleetChange{Term: 1, Issue: []*wire.Order{{Backend: "assessor-1", Model: "m"}}}}},
		{Body: &wire.Command_OnceFinish{OnceFinish: &wire.OnceFinish{
			Id: &wire.ClaimID{Account: "rahbar", Key: "booking-1", Index: 7}, State: wire.OnceRecord_STATE_DONE,
			Answer: &wire.StoredAnswer{Status: 201, Body: []byte("booked")},
		}}},
		leaderCommand(2),
	}
	for i := range 8 {
		commands = append(commands, expireCommand(1_000_000+int64(i)*20_000))
	}
	commands = append(commands, joinCommand("assessor-3", 1), configCommand("c1", 0, "rahbar"))
	return commands
}

func TestRestoredReplicaReachesSameState(t *testing.T) {
	commands := allCommands()
	whole := newReplica()
	var results []string
	for _, c := range commands {
		results = append(results, fmt.Sprint(whole.apply(c)))
	}
	want, err := whole.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for cut := range commands {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			is := is.New(t)
			first := newReplica()
			for _, c := range commands[:cut] {
				first.apply(c)
			}
			data, err := first.Snapshot()
			is.NoErr(err)
			second := newReplica()
			is.NoErr(second.Restore(data))
			second.index = first.index
			for i, c := range commands[cut:] {
				is.Equal(fmt.Sprint(second.apply(c)), results[cut+i]) // same results after a restore
			}
			got, err := second.Snapshot()
			is.NoErr(err)
			is.True(bytes.Equal(got, want)) // same final state
		})
	}
}

func TestViewMatchesState(t *testing.T) {
	is := is.New(t)
	m := newReplica()
	for _, c := range allCommands() {
		result := m.apply(c)
		is.Equal(result.GetProblem(), "")
		is.Equal(result.GetViewVersion(), m.Log().Version()) // the view version after the command
	}
	s := m.Log().Snapshot()
	is.Equal(s.Config.Revision, uint64(2))
	is.Equal(s.FencingToken, uint64(2))
	is.Equal(len(s.Members()), 3)
	is.Equal(s.Member("assessor-1").GetState(), wire.BackendState_BACKEND_STATE_DRAINING)
	is.True(s.Member("assessor-2").GetRetired())
	is.True(s.Quarantined("rahbar", []byte("poison")))
	is.True(!s.Quarantined("sajha", []byte("poison"))) // another account with only one crash
	is.Equal(m.OpenOrders()[0].GetFencing(), uint64(2))
	is.Equal(m.LookupClaim("rahbar", "booking-1"), nil)                                      // the retention time has passed
	is.Equal(m.LookupClaim("rahbar", "booking-2").GetState(), wire.OnceRecord_STATE_CLAIMED) // the request may still be running
	is.Equal(m.LookupClaim("sajha", "booking-2"), nil)                                       // the key belongs to another account
}

func TestIndexIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	m := newReplica()
	m.apply(configCommand("c1", 0, "rahbar"))
	data, _ := proto.Marshal(configCommand("c2", 1, "sajha"))
	again := m.Apply(1, data).(*wire.CommandResult)
	is.True(again.GetProblem() != "")
	is.Equal(m.Log().Snapshot().Config.Revision, uint64(1))
}

func TestBadCommandsChangeNothing(t *testing.T) {
	m := newReplica()
	for name, data := range map[string][]byte{
		"no command": {},
		"garbage":    []byte("\xff\xff\xff"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m.index++
			result := m.Apply(m.index, data).(*wire.CommandResult)
			is.True(result.GetProblem() != "")
			is.Equal(m.Log().Version(), uint64(0))
		})
	}
}

func TestClaimOfUnknownAccountIsRefused(t *testing.T) {
	is := is.New(t)
	m := newReplica()
	result := m.apply(claimCommand("nobody", "k", "p"))
	is.Equal(result.GetOnce().GetStatus(), wire.OnceResult_STATUS_REFUSED)
}

func TestClockBoundsLeaderClockJumps(t *testing.T) {
	second := int64(1000)
	for _, row := range []struct {
		name     string
		readings []int64
		want     int64
	}{
		{"steady", []int64{100 * second, 110 * second, 120 * second}, 20 * second},
		{"first reading sets nothing", []int64{1 << 40}, 0},
		{"jump forward by a year", []int64{0, 365 * 24 * 3600 * second, 365*24*3600*second + 10*second}, 10 * second},
		{"forward between readings", []int64{second, 365 * 24 * 3600 * second, 365*24*3600*second + 10*second}, 40 * second},
		{"jump back", []int64{100 * second, 40 * second, 50 * second}, 10 * second},
		{"long pause without a leader", []int64{second, 7200 * second}, 30 * second},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var c clock
			for _, reading := range row.readings {
				before := c.ms
				c.advance(reading)
				is.True(c.ms >= before) // the clock never goes back
			}
			is.Equal(c.ms, row.want)
		})
	}
}

// largeMachine returns a machine with 13,000 accounts, 4,000 backend servers and 20,000
// at-most-once records with answers of 500 bytes.
func largeMachine(b *testing.B) *replica {
	m := newReplica()
	change := &wire.ConfigChange{ChangeId: "all", PutPresets: []*wire.Preset{{Name: "ordinary"}}, PresetInForce: "ordinary"}
	for i := range 13_000 {
		digest := sha256.Sum256([]byte(fmt.Sprint("key", i)))
		change.PutAccounts = append(change.PutAccounts, &wire.Account{Name: fmt.Sprintf("account-%05d", i), KeySha256: [][]byte{digest[:]}})
	}
	m.apply(&wire.Command{Body: &wire.Command_Config{Config: change}})
	for i := range 4_000 {
		m.apply(joinCommand(fmt.Sprintf("backend-%04d", i), 1))
	}
	for i := range 20_000 {
		account := fmt.Sprintf("account-%05d", i%13_000)
		key := fmt.Sprint("booking-", i)
		m.apply(claimCommand(account, key, "p"))
		m.apply(&wire.Command{Body: &wire.Command_OnceFinish{OnceFinish: &wire.OnceFinish{
			Id: &wire.ClaimID{Account: account, Key: key, Index: m.index}, State: wire.OnceRecord_STATE_DONE,
			Answer: &wire.StoredAnswer{Status: 201, Body: make([]byte, 500)},
		}}})
	}
	if m.LookupClaim("account-00000", "booking-0").GetState() != wire.OnceRecord_STATE_DONE {
		b.Fatal("records are missing")
	}
	return m
}

func BenchmarkSnapshotAndRestore(b *testing.B) {
	m := largeMachine(b)
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			if _, err := m.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := NewMachine(DefaultLimits()).Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	m := largeMachine(b)
	commands := map[string]func(i int) *wire.Command{
		"claim": func(i int) *wire.Command {
			return claimCommand(fmt.Sprintf("account-%05d", i%13_000), fmt.Sprint("k", i), "p")
		},
		"join": func(i int) *wire.Command { return joinCommand(fmt.Sprintf("backend-%04d", i%4_000), uint64(i+2)) },
		"config": func(i int) *wire.Command {
			revision := m.Log().Snapshot().Config.Revision
			return configCommand(fmt.Sprint("change-", revision), revision, "rahbar")
		},
	}
	for name, command := range commands {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				m.apply(command(i))
				i++
			}
		})
	}
}

// Guards against a command that ends all replicas, at each start anew, when applying it panics.
func TestCommandThatPanicsIsRefused(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	members := r.members
	r.members = nil // what a panic needs
	is.True(r.apply(joinCommand("a", 1)).GetProblem() != "")
	r.members = members
	is.True(r.apply(joinCommand("a", 2)).GetBackend().GetAccepted())
}

// Guards against one command whose events the view does not take and after which the view stood still for
// good: its version fell behind the one that the machine gave to the next events.
func TestViewGoesOnAfterEventsThatItDoesNotTake(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	is.True(r.apply(joinCommand("a", 1)).GetBackend().GetAccepted())
	r.version += 3 // the events of the next command do not join
	is.True(r.apply(joinCommand("b", 1)).GetProblem() != "")
	is.True(r.apply(joinCommand("c", 1)).GetBackend().GetAccepted())
	is.True(r.Log().Snapshot().Member("c") != nil)
}
