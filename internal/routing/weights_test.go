package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// limitedRequest returns a request that must begin within the given time on versions below 2.
func limitedRequest(now time.Time, left time.Duration) *Request {
	req := directRequest(1, 200, 600)
	req.Streamed = true
	req.WeightsLimits = []WeightsLimit{{Below: 2, BeginBy: now.Add(left)}}
	return req
}

// fillQueue makes engine e report that requests wait there, of 10,000 tokens each, which take a second.
func fillQueue(r *Router, now time.Time, name string, waiting uint32) {
	s := r.servers[name]
	s.meanWork = &meanWork{defaultPrefillRate}
	r.LoadReported(now, name, &wire.Load{Waiting: waiting})
}

// Guards against a call that waits on outdated weights until after the time at which it must have begun: an
// engine whose queue is longer than the time left was chosen.
func TestQueueLongerThanTheTimeLeft(t *testing.T) {
	now := start
	for _, test := range []struct {
		waiting     uint32
		left        time.Duration
		lastAttempt bool
		chosen      bool
	}{
		{0, 0, false, false},
		{0, time.Millisecond, false, false},
		{0, 600 * time.Millisecond, false, true}, // used nearly up to the bound
		{0, 600 * time.Millisecond, true, false},
		{0, 2 * time.Second, true, true},
		{1, 2200 * time.Millisecond, false, false},
		{1, 2600 * time.Millisecond, false, true},
		{1, 5500 * time.Millisecond, true, false},
		{1, 5800 * time.Millisecond, true, true},
		{3, 6 * time.Second, false, false},
		{3, 7 * time.Second, false, true},
		{3, 8 * time.Second, true, false},
		{100, time.Minute, false, false},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			is := is.New(t)
			r := New("a", 1)
			r.SetBackends(now, directMembers(1))
			fillQueue(r, now, "e00", test.waiting)
			req := limitedRequest(now, test.left)
			req.LastAttempt = test.lastAttempt
			d, err := r.Choose(now, req)
			is.Equal(err == nil, test.chosen)
			is.Equal(r.CanChoose(now, req), test.chosen)
			if err != nil {
				is.True(errors.Is(err, ErrWeightsOutdated))
				is.Equal(fault.From(err).Outcome, fault.NotRun)
				is.Equal(fault.From(err).RetryAfter, outdatedRetryAfter)
				return
			}
			is.Equal(d.BeginBy, now.Add(test.left))
			is.True(d.MayBeSent(now))
			is.True(d.MayBeSent(now.Add(sendMargin)))
			is.True(!d.MayBeSent(d.BeginBy.Add(time.Millisecond - TakeBackMargin)))
			// The prediction is too low by the factor that is allowed for.
			factor := time.Duration(beginFactor)
			if test.lastAttempt {
				factor = lastAttemptFactor
			}
			is.True(!now.Add(factor * (d.Wait + d.Prefill)).After(d.BeginBy.Add(-TakeBackMargin)))
		})
	}
}

// Guards against limits that are passed by on one of the ways on which a server is chosen: as the first
// candidates, at random, as a last resort, as a fallback, as a probe of a quiet server, and where limits have room.
func TestNoWayAroundWeightsLimits(t *testing.T) {
	now := start
	const left = time.Second
	for name, prepare := range map[string]func(r *Router, members []*wire.Member){
		"plain":     func(*Router, []*wire.Member) {},
		"suspected": func(_ *Router, members []*wire.Member) { setStates(members, wire.BackendState_BACKEND_STATE_SUSPECTED) },
		"open breakers": func(r *Router, members []*wire.Member) {
			for _, m := range members {
				s := r.servers[m.Backend.Name]
				for range 100 {
					s.breaker.failed(now, s.breaker.requestSent(now))
				}
			}
		},
		"quiet": func(r *Router, members []*wire.Member) {
			for _, m := range members {
				d := &Decision{Backend: m.Backend, server: r.servers[m.Backend.Name]}
				r.AskedForQuiet(now.Add(-quietProbeDelay), d, time.Minute)
			}
		},
		"limits": func(r *Router, members []*wire.Member) {
			namesLimit(r, now, members, len(members)-1, 2)
			for _, m := range members[:len(members)-1] {
				grant(r, now, m, 5, 5, 5)
			}
		},
	} {
		for _, n := range []int{2, 3 * maxCandidates} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				is := is.New(t)
				members := directMembers(n)
				r := New("a", 1)
				r.SetBackends(now, members)
				prepare(r, members)
				r.SetBackends(now, members)
				for _, m := range members {
					fillQueue(r, now, m.Backend.Name, 4)
				}
				free := limitedRequest(now, time.Hour)
				_, err := r.Choose(now, free)
				is.NoErr(err) // it is the limit that leaves the servers out
				req := limitedRequest(now, left)
				_, err = r.Choose(now, req)
				is.True(errors.Is(err, ErrWeightsOutdated))
				is.True(!r.CanChoose(now, req))
				if name == "quiet" {
					return
				}
				// One without a queue is found among all others, and one with new weights too.
				one := r.servers[members[n-1].Backend.Name]
				one.report.prefill = prefillWork{}
				for range 20 {
					d, err := r.Choose(now, req)
					is.NoErr(err)
					is.Equal(d.Backend.Name, members[n-1].Backend.Name)
					is.True(!d.BeginBy.IsZero())
				}
				is.True(r.CanChoose(now, req))
				one.report.prefill = prefillWork{1e6, 1e6}
				one.models[0].weightsVersion = 2
				d, err := r.Choose(now, req)
				is.NoErr(err)
				is.Equal(d.Backend.Name, members[n-1].Backend.Name)
				is.True(d.BeginBy.IsZero() && d.MayBeSent(now.Add(time.Hour)))
				is.True(r.CanChoose(now, req))
			})
		}
	}
}

func setStates(members []*wire.Member, state wire.BackendState) {
	for _, m := range members {
		m.State = state
	}
}

// Guards against a wrong limit: of several newer versions the oldest counts, a limit of unknown age is over, and a
// request that ends by its own deadline before the limit needs none.
func TestWeightsLimitThatApplies(t *testing.T) {
	is := is.New(t)
	now := start
	members := directMembers(1)
	members[0].Backend.Models[0].WeightsVersion = "2"
	r := New("a", 1)
	r.SetBackends(now, members)
	req := limitedRequest(now, time.Minute)
	beginBy := func() time.Time {
		d, err := r.Choose(now, req)
		is.NoErr(err)
		return d.BeginBy
	}
	is.True(beginBy().IsZero()) // version 2 is not below 2
	req.WeightsLimits = []WeightsLimit{{Below: 2, BeginBy: now.Add(time.Second)}, {Below: 3, BeginBy: now.Add(3 * time.Second)}, {Below: 4, BeginBy: now.Add(6 * time.Second)}}
	is.Equal(beginBy(), now.Add(3*time.Second))
	req.Deadline = now.Add(3 * time.Second)
	is.Equal(beginBy(), now.Add(3*time.Second))
	req.Deadline = now.Add(3*time.Second - TakeBackMargin)
	is.True(beginBy().IsZero())
	req.WeightsLimits = []WeightsLimit{{Below: 3}}
	_, err := r.Choose(now, req)
	is.True(errors.Is(err, ErrWeightsOutdated))
}

// Guards against late beginnings that nobody sees: a response that is no stream shows its beginning only
// with its end, so that time is left for the whole of it.
func TestResponsesThatDoNotShowTheirBeginning(t *testing.T) {
	is := is.New(t)
	r := New("a", 1)
	r.SetBackends(start, directMembers(1))
	req := limitedRequest(start, time.Second)
	_, err := r.Choose(start, req)
	is.NoErr(err)
	req.Streamed = false // defaultMeanDuration is a second
	_, err = r.Choose(start, req)
	is.True(errors.Is(err, ErrWeightsOutdated))
}

// Guards against short calls that are refused for all of the time until the bound, although engines with outdated
// weights are free: the duration of long streams for the same model counted as theirs.
func TestLongStreamsLeaveOutdatedEnginesToShortCalls(t *testing.T) {
	is := is.New(t)
	now := start
	r := New("a", 1)
	r.SetBackends(now, directMembers(1))
	for i := range 200 {
		req := directRequest(1, 200, 600)
		req.Streamed = i%2 == 0
		d, err := r.Choose(now, req)
		is.NoErr(err)
		r.Started(now, d)
		duration := 100 * time.Millisecond
		if req.Streamed {
			duration = 3500 * time.Millisecond
		}
		now = now.Add(duration)
		r.Finished(now, d, nil)
	}
	req := limitedRequest(now, 4*time.Second)
	req.Streamed, req.LastAttempt = false, true
	_, err := r.Choose(now, req)
	is.NoErr(err)
	// A long call that shows its beginning only with its end is not sent shortly before the bound.
	req = limitedRequest(now, 500*time.Millisecond)
	req.Streamed, req.LastAttempt = false, true
	_, err = r.Choose(now, req)
	is.True(errors.Is(err, ErrWeightsOutdated))
}

// Guards against a request that is turned away as if there were no servers, without a time to come back, once all
// have older weights than it requires.
func TestAllBelowRequiredVersion(t *testing.T) {
	is := is.New(t)
	r := New("a", 1)
	r.SetBackends(start, directMembers(3))
	req := directRequest(1, 200, 600)
	req.MinWeightsVersion = 2
	_, err := r.Choose(start, req)
	is.True(errors.Is(err, ErrWeightsOutdated) && fault.Is(err, fault.NoBackend))
	is.Equal(fault.From(err).RetryAfter, outdatedRetryAfter)
	req.Tried = []string{"e00", "e01", "e02"}
	_, err = r.Choose(start, req)
	is.True(!errors.Is(err, ErrWeightsOutdated))
}

// Guards against a request that goes to a server where it begins too late, since those where it would begin in time
// have no room in their limits: it is told when there is room.
func TestRoomOnlyWhereRequestsBeginLate(t *testing.T) {
	is := is.New(t)
	now := start
	members := directMembers(2)
	r := New("a", 1)
	r.SetBackends(now, members)
	namesLimit(r, now, members, 2, 2)
	fillQueue(r, now, "e01", 4)
	grant(r, now, members[1], 5, 5, 5)
	req := limitedRequest(now, time.Second)
	req.PermitsAsked = true
	_, err := r.Choose(now, req)
	is.True(fault.Is(err, fault.Overloaded))
	is.True(!r.CanChoose(now, req))
	r.LoadReported(now.Add(time.Millisecond), "e01", &wire.Load{})
	r.servers["e01"].report.prefill = prefillWork{}
	d, err := r.Choose(now, req)
	is.NoErr(err)
	is.Equal(d.Backend.Name, "e01")
}
