package forward

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// runPlay plays what a router learns of one backend server, in virtual time.
type runPlay struct {
	t       *testing.T
	k       *runKnowledge
	log     *view.Log
	version uint64
	now     time.Time
	server  *wire.Backend
	// stale is set while the view is not confirmed.
	stale bool
}

// startOfPlay is the time at which the router of a runPlay starts.
var startOfPlay = time.Unix(1000, 0)

func newRunPlay(t *testing.T) *runPlay {
	p := &runPlay{t: t, k: newRunKnowledge(), log: view.NewLog(view.DefaultLogLimits()), now: startOfPlay,
		server: &wire.Backend{Name: "a", Service: "lab", AgentIncarnation: 1, SoftwareVersion: "v1"}}
	return p
}

func (p *runPlay) append(e *wire.ViewEvent) {
	p.version++
	e.Version = p.version
	if err := p.log.Append(e); err != nil {
		p.t.Fatal(err)
	}
}

// says puts the server's run and its state into the view.
func (p *runPlay) says(incarnation uint64, version string, state wire.BackendState) {
	p.server = proto.CloneOf(p.server)
	p.server.AgentIncarnation, p.server.SoftwareVersion = incarnation, version
	p.append(&wire.ViewEvent{Body: &wire.ViewEvent_Member{Member: &wire.Member{State: state, Backend: p.server}}})
}

// pass lets time pass, in which the router looks at the view every runInterval. The view is confirmed at
// each look, unless it is stale.
func (p *runPlay) pass(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(runInterval)
		fresh := view.Freshness{Confirmed: true, Age: 100 * time.Millisecond}
		if p.stale {
			fresh = view.Freshness{}
		}
		p.k.observe(p.now, p.log.Snapshot(), fresh)
	}
}

// Guards against a server that counts as the run in the view although it may have started anew since, and
// against doubt that stays although heartbeats or a connection prove the run.
func TestRunsOfServersAreDoubtedAndProved(t *testing.T) {
	const ready, suspected = wire.BackendState_BACKEND_STATE_READY, wire.BackendState_BACKEND_STATE_SUSPECTED
	bound := newRunKnowledge().heartbeatBound(1)
	long := 2 * bound
	known := func(p *runPlay) { // a server that joined while the router followed the view
		p.pass(time.Second)
		p.says(1, "v1", ready)
		p.pass(time.Second)
	}
	for name, test := range map[string]struct {
		play func(p *runPlay)
		// known is set if the run must be known at the end.
		known bool
	}{
		"joins a router that follows the view": {known, true},
		"was there when the router started":    {func(p *runPlay) { p.says(1, "v1", ready); p.pass(time.Second) }, false},
		"was there, and heartbeats came since": {func(p *runPlay) { p.says(1, "v1", ready); p.pass(long) }, true},
		"was there, suspected":                 {func(p *runPlay) { p.says(1, "v1", suspected); p.pass(long) }, false},
		"was there, and a later run came": {func(p *runPlay) {
			p.says(1, "v1", ready)
			p.pass(time.Second)
			p.says(2, "v2", ready)
			p.pass(runInterval)
		}, true},
		"a connection broke":                      {func(p *runPlay) { known(p); p.k.sign(p.now, p.server, signBroken); p.pass(time.Second) }, false},
		"a connection broke, and heartbeats came": {func(p *runPlay) { known(p); p.k.sign(p.now, p.server, signBroken); p.pass(long) }, true},
		"connections break again and again": {func(p *runPlay) {
			known(p)
			p.pass(long)
			for range 40 {
				p.k.sign(p.now, p.server, signBroken)
				p.pass(bound / 4)
			}
		}, false},
		"a connection broke, and a later run came": {func(p *runPlay) {
			known(p)
			p.k.sign(p.now, p.server, signBroken)
			p.says(2, "v2", ready)
			p.pass(runInterval)
		}, true},
		"a connection of an earlier run broke": {func(p *runPlay) {
			known(p)
			old := p.server
			p.says(2, "v2", ready)
			p.pass(runInterval)
			p.k.sign(p.now, old, signBroken)
		}, true},
		"a connection broke, others did not": {func(p *runPlay) {
			known(p)
			from := p.now
			p.pass(time.Second)
			p.k.sign(p.now, p.server, signBroken)
			p.pass(time.Second)
			p.k.survived(p.server, from, p.now)
		}, true},
		"a connection opened since answers": {func(p *runPlay) {
			known(p)
			p.k.sign(p.now, p.server, signBroken)
			p.pass(time.Second)
			p.k.survived(p.server, p.now, p.now)
		}, false},
		"a connection broke again behind the proof": {func(p *runPlay) {
			known(p)
			from := p.now
			p.pass(time.Second)
			p.k.sign(p.now, p.server, signBroken)
			to := p.now
			p.pass(time.Second)
			p.k.sign(p.now, p.server, signBroken)
			p.k.survived(p.server, from, to)
		}, false},
		"a connection from before the router's start": {func(p *runPlay) {
			p.says(1, "v1", ready)
			p.pass(time.Second)
			p.k.survived(p.server, startOfPlay, p.now)
		}, false},
		"heartbeats are late": {func(p *runPlay) { known(p); p.says(1, "v1", suspected); p.pass(long) }, false},
		"heartbeats were late for a moment": {func(p *runPlay) {
			known(p)
			p.says(1, "v1", suspected)
			p.pass(time.Second)
			p.says(1, "v1", ready)
			p.pass(time.Second)
		}, false},
		"heartbeats came again": {func(p *runPlay) {
			known(p)
			p.says(1, "v1", suspected)
			p.pass(time.Second)
			p.says(1, "v1", ready)
			p.pass(long)
		}, true},
		"the view is not confirmed":            {func(p *runPlay) { known(p); p.stale = true; p.pass(runInterval) }, false},
		"the view is confirmed again":          {func(p *runPlay) { known(p); p.stale = true; p.pass(long); p.stale = false; p.pass(time.Second) }, false},
		"the view is confirmed again for long": {func(p *runPlay) { known(p); p.stale = true; p.pass(long); p.stale = false; p.pass(long) }, true},
		"the router stood still":               {func(p *runPlay) { known(p); p.now = p.now.Add(2 * time.Second); p.pass(runInterval) }, false},
		"the router stood still for a moment":  {func(p *runPlay) { known(p); p.now = p.now.Add(time.Second); p.pass(runInterval) }, true},
		"joined while the router stood still": {func(p *runPlay) {
			p.pass(time.Second)
			p.says(1, "v1", ready)
			p.now = p.now.Add(2 * time.Second)
			p.pass(runInterval)
		}, false},
		"a new leader after a break": {func(p *runPlay) {
			known(p)
			p.pass(long)
			p.k.sign(p.now, p.server, signBroken)
			p.pass(bound - time.Second)
			p.append(&wire.ViewEvent{Body: &wire.ViewEvent_Fencing{Fencing: 2}})
			p.pass(2 * time.Second)
		}, false},
		"long after a new leader": {func(p *runPlay) {
			known(p)
			p.k.sign(p.now, p.server, signBroken)
			p.append(&wire.ViewEvent{Body: &wire.ViewEvent_Fencing{Fencing: 2}})
			p.pass(long)
		}, true},
		"a pause of the leader after a break": {func(p *runPlay) {
			known(p)
			p.pass(long)
			p.k.sign(p.now, p.server, signBroken)
			p.pass(bound - time.Second)
			p.now = p.now.Add(1600 * time.Millisecond)
			p.pass(time.Second)
		}, false},
		"a connection broke, others are open": {func(p *runPlay) {
			known(p)
			from := p.now
			p.pass(time.Second)
			p.k.sign(p.now, p.server, signBroken)
			p.k.stillOpen(p.server, from, p.now)
		}, true},
		"unreachable, connections are open": {func(p *runPlay) {
			known(p)
			from := p.now
			p.pass(time.Second)
			p.k.sign(p.now, p.server, signUnreachable)
			p.k.sign(p.now, p.server, signBroken)
			p.k.stillOpen(p.server, from, p.now)
		}, false},
		"unreachable, then a connection answers": {func(p *runPlay) {
			known(p)
			from := p.now
			p.pass(time.Second)
			p.k.sign(p.now, p.server, signUnreachable)
			p.k.survived(p.server, from, p.now)
		}, true},
		"heartbeats are late, connections are open": {func(p *runPlay) {
			known(p)
			from := p.now
			p.says(1, "v1", suspected)
			p.pass(time.Second)
			p.k.stillOpen(p.server, from, p.now)
		}, false},
		"the router stood still, connections are open": {func(p *runPlay) {
			known(p)
			from := p.now
			p.now = p.now.Add(2 * time.Second)
			p.pass(runInterval)
			p.k.stillOpen(p.server, from, p.now)
		}, false},
		"another server's connection broke": {func(p *runPlay) {
			known(p)
			p.k.sign(p.now, &wire.Backend{Name: "b", AgentIncarnation: 1, SoftwareVersion: "v1"}, signBroken)
		}, true},
		"it left the view, and came back": {func(p *runPlay) {
			known(p)
			p.k.sign(p.now, p.server, signBroken)
			p.append(&wire.ViewEvent{Body: &wire.ViewEvent_MemberRemoved{MemberRemoved: "a"}})
			p.pass(time.Second)
			p.says(1, "v1", ready)
			p.pass(time.Second)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newRunPlay(t)
			test.play(p)
			is.New(t).Equal(p.k.isKnown(p.server), test.known)
		})
	}
}

// Guards against a start that counts as that of a run before a heartbeat that was sent later proves it, and
// against proof that is lost when connections break.
func TestHeartbeatsProveWhichRunBeganAStream(t *testing.T) {
	is := is.New(t)
	p := newRunPlay(t)
	p.says(1, "v1", wire.BackendState_BACKEND_STATE_READY)
	p.pass(time.Second)
	at := p.now
	bound := p.k.heartbeatBound(1)
	p.pass(bound - runInterval)
	is.Equal(p.runAt(p.server, at), [2]bool{false, false})
	p.k.sign(p.now, p.server, signBroken)
	p.pass(time.Second)
	is.Equal(p.runAt(p.server, at), [2]bool{true, true})
	is.Equal(p.runAt(p.server, p.now), [2]bool{false, false})
	old := p.server
	p.says(2, "v2", wire.BackendState_BACKEND_STATE_READY)
	p.pass(time.Second)
	is.Equal(p.runAt(old, at), [2]bool{false, false})
}

// Guards against a stream that began in a doubt that a connection has ended and that stays unknown.
func TestConnectionsShowWhichRunBeganAStream(t *testing.T) {
	is := is.New(t)
	p := newRunPlay(t)
	p.pass(time.Second)
	p.says(1, "v1", wire.BackendState_BACKEND_STATE_READY)
	p.pass(time.Second)
	before := p.now
	p.pass(time.Second)
	p.k.sign(p.now, p.server, signBroken)
	at := p.now
	p.pass(runInterval)
	is.True(p.k.survived(p.server, before, p.now))
	is.Equal(p.runAt(p.server, at), [2]bool{true, false})
	is.True(!p.k.survived(p.server, before, p.now))
}

// runAt returns whether a server's run at time t is known, and whether it is proved.
func (p *runPlay) runAt(b *wire.Backend, t time.Time) [2]bool {
	known, proved := p.k.runAt(b, t)
	return [2]bool{known, proved}
}

// Guards against a stream that goes on at a server that may have started anew with other software: the
// router moves it there, or its caller takes it up.
func TestStreamsDoNotGoOnAtDoubtfulServers(t *testing.T) {
	unconfirmed := view.Freshness{Age: 2 * time.Second}
	for name, test := range map[string]struct {
		// doubt makes the run of a server doubtful, at the first event of the stream.
		doubt func(f *fixture, b *wire.Backend)
		// status is that of a call that takes the stream up.
		status int
	}{
		"no doubt":                  {func(*fixture, *wire.Backend) {}, 200},
		"a connection broke":        {func(f *fixture, b *wire.Backend) { f.f.runs.sign(b, signBroken) }, 503},
		"the view is not confirmed": {func(f *fixture, _ *wire.Backend) { f.freshness.Store(&unconfirmed) }, 503},
	} {
		for _, when := range []string{"before it is chosen", "when it answers"} {
			t.Run(name+"/"+when, func(t *testing.T) {
				is := is.New(t)
				var began atomic.Bool
				var f *fixture
				doubt := func(name string) { // that server, or all but that one
					for _, m := range f.log.Snapshot().Members() {
						if (m.GetBackend().GetName() == name) == (when == "when it answers") {
							test.doubt(f, m.GetBackend())
						}
					}
				}
				f = softwareFixture(t, []string{"v1", "v1", "v1"}, func(_ string, c net.Conn, r *http.Request) {
					if began.CompareAndSwap(false, true) {
						if when != "when it answers" {
							doubt(r.Header.Get("For"))
						}
						writeEvents(c, r, 1, 3, false)
						return
					}
					if when == "when it answers" {
						doubt(r.Header.Get("For"))
					}
					writeEvents(c, r, 4, 5, true)
				})
				_, body, _, err := f.call("Call", "c1")
				if test.status == 200 {
					is.NoErr(err)
				} else {
					is.True(err != nil) // broken off
					is.Equal(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
				}
			})
		}
		t.Run(name+"/taken up", func(t *testing.T) {
			is := is.New(t)
			f := softwareFixture(t, []string{"v1", "v1", "v1"}, func(_ string, c net.Conn, r *http.Request) { writeEvents(c, r, 4, 5, true) })
			f.f.opts.Streams.Began(streamrecord.KeyOf("indus", "c0"), streamrecord.SoftwareOf("lab", "v1"))
			for _, m := range f.log.Snapshot().Members() {
				test.doubt(f, m.GetBackend())
			}
			status, _, _, err := f.call("Call", "c2", "After", "3", "Began", "c0")
			is.NoErr(err)
			is.Equal(status, test.status)
		})
	}
}
