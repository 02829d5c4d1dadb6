package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

// namesLimit makes the router hear of the limits of the first n backend servers.
func namesLimit(r *Router, now time.Time, members []*wire.Member, n int, perSecond float64) {
	for _, m := range members[:n] {
		d := &Decision{Backend: m.Backend, server: r.servers[m.Backend.Name], started: now}
		r.SaidLimit(now, d, perSecond)
	}
}

// grant gives the router permits for a backend server.
func grant(r *Router, now time.Time, m *wire.Member, permits ...uint32) {
	r.PermitsReceived(now, now, &wire.PermitReply{Grants: []*wire.PermitGrant{{Server: uint64(permit.KeyOf(m.Backend)), Permits: permits}}})
}

// Guards against engines with a limit that get requests beside the permits, or that no request goes
// to although there are permits.
func TestRequestsGoWhereLimitsHaveRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(4)
	r.SetBackends(now, members)
	namesLimit(r, now, members, 3, 2)
	for key := range uint64(20) {
		d := startDirect(is, r, now, key)
		is.Equal(d.Backend.Name, members[3].Backend.Name) // what has no room goes elsewhere
		r.Finished(now, d, nil)
	}
	r.SaidLeaving(now, &Decision{Backend: members[3].Backend, server: r.servers[members[3].Backend.Name]})
	grant(r, now, members[1], 0, 0, 2)
	for range 2 {
		is.Equal(startDirect(is, r, now, 5).Backend.Name, members[1].Backend.Name)
	}
	_, err := r.Choose(now, directRequest(6, 200, 600))
	is.True(errors.Is(err, ErrPermitsNeeded))
}

// Guards against callers that are kept waiting, or all told the same time to come back, if there is
// no room anywhere.
func TestNoRoomAnywhereIsSaidAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(2)
	r.SetBackends(now, members)
	namesLimit(r, now, members, 2, 2)
	for range 8 {
		grant(r, now, members[0], 4)
		now = now.Add(permit.Lifetime)
	}
	var last time.Duration
	for range 5 {
		req := directRequest(1, 200, 600)
		req.PermitsAsked = true
		_, err := r.Choose(now, req)
		is.True(fault.Is(err, fault.Overloaded))
		is.Equal(fault.From(err).Outcome, fault.NotRun)
		is.True(fault.From(err).RetryAfter >= last)
		is.True(fault.From(err).RetryAfter < time.Second)
		last = fault.From(err).RetryAfter
	}
	is.True(last > permit.MinInterval) // one after the other
}

// Guards against room that less urgent requests take from urgent ones.
func TestPermitsForUrgentRequestsAreKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(1)
	r.SetBackends(now, members)
	namesLimit(r, now, members, 1, 2)
	grant(r, now, members[0], 1, 0, 1)
	choose := func(urgency uint32) error {
		req := directRequest(1, 200, 600)
		req.Urgency, req.PermitsAsked = urgency, true
		d, err := r.Choose(now, req)
		if err == nil {
			r.Started(now, d)
		}
		return err
	}
	is.NoErr(choose(2))
	is.True(choose(2) != nil)
	is.NoErr(choose(0))
	is.True(choose(0) != nil)
}

// Guards against limits that outlive their run, or that a new view makes forgotten.
func TestLimitHoldsForOneRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(1)
	r.SetBackends(now, members)
	namesLimit(r, now, members, 1, 2)
	r.SetBackends(now, nil)
	r.SetBackends(now, members)
	_, err := r.Choose(now, directRequest(1, 200, 600))
	is.True(err != nil)
	next := directMembers(1)
	next[0].Backend.AgentIncarnation, next[0].Backend.EngineIncarnation = 2, 2
	r.SetBackends(now, next)
	startDirect(is, r, now, 1)
}
