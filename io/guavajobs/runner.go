package guavajobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavaplatform"
)

const (
	// maxCommitResults is the maximum number of results in a commit. The store limits a commit to 1 MB.
	maxCommitResults = 12
	// minBackoff and maxBackoff bound the delay before a failed commit of results is retried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxRowSize is the maximum size of a row's value in bytes. The store accepts 64 KiB in base64, which is 48 KiB.
	maxRowSize = 48_000
)

// runner runs the items of one job and commits their results.
type runner struct {
	jobs  *Jobs
	job   guavaprogress.Job // as of the start of the runner; entry has the current state
	begun uint64            // the revision of the job's row then
	items []guavaprogress.Item

	ctx     context.Context
	cancel  context.CancelFunc
	results chan guavaprogress.Result
	stopped chan struct{} // closed when no more results will be committed

	mu         sync.Mutex
	entry      entry
	active     map[string]*itemRun // by item ID
	savedItems map[string]int      // indexes of the items with saved progress, by item ID
}

// start runs a job that this VM owns. It skips completed items, and the others continue from their saved progress,
// which is given by item index.
func (l *Jobs) start(
	e entry, items []guavaprogress.Item, completed map[string]bool, saved map[int]guavaprogress.SavedProgress,
) {
	r := &runner{
		jobs: l, job: e.job, begun: e.revision, items: items, entry: e,
		results: make(chan guavaprogress.Result, len(items)), stopped: make(chan struct{}),
		active: map[string]*itemRun{}, savedItems: map[string]int{},
	}
	r.ctx, r.cancel = context.WithCancel(l.baseCtx)
	l.mu.Lock()
	if l.closing || l.runners[e.job.ID] != nil {
		l.mu.Unlock()
		r.cancel()
		return
	}
	l.runners[e.job.ID] = r
	l.mu.Unlock()
	l.Counters.Jobs.Add(1)
	l.Logger.Info("job started", "job", e.job.ID, "items", len(items), "listed", len(completed), "route", e.job.Route,
		"account", e.job.Account, "due", time.Until(time.UnixMilli(e.job.Deadline)).Milliseconds())
	for n, i := range items {
		if completed[i.ID] {
			continue
		}
		progress := guavaprogress.NewProgress()
		if s, ok := saved[n]; ok {
			progress = guavaprogress.Restore(s)
			r.savedItems[i.ID] = n
		}
		run := newItemRun(r, n, progress)
		r.mu.Lock()
		r.active[i.ID] = run
		r.mu.Unlock()
		l.running.Go(func() { r.run(run) })
	}
	l.running.Go(r.commitResults)
}

func (r *runner) run(i *itemRun) {
	if result, ok := i.run(); ok {
		r.results <- result
	}
}

// reviewRoutes ends the waits of the items for services that the job's route has left.
func (r *runner) reviewRoutes() {
	r.mu.Lock()
	runs := slices.Collect(maps.Values(r.active))
	r.mu.Unlock()
	for _, i := range runs {
		i.reviewRoute()
	}
}

// commitResults commits results, and saves progress at intervals, until the job is closed or another VM owns it.
func (r *runner) commitResults() {
	defer r.finish()
	save := time.NewTicker(saveInterval)
	defer save.Stop()
	for {
		var batch []guavaprogress.Result
		select {
		case first := <-r.results:
			batch = append(batch, first)
		case <-save.C:
			// A failed save is not repeated, since the next one includes the same progress.
			if _, err := r.saveProgress(r.ctx, minSaveEvents); err != nil {
				r.jobs.Logger.Info("progress save failed", "error", err)
			}
			continue
		case <-r.ctx.Done():
			return
		}
		for len(batch) < maxCommitResults && len(r.results) > 0 {
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
	close(r.stopped)
	l := r.jobs
	l.mu.Lock()
	delete(l.runners, r.job.ID)
	l.mu.Unlock()
	r.mu.Lock()
	j := r.entry.job
	r.mu.Unlock()
	l.Logger.Info("job stopped", "job", j.ID, "listed", j.ResultCount, "total", j.Total, "ended", j.Ended, "owner", j.Owner,
		"late", time.Since(time.UnixMilli(j.Deadline)).Milliseconds())
}

// commit commits results, with retries, and returns whether this VM still runs the job.
func (r *runner) commit(batch []guavaprogress.Result) bool {
	l := r.jobs
	backoff := minBackoff
	for len(batch) > 0 {
		r.mu.Lock()
		e := r.entry
		r.mu.Unlock()
		writes, err := r.resultWrites(e.job, batch)
		if err == nil {
			var next entry
			next, err = l.write(r.ctx, e, e.job.WithResults(len(batch), r.tokens(batch), time.Now()), writes...)
			if err == nil {
				r.setEntry(next)
				r.removeCompleted(batch)
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
		l.Logger.Warn("result commit failed", "job", e.job.ID, "results", len(batch), "error", err)
		if errors.Is(err, guavaplatform.ErrConflict) {
			var owned bool
			if batch, owned = r.resolveConflict(batch); !owned {
				return false
			}
		}
		select {
		case <-time.After(backoff):
		case <-r.ctx.Done():
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return true
}

// tokens returns the tokens of the items of a batch of results.
func (r *runner) tokens(batch []guavaprogress.Result) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, b := range batch {
		if i := r.active[b.ID]; i != nil {
			sum += i.item.Tokens
		}
	}
	return sum
}

func (r *runner) setEntry(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry = e
}

// resultWrites returns the writes that append results to those of the job and delete the saved progress of their items.
// A text that is too large for a row is first stored as an object.
func (r *runner) resultWrites(j guavaprogress.Job, batch []guavaprogress.Result) ([]guavaplatform.Write, error) {
	writes := make([]guavaplatform.Write, 0, len(batch))
	for n, result := range batch {
		position := j.ResultCount + n
		data, err := encodeRow(result)
		if err == nil && len(data) > maxRowSize {
			// The name contains the item ID, because another VM may commit another item's result at this position.
			result.Object = textName(j.ID, position) + "-" + objectSuffix(result.ID)
			if err := r.jobs.Objects.Put(r.ctx, result.Object, bytes.NewReader([]byte(result.Text))); err != nil {
				return nil, err //nolint:wrapcheck // the error names the object
			}
			result.Text = ""
			data, err = encodeRow(result)
		}
		if err != nil {
			return nil, err
		}
		writes = append(writes, guavaplatform.Write{Key: resultKey(j.ID, position), Value: data})
		r.mu.Lock()
		index, saved := r.savedItems[result.ID]
		r.mu.Unlock()
		if saved {
			writes = append(writes, guavaplatform.Write{Key: savedKey(j.ID, index), Delete: true})
		}
	}
	return writes, nil
}

// encodeRow encodes a value as JSON for a row. HTML characters are not escaped, since that makes a text up to six times
// as long.
func encodeRow(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return b.Bytes(), nil
}

// resolveConflict reads the job after a conflict, which may come from an earlier commit of this VM whose response was
// lost. It returns the results of the batch that are not stored yet, and whether this VM still owns the job.
func (r *runner) resolveConflict(batch []guavaprogress.Result) ([]guavaprogress.Result, bool) {
	l := r.jobs
	for {
		e, err := l.read(r.ctx, r.job.ID)
		if err == nil {
			r.setEntry(e)
			if !e.job.IsOpen() || !e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation) {
				return nil, false
			}
			var completed map[string]bool
			if completed, err = l.completedItems(r.ctx, e.job); err == nil {
				var remaining []guavaprogress.Result
				for _, b := range batch {
					if !completed[b.ID] {
						remaining = append(remaining, b)
					}
				}
				return remaining, true
			}
		}
		l.Logger.Warn("job read failed after a conflict", "job", r.job.ID, "error", err)
		if !pause(r.ctx, err) {
			return nil, false
		}
	}
}

// completedItems returns the IDs of the items of a job that have results.
func (l *Jobs) completedItems(ctx context.Context, j guavaprogress.Job) (map[string]bool, error) {
	ids := map[string]bool{}
	for from := 0; from < j.ResultCount; {
		page, err := l.readResults(ctx, j, from)
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

// handOver stops the job on this VM, saves the progress and the results of its items, and clears its owner so that another
// VM takes it over.
func (r *runner) handOver(ctx context.Context) {
	r.cancel()
	<-r.stopped
	l := r.jobs
	for {
		r.mu.Lock()
		e := r.entry
		r.mu.Unlock()
		if !e.job.IsOpen() || !e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation) {
			return
		}
		err := r.saveAll(ctx)
		if err == nil {
			_, err = l.write(ctx, e, e.job.WithOwner("", 0))
		}
		if err == nil {
			l.Logger.Info("job handed over", "job", e.job.ID, "listed", e.job.ResultCount, "total", e.job.Total)
			return
		}
		l.Logger.Warn("job handover failed", "job", e.job.ID, "error", err)
		if !pause(ctx, err) {
			return
		}
		if e, err := l.read(ctx, e.job.ID); err == nil {
			r.setEntry(e)
		}
	}
}

// saveAll saves the progress of all items, in as many commits as it takes.
func (r *runner) saveAll(ctx context.Context) error {
	for {
		if more, err := r.saveProgress(ctx, 1); err != nil || !more {
			return err
		}
	}
}
