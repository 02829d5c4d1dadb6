package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/formation"
	"parsleypulley/internal/link"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/wire"
)

const (
	// minProposalInterval and maxProposalInterval bound the random time between two attempts
	// of a process, so that two of them don't hinder one another for long.
	minProposalInterval = 100 * time.Millisecond
	maxProposalInterval = 300 * time.Millisecond
	// formationTimeout bounds one phase of an attempt. It covers the restart of a replica
	// that gives up its identity.
	formationTimeout = time.Second
)

// FormationOptions configures how a control process takes part in the choice of the first
// voters of a new cluster; see package formation.
type FormationOptions struct {
	// Self is the link address of the process.
	Self string
	// Acceptors are the link addresses of the processes that choose, with Self.
	Acceptors []string
	// Voters is the number of first voters. It is the number that a new cluster needs before
	// it takes commands, so nothing is lost by waiting for them.
	Voters int
	// MayVote reports whether a replica may be one of them: it is not one of the founders.
	MayVote func(*wire.Replica) bool
	// Joining holds the replicas that ask to join.
	Joining *JoinQueue
	// HasCluster reports whether the process knows a cluster.
	HasCluster func() bool
	// CanAdmit reports whether Admit would return true. It changes nothing.
	CanAdmit func() bool
	// Admit reports whether the process may answer requests with a ballot. A replica with the
	// identity of a founder must not, since the founders may still form the cluster together.
	// Admit first gives that identity up if the replica has not begun its log.
	Admit func() bool
	// Call calls another control process.
	Call func(ctx context.Context, address string, req *wire.Request) (*wire.Response, error)
}

// Formation is the part of a control process in the choice of the first voters. A nil
// Formation takes no part.
type Formation struct {
	opts FormationOptions

	mu       sync.Mutex
	acceptor formation.Acceptor
	proposer formation.Proposer
	// chosen are the first voters, once this process knows them.
	chosen []*wire.Replica
	// foundersExcluded is set once a majority has granted a ballot of this process.
	foundersExcluded bool
}

// NewFormation returns the part of a process that has never run before.
func NewFormation(opts FormationOptions) *Formation {
	return &Formation{opts: opts, proposer: formation.Proposer{Address: opts.Self}}
}

// ChosenVoters returns the first voters, or nil while this process doesn't know them.
func (f *Formation) ChosenVoters() []*wire.Replica {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chosen
}

// FoundersExcluded reports whether the founders have no majority any more, as far as this
// process knows: a replica that grants a ballot is no founder from then on. What other
// founders have begun never commits, also if no voters are chosen yet.
func (f *Formation) FoundersExcluded() bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.foundersExcluded
}

// Run proposes the first voters of a new cluster while none is known, until ctx ends.
func (f *Formation) Run(ctx context.Context) {
	if f == nil {
		return
	}
	for backoff.Sleep(ctx, minProposalInterval+rand.N(maxProposalInterval-minProposalInterval)) {
		recovery.Run("formation", func() {
			if f.due(time.Now()) {
				f.propose(ctx)
			}
		})
	}
}

// due reports whether this process is to propose voters: enough replicas have asked to join,
// others have had the time to, and neither a cluster nor a choice is known.
func (f *Formation) due(now time.Time) bool {
	return f.opts.Joining.collected(now, f.opts.Voters) && f.ChosenVoters() == nil && !f.opts.HasCluster()
}

// propose makes one attempt to have the voters chosen: those that may be chosen already, or
// else the choice of this process.
func (f *Formation) propose(ctx context.Context) {
	// A founder gives up its identity when it promises. Without a majority that would be for
	// nothing, and the founders that have begun their logs could lack its vote.
	if !formation.HasMajority(f.ask(ctx, &wire.FormationRequest{}), len(f.opts.Acceptors)) {
		return
	}
	f.mu.Lock()
	ballot := f.proposer.Next()
	f.mu.Unlock()
	promises := f.ask(ctx, &wire.FormationRequest{Ballot: ballot})
	if !formation.HasMajority(promises, len(f.opts.Acceptors)) {
		return
	}
	f.mu.Lock()
	f.foundersExcluded = true
	f.mu.Unlock()
	voters := formation.Voters(promises)
	if voters == nil {
		voters = f.opts.Joining.firstVoters(f.opts.Voters, f.opts.MayVote)
	}
	if voters == nil || !formation.HasMajority(f.ask(ctx, &wire.FormationRequest{Ballot: ballot, Voters: voters}), len(f.opts.Acceptors)) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chosen = voters
}

// ask sends a request to all acceptors, and returns the replies once a majority has granted
// it or all have answered.
func (f *Formation) ask(ctx context.Context, req *wire.FormationRequest) []*wire.FormationReply {
	ctx, cancel := context.WithTimeout(ctx, formationTimeout)
	defer cancel()
	answers := make(chan *wire.FormationReply, len(f.opts.Acceptors))
	for _, address := range f.opts.Acceptors {
		go func() { answers <- f.askOne(ctx, address, req) }()
	}
	var replies []*wire.FormationReply
	for len(replies) < len(f.opts.Acceptors) && !formation.HasMajority(replies, len(f.opts.Acceptors)) {
		reply := <-answers
		replies = append(replies, reply)
		f.mu.Lock()
		f.proposer.Observe(reply)
		f.mu.Unlock()
	}
	return replies
}

// askOne returns nil if the process at address is lost or takes no part.
func (f *Formation) askOne(ctx context.Context, address string, req *wire.FormationRequest) *wire.FormationReply {
	if address == f.opts.Self {
		reply, err := f.answer(req)
		if err != nil {
			return nil
		}
		return reply
	}
	resp, err := f.opts.Call(ctx, address, &wire.Request{FromAddress: f.opts.Self, Body: &wire.Request_Formation{Formation: req}})
	if err != nil {
		return nil
	}
	return resp.GetFormationReply()
}

// answer answers a request of this or another process.
func (f *Formation) answer(req *wire.FormationRequest) (*wire.FormationReply, error) {
	if f != nil && req.GetBallot() == nil && f.opts.CanAdmit() {
		return &wire.FormationReply{Granted: true}, nil
	}
	if f == nil || req.GetBallot() == nil || !f.opts.Admit() {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "this process takes no part in the choice of the first voters")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptor.Answer(req), nil
}

// serve answers a request of another process.
func (f *Formation) serve(call *link.Call, req *wire.FormationRequest) error {
	if err := call.RequireRole(link.RoleControl); err != nil {
		return err
	}
	reply, err := f.answer(req)
	if err != nil {
		return err
	}
	return call.Send(&wire.Response{Body: &wire.Response_FormationReply{FormationReply: reply}})
}
