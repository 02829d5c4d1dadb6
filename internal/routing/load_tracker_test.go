package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

// levels returns the levels of a prompt with a question of 100 tokens after
// 8,000 tokens of instruction and context.
func levels(context, question uint64) []*wire.PrefixLevel {
	const mixed = 0x9e3779b97f4a7c15
	return []*wire.PrefixLevel{
		{Key: mixed, Tokens: 1000},
		{Key: context * mixed, Tokens: 8000},
		{Key: question * mixed, Tokens: 8100},
	}
}

func holdsContext(l *LoadTracker, now time.Time, context uint64) bool {
	var f prefix.Filter
	return f.Unmarshal(l.Load(now).Held) && f.Has(levels(context, 0)[1].Key)
}

func TestLoadTrackerCountsWaitingRequests(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker(7)
	is.True(!l.Begin(start, "a", levels(2, 10)))
	is.True(!l.Begin(start, "b", levels(2, 11))) // little to compute, but it must run after "a"
	load := l.Load(start)
	is.Equal(load.Waiting, uint32(2))
	is.Equal(load.QueuedPrefillTokens, uint32(8200))
	is.Equal(load.QueuedShortTokens, uint32(0))
	is.Equal(load.EngineIncarnation, uint64(7))
	l.FirstToken(start, "a")
	l.FirstToken(start, "b")
	is.True(l.Begin(start, "c", levels(2, 12))) // the context is held now
	load = l.Load(start.Add(utilizationTimeConstant))
	is.Equal(load.Running, uint32(2))
	is.Equal(load.QueuedShortTokens, uint32(100))
	is.True(load.BusyPermille > 600 && load.BusyPermille < 650) // one time constant
	for _, id := range []string{"a", "b", "c", "c", "unknown"} {
		l.End(start, id)
	}
	load = l.Load(start)
	is.Equal(load.Running+load.Waiting+load.QueuedPrefillTokens+load.QueuedShortTokens, uint32(0))
	is.Equal(len(l.computing), 0)
}

func TestLoadTrackerHoldings(t *testing.T) {
	evicted := prefix.EventBatch{Sequence: 1, Evicted: []uint64{levels(2, 0)[1].Key}}
	for name, c := range map[string]struct {
		do   func(l *LoadTracker)
		held bool
	}{
		"in flight":                 {func(l *LoadTracker) { l.Begin(start, "a", levels(2, 10)) }, true},
		"failed before first token": {func(l *LoadTracker) { l.Begin(start, "a", levels(2, 10)); l.End(start, "a") }, false},
		"computed":                  {func(l *LoadTracker) { l.Begin(start, "a", levels(2, 10)); l.FirstToken(start, "a"); l.End(start, "a") }, true},
		"evicted": {func(l *LoadTracker) {
			l.Begin(start, "a", levels(2, 10))
			l.FirstToken(start, "a")
			l.ApplyEvents(start, evicted)
		}, false},
		"resynced as held": {func(l *LoadTracker) {
			l.Begin(start, "a", levels(2, 10))
			l.FirstToken(start, "a")
			l.Resync(start, []uint64{levels(2, 0)[1].Key})
		}, true},
		"resynced as gone": {func(l *LoadTracker) {
			l.Begin(start, "a", levels(2, 10))
			l.FirstToken(start, "a")
			l.Resync(start, nil)
		}, false},
		"resynced while in flight": {func(l *LoadTracker) { l.Begin(start, "a", levels(2, 10)); l.Resync(start, nil) }, true},
		"engine restarted":         {func(l *LoadTracker) { l.Begin(start, "a", levels(2, 10)); l.FirstToken(start, "a"); l.Restart(8) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLoadTracker(7)
			c.do(l)
			is.Equal(holdsContext(l, start, 2), c.held)
		})
	}
}

func TestPrefixesAboutToBeEvictedAreNotReported(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker(7)
	for i, context := range []uint64{2, 3} {
		id := fmt.Sprint(context)
		at := start.Add(time.Duration(i) * 5 * time.Second)
		l.Begin(at, id, levels(context, 10))
		l.FirstToken(at, id)
		l.End(at, id)
	}
	now := start.Add(10 * time.Second)
	is.True(holdsContext(l, now, 3))
	l.ApplyEvents(now, prefix.EventBatch{Sequence: 1, Evicted: []uint64{levels(2, 0)[1].Key}}) // idle for 10 s
	is.True(holdsContext(l, now, 3))
	is.True(!holdsContext(l, now.Add(3*time.Second), 3)) // idle for 8 s
}

// reportTraffic returns the bytes per second that load reports, which list the
// cached prefixes, add to a router's traffic when it sends the given number of
// requests a second. Each answer contains two reports. Each reply to a probe
// contains one, and the whole traffic of the probe counts.
func reportTraffic(t testing.TB, backends int, rate float64) (answers, probes float64) {
	const seconds = 20
	r := newRouter(backends)
	trackers := make(map[string]*LoadTracker)
	for i, m := range members(backends) {
		l := NewLoadTracker(1)
		for k := range 40 {
			id := fmt.Sprint(k)
			l.Begin(start, id, levels(uint64(100*i+k+2), 1))
			if k < 30 {
				l.FirstToken(start, id)
			}
		}
		trackers[m.Backend.Name] = l
	}
	now := start
	step := time.Duration(float64(time.Second) / rate)
	nextProbe := now
	for i := 0; now.Before(start.Add(seconds * time.Second)); i++ {
		req := request(fmt.Sprint("clamp", i%200), fmt.Sprint(i), 8000)
		d, err := r.Choose(now, req)
		if err != nil {
			t.Fatal(err)
		}
		r.Started(now, d)
		load := trackers[d.Backend.Name].Load(now)
		r.LoadReported(now, d.Backend.Name, load)
		r.Finished(now, d, &wire.End{Load: load})
		answers += 2 * float64(proto.Size(&wire.Started{Load: load})-proto.Size(&wire.Started{}))
		for !nextProbe.After(now) {
			for _, name := range r.ProbeDue(nextProbe, nil) {
				reply := &wire.ProbeReply{Load: trackers[name].Load(nextProbe), EngineIncarnation: 1}
				r.ProbeReplied(nextProbe, name, reply)
				call := &wire.Request{RequestId: "0123456789abcdef", TimeoutMs: 500, Body: &wire.Request_Probe{Probe: &wire.Probe{}}}
				answer := &wire.Response{Body: &wire.Response_ProbeReply{ProbeReply: reply}}
				probes += float64(proto.Size(call) + proto.Size(answer) + 4*yamuxHeader)
			}
			nextProbe = nextProbe.Add(probeInterval)
		}
		now = now.Add(step)
	}
	return answers / seconds, probes / seconds
}

// yamuxHeader is the size of a yamux frame header, in bytes.
const yamuxHeader = 12

// requestsPerNode is the number of requests a second of one node, if the required
// 3,100 requests a second are spread over 400 nodes.
const requestsPerNode = 3100.0 / 400

// TestReportTrafficPerNode checks the traffic of load reports against the
// required limit of 9 KB a second for each node.
func TestReportTrafficPerNode(t *testing.T) {
	for _, n := range []int{18, 100, 400, 4000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			answers, probes := reportTraffic(t, n, requestsPerNode)
			t.Logf("%d backend servers: %.0f bytes/s on answers, %.0f on probes", n, answers, probes)
			if answers+probes > 9000 {
				t.Errorf("%.0f bytes/s, bound 9000", answers+probes)
			}
		})
	}
}
