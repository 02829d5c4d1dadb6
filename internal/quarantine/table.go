// Package quarantine counts the engine crashes that a request's attempts ended
// with, and quarantines a request whose attempts crashed two engines.
package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"parsleypulley/internal/wire"
)

// CrashLimit is the number of distinct crashes that quarantines a request.
const CrashLimit = 2

// Limits bound the table; DefaultLimits gives the usual ones.
type Limits struct {
	// CrashTTL is how long a crash counts when no further one follows.
	CrashTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined after its last crash.
	QuarantineTTL time.Duration
	// EntriesPerAccount and MaxEntries bound the number of entries.
	EntriesPerAccount, MaxEntries int
}

// DefaultLimits returns the limits for all deployments.
func DefaultLimits() Limits {
	return Limits{
		CrashTTL:          10 * time.Minute,
		QuarantineTTL:     time.Hour,
		EntriesPerAccount: 64,
		MaxEntries:        8192,
	}
}

// maxFingerprintBytes bounds the fingerprint of a report.
const maxFingerprintBytes = 64

// Key names the requests of one client account with one fingerprint.
type Key struct {
	Account     string
	Fingerprint string
}

// KeyOf returns the key of an entry.
func KeyOf(entry *wire.QuarantineEntry) Key {
	return Key{Account: entry.GetAccount(), Fingerprint: string(entry.GetFingerprint())}
}

// Table is the replicated table of crash counts. It is deterministic, and
// entries that it hands out are never modified afterwards.
type Table struct {
	limits  Limits
	entries map[Key]*wire.QuarantineEntry
	// perAccount counts entries.
	perAccount map[string]int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*wire.QuarantineEntry{}, perAccount: map[string]int{}}
}

// Outcome is the effect of one report.
type Outcome struct {
	Result *wire.CrashResult
	// Events holds the quarantine entries that the view must take over; one
	// without crashes is to be removed.
	Events []*wire.QuarantineEntry
}

// Report counts a crash. nowMS is the table's time in milliseconds. One life of
// an engine counts once against a fingerprint: a life ends only once,
// whichever of the attempts it ran are reported, and however often.
func (t *Table) Report(nowMS int64, report *wire.CrashReport) Outcome {
	if !wellFormed(report) {
		return Outcome{Result: &wire.CrashResult{}}
	}
	key := Key{Account: report.GetAccount(), Fingerprint: string(report.GetFingerprint())}
	crash := fmt.Sprintf("%s/%d", report.GetBackend(), report.GetEngineIncarnation())
	var events []*wire.QuarantineEntry
	old := t.entries[key]
	if old != nil && t.expired(nowMS, old) {
		events = t.drop(key, events)
		old = nil
	}
	if report.GetCleared() {
		return t.clear(key, events)
	}
	if old != nil && (old.GetCrashes() >= CrashLimit || slices.Contains(old.GetCrashIds(), crash)) {
		return Outcome{Result: resultOf(old), Events: events}
	}
	if old == nil {
		events = t.makeRoom(key.Account, events)
		t.perAccount[key.Account]++
	}
	entry := &wire.QuarantineEntry{
		Account:     key.Account,
		Fingerprint: []byte(key.Fingerprint),
		Crashes:     old.GetCrashes() + 1,
		SinceMs:     nowMS,
		CrashIds:    append(slices.Clone(old.GetCrashIds()), crash),
	}
	t.entries[key] = entry
	if entry.GetCrashes() >= CrashLimit {
		events = append(events, entry)
	}
	return Outcome{Result: resultOf(entry), Events: events}
}

// clear forgets the crashes of a request that ran to its end. A quarantine stays.
func (t *Table) clear(key Key, events []*wire.QuarantineEntry) Outcome {
	entry := t.entries[key]
	if entry == nil || entry.GetCrashes() >= CrashLimit {
		return Outcome{Result: resultOf(entry), Events: events}
	}
	return Outcome{Result: &wire.CrashResult{}, Events: t.drop(key, events)}
}

// Expire drops the entries whose time is over and returns the events for the view.
func (t *Table) Expire(nowMS int64) []*wire.QuarantineEntry {
	var events []*wire.QuarantineEntry
	for _, entry := range t.Entries() {
		if t.expired(nowMS, entry) {
			events = t.drop(KeyOf(entry), events)
		}
	}
	return events
}

func (t *Table) expired(nowMS int64, entry *wire.QuarantineEntry) bool {
	keep := t.limits.CrashTTL
	if entry.GetCrashes() >= CrashLimit {
		keep = t.limits.QuarantineTTL
	}
	return nowMS-entry.GetSinceMs() >= keep.Milliseconds()
}

// makeRoom drops the account's own oldest entry when the account is at its
// limit, and the oldest of the account with most entries when the table is full.
func (t *Table) makeRoom(account string, events []*wire.QuarantineEntry) []*wire.QuarantineEntry {
	switch {
	case t.perAccount[account] >= t.limits.EntriesPerAccount:
		return t.dropOldest(account, events)
	case len(t.entries) >= t.limits.MaxEntries:
		return t.dropOldest(t.largestAccount(), events)
	}
	return events
}

func (t *Table) largestAccount() string {
	largest, most := "", 0
	for account, n := range t.perAccount {
		if n > most || n == most && account < largest {
			largest, most = account, n
		}
	}
	return largest
}

// dropOldest drops the oldest entry of account, one not yet quarantined if
// there is any.
func (t *Table) dropOldest(account string, events []*wire.QuarantineEntry) []*wire.QuarantineEntry {
	var oldest *wire.QuarantineEntry
	for _, entry := range t.entries {
		if entry.GetAccount() == account && (oldest == nil || dropBefore(entry, oldest)) {
			oldest = entry
		}
	}
	if oldest == nil {
		return events
	}
	return t.drop(KeyOf(oldest), events)
}

func dropBefore(a, b *wire.QuarantineEntry) bool {
	aHeld, bHeld := a.GetCrashes() >= CrashLimit, b.GetCrashes() >= CrashLimit
	if aHeld != bHeld {
		return bHeld
	}
	if a.GetSinceMs() != b.GetSinceMs() {
		return a.GetSinceMs() < b.GetSinceMs()
	}
	return string(a.GetFingerprint()) < string(b.GetFingerprint())
}

// drop removes an entry; the view is told if it held it.
func (t *Table) drop(key Key, events []*wire.QuarantineEntry) []*wire.QuarantineEntry {
	entry := t.entries[key]
	delete(t.entries, key)
	t.perAccount[key.Account]--
	if t.perAccount[key.Account] == 0 {
		delete(t.perAccount, key.Account)
	}
	if entry.GetCrashes() < CrashLimit {
		return events
	}
	return append(events, &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint)})
}

// Entries returns all entries, ordered by account and fingerprint.
func (t *Table) Entries() []*wire.QuarantineEntry {
	entries := make([]*wire.QuarantineEntry, 0, len(t.entries))
	for _, entry := range t.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b *wire.QuarantineEntry) int {
		return Compare(KeyOf(a), KeyOf(b))
	})
	return entries
}

// Compare orders keys by account, then by fingerprint.
func Compare(a, b Key) int {
	if c := strings.Compare(a.Account, b.Account); c != 0 {
		return c
	}
	return strings.Compare(a.Fingerprint, b.Fingerprint)
}

// Restore replaces the table by the one that Entries gave.
func (t *Table) Restore(entries []*wire.QuarantineEntry) {
	t.entries = make(map[Key]*wire.QuarantineEntry, len(entries))
	t.perAccount = map[string]int{}
	for _, entry := range entries {
		t.entries[KeyOf(entry)] = entry
		t.perAccount[entry.GetAccount()]++
	}
}

// wellFormed reports whether a report names a request and, for a crash, the
// backend server.
func wellFormed(report *wire.CrashReport) bool {
	size := len(report.GetFingerprint())
	return report.GetAccount() != "" &&
		size > 0 && size <= maxFingerprintBytes &&
		(report.GetCleared() || report.GetBackend() != "")
}

func resultOf(entry *wire.QuarantineEntry) *wire.CrashResult {
	return &wire.CrashResult{
		Crashes:     entry.GetCrashes(),
		Quarantined: entry.GetCrashes() >= CrashLimit,
	}
}
