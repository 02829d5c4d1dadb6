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
	// logQueue is the number of lines that wait for standard output.
	logQueue = 2048
	// logLines and logBytes are what a process may log in a second, which is also
	// the size of a burst: a router's lines at 2,000 calls a second.
	logLines = 2000
	logBytes = 1 << 20
	// logBatch bounds the bytes that are written at once.
	logBatch = 32 << 10
	// logFlush is how long a planned end waits for the lines that are left.
	logFlush = 500 * time.Millisecond
)

// logShares are the parts of the queue and of the budget that are left to more
// important lines, by class.
var logShares = [...]float64{event.Routine: 0.5, event.StateChange: 0.25, event.Failure: 0}

// droppedLines counts the log lines that were dropped, by class.
var (
	droppedLines = expvar.NewMap("log_lines_dropped")
	classNames   = [...]string{event.Routine: "routine", event.StateChange: "belief", event.Failure: "failure"}
)

// logWriter writes events as lines without ever waiting for its output. It
// implements log.Handler and is safe for concurrent use.
type logWriter struct {
	lines chan []byte
	out   io.Writer

	mu   sync.Mutex
	idle sync.Cond
	// format writes into line.
	format *logfmt.Handler
	line   bytes.Buffer
	budget logBudget
	// pending counts the lines that are queued or being written, and dropped
	// those dropped since the last notice.
	pending int
	dropped int
}

// logBudget is what may be logged now, in lines and bytes.
type logBudget struct {
	lines, bytes float64
	at           time.Time
}

// refill adds what the time since the last refill gives.
func (b *logBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.lines, b.bytes = logLines, logBytes
	}
	passed := now.Sub(b.at).Seconds()
	b.lines = min(logLines, b.lines+passed*logLines)
	b.bytes = min(logBytes, b.bytes+passed*logBytes)
	b.at = now
}

// allows reports whether the budget has room for a line of a class.
func (b *logBudget) allows(c event.Class) bool {
	kept := logShares[c]
	return b.lines > kept*logLines && b.bytes > kept*logBytes
}

// newLogWriter returns a handler that writes lines of key=value pairs to out.
func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueue), out: out}
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
	if !w.budget.allows(c) || float64(w.pending) >= (1-logShares[c])*logQueue {
		w.dropped++
		droppedLines.Add(classNames[c], 1)
		return nil
	}
	w.line.Reset()
	if err := w.format.HandleLog(e); err != nil {
		return err
	}
	w.budget.lines--
	w.budget.bytes -= float64(w.line.Len())
	// The queue has room: pending counts all lines in it.
	w.pending++
	w.lines <- bytes.Clone(w.line.Bytes())
	return nil
}

// run writes what is queued, several lines at once when they wait.
func (w *logWriter) run() {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		n := 1
		for more := true; more && len(batch) < logBatch; {
			select {
			case line := <-w.lines:
				batch = append(batch, line...)
				n++
			default:
				more = false
			}
		}
		// Standard output may be closed; there is nowhere to report that.
		_, _ = w.out.Write(w.notice(batch))
		w.written(n)
	}
}

// notice appends a line on dropped lines, if there are any.
func (w *logWriter) notice(batch []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped > 0 {
		batch = fmt.Appendf(batch, "timestamp=%s level=warn message=\"log lines dropped\" lines=%d\n", time.Now().Format(time.RFC3339), w.dropped)
		w.dropped = 0
	}
	return batch
}

func (w *logWriter) written(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending -= n
	if w.pending == 0 {
		w.idle.Broadcast()
	}
}

// flush waits until all lines are written, or for the time given.
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
