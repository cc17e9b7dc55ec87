package guavajobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavaplatform"
)

const (
	// mostListed is the number of results in one commit. A commit may hold 1 MB.
	mostListed = 12
	// leastBackoff and mostBackoff bound the wait before results are committed again.
	leastBackoff = 50 * time.Millisecond
	mostBackoff  = 400 * time.Millisecond
	// rowSize is the longest value in bytes that is kept in a row. The store takes 64 KiB in base64, which is 48 KiB.
	rowSize = 48_000
)

// runner runs the items of one job and lists their results.
type runner struct {
	jobs  *Jobs
	job   guavaprogress.Job // as it was when the runner began; what changes since is in entry
	items []guavaprogress.Item

	ctx     context.Context
	cancel  context.CancelFunc
	results chan guavaprogress.Result
	written chan struct{} // closed when nothing more is listed

	mu     sync.Mutex
	entry  entry
	active map[string]*itemRun // by item
	kept   map[string]int      // items with saved progress, with their numbers
}

// begin runs a job that this VM owns. Listed items are not run again, and others go on from what was saved of them.
func (l *Jobs) begin(e entry, items []guavaprogress.Item, listed map[string]bool, saved map[int]guavaprogress.SavedProgress) {
	r := &runner{
		jobs: l, job: e.job, items: items, entry: e,
		results: make(chan guavaprogress.Result, len(items)), written: make(chan struct{}),
		active: map[string]*itemRun{}, kept: map[string]int{},
	}
	r.ctx, r.cancel = context.WithCancel(l.base)
	l.mu.Lock()
	if l.closing || l.runners[e.job.ID] != nil {
		l.mu.Unlock()
		r.cancel()
		return
	}
	l.runners[e.job.ID] = r
	l.mu.Unlock()
	l.Counters.Jobs.Add(1)
	l.Logger.Info("job begun", "job", e.job.ID, "items", len(items), "listed", len(listed), "route", e.job.Route,
		"account", e.job.Account, "due", time.Until(time.UnixMilli(e.job.Deadline)).Milliseconds())
	for n, i := range items {
		if listed[i.ID] {
			continue
		}
		progress := guavaprogress.NewProgress()
		if s, ok := saved[n]; ok {
			progress = guavaprogress.Restore(s)
			r.kept[i.ID] = n
		}
		run := newItemRun(r, n, progress)
		r.active[i.ID] = run
		l.running.Go(func() { r.run(run) })
	}
	l.running.Go(r.list)
}

func (r *runner) run(i *itemRun) {
	if result, ok := i.run(); ok {
		r.results <- result
	}
}

// list writes results until the job is closed or another VM owns it.
func (r *runner) list() {
	defer r.finish()
	save := time.NewTicker(saveTime)
	defer save.Stop()
	for {
		var batch []guavaprogress.Result
		select {
		case first := <-r.results:
			batch = append(batch, first)
		case <-save.C:
			r.save(r.ctx, saveEvents)
			continue
		case <-r.ctx.Done():
			return
		}
		for len(batch) < mostListed && len(r.results) > 0 {
			batch = append(batch, <-r.results)
		}
		if !r.commit(batch) {
			return
		}
		r.mu.Lock()
		open := r.entry.job.IsOpen()
		r.mu.Unlock()
		if !open {
			return
		}
	}
}

func (r *runner) finish() {
	r.cancel()
	close(r.written)
	l := r.jobs
	l.mu.Lock()
	delete(l.runners, r.job.ID)
	l.mu.Unlock()
	r.mu.Lock()
	j := r.entry.job
	r.mu.Unlock()
	l.Logger.Info("job left", "job", j.ID, "listed", j.ResultCount, "total", j.Total, "ended", j.Ended, "owner", j.Owner,
		"late", time.Since(time.UnixMilli(j.Deadline)).Milliseconds())
}

// commit lists results and returns whether this VM still runs the job.
func (r *runner) commit(batch []guavaprogress.Result) bool {
	l := r.jobs
	backoff := leastBackoff
	for len(batch) > 0 {
		r.mu.Lock()
		e := r.entry
		r.mu.Unlock()
		writes, err := r.rows(e.job, batch)
		if err == nil {
			var next entry
			next, err = l.write(r.ctx, e, e.job.WithResults(len(batch), time.Now()), writes...)
			if err == nil {
				r.set(next)
				r.forget(batch)
				for _, b := range batch {
					if b.State == guavaprogress.Succeeded {
						l.Counters.Succeeded.Add(1)
					} else {
						l.Counters.Dead.Add(1)
					}
				}
				return true
			}
		}
		if r.ctx.Err() != nil {
			return false
		}
		l.Logger.Warn("results not listed yet", "job", e.job.ID, "results", len(batch), "error", err)
		if errors.Is(err, guavaplatform.ErrConflict) {
			var ours bool
			if batch, ours = r.reload(batch); !ours {
				return false
			}
		}
		select {
		case <-time.After(backoff):
		case <-r.ctx.Done():
			return false
		}
		backoff = min(2*backoff, mostBackoff)
	}
	return true
}

func (r *runner) set(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry = e
}

// rows returns the writes that list results behind those that the job has. Long texts go into objects first.
func (r *runner) rows(j guavaprogress.Job, batch []guavaprogress.Result) ([]guavaplatform.Write, error) {
	writes := make([]guavaplatform.Write, 0, len(batch))
	for n, result := range batch {
		position := j.ResultCount + n
		data, err := encodeRow(result)
		if err == nil && len(data) > rowSize {
			// The name holds the item, since another item may come to stand at the position.
			result.Object = textName(j.ID, position) + "-" + objectSuffix(result.ID)
			if err := r.jobs.Objects.Put(r.ctx, result.Object, bytes.NewReader([]byte(result.Text))); err != nil {
				return nil, err //nolint:wrapcheck // it names the object
			}
			result.Text = ""
			data, err = encodeRow(result)
		}
		if err != nil {
			return nil, err
		}
		writes = append(writes, guavaplatform.Write{Key: resultKey(j.ID, position), Value: data})
		r.mu.Lock()
		number, kept := r.kept[result.ID]
		r.mu.Unlock()
		if kept {
			writes = append(writes, guavaplatform.Write{Key: savedKey(j.ID, number), Delete: true})
		}
	}
	return writes, nil
}

// encodeRow encodes a value for a row. Characters of HTML stay as they are: escaped, a text could be six times as long.
func encodeRow(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return b.Bytes(), nil
}

// reload reads the job after a conflict. It returns what of the batch is not listed yet, and whether this VM still runs
// the job: the conflict may come from a commit of its own whose answer was lost.
func (r *runner) reload(batch []guavaprogress.Result) ([]guavaprogress.Result, bool) {
	l := r.jobs
	for {
		e, err := l.read(r.ctx, r.job.ID)
		if err == nil {
			r.set(e)
			if !e.job.IsOpen() || !e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation) {
				return nil, false
			}
			var listed map[string]bool
			if listed, err = l.listed(r.ctx, e.job); err == nil {
				var left []guavaprogress.Result
				for _, b := range batch {
					if !listed[b.ID] {
						left = append(left, b)
					}
				}
				return left, true
			}
		}
		l.Logger.Warn("job not read after a conflict", "job", r.job.ID, "error", err)
		if !pause(r.ctx, err) {
			return nil, false
		}
	}
}

// listed returns the items of a job that have results.
func (l *Jobs) listed(ctx context.Context, j guavaprogress.Job) (map[string]bool, error) {
	ids := map[string]bool{}
	for from := 0; from < j.ResultCount; {
		page, err := l.list(ctx, j, from)
		if err != nil {
			return nil, err
		}
		for _, result := range page {
			ids[result.ID] = true
		}
		from += len(page)
	}
	return ids, nil
}

// handOver stops the job here and leaves it to other VMs, with what its items have so far.
func (r *runner) handOver(ctx context.Context) {
	r.cancel()
	<-r.written
	r.save(ctx, 1)
	l := r.jobs
	for {
		r.mu.Lock()
		e := r.entry
		r.mu.Unlock()
		if !e.job.IsOpen() || !e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation) {
			return
		}
		_, err := l.write(ctx, e, e.job.WithOwner("", 0))
		if err == nil {
			l.Logger.Info("job handed over", "job", e.job.ID, "listed", e.job.ResultCount, "total", e.job.Total)
			return
		}
		l.Logger.Warn("job not handed over yet", "job", e.job.ID, "error", err)
		if !pause(ctx, err) {
			return
		}
		if e, err := l.read(ctx, e.job.ID); err == nil {
			r.set(e)
		}
	}
}
