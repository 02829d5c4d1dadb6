package node

import (
	"fmt"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/control"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// Replica is a running control replica with its state machine and files.
type Replica struct {
	*consensus.Node
	Machine *control.Machine
	store   *storage.Store
}

// StartReplica opens the data folder and starts a replica. peers holds the link
// addresses of the other replicas. Close must be called.
func StartReplica(p *daemon.Process, folder string, files storage.Options, peers []string) (*Replica, error) {
	store, damage, err := storage.OpenOrReset(folder, files)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	p.StartReason = startReason(store.State(), damage)
	if damage != nil {
		event.DataFolderDamaged(folder, damage)
	}
	machine := control.NewMachine(control.DefaultLimits())
	address := p.Settings.Address()
	node, err := consensus.Start(consensus.Config{
		Store:     store,
		Machine:   machine,
		Transport: control.NewTransport(p.Context, p.Pool, &wire.Replica{Id: store.Identity(), Address: address}),
		Address:   address,
		Peers:     peers,
	})
	if err != nil {
		_ = store.Close() // the start error is more informative
		return nil, fmt.Errorf("start replica: %w", err)
	}
	return &Replica{Node: node, Machine: machine, store: store}, nil
}

// Close stops the replica and closes its files.
func (r *Replica) Close() {
	r.Stop()
	if err := r.store.Close(); err != nil {
		event.ComponentEnded("data folder", err)
	}
}

// startReason returns the condition from which a replica starts, for the log.
func startReason(state *storage.State, damage error) string {
	switch {
	case damage != nil:
		return "damaged data folder"
	case state.Snapshot == nil && len(state.Entries) == 0:
		return "empty data folder"
	}
	return "restart"
}
