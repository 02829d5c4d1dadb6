// Package formation is how the configured control processes agree on the first voters of a
// new cluster where too few of them have replicas to form it by themselves. It is a single
// decision by Paxos: any majority of them can make it, even if the others never start. The
// package does no I/O.
//
// Invariants:
//   - Voters are chosen once a majority has accepted them under one ballot. All that are
//     chosen later are the same.
//   - An acceptor forgets its promises when its process ends. A process that is not in its
//     first start therefore answers no request.
//   - A majority of acceptors excludes the other way in which a cluster forms, by a majority
//     of founders: an acceptor that has a replica answers only once that can't be a founder.
package formation

import (
	"cmp"

	"parsleypulley/internal/wire"
)

// Acceptor is the memory of one configured control process. The zero value has promised
// nothing.
type Acceptor struct {
	promised *wire.Ballot
	// accepted is the ballot of voters; it is nil if none were accepted.
	accepted *wire.Ballot
	voters   []*wire.Replica
}

// Answer promises to grant no ballot below that of the request and, if the request has
// voters, accepts them; it grants neither if it has promised a higher ballot.
func (a *Acceptor) Answer(req *wire.FormationRequest) *wire.FormationReply {
	ballot := req.GetBallot()
	granted := ballot.GetRound() > 0 && compare(ballot, a.promised) >= 0
	if granted {
		a.promised = ballot
		if len(req.GetVoters()) > 0 {
			a.accepted, a.voters = ballot, req.GetVoters()
		}
	}
	return &wire.FormationReply{Granted: granted, Promised: a.promised, Accepted: a.accepted, Voters: a.voters}
}

// Proposer numbers the attempts of one process.
type Proposer struct {
	// Address is its link address.
	Address string
	// round is the highest round of any ballot that is known.
	round uint64
}

// Next returns the ballot of a new attempt. It is higher than all that are known.
func (p *Proposer) Next() *wire.Ballot {
	p.round++
	return &wire.Ballot{Round: p.round, Proposer: p.Address}
}

// Observe takes notice of the ballots in a reply.
func (p *Proposer) Observe(reply *wire.FormationReply) {
	p.round = max(p.round, reply.GetPromised().GetRound())
}

// HasMajority reports whether more than half of the acceptors have granted a request.
// replies holds at most one reply of each.
func HasMajority(replies []*wire.FormationReply, acceptors int) bool {
	granted := 0
	for _, r := range replies {
		if r.GetGranted() {
			granted++
		}
	}
	return granted > acceptors/2
}

// Voters returns the voters that may be proposed after a majority has promised: those
// that were accepted under the highest ballot, as they may be chosen already. It returns
// nil if none were, so that the proposer may choose.
func Voters(promises []*wire.FormationReply) []*wire.Replica {
	var newest *wire.FormationReply
	for _, r := range promises {
		if r.GetGranted() && r.GetAccepted() != nil && (newest == nil || compare(r.GetAccepted(), newest.GetAccepted()) > 0) {
			newest = r
		}
	}
	return newest.GetVoters()
}

func compare(a, b *wire.Ballot) int {
	return cmp.Or(cmp.Compare(a.GetRound(), b.GetRound()), cmp.Compare(a.GetProposer(), b.GetProposer()))
}
