package config

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleypulley/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203", "rapid.checks": "500", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

var (
	nameGenerator = rapid.SampledFrom([]string{"a", "b", "c", "d"})
	keyGenerator  = rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"})
	saltGenerator = rapid.SampledFrom([]string{"", "", "", "s1", "s2"})
)

func drawAccount(t *rapid.T) *wire.Account {
	a := &wire.Account{
		Name:      nameGenerator.Draw(t, "account"),
		CacheSalt: saltGenerator.Draw(t, "salt"),
		Weight:    rapid.Uint32Max(3).Draw(t, "weight"),
	}
	for _, k := range rapid.SliceOfNDistinct(keyGenerator, 0, 2, rapid.ID).Draw(t, "keys") {
		a.KeySha256 = append(a.KeySha256, digestBytes(k))
	}
	return a
}

func drawPreset(t *rapid.T) *wire.Preset {
	p := &wire.Preset{Name: nameGenerator.Draw(t, "preset"), MaxQueue: rapid.Uint32Max(3).Draw(t, "queue")}
	if rapid.Bool().Draw(t, "limits an account") {
		p.Accounts = []*wire.AccountLimit{{Account: nameGenerator.Draw(t, "limited account")}}
	}
	if rapid.Bool().Draw(t, "limits a model") {
		p.Models = []*wire.ModelLimit{{Model: nameGenerator.Draw(t, "limited model")}}
	}
	return p
}

// drawChange draws a change of one or two objects. It draws names, keys and salts
// from small sets, so that many changes conflict with existing objects.
func drawChange(t *rapid.T, revision uint64) *wire.ConfigChange {
	change := &wire.ConfigChange{
		ChangeId:     fmt.Sprint("c", rapid.IntRange(0, 99).Draw(t, "id")),
		BaseRevision: revision,
	}
	if revision == 0 {
		change.PutPresets = []*wire.Preset{{Name: "a"}}
		change.PresetInForce = "a"
	}
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
		change.BaseRevision = max(revision, 1) - 1
	}
	for range rapid.IntRange(1, 2).Draw(t, "objects") {
		drawObject(t, change)
	}
	return change
}

func drawObject(t *rapid.T, change *wire.ConfigChange) {
	switch rapid.IntRange(0, 9).Draw(t, "object") {
	case 0, 1, 2:
		change.PutAccounts = append(change.PutAccounts, drawAccount(t))
	case 3, 4:
		model := &wire.Model{Name: nameGenerator.Draw(t, "model"), WeightsVersion: "v1"}
		change.PutModels = append(change.PutModels, model)
	case 5, 6:
		change.PutPresets = append(change.PutPresets, drawPreset(t))
	case 7:
		change.PresetInForce = nameGenerator.Draw(t, "in force")
	case 8:
		change.DeleteAccounts = append(change.DeleteAccounts, nameGenerator.Draw(t, "deleted account"))
	case 9:
		change.DeletePresets = append(change.DeletePresets, nameGenerator.Draw(t, "deleted preset"))
	}
}

// checkInvariants checks the properties that every configuration must have.
func checkInvariants(t *rapid.T, c *Compiled) {
	config := c.Config()
	if c.Revision == 0 {
		return
	}
	if !hasPreset(config, config.PresetInForce) {
		t.Fatalf("preset in force %q does not exist", config.PresetInForce)
	}
	again, err := Compile(config)
	if err != nil {
		t.Fatalf("configuration does not compile: %v", err)
	}
	if !proto.Equal(again.Config(), config) {
		t.Fatal("compiling changed the configuration")
	}
	keys := 0
	salts := map[string]string{}
	for a := range c.EachAccount {
		keys += len(a.Keys)
		if other, taken := salts[a.Salt]; taken || a.Salt == "" {
			t.Fatalf("accounts %q and %q share the salt %q", a.Name, other, a.Salt)
		}
		salts[a.Salt] = a.Name
		for _, key := range a.Keys {
			if owner, _ := c.AccountByKey(key); owner != a {
				t.Fatalf("lookup by a key of account %q returned %v", a.Name, owner)
			}
		}
	}
	if keys != c.keys.size {
		t.Fatalf("index has %d keys, but the accounts have %d", c.keys.size, keys)
	}
}

// TestPropertiesOfConfigurationHistories applies random sequences of changes,
// including conflicting and resent ones, to two replicas and a follower. One
// replica is sometimes restored from a snapshot. All must reach the same state.
func TestPropertiesOfConfigurationHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		replica := NewState()
		follower := Empty()
		first := map[string]*wire.ConfigResult{}
		sent := map[string]*wire.ConfigChange{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			change := drawChange(t, state.Compiled().Revision)
			if old, ok := sent[change.ChangeId]; ok && rapid.Bool().Draw(t, "resend") {
				change = old
			}
			before := state.Compiled().Revision
			result := state.Apply(proto.CloneOf(change))
			if !proto.Equal(result, replica.Apply(proto.CloneOf(change))) {
				t.Fatal("replicas returned different results")
			}
			after := state.Compiled().Revision
			inForce := result.Status == wire.ConfigResult_STATUS_ACCEPTED && !result.RepeatedChange
			if (after != before) != inForce || after < before || after > before+1 {
				t.Fatalf("revision changed from %d to %d with result %v", before, after, result)
			}
			if inForce {
				next, err := follower.With(proto.CloneOf(change))
				if err != nil {
					t.Fatalf("follower failed to apply an accepted change: %v", err)
				}
				follower = next
			}
			checkResult(t, first, sent, change, result)
			checkInvariants(t, state.Compiled())
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				replica = restoreFromSnapshot(t, replica)
			}
		}
		if !proto.Equal(follower.Config(), state.Config()) || !proto.Equal(replica.Config(), state.Config()) {
			t.Fatal("follower or restored replica differs from the state")
		}
	})
}

// checkResult checks that a resent change gets its first result, and that another
// change with the same ID is rejected.
func checkResult(t *rapid.T, first map[string]*wire.ConfigResult, sent map[string]*wire.ConfigChange, change *wire.ConfigChange, result *wire.ConfigResult) {
	known, ok := first[change.ChangeId]
	if !ok {
		first[change.ChangeId] = result
		sent[change.ChangeId] = change
		return
	}
	if !proto.Equal(change, sent[change.ChangeId]) {
		if result.Status != wire.ConfigResult_STATUS_INVALID {
			t.Fatalf("another change with a used ID got %v", result)
		}
		return
	}
	want := proto.CloneOf(known)
	want.RepeatedChange = true
	if !proto.Equal(result, want) {
		t.Fatalf("resent change got %v, but the first result was %v", result, known)
	}
}

// restoreFromSnapshot returns a new state that is restored from a marshalled
// snapshot of s.
func restoreFromSnapshot(t *rapid.T, s *State) *State {
	snapshot := &wire.MachineSnapshot{View: &wire.View{Config: s.Config()}, ConfigResults: s.Results()}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	read := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(data, read); err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(read.View.Config, read.ConfigResults); err != nil {
		t.Fatal(err)
	}
	return restored
}

// drawConfig draws a configuration by applying a short random sequence of
// changes.
func drawConfig(t *rapid.T) *wire.Config {
	state := NewState()
	for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
		change := drawChange(t, state.Compiled().Revision)
		change.ChangeId = fmt.Sprint("c", i)
		state.Apply(change)
	}
	return state.Config()
}

// TestPropertyOfDiff checks that the change that Diff returns for any two
// configurations is accepted and produces the wanted one, and that it keeps the
// preset in force if that still exists.
func TestPropertyOfDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, want := drawConfig(t), drawConfig(t)
		if want.Revision == 0 {
			return // a declaration is never empty
		}
		state := NewState()
		if err := state.Restore(proto.CloneOf(current), nil); err != nil {
			t.Fatal(err)
		}
		change := Diff(current, want)
		if IsEmpty(change) {
			return
		}
		change.ChangeId = "diff"
		if result := state.Apply(change); result.Status != wire.ConfigResult_STATUS_ACCEPTED {
			t.Fatalf("change was rejected: %v", result.Problems)
		}
		expected := proto.CloneOf(want)
		expected.Revision = current.Revision + 1
		if hasPreset(want, current.PresetInForce) {
			expected.PresetInForce = current.PresetInForce
		}
		if !proto.Equal(state.Config(), expected) {
			t.Fatalf("change produced %v, want %v", state.Config(), expected)
		}
	})
}
