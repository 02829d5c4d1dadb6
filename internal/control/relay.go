package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// joinCollectTime is how long a process collects joining replicas at least before it
	// proposes the first voters of the cluster. It is three times the period within which
	// all processes of an installation start.
	joinCollectTime = time.Second
	// joinTargets is the number of replicas to which a join request is forwarded at the
	// same time. Any of them forwards it to the leader.
	joinTargets = 2
	// joinTimeout bounds the forwarding of a join request. The joining replica retries.
	joinTimeout = 400 * time.Millisecond
	// maxJoiners bounds the joining replicas that a process stores.
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
	// Call calls another control process.
	Call func(ctx context.Context, address string, req *wire.Request) (*wire.Response, error)
	// Joining receives the replicas that ask to join.
	Joining *JoinQueue
	// Formation is the part of the relay in the formation of a new cluster; it may be nil.
	Formation *Formation
}

// RelayService is the link handler of a control process without a replica. It serves
// the view and the load reports, and helps joining replicas to find one another.
type RelayService struct {
	opts    RelayOptions
	views   *follow.Server
	tracker *DigestTracker
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
		return s.answer(call, &wire.Response{Body: &wire.Response_Pong{Pong: s.pong()}})
	case *wire.Request_Formation:
		return s.opts.Formation.serve(call, body.Formation)
	}
	return fault.New(fault.NotLeader, fault.NotRun, "this control process keeps no replica")
}

func (s *RelayService) answer(call *link.Call, resp *wire.Response) error {
	resp.ViewVersion = s.opts.Log.Version()
	return call.Send(resp)
}

func (s *RelayService) pong() *wire.Pong {
	return &wire.Pong{Role: link.RoleControl, Relay: true, InCluster: len(s.opts.Control()) > 0, ChosenVoters: s.opts.Formation.ChosenVoters(), FoundersExcluded: s.opts.Formation.FoundersExcluded()}
}

// forwardJoins forwards join requests to replicas, or to other joining replicas while
// no replica is known.
func (s *RelayService) forwardJoins(ctx context.Context, batch *wire.ConsensusBatch) {
	joins := &wire.ConsensusBatch{Sender: batch.GetSender(), Messages: joinRequests(batch)}
	if len(joins.Messages) == 0 {
		return
	}
	sender := joins.Messages[0].GetFromAddress()
	s.opts.Joining.Add(time.Now(), &wire.Replica{Id: joins.Messages[0].GetFrom(), Address: sender})
	targets := s.opts.Control()
	if len(targets) == 0 {
		targets = s.opts.Joining.others(sender)
	}
	s.opts.Learn(sender)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, i := range rand.Perm(len(targets))[:min(joinTargets, len(targets))] {
		sent.Go(func() {
			// Errors are ignored: the joining replica retries until it has joined.
			_, _ = s.opts.Call(ctx, targets[i], &wire.Request{Body: &wire.Request_Consensus{Consensus: joins}})
		})
	}
	sent.Wait()
}
