package holdings

import (
	"encoding/json"
	"testing"
	"time"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/wire"
)

// FuzzEvents applies arbitrary cache events to an index with the levels of one
// request. No other levels may be reported as held.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		`{"oldest":1,"next":2,"events":[{"sequence":1,"type":"stored","request_id":"r","attempt":1,"blocks":["a","b"],"tokens":[16,32]}]}`,
		`{"oldest":1,"next":3,"events":[{"sequence":1,"type":"stored","request_id":"r","attempt":1,"blocks":["a","b"],"tokens":[16]},{"sequence":2,"type":"removed","blocks":["a","zz"]}]}`,
		`{"oldest":9,"next":3}`, `{"next":18446744073709551615,"events":[{"sequence":5}]}`, `{"events":[{"sequence":0},{"sequence":1},{"sequence":1}]}`,
		`{"next":2,"events":[{"sequence":1,"type":"stored","request_id":"r","attempt":1,"blocks":["a"],"tokens":[-1]}]}`,
	} {
		f.Add([]byte(seed), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		now := time.UnixMilli(1_764_796_800_000)
		ix := New(DefaultLimits())
		owner := Owner{Account: "indus", Model: "assessor", WeightsVersion: "1"}
		levels := []*wire.PrefixLevel{{Key: 11, Tokens: 16}, {Key: 22, Tokens: 40}}
		ix.AddPrompt(now, owner, RequestKey{ID: "r", Attempt: 1}, levels, 40, 40)
		for _, data := range [][]byte{first, second} {
			events := &dialect.Events{}
			if json.Unmarshal(data, events) != nil {
				return
			}
			ix.Apply(events)
		}
		if held := ix.Held(now, []uint64{11, 22, 33}); len(held) > 2 {
			t.Fatalf("held keys %v, computed were 11 and 22", held)
		}
		owner.Account = "sajha"
		if _, ok := ix.Find(now, owner, 22); ok {
			t.Fatal("Find returned the level of another account")
		}
	})
}
