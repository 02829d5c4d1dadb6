package forward

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// All routers keep an opening in the same store (pattern: shared opening read again
// on two engines); when a store is down, only its openings move.
func TestOpeningsHaveOneStore(t *testing.T) {
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
	s := &stores{watched: all}
	homes, counts := map[uint64]string{}, map[string]int{}
	for key := range uint64(900) {
		homes[key] = s.home(v, key)
		counts[homes[key]]++
	}
	for _, n := range counts {
		is.True(n > 200) // shared out
	}
	down := addresses[1]
	all[down].up = false
	for key, home := range homes {
		now := s.home(v, key)
		is.True(now != down)
		is.True(home == down || now == home)
	}
	all[addresses[0]].up, all[addresses[2]].up = false, false
	is.Equal(s.home(v, 1), "")
}
