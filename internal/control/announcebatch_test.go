package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// heartbeatInterval is the time between two heartbeats of a backend server of the platform.
const heartbeatInterval = 1200 * time.Millisecond

func plainServer(i int) *wire.Backend {
	return &wire.Backend{Name: fmt.Sprintf("server-%d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), FailureDomain: "zone-1",
		Service: "one", SoftwareVersion: "v1", AgentIncarnation: 1787242372604, EngineIncarnation: 1787242372604, MaxRunning: 48,
		Models: []*wire.LoadedModel{{Model: "model-a", WeightsVersion: "3"}}}
}

// serversView returns a view with n ready servers.
func serversView(t testing.TB, n int) *view.Log {
	log := view.NewLog(view.DefaultLogLimits())
	v := &wire.View{Version: 1}
	for i := range n {
		v.Members = append(v.Members, &wire.Member{Backend: plainServer(i), State: wire.BackendState_BACKEND_STATE_READY})
	}
	if err := log.Reset(v); err != nil {
		t.Fatal(err)
	}
	return log
}

// sentAnnounces counts what a batcher sends.
type sentAnnounces struct {
	mu                    sync.Mutex
	alone, batches, bytes int
	// batched counts the announcements in batches, changes those in batches of changes; largest and
	// largestChanges are those of the largest one.
	batched, changes, largest, largestChanges int
	// largestBytes is the size of the largest batch.
	largestBytes int
	// decide returns the result of an announcement in a batch; nil accepts all.
	decide func(*wire.Announce) error
	// fail, if set, is the error of each batch.
	fail error
}

func (s *sentAnnounces) batcher(log *view.Log) *announceBatcher {
	return &announceBatcher{
		one: func(_ context.Context, a *wire.Announce) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.alone++
			s.bytes += proto.Size(&wire.Request{Body: &wire.Request_Announce{Announce: a}})
			return nil
		},
		many: func(_ context.Context, batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.batches++
			s.batched += len(batch.GetAnnounces())
			s.largest = max(s.largest, len(batch.GetAnnounces()))
			s.largestBytes = max(s.largestBytes, proto.Size(batch))
			if batch.GetChanges() {
				s.changes += len(batch.GetAnnounces())
				s.largestChanges = max(s.largestChanges, len(batch.GetAnnounces()))
			}
			s.bytes += proto.Size(&wire.Request{Body: &wire.Request_AnnounceBatch{AnnounceBatch: batch}})
			if s.fail != nil {
				return nil, s.fail
			}
			reply := &wire.AnnounceBatchReply{}
			for _, a := range batch.GetAnnounces() {
				result := &wire.AnnounceResult{}
				if s.decide != nil {
					if err := s.decide(a); err != nil {
						result.Error = fault.ToWire(fault.From(err))
					}
				}
				reply.Results = append(reply.Results, result)
			}
			return reply, nil
		},
		snapshot: log.Snapshot,
	}
}

// Guards against a call to the leader for each heartbeat, which took most of its processor at 3,000
// servers, and against heartbeats that wait where there are few of them.
func TestHeartbeatsAreBatched(t *testing.T) {
	const length = 12 * time.Second
	for _, servers := range []int{30, 300, 1000, 4000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sent := &sentAnnounces{}
				b := sent.batcher(serversView(t, servers))
				var group sync.WaitGroup
				var mu sync.Mutex
				longest, failed := time.Duration(0), 0
				for i := range servers {
					group.Go(func() {
						time.Sleep(heartbeatInterval * time.Duration(i) / time.Duration(servers))
						for number := range int(length / heartbeatInterval) {
							began := time.Now()
							err := b.forward(t.Context(), &wire.Announce{Backend: plainServer(i), Sequence: uint64(number + 1)})
							mu.Lock()
							longest = max(longest, time.Since(began))
							if err != nil {
								failed++
							}
							mu.Unlock()
							time.Sleep(heartbeatInterval - time.Since(began))
						}
					})
				}
				group.Wait()
				t.Logf("%d servers: %d alone, %d batches, largest %d, %d bytes a second, longest wait %v",
					servers, sent.alone, sent.batches, sent.largest, sent.bytes/int(length/time.Second), longest)
				is.Equal(failed, 0)
				is.Equal(sent.alone+sent.batched, servers*int(length/heartbeatInterval)) // each is sent once
				is.True(longest <= batchDelay)
				is.True(sent.largest <= maxBatchAnnounces)
				perSecond := servers * int(time.Second) / int(heartbeatInterval)
				if perSecond < 100 {
					is.Equal(longest, time.Duration(0))
					is.Equal(sent.batches, 0)
					return
				}
				is.True(sent.alone <= 2*minBatchedAnnounces) // only before the rate is known
				is.True(sent.batches <= int(length/batchDelay)+servers*int(length/heartbeatInterval)/maxBatchAnnounces)
			})
		})
	}
}

// Guards against changes in a batch whose leader decides nothing, against renewals that wait for the commit of
// others, and against servers that leave and learn it with others.
func TestChangesAreSentApart(t *testing.T) {
	known := func(change func(a *wire.Announce)) *wire.Announce {
		a := &wire.Announce{Backend: plainServer(1), Sequence: 7}
		change(a)
		return a
	}
	const alone, renewal, change = "alone", "renewal", "change"
	for name, c := range map[string]struct {
		announce *wire.Announce
		sent     string
	}{
		"renewal":           {known(func(*wire.Announce) {}), renewal},
		"leaving":           {known(func(a *wire.Announce) { a.Leaving = true }), alone},
		"invalid":           {known(func(a *wire.Announce) { a.Backend.Name = "odd\xff" }), alone},
		"unknown server":    {known(func(a *wire.Announce) { a.Backend.Name = "other" }), change},
		"later incarnation": {known(func(a *wire.Announce) { a.Backend.AgentIncarnation++ }), change},
		"other address":     {known(func(a *wire.Announce) { a.Backend.Address = "10.0.0.99:80" }), change},
		"other software":    {known(func(a *wire.Announce) { a.Backend.SoftwareVersion = "v2" }), change},
		"other weights":     {known(func(a *wire.Announce) { a.Backend.Models[0].WeightsVersion = "4" }), change},
		"other slots":       {known(func(a *wire.Announce) { a.Backend.MaxRunning = 4 }), change},
		"suspected":         {known(func(a *wire.Announce) { a.Backend.Name, a.Backend.Address = "suspect", "10.0.0.98:80" }), change},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := serversView(t, 3)
				v := &wire.View{Version: 2, Members: log.Snapshot().Members()}
				suspect := plainServer(1)
				suspect.Name, suspect.Address = "suspect", "10.0.0.98:80"
				v.Members = append(v.Members, &wire.Member{Backend: suspect, State: wire.BackendState_BACKEND_STATE_SUSPECTED})
				if err := log.Reset(v); err != nil {
					t.Fatal(err)
				}
				how := func(log *view.Log) string {
					sent := &sentAnnounces{}
					b := sent.batcher(log)
					for range minBatchedAnnounces {
						b.renewals.rate.add(time.Now())
						b.changes.rate.add(time.Now())
					}
					is.New(t).NoErr(b.forward(t.Context(), c.announce))
					is.New(t).Equal(sent.alone+sent.batched, 1)
					switch {
					case sent.alone == 1:
						return alone
					case sent.changes == 1:
						return change
					}
					return renewal
				}
				is.New(t).Equal(how(log), c.sent)
				withoutView := change
				if c.sent == alone {
					withoutView = alone
				}
				is.New(t).Equal(how(view.NewLog(view.DefaultLogLimits())), withoutView)
			})
		})
	}
}

// Guards against a call to the leader for each server when all start at once, against servers that wait where few
// start, and against batches that hold more than what is applied, or sent, in a short time.
func TestRegistrationsAreBatched(t *testing.T) {
	const length = 3 * time.Second
	for name, c := range map[string]struct{ servers, models, batches int }{
		"a few":      {200, 1, 0},
		"3,000":      {3000, 1, int(length / batchDelay)},
		"at once":    {30000, 1, 30000/maxBatchChanges + 1},
		"large ones": {3000, 60, 3000 / (maxBatchSize / (60 * 140)) * 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sent := &sentAnnounces{}
				b := sent.batcher(serversView(t, 1))
				var group sync.WaitGroup
				var mu sync.Mutex
				longest := time.Duration(0)
				models := make([]*wire.LoadedModel, c.models)
				for i := range models {
					models[i] = &wire.LoadedModel{Model: fmt.Sprint(strings.Repeat("m", 120), i), WeightsVersion: "3"}
				}
				for i := range c.servers {
					group.Go(func() {
						time.Sleep(length * time.Duration(i) / time.Duration(c.servers))
						began := time.Now()
						server := plainServer(i + 1)
						server.Models = models
						is.NoErr(b.forward(t.Context(), &wire.Announce{Backend: server, Sequence: 1}))
						mu.Lock()
						defer mu.Unlock()
						longest = max(longest, time.Since(began))
					})
				}
				group.Wait()
				t.Logf("%d servers: %d alone, %d batches, largest %d and %d bytes, longest wait %v", c.servers, sent.alone, sent.batches, sent.largest, sent.largestBytes, longest)
				is.Equal(sent.alone+sent.changes, c.servers) // each is sent once
				is.True(longest <= batchDelay)
				is.True(sent.largest <= maxBatchChanges)
				is.True(sent.largestBytes <= maxBatchSize+64<<10)
				is.True(sent.batches <= c.batches)
				if c.batches == 0 {
					is.Equal(longest, time.Duration(0))
					return
				}
				is.True(sent.alone <= 2*minBatchedAnnounces) // only before the rate is known
			})
		})
	}
}

// Guards against a server that gets the result of another, or none: the leader wants one
// announcement by itself, has another error for the next, and the call fails as a whole.
func TestEachServerGetsItsOwnResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const servers = 300
		broken := fault.New(fault.Unavailable, fault.Unknown, "no leader")
		sent := &sentAnnounces{decide: func(a *wire.Announce) error {
			switch a.GetBackend().GetName() {
			case "server-100":
				return fault.New(fault.Conflict, fault.NotRun, "the announcement changes something")
			case "server-200":
				return fault.New(fault.BadRequest, fault.NotRun, "no")
			}
			return nil
		}}
		b := sent.batcher(serversView(t, servers))
		for range minBatchedAnnounces {
			b.renewals.rate.add(time.Now())
		}
		announceAll := func() []error {
			results := make([]error, servers)
			var group sync.WaitGroup
			for i := range servers {
				group.Go(func() { results[i] = b.forward(t.Context(), &wire.Announce{Backend: plainServer(i)}) })
			}
			group.Wait()
			return results
		}
		for i, err := range announceAll() {
			is.Equal(err != nil, i == 200)
		}
		is.Equal(sent.alone, 1) // server-100
		is.Equal(sent.batches, 2)
		sent.fail = broken
		for _, err := range announceAll() {
			is.True(errors.Is(err, broken))
		}
		// A leader of an earlier version does not know batches: each is sent by itself.
		sent.fail = fault.New(fault.BadRequest, fault.NotRun, "control replicas don't take this call")
		for _, err := range announceAll() {
			is.NoErr(err)
		}
		is.Equal(sent.alone, 1+servers)
		// A server that gives up does not keep its batch from being sent, and is not in it.
		sent.fail = nil
		before := sent.batched
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(fault.Is(b.forward(ctx, &wire.Announce{Backend: plainServer(1)}), fault.DeadlineExceeded))
		is.NoErr(b.forward(t.Context(), &wire.Announce{Backend: plainServer(2)}))
		synctest.Wait()
		is.Equal(sent.batches, 7)
		is.Equal(sent.batched, before+1)
		is.True(fault.Is(b.forward(ctx, &wire.Announce{Backend: plainServer(1)}), fault.DeadlineExceeded))
		time.Sleep(batchDelay)
		synctest.Wait()
		is.Equal(sent.batches, 7) // nothing is left to send
	})
}

// joinServers commits the membership of n servers.
func joinServers(t testing.TB, l *leader, n int) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			if _, err := l.announce(t.Context(), &wire.Announce{Backend: plainServer(i), Sequence: 10}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if got := len(l.machine.Log().Snapshot().Members()); got != n {
		t.Fatalf("%d of %d servers joined", got, n)
	}
}

// receivesNoWork reports whether it is committed that an incarnation gets no new work.
func receivesNoWork(l *leader, b *wire.Backend) bool {
	m := l.machine.Log().Snapshot().Member(b.GetName())
	return l.machine.HasDeparted(b) && (m == nil || m.GetState() == wire.BackendState_BACKEND_STATE_DRAINING)
}

// Guards against a batch that proposes anything where nothing changes, against leases that it does
// not renew, and against changes that are decided within a batch without their server's knowledge.
func TestLeaderRenewsBatch(t *testing.T) {
	is := is.New(t)
	l := newLeading(t)
	joinServers(t, l, 4)
	renewed := func(i int) time.Time {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.leases.LastHeartbeat(plainServer(i).GetName())
	}
	before := l.node.Status().Commit
	times := []time.Time{renewed(0), renewed(1), renewed(2), renewed(3)}
	changed := plainServer(1)
	changed.SoftwareVersion = "v2"
	late := &wire.Announce{Backend: plainServer(2), Sequence: 9} // overtaken by number 10
	withAgent := plainServer(3)
	withAgent.AgentAddress = "10.0.0.9:7000"
	batch := &wire.AnnounceBatch{Announces: []*wire.Announce{{Backend: plainServer(0), Sequence: 11}, {Backend: changed, Sequence: 11}, late,
		{Backend: withAgent, Sequence: 11}, {Backend: plainServer(3), Sequence: 11, Leaving: true}}}
	reply, err := l.announceBatch(t.Context(), batch)
	is.NoErr(err)
	is.Equal(len(reply.GetResults()), 5)
	for i, wanted := range []bool{true, false, true, false, false} {
		failure := reply.GetResults()[i].GetError()
		is.Equal(failure == nil, wanted)
		if failure != nil {
			is.True(fault.Is(fault.FromWire(failure), fault.Conflict))
		}
	}
	is.True(renewed(0).After(times[0]))
	for i := 1; i < 4; i++ {
		is.Equal(renewed(i), times[i])
	}
	is.Equal(l.node.Status().Commit, before) // nothing was proposed

	// A drain is acknowledged only once it is committed; an earlier heartbeat in a batch does not undo it.
	_, err = l.announce(t.Context(), &wire.Announce{Backend: plainServer(3), Sequence: 12, Leaving: true})
	is.NoErr(err)
	is.True(receivesNoWork(l, plainServer(3)))
	reply, err = l.announceBatch(t.Context(), &wire.AnnounceBatch{Announces: []*wire.Announce{{Backend: plainServer(3), Sequence: 11}}})
	is.NoErr(err)
	is.True(reply.GetResults()[0].GetError() == nil)
	is.True(receivesNoWork(l, plainServer(3)))

	_, err = l.announceBatch(t.Context(), &wire.AnnounceBatch{Announces: make([]*wire.Announce, maxBatchAnnounces+1)})
	is.True(fault.Is(err, fault.BadRequest))
	l.stopLeading()
	_, err = l.announceBatch(t.Context(), batch)
	is.True(fault.Is(err, fault.NotLeader))
}

// Guards against changes in a batch that are answered before they are decided, that fail with others, or that
// are decided in another order than that of their server.
func TestLeaderDecidesBatchOfChanges(t *testing.T) {
	is := is.New(t)
	l := newLeading(t)
	joinServers(t, l, 4)
	member := func(name string) *wire.Member { return l.machine.Log().Snapshot().Member(name) }
	changed, late := plainServer(0), plainServer(1)
	changed.SoftwareVersion, late.SoftwareVersion = "v2", "v0"
	withAgent := plainServer(3)
	withAgent.AgentAddress = "10.0.0.9:7000"
	unusable := plainServer(5)
	unusable.Address = "10.0.0.9" // without a port
	before, later := plainServer(6), plainServer(6)
	later.AgentIncarnation++
	batch := &wire.AnnounceBatch{Changes: true, Announces: []*wire.Announce{
		{Backend: plainServer(4), Sequence: 1}, {Backend: changed, Sequence: 11}, {Backend: late, Sequence: 9}, {Backend: withAgent, Sequence: 11},
		{Backend: plainServer(2), Sequence: 11, Leaving: true}, {Backend: unusable, Sequence: 1}, {Backend: later, Sequence: 1}, {Backend: before, Sequence: 2},
		{Backend: plainServer(2), Sequence: 11}}}
	reply, err := l.announceBatch(t.Context(), batch)
	is.NoErr(err)
	for i, accepted := range []bool{true, true, true, false, false, true, true, true, true} {
		failure := reply.GetResults()[i].GetError()
		is.Equal(failure == nil, accepted)
		if failure != nil {
			is.True(fault.Is(fault.FromWire(failure), fault.Conflict)) // to be sent by itself
		}
	}
	// All is committed with the reply.
	is.True(member("server-4") != nil)
	is.Equal(member("server-0").GetBackend().GetSoftwareVersion(), "v2")
	is.Equal(member("server-1").GetBackend().GetSoftwareVersion(), "v1") // overtaken
	is.Equal(member("server-3").GetBackend().GetAgentAddress(), "")
	is.True(member("server-5") == nil)
	is.Equal(member("server-6").GetBackend().GetAgentIncarnation(), later.AgentIncarnation)
	is.Equal(member("server-2").GetState(), wire.BackendState_BACKEND_STATE_READY) // leaves by itself only

	// A server that leaves meanwhile stays so.
	_, err = l.announce(t.Context(), &wire.Announce{Backend: plainServer(2), Sequence: 12, Leaving: true})
	is.NoErr(err)
	_, err = l.announceBatch(t.Context(), &wire.AnnounceBatch{Changes: true, Announces: []*wire.Announce{{Backend: plainServer(2), Sequence: 11}}})
	is.NoErr(err)
	is.True(receivesNoWork(l, plainServer(2)))

	l.stopLeading()
	_, err = l.announceBatch(t.Context(), batch)
	is.True(fault.Is(err, fault.NotLeader))
}

// BenchmarkJoinBatch measures the join of one server in a batch of maxBatchChanges, with its commit at
// one replica, up to 3,000 members.
func BenchmarkJoinBatch(b *testing.B) {
	b.ReportAllocs()
	for n := 0; n < b.N; {
		b.StopTimer()
		l := newLeading(b)
		b.StartTimer()
		for first := 0; first < 3000 && n < b.N; first += maxBatchChanges {
			batch := &wire.AnnounceBatch{Changes: true}
			for i := first; i < first+maxBatchChanges; i++ {
				batch.Announces = append(batch.Announces, &wire.Announce{Backend: plainServer(i), Sequence: 1})
			}
			if _, err := l.announceBatch(b.Context(), batch); err != nil {
				b.Fatal(err)
			}
			n += maxBatchChanges
		}
	}
}

// BenchmarkRenewBatch measures the renewal of one lease in a batch of 64 at 3,000 members.
func BenchmarkRenewBatch(b *testing.B) {
	l := newLeading(b)
	joinServers(b, l, 3000)
	var batches []*wire.AnnounceBatch
	for first := 0; first+64 <= 3000; first += 64 {
		batch := &wire.AnnounceBatch{}
		for i := first; i < first+64; i++ {
			batch.Announces = append(batch.Announces, &wire.Announce{Backend: plainServer(i), Sequence: 11})
		}
		batches = append(batches, batch)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += 64 {
		if _, err := l.announceBatch(b.Context(), batches[n/64%len(batches)]); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against one announcement that no message can hold and that fails all others of its batch. A
// process that has just started takes any announcement into a batch.
func TestInvalidAnnouncementFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sent := &sentAnnounces{}
		b := sent.batcher(view.NewLog(view.DefaultLogLimits()))
		marshalled := func(m proto.Message) error {
			if _, err := proto.Marshal(m); err != nil {
				return fault.New(fault.Internal, fault.NotRun, "encode message: %w", err)
			}
			return nil
		}
		many, one := b.many, b.one
		b.many = func(ctx context.Context, batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error) {
			if err := marshalled(batch); err != nil {
				return nil, err
			}
			return many(ctx, batch)
		}
		b.one = func(ctx context.Context, a *wire.Announce) error { return errors.Join(marshalled(a), one(ctx, a)) }
		const servers = 100
		for i := range minBatchedAnnounces { // from here on they are collected
			is.NoErr(b.forward(t.Context(), &wire.Announce{Backend: plainServer(i), Sequence: 1}))
		}
		results := make([]error, servers)
		var group sync.WaitGroup
		for i := range servers {
			group.Go(func() {
				server := plainServer(i)
				if i == servers/2 {
					server.Name = "odd\xff"
				}
				results[i] = b.forward(t.Context(), &wire.Announce{Backend: server, Sequence: 1})
			})
		}
		group.Wait()
		is.True(sent.batches > 0)
		for i, err := range results {
			is.Equal(err != nil, i == servers/2) // only the invalid announcement fails
		}
	})
}
