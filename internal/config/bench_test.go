package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

// benchmarkSizes are numbers of client accounts: today's, two points between
// and the one of the long-run target.
var benchmarkSizes = []int{8, 400, 4000, 13_000}

func sizedConfig(accounts int) *wire.Config {
	config := &wire.Config{Revision: 1, PresetInForce: "ordinary"}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		config.Accounts = append(config.Accounts, &wire.Account{
			Name:      name,
			KeySha256: [][]byte{digestBytes(name)},
			Weight:    1,
		})
	}
	for i := range 7 {
		config.Models = append(config.Models, &wire.Model{Name: fmt.Sprint("model-", i), WeightsVersion: "v1", MinReady: 1})
	}
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		config.Presets = append(config.Presets, &wire.Preset{Name: name})
	}
	return config
}

func sizedCompiled(b *testing.B, accounts int) *Compiled {
	b.Helper()
	c, err := Compile(sizedConfig(accounts))
	if err != nil {
		b.Fatal(err)
	}
	return c
}

func eachSize(b *testing.B, run func(b *testing.B, accounts int)) {
	for _, accounts := range benchmarkSizes {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) { run(b, accounts) })
	}
}

// BenchmarkApplyAccountChange applies changes of one account each.
func BenchmarkApplyAccountChange(b *testing.B) {
	eachSize(b, func(b *testing.B, accounts int) {
		s := NewState()
		if err := s.Restore(sizedConfig(accounts), nil); err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		var change *wire.ConfigChange
		for i := 0; b.Loop(); i++ {
			name := fmt.Sprintf("account-%05d", i%accounts)
			change = &wire.ConfigChange{
				ChangeId:     fmt.Sprintf("%032d", i),
				BaseRevision: s.Compiled().Revision,
				PutAccounts:  []*wire.Account{{Name: name, KeySha256: [][]byte{digestBytes(name)}, Weight: uint32(1 + i%9)}},
			}
			result := s.Apply(change)
			if result.Status != wire.ConfigResult_STATUS_ACCEPTED {
				b.Fatal(result)
			}
		}
		b.ReportMetric(float64(proto.Size(change)), "linkbytes/change")
	})
}

// BenchmarkPresetSwitch recompiles after a switch of the preset in force.
func BenchmarkPresetSwitch(b *testing.B) {
	eachSize(b, func(b *testing.B, accounts int) {
		c := sizedCompiled(b, accounts)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := c.With(&wire.ConfigChange{BaseRevision: 1, PresetInForce: "peak"}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCompile compiles a whole configuration, as a process does that
// starts from a snapshot, and reports the memory it keeps and its size on the
// link.
func BenchmarkCompile(b *testing.B) {
	eachSize(b, func(b *testing.B, accounts int) {
		config := sizedConfig(accounts)
		var c *Compiled
		for b.Loop() {
			c = sizedCompiled(b, accounts)
		}
		b.ReportMetric(float64(proto.Size(config))/float64(accounts), "linkbytes/account")
		b.ReportMetric(keptBytes(accounts)/float64(accounts), "heapbytes/account")
		runtime.KeepAlive(c)
	})
}

// keptBytes returns the heap that one compiled configuration holds.
func keptBytes(accounts int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c, _ := Compile(sizedConfig(accounts))
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkAccountByKey authenticates a request: digest, lookup and limits.
func BenchmarkAccountByKey(b *testing.B) {
	eachSize(b, func(b *testing.B, accounts int) {
		c := sizedCompiled(b, accounts)
		b.ReportAllocs()
		for b.Loop() {
			a, ok := c.AccountByKey(account.Digest("account-00007"))
			if !ok || c.AccountLimits(a).Weight != 1 {
				b.Fatal("the account is not found")
			}
		}
	})
}

// BenchmarkResultsKept reports the memory of a full list of results.
func BenchmarkResultsKept(b *testing.B) {
	var s *State
	for b.Loop() {
		s = NewState()
		s.Apply(&wire.ConfigChange{ChangeId: "first", PutPresets: []*wire.Preset{{Name: "p"}}, PresetInForce: "p"})
		for i := range MaxResults {
			s.Apply(&wire.ConfigChange{ChangeId: fmt.Sprintf("%036d", i), BaseRevision: uint64(1 + i), PresetInForce: "p"})
		}
	}
	snapshot := &wire.MachineSnapshot{ConfigResults: s.Results()}
	b.ReportMetric(float64(proto.Size(snapshot))/MaxResults, "snapshotbytes/result")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	runtime.KeepAlive(s)
	snapshot = nil
	s = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(before.HeapAlloc)-float64(after.HeapAlloc))/MaxResults, "heapbytes/result")
}

// BenchmarkParseDeclaration parses and checks a whole declaration.
func BenchmarkParseDeclaration(b *testing.B) {
	eachSize(b, func(b *testing.B, accounts int) {
		var text strings.Builder
		text.WriteString(minimal + "accounts:\n")
		for i := range accounts {
			name := fmt.Sprintf("account-%05d", i)
			fmt.Fprintf(&text, "  - name: %s\n    keys:\n      - %s\n    weight: 2\n", name, account.Digest(name))
		}
		data := []byte(text.String())
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ParseDeclaration("d.yaml", data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data))/float64(accounts), "filebytes/account")
	})
}
