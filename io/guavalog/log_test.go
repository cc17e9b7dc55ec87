package guavalog_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/io/guavagate"
	"guavaridge/io/guavalog"
)

// blocked is an output whose writes block until release is closed.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

// Write implements io.Writer.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// TestBlockedOutput guards against requests that wait for a log line to be written, and against dropped lines that are
// not reported.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		w := guavalog.New(out, 10_000, nil)
		start := time.Now()
		for i := range 2000 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		if d := time.Since(start); d > 0 {
			t.Errorf("logging to a blocked output took %v, want 0s", d)
		}
		if w.Dropped() == 0 {
			t.Error("got 0 dropped lines, want a bounded queue")
		}
		close(out.release)
		synctest.Wait()
		dropped := w.Dropped()
		w.Close()
		synctest.Wait()
		want := fmt.Appendf(nil, `"log lines dropped","count":%d,"routine":0`, dropped)
		if !bytes.Contains(out.lines.Bytes(), want) {
			t.Errorf("got output without %s", want)
		}
	})
}

// TestClose guards against losing the last lines of a process, against a Close that waits for a blocked output, and
// against a panic when a line is logged after Close.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		close(out.release)
		w := guavalog.New(out, 10_000, nil)
		for i := range 100 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		w.Close()
		if n := bytes.Count(out.lines.Bytes(), []byte("line")); n != 100 {
			t.Errorf("got %d lines after Close, want 100", n)
		}
		fmt.Fprintln(w, "after Close")
		w.Close()
	})
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		w := guavalog.New(out, 10_000, nil)
		fmt.Fprintln(w, "line")
		start := time.Now()
		w.Close()
		if d := time.Since(start); d > 500*time.Millisecond {
			t.Errorf("Close waited %v for a blocked output, want at most 500ms", d)
		}
		close(out.release)
	})
}

// TestBudget guards against a log rate that grows with the load.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		close(out.release)
		w := guavalog.New(out, 20, nil)
		for range 3 {
			for range 50 {
				fmt.Fprintln(w, "line")
			}
			time.Sleep(time.Second)
		}
		w.Close()
		synctest.Wait()
		if n := bytes.Count(out.lines.Bytes(), []byte("line\n")); n != 60 {
			t.Errorf("got %d lines in 3 s, want 60 at a budget of 20 per second", n)
		}
	})
}

// TestRoutine guards against lines about successful requests that displace lines about failures.
func TestRoutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		close(out.release)
		w := guavalog.New(out, 20, guavagate.IsRoutine)
		for range 100 {
			fmt.Fprintln(w, `{"@level":"info","@message":"answered","status":200}`)
		}
		for range 4 {
			fmt.Fprintln(w, `{"@level":"info","@message":"refused","status":503}`)
			fmt.Fprintln(w, `{"@level":"info","@message":"answered","status":500}`)
		}
		time.Sleep(time.Second)
		fmt.Fprintln(w, `{"@level":"info","@message":"answered","status":200}`)
		w.Close()
		synctest.Wait()
		lines := out.lines.Bytes()
		if n := bytes.Count(lines, []byte(`"status":50`)); n != 8 {
			t.Errorf("got %d lines about failures, want 8", n)
		}
		if n := bytes.Count(lines, []byte(`"status":200`)); n != 11 {
			t.Errorf("got %d lines about successes, want 11: half of the budget and one of the next second", n)
		}
		if want := []byte(`"log lines dropped","count":90,"routine":90`); !bytes.Contains(lines, want) {
			t.Errorf("got no report of the dropped lines in\n%s", lines)
		}
	})
}

// TestReports guards against reports of dropped lines that displace other lines: during an overload there must not be a
// report for each line written.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		close(out.release)
		w := guavalog.New(out, 50, nil)
		const seconds = 3
		for range seconds * 100 {
			fmt.Fprintln(w, "line")
			time.Sleep(10 * time.Millisecond)
		}
		w.Close()
		synctest.Wait()
		lines := out.lines.Bytes()
		if n := bytes.Count(lines, []byte("log lines dropped")); n == 0 || n > seconds+1 {
			t.Errorf("got %d reports in %d s, want one per second and one at the end", n, seconds)
		}
		counted := 0
		for line := range bytes.Lines(lines) {
			var n int
			if _, err := fmt.Sscanf(string(line), `{"@message":"log lines dropped","count":%d`, &n); err == nil {
				counted += n
			}
		}
		if written := bytes.Count(lines, []byte("line\n")); written+counted != seconds*100 {
			t.Errorf("got %d lines written and %d reported as dropped, want a sum of %d", written, counted, seconds*100)
		}
	})
}
