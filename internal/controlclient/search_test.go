package controlclient

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// Guards against a search for the leader by each call that waits for it: during an election 200 waiting
// heartbeats took the processor from the election itself. Calls that begin later wait no longer for them.
func TestWaitingCallsShareTheSearch(t *testing.T) {
	is := is.New(t)
	const callers, election = 200, 500 * time.Millisecond
	client, replicas := startReplicas(t, 3)
	var leads atomic.Bool
	var refused atomic.Int64
	for i, r := range replicas {
		r.answer = func(ctx context.Context, n int, call *link.Call) error {
			if leads.Load() && i == 1 {
				return answerAsLeader(ctx, n, call)
			}
			refused.Add(1)
			return refuse(fault.NotLeader)(ctx, n, call)
		}
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	var led time.Time
	var longest time.Duration
	propose := func() {
		calls.Go(func() {
			began := time.Now()
			_, err := client.Propose(testContext(t), testCommand)
			is.NoErr(err)
			mu.Lock()
			defer mu.Unlock()
			if began.Before(led) {
				began = led
			}
			longest = max(longest, time.Since(began))
		})
	}
	for range callers {
		propose()
	}
	time.Sleep(election)
	mu.Lock()
	led = time.Now()
	mu.Unlock()
	asked := refused.Load()
	leads.Store(true)
	for range 10 {
		propose()
	}
	calls.Wait()
	t.Logf("%d requests in %v without a leader, the last call was answered %v after there was one", asked, election, longest)
	is.True(asked <= int64(election/(minRetryDelay/2))+1)
	is.True(longest < 2*maxRetryDelay)
	is.Equal(replicas[1].count()+replicas[0].count()+replicas[2].count(), callers+10+int(refused.Load()))
}

// Guards against calls that fail, or wait, because the call that asks for them is given up.
func TestCallsOutliveTheOneThatAsks(t *testing.T) {
	is := is.New(t)
	client, replicas := startReplicas(t, 1)
	asked := make(chan struct{})
	replicas[0].answer = func(ctx context.Context, n int, call *link.Call) error {
		if n == 0 {
			close(asked)
			return neverAnswer(ctx, n, call)
		}
		return answerAsLeader(ctx, n, call)
	}
	first, cancel := context.WithCancel(testContext(t))
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := client.Propose(first, testCommand)
		is.True(err != nil)
	})
	<-asked
	var served atomic.Int64
	for range 20 {
		calls.Go(func() {
			_, err := client.Propose(testContext(t), testCommand)
			is.NoErr(err)
			served.Add(1)
		})
	}
	time.Sleep(attemptShare / 4)
	is.Equal(replicas[0].count(), 1) // they wait for the first
	began := time.Now()
	cancel()
	calls.Wait()
	is.True(time.Since(began) < client.callTimeout/2)
	is.Equal(replicas[0].count(), 21)
}

// Guards against calls that wait for one that the replica answers late: other kinds of calls don't wait at
// all, and those of the same kind ask by themselves after a while.
func TestCallsWaitLittleForASlowOne(t *testing.T) {
	is := is.New(t)
	client, replicas := startReplicas(t, 1)
	replicas[0].answer = func(ctx context.Context, n int, call *link.Call) error {
		if n == 0 {
			return neverAnswer(ctx, n, call)
		}
		if call.Request.GetPropose() == nil {
			return refuse(fault.NotLeader)(ctx, n, call)
		}
		return answerAsLeader(ctx, n, call)
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	calls.Go(func() { _, _ = client.Propose(ctx, testCommand) })
	for replicas[0].count() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	short, stop := context.WithTimeout(ctx, attemptShare/2)
	defer stop()
	_, err := client.Permits(short, &wire.PermitRequest{})
	is.True(fault.Is(err, fault.Unavailable))
	is.True(replicas[0].count() >= 2) // asked at once
	_, err = client.Propose(testContext(t), testCommand)
	is.NoErr(err)
	is.True(time.Since(began) < client.callTimeout/2)
}

// Guards against results of calls that began before the leader changed: an old leader's late answer does not
// replace the new one, and its late failure does not begin a search.
func TestResultsOfAnEarlierSearchAreNotUsed(t *testing.T) {
	is := is.New(t)
	client := New(nil, []string{"a", "b", "c"}, nil)
	_, first := client.targetOf()
	client.answered("a", first)
	_, atA := client.targetOf()
	is.True(!client.failed("a", "", atA)) // one call finds that a does not lead any more
	_, searching := client.targetOf()
	client.answered("a", atA) // the late answer to another call
	is.True(client.target() != "a")
	is.True(client.found != nil)
	client.answered("b", searching)
	is.Equal(client.target(), "b")
	client.answered("a", atA)
	client.answered("c", searching)
	is.Equal(client.target(), "b")
	is.True(client.failed("a", "", atA)) // asks b at once
	is.True(client.failed("a", "c", atA))
	is.Equal(client.target(), "b")
	is.True(client.found == nil)
	is.True(!client.failed("b", "", searching)) // late, but from the leader itself
	is.True(client.found == nil)
}

// Guards against a call that the leader refuses, and that is sent again at once whenever another one is served.
func TestRefusalsByTheLeaderAreRetriedAfterADelay(t *testing.T) {
	is := is.New(t)
	client, replicas := startReplicas(t, 1)
	var refused atomic.Int64
	replicas[0].answer = func(ctx context.Context, n int, call *link.Call) error {
		if call.Request.GetPropose() != nil {
			return answerAsLeader(ctx, n, call)
		}
		refused.Add(1)
		return refuse(fault.Unavailable)(ctx, n, call)
	}
	ctx, cancel := context.WithTimeout(testContext(t), 500*time.Millisecond)
	defer cancel()
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := client.Permits(ctx, &wire.PermitRequest{})
		is.True(fault.Is(err, fault.Unavailable))
	})
	for ctx.Err() == nil {
		_, err := client.Propose(testContext(t), testCommand)
		is.NoErr(err)
	}
	calls.Wait()
	is.True(refused.Load() >= 2 && refused.Load() <= 7) // as in TestCallEndsWithContextWhenReplicasAreDown
}
