package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

func report(account, fingerprint, backend string, engine uint64) *wire.CrashReport {
	return &wire.CrashReport{
		Account: account, Fingerprint: []byte(fingerprint),
		RequestId: "r", Attempt: 1, Backend: backend, EngineIncarnation: engine,
	}
}

// cleared is a report of a request that ran to its end, as routers send it.
func cleared(account, fingerprint string) *wire.CrashReport {
	return &wire.CrashReport{Account: account, Fingerprint: []byte(fingerprint), RequestId: "r", Cleared: true}
}

func TestReports(t *testing.T) {
	type reports = []*wire.CrashReport
	resent := report("a", "f", "b1", 1)
	resent.RequestId = "another request ID"
	retried := report("a", "f", "b1", 1)
	retried.Attempt = 2
	for _, row := range []struct {
		name    string
		reports reports
		// crashes and quarantined are the result of the last report.
		crashes     uint32
		quarantined bool
	}{
		{"first crash", reports{report("a", "f", "b1", 1)}, 1, false},
		{"second backend server", reports{report("a", "f", "b1", 1), report("a", "f", "b2", 1)}, 2, true},
		{"second life of one engine", reports{report("a", "f", "b1", 1), report("a", "f", "b1", 2)}, 2, true},
		{"report sent twice", reports{report("a", "f", "b1", 1), report("a", "f", "b1", 1)}, 1, false},
		{"two requests in one crash", reports{report("a", "f", "b1", 1), resent}, 1, false},
		{"two attempts in one crash", reports{report("a", "f", "b1", 1), retried}, 1, false},
		{"look-alike", reports{report("a", "f", "b1", 1), report("a", "g", "b2", 1)}, 1, false},
		{"another account's same request", reports{report("a", "f", "b1", 1), report("b", "f", "b2", 1)}, 1, false},
		{"stays quarantined", reports{report("a", "f", "b1", 1), report("a", "f", "b2", 1), report("a", "f", "b3", 1)}, 2, true},
		{"ran to its end after a crash", reports{report("a", "f", "b1", 1), cleared("a", "f"), report("a", "f", "b2", 1)}, 1, false},
		{"ran to its end without a crash", reports{cleared("a", "f")}, 0, false},
		{"a look-alike ran to its end", reports{report("a", "f", "b1", 1), cleared("a", "g"), report("a", "f", "b2", 1)}, 2, true},
		{"another account's ran to its end", reports{report("a", "f", "b1", 1), cleared("b", "f"), report("a", "f", "b2", 1)}, 2, true},
		{"ran to its end when quarantined", reports{report("a", "f", "b1", 1), report("a", "f", "b2", 1), cleared("a", "f")}, 2, true},
		{"no fingerprint", reports{report("a", "", "b1", 1)}, 0, false},
		{"long fingerprint", reports{report("a", string(make([]byte, 65)), "b1", 1)}, 0, false},
		{"no account", reports{report("", "f", "b1", 1)}, 0, false},
		{"no backend server", reports{report("a", "f", "", 1)}, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(DefaultLimits())
			var last Outcome
			for _, r := range row.reports {
				last = table.Report(0, r)
			}
			is.Equal(last.Result.GetCrashes(), row.crashes)
			is.Equal(last.Result.GetQuarantined(), row.quarantined)
		})
	}
}

func TestTimes(t *testing.T) {
	limits := DefaultLimits()
	countMS, holdMS := limits.CrashTTL.Milliseconds(), limits.QuarantineTTL.Milliseconds()
	t.Run("a crash counts for a while", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(limits)
		table.Report(0, report("a", "f", "b1", 1))
		is.Equal(table.Report(countMS, report("a", "f", "b2", 1)).Result.GetCrashes(), uint32(1))
		is.Equal(table.Report(2*countMS-1, report("a", "f", "b3", 1)).Result.GetCrashes(), uint32(2))
	})
	t.Run("quarantine ends and the view is told", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(limits)
		table.Report(0, report("a", "f", "b1", 1))
		events := table.Report(0, report("a", "f", "b2", 1)).Events
		is.Equal(len(events), 1)
		is.Equal(events[0].GetCrashes(), uint32(2))
		is.Equal(len(table.Expire(holdMS-1)), 0)
		events = table.Expire(holdMS)
		is.Equal(len(events), 1)
		is.Equal(events[0].GetCrashes(), uint32(0))
		is.Equal(len(table.Entries()), 0)
	})
	t.Run("a report after the end starts anew", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(limits)
		table.Report(0, report("a", "f", "b1", 1))
		table.Report(0, report("a", "f", "b2", 1))
		outcome := table.Report(holdMS, report("a", "f", "b3", 1))
		is.Equal(outcome.Result.GetCrashes(), uint32(1))
		is.Equal(len(outcome.Events), 1) // removed from the view
	})
}

func TestTheTableIsBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.EntriesPerAccount, limits.MaxEntries = 8, 20
	table := NewTable(limits)
	table.Report(0, report("victim", "poison", "b1", 1))
	table.Report(0, report("victim", "poison", "b2", 1))
	table.Report(0, report("noisy", "poison", "b1", 1))
	table.Report(0, report("noisy", "poison", "b2", 1))
	removed := 0
	for i := range 100 {
		outcome := table.Report(int64(i+1), report("noisy", fmt.Sprint("f", i), "b1", 1))
		removed += len(outcome.Events)
	}
	is.Equal(len(table.Entries()), 9) // its own limit and the other account's entry
	is.Equal(removed, 0)              // entries that count one crash go first
	for i := range 100 {
		table.Report(int64(i+200), report(fmt.Sprint("account", i), "f", "b1", 1))
	}
	is.Equal(len(table.Entries()), 20)
	is.True(table.Report(400, report("victim", "poison", "b3", 1)).Result.GetQuarantined()) // small accounts keep theirs
}

func TestRestore(t *testing.T) {
	is := is.New(t)
	first, second := NewTable(DefaultLimits()), NewTable(DefaultLimits())
	first.Report(0, report("a", "f", "b1", 1))
	for _, entry := range first.Entries() {
		second.Restore([]*wire.QuarantineEntry{proto.CloneOf(entry)})
	}
	for _, r := range []*wire.CrashReport{report("a", "f", "b1", 1), report("a", "f", "b2", 1), report("b", "f", "b2", 1)} {
		is.True(proto.Equal(first.Report(9, r).Result, second.Report(9, r).Result))
	}
}
