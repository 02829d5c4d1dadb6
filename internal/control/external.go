package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// The methods below serve callers that do not use links, such as operators and backend
// servers without an agent. They work at any replica: calls that only the leader can
// handle are forwarded to it.

// PutRoutes commits a route table.
func (s *Service) PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error) {
	result, err := s.proposeAnywhere(ctx, &wire.Command{Body: &wire.Command_RouteTable{RouteTable: change}})
	if err != nil {
		return nil, err
	}
	return result.GetRouteTable(), nil
}

// PutWeights commits the target version of a model's weights.
func (s *Service) PutWeights(ctx context.Context, target *wire.WeightsTarget) error {
	_, err := s.proposeAnywhere(ctx, &wire.Command{Body: &wire.Command_Weights{Weights: target}})
	return err
}

// ReadRoutes returns the declaration from which the newest route table was compiled.
// The read is linearizable: if it can't be confirmed that the table is the newest one,
// ReadRoutes returns an error.
func (s *Service) ReadRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	document, err := s.readLocalRoutes(ctx)
	if !fault.Is(err, fault.NotLeader) || s.client == nil {
		return document, err
	}
	return s.leaderClient().ReadRoutes(ctx)
}

// Announce renews the lease of a backend server without an agent. It returns once the
// changes that follow from the announcement are decided. If the backend server leaves
// and its drain is not committed, Announce returns an error.
func (s *Service) Announce(ctx context.Context, announce *wire.Announce) error {
	_, err := s.leader.announce(ctx, announce)
	if !fault.Is(err, fault.NotLeader) || s.client == nil {
		return err
	}
	return s.forwarder.forward(ctx, announce)
}

// Relay offers the methods of Service for callers that do not use links, on a VM without a
// control replica. It forwards all calls to the leader.
type Relay struct {
	client    *controlclient.Client
	forwarder *announceBatcher
}

// NewRelay returns a relay that forwards calls through client. snapshot returns the view
// that the process follows.
func NewRelay(client *controlclient.Client, snapshot func() *view.Snapshot) *Relay {
	return &Relay{client: client, forwarder: &announceBatcher{
		one: func(ctx context.Context, announce *wire.Announce) error {
			_, err := client.Announce(ctx, announce)
			return err
		},
		many: client.AnnounceBatch, snapshot: snapshot,
	}}
}

// PutRoutes commits a route table.
func (r *Relay) PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error) {
	command := &wire.Command{Body: &wire.Command_RouteTable{RouteTable: change}}
	if err := checkSize(command); err != nil {
		return nil, err
	}
	result, err := r.client.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return result.GetRouteTable(), nil
}

// PutWeights commits the target version of a model's weights.
func (r *Relay) PutWeights(ctx context.Context, target *wire.WeightsTarget) error {
	_, err := r.client.Propose(ctx, &wire.Command{Body: &wire.Command_Weights{Weights: target}})
	return err
}

// ReadRoutes returns the declaration from which the newest route table was compiled,
// or an error if it can't be confirmed that the table is the newest one.
func (r *Relay) ReadRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	return r.client.ReadRoutes(ctx)
}

// Announce renews the lease of a backend server without an agent.
func (r *Relay) Announce(ctx context.Context, announce *wire.Announce) error {
	return r.forwarder.forward(ctx, announce)
}

// leaderClient returns the client for calls to the leader. It first sets the leader
// known to this replica as the client's hint, because a former leader that is frozen
// does not answer with a hint to its successor.
func (s *Service) leaderClient() *controlclient.Client {
	s.client.SetLeaderHint(s.node.Status().LeaderAddress)
	return s.client
}

// proposeAnywhere proposes a command at this replica if it leads, and otherwise forwards
// the command to the leader.
func (s *Service) proposeAnywhere(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	if err := checkSize(command); err != nil {
		return nil, err
	}
	if s.node.Status().Role == consensus.Leader {
		result, err := Propose(ctx, s.node, command)
		if !fault.Is(err, fault.NotLeader) {
			return result, err
		}
	}
	if s.client == nil {
		return nil, fault.New(fault.NotLeader, fault.NotRun, "this control replica does not lead")
	}
	return s.leaderClient().Propose(ctx, command)
}

// readLocalRoutes returns the declaration of this replica after a read barrier. A replica
// that does not lead returns fault.NotLeader.
func (s *Service) readLocalRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	if err := s.node.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return s.machine.RouteDocument(), nil
}

// replicas returns the link addresses of the control replicas.
func (s *Service) replicas() []string {
	var addresses []string
	for _, r := range s.node.Status().Replicas {
		addresses = append(addresses, r.GetAddress())
	}
	return addresses
}

// depart commits that an incarnation of a backend server leaves. A nil error guarantees that it gets no new work.
func (l *leader) depart(ctx context.Context, backend *wire.Backend) error {
	if l.machine.HasDeparted(backend) {
		return nil
	}
	change := &wire.BackendChange{Kind: wire.BackendChange_KIND_DEPART, Name: backend.GetName(), AgentIncarnation: backend.GetAgentIncarnation()}
	result, err := Propose(ctx, l.node, &wire.Command{Body: &wire.Command_Backend{Backend: change}})
	if err != nil {
		return err
	}
	l.recordResult(change, result.GetBackend())
	if problem := result.GetBackend().GetProblem(); problem != "" {
		return fault.New(fault.Unavailable, fault.NotRun, "the departure of %q is not recorded: %s", backend.GetName(), problem)
	}
	return nil
}

// departure commits the notice of a backend server that leaves. If that is a member, its lease is renewed as that of one
// that leaves, which removes it once it is silent.
func (l *leader) departure(ctx context.Context, announce *wire.Announce) (*wire.AnnounceReply, error) {
	if err := l.depart(ctx, announce.GetBackend()); err != nil {
		return nil, err
	}
	reply := &wire.AnnounceReply{Draining: true}
	if member := l.machine.Log().Snapshot().Member(announce.GetBackend().GetName()); l.machine.HasDeparted(member.GetBackend()) {
		_, _, err := l.renew(&wire.Announce{Backend: proto.CloneOf(member.GetBackend()), Leaving: true})
		return reply, err
	}
	return reply, nil
}

// announce renews the lease of a backend server. For a backend server without an agent
// it waits for the results of the proposed changes. A nil error for a leaving one
// guarantees that it gets no new work; errors of other changes are only logged.
func (l *leader) announce(ctx context.Context, announce *wire.Announce) (*wire.AnnounceReply, error) {
	if announce.GetDeparture() {
		return l.departure(ctx, announce)
	}
	if announce.GetBackend().GetAddress() == "" {
		return l.heartbeat(announce)
	}
	if announce.GetLeaving() {
		if err := l.depart(ctx, announce.GetBackend()); err != nil {
			return nil, err
		}
	}
	changes, reply, err := l.renew(announce)
	if err != nil {
		return nil, err
	}
	l.proposeAll(ctx, backendCommands(changes))
	return reply, nil
}

// renew renews a lease and returns the changes to propose.
func (l *leader) renew(announce *wire.Announce) ([]*wire.BackendChange, *wire.AnnounceReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return nil, nil, l.notLeading()
	}
	if l.isLate(announce) {
		return nil, &wire.AnnounceReply{Draining: true}, nil
	}
	changes, reply := l.leases.Heartbeat(time.Now(), l.machine.Log().Snapshot(), announce)
	return changes, reply, nil
}

// isLate reports whether an announcement was sent before its backend server said that it leaves. It must change
// nothing: a refused proposal to join would also delay that of a further start.
func (l *leader) isLate(announce *wire.Announce) bool {
	return !announce.GetLeaving() && isForwarded(announce) && l.machine.HasDeparted(announce.GetBackend())
}

// notLeading returns the error of a replica that does not lead, with the address of the
// leader if it is known, or that of a leader whose cluster is forming.
func (l *leader) notLeading() error {
	if status := l.node.Status(); status.Role == consensus.Leader && status.Forming {
		return fault.New(fault.Unavailable, fault.NotRun, "the cluster is forming")
	}
	e := fault.New(fault.NotLeader, fault.NotRun, "this control replica does not lead")
	if status := l.node.Status(); status.Role != consensus.Leader {
		e.Leader = status.LeaderAddress
	}
	return e
}
