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

	"parsleypulley/internal/streamrecord"
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
	f.f.selector.setView(time.Now(), f.log.Snapshot())
	f.f.opts.Streams = newFakeDirectory()
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
