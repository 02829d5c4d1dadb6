package operator

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// closedAddress returns an address on which no server listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

func TestLostResponseIsRetriedWithSameChangeID(t *testing.T) {
	for _, test := range []struct {
		name string
		lost int
	}{
		{"one response lost", 1},
		{"three responses lost", 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			control := newFakeControl()
			c := newTestClient(t, startServer(t, "127.0.0.1", dropResponses(test.lost, newTestHandler(control))))
			change := initialChange()
			change.ChangeId = ""
			result, err := c.Change(t.Context(), change)
			is.NoErr(err)
			is.Equal(*result, ChangeResult{Status: Accepted, Revision: 1, Repeated: true})
			is.Equal(control.callCount(), test.lost+1)
			is.Equal(control.state.Compiled().Revision, uint64(1)) // applied once
		})
	}
}

func TestClientFollowsLeaderHint(t *testing.T) {
	is := is.New(t)
	leader := newFakeControl()
	leaderAddress := startServer(t, "127.0.0.3", newTestHandler(leader))
	follower := newFakeControl()
	notLeader := fault.New(fault.NotLeader, fault.NotRun, "not the leader")
	notLeader.Leader = "127.0.0.3:7000" // a link address, whose port differs from that of the API
	follower.err = notLeader
	skipped := newFakeControl()
	c := newTestClient(t, startServer(t, "127.0.0.1", newTestHandler(follower)), startServer(t, "127.0.0.2", newTestHandler(skipped)), leaderAddress)
	_, err := c.Change(t.Context(), initialChange())
	is.NoErr(err)
	is.Equal(follower.callCount(), 1)
	is.Equal(skipped.callCount(), 0) // the hint was followed
	is.Equal(leader.callCount(), 1)
}

func TestClientSkipsReplicasThatCannotServe(t *testing.T) {
	for _, kind := range []fault.Kind{fault.NotLeader, fault.Unavailable, fault.Shutdown, fault.OutcomeUnknown, fault.LinkDown} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			broken := newFakeControl()
			broken.err = fault.New(kind, fault.Unknown, "not now")
			working := newFakeControl()
			c := newTestClient(t, closedAddress(t), startServer(t, "127.0.0.1", newTestHandler(broken)), startServer(t, "127.0.0.1", newTestHandler(working)))
			result, err := c.Change(t.Context(), initialChange())
			is.NoErr(err)
			is.Equal(result.Revision, uint64(1))
			is.Equal(broken.callCount(), 1)
		})
	}
}

func TestOtherErrorsAreNotRetried(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Unauthenticated, fault.Forbidden, fault.BadRequest, fault.BodyTooLarge, fault.Conflict, fault.Internal} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			control := newFakeControl()
			control.err = fault.New(kind, fault.NotRun, "no")
			c := newTestClient(t, startServer(t, "127.0.0.1", newTestHandler(control)))
			_, err := c.Config(t.Context())
			is.True(fault.Is(err, kind))
			is.Equal(control.callCount(), 1)
		})
	}
}

func TestOutcomeWhenNoReplicaAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		address func(t *testing.T) string
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"no server listens", closedAddress, fault.Unavailable, fault.NotRun},
		{"all refuse", func(t *testing.T) string {
			control := newFakeControl()
			control.err = fault.New(fault.NotLeader, fault.NotRun, "no leader")
			return startServer(t, "127.0.0.1", newTestHandler(control))
		}, fault.Unavailable, fault.NotRun},
		{"all responses are lost", func(t *testing.T) string {
			return startServer(t, "127.0.0.1", dropResponses(1<<30, newTestHandler(newFakeControl())))
		}, fault.OutcomeUnknown, fault.Unknown},
		{"response is not JSON", func(t *testing.T) string {
			return startServer(t, "127.0.0.1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusBadGateway)
			}))
		}, fault.OutcomeUnknown, fault.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestClient(t, test.address(t))
			rounds := 0
			c.sleep = func(context.Context, time.Duration) bool {
				rounds++
				return rounds < 3 // the deadline expires after three rounds
			}
			_, err := c.Change(t.Context(), initialChange())
			is.Equal(rounds, 3)
			is.Equal(fault.From(err).Kind, test.kind)
			is.Equal(fault.From(err).Outcome, test.outcome)
		})
	}
}

func TestBootstrapIsNotRetried(t *testing.T) {
	is := is.New(t)
	control := newFakeControl()
	address := startServer(t, "127.0.0.1", dropResponses(1, newTestHandler(control)))
	err := newTestClient(t, address).Bootstrap(t.Context())
	is.Equal(fault.From(err).Outcome, fault.Unknown)
	is.Equal(control.callCount(), 1)
	err = newTestClient(t, address, closedAddress(t)).Bootstrap(t.Context())
	is.True(fault.Is(err, fault.BadRequest)) // two addresses could create two installations
	is.Equal(control.callCount(), 1)
}

func TestRemovalWithLostResponseSucceeds(t *testing.T) {
	is := is.New(t)
	control := newFakeControl()
	c := newTestClient(t, startServer(t, "127.0.0.1", dropResponses(1, newTestHandler(control))))
	is.NoErr(c.RemoveReplica(t.Context(), 7))
	is.Equal(control.removed, []uint64{7})
}

func TestDerivedChangeIDs(t *testing.T) {
	is := is.New(t)
	id := DeriveChangeID(initialChange())
	other := initialChange()
	other.Operator = "somebody else"
	other.ChangeId = "x"
	is.Equal(DeriveChangeID(other), id)
	other.BaseRevision = 9
	is.True(DeriveChangeID(other) != id)
	is.True(DeriveChangeID(&wire.ConfigChange{PresetInForce: "peak"}) != id)
	first, second := NewChangeID(), NewChangeID()
	is.True(first != second)
}
