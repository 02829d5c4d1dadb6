package control

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// The leader's work for engines without an agent must be bounded. 3,000 engines,
// as in the deployment pattern of 300 VMs in front of 3,000 engines, are queried in
// turns, each once. Cache events are followed for maxSources sources only, which
// include all stores.
func TestEnginesAreQueriedInTurns(t *testing.T) {
	is := is.New(t)
	var members []*wire.Member
	for i := range 3000 {
		members = append(members, &wire.Member{Backend: &wire.Backend{Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.1:%d", i),
			Models: []*wire.LoadedModel{{Model: "m"}}}})
	}
	for i := range 5 {
		members = append(members, &wire.Member{Backend: &wire.Backend{Name: fmt.Sprint("service-", i), Address: "10.0.0.2:1"}})
	}
	asked, next, rounds := map[string]int{}, 0, 0
	for next > 0 || rounds == 0 {
		var batch []*wire.Backend
		batch, next = nextEngines(members, next)
		is.True(len(batch) <= maxReportsPerInterval)
		for _, b := range batch {
			asked[b.GetName()]++
		}
		rounds++
	}
	is.Equal(rounds, 8)
	is.Equal(len(asked), 3000)
	for _, n := range asked {
		is.Equal(n, 1)
	}
	batch, next := nextEngines(members[:10], 7000) // most engines have left in the meantime
	is.Equal(len(batch), 10)
	is.Equal(next, 0)
	sources := sourcesOf(members, []*wire.CacheStore{{Address: "172.20.0.1:1"}, {Address: "172.20.0.2:1"}})
	is.Equal(len(sources), maxSources)
	is.Equal(sources[1].Address, "172.20.0.2:1")
}
