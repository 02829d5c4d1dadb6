package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

func digestBytes(plain string) []byte {
	d := account.Digest(plain)
	return d[:]
}

// initialChange returns a change that declares two accounts, a model, a service
// and two presets.
func initialChange() *wire.ConfigChange {
	return &wire.ConfigChange{
		ChangeId: "first",
		PutAccounts: []*wire.Account{
			{Name: "a", KeySha256: [][]byte{digestBytes("ka")}, Weight: 2, Priority: 3, MaxConcurrent: 5},
			{Name: "b", KeySha256: [][]byte{digestBytes("kb")}, CacheSalt: "salt-b"},
		},
		PutModels:   []*wire.Model{{Name: "m", WeightsVersion: "v1", Adapters: []string{"x"}, MinReady: 2}},
		PutServices: []*wire.Service{{Name: "s", Routes: []*wire.Route{{Methods: []string{"POST"}, PathPrefix: "/book", AtMostOnce: true}}}},
		PutPresets: []*wire.Preset{
			{Name: "ordinary"},
			{
				Name:     "peak",
				Accounts: []*wire.AccountLimit{{Account: "a", Priority: new(int32(0)), MaxConcurrent: new(uint32(9))}},
				Models:   []*wire.ModelLimit{{Model: "m", MinReady: new(uint32(4)), MaxRunning: 7}},
			},
		},
		PresetInForce: "ordinary",
	}
}

// newInitialState returns a state at revision 1, after initialChange.
func newInitialState(t testing.TB) *State {
	t.Helper()
	s := NewState()
	if r := s.Apply(initialChange()); r.Status != wire.ConfigResult_STATUS_ACCEPTED || r.Revision != 1 {
		t.Fatal(r)
	}
	return s
}

func usePreset(id string, base uint64, name string) *wire.ConfigChange {
	return &wire.ConfigChange{ChangeId: id, BaseRevision: base, PresetInForce: name}
}

func TestConcurrentChangesToSameRevisionConflict(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	won := s.Apply(usePreset("operator-1", 1, "peak"))
	lost := s.Apply(usePreset("operator-2", 1, "ordinary"))
	is.Equal(won.Status, wire.ConfigResult_STATUS_ACCEPTED)
	is.Equal(won.Revision, uint64(2))
	is.Equal(lost.Status, wire.ConfigResult_STATUS_CONFLICT)
	is.Equal(lost.Revision, uint64(2)) // the revision in force
	is.Equal(s.Compiled().Preset.Name, "peak")
}

func TestResentChangeGetsFirstResult(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	change := usePreset("c", 1, "peak")
	first := s.Apply(change)
	s.Apply(usePreset("back", 2, "ordinary"))

	restored := NewState()
	is.NoErr(restored.Restore(s.Config(), s.Results()))
	for _, state := range []*State{s, restored} { // before and after a restart
		again := state.Apply(proto.CloneOf(change))
		is.True(again.RepeatedChange)
		is.Equal(again.Status, first.Status)
		is.Equal(again.Revision, first.Revision)
		is.Equal(state.Compiled().Revision, uint64(3))          // nothing changed
		is.Equal(state.Compiled().Preset.Name, "ordinary")      // the resent change did not undo the later one
		is.Equal(state.Apply(usePreset("c", 3, "peak")).Status, // another change with the same ID
			wire.ConfigResult_STATUS_INVALID)
	}
}

func TestRejectedChangesAreRecorded(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	is.Equal(s.Apply(usePreset("early", 2, "peak")).Status, wire.ConfigResult_STATUS_CONFLICT)
	s.Apply(usePreset("other", 1, "peak"))
	again := s.Apply(usePreset("early", 2, "peak")) // base revision 2 is now in force
	is.Equal(again.Status, wire.ConfigResult_STATUS_CONFLICT)
	is.True(again.RepeatedChange)
}

func TestResultsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	for i := range MaxResults {
		s.Apply(usePreset(fmt.Sprint("c", i), uint64(1+i), "peak"))
	}
	results := s.Results()
	is.Equal(len(results), MaxResults)
	is.Equal(results[0].ChangeId, "c0") // the result of "first" was deleted
	restored := NewState()
	is.NoErr(restored.Restore(s.Config(), results))
	is.Equal(len(restored.Results()), MaxResults)
	is.True(restored.Apply(usePreset("c0", 1, "peak")).RepeatedChange)
}

func TestInvalidChangesChangeNothing(t *testing.T) {
	for _, test := range []struct {
		name   string
		change *wire.ConfigChange
		want   string
	}{
		{"empty", &wire.ConfigChange{}, "empty"},
		{"unknown preset put in force", usePreset("", 1, "night"), `no preset "night"`},
		{"delete the preset in force", &wire.ConfigChange{DeletePresets: []string{"ordinary"}}, `no preset "ordinary"`},
		{"delete all presets", &wire.ConfigChange{DeletePresets: []string{"ordinary", "peak"}}, `no preset "ordinary"`},
		{"delete an account that a preset limits", &wire.ConfigChange{DeleteAccounts: []string{"a"}}, `preset "peak" limits it`},
		{"delete a model that a preset limits", &wire.ConfigChange{DeleteModels: []string{"m"}}, `preset "peak" limits it`},
		{"delete an unknown service", &wire.ConfigChange{DeleteServices: []string{"t"}}, "does not exist"},
		{"put and delete", &wire.ConfigChange{PutModels: []*wire.Model{{Name: "n", WeightsVersion: "1"}}, DeleteModels: []string{"n"}}, "both put and deleted"},
		{"put twice", &wire.ConfigChange{PutAccounts: []*wire.Account{{Name: "c"}, {Name: "c"}}}, "declared twice"},
		{"key of another account", &wire.ConfigChange{PutAccounts: []*wire.Account{{Name: "c", KeySha256: [][]byte{digestBytes("ka")}}}}, `already a key of account "a"`},
		{"salt of another account", &wire.ConfigChange{PutAccounts: []*wire.Account{{Name: "c", CacheSalt: "salt-b"}}}, `account "b" has the same salt`},
		{"salt in the form of a derived one", &wire.ConfigChange{PutAccounts: []*wire.Account{{Name: "c", CacheSalt: account.DeriveSalt("a", "")}}}, "must not start with"},
		{"short key digest", &wire.ConfigChange{PutAccounts: []*wire.Account{{Name: "c", KeySha256: [][]byte{{1}}}}}, "32 bytes"},
		{"bad account name", &wire.ConfigChange{PutAccounts: []*wire.Account{{Name: "A b"}}}, "bad account name"},
		{"weight out of range", &wire.ConfigChange{PutAccounts: []*wire.Account{{Name: "c", Weight: MaxWeight + 1}}}, "weight 10001 is out of range"},
		{"model without version", &wire.ConfigChange{PutModels: []*wire.Model{{Name: "n"}}}, "bad weights version"},
		{"adapter twice", &wire.ConfigChange{PutModels: []*wire.Model{{Name: "n", WeightsVersion: "1", Adapters: []string{"x", "x"}}}}, "declared twice"},
		{"relative path prefix", &wire.ConfigChange{PutServices: []*wire.Service{{Name: "t", Routes: []*wire.Route{{PathPrefix: "x"}}}}}, "bad path prefix"},
		{"overlapping routes", &wire.ConfigChange{PutServices: []*wire.Service{{Name: "t", Routes: []*wire.Route{{PathPrefix: "/x"}, {PathPrefix: "/x", Methods: []string{"POST"}}}}}}, "declared twice"},
		{"preset names an unknown account", &wire.ConfigChange{PutPresets: []*wire.Preset{{Name: "p", Accounts: []*wire.AccountLimit{{Account: "z"}}}}}, `no account "z"`},
		{"preset names an unknown model", &wire.ConfigChange{PutPresets: []*wire.Preset{{Name: "p", Models: []*wire.ModelLimit{{Model: "z"}}}}}, `no model "z"`},
		{"preset limits an account twice", &wire.ConfigChange{PutPresets: []*wire.Preset{{Name: "p", Accounts: []*wire.AccountLimit{{Account: "a"}, {Account: "a"}}}}}, "limits an account twice"},
		{"negative cost weight", &wire.ConfigChange{PutPresets: []*wire.Preset{{Name: "p", WaitWeight: -1}}}, "out of range"},
		{"deadline out of range", &wire.ConfigChange{PutPresets: []*wire.Preset{{Name: "p", DefaultDeadlineMs: 1}}}, "out of range"},
		{"percentage out of range", &wire.ConfigChange{PutPresets: []*wire.Preset{{Name: "p", RetryBudgetPercent: 101}}}, "101% is out of range"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newInitialState(t)
			before := s.Config()
			test.change.ChangeId = "c"
			test.change.BaseRevision = 1
			result := s.Apply(test.change)
			is.Equal(result.Status, wire.ConfigResult_STATUS_INVALID)
			is.True(strings.Contains(strings.Join(result.Problems, "\n"), test.want)) // describes the error
			is.True(proto.Equal(s.Config(), before))
		})
	}
}

func TestChangeIDIsChecked(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	for _, id := range []string{"", strings.Repeat("x", MaxChangeIDBytes+1)} {
		is.Equal(s.Apply(usePreset(id, 1, "peak")).Status, wire.ConfigResult_STATUS_INVALID)
	}
	is.Equal(len(s.Results()), 1)
}

func TestProblemsOfAResultAreBounded(t *testing.T) {
	is := is.New(t)
	change := &wire.ConfigChange{ChangeId: "c"}
	for i := range 1000 {
		change.PutAccounts = append(change.PutAccounts, &wire.Account{Name: fmt.Sprint("Ä", strings.Repeat("ö", 500), i)})
	}
	result := NewState().Apply(change)
	is.Equal(len(result.Problems), maxResultProblems+1)
	_, err := proto.Marshal(result) // truncated texts are still valid UTF-8
	is.NoErr(err)
}

func TestRestoreRejectsInvalidConfiguration(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	damaged := proto.CloneOf(s.Config())
	damaged.PresetInForce = "gone"
	is.True(s.Restore(damaged, nil) != nil)
	is.Equal(s.Compiled().Revision, uint64(1)) // the state is unchanged
}

func TestCompiledResolvesThePresetInForce(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	ordinary := s.Compiled()
	s.Apply(usePreset("c", 1, "peak"))
	peak := s.Compiled()

	a, ok := ordinary.AccountByKey(account.Digest("ka"))
	is.True(ok)
	is.Equal(ordinary.AccountLimits(a), AccountLimits{Weight: 2, Priority: 3, MaxConcurrent: 5})
	is.Equal(peak.AccountLimits(a), AccountLimits{Weight: 2, Priority: 0, MaxConcurrent: 9}) // a limit of 0 overrides; a missing one does not
	m, ok := ordinary.Model("m")
	is.True(ok)
	is.Equal(ordinary.ModelLimits(m), ModelLimits{MinReady: 2})
	is.Equal(peak.ModelLimits(m), ModelLimits{MinReady: 4, MaxRunning: 7})
	is.Equal(ordinary.Preset.Name, "ordinary") // the older configuration is unchanged
	is.Equal(ordinary.Preset.DefaultDeadline, DefaultDeadline)
	is.Equal(ordinary.Preset.MaxQueue, DefaultMaxQueue)
	is.Equal(a.Salt, account.DeriveSalt("a", ""))
	b, _ := ordinary.Account("b")
	is.Equal(b.Salt, account.DeriveSalt("b", "salt-b"))
	_, ok = ordinary.AccountByKey(account.Digest("kz"))
	is.True(!ok)
}

func TestKeysMoveBetweenAccounts(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	result := s.Apply(&wire.ConfigChange{ChangeId: "swap", BaseRevision: 1, PutAccounts: []*wire.Account{
		{Name: "a", KeySha256: [][]byte{digestBytes("kb")}, CacheSalt: "salt-b"},
		{Name: "b", KeySha256: [][]byte{digestBytes("ka")}},
	}})
	is.Equal(result.Status, wire.ConfigResult_STATUS_ACCEPTED)
	a, _ := s.Compiled().AccountByKey(account.Digest("kb"))
	is.Equal(a.Name, "a")
	result = s.Apply(&wire.ConfigChange{ChangeId: "delete", BaseRevision: 2, DeleteAccounts: []string{"b"}})
	is.Equal(result.Status, wire.ConfigResult_STATUS_ACCEPTED)
	_, ok := s.Compiled().AccountByKey(account.Digest("ka"))
	is.True(!ok) // the key of a deleted account is removed
}

// Guards against an account that finds the cached state of the account to which its declared salt
// belonged before.
func TestSaltOfAnAccountIsNeverThatOfAnother(t *testing.T) {
	is := is.New(t)
	s := newInitialState(t)
	before, _ := s.Compiled().Account("b")
	result := s.Apply(&wire.ConfigChange{ChangeId: "move", BaseRevision: 1, DeleteAccounts: []string{"b"}, PutAccounts: []*wire.Account{{Name: "c", CacheSalt: "salt-b"}}})
	is.Equal(result.Status, wire.ConfigResult_STATUS_ACCEPTED)
	after, _ := s.Compiled().Account("c")
	is.True(after.Salt != before.Salt)
	result = s.Apply(&wire.ConfigChange{ChangeId: "back", BaseRevision: 2, DeleteAccounts: []string{"c"}, PutAccounts: []*wire.Account{{Name: "b", CacheSalt: "salt-b"}}})
	is.Equal(result.Status, wire.ConfigResult_STATUS_ACCEPTED)
	back, _ := s.Compiled().Account("b")
	is.Equal(back.Salt, before.Salt) // its own state stays usable
}

func TestServiceAtMostOnce(t *testing.T) {
	s := compileService(&wire.Service{Name: "s", Routes: []*wire.Route{
		{Methods: []string{"POST"}, PathPrefix: "/book", AtMostOnce: true},
		{Methods: []string{"POST"}, PathPrefix: "/", AtMostOnce: false},
		{PathPrefix: "/book/quote", AtMostOnce: false},
		{Methods: []string{"PUT"}, PathPrefix: "/charge/", AtMostOnce: true},
	}})
	for _, test := range []struct {
		method, path string
		want         bool
	}{
		{"POST", "/book", true},
		{"POST", "/book/7", true},
		{"POST", "/booklet", false},
		{"POST", "/book/quote", false},
		{"POST", "/other", false},
		{"GET", "/book", false},
		{"PATCH", "/other", true}, // no route matches, and PATCH is not idempotent in HTTP
		{"DELETE", "/other", false},
		{"PUT", "/charge", true},
		{"PUT", "/charge/9", true},
		{"post", "/other", true}, // methods are case-sensitive; unknown ones may not be repeated
		{"POST", "/other/../book", true},
		{"POST", "//book", true},
		{"POST", "/%62ook", true},
		{"POST", "/other/..%2fbook", true},
		{"POST", "/book/../other", true}, // the backend server may not clean paths
		{"POST", "/%zz", true},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			is := is.New(t)
			is.Equal(s.AtMostOnce(test.method, test.path), test.want)
		})
	}
}

func TestChangeCostIsIndependentOfAccountCount(t *testing.T) {
	is := is.New(t)
	allocations := func(accounts int) float64 {
		c, err := Compile(configWithAccounts(accounts))
		is.NoErr(err)
		change := &wire.ConfigChange{BaseRevision: 1, PutAccounts: []*wire.Account{
			{Name: "account-00005", KeySha256: [][]byte{digestBytes("another key")}},
		}}
		return testing.AllocsPerRun(20, func() {
			if _, err := c.With(change); err != nil {
				t.Fatal(err)
			}
		})
	}
	few, many := allocations(400), allocations(13_000)
	is.True(many <= few+10) // copying larger shards takes a few more allocations
}

// Revision 0 is the empty configuration. One that has objects is damaged.
func TestObjectsAtRevisionZeroAreInvalid(t *testing.T) {
	is := is.New(t)
	c := newInitialState(t).current.Config()
	c.Revision = 0
	_, err := Compile(c)
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	empty, err := Compile(&wire.Config{})
	is.NoErr(err)
	is.Equal(empty.Revision, uint64(0))
}
