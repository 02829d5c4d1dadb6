package forward

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/reach"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// reportInterval is the time between two messages to the leader about one backend server
	// that can't be reached, and reportTimeout limits the sending of one. Later the leader has
	// noticed by itself.
	reportInterval = time.Second
	reportTimeout  = time.Second
)

// silence counts checks of backend servers by result, successors of begun streams by what became of them
// ("successors_used", "_dropped", and "_none" if no server could be selected), attempts that ended as their backend
// server was unreachable ("attempts_ended"), streams ended as stalled ("stalled"), how often one was
// not ended as its call could not go on elsewhere ("stalled_kept"), and results that were not used
// since something arrived from the backend server meanwhile ("contradicted"). Of the attempts whose
// callers had received a part of the response it counts those that an unreachable backend server ended
// ("begun_ended"), how often one went on since its call could not go on elsewhere ("begun_kept"), and how
// often one had been ended before its caller received anything ("ended_before_begin").
var silence = expvar.NewMap("forward_silence")

var (
	// errUnreachable is the cause of the end of attempts whose backend server's machine does
	// not answer.
	errUnreachable = errors.New("the machine of the backend server does not answer")
	// errStalled is the cause of the end of attempts whose stream makes no progress.
	errStalled = errors.New("the stream makes no progress")
)

// UnreachableReporter tells the leader that this router can't reach a backend server.
type UnreachableReporter interface {
	ReportUnreachable(ctx context.Context, server *wire.UnreachableServer) error
}

// silenceGuard watches the attempts of a router. It is safe for concurrent use.
type silenceGuard struct {
	monitor  *reach.Monitor
	pauses   *pauseTable
	connPool *connPool
	reporter UnreachableReporter

	mu sync.Mutex
	// attempts holds the attempts that run, by the address of their backend server. Empty maps
	// are removed by setView, not after each attempt.
	attempts map[string]map[*watchedAttempt]bool
	// suspected holds the names of the backend servers with attempts that the view gave as
	// suspected when they were looked at last.
	suspected map[string]bool
	// reportedAt holds when the leader was told of a backend server last, by name.
	reportedAt map[string]time.Time
}

// newSilenceGuard returns a guard that checks with connections of dialer; nil stands for a
// *net.Dialer.
func newSilenceGuard(dialer reach.Dialer, pool *connPool, reporter UnreachableReporter) *silenceGuard {
	return &silenceGuard{
		monitor:  reach.NewMonitor(dialer, func(_ string, r reach.Result) { silence.Add("checks_"+r.String(), 1) }),
		pauses:   &pauseTable{routes: map[string]*routePauses{}},
		connPool: pool, reporter: reporter,
		attempts: map[string]map[*watchedAttempt]bool{}, suspected: map[string]bool{}, reportedAt: map[string]time.Time{},
	}
}

// watchedAttempt is an attempt that runs.
type watchedAttempt struct {
	guard   *silenceGuard
	backend *wire.Backend
	request string
	// pauses is nil unless the response is a stream.
	pauses *routePauses
	cancel context.CancelCauseFunc
	// takeRetry reports whether another backend server can take the request that would follow,
	// and if so takes a retry from the budget. It is called while mu is held, before the attempt
	// of a call that has received a part of its response is ended.
	takeRetry func(*routing.Request) bool
	// conn is the connection in use; nil before there is one.
	conn atomic.Pointer[conn]
	// lost is shared by the attempts that end for the same reason; nil if the attempt has not
	// been ended by the guard. It must not be read before the attempt's context has ended.
	lost *lostServer
	// retryTaken is set if the attempt was ended after takeRetry had taken a retry. It
	// must not be read before the attempt's context has ended.
	retryTaken bool
	// call sends the successor of the attempt; nil in tests, in which attempts end at once.
	call *forwardedCall
	// successor is the attempt that goes on with the stream, if it was sent already, and dropped holds
	// those that were not used. Neither must be read before end has returned.
	successor *successor
	dropped   []*successor

	mu sync.Mutex
	// delivered is set if the caller has received a part of the response.
	delivered bool
	// next is the request for the backend server of the attempt that would follow.
	next  routing.Request
	watch attemptWatch
	timer *time.Timer
	// ended is set once the attempt has ended or is being ended.
	ended bool
	// after is the ID of the last event that the caller has got, and events counts those with data.
	after  string
	events int
	// moving is closed when the successor that is being sent is accepted or dropped, and over when
	// the attempt has ended; nil if none is being sent.
	moving, over chan struct{}
	// shortPauses counts the pauses that are not recorded yet.
	shortPauses int64
	// begin takes the attempt back if it has not begun in time; nil if it need not.
	begin *beginTimer
}

// lostServer is the end of all attempts at a backend server that can't be reached.
type lostServer struct{ failed atomic.Bool }

// begin starts to watch an attempt.
func (g *silenceGuard) begin(a *watchedAttempt) {
	a.guard = g
	now := time.Now()
	g.mu.Lock()
	at := g.attempts[a.backend.GetAddress()]
	if at == nil {
		at = map[*watchedAttempt]bool{}
		g.attempts[a.backend.GetAddress()] = at
	}
	at[a] = true
	g.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(a.watch.begin(now).Sub(now), a.tick)
}

// end ends the watch of an attempt.
func (g *silenceGuard) end(a *watchedAttempt) {
	address := a.backend.GetAddress()
	g.mu.Lock()
	delete(g.attempts[address], a)
	g.mu.Unlock()
	a.mu.Lock()
	a.ended = true
	a.timer.Stop()
	a.stopBegin()
	if a.shortPauses > 0 {
		a.pauses.recordPauses(time.Now(), shortPause, a.shortPauses)
	}
	moving := a.moving
	if moving != nil {
		close(a.over)
	}
	a.mu.Unlock()
	if moving != nil {
		<-moving
	}
}

// reached records the ID of the last event that the caller has got.
func (a *watchedAttempt) reached(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.after = id
}

// expectNoEvents records that the response is no stream, also on a streaming route.
func (a *watchedAttempt) expectNoEvents() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watch.stream = false
}

// allowEnd records whether the attempt may be ended when it stalls, whether the caller has received a
// part of the response, and the request for the backend server of the attempt that would follow.
func (a *watchedAttempt) allowEnd(allowed, delivered bool, next routing.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watch.mayEnd, a.delivered, a.next = allowed, delivered, next
}

// beginDelivery records that the caller is about to receive the first part of the response. It reports false
// if the guard has ended the attempt: what has arrived of the response must not be passed on then, as the
// rest would not follow. Until allowEnd is called, the guard does not end the attempt.
func (a *watchedAttempt) beginDelivery() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		silence.Add("ended_before_begin", 1)
		return false
	}
	a.watch.mayEnd, a.delivered = false, true
	return true
}

// goesOnElsewhere reports whether the call of the attempt, whose caller has received a part of the response,
// can go on at another backend server now, and if so takes a retry from the budget for that. a.mu must be
// held.
func (a *watchedAttempt) goesOnElsewhere(now time.Time) bool {
	return a.moving == nil && a.watch.mayEnd && a.watch.deadline.Sub(now) >= successorWait+minAttemptTime && a.takeRetry(&a.next)
}

// moveOn sends the request that goes on with the stream elsewhere, and then ends the attempt for the given cause. It
// goes on if nobody takes the request, if it makes progress meanwhile or, where lost is not nil since the server
// could not be reached, if anything arrives from there. moved is called before it is ended. a.mu must be held, and
// goesOnElsewhere must have returned true.
func (a *watchedAttempt) moveOn(cause error, lost *lostServer, moved func()) {
	if a.call == nil {
		a.ended, a.lost, a.retryTaken = true, lost, true
		moved()
		a.cancel(cause)
		return
	}
	a.moving, a.over = make(chan struct{}), make(chan struct{})
	next, after, events, began, number := a.next, a.after, a.events, time.Now(), a.call.AttemptCount()+len(a.dropped)+1
	go recovery.Run("successor of a stream", func() {
		defer a.endMove()
		s := a.call.sendSuccessor(&next, after, number)
		if s == nil {
			silence.Add("successors_none", 1)
			return
		}
		wait := time.NewTimer(successorWait)
		defer wait.Stop()
		select {
		case <-s.done:
		case <-wait.C:
		case <-a.over:
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		goesOn := a.events != events || lost != nil && a.heardSince(began)
		if a.ended || goesOn || !s.accepted(a.call) {
			silence.Add("successors_dropped", 1)
			a.dropped = append(a.dropped, s)
			s.drop(a.call)
			return
		}
		silence.Add("successors_used", 1)
		a.ended, a.lost, a.retryTaken, a.successor = true, lost, true, s
		moved()
		a.cancel(cause)
	})
}

// endMove records that no successor is being sent any more.
func (a *watchedAttempt) endMove() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.moving)
	a.moving, a.over = nil, nil
}

// wait records that the router waits for progress of the attempt.
func (a *watchedAttempt) wait(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watch.wait(now)
}

// eventArrived records an event.
func (a *watchedAttempt) eventArrived(now time.Time) {
	a.mu.Lock()
	a.events++
	pause, first := a.watch.eventArrived(now)
	if !first && pause <= shortPause {
		a.shortPauses++
	}
	a.mu.Unlock()
	switch {
	case first:
		a.pauses.recordFirst(now, pause)
	case pause > shortPause:
		a.pauses.recordPauses(now, pause, 1)
	}
}

// tick does what is due for the attempt. It is called by its timer.
func (a *watchedAttempt) tick() {
	now := time.Now()
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		return
	}
	silentSince := a.watch.waitingSince
	action, next := a.watch.tick(now, a.pauses.usualPauses)
	pause, sentFor, started := now.Sub(a.watch.waitingSince), now.Sub(a.watch.sentAt), a.watch.started
	stalled := func() {
		// Otherwise a route whose streams have become slower would never be known as slow.
		if started {
			a.pauses.recordPauses(now, pause, 1)
		} else {
			a.pauses.recordFirst(now, sentFor)
		}
		silence.Add("stalled", 1)
		event.StreamStalled(a.request, a.backend.GetName(), a.backend.GetAddress(), pause)
	}
	switch {
	case action != endStalled:
	case !a.delivered:
		a.ended = true
	case a.goesOnElsewhere(now):
		a.moveOn(errStalled, nil, stalled)
		if a.ended {
			a.mu.Unlock()
			return
		}
		action, next = a.watch.keep(now, a.pauses.usualPauses)
	default:
		silence.Add("stalled_kept", 1)
		action, next = a.watch.keep(now, a.pauses.usualPauses)
	}
	if action == keepWaiting {
		a.timer.Reset(next.Sub(now))
	}
	a.mu.Unlock()
	switch action {
	case endStalled:
		stalled()
		a.cancel(errStalled)
	case checkServer:
		began := a.guard.check(a.backend, a, silentSince)
		a.mu.Lock()
		defer a.mu.Unlock()
		if now := time.Now(); !a.ended {
			a.timer.Reset(a.watch.checked(now, began).Sub(now))
		}
	}
}

// heardAt returns when something arrived last on the attempt's connection; the zero time if nothing
// has.
func (a *watchedAttempt) heardAt() time.Time {
	c := a.conn.Load()
	if c == nil {
		return time.Time{}
	}
	return c.head.lastHeard()
}

// heardSince reports whether anything arrived on the attempt's connection since a time.
func (a *watchedAttempt) heardSince(t time.Time) bool { return a.heardAt().After(t) }

// check checks whether the machine of a backend server answers, and if it does not, ends the attempts there
// that unreachable says. silent is the attempt that has asked for the check since it was silent from a time on;
// it may be nil. Then the result is used only if nothing has arrived from there for silenceBeforeCheck
// either, since the pauses of a sound stream may be longer than a check. check returns when the check
// began, which may have been run for another attempt.
func (g *silenceGuard) check(b *wire.Backend, silent *watchedAttempt, silentSince time.Time) time.Time {
	finding := g.monitor.Check(context.Background(), b.GetAddress(), func() string { return g.witness(b.GetAddress()) })
	if finding.Result == reach.Unreachable || finding.Result == reach.NoneReachable {
		g.unreachable(b, finding, silent, silentSince)
	}
	return finding.Began
}

// witness returns the address of the backend server on another machine than the one at the given address
// from which a byte has arrived last, or "" if none has within silenceBeforeCheck.
func (g *silenceGuard) witness(checked string) (address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard := time.Now().Add(-silenceBeforeCheck)
	host := hostOf(checked)
	for other, attempts := range g.attempts {
		if hostOf(other) == host {
			continue
		}
		for a := range attempts {
			if at := a.heardAt(); at.After(heard) {
				address, heard = other, at
			}
		}
	}
	return address
}

// hostOf returns the host of an address with a port.
func hostOf(address string) string {
	return address[:max(0, strings.LastIndexByte(address, ':'))]
}

// unreachable ends the attempts at the address of a backend server that a check, begun at a given
// time, could not reach. A result that is contradicted by something that arrived from there since
// is not used: the machine may have dropped the connections of the check as too many were being
// opened. The attempt that asked for the check must not have heard anything since it fell silent:
// on a busy VM, what arrived right before the check may not have been read yet.
//
// A check is no proof against a connection that is open: a sound server whose listener's queue is full does not
// answer it either, nor the same check of the leader. So an attempt whose caller has received a part of the
// response ends only if its call goes on elsewhere, and else with its own connection, on which the kernel
// sends probes (see newDialer), or at its deadline.
//
// If the router could not reach any server, the server may be sound and the router at fault: attempts whose
// callers have received a part of the response go on, and the leader is not told. The other callers may come
// back at a router with a better network.
func (g *silenceGuard) unreachable(b *wire.Backend, finding reach.Finding, silent *watchedAttempt, silentSince time.Time) {
	address, since := b.GetAddress(), finding.Began
	if earliest := time.Now().Add(-silenceBeforeCheck); silent == nil && earliest.Before(since) {
		since = earliest
	}
	g.mu.Lock()
	attempts := g.attempts[address]
	for a := range attempts {
		if a.heardSince(since) || a == silent && a.heardSince(silentSince) {
			g.mu.Unlock()
			silence.Add("contradicted", 1)
			return
		}
	}
	now, lost := time.Now(), &lostServer{}
	var ending []*watchedAttempt
	begun := 0
	for a := range attempts {
		a.mu.Lock()
		switch {
		case a.ended || a.moving != nil:
		case a.delivered && (finding.Result == reach.NoneReachable || !a.goesOnElsewhere(now)):
			silence.Add("begun_kept", 1)
		case a.delivered:
			begun++
			a.moveOn(errUnreachable, lost, func() {
				silence.Add("attempts_ended", 1)
				silence.Add("begun_ended", 1)
			})
		default:
			a.ended, a.lost = true, lost
			ending = append(ending, a)
		}
		if a.ended {
			delete(attempts, a)
		}
		a.mu.Unlock()
	}
	g.mu.Unlock()
	if finding.Result == reach.Unreachable {
		g.connPool.closeIdle(address)
	}
	for _, a := range ending {
		silence.Add("attempts_ended", 1)
		a.cancel(errUnreachable)
	}
	if finding.Result == reach.Unreachable {
		g.report(b, len(ending)+begun, begun)
	}
}

// report logs that a backend server can't be reached, for which a number of attempts ended, some of
// them after their response had begun, and tells the leader, at most once within reportInterval.
func (g *silenceGuard) report(b *wire.Backend, attempts, begun int) {
	now := time.Now()
	g.mu.Lock()
	due := now.Sub(g.reportedAt[b.GetName()]) >= reportInterval
	if due {
		g.reportedAt[b.GetName()] = now
	}
	g.mu.Unlock()
	if due || attempts > 0 {
		event.BackendUnreachable(b.GetName(), b.GetAddress(), attempts, begun)
	}
	if !due || g.reporter == nil {
		return
	}
	silence.Add("reports", 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		server := &wire.UnreachableServer{Backend: b.GetName(), Incarnation: b.GetAgentIncarnation()}
		if err := g.reporter.ReportUnreachable(ctx, server); err != nil {
			event.UnreachableReportFailed(b.GetName(), err)
		}
	}()
}

// setView checks each backend server with attempts that has become suspected in the view.
func (g *silenceGuard) setView(s *view.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspected := map[string]bool{}
	for address, attempts := range g.attempts {
		if len(attempts) == 0 {
			delete(g.attempts, address)
		}
		for a := range attempts {
			name := a.backend.GetName()
			if s.Member(name).GetState() != wire.BackendState_BACKEND_STATE_SUSPECTED {
				continue
			}
			if !suspected[name] && !g.suspected[name] {
				go g.check(a.backend, nil, time.Time{})
			}
			suspected[name] = true
		}
	}
	g.suspected = suspected
	for name := range g.reportedAt {
		if s.Member(name) == nil {
			delete(g.reportedAt, name)
		}
	}
}

// endedByWatch reports whether an attempt's context was ended since its backend server is
// unreachable, its stream has stalled, or it has not begun in time.
func endedByWatch(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errUnreachable) || errors.Is(cause, errStalled) || errors.Is(cause, errTakenBack)
}

// outcomeText returns the outcome of the current attempt for the log. An attempt that the router has
// ended did not break off.
func (c *forwardedCall) outcomeText(outcome Outcome) string {
	switch cause := context.Cause(c.ctx); {
	case outcome != InvalidResponse:
	case errors.Is(cause, errStalled):
		return "stalled"
	case errors.Is(cause, errUnreachable):
		return "unreachable"
	}
	return outcome.String()
}

// failureKind returns the kind of failure that routing gets for the outcome of the current
// attempt. Of all attempts that end with an unreachable backend server only one counts as its
// failure, as for a failed connection, or the breaker would stay open for as many failures.
func (c *forwardedCall) failureKind(outcome Outcome) fault.Kind {
	switch cause := context.Cause(c.ctx); {
	case outcome == Unsent:
	case errors.Is(cause, errStalled):
		return fault.BackendTimeout
	case errors.Is(cause, errUnreachable):
		if c.watched.lost.failed.CompareAndSwap(false, true) {
			return fault.BackendRefused
		}
		return fault.Cancelled
	}
	return faultKinds[outcome]
}
