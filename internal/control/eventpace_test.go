package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fleet"
	"parsleypulley/internal/wire"
)

// historySources are sources with a history of events. Reading a batch takes batchTime of the only
// processor. The later events of a source come one at a time.
type historySources struct {
	batchTime time.Duration
	history   uint64
	batch     uint64

	// processor holds a value while it is free.
	processor chan struct{}
	mu        sync.Mutex
	// busy holds when the processor read batches.
	busy [][2]time.Time
	// position is the highest position that was requested from each source.
	position map[fleet.CacheSource]uint64
}

func (s *historySources) Report(context.Context, *wire.Backend) (*fleet.EngineReport, error) {
	return &fleet.EngineReport{}, nil
}

func (s *historySources) Order(context.Context, *fleet.LoadOrder) error { return nil }

func (s *historySources) Events(ctx context.Context, source fleet.CacheSource, next uint64, wait time.Duration) (*fleet.CacheEvents, error) {
	s.mu.Lock()
	s.position[source] = max(next, s.position[source])
	s.mu.Unlock()
	if next >= s.history {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
			return &fleet.CacheEvents{Epoch: 1, Next: next}, nil
		}
	}
	began := time.Now()
	<-s.processor
	read := time.Now()
	time.Sleep(s.batchTime)
	s.processor <- struct{}{}
	s.mu.Lock()
	s.busy = append(s.busy, [2]time.Time{read, time.Now()})
	s.mu.Unlock()
	return &fleet.CacheEvents{Epoch: 1, Next: min(next+s.batch, s.history), Took: time.Since(began)}, nil
}

// mostBusy returns the largest part of a window of the given length in which the processor read batches.
func (s *historySources) mostBusy(window time.Duration) float64 {
	most := time.Duration(0)
	for _, first := range s.busy {
		start, sum := first[0], time.Duration(0)
		for _, b := range s.busy {
			from, to := maxTime(b[0], start), b[1]
			if end := start.Add(window); to.After(end) {
				to = end
			}
			sum += max(0, to.Sub(from))
		}
		most = max(most, sum)
	}
	return most.Seconds() / window.Seconds()
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against a leader that has no processor time for its quorum since it reads the history of the
// cache events of all engines at the start of its term.
func TestHistoryOfCacheEventsLeavesTimeForTheQuorum(t *testing.T) {
	for name, test := range map[string]struct {
		sources   int
		batchTime time.Duration
		// within is the time in which all is read.
		within time.Duration
	}{
		"few engines":    {8, 3 * time.Millisecond, 5 * time.Second},
		"many engines":   {60, 3 * time.Millisecond, 20 * time.Second},
		"most engines":   {maxSources, 3 * time.Millisecond, 80 * time.Second},
		"slow processor": {60, 15 * time.Millisecond, 90 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &historySources{batchTime: test.batchTime, history: 4000, batch: 500, position: map[fleet.CacheSource]uint64{}, processor: make(chan struct{}, 1)}
				s.processor <- struct{}{}
				tracker := newCacheTracker(s)
				var sources []fleet.CacheSource
				for i := range test.sources {
					sources = append(sources, fleet.CacheSource{Address: string(rune('a' + i))})
				}
				tracker.follow(t.Context(), sources)
				time.Sleep(test.within)
				tracker.follow(t.Context(), nil)
				time.Sleep(time.Second) // batches that are being read
				s.mu.Lock()
				for _, source := range sources {
					is.Equal(s.position[source], uint64(4000)) // all read
				}
				s.mu.Unlock()
				most := s.mostBusy(250 * time.Millisecond)
				t.Logf("most busy for %.2f of 250 ms", most)
				is.True(most <= 0.25) // a third of an election timeout: three quarters are left for the quorum
			})
		})
	}
}

// Guards against a source whose batches take long to read, and which keeps the others from being read.
func TestSlowBatchDelaysOthersLittle(t *testing.T) {
	is := is.New(t)
	p := &eventPace{}
	now := time.Unix(1000, 0)
	is.Equal(p.wait(now), time.Duration(0))
	p.done(p.reserve(now), time.Minute)
	is.True(p.wait(now) <= 200*time.Millisecond)
}

// Guards against waits for batches that never came: a source that has no events, or does not answer, costs
// nothing.
func TestBatchesWithoutEventsCostNothing(t *testing.T) {
	is := is.New(t)
	p := &eventPace{}
	now := time.Unix(1000, 0)
	for range 10_000 {
		is.Equal(p.wait(now), time.Duration(0))
		p.done(p.reserve(now), 0)
	}
}
