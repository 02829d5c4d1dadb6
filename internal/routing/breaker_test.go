package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// breakerRouter returns a router with the engines e00, which is chosen if its breaker allows it, and e01.
func breakerRouter(now time.Time) *Router {
	r := New("a", 1)
	r.SetBackends(now, directMembers(2))
	return r
}

// choiceBeside returns the engine that is chosen at a time at which e01 has much work.
func choiceBeside(is *is.I, r *Router, now time.Time) *Decision {
	is.Helper()
	r.LoadReported(now, "e00", &wire.Load{})
	r.LoadReported(now, "e01", &wire.Load{Running: 48, Waiting: 1e6})
	d, err := r.Choose(now, directRequest(1, 200, 600))
	is.NoErr(err)
	return d
}

// usable reports whether e00 is used beside e01.
func usable(is *is.I, r *Router, now time.Time) bool {
	is.Helper()
	return choiceBeside(is, r, now).Backend.Name == "e00"
}

// startAtFirst starts an attempt at e00, which must be usable.
func startAtFirst(is *is.I, r *Router, now time.Time) *Decision {
	is.Helper()
	d := choiceBeside(is, r, now)
	is.Equal(d.Backend.Name, "e00")
	r.Started(now, d)
	return d
}

// openedBreaker returns a router whose breaker of e00 has opened at start while the returned
// attempts were under way there. The answer of the first one has begun.
func openedBreaker(is *is.I, underWay int) (*Router, []*Decision) {
	is.Helper()
	r := breakerRouter(start)
	var attempts []*Decision
	for range underWay {
		attempts = append(attempts, startAtFirst(is, r, start))
	}
	r.FirstToken(start, attempts[0])
	for range breakerFailures {
		r.Failed(start, startAtFirst(is, r, start), fault.BackendCrashed)
	}
	is.True(!usable(is, r, start))
	return r, attempts
}

// ends are the ways in which an attempt may end, by name.
var ends = map[string]func(r *Router, now time.Time, d *Decision){
	"answered":    func(r *Router, now time.Time, d *Decision) { r.Finished(now, d, nil) },
	"first token": func(r *Router, now time.Time, d *Decision) { r.FirstToken(now, d) },
	"broken off":  func(r *Router, now time.Time, d *Decision) { r.Failed(now, d, fault.BackendCrashed) },
	"timed out":   func(r *Router, now time.Time, d *Decision) { r.Failed(now, d, fault.BackendTimeout) },
	"cancelled":   func(r *Router, now time.Time, d *Decision) { r.Failed(now, d, fault.Cancelled) },
	"broken off after the first token": func(r *Router, now time.Time, d *Decision) {
		r.FirstToken(now, d)
		r.Failed(now, d, fault.StreamBroken)
	},
}

// The late result of a request that was sent before the breaker opened closed it, let a second
// probe through, extended its delay, or opened it again after a probe had succeeded. The first
// attempt is a stream that began before the breaker opened.
func TestLateResultsDoNotChangeBreaker(t *testing.T) {
	const underWay = 20
	probeAt := start.Add(breakerMinDelay)
	answeredAt := probeAt.Add(60 * time.Millisecond)
	for title, end := range ends {
		for _, when := range []struct {
			title string
			at    time.Time
		}{{"before the probe", probeAt.Add(-time.Nanosecond)}, {"while the probe is outstanding", probeAt.Add(time.Millisecond)},
			{"after the probe has succeeded", answeredAt.Add(time.Millisecond)}} {
			t.Run(title+" "+when.title, func(t *testing.T) {
				is := is.New(t)
				r, late := openedBreaker(is, underWay)
				endLate := func(now time.Time) {
					if !now.Equal(when.at) {
						return
					}
					for _, d := range late {
						end(r, now, d)
					}
				}
				endLate(probeAt.Add(-time.Nanosecond))
				is.True(!usable(is, r, probeAt.Add(-time.Nanosecond))) // a late answer closed it
				probe := startAtFirst(is, r, probeAt)                  // a late failure extended the delay
				is.True(!usable(is, r, probeAt))
				endLate(probeAt.Add(time.Millisecond))
				is.True(!usable(is, r, probeAt.Add(time.Millisecond))) // a late result counted as the probe's
				r.Finished(answeredAt, probe, nil)
				is.True(usable(is, r, answeredAt))
				endLate(answeredAt.Add(time.Millisecond))
				is.True(usable(is, r, answeredAt.Add(time.Millisecond))) // a late failure opened it again
			})
		}
	}
}

// The delay doubles with each failed probe up to its bound, however many late failures arrive
// between them.
func TestLateFailuresDoNotExtendDelay(t *testing.T) {
	is := is.New(t)
	r, late := openedBreaker(is, 20)
	now := start
	for _, delay := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		for range 2 {
			r.Failed(now, late[0], fault.BackendTimeout)
			late = late[1:]
		}
		is.True(!usable(is, r, now.Add(delay*time.Second-time.Nanosecond)))
		now = now.Add(delay * time.Second)
		r.Failed(now, startAtFirst(is, r, now), fault.BackendCrashed)
	}
}

// A probe that ends without a result of the backend server leaves the breaker as it is: the
// next request is the probe, and one alone.
func TestProbeWithoutResultIsRepeated(t *testing.T) {
	for title, kind := range map[string]fault.Kind{"cancelled by its caller": fault.Cancelled, "refused as full": fault.Overloaded,
		"refused by a server that drains": fault.Draining, "refused for its weights": fault.StaleWeights} {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			r, _ := openedBreaker(is, 1)
			now := start.Add(breakerMinDelay)
			probe := startAtFirst(is, r, now)
			r.Failed(now, probe, kind)
			now = now.Add(refusalPause)
			second := startAtFirst(is, r, now)
			is.True(!usable(is, r, now))
			r.Failed(now, probe, kind) // it has ended before
			is.True(!usable(is, r, now))
			r.Finished(now, second, nil)
			is.True(usable(is, r, now))
		})
	}
}

// A backend server whose answers take longer than a probe may take is used again after the
// first answer, although other probes have been sent.
func TestSlowProbeClosesBreaker(t *testing.T) {
	is := is.New(t)
	r, _ := openedBreaker(is, 1)
	first := start.Add(breakerMinDelay)
	var probes []*Decision
	for i := range 3 {
		now := first.Add(time.Duration(i) * breakerProbeTimeout)
		is.True(!usable(is, r, now.Add(-time.Nanosecond)))
		probes = append(probes, startAtFirst(is, r, now))
	}
	now := first.Add(25 * time.Second)
	r.Finished(now, probes[0], nil)
	is.True(usable(is, r, now))
	for _, d := range probes[1:] { // sent before the breaker closed
		r.Failed(now, d, fault.BackendTimeout)
	}
	is.True(usable(is, r, now))
}

// A probe that is lost in a hung backend server does not discard the success of a later one,
// which shows that it has recovered.
func TestLostProbeDoesNotDiscardLaterProbe(t *testing.T) {
	is := is.New(t)
	r, _ := openedBreaker(is, 1)
	now := start.Add(breakerMinDelay)
	lost := startAtFirst(is, r, now)
	now = now.Add(breakerProbeTimeout)
	later := startAtFirst(is, r, now)
	now = now.Add(time.Second)
	r.Failed(now, lost, fault.BackendTimeout)
	is.True(!usable(is, r, now.Add(2*breakerMinDelay))) // the later probe is outstanding
	r.Finished(now.Add(time.Millisecond), later, nil)
	is.True(usable(is, r, now.Add(time.Millisecond)))
}

// The first token of a probe closes the breaker. If the answer breaks off after it, this counts,
// although the probe was sent before the breaker closed: a backend server that breaks off all
// answers must not get further requests until as many have failed as open a breaker.
func TestProbeThatBreaksOffAfterItsFirstTokenOpensBreaker(t *testing.T) {
	is := is.New(t)
	r, _ := openedBreaker(is, 1)
	now := start.Add(breakerMinDelay)
	probe := startAtFirst(is, r, now)
	r.FirstToken(now, probe)
	is.True(usable(is, r, now))
	r.Failed(now, probe, fault.StreamBroken)
	is.True(!usable(is, r, now))
}

// A new incarnation of a backend server is used at once, and results of the earlier one
// concern its breaker no more.
func TestBreakerOfNewIncarnationIsClosed(t *testing.T) {
	is := is.New(t)
	r, late := openedBreaker(is, 20)
	next := directMembers(2)
	next[0].Backend.AgentIncarnation = 2
	r.SetBackends(start, next)
	is.True(usable(is, r, start))
	for _, d := range late {
		r.Failed(start, d, fault.BackendCrashed)
	}
	is.True(usable(is, r, start))
	for range breakerFailures {
		r.Failed(start, startAtFirst(is, r, start), fault.BackendCrashed)
	}
	is.True(!usable(is, r, start))
}

// A backend server that has recovered is used again after at most the current delay and one
// probe, and stays in use while requests that were under way in the failure still time out. If a
// probe is lost in the failure, the current delay is that after its timeout.
func TestRecoveredBackendServerIsUsedAgain(t *testing.T) {
	const (
		step = 5 * time.Millisecond
		took = 60 * time.Millisecond
	)
	type attempt struct {
		decision *Decision
		endsAt   time.Time
		lost     bool
	}
	for _, timeout := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
		for _, outage := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 11 * time.Second, 40 * time.Second, 100 * time.Second} {
			t.Run(fmt.Sprintf("outage %v timeout %v", outage, timeout), func(t *testing.T) {
				is := is.New(t)
				r := breakerRouter(start)
				b := &r.servers["e00"].breaker
				outageFrom := start.Add(time.Second)
				recovered := outageFrom.Add(outage)
				var running []attempt
				var closedBy time.Time
				for now := start; now.Before(recovered.Add(2 * breakerMaxDelay)); now = now.Add(step) {
					still := running[:0]
					for _, a := range running {
						switch {
						case now.Before(a.endsAt):
							still = append(still, a)
						case a.lost:
							r.Failed(now, a.decision, fault.BackendTimeout)
						default:
							r.Finished(now, a.decision, nil)
						}
					}
					running = still
					if now.Equal(recovered) {
						closedBy = now.Add(timeout + min(max(2*b.delay, breakerMinDelay), breakerMaxDelay))
						if b.delay > 0 && b.probeAt.IsZero() {
							closedBy = b.openUntil
						}
						closedBy = closedBy.Add(took + 2*step)
					}
					if !closedBy.IsZero() && now.After(closedBy) {
						is.Equal(b.delay, time.Duration(0))
					}
					d := choiceBeside(is, r, now)
					if d.Backend.Name != "e00" {
						continue
					}
					r.Started(now, d)
					a := attempt{d, now.Add(took), !now.Before(outageFrom) && now.Before(recovered)}
					if a.lost {
						a.endsAt = now.Add(timeout)
					}
					running = append(running, a)
				}
			})
		}
	}
}

// If the breakers of all backend servers are open, the choice is as if late results counted: none,
// or one that has answered since. Otherwise a single server that fails a part of its requests would
// be left out for a second after each three failures in a row.
func TestChoiceWhileAllBreakersAreOpen(t *testing.T) {
	for _, servers := range []int{1, 3} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			is := is.New(t)
			r := New("a", 1)
			r.SetBackends(start, directMembers(servers))
			chosen := func(now time.Time) string {
				d, err := r.Choose(now, directRequest(1, 200, 600))
				is.Equal(r.CanChoose(now, directRequest(1, 200, 600)), err == nil)
				if err != nil {
					is.True(fault.Is(err, fault.NoBackend))
					is.Equal(fault.From(err).Outcome, fault.NotRun)
					return ""
				}
				return d.Backend.Name
			}
			var late []*Decision
			for range 20 * servers {
				late = append(late, startDirect(is, r, start, 1))
			}
			for chosen(start) != "" {
				r.Failed(start, startDirect(is, r, start, 1), fault.BackendCrashed)
			}
			now := start.Add(breakerMinDelay - time.Nanosecond)
			is.Equal(chosen(now), "") // nothing has been answered since
			r.Finished(now, late[0], nil)
			answering := late[0].Backend.Name
			is.Equal(chosen(now), answering) // it answers part of its requests
			r.Failed(now, startDirect(is, r, now, 1), fault.BackendCrashed)
			is.Equal(chosen(now), "")
		})
	}
}

// Engines whose breaker is open but that have answered late took requests although another one
// has a closed breaker. They are used only if there is no other.
func TestLastResortIsNotUsedBesideClosedBreaker(t *testing.T) {
	is := is.New(t)
	r := New("a", 1)
	r.SetBackends(start, directMembers(3))
	var late []*Decision
	for key := range uint64(30) {
		late = append(late, startDirect(is, r, start, key))
	}
	opened := func() int {
		n := 0
		for _, s := range r.servers {
			if s.breaker.open(start) {
				n++
			}
		}
		return n
	}
	for opened() < 2 {
		r.Failed(start, startDirect(is, r, start, 1), fault.BackendCrashed)
	}
	sound := choose(t, r, start, directRequest(1, 200, 600)).Backend.Name
	for _, d := range late {
		if d.Backend.Name != sound {
			r.Finished(start, d, nil)
		}
	}
	for key := range uint64(50) {
		is.Equal(startDirect(is, r, start, key).Backend.Name, sound)
	}
	req := directRequest(1, 200, 600)
	req.Tried = []string{sound}
	is.True(choose(t, r, start, req).Backend.Name != sound) // a retry has no other
}
