package fleet

import (
	"time"

	"parsleypulley/internal/wire"
)

// maxNamed bounds the versions remembered of one model.
const maxNamed = 16

// NamedVersion is a version of a model's weights and when it was heard of.
type NamedVersion struct {
	Version uint64
	At      time.Time
}

// NamedWeights holds the versions named of each model, oldest first.
type NamedWeights map[string][]NamedVersion

// Note remembers the versions that are heard of for the first time.
func (n NamedWeights) Note(now time.Time, targets []*wire.WeightsTarget) {
	for _, t := range targets {
		known := n[t.GetModel()]
		if last := len(known) - 1; last >= 0 && known[last].Version >= t.GetVersion() {
			continue
		}
		known = append(known, NamedVersion{t.GetVersion(), now})
		n[t.GetModel()] = known[max(0, len(known)-maxNamed):]
	}
}
