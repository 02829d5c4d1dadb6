package control

import (
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// FuzzCommand guards against a malformed command in the log that ends all replicas, at each start anew,
// or after which the view stands still or no snapshot can be written or read.
func FuzzCommand(f *testing.F) {
	for _, c := range []*wire.Command{
		joinCommand("a", 1), configCommand("c", 0, "one"), claimCommand("one", "k", "p"), backendCommand(nil),
		{Body: &wire.Command_Config{}}, {Body: &wire.Command_Backend{}}, {Body: &wire.Command_OnceClaim{}}, {Body: &wire.Command_OnceFinish{}},
		{Body: &wire.Command_OnceExpire{}}, {Body: &wire.Command_Crash{}}, {Body: &wire.Command_Crashes{}}, {Body: &wire.Command_LeaderStart{}},
		{Body: &wire.Command_Fleet{}}, {Body: &wire.Command_RouteTable{}}, {Body: &wire.Command_Weights{}},
		{Body: &wire.Command_RouteTable{RouteTable: &wire.RouteTableChange{Table: routeTable(5)}}}, oddJoinCommand("[fe80::1%eth0]:0", 1), oddJoinCommand("0.0.0.0:80", math.MaxUint64),
		{Body: &wire.Command_Weights{Weights: &wire.WeightsTarget{Version: math.MaxUint64}}}, {Body: &wire.Command_LeaderStart{LeaderStart: &wire.LeaderStart{Term: math.MaxUint64}}},
		{Body: &wire.Command_OnceExpire{OnceExpire: &wire.OnceExpire{NowMs: math.MinInt64}}},
	} {
		data, err := proto.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newReplica()
		r.apply(joinCommand("a", 1))
		r.apply(configCommand("c", 0, "one"))
		r.index++
		if r.Apply(r.index, data).(*wire.CommandResult) == nil {
			t.Fatal("no result")
		}
		joined := r.apply(joinCommand("b", 1))
		if joined.GetProblem() != "" {
			t.Fatal(joined.GetProblem())
		}
		if accepted := joined.GetBackend().GetAccepted(); accepted && r.Log().Snapshot().Member("b") == nil {
			t.Fatal("the view stands still")
		}
		snapshot, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewMachine(DefaultLimits())
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if version := restored.Log().Version(); version != r.Log().Version() {
			t.Fatalf("restored view %d, not %d", version, r.Log().Version())
		}
	})
}

// oddJoinCommand returns a command that earlier versions took into the log, of a backend server that can't
// be used.
func oddJoinCommand(address string, incarnation uint64) *wire.Command {
	return &wire.Command{Body: &wire.Command_Backend{Backend: &wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Backend: &wire.Backend{
		Name: "b\r\n", Address: address, AgentIncarnation: incarnation, SoftwareVersion: strings.Repeat("v", 1000), MaxRunning: math.MaxUint32,
		Models: []*wire.LoadedModel{{WeightsVersion: "1e400"}, {}}}}}}
}
