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

// benchmarkSizes are the numbers of client accounts to measure: the current
// number (8), two sizes in between, and the long-term target (13,000).
var benchmarkSizes = []int{8, 400, 4000, 13_000}

// configWithAccounts returns a configuration with a number of accounts, 7 models
// and 3 presets.
func configWithAccounts(accounts int) *wire.Config {
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

func compiledWithAccounts(b *testing.B, accounts int) *Compiled {
	b.Helper()
	c, err := Compile(configWithAccounts(accounts))
	if err != nil {
		b.Fatal(err)
	}
	return c
}

func runEachSize(b *testing.B, run func(b *testing.B, accounts int)) {
	for _, accounts := range benchmarkSizes {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) { run(b, accounts) })
	}
}

// BenchmarkApplyAccountChange applies changes that each modify one account.
func BenchmarkApplyAccountChange(b *testing.B) {
	runEachSize(b, func(b *testing.B, accounts int) {
		s := NewState()
		if err := s.Restore(configWithAccounts(accounts), nil); err != nil {
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

// BenchmarkPresetSwitch applies a change of the preset in force.
func BenchmarkPresetSwitch(b *testing.B) {
	runEachSize(b, func(b *testing.B, accounts int) {
		c := compiledWithAccounts(b, accounts)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := c.With(&wire.ConfigChange{BaseRevision: 1, PresetInForce: "peak"}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCompile compiles a complete configuration, as a process does when it
// starts from a snapshot. It also reports the heap that the compiled
// configuration occupies and the size of its message.
func BenchmarkCompile(b *testing.B) {
	runEachSize(b, func(b *testing.B, accounts int) {
		config := configWithAccounts(accounts)
		var c *Compiled
		for b.Loop() {
			c = compiledWithAccounts(b, accounts)
		}
		b.ReportMetric(float64(proto.Size(config))/float64(accounts), "linkbytes/account")
		b.ReportMetric(retainedHeapBytes(accounts)/float64(accounts), "heapbytes/account")
		runtime.KeepAlive(c)
	})
}

// retainedHeapBytes returns the heap size of one compiled configuration.
func retainedHeapBytes(accounts int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c, _ := Compile(configWithAccounts(accounts))
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkAccountByKey performs the steps that authenticate a request: it
// computes the digest of the key and looks up the account and its limits.
func BenchmarkAccountByKey(b *testing.B) {
	runEachSize(b, func(b *testing.B, accounts int) {
		c := compiledWithAccounts(b, accounts)
		b.ReportAllocs()
		for b.Loop() {
			a, ok := c.AccountByKey(account.Digest("account-00007"))
			if !ok || c.AccountLimits(a).Weight != 1 {
				b.Fatal("account not found or with wrong weight")
			}
		}
	})
}

// BenchmarkResultsKept reports the heap and snapshot sizes of a full list of
// results.
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

// BenchmarkParseDeclaration parses and validates a complete declaration.
func BenchmarkParseDeclaration(b *testing.B) {
	runEachSize(b, func(b *testing.B, accounts int) {
		var text strings.Builder
		text.WriteString(minimalDeclaration + "accounts:\n")
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
