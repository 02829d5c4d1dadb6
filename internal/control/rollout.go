package control

import (
	"context"
	"strconv"
	"sync"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

// engineTimeout bounds one call to an engine.
const engineTimeout = time.Second

// planRollout takes the next steps of the rollout of new weights.
func (l *leader) planRollout(ctx context.Context, term uint64) {
	if l.options.Engines == nil {
		return
	}
	snapshot := l.machine.Log().Snapshot()
	l.mu.Lock()
	var actions []fleet.RolloutAction
	if l.rollout != nil {
		actions = l.rollout.Plan(steady.Now(), snapshot.Members(), snapshot.WeightsTargets())
	}
	l.mu.Unlock()
	l.perform(ctx, term, actions)
}

// perform carries out the actions of a rollout. It returns once the proposed changes
// are decided; calls to engines continue in the background.
func (l *leader) perform(ctx context.Context, term uint64, actions []fleet.RolloutAction) {
	var wg sync.WaitGroup
	for _, a := range actions {
		switch {
		case a.Propose != nil:
			wg.Go(func() {
				recovery.Run("proposals", func() { l.proposeOne(ctx, backendCommands([]*wire.BackendChange{a.Propose})[0]) })
			})
		case a.Report != nil:
			go recovery.Run("engine report", func() { l.report(ctx, term, a.Report) })
		case a.Order != nil:
			go recovery.Run("engine order", func() { l.order(ctx, term, a.Order) })
		}
	}
	wg.Wait()
}

// report queries an engine for its state, passes the reply to the rollout and carries out
// the actions that follow.
func (l *leader) report(ctx context.Context, term uint64, b *wire.Backend) {
	callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := l.options.Engines.Report(callCtx, b)
	if err != nil {
		event.PreLoadReportMissing(b.GetName(), err)
	}
	targets := l.machine.Log().Snapshot().WeightsTargets()
	l.mu.Lock()
	var actions []fleet.RolloutAction
	if l.rollout != nil && l.rolloutTerm == term {
		actions = l.rollout.Report(steady.Now(), b, report, err, targets)
	}
	l.mu.Unlock()
	l.perform(ctx, term, actions)
}

// order sends an order to an engine, passes the reply to the rollout and carries out the
// actions that follow.
func (l *leader) order(ctx context.Context, term uint64, order *fleet.LoadOrder) {
	err := l.sendOrder(ctx, order)
	orderInfo := event.Order{Backend: order.Backend.GetName(), Model: order.Model, Weights: strconv.FormatUint(order.Version, 10), Fencing: order.Fencing, Orders: order.Orders}
	if err != nil {
		event.OrderRefused(orderInfo, err)
	} else {
		event.WeightsLoading(orderInfo)
	}
	l.mu.Lock()
	var actions []fleet.RolloutAction
	if l.rollout != nil && l.rolloutTerm == term {
		actions = l.rollout.OrderReply(steady.Now(), order, err)
	}
	l.mu.Unlock()
	l.perform(ctx, term, actions)
}

// sendOrder sends an order to an engine if this replica is known to lead in the term of the order.
func (l *leader) sendOrder(ctx context.Context, order *fleet.LoadOrder) error {
	if status := l.status(); status.Term != order.Fencing || !status.Confirmed {
		return fault.New(fault.Unavailable, fault.NotRun, "the leadership is not confirmed")
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return l.options.Engines.Order(ctx, order)
}
