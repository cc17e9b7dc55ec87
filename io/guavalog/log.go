// Package guavalog writes log lines in the background, so that logging never blocks the caller.
package guavalog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer forwards lines to another writer in the background. Lines beyond the rate budget or the queue are dropped and
// counted. Routine lines are dropped first.
type Writer struct {
	out            io.Writer
	lines          chan []byte
	budget         int // maximum lines per second
	routine        func(line []byte) bool
	dropped        atomic.Uint64
	droppedRoutine atomic.Uint64 // routine lines among the dropped ones

	closing chan struct{}
	once    sync.Once
	done    chan struct{} // closed after the last write

	mu          sync.Mutex
	windowStart time.Time
	used        int // lines accepted since windowStart
}

const (
	queueLength = 256 // lines
	// routineDivisor is the divisor of the budget for routine lines. Those beyond budget/routineDivisor are dropped until
	// the next second. Under high load the rest of the budget suffices for the lines about failures at a VM.
	routineDivisor = 2
	// reportInterval is the time between two lines with the number of dropped lines, so that these use little of the
	// budget.
	reportInterval = time.Second
	// closeTimeout bounds the wait of Close for a blocked output. A draining process has about 700 ms left at its last
	// line.
	closeTimeout = 200 * time.Millisecond
)

// New returns a writer that writes at most budget lines per second to out. The function routine reports whether a line
// is about a success. If it is nil, no line is routine.
func New(out io.Writer, budget int, routine func(line []byte) bool) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queueLength), budget: budget, routine: routine,
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. Each call writes one line.
func (w *Writer) Write(p []byte) (int, error) {
	routine := w.routine != nil && w.routine(p)
	if w.tryAcquire(routine) {
		select {
		case w.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	w.dropped.Add(1)
	if routine {
		w.droppedRoutine.Add(1)
	}
	return len(p), nil
}

// Close stops the writer and waits until the queued lines are written, for at most closeTimeout. Later lines are lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// tryAcquire takes one line from the budget of the current second, and returns false if it is exhausted.
func (w *Writer) tryAcquire(routine bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.used = now, 0
	}
	limit := w.budget
	if routine {
		limit /= routineDivisor
	}
	if w.used >= limit {
		return false
	}
	w.used++
	return true
}

// run writes the queued lines, and every reportInterval the number of lines dropped since the last report.
func (w *Writer) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported, reportedRoutine uint64
	report := func() {
		dropped, routine := w.dropped.Load(), w.droppedRoutine.Load()
		if dropped == reported {
			return
		}
		_, _ = fmt.Fprintf(w.out, `{"@message":"log lines dropped","count":%d,"routine":%d}`+"\n",
			dropped-reported, routine-reportedRoutine) // a failure of the log output cannot be reported
		reported, reportedRoutine = dropped, routine
	}
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line) // likewise
		case <-ticker.C:
			report()
		case <-w.closing:
			w.drain()
			report()
			return
		}
	}
}

// drain writes the queued lines.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line) // a failure of the log output cannot be reported
		default:
			return
		}
	}
}
