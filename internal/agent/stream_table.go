package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/agent/gate"
)

// streamTable holds the streams in progress and those that finished within the
// resume grace.
type streamTable struct {
	limits StreamLimits
	grace  time.Duration

	mu      sync.Mutex
	streams map[gate.StreamKey]*stream
	// finished holds the finished streams, in the order of finishing.
	finished      []*finishedStream
	finishedBytes int
}

type finishedStream struct {
	stream *stream
	// bytes is the size of the buffered data.
	bytes int
}

func newStreamTable(limits StreamLimits, grace time.Duration) *streamTable {
	return &streamTable{limits: limits, grace: grace, streams: map[gate.StreamKey]*stream{}}
}

// add creates the stream of a new run and adds it to the table.
func (t *streamTable) add(key gate.StreamKey, claimed bool) *stream {
	s := newStream(t, key, claimed)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[key] = s
	return s
}

// find returns the stream with key, or nil if there is none.
func (t *streamTable) find(key gate.StreamKey) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[key]
}

// addFinished keeps a finished stream for the resume grace.
func (t *streamTable) addFinished(s *stream, bytes int) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.expires = now.Add(t.grace)
	t.finished = append(t.finished, &finishedStream{stream: s, bytes: bytes})
	t.finishedBytes += bytes
	t.expireLocked(now)
}

// expire drops the finished streams whose resume grace is over, and the oldest
// ones over the limits.
func (t *streamTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
}

func (t *streamTable) expireLocked(now time.Time) {
	for len(t.finished) > 0 {
		f := t.finished[0]
		overLimit := len(t.finished) > t.limits.FinishedStreams || t.finishedBytes > t.limits.FinishedBytes
		if !overLimit && now.Before(f.stream.expires) {
			return
		}
		t.finished[0] = nil
		t.finished = t.finished[1:]
		t.finishedBytes -= f.bytes
		if t.streams[f.stream.key] == f.stream {
			delete(t.streams, f.stream.key)
		}
	}
}

// cancelStalled cancels the runs that have made no progress since the given time.
func (t *streamTable) cancelStalled(since time.Time) {
	t.mu.Lock()
	streams := slices.Collect(maps.Values(t.streams))
	t.mu.Unlock()
	for _, s := range streams {
		s.cancelIfStalled(since)
	}
}

// size returns the number of streams in the table.
func (t *streamTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}
