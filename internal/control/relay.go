package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// joinCollectTime is how long a relay collects joining replicas before it chooses
	// the one that bootstraps the cluster. It is three times the period within which
	// all processes of an installation start.
	joinCollectTime = time.Second
	// joinTargets is the number of replicas to which a join request is forwarded at the
	// same time. Any of them forwards it to the leader.
	joinTargets = 2
	// joinTimeout bounds the forwarding of a join request. The joining replica retries.
	joinTimeout = 400 * time.Millisecond
	// maxJoiners bounds the joining replicas that a relay stores.
	maxJoiners = 32
)

// RelayOptions configures a RelayService.
type RelayOptions struct {
	Log *view.Log
	// Freshness returns how recently the view was confirmed to be the newest.
	Freshness func() view.Freshness
	// Control returns the link addresses of the control replicas.
	Control func() []string
	// Learn adds the address of a control process that contacted this one.
	Learn func(address string)
	// Send calls another control process.
	Send func(ctx context.Context, address string, req *wire.Request) error
	// ChooseFirstReplica is set when the whole installation starts for the first time:
	// the relay then chooses the replica that bootstraps the cluster.
	ChooseFirstReplica bool
}

// RelayService is the link handler of a control process without a replica. It serves
// the view and the load reports, and helps joining replicas to find one another.
type RelayService struct {
	opts    RelayOptions
	views   *follow.Server
	tracker *DigestTracker

	mu        sync.Mutex
	joinQueue joinQueue
}

// NewRelayService returns the link handler of a relay.
func NewRelayService(opts RelayOptions) *RelayService {
	s := &RelayService{opts: opts, tracker: NewDigestTracker()}
	s.views = follow.NewServer(opts.Log, opts.Freshness, view.MaxWatchesOther)
	s.views.ControlAddresses = opts.Control
	s.views.LoadDigest = s.tracker.Digest
	return s
}

// Loads stores a digest of load reports if it is newer than the present one.
func (s *RelayService) Loads(digest *wire.LoadDigest) { s.tracker.Put(digest) }

// StopWatches ends the view watches of other processes before a planned stop.
func (s *RelayService) StopWatches() { s.views.Close() }

// ServeLink implements link.Handler.
func (s *RelayService) ServeLink(ctx context.Context, call *link.Call) error {
	if ok, err := s.views.Serve(ctx, call); ok {
		return err
	}
	switch body := call.Request.Body.(type) {
	case *wire.Request_Consensus:
		if err := call.RequireRole(link.RoleControl); err != nil {
			return err
		}
		s.forwardJoins(ctx, body.Consensus)
		return s.answer(call, &wire.Response{})
	case *wire.Request_Ping:
		if address := call.Request.FromAddress; address != "" && call.RequireRole(link.RoleControl) == nil {
			s.opts.Learn(address)
		}
		return s.answer(call, &wire.Response{Body: &wire.Response_Pong{Pong: s.pong(time.Now())}})
	}
	return fault.New(fault.NotLeader, fault.NotRun, "this control process keeps no replica")
}

func (s *RelayService) answer(call *link.Call, resp *wire.Response) error {
	resp.ViewVersion = s.opts.Log.Version()
	return call.Send(resp)
}

func (s *RelayService) pong(now time.Time) *wire.Pong {
	pong := &wire.Pong{Role: link.RoleControl, Relay: true, InCluster: len(s.opts.Control()) > 0}
	if s.opts.ChooseFirstReplica && !pong.InCluster {
		s.mu.Lock()
		defer s.mu.Unlock()
		pong.FirstReplica = s.joinQueue.chooseFirst(now)
	}
	return pong
}

// forwardJoins forwards join requests to replicas, or to other joining replicas while
// no replica is known.
func (s *RelayService) forwardJoins(ctx context.Context, batch *wire.ConsensusBatch) {
	joins := &wire.ConsensusBatch{Sender: batch.GetSender()}
	for _, m := range batch.GetMessages() {
		if m.GetType() == wire.ConsensusMessage_TYPE_JOIN && m.GetTo() == 0 && m.GetFromAddress() != "" {
			joins.Messages = append(joins.Messages, m)
		}
	}
	if len(joins.Messages) == 0 {
		return
	}
	sender := joins.Messages[0].GetFromAddress()
	s.mu.Lock()
	s.joinQueue.add(time.Now(), sender)
	targets := s.opts.Control()
	if len(targets) == 0 {
		targets = s.joinQueue.others(sender)
	}
	s.mu.Unlock()
	s.opts.Learn(sender)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, i := range rand.Perm(len(targets))[:min(joinTargets, len(targets))] {
		sent.Go(func() {
			// Errors are ignored: the joining replica retries until it has joined.
			_ = s.opts.Send(ctx, targets[i], &wire.Request{Body: &wire.Request_Consensus{Consensus: joins}})
		})
	}
	sent.Wait()
}

// joinQueue holds the addresses of the replicas that asked to join, and the choice of the
// one that bootstraps the cluster if there is none yet. The zero value is empty.
type joinQueue struct {
	addresses []string
	// firstRequest is the time of the first join request.
	firstRequest time.Time
	// chosen is the address of the replica that bootstraps the cluster, or empty.
	chosen string
}

func (q *joinQueue) add(now time.Time, address string) {
	if slices.Contains(q.addresses, address) || len(q.addresses) >= maxJoiners {
		return
	}
	if len(q.addresses) == 0 {
		q.firstRequest = now
	}
	q.addresses = append(q.addresses, address)
}

// others returns all addresses except the given one.
func (q *joinQueue) others(address string) []string {
	return slices.DeleteFunc(slices.Clone(q.addresses), func(a string) bool { return a == address })
}

// chooseFirst returns the address of the replica that bootstraps the cluster, or an
// empty string while more replicas may still ask to join. The choice is final.
func (q *joinQueue) chooseFirst(now time.Time) string {
	if q.chosen == "" && len(q.addresses) > 0 && now.Sub(q.firstRequest) >= joinCollectTime {
		q.chosen = slices.Min(q.addresses)
	}
	return q.chosen
}
