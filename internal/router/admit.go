package router

import (
	"context"
	"sync"
	"time"

	"parsleypulley/internal/admission"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/shutdown"
)

// admitter drives an admission.Controller. It blocks goroutines until their request is
// admitted and sets the timer for the controller's ticks.
type admitter struct {
	mu         sync.Mutex
	controller *admission.Controller
	nextID     uint64
	// waiting holds, by request ID, the channels that receive the controller's
	// decisions.
	waiting map[uint64]chan admission.Action
	timer   *time.Timer
}

func newAdmitter() *admitter {
	return &admitter{
		controller: admission.New(admission.Settings{}),
		waiting:    map[uint64]chan admission.Action{},
	}
}

// ticket represents an admitted request until it finishes.
type ticket struct {
	admitter *admitter
	id       uint64
	// demotion is subtracted from the priority of the request.
	demotion int32
	once     sync.Once
}

// admit waits until req is admitted. A refusal is a *fault.Error.
func (a *admitter) admit(ctx context.Context, req admission.Request) (*ticket, error) {
	decided := make(chan admission.Action, 1)
	a.mu.Lock()
	a.nextID++
	req.ID = a.nextID
	a.waiting[req.ID] = decided
	a.deliver(a.controller.Admit(time.Now(), req))
	a.mu.Unlock()
	select {
	case action := <-decided:
		return a.newTicket(req.ID, action)
	case <-ctx.Done():
		return a.abandon(ctx, req.ID, decided)
	}
}

// newTicket returns the ticket of an admitted request, or the refusal.
func (a *admitter) newTicket(id uint64, action admission.Action) (*ticket, error) {
	if action.Refusal != nil {
		return nil, action.Refusal
	}
	return &ticket{admitter: a, id: id, demotion: action.Demotion}, nil
}

// abandon ends the wait of a request whose caller has disconnected, whose deadline has passed or
// that the shutdown ends. If the request has been admitted meanwhile, it releases the admission.
func (a *admitter) abandon(ctx context.Context, id uint64, decided chan admission.Action) (*ticket, error) {
	a.mu.Lock()
	delete(a.waiting, id)
	select {
	case action := <-decided:
		if action.Refusal == nil {
			a.deliver(a.controller.Finish(time.Now(), id, admission.Result{}))
		}
	default:
		a.deliver(a.controller.Finish(time.Now(), id, admission.Result{}))
	}
	a.mu.Unlock()
	if shutdown.Ended(ctx) {
		return nil, shutdown.NotRun()
	}
	return nil, fault.New(contextErrorKind(ctx.Err()), fault.NotRun, "gave up waiting for admission: %w", ctx.Err())
}

// deliver sends actions to the waiting goroutines and resets the timer. The caller
// must hold a.mu.
func (a *admitter) deliver(actions []admission.Action) {
	for _, action := range actions {
		if decided, ok := a.waiting[action.ID]; ok {
			delete(a.waiting, action.ID)
			decided <- action
		}
	}
	a.resetTimer()
}

func (a *admitter) resetTimer() {
	next := a.controller.NextTick()
	if next.IsZero() {
		return
	}
	wait := max(time.Until(next), 0)
	if a.timer == nil {
		a.timer = time.AfterFunc(wait, a.tick)
		return
	}
	a.timer.Reset(wait)
}

func (a *admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Tick(time.Now()))
}

// update calls change with the controller and delivers the resulting actions.
func (a *admitter) update(change func(*admission.Controller) []admission.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(change(a.controller))
}

// firstToken reports to the controller how long the request was queued before its
// first token.
func (t *ticket) firstToken(delay time.Duration) {
	t.admitter.update(func(c *admission.Controller) []admission.Action {
		return c.FirstToken(time.Now(), t.id, delay)
	})
}

// finish releases the admission. Further calls have no effect.
func (t *ticket) finish() {
	t.once.Do(func() {
		t.admitter.update(func(c *admission.Controller) []admission.Action {
			return c.Finish(time.Now(), t.id, admission.Result{})
		})
	})
}
