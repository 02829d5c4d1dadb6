package forward

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

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

// A store that sends bytes nobody asked for was dialled again and again without a pause.
func TestTalkativeStoreIsNotDialledInALoop(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	var accepted atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() { defer c.Close(); writeForever(c, "x", time.Millisecond) }()
		}
	}()
	r := newFixture(t, nil)
	r.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_RouteTable{RouteTable: &wire.RouteTable{Version: 1,
		Services: []*wire.ForwardService{{Name: "store", Store: &wire.CacheStore{Address: ln.Addr().String()}}}}}})
	time.Sleep(3 * storeRetryDelay / 2)
	is.True(accepted.Load() > 0)
	is.True(accepted.Load() <= 4) // a connection and a check that it is up, each storeRetryDelay
}
