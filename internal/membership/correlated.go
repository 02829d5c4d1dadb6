package membership

import (
	"math"
	"time"

	"parsleypulley/internal/wire"
)

// correlatedRegions returns the regions whose members probably went silent for a
// common reason, such as a network partition between regions. Their leases are
// extended: the members are suspected as usual, but are removed from the table only
// if the silence lasts longer.
func (l *Leases) correlatedRegions(now time.Time, all []*wire.Member, entries []*lease) map[string]bool {
	limit := l.suspectAfter(len(all))
	silent := map[string]int{}
	allSilent := 0
	for i, member := range all {
		if !entries[i].leaving && now.Sub(entries[i].lastHeartbeat) > limit {
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
	correlated := map[string]bool{}
	for region, n := range silent {
		correlated[region] = l.isCorrelated(n, total[region]) || l.isCorrelated(allSilent, len(all))
	}
	return correlated
}

func (l *Leases) isCorrelated(silent, total int) bool {
	need := int(math.Ceil(l.config.CorrelatedFraction * float64(total)))
	return silent >= max(need, l.config.CorrelatedMinMembers)
}

// extendForPause extends all leases by the time for which this process itself was
// paused, because it could not receive heartbeats in that time. It must be called
// before now is compared with any lease.
func (l *Leases) extendForPause(now time.Time, memberCount int) {
	gap := now.Sub(l.lastNow)
	l.lastNow = now
	if gap <= l.Interval(memberCount) {
		return
	}
	l.started = l.started.Add(gap)
	for _, entry := range l.leases {
		if !entry.lastHeartbeat.IsZero() {
			entry.lastHeartbeat = entry.lastHeartbeat.Add(gap)
		}
	}
}
