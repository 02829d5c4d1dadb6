package consensus

import (
	"slices"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// entryLog is the in-memory part of the replica's log: the entries after base.
type entryLog struct {
	base    storage.EntryID
	entries []*wire.LogEntry
	// stableIndex is the index of the last entry that is durable on this replica.
	stableIndex uint64
	// commitIndex is the index of the last entry known to be committed.
	commitIndex uint64
	// appliedIndex is the index of the last entry that the caller has applied.
	appliedIndex uint64
}

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) last() storage.EntryID {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return storage.EntryID{Index: e.Index, Term: e.Term}
}

// term returns the term of the entry at index. It returns false if the index is
// before base or after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index < l.base.Index || index > l.lastIndex():
		return 0, false
	case index == l.base.Index:
		return l.base.Term, true
	default:
		return l.at(index).Term, true
	}
}

func (l *entryLog) at(index uint64) *wire.LogEntry { return l.entries[index-l.base.Index-1] }

func (l *entryLog) contains(id storage.EntryID) bool {
	term, ok := l.term(id.Index)
	return ok && term == id.Term
}

// slice returns the entries from first to last, inclusive.
func (l *entryLog) slice(first, last uint64) []*wire.LogEntry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base.Index-1 : last-l.base.Index : last-l.base.Index]
}

// batch returns entries starting at first with a total size of at most maxBytes,
// but at least one entry if there is one.
func (l *entryLog) batch(first uint64, maxBytes int) []*wire.LogEntry {
	size := 0
	end := first
	for ; end <= l.lastIndex(); end++ {
		size += len(l.at(end).Data) + entryOverhead
		if size > maxBytes && end > first {
			break
		}
	}
	return l.slice(first, end-1)
}

// entryOverhead is the approximate encoded size of an entry without its data, in
// bytes.
const entryOverhead = 16

func (l *entryLog) append(entries ...*wire.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entry at index and all entries after it.
func (l *entryLog) truncate(index uint64) {
	// The entries are copied because the slices in an earlier Ready share the
	// backing array, which later appends would overwrite.
	l.entries = slices.Clone(l.entries[:index-l.base.Index-1])
	l.stableIndex = min(l.stableIndex, index-1)
}

// merge appends those of entries that the log doesn't contain yet. The entry before
// entries must be in the log. Where the terms conflict, the existing entries from
// that index on are replaced: merge returns this index, or 0 if nothing was
// replaced. If a committed entry would be replaced, merge changes nothing and
// returns false.
func (l *entryLog) merge(entries []*wire.LogEntry) (replaced uint64, ok bool) {
	for i, e := range entries {
		term, known := l.term(e.Index)
		if known && term == e.Term || e.Index <= l.base.Index {
			continue
		}
		if known {
			if e.Index <= l.commitIndex {
				return 0, false
			}
			l.truncate(e.Index)
			replaced = e.Index
		}
		l.append(entries[i:]...)
		break
	}
	return replaced, true
}

// isUpToDate reports whether a candidate's log that ends with the entry id is at
// least as up to date as this one, so that the candidate may get a vote.
func (l *entryLog) isUpToDate(id storage.EntryID) bool {
	last := l.last()
	return id.Term > last.Term || id.Term == last.Term && id.Index >= last.Index
}

// lastPossibleMatch returns the last entry at or before id.Index whose term is at
// most id.Term. After another replica's log has turned out to conflict with this
// one, no later entry can be common to both logs.
func (l *entryLog) lastPossibleMatch(id storage.EntryID) storage.EntryID {
	index := min(id.Index, l.lastIndex())
	for index > l.base.Index {
		term := l.at(index).Term
		if term <= id.Term {
			return storage.EntryID{Index: index, Term: term}
		}
		index--
	}
	return l.base
}

// reset empties the log. The next entry is the one after id.
func (l *entryLog) reset(id storage.EntryID) {
	l.base = id
	l.entries = nil
	l.stableIndex = id.Index
	l.commitIndex = id.Index
	l.appliedIndex = id.Index
}

// compact drops the entries up to and including index from memory. It does nothing
// if the entry at index is not yet applied.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.Index || index > l.appliedIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base.Index:])
	l.base = storage.EntryID{Index: index, Term: term}
}
