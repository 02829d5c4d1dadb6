package agent

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/agent/gate"
	"parsleypulley/internal/engine"
	"parsleypulley/internal/fault"
)

// blockingHealthEngine is an engine whose health checks block until the test sends
// the incarnation to return, or 0 to let the check fail.
type blockingHealthEngine struct {
	engine.Engine
	checks chan chan uint64
}

func (h *blockingHealthEngine) PlainService() bool { return true }

func (h *blockingHealthEngine) Leaving() uint64 { return 0 }

func (h *blockingHealthEngine) Limit() float64 { return 0 }

func (h *blockingHealthEngine) Health(context.Context) (*engine.Health, error) {
	answer := make(chan uint64)
	h.checks <- answer
	incarnation := <-answer
	if incarnation == 0 {
		return nil, fault.New(fault.BackendRefused, fault.NotRun, "connection refused")
	}
	return &engine.Health{Incarnation: incarnation}, nil
}

func TestOutdatedHealthResponseIsIgnored(t *testing.T) {
	is := is.New(t)
	h := &blockingHealthEngine{checks: make(chan chan uint64)}
	a, err := New(Config{Name: "b1", Address: "127.0.0.1:1", Service: "farmdesk", Engine: h})
	is.NoErr(err)
	defer a.Close()
	done := make(chan uint64, 2)
	check := func() chan uint64 {
		go func() { done <- a.checkHealth(context.Background()) }()
		return <-h.checks
	}
	first, second := check(), check()
	second <- 8
	is.Equal(<-done, uint64(8))
	is.Equal(a.Status().Incarnation, uint64(8))
	first <- 7 // the response of the previous incarnation
	is.Equal(<-done, uint64(7))
	is.Equal(a.Status().Incarnation, uint64(8))
}

// Guards against a crash that is taken for a broken connection, and so not counted
// against the request, because health checks overlapped.
func TestCrashIsFoundWhenHealthChecksOverlap(t *testing.T) {
	for _, test := range []struct {
		name       string
		own, later uint64 // incarnations that the two checks find; 0 if they fail
		crashed    bool
	}{
		{"restarted, later check refused before the restart", 8, 0, true},
		{"down, later check finds the new run", 0, 8, true},
		{"answer of the old run, later check finds the new run", 7, 8, true},
		{"alive", 7, 7, false},
		{"alive, later check failed", 7, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := &blockingHealthEngine{checks: make(chan chan uint64)}
			a, err := New(Config{Name: "b1", Address: "127.0.0.1:1", Service: "farmdesk", Engine: h})
			is.NoErr(err)
			defer a.Close()
			done := make(chan uint64, 1)
			check := func() chan uint64 {
				go func() { done <- a.checkHealth(context.Background()) }()
				return <-h.checks
			}
			check() <- 7
			is.Equal(<-done, uint64(7))
			classified := make(chan *fault.Error, 1)
			broken := fault.New(fault.StreamBroken, fault.Unknown, "EOF")
			go func() { classified <- a.classifyFailure(gate.Ticket{Incarnation: 7}, broken) }()
			own := <-h.checks
			later := check()
			later <- test.later
			is.Equal(<-done, test.later)
			own <- test.own
			is.Equal((<-classified).Kind == fault.BackendCrashed, test.crashed)
		})
	}
}
