package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
)

// attempt runs one attempt and returns the next step. A zero Step means that the
// call is complete.
func (c *forwardedCall) attempt() Step {
	now := time.Now()
	if c.isFinal() {
		return c.Stopped(Unsent)
	}
	c.awaitConfirmation()
	c.updateCacheScope()
	if reason := c.quarantined(); reason != "" {
		crashes.Add("refused", 1)
		return c.Quarantined(reason)
	}
	if err := c.mayStillSend(); err != nil {
		return c.Forbidden(fault.From(err))
	}
	if c.softwareDoubtful() {
		runDoubts.Add("not_moved", 1)
		return Step{Abort: true}
	}
	if s := c.takeSuccessor(); s != nil {
		return c.attemptAt(s.sentAt, s.decision, s)
	}
	d, err := c.selectBackend()
	if c.isFinal() { // it may have waited for permits
		if err == nil {
			c.f.selector.failed(d, fault.Cancelled)
		}
		return c.Stopped(Unsent)
	}
	if err != nil {
		if c.AttemptCount() == 0 {
			return Step{Err: fault.From(err)}
		}
		step := c.NoBackend(now)
		if step.Err != nil {
			step.Err.WithRetryAfter(fault.From(err).RetryAfter)
		}
		return step
	}
	return c.attemptAt(now, d, nil)
}

// attemptAt runs an attempt at a backend server, which began at the given time. s is the attempt if it was sent
// already as a successor, and nil otherwise.
func (c *forwardedCall) attemptAt(now time.Time, d *routing.Decision, s *successor) Step {
	if err := c.quota.BeginAttempt(); err != nil {
		if s != nil {
			s.drop(c)
		}
		c.f.selector.failed(d, fault.Cancelled)
		return Step{Err: fault.From(err)}
	}
	c.RecordAttempt()
	c.attemptedAt = now
	c.backend = d.Backend.GetName()
	c.triedBackends = append(c.triedBackends, c.backend)
	c.recordKnownCrashes()
	var cancel context.CancelCauseFunc
	if s != nil {
		c.ctx, cancel, c.watched = s.ctx, s.cancel, s.watched
	} else {
		c.ctx, cancel = context.WithCancelCause(c.callCtx)
		c.watched = c.newWatch(d, cancel)
	}
	defer cancel(nil)
	c.f.crashes.begin(c, cancel)
	if c.route.GetStream() {
		c.allowEndOfStalled()
	}
	c.f.silence.begin(c.watched)
	returned := false
	defer func() {
		if !returned { // a panic ends this call only: what it held is given back
			c.f.silence.end(c.watched)
			c.f.crashes.end(c)
			c.f.selector.failed(d, fault.Internal)
		}
	}()
	fail, step := c.runAttempt(now, d, s)
	returned = true
	c.f.silence.end(c.watched)
	for _, refused := range c.watched.dropped {
		c.countDropped(refused)
	}
	c.f.crashes.end(c)
	c.quota.EndAttempt(fail == nil || fail.outcome.mayHaveRun())
	if fail == nil {
		countAttempt(c.backend, answered)
		return step
	}
	now = time.Now()
	if c.r.Context().Err() != nil {
		c.f.selector.failed(d, fault.Cancelled)
		return Step{Err: fault.New(fault.Cancelled, fault.Unknown, "the caller has left")}
	}
	if c.isFinal() {
		c.f.selector.failed(d, fault.Cancelled)
		c.outcomes = append(c.outcomes, fmt.Sprintf("%s:%s", c.backend, fail.outcome))
		return c.Stopped(fail.outcome)
	}
	if errors.Is(context.Cause(c.ctx), errPartQuarantined) {
		c.f.selector.failed(d, fault.Cancelled)
		c.outcomes = append(c.outcomes, c.backend+":cancelled")
		crashes.Add("cancelled", 1)
		return c.Cancelled(partReason)
	}
	if errors.Is(context.Cause(c.ctx), errTakenBack) {
		return c.takenBack(now, d, fail)
	}
	if errors.Is(fail.err, errWithdrawn) {
		c.f.selector.failed(d, fault.Cancelled)
		c.triedBackends = c.triedBackends[:len(c.triedBackends)-1] // it may be chosen again
		c.outcomes = append(c.outcomes, c.backend+":withdrawn")
		countAttempt(c.backend, "withdrawn")
		c.logFailure(d, "withdrawn", fail.err)
		return c.Next(now, Unsent, nil)
	}
	if fail.outcome == Unsent && isTimeout(fail.err) {
		go c.f.silence.check(d.Backend, nil, time.Time{}) // other attempts may wait there
	}
	c.recordBreak(d.Backend, fail)
	if fail.outcome == InvalidResponse {
		c.checkCrash(d, fail.err)
		now = time.Now()
	}
	countAttempt(c.backend, fail.outcome.String())
	c.f.selector.failed(d, c.failureKind(fail.outcome))
	c.outcomes = append(c.outcomes, fmt.Sprintf("%s:%s", c.backend, c.outcomeText(fail.outcome)))
	c.logFailure(d, c.outcomeText(fail.outcome), fail.err)
	retryTaken := endedByWatch(c.ctx) && c.watched.retryTaken
	return c.Next(now, fail.outcome, func() bool { return retryTaken || c.f.selector.tryRetry(c.service) })
}

// newWatch returns the watch of an attempt.
func (c *forwardedCall) newWatch(d *routing.Decision, cancel context.CancelCauseFunc) *watchedAttempt {
	a := &watchedAttempt{backend: d.Backend, request: c.call.ID, cancel: cancel, call: c,
		watch: attemptWatch{deadline: c.Deadline, predicted: d.Wait + d.Prefill, stream: c.route.GetStream()}}
	a.takeRetry = func(next *routing.Request) bool {
		// Others may have become doubtful, or have refused, since next was made.
		next.Tried = slices.Clone(c.excludedBackends())
		executions := c.PossibleExecutions() + 1
		for _, s := range a.dropped {
			next.Tried = append(next.Tried, s.decision.Backend.GetName())
			if s.mayHaveRun() {
				executions++
			}
		}
		now := *next
		return executions < c.MaxAttempts && c.AttemptCount()+len(a.dropped) < c.MaxAttempts+extraAttempts &&
			!c.softwareDoubtful() && c.f.selector.takeRetry(c.service, &now)
	}
	if c.route.GetStream() {
		a.pauses = c.f.silence.pauses.of(c.route.GetName())
	}
	if t := c.beginWatch(d); t != nil {
		a.watchBegin(t)
	}
	return a
}

// allowEndOfStalled tells the watch of the current attempt whether it may be ended when it stalls. A
// caller that has received nothing gets 502 then if no other attempt can follow, and may come back
// while time is left. One that has received a part would lose the rest.
func (c *forwardedCall) allowEndOfStalled() {
	allowed := c.Idempotent
	if c.headerWritten {
		allowed = c.MayFollow()
	}
	c.watched.allowEnd(allowed, c.headerWritten, *c.routingRequest(2))
}

// routingRequest returns the request for the backend server of the next attempt. executions is the number of
// attempts that may have been executed once it may have been too, without those counted already.
func (c *forwardedCall) routingRequest(executions int) *routing.Request {
	return &routing.Request{
		Deadline: c.f.selector.clock().Add(time.Until(c.Deadline)), LastAttempt: !c.mayFollow(executions), Streamed: c.route.GetStream(),
		Service: c.service, Model: c.model(), Account: c.cacheScope.salt, Levels: c.promptLevels, Tried: c.excludedBackends(), Urgency: urgencyOf(c.route, c.account),
		SoftwareVersion: c.softwareVersion, BoundToSoftware: c.bound,
	}
}

// model returns the model that the call is for. A call that names none is for the only model that
// its service declares, if there is just one.
func (c *forwardedCall) model() string {
	if c.call.Model == "" {
		if models := c.snapshot.Routes.Service(c.service).GetEngine().GetModels(); len(models) == 1 {
			return models[0]
		}
	}
	return c.call.Model
}

// excludedBackends returns the names of the backend servers that can't be chosen for the next attempt: those
// tried, and those at which no stream goes on now.
func (c *forwardedCall) excludedBackends() []string {
	if !c.bound {
		return c.triedBackends
	}
	return append(slices.Clone(c.triedBackends), c.f.runs.doubtful()...)
}

// recordPause records the time between two events of the call, also of different attempts.
func (c *forwardedCall) recordPause(now time.Time) {
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// selectBackend selects the backend server for an attempt. If that takes permits, it waits
// for them for a short time.
func (c *forwardedCall) selectBackend() (*routing.Decision, error) {
	req := c.routingRequest(1)
	d, err := c.f.selector.selectBackend(req, c.startLimits())
	if errors.Is(err, routing.ErrPermitsNeeded) {
		c.f.permits.refresh(c.callCtx)
		req.PermitsAsked = true
		d, err = c.f.selector.selectBackend(req, c.startLimits())
	}
	return d, err
}

// runAttempt sends an attempt to the chosen backend server and forwards its
// response. It returns either a failure, which attempt passes to RetryState.Next, or
// the next step of the call.
func (c *forwardedCall) runAttempt(now time.Time, d *routing.Decision, s *successor) (*failure, Step) {
	c.decision = d
	c.outdatedFor, c.beginIn = c.f.selector.outdatedFor(d), beginIn(d, c.f.selector.clock())
	c.cacheImportAddress, c.cacheSaveAddress = c.cacheTransfers(d)
	var resp *response
	var fail *failure
	if s != nil {
		<-s.done
		resp, fail = s.response, s.failure
	} else {
		resp, fail = c.prepareSend(d, now, c.position.lastID)(c.ctx, c.watched)
	}
	if fail != nil {
		return fail, Step{}
	}
	defer resp.release()
	if c.f.runs.survived(d.Backend, resp.conn.lastUsed) { // the same connection
		c.f.compareStarts()
	}
	headAt := time.Now()
	c.watched.wait(headAt)
	attemptLatency.head.Record(headAt, headAt.Sub(now))
	outcome := classifyResponse(resp)
	stream := c.route.GetStream() && c.r.Method != http.MethodHead
	if outcome == 0 && stream && !isEventStream(resp) {
		outcome = noStreamOutcome(resp, c.headerWritten)
	}
	switch {
	case outcome == 0 && stream && isEventStream(resp):
		c.quota.Spend()
		return c.forwardStream(d, resp)
	case !c.headerWritten && (outcome == 0 || outcome == Failed):
		c.quota.Spend()
		return c.forwardResponse(d, resp, outcome)
	}
	if !outcome.mayHaveRun() {
		return resp.refuse(outcome), Step{}
	}
	resp.discard()
	return &failure{outcome, fmt.Errorf("status %d, type %q", resp.status, resp.header.Get("Content-Type"))}, Step{}
}

// classifyResponse returns the outcome that the status and the headers of a
// response show, or 0 if they show no failure.
func classifyResponse(r *response) Outcome {
	switch {
	case r.info.ID == "":
		return InvalidResponse // it may belong to another call
	case r.repeated && (r.info.Misdirected || r.info.NotExecuted):
		refusals.Add("repeated_id", 1)
		return InvalidResponse // it may be a copy of an earlier refusal
	case r.info.Misdirected:
		return Misdirected
	case r.info.NotExecuted:
		return Refused
	case !r.info.FromBackend || r.header.Get("Content-Encoding") != "":
		return InvalidResponse
	case impliesNotExecuted(r.status):
		// Callers take these statuses to mean that the call was not executed, but this
		// response does not guarantee it.
		return InvalidResponse
	case r.status >= http.StatusInternalServerError:
		return Failed
	}
	return 0
}

// impliesNotExecuted reports whether callers take a status to mean that the call
// was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardResponse forwards a non-streaming response. It buffers up to
// maxBufferedBody bytes before it writes anything, so that a response cut off
// within them can still be retried. It must not be called once the caller has been sent headers.
func (c *forwardedCall) forwardResponse(d *routing.Decision, r *response, outcome Outcome) (*failure, Step) {
	c.watched.expectNoEvents()
	if fail := c.hasBegun(r); fail != nil { // the head shows it
		return fail, Step{}
	}
	if outcome == Failed {
		now := time.Now()
		step := c.Next(now, Failed, func() bool { return c.f.selector.tryRetry(c.service) })
		if !step.PassThrough {
			r.discard()
			c.f.selector.failed(d, faultKinds[Failed])
			c.outcomes = append(c.outcomes, fmt.Sprintf("%s:%s", c.backend, Failed))
			return nil, step
		}
	}
	hold := r.conn.memory.Hold(r.conn.address, freePartMemory)
	defer hold.Release()
	body, more, err := r.bufferBody(hold)
	if err != nil && outcome == Failed {
		r.close(false)
		c.recordBreak(d.Backend, &failure{InvalidResponse, err})
		c.f.selector.failed(d, c.failureKind(InvalidResponse))
		c.checkCrash(d, err)
		c.outcomes = append(c.outcomes, fmt.Sprintf("%s:%s", c.backend, InvalidResponse))
		return nil, c.PassThroughFailed(time.Now())
	}
	if err != nil {
		r.close(false)
		return &failure{InvalidResponse, err}, Step{}
	}
	if !more {
		r.close(true)
		if outcome == Failed {
			c.f.selector.failed(d, faultKinds[Failed])
		} else {
			c.f.selector.finished(d)
			c.answered(r)
		}
		length := int64(len(body))
		if c.r.Method == http.MethodHead {
			length = r.length // that of the body which the response to GET would have
		}
		c.writeHeader(r, length)
		if err := c.writeBody(body); err != nil {
			return nil, Step{Err: fault.New(fault.Cancelled, fault.Ran, "the caller has left: %w", err)}
		}
		return nil, Step{}
	}
	if fail := c.beginDelivery(r); fail != nil {
		return fail, Step{}
	}
	c.writeHeader(r, r.length)
	c.allowEndOfStalled() // the caller has received a part
	c.writeBody(body)
	body = nil
	hold.Release()
	rest := &errorRecorder{Reader: r.body}
	_, err = io.CopyBuffer(writerOnly{c.w}, rest, make([]byte, copyBuffer))
	r.close(err == nil)
	switch {
	case rest.err != nil && c.r.Context().Err() != nil:
		c.f.selector.failed(d, fault.Cancelled)
	case rest.err != nil && endedByWatch(c.ctx):
		c.f.selector.failed(d, c.failureKind(InvalidResponse))
	case rest.err != nil && c.ctx.Err() != nil:
		c.f.selector.failed(d, faultKinds[TimedOut])
	case rest.err != nil:
		c.recordBreak(d.Backend, &failure{InvalidResponse, rest.err})
		c.f.selector.failed(d, faultKinds[InvalidResponse])
		c.checkCrash(d, rest.err)
	case err != nil:
		c.f.selector.failed(d, fault.Cancelled)
	case outcome == Failed:
		c.f.selector.failed(d, faultKinds[Failed])
	default:
		c.f.selector.finished(d)
		c.answered(r)
	}
	if err != nil {
		return nil, Step{Abort: true}
	}
	return nil, Step{}
}

// copyBuffer is the size in bytes of the buffer of each call that forwards a long body. The one of net/http
// is four times as large, and many callers may read slowly at once.
const copyBuffer = 8 << 10

// writerOnly hides the io.ReaderFrom of net/http, which brings its own buffer.
type writerOnly struct{ io.Writer }

// answered records a complete response. Parts of a prompt that end backend servers are never
// answered.
func (c *forwardedCall) answered(r *response) {
	if parts := c.sharedParts(); r.status < http.StatusMultipleChoices && len(parts) > 0 {
		c.f.crashes.reporter.Served(parts)
	}
}

// beginDelivery must be called before the caller receives the first part of a response whose rest has not
// arrived yet. It returns a failure if the attempt is being ended, so that the rest would not follow: a caller
// that has received nothing still gets another attempt or an error response. A response that has begun is not
// ended by a quarantine either, which holds for calls that wait.
func (c *forwardedCall) beginDelivery(r *response) *failure {
	c.f.crashes.end(c)
	if !c.watched.beginDelivery() {
		<-c.ctx.Done() // the guard is about to cancel it
	}
	if c.ctx.Err() != nil {
		r.close(false)
		return &failure{InvalidResponse, context.Cause(c.ctx)}
	}
	if !c.stop.Begin() {
		r.close(false)
		return &failure{InvalidResponse, errStopEnds}
	}
	_ = r.conn.beginDelivery() // fails only on a closed connection
	return nil
}

// errorRecorder records the error that ended reading, so that it can be told from an
// error of the writer.
type errorRecorder struct {
	io.Reader
	err error
}

func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// forwardStream forwards the events of a streaming response as they arrive. The
// result is as for runAttempt.
func (c *forwardedCall) forwardStream(d *routing.Decision, r *response) (*failure, Step) {
	events := eventReader{r: bufio.NewReaderSize(r.body, readBuffer), hold: *r.conn.memory.Hold(r.conn.address, freePartMemory)}
	defer events.hold.Release()
	// started is set after the first event with data, and delivered after the first event of any kind.
	started, delivered := false, false
	marked := events.skipMark()
	c.position.beginAttempt(c.headerWritten)
	joining := c.bound // until the caller gets something that another server has to have begun
	if c.headerWritten {
		_ = r.conn.beginDelivery() // fails only on a closed connection
	}
	var gaps routing.GapSampler
	defer func() { c.f.selector.eventGap(d, gaps.End()) }()
	for {
		event, id, err := events.next()
		if err == nil || errors.Is(err, io.EOF) {
			if joining {
				if err := c.mayJoin(d.Backend); err != nil {
					r.close(false)
					return &failure{InvalidResponse, err}, Step{}
				}
			}
			joining = false
		}
		if errors.Is(err, io.EOF) && (started || c.endsStream(r)) {
			if !c.headerWritten {
				c.writeHeader(r, -1)
			}
			r.close(true)
			c.f.selector.finished(d)
			c.answered(r)
			return nil, Step{}
		}
		if err != nil {
			r.close(false)
			return &failure{InvalidResponse, withCause(c.ctx, err)}, Step{}
		}
		progress := hasData(event)
		if progress || !c.headerWritten {
			if fail := c.hasBegun(r); fail != nil {
				return fail, Step{}
			}
		}
		if c.route.GetResumable() {
			if err := c.position.check(event, id, progress); err != nil {
				r.close(false)
				return &failure{InvalidResponse, fmt.Errorf("%w: %.40q after %.40q", err, id, c.position.lastID)}, Step{}
			}
		}
		out := event
		now := time.Now()
		if progress {
			c.watched.eventArrived(now)
			c.recordPause(now)
		}
		if progress && c.firstEventDelay == 0 {
			c.firstEventDelay = now.Sub(c.arrivedAt)
		}
		if progress && !started {
			started, c.answeredAt = true, now
			c.f.crashes.end(c)
			c.f.selector.firstToken(d)
			countBegun(c.f.selector.outdatedFor(d))
		}
		if !c.headerWritten {
			if fail := c.beginDelivery(r); fail != nil {
				return fail, Step{}
			}
			c.bindStarted(d)
			c.writeHeader(r, -1)
			if marked { // callers read it only at the beginning of their stream
				out = slices.Concat(byteOrderMark, event)
			}
		}
		if err := c.writeBody(out); err != nil {
			r.close(false)
			c.f.selector.failed(d, fault.Cancelled)
			return nil, Step{Err: fault.New(fault.Cancelled, fault.Ran, "the caller has left: %w", err)}
		}
		c.position.sent(event, id, progress)
		c.watched.reached(c.position.lastID)
		if resumable := c.route.GetResumable() && !c.position.unknown; resumable != c.Resumable || !delivered {
			c.Resumable, delivered = resumable, true
			c.allowEndOfStalled()
		}
		c.refreshRecord(time.Now())
		if progress {
			c.f.selector.eventGap(d, gaps.Event(now))
			c.watched.wait(time.Now())
		}
	}
}
