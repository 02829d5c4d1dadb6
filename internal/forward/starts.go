package forward

import (
	"expvar"
	"sync"
	"time"

	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// startSettleTime is how long the start of a stream is compared with later views at most. It covers
	// the heartbeat of a server that has just started: a late one, a lost one, and an election
	// of the leader (3.4 s) before it is in the view. It also covers the longest
	// membership.LeaseConfig.HeartbeatBound (8 s with 4,000 servers).
	startSettleTime = 15 * time.Second
	// maxStarts limits the starts that are kept: 540 a second, many times as many as one
	// router serves at the size to grow to. Further ones are recorded once and not compared.
	maxStarts = 8192
)

// streamStarts counts what happens to the starts of streams, by kind.
var streamStarts = expvar.NewMap("stream_starts")

// openStarts is the number of starts that later views may contradict.
var openStarts = expvar.NewInt("stream_starts_open")

// streamStart is a stream that a backend server has begun.
type streamStart struct {
	key streamrecord.Key
	at  time.Time
	// recorded is set if the start was recorded at that time, as the server's run was known.
	recorded bool
}

// serverStarts are the streams that one run of a backend server has begun, oldest first.
type serverStarts struct {
	backend *wire.Backend
	starts  []streamStart
}

// startTracker records which software began streams. The view says which software a server
// has, but a server may have started anew under its name with other software, of which the view
// does not tell yet: responses name the server only. A start is therefore recorded once the server's run
// at that time is known (see runKnowledge), and contradicted if a later view shows another run of the
// server before a heartbeat sent after the start has proved that it was that one. It is safe for concurrent use.
type startTracker struct {
	directory StreamDirectory

	mu sync.Mutex
	// servers holds the starts by the name of the backend server.
	servers map[string]*serverStarts
	count   int
}

func newStartTracker(directory StreamDirectory) *startTracker {
	return &startTracker{directory: directory, servers: map[string]*serverStarts{}}
}

// isOtherRun reports whether a view has another run of a backend server, or other software of it,
// under its name.
func isOtherRun(s *view.Snapshot, b *wire.Backend) bool {
	now := s.Member(b.GetName()).GetBackend()
	return now != nil && (now.GetAgentIncarnation() != b.GetAgentIncarnation() || now.GetSoftwareVersion() != b.GetSoftwareVersion())
}

// add records that a backend server began a stream. known is set if its run is known.
func (t *startTracker) add(now time.Time, key streamrecord.Key, b *wire.Backend, s *view.Snapshot, known bool) {
	if isOtherRun(s, b) {
		t.contradict(key)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	start := streamStart{key: key, at: now, recorded: known}
	if start.recorded {
		t.record(key, b)
	} else {
		streamStarts.Add("held", 1)
	}
	server := t.servers[b.GetName()]
	if server != nil && (server.backend.GetAgentIncarnation() != b.GetAgentIncarnation() || server.backend.GetSoftwareVersion() != b.GetSoftwareVersion()) {
		t.drop(server, true)
		server = nil
	}
	if server == nil {
		server = &serverStarts{backend: b}
		t.servers[b.GetName()] = server
	}
	if t.count < maxStarts {
		server.starts = append(server.starts, start)
		t.count++
	}
	openStarts.Set(int64(t.count))
}

// compare compares the starts with the newest view. runAt reports what is known of a server's run at a time;
// see runKnowledge.
func (t *startTracker) compare(now time.Time, views *view.Store, freshness func() view.Freshness, runAt func(*wire.Backend, time.Time) (known, proved bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.servers) == 0 {
		return
	}
	fresh := freshness() // before the view, which is then at least as new as the one that was confirmed
	s := views.Load()
	for _, server := range t.servers {
		if isOtherRun(s, server.backend) {
			t.drop(server, true)
			continue
		}
		done := 0
		for i := range server.starts {
			start := &server.starts[i]
			known, proved := runAt(server.backend, start.at)
			if !start.recorded && fresh.Confirmed && known {
				start.recorded = true
				t.record(start.key, server.backend)
			}
			if start.recorded && proved || now.Sub(start.at) >= startSettleTime {
				done = i + 1 // the starts are sorted by time
			}
		}
		server.starts = append([]streamStart(nil), server.starts[done:]...)
		t.count -= done
		if len(server.starts) == 0 {
			t.drop(server, false)
		}
	}
}

// drop forgets the starts of a server. t.mu must be held.
func (t *startTracker) drop(server *serverStarts, contradicted bool) {
	if contradicted {
		for _, start := range server.starts {
			t.contradict(start.key)
		}
	}
	t.count -= len(server.starts)
	openStarts.Set(int64(t.count))
	delete(t.servers, server.backend.GetName())
}

func (t *startTracker) record(key streamrecord.Key, b *wire.Backend) {
	streamStarts.Add("recorded", 1)
	t.directory.Began(key, streamrecord.SoftwareOf(b.GetService(), b.GetSoftwareVersion()))
}

func (t *startTracker) contradict(key streamrecord.Key) {
	streamStarts.Add("contradicted", 1)
	t.directory.Contradict(key)
}
