package control

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"parsleypulley/internal/reach"
	"parsleypulley/internal/wire"
)

// Guards against a server that is suspected though it answers, is not ready or has been replaced,
// and against one that changes its state with each heartbeat.
func TestCheckPlanSuspects(t *testing.T) {
	const ready, suspected = wire.BackendState_BACKEND_STATE_READY, wire.BackendState_BACKEND_STATE_SUSPECTED
	type check struct {
		at          time.Duration
		result      reach.Result
		state       wire.BackendState
		incarnation uint64
		suspect     bool
	}
	for name, checks := range map[string][]check{
		"unreachable":             {{0, reach.Unreachable, ready, 1, true}},
		"reachable":               {{0, reach.Reachable, ready, 1, false}},
		"unknown":                 {{0, reach.Unknown, ready, 1, false}},
		"suspected already":       {{0, reach.Unreachable, suspected, 1, false}},
		"replaced meanwhile":      {{0, reach.Unreachable, ready, 2, false}},
		"recovers by a heartbeat": {{0, reach.Unreachable, ready, 1, true}, {1200 * time.Millisecond, reach.Unreachable, ready, 1, false}},
		"unknown does not clear":  {{0, reach.Unreachable, ready, 1, true}, {time.Second, reach.Unknown, ready, 1, false}, {2 * time.Second, reach.Unreachable, ready, 1, false}},
		"reached meanwhile":       {{0, reach.Unreachable, ready, 1, true}, {time.Second, reach.Reachable, ready, 1, false}, {2 * time.Second, reach.Unreachable, ready, 1, true}},
		"unreachable for long":    {{0, reach.Unreachable, ready, 1, true}, {suspectAgainAfter, reach.Unreachable, ready, 1, true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newCheckPlan()
			b := &wire.Backend{Name: "b", AgentIncarnation: 1}
			for _, c := range checks {
				is.True(p.request(b))
				member := &wire.Member{State: c.state, Backend: &wire.Backend{Name: "b", AgentIncarnation: c.incarnation}}
				suspect, next := p.finished(time.Unix(1000, 0).Add(c.at), b, c.result, member)
				is.Equal(suspect, c.suspect)
				is.Equal(next, nil)
			}
		})
	}
}

// Guards against a server that seems to be suspected twice: its heartbeats stay away at the time at which
// a check does not reach it, and the leader logged both proposals as changes.
func TestSuspicionProposedTwiceIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	logger, logged := log.Log.(*log.Logger), memory.New()
	before := logger.Handler
	log.SetHandler(logged)
	t.Cleanup(func() { log.SetHandler(before) })
	r := newReplica()
	r.apply(joinCommand("a", 5))
	change := &wire.BackendChange{Kind: wire.BackendChange_KIND_SUSPECT, Name: "a", AgentIncarnation: 5}
	command := backendCommands([]*wire.BackendChange{change})[0]
	l := &leader{}
	l.recordResult(change, r.apply(command).GetBackend())
	is.Equal(len(logged.Entries), 1)
	is.Equal(r.Log().Snapshot().Member("a").GetState(), wire.BackendState_BACKEND_STATE_SUSPECTED)
	l.recordResult(change, r.apply(command).GetBackend())
	is.Equal(len(logged.Entries), 1)
}

// hangingDialer never opens a connection to addresses other than reachable. It records how many
// checks run at most at the same time; each has up to two connections.
type hangingDialer struct {
	reachable      string
	open, mostOpen atomic.Int32
}

func (d *hangingDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	if address == d.reachable {
		return nil, syscall.ECONNREFUSED
	}
	open := d.open.Add(1)
	defer d.open.Add(-1)
	for most := d.mostOpen.Load(); open > most && !d.mostOpen.CompareAndSwap(most, open); most = d.mostOpen.Load() {
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a leader that opens connections without bound when many servers are dark, checks
// one more than once, leaves some out, or suspects one that it reaches.
func TestLeaderChecksManyServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const servers = 100
		dialer := &hangingDialer{reachable: "10.0.0.7:80"}
		var mu sync.Mutex
		suspected := map[string]int{}
		members := map[string]*wire.Member{}
		r := newReachability(dialer, func(name string) *wire.Member { return members[name] }, func(c *wire.BackendChange) {
			mu.Lock()
			defer mu.Unlock()
			if c.GetKind() == wire.BackendChange_KIND_SUSPECT && c.GetAgentIncarnation() == 3 {
				suspected[c.GetName()]++
			}
		})
		for i := range servers {
			b := &wire.Backend{Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:80", i), AgentIncarnation: 3}
			members[b.GetName()] = &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: b}
		}
		for range 3 { // as by several routers
			for _, m := range members {
				r.check(m.GetBackend())
			}
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(len(suspected), servers-1)
		is.Equal(suspected["7"], 0)
		is.True(dialer.mostOpen.Load() <= 2*maxChecks)
	})
}

// Guards against a leader that checks all engines as it is short of processor time itself, and
// against engines that have answered being checked.
func TestSlowReportsLeadToFewChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines = 8 * maxChecksPerReports
		var replies []engineReply
		for i := range engines {
			replies = append(replies, engineReply{backend: &wire.Backend{Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:80", i)}})
		}
		var mu sync.Mutex
		checked := map[string]int{}
		dialer := dialerFunc(func(address string) {
			mu.Lock()
			defer mu.Unlock()
			checked[address]++
		})
		// Every second engine has answered, and of the others half are suspected already.
		member := func(name string) *wire.Member {
			if i, _ := strconv.Atoi(name); i%4 == 3 {
				return &wire.Member{State: wire.BackendState_BACKEND_STATE_SUSPECTED}
			}
			return &wire.Member{State: wire.BackendState_BACKEND_STATE_READY}
		}
		r := newReachability(dialer, member, func(*wire.BackendChange) { t.Error("suspected") })
		for round := range 2 {
			r.checkSlow(replies, func(i int) bool { return i%2 == 0 })
			time.Sleep(time.Second)
			mu.Lock()
			is.Equal(len(checked), (round+1)*maxChecksPerReports) // the next ones each time
			mu.Unlock()
		}
		for i := range engines {
			is.True(i%4 == 1 || checked[fmt.Sprintf("10.0.0.%d:80", i)] == 0)
		}
	})
}

// dialerFunc is a dialer that is refused.
type dialerFunc func(address string)

func (f dialerFunc) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	f(address)
	return nil, syscall.ECONNREFUSED
}
