package control

import (
	"context"
	"time"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// The methods below serve callers outside of the links, at any replica: what
// only the leader can decide is passed on to it.

// PutRoutes has a route table committed.
func (s *Service) PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error) {
	result, err := s.proposeAnywhere(ctx, &wire.Command{Body: &wire.Command_RouteTable{RouteTable: change}})
	if err != nil {
		return nil, err
	}
	return result.GetRouteTable(), nil
}

// PutWeights has the version of a model's weights committed.
func (s *Service) PutWeights(ctx context.Context, target *wire.WeightsTarget) error {
	_, err := s.proposeAnywhere(ctx, &wire.Command{Body: &wire.Command_Weights{Weights: target}})
	return err
}

// ReadRoutes returns the declaration behind the newest route table. It is
// linearizable: an error means that the newest one is not known for sure.
func (s *Service) ReadRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	document, err := s.localDocument(ctx)
	if !fault.Is(err, fault.NotLeader) || s.forward == nil {
		return document, err
	}
	return s.toLeader().ReadRoutes(ctx)
}

// Announce renews the lease of a backend server without an agent. It returns
// once what the announcement changes is committed.
func (s *Service) Announce(ctx context.Context, announce *wire.Announce) error {
	_, err := s.leader.announce(ctx, announce)
	if !fault.Is(err, fault.NotLeader) || s.forward == nil {
		return err
	}
	_, err = s.toLeader().Announce(ctx, announce)
	return err
}

// Relay serves callers outside of the links on a VM that keeps no replica: it
// passes all calls on to the leader.
type Relay struct {
	client *controlclient.Client
}

// NewRelay returns a relay that finds the leader through client.
func NewRelay(client *controlclient.Client) *Relay { return &Relay{client: client} }

// PutRoutes has a route table committed.
func (r *Relay) PutRoutes(ctx context.Context, change *wire.RouteTableChange) (*wire.RouteTableResult, error) {
	result, err := r.client.Propose(ctx, &wire.Command{Body: &wire.Command_RouteTable{RouteTable: change}})
	if err != nil {
		return nil, err
	}
	return result.GetRouteTable(), nil
}

// PutWeights has the version of a model's weights committed.
func (r *Relay) PutWeights(ctx context.Context, target *wire.WeightsTarget) error {
	_, err := r.client.Propose(ctx, &wire.Command{Body: &wire.Command_Weights{Weights: target}})
	return err
}

// ReadRoutes returns the declaration behind the newest route table, or an error
// when the newest one is not known for sure.
func (r *Relay) ReadRoutes(ctx context.Context) (*wire.RouteDocument, error) {
	return r.client.ReadRoutes(ctx)
}

// Announce renews the lease of a backend server without an agent.
func (r *Relay) Announce(ctx context.Context, announce *wire.Announce) error {
	_, err := r.client.Announce(ctx, announce)
	return err
}

// toLeader returns the client of the leader. The leader that this replica hears is
// asked first: one that has frozen doesn't tell that another leads.
func (s *Service) toLeader() *controlclient.Client {
	s.forward.SetLeaderHint(s.node.Status().LeaderAddress)
	return s.forward
}

func (s *Service) proposeAnywhere(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	if s.node.Status().Role == consensus.Leader {
		result, err := Propose(ctx, s.node, command)
		if !fault.Is(err, fault.NotLeader) {
			return result, err
		}
	}
	if s.forward == nil {
		return nil, fault.New(fault.NotLeader, fault.NotRun, "this control replica does not lead")
	}
	return s.toLeader().Propose(ctx, command)
}

func (s *Service) localDocument(ctx context.Context) (*wire.RouteDocument, error) {
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

// announce renews the lease of a backend server. For one without an agent it
// returns only once what the announcement changes is committed: it is the
// promise that no new work follows one that leaves.
func (l *leader) announce(ctx context.Context, announce *wire.Announce) (*wire.AnnounceReply, error) {
	if announce.GetBackend().GetAddress() == "" {
		return l.heartbeat(announce)
	}
	changes, reply, err := l.renew(announce)
	if err != nil {
		return nil, err
	}
	l.propose(ctx, backendCommands(changes))
	if announce.GetLeaving() && !l.hasLeft(announce.GetBackend()) {
		return nil, fault.New(fault.Unavailable, fault.Unknown, "the drain of %q is not committed yet", announce.GetBackend().GetName())
	}
	return reply, nil
}

// renew renews a lease and returns the changes to propose.
func (l *leader) renew(announce *wire.Announce) ([]*wire.BackendChange, *wire.AnnounceReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return nil, nil, l.notLeading()
	}
	changes, reply := l.leases.Heartbeat(time.Now(), l.machine.Log().Snapshot(), announce)
	return changes, reply, nil
}

// hasLeft reports whether a life of a backend server gets no new work.
func (l *leader) hasLeft(b *wire.Backend) bool {
	m := l.machine.Log().Snapshot().Member(b.GetName())
	return m == nil || m.GetBackend().GetAgentIncarnation() != b.GetAgentIncarnation() ||
		m.GetState() == wire.BackendState_BACKEND_STATE_DRAINING
}

// notLeading returns the refusal of a replica that does not lead.
func (l *leader) notLeading() error {
	e := fault.New(fault.NotLeader, fault.NotRun, "this control replica does not lead")
	if status := l.node.Status(); status.Role != consensus.Leader {
		e.Leader = status.LeaderAddress
	}
	return e
}
