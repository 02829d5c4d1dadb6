package controlclient

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// testTimeout bounds each test. Only a failing test waits for it.
const testTimeout = 20 * time.Second

// replica is a control replica on a real link with scripted answers.
type replica struct {
	address string

	mu    sync.Mutex
	calls []*wire.Request
	// answer handles call number n, which starts at 0.
	answer func(ctx context.Context, n int, call *link.Call) error
}

func (r *replica) ServeLink(ctx context.Context, call *link.Call) error {
	r.mu.Lock()
	n := len(r.calls)
	r.calls = append(r.calls, call.Request)
	r.mu.Unlock()
	return r.answer(ctx, n, call)
}

func (r *replica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// startReplicas serves n replicas on loopback and returns a client of them.
func startReplicas(t *testing.T, n int) (*Client, []*replica) {
	t.Helper()
	replicas := make([]*replica, n)
	addresses := make([]string, n)
	for i := range replicas {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		replicas[i] = &replica{address: ln.Addr().String()}
		addresses[i] = replicas[i].address
		server := link.NewServer(replicas[i], nil)
		go server.Serve(ln)
		t.Cleanup(server.Close)
	}
	pool := link.NewPool(nil)
	t.Cleanup(pool.Close)
	return New(pool, addresses, func() uint64 { return 7 }), replicas
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

var testCommand = &wire.Command{Body: &wire.Command_Crash{Crash: &wire.CrashReport{Account: "indus", Attempt: 3}}}

func answerAsLeader(_ context.Context, _ int, call *link.Call) error {
	result := &wire.CommandResult{Body: &wire.CommandResult_Crash{Crash: &wire.CrashResult{Quarantined: true}}}
	return call.Send(&wire.Response{Body: &wire.Response_ProposeReply{ProposeReply: &wire.ProposeReply{Result: result}}})
}

// refuseWithHint refuses calls with a hint to leader, or without a hint if it is nil.
func refuseWithHint(leader *replica) func(context.Context, int, *link.Call) error {
	return func(context.Context, int, *link.Call) error {
		refusal := fault.New(fault.NotLeader, fault.NotRun, "ask the leader")
		if leader != nil {
			refusal.Leader = leader.address
		}
		return refusal
	}
}

// loseAnswers accepts all commands and drops the answers to the first n calls.
func loseAnswers(n int) func(context.Context, int, *link.Call) error {
	return func(ctx context.Context, number int, call *link.Call) error {
		if number < n {
			return nil
		}
		return answerAsLeader(ctx, number, call)
	}
}

func refuse(kind fault.Kind) func(context.Context, int, *link.Call) error {
	return func(context.Context, int, *link.Call) error { return fault.New(kind, fault.NotRun, "refused") }
}

// neverAnswer sends no answer and returns when the caller gives up.
func neverAnswer(ctx context.Context, _ int, _ *link.Call) error {
	<-ctx.Done()
	return nil
}

func TestProposeFindsTheLeader(t *testing.T) {
	type script = func(context.Context, int, *link.Call) error
	tests := []struct {
		name    string
		answers func(r []*replica) []script
		// calls is the number of calls that each replica gets for two commands in
		// sequence.
		calls []int
	}{
		{"first is leader", func(r []*replica) []script {
			return []script{answerAsLeader, refuseWithHint(r[0]), refuseWithHint(r[0])}
		}, []int{2, 0, 0}},
		{"by hint", func(r []*replica) []script {
			return []script{refuseWithHint(r[2]), refuseWithHint(r[2]), answerAsLeader}
		}, []int{1, 0, 2}},
		{"without hint", func([]*replica) []script { return []script{refuseWithHint(nil), answerAsLeader, refuseWithHint(nil)} }, []int{1, 2, 0}},
		{"hint to itself", func(r []*replica) []script {
			return []script{refuseWithHint(r[0]), answerAsLeader, refuseWithHint(nil)}
		}, []int{1, 2, 0}},
		{"starting replica", func([]*replica) []script { return []script{refuse(fault.Unavailable), answerAsLeader, answerAsLeader} }, []int{1, 2, 0}},
		{"stopping replica", func([]*replica) []script { return []script{refuse(fault.Shutdown), answerAsLeader, answerAsLeader} }, []int{1, 2, 0}},
		{"hint to a silent replica", func(r []*replica) []script { return []script{refuseWithHint(r[1]), neverAnswer, answerAsLeader} }, []int{1, 1, 2}},
		{"lost answer", func([]*replica) []script { return []script{loseAnswers(1), answerAsLeader, answerAsLeader} }, []int{1, 2, 0}},
		{"silent replica", func([]*replica) []script { return []script{neverAnswer, answerAsLeader, answerAsLeader} }, []int{1, 2, 0}},
		{"two hint at each other", func(r []*replica) []script {
			return []script{refuseWithHint(r[1]), refuseWithHint(r[0]), answerAsLeader}
		}, []int{2, 2, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client, replicas := startReplicas(t, 3)
			client.callTimeout = 200 * time.Millisecond
			for i, answer := range test.answers(replicas) {
				replicas[i].answer = answer
			}
			for range 2 {
				result, err := client.Propose(testContext(t), testCommand)
				is.NoErr(err)
				is.True(result.GetCrash().GetQuarantined())
			}
			for i, r := range replicas {
				is.Equal(r.count(), test.calls[i]) // calls of this replica
				for _, call := range r.calls {
					is.True(proto.Equal(call.GetPropose().GetCommand(), testCommand))
					is.Equal(call.ViewVersion, uint64(7))
				}
			}
		})
	}
}

func TestRefusalsAreNotRetried(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Forbidden, fault.BadRequest, fault.Conflict, fault.Internal, fault.BodyTooLarge} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			client, replicas := startReplicas(t, 2)
			replicas[0].answer, replicas[1].answer = refuse(kind), answerAsLeader
			_, err := client.LookupClaim(testContext(t), "indus", "booking-1")
			is.True(fault.Is(err, kind))
			is.Equal(fault.From(err).Outcome, fault.NotRun)
			is.Equal(replicas[0].count(), 1)
			is.Equal(replicas[1].count(), 0)
		})
	}
}

func TestCallEndsWithContextWhenReplicasAreDown(t *testing.T) {
	is := is.New(t)
	client, replicas := startReplicas(t, 3)
	for _, r := range replicas {
		r.answer = refuse(fault.Unavailable)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.Propose(ctx, testCommand)
	is.True(fault.Is(err, fault.Unavailable))
	is.Equal(fault.From(err).Outcome, fault.Unknown)
	calls := 0
	for _, r := range replicas {
		calls += r.count()
	}
	// The delays start at 10 ms and grow, so that at most 7 calls fit into 500 ms.
	is.True(calls >= 1 && calls <= 7)
}

// When there is no leader and two replicas hint at each other, the number of calls is
// bounded.
func TestHintLoopIsBounded(t *testing.T) {
	is := is.New(t)
	client, replicas := startReplicas(t, 2)
	replicas[0].answer, replicas[1].answer = refuseWithHint(replicas[1]), refuseWithHint(replicas[0])
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.Propose(ctx, testCommand)
	is.True(fault.Is(err, fault.Unavailable))
	calls := replicas[0].count() + replicas[1].count()
	is.True(calls >= maxHintHops+1 && calls <= 7*(maxHintHops+1))
}

// When several concurrent calls fail at one replica, the client must advance by only
// one replica and must not discard a leader that another call has found.
func TestConcurrentFailuresAdvanceAddressOnce(t *testing.T) {
	is := is.New(t)
	const callers = 3
	client, replicas := startReplicas(t, 3)
	var arrived sync.WaitGroup
	arrived.Add(callers)
	replicas[0].answer = func(ctx context.Context, n int, call *link.Call) error {
		if n < callers {
			arrived.Done()
			arrived.Wait()
		}
		return refuse(fault.Unavailable)(ctx, n, call)
	}
	replicas[1].answer, replicas[2].answer = answerAsLeader, answerAsLeader
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			_, err := client.Propose(testContext(t), testCommand)
			is.NoErr(err)
		})
	}
	calls.Wait()
	is.Equal(replicas[0].count(), callers)
	is.Equal(replicas[1].count(), callers)
	is.Equal(replicas[2].count(), 0)
}

func TestLateFailureKeepsKnownLeader(t *testing.T) {
	is := is.New(t)
	client := New(nil, []string{"a", "b", "c"}, nil)
	client.setLeader("c")
	is.True(!client.callFailed("a", "")) // a call to a began before c was found
	is.Equal(client.target(), "c")
	is.True(!client.callFailed("c", ""))
	is.Equal(client.target(), "b") // a has already failed
}

func TestAnnounceAndLookup(t *testing.T) {
	is := is.New(t)
	client, replicas := startReplicas(t, 1)
	replicas[0].answer = func(_ context.Context, _ int, call *link.Call) error {
		switch call.Request.Body.(type) {
		case *wire.Request_Announce:
			return call.Send(&wire.Response{Body: &wire.Response_AnnounceReply{AnnounceReply: &wire.AnnounceReply{LeaseMs: 3000}}})
		case *wire.Request_ClaimLookup:
			return call.Send(&wire.Response{}) // no such record
		}
		return fault.New(fault.BadRequest, fault.NotRun, "not in this test")
	}
	reply, err := client.Announce(testContext(t), &wire.Announce{})
	is.NoErr(err)
	is.Equal(reply.LeaseMs, uint32(3000))
	record, err := client.LookupClaim(testContext(t), "indus", "booking-1")
	is.NoErr(err)
	is.True(record == nil)
}

// The leader freezes: it accepts calls and never answers. Once the process sets a hint
// to the new leader, calls must go there at once. Without the hint, a call to the
// frozen leader must cost no more than the call timeout.
func TestLeaderHintAvoidsFrozenLeader(t *testing.T) {
	is := is.New(t)
	client, replicas := startReplicas(t, 2)
	client.SetCallTimeout(300 * time.Millisecond)
	frozen, next := replicas[0], replicas[1]
	frozen.answer, next.answer = answerAsLeader, answerAsLeader
	_, err := client.Propose(testContext(t), testCommand)
	is.NoErr(err)
	frozen.answer = func(context.Context, int, *link.Call) error {
		<-t.Context().Done() // no answer even after the caller's deadline
		return nil
	}
	calls := frozen.count()
	client.SetLeaderHint(next.address)
	_, err = client.Propose(testContext(t), testCommand)
	is.NoErr(err)
	is.Equal(frozen.count(), calls) // not called
	client.SetLeaderHint("")        // an empty hint changes nothing
	_, err = client.Propose(testContext(t), testCommand)
	is.NoErr(err)
	is.Equal(frozen.count(), calls)
	client.SetLeaderHint(frozen.address)
	_, err = client.Propose(testContext(t), testCommand)
	is.NoErr(err) // after one call that timed out
	is.Equal(frozen.count(), calls+1)
}
