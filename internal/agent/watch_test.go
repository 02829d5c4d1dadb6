package agent

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/engine"
)

// blockingHealthEngine is an engine whose health checks block until the test sends
// the incarnation to return.
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
	return &engine.Health{Incarnation: <-answer}, nil
}

func TestOutdatedHealthResponseIsIgnored(t *testing.T) {
	is := is.New(t)
	h := &blockingHealthEngine{checks: make(chan chan uint64)}
	a, err := New(Config{Name: "b1", Address: "127.0.0.1:1", Service: "farmdesk", Engine: h})
	is.NoErr(err)
	defer a.Close()
	done := make(chan bool, 2)
	check := func() chan uint64 {
		go func() { done <- a.checkHealth(context.Background()) }()
		return <-h.checks
	}
	first, second := check(), check()
	second <- 8
	is.True(<-done)
	is.Equal(a.Status().Incarnation, uint64(8))
	first <- 7 // the response of the previous incarnation
	is.True(<-done)
	is.Equal(a.Status().Incarnation, uint64(8))
}
