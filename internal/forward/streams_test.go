package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/membership"
	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// fakeDirectory is a StreamDirectory that several forwarders share.
type fakeDirectory struct {
	mu    sync.Mutex
	known map[streamrecord.Key]streamrecord.Software
}

func newFakeDirectory() *fakeDirectory {
	return &fakeDirectory{known: map[streamrecord.Key]streamrecord.Software{}}
}

func (d *fakeDirectory) Began(key streamrecord.Key, software streamrecord.Software) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known[key] = software
}

func (d *fakeDirectory) Find(_ context.Context, key streamrecord.Key) streamrecord.Software {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[key]
}

func (d *fakeDirectory) Contradict(key streamrecord.Key) { d.Began(key, streamrecord.Contradicted) }

// softwareFixture returns a forwarder before one backend server for each of the versions.
// handle gets the version of the server that is called.
func softwareFixture(t *testing.T, versions []string, handle func(version string, c net.Conn, r *http.Request)) *fixture {
	var addresses []string
	for _, version := range versions {
		addresses = append(addresses, startBackend(t, func(c net.Conn, r *http.Request) { handle(version, c, r) }))
	}
	f := newFixture(t, forwardRoute(setResumableStream), addresses...)
	for i, version := range versions {
		f.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Member{Member: &wire.Member{State: wire.BackendState_BACKEND_STATE_READY,
			Backend: &wire.Backend{Name: fmt.Sprintf("b%d", i), Address: addresses[i], AgentIncarnation: 2, Service: "lab", FailureDomain: "a", SoftwareVersion: version}}}})
	}
	f.f.selector.setView(f.log.Snapshot())
	directory := newFakeDirectory()
	f.f.opts.Streams, f.f.starts.directory = directory, directory
	return f
}

// Guards against a stream that the router moves to a server of another software version, in one answer.
func TestStreamGoesOnAtItsSoftware(t *testing.T) {
	for round := range 10 {
		is := is.New(t)
		var first atomic.Pointer[string]
		var attempts atomic.Int32
		f := softwareFixture(t, []string{"v1", "v2", "v1", "v2"}, func(version string, c net.Conn, r *http.Request) {
			if attempts.Add(1) == 1 {
				first.Store(&version)
				writeEvents(c, r, 1, 3, false)
				return
			}
			if version != *first.Load() {
				t.Errorf("round %d: the stream began at %s and goes on at %s", round, *first.Load(), version)
			}
			writeEvents(c, r, 4, 5, true)
		})
		status, body, _, err := f.call()
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n")
	}
}

// Guards against a stream that looks complete, or goes on elsewhere, once its software is gone.
func TestStreamWhoseSoftwareIsGoneIsAborted(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	f := softwareFixture(t, []string{"v1", "v2"}, func(_ string, c net.Conn, r *http.Request) {
		attempts.Add(1)
		writeEvents(c, r, 1, 3, false)
	})
	_, _, _, err := f.call()
	is.True(err != nil)
	is.Equal(attempts.Load(), int32(1))
}

// Guards against a stream that goes on at another software version when its caller takes it up, at a
// router that never saw it, and against one that goes on where that is not known.
func TestResumedCallGoesToTheSoftwareThatBeganIt(t *testing.T) {
	for name, test := range map[string]struct {
		// known is the software that the directory knows, if any, and began the ID that the
		// caller names.
		known, began string
		// at is the version that must get the call; empty if it must be refused.
		at string
	}{
		"known":                               {"v2", "c0", "v2"},
		"known, the other one":                {"v1", "c0", "v1"},
		"not known":                           {"", "c0", ""},
		"not named":                           {"v1", "", ""},
		"of a version that is gone":           {"v0", "c0", ""},
		"named by an ID that began no stream": {"v1", "c9", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reached atomic.Int32
			f := softwareFixture(t, []string{"v1", "v2", "v1", "v2", "v1"}, func(version string, c net.Conn, r *http.Request) {
				reached.Add(1)
				if version != test.at {
					t.Errorf("a server of %s got the call", version)
				}
				writeEvents(c, r, 4, 5, true)
			})
			if test.known != "" {
				f.f.opts.Streams.Began(streamrecord.KeyOf("indus", "c0"), streamrecord.SoftwareOf("lab", test.known))
			}
			for i := range 5 {
				status, _, h, err := f.call("Call", fmt.Sprint("c", i+1), "After", "3", "Began", test.began)
				is.NoErr(err)
				if test.at != "" {
					is.Equal(status, 200)
					continue
				}
				is.Equal(status, 503)
				is.True(h.Get("Retry-After") != "")
			}
			if test.at == "" {
				is.Equal(reached.Load(), int32(0))
			}
		})
	}
}

// Guards against a stream whose later parts are recorded under another ID than its first event.
func TestStreamIsRecordedUnderItsFirstCall(t *testing.T) {
	is := is.New(t)
	f := softwareFixture(t, []string{"v1"}, func(_ string, c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false) })
	directory := f.f.opts.Streams.(*fakeDirectory)
	_, _, _, err := f.call("Call", "c1")
	is.True(err != nil) // broken off
	is.Equal(directory.Find(context.Background(), streamrecord.KeyOf("indus", "c1")), streamrecord.SoftwareOf("lab", "v1"))
	f.call("Call", "c2", "After", "3", "Began", "c1")
	is.Equal(directory.Find(context.Background(), streamrecord.KeyOf("indus", "c2")), streamrecord.Unknown)
}

// setSoftware puts a run of a server with other software into the view.
func (f *fixture) setSoftware(backend *wire.Backend, incarnation uint64, version string) {
	next := proto.CloneOf(backend)
	next.AgentIncarnation, next.SoftwareVersion = incarnation, version
	f.appendEvent(&wire.ViewEvent{Body: &wire.ViewEvent_Member{Member: &wire.Member{State: wire.BackendState_BACKEND_STATE_READY, Backend: next}}})
}

// Guards against a stream that is recorded under the software that an old view tells: the server has
// started anew under its name, and the view learns of that after the first event, before it, or never.
func TestStartThatTheViewContradictsIsNotRecorded(t *testing.T) {
	v1, v2 := streamrecord.SoftwareOf("lab", "v1"), streamrecord.SoftwareOf("lab", "v2")
	confirmed := view.Freshness{Confirmed: true, Age: 100 * time.Millisecond}
	unconfirmed := view.Freshness{Age: 3 * time.Second}
	for name, test := range map[string]struct {
		// atEvent changes the view when the server has got the call, after changes it later; both
		// may be nil.
		atEvent, after func(f *fixture, b *wire.Backend)
		// freshness is that at the first event, and later that afterwards.
		freshness, later view.Freshness
		want             streamrecord.Software
	}{
		"view agrees":      {freshness: confirmed, later: confirmed, want: v1},
		"never confirmed":  {freshness: view.Freshness{}, later: view.Freshness{}, want: streamrecord.Unknown},
		"not confirmed":    {freshness: unconfirmed, later: unconfirmed, want: streamrecord.Unknown},
		"confirmed later":  {freshness: unconfirmed, later: view.Freshness{Confirmed: true}, want: v1},
		"known too late":   {freshness: confirmed, later: confirmed, after: func(f *fixture, b *wire.Backend) { f.setSoftware(b, 3, "v2") }, want: streamrecord.Contradicted},
		"not told of late": {freshness: unconfirmed, later: confirmed, after: func(f *fixture, b *wire.Backend) { f.setSoftware(b, 3, "v2") }, want: streamrecord.Contradicted},
		"known meanwhile":  {freshness: confirmed, later: confirmed, atEvent: func(f *fixture, b *wire.Backend) { f.setSoftware(b, 3, "v2") }, want: streamrecord.Contradicted},
		"other software of the same run": {freshness: confirmed, later: confirmed, atEvent: func(f *fixture, b *wire.Backend) { f.setSoftware(b, b.AgentIncarnation, "v2") },
			want: streamrecord.Contradicted},
		"another server is new": {freshness: confirmed, later: confirmed, after: func(f *fixture, b *wire.Backend) {
			other := proto.CloneOf(b)
			other.Name, other.Address = "other", "127.0.0.1:1"
			f.setSoftware(other, 3, "v2")
		}, want: v1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(v1 != v2)
			var f *fixture
			var backend *wire.Backend
			f = softwareFixture(t, []string{"v1"}, func(_ string, c net.Conn, r *http.Request) {
				if test.atEvent != nil {
					test.atEvent(f, backend)
				}
				writeEvents(c, r, 1, 3, true)
			})
			backend = f.log.Snapshot().Members()[0].GetBackend()
			f.freshness.Store(&test.freshness)
			status, _, _, err := f.call("Call", "c1")
			is.NoErr(err)
			if test.freshness == (view.Freshness{}) {
				is.Equal(status, 503) // no call with a key is served by such a view
			}
			f.freshness.Store(&test.later)
			if test.after != nil {
				test.after(f, backend)
			}
			key := streamrecord.KeyOf("indus", "c1")
			directory := f.f.opts.Streams
			// Times: a gap in the view ends, a heartbeat sent after it is in the view, and the router looks.
			for end := time.Now().Add(membership.DefaultLeaseConfig().HeartbeatBound(1) + 3*time.Second); directory.Find(context.Background(), key) != test.want && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
			is.Equal(directory.Find(context.Background(), key), test.want)
		})
	}
}

// Guards against a stream that the router moves, in one answer, to a server of the software that its
// server had before it started anew under its name.
func TestStreamOfAServerThatStartedAnewIsNotMoved(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	var f *fixture
	f = softwareFixture(t, []string{"v1", "v1"}, func(_ string, c net.Conn, r *http.Request) {
		attempts.Add(1)
		writeEvents(c, r, 1, 3, false)
		for _, m := range f.log.Snapshot().Members() {
			if m.GetBackend().GetName() == r.Header.Get("For") {
				time.Sleep(50 * time.Millisecond) // the first events are with the caller
				f.setSoftware(m.GetBackend(), 3, "v2")
			}
		}
	})
	_, _, _, err := f.call()
	is.True(err != nil) // broken off
	is.Equal(attempts.Load(), int32(1))
}

// Guards against starts that are kept for ever, or beyond the bound.
func TestStartsAreBounded(t *testing.T) {
	is := is.New(t)
	log := view.NewLog(view.DefaultLogLimits())
	tracker := newStartTracker(newFakeDirectory())
	now := time.Unix(1000, 0)
	fresh := func() view.Freshness { return view.Freshness{Confirmed: true} }
	never := func(*wire.Backend, time.Time) (known, proved bool) { return false, false }
	for i := range 2 * maxStarts {
		b := &wire.Backend{Name: fmt.Sprint("b", i%100), Service: "lab", SoftwareVersion: "v1"}
		tracker.add(now, streamrecord.Key(i), b, log.Snapshot(), true)
	}
	is.Equal(tracker.count, maxStarts)
	tracker.compare(now.Add(startSettleTime/2), log.Store(), fresh, never)
	is.Equal(tracker.count, maxStarts)
	tracker.compare(now.Add(startSettleTime), log.Store(), fresh, never)
	is.Equal(tracker.count, 0)
	is.Equal(len(tracker.servers), 0)
}

// Guards against the record of a stream that ends while the stream goes on.
func TestRecordOfALongStreamIsTold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := softwareFixture(t, []string{"v1"}, func(string, net.Conn, *http.Request) {})
	directory := f.f.opts.Streams.(*fakeDirectory)
	c := &forwardedCall{f: f.f, call: &Call{ID: "c1"}, account: &wire.Account{Name: "indus"}, route: forwardRoute(setResumableStream),
		startedBy: f.log.Snapshot().Members()[0].GetBackend(), recordedAt: now}
	key := streamrecord.KeyOf("indus", "c1")
	table := streamrecord.NewTable()
	for i := range 600 {
		now = now.Add(time.Second)
		c.refreshRecord(now)
		if software := directory.Find(context.Background(), key); software != streamrecord.Unknown {
			table.Put(now, key, software)
			clear(directory.known)
		}
		if _, known := table.Get(key); !known && now.Sub(time.Unix(1000, 0)) > recordRefresh {
			t.Fatalf("not known after %d s", i)
		}
		table.Put(now, streamrecord.Key(i), 1) // others come and go
	}
	f.setSoftware(c.startedBy, 3, "v2")
	c.refreshRecord(now.Add(time.Hour))
	is.Equal(directory.Find(context.Background(), key), streamrecord.Unknown) // not told by what is doubtful
}
