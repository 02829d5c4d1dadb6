package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"parsleypulley/internal/wire"
)

// historyEpoch is the start of the virtual time of the tests.
var historyEpoch = time.Unix(1_000_000, 0)

func target(version uint64) []*wire.WeightsTarget {
	return []*wire.WeightsTarget{{Model: "m", Version: version}}
}

func at(d time.Duration) time.Time { return historyEpoch.Add(d) }

// Guards against an age that begins anew with a process: one that starts takes over what another
// one tells, and until then outdated engines count as outdated for longer than any bound.
func TestAgeIsTakenOverAtStart(t *testing.T) {
	is := is.New(t)
	running := NewTargetHistory()
	running.Record(time.Time{}, target(5))
	running.Record(at(10*time.Second), target(7))

	started := NewTargetHistory()
	started.Record(time.Time{}, target(7))
	since, outdated := started.OutdatedSince("m", 5)
	is.True(outdated && since.IsZero()) // nobody has told it
	is.True(started.HasUnknownAge())
	started.Merge(at(15*time.Second), running.Ages(at(15*time.Second)))
	since, outdated = started.OutdatedSince("m", 5)
	is.True(outdated)
	is.Equal(since, at(10*time.Second))
	is.Equal(started.Versions("m"), []TargetVersion{{Version: 5}, {7, at(10 * time.Second)}})
	is.True(!started.HasUnknownAge())
	_, outdated = started.OutdatedSince("m", 7)
	is.True(!outdated)
	since, outdated = started.OutdatedSince("m", 4)
	is.True(outdated && since.IsZero()) // older than the floor
}

// Guards against a time that is too late for engines with old weights: a process that has not seen
// an intermediate version takes over its step too, and one that has seen it keeps its own.
func TestIntermediateVersionIsKept(t *testing.T) {
	is := is.New(t)
	knows, skipped := NewTargetHistory(), NewTargetHistory()
	for _, h := range []*TargetHistory{knows, skipped} {
		h.Record(time.Time{}, target(5))
	}
	knows.Record(at(1*time.Second), target(6))
	knows.Record(at(9*time.Second), target(7))
	skipped.Record(at(2*time.Second), target(7)) // was cut off from 2 s on
	for _, pair := range [][2]*TargetHistory{{knows, skipped}, {skipped, knows}} {
		joined := NewTargetHistory()
		for _, h := range pair {
			joined.Merge(at(10*time.Second), h.Ages(at(10*time.Second)))
		}
		since, _ := joined.OutdatedSince("m", 5)
		is.Equal(since, at(2*time.Second))
		since, _ = joined.OutdatedSince("m", 6)
		is.Equal(since, at(9*time.Second))
	}
}

// Guards against bytes in the steady state: versions older than a minute are not told, and count
// as of unknown age.
func TestOldVersionsAreNotTold(t *testing.T) {
	is := is.New(t)
	h := NewTargetHistory()
	h.Record(time.Time{}, target(1))
	h.Record(at(0), target(2))
	is.Equal(len(h.Ages(at(MaxTargetAge))), 2)
	is.Equal(len(h.Ages(at(MaxTargetAge+time.Millisecond))), 0)
	is.Equal(h.Versions("m"), []TargetVersion{{Version: 2}})
}

// Guards against a pause of the sender, or a delay of its update, that makes a version younger.
func TestDelayMakesVersionsOlder(t *testing.T) {
	is := is.New(t)
	sender, receiver := NewTargetHistory(), NewTargetHistory()
	sender.Record(at(10*time.Second), target(2))
	clock := at(11 * time.Second)
	ages := sender.Ages(clock.Add(3*time.Second + time.Microsecond)) // the sender stood still
	receiver.Merge(clock, ages)
	since, _ := receiver.OutdatedSince("m", 1)
	is.True(!since.After(at(10 * time.Second)))
}

// Guards against growth without bound, and a time that is too late for the versions left out.
func TestStepsAreBounded(t *testing.T) {
	is := is.New(t)
	h := NewTargetHistory()
	for v := range uint64(3 * maxTargetSteps) {
		h.Record(at(time.Duration(v)*time.Second), target(v+1))
	}
	is.Equal(len(h.Versions("m")), maxTargetSteps)
	since, outdated := h.OutdatedSince("m", 3)
	is.True(outdated)
	is.True(!since.After(at(3 * time.Second)))
}

// simulatedProcess follows the view, as a control replica or a follower of another process.
type simulatedProcess struct {
	history *TargetHistory
	// view is the number of committed versions that the process knows; newestAt is when it was
	// last confirmed that there are no others, zero if never.
	view     int
	newestAt time.Time
}

// update is what a process tells about its view.
type update struct {
	madeAt, newestAt time.Time
	view             int
	ages             []*wire.WeightsAge
}

// Guards against an age that is less than the real one, whatever restarts, cuts, delays and
// detours there were, and against one that a restart makes much greater while another process knows.
func TestAgesAreNeverTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := historyEpoch
		var versions []uint64
		var named []time.Time // when each version was committed, which is before it is acknowledged
		processes := make([]*simulatedProcess, 5)
		start := func(i int) { processes[i] = &simulatedProcess{history: NewTargetHistory()} }
		for i := range processes {
			start(i)
		}
		adopt := func(p *simulatedProcess, view int) {
			for p.view < view { // one event at a time, or a snapshot
				p.view++
				if rapid.Bool().Draw(t, "snapshot") {
					p.view = view
				}
				p.history.Record(p.newestAt, target(versions[p.view-1]))
			}
		}
		confirm := func(p *simulatedProcess, view int, at time.Time) {
			if p.view >= view && at.After(p.newestAt) {
				p.newestAt = at
			}
		}
		tell := func(p *simulatedProcess) update {
			return update{madeAt: now, newestAt: p.newestAt, view: p.view, ages: p.history.Ages(now)}
		}
		// take applies an update. The receiver takes it for made up to slack earlier than it was.
		take := func(p *simulatedProcess, u update, slack time.Duration) {
			p.history.Merge(u.madeAt.Add(-slack), u.ages)
			adopt(p, u.view)
			if !u.newestAt.IsZero() {
				confirm(p, u.view, u.newestAt.Add(-slack))
			}
		}
		var waiting []update
		process := func() *simulatedProcess {
			return processes[rapid.IntRange(0, len(processes)-1).Draw(t, "process")]
		}
		actions := map[string]func(){
			"pass": func() {
				now = now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond / time.Duration(rapid.SampledFrom([]int{1, 20, 300}).Draw(t, "div")))
			},
			"name": func() {
				last := uint64(0)
				if len(versions) > 0 {
					last = versions[len(versions)-1]
				}
				versions = append(versions, last+uint64(rapid.IntRange(1, 3).Draw(t, "step")))
				named = append(named, now)
			},
			"replica applies part of the log": func() {
				p := process()
				adopt(p, rapid.IntRange(p.view, len(versions)).Draw(t, "view"))
			},
			"replica is confirmed": func() {
				p := process()
				adopt(p, len(versions))
				confirm(p, len(versions), now)
			},
			"restart": func() { start(rapid.IntRange(0, len(processes)-1).Draw(t, "restarted")) },
			"tell":    func() { waiting = append(waiting, tell(process())) },
			"take": func() {
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "update")
					take(process(), waiting[i], time.Duration(rapid.IntRange(0, 2000).Draw(t, "slack"))*time.Millisecond)
				}
			},
			"restart beside a process that knows": func() {
				from := process()
				started := &simulatedProcess{history: NewTargetHistory()}
				take(started, tell(from), 0)
				for v := uint64(0); from.view > 0 && v < versions[from.view-1]; v++ {
					before, _ := from.history.OutdatedSince("m", v)
					after, outdated := started.history.OutdatedSince("m", v)
					if !outdated || !before.IsZero() && before.Sub(after) > time.Millisecond {
						t.Fatalf("version %d: outdated since %v by a process, since %v by one that started and was told", v, before, after)
					}
				}
			},
		}
		names := []string{"pass", "name", "replica applies part of the log", "replica is confirmed", "restart", "tell", "take", "take", "restart beside a process that knows"}
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
			for i, p := range processes {
				newest := uint64(0)
				if len(versions) > 0 {
					newest = versions[len(versions)-1]
				}
				for v := range newest + 2 {
					if err := checkOutdated(p.history, v, versions, named); err != nil {
						t.Fatalf("process %d: %v", i, err)
					}
				}
			}
		}
	})
}

// checkOutdated checks what a history says of a version against when versions were committed.
func checkOutdated(h *TargetHistory, version uint64, versions []uint64, named []time.Time) error {
	since, outdated := h.OutdatedSince("m", version)
	if !outdated {
		return nil
	}
	for i, v := range versions {
		if v > version {
			if since.After(named[i]) {
				return fmt.Errorf("version %d is outdated since %v, but %d was named %v earlier", version, since, v, since.Sub(named[i]))
			}
			return nil
		}
	}
	return fmt.Errorf("version %d is outdated, but no newer one was named", version)
}
