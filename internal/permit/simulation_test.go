package permit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// Times of the simulation.
const (
	simStep        = 5 * time.Millisecond
	simAnswerTime  = 20 * time.Millisecond
	simRoundTrip   = 10 * time.Millisecond
	simLimitsEvery = 500 * time.Millisecond
	// simSettleTime is the time after a server first names a limit from which on it holds.
	simSettleTime = 3 * time.Second
	// simNewsTime is the time in which a router is to act on what a server names.
	simNewsTime = 500 * time.Millisecond
	// simWindow is the time over which the limit is checked.
	simWindow = 4 * time.Second
)

// simulation plays routers that send requests to backend servers with limits.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	start   time.Time
	routers []*simRouter
	leader  *Allocator
	servers []*simServer
}

// simServer is a backend server.
type simServer struct {
	key Key
	// limit returns the limit that it names at a time since the start; 0 for none.
	limit func(time.Duration) float64
	// arrivals holds the time of each request since the start, by urgency.
	arrivals [urgencies][]time.Duration
}

// simRouter is a router, with the load that comes to it.
type simRouter struct {
	name string
	// perSecond returns the load of one urgency in requests a second.
	perSecond func(at time.Duration, urgency int) float64
	holder    *Holder
	// cut is set while the router can't reach the leader, and down while it does not run.
	cut, down   bool
	nextRequest time.Time
	events      []simEvent
	bytes       int
	refused     [urgencies]int
	runs        int
}

// simEvent is a message on its way to a router.
type simEvent struct {
	at time.Time
	do func()
}

func newSimulation(t *testing.T, seed uint64, routers, servers int, limit func(time.Duration) float64, perSecond func(router int) func(time.Duration, int) float64) *simulation {
	start := time.Unix(1e9, 0)
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, leader: NewAllocator()}
	for i := range servers {
		sim.servers = append(sim.servers, &simServer{key: Key(1000 + i), limit: limit})
	}
	for i := range routers {
		r := &simRouter{name: fmt.Sprintf("router-%d", i), perSecond: perSecond(i)}
		sim.startRouter(r)
		r.nextRequest = start.Add(time.Duration(sim.random.Int64N(int64(MinInterval))))
		sim.routers = append(sim.routers, r)
	}
	return sim
}

// startRouter starts a router anew: it knows nothing but what the leader tells all routers.
func (sim *simulation) startRouter(r *simRouter) {
	r.runs++
	r.holder = NewHolder(fmt.Sprintf("%s/%d", r.name, r.runs))
	r.events, r.down = nil, false
	if sim.leader != nil && !r.cut {
		r.holder.Told(sim.now, sim.leader.Limits(sim.now, func(Key) bool { return true }))
	}
}

// run plays on until a time since the start, and calls at with each step.
func (sim *simulation) run(until time.Duration, at func(time.Duration)) {
	for ; sim.elapsed() < until; sim.now = sim.now.Add(simStep) {
		at(sim.elapsed())
		if sim.elapsed()%simLimitsEvery == 0 && sim.leader != nil {
			limits := sim.leader.Limits(sim.now, func(Key) bool { return true })
			for _, r := range sim.routers {
				if !r.down && !r.cut {
					r.bytes += proto.Size(&wire.LoadDigest{Limits: limits})
					r.holder.Told(sim.now, limits)
				}
			}
		}
		for _, r := range sim.routers {
			if !r.down {
				sim.step(r)
			}
		}
	}
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

func (sim *simulation) step(r *simRouter) {
	for len(r.events) > 0 && !r.events[0].at.After(sim.now) {
		do := r.events[0].do
		r.events = r.events[1:]
		do()
	}
	for urgency := range urgencies {
		rate := r.perSecond(sim.elapsed(), urgency)
		if rate > 0 && sim.random.Float64() < rate*simStep.Seconds() {
			sim.call(r, uint32(urgency))
		}
	}
	if !sim.now.Before(r.nextRequest) {
		r.nextRequest = sim.now.Add(r.holder.Interval())
		sim.exchange(r)
	}
}

// call sends a request to a server that has room, or refuses it. If there is no room, it may
// wait for one more exchange with the leader.
func (sim *simulation) call(r *simRouter, urgency uint32) {
	preferred := sim.random.IntN(len(sim.servers))
	if sim.send(r, preferred, urgency) {
		return
	}
	if !r.holder.Miss(sim.now, sim.servers[preferred].key, urgency) {
		r.refused[urgency]++
		return
	}
	sim.exchange(r)
	sim.after(r, simRoundTrip, func() {
		if !sim.send(r, preferred, urgency) {
			r.refused[urgency]++
		}
	})
}

// send sends a request to the first server that has room, and reports whether there is one.
func (sim *simulation) send(r *simRouter, preferred int, urgency uint32) bool {
	for i := range sim.servers {
		s := sim.servers[(preferred+i)%len(sim.servers)]
		r.holder.Want(s.key, urgency)
		if !r.holder.HasRoom(sim.now, s.key, urgency) {
			continue
		}
		r.holder.Take(sim.now, s.key, urgency)
		s.arrivals[urgency] = append(s.arrivals[urgency], sim.elapsed())
		holder, sentAt, limit := r.holder, sim.now, s.limit(sim.elapsed())
		sim.after(r, simAnswerTime, func() { holder.Heard(sim.now, sentAt, s.key, limit) })
		return true
	}
	return false
}

// exchange asks the leader for permits. The request reaches it after half a round trip.
func (sim *simulation) exchange(r *simRouter) {
	req := r.holder.Request(sim.now)
	if req == nil || r.cut || sim.leader == nil {
		return
	}
	r.bytes += proto.Size(req)
	holder, sentAt := r.holder, sim.now
	reply := sim.leader.Handle(sim.now.Add(simRoundTrip/2), req)
	r.bytes += proto.Size(reply)
	sim.after(r, simRoundTrip, func() { holder.Receive(sim.now, sentAt, reply) })
}

func (sim *simulation) after(r *simRouter, delay time.Duration, do func()) {
	at := sim.now.Add(delay)
	i := len(r.events)
	for i > 0 && r.events[i-1].at.After(at) {
		i--
	}
	r.events = slices.Insert(r.events, i, simEvent{at, do})
}

// count returns the number of requests that came in a time, of all urgencies.
func (s *simServer) count(from, to time.Duration) int {
	n := 0
	for urgency := range urgencies {
		n += s.countOf(urgency, from, to)
	}
	return n
}

func (s *simServer) countOf(urgency int, from, to time.Duration) int {
	n := 0
	for _, at := range s.arrivals[urgency] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// checkLimits fails the test if a server got over one and a half times its limit, and five
// requests, in simWindow, from simSettleTime after it first named it. What counts is the highest
// limit that it named in that window or simNewsTime before.
func (sim *simulation) checkLimits() {
	sim.t.Helper()
	const step = 100 * time.Millisecond
	for _, s := range sim.servers {
		named := time.Duration(-1)
		for from := time.Duration(0); from+simWindow <= sim.elapsed(); from += step {
			highest, always := 0.0, true
			for at := max(0, from-simNewsTime); at <= from+simWindow; at += step {
				limit := s.limit(at)
				highest, always = max(highest, limit), always && (limit > 0 || at < from)
			}
			if !always {
				named = -1
				continue
			}
			if named < 0 {
				named = from
			}
			if from < named+simSettleTime {
				continue
			}
			if got, allowed := s.count(from, from+simWindow), 1.5*highest*simWindow.Seconds()+5; float64(got) > allowed {
				sim.t.Errorf("server %d got %d requests from %v on, allowed %.0f", s.key, got, from, allowed)
				return
			}
		}
	}
}

// maxBytesPerSecond is what a VM may spend on control.
const maxBytesPerSecond = 9000

func (sim *simulation) checkBytes() {
	sim.t.Helper()
	for _, r := range sim.routers {
		if perSecond := float64(r.bytes) / sim.elapsed().Seconds(); perSecond > maxBytesPerSecond {
			sim.t.Errorf("%s exchanged %.0f B/s for permits", r.name, perSecond)
		}
	}
}

func constant(limit float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return limit }
}

// from returns a limit that is named from a time on.
func from(start time.Duration, limit float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < start {
			return 0
		}
		return limit
	}
}

// even returns a load of one urgency that is the same at all routers.
func even(perSecond float64) func(int) func(time.Duration, int) float64 {
	return func(int) func(time.Duration, int) float64 {
		return func(_ time.Duration, urgency int) float64 {
			if urgency == 1 {
				return perSecond
			}
			return 0
		}
	}
}

// Guards against limits that are kept by each router for itself: the requests of all routers together
// stay within a limit whatever happens to routers and to the leader.
func TestLimitHoldsOverAllRouters(t *testing.T) {
	const length = 40 * time.Second
	faults := map[string]func(sim *simulation, at time.Duration){
		"none": func(*simulation, time.Duration) {},
		"routers cut off in turn": func(sim *simulation, at time.Duration) {
			if at%time.Second == 0 {
				sim.routers[int(at/time.Second)%len(sim.routers)].cut = at%(2*time.Second) == 0
			}
		},
		"half of the routers cut off": func(sim *simulation, at time.Duration) {
			for i, r := range sim.routers {
				r.cut = i%2 == 0 && at >= 12*time.Second && at < 20*time.Second
			}
		},
		"routers restart in turn": func(sim *simulation, at time.Duration) {
			if at%(300*time.Millisecond) == 0 {
				sim.startRouter(sim.routers[int(at/(300*time.Millisecond))%len(sim.routers)])
			}
		},
		"all routers restart": func(sim *simulation, at time.Duration) {
			if at == 15*time.Second {
				for _, r := range sim.routers {
					sim.startRouter(r)
				}
			}
		},
		"routers join and leave": func(sim *simulation, at time.Duration) {
			for i, r := range sim.routers {
				down := i%3 == 0 && (at/(5*time.Second))%2 == 0
				if r.down && !down {
					sim.startRouter(r)
				}
				r.down = down
			}
		},
		"another leader, after a time without one": func(sim *simulation, at time.Duration) {
			switch at {
			case 14 * time.Second:
				sim.leader = nil
			case 16 * time.Second:
				sim.leader = NewAllocator()
			}
		},
	}
	limits := map[string]func(time.Duration) float64{
		"low":  from(5*time.Second, 2.5),
		"high": from(5*time.Second, 60),
		"falls and rises": func(at time.Duration) float64 {
			return []float64{0, 40, 8, 40}[min(at/(10*time.Second), 3)]
		},
		"ends and comes again": func(at time.Duration) float64 {
			if (at/(9*time.Second))%2 == 1 {
				return 6
			}
			return 0
		},
	}
	for _, routers := range []int{8, 80} {
		for faultName, fault := range faults {
			for limitName, limit := range limits {
				t.Run(fmt.Sprintf("%d routers/%s/%s", routers, faultName, limitName), func(t *testing.T) {
					sim := newSimulation(t, 7, routers, 3, limit, even(400/float64(routers)))
					sim.run(length, func(at time.Duration) { fault(sim, at) })
					sim.checkLimits()
					sim.checkBytes()
				})
			}
		}
	}
}

// Guards against limits that leave backend servers idle: as long as there is more demand than
// room, most of the room is used, at whatever routers the demand is.
func TestRoomFollowsDemand(t *testing.T) {
	const limit, length, settled = 20, 60 * time.Second, 10 * time.Second
	cases := map[string]func(router int) func(time.Duration, int) float64{
		"everywhere": even(4),
		"at one router": func(router int) func(time.Duration, int) float64 {
			return even(map[bool]float64{true: 60}[router == 0])(router)
		},
		"moves to other routers": func(router int) func(time.Duration, int) float64 {
			return func(at time.Duration, urgency int) float64 {
				if urgency != 1 || (router%2 == 0) != (at < 30*time.Second) {
					return 0
				}
				return 8
			}
		},
	}
	for name, load := range cases {
		for _, routers := range []int{8, 80} {
			t.Run(fmt.Sprintf("%s/%d routers", name, routers), func(t *testing.T) {
				sim := newSimulation(t, 3, routers, 1, constant(limit), load)
				sim.run(length, func(time.Duration) {})
				sim.checkLimits()
				sim.checkBytes()
				got := float64(sim.servers[0].count(settled, length)) / (length - settled).Seconds()
				t.Logf("%.1f requests a second of %d", got, limit)
				if got < 0.8*limit {
					t.Errorf("%.1f requests a second were sent, the limit is %d", got, limit)
				}
			})
		}
	}
}

// Guards against equal shares: a router with more demand gets as much more of the room.
func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	sent := make([]int, 8)
	sim := newSimulation(t, 5, len(sent), 1, constant(20), func(router int) func(time.Duration, int) float64 { return even(float64(4 * (1 + router%4)))(router) })
	sim.run(60*time.Second, func(time.Duration) {})
	total := make([]float64, 4)
	for i, r := range sim.routers {
		total[i%4] += 60*4*float64(1+i%4) - float64(r.refused[1])
	}
	t.Logf("answered by load: %.0f", total)
	for i := 1; i < 4; i++ {
		ratio := total[i] / total[0] / float64(i+1)
		is.True(ratio > 0.6 && ratio < 1.6) // about in proportion
	}
}

// Guards against room that goes to those who come first: while there is too little, urgent
// requests are sent and the others are turned away.
func TestUrgentRequestsComeFirst(t *testing.T) {
	for _, routers := range []int{8, 80} {
		sim := newSimulation(t, 9, routers, 1, constant(30), func(int) func(time.Duration, int) float64 {
			return func(_ time.Duration, urgency int) float64 {
				return map[int]float64{0: 20, 4: 100}[urgency] / float64(routers)
			}
		})
		sim.run(40*time.Second, func(time.Duration) {})
		sim.checkLimits()
		urgent := float64(sim.servers[0].countOf(0, 10*time.Second, 40*time.Second)) / 30
		other := float64(sim.servers[0].countOf(4, 10*time.Second, 40*time.Second)) / 30
		t.Logf("%d routers: %.1f of 20 urgent requests a second, %.1f of 100 others", routers, urgent, other)
		if urgent < 0.75*20 {
			t.Errorf("%d routers: %.1f of 20 urgent requests a second were sent", routers, urgent)
		}
	}
}

// Guards against messages that grow with the installation.
func TestPermitBytesAreBounded(t *testing.T) {
	sim := newSimulation(t, 11, 80, 400, constant(3), even(40))
	sim.run(10*time.Second, func(time.Duration) {})
	sim.checkBytes()
	t.Logf("%.0f B/s at a router", float64(sim.routers[0].bytes)/10)
}

// Guards against a share of the room that goes to waste: where each router sends a server less
// than a request in the time for which a permit is valid, its room is used nevertheless.
func TestRoomIsUsedByRareRequests(t *testing.T) {
	for _, routers := range []int{8, 80} {
		sim := newSimulation(t, 3, routers, 13, constant(3), even(104/float64(routers)))
		sim.run(40*time.Second, func(time.Duration) {})
		sim.checkLimits()
		got := 0.0
		for _, s := range sim.servers {
			got += float64(s.count(10*time.Second, 40*time.Second)) / 30
		}
		t.Logf("%d routers: %.1f requests a second of 39", routers, got)
		if got < 0.8*39 {
			t.Errorf("%d routers: %.1f requests a second were sent, the limits are 39", routers, got)
		}
	}
}
