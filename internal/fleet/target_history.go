package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/wire"
)

const (
	// maxTargetSteps bounds the versions stored for each model. On the busiest known days new
	// weights are named every few seconds, so that it covers most of MaxTargetAge.
	maxTargetSteps = 16
	// MaxTargetAge is the time after which a version is as good as one of unknown age. It is several
	// times the longest bound on the use of outdated weights in the known deployments.
	MaxTargetAge = time.Minute
)

// TargetVersion is a target version of a model's weights.
type TargetVersion struct {
	Version uint64
	// Since is a time before which neither this version nor a newer one was acknowledged. It is
	// zero if no such time is known or if it is more than a minute ago.
	Since time.Time
}

// TargetHistory holds, for each model, what a process knows of the times at which target versions
// of the weights were acknowledged. Its times are those of package steady. It is safe for
// concurrent use.
//
// What it holds for a model is a step function: it maps each version to the latest known time
// before which no version newer than it was acknowledged. Invariants:
//   - A time is never later than the acknowledgement of the first newer version. Times come from
//     the process's own view (Record) or from another process whose times hold (Merge), and the
//     later of two times that hold is one that holds.
//   - Times do not decrease with the version, because what is newer than a version is newer than
//     those before it too.
//   - Steps of another process are taken only together: of a process that does not know an
//     intermediate version, a single step would say too late a time for the versions before it.
type TargetHistory struct {
	mu     sync.Mutex
	models map[string]*modelTargets
	// changes is the number of changes by Record and Merge.
	changes uint64
}

type modelTargets struct {
	// steps hold the versions at which the function changes, oldest first. A step holds for the
	// versions below its own, down to that of the step before.
	steps []TargetVersion
	// recorded is the newest version in a view of this process.
	recorded uint64
}

// NewTargetHistory returns an empty history.
func NewTargetHistory() *TargetHistory { return &TargetHistory{models: map[string]*modelTargets{}} }

// Record records the targets of a view that this process has just adopted. newestAt is the last
// time at which the view before it, or an earlier one, was confirmed to be the newest; it is zero
// if there was none. Record must be called for each view with other targets than the one before.
func (h *TargetHistory) Record(newestAt time.Time, targets []*wire.WeightsTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range targets {
		m := h.model(t.GetModel())
		if t.GetVersion() <= m.recorded {
			continue
		}
		// The view before says nothing of when its own version was acknowledged.
		known := []TargetVersion{{Version: m.recorded}, {Version: t.GetVersion(), Since: newestAt}}
		m.recorded = t.GetVersion()
		h.join(m, known)
	}
}

// Merge adds what another process told by Ages. madeAt is a time at or before the one that the
// other process passed to Ages.
func (h *TargetHistory) Merge(madeAt time.Time, ages []*wire.WeightsAge) {
	steps := map[string][]TargetVersion{}
	for _, a := range ages {
		step := TargetVersion{Version: a.GetVersion()}
		if a.GetAgeMs() > 0 {
			step.Since = madeAt.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond)
		}
		steps[a.GetModel()] = append(steps[a.GetModel()], step)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for model, told := range steps {
		slices.SortFunc(told, func(a, b TargetVersion) int { return cmp.Compare(a.Version, b.Version) })
		h.join(h.model(model), told)
	}
}

// Ages returns what other processes are told at now: the steps of each model of which a version
// was named within the last minute.
func (h *TargetHistory) Ages(now time.Time) []*wire.WeightsAge {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ages []*wire.WeightsAge
	for _, model := range slices.Sorted(maps.Keys(h.models)) {
		m := h.models[model]
		for i, step := range m.steps {
			if now.Sub(step.Since) > MaxTargetAge {
				m.steps[i].Since = time.Time{}
			}
		}
		m.steps = compact(m.steps)
		if n := len(m.steps); n == 0 || m.steps[n-1].Since.IsZero() {
			continue
		}
		for _, step := range m.steps {
			age := &wire.WeightsAge{Model: model, Version: step.Version}
			if !step.Since.IsZero() {
				age.AgeMs = uint32(max(1, (now.Sub(step.Since) + time.Millisecond - 1).Milliseconds()))
			}
			ages = append(ages, age)
		}
	}
	return ages
}

// Changes returns the number of changes of what the history holds, apart from the passing of time.
func (h *TargetHistory) Changes() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changes
}

// Versions returns the versions of a model, oldest first. Versions of the same age are left out
// except the newest.
func (h *TargetHistory) Versions(model string) []TargetVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.models[model]; m != nil {
		return slices.Clone(m.steps)
	}
	return nil
}

// OutdatedSince reports whether there is a newer version of a model's weights than the given one,
// and a time before which none was acknowledged. The time is zero if it is unknown or long ago.
func (h *TargetHistory) OutdatedSince(model string, version uint64) (since time.Time, outdated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.models[model]
	if m == nil {
		return time.Time{}, false
	}
	return sinceOf(m.steps, version)
}

// HasUnknownAge reports whether the age of any model's newest version is unknown or more than a
// minute.
func (h *TargetHistory) HasUnknownAge() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.models {
		if n := len(m.steps); n > 0 && m.steps[n-1].Since.IsZero() {
			return true
		}
	}
	return false
}

// model returns the state of a model. h.mu must be held.
func (h *TargetHistory) model(name string) *modelTargets {
	m := h.models[name]
	if m == nil {
		m = &modelTargets{}
		h.models[name] = m
	}
	return m
}

// join makes the function of a model the maximum of itself and another one. h.mu must be held.
func (h *TargetHistory) join(m *modelTargets, other []TargetVersion) {
	joined := joinSteps(m.steps, other)
	if !slices.EqualFunc(joined, m.steps, func(a, b TargetVersion) bool { return a.Version == b.Version && a.Since.Equal(b.Since) }) {
		m.steps = joined
		h.changes++
	}
}

// joinSteps returns the maximum of two functions, at each version. Where only one of them knows of
// a newer version, its time is taken.
func joinSteps(a, b []TargetVersion) []TargetVersion {
	var versions []uint64
	for _, step := range slices.Concat(a, b) {
		if step.Version > 0 { // no version is older than 0
			versions = append(versions, step.Version)
		}
	}
	slices.Sort(versions)
	var joined []TargetVersion
	var latest time.Time
	for _, v := range slices.Compact(versions) {
		for _, steps := range [][]TargetVersion{a, b} {
			if since, ok := sinceOf(steps, v-1); ok && since.After(latest) {
				latest = since
			}
		}
		joined = append(joined, TargetVersion{v, latest})
	}
	return compact(joined)
}

// sinceOf returns the time of the first step above a version, and whether there is one.
func sinceOf(steps []TargetVersion, version uint64) (time.Time, bool) {
	for _, step := range steps {
		if step.Version > version {
			return step.Since, true
		}
	}
	return time.Time{}, false
}

// compact removes steps at which the function does not change, and the oldest ones beyond
// maxTargetSteps, whose times then hold for the versions up to the next step.
func compact(steps []TargetVersion) []TargetVersion {
	var kept []TargetVersion
	for i, step := range steps {
		if i+1 == len(steps) || !steps[i+1].Since.Equal(step.Since) {
			kept = append(kept, step)
		}
	}
	for len(kept) > maxTargetSteps {
		kept[1].Since = kept[0].Since
		kept = kept[1:]
	}
	return kept
}
