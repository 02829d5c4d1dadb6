package membership

import (
	"math"
	"time"

	"parsleypulley/internal/wire"
)

// silentTogether returns the regions whose members went silent for a common
// cause, such as regions that have lost each other. Their leases are held open:
// the members are suspected at once, but leave the table only if the silence lasts.
func (l *Leases) silentTogether(now time.Time, all []*wire.Member, known []*lease) map[string]bool {
	limit := l.suspectAfter(len(all))
	silent := map[string]int{}
	allSilent := 0
	for i, member := range all {
		if !known[i].leaving && now.Sub(known[i].heard) > limit {
			silent[member.GetBackend().GetRegion()]++
			allSilent++
		}
	}
	if allSilent < l.config.CorrelatedMinMembers {
		return nil
	}
	total := map[string]int{}
	for _, member := range all {
		total[member.GetBackend().GetRegion()]++
	}
	held := map[string]bool{}
	for region, n := range silent {
		held[region] = l.isMass(n, total[region]) || l.isMass(allSilent, len(all))
	}
	return held
}

func (l *Leases) isMass(silent, total int) bool {
	need := int(math.Ceil(l.config.CorrelatedFraction * float64(total)))
	return silent >= max(need, l.config.CorrelatedMinMembers)
}

// creditPause extends all leases by the time that this process itself stood
// still, as no heartbeat could be taken in meanwhile. It comes before anything
// else is made of the time.
func (l *Leases) creditPause(now time.Time, size int) {
	gap := now.Sub(l.lastSeen)
	l.lastSeen = now
	if gap <= l.Interval(size) {
		return
	}
	l.started = l.started.Add(gap)
	for _, known := range l.leases {
		if !known.heard.IsZero() {
			known.heard = known.heard.Add(gap)
		}
	}
}
