package node

import (
	"cmp"
	"context"

	"parsleypulley/internal/control"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// newFormation returns the part of a control process in the choice of the first voters; see
// control.FormationOptions. It returns nil if the address of the process is not that of a
// founder.
func (o *ControlOptions) newFormation(p *daemon.Process, joining *control.JoinQueue, hasCluster, canAdmit, admit func() bool) *control.Formation {
	founders := o.founders()
	if founderAt(founders, o.Settings.Address()) == 0 {
		return nil
	}
	replicas := len(o.Settings.Control)
	options := control.FormationOptions{
		Self:    o.Settings.Address(),
		Voters:  cmp.Or(o.FormingVoters, formingVoters(declaredLosses(o.DeclaredLosses, replicas), replicas)),
		MayVote: func(r *wire.Replica) bool { return founderAt(founders, r.GetAddress()) != r.GetId() },
		Joining: joining, HasCluster: hasCluster, Call: p.Pool.Call,
		// A process that is started again has forgotten what it promised.
		CanAdmit: func() bool { return canAdmit() && o.Bootstrap },
		Admit:    func() bool { return admit() && o.Bootstrap },
	}
	for _, f := range founders {
		options.Acceptors = append(options.Acceptors, f.GetAddress())
	}
	return control.NewFormation(options)
}

// runFormation proposes first voters if this process is in its first start.
func (o *ControlOptions) runFormation(ctx context.Context, formation *control.Formation) {
	if o.Bootstrap {
		formation.Run(ctx)
	}
}

// canAdmitFormation reports whether admitFormation would admit.
func (h *replicaHost) canAdmitFormation() bool { return len(h.status().Replicas) == 0 }

// admitFormation reports whether this process may answer those that propose the first voters.
// A replica that is a founder gives up that identity first, also if it doesn't answer since it
// was started again: it can then be one of the first voters. One that has begun a log doesn't
// answer: if it is that of the founders, they form the cluster once a majority of them runs.
func (h *replicaHost) admitFormation() bool {
	founder := founderAt(h.options.founders(), h.options.Settings.Address())
	h.replacing.Lock()
	defer h.replacing.Unlock()
	r := h.replica()
	if r.Status().ID == founder && len(r.Status().Replicas) == 0 {
		h.replace(r, false)
		r = h.replica()
	}
	return r.Status().ID != founder && len(r.Status().Replicas) == 0
}

// giveUpFounder replaces a replica that has the identity of a founder by one with another,
// though it may have begun its log.
func (h *replicaHost) giveUpFounder(r *servedReplica) {
	h.replacing.Lock()
	defer h.replacing.Unlock()
	if h.replica() == r {
		h.replace(r, true)
	}
}

// replace stops a replica and starts another in its place, with a new identity if the log is
// empty or may be discarded. It must be called with h.replacing held.
func (h *replicaHost) replace(r *servedReplica, discard bool) {
	r.givenUp.Store(true)
	r.stop()
	if err := h.giveUpIdentity(discard); err != nil {
		event.ComponentEnded("data folder", err) // the next replica has either identity
	}
	r.replaceError = h.start()
	close(r.replaced)
}

// giveUpIdentity moves the files of the stopped replica away, if its log is empty or may be
// discarded. A replica may have begun its log at the moment at which it was stopped.
func (h *replicaHost) giveUpIdentity(discard bool) error {
	store, _, err := storage.OpenOrReset(h.options.Data, h.options.Storage)
	if err != nil {
		return err
	}
	state := store.State()
	empty := len(state.Entries) == 0 && state.Snapshot == nil
	if err := store.Close(); err != nil {
		return err
	}
	if !empty && !discard {
		return nil
	}
	event.FounderGivenUp(state.Identity)
	return storage.Reset(h.options.Data, h.options.Storage)
}
