package guavabatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

// abort ends a chunk of a stopped job whose lease has expired.
func (r *Runner) abort(ctx context.Context, e *indexEntry, c chunkRow) {
	operation := newID("")
	next, err := c.chunk.WithResult(guavajob.ChunkAbort, "", "", guavajob.Counts{}, operation)
	if err != nil {
		return
	}
	key := chunkKey(e.Job, c.n)
	// The next visit retries after a failure.
	_ = r.store.commit(ctx, []guavaplatform.Check{{Key: key, Revision: c.revision}},
		[]guavaplatform.Write{{Key: key, Value: marshal(next)}}, key, operation)
}

// expire marks a job that is past its deadline as expiring, after which none of its chunks can be claimed.
func (r *Runner) expire(ctx context.Context, e *indexEntry) bool {
	return r.transitionJob(ctx, e, guavajob.JobExpire) == nil
}

// transitionJob applies an event that leaves the job unfinished.
func (r *Runner) transitionJob(ctx context.Context, e *indexEntry, event guavajob.JobEvent) error {
	row, revision, err := r.store.job(ctx, e.Job)
	if err != nil {
		return err
	}
	next, err := row.WithEvent(event, time.Now(), newID(""))
	if err != nil {
		r.index.readAt = time.Time{} // the active row is out of date
		return err
	}
	err = r.store.commit(ctx, []guavaplatform.Check{{Key: jobKey(e.Job), Revision: revision}},
		[]guavaplatform.Write{
			{Key: jobKey(e.Job), Value: marshal(next)},
			{Key: e.key, Value: marshal(newActive(next, next.Operation))},
		}, jobKey(e.Job), next.Operation)
	r.index.readAt = time.Time{}
	if err == nil {
		e.State = next.State
	}
	return err
}

// finishJob writes the final state and the counts. The chunk rows of a complete or stopped job no longer change, so the
// counts match the results.
func (r *Runner) finishJob(ctx context.Context, e *indexEntry) error {
	row, revision, err := r.store.job(ctx, e.Job)
	if errors.Is(err, guavaplatform.ErrAbsent) || (err == nil && row.State.Final()) {
		delete(r.index.jobs, e.Job)
		return nil
	} else if err != nil {
		return err
	}
	event := guavajob.JobFinish
	if row.State != guavajob.JobRunning {
		event = guavajob.JobSettle
	}
	next, err := row.WithEvent(event, time.Now(), newID(""))
	if err != nil {
		return err
	}
	counts := guavajob.Counts{Failed: row.InvalidLineCount}
	final := 0
	settled := true
	err = r.store.chunks(ctx, e.Job, 0, func(c chunkRow) bool {
		if c.chunk.State.Final() {
			final++
		}
		settled = settled && c.chunk.State != guavajob.ChunkClaimed
		counts = counts.Add(c.chunk.Counts)
		return true
	})
	if err != nil {
		return err
	}
	if !settled || (event == guavajob.JobFinish && final != row.Chunks()) {
		return errors.Newf("job %s has unfinished chunks: %w", e.Job, guavaplatform.ErrConflict)
	}
	counts.Total = row.Counts.Total
	next = next.WithCounts(counts)
	err = r.store.commit(ctx, []guavaplatform.Check{{Key: jobKey(e.Job), Revision: revision}},
		[]guavaplatform.Write{
			{Key: jobKey(e.Job), Value: marshal(next)},
			{Key: e.key, Delete: true},
			{Key: cancelKey(e.Job), Delete: true},
		}, jobKey(e.Job), next.Operation)
	if err != nil {
		return errors.Newf("finish job: %w", err)
	}
	delete(r.index.jobs, e.Job)
	r.log.Info("job ended", "job", e.Job, "state", string(next.State), "completed", counts.Completed, "failed", counts.Failed)
	return nil
}
