package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fleet"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// weightsMember is an engine with a version of the model m.
func weightsMember(name, version string) *wire.Member {
	return &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: &wire.Backend{Name: name, Service: "lab", Address: name + ":1", AgentIncarnation: 1, Models: []*wire.LoadedModel{{Model: "m", WeightsVersion: version}}}}
}

// Guards against a router that starts some seconds after new weights were named and uses engines with old ones
// for the whole bound from then on: it counts from the name if it is told when that was, and else does not use them.
func TestWeightsBoundCountsFromTheName(t *testing.T) {
	const (
		bound = 8 * time.Second
		// sendingTime is what a call that begins at once needs until it begins, with all margins.
		sendingTime = 500 * time.Millisecond
	)
	for _, tt := range []struct {
		name string
		told bool
		// usedUntil is the age of the name up to which old weights are used.
		usedUntil time.Duration
	}{{"told", true, bound}, {"not told", false, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			named := time.Unix(1000, 0)
			running := fleet.NewTargetHistory()
			running.Record(time.Time{}, []*wire.WeightsTarget{{Model: "m", Version: 1}})
			running.Record(named, []*wire.WeightsTarget{{Model: "m", Version: 2}})

			now := named.Add(5 * time.Second) // the router starts
			log := view.NewLog(view.DefaultLogLimits())
			if tt.told {
				log.Targets().Merge(now, running.Ages(now))
			}
			is.NoErr(log.Reset(&wire.View{Version: 1, Weights: []*wire.WeightsTarget{{Model: "m", Version: 2}}, Members: []*wire.Member{weightsMember("old", "1")}}))
			sel := newBackendSelector("a", 1, DefaultRetryBudgetLimits(), bound)
			sel.targetHistory = log.Targets()
			sel.clock = func() time.Time { return now }
			for ; now.Before(named.Add(15 * time.Second)); now = now.Add(100 * time.Millisecond) {
				sel.setView(log.Snapshot())
				d, err := sel.selectBackend(&routing.Request{Service: "lab", Model: "m", Streamed: true}, startLimits{firstToken: time.Minute})
				if age := now.Sub(named); err == nil && age >= tt.usedUntil || err != nil && age < tt.usedUntil-sendingTime {
					t.Errorf("%v after the name: old weights used: %t", age, err == nil)
				}
				if err == nil {
					is.Equal(sel.outdatedFor(d), now.Sub(named))
					sel.finished(d)
				}
			}
		})
	}
}
