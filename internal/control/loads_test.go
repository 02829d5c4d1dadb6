package control

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

// The leader's work for engines without an agent has a bound: thousands of them are
// asked in turns, each once, and the events of some are followed, those of all
// stores among them (pattern: 300 VMs before 3,000 engines).
func TestThousandsOfEnginesTakeTurns(t *testing.T) {
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
		batch, next = turn(members, next)
		is.True(len(batch) <= maxReports)
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
	batch, next := turn(members[:10], 7000) // most engines have left meanwhile
	is.Equal(len(batch), 10)
	is.Equal(next, 0)
	sources := sourcesOf(members, []*wire.CacheStore{{Address: "172.20.0.1:1"}, {Address: "172.20.0.2:1"}})
	is.Equal(len(sources), maxSources)
	is.Equal(sources[1].Address, "172.20.0.2:1")
}
