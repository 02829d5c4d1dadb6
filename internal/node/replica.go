package node

import (
	"cmp"
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

// ReplicaOptions configures a control replica.
type ReplicaOptions struct {
	// Data is the data folder.
	Data string
	// Storage configures the files in Data. The zero value selects the defaults.
	Storage storage.Options
	// Peers holds the link addresses of other replicas.
	Peers []string
	// DeclaredLosses is the number of control VMs whose simultaneous loss must be
	// borne. If it is 0, it is the number that the replicas in Settings.Control bear.
	DeclaredLosses int
	// FormingVoters is the number of voters that a new cluster needs before it takes
	// commands. If it is 0, it is the number that bears the declared losses, but no more
	// than the replicas in Settings.Control.
	FormingVoters int
	// DeclaresAccounts reports whether the declaration of a route table has a list of client
	// accounts; see routes.State. It may be nil.
	DeclaresAccounts func(document []byte) bool
}

// declaredLosses returns the number of losses that must be borne. A majority of 2n+1
// replicas remains after n losses.
func declaredLosses(declared, replicas int) int {
	if declared > 0 {
		return declared
	}
	return min(max(1, (replicas-1)/2), consensus.MaxDeclaredLosses)
}

// formingVoters returns the number of voters that a new cluster needs before it takes
// commands, if replicas are all that there are.
func formingVoters(losses, replicas int) int {
	return min(2*losses+1, max(1, replicas))
}

// StartReplica opens the data folder and starts a replica. Close must be called.
func StartReplica(p *daemon.Process, o ReplicaOptions) (*Replica, error) {
	if err := storage.Probe(o.Data, o.Storage, probeBytes); isDiskFull(err) {
		reclaimSpace(o.Data, o.Storage, err)
	}
	store, damage, err := storage.OpenOrReset(o.Data, o.Storage)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	p.StartReason = startReason(store.State(), damage)
	if damage != nil {
		event.DataFolderDamaged(o.Data, damage)
	}
	machine := control.NewMachine(control.DefaultLimits())
	machine.SetDeclaresAccounts(o.DeclaresAccounts)
	address := p.Settings.Address()
	losses := declaredLosses(o.DeclaredLosses, len(p.Settings.Control))
	node, err := consensus.Start(consensus.Config{
		Store:     store,
		Machine:   machine,
		Transport: control.NewTransport(p.Context, p.Pool, &wire.Replica{Id: store.Identity(), Address: address}),
		Address:   address,
		Peers:     o.Peers,

		DeclaredLosses: losses,
		FormingVoters:  cmp.Or(o.FormingVoters, formingVoters(losses, len(p.Settings.Control))),
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
