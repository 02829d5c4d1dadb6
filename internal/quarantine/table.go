// Package quarantine counts the engine crashes during the attempts of requests and
// quarantines the requests that caused them: by the whole request, and by a part that the
// prompts of different requests have in common.
//
// A request that an agent runs apart from others is quarantined after CrashLimit crashes.
// Where requests can't be run apart, all that were at an engine when it crashed are
// suspected, with the parts of their prompts; see judge for what tells the cause from
// those that were there by chance.
package quarantine

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

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

// PartCrashLimit takes the place of CrashLimit for parts of prompts. Many calls may have a
// part, so that it is more often at a crash by chance.
const PartCrashLimit = 4

// ServedPartCrashLimit takes the place of PartCrashLimit for parts that were served before the
// first crash: another cause is more likely.
const ServedPartCrashLimit = 2 * PartCrashLimit

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

// maxPromptParts limits the parts of one prompt that are suspected after a crash.
const maxPromptParts = 32

// partFingerprint identifies a part of an account's prompts. It is collision resistant, so
// that a client account can't get a part of another one's quarantined.
func partFingerprint(account, part string) []byte {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d %s %s", len(account), account, part))
	return append([]byte{partMark}, digest[:partDigestBytes]...)
}

func isSharedRequest(fingerprint []byte) bool {
	return len(fingerprint) == sha256.Size+1 && fingerprint[0] == sharedMark
}

// IsPart reports whether a fingerprint is that of a part of prompts.
func IsPart(fingerprint []byte) bool {
	return len(fingerprint) == partDigestBytes+1 && fingerprint[0] == partMark
}

// PromptParts returns the keys of the parts of a prompt that others may have too: all but
// the last, and at most maxPromptParts. ids identify the parts within an account, or among
// the accounts that share cached state, for which SharedAccount stands.
func PromptParts(account string, ids []string) []Key {
	shared := ids[:min(max(len(ids)-1, 0), maxPromptParts)]
	keys := make([]Key, len(shared))
	for i, id := range shared {
		keys[i] = Key{Account: account, Fingerprint: string(partFingerprint(account, id))}
	}
	return keys
}

// PromptLevels is PromptParts for a prompt that is given by its nested prefixes.
func PromptLevels(account string, levels []*wire.PrefixLevel) []Key {
	ids := make([]string, len(levels))
	for i, level := range levels {
		ids[i] = strconv.FormatUint(level.GetKey(), 16)
	}
	return PromptParts(account, ids)
}

// CrashLimitOf returns the number of crashes after which a request with the fingerprint is
// quarantined.
func CrashLimitOf(fingerprint []byte) int {
	return int(crashLimit(&wire.QuarantineEntry{Fingerprint: fingerprint}))
}

// crashLimit returns the number of crashes that must be counted before the entry is
// quarantined.
func crashLimit(entry *wire.QuarantineEntry) uint32 {
	switch {
	case IsPart(entry.GetFingerprint()) && entry.GetServedBefore():
		return ServedPartCrashLimit
	case IsPart(entry.GetFingerprint()):
		return PartCrashLimit
	case isSharedRequest(entry.GetFingerprint()):
		return SharedCrashLimit
	}
	return CrashLimit
}

func isQuarantined(entry *wire.QuarantineEntry) bool {
	return entry != nil && entry.GetCrashes() >= crashLimit(entry) && !entry.GetSuspect()
}

// isVisible reports whether the view has the entry. It has suspected parts too, so that
// routers can tell that they were served.
func isVisible(entry *wire.QuarantineEntry) bool {
	return entry != nil && (IsPart(entry.GetFingerprint()) || isQuarantined(entry))
}

// PublicAccount stands for the account of requests that come without one. Fingerprints keep
// them apart from those of an account with that name.
const PublicAccount = "(public)"

// SharedAccount stands for all accounts that share cached state, as the owner of the parts of
// their prompts.
const SharedAccount = "(shared)"

// Limits are the limits of a table. DefaultLimits returns the defaults.
type Limits struct {
	// CrashTTL is how long a crash count is kept after the last crash.
	CrashTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined after its last crash.
	QuarantineTTL time.Duration
	// PartTTL is how long a part of prompts stays quarantined after its last crash. It is
	// shorter than QuarantineTTL, since many requests may have the part.
	PartTTL time.Duration
	// EntriesPerAccount is the maximum number of requests of one account, and
	// PartsPerAccount that of its parts of prompts. An engine that crashes takes all requests
	// with it that run there, some hundreds, which may be of one account. They must fit in twice:
	// a request that is at a second crash is evicted after those of one crash.
	EntriesPerAccount, PartsPerAccount int
	// MaxEntries is the maximum number of entries of the whole table.
	MaxEntries int
}

// DefaultLimits returns the limits used in all deployments.
func DefaultLimits() Limits {
	return Limits{
		CrashTTL:          10 * time.Minute,
		QuarantineTTL:     time.Hour,
		PartTTL:           10 * time.Minute,
		EntriesPerAccount: 2048,
		PartsPerAccount:   256,
		MaxEntries:        8192,
	}
}

// maxFingerprintBytes is the maximum length of the fingerprint in a report.
const maxFingerprintBytes = 64

// maxCrashIDs limits the crashes that an entry remembers, and maxRecentCrashes those that the
// table remembers.
const (
	maxCrashIDs      = 32
	maxRecentCrashes = 64
)

// Key identifies the requests of one client account that have the same fingerprint, or a
// part of their prompts.
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
	// owned holds the entries of each owner.
	owned map[owner]map[Key]*wire.QuarantineEntry
	// candidates holds the keys of the entries among which judge looks for causes.
	candidates map[Key]bool
	// recent holds the latest crashes, at most maxRecentCrashes, the newest last.
	recent []string
	// before holds the entries that the current call has changed, as they were; nil stands
	// for none.
	before map[Key]*wire.QuarantineEntry
}

// owner is an account as the owner of requests or of parts of prompts. The two have limits
// of their own, so that many parts don't displace requests.
type owner struct {
	account string
	parts   bool
}

func ownerOf(key Key) owner { return owner{key.Account, IsPart([]byte(key.Fingerprint))} }

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*wire.QuarantineEntry{}, owned: map[owner]map[Key]*wire.QuarantineEntry{}, candidates: map[Key]bool{}, before: map[Key]*wire.QuarantineEntry{}}
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
	results, events := t.ReportAll(nowMS, []*wire.CrashReport{report})
	return Outcome{Result: results[0], Events: events}
}

// ReportAll does the same for several reports. It returns a result for each report and the
// events for the view, as in Outcome.
func (t *Table) ReportAll(nowMS int64, reports []*wire.CrashReport) ([]*wire.CrashResult, []*wire.QuarantineEntry) {
	for _, report := range reports {
		if validReport(report) {
			t.apply(nowMS, report)
		}
	}
	t.judge()
	results := make([]*wire.CrashResult, len(reports))
	for i, report := range reports {
		results[i] = &wire.CrashResult{}
		if validReport(report) {
			results[i] = resultOf(t.entries[Key{report.GetAccount(), string(report.GetFingerprint())}])
		}
	}
	return results, t.takeEvents()
}

// apply changes the entry that report names, except for whether it is quarantined.
func (t *Table) apply(nowMS int64, report *wire.CrashReport) {
	key := Key{Account: report.GetAccount(), Fingerprint: string(report.GetFingerprint())}
	old := t.entries[key]
	if old != nil && t.expired(nowMS, old) {
		t.set(key, nil)
		old = nil
	}
	part := IsPart(report.GetFingerprint())
	if report.GetBackend() != "" && !slices.Contains(t.recent, CrashID(report)) {
		t.recent = append(t.recent, CrashID(report))
		t.recent = t.recent[max(0, len(t.recent)-maxRecentCrashes):]
	}
	switch {
	case report.GetCleared() && (part || !isQuarantined(old)):
		// A part that ends every engine is never served, so one that is was not the cause.
		t.set(key, nil)
	case report.GetCleared():
	case report.GetBackend() == "":
		if old != nil && !old.GetServedBefore() {
			entry := proto.CloneOf(old)
			entry.ServedBefore = true
			t.set(key, entry)
		}
	case part:
		t.set(key, t.countPart(nowMS, old, report))
	case isQuarantined(old) || slices.Contains(old.GetCrashIds(), CrashID(report)):
	default:
		t.set(key, &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint), Crashes: old.GetCrashes() + 1, SinceMs: nowMS,
			CrashIds: appendCrash(old.GetCrashIds(), CrashID(report)), Suspect: old.GetSuspect()})
	}
}

// countPart returns the entry of a part after a crash during a request that has the part.
func (t *Table) countPart(nowMS int64, old *wire.QuarantineEntry, report *wire.CrashReport) *wire.QuarantineEntry {
	entry := proto.CloneOf(old)
	if old == nil {
		entry = &wire.QuarantineEntry{Account: report.GetAccount(), Fingerprint: report.GetFingerprint(), Suspect: true, Depth: report.GetDepth()}
	}
	entry.SinceMs = nowMS
	entry.ServedBefore = entry.GetServedBefore() || report.GetServedBefore()
	crash := CrashID(report)
	if !slices.Contains(entry.GetCrashIds(), crash) {
		entry.CrashIds = appendCrash(entry.GetCrashIds(), crash)
	}
	if report.GetKnownCrashes() >= entry.GetCrashes() && len(entry.GetCountedIds()) < maxCrashIDs && !slices.Contains(entry.GetCountedIds(), crash) {
		entry.CountedIds = append(entry.GetCountedIds(), crash)
		entry.Crashes++
	}
	return entry
}

// CrashID identifies the crash of a report: an incarnation of an engine crashes once.
func CrashID(report *wire.CrashReport) string {
	return fmt.Sprintf("%s/%d", report.GetBackend(), report.GetEngineIncarnation())
}

// appendCrash returns a copy of ids with a further one, without the oldest if there are too
// many.
func appendCrash(ids []string, id string) []string {
	ids = append(slices.Clone(ids), id)
	return ids[max(0, len(ids)-maxCrashIDs):]
}

// set replaces the entry of key, or removes it if entry is nil. It makes room for a new one.
func (t *Table) set(key Key, entry *wire.QuarantineEntry) {
	old, known := t.entries[key]
	if entry == nil && !known {
		return
	}
	if entry != nil && !known {
		t.evictIfFull(ownerOf(key))
	}
	if _, changed := t.before[key]; !changed {
		t.before[key] = old
	}
	if entry != nil {
		t.put(key, entry)
		return
	}
	of := ownerOf(key)
	delete(t.entries, key)
	delete(t.candidates, key)
	delete(t.owned[of], key)
	if len(t.owned[of]) == 0 {
		delete(t.owned, of)
	}
}

// put stores the entry of key.
func (t *Table) put(key Key, entry *wire.QuarantineEntry) {
	of := ownerOf(key)
	if t.owned[of] == nil {
		t.owned[of] = map[Key]*wire.QuarantineEntry{}
	}
	t.entries[key], t.owned[of][key] = entry, entry
	if isCandidate(entry) {
		t.candidates[key] = true
	} else {
		delete(t.candidates, key)
	}
}

// takeEvents returns the events for the view of all changes since it was last called.
func (t *Table) takeEvents() []*wire.QuarantineEntry {
	if len(t.before) == 0 {
		return nil
	}
	var events []*wire.QuarantineEntry
	for _, key := range slices.SortedFunc(maps.Keys(t.before), Compare) {
		old, entry := viewEntry(t.before[key]), viewEntry(t.entries[key])
		switch {
		case proto.Equal(old, entry):
		case entry == nil:
			events = append(events, &wire.QuarantineEntry{Account: key.Account, Fingerprint: []byte(key.Fingerprint)})
		default:
			events = append(events, entry)
		}
	}
	clear(t.before)
	return events
}

// viewEntry returns what the view has of an entry, or nil.
func viewEntry(entry *wire.QuarantineEntry) *wire.QuarantineEntry {
	if !isVisible(entry) {
		return nil
	}
	return &wire.QuarantineEntry{Account: entry.GetAccount(), Fingerprint: entry.GetFingerprint(), Crashes: entry.GetCrashes(),
		Suspect: entry.GetSuspect(), ServedBefore: entry.GetServedBefore()}
}

// Expire drops the expired entries and returns the events for the view.
func (t *Table) Expire(nowMS int64) []*wire.QuarantineEntry {
	for _, entry := range t.Entries() {
		if t.expired(nowMS, entry) {
			t.set(KeyOf(entry), nil)
		}
	}
	return t.takeEvents()
}

func (t *Table) expired(nowMS int64, entry *wire.QuarantineEntry) bool {
	ttl := t.limits.CrashTTL
	switch {
	case !isQuarantined(entry):
	case IsPart(entry.GetFingerprint()):
		ttl = t.limits.PartTTL
	default:
		ttl = t.limits.QuarantineTTL
	}
	return nowMS-entry.GetSinceMs() >= ttl.Milliseconds()
}

// evictIfFull makes room for one entry of an owner. If the owner is at its limit, it
// evicts an entry of that owner. If the table is full, it evicts an entry of the
// owner with the most entries.
func (t *Table) evictIfFull(of owner) {
	limit := t.limits.EntriesPerAccount
	if of.parts {
		limit = t.limits.PartsPerAccount
	}
	switch {
	case len(t.owned[of]) >= limit:
		t.evictOldest(of)
	case len(t.entries) >= t.limits.MaxEntries:
		t.evictOldest(t.largestOwner())
	}
}

func (t *Table) largestOwner() owner {
	var largest owner
	most := 0
	for of, entries := range t.owned {
		n := len(entries)
		if n > most || n == most && (of.account < largest.account || of.account == largest.account && !of.parts) {
			largest, most = of, n
		}
	}
	return largest
}

// evictOldest drops the entry of an owner that evictBefore puts first.
func (t *Table) evictOldest(of owner) {
	var oldest *wire.QuarantineEntry
	for _, entry := range t.owned[of] {
		if oldest == nil || evictBefore(entry, oldest) {
			oldest = entry
		}
	}
	if oldest != nil {
		t.set(KeyOf(oldest), nil)
	}
}

// evictBefore orders entries by what is lost with them: those that are not quarantined come
// first, then those with fewer crashes, then the older ones.
func evictBefore(a, b *wire.QuarantineEntry) bool {
	aQuarantined, bQuarantined := isQuarantined(a), isQuarantined(b)
	if aQuarantined != bQuarantined {
		return bQuarantined
	}
	if a, b := len(a.GetCrashIds()), len(b.GetCrashIds()); a != b {
		return a < b
	}
	if a.GetSinceMs() != b.GetSinceMs() {
		return a.GetSinceMs() < b.GetSinceMs()
	}
	return string(a.GetFingerprint()) < string(b.GetFingerprint())
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

// Recent returns the latest crashes, for Restore.
func (t *Table) Recent() []string { return slices.Clone(t.recent) }

// Restore replaces the contents of the table with entries and the latest crashes, as returned
// by Entries and Recent.
func (t *Table) Restore(entries []*wire.QuarantineEntry, recent []string) {
	t.recent = slices.Clone(recent)
	t.entries = make(map[Key]*wire.QuarantineEntry, len(entries))
	t.owned = map[owner]map[Key]*wire.QuarantineEntry{}
	clear(t.candidates)
	clear(t.before)
	for _, entry := range entries {
		t.put(KeyOf(entry), entry)
	}
}

// validReport reports whether report identifies a request or a part of prompts and, for a
// crash, a backend server.
func validReport(report *wire.CrashReport) bool {
	size := len(report.GetFingerprint())
	return report.GetAccount() != "" &&
		size > 0 && size <= maxFingerprintBytes &&
		(report.GetCleared() || report.GetBackend() != "" || report.GetServedBefore() && IsPart(report.GetFingerprint()))
}

func resultOf(entry *wire.QuarantineEntry) *wire.CrashResult {
	return &wire.CrashResult{
		Crashes:     entry.GetCrashes(),
		Quarantined: isQuarantined(entry),
	}
}
