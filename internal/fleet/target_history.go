package fleet

import (
	"time"

	"parsleypulley/internal/wire"
)

// maxNamed bounds the versions remembered of one model.
const maxNamed = 16

// TargetVersion is a version of a model's weights and when it was heard of.
type TargetVersion struct {
	Version   uint64
	FirstSeen time.Time
}

// TargetHistory holds the versions named of each model, oldest first.
type TargetHistory map[string][]TargetVersion

// Record remembers the versions that are heard of for the first time.
func (n TargetHistory) Record(now time.Time, targets []*wire.WeightsTarget) {
	for _, t := range targets {
		known := n[t.GetModel()]
		if last := len(known) - 1; last >= 0 && known[last].Version >= t.GetVersion() {
			continue
		}
		known = append(known, TargetVersion{t.GetVersion(), now})
		n[t.GetModel()] = known[max(0, len(known)-maxNamed):]
	}
}
