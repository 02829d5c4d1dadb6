package node

import (
	"context"
	"fmt"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/control"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/link"
	"parsleypulley/internal/membership"
	"parsleypulley/internal/wire"
)

// oddCommands returns commands that earlier versions, or a fault, may have left in the log, of backend
// servers that can't be used under names that begin with prefix.
func oddCommands(t *testing.T, prefix string) [][]byte {
	t.Helper()
	var out [][]byte
	for i, b := range []*wire.Backend{
		{Address: "10.0.0.9:0", AgentIncarnation: 1}, {Address: "[fe80::1%eth0]:80", AgentIncarnation: 1}, {Address: "0.0.0.0:80", AgentIncarnation: 1},
		{Address: "10.0.0.1:80", AgentIncarnation: 1 << 53}, {Address: "10.0.0.8:80", AgentIncarnation: math.MaxUint64, MaxRunning: math.MaxUint32},
		{Address: "10.0.0.7:80", AgentIncarnation: 1, SoftwareVersion: strings.Repeat("v", 60<<10), Models: []*wire.LoadedModel{{}, {WeightsVersion: "1e400"}}},
	} {
		b.Name = fmt.Sprintf("%s-%d\r\n", prefix, i)
		data, err := proto.Marshal(&wire.Command{Body: &wire.Command_Backend{Backend: &wire.BackendChange{Kind: wire.BackendChange_KIND_JOIN, Name: b.Name, Backend: b}}})
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, data)
	}
	return append(out, nil, []byte{0xff}, []byte(strings.Repeat("\x0b", 10_000)), []byte(strings.Repeat("[", 60<<10)))
}

// Guards against an invalid entry in the log or the snapshot of the disk that ends the process at each start,
// keeps valid members from being restored, or keeps a valid server out after the start.
func TestInvalidEntriesOnDiskDoNotEndTheProcess(t *testing.T) {
	is := is.New(t)
	links, data := freeAddresses(t, 1), t.TempDir()
	settings := &daemon.Settings{Name: "vm", Domain: "d", Link: links[0], Control: links, LogLevel: "error", Trace: "off", StopDeadline: time.Second}
	p, err := daemon.NewProcess(settings, link.RoleControl)
	is.NoErr(err)
	start := func(leases membership.LeaseConfig) *replicaHost {
		h := &replicaHost{process: p, options: &ControlOptions{Settings: settings, Data: data, Bootstrap: true, Control: control.Options{Leases: leases}}}
		is.NoErr(h.start())
		return h
	}
	valid := func(name, address string) *wire.Announce {
		return &wire.Announce{Backend: &wire.Backend{Name: name, Address: address, Service: "s", FailureDomain: "d", AgentIncarnation: 1_787_242_372_604, MaxRunning: 4}, Sequence: 1}
	}
	announce := func(h *replicaHost, a *wire.Announce) bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return h.Announce(ctx, a) == nil && h.Snapshot().Member(a.GetBackend().GetName()) != nil
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not in time: %s", what)
			}
		}
	}
	propose := func(h *replicaHost, commands [][]byte) {
		for _, command := range commands {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			_, err := h.replica().Propose(ctx, command)
			cancel()
			is.NoErr(err)
		}
	}

	// The leases are so long that the entries stay in the log, as with an earlier version.
	long := membership.DefaultLeaseConfig()
	long.MinInterval, long.MaxInterval = time.Hour, time.Hour
	h := start(long)
	eventually("a valid server joins", func() bool { return announce(h, valid("a", "10.0.0.3:80")) })
	propose(h, oddCommands(t, "snapshot"))
	document, version := []byte(strings.Repeat("d", 8<<20)), uint64(0)
	eventually("there are enough bytes for a snapshot", func() bool {
		version++
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := h.PutRoutes(ctx, &wire.RouteTableChange{Table: &wire.RouteTable{Version: version, Services: []*wire.ForwardService{{Name: "s"}}}, Document: document})
		is.NoErr(err)
		names, err := filepath.Glob(filepath.Join(data, "*.snapshot"))
		is.NoErr(err)
		return len(names) > 0
	})
	propose(h, oddCommands(t, "log"))
	before := h.Snapshot()
	is.Equal(len(before.Members()), 1+6) // those of the log have replaced those of the snapshot at their addresses
	h.close()

	for range 2 { // each start
		h = start(membership.DefaultLeaseConfig())
		eventually("the valid server is restored", func() bool { return h.Snapshot().Member("a") != nil })
		eventually("a server joins whose address an entry holds", func() bool { return announce(h, valid("b", "10.0.0.1:80")) })
		eventually("unusable entries are removed", func() bool { return len(h.Snapshot().Members()) == 2 && announce(h, valid("a", "10.0.0.3:80")) })
		is.True(h.Version() > before.Version)
		h.close()
	}
}
