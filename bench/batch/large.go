package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"guavaridge/io/guavabatch"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavastandin"
)

// dirObjects stores objects as files, so that they do not count towards the heap of the VM.
type dirObjects struct{ dir string }

func (f dirObjects) name(key string) string { return filepath.Join(f.dir, url.PathEscape(key)) }

func (f dirObjects) Put(_ context.Context, key string, body io.Reader) error {
	w, err := os.Create(f.name(key))
	if err != nil {
		return err
	}
	if _, err := io.Copy(w, body); err != nil {
		w.Close()
		return err
	}
	return w.Close()
}

func (f dirObjects) Get(_ context.Context, key string) (io.ReadCloser, error) {
	r, err := os.Open(f.name(key))
	if os.IsNotExist(err) {
		return nil, guavaplatform.ErrAbsent
	}
	return r, err
}

func (f dirObjects) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, e := range entries {
		key, err := url.PathUnescape(e.Name())
		if err == nil && strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys[:min(len(keys), limit)], nil
}

func (f dirObjects) Delete(_ context.Context, key string) error { return os.Remove(f.name(key)) }

// heapPeak samples the heap in use every 20 ms until quit is closed, and records the maximum.
type heapPeak struct {
	max  atomic.Uint64
	quit chan struct{}
}

func newHeapPeak() *heapPeak {
	p := &heapPeak{quit: make(chan struct{})}
	go func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			p.max.Store(max(p.max.Load(), m.HeapInuse))
			select {
			case <-p.quit:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return p
}

// reset returns the peak in MiB since the last call and starts a new measurement.
func (p *heapPeak) reset() float64 { return float64(p.max.Swap(0)) / (1 << 20) }

// lineCounter counts the lines written to it.
type lineCounter struct{ lines int }

func (c *lineCounter) Write(p []byte) (int, error) {
	c.lines += bytes.Count(p, []byte{'\n'})
	return len(p), nil
}

// measureLarge runs jobs of two sizes on one VM and prints the peak heap of each phase and the table calls per 1000
// items.
func measureLarge(ctx context.Context) error {
	fmt.Printf("\n%-10s %12s %12s %12s %12s %14s %14s\n", "items", "upload MiB", "accept MiB", "run MiB", "read MiB", "writes/1000", "reads/1000")
	for _, n := range []int{59_000, 590_000} {
		if err := runJob(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// runJob uploads, submits and runs one job of n items, and prints its figures.
func runJob(ctx context.Context, n int) error {
	dir, err := os.MkdirTemp("", "batch")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary files only
	table := guavastandin.NewPlatform()
	s := newBatchVM(ctx, table, dirObjects{dir}, 20*time.Millisecond, 200*time.Millisecond)
	rctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runtime.GC()
	p := newHeapPeak()
	defer close(p.quit)
	file, err := s.service.Upload(ctx, "print", "n", "batch", newLines(n))
	if err != nil {
		return err
	}
	upload := p.reset()
	job, err := s.service.Submit(ctx, guavabatch.Submission{Account: "print", File: file.ID, Path: path})
	if err != nil {
		return err
	}
	accept := p.reset()
	go s.report(rctx, slots)
	for !job.State.Final() && ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		if job, err = s.service.Show(ctx, "print", job.ID); err != nil {
			return err
		}
	}
	running := p.reset()
	counts := table.Counts()
	var c lineCounter
	if err := s.service.Results(ctx, "print", job.ID, guavabatch.ResultLines, &c); err != nil {
		return err
	}
	per := func(x int64) float64 { return float64(x) * 1000 / float64(n) }
	fmt.Printf("%-10d %12.1f %12.1f %12.1f %12.1f %14.2f %14.2f\n", n, upload, accept, running, p.reset(), per(counts.Writes), per(counts.Reads))
	if c.lines != n || job.Counts.Completed != n || s.engines.done.Load() != int64(n) {
		return fmt.Errorf("job incomplete: got %d result lines, counts %+v, engines answered %d", c.lines, job.Counts, s.engines.done.Load())
	}
	cancel()
	return s.stop()
}
