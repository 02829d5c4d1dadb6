package quarantine

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

func newReport(account, fingerprint, backend string, engine uint64) *wire.CrashReport {
	return &wire.CrashReport{
		Account: account, Fingerprint: []byte(fingerprint),
		RequestId: "r", Attempt: 1, Backend: backend, EngineIncarnation: engine,
	}
}

// clearedReport returns the report that a router sends when a request completes after
// a crash.
func clearedReport(account, fingerprint string) *wire.CrashReport {
	return &wire.CrashReport{Account: account, Fingerprint: []byte(fingerprint), RequestId: "r", Cleared: true}
}

func TestReports(t *testing.T) {
	type reports = []*wire.CrashReport
	resent := newReport("a", "f", "b1", 1)
	resent.RequestId = "another request ID"
	retried := newReport("a", "f", "b1", 1)
	retried.Attempt = 2
	for _, tt := range []struct {
		name    string
		reports reports
		// crashes is the crash count returned for the last report.
		crashes uint32
		// quarantined tells whether the last report returned a quarantine.
		quarantined bool
	}{
		{"first crash", reports{newReport("a", "f", "b1", 1)}, 1, false},
		{"second backend server", reports{newReport("a", "f", "b1", 1), newReport("a", "f", "b2", 1)}, 2, true},
		{"second incarnation of one engine", reports{newReport("a", "f", "b1", 1), newReport("a", "f", "b1", 2)}, 2, true},
		{"report sent twice", reports{newReport("a", "f", "b1", 1), newReport("a", "f", "b1", 1)}, 1, false},
		{"two requests in one crash", reports{newReport("a", "f", "b1", 1), resent}, 1, false},
		{"two attempts in one crash", reports{newReport("a", "f", "b1", 1), retried}, 1, false},
		{"another fingerprint", reports{newReport("a", "f", "b1", 1), newReport("a", "g", "b2", 1)}, 1, false},
		{"same request of another account", reports{newReport("a", "f", "b1", 1), newReport("b", "f", "b2", 1)}, 1, false},
		{"stays quarantined", reports{newReport("a", "f", "b1", 1), newReport("a", "f", "b2", 1), newReport("a", "f", "b3", 1)}, 2, true},
		{"completed after a crash", reports{newReport("a", "f", "b1", 1), clearedReport("a", "f"), newReport("a", "f", "b2", 1)}, 1, false},
		{"completed without a crash", reports{clearedReport("a", "f")}, 0, false},
		{"request with another fingerprint completed", reports{newReport("a", "f", "b1", 1), clearedReport("a", "g"), newReport("a", "f", "b2", 1)}, 2, true},
		{"request of another account completed", reports{newReport("a", "f", "b1", 1), clearedReport("b", "f"), newReport("a", "f", "b2", 1)}, 2, true},
		{"completed when quarantined", reports{newReport("a", "f", "b1", 1), newReport("a", "f", "b2", 1), clearedReport("a", "f")}, 2, true},
		{"no fingerprint", reports{newReport("a", "", "b1", 1)}, 0, false},
		{"long fingerprint", reports{newReport("a", string(make([]byte, 65)), "b1", 1)}, 0, false},
		{"no account", reports{newReport("", "f", "b1", 1)}, 0, false},
		{"no backend server", reports{newReport("a", "f", "", 1)}, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(DefaultLimits())
			var last Outcome
			for _, r := range tt.reports {
				last = table.Report(0, r)
			}
			is.Equal(last.Result.GetCrashes(), tt.crashes)
			is.Equal(last.Result.GetQuarantined(), tt.quarantined)
		})
	}
}

// A request that runs beside others is quarantined after three crashes: innocent ones may
// be there when two engines end.
func TestSharedFingerprints(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultLimits())
	shared := string(SharedFingerprint(sha256.Sum256([]byte("f"))))
	var last Outcome
	for i, want := range []uint32{1, 2, 3, 3} {
		last = table.Report(0, newReport("a", shared, fmt.Sprint("b", i), 1))
		is.Equal(last.Result.GetCrashes(), want)
		is.Equal(last.Result.GetQuarantined(), want == SharedCrashLimit)
		is.Equal(len(last.Events) == 1, i == 2) // told once
	}
	is.Equal(table.Report(0, clearedReport("a", shared)).Result.GetQuarantined(), true) // stays so

	innocent := string(SharedFingerprint(sha256.Sum256([]byte("g"))))
	for i := range 6 {
		is.True(!table.Report(0, newReport("a", innocent, fmt.Sprint("b", i), 1)).Result.GetQuarantined())
		if i%2 == 1 {
			table.Report(0, clearedReport("a", innocent)) // completed elsewhere
		}
	}
}

func TestExpiry(t *testing.T) {
	limits := DefaultLimits()
	crashTTL, quarantineTTL := limits.CrashTTL.Milliseconds(), limits.QuarantineTTL.Milliseconds()
	t.Run("crash count expires", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(limits)
		table.Report(0, newReport("a", "f", "b1", 1))
		is.Equal(table.Report(crashTTL, newReport("a", "f", "b2", 1)).Result.GetCrashes(), uint32(1))
		is.Equal(table.Report(2*crashTTL-1, newReport("a", "f", "b3", 1)).Result.GetCrashes(), uint32(2))
	})
	t.Run("expired quarantine is removed from the view", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(limits)
		table.Report(0, newReport("a", "f", "b1", 1))
		events := table.Report(0, newReport("a", "f", "b2", 1)).Events
		is.Equal(len(events), 1)
		is.Equal(events[0].GetCrashes(), uint32(2))
		is.Equal(len(table.Expire(quarantineTTL-1)), 0)
		events = table.Expire(quarantineTTL)
		is.Equal(len(events), 1)
		is.Equal(events[0].GetCrashes(), uint32(0))
		is.Equal(len(table.Entries()), 0)
	})
	t.Run("crash after an expired quarantine starts a new count", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(limits)
		table.Report(0, newReport("a", "f", "b1", 1))
		table.Report(0, newReport("a", "f", "b2", 1))
		outcome := table.Report(quarantineTTL, newReport("a", "f", "b3", 1))
		is.Equal(outcome.Result.GetCrashes(), uint32(1))
		is.Equal(len(outcome.Events), 1) // removes the expired entry from the view
	})
}

// Guards against a request that ends each server that runs it and is never quarantined, since other requests of
// its account run beside it and take its place in the table.
func TestDeadlyRequestIsFoundBesideOthers(t *testing.T) {
	for _, beside := range []int{1, 100, 1000} {
		t.Run(fmt.Sprint(beside), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(beside)))
			for content := range 20 {
				table := NewTable(DefaultLimits())
				fingerprint := func(name string) string { return string(SharedFingerprint(sha256.Sum256([]byte(name)))) }
				deadly := fingerprint(fmt.Sprint("deadly ", content))
				for crash := range SharedCrashLimit {
					var reports []*wire.CrashReport
					for i := range beside {
						reports = append(reports, newReport("a", fingerprint(fmt.Sprint("sound ", crash, i)), fmt.Sprint("b", crash), 1))
					}
					reports = append(reports, newReport("a", deadly, fmt.Sprint("b", crash), 1))
					random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
					for i, report := range reports {
						table.Report(int64(10_000*crash+i/100), report)
					}
				}
				if !isQuarantined(table.entries[Key{"a", deadly}]) {
					t.Errorf("content %d is not quarantined after %d crashes", content, SharedCrashLimit)
				}
				for _, entry := range table.Entries() {
					if isQuarantined(entry) && string(entry.GetFingerprint()) != deadly {
						t.Error("a sound request is quarantined")
					}
				}
			}
		})
	}
}

func TestTableSizeIsLimited(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.EntriesPerAccount, limits.MaxEntries = 8, 20
	table := NewTable(limits)
	table.Report(0, newReport("victim", "poison", "b1", 1))
	table.Report(0, newReport("victim", "poison", "b2", 1))
	table.Report(0, newReport("noisy", "poison", "b1", 1))
	table.Report(0, newReport("noisy", "poison", "b2", 1))
	removed := 0
	for i := range 100 {
		outcome := table.Report(int64(i+1), newReport("noisy", fmt.Sprint("f", i), "b1", 1))
		removed += len(outcome.Events)
	}
	is.Equal(len(table.Entries()), 9) // the limit of 8 per account and the entry of the other account
	is.Equal(removed, 0)              // entries with one crash are evicted first
	for i := range 100 {
		table.Report(int64(i+200), newReport(fmt.Sprint("account", i), "f", "b1", 1))
	}
	is.Equal(len(table.Entries()), 20)
	is.True(table.Report(400, newReport("victim", "poison", "b3", 1)).Result.GetQuarantined()) // accounts with few entries keep them
}

func TestRestore(t *testing.T) {
	is := is.New(t)
	first, second := NewTable(DefaultLimits()), NewTable(DefaultLimits())
	first.Report(0, newReport("a", "f", "b1", 1))
	first.Report(0, newReport("b", "g", "b1", 1))
	var entries []*wire.QuarantineEntry
	for _, entry := range first.Entries() {
		entries = append(entries, proto.CloneOf(entry))
	}
	second.Restore(entries, first.Recent())
	for _, r := range []*wire.CrashReport{newReport("a", "f", "b1", 1), newReport("a", "f", "b2", 1), newReport("b", "f", "b2", 1), newReport("b", "g", "b2", 1)} {
		is.True(proto.Equal(first.Report(9, r).Result, second.Report(9, r).Result))
	}
	is.Equal(len(first.Entries()), len(second.Entries()))
}
