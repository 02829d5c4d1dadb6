package agent

import (
	"context"
	"errors"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/shutdown"
)

// stopWait is how long the end of a stop waits until the runs that it ends have ended.
const stopWait = 100 * time.Millisecond

// errStopping is the cause with which the planned stop ends runs.
var errStopping = errors.New("the agent stops")

// BeginStop begins the planned stop, which ends at endsAt. The agent refuses new requests from now on,
// since it knows no bound on how long they would run, and announces that the backend server leaves. Shortly
// before endsAt it ends the requests that are still running, so that routers learn how they ended and do not
// have to find out that the agent is gone.
func (a *Agent) BeginStop(endsAt time.Time) {
	a.leave()
	time.AfterFunc(time.Until(endsAt.Add(-shutdown.FinalMargin)), a.endRuns)
}

func (a *Agent) leave() {
	a.mu.Lock()
	a.gate.SetLeaving()
	a.mu.Unlock()
	a.TriggerAnnounce()
}

// endRuns ends the running requests, claimed ones too: their responses can't be kept beyond the process.
func (a *Agent) endRuns() {
	a.stopOnce.Do(func() {
		a.endedByStop.Store(int64(a.Status().Running))
		a.cancelRuns(errStopping)
	})
}

// EndedByStop returns the number of requests that the planned stop has ended.
func (a *Agent) EndedByStop() int { return int(a.endedByStop.Load()) }

// stopFailure returns the failure of a run that failed with err, if the stop has ended it. Routers continue
// it elsewhere if it may run twice. The outcome of a claimed call can't be found out later: OutcomeUnknown
// keeps routers from asking an agent that is gone.
func stopFailure(ctx context.Context, claimed bool, err *fault.Error) *fault.Error {
	switch {
	case err == nil || !errors.Is(context.Cause(ctx), errStopping):
		return err
	case err.Outcome == fault.NotRun:
		return fault.New(fault.Shutdown, fault.NotRun, "%w", errStopping)
	case claimed:
		return fault.New(fault.OutcomeUnknown, err.Outcome, "%w", errStopping)
	default:
		return fault.New(fault.StreamBroken, err.Outcome, "%w", errStopping)
	}
}
