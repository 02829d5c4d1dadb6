package view

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// FuzzViewUpdate applies two arbitrary updates in sequence. The version must
// never decrease, and a second log that applies a snapshot of the result must
// have the same view.
func FuzzViewUpdate(f *testing.F) {
	marshal := func(u *wire.ViewUpdate) []byte {
		data, err := proto.Marshal(u)
		if err != nil {
			f.Fatal(err)
		}
		return data
	}
	log := NewLog(DefaultLogLimits())
	if err := log.Append(configEvent(1, 0, "indus"), memberEvent(2, "runner-0"), quarantineEvent(3, "indus", 2),
		fencingEvent(4, 7), removedEvent(5, "runner-0")); err != nil {
		f.Fatal(err)
	}
	f.Add(marshal(log.UpdateSince(0)), marshal(&wire.ViewUpdate{FromVersion: 5, Version: 6, Events: []*wire.ViewEvent{memberEvent(6, "runner-1")}}))
	f.Add(marshal(log.UpdateSince(0)), marshal(log.UpdateSince(2)))
	f.Add(marshal(log.UpdateSince(1)), []byte{})
	f.Add([]byte{}, marshal(&wire.ViewUpdate{Snapshot: &wire.View{Version: 3}}))
	f.Add([]byte{}, marshal(&wire.ViewUpdate{Events: []*wire.ViewEvent{{Version: 1}}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		log := NewLog(DefaultLogLimits())
		var before uint64
		for _, data := range [][]byte{first, second} {
			update := &wire.ViewUpdate{}
			if proto.Unmarshal(data, update) != nil {
				return
			}
			changed, err := log.Apply(update)
			now := log.Version()
			if now < before || changed != (now > before) {
				t.Fatalf("version %d after %d, changed %t, error %v", now, before, changed, err)
			}
			before = now
		}
		other := NewLog(DefaultLogLimits())
		if _, err := other.Apply(log.UpdateSince(0)); err != nil {
			t.Fatalf("the snapshot at version %d cannot be applied: %v", before, err)
		}
		if !proto.Equal(other.Snapshot().Message(), log.Snapshot().Message()) {
			t.Fatal("the view differs after it was applied from a snapshot")
		}
	})
}
