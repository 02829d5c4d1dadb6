package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// startDirect chooses a backend server for a request and starts the attempt.
func startDirect(is *is.I, r *Router, now time.Time, key uint64) *Decision {
	is.Helper()
	d, err := r.Choose(now, directRequest(key, 200, 600))
	is.NoErr(err)
	r.Started(now, d)
	return d
}

// An engine that said it leaves got work from routers whose view still listed it as
// ready.
func TestLeavingEngineGetsNoWork(t *testing.T) {
	tests := map[string]struct {
		// change changes the view after the notice.
		change func(now time.Time, r *Router, m *wire.Member)
		// used is set if the engine gets work after the change.
		used bool
	}{
		"view still says ready": {func(now time.Time, r *Router, m *wire.Member) {
			r.SetBackends(now, []*wire.Member{m})
		}, false},
		"view lists it as suspected": {func(now time.Time, r *Router, m *wire.Member) {
			m.State = wire.BackendState_BACKEND_STATE_SUSPECTED
			r.SetBackends(now, []*wire.Member{m})
		}, false},
		"view loses it and lists it again": {func(now time.Time, r *Router, m *wire.Member) {
			r.SetBackends(now, nil)
			r.SetBackends(now.Add(time.Minute), []*wire.Member{m})
		}, false},
		"it has loaded other weights": {func(now time.Time, r *Router, m *wire.Member) {
			m.Backend.Models[0].WeightsVersion = "2"
			r.SetBackends(now, []*wire.Member{m})
		}, false},
		"its load is reported": {func(now time.Time, r *Router, m *wire.Member) {
			r.LoadReported(now, m.Backend.Name, &wire.Load{Running: 1})
		}, false},
		"it has started anew at its address": {func(now time.Time, r *Router, m *wire.Member) {
			m.Backend.AgentIncarnation, m.Backend.EngineIncarnation = 2, 2
			r.SetBackends(now, []*wire.Member{m})
		}, true},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New("a", 1)
			r.SetBackends(now, directMembers(1))
			d := startDirect(is, r, now, 1)
			is.True(r.SaidLeaving(now, d))
			is.True(!r.SaidLeaving(now, d)) // news only once
			r.Finished(now, d, nil)
			test.change(now, r, directMembers(1)[0])
			_, err := r.Choose(now.Add(2*time.Minute), directRequest(2, 200, 600))
			is.Equal(err == nil, test.used)
			is.True(test.used || fault.Is(err, fault.NoBackend))
		})
	}
}

// A late answer of the engine's earlier run shut out the run that replaced it.
func TestLateNoticeOfEarlierRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(1)
	r.SetBackends(now, members)
	late := startDirect(is, r, now, 1)
	next := directMembers(1)
	next[0].Backend.AgentIncarnation, next[0].Backend.EngineIncarnation = 2, 2
	r.SetBackends(now, next)
	r.SaidLeaving(now, late)
	r.AskedForQuiet(now, late, time.Minute)
	startDirect(is, r, now, 2)
}

// An engine that turned a request away and wanted no more for seconds got all of them
// again 0.2 s later.
func TestQuietEngineGetsAtMostOneProbe(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := New("a", 1)
	r.SetBackends(start, directMembers(1))
	const quiet = 4 * time.Second
	refused := startDirect(is, r, start, 1)
	is.True(r.AskedForQuiet(start, refused, quiet))
	r.Failed(start, refused, fault.Overloaded)
	probes := 0
	for now := start; now.Before(start.Add(quiet)); now = now.Add(20 * time.Millisecond) {
		r.SetBackends(now, directMembers(1))
		d, err := r.Choose(now, directRequest(2, 200, 600))
		if err != nil {
			is.True(fault.Is(err, fault.Overloaded))
			is.Equal(fault.From(err).RetryAfter, start.Add(quiet).Sub(now))
			continue
		}
		probes++
		is.True(now.Sub(start) >= quietProbeDelay)
		r.Started(now, d)
		r.Failed(now, d, fault.Overloaded)
	}
	is.Equal(probes, 1)
	// Afterwards one request at a time is sent, until one succeeds.
	now := start.Add(quiet)
	trial := startDirect(is, r, now, 3)
	_, err := r.Choose(now, directRequest(4, 200, 600))
	is.True(err != nil)
	r.FirstToken(now, trial)
	for key := range uint64(5) {
		startDirect(is, r, now, key)
	}
}

// A probe goes to an engine that wants no requests only if no other engine serves it.
func TestQuietEngineIsNotProbedBesideOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	r.SetBackends(now, directMembers(2))
	refused := startDirect(is, r, now, 1)
	r.AskedForQuiet(now, refused, time.Minute)
	r.Failed(now, refused, fault.Overloaded)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		d := startDirect(is, r, now, 1)
		is.True(d.Backend.Name != refused.Backend.Name)
		r.Finished(now, d, nil)
	}
}

// When all engines of a service want no requests, callers are told the shortest time.
func TestShortestQuietTimeIsTold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	r.SetBackends(now, directMembers(3))
	for i := range 3 {
		d, err := r.Choose(now, directRequest(1, 200, 600))
		is.NoErr(err)
		r.Started(now, d)
		r.AskedForQuiet(now, d, time.Duration(3+i)*time.Second)
		r.Failed(now, d, fault.Overloaded)
	}
	_, err := r.Choose(now, directRequest(1, 200, 600))
	is.True(fault.Is(err, fault.Overloaded))
	is.Equal(fault.From(err).RetryAfter, 3*time.Second)
	is.Equal(fault.From(err).Outcome, fault.NotRun)
}

// Notices of incarnations that are gone stayed for ever.
func TestNoticesOfFormerEnginesAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	for i := range uint64(500) {
		members := directMembers(1)
		members[0].Backend.AgentIncarnation = i + 1
		r.SetBackends(now, members)
		r.SaidLeaving(now, startDirect(is, r, now, i))
		now = now.Add(time.Minute)
	}
	is.True(len(r.notices) <= int(noticeExpiry/time.Minute)+1)
}
