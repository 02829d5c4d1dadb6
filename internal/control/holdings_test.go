package control

import (
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/fleet"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

func stored(key uint64) fleet.CacheEvent {
	return fleet.CacheEvent{Stored: true, Key: key, Tokens: minHeldTokens}
}

func TestHoldingsFollowEvents(t *testing.T) {
	is := is.New(t)
	h := &holdings{parts: map[uint64]uint64{}}
	h.take(&fleet.CacheEvents{Epoch: 1, Next: 4, Events: []fleet.CacheEvent{stored(1), stored(2), {Stored: true, Key: 3, Tokens: minHeldTokens - 1}}})
	is.Equal(h.newest(9), []uint64{2, 1})
	h.take(&fleet.CacheEvents{Epoch: 1, Next: 6, Events: []fleet.CacheEvent{stored(1), {Key: 2}}})
	is.Equal(h.newest(9), []uint64{1})
	is.Equal(h.next, uint64(6))
	h.take(&fleet.CacheEvents{Epoch: 1, Next: 9, Lost: true, Events: []fleet.CacheEvent{stored(7)}})
	is.Equal(h.newest(9), []uint64{7}) // what a gap hides is not claimed
	h.take(&fleet.CacheEvents{Epoch: 2, Next: 1})
	is.Equal(len(h.newest(9)), 0) // a store that came back empty
	is.Equal(h.next, uint64(1))
	for key := range uint64(storeHeld + 9) {
		h.take(&fleet.CacheEvents{Epoch: 2, Events: []fleet.CacheEvent{stored(key)}})
	}
	is.Equal(len(h.newest(storeHeld)), storeHeld)
	is.Equal(h.newest(1), []uint64{storeHeld + 8})
}

func TestLongFilters(t *testing.T) {
	is := is.New(t)
	var keys []uint64
	for i := range uint64(storeHeld) {
		keys = append(keys, i<<40)
	}
	marshalled := prefix.NewFilterWithLimit(keys, storeHeld).Marshal()
	var f prefix.Filter
	is.True(!f.Unmarshal(marshalled)) // an engine's filter stays short
	is.True(f.UnmarshalStore(marshalled))
	is.True(f.Has(5 << 40))
	is.True(!f.Has(storeHeld << 40))
}

// Digests of an earlier leader, or older ones, change nothing.
func TestNewestDigestHolds(t *testing.T) {
	is := is.New(t)
	b := newLoadBoard()
	_, first := b.Digest()
	b.put(&wire.LoadDigest{Term: 3, Number: 2})
	select {
	case <-first:
	default:
		t.Fatal("no notice of the first digest")
	}
	b.put(&wire.LoadDigest{Term: 3, Number: 2})
	b.put(&wire.LoadDigest{Term: 2, Number: 9})
	d, _ := b.Digest()
	is.Equal(d.GetNumber(), uint64(2))
	b.put(&wire.LoadDigest{Term: 4, Number: 1})
	d, _ = b.Digest()
	is.Equal(d.GetTerm(), uint64(4))
}
