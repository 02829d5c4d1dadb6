package fleet

import (
	"time"

	"parsleypulley/internal/wire"
)

// maxTargetVersions bounds the versions stored for each model.
const maxTargetVersions = 16

// TargetVersion is a target version of a model's weights.
type TargetVersion struct {
	Version uint64
	// FirstSeen is when this process first saw the version.
	FirstSeen time.Time
}

// TargetHistory holds the target versions of each model, oldest first.
type TargetHistory map[string][]TargetVersion

// Record adds each target version that is newer than all recorded versions of its
// model.
func (h TargetHistory) Record(now time.Time, targets []*wire.WeightsTarget) {
	for _, t := range targets {
		versions := h[t.GetModel()]
		if last := len(versions) - 1; last >= 0 && versions[last].Version >= t.GetVersion() {
			continue
		}
		versions = append(versions, TargetVersion{t.GetVersion(), now})
		h[t.GetModel()] = versions[max(0, len(versions)-maxTargetVersions):]
	}
}
