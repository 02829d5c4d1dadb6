package crashreport

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// recorder is a Proposer that keeps the commands and quarantines what has crashed before.
type recorder struct {
	mu       sync.Mutex
	commands [][]*wire.CrashReport
	down     bool
	version  uint64
}

func (r *recorder) Propose(_ context.Context, command *wire.Command) (*wire.CommandResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, errors.New("no leader")
	}
	reports := command.GetCrashes().GetReports()
	if reports == nil {
		reports = []*wire.CrashReport{command.GetCrash()}
	}
	r.commands = append(r.commands, reports)
	results := make([]*wire.CrashResult, len(reports))
	for i := range results {
		results[i] = &wire.CrashResult{Crashes: uint32(len(r.commands)), Quarantined: len(r.commands) > 1}
	}
	if command.GetCrash() != nil {
		return &wire.CommandResult{Body: &wire.CommandResult_Crash{Crash: results[0]}, ViewVersion: r.version}, nil
	}
	return &wire.CommandResult{Body: &wire.CommandResult_Crashes{Crashes: &wire.CrashResults{Results: results}}, ViewVersion: r.version}, nil
}

func callReport(i int) *wire.CrashReport {
	return &wire.CrashReport{Account: "a", Fingerprint: fmt.Append(nil, "call ", i), RequestId: fmt.Sprint(i), Backend: "b", EngineIncarnation: 1}
}

// Each call that an engine took with it when it crashed was a command of its own.
func TestReportsOfOneCrashAreOneCommand(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control := &recorder{}
		r := New(control, view.NewStore())
		parts := quarantine.PromptParts("a", []string{"opening", "context", "last"})
		var calls sync.WaitGroup
		for i := range 25 {
			calls.Go(func() {
				known := []uint32{uint32(i), 0}
				result := r.Report(time.Second, append([]*wire.CrashReport{callReport(i)}, r.PartReports("b", 1, parts, known)...)...)
				is.Equal(result.GetCrashes(), uint32(1))
			})
		}
		calls.Wait()
		is.Equal(len(control.commands), 1)
		is.Equal(len(control.commands[0]), 25+len(parts)) // each part once
		for _, report := range control.commands[0] {
			if string(report.GetFingerprint()) == parts[0].Fingerprint {
				is.Equal(report.GetKnownCrashes(), uint32(24)) // the most that a router knew
			}
		}
		for i := range maxBatch + 1 {
			calls.Go(func() { r.Report(time.Second, callReport(i)) })
		}
		calls.Wait()
		is.Equal(len(control.commands), 3) // a full one and the rest
	})
}

// A quarantine that follows from an own report is effective until the view has what became of
// it: it may have been taken back meanwhile.
func TestResultsHoldUntilTheViewContainsThem(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control := &recorder{version: 2}
		views := view.NewLog(view.DefaultLogLimits())
		r := New(control, views.Store())
		key := quarantine.Key{Account: "a", Fingerprint: "call 0"}
		r.Report(time.Second, callReport(0))
		is.True(!r.Quarantined(key))
		r.Report(time.Second, callReport(0))
		is.True(r.Quarantined(key))
		is.True(!r.Empty())
		is.NoErr(views.Append(&wire.ViewEvent{Version: 1, Body: &wire.ViewEvent_Fencing{Fencing: 1}}))
		is.True(r.Quarantined(key))
		is.NoErr(views.Append(&wire.ViewEvent{Version: 2, Body: &wire.ViewEvent_Fencing{Fencing: 2}}))
		is.True(!r.Quarantined(key)) // the view is as new as the result and does not have it
		r.ApplyView(views.Snapshot())
		is.True(!r.Quarantined(key))
		is.Equal(len(r.recent), 0)
	})
}

// While control can't be told, a router goes by the crashes that it has seen itself.
func TestOwnCrashesCountWhileControlIsOutOfReach(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		views := view.NewLog(view.DefaultLogLimits())
		r := New(&recorder{down: true}, views.Store())
		key := quarantine.Key{Account: "a", Fingerprint: "call 0"}
		for incarnation := range quarantine.CrashLimit {
			is.True(!r.Quarantined(key))
			for range 2 { // one crash, seen by two attempts
				report := callReport(0)
				report.EngineIncarnation = uint64(incarnation)
				is.True(r.Report(time.Second, report) == nil)
			}
		}
		is.True(r.Quarantined(key))
		r.Completed(quarantine.Key{Account: "a", Fingerprint: "another"}, "r")
		is.True(!r.Empty())
		time.Sleep(recentTTL)
		r.ApplyView(views.Snapshot())
		is.True(!r.Quarantined(key))
		r.Completed(key, "r")
		is.True(r.Empty())
		time.Sleep(2 * batchDelay) // until the clearing has been tried
	})
}

// The memory of what was served, and what is told about it, are bounded.
func TestServedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	var served servedParts
	key := func(i int) quarantine.Key { return quarantine.Key{Fingerprint: fmt.Sprint(i)} }
	for i := range 10 * maxServedParts {
		served.add(key(i))
		is.True(len(served.newer)+len(served.older) <= 2*maxServedParts)
	}
	is.True(served.has(key(10*maxServedParts - maxServedParts)))
	is.True(!served.has(key(0)))
	r := New(&recorder{}, view.NewStore())
	for i := range 2 * maxStatements {
		r.state(key(i), &wire.CrashReport{})
	}
	is.Equal(len(r.statements), maxStatements)
}
