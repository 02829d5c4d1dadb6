package forward

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// All routers must select the same store for a shared prefix, since two engines
// may read the same prefix. When a store is down, only its own prefixes may move
// to other stores.
func TestSharedPrefixAssignedToOneStore(t *testing.T) {
	is := is.New(t)
	table := &wire.RouteTable{Version: 1}
	var addresses []string
	all := map[string]*watchedStore{}
	for i := range 3 {
		address := fmt.Sprintf("172.20.0.%d:1", i)
		addresses = append(addresses, address)
		table.Services = append(table.Services, &wire.ForwardService{Name: address, Store: &wire.CacheStore{Address: address}})
		all[address] = &watchedStore{up: true}
	}
	v, err := view.FromMessage(&wire.View{Version: 1, RouteTable: table})
	is.NoErr(err)
	s := &storeMonitor{watched: all}
	homes, counts := map[uint64]string{}, map[string]int{}
	for key := range uint64(900) {
		homes[key] = s.homeStore(v, key)
		counts[homes[key]]++
	}
	for _, n := range counts {
		is.True(n > 200) // distributed over all stores
	}
	down := addresses[1]
	all[down].up = false
	for key, homeStore := range homes {
		now := s.homeStore(v, key)
		is.True(now != down)
		is.True(homeStore == down || now == homeStore)
	}
	all[addresses[0]].up, all[addresses[2]].up = false, false
	is.Equal(s.homeStore(v, 1), "")
}
