package holdings

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/wire"
)

var (
	t0    = time.Unix(1_800_000_000, 0)
	indus = Owner{Account: "indus", Model: "assessor", WeightsVersion: "v1", CacheSalt: "s"}
	// Three levels: instruction, context and question.
	levels = []*wire.PrefixLevel{{Key: 10, Tokens: 32}, {Key: 20, Tokens: 64}, {Key: 30, Tokens: 70}}
	r1     = RequestKey{"r1", 1}
)

func storedEvent(sequence uint64) dialect.Event {
	return dialect.Event{Sequence: sequence, Type: dialect.EventStored, RequestID: "r1", Attempt: 1,
		Blocks: []string{"a", "b", "c", "d"}, Tokens: []int{16, 32, 48, 64}}
}

func removedEvent(sequence uint64, blocks ...string) dialect.Event {
	return dialect.Event{Sequence: sequence, Type: dialect.EventRemoved, Blocks: blocks}
}

func report(oldest, next uint64, events ...dialect.Event) *dialect.Events {
	return &dialect.Events{Oldest: oldest, Next: next, Events: events}
}

func TestHeldLevels(t *testing.T) {
	keys := []uint64{10, 20, 30, 99}
	all := []uint64{10, 20, 30}
	for _, test := range []struct {
		name    string
		reports []*dialect.Events
		after   time.Duration
		held    []uint64
		next    uint64
		lost    uint64
	}{
		{"just computed", nil, 0, all, 1, 0},
		{"expired", nil, 11 * time.Second, nil, 1, 0},
		{"last block of the context removed", []*dialect.Events{report(1, 3, storedEvent(1), removedEvent(2, "d"))}, 0, []uint64{10}, 3, 0},
		{"first block removed", []*dialect.Events{report(1, 3, storedEvent(1), removedEvent(2, "a"))}, 0, nil, 3, 0},
		{"unknown block removed", []*dialect.Events{report(1, 3, storedEvent(1), removedEvent(2, "x"))}, 0, all, 3, 0},
		{"event after a gap is not applied", []*dialect.Events{report(1, 3, removedEvent(2, "a"))}, 0, all, 1, 0},
		{"gap repaired", []*dialect.Events{report(1, 3, removedEvent(2, "d")), report(1, 3, storedEvent(1), removedEvent(2, "d"))}, 0, []uint64{10}, 3, 0},
		{"missing events are no longer available", []*dialect.Events{report(5, 6, removedEvent(5, "x"))}, 0, nil, 6, 4},
		{"gap never repaired", []*dialect.Events{report(1, 3, removedEvent(2, "x")), report(1, 3, removedEvent(2, "x")), report(1, 3, removedEvent(2, "x"))}, 0, nil, 3, 1},
		{"last event missing", []*dialect.Events{report(1, 2), report(1, 2), report(1, 2)}, 0, nil, 2, 1},
		{"repeated event", []*dialect.Events{report(1, 2, storedEvent(1)), report(1, 2, storedEvent(1))}, 0, all, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := DefaultLimits()
			limits.GapRetries = 2
			ix := New(limits)
			ix.AddPrompt(t0, indus, r1, levels, 70, 70)
			for _, r := range test.reports {
				ix.Apply(r)
			}
			is.Equal(ix.Held(t0.Add(test.after), keys), test.held)
			is.Equal(ix.NextSequence(), test.next)
			is.Equal(ix.LostEvents, test.lost)
		})
	}
}

func TestFindChecksOwner(t *testing.T) {
	is := is.New(t)
	ix := New(DefaultLimits())
	ix.AddPrompt(t0, indus, r1, levels, 70, 70)
	_, ok := ix.Find(t0, indus, 20)
	is.True(!ok) // its blocks are not known yet
	ix.Apply(report(1, 2, storedEvent(1)))
	l, ok := ix.Find(t0, indus, 20)
	is.True(ok)
	is.Equal(l.Block, "d")
	for _, change := range []func(*Owner){
		func(o *Owner) { o.Account = "sajha" },
		func(o *Owner) { o.CacheSalt = "other" },
		func(o *Owner) { o.WeightsVersion = "v0" },
		func(o *Owner) { o.Adapter = "x" },
	} {
		other := indus
		change(&other)
		_, ok := ix.Find(t0, other, 20)
		is.True(!ok)
	}
	_, ok = ix.Find(t0.Add(time.Minute), indus, 20)
	is.True(!ok)
}

func TestLevelTokensAreScaledToEngineTokens(t *testing.T) {
	is := is.New(t)
	ix := New(DefaultLimits())
	// The router's estimate is half of the engine's token count.
	ix.AddPrompt(t0, indus, r1, []*wire.PrefixLevel{{Key: 10, Tokens: 16}, {Key: 20, Tokens: 32}}, 64, 32)
	ix.Apply(report(1, 2, storedEvent(1)))
	l, ok := ix.Find(t0, indus, 10)
	is.True(ok)
	is.Equal(l.Block, "b")
}

func TestMemoryIsLimited(t *testing.T) {
	is := is.New(t)
	limits := Limits{TTL: time.Minute, MaxLevels: 50, MaxRequests: 20, GapRetries: 1}
	ix := New(limits)
	for i := range uint64(1000) {
		key := RequestKey{"r1", uint32(i)}
		ix.AddPrompt(t0, indus, key, []*wire.PrefixLevel{{Key: 3*i + 1, Tokens: 32}, {Key: 3*i + 2, Tokens: 64}}, 0, 0)
		e := storedEvent(i + 1)
		e.Attempt = uint32(i)
		e.Blocks = []string{string(rune(i)) + "a", string(rune(i)) + "b", string(rune(i)) + "c", string(rune(i)) + "d"}
		ix.Apply(report(1, i+2, e))
	}
	is.Equal(len(ix.levels), limits.MaxLevels)
	is.Equal(ix.lru.Len(), limits.MaxLevels)
	is.Equal(len(ix.requests), limits.MaxRequests)
	is.Equal(len(ix.blocks), 2*limits.MaxLevels)
}

// BenchmarkApply measures the time per request with its cache event, and the memory
// per level.
func BenchmarkApply(b *testing.B) {
	ix := New(DefaultLimits())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	i := uint64(0)
	for b.Loop() {
		i++
		key := RequestKey{"r1", uint32(i)}
		ix.AddPrompt(t0, indus, key, []*wire.PrefixLevel{{Key: 2 * i, Tokens: 32}, {Key: 2*i + 1, Tokens: 64}}, 0, 0)
		e := storedEvent(i)
		e.Attempt = uint32(i)
		for j := range e.Blocks {
			e.Blocks[j] = strconv.FormatUint(i<<2+uint64(j), 16)
		}
		ix.Apply(report(1, i+1, e))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(ix.levels)), "B/level")
	runtime.KeepAlive(ix)
}

// If missing events can't be read, the index is reset. OnDrop must then be called for
// every level, so that a count of the held levels stays correct.
func TestOnDropIsCalledWhenGapIsSkipped(t *testing.T) {
	is := is.New(t)
	ix := New(DefaultLimits())
	dropped := map[uint64]bool{}
	ix.OnDrop(func(key uint64) { dropped[key] = true })
	ix.AddPrompt(t0, indus, r1, levels, 70, 70)
	ix.Apply(report(5, 6, removedEvent(5, "x")))
	is.Equal(dropped, map[uint64]bool{10: true, 20: true, 30: true})
}

// The engine may report the blocks of a prompt before the head of its response has
// arrived. The event must not be lost.
func TestStoredEventBeforeResponseHeadIsApplied(t *testing.T) {
	is := is.New(t)
	ix := New(DefaultLimits())
	ix.Apply(report(1, 2, storedEvent(1)))
	ix.AddPrompt(t0, indus, r1, levels, 70, 70)
	level, ok := ix.Find(t0, indus, 20)
	is.True(ok)
	is.Equal(level.Block, "d")
	other := New(DefaultLimits())
	other.Apply(report(1, 3, storedEvent(1), removedEvent(2, "d")))
	other.AddPrompt(t0, indus, r1, levels, 70, 70)
	_, ok = other.Find(t0, indus, 20)
	is.True(!ok) // a block that was removed in the meantime can't be exported
}
