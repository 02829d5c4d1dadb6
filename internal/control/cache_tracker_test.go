package control

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fleet"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

func storedEvent(key uint64) fleet.CacheEvent {
	return fleet.CacheEvent{Stored: true, Key: key, Tokens: minPartTokens}
}

func TestSourceCacheFollowsEvents(t *testing.T) {
	is := is.New(t)
	c := &sourceCache{parts: map[uint64]uint64{}}
	c.apply(&fleet.CacheEvents{Epoch: 1, Next: 4, Events: []fleet.CacheEvent{storedEvent(1), storedEvent(2), {Stored: true, Key: 3, Tokens: minPartTokens - 1}}})
	is.Equal(c.newest(9), []uint64{2, 1})
	c.apply(&fleet.CacheEvents{Epoch: 1, Next: 6, Events: []fleet.CacheEvent{storedEvent(1), {Key: 2}}})
	is.Equal(c.newest(9), []uint64{1})
	is.Equal(c.next, uint64(6))
	c.apply(&fleet.CacheEvents{Epoch: 1, Next: 9, Lost: true, Events: []fleet.CacheEvent{storedEvent(7)}})
	is.Equal(c.newest(9), []uint64{7}) // parts from before a gap are dropped
	c.apply(&fleet.CacheEvents{Epoch: 2, Next: 1})
	is.Equal(len(c.newest(9)), 0) // the source restarted with an empty cache
	is.Equal(c.next, uint64(1))
	for key := range uint64(storeFilterParts + 9) {
		c.apply(&fleet.CacheEvents{Epoch: 2, Next: 2 + key, Events: []fleet.CacheEvent{storedEvent(key)}})
	}
	is.Equal(len(c.newest(storeFilterParts)), storeFilterParts)
	is.Equal(c.newest(1), []uint64{storeFilterParts + 8})
}

func TestStoreFilterExceedsEngineLimit(t *testing.T) {
	is := is.New(t)
	var keys []uint64
	for i := range uint64(storeFilterParts) {
		keys = append(keys, i<<40)
	}
	marshalled := prefix.NewFilterWithLimit(keys, storeFilterParts).Marshal()
	var f prefix.Filter
	is.True(!f.Unmarshal(marshalled)) // too long for an engine's filter
	is.True(f.UnmarshalStore(marshalled))
	is.True(f.Has(5 << 40))
	is.True(!f.Has(storeFilterParts << 40))
}

// Digests of an earlier leader and older digests of the same leader have no effect.
func TestDigestTrackerKeepsNewest(t *testing.T) {
	is := is.New(t)
	tracker := NewDigestTracker()
	_, first := tracker.Digest()
	tracker.Put(&wire.LoadDigest{Term: 3, Number: 2})
	select {
	case <-first:
	default:
		t.Fatal("the channel was not closed on the first digest")
	}
	tracker.Put(&wire.LoadDigest{Term: 3, Number: 2})
	tracker.Put(&wire.LoadDigest{Term: 2, Number: 9})
	d, _ := tracker.Digest()
	is.Equal(d.GetNumber(), uint64(2))
	tracker.Put(&wire.LoadDigest{Term: 4, Number: 1})
	d, _ = tracker.Digest()
	is.Equal(d.GetTerm(), uint64(4))
}

// sourceAnswering answers each request for cache events at once with the same batch, and ends the test
// after maxCalls.
type sourceAnswering struct {
	batch           *fleet.CacheEvents
	calls, maxCalls int
	cancel          context.CancelFunc
}

func (s *sourceAnswering) Report(context.Context, *wire.Backend) (*fleet.EngineReport, error) {
	return &fleet.EngineReport{}, nil
}
func (s *sourceAnswering) Order(context.Context, *fleet.LoadOrder) error { return nil }
func (s *sourceAnswering) Events(context.Context, fleet.CacheSource, uint64, time.Duration) (*fleet.CacheEvents, error) {
	if s.calls++; s.calls >= s.maxCalls {
		s.cancel()
	}
	return s.batch, nil
}

// Guards against a source of cache events that does not wait, or whose position does not move, and that
// the leader asks again without a pause: it took as much processor time as there was.
func TestSourceWithoutProgressIsNotAskedWithoutPause(t *testing.T) {
	for name, batch := range map[string]*fleet.CacheEvents{
		"no fields":            {},
		"the same events":      {Epoch: 1, Next: 3, Events: []fleet.CacheEvent{storedEvent(1), storedEvent(2)}},
		"lost at all times":    {Epoch: 1, Next: 3, Lost: true},
		"position of 64 bits":  {Epoch: 1, Next: math.MaxUint64},
		"position that is old": {Epoch: 2, Events: []fleet.CacheEvent{storedEvent(1)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				source := &sourceAnswering{batch: batch, maxCalls: 1000, cancel: cancel}
				newCacheTracker(source).run(ctx, fleet.CacheSource{Address: "10.0.0.1:80"}, &sourceCache{parts: map[uint64]uint64{}})
				if source.calls > 25 { // one in eventsRetryDelay, with jitter
					t.Errorf("%d requests in 10 s", source.calls)
				}
			})
		})
	}
}

// Guards against a copy of an earlier batch of cache events, as a faulty source writes it on a kept connection, that
// leaves parts known which the source has evicted. The responses then come one request late until the connection
// ends.
func TestCopiesOfCacheEventsConverge(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		var events []fleet.CacheEvent
		truth := map[uint64]bool{}
		answer := func(since uint64) *fleet.CacheEvents {
			return &fleet.CacheEvents{Epoch: 7, Next: uint64(len(events)), Events: slices.Clone(events[since:])}
		}
		c := &sourceCache{parts: map[uint64]uint64{}}
		var sent, due []*fleet.CacheEvents // on the connection: all responses, and those that are not read yet
		for range 60 {
			for range random.IntN(4) {
				key := random.Uint64N(5)
				truth[key] = !truth[key]
				if truth[key] {
					events = append(events, storedEvent(key))
				} else {
					events = append(events, fleet.CacheEvent{Key: key})
				}
			}
			if len(sent) > 0 && random.IntN(4) == 0 {
				due = append(due, sent[random.IntN(len(sent))])
			}
			own := answer(c.next)
			sent, due = append(sent, own), append(due, own)
			c.apply(due[0])
			due = due[1:]
			if len(due) > 0 && random.IntN(3) == 0 { // it arrives before the next request is sent
				sent, due = nil, nil
			}
		}
		// The source's own responses, until none is due.
		for _, batch := range append(due, answer(c.next)) {
			c.apply(batch)
		}
		c.apply(answer(c.next))
		for key := range uint64(5) {
			is.Equal(c.parts[key] > 0, truth[key])
		}
	}
}

// Guards against a source that is not followed any more since its position went back without a new epoch.
func TestSourceWhosePositionGoesBackIsFollowed(t *testing.T) {
	is := is.New(t)
	c := &sourceCache{parts: map[uint64]uint64{}}
	c.apply(&fleet.CacheEvents{Epoch: 1, Next: 9, Events: []fleet.CacheEvent{storedEvent(1)}})
	for range maxBackward {
		is.True(!c.apply(&fleet.CacheEvents{Epoch: 1, Next: 2, Events: []fleet.CacheEvent{storedEvent(2)}}))
		is.Equal(c.newest(9), []uint64{1})
		is.Equal(c.next, uint64(9))
	}
	c.apply(&fleet.CacheEvents{Epoch: 1, Next: 2, Events: []fleet.CacheEvent{storedEvent(2)}})
	is.Equal(c.newest(9), []uint64{2})
	is.Equal(c.next, uint64(2))
}
