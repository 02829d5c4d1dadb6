package quota

import (
	"slices"
	"time"
)

// maxGrantingTerms is the number of terms with grants, one soon after the other, for which the tolerance has
// room. A further leader withholds units until what the earlier ones granted has expired.
const maxGrantingTerms = 2

// Terms records when terms of leaders began, as one process has seen it, and which of them may have granted
// units. It is not safe for concurrent use.
type Terms struct {
	// first is the term in which the process started. It and earlier ones are not counted: they are
	// applied again when the process has restarted.
	first uint64
	// keep is how long a term is kept.
	keep   time.Duration
	starts []termStart
}

// termStart is the beginning of a term, or of the grants in a term that withheld units at first.
type termStart struct {
	term   uint64
	at     time.Time
	grants bool
}

// NewTerms returns the Terms of a process that started in the term first.
func NewTerms(t Tolerance, first uint64) *Terms {
	return &Terms{first: first, keep: t.Window + Lifetime}
}

// Began records that a term begins. withheld is set if its leader grants nothing for now.
func (t *Terms) Began(now time.Time, term uint64, withheld bool) { t.record(now, term, !withheld) }

// Resumed records that the leader of a term that withheld units grants from now on.
func (t *Terms) Resumed(now time.Time, term uint64) { t.record(now, term, true) }

func (t *Terms) record(now time.Time, term uint64, grants bool) {
	if term <= t.first {
		return
	}
	t.starts = slices.DeleteFunc(t.starts, func(s termStart) bool { return now.Sub(s.at) > t.keep })
	t.starts = append(t.starts, termStart{term, now, grants})
}

// Before returns the number of terms before a term that have begun to grant lately, and a time at which the
// last one of them had ended.
func (t *Terms) Before(now time.Time, term uint64) (recent int, ended time.Time) {
	ended = now
	for i, s := range t.starts {
		if s.term >= term || !s.grants || now.Sub(s.at) > t.keep {
			continue
		}
		recent++
		ended = now
		if i+1 < len(t.starts) {
			ended = t.starts[i+1].at // a leader that has a successor grants nothing more
		}
	}
	return recent, ended
}

// Withholds reports whether a leader withholds units after that many recent terms with grants.
func Withholds(recent int) bool { return recent >= maxGrantingTerms }
