package daemon

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"parsleypulley/internal/event"
)

const (
	// logQueueLines is the maximum number of lines that wait for standard output.
	logQueueLines = 2048
	// maxLinesPerSecond is the number of lines that a process may log in a second. It
	// is also the size of a burst. A router logs that many at 2,000 calls a second.
	maxLinesPerSecond = 2000
	// maxBytesPerSecond is the same limit in bytes.
	maxBytesPerSecond = 1 << 20
	// maxBatchBytes is the size of a write from which no further lines are added to it.
	maxBatchBytes = 32 << 10
	// logFlushTimeout is the maximum time that a process waits at its end until the
	// queued lines are written.
	logFlushTimeout = 500 * time.Millisecond
)

// reservedShares holds, for each class, the part of the queue and of the budget that
// its lines must leave to lines of more important classes.
var reservedShares = [...]float64{event.Routine: 0.5, event.StateChange: 0.25, event.Failure: 0}

var (
	// droppedLines counts the dropped log lines by class.
	droppedLines = expvar.NewMap("log_lines_dropped")
	// classLabels are the labels of the classes in droppedLines.
	classLabels = [...]string{event.Routine: "routine", event.StateChange: "belief", event.Failure: "failure"}
)

// logWriter is a log.Handler that writes events as lines of key=value pairs. Callers
// never wait for its output: lines that it can't queue are dropped. It is safe for
// concurrent use.
type logWriter struct {
	lines chan []byte
	out   io.Writer

	mu sync.Mutex
	// idle is signalled when pending becomes 0 and when a flush times out.
	idle sync.Cond
	// format formats an event into line.
	format *logfmt.Handler
	line   bytes.Buffer
	budget logBudget
	// pending counts the lines that are queued or being written.
	pending int
	// dropped counts the lines dropped since the last line that reported the number.
	dropped int
}

// logBudget is a token bucket: the number of lines and bytes that may be logged now.
type logBudget struct {
	lines, bytes float64
	refilledAt   time.Time
}

// refill adds the lines and bytes for the time since the last refill.
func (b *logBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.lines, b.bytes = maxLinesPerSecond, maxBytesPerSecond
	}
	passed := now.Sub(b.refilledAt).Seconds()
	b.lines = min(maxLinesPerSecond, b.lines+passed*maxLinesPerSecond)
	b.bytes = min(maxBytesPerSecond, b.bytes+passed*maxBytesPerSecond)
	b.refilledAt = now
}

// hasRoom reports whether the budget allows a line of class c.
func (b *logBudget) hasRoom(c event.Class) bool {
	reserved := reservedShares[c]
	return b.lines > reserved*maxLinesPerSecond && b.bytes > reserved*maxBytesPerSecond
}

// newLogWriter returns a logWriter that writes to out.
func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueueLines), out: out}
	w.idle.L = &w.mu
	w.format = logfmt.New(&w.line)
	go w.run()
	return w
}

// HandleLog implements log.Handler.
func (w *logWriter) HandleLog(e *log.Entry) error {
	c := event.ClassOf(e)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget.refill(e.Timestamp)
	if !w.budget.hasRoom(c) || float64(w.pending) >= (1-reservedShares[c])*logQueueLines {
		w.dropped++
		droppedLines.Add(classLabels[c], 1)
		return nil
	}
	w.line.Reset()
	if err := w.format.HandleLog(e); err != nil {
		return err
	}
	w.budget.lines--
	w.budget.bytes -= float64(w.line.Len())
	// Does not block: pending counts all lines in the queue, so there is room.
	w.pending++
	w.lines <- bytes.Clone(w.line.Bytes())
	return nil
}

// run writes the queued lines, several at once if more than one is queued.
func (w *logWriter) run() {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		n := 1
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case line := <-w.lines:
				batch = append(batch, line...)
				n++
			default:
				more = false
			}
		}
		// Standard output may be closed. There is nowhere to report the error.
		_, _ = w.out.Write(w.appendDropNotice(batch))
		w.markWritten(n)
	}
}

// appendDropNotice appends a line with the number of lines dropped since the last
// such line, if any.
func (w *logWriter) appendDropNotice(batch []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped > 0 {
		batch = fmt.Appendf(batch, "timestamp=%s level=warn message=\"log lines dropped\" lines=%d\n", time.Now().Format(time.RFC3339), w.dropped)
		w.dropped = 0
	}
	return batch
}

func (w *logWriter) markWritten(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending -= n
	if w.pending == 0 {
		w.idle.Broadcast()
	}
}

// flush waits until all lines are written, but no longer than limit.
func (w *logWriter) flush(limit time.Duration) {
	expired := false
	timer := time.AfterFunc(limit, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		expired = true
		w.idle.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pending > 0 && !expired {
		w.idle.Wait()
	}
}
