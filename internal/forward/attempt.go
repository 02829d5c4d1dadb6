package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
)

// attempt runs one attempt and returns what follows; a zero step is the end.
func (x *forwarding) attempt() Step {
	now := time.Now()
	d, err := x.f.choose.start(now, x.call.Model, &routing.Request{
		Service: x.service, Account: x.salt, Levels: x.levels, OutputTokens: x.call.OutputTokens, Tried: x.tried,
	}, x.patience())
	if err != nil {
		if x.AttemptCount() == 0 {
			return Step{Err: fault.From(err)}
		}
		return x.NoBackend(now)
	}
	x.RecordAttempt()
	x.backend = d.Backend.GetName()
	x.tried = append(x.tried, x.backend)
	fail, step := x.run(now, d)
	if fail == nil {
		countAttempt(x.backend, answered)
		return step
	}
	now = time.Now()
	if x.r.Context().Err() != nil {
		x.f.choose.failed(now, d, fault.Cancelled)
		return Step{Err: fault.New(fault.Cancelled, fault.Unknown, "the caller has left")}
	}
	countAttempt(x.backend, fail.outcome.String())
	x.f.choose.failed(now, d, outcomeKinds[fail.outcome])
	x.outcomes = append(x.outcomes, fmt.Sprintf("%s:%s", x.backend, fail.outcome))
	event.ForwardAttemptFailed(event.Attempt{Request: x.call.ID, Backend: x.backend, Address: d.Backend.GetAddress(), Number: x.AttemptCount(),
		ViewVersion: x.snapshot.Version}, fail.outcome.String(), fail.err)
	return x.Next(now, fail.outcome, func() bool { return x.f.choose.mayRetry(now, x.service) })
}

// run sends an attempt and passes its answer on. A nil failure means that the
// returned step is final.
func (x *forwarding) run(now time.Time, d *routing.Decision) (*failure, Step) {
	header := x.header.Clone()
	from, to := x.cacheMoves(d)
	x.choice, x.from, x.to = d, from, to
	x.f.dialect.PrepareAttempt(header, &Attempt{
		CacheImportAddress: from,
		CacheSaveAddress:   to,
		Backend:            d.Backend,
		Account:            x.account.GetName(),
		Remaining:          x.Deadline.Sub(now),
		CacheSalt:          x.cacheSalt(d.Weights),
		Urgency:            urgencyOf(x.route, x.account),
		LastEventID:        x.lastEvent,
		WeightsVersion:     d.Weights,
	})
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "")
	}
	req := newRequest(x.r, d.Backend.GetAddress(), header, x.body)
	reply, fail := x.f.send(x.ctx, d.Backend.GetAddress(), req, x.body, x.call.ID, !x.Idempotent)
	if fail != nil {
		return fail, Step{}
	}
	hops.head.Record(time.Now(), time.Since(now))
	outcome := judge(reply)
	switch {
	case outcome == 0 && x.route.GetStream():
		return x.stream(d, reply)
	case outcome == 0 || outcome == Failed:
		return x.whole(d, reply, outcome)
	}
	_, more, err := reply.readAll()
	reply.close(err == nil && !more)
	return &failure{outcome, fmt.Errorf("status %d", reply.status)}, Step{}
}

// judge returns the outcome that the head of an answer shows; 0 for an answer
// that is to be passed on.
func judge(r *reply) Outcome {
	switch {
	case r.answer.Misdirected:
		return Misdirected
	case r.answer.NotExecuted:
		return Refused
	case !r.answer.FromBackend || r.header.Get("Content-Encoding") != "":
		return InvalidResponse
	case promises(r.status):
		// The status would tell the caller that the call has not run.
		return InvalidResponse
	case r.status >= http.StatusInternalServerError:
		return Failed
	}
	return 0
}

// promises reports whether a status tells callers that a call has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// whole passes on an answer that is read whole first.
func (x *forwarding) whole(d *routing.Decision, r *reply, outcome Outcome) (*failure, Step) {
	body, more, err := r.readAll()
	if err != nil {
		r.close(false)
		return &failure{InvalidResponse, err}, Step{}
	}
	if outcome == Failed && !more {
		r.close(true)
		now := time.Now()
		step := x.Next(now, Failed, func() bool { return x.f.choose.mayRetry(now, x.service) })
		x.f.choose.failed(now, d, outcomeKinds[Failed])
		if !step.PassThrough {
			x.outcomes = append(x.outcomes, fmt.Sprintf("%s:%s", x.backend, Failed))
			return nil, step
		}
		x.writeHead(r, int64(len(body)))
		x.write(body)
		return nil, Step{}
	}
	if !more {
		r.close(true)
		x.f.choose.finished(time.Now(), d)
		x.writeHead(r, int64(len(body)))
		x.write(body)
		return nil, Step{}
	}
	x.writeHead(r, r.length)
	x.write(body)
	_, err = io.Copy(x.w, r.body)
	r.close(err == nil)
	x.f.choose.finished(time.Now(), d)
	if err != nil {
		return nil, Step{Abort: true}
	}
	return nil, Step{}
}

// stream passes on the events of an answer as they come.
func (x *forwarding) stream(d *routing.Decision, r *reply) (*failure, Step) {
	events := eventReader{r: bufio.NewReaderSize(r.body, readBuffer)}
	answering := false
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && answering {
			r.close(true)
			x.f.choose.finished(time.Now(), d)
			return nil, Step{}
		}
		if err != nil {
			r.close(false)
			return &failure{InvalidResponse, endOf(x.ctx, err)}, Step{}
		}
		if !answering {
			answering = true
			x.f.choose.firstToken(time.Now(), d)
		}
		if !x.begun {
			x.first = time.Since(x.arrived)
			x.writeHead(r, -1)
		}
		if err := x.write(event); err != nil {
			r.close(false)
			x.f.choose.failed(time.Now(), d, fault.Cancelled)
			return nil, Step{Err: fault.New(fault.Cancelled, fault.Ran, "the caller has left: %w", err)}
		}
		if id != "" {
			x.lastEvent = id
		}
	}
}
