package routing

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkSetBackends4000 measures a view in which one of 4,000 engines has changed.
func BenchmarkSetBackends4000(b *testing.B) {
	members := directMembers(4000)
	r := New("a", 1)
	now := time.Unix(1000, 0)
	r.SetBackends(now, members)
	b.ReportAllocs()
	for range b.N {
		members[0].Backend = proto.CloneOf(members[0].Backend)
		r.SetBackends(now, members)
	}
}
