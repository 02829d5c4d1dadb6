package control

import (
	"context"
	"time"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/operator"
	"parsleypulley/internal/wire"
)

const (
	pingTimeout    = 4 * time.Second
	pingRetryDelay = 100 * time.Millisecond
)

// OperatorAPI implements operator.Control at one control replica.
type OperatorAPI struct {
	// Name is the name of this control process.
	Name    string
	Node    *consensus.Node
	Machine *Machine
	Pool    *link.Pool
	// Peers holds the link addresses of the other control replicas.
	Peers []string
}

// Config implements operator.Control.
func (o *OperatorAPI) Config(ctx context.Context) (*wire.Config, error) {
	if err := o.Node.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return o.Machine.Log().Snapshot().Config.Config(), nil
}

// Change implements operator.Control.
func (o *OperatorAPI) Change(ctx context.Context, change *wire.ConfigChange) (*wire.ConfigResult, error) {
	result, err := Propose(ctx, o.Node, &wire.Command{Body: &wire.Command_Config{Config: change}})
	if err != nil {
		return nil, err
	}
	return result.GetConfig(), nil
}

// Backends implements operator.Control.
func (o *OperatorAPI) Backends(ctx context.Context) ([]*wire.Member, error) {
	if err := o.Node.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return o.Machine.Log().Snapshot().Members(), nil
}

// ChangeBackend implements operator.Control.
func (o *OperatorAPI) ChangeBackend(ctx context.Context, change *wire.BackendChange) (*wire.BackendResult, error) {
	result, err := Propose(ctx, o.Node, &wire.Command{Body: &wire.Command_Backend{Backend: change}})
	if err != nil {
		return nil, err
	}
	return result.GetBackend(), nil
}

// Status implements operator.Control. It returns the local state of this replica and needs
// no quorum.
func (o *OperatorAPI) Status(context.Context) (*operator.Status, error) {
	s := o.Node.Status()
	v := o.Machine.Log().Snapshot()
	out := &operator.Status{
		Node:          o.Name,
		ID:            operator.ReplicaID(s.ID),
		Role:          s.Role.String(),
		Term:          s.Term,
		Leader:        operator.ReplicaID(s.Leader),
		LeaderAddress: s.LeaderAddress,
		Commit:        s.Commit,
		Applied:       s.Applied,
		Confirmed:     s.Confirmed,
		ViewVersion:   v.Version,
		Revision:      v.Config.Revision,
		PresetInForce: v.Config.Preset.Name,
		Backends:      map[string]int{},
		Quarantined:   v.QuarantinedCount(),

		DeclaredLosses: s.DeclaredLosses,
		BearableLosses: s.BearableLosses,
	}
	for _, m := range v.Members() {
		out.Backends[operator.StateName(m.State)]++
	}
	for _, r := range s.Replicas {
		out.Replicas = append(out.Replicas, operator.Replica{ID: operator.ReplicaID(r.Id), Address: r.Address, Learner: r.Learner})
	}
	return out, nil
}

// Bootstrap implements operator.Control. It requires every other replica to answer
// that it belongs to no cluster, so that a replica that has lost its disk can't start
// a second cluster.
func (o *OperatorAPI) Bootstrap(ctx context.Context) error {
	for _, address := range o.Peers {
		pong, err := o.ping(ctx, address)
		if err != nil {
			return fault.New(fault.Unavailable, fault.NotRun, "control replica %s must be up before the bootstrap: %w", address, err)
		}
		if pong.GetInCluster() {
			return fault.New(fault.Conflict, fault.NotRun, "control replica %s belongs to a cluster already; this one joins it by itself", address)
		}
	}
	return o.Node.Bootstrap(ctx)
}

// ping asks a control replica for its state. It retries for up to pingTimeout, because
// the link may still be in the retry delay after a failed attempt to connect to a
// replica that was starting.
func (o *OperatorAPI) ping(ctx context.Context, address string) (*wire.Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	for {
		resp, err := o.Pool.Call(ctx, address, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}})
		if err == nil {
			return resp.GetPong(), nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pingRetryDelay):
		}
	}
}

// RemoveReplica implements operator.Control.
func (o *OperatorAPI) RemoveReplica(ctx context.Context, id uint64) error {
	return o.Node.Remove(ctx, id)
}

func inCluster(status consensus.Status) bool { return len(status.Replicas) > 0 }
