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
	// settleTime is how long a relay collects joining replicas before it chooses
	// the one that begins: all processes start within a third of that.
	settleTime = time.Second
	// joinTargets is the number of replicas to which a request to join is passed
	// on at once; any of them passes it to the leader.
	joinTargets = 2
	// joinTimeout bounds the passing on; the joining replica asks again.
	joinTimeout = 400 * time.Millisecond
	// maxJoiners bounds the joining replicas that a relay remembers.
	maxJoiners = 32
)

// RelayOptions are the parts of a RelayService.
type RelayOptions struct {
	Log *view.Log
	// Freshness tells how well the view is known to be the newest.
	Freshness func() view.Freshness
	// Control returns the link addresses of the replicas, and Learn takes the
	// address of one that was met.
	Control func() []string
	Learn   func(address string)
	// Send sends a call to another process of the control role.
	Send func(ctx context.Context, address string, req *wire.Request) error
	// ChooseFirstReplica is set when the whole installation starts for the first time.
	ChooseFirstReplica bool
}

// RelayService is the link handler of a control process that keeps no replica:
// it hands out the view and loads, and leads replicas to one another.
type RelayService struct {
	opts  RelayOptions
	views *follow.Server
	board *loadBoard

	mu      sync.Mutex
	joiners joiners
}

// NewRelayService returns the link handler of a relay.
func NewRelayService(opts RelayOptions) *RelayService {
	s := &RelayService{opts: opts, board: newLoadBoard()}
	s.views = follow.NewServer(opts.Log, opts.Freshness, view.MaxWatchesOther)
	s.views.Control = opts.Control
	s.views.Loads = s.board.Digest
	return s
}

// Loads takes a digest of load reports.
func (s *RelayService) Loads(digest *wire.LoadDigest) { s.board.put(digest) }

// StopWatches ends the watches of other processes for a planned stop.
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
		s.passOn(ctx, body.Consensus)
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
		pong.FirstReplica = s.joiners.first(now)
	}
	return pong
}

// passOn passes requests to join on to replicas, or to others that join while no
// replica is known.
func (s *RelayService) passOn(ctx context.Context, batch *wire.ConsensusBatch) {
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
	s.joiners.note(time.Now(), sender)
	targets := s.opts.Control()
	if len(targets) == 0 {
		targets = s.joiners.others(sender)
	}
	s.mu.Unlock()
	s.opts.Learn(sender)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, i := range rand.Perm(len(targets))[:min(joinTargets, len(targets))] {
		sent.Go(func() {
			// The joining replica asks again until it has joined.
			_ = s.opts.Send(ctx, targets[i], &wire.Request{Body: &wire.Request_Consensus{Consensus: joins}})
		})
	}
	sent.Wait()
}

// joiners are the replicas that asked to join, and which of them begins when
// there is no installation yet. The zero value has none.
type joiners struct {
	addresses []string
	// since is when the first one asked, and chosen the one that begins.
	since  time.Time
	chosen string
}

func (j *joiners) note(now time.Time, address string) {
	if slices.Contains(j.addresses, address) || len(j.addresses) >= maxJoiners {
		return
	}
	if len(j.addresses) == 0 {
		j.since = now
	}
	j.addresses = append(j.addresses, address)
}

// others returns all joiners but one.
func (j *joiners) others(address string) []string {
	return slices.DeleteFunc(slices.Clone(j.addresses), func(a string) bool { return a == address })
}

// first returns the replica that begins, or an empty string while others may
// still ask. The choice stays.
func (j *joiners) first(now time.Time) string {
	if j.chosen == "" && len(j.addresses) > 0 && now.Sub(j.since) >= settleTime {
		j.chosen = slices.Min(j.addresses)
	}
	return j.chosen
}
