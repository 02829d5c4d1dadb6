package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/routing"
)

// successorWait is how long the connection of a begun stream stays open once the request that is to go on
// with it was sent elsewhere. A backend server without room refuses it within some round trips, and two
// servers must not work on one stream for longer than 400 ms.
const successorWait = 250 * time.Millisecond

// errSuccessorDropped is the cause of the end of a successor that is not used.
var errSuccessorDropped = errors.New("the stream goes on without this attempt")

// successor is the attempt that is to go on with a begun stream. It is sent while the attempt before it still
// may go on, which ends only once the successor is not refused.
type successor struct {
	decision *routing.Decision
	// number is the number of the attempt.
	number int
	// after is the ID of the event after which the stream goes on, and sentAt when the request was sent.
	after   string
	sentAt  time.Time
	watched *watchedAttempt
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// done is closed when the head of the response has arrived or the attempt has failed.
	done     chan struct{}
	response *response
	failure  *failure
}

// sendSuccessor selects the backend server for the attempt that goes on with the stream after an event, and
// sends its request. It returns nil if there is no such server. It is called while the call's own goroutine
// reads from the attempt before, and reads only what does not change meanwhile.
func (c *forwardedCall) sendSuccessor(req *routing.Request, after string, number int) *successor {
	d, err := c.f.selector.selectBackend(req, startLimits{})
	if err != nil {
		return nil
	}
	s := &successor{decision: d, number: number, after: after, sentAt: time.Now(), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(c.callCtx)
	s.watched = c.newWatch(d, s.cancel)
	send := c.prepareSend(d, s.sentAt, after)
	go func() {
		defer close(s.done)
		s.failure = &failure{InvalidResponse, errSuccessorDropped} // unless send returns
		recovery.Run("successor of a stream", func() { s.response, s.failure = send(s.ctx, s.watched) })
	}()
	return s
}

// accepted reports whether the attempt before may end: the successor's response has begun, or has not arrived in time.
func (s *successor) accepted(c *forwardedCall) bool {
	select {
	case <-s.done:
	default:
		return true
	}
	return s.failure == nil && classifyResponse(s.response) == 0 && isEventStream(s.response) && c.f.runs.isKnown(s.decision.Backend)
}

// mayHaveRun reports whether the request of a successor that was not used may have been executed.
func (s *successor) mayHaveRun() bool {
	select {
	case <-s.done:
	default:
		return true
	}
	if s.failure != nil {
		return s.failure.outcome.mayHaveRun()
	}
	outcome := classifyResponse(s.response)
	return outcome == 0 || outcome.mayHaveRun()
}

// drop ends a successor that is not used.
func (s *successor) drop(c *forwardedCall) {
	finish := func() {
		kind, text, reason := fault.Cancelled, "dropped", errSuccessorDropped
		if s.failure == nil {
			if outcome := classifyResponse(s.response); outcome != 0 {
				kind, text, reason = faultKinds[outcome], outcome.String(), fmt.Errorf("status %d", s.response.status)
			}
			s.response.close(false)
			s.response.release()
		} else if s.ctx.Err() == nil && !errors.Is(s.failure.err, errWithdrawn) {
			kind, text, reason = faultKinds[s.failure.outcome], s.failure.outcome.String(), s.failure.err
		}
		s.cancel(errSuccessorDropped)
		s.watched.endBegin()
		c.f.selector.failed(s.decision, kind)
		countAttempt(s.decision.Backend.GetName(), text)
		event.ForwardAttemptFailed(event.Attempt{Request: c.call.ID, Backend: s.decision.Backend.GetName(), Address: s.decision.Backend.GetAddress(), Number: s.number,
			ViewVersion: c.snapshot.Version, BeginIn: beginIn(s.decision, c.f.selector.clock())}, text, fmt.Errorf("successor of a begun stream after %.40q: %w", s.after, reason))
	}
	select {
	case <-s.done:
		finish()
	default:
		s.cancel(errSuccessorDropped)
		go func() { <-s.done; recovery.Run("successor of a stream", finish) }()
	}
}

// takeSuccessor returns the successor that was sent before the attempt before ended, or nil. One that goes on
// after another event than the last one that the caller has is dropped, as is one that must not be used any more.
func (c *forwardedCall) takeSuccessor() *successor {
	if c.watched == nil || c.watched.successor == nil {
		return nil
	}
	s := c.watched.successor
	c.watched.successor = nil
	if s.after != c.position.lastID || c.position.unknown || c.isFinal() || c.mayStillSend() != nil {
		c.countDropped(s)
		s.drop(c)
		return nil
	}
	return s
}

// dropSuccessor drops the successor of a call that ends before it was taken.
func (c *forwardedCall) dropSuccessor() {
	if c.watched != nil && c.watched.successor != nil {
		c.watched.successor.drop(c)
		c.watched.successor = nil
	}
}

// countDropped counts a successor that is not used.
func (c *forwardedCall) countDropped(s *successor) {
	c.RecordAttempt()
	c.triedBackends = append(c.triedBackends, s.decision.Backend.GetName())
	if s.mayHaveRun() {
		c.RecordPossibleExecution()
	}
}

// prepareSend returns the function that sends an attempt to a backend server. The function reads nothing of the
// call that changes between two attempts.
func (c *forwardedCall) prepareSend(d *routing.Decision, now time.Time, after string) func(context.Context, *watchedAttempt) (*response, *failure) {
	header := c.header.Clone()
	importAddress, saveAddress := c.cacheTransfers(d)
	c.f.dialect.PrepareAttempt(header, &Attempt{
		CacheImportAddress: importAddress,
		CacheSaveAddress:   saveAddress,
		Backend:            d.Backend,
		Account:            c.account.GetName(),
		Remaining:          c.Deadline.Sub(now),
		CacheSalt:          c.versionedSalt(d.CacheVersion),
		Urgency:            urgencyOf(c.route, c.account),
		LastEventID:        after,
		WeightsVersion:     d.WeightsVersion,
	})
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	req := newRequest(c.r, d.Backend.GetAddress(), header, c.body)
	check, atMostOnce := c.checkSend(d), !c.Idempotent
	return func(ctx context.Context, watched *watchedAttempt) (*response, *failure) {
		return c.f.send(ctx, watched, d.Backend.GetAddress(), req, c.body, c.call.ID, atMostOnce, check, func(info ResponseInfo) { c.f.recordNotices(d, info) })
	}
}
