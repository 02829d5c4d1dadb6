// Package quarantine counts the engine crashes during the attempts of a request and
// quarantines the request after CrashLimit crashes, or SharedCrashLimit crashes if it
// could not be run apart from others.
package quarantine

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"parsleypulley/internal/wire"
)

// CrashLimit is the number of distinct crashes after which a request is quarantined.
// An agent runs requests that are suspected apart, so that the second crash proves which
// one caused it.
const CrashLimit = 2

// SharedCrashLimit takes the place of CrashLimit for requests of backend servers without an
// agent, where others run beside a suspect: an innocent request may be there when a second
// engine crashes under the one that causes it.
const SharedCrashLimit = 3

// sharedMark precedes the fingerprint of a request that can't be run apart.
const sharedMark = 's'

// SharedFingerprint marks a fingerprint as that of a request that can't be run apart from
// others.
func SharedFingerprint(fingerprint [sha256.Size]byte) []byte {
	return append([]byte{sharedMark}, fingerprint[:]...)
}

// partMark precedes the fingerprint of a part of prompts.
const partMark = 'p'

// partDigestBytes is the length of the digest that identifies a part of prompts.
const partDigestBytes = 16

// PartFingerprint identifies a part of prompts for the quarantine. scope is what the part is
// recognised within: accounts that share cached state share their parts. It is collision
// resistant, so that a client account can't get a part of others quarantined.
func PartFingerprint(scope, part string) []byte {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d %s %s", len(scope), scope, part))
	return append([]byte{partMark}, digest[:partDigestBytes]...)
}

// crashLimit returns the number of distinct crashes after which requests with the
// fingerprint are quarantined.
func crashLimit(fingerprint []byte) uint32 {
	if len(fingerprint) == sha256.Size+1 && fingerprint[0] == sharedMark {
		return SharedCrashLimit
	}
	return CrashLimit
}

func isQuarantined(entry *wire.QuarantineEntry) bool {
	return entry.GetCrashes() >= crashLimit(entry.GetFingerprint())
}

// PublicAccount stands for the account of requests that come without one. Fingerprints keep
// them apart from those of an account with that name.
const PublicAccount = "(public)"

// Limits are the limits of a table. DefaultLimits returns the defaults.
type Limits struct {
	// CrashTTL is how long a crash count is kept after the last crash.
	CrashTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined after its last crash.
	QuarantineTTL time.Duration
	// EntriesPerAccount is the maximum number of entries of one account.
	EntriesPerAccount int
	// MaxEntries is the maximum number of entries of the whole table.
	MaxEntries int
}

// DefaultLimits returns the limits used in all deployments.
func DefaultLimits() Limits {
	return Limits{
		CrashTTL:          10 * time.Minute,
		QuarantineTTL:     time.Hour,
		EntriesPerAccount: 64,
		MaxEntries:        8192,
	}
}

// maxFingerprintBytes is the maximum length of the fingerprint in a report.
const maxFingerprintBytes = 64

// Key identifies the requests of one client account that have the same fingerprint.
type Key struct {
	Account     string
	Fingerprint string
}

// KeyOf returns the key of an entry.
func KeyOf(entry *wire.QuarantineEntry) Key {
	return Key{Account: entry.GetAccount(), Fingerprint: string(entry.GetFingerprint())}
}

// Table is the replicated table of crash counts. It is deterministic and never
// modifies an entry that it has returned.
type Table struct {
	limits  Limits
	entries map[Key]*wire.QuarantineEntry
	// perAccount is the number of entries of each account.
	perAccount map[string]int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*wire.QuarantineEntry{}, perAccount: map[string]int{}}
}

// Outcome is the result of one report.
type Outcome struct {
	Result *wire.CrashResult
	// Events holds the quarantine entries to update in the view. An entry with
	// zero crashes must be removed from the view.
	Events []*wire.QuarantineEntry
}

// Report counts a crash or clears the count, as report says. nowMS is the time of the
// replicated clock in milliseconds. Each engine incarnation counts at most once
// against a fingerprint: an incarnation crashes only once, however many reports
// name it, for the same or for different attempts.
func (t *Table) Report(nowMS int64, report *wire.CrashReport) Outcome {
	if !validReport(report) {
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
	if old != nil && (isQuarantined(old) || slices.Contains(old.GetCrashIds(), crash)) {
		return Outcome{Result: resultOf(old), Events: events}
	}
	if old == nil {
		events = t.evictIfFull(key.Account, events)
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
	if isQuarantined(entry) {
		events = append(events, entry)
	}
	return Outcome{Result: resultOf(entry), Events: events}
}

// clear resets the crash count of a request that completed. It does not end a
// quarantine.
func (t *Table) clear(key Key, events []*wire.QuarantineEntry) Outcome {
	entry := t.entries[key]
	if entry == nil || isQuarantined(entry) {
		return Outcome{Result: resultOf(entry), Events: events}
	}
	return Outcome{Result: &wire.CrashResult{}, Events: t.drop(key, events)}
}

// Expire drops the expired entries and returns the events for the view.
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
	ttl := t.limits.CrashTTL
	if isQuarantined(entry) {
		ttl = t.limits.QuarantineTTL
	}
	return nowMS-entry.GetSinceMs() >= ttl.Milliseconds()
}

// evictIfFull makes room for one entry of account. If the account is at its limit, it
// evicts an entry of that account. If the table is full, it evicts an entry of the
// account with the most entries.
func (t *Table) evictIfFull(account string, events []*wire.QuarantineEntry) []*wire.QuarantineEntry {
	switch {
	case t.perAccount[account] >= t.limits.EntriesPerAccount:
		return t.evictOldest(account, events)
	case len(t.entries) >= t.limits.MaxEntries:
		return t.evictOldest(t.largestAccount(), events)
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

// evictOldest drops the oldest entry of account: the oldest one that is not
// quarantined, if there is any.
func (t *Table) evictOldest(account string, events []*wire.QuarantineEntry) []*wire.QuarantineEntry {
	var oldest *wire.QuarantineEntry
	for _, entry := range t.entries {
		if entry.GetAccount() == account && (oldest == nil || evictBefore(entry, oldest)) {
			oldest = entry
		}
	}
	if oldest == nil {
		return events
	}
	return t.drop(KeyOf(oldest), events)
}

func evictBefore(a, b *wire.QuarantineEntry) bool {
	aQuarantined, bQuarantined := isQuarantined(a), isQuarantined(b)
	if aQuarantined != bQuarantined {
		return bQuarantined
	}
	if a.GetSinceMs() != b.GetSinceMs() {
		return a.GetSinceMs() < b.GetSinceMs()
	}
	return string(a.GetFingerprint()) < string(b.GetFingerprint())
}

// drop removes an entry. If the request was quarantined, it adds the event that
// removes the entry from the view.
func (t *Table) drop(key Key, events []*wire.QuarantineEntry) []*wire.QuarantineEntry {
	entry := t.entries[key]
	delete(t.entries, key)
	t.perAccount[key.Account]--
	if t.perAccount[key.Account] == 0 {
		delete(t.perAccount, key.Account)
	}
	if !isQuarantined(entry) {
		return events
	}
	return append(events, &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint)})
}

// Entries returns all entries, sorted by account and fingerprint.
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

// Restore replaces the contents of the table with entries, as returned by Entries.
func (t *Table) Restore(entries []*wire.QuarantineEntry) {
	t.entries = make(map[Key]*wire.QuarantineEntry, len(entries))
	t.perAccount = map[string]int{}
	for _, entry := range entries {
		t.entries[KeyOf(entry)] = entry
		t.perAccount[entry.GetAccount()]++
	}
}

// validReport reports whether report identifies a request and, for a crash, a
// backend server.
func validReport(report *wire.CrashReport) bool {
	size := len(report.GetFingerprint())
	return report.GetAccount() != "" &&
		size > 0 && size <= maxFingerprintBytes &&
		(report.GetCleared() || report.GetBackend() != "")
}

func resultOf(entry *wire.QuarantineEntry) *wire.CrashResult {
	return &wire.CrashResult{
		Crashes:     entry.GetCrashes(),
		Quarantined: entry != nil && isQuarantined(entry),
	}
}
