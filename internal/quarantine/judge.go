package quarantine

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// tiedCrashLimit is the number of further crashes to wait for if several candidates of the
// same kind were at exactly the same crashes. Another crash, or a request that is served,
// usually tells them apart.
const tiedCrashLimit = 2

// certainCrashes is the number of counted crashes at which a part can't be by chance.
const certainCrashes = 3 * PartCrashLimit

// judge decides which of the requests and parts that can't be run apart are quarantined.
// It looks for the fewest causes that explain the crashes:
//
//   - The candidate that was at the most crashes is taken for their cause. The crashes
//     then count no more against those that were there by chance, also where a verdict
//     was based on them before.
//   - Of candidates at the same crashes, a request goes before a part, and a part before
//     one that precedes it in prompts: the narrowest cause refuses the fewest requests.
//   - Where engines crash for other reasons too, parts that are much in use are at some of the
//     crashes. So a part needs more crashes, the more there were without it meanwhile.
//   - The first part of prompts is a candidate only for the crashes for which there is no
//     narrower one: most sound requests of an account have it, so that it is at the crashes
//     of all causes together.
//   - A part that was served before the first crash is a candidate only for the crashes
//     that no other one explains. A part that is served after a crash is no candidate
//     at all, see apply.
func (t *Table) judge() {
	var narrow, first, served []*candidate
	for key := range t.candidates {
		entry := t.entries[key]
		c := &candidate{key: key, entry: entry, part: IsPart(entry.GetFingerprint())}
		switch {
		case entry.GetServedBefore():
			served = append(served, c)
		case c.part && entry.GetDepth() == 0:
			first = append(first, c)
		default:
			narrow = append(narrow, c)
		}
	}
	all := slices.Concat(narrow, first, served)
	if len(all) == 0 {
		return
	}
	e := explanation{recent: t.recent, caused: map[string]bool{}, reserved: map[string]bool{}}
	e.explain(narrow)
	e.explain(first)
	clear(e.reserved) // a part that was served may explain what is still open
	e.explain(served)
	for _, c := range all {
		if c.entry.GetSuspect() == c.cause {
			entry := proto.CloneOf(c.entry)
			entry.Suspect = !c.cause
			t.set(c.key, entry)
		}
	}
}

// isCandidate reports whether an entry was at enough crashes to be judged, as a request or a part that can't
// be run apart.
func isCandidate(entry *wire.QuarantineEntry) bool {
	return len(entry.GetCrashIds()) >= SharedCrashLimit && (IsPart(entry.GetFingerprint()) || isSharedRequest(entry.GetFingerprint()))
}

// candidate is a request or a part that may have caused crashes.
type candidate struct {
	key   Key
	entry *wire.QuarantineEntry
	part  bool
	// cause is set if it is taken for the cause of crashes.
	cause bool
	// open holds the crashes that nothing explains yet.
	open []string
}

// explanation is the state of judge.
type explanation struct {
	// recent holds the latest crashes, the newest last.
	recent []string
	// caused holds the crashes whose cause is found, and reserved those for which a part is
	// the likely cause that has not crashed enough engines yet.
	caused, reserved map[string]bool
}

// explain marks the causes among candidates.
func (e *explanation) explain(candidates []*candidate) {
	left := slices.Clone(candidates)
	for len(left) > 0 {
		for _, c := range left {
			c.open = e.unexplained(c)
		}
		best := slices.MinFunc(left, compareCandidates)
		if len(best.open) < SharedCrashLimit {
			return
		}
		tied := []*candidate{best}
		for _, c := range left {
			if c != best && c.part == best.part && c.entry.GetDepth() == best.entry.GetDepth() && slices.Equal(c.open, best.open) {
				tied = append(tied, c)
			}
		}
		left = slices.DeleteFunc(left, func(c *candidate) bool { return slices.Contains(tied, c) })
		needed := uint32(0)
		if len(tied) > 1 {
			needed = tiedCrashLimit
		}
		found := false
		for _, c := range tied {
			c.cause = c.entry.GetCrashes() >= e.enoughCrashes(c)+needed
			found = found || c.cause
		}
		switch {
		case found:
			mark(e.caused, best.open)
		case best.part:
			mark(e.reserved, best.open)
		}
	}
}

// enoughCrashes returns the number of crashes that must be counted against a candidate. A part
// needs one more for every two crashes since the first of its latest ones at which it was not:
// engines crash for another reason too. A part that is quarantined is at no further crashes,
// so nothing is to be learnt from these.
func (e *explanation) enoughCrashes(c *candidate) uint32 {
	limit, counted := crashLimit(c.entry), c.entry.GetCountedIds()
	if !c.part || !c.entry.GetSuspect() || len(counted) < PartCrashLimit {
		return limit
	}
	first := counted[len(counted)-PartCrashLimit]
	others := uint32(0)
	for _, id := range e.recent[max(0, slices.Index(e.recent, first)):] {
		if !e.caused[id] && !slices.Contains(c.entry.GetCrashIds(), id) {
			others++
		}
	}
	return min(limit+others/2, certainCrashes)
}

// unexplained returns the crashes of a candidate that have no other explanation. A part that
// is only likely to be the cause does not protect requests.
func (e *explanation) unexplained(c *candidate) []string {
	var open []string
	for _, id := range c.entry.GetCrashIds() {
		if !e.caused[id] && !(c.part && e.reserved[id]) {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

func mark(set map[string]bool, ids []string) {
	for _, id := range ids {
		set[id] = true
	}
}

// compareCandidates puts the more likely cause first, and of equally likely ones the narrower.
func compareCandidates(a, b *candidate) int {
	switch {
	case len(a.open) != len(b.open):
		return len(b.open) - len(a.open)
	case a.part != b.part && a.part:
		return 1
	case a.part != b.part:
		return -1
	case a.entry.GetDepth() != b.entry.GetDepth():
		return int(b.entry.GetDepth()) - int(a.entry.GetDepth())
	case a.key.Account != b.key.Account:
		return strings.Compare(a.key.Account, b.key.Account)
	}
	return strings.Compare(a.key.Fingerprint, b.key.Fingerprint)
}
